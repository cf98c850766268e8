"""The virtual clock of a simulated run: what is to be done when, carried out in that order."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

Action = Callable[[], None]


class EventQueue:
    """A virtual clock and the actions due on it. Actions due at one time go in the order of their entry."""

    def __init__(self) -> None:
        """Empty, at the time 0.0 s."""
        self.now = 0.0
        self._order = count()
        self._queue: list[tuple[float, int, Action]] = []

    def schedule_at(self, when: float, action: Action) -> None:
        """Have something done at a time of this clock, in seconds."""
        heapq.heappush(self._queue, (when, next(self._order), action))

    def run_until(self, end: float) -> None:
        """Carry out everything that is due up to a time."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
