"""The virtual clock of a run: what is due when, carried out in that order."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

from stairhatch.scale_test.processor_meter import ProcessorMeter, ProcessorPart

START_TIME = 1_000_000.0  # a Unix time, since the endpoint list tells the start of a server as one
OBSERVE_INTERVAL = 20_000  # events between two calls of a run's observer


class ScheduledEvent:
    """A scheduled callback that can be cancelled, as asyncio's TimerHandle."""

    __slots__ = ("args", "callback")

    def __init__(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        """A callback and its arguments."""
        self.callback: Callable[..., Any] | None = callback
        self.args = args

    def cancel(self) -> None:
        """Do not carry it out."""
        self.callback = None
        self.args = ()


class VirtualClock:
    """Time that passes from one event to the next, with the scheduling methods of an event loop.

    Times are in seconds. Events due at one time are carried out in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        """Begin at `START_TIME` with nothing due."""
        self.now = START_TIME
        self.steps = 0  # events carried out
        self._order = count()
        self._queue: list[tuple[float, int, ScheduledEvent]] = []

    def time(self) -> float:
        """Return the time."""
        return self.now

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """Schedule a callback for a time; one in the past is due now."""
        event = ScheduledEvent(callback, args)
        heapq.heappush(self._queue, (max(when, self.now), next(self._order), event))
        return event

    def call_later(self, delay_s: float, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """Schedule a callback for a time from now."""
        return self.call_at(self.now + delay_s, callback, *args)

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """Schedule a callback for now, behind what is due already."""
        return self.call_at(self.now, callback, *args)

    def run_until(self, end: float, observe: Callable[[], None] = lambda: None) -> None:
        """Carry out what is due up to a time; `observe` is called after every so many events."""
        queue = self._queue
        while queue and queue[0][0] <= end:
            self.now, _, event = heapq.heappop(queue)
            if event.callback is not None:
                event.callback(*event.args)
            self.steps += 1
            if self.steps % OBSERVE_INTERVAL == 0:
                observe()
        self.now = max(self.now, end)


class ProcessClock:
    """The clock of one process: its callbacks are measured, and dropped once it has ended."""

    def __init__(self, clock: VirtualClock, meter: ProcessorMeter, part: ProcessorPart) -> None:
        """`part` is what the time of its callbacks is charged to."""
        self.clock = clock
        self.meter = meter
        self.part = part
        self.has_ended = False

    def time(self) -> float:
        """Return the time."""
        return self.clock.now

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """Schedule a callback for a time; one in the past is due now."""
        return self.clock.call_at(when, self._run, callback, args)

    def call_later(self, delay_s: float, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """Schedule a callback for a time from now."""
        return self.clock.call_later(delay_s, self._run, callback, args)

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """Schedule a callback for now, behind what is due already."""
        return self.clock.call_soon(self._run, callback, args)

    call_soon_threadsafe = call_soon

    def _run(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        if not self.has_ended:
            self.meter.enter(self.part)
            callback(*args)
            self.meter.leave()
