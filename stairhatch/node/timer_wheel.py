"""Timers of one process, rounded up to a grid of times.

The driver (`node/io/network.py`) calls `run_due` at the time that `next_due` returns. It sets
`on_earlier_due`, which is called when a new timer is due before all others.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from stairhatch.node.context import NodeContext
from stairhatch.node.protocol import do_nothing

GRID_HZ = 256  # due times are multiples of 1/256 s
MAX_LOGGED_CHARACTERS = 80  # limit on the logged repr of a failed callback


class TimerWheel:
    """Schedule of callbacks by due time; callbacks of the same grid slot are called together."""

    def __init__(self, context: NodeContext) -> None:
        """Start without timers; due times refer to the context's clock."""
        self.on_earlier_due: Callable[[], None] = do_nothing  # called if a new timer is due before all others
        self._context = context
        self._slots: dict[float, list[Callable[[], None]]] = {}  # due time -> callbacks
        self._due_times: list[float] = []  # a heap of the keys of `_slots`

    def next_due(self) -> float | None:
        """Return the time at which `run_due` should be called next, or None if no timer is set."""
        return self._due_times[0] if self._due_times else None

    def schedule(self, due: float, callback: Callable[[], None]) -> None:
        """Schedule `callback` for the time `due` in seconds; `run_due` calls it then or up to 4 ms later.

        Due times are rounded up to a grid. With an individual time for each call, the event loop was woken
        and its timer set thousands of times a second, a tenth of a fully used core (snapshot 81b776db).
        """
        due = math.ceil(due * GRID_HZ) / GRID_HZ
        if due in self._slots:
            self._slots[due].append(callback)
            return
        self._slots[due] = [callback]
        heapq.heappush(self._due_times, due)
        if self._due_times[0] == due:
            self.on_earlier_due()

    def run_due(self) -> None:
        """Call all callbacks that are due.

        An exception of one callback is logged and does not stop the others: hundreds of final answers and
        retry pauses may be due in the same 4 ms.
        """
        now = self._context.clock()
        while self._due_times and self._due_times[0] <= now:
            for callback in self._slots.pop(heapq.heappop(self._due_times)):
                try:
                    callback()
                except Exception as error:  # noqa: BLE001 - other calls' answers may be due too
                    self._context.counters.add("timer_faults")
                    why = f"{type(error).__name__}: {error}"
                    self._context.log("fault", why=why, timer=repr(callback)[:MAX_LOGGED_CHARACTERS])
