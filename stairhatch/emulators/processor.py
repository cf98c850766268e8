"""How a stand-in roster server bears its work: one processor with one line, as the operators describe
theirs. It owns what is waiting, what is turned away, what a cold start and a fall mean. A model free of I/O,
the clock passed in, so that it runs on a socket and under a clock set by hand. It must never decide what a
softswitch does.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from enum import Enum


class Work(Enum):
    """What costs the processor time."""

    SET_UP = "set-up"
    ANSWER = "answer"
    RELEASE = "release"
    REPEAT = "repeat"
    TURN_AWAY = "turn away"


COSTS = {  # in set-ups
    Work.SET_UP: 1.0, Work.ANSWER: 0.35, Work.RELEASE: 0.35, Work.REPEAT: 0.2, Work.TURN_AWAY: 0.2,
}  # fmt: skip
PER_CALL = COSTS[Work.SET_UP] + COSTS[Work.ANSWER] + COSTS[Work.RELEASE]


class ProcessorState(Enum):
    """What a server is like now."""

    SERVING = "serving"
    DRAINING = "draining"  # takes no new set-up
    HUNG = "hung"  # takes set-ups and answers none
    FALLEN = "fallen"  # pushed over while it was cold: down for good
    GONE = "gone"


class SetupAdmission(Enum):
    """What becomes of a set-up as it comes."""

    QUEUED = "queued"
    TURNED_AWAY = "turned away"
    SWALLOWED = "swallowed"  # nothing will be heard of it
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class ProcessorProfile:
    """What a server can do. Times in seconds."""

    set_up_s: float = 0.01  # work of one set-up on a warm server
    longest_wait_s: float = 3.0  # a set-up that would wait longer is turned away
    cold_from: float = 0.3  # share of its capacity at its start
    warm_after_s: float = 14.0
    fall_multiple: float = 2.5  # work above this multiple of what a cold server can do ...
    fall_s: float = 1.5  # ... over this long pushes it over
    resend_s: float = 0.8  # a set-up that waits is worked on again after this, then at doubling gaps
    told_every_s: float = 0.4  # its reports are refreshed so often
    noise: float = 0.1  # and wrong by up to this share


@dataclass(order=True, slots=True)
class Item:
    """A piece of work."""

    done_at: float
    order: int
    call: str = field(compare=False)
    work: Work = field(compare=False)


@dataclass(slots=True)
class Processor:
    """One server's processor."""

    nature: ProcessorProfile
    chance: random.Random
    born: float | None = None  # when it started cold; None: long ago
    state: ProcessorState = ProcessorState.SERVING
    slow: float = 1.0  # so many times slower
    free_at: float = 0.0  # when all that is queued will be done
    queue: list[Item] = field(default_factory=list)
    given_up: set[str] = field(default_factory=set)
    turned_away: int = 0
    worked_s: float = 0.0
    wasted_s: float = 0.0  # on turning away, on repeats and on what was given up
    recent: list[tuple[float, float]] = field(default_factory=list)  # work that came while cold, in set-ups
    report: tuple[float, float] = (0.0, 0.0)  # wait and rate, as told last
    report_at: float = -1e9
    _order: int = 0

    # ---- what it can do ----

    def warmth(self, now: float) -> float:
        """Its share of its capacity now, 0 to 1."""
        if self.born is None:
            return 1.0
        part = min(1.0, max(0.0, (now - self.born) / max(self.nature.warm_after_s, 1e-9)))
        return self.nature.cold_from + (1 - self.nature.cold_from) * part

    def capacity(self, now: float) -> float:
        """Set-ups a second that it can work off now."""
        return self.warmth(now) / (self.nature.set_up_s * max(self.slow, 1e-9))

    def wait(self, now: float) -> float:
        """How long a set-up that comes now waits before it is worked on."""
        return max(0.0, self.free_at - now)

    def told(self, now: float) -> tuple[float, float]:
        """Wait and rate as it reports them: refreshed now and then, and a little wrong."""
        if now - self.report_at >= self.nature.told_every_s:
            self.report_at = now
            wrong = 1 + self.nature.noise * (2 * self.chance.random() - 1)
            self.report = (self.wait(now) * wrong, self.capacity(now) / PER_CALL * wrong)
        return self.report

    # ---- what comes ----

    def offer(self, now: float, call: str) -> SetupAdmission:
        """A set-up comes."""
        if self.state in (ProcessorState.FALLEN, ProcessorState.GONE):
            return SetupAdmission.DOWN
        self._press(now, Work.SET_UP)
        if self.state is ProcessorState.FALLEN:
            return SetupAdmission.DOWN
        if self.state is ProcessorState.HUNG:
            return SetupAdmission.SWALLOWED
        if self.state is ProcessorState.DRAINING or self.wait(now) > self.nature.longest_wait_s:
            self.turned_away += 1
            self._add(now, call, Work.TURN_AWAY)
            return SetupAdmission.TURNED_AWAY
        repeats = self._repeats(self.wait(now))
        for _ in range(repeats):  # each is work, and tells nothing new
            self._add(now, call, Work.REPEAT)
        self._add(now, call, Work.SET_UP)
        self._add(now, call, Work.ANSWER)
        return SetupAdmission.QUEUED

    def release(self, now: float, call: str) -> None:
        """A call is released, or a set-up given up. What was given up may still be worked on."""
        if self.state in (ProcessorState.FALLEN, ProcessorState.GONE):
            return
        if any(item.call == call and item.work is Work.ANSWER for item in self.queue):
            self.given_up.add(call)
        if self.state is not ProcessorState.HUNG:
            self._add(now, call, Work.RELEASE)

    def done(self, now: float) -> list[str]:
        """The calls whose answer leaves by now, in order."""
        answered = []
        while self.queue and self.queue[0].done_at <= now:
            item = heapq.heappop(self.queue)
            if item.work is Work.ANSWER:
                if item.call in self.given_up:
                    self.given_up.discard(item.call)
                    self.wasted_s += self.nature.set_up_s
                else:
                    answered.append(item.call)
        return (
            answered
            if self.state not in (ProcessorState.HUNG, ProcessorState.FALLEN, ProcessorState.GONE)
            else []
        )

    def next_due(self) -> float | None:
        """When `done` is to be asked next."""
        return self.queue[0].done_at if self.queue and self.state is not ProcessorState.HUNG else None

    # ---- troubles ----

    def start_cold(self, now: float) -> None:
        """Another process, which knows nothing of what was queued."""
        self.born, self.state, self.slow, self.free_at = now, ProcessorState.SERVING, 1.0, now
        self.queue.clear()
        self.given_up.clear()
        self.recent.clear()
        self.report_at = -1e9

    def hang(self, now: float) -> None:
        """It takes set-ups and answers none."""
        if self.state in (ProcessorState.SERVING, ProcessorState.DRAINING):
            self.state = ProcessorState.HUNG

    def recover(self, now: float) -> None:
        """What it took while it hung is lost."""
        if self.state is ProcessorState.HUNG:
            self.state, self.free_at = ProcessorState.SERVING, now
            self.queue.clear()

    # ---- inside ----

    def _repeats(self, wait: float) -> int:
        """How often a set-up that waits so long is sent again."""
        count, gap, passed = 0, self.nature.resend_s, self.nature.resend_s
        while gap > 0 and passed < wait:
            count, gap = count + 1, 2 * gap
            passed += gap
        return count

    def _add(self, now: float, call: str, work: Work) -> None:
        cost = COSTS[work] * self.nature.set_up_s * self.slow / self.warmth(now)
        self.free_at = max(self.free_at, now) + cost
        self.worked_s += cost
        if work in (Work.TURN_AWAY, Work.REPEAT):
            self.wasted_s += cost
        self._order += 1
        heapq.heappush(self.queue, Item(self.free_at, self._order, call, work))

    def _press(self, now: float, work: Work) -> None:
        """Work on a cold server counts, also what it turns away: too much in `fall_s` pushes it over."""
        if self.born is None or now - self.born >= self.nature.warm_after_s:
            return
        self.recent.append((now, COSTS[work]))
        while self.recent and self.recent[0][0] <= now - self.nature.fall_s:
            self.recent.pop(0)
        budget = self.nature.fall_multiple * self.capacity(now) * self.nature.fall_s
        if sum(value for _, value in self.recent) > budget:
            self.state = ProcessorState.FALLEN
            self.queue.clear()
