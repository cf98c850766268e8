"""Decisions under a scope on a virtual clock, with callers and servers that answer at random."""

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
ANSWER_EARLY_S = 0.03  # attempts end this long before the caller's time is up, as the call manager does it
ERROR_AFTER_S = 0.05
TIMEOUT_AFTER_S = 0.6


def call_class(name: str, *servers: int, **fields: Any) -> CallClass:
    """A class of calls; without servers any may take them."""
    return CallClass(
        name, allowed_servers=tuple(servers) or None, latency_objective_s=1.5, mean_duration_s=4.0, **fields
    )


def settings_with(*classes: CallClass, **fields: Any) -> Settings:
    """Settings with these classes."""
    return Settings(classes, retransmit_interval_s=0.8, max_retry_after_s=2.0, max_attempts=4, **fields)


def endpoint(
    server: int,
    number: int | None = None,
    availability: Availability = Availability.READY,
    up_since: float = 0.0,
) -> EndpointRecord:
    """A server of the list; its number is its id unless one is given."""
    return EndpointRecord(server, server if number is None else number, availability, up_since)


def scoped_controller(
    settings: Settings,
    seed: int = 1,
    idle_s: float = NEVER_S,
    services: Iterable[ServiceConfig] = (),
    changes: list[Any] | None = None,
) -> ScopedController:
    """Decisions under a scope; its changes are appended to `changes`."""
    noted = [] if changes is None else changes
    return ScopedController(
        settings,
        random.Random(seed),
        ScopeConfig(idle_s, tuple(services)),
        lambda *change: noted.append(change),
    )


class ScopeSimulation:
    """One softswitch's decisions, its callers and its servers on a virtual clock.

    Servers answer late, not at all, or with errors. What happens to a call depends on the call alone, so that
    two simulations can be compared.
    """

    def __init__(self, decisions: Controller | ScopedController, seed: int = 1, slow_s: float = 0.15) -> None:
        self.decisions = decisions
        self.seed = seed
        self.slow_s = slow_s
        self.now = 1000.0
        self.calls = 0
        self.order = 0  # of events that are due at the same time
        self.due: list[tuple[float, int, Event]] = []  # a heap
        self.actions: list[tuple[float, Action]] = []
        self.classes: dict[int, CallClass | None] = {}  # by call
        self.answers: Counter[int] = Counter()  # by call
        self.answer_due: dict[int, float] = {}  # by call
        self.sent: list[tuple[float, int, int]] = []  # time, call, server
        self.number_of: dict[int, int] = {}  # by server
        self.timers: Counter[int] = Counter()  # by timer id

    def schedule(self, after_s: float, event: Event) -> None:
        """Have an event happen after a time."""
        self.order += 1
        heapq.heappush(self.due, (self.now + after_s, self.order, event))

    def update_endpoints(self, *records: EndpointRecord, complete: bool = True) -> None:
        """A complete endpoint list, or what changed in it."""
        if complete:
            self.number_of.clear()
        self.number_of.update((record.server_id, record.number) for record in records)
        self.handle(EndpointsUpdated(records, complete))

    def offer(
        self, call_class: CallClass | None, choice: int = -1, caller_timeout_s: float = 6.0, **fields: Any
    ) -> int:
        """A new call; returns its id."""
        self.calls += 1
        self.classes[self.calls] = call_class
        self.answer_due[self.calls] = self.now + caller_timeout_s
        self.handle(CallOffered(self.calls, call_class, choice, caller_timeout_s, **fields))
        return self.calls

    def handle(self, event: Event) -> None:
        """One event. What its actions lead to is scheduled, and the one answer of each call counted."""
        if isinstance(event, CallEstablished) and event.call_id in self.classes:
            self.answers[event.call_id] += 1
        for action in self.decisions.handle(self.now, event):
            self.actions.append((round(self.now, 9), action))
            match action:
                case SendSetup(call, server, timeout_s):
                    assert not self.answers[call], "a set-up for a call that has its answer"
                    self.sent.append((self.now, call, server))
                    self._attempt(call, server, timeout_s)
                case RejectCall(call) | FailCall(call):
                    self.answers[call] += 1
                    assert self.now <= self.answer_due[call], "an answer that came late"
                case SetTimer(delay_s, timer_id):
                    self.timers[timer_id] += 1
                    assert self.timers[timer_id] == 1, "two timers under one id"
                    self.schedule(delay_s, TimerExpired(timer_id))

    def _attempt(self, call: int, server: int, timeout_s: float) -> None:
        """An attempt ends as it is drawn, at its timeout, or shortly before its caller's time is up."""
        chance = random.Random(f"{self.seed}/{call}/{server}")
        fate, took_s = chance.random(), chance.expovariate(1 / self.slow_s)
        report = LoadReport(
            free_lines=chance.randrange(100),
            total_lines=100,
            processor_wait_s=chance.expovariate(1 / self.slow_s),
        )
        due_s = min(timeout_s or NEVER_S, self.answer_due[call] - ANSWER_EARLY_S - self.now)
        if (TIMEOUT_AFTER_S if fate < 0.1 else took_s) > due_s:
            ended = AttemptEnded(call, server, AttemptOutcome.TIMED_OUT, False, LoadReport(), due_s)
            self.schedule(due_s, ended)
        elif fate < 0.05:
            ended = AttemptEnded(call, server, AttemptOutcome.ERROR, False, LoadReport(), ERROR_AFTER_S)
            self.schedule(ERROR_AFTER_S, ended)
        elif fate < 0.1:
            ended = AttemptEnded(call, server, AttemptOutcome.TIMED_OUT, False, LoadReport(), TIMEOUT_AFTER_S)
            self.schedule(TIMEOUT_AFTER_S, ended)
        else:
            self.schedule(took_s, CallEstablished(call, server, took_s))
            ended = AttemptEnded(call, server, AttemptOutcome.COMPLETED, True, report, 4.0)
            self.schedule(took_s + chance.expovariate(1 / 4), ended)

    def run(self, until: float) -> None:
        """Let all happen that is due by a time."""
        while self.due and self.due[0][0] <= until:
            self.now, _, event = heapq.heappop(self.due)
            if isinstance(event, TimerExpired):
                self.timers[event.timer_id] -= 1
            self.handle(event)
        self.now = until

    def offer_at_random(
        self, seconds: float, rate: float, classes: Sequence[CallClass], seed: object = 0
    ) -> None:
        """Calls of these classes, at random times, for so long; `rate` is in calls a second."""
        chance, end = random.Random(f"{self.seed}/{seed}/calls"), self.now + seconds
        while (at := self.now + chance.expovariate(rate)) < end:
            self.run(at)
            drawn = chance.choice(classes)
            self.offer(drawn, chance.choice(drawn.allowed_servers or (0, 1, 2)))
        self.run(end)

    def finish(self) -> ScopeSimulation:
        """Let all calls come to their end; each has had one answer."""
        self.run(self.now + 60)
        assert self.calls
        assert set(self.answers) == set(self.classes), "a call without its answer"
        assert set(self.answers.values()) == {1}, "a call with two"
        return self
