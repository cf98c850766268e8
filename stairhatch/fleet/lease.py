"""The asker's side of a claim: owns when it asks, what counts as held and until when. It must never promise,
and never act after its term: `may_act` is asked at the last place before anything is done.

A majority among listed voters, each of which promises a claim to one at a time (leases: Gray and Cheriton,
SOSP 1989; majorities: Gifford 1979). The ticket is proposed by the asker above all it has heard of; a voter
promises only above what it has promised before, and two majorities share a voter, so the tickets of two
holders differ and grow in their order (the sequencer of Burrows, OSDI 2006, section 2.4).

Time. The term runs for the holder from before it asked, for the voter from when it was asked; the holder
takes off `drift` and the voter adds it. So the holder's term is over before that of any voter in its
majority, as long as no two clocks drift apart by more than 2 `drift`. Times in seconds of a clock that only
moves on, also while the machine is suspended.
"""

from __future__ import annotations

import math
import random
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from stairhatch.fleet.effects import Effect, LeaseEvent, LeaseEventKind, PeerAddress, SendMessage
from stairhatch.fleet.messages import LeaseGranted, LeaseRejected, LeaseRelease, LeaseRequest, StorageVersion
from stairhatch.fleet.voter_set import digest_of

MAX_OPEN_ROUNDS = 4  # whose answers may still come
MAX_TOKEN_RETRIES = 3  # asks at once, one after the other, where only the ticket was too low
MAX_BACKOFF_DOUBLINGS = 6  # the pause between tries doubles so often


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """The figures of a fleet's claims, in seconds."""

    duration_s: float = 3.0
    clock_drift: float = 0.01  # of each clock, as a share
    round_timeout_s: float = 0.25  # so long answers to a first ask are waited for

    @property
    def holder_duration_s(self) -> float:
        """For how long after it asked a holder may act."""
        return self.duration_s * (1 - self.clock_drift)

    @property
    def voter_duration_s(self) -> float:
        """For how long after it was asked a voter keeps its promise."""
        return self.duration_s * (1 + self.clock_drift)


class LeaseState(Enum):
    """Where an asker is with a claim."""

    IDLE = "resting"
    REQUESTING = "asking"
    HELD = "held"


@dataclass(slots=True)
class RequestRound:
    """One ask of all voters."""

    started_at: float
    fencing_token: int
    granted_by: set[str] = field(default_factory=set)
    remaining_s: dict[str, float] = field(default_factory=dict)  # of those that refused: how long they will
    low_token_count: int = 0  # of those, since they have heard of a higher ticket, which nobody holds
    holders: Counter[str] = field(default_factory=Counter)  # of those, by who has it


class LeaseClient:
    """One claim as one softswitch asks for it."""

    def __init__(
        self,
        name: str,
        me: tuple[str, int],
        voters: dict[str, PeerAddress],
        terms: LeaseTimings,
        chance: random.Random,
        marks: dict[str, StorageVersion],
        epoch: int = 1,
    ) -> None:
        self.epoch, self.voter_set_digest = epoch, digest_of(voters)
        self.name, self.identity, self.voters, self.timings = name, me, voters, terms
        self.random_source, self.storage_versions = chance, marks
        self.state = LeaseState.IDLE
        self.fencing_token = 0  # held, or asked for
        self.highest_token = 0  # heard of
        self.expires_at = -math.inf  # may act before that
        self.held_since = -math.inf  # held since
        self.due_at = math.inf
        self.reason = ""  # it is not held
        self.known_holder = ""  # who holds it, as a voter said last
        self.held_by_other = False  # so many voters say so that no majority can be had
        self._request_id = 0
        self._backoff_doublings = self._token_retries = 0
        self._raised_token = 0  # a higher ticket that is asked for while one is held
        self._must_raise_token = False
        self._rounds: OrderedDict[int, RequestRound] = OrderedDict()

    @property
    def majority(self) -> int:
        """Of the listed voters."""
        return len(self.voters) // 2 + 1

    def may_act(self, now: float) -> bool:
        """Whether work under this claim may be done at this moment. Ask right before it, with the clock read
        then: the time since an earlier answer may have been spent stopped.
        """
        return self.state is LeaseState.HELD and now < self.expires_at

    def request(self, now: float, after: float = 0.0) -> None:
        """Begin to ask for it."""
        if self.state is LeaseState.IDLE:
            self.state, self.due_at = LeaseState.REQUESTING, now + after

    def release(self, now: float, successor: str = "") -> list[Effect]:
        """Hold and want it no longer. It is not acted under from here on, whoever hears of it."""
        was, self.state = self.state, LeaseState.IDLE
        self.expires_at, self.due_at = -math.inf, math.inf
        self._rounds.clear()
        if was is LeaseState.IDLE:
            return []
        out: list[Effect] = (
            [LeaseEvent(LeaseEventKind.RELEASED, self.name, self.fencing_token)]
            if was is LeaseState.HELD
            else []
        )
        if self._raised_token:
            out += self._release_at_voters(self._raised_token, successor)
            self._raised_token, self._must_raise_token = 0, False
        return out + self._release_at_voters(self.fencing_token, successor)

    def _release_at_voters(self, ticket: int, successor: str = "") -> list[Effect]:
        back = LeaseRelease(self.name, *self.identity, ticket, successor)
        return [SendMessage(place, back) for place in self.voters.values()]

    def step_down(self, now: float, highest: int) -> list[Effect]:
        """A receiver has seen a higher ticket: another owns it, or the voters have lost what they knew."""
        self.highest_token = max(self.highest_token, highest)
        if self.state is not LeaseState.HELD or highest <= self.fencing_token:
            return []
        out: list[Effect] = [
            LeaseEvent(
                LeaseEventKind.STEPPED_DOWN, self.name, self.fencing_token, reason=f"a receiver saw {highest}"
            )
        ]
        out += self._release_at_voters(self.fencing_token)
        self._lose_lease(now)
        return out

    def _lose_lease(self, now: float) -> None:
        self.state, self.expires_at = LeaseState.REQUESTING, -math.inf
        self._raised_token, self._must_raise_token = 0, False
        self._rounds.clear()
        self.due_at = now + self.random_source.random() * self.timings.round_timeout_s

    def tick(self, now: float) -> list[Effect]:
        """What is due."""
        out: list[Effect] = []
        if self.state is LeaseState.HELD and now >= self.expires_at:
            self.reason = self.reason or "no majority answered in time"
            out.append(
                LeaseEvent(LeaseEventKind.LOST, self.name, self.fencing_token, self.expires_at, self.reason)
            )
            self._lose_lease(now)
        if self.state is LeaseState.IDLE or now < self.due_at:
            return out
        if (
            self.state is LeaseState.REQUESTING
            and self._rounds
            and self.fencing_token == self._latest_round().fencing_token
        ):
            return out + self._end_failed_round(now)  # its time is up
        return out + self._send_requests(now)

    def _latest_round(self) -> RequestRound:
        return next(reversed(self._rounds.values()))

    def _send_requests(self, now: float) -> list[Effect]:
        if self.state is LeaseState.REQUESTING:
            self.fencing_token = self.highest_token = self.highest_token + 1
            self.due_at = now + self.timings.round_timeout_s
        else:  # a third of the term gone: three times before it is over
            self.due_at = now + self.timings.duration_s / 6
            if self._must_raise_token:
                self._raised_token, self._must_raise_token = self.highest_token + 1, False
                self.highest_token = self._raised_token
        self._request_id += 1
        ticket = self._raised_token or self.fencing_token
        self._rounds[self._request_id] = RequestRound(now, ticket)
        while len(self._rounds) > MAX_OPEN_ROUNDS:
            self._rounds.popitem(last=False)
        ask = LeaseRequest(
            self.name,
            *self.identity,
            ticket,
            math.ceil(self.timings.duration_s * 1000),
            self._request_id,
            dict(self.storage_versions),
            self.epoch,
            self.voter_set_digest,
        )
        return [SendMessage(place, ask) for place in self.voters.values()]

    def _end_failed_round(self, now: float) -> list[Effect]:
        """No majority: give back what some promised, and wait until a majority could be free."""
        last = self._latest_round()
        self._rounds.clear()
        missing = self.majority - len(last.granted_by)
        left = sorted(last.remaining_s.values())
        wait = left[missing - 1] if 0 < missing <= len(left) else self.timings.round_timeout_s
        self.held_by_other = last.holders.total() >= self.majority
        if last.holders and max(last.holders.values()) < self.majority:
            wait = 0.0  # nobody has it: each of several has some of it, and gives it back in a moment
        if (
            last.low_token_count and not last.holders and self._token_retries < MAX_TOKEN_RETRIES
        ):  # it is free: ask above what was told
            self._token_retries += 1
            wait = self.timings.round_timeout_s / 8 * self.random_source.random()
            self.due_at = now + wait
            return self._release_round(last)
        self._token_retries = 0
        if not wait:  # several asked at once, and each got some: who comes first next is for chance
            self._backoff_doublings = min(self._backoff_doublings + 1, MAX_BACKOFF_DOUBLINGS)
            wait = self.timings.round_timeout_s * 2**self._backoff_doublings / 4 * self.random_source.random()
        elif wait >= self.timings.round_timeout_s:
            self._backoff_doublings = 0
        silent = len(self.voters) - len(last.granted_by) - len(last.remaining_s)
        if not self.reason or silent >= self.majority:
            self.reason = f"{silent} of {len(self.voters)} voters did not answer"
        self.due_at = now + wait + self.random_source.random() * self.timings.round_timeout_s / 2
        return self._release_round(last)

    def _release_round(self, last: RequestRound) -> list[Effect]:
        """Give back what was promised, and what may be: a promise waits for the disk, a refusal does not. So
        two refusals can be here before the third voter's yes, which would then stand for a whole term.
        """
        holder, count = last.holders.most_common(1)[0] if last.holders else ("", 0)
        heir = holder if count >= self.majority else ""  # the voter that was free is to go with the others
        return (
            self._release_at_voters(last.fencing_token, heir)
            if len(last.remaining_s) < len(self.voters)
            else []
        )

    def handle_granted(self, now: float, message: LeaseGranted) -> list[Effect]:
        """A voter has promised. Late, double and disordered answers count for the round they belong to."""
        round_ = self._rounds.get(message.request_id)
        if (
            round_ is None
            or message.fencing_token != round_.fencing_token
            or message.voter not in self.voters
        ):
            return []
        self.storage_versions[message.voter] = message.storage_version
        round_.granted_by.add(message.voter)
        until = round_.started_at + self.timings.holder_duration_s
        if len(round_.granted_by) < self.majority or until <= max(now, self.expires_at):
            return []
        self.expires_at, self.reason, self._backoff_doublings, self.known_holder = (
            until,
            "",
            0,
            self.identity[0],
        )
        self.held_by_other = False
        if self.state is LeaseState.HELD and round_.fencing_token == self.fencing_token:
            self.due_at = (
                now if self._must_raise_token else max(now, round_.started_at + self.timings.duration_s / 3)
            )
            return [LeaseEvent(LeaseEventKind.RENEWED, self.name, self.fencing_token, until)]
        if self.state is not LeaseState.HELD:
            self.state, self.held_since = LeaseState.HELD, now
        self.fencing_token, self._raised_token, self._must_raise_token = round_.fencing_token, 0, False
        self.due_at = max(now, round_.started_at + self.timings.duration_s / 3)
        return [LeaseEvent(LeaseEventKind.HELD, self.name, self.fencing_token, until)]

    def handle_rejected(self, now: float, message: LeaseRejected) -> list[Effect]:
        """A voter has not."""
        self.highest_token = max(self.highest_token, message.highest_token)
        round_ = self._rounds.get(message.request_id)
        if round_ is None or message.voter not in self.voters:
            return []
        if message.voter in round_.remaining_s:
            return []  # a copy
        if self.state is LeaseState.HELD and message.reason == "low" and not self._raised_token:
            # That voter has promised a higher ticket to one who did not get it. It can't take ours any more,
            # and would let each asker in anew: a higher one is asked for, and ours holds until then.
            self._must_raise_token, self.due_at = True, now
        self.known_holder = message.holder or self.known_holder
        self.reason = f"{message.voter}: {message.reason}" + (f" {message.holder}" if message.holder else "")
        round_.remaining_s[message.voter] = message.remaining_ms / 1000
        round_.granted_by.discard(message.voter)
        if message.reason in ("held", "handed"):
            round_.holders[message.holder] += 1
        elif message.reason == "low" and not message.holder:
            round_.low_token_count += 1
        if self.state is LeaseState.REQUESTING and len(self.voters) - len(round_.remaining_s) < self.majority:
            self.due_at = now
            return self.tick(now)
        return []
