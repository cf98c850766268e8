"""How an emulated roster server bears its work: one processor with one queue.

Such is the processor that the operators describe. This module owns what is queued, what is rejected, and what
warming up and an overload in that time mean. It is free of I/O, with the clock passed in, so that it runs on
a socket and on a virtual clock, and never decides what a softswitch does. Times are in seconds, by the clock
of whoever calls.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

LEAST_DIVISOR = 1e-9  # in place of 0


class WorkKind(Enum):
    """What costs the processor time."""

    SETUP = "set-up"
    ANSWER = "answer"
    RELEASE = "release"
    RETRANSMISSION = "retransmission"
    REJECTION = "rejection"


WORK_COSTS = {  # in set-ups
    WorkKind.SETUP: 1.0, WorkKind.ANSWER: 0.35, WorkKind.RELEASE: 0.35,
    WorkKind.RETRANSMISSION: 0.2, WorkKind.REJECTION: 0.2,
}  # fmt: skip
COST_PER_CALL = WORK_COSTS[WorkKind.SETUP] + WORK_COSTS[WorkKind.ANSWER] + WORK_COSTS[WorkKind.RELEASE]


class ProcessorState(Enum):
    """What a server is like now. The values stand in reports."""

    SERVING = "serving"
    DRAINING = "draining"  # rejects new set-ups
    HUNG = "hung"  # takes set-ups and answers none
    CRASHED = "fallen"  # overloaded while it was warming up: down for good
    GONE = "gone"


DOWN_STATES = frozenset({ProcessorState.CRASHED, ProcessorState.GONE})
SILENT_STATES = DOWN_STATES | {ProcessorState.HUNG}


class SetupAdmission(Enum):
    """What becomes of a set-up as it comes."""

    QUEUED = "queued"
    REJECTED = "rejected"
    IGNORED = "ignored"  # nothing will be heard of it
    DOWN = "down"


class ProcessorLoad(NamedTuple):
    """What a processor reports of its load."""

    queue_delay_s: float
    calls_per_s: float  # that it can set up, answer and release


NO_LOAD = ProcessorLoad(0.0, 0.0)


@dataclass(frozen=True, slots=True)
class ProcessorProfile:
    """What a server can do."""

    setup_s: float = 0.01  # work of one set-up on a warm server
    max_queue_delay_s: float = 3.0  # a set-up that would wait longer is rejected
    initial_capacity_fraction: float = 0.3  # of its capacity, at a cold start
    warm_up_s: float = 14.0
    overload_multiple: float = 2.5  # work above this multiple of what it can do while it warms up ...
    overload_window_s: float = 1.5  # ... over this long makes it crash
    retransmission_interval_s: float = 0.8  # a set-up that waits so long is sent again, then at doubled gaps
    load_report_interval_s: float = 0.4  # its figures are refreshed so often
    load_report_error: float = 0.1  # and wrong by up to this fraction


@dataclass(order=True, slots=True)
class QueuedWork:
    """A piece of work in the queue."""

    done_at: float
    order: int
    call: str = field(compare=False)
    kind: WorkKind = field(compare=False)


@dataclass(slots=True)
class Processor:
    """One server's processor and its queue."""

    profile: ProcessorProfile
    rng: random.Random
    started_cold_at: float | None = None  # None: it has long been warm
    state: ProcessorState = ProcessorState.SERVING
    slowdown: float = 1.0  # so many times slower
    busy_until: float = 0.0  # when all that is queued will be done
    queue: list[QueuedWork] = field(default_factory=list)
    abandoned: set[str] = field(default_factory=set)  # calls that are queued and wanted no more
    rejected_count: int = 0
    work_s: float = 0.0
    wasted_work_s: float = 0.0  # on rejections, retransmissions and what was abandoned
    _cold_setups: deque[float] = field(default_factory=deque)  # when those of the overload window came
    _load: ProcessorLoad = NO_LOAD  # as reported last
    _load_reported_at: float = -math.inf
    _order: int = 0

    # ---- what it can do ----

    def capacity_fraction(self, now: float) -> float:
        """Return the fraction of its capacity that it has now, 0 to 1; it grows evenly while it warms up."""
        if self.started_cold_at is None:
            return 1.0
        profile = self.profile
        warmed = (now - self.started_cold_at) / max(profile.warm_up_s, LEAST_DIVISOR)
        part = min(1.0, max(0.0, warmed))
        return profile.initial_capacity_fraction + (1 - profile.initial_capacity_fraction) * part

    def capacity(self, now: float) -> float:
        """Return how many set-ups a second it can work off now."""
        return self.capacity_fraction(now) / (self.profile.setup_s * max(self.slowdown, LEAST_DIVISOR))

    def queue_delay_s(self, now: float) -> float:
        """Return how long a set-up that comes now waits before it is worked on."""
        return max(0.0, self.busy_until - now)

    def report_load(self, now: float) -> ProcessorLoad:
        """Return its load as it reports it: refreshed now and then, and a little wrong."""
        if now - self._load_reported_at >= self.profile.load_report_interval_s:
            self._load_reported_at = now
            error = 1 + self.profile.load_report_error * (2 * self.rng.random() - 1)
            calls_per_s = self.capacity(now) / COST_PER_CALL
            self._load = ProcessorLoad(self.queue_delay_s(now) * error, calls_per_s * error)
        return self._load

    # ---- what comes ----

    def offer(self, now: float, call: str) -> SetupAdmission:
        """Take, reject or ignore a set-up that comes."""
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
        for _ in range(self._count_retransmissions(queue_delay_s)):  # each is work, and says nothing new
            self._enqueue(now, call, WorkKind.RETRANSMISSION)
        self._enqueue(now, call, WorkKind.SETUP)
        self._enqueue(now, call, WorkKind.ANSWER)
        return SetupAdmission.QUEUED

    def release(self, now: float, call: str) -> None:
        """Release a call, or abandon a set-up. What was abandoned is worked on all the same."""
        if self.state in DOWN_STATES:
            return
        if any(item.call == call and item.kind is WorkKind.ANSWER for item in self.queue):
            self.abandoned.add(call)
        if self.state is not ProcessorState.HUNG:
            self._enqueue(now, call, WorkKind.RELEASE)

    def take_completed(self, now: float) -> list[str]:
        """Take what is done by now from the queue; return the calls that are answered, in order."""
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
        """Return when something will next be done; None: nothing will."""
        return self.queue[0].done_at if self.queue and self.state is not ProcessorState.HUNG else None

    # ---- faults ----

    def start_cold(self, now: float) -> None:
        """Begin as another process, which knows nothing of what was queued."""
        self.started_cold_at = now
        self.state = ProcessorState.SERVING
        self.slowdown = 1.0
        self.busy_until = now
        self.queue.clear()
        self.abandoned.clear()
        self._cold_setups.clear()
        self._load_reported_at = -math.inf

    def hang(self) -> None:
        """Take set-ups and answer none from now on."""
        if self.state in (ProcessorState.SERVING, ProcessorState.DRAINING):
            self.state = ProcessorState.HUNG

    def recover(self, now: float) -> None:
        """Serve again after it hung. What it took meanwhile is lost."""
        if self.state is ProcessorState.HUNG:
            self.state = ProcessorState.SERVING
            self.busy_until = now
            self.queue.clear()

    # ---- inside ----

    def _count_retransmissions(self, queue_delay_s: float) -> int:
        """Return how often a set-up that waits so long is sent again."""
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
        """Count a set-up that comes while it warms up, also one that it rejects: too many make it crash."""
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
