"""The virtual clock of a simulated run: a queue of actions, carried out in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

Action = Callable[[], None]


class EventQueue:
    """Virtual clock with a priority queue of scheduled actions.

    Actions scheduled for the same time are carried out in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        """Create an empty queue; its clock is at 0.0 s."""
        self.now = 0.0
        self._sequence_numbers = count()
        self._queue: list[tuple[float, int, Action]] = []

    def schedule_at(self, at_s: float, action: Action) -> None:
        """Schedule an action for a time of this clock, in seconds."""
        heapq.heappush(self._queue, (at_s, next(self._sequence_numbers), action))

    def run_until(self, end_s: float) -> None:
        """Carry out, in order, all actions due at or before `end_s`, and set the clock to the time of each.

        Actions that these schedule are included. The clock stays at the time of the last action.
        """
        while self._queue and self._queue[0][0] <= end_s:
            self.now, _, action = heapq.heappop(self._queue)
            action()
