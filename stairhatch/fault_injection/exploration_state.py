"""The states of a small cluster and the transitions between them, for `state_exploration`.

The cluster has voters, and clients that request one lease. A state holds its members pickled; a transition
unpickles the members that it changes. All members share one clock, and all random pauses are zero.
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
NEVER = 1e9  # a time after the end of every path
FIRST_CLIENT = "a0"
LEAP_MARGIN_S = 1e-3  # past the expiry of the last vote

PickledMessage = tuple[str, str, bytes]  # sender, receiver and pickled message


class ZeroRandom(random.Random):
    """Random source that always draws zero, so that explorations are reproducible."""

    def random(self) -> float:
        """Return 0.0."""
        return 0.0

    def __reduce__(self) -> str:
        """Return the name of the only instance, so that pickling keeps a reference to it."""
        return "ZERO_RANDOM"


ZERO_RANDOM = ZeroRandom()


@dataclass(frozen=True, slots=True, kw_only=True)
class RemainingActions:
    """How many actions of each kind may still happen on a path."""

    crashes: int
    duplicates: int
    slow_writes: int
    clock_steps: int
    clock_leaps: int


@dataclass(frozen=True, slots=True)
class LastHolder:
    """The last holder of the lease on a path, with its fencing token, the highest of all holders so far."""

    fencing_token: int = 0
    name: str = ""  # empty: the lease has not been held


@dataclass(frozen=True, slots=True)
class ClusterState:
    """One state of the cluster, hashable. States that compare equal have the same successors."""

    now: float  # the time on the cluster's clock, in seconds
    members: tuple[tuple[str, bytes], ...]  # name and pickled member
    disks: tuple[tuple[str, bytes], ...]  # voter's name; pickled storage version and votes by lease
    messages_in_flight: tuple[PickledMessage, ...]
    pending_writes: tuple[tuple[str, bytes], ...]  # voter's name and pickled write
    held_until: tuple[tuple[str, float], ...]  # name and expiry time of each client that holds the lease
    last_holder: LastHolder
    remaining: RemainingActions
    # Partial-order reduction: two deliveries to different members give the same state in either order if both
    # messages were in flight before. After a delivery to `lowest_receiver`, the messages that were in flight
    # before it (`earlier_messages`) are therefore delivered only to members whose names are not lower.
    lowest_receiver: str = ""
    earlier_messages: frozenset[PickledMessage] = frozenset()


class Transition:
    """A transition to the next state: a mutable copy of a state, whose members are unpickled on use."""

    def __init__(self, state: ClusterState) -> None:
        """Begin at `state`; each method applies a change, and `next_state` returns the result."""
        self.state = state
        self.now = state.now
        self.pickled_members = dict(state.members)
        self.loaded_members: dict[str, ClusterMember] = {}
        self.disks = dict(state.disks)
        self.messages_in_flight = list(state.messages_in_flight)
        self.pending_writes = list(state.pending_writes)

    def member(self, name: str) -> ClusterMember:
        """Return a member of this transition, unpickled; changes to it become part of the next state."""
        if name not in self.loaded_members:
            self.loaded_members[name] = pickle.loads(self.pickled_members[name])
        return self.loaded_members[name]

    def execute(self, name: str, effects: list[Effect]) -> None:
        """Carry out the effects that a member returned.

        Status requests and replies are delivered immediately; lease queries and their replies are dropped.
        """
        for effect in effects:
            if isinstance(effect, PersistVotes):
                self.pending_writes.append((name, pickle.dumps(effect)))
            elif isinstance(effect, SendMessage):
                receiver, message = effect.destination[0], effect.message
                if isinstance(message, StatusRequest | StatusReply):
                    self.execute(receiver, self.member(receiver).handle(self.now, (name, 0), message))
                elif not isinstance(message, LeaseQuery | LeaseStatus):
                    self.messages_in_flight.append((name, receiver, pickle.dumps(message)))

    def deliver(self, index: int, *, duplicate: bool = False, slow_disk: bool = False) -> None:
        """Deliver the message in flight at `index`.

        With `duplicate`, a copy stays in flight. The writes that the message causes end immediately, or stay
        pending with `slow_disk`.
        """
        in_flight = self.messages_in_flight
        sender, receiver, pickled = in_flight[index] if duplicate else in_flight.pop(index)
        message: FleetMessage = pickle.loads(pickled)
        writes_before = len(self.pending_writes)
        self.execute(receiver, self.member(receiver).handle(self.now, (sender, 0), message))
        while not slow_disk and len(self.pending_writes) > writes_before:
            self.finish_write(writes_before)

    def finish_write(self, index: int) -> None:
        """Apply the pending write at `index` to its voter's disk and report its success to the voter."""
        name, pickled = self.pending_writes.pop(index)
        write: PersistVotes = pickle.loads(pickled)
        self._apply_write(name, write)
        self.execute(name, self.member(name).write_completed(self.now, write.write_id))

    def _apply_write(self, name: str, write: PersistVotes) -> None:
        _, votes = pickle.loads(self.disks[name])
        votes.update((vote.lease, vote) for vote in write.votes)
        self.disks[name] = pickle.dumps((write.storage_version, votes))

    def crash(self, name: str, *, written: bool) -> None:
        """Kill a voter and restart it; its pending writes are on the disk if `written`, else lost.

        After the restart the voter votes again, since it receives the replies of the others immediately. Its
        timers are disabled from then on.
        """
        own_writes = [pickle.loads(write) for owner, write in self.pending_writes if owner == name]
        self.pending_writes = [each for each in self.pending_writes if each[0] != name]
        if written:
            for write in own_writes:
                self._apply_write(name, write)
        version, votes = pickle.loads(self.disks[name])
        version = StorageVersion(version.storage_id, version.incarnation + 1, version.vote_count)
        persisted = PersistedState(version, True, tuple(votes.values()))
        previous = self.member(name)
        restarted = ClusterMember(
            previous.identity, previous.config, ZERO_RANDOM, self.now, MemberState(persisted)
        )
        self.loaded_members[name] = restarted
        self.execute(name, restarted.tick(self.now))
        # The end of the writes that the start caused lets the voter vote.
        for each in [each for each in self.pending_writes if each[0] == name]:
            self.finish_write(self.pending_writes.index(each))
        assert restarted.voter is not None
        restarted.voter.eligibility.due_at = NEVER

    def step_clock(self) -> None:
        """Move the clock to the time of the next timer of a client, and run the clients' timers."""
        self._tick_clients(max(self.now, min(self.member(name).next_due_at() for name in self._clients())))

    def leap_clock(self) -> None:
        """Move the clock past the expiry of all votes, and run the clients' timers."""
        expiry_times = [
            expires_at
            for name in self.pickled_members
            if (voter := self.member(name).voter) is not None
            for expires_at in voter.votes.expires_at.values()
        ]
        self._tick_clients(max([self.now, *expiry_times]) + LEAP_MARGIN_S)

    def _clients(self) -> list[str]:
        return [name for name in self.pickled_members if self.member(name).voter is None]

    def _tick_clients(self, now: float) -> None:
        self.now = now
        for name in self._clients():
            self.execute(name, self.member(name).tick(now))

    def next_state(self, remaining: RemainingActions) -> ClusterState:
        """Return the state after this transition, with these actions remaining on the path."""
        members, held_until = [], []
        held_before = dict(self.state.held_until)
        for name, pickled in self.state.members:
            member = self.loaded_members.get(name)
            members.append((name, pickled if member is None else pickle.dumps(member)))
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
    """Return a state in which all voters vote and the clients' requests for the lease are in flight."""
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
    transition = Transition(empty)
    transition.step_clock()
    return transition.next_state(remaining)


def _established_voter(name: str, config: LeaseConfig) -> ClusterMember:
    """Return a voter that votes; its timers are disabled."""
    persisted = PersistedState(StorageVersion(name, 1, 0), True)
    member = ClusterMember(MemberId(name, 0), config, ZERO_RANDOM, 0.0, MemberState(persisted))
    assert member.voter is not None
    member.voter.eligibility.state = VoterState.VOTING
    member.voter.eligibility.due_at = NEVER
    return member


def with_first_client_holding(state: ClusterState) -> ClusterState:
    """Deliver all messages to and from the first client; return the state, in which it holds the lease."""
    transition = Transition(state)
    while indexes := [n for n, each in enumerate(transition.messages_in_flight) if FIRST_CLIENT in each[:2]]:
        transition.deliver(indexes[0])
    return transition.next_state(state.remaining)


def find_violation(state: ClusterState, holder: LastHolder) -> str:
    """Return the broken rule in words, or an empty string.

    A rule is broken if two clients hold the lease, or if the holder's fencing token is lower than that of the
    last holder, or equal to it although the holder is another. `holder` is the present `current_holder`.
    """
    if len(state.held_until) > 1:
        return f"{' and '.join(name for name, _ in state.held_until)} hold the lease at once"
    last = state.last_holder
    is_lower = holder.fencing_token < last.fencing_token
    if is_lower or (holder.fencing_token == last.fencing_token and holder.name != last.name):
        return (
            f"{holder.name} holds the lease with token {holder.fencing_token} "
            f"after {last.name} held it with token {last.fencing_token}"
        )
    return ""


def current_holder(state: ClusterState) -> LastHolder:
    """Return the holder of the lease in a state with at most one, or the last holder if there is none."""
    for name, _ in state.held_until:
        member: ClusterMember = pickle.loads(dict(state.members)[name])
        return LastHolder(member.leases[LEASE].fencing_token, name)
    return state.last_holder
