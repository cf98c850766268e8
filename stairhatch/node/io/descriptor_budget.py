"""Who may hold how many file descriptors: callers, servers, and what the process needs for itself.

`DescriptorBudget` is the arithmetic. `CallerAdmission` applies it to all listeners that callers connect to,
evicts idle callers where descriptors are wanted elsewhere, and logs that descriptors have run out (events
`accept` and `descriptors`).
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

SPARE_DESCRIPTORS = 16  # for evicted connections not closed yet, and for files that are open for a moment
ASSUMED_OPEN_DESCRIPTORS = 24  # what a process has open before its connections, where the system does not say
UNLIMITED = 1 << 30  # descriptors, where no limit is set
DESCRIPTORS_EXHAUSTED = (errno.EMFILE, errno.ENFILE)
EVICTION_DELAY_S = 0.01  # so long after an eviction the descriptor is free
EXHAUSTION_LOG_PERIOD_S = 1.0  # what wants a descriptor comes again and again: logged no more often


def open_descriptor_count() -> int:
    """How many descriptors this process holds."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return ASSUMED_OPEN_DESCRIPTORS


@dataclass(slots=True, eq=False, repr=False)
class DescriptorBudget:
    """The descriptors that a process may hold, and who they are for.

    Callers are guaranteed a third of the limit, which is also the most that the platform's rules let them
    count on. What is left goes first to the connections that are kept up to servers and to service discovery,
    whether they are open or not: otherwise callers that hold on while all servers are away would leave none
    to dial the servers with. The guarantee in turn keeps a server list that is longer than the limit from
    taking the descriptors of callers and operators.
    """

    limit: int = UNLIMITED
    reserved: int = 0  # open, or reserved, for other things than callers and what is dialled
    dialled: int = 0  # connections that are kept up, be they open or not

    def guaranteed_to_callers(self) -> int:
        """How many connections callers may hold whatever else is wanted."""
        return self.limit // 3

    def available_to_callers(self) -> int:
        """How many connections callers may hold now."""
        return max(self.guaranteed_to_callers(), self._available() - self.dialled)

    def available_to_servers(self) -> int:
        """How many connections to servers may be open at a time."""
        return max(self.limit // 4, self._available() - self.guaranteed_to_callers() - 1)

    def _available(self) -> int:
        return self.limit - self.reserved - min(SPARE_DESCRIPTORS, self.limit // 8)


class EvictingListener(Protocol):
    """What the admission of callers needs of a listener."""

    @property
    def connections(self) -> Sized:
        """The connections accepted and not evicted."""

    def evict(self, count: int = 1) -> int:
        """Close up to `count` idle connections; returns how many."""


class CallerAdmission:
    """The descriptor budget as it binds all listeners of callers together."""

    def __init__(self, core: CallManager, loop: asyncio.AbstractEventLoop) -> None:
        """Limit nothing until `share` names the listeners and the budget."""
        self.budget = DescriptorBudget()
        self._listeners: Sequence[EvictingListener] = ()
        self._core = core
        self._loop = loop
        self._logged_at: dict[str, float] = {}  # by log event
        self._eviction_scheduled = False

    def share(self, listeners: Sequence[EvictingListener], budget: DescriptorBudget) -> None:
        """Have these listeners share a budget. Until then nothing is limited."""
        self._listeners = listeners
        self.budget = budget

    def caller_count(self) -> int:
        """How many connections callers hold at all listeners."""
        return sum(len(each.connections) for each in self._listeners)

    def is_full_for(self, listener: EvictingListener) -> bool:
        """Whether callers hold all that is left to them, so that for a newcomer here another has to go."""
        if listener not in self._listeners:
            return False
        return self.caller_count() >= self.budget.available_to_callers()

    def evict_one(self, first: EvictingListener | None = None) -> bool:
        """Free a descriptor by evicting an idle caller, at the given listener if possible, else at any."""
        every = [*([first] if first is not None else []), *self._listeners]
        return any(each.evict() for each in every)

    def evict_above_guarantee(self) -> bool:
        """Free a descriptor if callers hold more than is guaranteed to them; whether one was freed."""
        return self.caller_count() > self.budget.guaranteed_to_callers() and self.evict_one()

    def log_exhaustion(self, event: str, error: OSError) -> None:
        """Log that a socket could not be had."""
        now = self._loop.time()
        if now - self._logged_at.get(event, -math.inf) < EXHAUSTION_LOG_PERIOD_S:
            return
        self._logged_at[event] = now
        budget = self.budget
        callers = self.caller_count()
        self._core.log(event, why=str(error), callers=callers, dialled=budget.dialled, limit=budget.limit)

    @contextlib.contextmanager
    def dialled_connection(self) -> Iterator[None]:
        """While a connection is kept up, open or not, its descriptor is not left to callers."""
        self.budget.dialled += 1
        if not self._eviction_scheduled:  # once for all that are dialled in one turn of the loop
            self._eviction_scheduled = True
            self._loop.call_soon(self._evict_excess)
        try:
            yield
        finally:
            self.budget.dialled -= 1

    def _evict_excess(self) -> None:
        """More is dialled than before: the callers beyond what is left to them go, the longest idle first."""
        self._eviction_scheduled = False
        for each in self._listeners:
            excess = self.caller_count() - self.budget.available_to_callers()
            if excess > 0:
                each.evict(excess)
