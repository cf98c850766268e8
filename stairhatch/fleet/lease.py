"""One lease as one member requests it: when the voters are asked, what counts as held, and until when.

A majority of the voters grants the lease, and each of them votes for one holder at a time (leases: Gray and
Cheriton, SOSP 1989; majorities: Gifford 1979). The fencing token is proposed by the requester above all it
has heard of; a voter votes only above what it has voted for before, and two majorities share a voter, so the
tokens of two holders differ and grow in their order (the sequencer of Burrows, OSDI 2006, section 2.4).

Time. The lease runs for the holder from before it asked, for the voter from when it was asked; the holder
takes the clock drift bound off and the voter adds it. So the holder's lease is over before the vote of any
voter in its majority, as long as no two clocks drift apart by more than twice the bound. Times in seconds of
a clock that only moves on, also while the machine is suspended. Work under a lease asks `LeaseClient.may_act`
right before it.
"""

from __future__ import annotations

import math
import random
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from stairhatch.fleet.effects import (
    Effect,
    LeaseEvent,
    LeaseEventKind,
    MemberId,
    PeerAddress,
    SendMessage,
)
from stairhatch.fleet.messages import (
    LeaseGranted,
    LeaseRejected,
    LeaseRelease,
    LeaseRequest,
    RejectionReason,
    StorageVersion,
)
from stairhatch.fleet.voter_set import digest_of

MAX_OPEN_ROUNDS = 4  # whose answers may still come
MAX_TOKEN_RETRIES = 3  # rounds at once, one after the other, where only the token was too low
MAX_BACKOFF_DOUBLINGS = 6
RENEWAL_DIVISOR = 3  # a held lease is requested again after this part of its duration
RENEWAL_RETRY_DIVISOR = 6  # a renewal without an answer is sent again after this part of the duration
TOKEN_RETRY_DIVISOR = 8  # of a round's timeout: the longest pause before a higher token is asked for


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """The durations of a fleet's leases, in seconds."""

    duration_s: float = 3.0
    clock_drift: float = 0.01  # the bound for each clock, as a fraction
    round_timeout_s: float = 0.25  # so long answers to a first request are waited for

    @property
    def holder_duration_s(self) -> float:
        """For how long after it asked a holder may act."""
        return self.duration_s * (1 - self.clock_drift)


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """Whom leases are requested of, and for how long: alike for all members of a fleet."""

    voters: dict[str, PeerAddress]
    timings: LeaseTimings
    epoch: int = 1  # of the voters, counted up with each change of them


class LeaseState(Enum):
    """Where a member is with a lease. The values are shown to operators."""

    IDLE = "resting"
    REQUESTING = "asking"
    HELD = "held"


@dataclass(slots=True)
class RequestRound:
    """One request to all voters, and their answers."""

    started_at: float
    fencing_token: int
    granted_by: set[str] = field(default_factory=set)
    remaining_s: dict[str, float] = field(default_factory=dict)  # of those that rejected: how long they will
    low_token_count: int = 0  # of those, since they have heard of a higher token, which nobody holds
    holders: Counter[str] = field(default_factory=Counter)  # of those, by who has the lease

    def majority_holder(self, majority: int) -> str | None:
        """Whom so many voters name as the holder; None for nobody."""
        if not self.holders:
            return None
        holder, count = self.holders.most_common(1)[0]
        return holder if count >= majority else None


class LeaseClient:
    """One lease as one member requests it."""

    def __init__(
        self,
        name: str,
        identity: MemberId,
        config: LeaseConfig,
        random_source: random.Random,
        storage_versions: dict[str, StorageVersion],
    ) -> None:
        """`storage_versions` is what this member has heard of the voters, shared by all its leases."""
        self.epoch = config.epoch
        self.voter_set_digest = digest_of(config.voters)
        self.name = name
        self.identity = identity
        self.voters = config.voters
        self.timings = config.timings
        self.random_source = random_source
        self.storage_versions = storage_versions
        self.state = LeaseState.IDLE
        self.fencing_token = 0  # of the lease that is held, or requested
        self.highest_token = 0  # that a voter has reported
        self.expires_at = -math.inf  # may act before that
        self.held_since = -math.inf
        self.due_at = math.inf
        self.reason = ""  # it is not held
        self.known_holder: str | None = None  # who holds it, as a voter said last
        self.held_by_other = False  # so many voters say so that no majority can be had
        self._request_id = 0
        self._backoff_doublings = 0
        self._token_retries = 0
        self._raised_token = 0  # a higher token that is asked for while one is held
        self._must_raise_token = False
        self._rounds: OrderedDict[int, RequestRound] = OrderedDict()

    @property
    def majority(self) -> int:
        """Of the configured voters."""
        return len(self.voters) // 2 + 1

    def may_act(self, now: float) -> bool:
        """Whether work under this lease may be done at this moment.

        Ask right before it, with the clock read then: the time since an earlier answer may have been spent
        stopped.
        """
        return self.state is LeaseState.HELD and now < self.expires_at

    def request(self, now: float, after: float = 0.0) -> None:
        """Begin to ask for it, after so many seconds."""
        if self.state is LeaseState.IDLE:
            self.state = LeaseState.REQUESTING
            self.due_at = now + after

    def release(self, successor: str | None = None) -> list[Effect]:
        """Release it. No work is done under it from here on, whether or not the voters get the message."""
        was, self.state = self.state, LeaseState.IDLE
        self.expires_at = -math.inf
        self.due_at = math.inf
        self._rounds.clear()
        if was is LeaseState.IDLE:
            return []
        effects: list[Effect] = []
        if was is LeaseState.HELD:
            effects.append(LeaseEvent(LeaseEventKind.RELEASED, self.name, self.fencing_token))
        if self._raised_token:
            effects += self._release_at_voters(self._raised_token, successor)
            self._raised_token = 0
            self._must_raise_token = False
        return effects + self._release_at_voters(self.fencing_token, successor)

    def _release_at_voters(self, token: int, successor: str | None = None) -> list[Effect]:
        identity = self.identity
        release = LeaseRelease(self.name, identity.name, identity.incarnation, token, successor or "")
        return [SendMessage(place, release) for place in self.voters.values()]

    def step_down(self, now: float, highest: int) -> list[Effect]:
        """A receiver has seen a higher token: another holds it, or the voters have lost what they knew."""
        self.highest_token = max(self.highest_token, highest)
        if self.state is not LeaseState.HELD or highest <= self.fencing_token:
            return []
        reason = f"a receiver saw {highest}"
        effects: list[Effect] = [
            LeaseEvent(LeaseEventKind.STEPPED_DOWN, self.name, self.fencing_token, reason=reason)
        ]
        effects += self._release_at_voters(self.fencing_token)
        self._lose_lease(now)
        return effects

    def _lose_lease(self, now: float) -> None:
        self.state = LeaseState.REQUESTING
        self.expires_at = -math.inf
        self._raised_token = 0
        self._must_raise_token = False
        self._rounds.clear()
        self.due_at = now + self.random_source.random() * self.timings.round_timeout_s

    def tick(self, now: float) -> list[Effect]:
        """What is due."""
        effects: list[Effect] = []
        if self.state is LeaseState.HELD and now >= self.expires_at:
            self.reason = self.reason or "no majority answered in time"
            lost = LeaseEvent(
                LeaseEventKind.LOST, self.name, self.fencing_token, self.expires_at, self.reason
            )
            effects.append(lost)
            self._lose_lease(now)
        if self.state is LeaseState.IDLE or now < self.due_at:
            return effects
        if self.state is LeaseState.REQUESTING and self._is_round_open():
            return effects + self._end_failed_round(now)  # its time is up
        return effects + self._send_requests(now)

    def _is_round_open(self) -> bool:
        """Whether the token that is asked for is that of the latest round."""
        return bool(self._rounds) and self.fencing_token == self._latest_round().fencing_token

    def _latest_round(self) -> RequestRound:
        return next(reversed(self._rounds.values()))

    def _send_requests(self, now: float) -> list[Effect]:
        if self.state is LeaseState.REQUESTING:
            self.highest_token += 1
            self.fencing_token = self.highest_token
            self.due_at = now + self.timings.round_timeout_s
        else:  # a renewal, sent three times before the lease is over
            self.due_at = now + self.timings.duration_s / RENEWAL_RETRY_DIVISOR
            if self._must_raise_token:
                self.highest_token += 1
                self._raised_token = self.highest_token
                self._must_raise_token = False
        self._request_id += 1
        token = self._raised_token or self.fencing_token
        self._rounds[self._request_id] = RequestRound(now, token)
        while len(self._rounds) > MAX_OPEN_ROUNDS:
            self._rounds.popitem(last=False)
        request = LeaseRequest(
            self.name,
            self.identity.name,
            self.identity.incarnation,
            token,
            math.ceil(self.timings.duration_s * 1000),
            self._request_id,
            dict(self.storage_versions),
            self.epoch,
            self.voter_set_digest,
        )
        return [SendMessage(place, request) for place in self.voters.values()]

    def _end_failed_round(self, now: float) -> list[Effect]:
        """No majority: release what some granted, and wait until a majority could be free."""
        last = self._latest_round()
        self._rounds.clear()
        self.held_by_other = last.holders.total() >= self.majority
        is_free = bool(last.low_token_count) and not last.holders
        if is_free and self._token_retries < MAX_TOKEN_RETRIES:  # ask above the highest token heard of
            self._token_retries += 1
            longest_pause_s = self.timings.round_timeout_s / TOKEN_RETRY_DIVISOR
            self.due_at = now + longest_pause_s * self.random_source.random()
            return self._release_round(last)
        self._token_retries = 0
        pause_s = self._pause_s(last)
        silent = len(self.voters) - len(last.granted_by) - len(last.remaining_s)
        if not self.reason or silent >= self.majority:
            self.reason = f"{silent} of {len(self.voters)} voters did not answer"
        self.due_at = now + pause_s + self.random_source.random() * self.timings.round_timeout_s / 2
        return self._release_round(last)

    def _pause_s(self, last: RequestRound) -> float:
        """Until a majority could be free, going by the answers of a failed round."""
        missing = self.majority - len(last.granted_by)
        remaining_s = sorted(last.remaining_s.values())
        pause_s = self.timings.round_timeout_s
        if 0 < missing <= len(remaining_s):
            pause_s = remaining_s[missing - 1]
        is_split = bool(last.holders) and max(last.holders.values()) < self.majority
        if is_split or not pause_s:
            # Nobody has it: several asked at once, each got some of the votes and releases them in a moment.
            # Who comes first next is for chance.
            self._backoff_doublings = min(self._backoff_doublings + 1, MAX_BACKOFF_DOUBLINGS)
            longest_pause_s = self.timings.round_timeout_s * 2.0**self._backoff_doublings / 4
            return longest_pause_s * self.random_source.random()
        if pause_s >= self.timings.round_timeout_s:
            self._backoff_doublings = 0
        return pause_s

    def _release_round(self, last: RequestRound) -> list[Effect]:
        """Release what was granted in a failed round, and what may yet be.

        A grant waits for the disk, a rejection does not. So two rejections can be here before the third
        voter's grant, which would then stand for a whole duration. Where a majority named the holder, the
        voter that was free is to go with the others: the holder is named as the successor.
        """
        if len(last.remaining_s) >= len(self.voters):
            return []
        return self._release_at_voters(last.fencing_token, last.majority_holder(self.majority))

    def handle_granted(self, now: float, message: LeaseGranted) -> list[Effect]:
        """A voter has granted it. Late, double and disordered answers count for the round they belong to."""
        round_ = self._rounds.get(message.request_id)
        if round_ is None or message.fencing_token != round_.fencing_token:
            return []
        if message.voter not in self.voters:
            return []
        self.storage_versions[message.voter] = message.storage_version
        round_.granted_by.add(message.voter)
        expires_at = round_.started_at + self.timings.holder_duration_s
        if len(round_.granted_by) < self.majority or expires_at <= max(now, self.expires_at):
            return []
        self.expires_at = expires_at
        self.reason = ""
        self._backoff_doublings = 0
        self.known_holder = self.identity.name
        self.held_by_other = False
        renew_at = max(now, round_.started_at + self.timings.duration_s / RENEWAL_DIVISOR)
        if self.state is LeaseState.HELD and round_.fencing_token == self.fencing_token:
            self.due_at = now if self._must_raise_token else renew_at
            return [LeaseEvent(LeaseEventKind.RENEWED, self.name, self.fencing_token, expires_at)]
        if self.state is not LeaseState.HELD:
            self.state = LeaseState.HELD
            self.held_since = now
        self.fencing_token = round_.fencing_token
        self._raised_token = 0
        self._must_raise_token = False
        self.due_at = renew_at
        return [LeaseEvent(LeaseEventKind.HELD, self.name, self.fencing_token, expires_at)]

    def handle_rejected(self, now: float, message: LeaseRejected) -> list[Effect]:
        """A voter has rejected it."""
        self.highest_token = max(self.highest_token, message.highest_token)
        round_ = self._rounds.get(message.request_id)
        if round_ is None or message.voter not in self.voters:
            return []
        if message.voter in round_.remaining_s:
            return []  # a copy
        is_token_low = message.reason == RejectionReason.TOKEN_TOO_LOW
        if self.state is LeaseState.HELD and is_token_low and not self._raised_token:
            # That voter has voted for a higher token of one who did not get the lease. It can't grant ours
            # any more, and would let each requester in anew: a higher one is asked for, and ours holds until
            # then.
            self._must_raise_token = True
            self.due_at = now
        self.known_holder = message.holder or self.known_holder
        self.reason = f"{message.voter}: {message.reason}" + (f" {message.holder}" if message.holder else "")
        round_.remaining_s[message.voter] = message.remaining_ms / 1000
        round_.granted_by.discard(message.voter)
        if message.reason in (RejectionReason.HELD, RejectionReason.RESERVED):
            round_.holders[message.holder] += 1
        elif is_token_low and not message.holder:
            round_.low_token_count += 1
        undecided = len(self.voters) - len(round_.remaining_s)
        if self.state is LeaseState.REQUESTING and undecided < self.majority:
            self.due_at = now
            return self.tick(now)
        return []
