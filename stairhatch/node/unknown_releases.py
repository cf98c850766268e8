"""Forwards callers' releases of calls that this process does not know to the roster servers.

Such a call was set up before a restart of this process, which has no record of its server, so each release
goes to all servers. A caller may send releases of invented calls as fast as its connection takes them. So the
releases are forwarded at a limited rate, in turn for each source that has some waiting. Times are in seconds
of the call manager's clock.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Hashable
from typing import NamedTuple

from stairhatch.node.context import NodeContext
from stairhatch.node.timer_wheel import TimerWheel

FORWARD_INTERVAL_S = 0.02
FORWARDED_PER_INTERVAL = 10
MAX_WAITING_PER_SOURCE = 2048  # a further release of the source is dropped
MAX_WAITING = 8192  # of all sources; above it the newest of the source with most is dropped


class UnknownRelease(NamedTuple):
    """A caller's release of an unknown call, by a Q.850 cause."""

    call_id: str
    cause: int


class UnknownReleaseForwarder:
    """Queues of the releases that wait to be forwarded, one for each source."""

    def __init__(
        self, context: NodeContext, timers: TimerWheel, forward: Callable[[UnknownRelease], None]
    ) -> None:
        """Start empty; `forward` sends a release to the servers."""
        self._context, self._timers, self._forward = context, timers, forward
        self._queues: OrderedDict[Hashable, deque[UnknownRelease]] = OrderedDict()  # the next source first
        self._waiting = 0
        self._left_in_interval = FORWARDED_PER_INTERVAL
        self._is_interval_open = False

    def is_empty(self) -> bool:
        """Return whether no release waits."""
        return not self._queues

    def add(self, source: Hashable, release: UnknownRelease) -> None:
        """Forward a release at once if the rate permits and none waits; otherwise queue it for its source.

        A source is kept while releases of it wait, so it should hold no connection.
        """
        queue = self._queues.setdefault(source, deque())
        if len(queue) >= MAX_WAITING_PER_SOURCE:
            self._context.counters.add("releases_of_unknown_calls_dropped")
            return
        queue.append(release)
        self._waiting += 1
        if self._waiting > MAX_WAITING:
            self._drop_newest_of_longest()
        self._open_interval()
        self._forward_permitted()

    def _open_interval(self) -> None:
        if not self._is_interval_open:
            self._is_interval_open = True
            self._left_in_interval = FORWARDED_PER_INTERVAL
            self._timers.schedule(self._context.clock() + FORWARD_INTERVAL_S, self._interval_ended)

    def _interval_ended(self) -> None:
        self._is_interval_open = False
        if self._queues:
            self._open_interval()
            self._forward_permitted()

    def _forward_permitted(self) -> None:
        """Forward releases of all sources in turn while the rate permits."""
        while self._queues and self._left_in_interval > 0:
            source, queue = next(iter(self._queues.items()))
            release = queue.popleft()
            self._waiting -= 1
            self._left_in_interval -= 1
            if queue:
                self._queues.move_to_end(source)
            else:
                del self._queues[source]
            self._forward(release)

    def _drop_newest_of_longest(self) -> None:
        source, longest = max(self._queues.items(), key=lambda item: len(item[1]))
        longest.pop()
        if not longest:
            del self._queues[source]
        self._waiting -= 1
        self._context.counters.add("releases_of_unknown_calls_dropped")
