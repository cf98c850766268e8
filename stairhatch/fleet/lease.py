"""The client side of a lease: when a member sends requests, and until when it holds the lease.

A lease is held if a majority of the voters has granted it; each voter votes for one holder at a time (leases:
Gray and Cheriton, SOSP 1989; majorities: Gifford 1979). The requester proposes a fencing token above all
tokens reported to it. A voter votes only for tokens above those it has voted for before. Any two majorities
share a voter, so the tokens of successive holders are distinct and increase (the sequencer of Burrows, OSDI
2006, section 2.4).

Expiry: for the holder, the lease starts before its request is sent; for a voter, when the voter receives the
request. The holder shortens the duration by the clock drift bound and the voter extends it by the bound.
Therefore the holder's lease expires before the vote of any voter in its majority, as long as no two clocks
drift apart by more than twice the bound. Times are in seconds of a monotonic clock that also advances while
the machine is suspended. Callers check `LeaseClient.may_act` right before each action under the lease.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
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
from stairhatch.fleet.request_round import RequestRound
from stairhatch.fleet.voter_set import digest_of

MAX_OPEN_ROUNDS = 4  # answers to older rounds are ignored
MAX_TOKEN_RETRIES = 3  # successive rounds without backoff after rejections for a low token alone
MAX_BACKOFF_DOUBLINGS = 6
MAX_ROUND_DIVISOR = 2  # a round waits for answers at most duration / MAX_ROUND_DIVISOR
RENEWAL_DIVISOR = 3  # a held lease is renewed after duration / RENEWAL_DIVISOR
RENEWAL_RETRY_DIVISOR = 6  # an unanswered renewal is repeated after duration / RENEWAL_RETRY_DIVISOR
TOKEN_RETRY_DIVISOR = 8  # the pause before a higher token is at most round timeout / TOKEN_RETRY_DIVISOR


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """The durations of a fleet's leases, in seconds."""

    duration_s: float = 3.0
    clock_drift: float = 0.01  # upper bound of the drift of each clock, as a fraction
    round_timeout_s: float = 0.25  # how long the first request for a lease waits for answers

    @property
    def holder_duration_s(self) -> float:
        """How long a holder may act under a lease, in seconds from the moment of its request."""
        return self.duration_s * (1 - self.clock_drift)

    @property
    def longest_round_s(self) -> float:
        """How long a request waits for answers at most, after earlier ones got no answer in time."""
        return max(self.round_timeout_s, self.duration_s / MAX_ROUND_DIVISOR)


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """The voters and the lease durations; all members of a fleet must have the same."""

    voters: dict[str, PeerAddress]  # by name
    timings: LeaseTimings
    epoch: int = 1  # of the voter set; each change of the set increments it


class LeaseState(Enum):
    """The states of one member's lease client. The values are shown to operators."""

    IDLE = "resting"
    REQUESTING = "asking"
    HELD = "held"


class LeaseClient:
    """One member's client of one lease; it requests, renews and releases the lease."""

    def __init__(
        self,
        name: str,
        identity: MemberId,
        config: LeaseConfig,
        random_source: random.Random,
        storage_versions: dict[str, StorageVersion],
    ) -> None:
        """`storage_versions` has the versions reported by the voters; all leases of a member share it."""
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
        self.highest_token = 0  # the highest token that was reported or proposed
        self.expires_at = -math.inf  # the member may act before this time
        self.held_since = -math.inf
        self.due_at = math.inf  # when a request is sent or repeated next, or the current round times out
        self.reason = ""  # why the lease is not held
        self.known_holder: str | None = None  # the holder that a voter reported most recently
        self.held_by_other = False  # a majority of voters rejected because others hold or reserved the lease
        self._request_id = 0
        self._round_timeout_s = config.timings.round_timeout_s  # of the next request, while none is held
        self._round_ends_at = -math.inf  # when the current round times out, while none is held
        self._backoff_doublings = 0
        self._token_retries = 0
        self._raised_token = 0  # the higher token that is requested while the lease is held; 0: none
        self._must_raise_token = False
        self._rounds: OrderedDict[int, RequestRound] = OrderedDict()

    @property
    def majority(self) -> int:
        """The number of configured voters that form a majority."""
        return len(self.voters) // 2 + 1

    def may_act(self, now: float) -> bool:
        """Return whether the member holds the lease at `now`.

        Call this right before each action under the lease, with the current time: the process may have been
        suspended since an earlier call.
        """
        return self.state is LeaseState.HELD and now < self.expires_at

    def request(self, now: float, after: float = 0.0) -> None:
        """Start to request an idle lease, `after` seconds from `now`."""
        if self.state is LeaseState.IDLE:
            self.state = LeaseState.REQUESTING
            self.due_at = now + after

    def release(self, successor: str | None = None) -> list[Effect]:
        """Release the lease; return the events and messages for it.

        `may_act` is false from here on, whether or not the voters receive the release. If `successor` is
        named, the voters reserve the lease for the successor for a moment.
        """
        previous_state, self.state = self.state, LeaseState.IDLE
        self.expires_at = -math.inf
        self.due_at = math.inf
        self._rounds.clear()
        if previous_state is LeaseState.IDLE:
            return []
        effects: list[Effect] = []
        if previous_state is LeaseState.HELD:
            effects.append(LeaseEvent(LeaseEventKind.RELEASED, self.name, self.fencing_token))
        if self._raised_token:
            effects += self._release_at_voters(self._raised_token, successor)
            self._raised_token = 0
            self._must_raise_token = False
        return effects + self._release_at_voters(self.fencing_token, successor)

    def _release_at_voters(self, token: int, successor: str | None = None) -> list[Effect]:
        identity = self.identity
        release = LeaseRelease(self.name, identity.name, identity.incarnation, token, successor or "")
        return [SendMessage(address, release) for address in self.voters.values()]

    def step_down(self, now: float, highest: int) -> list[Effect]:
        """Release the lease because a receiver has seen `highest`, a token above that of this lease.

        Either another member holds the lease, or the voters have lost their votes. A lower or equal token has
        no effect.
        """
        self.highest_token = max(self.highest_token, highest)
        if self.state is not LeaseState.HELD or highest <= self.fencing_token:
            return []
        reason = f"a receiver has seen the higher fencing token {highest}"
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
        """Report an expired lease, end a round that timed out, and send requests that are due."""
        effects: list[Effect] = []
        if self.state is LeaseState.HELD and now >= self.expires_at:
            self.reason = self.reason or "no majority of the voters answered in time"
            lost = LeaseEvent(
                LeaseEventKind.LOST, self.name, self.fencing_token, self.expires_at, self.reason
            )
            effects.append(lost)
            self._lose_lease(now)
        if self.state is LeaseState.IDLE or now < self.due_at:
            return effects
        if self.state is LeaseState.REQUESTING and self._is_round_open():
            return effects + self._continue_round(now)
        return effects + self._send_requests(now)

    def _is_round_open(self) -> bool:
        """Return whether the latest round requests the present fencing token."""
        return bool(self._rounds) and self.fencing_token == self._latest_round().fencing_token

    def _latest_round(self) -> RequestRound:
        return next(reversed(self._rounds.values()))

    def _continue_round(self, now: float) -> list[Effect]:
        """End a round that has timed out; otherwise repeat its request to the voters that did not answer."""
        if now >= self._round_ends_at:
            return self._end_failed_round(now)
        self._schedule_repeat(now)
        latest_round = self._latest_round()
        return self._request_messages(latest_round.fencing_token, latest_round.unanswered(self.voters))

    def _schedule_repeat(self, now: float) -> None:
        """Let the next tick repeat the request, or end the round if that is due first.

        A lengthened round would otherwise wait to its end for an answer to a lost datagram.
        """
        self.due_at = min(now + self.timings.round_timeout_s, self._round_ends_at)

    def _send_requests(self, now: float) -> list[Effect]:
        if self.state is LeaseState.REQUESTING:
            self.highest_token += 1
            self.fencing_token = self.highest_token
            self._round_ends_at = now + self._round_timeout_s
            self._schedule_repeat(now)
        else:  # a renewal, which is repeated up to three times before the lease expires
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
        return self._request_messages(token, self.voters)

    def _request_messages(self, token: int, voters: Iterable[str]) -> list[Effect]:
        """Return the current request to the named voters."""
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
        return [SendMessage(self.voters[name], request) for name in voters]

    def _end_failed_round(self, now: float) -> list[Effect]:
        """End a round without a majority: release its grants and schedule the next round.

        The next round begins when a majority of the voters could grant the lease.
        """
        failed_round = self._latest_round()
        self._rounds.clear()
        unanswered = len(failed_round.unanswered(self.voters))
        if unanswered and len(failed_round.granted_by) + unanswered >= self.majority:
            self._lengthen_rounds()
        self.held_by_other = failed_round.holders.total() >= self.majority
        is_free = bool(failed_round.low_token_count) and not failed_round.holders
        if is_free and self._token_retries < MAX_TOKEN_RETRIES:  # retry above the highest reported token
            self._token_retries += 1
            longest_pause_s = self.timings.round_timeout_s / TOKEN_RETRY_DIVISOR
            self.due_at = now + longest_pause_s * self.random_source.random()
            return self._release_round(failed_round)
        self._token_retries = 0
        pause_s = self._pause_s(failed_round)
        if not self.reason or unanswered >= self.majority:
            self.reason = f"{unanswered} of {len(self.voters)} voters did not answer"
        self.due_at = now + pause_s + self.random_source.random() * self.timings.round_timeout_s / 2
        return self._release_round(failed_round)

    def _lengthen_rounds(self) -> None:
        """Double the time that the next round waits for answers.

        A vote is granted once it is on disk, and the release at the end of a round withdraws a grant that has
        not been sent yet. With a fixed time, voters whose disks take longer would never grant a lease.
        """
        self._round_timeout_s = min(2 * self._round_timeout_s, self.timings.longest_round_s)

    def _pause_s(self, failed_round: RequestRound) -> float:
        """Return the time until a majority could grant the lease, estimated from a failed round's answers."""
        missing_grants = self.majority - len(failed_round.granted_by)
        remaining_s = sorted(failed_round.remaining_s.values())
        pause_s = self.timings.round_timeout_s
        if 0 < missing_grants <= len(remaining_s):
            pause_s = remaining_s[missing_grants - 1]
        is_split = bool(failed_round.holders) and max(failed_round.holders.values()) < self.majority
        if is_split or not pause_s:
            # No member holds the lease: several requested it at once, and each received some of the votes and
            # will release them in a moment. A random backoff decides which member requests first next time.
            self._backoff_doublings = min(self._backoff_doublings + 1, MAX_BACKOFF_DOUBLINGS)
            longest_pause_s = self.timings.round_timeout_s * 2.0**self._backoff_doublings / 4
            return longest_pause_s * self.random_source.random()
        if pause_s >= self.timings.round_timeout_s:
            self._backoff_doublings = 0
        return pause_s

    def _release_round(self, failed_round: RequestRound) -> list[Effect]:
        """Release the votes of a failed round, including grants that have not arrived yet.

        A grant waits for the voter's disk and a rejection does not, so two rejections can arrive before the
        third voter's grant. Without a release, this third vote would bind its voter for a whole duration. If
        a majority of the voters named the holder, the release names it as the successor, so that the
        remaining voter grants the lease to the same holder.
        """
        if len(failed_round.remaining_s) >= len(self.voters):
            return []
        return self._release_at_voters(
            failed_round.fencing_token, failed_round.majority_holder(self.majority)
        )

    def handle_granted(self, now: float, message: LeaseGranted) -> list[Effect]:
        """Count a voter's grant; return an event if it makes the lease held or renews it.

        Delayed, duplicate and reordered grants count for the round whose request id they carry.
        """
        request_round = self._rounds.get(message.request_id)
        if request_round is None or message.fencing_token != request_round.fencing_token:
            return []
        if message.voter not in self.voters:
            return []
        self.storage_versions[message.voter] = message.storage_version
        request_round.granted_by.add(message.voter)
        expires_at = request_round.started_at + self.timings.holder_duration_s
        if len(request_round.granted_by) < self.majority or expires_at <= max(now, self.expires_at):
            return []
        self.expires_at = expires_at
        self.reason = ""
        self._round_timeout_s = self.timings.round_timeout_s
        self._backoff_doublings = 0
        self.known_holder = self.identity.name
        self.held_by_other = False
        renew_at = max(now, request_round.started_at + self.timings.duration_s / RENEWAL_DIVISOR)
        if self.state is LeaseState.HELD and request_round.fencing_token == self.fencing_token:
            self.due_at = now if self._must_raise_token else renew_at
            return [LeaseEvent(LeaseEventKind.RENEWED, self.name, self.fencing_token, expires_at)]
        if self.state is not LeaseState.HELD:
            self.state = LeaseState.HELD
            self.held_since = now
        self.fencing_token = request_round.fencing_token
        self._raised_token = 0
        self._must_raise_token = False
        self.due_at = renew_at
        return [LeaseEvent(LeaseEventKind.HELD, self.name, self.fencing_token, expires_at)]

    def handle_rejected(self, now: float, message: LeaseRejected) -> list[Effect]:
        """Count a voter's rejection; end the round if a majority can no longer be reached."""
        self.highest_token = max(self.highest_token, message.highest_token)
        request_round = self._rounds.get(message.request_id)
        if request_round is None or message.voter not in self.voters:
            return []
        if message.voter in request_round.remaining_s:
            return []  # a duplicate
        is_token_low = message.reason == RejectionReason.TOKEN_TOO_LOW
        if self.state is LeaseState.HELD and is_token_low and not self._raised_token:
            # The voter has voted for a higher token of a member that did not get the lease. This voter cannot
            # renew the present token and would grant the lease to any other requester. The next renewal
            # therefore requests a higher token; the lease with the present token stays valid until then.
            self._must_raise_token = True
            self.due_at = now
        self.known_holder = message.holder or self.known_holder
        self.reason = f"{message.voter}: {message.reason}" + (f" {message.holder}" if message.holder else "")
        request_round.remaining_s[message.voter] = message.remaining_ms / 1000
        request_round.granted_by.discard(message.voter)
        if message.reason in (RejectionReason.HELD, RejectionReason.RESERVED):
            request_round.holders[message.holder] += 1
        elif is_token_low and not message.holder:
            request_round.low_token_count += 1
        possible_grants = len(self.voters) - len(request_round.remaining_s)
        if self.state is LeaseState.REQUESTING and possible_grants < self.majority:
            return self._end_failed_round(now)
        return []
