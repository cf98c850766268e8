"""Decisions under a scope on a virtual clock, with callers and servers that answer at random."""

from __future__ import annotations

import heapq
import random
from collections import Counter

from stairhatch.overload.actions import FailCall, RejectCall, SendSetup, SetTimer
from stairhatch.overload.events import (
    AttemptEnded,
    AttemptOutcome,
    Availability,
    CallEstablished,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    LoadReport,
    TimerExpired,
)
from stairhatch.overload.settings import CallClass, Settings
from stairhatch.scope.config import ScopeConfig
from stairhatch.scope.controller import ScopedController

NEVER = 1e6


def kind(name, *pools, **more):
    """A class; no pools: any server."""
    return CallClass(
        name, allowed_servers=tuple(pools) or None, latency_objective_s=1.5, mean_duration_s=4.0, **more
    )


def settings_of(*classes, **more):
    return Settings(classes, retransmit_interval_s=0.8, max_retry_after_s=2.0, max_attempts=4, **more)


def line(server, number=None, standing=Availability.READY, up_since=0.0):
    return EndpointRecord(server, server if number is None else number, standing, up_since)


class World:
    """One softswitch's decisions, its callers and its servers on a virtual clock. Servers answer late, not at
    all, with errors; what happens to a call depends on the call alone, so that two worlds can be compared.
    """

    def __init__(self, decisions, seed=1, slow_s=0.15):
        self.decisions, self.seed, self.slow_s = decisions, seed, slow_s
        self.now, self.calls, self.order = 1000.0, 0, 0
        self.due, self.actions, self.kinds = [], [], {}
        self.answers, self.sent, self.answer_due = Counter(), [], {}
        self.number_of, self.timers, self.paused = {}, Counter(), {}

    def later(self, after_s, event):
        self.order += 1
        heapq.heappush(self.due, (self.now + after_s, self.order, event))

    def listed(self, *lines, complete=True):
        if complete:
            self.number_of.clear()
        self.number_of.update((each.server_id, each.number) for each in lines)
        self.tell(EndpointsUpdated(lines, complete))

    def offer(self, what, choice=-1, grace_s=6.0, **more):
        self.calls += 1
        self.kinds[self.calls], self.answer_due[self.calls] = what, self.now + grace_s
        self.tell(CallOffered(self.calls, what, choice, grace_s, **more))
        return self.calls

    def tell(self, event):
        """One event; what its actions lead to is put on the clock. The call's one answer is counted."""
        if isinstance(event, CallEstablished) and event.call_id in self.kinds:
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
                case SetTimer(delay_s, label):
                    self.timers[label] += 1
                    assert self.timers[label] == 1, "two timers under one label"
                    self.later(delay_s, TimerExpired(label))

    def _attempt(self, call, server, timeout_s):
        """Given up when the decisions say so, and 30 ms before the caller's time is up, as the core does."""
        chance = random.Random(f"{self.seed}/{call}/{server}")
        fate, took_s = chance.random(), chance.expovariate(1 / self.slow_s)
        report = LoadReport(
            free_lines=chance.randrange(100),
            total_lines=100,
            processor_wait_s=chance.expovariate(1 / self.slow_s),
        )
        due_s = min(timeout_s or NEVER, self.answer_due[call] - 0.03 - self.now)
        if (0.6 if fate < 0.1 else took_s) > due_s:
            ended = AttemptEnded(call, server, AttemptOutcome.TIMED_OUT, False, LoadReport(), due_s)
            self.later(due_s, ended)
        elif fate < 0.05:
            self.later(0.05, AttemptEnded(call, server, AttemptOutcome.ERROR, False, LoadReport(), 0.05))
        elif fate < 0.1:
            self.later(0.6, AttemptEnded(call, server, AttemptOutcome.TIMED_OUT, False, LoadReport(), 0.6))
        else:
            self.later(took_s, CallEstablished(call, server, took_s))
            ended = AttemptEnded(call, server, AttemptOutcome.COMPLETED, True, report, 4.0)
            self.later(took_s + chance.expovariate(1 / 4), ended)

    def run(self, until):
        while self.due and self.due[0][0] <= until:
            self.now, _, event = heapq.heappop(self.due)
            if isinstance(event, TimerExpired):
                self.timers[event.timer_id] -= 1
            self.tell(event)
        self.now = until

    def busy(self, seconds, rate, classes, seed=0):
        """Calls of these classes at random for so long."""
        chance, end = random.Random(f"{self.seed}/{seed}/calls"), self.now + seconds
        while (at := self.now + chance.expovariate(rate)) < end:
            self.run(at)
            what = chance.choice(classes)
            self.offer(what, chance.choice(what.allowed_servers or (0, 1, 2)))
        self.run(end)

    def finish(self):
        """Let all calls come to their end; each has had one answer, from a server that it may use."""
        self.run(self.now + 60)
        assert self.calls
        assert set(self.answers) == set(self.kinds), "a call without its answer"
        assert set(self.answers.values()) == {1}, "a call with two"
        return self


def scoped(settings, seed=1, idle_s=NEVER, services=(), changed=None):
    told = [] if changed is None else changed
    return ScopedController(
        settings, random.Random(seed), ScopeConfig(idle_s, tuple(services)), lambda *each: told.append(each)
    )
