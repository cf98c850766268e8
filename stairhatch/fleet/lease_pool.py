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
        self.lease_names, self.lease_by_name = names, claim
        self.position = first % len(names)
        self.is_requested = False
        self.due_at = math.inf
        self._rejections = 0  # one after the other
        self._exhausted_rounds = 0  # in which all were held by others

    @property
    def current(self) -> LeaseClient:
        """The claim that is held, or asked for."""
        return self.lease_by_name(self.lease_names[self.position])

    def request(self, now: float) -> None:
        """Begin to ask."""
        if not self.is_requested:
            self.is_requested, self.due_at = True, now
            self.current.request(now)

    def release(self, now: float, successor: str = "") -> list[Effect]:
        """Hold and want none."""
        self.is_requested, self.due_at = False, math.inf
        return self.current.release(now, successor)

    def held_position(self, now: float) -> int:
        """Which may be acted under at this moment; -1: none."""
        return self.position if self.is_requested and self.current.may_act(now) else -1

    def tick(self, now: float) -> list[Effect]:
        """Go on to the next where another holds the one that was asked for."""
        claim = self.current
        if not self.is_requested or now < self.due_at or claim.state is LeaseState.HELD:
            if claim.state is LeaseState.HELD:
                self._rejections = self._exhausted_rounds = 0
            return []
        if claim.state is LeaseState.IDLE:
            claim.request(now)
        if not claim.held_by_other or len(self.lease_names) == 1:
            return []
        out = claim.release(now)
        claim.held_by_other = False
        self.position = (self.position + 1) % len(self.lease_names)
        self._rejections += 1
        pause = 0.0
        if self._rejections >= len(self.lease_names):
            self._rejections, self._exhausted_rounds = 0, min(self._exhausted_rounds + 1, MAX_PAUSE_DOUBLINGS)
            pause = (
                claim.timings.duration_s
                * EXHAUSTED_PAUSE_TERMS
                * 2 ** (self._exhausted_rounds - 1)
                * (0.5 + claim.random_source.random())
            )
        self.due_at = now + pause
        self.current.request(now, pause)
        return out
