"""Which of how many a softswitch is, at the turns of cold roster servers: owns when a number that is claimed
may be used. It must never use one that is not held at that moment, nor one that another may just have used.

A number is used `settle_s` after it was claimed at the earliest: a holder before may have used its turn right
up to the end of its term, and no window of that length may see the turns of both.
"""

from __future__ import annotations

from stairhatch.fleet.effects import Effect
from stairhatch.fleet.lease_pool import LeasePool

NO_INDEX = -1


def lease_names(balancers: int) -> list[str]:
    """The claims of that many numbers."""
    return [f"number/{index}" for index in range(balancers)]


class InstanceIndexLease:
    """One softswitch's number."""

    def __init__(self, pick: LeasePool, settle_s: float) -> None:
        self.pool, self.settle_s = pick, settle_s
        self.in_use = NO_INDEX

    def usable(self, now: float) -> int:
        """The number that may be used at this moment; NONE for none. Ask right before a turn is used."""
        held = self.pool.held_position(now)
        return held if held >= 0 and now >= self.pool.current.held_since + self.settle_s else NO_INDEX

    def update(self, now: float) -> int | None:
        """The number to go by from now on, where that has changed."""
        number = self.usable(now)
        if number == self.in_use:
            return None
        self.in_use = number
        return number

    def tick(self, now: float) -> list[Effect]:
        """What is due."""
        return self.pool.tick(now)

    def next_due_at(self, now: float) -> float:
        """When `look` may have something new, should nothing else happen."""
        settled = self.pool.current.held_since + self.settle_s
        return min(
            self.pool.due_at if self.pool.due_at > now else float("inf"),
            settled if settled > now else float("inf"),
        )
