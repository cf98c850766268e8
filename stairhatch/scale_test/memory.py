"""Predicts the memory of a run from small runs of the same plan, before the run itself begins."""

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

MAX_MEMORY_FRACTION = 0.5  # of the machine's memory, for one run
FEW_SOFTSWITCHES, MANY_SOFTSWITCHES = 2, 8  # numbers of softswitches in the small runs
FEW_SERVERS, MANY_SERVERS = 10, 40  # numbers of roster servers in the small runs
SAMPLE_DURATION_S = 1.5  # virtual time, long enough for all connections to be established

KIB, MIB, GIB = 2**10, 2**20, 2**30


@dataclass(frozen=True, slots=True, kw_only=True)
class MemoryNeed:
    """The predicted memory of each kind of object in a run, in bytes."""

    softswitch: float
    connection: float  # between a softswitch and a roster server, both ends
    server: float
    base: float

    def total(self, plan: ScalePlan) -> float:
        """Return the predicted memory of a run of a plan, in bytes.

        A replaced server counts twice for connections: each softswitch keeps the connection to the old
        process for a while beside the one to the new process.
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
    """Return the physical memory in bytes, or the memory limit of the control group if that is lower."""
    physical = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    try:
        return min(physical, int(Path("/sys/fs/cgroup/memory.max").read_text()))
    except (OSError, ValueError):  # the control group has no limit ("max"), or there is no such file
        return physical


def resident_bytes() -> int:
    """Return the resident memory of this process (/proc/self/statm, proc(5))."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def memory_limit_bytes() -> float:
    """Return the maximum memory of a run in bytes."""
    return MAX_MEMORY_FRACTION * machine_memory_bytes()


def measure_memory_need(plan: ScalePlan) -> MemoryNeed:
    """Return the memory of each part of a run, from four small runs: four equations with four unknowns."""
    low_softswitches, high_softswitches, low_servers, high_servers = (
        FEW_SOFTSWITCHES,
        MANY_SOFTSWITCHES,
        FEW_SERVERS,
        MANY_SERVERS,
    )
    # Traced bytes of the small runs; `low_high` is the run with few softswitches and many servers, and so on.
    tracemalloc.start()
    try:
        low_low = _traced_bytes(plan, low_softswitches, low_servers)
        high_low = _traced_bytes(plan, high_softswitches, low_servers)
        low_high = _traced_bytes(plan, low_softswitches, high_servers)
        high_high = _traced_bytes(plan, high_softswitches, high_servers)
    finally:
        tracemalloc.stop()
    interpreter = resident_bytes()  # of the interpreter with all modules loaded
    connection = (high_high - high_low - low_high + low_low) / (
        (high_softswitches - low_softswitches) * (high_servers - low_servers)
    )
    connection = max(0.0, connection)
    softswitch = max(
        0.0, (high_low - low_low) / (high_softswitches - low_softswitches) - connection * low_servers
    )
    server = max(0.0, (low_high - low_low) / (high_servers - low_servers) - connection * low_softswitches)
    base = max(
        0.0,
        low_low
        - softswitch * low_softswitches
        - server * low_servers
        - connection * low_softswitches * low_servers,
    )
    return MemoryNeed(softswitch=softswitch, connection=connection, server=server, base=interpreter + base)


def require_memory(plan: ScalePlan) -> MemoryNeed:
    """Return the predicted memory of each kind of object in a run.

    Raises MemoryLimitError if the prediction exceeds the limit of `memory_limit_bytes`.
    """
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
    """Return the bytes allocated by a small run of the same plan, with all connections up and no calls."""
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
