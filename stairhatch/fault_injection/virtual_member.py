"""One softswitch on the virtual clock: the program's decisions, with a clock and a disk of its own.

The decisions (`stairhatch.fleet.member`) are never reached into: what is known of them is what they send,
write and report.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from stairhatch.fault_injection.event_queue import Action, EventQueue
from stairhatch.fault_injection.history import HistoryRecord, ProcessEvent
from stairhatch.fault_injection.schedule import (
    DEFAULT_LEASE_DURATION_S,
    ENDPOINT_LIST_LEASE,
    FaultKind,
    FaultSchedule,
    MemberNames,
)
from stairhatch.fault_injection.virtual_disk import DISK_SYNC_S, DiskFaults, VirtualDisk
from stairhatch.fault_injection.virtual_network import VirtualNetwork
from stairhatch.fleet.effects import (
    Effect,
    LeaseEvent,
    LeaseEventKind,
    MemberId,
    MemberState,
    PeerAddress,
    PersistedState,
    PersistFencingToken,
    PersistVotes,
    SendMessage,
)
from stairhatch.fleet.lease import LeaseConfig, LeaseTimings
from stairhatch.fleet.lease_pool import LeasePool
from stairhatch.fleet.member import ClusterMember
from stairhatch.fleet.messages import EndpointUpdate, FleetMessage, StorageVersion

MEAN_WORK_INTERVAL_S = 0.15  # between two pieces of work of the endpoint list's holder
MAX_CHECK_TO_WRITE_S = 0.02  # of a piece of work that is not stopped in between
TICK_INTERVAL_S = (0.001, 0.5)  # the least and the most
MAX_CLOCK_OFFSET_S = 1e5
ROUND_TIMEOUT_S = 0.25  # of one round of requests, at the default lease duration
WRITTEN_BEFORE_KILL = 0.5  # the probability that a write under way is on the disk after a kill
REORDERED_AFTER_STOP = 0.5  # the probability that what came during a stop is taken in another order


@dataclass(kw_only=True)
class VirtualRun:
    """What the members of one run share: the virtual clock, the network, and what is observed."""

    schedule: FaultSchedule
    rng: random.Random
    queue: EventQueue
    network: VirtualNetwork
    activations: Counter[str]  # how often each fault took effect
    records: list[HistoryRecord] = field(default_factory=list)
    effect_counts: Counter[str] = field(default_factory=Counter)  # messages and writes of all members
    voter_sets: list[MemberNames] = field(default_factory=list)  # by their epochs, from 1
    stop_before_write_s: float = 0.0  # the holder stops for so long at its next piece of work


class VirtualMember:
    """One softswitch: starts and ends, stops and resumes, and carries out what its decisions ask for.

    What is due while it is stopped is deferred until it resumes; what is due in one start never happens in
    the next. `decisions` are there only while it runs.
    """

    def __init__(self, run: VirtualRun, name: str) -> None:
        """Not started yet, with an empty disk."""
        self.shared = run
        self.name = name
        self.clock_rate = run.schedule.clock_rates.get(name, 1.0)
        self.clock_offset_s = run.rng.uniform(0, MAX_CLOCK_OFFSET_S)
        self.disk = VirtualDisk()
        self.disk_faults = DiskFaults()
        self.backups: list[tuple[float, VirtualDisk]] = []  # when each was taken
        self.decisions: ClusterMember | None = None
        self.index_pool: LeasePool
        self.start_count = 0
        self.configured_epoch = 1  # of the voter set in its file
        self.stopped_until = 0.0
        self.deferred: list[Action] = []
        self.pending_writes: list[PersistVotes] = []

    def clock(self) -> float:
        """The time that its own clock shows."""
        return self.clock_offset_s + self.shared.queue.now * self.clock_rate

    def to_true_time(self, local: float) -> float:
        """The time of the run at which its clock shows this."""
        return (local - self.clock_offset_s) / self.clock_rate

    def start(self) -> None:
        """Start it with what its disk holds, unless it runs."""
        if self.decisions is not None:
            return
        self.start_count += 1
        schedule, rng = self.shared.schedule, self.shared.rng
        voters = self.shared.voter_sets[self.configured_epoch - 1]
        persisted = self._read_disk() if self.name in voters else None
        identity = MemberId(self.name, rng.getrandbits(60))
        own_rng = random.Random(rng.getrandbits(64))
        round_s = ROUND_TIMEOUT_S * schedule.lease_duration_s / DEFAULT_LEASE_DURATION_S
        self.decisions = ClusterMember(
            identity,
            LeaseConfig(
                {name: (name, 0) for name in voters},
                LeaseTimings(schedule.lease_duration_s, schedule.drift_bound, round_s),
                self.configured_epoch,
            ),
            own_rng,
            self.clock(),
            MemberState(persisted, dict(self.disk.fencing_tokens)),
        )
        names = [f"number/{index}" for index in range(len(schedule.members) - 1)]
        self.index_pool = LeasePool(names, self.decisions.lease, own_rng.randrange(len(names)))
        self.index_pool.request(self.clock())
        self.decisions.lease(ENDPOINT_LIST_LEASE).request(self.clock())
        self.record(ProcessEvent.STARTED)
        self.tick()
        self.work()

    def _read_disk(self) -> PersistedState:
        disk = self.disk
        if not disk.storage_id:
            disk.storage_id = f"{self.shared.rng.getrandbits(64):016x}"
        disk.incarnation += 1
        version = StorageVersion(disk.storage_id, disk.incarnation, disk.vote_count)
        votes = tuple(disk.votes.values())
        return PersistedState(version, disk.admitted, votes, dict(disk.known_versions), disk.voter_set)

    def kill(self) -> None:
        """Kill it, if it runs: a write under way is on the disk or is not."""
        if self.decisions is None:
            return
        self.record(ProcessEvent.KILLED)
        for write in self.pending_writes:
            written = self.shared.rng.random() < WRITTEN_BEFORE_KILL
            if written and not self.disk_faults.is_failing(self.shared.queue.now):
                self.disk.apply(write)
        self.decisions = None
        self.pending_writes = []
        self.deferred = []
        self.stopped_until = 0.0

    def stop(self, duration_s: float) -> None:
        """Stop it for a time, if it runs."""
        if self.decisions is not None:
            self.record(ProcessEvent.STOPPED)
            self.stopped_until = max(self.stopped_until, self.shared.queue.now + duration_s)
            self.shared.queue.schedule_at(self.stopped_until, partial(self._resume, self.start_count))

    def _resume(self, start_number: int) -> None:
        """Handle what has come meanwhile, messages and timers in any order."""
        if self._is_running(start_number) and self.shared.queue.now >= self.stopped_until:
            actions, self.deferred = self.deferred, []
            if self.shared.rng.random() < REORDERED_AFTER_STOP:
                self.shared.rng.shuffle(actions)
            for action in actions:
                self._run_when_resumed(start_number, action)

    def _is_running(self, start_number: int) -> bool:
        return self.decisions is not None and self.start_count == start_number

    def _call_later(self, delay_s: float, action: Action) -> None:
        act = partial(self._run_when_resumed, self.start_count, action)
        self.shared.queue.schedule_at(self.shared.queue.now + delay_s, act)

    def _run_when_resumed(self, start_number: int, action: Action) -> None:
        if not self._is_running(start_number):
            return
        if self.shared.queue.now < self.stopped_until:
            self.deferred.append(action)
        else:
            action()

    def tick(self) -> None:
        """Let the decisions do what is due, and come again when something is."""
        decisions = self.decisions
        if decisions is None:
            return
        now = self.clock()
        self.execute(decisions.tick(now) + self.index_pool.tick(now))
        due = min(
            decisions.next_due_at(), self.index_pool.due_at if self.index_pool.due_at > now else float("inf")
        )
        shortest_s, longest_s = TICK_INTERVAL_S
        self._call_later(min(max(shortest_s, (due - now) / self.clock_rate), longest_s), self.tick)

    def deliver(self, sender: str, message: FleetMessage) -> None:
        """A datagram has arrived; it is received once the process is not stopped."""
        self._run_when_resumed(self.start_count, lambda: self.receive((sender, 0), message))

    def receive(self, sender: PeerAddress, message: FleetMessage) -> None:
        """Handle a datagram."""
        decisions = self.decisions
        if decisions is None:
            return
        if isinstance(message, EndpointUpdate):
            check = decisions.fencing_tokens.check(ENDPOINT_LIST_LEASE, message.fencing_token, sender)
            self.execute(check.effects)
            if check.is_accepted:
                self.record(LeaseEventKind.TOKEN_ACCEPTED.value, ENDPOINT_LIST_LEASE, message.fencing_token)
            return
        self.execute(decisions.handle(self.clock(), sender, message))
        now = self.clock()  # what is due by now is done at once, as in the program
        self.execute(decisions.tick(now) + self.index_pool.tick(now) + decisions.tick(now))

    def execute(self, effects: list[Effect]) -> None:
        """Do what the decisions ask for."""
        for effect in effects:
            match effect:
                case SendMessage():
                    self.shared.effect_counts["messages"] += 1
                    self.shared.network.send(self.name, effect.destination[0], effect.message)
                case PersistVotes():
                    self._begin_write(effect)
                case PersistFencingToken():
                    self.disk.fencing_tokens[effect.lease] = effect.fencing_token
                case LeaseEvent():
                    until_s = self.to_true_time(effect.expires_at) if effect.expires_at else 0.0
                    self.record(effect.kind.value, effect.lease, effect.fencing_token, until_s, effect.reason)

    def _begin_write(self, write: PersistVotes) -> None:
        self.shared.effect_counts["writes"] += 1
        self.pending_writes.append(write)
        now = self.shared.queue.now
        duration_s = self.shared.rng.uniform(*DISK_SYNC_S) + self.disk_faults.delay_at(now)
        finish = partial(self._finish_write, self.start_count, write)
        self.shared.queue.schedule_at(now + duration_s, finish)

    def _finish_write(self, start_number: int, write: PersistVotes) -> None:
        """Report to the decisions whether the disk has taken the write."""
        decisions = self.decisions
        if decisions is None or self.start_count != start_number:
            return
        self.pending_writes.remove(write)
        error = ""
        if self.disk_faults.is_failing(self.shared.queue.now):
            error = self.disk_faults.failing_kind.value
            self.shared.activations[error] += 1
        else:
            self.disk.apply(write)
        self._run_when_resumed(
            start_number, lambda: self.execute(decisions.write_completed(self.clock(), write.write_id, error))
        )

    def work(self) -> None:
        """Do a piece of work if it holds the endpoint list's lease: check, and send a moment later.

        The lease is not checked again before it is sent, wherever the process is stopped: fencing tokens
        guard against that.
        """
        decisions = self.decisions
        if decisions is None:
            return
        shared = self.shared
        if decisions.may_act(self.clock(), ENDPOINT_LIST_LEASE):
            token = decisions.leases[ENDPOINT_LIST_LEASE].fencing_token
            self.record(ProcessEvent.ACTED, ENDPOINT_LIST_LEASE, token)
            send = partial(self._send_update, token)
            if shared.stop_before_write_s:
                duration_s, shared.stop_before_write_s = shared.stop_before_write_s, 0.0
                shared.activations[FaultKind.STOP_BEFORE_WRITE.value] += 1
                self.stop(duration_s)
                self._call_later(0.0, send)
            else:
                self._call_later(shared.rng.uniform(0, MAX_CHECK_TO_WRITE_S), send)
        self._call_later(shared.rng.uniform(0, 2 * MEAN_WORK_INTERVAL_S), self.work)

    def _send_update(self, token: int) -> None:
        """Send the endpoint list to all others."""
        for name in self.shared.schedule.members:
            if name != self.name:
                self.shared.network.send(self.name, name, EndpointUpdate(self.name, token, 0, 0, 1, b""))

    def record(
        self, event: str, lease: str = "", token: int = 0, until_s: float = 0.0, reason: str = ""
    ) -> None:
        """Add a record to the run's history."""
        now = self.shared.queue.now
        self.shared.records.append(
            HistoryRecord(now, self.name, event, self.start_count, lease, token, until_s, reason=reason)
        )
