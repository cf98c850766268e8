"""The instance index of a member, which determines its slow-start slots at cold roster servers.

An index is used `settle_s` after its lease was granted at the earliest: a holder before may have used its
slow-start slot right up to the end of its lease, and no window of that length may see the slots of both.
"""

from __future__ import annotations

import math

from stairhatch.fleet.effects import Effect
from stairhatch.fleet.lease_pool import LeasePool

PREFIX = "number/"
NO_INDEX = -1  # in `Settings.instance_index`, in histories and in what operators are shown


def lease_names(instance_count: int) -> list[str]:
    """The leases of that many indices."""
    return [f"{PREFIX}{index}" for index in range(instance_count)]


def encode_index(index: int | None) -> int:
    """An index as settings, histories and operators have it."""
    return NO_INDEX if index is None else index


def decode_index(number: int) -> int | None:
    """The index of `Settings.instance_index`; None where it has none."""
    return number if number >= 0 else None


class InstanceIndexLease:
    """The index that one member holds."""

    def __init__(self, pool: LeasePool, settle_s: float) -> None:
        """`pool` has one lease for each index."""
        self.pool = pool
        self.settle_s = settle_s
        self.in_use: int | None = None

    def usable(self, now: float) -> int | None:
        """The index that may be used at this moment; None for none. Ask right before a slot is used."""
        is_settled = now >= self.pool.current.held_since + self.settle_s
        return self.pool.held_position(now) if is_settled else None

    def update(self, now: float) -> bool:
        """Go by the index that may be used from now on; whether it is another one than before."""
        previous, self.in_use = self.in_use, self.usable(now)
        return self.in_use != previous

    def tick(self, now: float) -> list[Effect]:
        """What is due."""
        return self.pool.tick(now)

    def next_due_at(self, now: float) -> float:
        """When `update` may have something new, should nothing else happen."""
        settled_at = self.pool.current.held_since + self.settle_s
        return min((due for due in (self.pool.due_at, settled_at) if due > now), default=math.inf)
