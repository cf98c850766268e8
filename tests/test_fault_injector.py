"""Times at which the injector of a run on real processes injects a fault or lets it wait."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

from stairhatch.fault_injection.fault_injector import FaultInjector
from stairhatch.fault_injection.history import HistoryRecord
from stairhatch.fault_injection.network_links import NetworkLinks
from stairhatch.fault_injection.schedule import HOLDER, FaultKind, FaultSchedule, ScheduledFault


@dataclass
class IdleMember:
    """Fake member without a process; `records` is its history."""

    name: str
    records: list[HistoryRecord] = field(default_factory=list)
    start_count: int = 1
    process: None = None
    kill_count: int = 0

    def history(self):
        return self.records

    def resume_if_due(self):
        pass

    def start(self):
        pass

    def kill(self):
        self.kill_count += 1
        return True


class IdleRun:
    """Fake run without processes; each poll of the injector adds one event to a member's history."""

    def __init__(self, schedule, events):
        self.schedule = schedule
        self.members = {name: IdleMember(name) for name in schedule.members}
        self.events = list(events)
        self.event_count = 0  # number of events added to the histories so far
        self.file_changes = []  # (epoch, `event_count` at that time) of each written file

    def write_config(self, _member, epoch, _voters):
        self.file_changes.append((epoch, self.event_count))

    def on_progress(self, _elapsed_s):
        if not self.events:
            return
        member, event, token = self.events.pop(0)
        self.event_count += 1
        now = time.monotonic()
        record = HistoryRecord(now, member, event, 1, "list", token, now + 60)
        self.members[member].records.append(record)

    async def carry_out(self):
        """Run an injector over the schedule and return the injector."""
        rng = random.Random(1)
        injector = FaultInjector(self.schedule, self.members, NetworkLinks(1), rng, self.write_config)
        await injector.run(time.monotonic(), self.on_progress)
        injector.close()
        return injector


def test_the_schedule_is_paused_until_a_required_fault_has_a_holder():
    """A slow start of the members delays the schedule, but no required fault is lost by it."""
    kill = ScheduledFault(0.0, FaultKind.KILL, HOLDER)
    schedule = FaultSchedule(
        0.05, ("a", "b", "c"), ("a",), (kill,), lease_duration_s=0.001, required_activations=("kill",)
    )
    run = IdleRun(schedule, [*[("b", "votes", 0)] * 20, ("b", "held", 1)])
    injector = asyncio.run(run.carry_out())
    assert injector.activations["kill"] == 1
    assert run.members["b"].kill_count == 1
    assert injector.paused_s > 0
    assert injector.elapsed_s() >= schedule.duration_s + injector.paused_s


def test_a_fault_that_is_not_required_waits_for_a_holder_for_two_lease_durations():
    """A fault that is not required is dropped after the wait, and the schedule is not paused for it."""
    kill = ScheduledFault(0.0, FaultKind.KILL, HOLDER)
    schedule = FaultSchedule(0.2, ("a", "b", "c"), ("a",), (kill,), lease_duration_s=1e-9)
    run = IdleRun(schedule, [("b", "held", 1)])
    injector = asyncio.run(run.carry_out())
    assert run.event_count == 1
    assert not injector.activations["kill"]
    assert injector.paused_s == 0


def test_a_required_voter_set_change_waits_until_the_previous_one_has_completed():
    """Each voter set is adopted by all its voters before the next change.

    Otherwise there may never be a majority that advances to the next voter set.
    """
    changes = (
        ScheduledFault(0.0, FaultKind.CHANGE_VOTERS, members=("a", "b", "c")),
        ScheduledFault(0.0, FaultKind.CHANGE_VOTERS, members=("b", "c")),
    )
    schedule = FaultSchedule(
        0.1, ("a", "b", "c"), ("a", "b"), changes, lease_duration_s=0.001, required_activations=("voters",)
    )
    advanced = "goes by the next list of voters"
    events = [
        ("a", "votes", 0),
        ("b", "votes", 0),  # second event: all voters of the first set vote
        ("a", advanced, 2),
        ("c", "votes", 0),
        ("b", advanced, 1),  # advance to an older epoch, which must not count
        ("b", advanced, 2),  # sixth event: the second voter set is adopted
    ]
    run = IdleRun(schedule, events)
    asyncio.run(run.carry_out())
    first_counts, second_counts = (
        [count for epoch, count in run.file_changes if epoch == each] for each in (2, 3)
    )
    assert len(first_counts) == len(second_counts) == 3
    assert min(first_counts) >= 2
    assert min(second_counts) >= 6
