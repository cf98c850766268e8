"""The changes of the endpoint list in a run, and when each of them came into force at each softswitch."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

FIRST_CHANGED_WEIGHT = 2  # of a changed line; 1 is what the lines have at first


@dataclass(frozen=True, slots=True)
class RunningSoftswitch:
    """A softswitch that runs, and since when."""

    machine: int
    started_at: float


@dataclass(slots=True)
class ListChangeTracker:
    """Times are those of the virtual clock. Only changes made while a softswitch runs concern it."""

    notified: int = 0  # changes so far, each of one or more lines
    in_force_ms: list[float] = field(default_factory=list)  # from a change until a softswitch goes by it
    _changed_at: dict[str, list[float]] = field(default_factory=dict)  # by instance
    _received: defaultdict[int, dict[str, int]] = field(
        default_factory=lambda: defaultdict(dict)
    )  # how many changes of each instance have come, by softswitch

    def record_change(self, instance: str, now: float) -> None:
        """Take note of a change. One of its lines is enough: that it is in force shows that all are."""
        self.notified += 1
        self._changed_at.setdefault(instance, []).append(now)

    def record_received(self, softswitch: RunningSoftswitch, instance: str, now: float) -> None:
        """Take note that a softswitch has taken in a line, and so all changes of it up to now."""
        changes = self._changed_at.get(instance)
        if changes is None:
            return
        received = self._received[softswitch.machine]
        first_new = received.get(instance, 0)
        received[instance] = len(changes)
        for changed_at in changes[first_new:]:
            if changed_at >= softswitch.started_at:
                self.in_force_ms.append(1000 * (now - changed_at))

    def not_received(self, running: Iterable[RunningSoftswitch]) -> int:
        """Return how many changes have not come to softswitches that run, over both."""
        return sum(
            changed_at >= softswitch.started_at
            for softswitch in running
            for instance, changes in self._changed_at.items()
            for changed_at in changes[self._received[softswitch.machine].get(instance, 0) :]
        )
