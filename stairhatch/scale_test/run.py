"""A whole scale run: owns whether it fits the machine, its progress, the hollow run, the comparison with real
processes, and the verdict. It must never call a run good that proves nothing.
"""

from __future__ import annotations

import asyncio
import gc
import math
import os
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from stairhatch.scale_test.clock import BEGIN
from stairhatch.scale_test.plan import FIGURES, Bound, Fleet, PlannedEventKind, ScaleError, ScalePlan, twin
from stairhatch.scale_test.real import Processes
from stairhatch.scale_test.world import World

TOLD_S = 5.0  # between two lines of progress
MEMORY_PART = 0.5  # of the machine's, the most
SAMPLES = (2, 10), (8, 40)  # softswitches and servers that memory is measured with
SAMPLE_S = 1.5  # of the virtual clock: all links are up by then

Tell = Callable[[str], None]


@dataclass(frozen=True)
class Need:
    """What a softswitch and its links take, in bytes, as it was measured."""

    softswitch: float
    link: float  # one of its links to a roster server, both ends
    server: float
    rest: float

    def of(self, plan: ScalePlan) -> float:
        """A run's. The link to a server that is replaced is kept for a while beside the new one."""
        replaced = sum(
            each.count for each in plan.event if each.what in (PlannedEventKind.COLD, PlannedEventKind.RACK)
        )
        links = self.link * plan.softswitches * (plan.servers + replaced)
        return self.rest + self.softswitch * plan.softswitches + self.server * plan.servers + links


@dataclass
class ScaleResult:
    """What came of a run."""

    plan: ScalePlan
    figures: dict[str, Any]  # of the hollow run: the same for the same file
    machine: dict[str, Any]  # what it took
    compared: dict[str, dict[str, float]] = field(default_factory=dict)
    real: dict[str, Any] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)


def machine_memory() -> int:
    """Bytes of this machine, or of what this process may use of it."""
    found = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    try:
        return min(found, int(Path("/sys/fs/cgroup/memory.max").read_text()))
    except (OSError, ValueError):
        return found


def resident() -> int:
    """Bytes that this process holds now."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _few_voters(fleet: Fleet, most: int) -> Fleet:
    return msgspec.structs.replace(fleet, voters=min(fleet.voters, most))


def _held(plan: ScalePlan, softswitches: int, servers: int) -> float:
    """Bytes of a small run of the same form, with all links up and nothing asked."""
    small = msgspec.structs.replace(
        plan, softswitches=softswitches, servers=servers, services=min(plan.services, servers), regions=1,
        zones=1, event=(), must_bite=(), real=None,
        fleet=plan.fleet and _few_voters(plan.fleet, softswitches),
        calls=msgspec.structs.replace(plan.calls, rate=0.0, service=-1),
    )  # fmt: skip
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    world = World(small)
    with world.in_place():
        world.start()
        world.clock.run(world.clock.now + SAMPLE_S)
    gc.collect()
    return tracemalloc.get_traced_memory()[0] - before


def measure(plan: ScalePlan) -> Need:
    """What each softswitch, server and link takes: four small runs, solved for the four."""
    (few, less), (many, more) = SAMPLES
    tracemalloc.start()
    try:
        a, b, c, d = (_held(plan, h, s) for h, s in ((few, less), (many, less), (few, more), (many, more)))
    finally:
        tracemalloc.stop()
    own = resident()  # the interpreter and what it has loaded
    link = max(0.0, (d - b - c + a) / ((many - few) * (more - less)))
    softswitch = max(0.0, (b - a) / (many - few) - link * less)
    server = max(0.0, (c - a) / (more - less) - link * few)
    rest = max(0.0, a - softswitch * few - server * less - link * few * less)
    return Need(softswitch, link, server, own + rest)


def fit(plan: ScalePlan) -> Need:
    """ScaleError where the machine has too little memory, with what it would need."""
    need = measure(plan)
    wanted, has = need.of(plan), machine_memory()
    if wanted > MEMORY_PART * has:
        each = need.softswitch + need.link * plan.servers
        raise ScaleError(
            f"softswitches: {plan.softswitches} with {plan.servers} servers need {wanted / 2**30:.1f} GiB "
            f"({each / 2**20:.2f} MiB each, measured); half of this machine's memory is "
            f"{MEMORY_PART * has / 2**30:.1f} GiB"
        )
    return need


def play(
    plan: ScalePlan, tell: Tell = lambda text: None, settle_s: float | None = None
) -> tuple[World, dict[str, Any]]:
    """The hollow run, and what it took of the machine."""
    world, most = World(plan), MEMORY_PART * machine_memory()
    begun, told, peak = time.monotonic(), time.monotonic(), resident()
    cpu = time.process_time()

    def look(world: World) -> None:
        nonlocal told, peak
        peak = max(peak, held := resident())
        if held > most:
            raise ScaleError(
                f"softswitches: at {world.passed:.1f} s the run holds {held / 2**30:.1f} GiB, more than half "
                "of this machine's memory"
            )
        if time.monotonic() - told >= TOLD_S:
            told = time.monotonic()
            tally = world.traffic.tally
            tell(
                f"hollow {world.passed:8.1f} of {plan.seconds:g} s, {tally.asked} calls, "
                f"{tally.ends['stood']} stood, {held / 2**20:.0f} MB, {told - begun:.0f} s so far"
            )

    look(world)
    world.run(look, settle_s)
    world.meter.enter("rest")
    parts = {name: round(seconds, 2) for name, seconds in world.meter.seconds.most_common()}
    took = time.monotonic() - begun
    virtual = world.clock.now - BEGIN
    control = world.meter.seconds["list"] + world.meter.seconds["claims"]
    return world, {
        "seconds": round(took, 1), "processor_s": round(time.process_time() - cpu, 1), "parts_s": parts,
        "virtual_s": round(virtual, 1), "memory_mb": round(max(peak, resident()) / 2**20),
        "steps": world.clock.done, "control_percent": round(100 * control / virtual / plan.softswitches, 3),
    }  # fmt: skip


def ratio(hollow: float, real: float, bound: Bound) -> float:
    """Hollow over real; `grain` makes nothing of nothing a 1."""
    low = real + bound.grain
    return (hollow + bound.grain) / low if low else (1.0 if not hollow else math.inf)


def held_against(
    plan: ScalePlan, hollow: dict[str, float], real: dict[str, float]
) -> dict[str, dict[str, float]]:
    """Each figure of both, their ratio and its bounds."""
    found = {}
    for name in FIGURES:
        bound = plan.bounds.get(name, Bound())
        one = round(ratio(hollow[name], real[name], bound), 3)
        found[name] = {
            "hollow": hollow[name], "real": real[name], "ratio": one, "least": bound.least,
            "most": bound.most,
        }  # fmt: skip
    return found


def out_of_bounds(compared: dict[str, dict[str, float]]) -> list[str]:
    """What makes the run fail."""
    return [
        f"{name}: hollow {each['hollow']:g} over real {each['real']:g} is {each['ratio']:g}, "
        f"not within {each['least']:g} and {each['most']:g}"
        for name, each in compared.items()
        if not each["least"] <= each["ratio"] <= each["most"]
    ]


def judged(plan: ScalePlan, figures: dict[str, Any]) -> list[str]:
    """What is wrong with a hollow run, or with what it proves."""
    found = []
    if figures["unanswered"]:
        found.append(f"{figures['unanswered']} calls had no final answer")
    found += [f"a fault in the program's parts: {each}" for each in figures["faults"]]
    if figures["servers"]["fallen"]:
        found.append(f"{figures['servers']['fallen']} cold roster servers were pushed over")
    if not figures["calls"]["stood"]:
        found.append("no call stood: the run proves nothing")
    changes = figures["changes"]
    if changes["not_heard"] or changes["lists_apart"]:
        found.append(
            f"{changes['not_heard']} changes of the list not heard, {changes['lists_apart']} softswitches go "
            "by another list than their coordinator's"
        )
    found += [
        f"{each.value} did not bite: the run proves nothing of it"
        for each in plan.must_bite
        if not figures["bites"][each.value]
    ]
    if plan.window:
        beyond = [each for each in figures["windows"] if each["fullest"] > each["most"]]
        found += [
            f"server {each['server']}: {each['fullest']} set-ups in a window while cold, "
            f"{each['most']:g} at most"
            for each in beyond[:5]
        ]
        if not figures["windows"]:
            found.append("window: no server was cold")
    return found


def carry_out(plan: ScalePlan, tell: Tell = lambda text: None) -> ScaleResult:
    """All of it."""
    need = fit(plan)
    tell(
        f"{plan.softswitches} hollow softswitches, {plan.servers} servers: {need.of(plan) / 2**20:.0f} MB by "
        f"what was measured ({need.softswitch / 1024:.0f} KB each and {need.link / 1024:.1f} KB a link)"
    )
    world, machine = play(plan, tell)
    machine["needed_mb"] = round(need.of(plan) / 2**20)
    machine["softswitch_kb"] = round(need.softswitch / 1024, 1)
    machine["link_kb"] = round(need.link / 1024, 2)
    result = ScaleResult(plan, world.figures(), machine)
    result.broken += judged(plan, result.figures)
    del world
    if plan.real is not None:
        small = twin(plan)
        tell(f"real: {small.softswitches} processes and as many hollow ones, {small.seconds:g} s")
        hollow, _ = play(small, settle_s=plan.real.settle_s)
        figures = hollow.figures()
        result.broken += [f"twin: {each}" for each in judged(small, figures)]
        result.real = asyncio.run(Processes(small, plan.real.settle_s).run())
        result.compared = held_against(plan, figures["compared"], result.real["compared"])
        result.broken += out_of_bounds(result.compared)
        for name in ("unanswered", "not_heard"):
            if result.real[name]:
                result.broken.append(f"real: {result.real[name]} {name.replace('_', ' ')}")
    return result
