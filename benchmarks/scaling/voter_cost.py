"""Measures messages, bytes and processor time of leases at voters and other members, on the virtual clock."""

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
UNLIMITED_S = 1e9  # the run ends by _WindowOverError when its window is over
HELD_FRACTION = 0.99  # fraction of instance index leases that must be held before the window
SETTLED_LEASE_DURATIONS = 2  # lease durations between HELD_FRACTION of held leases and the window
FIRST_LEASE_CHECK_S, LEASE_CHECK_INTERVAL_S = 0.5, 0.25
FLEET_NAME, FLEET_KEY = "fleet", b"0123456789abcdef"
SEED = 1


class _WindowOverError(Exception):
    """Ends the event loop of a run when its window is over."""


@dataclass(slots=True)
class Traffic:
    """Sent and received messages and bytes of all members in one role."""

    messages: int = 0
    bytes: int = 0


class OutermostTimer:
    """A timer of one member's processor time that counts only the outermost of nested timed calls."""

    def __init__(self) -> None:
        self.spent_s = 0.0
        self._is_running = False

    def timed(self, method: Callable[..., None]) -> Callable[..., None]:
        """Return a timed version of a method."""

        def run(*arguments: Any) -> None:
            if self._is_running:
                method(*arguments)
                return
            self._is_running, started_at = True, time.process_time()
            try:
                method(*arguments)
            finally:
                self._is_running = False
                self.spent_s += time.process_time() - started_at

        return run


class VoterMeasurement:
    """A measurement of a fleet whose members all start at once, in a window when the fleet is at rest."""

    def __init__(self, size: int, window_s: float) -> None:
        names = tuple(f"s{index}" for index in range(size))
        self.size = size
        self.window_s = window_s
        self.all_held_at = 0.0
        self._voters = names[:VOTERS]
        self._cluster = VirtualCluster(FaultSchedule(UNLIMITED_S, names, self._voters), SEED)
        self._queue = self._cluster.shared.queue
        self._codec = FleetCodec(FLEET_NAME, FLEET_KEY)
        self._window_started_at: float | None = None
        self._timers: list[OutermostTimer] = []
        self._traffic: defaultdict[bool, Traffic] = defaultdict(Traffic)  # key: whether a voter's
        self._instrument()

    def run(self) -> Measurement:
        """Run the fleet until its window is over. Returns figures per voter and per other member."""
        self._queue.schedule_at(FIRST_LEASE_CHECK_S, self._check_leases)
        with suppress(_WindowOverError):
            self._cluster.run()
        others = max(1, self.size - VOTERS)
        voters, members = self._traffic[True], self._traffic[False]
        spent_s = sum(timer.spent_s for timer in self._timers)
        window_s = self.window_s
        return Measurement(
            figures={
                "voter_messages_by_members": voters.messages / VOTERS / window_s,
                "voter_bytes_by_members": voters.bytes / VOTERS / window_s,
                "voter_processor_by_members": 100 * spent_s / VOTERS / window_s,
                "member_messages_by_members": members.messages / others / window_s,
                "member_bytes_by_members": members.bytes / others / window_s,
                "numbers_held_by_members": self.all_held_at,
            }
        )

    def _instrument(self) -> None:
        """Install timers in the voters and a message counter in the network.

        The work that a lease permits is disabled in all members, so that only the leases are measured.
        """
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
            if self._window_started_at is not None:
                self._count(sender, receiver, message)
            send(sender, receiver, message)

        network.send = count_and_send  # type: ignore[method-assign]

    def _count(self, sender: str, receiver: str, message: Any) -> None:
        size = len(self._codec.encode(message))
        for name in {sender, receiver}:
            traffic = self._traffic[name in self._voters]
            traffic.messages += 1
            traffic.bytes += size

    def _check_leases(self) -> None:
        """Schedule the window SETTLED_LEASE_DURATIONS after HELD_FRACTION of the leases are held.

        Until then, check again every LEASE_CHECK_INTERVAL_S.
        """
        held = self._cluster.holders_by_lease()
        now = self._queue.now
        if ENDPOINT_LIST_LEASE in held and len(held) >= HELD_FRACTION * self.size:
            self.all_held_at = now
            settled_s = SETTLED_LEASE_DURATIONS * self._cluster.shared.schedule.lease_duration_s
            self._queue.schedule_at(now + settled_s, self._begin_window)
        else:
            self._queue.schedule_at(now + LEASE_CHECK_INTERVAL_S, self._check_leases)

    def _begin_window(self) -> None:
        self._window_started_at = self._queue.now
        for timer in self._timers:
            timer.spent_s = 0.0
        self._queue.schedule_at(self._queue.now + self.window_s, self._end_window)

    def _end_window(self) -> None:
        raise _WindowOverError


def measure_by_members(size: int, options: MeasurementOptions) -> Measurement:
    """Measure a fleet at rest with three voters, by members; each member has an instance index lease."""
    return VoterMeasurement(size, options.window_s).run()
