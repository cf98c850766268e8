"""The calls of a run, drawn from its seed."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from stairhatch.scale_test.call_graph import Graph
from stairhatch.scale_test.call_tally import ScaleTally, SimulatedCallResult
from stairhatch.scale_test.schema import ScalePlan
from stairhatch.scale_test.topology import Places

NUMBERS = 1000  # the number called begins with this plus the service


@dataclass(slots=True)
class Wanted:
    """One call that somebody wants."""

    serial: int
    at: float  # seconds after the beginning
    service: int
    depth: int  # 1: from outside
    softswitch: int
    hold_s: float
    end: SimulatedCallResult | None = None

    @property
    def number(self) -> str:
        """The number called: its first digits name the service."""
        return f"{NUMBERS + self.service}{self.serial:016d}"


class Traffic:
    """The calls of a run: those from outside come when they are due, whatever becomes of others; one that
    stands asks for those below it. What a call asks for is drawn by its own name, so that it does not depend
    on the order in which answers come.
    """

    def __init__(self, plan: ScalePlan) -> None:
        self.plan, self.places, self.graph = plan, Places(plan), Graph(plan)
        self.tally = ScaleTally()
        self.serial = 0
        self.open: dict[str, Wanted] = {}  # by number
        self.place: Callable[[Wanted], None]
        self.servers: dict[str, int] = {}  # the number called -> the roster server where it stood

    def from_outside(self) -> Iterator[Wanted]:
        """When they are due: a Poisson process."""
        chance, calls = random.Random(f"calls {self.plan.seed}"), self.plan.calls
        at = 0.0
        while calls.rate > 0:
            at += chance.expovariate(calls.rate)
            if at >= self.plan.seconds:
                return
            service = chance.choice(self.graph.first)
            where = chance.randrange(self.plan.softswitches)
            self.serial += 1
            yield Wanted(self.serial, at, service, 1, where, chance.expovariate(1 / calls.hold_s))

    def ask(self, wanted: Wanted) -> None:
        """A call is due."""
        self.open[wanted.number] = wanted
        self.tally.asked += 1
        self.tally.depths[wanted.depth] += 1
        self.place(wanted)

    def stood_at(self, number: str, server: int) -> None:
        """A roster server set it up."""
        if number in self.open:
            self.servers[number] = server

    def ended(self, wanted: Wanted, end: SimulatedCallResult, at: float) -> None:
        """Its one final answer, so many seconds after the beginning."""
        if wanted.end is not None:
            raise AssertionError(f"{wanted.number}: {wanted.end.value} and then {end.value}")
        wanted.end = end
        self.open.pop(wanted.number, None)
        server = self.servers.pop(wanted.number, 0)
        self.tally.ends[end.value] += 1
        self.tally.by_second[int(at)][end.value] += 1
        if end is SimulatedCallResult.STOOD:
            self.tally.took_ms.append(1000 * (at - wanted.at))
            self.tally.stood_at_depth[wanted.depth] += 1
            if at < self.plan.seconds:
                self._below(wanted, server, at)

    def _below(self, wanted: Wanted, server: int, at: float) -> None:
        """The calls that one leads to, at the softswitch beside the roster server that took it."""
        if wanted.depth >= self.graph.depth:
            return
        chance = random.Random(f"{self.plan.seed} {wanted.serial}")
        for order, service in enumerate(self.graph.below[wanted.service]):
            follows, hold_s = chance.random(), chance.expovariate(1 / self.plan.calls.hold_s)
            if follows < self.plan.calls.follow:
                serial = hash_of(wanted.serial, order)
                self.ask(Wanted(serial, at, service, wanted.depth + 1, self.places.beside(server), hold_s))


def hash_of(serial: int, order: int) -> int:
    """The name of a call that another leads to: by that one's, beyond those from outside."""
    return random.Random(f"{serial} {order}").randrange(10**9, 10**16)
