"""A whole scale run."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.comparison import comparison_plan, held_against, out_of_bounds
from stairhatch.scale_test.errors import MemoryLimitError
from stairhatch.scale_test.figures import to_json_object
from stairhatch.scale_test.memory import MEMORY_PART, fit, machine_memory, resident
from stairhatch.scale_test.processor_meter import ProcessorPart
from stairhatch.scale_test.real import Processes
from stairhatch.scale_test.schema import ScalePlan
from stairhatch.scale_test.simulation import Simulation
from stairhatch.scale_test.simulation_figures import gather_figures
from stairhatch.scale_test.verdict import judged
from stairhatch.scale_test.virtual_clock import START_TIME

TOLD_S = 5.0  # between two lines of progress
Tell = Callable[[str], None]


@dataclass
class ScaleResult:
    """What came of a run."""

    plan: ScalePlan
    figures: dict[str, Any]  # of the hollow run: the same for the same file
    machine: dict[str, Any]  # what it took
    compared: dict[str, dict[str, float]] = field(default_factory=dict)
    real: dict[str, Any] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)


def play(
    plan: ScalePlan, tell: Tell = lambda text: None, settle_s: float | None = None
) -> tuple[Simulation, dict[str, Any]]:
    """The hollow run, and what it took of the machine."""
    world, most = Simulation(plan), MEMORY_PART * machine_memory()
    begun, told, peak = time.monotonic(), time.monotonic(), resident()
    cpu = time.process_time()

    def look(world: Simulation) -> None:
        nonlocal told, peak
        peak = max(peak, held := resident())
        if held > most:
            raise MemoryLimitError(
                f"softswitches: at {world.context.elapsed_s:.1f} s the run holds {held / 2**30:.1f} GiB, "
                "more than half of this machine's memory"
            )
        if time.monotonic() - told >= TOLD_S:
            told = time.monotonic()
            tally = world.context.calls.tally
            tell(
                f"hollow {world.context.elapsed_s:8.1f} of {plan.duration_s:g} s, {tally.requested} calls, "
                f"{tally.results[SimulatedCallResult.ESTABLISHED]} stood, "
                f"{held / 2**20:.0f} MB, {told - begun:.0f} s so far"
            )

    look(world)
    world.run(look, settle_s)
    world.context.meter.update()
    most_first = sorted(world.context.meter.seconds.items(), key=lambda item: item[1], reverse=True)
    parts = {part.value: round(seconds, 2) for part, seconds in most_first}
    took = time.monotonic() - begun
    virtual = world.context.clock.now - START_TIME
    control = (
        world.context.meter.seconds[ProcessorPart.ENDPOINT_LIST]
        + world.context.meter.seconds[ProcessorPart.LEASES]
    )
    return world, {
        "seconds": round(took, 1),
        "processor_s": round(time.process_time() - cpu, 1),
        "parts_s": parts,
        "virtual_s": round(virtual, 1),
        "memory_mb": round(max(peak, resident()) / 2**20),
        "steps": world.context.clock.steps,
        "control_percent": round(100 * control / virtual / plan.softswitch_count, 3),
    }


def carry_out(plan: ScalePlan, tell: Tell = lambda text: None) -> ScaleResult:
    """All of it."""
    need = fit(plan)
    tell(
        f"{plan.softswitch_count} hollow softswitches, {plan.server_count} servers: "
        f"{need.of(plan) / 2**20:.0f} MB by what was measured "
        f"({need.softswitch / 1024:.0f} KB each and {need.link / 1024:.1f} KB a link)"
    )
    world, machine = play(plan, tell)
    machine["needed_mb"] = round(need.of(plan) / 2**20)
    machine["softswitch_kb"] = round(need.softswitch / 1024, 1)
    machine["link_kb"] = round(need.link / 1024, 2)
    result = ScaleResult(plan, to_json_object(gather_figures(world)), machine)
    result.broken += judged(plan, result.figures)
    del world
    if plan.real is not None:
        small = comparison_plan(plan)
        tell(f"real: {small.softswitch_count} processes and as many hollow ones, {small.duration_s:g} s")
        hollow, _ = play(small, settle_s=plan.real.settle_s)
        figures = to_json_object(gather_figures(hollow))
        result.broken += [f"comparison_plan: {each}" for each in judged(small, figures)]
        result.real = asyncio.run(Processes(small, plan.real.settle_s).run())
        result.compared = held_against(plan, figures["compared"], result.real["compared"])
        result.broken += out_of_bounds(result.compared)
        for name in ("unanswered", "not_heard"):
            if result.real[name]:
                result.broken.append(f"real: {result.real[name]} {name.replace('_', ' ')}")
    return result
