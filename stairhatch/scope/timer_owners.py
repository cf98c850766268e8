"""The sets that a running timer belongs to: each set has one timer, which its successors take over."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from stairhatch.scope.scoped_set import ScopedSet


@dataclass(slots=True)
class TimerOwners:
    """The running timers by id, with the sets that each timer belongs to."""

    by_id: dict[int, tuple[ScopedSet, ...]] = field(default_factory=dict)

    def start(self, scoped_set: ScopedSet) -> int:
        """Record that the timer of a set was started; return the timer's id."""
        self.by_id[scoped_set.timer_id] = (scoped_set,)
        return scoped_set.timer_id

    def expire(self, timer_id: int) -> tuple[ScopedSet, ...]:
        """Remove an expired timer; return the sets that it belonged to, none for an unknown timer."""
        return self.by_id.pop(timer_id, ())

    def hand_over(self, replaced: Collection[ScopedSet], successors: Iterable[ScopedSet]) -> None:
        """Assign the timers of replaced sets to those successors that have pending calls and no timer."""
        waiting = [each for each in successors if each.controller.pending]
        for timer_id, owners in list(self.by_id.items()):
            if not any(each in replaced for each in owners):
                continue
            recipients = [each for each in waiting if not each.controller.timer_set]
            self.by_id[timer_id] = tuple(recipients)
            for each in recipients:
                each.controller.timer_set = True
