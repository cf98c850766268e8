"""Which sets a timer belongs to: each set has one, and hands it on when it merges or splits."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from stairhatch.scope.scoped_set import ScopedSet


@dataclass(slots=True)
class TimerOwners:
    """The timers that are running, and the sets that each belongs to."""

    by_id: dict[int, tuple[ScopedSet, ...]] = field(default_factory=dict)

    def start(self, scoped_set: ScopedSet) -> int:
        """A set asks for its timer; the id under which it is set."""
        self.by_id[scoped_set.timer_id] = (scoped_set,)
        return scoped_set.timer_id

    def expire(self, timer_id: int) -> tuple[ScopedSet, ...]:
        """Return the sets that a timer which has expired belongs to."""
        return self.by_id.pop(timer_id, ())

    def hand_over(self, parting: Collection[ScopedSet], heirs: Iterable[ScopedSet]) -> None:
        """Give the timer of a set that was split to its parts that have pending calls and no timer."""
        in_need = [each for each in heirs if each.controller.pending]
        for timer_id, woken in list(self.by_id.items()):
            if not any(each in parting for each in woken):
                continue
            taking = [each for each in in_need if not each.controller.timer_set]
            self.by_id[timer_id] = tuple(taking)
            for each in taking:
                each.controller.timer_set = True
