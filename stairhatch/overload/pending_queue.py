"""Calls without a final answer, and the set-up queue of those that wait for an available endpoint.

The queue only keeps the order and the deadlines of the calls. This module makes no decisions.
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
    """A call that has no final answer yet."""

    id: int
    call_class: CallClass
    preferred_number: int
    offered_at: float
    answer_by: float
    weight: float  # the priority weight of the call's class, reduced for a caller retry
    in_transit: bool
    called_number: int
    queue_until: float  # the call is rejected if no endpoint is available by this time
    max_attempts: int
    attempts: int = 0
    may_have_run: bool = False  # an attempt may have been processed
    error_servers: tuple[int, ...] = ()  # servers that answered it with an error
    not_before: float = 0.0  # earliest time of the next attempt, after one with an unclear outcome

    @classmethod
    def offered(
        cls, event: CallOffered, now: float, answer_by: float, queue_until: float, max_attempts: int
    ) -> PendingCall:
        """Create the record of an offered call with the weight of its class, which must be known."""
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
    """The set-up queue: pending calls by weight, oldest first, and the time at which each becomes due."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self.calls: dict[int, PendingCall] = {}
        self.by_weight: dict[float, list[tuple[float, int]]] = {}  # weight -> (offered at, call id), in order
        self.deadlines: list[tuple[float, int]] = []  # heap of (time, call id), also of calls removed since

    def __len__(self) -> int:
        """Return the number of calls in the queue."""
        return len(self.calls)

    def __contains__(self, call_id: int) -> bool:
        """Return whether a call is in the queue."""
        return call_id in self.calls

    def __iter__(self) -> Iterator[int]:
        """Iterate over the ids of the calls in the order in which the calls were added."""
        return iter(self.calls)

    def add(self, call: PendingCall) -> None:
        """Add a call, to be due at its `queue_until`."""
        self.calls[call.id] = call
        bisect.insort(self.by_weight.setdefault(call.weight, []), (call.offered_at, call.id))
        heapq.heappush(self.deadlines, (call.queue_until, call.id))

    def remove(self, call_id: int) -> None:
        """Remove a call if it is in the queue."""
        call = self.calls.pop(call_id, None)
        if call is not None:
            queue = self.by_weight[call.weight]
            del queue[bisect.bisect_left(queue, (call.offered_at, call_id))]
            if not queue:
                del self.by_weight[call.weight]

    def weights(self) -> list[float]:
        """Return the distinct weights of the calls, greatest first."""
        return sorted(self.by_weight, reverse=True)

    def calls_of_weight(self, weight: float) -> Iterator[PendingCall]:
        """Iterate over the calls of one weight, oldest first. The current call may be removed meanwhile."""
        for _, call_id in self.by_weight[weight].copy():
            yield self.calls[call_id]

    def pop_due(self, now: float) -> PendingCall | None:
        """Return the next call that is due, or None. The call stays in the queue until `remove`."""
        while self.deadlines and self.deadlines[0][0] <= now:
            call = self.calls.get(heapq.heappop(self.deadlines)[1])
            if call is not None and now >= call.queue_until:
                return call
        return None

    def postpone(self, call: PendingCall, until: float) -> None:
        """Make a call that `pop_due` returned due again at `until`."""
        heapq.heappush(self.deadlines, (until, call.id))
