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
    """Tracks list changes and their arrival. Times are those of the virtual clock.

    A change counts for a softswitch only if it was made while the softswitch ran.
    """

    notified: int = 0  # changes so far, each of one or more lines
    # from each change until it is in force at each softswitch
    in_force_ms: list[float] = field(default_factory=list)
    _changed_at: dict[str, list[float]] = field(default_factory=dict)  # by instance
    # the number of changes received, by softswitch and instance
    _received: defaultdict[int, dict[str, int]] = field(default_factory=lambda: defaultdict(dict))

    def record_change(self, instance: str, now: float) -> None:
        """Record a change by one of its lines; the lines of a change come into force together."""
        self.notified += 1
        self._changed_at.setdefault(instance, []).append(now)

    def record_received(self, softswitch: RunningSoftswitch, instance: str, now: float) -> None:
        """Record that a softswitch has applied a line, and so all changes of it up to now."""
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
        """Return the number of changes not received, summed over running softswitches."""
        return sum(
            changed_at >= softswitch.started_at
            for softswitch in running
            for instance, changes in self._changed_at.items()
            for changed_at in changes[self._received[softswitch.machine].get(instance, 0) :]
        )
