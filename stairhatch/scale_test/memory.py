"""The memory that a run needs, measured on small runs of the same form before it begins."""

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

MAX_MEMORY_FRACTION = 0.5  # of the machine's
FEW_SOFTSWITCHES, MANY_SOFTSWITCHES = 2, 8  # in the small runs
FEW_SERVERS, MANY_SERVERS = 10, 40
SAMPLE_DURATION_S = 1.5  # of the virtual clock: all connections are up by then

KIB, MIB, GIB = 2**10, 2**20, 2**30


@dataclass(frozen=True, slots=True, kw_only=True)
class MemoryNeed:
    """The memory of each part of a run, in bytes."""

    softswitch: float
    connection: float  # of a softswitch to a roster server, both ends
    server: float
    base: float

    def total(self, plan: ScalePlan) -> float:
        """Return the memory that a run of a plan takes, in bytes.

        The connection to a server that is replaced is kept for a while beside the new one.
        """
        replacing = (PlannedEventKind.COLD_REPLACEMENT, PlannedEventKind.RACK_OUTAGE)
        replaced = sum(event.count for event in plan.events if event.kind in replacing)
        connection_count = plan.softswitch_count * (plan.server_count + replaced)
        return (
            self.base
            + self.softswitch * plan.softswitch_count
            + self.server * plan.server_count
            + self.connection * connection_count
        )


def machine_memory_bytes() -> int:
    """Return the memory of this machine in bytes, or the limit of its control group."""
    physical = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    try:
        return min(physical, int(Path("/sys/fs/cgroup/memory.max").read_text()))
    except (OSError, ValueError):  # there is no limit
        return physical


def resident_bytes() -> int:
    """Return the resident memory of this process (/proc/self/statm, proc(5))."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def memory_limit_bytes() -> float:
    """Return the limit for the memory of a run."""
    return MAX_MEMORY_FRACTION * machine_memory_bytes()


def measure_memory_need(plan: ScalePlan) -> MemoryNeed:
    """Measure the memory of the parts of a run: four small runs, solved for four unknowns."""
    few, many, less, more = FEW_SOFTSWITCHES, MANY_SOFTSWITCHES, FEW_SERVERS, MANY_SERVERS
    tracemalloc.start()
    try:
        few_less = _traced_bytes(plan, few, less)
        many_less = _traced_bytes(plan, many, less)
        few_more = _traced_bytes(plan, few, more)
        many_more = _traced_bytes(plan, many, more)
    finally:
        tracemalloc.stop()
    interpreter = resident_bytes()  # with all modules loaded
    connection = (many_more - many_less - few_more + few_less) / ((many - few) * (more - less))
    connection = max(0.0, connection)
    softswitch = max(0.0, (many_less - few_less) / (many - few) - connection * less)
    server = max(0.0, (few_more - few_less) / (more - less) - connection * few)
    base = max(0.0, few_less - softswitch * few - server * less - connection * few * less)
    return MemoryNeed(softswitch=softswitch, connection=connection, server=server, base=interpreter + base)


def require_memory(plan: ScalePlan) -> MemoryNeed:
    """Return the memory of the parts of a run; MemoryLimitError if the run exceeds the limit."""
    need = measure_memory_need(plan)
    total, limit = need.total(plan), memory_limit_bytes()
    if total > limit:
        each = need.softswitch + need.connection * plan.server_count
        raise MemoryLimitError(
            f"softswitches: {plan.softswitch_count} with {plan.server_count} servers need "
            f"{total / GIB:.1f} GiB ({each / MIB:.2f} MiB each, measured); half of this machine's memory is "
            f"{limit / GIB:.1f} GiB"
        )
    return need


def _traced_bytes(plan: ScalePlan, softswitch_count: int, server_count: int) -> float:
    """Return the memory of a small run of the same form, with all connections up and no calls."""
    small = msgspec.structs.replace(
        plan,
        softswitch_count=softswitch_count,
        server_count=server_count,
        service_count=min(plan.service_count, server_count),
        region_count=1,
        zone_count=1,
        events=(),
        required_events=(),
        real=None,
        fleet=plan.fleet and _limit_voters(plan.fleet, softswitch_count),
        calls=msgspec.structs.replace(plan.calls, rate_per_s=0.0, service=-1),
    )
    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    simulation = Simulation(small)
    with simulation.virtual_environment():
        simulation.start()
        clock = simulation.context.clock
        clock.run_until(clock.now + SAMPLE_DURATION_S)
    gc.collect()
    return tracemalloc.get_traced_memory()[0] - before


def _limit_voters(fleet: FleetPlan, maximum: int) -> FleetPlan:
    return msgspec.structs.replace(fleet, voter_count=min(fleet.voter_count, maximum))
