"""The virtual clock of a run."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

from stairhatch.scale_test.processor_meter import Meter

BEGIN = 1_000_000.0  # what the clock shows at first: a Unix time, since the list tells starts in those


class ScheduledEvent:
    """Something that is due; a loop's handle to those who asked for it."""

    __slots__ = ("act", "args")

    def __init__(self, act: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.act: Callable[..., Any] | None = act
        self.args = args

    def cancel(self) -> None:
        """It won't be done."""
        self.act, self.args = None, ()


class Clock:
    """Time that passes from one thing due to the next."""

    def __init__(self) -> None:
        self.now = BEGIN
        self.done = 0
        self._order = count()
        self._queue: list[tuple[float, int, ScheduledEvent]] = []

    def time(self) -> float:
        """Seconds."""
        return self.now

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """Have something done."""
        due = ScheduledEvent(callback, args)
        heapq.heappush(self._queue, (max(when, self.now), next(self._order), due))
        return due

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """The same, after so long."""
        return self.call_at(self.now + delay, callback, *args)

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """After what is being done now."""
        return self.call_at(self.now, callback, *args)

    def run(self, until: float, look: Callable[[], None] = lambda: None, every: int = 20_000) -> None:
        """All that is due by then; `look` is called now and then."""
        queue = self._queue
        while queue and queue[0][0] <= until:
            self.now, _, due = heapq.heappop(queue)
            if due.act is not None:
                due.act(*due.args)
            self.done += 1
            if self.done % every == 0:
                look()
        self.now = max(self.now, until)


class ProcessClock:
    """The clock as one part of a run has it: what it asks for is its own time, and nothing more comes once
    its process is over.
    """

    def __init__(self, clock: Clock, meter: Meter, name: str) -> None:
        self.clock, self.meter, self.name = clock, meter, name
        self.over = False

    def time(self) -> float:
        """Seconds."""
        return self.clock.now

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """Have something done."""
        return self.clock.call_at(when, self._run, callback, args)

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """The same, after so long."""
        return self.clock.call_at(self.clock.now + delay, self._run, callback, args)

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """After what is being done now."""
        return self.clock.call_at(self.clock.now, self._run, callback, args)

    call_soon_threadsafe = call_soon

    def _run(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        if not self.over:
            self.meter.enter(self.name)
            callback(*args)
            self.meter.leave()
