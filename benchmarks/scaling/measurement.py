"""What one run gives at one size."""

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
    """What the command line says of a run."""

    decisions: str = "plain"  # which decisions are measured alone
    window_s: float = 6.0  # of the voter's window, on the virtual clock


@dataclass(slots=True, kw_only=True)
class Measurement:
    """Figures by the name of their slope, and why others could not be had."""

    figures: dict[str, float] = field(default_factory=dict)
    unavailable: list[str] = field(default_factory=list)


Measure = Callable[[int, MeasurementOptions], Measurement]


def wait_until(
    condition: Callable[[], T], what: str, timeout_s: float = TIMEOUT_S, poll_s: float = POLL_INTERVAL_S
) -> T:
    """Wait until a condition gives something true, and return that. Raises UnavailableFigureError."""
    end = time.monotonic() + timeout_s
    while not (found := condition()):
        if time.monotonic() > end:
            raise UnavailableFigureError(f"never came within {timeout_s:.0f} s: {what}")
        time.sleep(poll_s)
    return found
