"""The instance index of a member, which determines its slow-start slots at cold roster servers.

A member uses an index no earlier than `settle_s` after its lease was granted. The previous holder may have
used its slow-start slot until the end of its lease, and no time window of `settle_s` may contain slots of
both.
"""

from __future__ import annotations

import math

from stairhatch.fleet.effects import Effect
from stairhatch.fleet.lease_pool import LeasePool

PREFIX = "number/"
NO_INDEX = -1  # stands for None in `Settings.instance_index`, in histories and in output for operators


def lease_names(instance_count: int) -> list[str]:
    """Return the names of the leases for the indices from 0 to `instance_count` - 1."""
    return [f"{PREFIX}{index}" for index in range(instance_count)]


def encode_index(index: int | None) -> int:
    """Return an index in the form of settings and histories: `NO_INDEX` stands for None."""
    return NO_INDEX if index is None else index


def decode_index(number: int) -> int | None:
    """Return the index for a value of `Settings.instance_index`; None if the value is negative."""
    return number if number >= 0 else None


class InstanceIndexLease:
    """Lease of an instance index by one member, from a pool of all indices."""

    def __init__(self, pool: LeasePool, settle_s: float) -> None:
        """`pool` has one lease for each index; `settle_s` is the delay before a new index is used."""
        self.pool = pool
        self.settle_s = settle_s
        self.in_use: int | None = None  # as of the last `update`

    def usable(self, now: float) -> int | None:
        """Return the index that may be used at `now`; None if there is none.

        Call this right before each use of a slow-start slot.
        """
        is_settled = now >= self.pool.current.held_since + self.settle_s
        return self.pool.held_position(now) if is_settled else None

    def update(self, now: float) -> bool:
        """Set `in_use` to the index that may be used at `now`; return whether it has changed."""
        previous, self.in_use = self.in_use, self.usable(now)
        return self.in_use != previous

    def tick(self, now: float) -> list[Effect]:
        """Request the next index if another member holds the requested one; return the effects."""
        return self.pool.tick(now)

    def next_due_at(self, now: float) -> float:
        """Return the next time after `now` at which `update` may return a change without any message."""
        settled_at = self.pool.current.held_since + self.settle_s
        return min((due for due in (self.pool.due_at, settled_at) if due > now), default=math.inf)
