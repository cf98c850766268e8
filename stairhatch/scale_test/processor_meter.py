"""Measures the time of a run by part of the work.

The readings are of `time.perf_counter`, so they include time in which the process was not scheduled.
"""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum


class ProcessorPart(Enum):
    """A part of the work of a run; the values are keys in the result files."""

    REST = "rest"
    SERVER_CONNECTIONS = "links"
    ENDPOINT_LIST = "list"
    LEASES = "claims"
    DECISIONS = "decisions"
    TIMERS = "timers"
    CALLS = "calls"
    EMULATORS = "stand-ins"


class ProcessorMeter:
    """Meter of the seconds spent in each part.

    Parts nest: time is charged to the part that was entered last and has not been left.
    """

    def __init__(self) -> None:
        """Start charging time to `ProcessorPart.REST`."""
        self.seconds: defaultdict[ProcessorPart, float] = defaultdict(float)
        self._entered = [ProcessorPart.REST]
        self._since = time.perf_counter()

    def enter(self, part: ProcessorPart) -> None:
        """Start charging time to a part, until the part is left or another one is entered."""
        self._charge(self._entered[-1])
        self._entered.append(part)

    def leave(self) -> None:
        """Leave the current part; time is again charged to the part that was entered before it."""
        self._charge(self._entered.pop())

    def update(self) -> None:
        """Charge the time since the last change to the current part, so that `seconds` is up to date."""
        self._charge(self._entered[-1])

    @contextmanager
    def measuring(self, part: ProcessorPart) -> Iterator[None]:
        """Context manager that charges the time inside the block to a part."""
        self.enter(part)
        try:
            yield
        finally:
            self.leave()

    def _charge(self, part: ProcessorPart) -> None:
        now = time.perf_counter()
        self.seconds[part] += now - self._since
        self._since = now
