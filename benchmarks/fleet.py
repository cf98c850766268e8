"""Measures the cost of leases and the time until a lease has a new holder.

On the virtual clock: messages and syncs at rest by the size of the fleet, the time from a kill of the holder
until the next holder may act, and the time until every member has a lease. On real processes: the cost of
leases to calls, and the time from a SIGKILL of the holder to the next holder. Prints one figure per line.

    .venv/bin/python benchmarks/fleet.py
    .venv/bin/python benchmarks/fleet.py --calls   # cost to calls: real softswitches, without and with leases
    .venv/bin/python benchmarks/fleet.py --kills   # from SIGKILL to the next holder on real processes
"""

from __future__ import annotations

import multiprocessing
import os
import random
import statistics
import sys
from dataclasses import dataclass
from pathlib import Path

import uvloop

sys.path.insert(0, str(Path(__file__).parents[1]))

from stairhatch.fault_injection.lease_rules import hold_intervals
from stairhatch.fault_injection.process_run import FaultInjectionRun
from stairhatch.fault_injection.schedule import (
    ENDPOINT_LIST_LEASE,
    HOLDER,
    FaultKind,
    FaultSchedule,
    ScheduledFault,
)
from stairhatch.fault_injection.virtual_cluster import VirtualCluster

LEASE_DURATION_S = 3.0
VOTER_COUNT = 3
MEMBER_COUNT = 5

FLEET_SIZES = (5, 50, 200)
AT_REST_FROM_S, AT_REST_UNTIL_S = 60.0, 119.9

KILLED_LEASE_DURATIONS_S = (1.0, 3.0, 10.0)
VIRTUAL_KILLS = 300

KILL_INTERVAL_LEASES = 3.5  # interval between two kills on real processes, in lease durations
KILLS_PER_RUN = 8
KILL_RUNS, KILL_JOBS = 12, 6

CALL_RATES = (60.0, 120.0)  # calls per second to each softswitch
CALL_RUNS, CALL_RUN_S = 6, 14.0
MARGIN_S = 1.0  # at the begin and at the end of a run of calls; its processor time is not counted


def member_names(count: int) -> tuple[str, ...]:
    """Return the names of `count` members."""
    return tuple(f"s{index}" for index in range(count))


def quantile(ordered: list[float], fraction: float) -> float:
    """Return the value at a fraction of a sorted list; `fraction` is at least 0 and below 1."""
    return ordered[int(len(ordered) * fraction)]


def measure_at_rest(count: int) -> None:
    """Print messages and syncs per second of a fleet at rest, when all instance indices are held."""
    schedule = FaultSchedule(
        120.0, member_names(count), member_names(VOTER_COUNT), lease_duration_s=LEASE_DURATION_S
    )
    cluster = VirtualCluster(schedule, 1)
    effect_counts = cluster.shared.effect_counts
    counts: list[tuple[int, int]] = []
    for at_s in (AT_REST_FROM_S, AT_REST_UNTIL_S):
        cluster.shared.queue.schedule_at(
            at_s, lambda: counts.append((effect_counts["messages"], effect_counts["writes"]))
        )
    held = [each for each in cluster.run() if each.event == "held"]
    first_s = min(each.at_s for each in held if each.lease == ENDPOINT_LIST_LEASE)
    last_s = max(each.at_s for each in held if each.lease.startswith("number"))
    duration_s = AT_REST_UNTIL_S - AT_REST_FROM_S
    messages, writes = ((after - before) / duration_s for before, after in zip(*counts, strict=True))
    print(f"{count:4} softswitches: {messages:8.1f} messages/s in total, {messages / count:5.2f} each,")
    print(f"     {writes:.3f} syncs/s; list held after {first_s:.2f} s, all indices after {last_s:.1f} s")


def measure_virtual_kills(lease_duration_s: float, kills: int) -> None:
    """Print quantiles of the time from a kill of the holder to the next holder, on the virtual clock."""
    waits_s = sorted(_wait_after_virtual_kill(lease_duration_s, seed) for seed in range(kills))
    print(
        f"term {lease_duration_s} s, {kills} kills: next holder p50 {statistics.median(waits_s):.2f} s, "
        f"p99 {quantile(waits_s, 0.99):.2f} s, longest {waits_s[-1]:.2f} s"
    )


def _wait_after_virtual_kill(lease_duration_s: float, seed: int) -> float:
    rng = random.Random(seed)
    killed_at_s = 5 * lease_duration_s + rng.uniform(0, lease_duration_s)
    kill = ScheduledFault(killed_at_s, FaultKind.KILL, HOLDER, duration_s=10 * lease_duration_s)
    schedule = FaultSchedule(
        9 * lease_duration_s,
        member_names(MEMBER_COUNT),
        member_names(VOTER_COUNT),
        (kill,),
        lease_duration_s=lease_duration_s,
    )
    intervals = hold_intervals(VirtualCluster(schedule, seed).run())
    later = [
        each.since_s for each in intervals if each.lease == ENDPOINT_LIST_LEASE and each.since_s > killed_at_s
    ]
    return min(later, default=float("inf")) - killed_at_s


async def kill_holders(seed: int, kills: int) -> list[float]:
    """Kill the holder repeatedly on real processes.

    Returns the seconds from each SIGKILL of the holder until the next holder may act.
    """
    interval_s = KILL_INTERVAL_LEASES * LEASE_DURATION_S
    faults = tuple(
        ScheduledFault(2 * LEASE_DURATION_S + index * interval_s, FaultKind.KILL, HOLDER, duration_s=0.2)
        for index in range(kills)
    )
    schedule = FaultSchedule(
        (kills + 1) * interval_s,
        member_names(MEMBER_COUNT),
        member_names(VOTER_COUNT),
        faults,
        lease_duration_s=LEASE_DURATION_S,
    )
    report = await FaultInjectionRun(schedule, seed).run()
    held = [each for each in hold_intervals(report.records) if each.lease == ENDPOINT_LIST_LEASE]
    waits_s = []
    for record in report.records:
        was_holder = any(
            each.member == record.member and each.since_s < record.at_s <= each.until_s + 1e-3
            for each in held
        )
        if record.event == "killed" and was_holder:
            later = [each.since_s for each in held if each.since_s > record.at_s]
            waits_s += [min(later) - record.at_s] if later else []
    return waits_s


def kill_holders_of_seed(seed: int) -> list[float]:
    """Run `kill_holders` with an event loop of its own, as a worker of the process pool."""
    return uvloop.run(kill_holders(seed, KILLS_PER_RUN))


def measure_real_kills() -> None:
    """Print quantiles of the time from a SIGKILL of the holder to the next holder, on real processes."""
    with multiprocessing.get_context("spawn").Pool(KILL_JOBS) as pool:
        runs = pool.map(kill_holders_of_seed, range(KILL_RUNS), chunksize=1)
    waits_s = sorted(each for run in runs for each in run)
    print(
        f"real processes, term {LEASE_DURATION_S} s, {len(waits_s)} kills: next holder p50"
        f" {statistics.median(waits_s):.2f} s, p99 {quantile(waits_s, 0.99):.2f} s,"
        f" longest {waits_s[-1]:.2f} s"
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class CallCost:
    """The cost of the calls of one run: latency and processor time."""

    answer_p99_ms: float
    processor_ms_per_call: float
    calls: int


async def place_calls(rate: float, duration_s: float, *, fleet: bool) -> CallCost:
    """Place calls at three softswitches for `duration_s` seconds; `fleet` enables leases."""
    names = member_names(VOTER_COUNT)
    schedule = FaultSchedule(duration_s, names, names, lease_duration_s=LEASE_DURATION_S)
    run = FaultInjectionRun(schedule, 1, calls=rate, fleet=fleet)
    readings_s: list[float] = []
    read_at_s = [MARGIN_S, duration_s - MARGIN_S]

    def read_processor_time(elapsed_s: float) -> None:
        if len(readings_s) < len(read_at_s) and elapsed_s > read_at_s[len(readings_s)]:
            readings_s.append(processor_time_s(run))

    await run.run(read_processor_time)
    answers_s = sorted(run.callers.answer_times_s)
    calls_between = len(answers_s) * (duration_s - 2 * MARGIN_S) / duration_s
    return CallCost(
        answer_p99_ms=1000 * quantile(answers_s, 0.99),
        processor_ms_per_call=1000 * (readings_s[1] - readings_s[0]) / calls_between,
        calls=len(answers_s),
    )


def processor_time_s(run: FaultInjectionRun) -> float:
    """Return the processor time of all softswitches so far, in seconds (proc(5))."""
    ticks = 0
    for member in run.members.values():
        assert member.process is not None
        fields = Path(f"/proc/{member.process.pid}/stat").read_text().rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def measure_calls(rate: float) -> None:
    """Print the cost of calls in runs without and with leases, in turn."""
    for index in range(CALL_RUNS):
        fleet = bool(index % 2)
        cost = uvloop.run(place_calls(rate, CALL_RUN_S, fleet=fleet))
        print(
            f"fleet {'on ' if fleet else 'off'}, {rate:.0f}/s each: p99 {cost.answer_p99_ms:.2f} ms, "
            f"{cost.processor_ms_per_call:.3f} ms of processor time per call, {cost.calls} calls",
            flush=True,
        )


def main() -> None:
    """Run the measurements selected by the options."""
    if "--calls" in sys.argv:
        for rate in CALL_RATES:
            measure_calls(rate)
    elif "--kills" in sys.argv:
        measure_real_kills()
    else:
        for size in FLEET_SIZES:
            measure_at_rest(size)
        for lease_duration_s in KILLED_LEASE_DURATIONS_S:
            measure_virtual_kills(lease_duration_s, VIRTUAL_KILLS)


if __name__ == "__main__":
    main()
