"""The file of a load: call rates over time, classes of calls, call sources, and the behaviour of callers.

A field that is named differently from its key in the file has the key as `name`; the keys stay compatible
with existing files. The module does no I/O apart from reading the file. Times are in seconds.
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
    """SIP transport of a source of calls."""

    UDP = "udp"
    TCP = "tcp"


class LoadPhase(Struct, forbid_unknown_fields=True, frozen=True):
    """A phase of the load with a constant or a varying rate.

    With `final_rate` the rate changes linearly from `rate` to `final_rate`, or with `half_sine` follows half
    a sine wave from `rate` up to `final_rate` and back.
    """

    seconds: Seconds
    rate: Rate
    final_rate: Rate | None = field(name="to_rate", default=None)
    half_sine: bool = field(name="day", default=False)

    def rate_after(self, elapsed_s: float) -> float:
        """Return the rate in calls a second, `elapsed_s` after the beginning of the phase."""
        if self.final_rate is None or self.seconds <= 0:
            return self.rate
        part = elapsed_s / self.seconds
        weight = math.sin(math.pi * part) if self.half_sine else part
        return self.rate + (self.final_rate - self.rate) * weight


class Burst(Struct, forbid_unknown_fields=True, frozen=True):
    """A burst, which multiplies the call rate by `factor` for `seconds`."""

    at_s: Seconds = field(name="at")  # after the beginning of the load
    seconds: Seconds
    factor: Annotated[float, Meta(ge=0, le=100)] = field(name="times", default=2.0)

    def covers(self, at_s: float) -> bool:
        """Return whether the burst is in force `at_s` after the beginning of the load."""
        return self.at_s <= at_s < self.at_s + self.seconds


class LoadClass(Struct, forbid_unknown_fields=True, frozen=True):
    """A class of calls, with its fraction of the load, its value, its latency objective and its limits.

    A call established within `latency_objective_s` counts `weight`, a later one `late_weight` times that.
    """

    name: str
    fraction: Fraction = field(name="share")  # of all calls
    number: str  # prefix of the called numbers; may select a class or a server in the softswitch
    weight: Annotated[float, Meta(ge=0)] = field(name="worth", default=1.0)  # value of a call in time
    late_weight: Fraction = field(name="late_worth", default=0.0)  # of `weight`
    latency_objective_s: Seconds = field(name="aim_s", default=1.5)
    time_limit_s: Seconds = field(name="limit_s", default=9.0)  # for all attempts of a call
    attempt_timeout_s: Seconds = field(name="try_s", default=3.0)  # then the caller cancels
    hold_s: Seconds = 8.0  # mean hold time


class CallerBehaviour(Struct, forbid_unknown_fields=True, frozen=True):
    """Behaviour of callers. Fractions are of the sources, or of the calls if the comment says so.

    Sources of `overload_control_fraction` announce overload control (RFC 7339) and obey it; those of
    `false_overload_control_fraction` announce it and do not obey.
    """

    max_retries: Annotated[int, Meta(ge=0, le=10)] = field(name="redials", default=2)
    mean_retry_delay_s: Seconds = field(name="redial_s", default=0.5)  # after a response without Retry-After
    retry_after_fraction: Fraction = field(name="obeys", default=1.0)  # sources that obey Retry-After
    vanish_fraction: Fraction = field(name="vanish", default=0.0)  # of the calls: no CANCEL, no BYE
    cancel_fraction: Fraction = field(name="cancels", default=0.0)  # of the calls: CANCEL after `cancel_s`
    cancel_s: Seconds = 1.0  # after the attempt's INVITE
    overload_control_fraction: Fraction = field(name="oc", default=0.0)
    false_overload_control_fraction: Fraction = field(name="oc_lies", default=0.0)


DEFAULT_CLASS = LoadClass("read-roster", 1.0, "1000")


class LoadPlan(Struct, forbid_unknown_fields=True, frozen=True):
    """The decoded file of a load."""

    phases: Annotated[tuple[LoadPhase, ...], Meta(min_length=1)] = field(name="phase")
    classes: Annotated[tuple[LoadClass, ...], Meta(min_length=1)] = field(
        name="kind", default=(DEFAULT_CLASS,)
    )
    bursts: tuple[Burst, ...] = field(name="burst", default=())
    behaviour: CallerBehaviour = field(name="habits", default=CallerBehaviour())
    source_count: Annotated[int, Meta(ge=1, le=4096)] = field(name="offices", default=16)
    tcp_fraction: Fraction = field(name="tcp", default=0.0)  # fraction of the sources that use TCP
    heavy_source_factor: Annotated[float, Meta(ge=0, le=1000)] = field(
        name="heavy", default=0.0
    )  # calls of source 0 relative to those of any other source; 0: all equal
    reconnects_at_s: tuple[Seconds, ...] = field(
        name="cuts", default=()
    )  # when every TCP source aborts its connection and reconnects at once

    @property
    def seconds(self) -> float:
        """The length of the load: the time during which new calls arrive."""
        return sum(phase.seconds for phase in self.phases)

    @property
    def longest_time_limit_s(self) -> float:
        """The longest time for which any caller retries."""
        return max(each.time_limit_s for each in self.classes)

    def rate(self, at_s: float) -> float:
        """Return the rate in calls a second, `at_s` after the beginning; 0 after the last phase."""
        elapsed_s = at_s
        for phase in self.phases:
            if elapsed_s < phase.seconds:
                factor = math.prod(burst.factor for burst in self.bursts if burst.covers(at_s))
                return phase.rate_after(elapsed_s) * factor
            elapsed_s -= phase.seconds
        return 0.0

    def rate_bound(self) -> float:
        """Return an upper bound of `rate` over the whole load, in calls a second."""
        factor = math.prod(max(1.0, burst.factor) for burst in self.bursts)
        return factor * max(max(phase.rate, phase.final_rate or 0.0) for phase in self.phases)


def read_load_plan(path: Path) -> LoadPlan:
    """Return the plan of a TOML file. Raises LoadPlanError if the file is unreadable or invalid."""
    try:
        return parse_load_plan(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, LoadPlanError) as error:
        raise LoadPlanError(f"{path}: {error}") from error


def parse_load_plan(raw: object) -> LoadPlan:
    """Return the plan of a decoded TOML table. Raises LoadPlanError if it is invalid."""
    try:
        plan = msgspec.convert(raw, LoadPlan)
    except msgspec.ValidationError as error:
        raise LoadPlanError(str(error)) from error
    check_load_plan(plan)
    return plan


def check_load_plan(plan: LoadPlan) -> None:
    """Check the constraints between fields. Raises LoadPlanError if the fractions or the names do not fit."""
    if abs(sum(each.fraction for each in plan.classes) - 1.0) > FRACTION_TOLERANCE:
        raise LoadPlanError("kind: the sum of the shares is not 1")
    if len({each.name for each in plan.classes}) < len(plan.classes):
        raise LoadPlanError("kind: duplicate name")
    behaviour = plan.behaviour
    if behaviour.overload_control_fraction + behaviour.false_overload_control_fraction > 1:
        raise LoadPlanError("habits: the sum of oc and oc_lies is above 1")
