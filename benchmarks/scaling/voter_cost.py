"""What the leases of a fleet cost its voters and its other members, on the virtual clock."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from benchmarks.scaling.measurement import Measurement, MeasurementOptions
from stairhatch.fault_injection.schedule import ENDPOINT_LIST_LEASE, FaultSchedule
from stairhatch.fault_injection.virtual_cluster import VirtualCluster
from stairhatch.fleet.messages import FleetCodec

VOTERS = 3
UNLIMITED_S = 1e9  # the run is ended once its window is over
HELD_FRACTION = 0.99  # of the instance index leases
SETTLED_LEASE_DURATIONS = 2  # from when nearly all leases are held until the fleet is at rest
FIRST_LOOK_S, LOOK_INTERVAL_S = 0.5, 0.25
FLEET_NAME, FLEET_KEY = "fleet", b"0123456789abcdef"
SEED = 1


class _WindowOverError(Exception):
    """Ends a run that has what it wants."""


@dataclass(slots=True)
class Traffic:
    """Messages and bytes of one role, in and out."""

    messages: int = 0
    bytes: int = 0


class OutermostTimer:
    """Processor time of one member's decisions: of each call of a method that is not within another."""

    def __init__(self) -> None:
        self.spent_s = 0.0
        self._is_running = False

    def timed(self, act: Callable[..., None]) -> Callable[..., None]:
        """Return a method that is timed."""

        def run(*arguments: Any) -> None:
            if self._is_running:
                act(*arguments)
                return
            self._is_running, began = True, time.process_time()
            try:
                act(*arguments)
            finally:
                self._is_running = False
                self.spent_s += time.process_time() - began

        return run


class VoterMeasurement:
    """A fleet whose members all start at once, and what its voters did in a window at rest."""

    def __init__(self, size: int, window_s: float) -> None:
        names = tuple(f"s{index}" for index in range(size))
        self.size = size
        self.window_s = window_s
        self.all_held_at = 0.0
        self._voters = names[:VOTERS]
        self._cluster = VirtualCluster(FaultSchedule(UNLIMITED_S, names, self._voters), SEED)
        self._queue = self._cluster.shared.queue
        self._codec = FleetCodec(FLEET_NAME, FLEET_KEY)
        self._window_began: float | None = None
        self._timers: list[OutermostTimer] = []
        self._traffic: defaultdict[bool, Traffic] = defaultdict(Traffic)  # by whether it is a voter's
        self._instrument()

    def run(self) -> Measurement:
        """Run the fleet until its window is over."""
        self._queue.schedule_at(FIRST_LOOK_S, self._look_for_leases)
        with suppress(_WindowOverError):
            self._cluster.run()
        others = max(1, self.size - VOTERS)
        voters, members = self._traffic[True], self._traffic[False]
        spent_s = sum(timer.spent_s for timer in self._timers)
        passed = self.window_s
        return Measurement(
            figures={
                "voter_messages_by_members": voters.messages / VOTERS / passed,
                "voter_bytes_by_members": voters.bytes / VOTERS / passed,
                "voter_processor_by_members": 100 * spent_s / VOTERS / passed,
                "member_messages_by_members": members.messages / others / passed,
                "member_bytes_by_members": members.bytes / others / passed,
                "numbers_held_by_members": self.all_held_at,
            }
        )

    def _instrument(self) -> None:
        """Time the voters' decisions and count all messages; no member does the work of its lease."""
        for member in self._cluster.members.values():
            member.work = lambda: None  # type: ignore[method-assign]
        for name in self._voters:
            member, timer = self._cluster.members[name], OutermostTimer()
            member.receive = timer.timed(member.receive)  # type: ignore[method-assign]
            member.tick = timer.timed(member.tick)  # type: ignore[method-assign]
            self._timers.append(timer)
        network = self._cluster.shared.network
        send = network.send

        def count_and_send(sender: str, receiver: str, message: Any) -> None:
            if self._window_began is not None:
                self._count(sender, receiver, message)
            send(sender, receiver, message)

        network.send = count_and_send  # type: ignore[method-assign]

    def _count(self, sender: str, receiver: str, message: Any) -> None:
        size = len(self._codec.encode(message))
        for name in {sender, receiver}:
            traffic = self._traffic[name in self._voters]
            traffic.messages += 1
            traffic.bytes += size

    def _look_for_leases(self) -> None:
        """Begin the window a while after nearly all leases are held."""
        held = self._cluster.holders_by_lease()
        now = self._queue.now
        if ENDPOINT_LIST_LEASE in held and len(held) >= HELD_FRACTION * self.size:
            self.all_held_at = now
            settled_s = SETTLED_LEASE_DURATIONS * self._cluster.shared.schedule.lease_duration_s
            self._queue.schedule_at(now + settled_s, self._begin_window)
        else:
            self._queue.schedule_at(now + LOOK_INTERVAL_S, self._look_for_leases)

    def _begin_window(self) -> None:
        self._window_began = self._queue.now
        for timer in self._timers:
            timer.spent_s = 0.0
        self._queue.schedule_at(self._queue.now + self.window_s, self._end_window)

    def _end_window(self) -> None:
        raise _WindowOverError


def measure_by_members(size: int, options: MeasurementOptions) -> Measurement:
    """By members with leases of their own and three voters, once nearly all leases are held."""
    return VoterMeasurement(size, options.window_s).run()
