"""Many softswitches on one virtual clock: owns the ways between them, their disks and clocks, and the faults
of a schedule; the decisions are the program's own. The same schedule and seed give the same history to the
letter. It must never reach into a decision: what it knows of one is what that one sends, writes and notes.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count

from msgspec.structs import replace as replace_fault

from stairhatch.fault_injection.history import HistoryRecord
from stairhatch.fault_injection.schedule import (
    DATA_DIRECTORY_FAULTS,
    ENDPOINT_LIST_LEASE,
    HOLDER,
    FaultKind,
    FaultSchedule,
    ScheduledFault,
    blocks_traffic,
)
from stairhatch.fleet.effects import (
    Effect,
    LeaseEvent,
    LeaseEventKind,
    PeerAddress,
    PersistedState,
    PersistFencingToken,
    PersistVotes,
    SendMessage,
    Vote,
)
from stairhatch.fleet.lease import LeaseState, LeaseTimings
from stairhatch.fleet.lease_pool import LeasePool
from stairhatch.fleet.member import ClusterMember, MemberId
from stairhatch.fleet.messages import EndpointUpdate, FleetMessage, StorageVersion
from stairhatch.fleet.voter_set import VoterSet

MEAN_WORK_INTERVAL_S = 0.15  # the mean time between two pieces of work of who holds the list
DATAGRAM_DELAY_S = (0.0005, 0.004)  # of a datagram
DISK_SYNC_S = (0.0005, 0.006)
MAX_CHECK_TO_WRITE_S = 0.02  # between the check and the write of a piece of work that is not stopped there
MIN_BACKUP_AGE_S = 5.0  # an older copy of a folder is one taken so long ago or more


@dataclass
class VirtualDisk:
    """A folder: what is synced."""

    storage_id: str = ""
    incarnation: int = 0
    votes: dict[str, Vote] = field(default_factory=dict)
    vote_count: int = 0
    known_versions: dict[str, StorageVersion] = field(default_factory=dict)
    admitted: bool = False
    fencing_tokens: dict[str, int] = field(default_factory=dict)
    voter_set: VoterSet | None = None

    def copy(self) -> VirtualDisk:
        """As it is now."""
        return replace(
            self,
            votes=dict(self.votes),
            known_versions=dict(self.known_versions),
            fencing_tokens=dict(self.fencing_tokens),
        )

    def apply(self, write: PersistVotes) -> None:
        """Put a write on it, whole."""
        self.votes.update((each.lease, each) for each in write.votes)
        self.vote_count = max(self.vote_count, write.storage_version.vote_count)
        self.known_versions.update(write.known_versions)
        self.admitted = self.admitted or write.admitted
        self.voter_set = write.voter_set or self.voter_set


class VirtualMember:
    """One softswitch with its clock and its disk."""

    def __init__(self, world: VirtualCluster, name: str) -> None:
        self.cluster, self.name = world, name
        self.clock_rate = world.fault_schedule.clock_rates.get(name, 1.0)
        self.clock_offset_s = world.rng.uniform(0, 1e5)
        self.disk = VirtualDisk()
        self.backups: list[tuple[float, VirtualDisk]] = []
        self.decisions: ClusterMember | None = None
        self.index_pool: LeasePool
        self.start_count = 0
        self.configured_epoch = 1  # of the list of voters in its file
        self.stopped_until = 0.0
        self.deferred: list[Callable[[], None]] = []  # what comes while it is stopped
        self.pending_writes: list[PersistVotes] = []
        self.full_until = self.slow_until = 0.0
        self.slow_s = 0.0
        self.full_by = FaultKind.DISK_FULL
        self.held: dict[str, int] = {}

    def clock(self) -> float:
        """Its own time."""
        return self.clock_offset_s + self.cluster.now * self.clock_rate

    def to_true_time(self, local: float) -> float:
        """When its clock shows this."""
        return (local - self.clock_offset_s) / self.clock_rate

    def start(self) -> None:
        """Begin with what the disk holds."""
        world, disk = self.cluster, self.disk
        if self.decisions is not None:
            return
        self.start_count += 1
        schedule = world.fault_schedule
        kept = None
        listed = world.voter_sets[self.configured_epoch - 1]
        if self.name in listed:
            if not disk.storage_id:
                disk.storage_id = f"{world.rng.getrandbits(64):016x}"
            disk.incarnation += 1
            mark = StorageVersion(disk.storage_id, disk.incarnation, disk.vote_count)
            kept = PersistedState(
                mark, disk.admitted, tuple(disk.votes.values()), dict(disk.known_versions), disk.voter_set
            )
        who = MemberId(self.name, world.rng.getrandbits(60))
        voters = {name: (name, 0) for name in listed}
        terms = LeaseTimings(schedule.lease_duration_s, schedule.drift_bound, world.round_s)
        chance = random.Random(world.rng.getrandbits(64))
        self.decisions = ClusterMember(
            who, voters, terms, chance, self.clock(), kept, dict(disk.fencing_tokens), self.configured_epoch
        )
        names = [f"number/{index}" for index in range(len(schedule.members) - 1)]
        self.index_pool = LeasePool(names, self.decisions.lease, chance.randrange(len(names)))
        self.index_pool.request(self.clock())
        self.decisions.lease(ENDPOINT_LIST_LEASE).request(self.clock())
        self.record("started")
        self.tick()
        self.work()

    def kill(self) -> None:
        """SIGKILL: what was under way to the disk is there or is not."""
        if self.decisions is None:
            return
        self.record("killed")
        for write in self.pending_writes:
            if self.cluster.rng.random() < 0.5 and self.cluster.now >= self.full_until:
                self.disk.apply(write)
        self.decisions, self.pending_writes, self.deferred, self.stopped_until = None, [], [], 0.0

    def call_later(self, after: float, act: Callable[[], None]) -> None:
        """In this start of it, and not while it is stopped."""
        start = self.start_count
        self.cluster.schedule_at(self.cluster.now + after, lambda: self.run_when_resumed(start, act))

    def run_when_resumed(self, start: int, act: Callable[[], None]) -> None:
        """Do something as this process, once it is not stopped."""
        if self.decisions is None or self.start_count != start:
            return
        if self.cluster.now < self.stopped_until:
            self.deferred.append(act)
            return
        act()

    def stop(self, lasts: float) -> None:
        """SIGSTOP."""
        if self.decisions is not None:
            self.record("stopped")
            self.stopped_until = max(self.stopped_until, self.cluster.now + lasts)
            start = self.start_count
            self.cluster.schedule_at(self.stopped_until, lambda: self.resume(start))

    def resume(self, start: int) -> None:
        """SIGCONT: what has come is taken in, in any order of messages and timers."""
        if (
            self.decisions is not None
            and self.start_count == start
            and self.cluster.now >= self.stopped_until
        ):
            acts, self.deferred = self.deferred, []
            if self.cluster.rng.random() < 0.5:
                self.cluster.rng.shuffle(acts)
            for act in acts:
                self.run_when_resumed(start, act)

    def tick(self) -> None:
        """Tick, and come again when something is due."""
        mate = self.decisions
        if mate is None:
            return
        now = self.clock()
        self.execute(mate.tick(now) + self.index_pool.tick(now))
        due = min(
            mate.next_due_at(), self.index_pool.due_at if self.index_pool.due_at > now else float("inf")
        )
        self.call_later(min(max(0.001, (due - now) / self.clock_rate), 0.5), self.tick)

    def receive(self, sender: PeerAddress, message: FleetMessage) -> None:
        """A datagram has come."""
        mate = self.decisions
        if mate is None:
            return
        if isinstance(message, EndpointUpdate):
            good, out = mate.fencing_tokens.check(ENDPOINT_LIST_LEASE, message.fencing_token, sender)
            self.execute(out)
            if good:
                self.record(LeaseEventKind.TOKEN_ACCEPTED.value, ENDPOINT_LIST_LEASE, message.fencing_token)
            return
        self.execute(mate.handle(self.clock(), sender, message))
        now = self.clock()  # what is due by now is done at once, as in the program
        self.execute(mate.tick(now) + self.index_pool.tick(now) + mate.tick(now))

    def execute(self, effects: list[Effect]) -> None:
        """Do what the decisions ask."""
        world = self.cluster
        for effect in effects:
            match effect:
                case SendMessage():
                    world.effect_counts["messages"] += 1
                    world.send(self.name, effect.destination[0], effect.message)
                case PersistVotes():
                    world.effect_counts["writes"] += 1
                    self.pending_writes.append(effect)
                    took = world.rng.uniform(*DISK_SYNC_S)
                    took += self.slow_s if world.now < self.slow_until else 0.0
                    world.schedule_at(
                        world.now + took, partial(self.write_finished, self.start_count, effect)
                    )
                case PersistFencingToken():
                    self.disk.fencing_tokens[effect.lease] = effect.fencing_token
                case LeaseEvent():
                    until = self.to_true_time(effect.expires_at) if effect.expires_at else 0.0
                    self.record(effect.kind.value, effect.lease, effect.fencing_token, until, effect.reason)

    def write_finished(self, start: int, write: PersistVotes) -> None:
        """The disk has done it, or has not."""
        if self.decisions is None or self.start_count != start:
            return
        self.pending_writes.remove(write)
        fault = self.full_by.value if self.cluster.now < self.full_until else ""
        if fault:
            self.cluster.activations[fault] += 1
        else:
            self.disk.apply(write)
        mate = self.decisions
        self.run_when_resumed(
            start, lambda: self.execute(mate.write_completed(self.clock(), write.write_id, fault))
        )

    def work(self) -> None:
        """A piece of work under the list's claim: check, and write a moment later, wherever it is stopped."""
        mate = self.decisions
        if mate is None:
            return
        if mate.may_act(self.clock(), ENDPOINT_LIST_LEASE):
            ticket = mate.leases[ENDPOINT_LIST_LEASE].fencing_token
            self.record("acted", ENDPOINT_LIST_LEASE, ticket)
            if self.cluster.stop_before_write_s:  # stopped right here
                lasts, self.cluster.stop_before_write_s = self.cluster.stop_before_write_s, 0.0
                self.cluster.activations["stopped at work"] += 1
                self.stop(lasts)
                self.call_later(0.0, partial(self.send_update, ticket))
            else:
                self.call_later(
                    self.cluster.rng.uniform(0, MAX_CHECK_TO_WRITE_S), partial(self.send_update, ticket)
                )
        self.call_later(self.cluster.rng.uniform(0, 2 * MEAN_WORK_INTERVAL_S), self.work)

    def send_update(self, ticket: int) -> None:
        """What the holder hands on goes to all."""
        for name in self.cluster.members:
            if name != self.name:
                self.cluster.send(self.name, name, EndpointUpdate(self.name, ticket, 0, 0, 1, b""))

    def record(self, what: str, claim: str = "", ticket: int = 0, until: float = 0.0, why: str = "") -> None:
        """A line of the history."""
        self.cluster.records.append(
            HistoryRecord(
                self.cluster.now, self.name, what, self.start_count, claim, ticket, until, reason=why
            )
        )


class VirtualCluster:
    """One run."""

    def __init__(self, schedule: FaultSchedule, seed: int) -> None:
        self.fault_schedule, self.rng = schedule, random.Random(f"world {seed}")
        self.round_s = 0.25 * schedule.lease_duration_s / 3
        self.now = 0.0
        self.records: list[HistoryRecord] = []
        self.activations: Counter[str] = Counter()  # how often each fault did something
        self.effect_counts: Counter[str] = Counter()
        self._order = count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self.network_conditions: list[ScheduledFault] = []
        self.voter_sets = [schedule.voters]  # of voters, by their epochs
        self.stop_before_write_s = 0.0  # so long the holder stops at its next piece of work
        self.members = {name: VirtualMember(self, name) for name in schedule.members}

    def schedule_at(self, when: float, act: Callable[[], None]) -> None:
        """Have something done."""
        heapq.heappush(self._queue, (when, next(self._order), act))

    def run(self) -> list[HistoryRecord]:
        """All of it; returns the history."""
        for box in self.members.values():
            self.schedule_at(self.rng.uniform(0, 0.5), box.start)
        for event in self.fault_schedule.faults:
            self.schedule_at(event.at_s, partial(self.inject, event))
        self.schedule_at(1.0, self.back_up_regularly)
        while self._queue and self._queue[0][0] <= self.fault_schedule.duration_s:
            self.now, _, act = heapq.heappop(self._queue)
            act()
        return self.records

    def back_up_regularly(self) -> None:
        """Somebody's backup."""
        for box in self.members.values():
            box.backups.append((self.now, box.disk.copy()))
        self.schedule_at(self.now + 1.0, self.back_up_regularly)

    def inject(self, event: ScheduledFault) -> None:
        """Begin a fault."""
        held = self.holder()
        if event.member == HOLDER:
            if held is None:
                return
            event = replace_fault(event, member=held.name)
        box = self.members.get(event.member)
        match event.kind:
            case FaultKind.STOP if box is not None:
                self.activations["stop"] += box.decisions is not None
                box.stop(event.duration_s)
            case (
                FaultKind.KILL
                | FaultKind.LOSE_DATA_DIRECTORY
                | FaultKind.RESTORE_OLD_DATA_DIRECTORY
                | FaultKind.FLIP_BIT
            ) if box is not None:
                self.activations[event.kind.value] += box.decisions is not None
                box.kill()
                if event.kind in DATA_DIRECTORY_FAULTS:
                    box.record("folder")
                    old = [
                        disk
                        for at, disk in box.backups
                        if at <= self.now - MIN_BACKUP_AGE_S * self.time_scale
                    ]
                    if event.kind is not FaultKind.RESTORE_OLD_DATA_DIRECTORY or not old:
                        box.disk = VirtualDisk()
                    else:
                        box.disk = self.rng.choice(old).copy()
                self.schedule_at(self.now + event.duration_s, box.start)
            case FaultKind.KILL_ALL:
                self.activations["kill all"] += 1
                for each in self.members.values():
                    each.kill()
                    self.schedule_at(self.now + self.rng.uniform(0, event.duration_s), each.start)
            case FaultKind.DISK_FULL | FaultKind.DISK_READ_ONLY if box is not None:
                box.full_until, box.full_by = self.now + event.duration_s, event.kind
            case FaultKind.DISK_SLOW if box is not None:
                box.slow_until, box.slow_s = self.now + event.duration_s, event.amount
            case FaultKind.HAND_OVER:
                self.hand_over(event)
            case FaultKind.CHANGE_VOTERS:
                self.voter_sets.append(event.members)
                stays = {
                    held.name if each == HOLDER and held is not None else each
                    for each in event.unchanged_members
                }
                for each in [each for name, each in self.members.items() if name not in stays]:
                    at = self.now + self.rng.uniform(0, event.duration_s)
                    self.schedule_at(at, partial(self.change_voters, each, len(self.voter_sets)))
            case FaultKind.STOP_BEFORE_WRITE:
                self.stop_before_write_s = event.duration_s
            case FaultKind.STEP_WALL_CLOCK:
                self.activations["step"] += 1  # no wall clock is read: there is nothing to step
            case _:
                self.network_conditions.append(event)
                self.schedule_at(event.at_s + event.duration_s, lambda: self.network_conditions.remove(event))

    def change_voters(self, box: VirtualMember, epoch: int) -> None:
        """One file after the other has the new list of voters, and its softswitch is started again."""
        self.activations["voters"] += 1
        box.configured_epoch = max(box.configured_epoch, epoch)
        if box.decisions is not None:
            box.kill()
            self.schedule_at(self.now + self.rng.uniform(0.05, 0.5) * self.time_scale, box.start)

    def hand_over(self, event: ScheduledFault) -> None:
        """Whoever holds the list gives it back, for another to have."""
        box = self.holder()
        if box is not None and box.decisions is not None and self.now >= box.stopped_until:
            self.activations["hand over"] += 1
            claim = box.decisions.lease(ENDPOINT_LIST_LEASE)
            box.execute(claim.release(box.clock(), event.peer))
            claim.request(box.clock(), self.fault_schedule.lease_duration_s)

    def holder(self) -> VirtualMember | None:
        """Who may act under the list's claim now."""
        for box in self.members.values():
            if box.decisions is not None and box.decisions.may_act(box.clock(), ENDPOINT_LIST_LEASE):
                return box
        return None

    @property
    def time_scale(self) -> float:
        """Against the term as it is drawn."""
        return self.fault_schedule.lease_duration_s / 3.0

    def send(self, sender: str, to: str, message: FleetMessage) -> None:
        """A datagram on its way."""
        low, high = DATAGRAM_DELAY_S
        times = [self.rng.uniform(low, high)]
        for event in self.network_conditions:
            if blocks_traffic(event, sender, to):
                self.activations[event.kind.value] += 1
                return
            draw = self.rng.random()
            if event.kind is FaultKind.LOSS and draw < event.amount:
                self.activations["loss"] += 1
                return
            if event.kind is FaultKind.DELAY:
                self.activations["delay"] += 1
                times = [each + event.amount * self.rng.random() for each in times]
            if event.kind is FaultKind.DUPLICATION and draw < event.amount:
                self.activations["copies"] += 1
                times.append(self.rng.uniform(low, self.rng.choice((0.1, 1.0))))
        box = self.members[to]
        for each in times:
            self.schedule_at(self.now + each, partial(self.deliver, box, sender, message))

    def deliver(self, box: VirtualMember, sender: str, message: FleetMessage) -> None:
        """It arrives, wherever the process is by now."""
        box.run_when_resumed(box.start_count, lambda: box.receive((sender, 0), message))

    def holders_by_lease(self) -> dict[str, list[str]]:
        """Who holds what by its own belief: for looking, not for the rules."""
        found: dict[str, list[str]] = {}
        for box in self.members.values():
            for name, claim in box.decisions.leases.items() if box.decisions is not None else ():
                if claim.state is LeaseState.HELD:
                    found.setdefault(name, []).append(box.name)
        return found
