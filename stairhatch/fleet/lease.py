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

    term_s: float = 3.0
    drift: float = 0.01  # of each clock, as a share
    round_s: float = 0.25  # so long answers to a first ask are waited for

    @property
    def held_s(self) -> float:
        """For how long after it asked a holder may act."""
        return self.term_s * (1 - self.drift)

    @property
    def promised_s(self) -> float:
        """For how long after it was asked a voter keeps its promise."""
        return self.term_s * (1 + self.drift)


class LeaseState(Enum):
    """Where an asker is with a claim."""

    IDLE = "resting"
    REQUESTING = "asking"
    HELD = "held"


@dataclass(slots=True)
class RequestRound:
    """One ask of all voters."""

    at: float
    ticket: int
    granted: set[str] = field(default_factory=set)
    left: dict[str, float] = field(default_factory=dict)  # of those that refused: how long they will
    low: int = 0  # of those, since they have heard of a higher ticket, which nobody holds
    held: Counter[str] = field(default_factory=Counter)  # of those, by who has it


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
        self.epoch, self.roll = epoch, digest_of(voters)
        self.name, self.me, self.voters, self.terms = name, me, voters, terms
        self.chance, self.marks = chance, marks
        self.stage = LeaseState.IDLE
        self.ticket = 0  # held, or asked for
        self.highest = 0  # heard of
        self.until = -math.inf  # may act before that
        self.since = -math.inf  # held since
        self.due = math.inf
        self.why = ""  # it is not held
        self.holder = ""  # who holds it, as a voter said last
        self.held_by_other = False  # so many voters say so that no majority can be had
        self._serial = 0
        self._tries = self._lows = 0
        self._raised = 0  # a higher ticket that is asked for while one is held
        self._raise = False
        self._rounds: OrderedDict[int, RequestRound] = OrderedDict()

    @property
    def majority(self) -> int:
        """Of the listed voters."""
        return len(self.voters) // 2 + 1

    def may_act(self, now: float) -> bool:
        """Whether work under this claim may be done at this moment. Ask right before it, with the clock read
        then: the time since an earlier answer may have been spent stopped.
        """
        return self.stage is LeaseState.HELD and now < self.until

    def want(self, now: float, after: float = 0.0) -> None:
        """Begin to ask for it."""
        if self.stage is LeaseState.IDLE:
            self.stage, self.due = LeaseState.REQUESTING, now + after

    def give_back(self, now: float, successor: str = "") -> list[Effect]:
        """Hold and want it no longer. It is not acted under from here on, whoever hears of it."""
        was, self.stage = self.stage, LeaseState.IDLE
        self.until, self.due = -math.inf, math.inf
        self._rounds.clear()
        if was is LeaseState.IDLE:
            return []
        out: list[Effect] = (
            [LeaseEvent(LeaseEventKind.GIVEN_BACK, self.name, self.ticket)] if was is LeaseState.HELD else []
        )
        if self._raised:
            out += self._return(self._raised, successor)
            self._raised, self._raise = 0, False
        return out + self._return(self.ticket, successor)

    def _return(self, ticket: int, successor: str = "") -> list[Effect]:
        back = LeaseRelease(self.name, *self.me, ticket, successor)
        return [SendMessage(place, back) for place in self.voters.values()]

    def stand_down(self, now: float, highest: int) -> list[Effect]:
        """A receiver has seen a higher ticket: another owns it, or the voters have lost what they knew."""
        self.highest = max(self.highest, highest)
        if self.stage is not LeaseState.HELD or highest <= self.ticket:
            return []
        out: list[Effect] = [
            LeaseEvent(LeaseEventKind.STOOD_DOWN, self.name, self.ticket, why=f"a receiver saw {highest}")
        ]
        out += self._return(self.ticket)
        self._lose(now)
        return out

    def _lose(self, now: float) -> None:
        self.stage, self.until = LeaseState.REQUESTING, -math.inf
        self._raised, self._raise = 0, False
        self._rounds.clear()
        self.due = now + self.chance.random() * self.terms.round_s

    def tick(self, now: float) -> list[Effect]:
        """What is due."""
        out: list[Effect] = []
        if self.stage is LeaseState.HELD and now >= self.until:
            self.why = self.why or "no majority answered in time"
            out.append(LeaseEvent(LeaseEventKind.LOST, self.name, self.ticket, self.until, self.why))
            self._lose(now)
        if self.stage is LeaseState.IDLE or now < self.due:
            return out
        if self.stage is LeaseState.REQUESTING and self._rounds and self.ticket == self._last().ticket:
            return out + self._failed(now)  # its time is up
        return out + self._ask(now)

    def _last(self) -> RequestRound:
        return next(reversed(self._rounds.values()))

    def _ask(self, now: float) -> list[Effect]:
        if self.stage is LeaseState.REQUESTING:
            self.ticket = self.highest = self.highest + 1
            self.due = now + self.terms.round_s
        else:  # a third of the term gone: three times before it is over
            self.due = now + self.terms.term_s / 6
            if self._raise:
                self._raised, self._raise = self.highest + 1, False
                self.highest = self._raised
        self._serial += 1
        ticket = self._raised or self.ticket
        self._rounds[self._serial] = RequestRound(now, ticket)
        while len(self._rounds) > MAX_OPEN_ROUNDS:
            self._rounds.popitem(last=False)
        ask = LeaseRequest(
            self.name,
            *self.me,
            ticket,
            math.ceil(self.terms.term_s * 1000),
            self._serial,
            dict(self.marks),
            self.epoch,
            self.roll,
        )
        return [SendMessage(place, ask) for place in self.voters.values()]

    def _failed(self, now: float) -> list[Effect]:
        """No majority: give back what some promised, and wait until a majority could be free."""
        last = self._last()
        self._rounds.clear()
        missing = self.majority - len(last.granted)
        left = sorted(last.left.values())
        wait = left[missing - 1] if 0 < missing <= len(left) else self.terms.round_s
        self.held_by_other = last.held.total() >= self.majority
        if last.held and max(last.held.values()) < self.majority:
            wait = 0.0  # nobody has it: each of several has some of it, and gives it back in a moment
        if (
            last.low and not last.held and self._lows < MAX_TOKEN_RETRIES
        ):  # it is free: ask above what was told
            self._lows += 1
            wait = self.terms.round_s / 8 * self.chance.random()
            self.due = now + wait
            return self._undo(last)
        self._lows = 0
        if not wait:  # several asked at once, and each got some: who comes first next is for chance
            self._tries = min(self._tries + 1, MAX_BACKOFF_DOUBLINGS)
            wait = self.terms.round_s * 2**self._tries / 4 * self.chance.random()
        elif wait >= self.terms.round_s:
            self._tries = 0
        silent = len(self.voters) - len(last.granted) - len(last.left)
        if not self.why or silent >= self.majority:
            self.why = f"{silent} of {len(self.voters)} voters did not answer"
        self.due = now + wait + self.chance.random() * self.terms.round_s / 2
        return self._undo(last)

    def _undo(self, last: RequestRound) -> list[Effect]:
        """Give back what was promised, and what may be: a promise waits for the disk, a refusal does not. So
        two refusals can be here before the third voter's yes, which would then stand for a whole term.
        """
        holder, count = last.held.most_common(1)[0] if last.held else ("", 0)
        heir = holder if count >= self.majority else ""  # the voter that was free is to go with the others
        return self._return(last.ticket, heir) if len(last.left) < len(self.voters) else []

    def granted(self, now: float, message: LeaseGranted) -> list[Effect]:
        """A voter has promised. Late, double and disordered answers count for the round they belong to."""
        round_ = self._rounds.get(message.serial)
        if round_ is None or message.ticket != round_.ticket or message.voter not in self.voters:
            return []
        self.marks[message.voter] = message.mark
        round_.granted.add(message.voter)
        until = round_.at + self.terms.held_s
        if len(round_.granted) < self.majority or until <= max(now, self.until):
            return []
        self.until, self.why, self._tries, self.holder = until, "", 0, self.me[0]
        self.held_by_other = False
        if self.stage is LeaseState.HELD and round_.ticket == self.ticket:
            self.due = now if self._raise else max(now, round_.at + self.terms.term_s / 3)
            return [LeaseEvent(LeaseEventKind.RENEWED, self.name, self.ticket, until)]
        if self.stage is not LeaseState.HELD:
            self.stage, self.since = LeaseState.HELD, now
        self.ticket, self._raised, self._raise = round_.ticket, 0, False
        self.due = max(now, round_.at + self.terms.term_s / 3)
        return [LeaseEvent(LeaseEventKind.HELD, self.name, self.ticket, until)]

    def refused(self, now: float, message: LeaseRejected) -> list[Effect]:
        """A voter has not."""
        self.highest = max(self.highest, message.highest)
        round_ = self._rounds.get(message.serial)
        if round_ is None or message.voter not in self.voters:
            return []
        if message.voter in round_.left:
            return []  # a copy
        if self.stage is LeaseState.HELD and message.why == "low" and not self._raised:
            # That voter has promised a higher ticket to one who did not get it. It can't take ours any more,
            # and would let each asker in anew: a higher one is asked for, and ours holds until then.
            self._raise, self.due = True, now
        self.holder = message.holder or self.holder
        self.why = f"{message.voter}: {message.why}" + (f" {message.holder}" if message.holder else "")
        round_.left[message.voter] = message.left_ms / 1000
        round_.granted.discard(message.voter)
        if message.why in ("held", "handed"):
            round_.held[message.holder] += 1
        elif message.why == "low" and not message.holder:
            round_.low += 1
        if self.stage is LeaseState.REQUESTING and len(self.voters) - len(round_.left) < self.majority:
            self.due = now
            return self.tick(now)
        return []
