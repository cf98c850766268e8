"""Model of an emulated roster server's processor: one processor with one queue, as the operators describe it.

The model decides which set-ups are queued and which are rejected, how capacity grows during the warm-up after
a cold start, and when an overload during the warm-up crashes the server. It does not model the
softswitch. It does no I/O and takes the time as an argument, so that it runs on a socket and on a virtual
clock. Times are in seconds of the caller's clock.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

LEAST_DIVISOR = 1e-9  # replaces a divisor of 0


class WorkKind(Enum):
    """Kind of work that takes processor time."""

    SETUP = "set-up"
    ANSWER = "answer"
    RELEASE = "release"
    RETRANSMISSION = "retransmission"
    REJECTION = "rejection"


WORK_COSTS = {  # in units of one set-up's work
    WorkKind.SETUP: 1.0, WorkKind.ANSWER: 0.35, WorkKind.RELEASE: 0.35,
    WorkKind.RETRANSMISSION: 0.2, WorkKind.REJECTION: 0.2,
}  # fmt: skip
COST_PER_CALL = WORK_COSTS[WorkKind.SETUP] + WORK_COSTS[WorkKind.ANSWER] + WORK_COSTS[WorkKind.RELEASE]


class ProcessorState(Enum):
    """State of a server's processor. The values are written into reports."""

    SERVING = "serving"
    DRAINING = "draining"  # rejects new set-ups
    HUNG = "hung"  # accepts set-ups and answers none
    CRASHED = "fallen"  # overloaded during its warm-up; down until it is started again
    GONE = "gone"


DOWN_STATES = frozenset({ProcessorState.CRASHED, ProcessorState.GONE})
SILENT_STATES = DOWN_STATES | {ProcessorState.HUNG}


class SetupAdmission(Enum):
    """Decision on a set-up at its arrival."""

    QUEUED = "queued"
    REJECTED = "rejected"
    IGNORED = "ignored"  # the processor hangs and will send no reply
    DOWN = "down"  # the processor has crashed or is gone


class ProcessorLoad(NamedTuple):
    """Load figures that a processor reports."""

    queue_delay_s: float
    calls_per_s: float  # that it has capacity to set up, answer and release


NO_LOAD = ProcessorLoad(0.0, 0.0)


@dataclass(frozen=True, slots=True)
class ProcessorProfile:
    """Parameters of a server's processor."""

    setup_s: float = 0.01  # processor time of one set-up on a warm server
    max_queue_delay_s: float = 3.0  # a set-up that would wait longer is rejected
    initial_capacity_fraction: float = 0.3  # fraction of the full capacity that is available at a cold start
    warm_up_s: float = 14.0
    overload_multiple: float = 2.5  # during the warm-up, work above this multiple of the capacity ...
    overload_window_s: float = 1.5  # ... within a window of this length crashes the server
    retransmission_interval_s: float = 0.8  # of a waiting set-up, doubled each time; 0: none
    load_report_interval_s: float = 0.4  # how often the reported figures are refreshed
    load_report_error: float = 0.1  # largest relative error of the reported figures


@dataclass(order=True, slots=True)
class QueuedWork:
    """A queued item of work, ordered by the time it will be done and then by arrival."""

    done_at: float
    order: int
    call: str = field(compare=False)
    kind: WorkKind = field(compare=False)


@dataclass(slots=True)
class Processor:
    """Processor of one server, with its queue and its counts of work."""

    profile: ProcessorProfile
    rng: random.Random
    started_cold_at: float | None = None  # None: fully warm
    state: ProcessorState = ProcessorState.SERVING
    slowdown: float = 1.0  # factor on the time of all work
    busy_until: float = 0.0  # when all queued work will be done
    queue: list[QueuedWork] = field(default_factory=list)
    abandoned: set[str] = field(default_factory=set)  # calls that were released before their answer
    rejected_count: int = 0
    work_s: float = 0.0
    wasted_work_s: float = 0.0  # spent on rejections, retransmissions and abandoned set-ups
    _cold_setups: deque[float] = field(default_factory=deque)  # arrival times in the overload window
    _load: ProcessorLoad = NO_LOAD  # most recently reported
    _load_reported_at: float = -math.inf
    _order: int = 0

    # ---- capacity and load ----

    def capacity_fraction(self, now: float) -> float:
        """Return the available fraction of the full capacity, 0 to 1, which grows linearly in the warm-up."""
        if self.started_cold_at is None:
            return 1.0
        profile = self.profile
        warm_up_progress = (now - self.started_cold_at) / max(profile.warm_up_s, LEAST_DIVISOR)
        clamped_progress = min(1.0, max(0.0, warm_up_progress))
        return profile.initial_capacity_fraction + (1 - profile.initial_capacity_fraction) * clamped_progress

    def capacity(self, now: float) -> float:
        """Return the capacity now, in set-ups a second."""
        return self.capacity_fraction(now) / (self.profile.setup_s * max(self.slowdown, LEAST_DIVISOR))

    def queue_delay_s(self, now: float) -> float:
        """Return how many seconds a set-up that arrives now waits in the queue."""
        return max(0.0, self.busy_until - now)

    def report_load(self, now: float) -> ProcessorLoad:
        """Return the load as the server reports it.

        The figures are refreshed every `load_report_interval_s` and have a random error of up to
        `load_report_error`.
        """
        if now - self._load_reported_at >= self.profile.load_report_interval_s:
            self._load_reported_at = now
            error = 1 + self.profile.load_report_error * (2 * self.rng.random() - 1)
            calls_per_s = self.capacity(now) / COST_PER_CALL
            self._load = ProcessorLoad(self.queue_delay_s(now) * error, calls_per_s * error)
        return self._load

    # ---- arrival and completion of work ----

    def offer(self, now: float, call: str) -> SetupAdmission:
        """Queue, reject or ignore an arriving set-up, and return which; it may crash a server in warm-up."""
        if self.state in DOWN_STATES:
            return SetupAdmission.DOWN
        self._count_cold_setup(now)
        if self.state is ProcessorState.CRASHED:
            return SetupAdmission.DOWN
        if self.state is ProcessorState.HUNG:
            return SetupAdmission.IGNORED
        queue_delay_s = self.queue_delay_s(now)
        if self.state is ProcessorState.DRAINING or queue_delay_s > self.profile.max_queue_delay_s:
            self.rejected_count += 1
            self._enqueue(now, call, WorkKind.REJECTION)
            return SetupAdmission.REJECTED
        for _ in range(self._count_retransmissions(queue_delay_s)):  # each costs work and has no other effect
            self._enqueue(now, call, WorkKind.RETRANSMISSION)
        self._enqueue(now, call, WorkKind.SETUP)
        self._enqueue(now, call, WorkKind.ANSWER)
        return SetupAdmission.QUEUED

    def release(self, now: float, call: str) -> None:
        """Release an established call, or abandon a queued set-up, whose work stays in the queue."""
        if self.state in DOWN_STATES:
            return
        if any(item.call == call and item.kind is WorkKind.ANSWER for item in self.queue):
            self.abandoned.add(call)
        if self.state is not ProcessorState.HUNG:
            self._enqueue(now, call, WorkKind.RELEASE)

    def take_completed(self, now: float) -> list[str]:
        """Remove the work done by now from the queue and return the calls to answer, in order of completion.

        The list is empty if the processor hangs or is down.
        """
        answered = []
        while self.queue and self.queue[0].done_at <= now:
            item = heapq.heappop(self.queue)
            if item.kind is not WorkKind.ANSWER:
                continue
            if item.call in self.abandoned:
                self.abandoned.discard(item.call)
                self.wasted_work_s += self.profile.setup_s
            else:
                answered.append(item.call)
        return answered if self.state not in SILENT_STATES else []

    def next_completion_at(self) -> float | None:
        """Return when the next queued work will be done; None if the queue is empty or the server hangs."""
        return self.queue[0].done_at if self.queue and self.state is not ProcessorState.HUNG else None

    # ---- faults ----

    def start_cold(self, now: float) -> None:
        """Restart as a new, cold process; the queue of the old process is lost."""
        self.started_cold_at = now
        self.state = ProcessorState.SERVING
        self.slowdown = 1.0
        self.busy_until = now
        self.queue.clear()
        self.abandoned.clear()
        self._cold_setups.clear()
        self._load_reported_at = -math.inf

    def hang(self) -> None:
        """Accept set-ups and answer none from now on; no effect on a server that is down."""
        if self.state in (ProcessorState.SERVING, ProcessorState.DRAINING):
            self.state = ProcessorState.HUNG

    def recover(self, now: float) -> None:
        """Serve again after a hang, with an empty queue; no effect in any other state."""
        if self.state is ProcessorState.HUNG:
            self.state = ProcessorState.SERVING
            self.busy_until = now
            self.queue.clear()

    # ---- cost of work ----

    def _count_retransmissions(self, queue_delay_s: float) -> int:
        """Return how often a softswitch retransmits a set-up that waits `queue_delay_s` in the queue."""
        interval_s = elapsed_s = self.profile.retransmission_interval_s
        count = 0
        while interval_s > 0 and elapsed_s < queue_delay_s:
            count += 1
            interval_s *= 2
            elapsed_s += interval_s
        return count

    def _enqueue(self, now: float, call: str, kind: WorkKind) -> None:
        cost_s = WORK_COSTS[kind] * self.profile.setup_s * self.slowdown / self.capacity_fraction(now)
        self.busy_until = max(self.busy_until, now) + cost_s
        self.work_s += cost_s
        if kind in (WorkKind.REJECTION, WorkKind.RETRANSMISSION):
            self.wasted_work_s += cost_s
        self._order += 1
        heapq.heappush(self.queue, QueuedWork(self.busy_until, self._order, call, kind))

    def _count_cold_setup(self, now: float) -> None:
        """Count a set-up that arrives during the warm-up, and crash if the overload window holds too many.

        Set-ups that are then rejected count, too.
        """
        profile = self.profile
        if self.started_cold_at is None or now - self.started_cold_at >= profile.warm_up_s:
            return
        self._cold_setups.append(now)
        while self._cold_setups[0] <= now - profile.overload_window_s:
            self._cold_setups.popleft()
        budget = profile.overload_multiple * self.capacity(now) * profile.overload_window_s
        if len(self._cold_setups) * WORK_COSTS[WorkKind.SETUP] > budget:
            self.state = ProcessorState.CRASHED
            self.queue.clear()
