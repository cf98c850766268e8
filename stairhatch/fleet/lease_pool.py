"""One of several claims that serve alike, such as a number of k or a slot of k: owns which is asked for next.
It must never hold two of them: the one that it leaves is given back before the next is asked for.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from stairhatch.fleet.effects import Effect
from stairhatch.fleet.lease import LeaseClient, LeaseState

MAX_PAUSE_DOUBLINGS = 4  # the pause doubles so often
EXHAUSTED_PAUSE_TERMS = (
    0.5  # all were held by others: so long until they are gone through once more, as a share of a term
)


class LeasePool:
    """Asks for one after the other until one is held, and keeps to it."""

    def __init__(self, names: list[str], claim: Callable[[str], LeaseClient], first: int) -> None:
        if not names:
            raise ValueError("there is nothing to pick from")
        self.names, self.claim = names, claim
        self.at = first % len(names)
        self.wanted = False
        self.due = math.inf
        self._refusals = 0  # one after the other
        self._rounds = 0  # in which all were held by others

    @property
    def now_asked(self) -> LeaseClient:
        """The claim that is held, or asked for."""
        return self.claim(self.names[self.at])

    def want(self, now: float) -> None:
        """Begin to ask."""
        if not self.wanted:
            self.wanted, self.due = True, now
            self.now_asked.want(now)

    def give_back(self, now: float, successor: str = "") -> list[Effect]:
        """Hold and want none."""
        self.wanted, self.due = False, math.inf
        return self.now_asked.give_back(now, successor)

    def held(self, now: float) -> int:
        """Which may be acted under at this moment; -1: none."""
        return self.at if self.wanted and self.now_asked.may_act(now) else -1

    def tick(self, now: float) -> list[Effect]:
        """Go on to the next where another holds the one that was asked for."""
        claim = self.now_asked
        if not self.wanted or now < self.due or claim.stage is LeaseState.HELD:
            if claim.stage is LeaseState.HELD:
                self._refusals = self._rounds = 0
            return []
        if claim.stage is LeaseState.IDLE:
            claim.want(now)
        if not claim.held_by_other or len(self.names) == 1:
            return []
        out = claim.give_back(now)
        claim.held_by_other = False
        self.at = (self.at + 1) % len(self.names)
        self._refusals += 1
        pause = 0.0
        if self._refusals >= len(self.names):
            self._refusals, self._rounds = 0, min(self._rounds + 1, MAX_PAUSE_DOUBLINGS)
            pause = (
                claim.terms.term_s
                * EXHAUSTED_PAUSE_TERMS
                * 2 ** (self._rounds - 1)
                * (0.5 + claim.chance.random())
            )
        self.due = now + pause
        self.now_asked.want(now, pause)
        return out
