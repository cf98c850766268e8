"""The choice of one lease among several equivalent ones, such as instance indices or restart slots.

A member holds at most one lease of a pool: it releases a lease before it requests the next one.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from stairhatch.fleet.effects import Effect
from stairhatch.fleet.lease import LeaseClient, LeaseState

MAX_PAUSE_DOUBLINGS = 4
EXHAUSTED_PAUSE_DURATIONS = 0.5  # first pause after all leases were held by others, in lease durations


class LeasePool:
    """Pool of equivalent leases: requests them one after the other until it holds one, and keeps that one."""

    def __init__(
        self, lease_names: list[str], lease_by_name: Callable[[str], LeaseClient], first: int
    ) -> None:
        """Begin at position `first`, modulo the number of leases.

        Raise ValueError if `lease_names` is empty.
        """
        if not lease_names:
            raise ValueError("a lease pool needs at least one lease name")
        self.lease_names = lease_names
        self.lease_by_name = lease_by_name
        self.position = first % len(lease_names)
        self.is_requested = False
        self.due_at = math.inf  # when the next lease may be requested
        self._rejections = 0  # successive leases that were held by others
        self._exhausted_rounds = 0  # successive passes in which all leases were held by others

    @property
    def current(self) -> LeaseClient:
        """The lease at the current position, which is held or requested unless the pool is idle."""
        return self.lease_by_name(self.lease_names[self.position])

    def request(self, now: float) -> None:
        """Start to request leases; does nothing if this has begun already."""
        if not self.is_requested:
            self.is_requested = True
            self.due_at = now
            self.current.request(now)

    def release(self) -> list[Effect]:
        """Stop the requests and release the current lease; return the events and messages for it."""
        self.is_requested = False
        self.due_at = math.inf
        return self.current.release()

    def held_position(self, now: float) -> int | None:
        """Return the position of the lease that the member holds at `now`; None if it holds none."""
        return self.position if self.is_requested and self.current.may_act(now) else None

    def tick(self, now: float) -> list[Effect]:
        """If another member holds the requested lease, release the request and request the next lease."""
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
        """Return the pause in seconds after a pass in which all leases were held by others.

        The base pause doubles with each successive such pass, up to `MAX_PAUSE_DOUBLINGS`. A random factor
        between 0.5 and 1.5 keeps the members from retrying in step.
        """
        self._rejections = 0
        self._exhausted_rounds = min(self._exhausted_rounds + 1, MAX_PAUSE_DOUBLINGS)
        base_pause_s = (
            lease.timings.duration_s * EXHAUSTED_PAUSE_DURATIONS * 2.0 ** (self._exhausted_rounds - 1)
        )
        return base_pause_s * (0.5 + lease.random_source.random())
