"""The states of a small cluster, and the step from one to the next (`state_exploration` goes through them).

The cluster has voters, and clients that request one lease. Its softswitches are kept pickled in a state and
are unpacked where a step needs them. All go by one clock; random pauses are none.
"""

from __future__ import annotations

import pickle
import random
from dataclasses import dataclass

from stairhatch.fleet.effects import (
    Effect,
    MemberId,
    MemberState,
    PeerAddress,
    PersistedState,
    PersistVotes,
    SendMessage,
    Vote,
)
from stairhatch.fleet.lease import LeaseConfig, LeaseTimings
from stairhatch.fleet.member import ClusterMember
from stairhatch.fleet.messages import (
    FleetMessage,
    LeaseQuery,
    LeaseStatus,
    StatusReply,
    StatusRequest,
    StorageVersion,
)
from stairhatch.fleet.voter_state import VoterState

LEASE = "work"
TIMINGS = LeaseTimings(3.0, 0.01, 0.25)
NEVER = 1e9
FIRST_CLIENT = "a0"
LEAP_MARGIN_S = 1e-3  # beyond the end of the votes

PackedMessage = tuple[str, str, bytes]  # from whom, to whom, and the pickled message


class ZeroRandom(random.Random):
    """A random source that always draws zero, so that an exploration repeats."""

    def random(self) -> float:
        """Draw zero."""
        return 0.0

    def __reduce__(self) -> str:
        """Pickle it by the name of the one instance."""
        return "ZERO_RANDOM"


ZERO_RANDOM = ZeroRandom()


@dataclass(frozen=True, slots=True, kw_only=True)
class RemainingActions:
    """How much of each kind may still happen on a path."""

    crashes: int
    duplicates: int
    slow_writes: int
    clock_steps: int
    clock_leaps: int


@dataclass(frozen=True, slots=True)
class LastHolder:
    """The highest fencing token under which the lease was held so far, and by whom."""

    fencing_token: int = 0
    name: str = ""  # empty while nobody has held it


@dataclass(frozen=True, slots=True)
class ClusterState:
    """One state of the cluster. Two states that compare equal go on alike."""

    now: float
    members: tuple[tuple[str, bytes], ...]
    disks: tuple[tuple[str, bytes], ...]  # of the voters: the storage version and the votes by lease
    messages_in_flight: tuple[PackedMessage, ...]
    pending_writes: tuple[tuple[str, bytes], ...]
    held_until: tuple[tuple[str, float], ...]  # by each client that holds the lease
    last_holder: LastHolder
    remaining: RemainingActions
    # Deliveries to two that know nothing of each other's come to the same in either order: of the messages
    # that were in flight before the last delivery, only those to names not below its own are taken next.
    lowest_receiver: str = ""
    earlier_messages: frozenset[PackedMessage] = frozenset()


class Transition:
    """One step from a state: unpacks what it touches and packs the state that follows."""

    def __init__(self, state: ClusterState) -> None:
        """Nothing has happened yet."""
        self.state = state
        self.now = state.now
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
        """Do what one has asked for. Status requests and replies arrive at once, queries never."""
        for effect in effects:
            if isinstance(effect, PersistVotes):
                self.pending_writes.append((name, pickle.dumps(effect)))
            elif isinstance(effect, SendMessage):
                receiver, message = effect.destination[0], effect.message
                if isinstance(message, StatusRequest | StatusReply):
                    self.execute(receiver, self.member(receiver).handle(self.now, (name, 0), message))
                elif not isinstance(message, LeaseQuery | LeaseStatus):
                    self.messages_in_flight.append((name, receiver, pickle.dumps(message)))

    def deliver(self, index: int, *, again: bool = False, slow: bool = False) -> None:
        """Deliver a message: it may arrive again, and what it makes a voter write may take its time."""
        in_flight = self.messages_in_flight
        sender, receiver, packed = in_flight[index] if again else in_flight.pop(index)
        message: FleetMessage = pickle.loads(packed)
        writes_before = len(self.pending_writes)
        self.execute(receiver, self.member(receiver).handle(self.now, (sender, 0), message))
        while not slow and len(self.pending_writes) > writes_before:
            self.finish_write(writes_before)

    def finish_write(self, index: int) -> None:
        """End a write that is under way."""
        name, packed = self.pending_writes.pop(index)
        write: PersistVotes = pickle.loads(packed)
        self._apply_write(name, write)
        self.execute(name, self.member(name).write_completed(self.now, write.write_id))

    def _apply_write(self, name: str, write: PersistVotes) -> None:
        _, votes = pickle.loads(self.disks[name])
        votes.update((each.lease, each) for each in write.votes)
        self.disks[name] = pickle.dumps((write.storage_version, votes))

    def crash(self, name: str, *, written: bool) -> None:
        """Kill a voter and start it again, with its writes under way on its disk or not."""
        own_writes = [pickle.loads(write) for owner, write in self.pending_writes if owner == name]
        self.pending_writes = [each for each in self.pending_writes if each[0] != name]
        if written:
            for write in own_writes:
                self._apply_write(name, write)
        version, votes = pickle.loads(self.disks[name])
        version = StorageVersion(version.storage_id, version.incarnation + 1, version.vote_count)
        persisted = PersistedState(version, True, tuple(votes.values()))
        old = self.member(name)
        fresh = ClusterMember(old.identity, old.config, ZERO_RANDOM, self.now, MemberState(persisted))
        self.unpacked_members[name] = fresh
        self.execute(name, fresh.tick(self.now))
        for each in [each for each in self.pending_writes if each[0] == name]:  # that it votes
            self.finish_write(self.pending_writes.index(each))
        assert fresh.voter is not None
        fresh.voter.eligibility.due_at = NEVER

    def step_clock(self) -> None:
        """Move the clock to the next moment at which a client has something to do."""
        self._tick_clients(max(self.now, min(self.member(name).next_due_at() for name in self._clients())))

    def leap_clock(self) -> None:
        """Move the clock past the end of all votes."""
        ends = [
            expires_at
            for name in self.packed_members
            if (voter := self.member(name).voter) is not None
            for expires_at in voter.votes.expires_at.values()
        ]
        self._tick_clients(max([self.now, *ends]) + LEAP_MARGIN_S)

    def _clients(self) -> list[str]:
        return [name for name in self.packed_members if self.member(name).voter is None]

    def _tick_clients(self, now: float) -> None:
        self.now = now
        for name in self._clients():
            self.execute(name, self.member(name).tick(now))

    def next_state(self, remaining: RemainingActions) -> ClusterState:
        """Pack the state that follows."""
        members, held_until = [], []
        held_before = dict(self.state.held_until)
        for name, packed in self.state.members:
            member = self.unpacked_members.get(name)
            members.append((name, packed if member is None else pickle.dumps(member)))
            if member is None:
                if name in held_before:
                    held_until.append((name, held_before[name]))
            elif member.voter is None and member.may_act(self.now, LEASE):
                held_until.append((name, member.leases[LEASE].expires_at))
        return ClusterState(
            self.now,
            tuple(members),
            tuple(self.disks.items()),
            tuple(sorted(self.messages_in_flight)),
            tuple(sorted(self.pending_writes)),
            tuple(each for each in held_until if each[1] > self.now),
            self.state.last_holder,
            remaining,
        )


def initial_state(voter_count: int, client_count: int, remaining: RemainingActions) -> ClusterState:
    """Voters that vote, and clients whose requests for the lease are in flight."""
    voters: dict[str, PeerAddress] = {f"v{index}": (f"v{index}", 0) for index in range(voter_count)}
    config = LeaseConfig(voters, TIMINGS)
    members = {name: pickle.dumps(_established_voter(name, config)) for name in voters}
    for index in range(client_count):
        identity = MemberId(f"a{index}", index + 1)
        client = ClusterMember(identity, config, ZERO_RANDOM, 0.0, MemberState())
        client.lease(LEASE).request(0.0)
        members[identity.name] = pickle.dumps(client)
    no_votes: dict[str, Vote] = {}
    disks = tuple((name, pickle.dumps((StorageVersion(name, 1, 0), no_votes))) for name in voters)
    empty = ClusterState(0.0, tuple(members.items()), disks, (), (), (), LastHolder(), remaining)
    step = Transition(empty)
    step.step_clock()
    return step.next_state(remaining)


def _established_voter(name: str, config: LeaseConfig) -> ClusterMember:
    persisted = PersistedState(StorageVersion(name, 1, 0), True)
    member = ClusterMember(MemberId(name, 0), config, ZERO_RANDOM, 0.0, MemberState(persisted))
    assert member.voter is not None
    member.voter.eligibility.state = VoterState.VOTING
    member.voter.eligibility.due_at = NEVER
    return member


def with_first_client_holding(state: ClusterState) -> ClusterState:
    """The same state once all messages to and from the first client have arrived."""
    step = Transition(state)
    while own := [n for n, each in enumerate(step.messages_in_flight) if FIRST_CLIENT in each[:2]]:
        step.deliver(own[0])
    return step.next_state(state.remaining)


def find_violation(state: ClusterState, current: LastHolder) -> str:
    """Two holders at once, or a fencing token not above the last; empty where nothing is wrong."""
    if len(state.held_until) > 1:
        return f"{' and '.join(name for name, _ in state.held_until)} hold it at once"
    last = state.last_holder
    is_lower = current.fencing_token < last.fencing_token
    if is_lower or (current.fencing_token == last.fencing_token and current.name != last.name):
        return f"{current.name} holds {current.fencing_token} after {last.name} held {last.fencing_token}"
    return ""


def current_holder(state: ClusterState) -> LastHolder:
    """Who holds the lease in a state without violation, or else who held it last."""
    for name, _ in state.held_until:
        member: ClusterMember = pickle.loads(dict(state.members)[name])
        return LastHolder(member.leases[LEASE].fencing_token, name)
    return state.last_holder
