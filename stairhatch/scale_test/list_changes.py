"""Tracks the endpoint list changes of a run and when each change came into force at each softswitch."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

FIRST_CHANGED_WEIGHT = 2  # weight of the first changed line; the initial lines have weight 1


@dataclass(frozen=True, slots=True)
class RunningSoftswitch:
    """The machine of a running softswitch, and the clock time at which its process started."""

    machine: int
    started_at: float


@dataclass(slots=True)
class ListChangeTracker:
    """Tracker of list changes and of their arrival at the softswitches. Times are of the virtual clock.

    A change counts for a softswitch only if it was made after the softswitch's process started.
    """

    notified: int = 0  # number of changes so far; a change has one or more lines
    # milliseconds from a change until it is in force, one value per change and softswitch
    in_force_ms: list[float] = field(default_factory=list)
    _changed_at: dict[str, list[float]] = field(default_factory=dict)  # times of all changes, by instance
    # number of changes received, by machine of the softswitch and instance
    _received: defaultdict[int, dict[str, int]] = field(default_factory=lambda: defaultdict(dict))

    def record_change(self, instance: str, now: float) -> None:
        """Record a change made at `now`.

        One line, that of `instance`, represents the change: all lines of a change come into force together.
        """
        self.notified += 1
        self._changed_at.setdefault(instance, []).append(now)

    def record_received(self, softswitch: RunningSoftswitch, instance: str, now: float) -> None:
        """Record that a softswitch has applied a line, and with it all changes of this line up to `now`."""
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
        """Return the number of changes not yet received, summed over the running softswitches."""
        return sum(
            changed_at >= softswitch.started_at
            for softswitch in running
            for instance, changes in self._changed_at.items()
            for changed_at in changes[self._received[softswitch.machine].get(instance, 0) :]
        )
