"""Runs a complete scale test: memory check, simulation, verdict, and comparison with real processes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.comparison import compare, comparison_plan, ratios_out_of_bounds
from stairhatch.scale_test.errors import MemoryLimitError
from stairhatch.scale_test.figures import (
    FigureComparison,
    MachineUsage,
    RealRunFigures,
    SimulationFigures,
)
from stairhatch.scale_test.memory import (
    GIB,
    KIB,
    MIB,
    MemoryNeed,
    memory_limit_bytes,
    require_memory,
    resident_bytes,
)
from stairhatch.scale_test.processor_meter import ProcessorPart
from stairhatch.scale_test.real_run import RealRun
from stairhatch.scale_test.schema import ComparedFigure, RealRunPlan, ScalePlan
from stairhatch.scale_test.simulation import Simulation
from stairhatch.scale_test.simulation_figures import gather_figures
from stairhatch.scale_test.verdict import find_failures
from stairhatch.scale_test.virtual_clock import START_TIME

PROGRESS_INTERVAL_S = 5.0

ReportProgress = Callable[[str], None]


def _report_nothing(line: str) -> None:
    """Discard a progress line."""


@dataclass(slots=True)
class ScaleResult:
    """The result of a scale test, which has passed if `failures` is empty."""

    plan: ScalePlan
    figures: SimulationFigures  # identical for the same scale file
    machine: MachineUsage
    compared: dict[ComparedFigure, FigureComparison] = field(default_factory=dict)
    real: RealRunFigures | None = None
    failures: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class CompletedSimulation:
    """A simulation that has ended, and the resources that it used on this machine."""

    simulation: Simulation
    machine: MachineUsage


class RunObserver:
    """Observer that reports the progress of a simulation and aborts it if it uses too much memory."""

    def __init__(self, report: ReportProgress) -> None:
        """Start measuring time and memory; progress lines are passed to `report`."""
        self.started_at = time.monotonic()
        self.peak_bytes = resident_bytes()
        self._limit_bytes = memory_limit_bytes()
        self._report = report
        self._reported_at = self.started_at

    def observe(self, simulation: Simulation) -> None:
        """Update the peak memory, and report progress if PROGRESS_INTERVAL_S has passed.

        Raises MemoryLimitError if the resident memory exceeds the limit.
        """
        resident = resident_bytes()
        self.peak_bytes = max(self.peak_bytes, resident)
        if resident > self._limit_bytes:
            raise MemoryLimitError(
                f"softswitches: at {simulation.context.elapsed_s:.1f} s the run uses "
                f"{resident / GIB:.1f} GiB, more than half of this machine's memory"
            )
        now = time.monotonic()
        if now - self._reported_at >= PROGRESS_INTERVAL_S:
            self._reported_at = now
            self._report(self._progress(simulation, resident))

    def _progress(self, simulation: Simulation, resident: int) -> str:
        tally = simulation.context.calls.tally
        return (
            f"simulated {simulation.context.elapsed_s:8.1f} of {simulation.plan.duration_s:g} s, "
            f"{tally.requested} calls, {tally.results[SimulatedCallResult.ESTABLISHED]} established, "
            f"{resident / MIB:.0f} MB, {time.monotonic() - self.started_at:.0f} s so far"
        )


def simulate(
    plan: ScalePlan, report: ReportProgress = _report_nothing, settle_s: float | None = None
) -> CompletedSimulation:
    """Run a plan with simulated softswitches, and return the ended simulation.

    With `settle_s`, calls begin that many seconds after all softswitches serve, instead of after the plan's
    lead time. Raises MemoryLimitError if the run uses too much memory.
    """
    simulation = Simulation(plan)
    observer = RunObserver(report)
    processor_s_before = time.process_time()
    observer.observe(simulation)
    simulation.run(observer.observe, settle_s)
    elapsed_s = time.monotonic() - observer.started_at
    processor_s = time.process_time() - processor_s_before
    peak_bytes = max(observer.peak_bytes, resident_bytes())
    return CompletedSimulation(simulation, _machine_usage(simulation, elapsed_s, processor_s, peak_bytes))


def _machine_usage(
    simulation: Simulation, elapsed_s: float, processor_s: float, peak_bytes: int
) -> MachineUsage:
    clock, meter = simulation.context.clock, simulation.context.meter
    meter.update()
    virtual_s = clock.now - START_TIME
    control_s = meter.seconds[ProcessorPart.ENDPOINT_LIST] + meter.seconds[ProcessorPart.LEASES]
    control_percent = 100 * control_s / virtual_s / simulation.plan.softswitch_count
    most_first = sorted(meter.seconds.items(), key=lambda item: item[1], reverse=True)
    return MachineUsage(
        elapsed_s=round(elapsed_s, 1),
        processor_s=round(processor_s, 1),
        processor_s_by_part={part: round(seconds, 2) for part, seconds in most_first},
        virtual_s=round(virtual_s, 1),
        memory_mb=round(peak_bytes / MIB),
        steps=clock.steps,
        control_percent=round(control_percent, 3),
    )


def run_scale_test(plan: ScalePlan, report: ReportProgress = _report_nothing) -> ScaleResult:
    """Run a complete scale test and return its result.

    Raises ScaleTestError if it cannot be completed: too little memory, or a real process that does not start.
    """
    need = require_memory(plan)
    report(_prediction_line(plan, need))
    completed = simulate(plan, report)
    result = ScaleResult(
        plan, gather_figures(completed.simulation), _with_predicted_memory(completed.machine, plan, need)
    )
    del completed  # frees its memory for the comparison
    result.failures += find_failures(plan, result.figures)
    if plan.real is not None:
        _compare_with_real_run(result, plan.real, report)
    return result


def _prediction_line(plan: ScalePlan, need: MemoryNeed) -> str:
    return (
        f"{plan.softswitch_count} simulated softswitches, {plan.server_count} servers: "
        f"{need.total(plan) / MIB:.0f} MB predicted from small runs ({need.softswitch / KIB:.0f} KB each and "
        f"{need.connection / KIB:.1f} KB a connection)"
    )


def _with_predicted_memory(machine: MachineUsage, plan: ScalePlan, need: MemoryNeed) -> MachineUsage:
    return msgspec.structs.replace(
        machine,
        predicted_memory_mb=round(need.total(plan) / MIB),
        softswitch_kb=round(need.softswitch / KIB, 1),
        connection_kb=round(need.connection / KIB, 2),
    )


def _compare_with_real_run(result: ScaleResult, real_plan: RealRunPlan, report: ReportProgress) -> None:
    """Run the comparison scenario with simulated softswitches and with real processes.

    The figures, ratios and failures of both runs are added to `result`.
    """
    plan = comparison_plan(result.plan, real_plan)
    report(
        f"real: {plan.softswitch_count} processes and as many simulated softswitches, {plan.duration_s:g} s"
    )
    simulated = gather_figures(simulate(plan, settle_s=real_plan.settle_s).simulation)
    result.failures += [f"comparison: {each}" for each in find_failures(plan, simulated)]
    result.real = asyncio.run(RealRun(plan, real_plan.settle_s).run())
    result.compared = compare(result.plan, simulated.compared, result.real.compared)
    result.failures += ratios_out_of_bounds(result.compared)
    if result.real.unanswered:
        result.failures.append(f"real: {result.real.unanswered} unanswered")
    if result.real.not_received:
        result.failures.append(f"real: {result.real.not_received} not received")
