"""Divides the file descriptors of the process between callers, servers and its own needs.

`DescriptorBudget` computes the shares. `CallerAdmission` applies them to all listeners that callers connect
to, evicts idle callers when other connections need descriptors, and logs the exhaustion of descriptors
(events `accept` and `descriptors`).
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import math
import os
from collections.abc import Iterator, Sequence, Sized
from dataclasses import dataclass
from typing import Protocol

from stairhatch.node.call_manager import CallManager

SPARE_DESCRIPTORS = 16  # for evicted connections that are not closed yet, and for briefly opened files
ASSUMED_OPEN_DESCRIPTORS = 24  # open before any connection, where /proc/self/fd does not exist
UNLIMITED = 1 << 30  # descriptor limit of a process for which none is set
DESCRIPTORS_EXHAUSTED = (errno.EMFILE, errno.ENFILE)
EVICTION_DELAY_S = 0.01  # time until the descriptor of an evicted connection is closed
EXHAUSTION_LOG_PERIOD_S = 1.0  # minimum interval between log lines: failed attempts repeat rapidly


def open_descriptor_count() -> int:
    """Return the number of descriptors that this process has open, or 24 where the system has no /proc."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return ASSUMED_OPEN_DESCRIPTORS


@dataclass(slots=True, eq=False, repr=False)
class DescriptorBudget:
    """The descriptor limit of a process and its division between callers and servers.

    Callers are guaranteed a third of the limit, which is also the most that the platform's rules let them
    rely on. The rest goes first to the connections to servers and to service discovery, whether these are
    open or not: otherwise callers that keep their connections while all servers are unreachable would leave
    no descriptor for dialling the servers. The guarantee prevents a server list that is longer than the limit
    from taking the descriptors of callers and operators.
    """

    limit: int = UNLIMITED
    reserved: int = 0  # descriptors used by, or set aside for, anything but callers and dialled connections
    dialled: int = 0  # connections to servers and service discovery, open or waiting for a redial

    def guaranteed_to_callers(self) -> int:
        """Return how many connections callers may hold regardless of the demand of servers."""
        return self.limit // 3

    def available_to_callers(self) -> int:
        """Return how many connections callers may hold now: all that others leave, at least the guarantee."""
        return max(self.guaranteed_to_callers(), self._available() - self.dialled)

    def available_to_servers(self) -> int:
        """Return how many connections to servers may be open at a time, at least a quarter of the limit."""
        return max(self.limit // 4, self._available() - self.guaranteed_to_callers() - 1)

    def _available(self) -> int:
        return self.limit - self.reserved - min(SPARE_DESCRIPTORS, self.limit // 8)


class EvictingListener(Protocol):
    """The interface of a listener that `CallerAdmission` uses."""

    @property
    def connections(self) -> Sized:
        """The accepted connections that have neither ended nor been evicted."""

    def evict(self, count: int = 1) -> int:
        """Close up to `count` idle connections; return how many were closed."""


class CallerAdmission:
    """Applies one descriptor budget to all listeners that callers connect to."""

    def __init__(self, call_manager: CallManager, loop: asyncio.AbstractEventLoop) -> None:
        """Begin with an unlimited budget and no listeners; `share` sets both."""
        self.budget = DescriptorBudget()
        self._listeners: Sequence[EvictingListener] = ()
        self._call_manager = call_manager
        self._loop = loop
        self._logged_at: dict[str, float] = {}  # by log event
        self._eviction_scheduled = False

    def share(self, listeners: Sequence[EvictingListener], budget: DescriptorBudget) -> None:
        """Apply `budget` to the connections of these listeners together."""
        self._listeners = listeners
        self.budget = budget

    def caller_count(self) -> int:
        """Return the number of connections that callers hold at all listeners together."""
        return sum(len(each.connections) for each in self._listeners)

    def is_full_for(self, listener: EvictingListener) -> bool:
        """Return whether callers have used up their share, so that a new connection requires an eviction.

        Always False for a listener that does not share the budget.
        """
        if listener not in self._listeners:
            return False
        return self.caller_count() >= self.budget.available_to_callers()

    def evict_one(self, first: EvictingListener | None = None) -> bool:
        """Evict one idle caller, at listener `first` if possible, else at any; return whether one was."""
        candidates = [*([first] if first is not None else []), *self._listeners]
        return any(each.evict() for each in candidates)

    def evict_above_guarantee(self) -> bool:
        """Evict one idle caller if callers hold more than their guarantee; return whether one was evicted."""
        return self.caller_count() > self.budget.guaranteed_to_callers() and self.evict_one()

    def log_exhaustion(self, event: str, error: OSError) -> None:
        """Log that no socket could be opened, at most once a second for each event."""
        now = self._loop.time()
        if now - self._logged_at.get(event, -math.inf) < EXHAUSTION_LOG_PERIOD_S:
            return
        self._logged_at[event] = now
        budget = self.budget
        callers = self.caller_count()
        self._call_manager.log(
            event, why=str(error), callers=callers, dialled=budget.dialled, limit=budget.limit
        )

    @contextlib.contextmanager
    def dialled_connection(self) -> Iterator[None]:
        """Reserve one descriptor for a dialled connection, open or not, while the context is active."""
        self.budget.dialled += 1
        if not self._eviction_scheduled:  # one eviction serves all dials of one turn of the loop
            self._eviction_scheduled = True
            self._loop.call_soon(self._evict_excess)
        try:
            yield
        finally:
            self.budget.dialled -= 1

    def _evict_excess(self) -> None:
        """Evict callers beyond their share, the longest idle first, after connections were dialled."""
        self._eviction_scheduled = False
        for each in self._listeners:
            excess = self.caller_count() - self.budget.available_to_callers()
            if excess > 0:
                each.evict(excess)
