"""The queue of calls that wait for an available endpoint. It keeps order and decides nothing."""

import bisect
import heapq
from collections.abc import Iterator

from stairhatch.overload.pending_call import PendingCall


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
        """The next call whose time in the queue is over; it stays in the queue until it is removed."""
        while self.deadlines and self.deadlines[0][0] <= now:
            call = self.calls.get(heapq.heappop(self.deadlines)[1])
            if call is not None and now >= call.queue_until:
                return call
        return None

    def postpone(self, call: PendingCall, until: float) -> None:
        """Have a call that was due come due again."""
        heapq.heappush(self.deadlines, (until, call.id))
