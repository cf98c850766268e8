"""The memory that a run needs, measured before it."""

from __future__ import annotations

import gc
import os
import tracemalloc
from dataclasses import dataclass
from pathlib import Path

import msgspec

from stairhatch.scale_test.errors import MemoryLimitError
from stairhatch.scale_test.schema import FleetPlan, PlannedEventKind, ScalePlan
from stairhatch.scale_test.simulation import Simulation

MEMORY_PART = 0.5  # of the machine's, the most
SAMPLES = (2, 10), (8, 40)  # softswitches and servers that memory is measured with
SAMPLE_S = 1.5  # of the virtual clock: all links are up by then


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
            each.count
            for each in plan.events
            if each.kind in (PlannedEventKind.COLD_REPLACEMENT, PlannedEventKind.RACK_OUTAGE)
        )
        links = self.link * plan.softswitch_count * (plan.server_count + replaced)
        return self.rest + self.softswitch * plan.softswitch_count + self.server * plan.server_count + links


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


def _few_voters(fleet: FleetPlan, most: int) -> FleetPlan:
    return msgspec.structs.replace(fleet, voter_count=min(fleet.voter_count, most))


def _held(plan: ScalePlan, softswitches: int, servers: int) -> float:
    """Bytes of a small run of the same form, with all links up and nothing asked."""
    small = msgspec.structs.replace(
        plan,
        softswitch_count=softswitches,
        server_count=servers,
        service_count=min(plan.service_count, servers),
        region_count=1,
        zone_count=1,
        events=(),
        required_events=(),
        real=None,
        fleet=plan.fleet and _few_voters(plan.fleet, softswitches),
        calls=msgspec.structs.replace(plan.calls, rate_per_s=0.0, service=-1),
    )
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    world = Simulation(small)
    with world.virtual_environment():
        world.start()
        world.context.clock.run_until(world.context.clock.now + SAMPLE_S)
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
    """MemoryLimitError where the machine has too little memory, with what it would need."""
    need = measure(plan)
    wanted, has = need.of(plan), machine_memory()
    if wanted > MEMORY_PART * has:
        each = need.softswitch + need.link * plan.server_count
        raise MemoryLimitError(
            f"softswitches: {plan.softswitch_count} with {plan.server_count} servers need "
            f"{wanted / 2**30:.1f} GiB ({each / 2**20:.2f} MiB each, measured); half of this machine's "
            f"memory is {MEMORY_PART * has / 2**30:.1f} GiB"
        )
    return need
