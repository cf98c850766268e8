"""The virtual clock of a run, which runs scheduled callbacks in order of their time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

from stairhatch.scale_test.processor_meter import ProcessorMeter, ProcessorPart

START_TIME = 1_000_000.0  # in seconds of Unix time, which the endpoint list uses for server starts
OBSERVE_INTERVAL = 20_000  # events between two calls of the observer


class ScheduledEvent:
    """A scheduled callback that can be cancelled, like asyncio.TimerHandle."""

    __slots__ = ("args", "callback")

    def __init__(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        """Store a callback and its arguments."""
        self.callback: Callable[..., Any] | None = callback
        self.args = args

    def cancel(self) -> None:
        """Cancel the callback and release its arguments; it remains queued without an effect."""
        self.callback = None
        self.args = ()


class VirtualClock:
    """Clock that advances from one event to the next, with the scheduling methods of an event loop.

    Times are in seconds. Events due at the same time run in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        """Start at `START_TIME` with an empty queue."""
        self.now = START_TIME
        self.steps = 0  # events removed from the queue, including cancelled ones
        self._order = count()
        self._queue: list[tuple[float, int, ScheduledEvent]] = []

    def time(self) -> float:
        """Return the current time in seconds."""
        return self.now

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """Schedule a callback at a clock time; a time in the past counts as now."""
        event = ScheduledEvent(callback, args)
        heapq.heappush(self._queue, (max(when, self.now), next(self._order), event))
        return event

    def call_later(self, delay_s: float, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """Schedule a callback after a delay in seconds."""
        return self.call_at(self.now + delay_s, callback, *args)

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """Schedule a callback at the current time, after all events that are already due."""
        return self.call_at(self.now, callback, *args)

    def run_until(self, end: float, observe: Callable[[], None] = lambda: None) -> None:
        """Run all events due up to `end`, then set the clock to `end`.

        `observe` is called after every OBSERVE_INTERVAL events.
        """
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
    """Clock of one simulated process.

    The time of its callbacks is charged to a processor part. After `has_ended` is set, callbacks are skipped.
    """

    def __init__(self, clock: VirtualClock, meter: ProcessorMeter, part: ProcessorPart) -> None:
        """Create the clock; the time of its callbacks is charged to `part`."""
        self.clock = clock
        self.meter = meter
        self.part = part
        self.has_ended = False

    def time(self) -> float:
        """Return the current time in seconds."""
        return self.clock.now

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """Schedule a callback at a clock time; a time in the past counts as now."""
        return self.clock.call_at(when, self._run, callback, args)

    def call_later(self, delay_s: float, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """Schedule a callback after a delay in seconds."""
        return self.clock.call_later(delay_s, self._run, callback, args)

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> ScheduledEvent:
        """Schedule a callback at the current time, after all events that are already due."""
        return self.clock.call_soon(self._run, callback, args)

    call_soon_threadsafe = call_soon

    def _run(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        if not self.has_ended:
            self.meter.enter(self.part)
            callback(*args)
            self.meter.leave()
