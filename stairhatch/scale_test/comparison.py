"""The scenario that real and simulated softswitches both play."""

from __future__ import annotations

import math

import msgspec

from stairhatch.load_test.datagram_conditions import DatagramConditions
from stairhatch.scale_test.schema import (
    ComparedFigure,
    NetworkDelays,
    PlannedEvent,
    PlannedEventKind,
    RatioBounds,
    ScalePlan,
)


def comparison_plan(plan: ScalePlan) -> ScalePlan:
    """The scenario that is played by real processes and by hollow ones: no faults, ways as on loopback."""
    real = plan.real
    assert real is not None
    way = DatagramConditions(delay_ms=0.05, jitter_ms=0.05)
    change = PlannedEvent(
        at_s=real.duration_s * 0.1,
        kind=PlannedEventKind.LIST_CHANGE,
        duration_s=real.duration_s * 0.8,
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
        network=NetworkDelays(within_zone=way, between_zones=way, between_regions=way),
        required_events=(),
        judge_cold_windows=False,
        calls=msgspec.structs.replace(
            plan.calls, rate_per_s=real.rate_per_s, max_depth=real.max_depth, service=-1
        ),
        events=(change,) if real.change_count else (),
        real=None,
        bounds={},
    )


def ratio(hollow: float, real: float, bound: RatioBounds) -> float:
    """Hollow over real; `grain` makes nothing of nothing a 1."""
    low = real + bound.pseudocount
    return (hollow + bound.pseudocount) / low if low else (1.0 if not hollow else math.inf)


def held_against(
    plan: ScalePlan, hollow: dict[str, float], real: dict[str, float]
) -> dict[str, dict[str, float]]:
    """Each figure of both, their ratio and its bounds."""
    found = {}
    for figure in ComparedFigure:
        name, bound = figure.value, plan.bounds.get(figure, RatioBounds())
        one = round(ratio(hollow[name], real[name], bound), 3)
        found[name] = {
            "hollow": hollow[name],
            "real": real[name],
            "ratio": one,
            "least": bound.minimum,
            "most": bound.maximum,
        }
    return found


def out_of_bounds(compared: dict[str, dict[str, float]]) -> list[str]:
    """What makes the run fail."""
    return [
        f"{name}: hollow {each['hollow']:g} over real {each['real']:g} is {each['ratio']:g}, "
        f"not within {each['least']:g} and {each['most']:g}"
        for name, each in compared.items()
        if not each["least"] <= each["ratio"] <= each["most"]
    ]
