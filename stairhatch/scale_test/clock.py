"""A virtual clock and the modelled wire between machines: owns what is due when, how long bytes are under
way, what is lost or held up by a cut, and whose work the processor's time went to. Bytes are carried as they
are; it must never look into them, and never read a clock of the machine's but to measure.
"""

from __future__ import annotations

import heapq
import random
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count
from typing import Any

from stairhatch.fault_injection.schedule import ScheduledFault as Cut
from stairhatch.load_test.datagram_conditions import DatagramConditions, DatagramLink
from stairhatch.scale_test.plan import Happens, Places, PlannedEventKind, ScalePlan

BEGIN = 1_000_000.0  # what the clock shows at first: a Unix time, since the list tells starts in those
RESEND_S = 0.2  # after which a stream sends again what was lost (the least RTO that Linux has)


class Meter:
    """Processor seconds by part. Time belongs to the innermost part that was entered."""

    def __init__(self) -> None:
        self.seconds: Counter[str] = Counter()
        self._stack: list[str] = ["rest"]
        self._since = time.perf_counter()

    def enter(self, part: str) -> None:
        """From now on it is this one's."""
        now = time.perf_counter()
        self.seconds[self._stack[-1]] += now - self._since  # type: ignore[assignment]
        self._since = now
        self._stack.append(part)

    def leave(self) -> None:
        """And from now on the one's before."""
        now = time.perf_counter()
        self.seconds[self._stack.pop()] += now - self._since  # type: ignore[assignment]
        self._since = now

    @contextmanager
    def of(self, part: str) -> Iterator[None]:
        """Both."""
        self.enter(part)
        try:
            yield
        finally:
            self.leave()


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


class Net:
    """The wire between the machines of a run."""

    def __init__(self, plan: ScalePlan, places: Places, clock: Clock) -> None:
        self.plan, self.places, self.clock = plan, places, clock
        self.bites: Counter[str] = Counter()
        self.cuts: list[tuple[float, PlannedEventKind, Cut]] = []  # those that are on, and until when
        self.stream_bytes = 0
        chance = random.Random(f"wire {plan.seed}")

        def way(weather: DatagramConditions) -> DatagramLink:
            return DatagramLink(weather, random.Random(chance.getrandbits(64)))

        self.near, self.zones, self.far = map(way, (plan.wire.zone, plan.wire.zones, plan.wire.regions))

    def strike(self, event: Happens) -> None:
        """A cut begins, and ends by itself."""
        told = self.clock.now + event.lasts, event.what, self.places.cut(event)
        self.cuts.append(told)
        self.clock.call_later(event.lasts, self.cuts.remove, told)

    def cut_until(self, one: int, other: int) -> float:
        """When the way between two machines is open again; 0 where it is open."""
        until, by = 0.0, PlannedEventKind.ZONE
        for ends, what, cut in self.cuts:
            if ends > until and self.places.apart(cut, one, other):
                until, by = ends, what
        if until:
            self.bites[by.value] += 1
        return until

    def _way(self, one: int, other: int) -> DatagramLink:
        places = self.places
        if places.zones[one] == places.zones[other]:
            return self.near
        return self.zones if places.region(one) == places.region(other) else self.far

    def trip_s(self, one: int, other: int) -> float:
        """One way, without jitter."""
        return self._way(one, other).conditions.delay_ms / 1000

    def datagram(self, one: int, other: int, arrive: Callable[[], None]) -> None:
        """A datagram on its way."""
        fate = self._way(one, other).draw_delays_s()
        if self.cuts and self.cut_until(one, other):
            return
        for after in fate:
            self.clock.call_later(after, arrive)

    def delay(self, one: int, other: int) -> float:
        """How long a piece of a stream takes: what is lost is sent again, and through a cut after its end."""
        fate, delay = self._way(one, other).draw_delays_s(), 0.0
        if not fate:
            delay, fate = RESEND_S, (self.trip_s(one, other),)
        if self.cuts and (until := self.cut_until(one, other)):
            delay += until - self.clock.now + RESEND_S
        return delay + fate[0]


class Stream:
    """A connection between two machines. `near` dialled it."""

    def __init__(
        self, net: Net, near: int, far: int, ends: tuple[Callable[[bytes], None], Callable[[bytes], None]],
        lost: tuple[Callable[[], None], Callable[[], None]],
    ) -> None:  # fmt: skip
        """`ends` and `lost`: what the dialler and the other are given, and how they hear of its end."""
        self.net, self.machines, self.ends, self.lost = net, (near, far), ends, lost
        self.closed = [False, False]  # each side's own end, or the word of the other's
        self._last = [0.0, 0.0]  # when what was sent to each side last arrives

    def _arrival(self, to: int) -> float:
        after = self.net.delay(self.machines[1 - to], self.machines[to])
        when = self._last[to] = max(self._last[to], self.net.clock.now + after)
        return when

    def send(self, side: int, data: bytes) -> None:
        """Bytes from one side."""
        if not self.closed[side]:
            self.net.stream_bytes += len(data)
            self.net.clock.call_at(self._arrival(1 - side), self._arrive, 1 - side, data)

    def _arrive(self, side: int, data: bytes) -> None:
        if not self.closed[side]:
            self.ends[side](data)

    def close(self, side: int) -> None:
        """One side ends it, or its process does; the other hears of it, on the same way."""
        if self.closed[side]:
            return
        self.closed[side] = True
        self.net.clock.call_at(self._arrival(1 - side), self._end, 1 - side)

    def mute(self) -> None:
        """A machine is off: nothing arrives any more, and nobody is told."""
        self.closed = [True, True]

    def _end(self, side: int) -> None:
        if not self.closed[side]:
            self.closed[side] = True
            self.lost[side]()
