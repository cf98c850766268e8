"""Measures the processor time of a run by part of the work."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum


class ProcessorPart(Enum):
    """A part of the work. The values are keys of the kept results."""

    REST = "rest"
    SERVER_CONNECTIONS = "links"
    ENDPOINT_LIST = "list"
    LEASES = "claims"
    DECISIONS = "decisions"
    TIMERS = "timers"
    CALLS = "calls"
    EMULATORS = "stand-ins"


class ProcessorMeter:
    """Seconds by part. Time is charged to the part that was entered last and not yet left."""

    def __init__(self) -> None:
        """Begin with the rest."""
        self.seconds: defaultdict[ProcessorPart, float] = defaultdict(float)
        self._entered = [ProcessorPart.REST]
        self._since = time.perf_counter()

    def enter(self, part: ProcessorPart) -> None:
        """Charge the time from now on to a part, until it is left or another is entered."""
        self._charge(self._entered[-1])
        self._entered.append(part)

    def leave(self) -> None:
        """Charge the time from now on to the part that was entered before."""
        self._charge(self._entered.pop())

    def update(self) -> None:
        """Charge the time up to now, so that `seconds` is complete."""
        self._charge(self._entered[-1])

    @contextmanager
    def measuring(self, part: ProcessorPart) -> Iterator[None]:
        """Charge the time inside the block to a part."""
        self.enter(part)
        try:
            yield
        finally:
            self.leave()

    def _charge(self, part: ProcessorPart) -> None:
        now = time.perf_counter()
        self.seconds[part] += now - self._since
        self._since = now
