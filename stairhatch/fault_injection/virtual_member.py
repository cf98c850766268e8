"""A softswitch on the virtual clock: the program's lease protocol with a simulated clock, disk and process.

The rules check the protocol (`stairhatch.fleet.member`) only by its effects: the messages that it sends, the
writes that it requests and the events that it reports.
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

MEAN_WORK_INTERVAL_S = 0.15  # between two calls of `VirtualMember.work`
MAX_CHECK_TO_WRITE_S = 0.02  # from the lease check to the update, if the process is not stopped
TICK_INTERVAL_RANGE_S = (0.001, 0.5)  # minimum and maximum
MAX_CLOCK_OFFSET_S = 1e5
ROUND_TIMEOUT_S = 0.25  # of a request round, at the default lease duration
WRITE_SURVIVES_KILL_PROBABILITY = 0.5  # probability that a kill leaves a pending write on the disk
REORDER_AFTER_STOP_PROBABILITY = 0.5  # probability that actions deferred by a stop are shuffled


@dataclass(kw_only=True)
class VirtualRun:
    """The state shared by the members of one run: virtual clock, network, history and counters."""

    schedule: FaultSchedule
    rng: random.Random
    queue: EventQueue
    network: VirtualNetwork
    activations: Counter[str]  # how often each kind of fault took effect
    records: list[HistoryRecord] = field(default_factory=list)
    effect_counts: Counter[str] = field(default_factory=Counter)  # "messages" and "writes" of all members
    voter_sets: list[MemberNames] = field(default_factory=list)  # index 0 is the set of epoch 1
    stop_before_write_s: float = 0.0  # duration of a stop before the holder's next update; 0: none


class VirtualMember:
    """Driver of one softswitch's lease protocol: simulates the process and carries out the effects.

    An action that becomes due while the process is stopped is deferred until the process resumes. An action
    scheduled before a kill is never carried out after the restart. `protocol` is None while no process runs.
    """

    def __init__(self, run: VirtualRun, name: str) -> None:
        """Create a member with an empty disk and no process. Draw its clock offset."""
        self.shared = run
        self.name = name
        self.clock_rate = run.schedule.clock_rates.get(name, 1.0)
        self.clock_offset_s = run.rng.uniform(0, MAX_CLOCK_OFFSET_S)
        self.disk = VirtualDisk()
        self.disk_faults = DiskFaults()
        self.backups: list[tuple[float, VirtualDisk]] = []  # with the time of each copy
        self.protocol: ClusterMember | None = None
        self.index_pool: LeasePool
        self.start_count = 0
        self.configured_epoch = 1  # of the voter set in the configuration file
        self.stopped_until = 0.0
        self.deferred_actions: list[Action] = []
        self.pending_writes: list[PersistVotes] = []

    def clock(self) -> float:
        """The present time of this member's own clock, in seconds."""
        return self.clock_offset_s + self.shared.queue.now * self.clock_rate

    def to_run_time(self, member_time: float) -> float:
        """Convert a time of this member's own clock to a time of the run, both in seconds."""
        return (member_time - self.clock_offset_s) / self.clock_rate

    def start(self) -> None:
        """Start the process with the data on its disk; do nothing if a process runs already."""
        if self.protocol is not None:
            return
        self.start_count += 1
        schedule, rng = self.shared.schedule, self.shared.rng
        voters = self.shared.voter_sets[self.configured_epoch - 1]
        persisted = self._read_disk() if self.name in voters else None
        identity = MemberId(self.name, rng.getrandbits(60))
        member_rng = random.Random(rng.getrandbits(64))
        round_timeout_s = ROUND_TIMEOUT_S * schedule.lease_duration_s / DEFAULT_LEASE_DURATION_S
        self.protocol = ClusterMember(
            identity,
            LeaseConfig(
                {name: (name, 0) for name in voters},
                LeaseTimings(schedule.lease_duration_s, schedule.drift_bound, round_timeout_s),
                self.configured_epoch,
            ),
            member_rng,
            self.clock(),
            MemberState(persisted, dict(self.disk.fencing_tokens)),
        )
        index_leases = [f"number/{index}" for index in range(len(schedule.members) - 1)]
        self.index_pool = LeasePool(
            index_leases, self.protocol.lease, member_rng.randrange(len(index_leases))
        )
        self.index_pool.request(self.clock())
        self.protocol.lease(ENDPOINT_LIST_LEASE).request(self.clock())
        self.record(ProcessEvent.STARTED)
        self.tick()
        self.work()

    def _read_disk(self) -> PersistedState:
        """Return the voter's state for a new incarnation; an empty disk first gets a storage id."""
        disk = self.disk
        if not disk.storage_id:
            disk.storage_id = f"{self.shared.rng.getrandbits(64):016x}"
        disk.incarnation += 1
        version = StorageVersion(disk.storage_id, disk.incarnation, disk.vote_count)
        votes = tuple(disk.votes.values())
        return PersistedState(version, disk.admitted, votes, dict(disk.known_versions), disk.voter_set)

    def kill(self) -> None:
        """Kill the process, if it runs.

        Each pending write is either on the disk or lost, at random; if the disk fails, it is lost.
        """
        if self.protocol is None:
            return
        self.record(ProcessEvent.KILLED)
        for write in self.pending_writes:
            written = self.shared.rng.random() < WRITE_SURVIVES_KILL_PROBABILITY
            if written and not self.disk_faults.is_failing(self.shared.queue.now):
                self.disk.apply(write)
        self.protocol = None
        self.pending_writes = []
        self.deferred_actions = []
        self.stopped_until = 0.0

    def stop(self, duration_s: float) -> None:
        """Stop the process, if it runs, for a duration or until the end of an earlier longer stop."""
        if self.protocol is not None:
            self.record(ProcessEvent.STOPPED)
            self.stopped_until = max(self.stopped_until, self.shared.queue.now + duration_s)
            self.shared.queue.schedule_at(self.stopped_until, partial(self._resume, self.start_count))

    def _resume(self, start_number: int) -> None:
        """Run the actions (messages and timers) deferred by a stop, shuffled with some probability."""
        if self._is_running(start_number) and self.shared.queue.now >= self.stopped_until:
            actions, self.deferred_actions = self.deferred_actions, []
            if self.shared.rng.random() < REORDER_AFTER_STOP_PROBABILITY:
                self.shared.rng.shuffle(actions)
            for action in actions:
                self._run_when_resumed(start_number, action)

    def _is_running(self, start_number: int) -> bool:
        return self.protocol is not None and self.start_count == start_number

    def _call_later(self, delay_s: float, action: Action) -> None:
        run_action = partial(self._run_when_resumed, self.start_count, action)
        self.shared.queue.schedule_at(self.shared.queue.now + delay_s, run_action)

    def _run_when_resumed(self, start_number: int, action: Action) -> None:
        """Run an action of one start of the process; defer it while stopped, drop it after a kill."""
        if not self._is_running(start_number):
            return
        if self.shared.queue.now < self.stopped_until:
            self.deferred_actions.append(action)
        else:
            action()

    def tick(self) -> None:
        """Run the due timers of the protocol and the index pool, and schedule the next call.

        The next call is at the time of their next timer, within the limits of `TICK_INTERVAL_RANGE_S`.
        """
        protocol = self.protocol
        if protocol is None:
            return
        now = self.clock()
        self.execute(protocol.tick(now) + self.index_pool.tick(now))
        next_due_at = min(
            protocol.next_due_at(), self.index_pool.due_at if self.index_pool.due_at > now else float("inf")
        )
        min_interval_s, max_interval_s = TICK_INTERVAL_RANGE_S
        self._call_later(
            min(max(min_interval_s, (next_due_at - now) / self.clock_rate), max_interval_s), self.tick
        )

    def deliver(self, sender: str, message: FleetMessage) -> None:
        """Receive a datagram now or, if the process is stopped, when it resumes."""
        self._run_when_resumed(self.start_count, lambda: self.receive((sender, 0), message))

    def receive(self, sender: PeerAddress, message: FleetMessage) -> None:
        """Handle a datagram: check an endpoint update's fencing token, or pass a message to the protocol."""
        protocol = self.protocol
        if protocol is None:
            return
        if isinstance(message, EndpointUpdate):
            check = protocol.fencing_tokens.check(ENDPOINT_LIST_LEASE, message.fencing_token, sender)
            self.execute(check.effects)
            if check.is_accepted:
                self.record(LeaseEventKind.TOKEN_ACCEPTED.value, ENDPOINT_LIST_LEASE, message.fencing_token)
            return
        self.execute(protocol.handle(self.clock(), sender, message))
        now = self.clock()  # like the program, run all timers that are due after a message
        self.execute(protocol.tick(now) + self.index_pool.tick(now) + protocol.tick(now))

    def execute(self, effects: list[Effect]) -> None:
        """Carry out the effects that the protocol returned."""
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
                    until_s = self.to_run_time(effect.expires_at) if effect.expires_at else 0.0
                    self.record(effect.kind.value, effect.lease, effect.fencing_token, until_s, effect.reason)

    def _begin_write(self, write: PersistVotes) -> None:
        """Schedule the end of a write. A stop of the process does not delay a write."""
        self.shared.effect_counts["writes"] += 1
        self.pending_writes.append(write)
        now = self.shared.queue.now
        duration_s = self.shared.rng.uniform(*DISK_SYNC_S) + self.disk_faults.delay_at(now)
        finish = partial(self._finish_write, self.start_count, write)
        self.shared.queue.schedule_at(now + duration_s, finish)

    def _finish_write(self, start_number: int, write: PersistVotes) -> None:
        """Apply a write to the disk unless the disk fails, and report the result to the protocol."""
        protocol = self.protocol
        if protocol is None or self.start_count != start_number:
            return
        self.pending_writes.remove(write)
        error = ""
        if self.disk_faults.is_failing(self.shared.queue.now):
            error = self.disk_faults.failing_kind.value
            self.shared.activations[error] += 1
        else:
            self.disk.apply(write)
        self._run_when_resumed(
            start_number, lambda: self.execute(protocol.write_completed(self.clock(), write.write_id, error))
        )

    def work(self) -> None:
        """Send an endpoint update if this member holds the endpoint list's lease, and schedule the next call.

        The update follows the lease check after a delay, without a second check, even if the process is
        stopped in between. Fencing tokens protect the receivers from an update that is late for this reason.
        """
        protocol = self.protocol
        if protocol is None:
            return
        shared = self.shared
        if protocol.may_act(self.clock(), ENDPOINT_LIST_LEASE):
            token = protocol.leases[ENDPOINT_LIST_LEASE].fencing_token
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
        """Send an endpoint update under a fencing token to all other members."""
        for name in self.shared.schedule.members:
            if name != self.name:
                self.shared.network.send(self.name, name, EndpointUpdate(self.name, token, 0, 0, 1, b""))

    def record(
        self, event: str, lease: str = "", token: int = 0, until_s: float = 0.0, reason: str = ""
    ) -> None:
        """Append an event of this member to the run's history. `until_s` is a time of the run."""
        now = self.shared.queue.now
        self.shared.records.append(
            HistoryRecord(now, self.name, event, self.start_count, lease, token, until_s, reason=reason)
        )
