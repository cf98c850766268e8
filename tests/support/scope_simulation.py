"""Simulation of the scoped controller on a virtual clock, with callers and randomly answering servers."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from stairhatch.overload.actions import Action, FailCall, RejectCall, SendSetup, SetTimer
from stairhatch.overload.controller import Controller
from stairhatch.overload.events import (
    AttemptEnded,
    AttemptOutcome,
    Availability,
    CallEstablished,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    Event,
    LoadReport,
    TimerExpired,
)
from stairhatch.overload.settings import CallClass, Settings
from stairhatch.scope.config import ScopeConfig, ServiceConfig
from stairhatch.scope.controller import ScopedController

NEVER_S = 1e6
ANSWER_EARLY_S = 0.03  # attempts end this long before the caller's timeout, as in the call manager
ERROR_AFTER_S = 0.05
TIMEOUT_AFTER_S = 0.6


def call_class(name: str, *servers: int, **fields: Any) -> CallClass:
    """Return a call class; without servers it may use any server."""
    return CallClass(
        name, allowed_servers=tuple(servers) or None, latency_objective_s=1.5, mean_duration_s=4.0, **fields
    )


def settings_with(*classes: CallClass, **fields: Any) -> Settings:
    """Return settings with these call classes."""
    return Settings(classes, retransmit_interval_s=0.8, max_retry_after_s=2.0, max_attempts=4, **fields)


def endpoint(
    server: int,
    number: int | None = None,
    availability: Availability = Availability.READY,
    started_at: float = 0.0,
) -> EndpointRecord:
    """Return a record of the endpoint list; the server's number defaults to its id."""
    return EndpointRecord(server, server if number is None else number, availability, started_at)


def scoped_controller(
    settings: Settings,
    seed: int = 1,
    idle_s: float = NEVER_S,
    services: Iterable[ServiceConfig] = (),
    changes: list[Any] | None = None,
) -> ScopedController:
    """Return a scoped controller that appends each change of the scope to `changes`."""
    recorded = [] if changes is None else changes
    return ScopedController(
        settings,
        random.Random(seed),
        ScopeConfig(idle_s, tuple(services)),
        lambda *change: recorded.append(change),
    )


class ScopeSimulation:
    """Simulation of one softswitch's controller, its callers and its servers on a virtual clock.

    Servers answer late, with an error or not at all. The outcome of an attempt depends only on the seed, the
    call and the server, so that two simulations can be compared.
    """

    def __init__(
        self, decisions: Controller | ScopedController, seed: int = 1, mean_delay_s: float = 0.15
    ) -> None:
        self.decisions = decisions
        self.seed = seed
        self.mean_delay_s = mean_delay_s
        self.now = 1000.0
        self.calls = 0
        self.sequence = 0  # sequence number that orders events due at the same time
        self.scheduled: list[tuple[float, int, Event]] = []  # heap of due time, sequence number and event
        self.actions: list[tuple[float, Action]] = []
        self.classes: dict[int, CallClass | None] = {}  # by call id
        self.answers: Counter[int] = Counter()  # number of answers by call id
        self.answer_due: dict[int, float] = {}  # time of the caller's timeout by call id
        self.sent: list[tuple[float, int, int]] = []  # time, call id and server id of each set-up
        self.number_of: dict[int, int] = {}  # server number by server id
        self.timers: Counter[int] = Counter()  # number of running timers by timer id

    def schedule(self, after_s: float, event: Event) -> None:
        """Schedule an event `after_s` seconds from now."""
        self.sequence += 1
        heapq.heappush(self.scheduled, (self.now + after_s, self.sequence, event))

    def update_endpoints(self, *records: EndpointRecord, complete: bool = True) -> None:
        """Pass a complete endpoint list, or only changed records, to the controller."""
        if complete:
            self.number_of.clear()
        self.number_of.update((record.server_id, record.number) for record in records)
        self.handle(EndpointsUpdated(records, complete))

    def offer(
        self, call_class: CallClass | None, choice: int = -1, caller_timeout_s: float = 6.0, **fields: Any
    ) -> int:
        """Offer a new call; return its id."""
        self.calls += 1
        self.classes[self.calls] = call_class
        self.answer_due[self.calls] = self.now + caller_timeout_s
        self.handle(CallOffered(self.calls, call_class, choice, caller_timeout_s, **fields))
        return self.calls

    def handle(self, event: Event) -> None:
        """Pass one event to the controller, schedule the effects of its actions and count the answers.

        Fails if an answered call gets a set-up, if an answer is late, or if two timers run with one id.
        """
        if isinstance(event, CallEstablished) and event.call_id in self.classes:
            self.answers[event.call_id] += 1
        for action in self.decisions.handle(self.now, event):
            self.actions.append((round(self.now, 9), action))
            match action:
                case SendSetup(call, server, timeout_s):
                    assert not self.answers[call], "a set-up was sent for a call that already has an answer"
                    self.sent.append((self.now, call, server))
                    self._attempt(call, server, timeout_s)
                case RejectCall(call) | FailCall(call):
                    self.answers[call] += 1
                    assert self.now <= self.answer_due[call], "a call was answered after its caller's timeout"
                case SetTimer(delay_s, timer_id):
                    self.timers[timer_id] += 1
                    assert self.timers[timer_id] == 1, "two timers run with the same id"
                    self.schedule(delay_s, TimerExpired(timer_id))

    def _attempt(self, call: int, server: int, timeout_s: float) -> None:
        """Schedule the random end of an attempt, at its timeout or just before its caller's at the latest."""
        rng = random.Random(f"{self.seed}/{call}/{server}")
        outcome_draw, response_s = rng.random(), rng.expovariate(1 / self.mean_delay_s)
        report = LoadReport(
            free_lines=rng.randrange(100),
            total_lines=100,
            processor_wait_s=rng.expovariate(1 / self.mean_delay_s),
        )
        due_s = min(timeout_s or NEVER_S, self.answer_due[call] - ANSWER_EARLY_S - self.now)
        if (TIMEOUT_AFTER_S if outcome_draw < 0.1 else response_s) > due_s:
            ended = AttemptEnded(call, server, AttemptOutcome.TIMED_OUT, False, LoadReport(), due_s)
            self.schedule(due_s, ended)
        elif outcome_draw < 0.05:
            ended = AttemptEnded(call, server, AttemptOutcome.ERROR, False, LoadReport(), ERROR_AFTER_S)
            self.schedule(ERROR_AFTER_S, ended)
        elif outcome_draw < 0.1:
            ended = AttemptEnded(call, server, AttemptOutcome.TIMED_OUT, False, LoadReport(), TIMEOUT_AFTER_S)
            self.schedule(TIMEOUT_AFTER_S, ended)
        else:
            self.schedule(response_s, CallEstablished(call, server, response_s))
            ended = AttemptEnded(call, server, AttemptOutcome.COMPLETED, True, report, 4.0)
            self.schedule(response_s + rng.expovariate(1 / 4), ended)

    def run(self, until: float) -> None:
        """Process all events that are due until a time, then set the clock to it."""
        while self.scheduled and self.scheduled[0][0] <= until:
            self.now, _, event = heapq.heappop(self.scheduled)
            if isinstance(event, TimerExpired):
                self.timers[event.timer_id] -= 1
            self.handle(event)
        self.now = until

    def offer_at_random(
        self, seconds: float, rate: float, classes: Sequence[CallClass], seed: object = 0
    ) -> None:
        """Offer calls of random classes at random times for `seconds`; `rate` is in calls per second."""
        rng, end = random.Random(f"{self.seed}/{seed}/calls"), self.now + seconds
        while (at := self.now + rng.expovariate(rate)) < end:
            self.run(at)
            chosen_class = rng.choice(classes)
            self.offer(chosen_class, rng.choice(chosen_class.allowed_servers or (0, 1, 2)))
        self.run(end)

    def finish(self) -> ScopeSimulation:
        """Run until all calls have ended; fail unless each call has exactly one answer."""
        self.run(self.now + 60)
        assert self.calls
        assert set(self.answers) == set(self.classes), "a call has no answer"
        assert set(self.answers.values()) == {1}, "a call has several answers"
        return self
