"""The scenario that simulated and real softswitches both run, and the ratios of their figures."""

from __future__ import annotations

import math

import msgspec

from stairhatch.load_test.datagram_conditions import DatagramConditions
from stairhatch.scale_test.figures import ComparedFigures, FigureComparison
from stairhatch.scale_test.schema import (
    ComparedFigure,
    NetworkDelays,
    PlannedEvent,
    PlannedEventKind,
    RatioBounds,
    RealRunPlan,
    ScalePlan,
)

LOOPBACK = DatagramConditions(delay_ms=0.05, jitter_ms=0.05)
CHANGES_BEGIN, CHANGES_DURATION = 0.1, 0.8  # list changes, as fractions of the run's duration


def comparison_plan(plan: ScalePlan, real: RealRunPlan) -> ScalePlan:
    """Return the common scenario: the real run's size, loopback delays and no events but list changes."""
    change = PlannedEvent(
        at_s=real.duration_s * CHANGES_BEGIN,
        kind=PlannedEventKind.LIST_CHANGE,
        duration_s=real.duration_s * CHANGES_DURATION,
        count=max(1, real.change_count),
    )
    return msgspec.structs.replace(
        plan,
        duration_s=real.duration_s,
        softswitch_count=real.softswitch_count,
        server_count=real.server_count,
        service_count=real.service_count,
        region_count=1,
        zone_count=1,
        network=NetworkDelays(within_zone=LOOPBACK, between_zones=LOOPBACK, between_regions=LOOPBACK),
        required_events=(),
        judge_cold_windows=False,
        calls=msgspec.structs.replace(
            plan.calls, rate_per_s=real.rate_per_s, max_depth=real.max_depth, service=-1
        ),
        events=(change,) if real.change_count else (),
        real=None,
        bounds={},
    )


def ratio(simulated: float, real: float, pseudocount: float) -> float:
    """Return (simulated + pseudocount) / (real + pseudocount).

    If the divisor is 0, return infinity, or 1 if the simulated figure is 0 too.
    """
    divisor = real + pseudocount
    if divisor:
        return (simulated + pseudocount) / divisor
    return math.inf if simulated else 1.0


def compare(
    plan: ScalePlan, simulated: ComparedFigures, real: ComparedFigures
) -> dict[ComparedFigure, FigureComparison]:
    """Return, for each figure, both values, their ratio rounded to 3 decimals, and the bounds in the plan."""
    return {
        figure: _compare_figure(plan, figure, simulated[figure], real[figure]) for figure in ComparedFigure
    }


def _compare_figure(
    plan: ScalePlan, figure: ComparedFigure, simulated: float, real: float
) -> FigureComparison:
    bounds = plan.bounds.get(figure, RatioBounds())
    return FigureComparison(
        simulated=simulated,
        real=real,
        ratio=round(ratio(simulated, real, bounds.pseudocount), 3),
        minimum=bounds.minimum,
        maximum=bounds.maximum,
    )


def ratios_out_of_bounds(compared: dict[ComparedFigure, FigureComparison]) -> list[str]:
    """Return a message for each ratio outside its bounds."""
    return [
        f"{figure.value}: simulated {each.simulated:g} over real {each.real:g} is {each.ratio:g}, "
        f"not within {each.minimum:g} and {each.maximum:g}"
        for figure, each in compared.items()
        if not each.is_in_bounds()
    ]
