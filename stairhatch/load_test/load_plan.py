"""When which call is due: owns the file of a load and the calls drawn from it. Arrivals are open-loop: what
the softswitch does never moves them. The same file, seed and number of workers draw the same calls. It must
never know a socket or the time of day.
"""

from __future__ import annotations

import math
import random
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Rate = Annotated[float, Meta(ge=0, le=20_000)]


class PlanError(ValueError):
    """A file of a load that can't be used; the text names the key."""


class Transport(Enum):
    """How an office reaches the softswitch."""

    UDP = "udp"
    TCP = "tcp"


class Phase(Struct, forbid_unknown_fields=True, frozen=True):
    """A stretch of the load. The rate goes evenly from `rate` to `to_rate` where that is given, or follows
    half a sine up to it and back (`day = true`).
    """

    seconds: Seconds
    rate: Rate
    to_rate: Rate | None = None
    day: bool = False

    def at(self, passed: float) -> float:
        """Calls a second, so many seconds into it."""
        if self.to_rate is None or self.seconds <= 0:
            return self.rate
        part = passed / self.seconds
        return self.rate + (self.to_rate - self.rate) * (math.sin(math.pi * part) if self.day else part)


class Burst(Struct, forbid_unknown_fields=True, frozen=True):
    """For a while there are so many times the calls."""

    at: Seconds
    seconds: Seconds
    times: Annotated[float, Meta(ge=0, le=100)] = 2.0


class Kind(Struct, forbid_unknown_fields=True, frozen=True):
    """A class of calls."""

    name: str
    share: Share
    number: str  # called; its prefix may mean a class or a first choice to the softswitch
    worth: Annotated[float, Meta(ge=0)] = 1.0
    late_worth: Share = 0.0  # of the worth, if it stands after the aim
    aim_s: Seconds = 1.5
    limit_s: Seconds = 9.0  # a caller goes on trying so long
    try_s: Seconds = 3.0  # and gives one try up after this
    hold_s: Seconds = 8.0  # mean


class Habits(Struct, forbid_unknown_fields=True, frozen=True):
    """What callers do. Shares of the offices, or of the calls where that is said."""

    redials: Annotated[int, Meta(ge=0, le=10)] = 2
    redial_s: Seconds = 0.5  # mean wait before one, where the answer names no time
    obeys: Share = 1.0  # of the offices: waits as long as Retry-After says
    vanish: Share = 0.0  # of the calls: the caller is gone before its answer and says nothing
    cancels: Share = 0.0  # of the calls: given up by CANCEL after `cancel_s`
    cancel_s: Seconds = 1.0
    oc: Share = 0.0  # of the offices: know overload control (RFC 7339) and obey
    oc_lies: Share = 0.0  # of the offices: say that they know it and send on


class LoadPlan(Struct, forbid_unknown_fields=True, frozen=True):
    """A load."""

    phase: Annotated[tuple[Phase, ...], Meta(min_length=1)]
    kind: Annotated[tuple[Kind, ...], Meta(min_length=1)] = (Kind("read-roster", 1.0, "1000"),)
    burst: tuple[Burst, ...] = ()
    habits: Habits = Habits()
    offices: Annotated[int, Meta(ge=1, le=4096)] = 16
    tcp: Share = 0.0  # of the offices
    heavy: Annotated[float, Meta(ge=0, le=1000)] = 0.0  # one office has so many times the calls of another
    cuts: tuple[Seconds, ...] = ()  # then every TCP office loses its connection and comes back at once

    @property
    def seconds(self) -> float:
        """How long new calls come."""
        return sum(phase.seconds for phase in self.phase)

    def rate(self, at: float) -> float:
        """Calls a second at a time after the beginning."""
        passed = at
        for phase in self.phase:
            if passed < phase.seconds:
                times = math.prod(b.times for b in self.burst if b.at <= at < b.at + b.seconds)
                return phase.at(passed) * times
            passed -= phase.seconds
        return 0.0

    def most(self) -> float:
        """A bound of `rate`."""
        times = math.prod(max(1.0, burst.times) for burst in self.burst)
        return times * max(max(phase.rate, phase.to_rate or 0.0) for phase in self.phase)


@dataclass(frozen=True, slots=True)
class DueCall:
    """One call, as it is due."""

    at: float  # seconds after the beginning
    serial: int
    office: int
    kind: Kind
    hold_s: float
    vanishes: bool
    cancels: bool


@dataclass(frozen=True, slots=True)
class Office:
    """One source of calls."""

    index: int
    transport: Transport
    obeys: bool  # waits as long as it is told
    oc: bool  # says that it knows overload control
    oc_lies: bool  # and does not do as it is told


def read_plan(path: Path) -> LoadPlan:
    """A load from a TOML file; PlanError names what can't be used."""
    try:
        return plan_from(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError) as error:
        raise PlanError(f"{path}: {error}") from None
    except tomllib.TOMLDecodeError as error:
        raise PlanError(f"{path}: {error}") from None
    except PlanError as error:
        raise PlanError(f"{path}: {error}") from None


def plan_from(raw: object) -> LoadPlan:
    """A load from decoded TOML."""
    try:
        plan = msgspec.convert(raw, LoadPlan)
    except msgspec.ValidationError as error:
        raise PlanError(str(error)) from None
    return checked(plan)


def checked(plan: LoadPlan) -> LoadPlan:
    """The load, if its parts fit together; PlanError names what does not."""
    if abs(sum(kind.share for kind in plan.kind) - 1.0) > 1e-6:
        raise PlanError("kind: the shares come to other than 1")
    if len({kind.name for kind in plan.kind}) < len(plan.kind):
        raise PlanError("kind: a name stands twice")
    if plan.habits.oc + plan.habits.oc_lies > 1:
        raise PlanError("habits: oc and oc_lies come to more than 1")
    return plan


def offices(plan: LoadPlan) -> list[Office]:
    """All sources. Each share is of their number, to the nearest whole one; who has it is drawn by its name,
    so that the traits are independent.
    """
    count, habits = plan.offices, plan.habits

    def drawn(trait: str, share: float) -> list[int]:
        return random.Random(trait).sample(range(count), round(share * count))

    tcp, obeys = set(drawn("tcp", plan.tcp)), set(drawn("obeys", habits.obeys))
    knowing = drawn("oc", habits.oc + habits.oc_lies)
    liars = set(knowing[: round(habits.oc_lies * count)])
    return [
        Office(
            index,
            Transport.TCP if index in tcp else Transport.UDP,
            index in obeys,
            index in knowing,
            index in liars,
        )
        for index in range(count)
    ]


def calls(plan: LoadPlan, seed: int, worker: int = 0, workers: int = 1) -> Iterator[DueCall]:
    """The calls of one worker's offices (those whose index is `worker` modulo `workers`), in order.

    A Poisson process of changing rate by thinning (Lewis and Shedler, 1979). All workers draw the same calls
    and keep their own, so that the number of workers changes nothing.
    """
    chance = random.Random(seed)
    most, at, serial = plan.most(), 0.0, 0
    weights = [plan.heavy if index == 0 and plan.heavy else 1.0 for index in range(plan.offices)]
    order = range(plan.offices)
    while most > 0:
        at += chance.expovariate(most)
        if at >= plan.seconds:
            return
        keep = chance.random() * most < plan.rate(at)
        if not keep:
            continue
        office = chance.choices(order, weights)[0] if plan.heavy else chance.randrange(plan.offices)
        kind = chance.choices(plan.kind, [each.share for each in plan.kind])[0]
        hold_s = chance.expovariate(1 / kind.hold_s) if kind.hold_s > 0 else 0.0
        fate = chance.random()
        vanishes = fate < plan.habits.vanish
        cancels = not vanishes and fate < plan.habits.vanish + plan.habits.cancels
        if office % workers == worker:
            yield DueCall(at, serial, office, kind, hold_s, vanishes, cancels)
        serial += 1
