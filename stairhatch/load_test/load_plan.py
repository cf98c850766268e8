"""The file of a load: how many calls of which classes come when, from which sources, and what callers do.

Fields are named after what they hold, the keys of the file after what operators have always written. Free of
I/O beyond reading the file.
"""

from __future__ import annotations

import math
import tomllib
from enum import Enum
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

from stairhatch.load_test.errors import LoadPlanError

FRACTION_TOLERANCE = 1e-6

Fraction = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Rate = Annotated[float, Meta(ge=0, le=20_000)]  # calls a second


class Transport(Enum):
    """How a source of calls reaches the softswitch."""

    UDP = "udp"
    TCP = "tcp"


class LoadPhase(Struct, forbid_unknown_fields=True, frozen=True):
    """A stretch of the load.

    The rate goes evenly from `rate` to `final_rate` where that is given, or follows half a sine up to it and
    back.
    """

    seconds: Seconds
    rate: Rate
    final_rate: Rate | None = field(name="to_rate", default=None)
    half_sine: bool = field(name="day", default=False)

    def rate_after(self, elapsed_s: float) -> float:
        """Return the calls a second, so many seconds into the phase."""
        if self.final_rate is None or self.seconds <= 0:
            return self.rate
        part = elapsed_s / self.seconds
        weight = math.sin(math.pi * part) if self.half_sine else part
        return self.rate + (self.final_rate - self.rate) * weight


class Burst(Struct, forbid_unknown_fields=True, frozen=True):
    """For a while there are so many times the calls."""

    at_s: Seconds = field(name="at")
    seconds: Seconds
    factor: Annotated[float, Meta(ge=0, le=100)] = field(name="times", default=2.0)

    def covers(self, at_s: float) -> bool:
        """Whether it is on at a time after the beginning."""
        return self.at_s <= at_s < self.at_s + self.seconds


class LoadClass(Struct, forbid_unknown_fields=True, frozen=True):
    """A class of calls."""

    name: str
    fraction: Fraction = field(name="share")  # of all calls
    number: str  # called; its prefix may mean a class or a first choice to the softswitch
    weight: Annotated[float, Meta(ge=0)] = field(name="worth", default=1.0)
    late_weight: Fraction = field(name="late_worth", default=0.0)  # of the weight, past the objective
    latency_objective_s: Seconds = field(name="aim_s", default=1.5)
    time_limit_s: Seconds = field(name="limit_s", default=9.0)  # a caller goes on trying so long
    attempt_timeout_s: Seconds = field(name="try_s", default=3.0)  # and cancels one attempt after this
    hold_s: Seconds = 8.0  # mean


class CallerBehaviour(Struct, forbid_unknown_fields=True, frozen=True):
    """What callers do. Fractions are of the sources, or of the calls where that is said."""

    max_retries: Annotated[int, Meta(ge=0, le=10)] = field(name="redials", default=2)
    mean_retry_delay_s: Seconds = field(name="redial_s", default=0.5)  # where the response names no time
    retry_after_fraction: Fraction = field(name="obeys", default=1.0)  # wait as long as Retry-After says
    vanish_fraction: Fraction = field(name="vanish", default=0.0)  # of the calls: gone without a word
    cancel_fraction: Fraction = field(name="cancels", default=0.0)  # of the calls: cancelled after `cancel_s`
    cancel_s: Seconds = 1.0
    overload_control_fraction: Fraction = field(name="oc", default=0.0)  # know it (RFC 7339) and obey
    false_overload_control_fraction: Fraction = field(name="oc_lies", default=0.0)  # say so and send on


DEFAULT_CLASS = LoadClass("read-roster", 1.0, "1000")


class LoadPlan(Struct, forbid_unknown_fields=True, frozen=True):
    """A load."""

    phases: Annotated[tuple[LoadPhase, ...], Meta(min_length=1)] = field(name="phase")
    classes: Annotated[tuple[LoadClass, ...], Meta(min_length=1)] = field(
        name="kind", default=(DEFAULT_CLASS,)
    )
    bursts: tuple[Burst, ...] = field(name="burst", default=())
    behaviour: CallerBehaviour = field(name="habits", default=CallerBehaviour())
    source_count: Annotated[int, Meta(ge=1, le=4096)] = field(name="offices", default=16)
    tcp_fraction: Fraction = field(name="tcp", default=0.0)  # of the sources
    heavy_source_factor: Annotated[float, Meta(ge=0, le=1000)] = field(
        name="heavy", default=0.0
    )  # one source has so many times the calls of another; 0: none has
    reconnects_at_s: tuple[Seconds, ...] = field(
        name="cuts", default=()
    )  # then every TCP source loses its connection and comes back at once

    @property
    def seconds(self) -> float:
        """How long new calls come."""
        return sum(phase.seconds for phase in self.phases)

    @property
    def longest_time_limit_s(self) -> float:
        """How long any caller goes on trying."""
        return max(each.time_limit_s for each in self.classes)

    def rate(self, at_s: float) -> float:
        """Return the calls a second at a time after the beginning."""
        elapsed_s = at_s
        for phase in self.phases:
            if elapsed_s < phase.seconds:
                factor = math.prod(burst.factor for burst in self.bursts if burst.covers(at_s))
                return phase.rate_after(elapsed_s) * factor
            elapsed_s -= phase.seconds
        return 0.0

    def rate_bound(self) -> float:
        """Return a rate that `rate` never exceeds."""
        factor = math.prod(max(1.0, burst.factor) for burst in self.bursts)
        return factor * max(max(phase.rate, phase.final_rate or 0.0) for phase in self.phases)


def read_load_plan(path: Path) -> LoadPlan:
    """Return the load of a TOML file. Raises LoadPlanError."""
    try:
        return parse_load_plan(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, LoadPlanError) as error:
        raise LoadPlanError(f"{path}: {error}") from error


def parse_load_plan(raw: object) -> LoadPlan:
    """Return the load of decoded TOML. Raises LoadPlanError."""
    try:
        plan = msgspec.convert(raw, LoadPlan)
    except msgspec.ValidationError as error:
        raise LoadPlanError(str(error)) from error
    check_load_plan(plan)
    return plan


def check_load_plan(plan: LoadPlan) -> None:
    """Check that the parts of a load fit together. Raises LoadPlanError."""
    if abs(sum(each.fraction for each in plan.classes) - 1.0) > FRACTION_TOLERANCE:
        raise LoadPlanError("kind: the shares come to other than 1")
    if len({each.name for each in plan.classes}) < len(plan.classes):
        raise LoadPlanError("kind: a name stands twice")
    behaviour = plan.behaviour
    if behaviour.overload_control_fraction + behaviour.false_overload_control_fraction > 1:
        raise LoadPlanError("habits: oc and oc_lies come to more than 1")
