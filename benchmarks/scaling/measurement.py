"""Types of a measurement at one size, and waiting for conditions during it."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

from benchmarks.scaling.errors import UnavailableFigureError

TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.02
T = TypeVar("T")


@dataclass(frozen=True, slots=True, kw_only=True)
class MeasurementOptions:
    """Options of a measurement that are set on the command line."""

    decisions: str = "plain"  # key of DECISIONS: the decision component to measure
    window_s: float = 6.0  # length of the measured window of voters, on the virtual clock


@dataclass(slots=True, kw_only=True)
class Measurement:
    """Figures by slope name, and the reasons for figures that could not be measured."""

    figures: dict[str, float] = field(default_factory=dict)
    unavailable: list[str] = field(default_factory=list)


Measure = Callable[[int, MeasurementOptions], Measurement]


def wait_until(
    condition: Callable[[], T], awaited: str, timeout_s: float = TIMEOUT_S, poll_s: float = POLL_INTERVAL_S
) -> T:
    """Poll a condition until it returns a true value, and return that value.

    Raises UnavailableFigureError, with `awaited` as the subject, after `timeout_s` seconds.
    """
    deadline = time.monotonic() + timeout_s
    while not (value := condition()):
        if time.monotonic() > deadline:
            raise UnavailableFigureError(f"timed out after {timeout_s:.0f} s waiting for {awaited}")
        time.sleep(poll_s)
    return value
