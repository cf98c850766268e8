"""The timers of one process, on a grid: what is to be called when.

The driver (`node/io/network.py`) asks `next_due` when to call `run_due`, and sets `on_earlier_due` to hear of
a timer that falls due before all others.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from stairhatch.node.context import NodeContext
from stairhatch.node.protocol import do_nothing

GRID_HZ = 256  # timers fall due at multiples of 1/256 s
LOGGED_CHARACTERS = 80  # of the description of a timer that failed


class TimerWheel:
    """Calls that are due at a time of the clock; those of one slot of the grid are called together."""

    def __init__(self, context: NodeContext) -> None:
        """Begin with no timer; the clock is the context's."""
        self.on_earlier_due: Callable[[], None] = do_nothing  # the earliest timer has changed
        self._context = context
        self._slots: dict[float, list[Callable[[], None]]] = {}  # by the time that they are due
        self._due: list[float] = []  # a heap of the keys of `_slots`

    def next_due(self) -> float | None:
        """When `run_due` should be called next; None where no timer is set."""
        return self._due[0] if self._due else None

    def schedule(self, due: float, callback: Callable[[], None]) -> None:
        """Have `callback` called by `run_due` at that time, or up to 4 ms later.

        Times lie on a grid: with one of its own for each call the loop was woken, and its timer set,
        thousands of times a second, which took a tenth of a full core (snapshot 81b776db).
        """
        due = math.ceil(due * GRID_HZ) / GRID_HZ
        if due in self._slots:
            self._slots[due].append(callback)
            return
        self._slots[due] = [callback]
        heapq.heappush(self._due, due)
        if self._due[0] == due:
            self.on_earlier_due()

    def run_due(self) -> None:
        """Call what is due.

        An error in one callback is logged and stops no other: hundreds of answers and pauses may be due in
        the same 4 ms.
        """
        now = self._context.clock()
        while self._due and self._due[0] <= now:
            for callback in self._slots.pop(heapq.heappop(self._due)):
                try:
                    callback()
                except Exception as error:  # noqa: BLE001 - others' answers are due with it
                    self._context.counters.add("timer_faults")
                    why = f"{type(error).__name__}: {error}"
                    self._context.log("fault", why=why, timer=repr(callback)[:LOGGED_CHARACTERS])
