"""The network between the machines of a run."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from stairhatch.fault_injection.schedule import ScheduledFault
from stairhatch.load_test.datagram_conditions import DatagramConditions, DatagramLink
from stairhatch.scale_test.schema import PlannedEvent, PlannedEventKind, ScalePlan
from stairhatch.scale_test.topology import Topology
from stairhatch.scale_test.virtual_clock import Clock

RESEND_S = 0.2  # after which a stream sends again what was lost (the least RTO that Linux has)


class Net:
    """The wire between the machines of a run."""

    def __init__(self, plan: ScalePlan, places: Topology, clock: Clock) -> None:
        self.plan, self.places, self.clock = plan, places, clock
        self.bites: Counter[str] = Counter()
        self.cuts: list[
            tuple[float, PlannedEventKind, ScheduledFault]
        ] = []  # those that are on, and until when
        self.stream_bytes = 0
        chance = random.Random(f"wire {plan.seed}")

        def way(weather: DatagramConditions) -> DatagramLink:
            return DatagramLink(weather, random.Random(chance.getrandbits(64)))

        self.near, self.zones, self.far = map(
            way, (plan.network.within_zone, plan.network.between_zones, plan.network.between_regions)
        )

    def strike(self, event: PlannedEvent) -> None:
        """A cut begins, and ends by itself."""
        told = self.clock.now + event.duration_s, event.kind, self.places.partition_for(event)
        self.cuts.append(told)
        self.clock.call_later(event.duration_s, self.cuts.remove, told)

    def cut_until(self, one: int, other: int) -> float:
        """When the way between two machines is open again; 0 where it is open."""
        until, by = 0.0, PlannedEventKind.ZONE_PARTITION
        for ends, what, cut in self.cuts:
            if ends > until and self.places.is_separated(cut, one, other):
                until, by = ends, what
        if until:
            self.bites[by.value] += 1
        return until

    def _way(self, one: int, other: int) -> DatagramLink:
        places = self.places
        if places.zones[one] == places.zones[other]:
            return self.near
        return self.zones if places.region_of(one) == places.region_of(other) else self.far

    def trip_s(self, one: int, other: int) -> float:
        """One way, without jitter."""
        return self._way(one, other).weather.delay_ms / 1000

    def datagram(self, one: int, other: int, arrive: Callable[[], None]) -> None:
        """A datagram on its way."""
        fate = self._way(one, other).fate()
        if self.cuts and self.cut_until(one, other):
            return
        for after in fate:
            self.clock.call_later(after, arrive)

    def delay(self, one: int, other: int) -> float:
        """How long a piece of a stream takes: what is lost is sent again, and through a cut after its end."""
        fate, delay = self._way(one, other).fate(), 0.0
        if not fate:
            delay, fate = RESEND_S, (self.trip_s(one, other),)
        if self.cuts and (until := self.cut_until(one, other)):
            delay += until - self.clock.now + RESEND_S
        return delay + fate[0]


class Stream:
    """A connection between two machines. `near` dialled it."""

    def __init__(
        self,
        net: Net,
        near: int,
        far: int,
        ends: tuple[Callable[[bytes], None], Callable[[bytes], None]],
        lost: tuple[Callable[[], None], Callable[[], None]],
    ) -> None:
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
