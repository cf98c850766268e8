"""One of several leases that serve alike, such as an index of k or a slot of k: which one is requested next.

Never two of them are held: the one that is left is released before the next is requested.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from stairhatch.fleet.effects import Effect
from stairhatch.fleet.lease import LeaseClient, LeaseState

MAX_PAUSE_DOUBLINGS = 4
EXHAUSTED_PAUSE_TERMS = 0.5  # all were held by others: so many durations until they are gone through again


class LeasePool:
    """Requests one lease after the other until one is held, and keeps to it."""

    def __init__(
        self, lease_names: list[str], lease_by_name: Callable[[str], LeaseClient], first: int
    ) -> None:
        """`first` is the position to begin at. ValueError: there are no names."""
        if not lease_names:
            raise ValueError("there is nothing to pick from")
        self.lease_names = lease_names
        self.lease_by_name = lease_by_name
        self.position = first % len(lease_names)
        self.is_requested = False
        self.due_at = math.inf
        self._rejections = 0  # one after the other
        self._exhausted_rounds = 0  # in which all were held by others

    @property
    def current(self) -> LeaseClient:
        """The lease that is held, or requested."""
        return self.lease_by_name(self.lease_names[self.position])

    def request(self, now: float) -> None:
        """Begin to ask."""
        if not self.is_requested:
            self.is_requested = True
            self.due_at = now
            self.current.request(now)

    def release(self) -> list[Effect]:
        """Hold and want none."""
        self.is_requested = False
        self.due_at = math.inf
        return self.current.release()

    def held_position(self, now: float) -> int | None:
        """Which may be acted under at this moment; None for none."""
        return self.position if self.is_requested and self.current.may_act(now) else None

    def tick(self, now: float) -> list[Effect]:
        """Go on to the next where another member holds the one that was requested."""
        lease = self.current
        if lease.state is LeaseState.HELD:
            self._rejections = 0
            self._exhausted_rounds = 0
            return []
        if not self.is_requested or now < self.due_at:
            return []
        if lease.state is LeaseState.IDLE:
            lease.request(now)
        if not lease.held_by_other or len(self.lease_names) == 1:
            return []
        effects = lease.release()
        lease.held_by_other = False
        self.position = (self.position + 1) % len(self.lease_names)
        self._rejections += 1
        pause_s = self._exhausted_pause_s(lease) if self._rejections >= len(self.lease_names) else 0.0
        self.due_at = now + pause_s
        self.current.request(now, pause_s)
        return effects

    def _exhausted_pause_s(self, lease: LeaseClient) -> float:
        """All are held by others: the pause doubles with each time in turn, and half of it is for chance."""
        self._rejections = 0
        self._exhausted_rounds = min(self._exhausted_rounds + 1, MAX_PAUSE_DOUBLINGS)
        longest_s = lease.timings.duration_s * EXHAUSTED_PAUSE_TERMS * 2.0 ** (self._exhausted_rounds - 1)
        return longest_s * (0.5 + lease.random_source.random())
