"""The instance index of a member, by which it has its own part of the set-ups at cold roster servers.

An index is used `settle_s` after its lease was granted at the earliest: a holder before may have used its
slow-start slot right up to the end of its lease, and no window of that length may see the slots of both.
"""

from __future__ import annotations

import math

from stairhatch.fleet.effects import Effect
from stairhatch.fleet.lease_pool import NOT_HELD, LeasePool

PREFIX = "number/"
NO_INDEX = -1  # as in `Settings.instance_index`


def lease_names(instance_count: int) -> list[str]:
    """The leases of that many indices."""
    return [f"{PREFIX}{index}" for index in range(instance_count)]


class InstanceIndexLease:
    """The index that one member holds."""

    def __init__(self, pool: LeasePool, settle_s: float) -> None:
        """`pool` has one lease for each index."""
        self.pool = pool
        self.settle_s = settle_s
        self.in_use = NO_INDEX

    def usable(self, now: float) -> int:
        """The index that may be used at this moment; NO_INDEX for none. Ask right before a slot is used."""
        held = self.pool.held_position(now)
        is_settled = now >= self.pool.current.held_since + self.settle_s
        return held if held != NOT_HELD and is_settled else NO_INDEX

    def update(self, now: float) -> int | None:
        """The index to go by from now on; None where it has not changed."""
        index = self.usable(now)
        if index == self.in_use:
            return None
        self.in_use = index
        return index

    def tick(self, now: float) -> list[Effect]:
        """What is due."""
        return self.pool.tick(now)

    def next_due_at(self, now: float) -> float:
        """When `update` may have something new, should nothing else happen."""
        settled_at = self.pool.current.held_since + self.settle_s
        return min((due for due in (self.pool.due_at, settled_at) if due > now), default=math.inf)
