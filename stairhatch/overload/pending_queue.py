"""The calls that are owed a final answer, and the queue of those that wait for an available endpoint.

The queue keeps order. Nothing here decides anything.
"""

from __future__ import annotations

import bisect
import heapq
from collections.abc import Iterator
from dataclasses import dataclass

from stairhatch.overload.events import CallOffered
from stairhatch.overload.settings import CallClass


@dataclass(slots=True, eq=False, repr=False)
class PendingCall:
    """A call that is owed its final answer."""

    id: int
    call_class: CallClass
    preferred_number: int
    offered_at: float
    answer_by: float
    weight: float  # its class's, less in a caller's retry
    in_transit: bool
    called_number: int
    queue_until: float  # it is rejected if no endpoint was available until then
    max_attempts: int
    attempts: int = 0
    may_have_run: bool = False  # an attempt may have been processed
    error_servers: tuple[int, ...] = ()  # servers that answered it with an error
    not_before: float = 0.0  # no further attempt before: the end of the last one was unclear

    @classmethod
    def offered(
        cls, event: CallOffered, now: float, answer_by: float, queue_until: float, max_attempts: int
    ) -> PendingCall:
        """A call as it comes; its class must be known. Its weight is its class's."""
        assert event.call_class is not None
        return cls(
            id=event.call_id,
            call_class=event.call_class,
            preferred_number=event.preferred_number,
            offered_at=now,
            answer_by=answer_by,
            weight=event.call_class.priority_weight,
            in_transit=event.in_transit,
            called_number=event.called_number,
            queue_until=queue_until,
            max_attempts=max_attempts,
        )


class PendingQueue:
    """Pending calls by weight, the oldest first, and the time at which each leaves the queue."""

    def __init__(self) -> None:
        """Start empty."""
        self.calls: dict[int, PendingCall] = {}
        self.by_weight: dict[float, list[tuple[float, int]]] = {}  # weight -> (offered at, call id), in order
        self.deadlines: list[tuple[float, int]] = []  # a heap; some are of calls that wait no more

    def __len__(self) -> int:
        """How many calls wait."""
        return len(self.calls)

    def __contains__(self, call_id: int) -> bool:
        """Whether a call waits."""
        return call_id in self.calls

    def __iter__(self) -> Iterator[int]:
        """The ids of the calls, in the order in which they were added."""
        return iter(self.calls)

    def add(self, call: PendingCall) -> None:
        """Queue a call until its `queue_until`."""
        self.calls[call.id] = call
        bisect.insort(self.by_weight.setdefault(call.weight, []), (call.offered_at, call.id))
        heapq.heappush(self.deadlines, (call.queue_until, call.id))

    def remove(self, call_id: int) -> None:
        """Take a call out, if it is there."""
        call = self.calls.pop(call_id, None)
        if call is not None:
            queue = self.by_weight[call.weight]
            del queue[bisect.bisect_left(queue, (call.offered_at, call_id))]
            if not queue:
                del self.by_weight[call.weight]

    def weights(self) -> list[float]:
        """The weights of the calls, the greatest first."""
        return sorted(self.by_weight, reverse=True)

    def calls_of(self, weight: float) -> Iterator[PendingCall]:
        """The calls of one weight, the oldest first. They may be removed meanwhile."""
        for _, call_id in self.by_weight[weight].copy():
            yield self.calls[call_id]

    def pop_due(self, now: float) -> PendingCall | None:
        """The next call whose pending deadline has passed; it stays in the queue until it is removed."""
        while self.deadlines and self.deadlines[0][0] <= now:
            call = self.calls.get(heapq.heappop(self.deadlines)[1])
            if call is not None and now >= call.queue_until:
                return call
        return None

    def postpone(self, call: PendingCall, until: float) -> None:
        """Have a call that was due come due again."""
        heapq.heappush(self.deadlines, (until, call.id))
