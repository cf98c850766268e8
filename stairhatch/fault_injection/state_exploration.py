"""Every order of events in a small world: voters, askers of one claim, and what may happen next, gone through
to a depth. What may happen: a message in flight arrives (or never does: what is not delivered is lost),
arrives and will come again, arrives at a disk that takes its time; a write ends; a voter is killed and starts
again, with the write under way on its disk or not; the clock moves to the next moment at which something is
due, or leaps past the end of a promise. No dice: the askers' pauses are none. It must never skip a state that
it has not seen with as much depth left.

Not looked at here: drift (one clock serves all) and roll calls out of order (a voter that starts hears the
others at once); both belong to the seeds of `trial`.
"""

from __future__ import annotations

import pickle
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, replace

from stairhatch.fleet.effects import (
    Effect,
    MemberId,
    PeerAddress,
    PersistedState,
    PersistVotes,
    SendMessage,
    Vote,
)
from stairhatch.fleet.lease import LeaseTimings
from stairhatch.fleet.member import ClusterMember
from stairhatch.fleet.messages import (
    FleetMessage,
    LeaseQuery,
    LeaseStatus,
    StatusReply,
    StatusRequest,
    StorageVersion,
)
from stairhatch.fleet.voter_startup import VoterState

CLAIM = "work"
NEVER = 1e9


class ZeroRandom(random.Random):
    """Always nothing."""

    def random(self) -> float:
        return 0.0

    def __reduce__(self) -> str:
        return "ZERO_RANDOM"


ZERO_RANDOM = ZeroRandom()


@dataclass(frozen=True, slots=True)
class ExplorationBounds:
    """How much of each may happen on one path."""

    depth: int = 10
    crashes: int = 1
    duplicates: int = 1
    slow_writes: int = 1  # deliveries to a disk that takes its time
    clock_steps: int = 2  # of the clock, to what is due next
    clock_leaps: int = 1  # past the end of a promise
    seconds: float = 60.0
    voters: int = 3
    askers: int = 2
    begins_held: bool = (
        False  # the first asker already holds it as this begins, the others' asks are in flight
    )


@dataclass(frozen=True, slots=True)
class RemainingActions:
    """What may still happen on a path."""

    crashes: int
    duplicates: int
    slow_writes: int
    clock_steps: int
    clock_leaps: int


@dataclass(frozen=True, slots=True)
class ClusterState:
    """One state of the small world; the softswitches are pickled, and unpacked where a step needs them."""

    now: float
    members: tuple[tuple[str, bytes], ...]
    disks: tuple[tuple[str, bytes], ...]
    messages_in_flight: tuple[tuple[str, str, bytes], ...]
    pending_writes: tuple[tuple[str, bytes], ...]
    held_until: tuple[tuple[str, float], ...]  # by each asker, until when
    last_holder: tuple[int, str]  # the highest ticket held so far, and by whom
    remaining: RemainingActions
    # Deliveries to two that know nothing of each other's come to the same in either order: of the messages
    # that were in flight before the last delivery, only those to names not below its own are taken next.
    lowest_receiver: str = ""
    earlier_messages: frozenset[tuple[str, str, bytes]] = frozenset()


@dataclass(frozen=True, slots=True)
class ExplorationResult:
    """What an exploration found."""

    states: int
    violation: str  # "" for nothing
    path: tuple[str, ...]
    complete: bool  # all states within the bounds were seen
    states_with_holder: int  # states in which somebody held the claim
    takeovers: int  # steps at which a second one did, after the first
    states_after_crash: int  # states behind a crash


class Transition:
    """One step from a state: unpacks what it touches and packs the state that follows."""

    def __init__(self, state: ClusterState) -> None:
        self.state, self.now = state, state.now
        self.packed_members = dict(state.members)
        self.unpacked_members: dict[str, ClusterMember] = {}
        self.disks = dict(state.disks)
        self.messages_in_flight = list(state.messages_in_flight)
        self.pending_writes = list(state.pending_writes)

    def member(self, name: str) -> ClusterMember:
        """One softswitch, to be changed."""
        if name not in self.unpacked_members:
            self.unpacked_members[name] = pickle.loads(self.packed_members[name])
        return self.unpacked_members[name]

    def execute(self, name: str, effects: list[Effect]) -> None:
        """What one has asked for. Roll calls and answers to them arrive at once."""
        for effect in effects:
            if isinstance(effect, PersistVotes):
                self.pending_writes.append((name, pickle.dumps(effect)))
            elif isinstance(effect, SendMessage):
                to, message = effect.destination[0], effect.message
                if isinstance(message, StatusRequest | StatusReply):
                    self.execute(to, self.member(to).handle(self.now, (name, 0), message))
                elif not isinstance(message, LeaseQuery | LeaseStatus):
                    self.messages_in_flight.append((name, to, pickle.dumps(message)))

    def deliver(self, index: int, again: bool, slow: bool) -> None:
        """A message arrives."""
        sender, to, packed = self.messages_in_flight[index] if again else self.messages_in_flight.pop(index)
        message: FleetMessage = pickle.loads(packed)
        before = len(self.pending_writes)
        self.execute(to, self.member(to).handle(self.now, (sender, 0), message))
        while not slow and len(self.pending_writes) > before:
            self.finish_write(before)

    def finish_write(self, index: int) -> None:
        """A write ends."""
        name, packed = self.pending_writes.pop(index)
        write: PersistVotes = pickle.loads(packed)
        self.apply_write(name, write)
        self.execute(name, self.member(name).write_completed(self.now, write.write_id))

    def apply_write(self, name: str, write: PersistVotes) -> None:
        """It is on the disk."""
        _, promises = pickle.loads(self.disks[name])
        promises.update((each.lease, each) for each in write.votes)
        self.disks[name] = pickle.dumps((write.storage_version, promises))

    def crash(self, name: str, synced: bool) -> None:
        """A voter is killed and starts again, with what was under way on its disk or not."""
        mine = [pickle.loads(write) for owner, write in self.pending_writes if owner == name]
        self.pending_writes = [each for each in self.pending_writes if each[0] != name]
        for write in mine if synced else ():
            self.apply_write(name, write)
        mark, promises = pickle.loads(self.disks[name])
        kept = PersistedState(
            StorageVersion(mark.storage_id, mark.incarnation + 1, mark.vote_count),
            True,
            tuple(promises.values()),
        )
        old = self.member(name)
        fresh = ClusterMember(old.identity, old.voters, old.timings, ZERO_RANDOM, self.now, kept)
        self.unpacked_members[name] = fresh
        self.execute(name, fresh.tick(self.now))
        for each in [each for each in self.pending_writes if each[0] == name]:  # the note that it votes
            self.finish_write(self.pending_writes.index(each))
        assert fresh.voter is not None
        fresh.voter.due_at = NEVER

    def advance(self, leap: bool) -> None:
        """To the next moment at which an asker has something to do, or past the end of all promises."""
        names = [name for name, _ in self.state.members]
        if leap:
            ends = [
                until
                for name in names
                if (voter := self.member(name).voter) is not None
                for until in voter.votes.expires_at.values()
            ]
            self.now = max([self.now, *ends]) + 1e-3
        else:
            dues = [self.member(name).next_due_at() for name in names if self.member(name).voter is None]
            self.now = max(self.now, min(dues))
        for name in names:
            if self.member(name).voter is None:
                self.execute(name, self.member(name).tick(self.now))

    def next_state(self, left: RemainingActions) -> ClusterState:
        """The state that follows."""
        mates, held = [], []
        was = dict(self.state.held_until)
        for name, packed in self.state.members:
            mate = self.unpacked_members.get(name)
            mates.append((name, packed if mate is None else pickle.dumps(mate)))
            if mate is None:
                if name in was:
                    held.append((name, was[name]))
            elif mate.voter is None and mate.may_act(self.now, CLAIM):
                held.append((name, mate.leases[CLAIM].expires_at))
        return ClusterState(
            self.now,
            tuple(mates),
            tuple(self.disks.items()),
            tuple(sorted(self.messages_in_flight)),
            tuple(sorted(self.pending_writes)),
            tuple(each for each in held if each[1] > self.now),
            self.state.last_holder,
            left,
        )


def initial_state(bounds: ExplorationBounds) -> ClusterState:
    """Voters that vote, and askers that have asked."""
    voters: dict[str, PeerAddress] = {f"v{n}": (f"v{n}", 0) for n in range(bounds.voters)}
    terms = LeaseTimings(3.0, 0.01, 0.25)
    mates: dict[str, bytes] = {}
    for name in voters:
        mate = ClusterMember(
            MemberId(name, 0),
            voters,
            terms,
            ZERO_RANDOM,
            0.0,
            PersistedState(StorageVersion(name, 1, 0), True),
        )
        assert mate.voter is not None
        mate.voter.state, mate.voter.due_at = VoterState.VOTING, NEVER
        mates[name] = pickle.dumps(mate)
    for n in range(bounds.askers):
        asker = ClusterMember(MemberId(f"a{n}", n + 1), voters, terms, ZERO_RANDOM, 0.0)
        asker.lease(CLAIM).request(0.0)
        mates[asker.identity.name] = pickle.dumps(asker)
    empty: dict[str, Vote] = {}
    disks = tuple((name, pickle.dumps((StorageVersion(name, 1, 0), empty))) for name in voters)
    left = RemainingActions(
        bounds.crashes, bounds.duplicates, bounds.slow_writes, bounds.clock_steps, bounds.clock_leaps
    )
    step = Transition(ClusterState(0.0, tuple(mates.items()), disks, (), (), (), (0, ""), left))
    step.advance(leap=False)
    while bounds.begins_held and (
        mine := [n for n, each in enumerate(step.messages_in_flight) if "a0" in each[:2]]
    ):
        step.deliver(mine[0], again=False, slow=False)
    found = step.next_state(left)
    return replace(found, last_holder=check_state(found)[1])


def possible_actions(state: ClusterState) -> Iterator[tuple[str, int, str]]:
    """What may happen next."""
    left, seen = state.remaining, set()
    for index, each in enumerate(state.messages_in_flight):
        if each in seen or (each[1] < state.lowest_receiver and each in state.earlier_messages):
            continue
        seen.add(each)
        yield "deliver", index, each[1]
        if left.duplicates:
            yield "deliver and again", index, each[1]
        if left.slow_writes and each[1] in dict(state.disks):
            yield "deliver slowly", index, each[1]
    for index, (name, _) in enumerate(state.pending_writes):
        yield "sync", index, name
    if left.crashes:
        writing = {name for name, _ in state.pending_writes}
        for name, disk in state.disks:
            if name not in writing and not pickle.loads(disk)[1]:
                continue  # it has nothing to forget
            yield "crash", 0, name
            if name in writing:
                yield "crash", 1, name
    if left.clock_steps:
        yield "wait", 0, ""
    if left.clock_leaps:
        yield "leap", 0, ""


def apply_action(state: ClusterState, what: str, index: int, name: str) -> ClusterState:
    """One of them happens."""
    step, left = Transition(state), state.remaining
    match what:
        case "deliver":
            step.deliver(index, again=False, slow=False)
            older = frozenset(state.messages_in_flight)
            return replace(
                step.next_state(left),
                lowest_receiver=name,
                earlier_messages=older.intersection(step.messages_in_flight),
            )
        case "deliver and again":
            left = replace(left, duplicates=left.duplicates - 1)
            step.deliver(index, again=True, slow=False)
        case "deliver slowly":
            left = replace(left, slow_writes=left.slow_writes - 1)
            step.deliver(index, again=False, slow=True)
        case "sync":
            step.finish_write(index)
        case "crash":
            left = replace(left, crashes=left.crashes - 1)
            step.crash(name, bool(index))
        case "wait":
            left = replace(left, clock_steps=left.clock_steps - 1)
            step.advance(leap=False)
        case "leap":
            left = replace(left, clock_leaps=left.clock_leaps - 1)
            step.advance(leap=True)
    return step.next_state(left)


def check_state(state: ClusterState) -> tuple[str, tuple[int, str]]:
    """What is broken, and the highest ticket held so far with its holder."""
    if len(state.held_until) > 1:
        return f"{' and '.join(name for name, _ in state.held_until)} hold it at once", state.last_holder
    highest, by = state.last_holder
    for name, _ in state.held_until:
        ticket = pickle.loads(dict(state.members)[name]).leases[CLAIM].fencing_token
        if ticket < highest or (ticket == highest and by != name):
            return f"{name} holds {ticket} after {by} held {highest}", state.last_holder
        return "", (ticket, name)
    return "", state.last_holder


def explore(bounds: ExplorationBounds) -> ExplorationResult:
    """Go through all of it; a state counts as seen with the depth that was left there."""
    begun = time.monotonic()
    stack: list[tuple[ClusterState, tuple[str, ...]]] = [(initial_state(bounds), ())]
    seen: dict[ClusterState, int] = {}
    states = held = taken_over = crashed = 0
    while stack:
        state, path = stack.pop()
        for what, index, name in possible_actions(state):
            after = apply_action(state, what, index, name)
            broken, last = check_state(after)
            told = (*path, f"{what} {name}")
            if broken:
                return ExplorationResult(states, broken, told, False, held, taken_over, crashed)
            taken_over += bool(state.last_holder[1]) and last[1] != state.last_holder[1]
            after = replace(after, last_holder=last)
            depth = bounds.depth - len(told)
            if seen.get(after, -1) >= depth:
                continue
            seen[after] = depth
            states += 1
            held += bool(after.held_until)
            crashed += after.remaining.crashes < bounds.crashes
            if depth > 0:
                stack.append((after, told))
        if time.monotonic() - begun > bounds.seconds:
            return ExplorationResult(states, "", (), False, held, taken_over, crashed)
    return ExplorationResult(states, "", (), True, held, taken_over, crashed)
