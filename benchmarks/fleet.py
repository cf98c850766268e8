"""What claims cost and how fast they pass on, on the virtual clock: messages and syncs at rest by the size of
the fleet, the time from the death of a holder to the next holder at work, and how long it takes until one of
many that ask at once has a claim. Prints a figure a line; nothing here is a test.

    .venv/bin/python benchmarks/fleet.py
    .venv/bin/python benchmarks/fleet.py --calls   # what it costs calls: real appliances, off and on in turn
    .venv/bin/python benchmarks/fleet.py --kills   # from SIGKILL to the next holder on real processes
"""

from __future__ import annotations

import multiprocessing
import os
import random
import statistics
import sys
from pathlib import Path

import uvloop

sys.path.insert(0, str(Path(__file__).parents[1]))

from stairhatch.fault_injection.lease_rules import hold_intervals
from stairhatch.fault_injection.process_run import FaultInjectionRun
from stairhatch.fault_injection.schedule import ENDPOINT_LIST_LEASE, FaultKind, FaultSchedule, ScheduledFault
from stairhatch.fault_injection.virtual_cluster import VirtualCluster

TERM_S = 3.0


def members(count: int) -> tuple[str, ...]:
    """Names."""
    return tuple(f"s{index}" for index in range(count))


def at_rest(count: int) -> None:
    """Messages and syncs a second once all numbers are held."""
    world = VirtualCluster(FaultSchedule(120.0, members(count), members(3), lease_duration_s=TERM_S), 1)
    marks: list[tuple[int, int]] = []
    for when in (60.0, 119.9):
        world.shared.queue.schedule_at(
            when,
            lambda: marks.append(
                (world.shared.effect_counts["messages"], world.shared.effect_counts["writes"])
            ),
        )
    lines = world.run()
    first = min(line.at_s for line in lines if line.event == "held" and line.lease == ENDPOINT_LIST_LEASE)
    last = max(line.at_s for line in lines if line.event == "held" and line.lease.startswith("number"))
    messages, writes = ((after - before) / 59.9 for before, after in zip(*marks, strict=True))
    print(f"{count:4} softswitches: {messages:8.1f} messages/s in all, {messages / count:5.2f} each,")
    print(f"     {writes:.3f} syncs/s; the list held after {first:.2f} s, all numbers after {last:.1f} s")


def passes_on(term_s: float, kills: int) -> None:
    """From the holder's SIGKILL to the next that may act."""
    took = []
    for seed in range(kills):
        chance = random.Random(seed)
        when = 5 * term_s + chance.uniform(0, term_s)
        event = ScheduledFault(when, FaultKind.KILL, "@holder", duration_s=10 * term_s)
        world = VirtualCluster(
            FaultSchedule(9 * term_s, members(5), members(3), (event,), lease_duration_s=term_s), seed
        )
        held = [each for each in hold_intervals(world.run()) if each.lease == ENDPOINT_LIST_LEASE]
        after = [each.since_s for each in held if each.since_s > when]
        took += [min(after) - when] if after else [float("inf")]
    took.sort()
    print(f"term {term_s} s, {kills} kills: next holder p50 {statistics.median(took):.2f} s, "
          f"p99 {took[int(len(took) * 0.99)]:.2f} s, longest {took[-1]:.2f} s")  # fmt: skip


async def real_kills(seed: int, kills: int) -> list[float]:
    """Seconds from the holder's SIGKILL to the next that may act, on real processes."""
    every = 3.5 * TERM_S
    events = tuple(
        ScheduledFault(2 * TERM_S + n * every, FaultKind.KILL, "@holder", duration_s=0.2)
        for n in range(kills)
    )
    lab = FaultInjectionRun(
        FaultSchedule((kills + 1) * every, members(5), members(3), events, lease_duration_s=TERM_S), seed
    )
    report = await lab.run()
    took = []
    held = [each for each in hold_intervals(report.records) if each.lease == ENDPOINT_LIST_LEASE]
    for line in report.records:
        if line.event == "killed" and any(
            each.member == line.member and each.since_s < line.at_s <= each.until_s + 1e-3 for each in held
        ):
            after = [each.since_s for each in held if each.since_s > line.at_s]
            took += [min(after) - line.at_s] if after else []
    return took


def real_kills_in(told: tuple[int, int]) -> list[float]:
    """The same, in a process of its own."""
    return uvloop.run(real_kills(*told))


async def calls(on: bool, rate: float, seconds: float) -> tuple[float, float, int]:
    """(p99 of final answers in ms, processor time a call in ms, calls) of three appliances."""
    lab = FaultInjectionRun(
        FaultSchedule(seconds, members(3), members(3), lease_duration_s=TERM_S), 1, calls=rate, fleet=on
    )
    used: list[float] = []

    def look(passed: float) -> None:
        if passed > (1.0, seconds - 1.0, seconds + 60.0)[len(used)]:
            used.append(cpu_s(lab))

    await lab.run(look)
    took = sorted(lab.callers.answer_times_s)
    done = len(took) * (seconds - 2.0) / seconds
    return 1000 * took[int(len(took) * 0.99)], 1000 * (used[1] - used[0]) / done, len(took)


def cpu_s(lab: FaultInjectionRun) -> float:
    """Processor time of all softswitches so far."""
    found = 0.0
    for member in lab.members.values():
        assert member.process is not None
        words = Path(f"/proc/{member.process.pid}/stat").read_text().rpartition(")")[2].split()
        found += (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")
    return found


if __name__ == "__main__":
    if "--calls" in sys.argv:
        for rate in (60.0, 120.0):
            for turn in range(6):
                p99, cost, many = uvloop.run(calls(bool(turn % 2), rate, 14.0))
                told = f"p99 {p99:.2f} ms, {cost:.3f} ms of processor a call, {many} calls"
                print(f"fleet {'on ' if turn % 2 else 'off'}, {rate:.0f}/s each: {told}", flush=True)
        sys.exit()
    if "--kills" in sys.argv:
        with multiprocessing.get_context("spawn").Pool(6) as pool:
            runs = pool.map(real_kills_in, [(seed, 8) for seed in range(12)], chunksize=1)
        found = sorted(each for run in runs for each in run)
        print(f"real processes, term {TERM_S} s, {len(found)} kills: next holder p50"
              f" {statistics.median(found):.2f} s, p99 {found[int(len(found) * 0.99)]:.2f} s,"
              f" longest {found[-1]:.2f} s")  # fmt: skip
        sys.exit()
    for size in (5, 50, 200):
        at_rest(size)
    for seconds in (1.0, 3.0, 10.0):
        passes_on(seconds, 300)
