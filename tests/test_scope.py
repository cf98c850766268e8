"""Decisions kept apart by sets of servers: the same as one Controller where there is one set, each call
answered once whatever the list and the settings do, nothing opened outside, no cold server pushed over.
"""

from __future__ import annotations

import heapq
import random
import socket
from collections import Counter
from dataclasses import replace

import pytest

from stairhatch.config.appliance.reader import parse_appliance
from stairhatch.config.model import ConfigError
from stairhatch.emulators.ports import free_port
from stairhatch.node import sip_message as sip
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import CallRequest, ServerRecord
from stairhatch.node.counters import Counters
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.overload.actions import FailCall, RejectCall, SendSetup, SetTimer
from stairhatch.overload.controller import Controller
from stairhatch.overload.events import (
    AttemptEnded,
    AttemptOutcome,
    Availability,
    CallAbandoned,
    CallEstablished,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    LoadReport,
    LoadReported,
    PeerMessageReceived,
    TimerExpired,
)
from stairhatch.overload.settings import CallClass, SafetyLimits, Settings
from stairhatch.scope.config import ScopeConfig, ServiceConfig
from stairhatch.scope.controller import IDLE_TIMER_ID, ScopedController
from stairhatch.scope.scoped_set import ANSWER_OVERDUE_S
from stairhatch.scope.server_sets import server_sets

from .support.paths import ROOT
from .support.program import Program
from .support.scripted_server import ScriptedServer
from .support.sip_caller import SipCaller
from .support.sip_messages import sip_headers
from .support.waiting import wait_until

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


def test_classes_fall_into_sets_by_the_servers_they_share():
    """Guards against a set that is too small, whose decisions would not see a server's other calls."""
    a, b, c, d = kind("a", 1, 2), kind("b", 3), kind("c", 2, 4), kind("d", 4, 3)
    assert [each.numbers for each in server_sets(settings_of(a, b, c), ())] == [{1, 2, 4}, {3}]
    assert [each.numbers for each in server_sets(settings_of(a, b, c, d), ())] == [{1, 2, 3, 4}]
    assert [each.numbers for each in server_sets(settings_of(a, b, kind("any")), ())] == [None]
    nowhere = CallClass("none", allowed_servers=())
    assert [each.numbers for each in server_sets(settings_of(a, nowhere), ())] == [{1, 2}, set()]
    sets = server_sets(
        settings_of(a, b, instance_count=50, instance_index=7),
        (ServiceConfig(("a",), 5, 2), ServiceConfig(("b",), always_in_scope=True)),
    )
    told = [(each.instance_count, each.instance_index, each.always_in_scope) for each in sets]
    assert told == [(5, 2, False), (50, 7, True)]
    mixed = server_sets(
        settings_of(a, c, instance_count=50, instance_index=7), (ServiceConfig(("a",), 5, 2),)
    )
    assert [(each.instance_count, each.instance_index) for each in mixed] == [(50, 7)], "a figure was guessed"


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "classes",
    [(kind("a", 0, 1, 2), kind("b", 2, 3, priority_weight=3.0)), (kind("a", 0, 1), kind("any"))],
    ids=["shared servers", "any server"],
)
def test_with_one_set_the_same_seeds_give_the_same_actions(seed, classes):
    """Guards against a second policy that grows beside the one that is known: action for action, through a
    server that starts, a drain, one that goes, other settings, an unknown class and a call passing through.
    """
    before = settings_of(*classes, instance_count=20, instance_index=3)
    after = replace(
        before, classes=tuple(replace(each, deadline_s=5.0, latency_objective_s=1.0) for each in classes)
    )
    services = [ServiceConfig(tuple(each.name for each in classes), always_in_scope=True)]
    worlds = []
    for decisions in (Controller(before, random.Random(seed)), scoped(before, seed, services=services)):
        world = World(decisions, seed)
        world.listed(*(line(n) for n in range(3)), line(3, up_since=998.0))
        world.busy(8, 25, classes)
        world.listed(line(0, standing=Availability.DRAINING), line(2, up_since=1007.5), complete=False)
        world.offer(None)
        world.answers[world.calls] = 1  # failed at once
        world.offer(classes[0], 1, in_transit=True)
        world.busy(4, 25, classes, 1)
        decisions.update_settings(after)
        world.busy(4, 25, [*classes, *after.classes], 2)
        world.listed(*(line(n) for n in range(1, 4)))
        world.tell(CallAbandoned(world.offer(classes[0])))
        world.answers[world.calls] += 1
        world.busy(4, 25, after.classes, 3)
        world.tell(LoadReported(99, LoadReport(processor_wait_s=1.0)))
        world.run(world.now + 60)
        worlds.append(world)
    assert worlds[0].actions == worlds[1].actions
    kinds = Counter(type(action).__name__ for _, action in worlds[0].actions)
    assert kinds["SendSetup"] > 100, kinds
    assert kinds["RejectCall"], kinds
    assert kinds["LogMessage"], kinds
    assert kinds["SetTimer"], kinds


def test_a_set_comes_with_its_first_call_and_hears_of_its_own_servers_alone():
    """Guards against a call that costs what the whole list costs, and a list that opens a link to each."""
    a, b, told = kind("a", *range(10)), kind("b", *range(10, 20)), []
    decisions = scoped(settings_of(a, b), changed=told)
    world = World(decisions)
    world.listed(*(line(n + 1, n) for n in range(1900)))
    assert not decisions.endpoints
    assert not told
    assert not any(map(decisions.in_scope, range(1900)))
    world.busy(3, 20, [a])
    assert told == [(frozenset(range(10)), ("a",), True)]
    assert sorted(decisions.endpoints) == list(range(1, 11))
    assert len(decisions.endpoints) == 10
    assert [n for n in range(1900) if decisions.in_scope(n)] == list(range(10))
    world.busy(3, 20, [a, b])
    assert len(told) == 2
    assert len(decisions.endpoints) == 20
    world.finish()
    assert {server for _, _, server in world.sent} <= set(range(1, 21))


def test_each_set_has_a_timer_of_its_own():
    """Guards against calls of one set that wait while another's timer rings: no server here, so all are held
    until their time is up, and answered then.
    """
    kinds = [kind(str(n), n) for n in range(5)]
    world = World(scoped(settings_of(*kinds)))
    for each in kinds:
        world.offer(each)
        world.run(world.now + 0.007)
    assert [world.timers[label] for label in range(1, 6)] == [1] * 5
    world.finish()
    assert all(isinstance(a, RejectCall) for _, a in world.actions if not isinstance(a, SetTimer))


def test_a_set_leaves_when_unused_and_comes_back_as_after_a_restart():
    """Guards against links that are kept for ever, a set that goes with a call unanswered, and one that comes
    back and takes a server that has just started for warm.
    """
    a, b, told = kind("a", 1), kind("b", 2), []
    decisions = scoped(
        settings_of(a, b), idle_s=8.0, services=[ServiceConfig(("b",), always_in_scope=True)], changed=told
    )
    world = World(decisions)
    world.listed(line(1), line(2))
    assert decisions.in_scope(2)
    assert not told
    call = world.offer(a, grace_s=30.0)
    world.due = [each for each in world.due if not isinstance(each[2], CallEstablished | AttemptEnded)]
    world.run(world.now + 30.0 + ANSWER_OVERDUE_S)
    assert decisions.in_scope(1), "it left with a call that had no answer"
    world.tell(CallAbandoned(call))
    world.answers[call] = 1
    world.run(world.now + 10.5)
    assert not decisions.in_scope(1)
    assert decisions.in_scope(2)
    assert not decisions.owners
    assert [came for _, _, came in told] == [True, False]
    world.listed(line(1, up_since=world.now - 1), complete=False)
    world.offer(a, 1)
    seen, new = decisions.endpoints[1], scoped(settings_of(a, b))
    anew = World(new)
    anew.now = world.now
    anew.listed(line(1, up_since=world.now - 1))
    anew.offer(a, 1)
    pace = decisions.slow_start_slots(world.now, seen)
    assert decisions.is_warming_up(world.now, seen)
    assert 0 < pace == new.slow_start_slots(world.now, new.endpoints[1])
    own_timers = {each.timer_id for each in decisions.sets.by_numbers.values()}
    assert decisions.timers.by_id.keys() <= own_timers | {IDLE_TIMER_ID}
    world.finish()


def test_the_end_of_a_call_that_outlived_its_set_is_heard_by_nobody_and_harms_nothing():
    """Guards against a fault where a long call ends after its set has left."""
    a, b = kind("a", 1), kind("b", 2)
    decisions = scoped(settings_of(a, b), idle_s=4.0)
    world = World(decisions)
    world.listed(line(1), line(2))
    call = world.offer(a)
    world.due = [each for each in world.due if not isinstance(each[2], AttemptEnded)]
    world.run(world.now + 10)
    assert world.answers[call] == 1
    assert not decisions.sets.by_numbers
    world.tell(LoadReported(1, LoadReport(processor_wait_s=0.1)))
    world.tell(AttemptEnded(call, 1, AttemptOutcome.COMPLETED, True, LoadReport(), 10.0))
    assert not decisions.owners
    assert not decisions.endpoints
    with pytest.raises(KeyError):
        decisions.endpoints[1]


A, B, C = kind("a", 0, 1, 2), kind("b", 3, 4), kind("c", 5, 6, priority_weight=2.0)
RETUNES = {
    "two merge": (kind("a", 0, 1, 2, 3), B, C),
    "one falls apart": (kind("a", 0), kind("d", 1, 2), B, C),
    "a class moves": (A, kind("b", 5), C),
    "a class goes": (A, C),
    "a class goes and its servers to another": (kind("a", 0, 1, 2, 4), C),
    "all become one": (A, B, C, kind("any")),
    "nowhere": (A, CallClass("b", allowed_servers=()), C),
    "all change places": (kind("a", 5, 3), kind("b", 0), kind("c", 1, 2, 4, 6)),
    "the same": (A, B, C),
}


@pytest.mark.parametrize("there_and_back", [False, True], ids=["there", "there and back"])
@pytest.mark.parametrize("name", RETUNES)
def test_other_settings_move_classes_with_all_that_is_under_way(name, there_and_back):
    """Guards against calls that are answered twice or never where sets merge and fall apart over them,
    against set-ups that stay unanswered for good, and against learning anew what was known. Servers are slow,
    so that calls wait, and set-ups are out, at the very moment; both are counted.
    """
    before = settings_of(A, B, C, instance_count=3, instance_index=1)
    after = replace(before, classes=RETUNES[name])
    decisions = scoped(before, idle_s=8.0)
    world = World(decisions, slow_s=0.5)
    world.listed(*(line(n + 10, n) for n in range(7)))
    world.busy(6, 60, [A, B, C])
    for number, settings in enumerate([after, before] if there_and_back else [after]):
        waiting = {call for each in decisions.sets.by_numbers.values() for call in each.controller.pending}
        open_ones = {call for each in decisions.sets.by_numbers.values() for call in each.controller.calls}
        known = {server: (seen, seen.concurrency_limit) for server, seen in decisions.endpoints.items()}
        if number == 0:
            assert len(waiting) > 5
            assert sum(len(seen.pending_setups) for seen, _ in known.values()) > 3
        decisions.update_settings(settings)
        in_scope = decisions.sets.by_numbers.values()
        assert {call for each in in_scope for call in each.controller.calls} == open_ones
        assert {call for each in in_scope for call in each.controller.pending} == waiting
        assert set(decisions.owners) == open_ones
        assert all(decisions.owners[call] in in_scope for call in open_ones)
        kept = [server for server in known if decisions.in_scope(world.number_of[server])]
        assert kept, "nothing that was known is in scope"
        for server in kept:
            seen = decisions.endpoints[server]
            assert (seen, seen.concurrency_limit) == known[server], "learnt anew"
        # The old classes live on for callers who have not heard of the new ones.
        world.busy(1.5, 30, [*before.classes, *after.classes], f"both{number}")
        world.busy(2, 30, settings.classes, f"new{number}")
    world.finish()
    for at, call, server in world.sent:
        pools = world.kinds[call].allowed_servers
        assert pools is None or world.number_of[server] in pools, (at, call, server)
    world.run(world.now + 20)
    world.tell(CallAbandoned(0))
    assert not decisions.sets.by_numbers, "sets that nobody uses stay"
    assert not decisions.owners, "sets that nobody uses stay"


def test_a_set_made_of_two_keeps_one_timer_and_of_one_made_of_two_each_is_woken():
    """Guards against timers that multiply with each reload, and calls that wait with none."""
    one, two = settings_of(kind("a", 1, 2)), settings_of(kind("a", 1), kind("b", 2))
    decisions = scoped(two)
    world = World(decisions)
    for turn in range(6):
        for each in decisions.settings.classes:
            world.offer(each, grace_s=60.0)
        decisions.update_settings(one if turn % 2 == 0 else two)
        world.run(world.now + 0.5)
        out = sum(world.timers[label] for label in world.timers if label != IDLE_TIMER_ID)
        assert out == len([each for each in decisions.sets.by_numbers.values() if each.controller.pending])
    world.finish()


def test_a_server_that_moves_between_sets_takes_along_what_is_known_of_it():
    """Guards against a set-up that is out when its server changes its number: its call has its answer in the
    one set, the server is learnt of in the other, and neither holds it as unanswered.
    """
    a, b = kind("a", 1, 2), kind("b", 3)
    decisions = scoped(settings_of(a, b))
    world = World(decisions)
    world.listed(line(1), line(2), line(3))
    world.offer(b, 3)
    call = world.offer(a, 1)
    assert world.sent[-1][1:] == (call, 1)
    seen = decisions.endpoints[1]
    world.listed(line(1, 3), complete=False)
    assert decisions.endpoints[1] is seen
    assert seen.number == 3
    assert call in seen.pending_setups
    world.run(world.now + 3)
    assert not seen.pending_setups
    assert world.answers[call] == 1
    assert seen.measured_at > -1e9
    before = len(world.sent)
    world.busy(4, 10, [a])
    assert {server for _, _, server in world.sent[before:]} == {2}, "a's set has lost it"
    before = len(world.sent)
    world.busy(4, 10, [b])
    assert {server for _, call, server in world.sent[before:] if world.kinds[call] is b} == {1, 3}
    world.listed(line(1, 77), complete=False)  # where no class looks
    assert 1 not in decisions.endpoints
    world.finish()


@pytest.mark.parametrize("complete", [True, False], ids=["a whole list", "changes"])
def test_all_servers_of_a_set_are_replaced(complete):
    """Guards against set-ups to servers that are gone, and records of servers that nobody will list again."""
    a, b = kind("a", 0, 1), kind("b", 2)
    decisions = scoped(settings_of(a, b))
    world = World(decisions)
    world.listed(line(1, 0), line(2, 1), line(3, 2))
    world.busy(4, 20, [a, b])
    fresh = [line(11, 0, up_since=world.now), line(12, 1, up_since=world.now)]
    gone = [line(1, 0, Availability.GONE), line(2, 1, Availability.GONE)]
    world.listed(*fresh, *([line(3, 2)] if complete else gone), complete=complete)
    before = len(world.sent)
    world.busy(30, 20, [a, b])
    assert {server for _, _, server in world.sent[before:]} == {3, 11, 12}
    world.run(world.now + 31)
    world.listed(line(3, 2), complete=False)
    world.listed(line(11, 0), line(12, 1), line(3, 2), complete=True)
    assert sorted(decisions.sets.listed.by_id) == [3, 11, 12]
    assert not decisions.sets.listed.gone
    assert sorted(decisions.endpoints) == [3, 11, 12]
    world.finish()


def test_a_drain_is_heard_by_the_set_that_has_the_server_and_by_one_that_comes_later():
    """Guards against a set that came into scope after the drain was told, and sends there (rule 3)."""
    a, b = kind("a", 1, 2), kind("b", 3, 4)
    world = World(scoped(settings_of(a, b)))
    world.listed(*(line(n) for n in range(1, 5)))
    world.busy(2, 20, [a])
    world.listed(
        line(1, standing=Availability.DRAINING), line(3, standing=Availability.DRAINING), complete=False
    )
    before = len(world.sent)
    world.busy(5, 20, [a, b])
    assert {server for _, _, server in world.sent[before:]} == {2, 4}
    world.finish()


def test_an_unknown_class_a_strange_way_and_a_server_nobody_knows():
    """Guards against an odd event that takes others with it, or a call without its answer."""
    a, b = kind("a", 1), kind("b", 2)
    decisions = scoped(settings_of(a, b))
    world = World(decisions)
    world.listed(line(1), line(2), line(9))
    call = world.offer(None)
    assert world.answers[call] == 1
    assert not decisions.sets.by_numbers
    through = world.offer(a, 9, in_transit=True)
    assert world.sent[-1][1:] == (through, 9), "on its way through to a server that its class may not use"
    elsewhere = world.offer(a, 77, in_transit=True)
    world.offer(kind("a", 5, 6))  # a class as it was
    for event in (
        CallEstablished(99, 98, 1.0),
        AttemptEnded(99, 98, AttemptOutcome.COMPLETED, True, LoadReport()), CallAbandoned(99),
        LoadReported(98, LoadReport(processor_wait_s=1.0)),
        TimerExpired(4711), PeerMessageReceived(1, b"x"),
    ):  # fmt: skip
        world.tell(event)
    world.finish()
    assert isinstance(next(a for _, a in world.actions if getattr(a, "call_id", 0) == elsewhere), RejectCall)


def most_in_a_window(times, width):
    return max((sum(t <= other < t + width for other in times) for t in times), default=0)


@pytest.mark.parametrize("told", [False, True], ids=["the fleet's divisor", "the service's own"])
@pytest.mark.parametrize("cold", ["all", "one"])
def test_softswitches_that_bring_a_set_into_scope_at_once_push_no_cold_server_over(told, cold):
    """Guards against windows of a set that comes anew in many places: 30 softswitches ask for the service in
    the same instant, each knowing nothing, while one or all of its servers have just started. What they send
    to a cold one in any `fall_s` stays within the budget. With a divisor of 1 the same calls break it, so
    that the run shows something.
    """
    sharing, size, warm = 30, 100.0, 25.0  # warm: set-ups a second of one server, its lines over their length
    a, b = kind("a", 1, 2, 3), kind("b", 9)
    safety = SafetyLimits(
        initial_capacity_fraction=0.25, warm_up_s=12.0, overload_multiple=2.0, overload_window_s=1.0
    )
    budget = safety.overload_multiple * safety.initial_capacity_fraction * warm * safety.overload_window_s
    found = {}
    for divisor in (sharing, 1):
        per = divisor if told else None
        fleet = 400 if told and divisor > 1 else divisor
        took = {server: [] for server in (1, 2, 3)}
        nodes = []
        for number in range(sharing):
            own = min(number, fleet - 1)
            settings = settings_of(a, b, instance_count=fleet, instance_index=own, safety=safety)
            services = [ServiceConfig(("a",), per, min(number, per - 1))] if per else []
            nodes.append(World(scoped(settings, number, services=services), number, slow_s=0.03))
            born = 0.0 if cold == "one" else 999.0
            nodes[-1].listed(line(1, up_since=999.0), line(2, up_since=born), line(3, up_since=born), line(9))
        # All in one step of time, then each server's state once it is linked, then steady calls for 5 s.
        for step in range(250):
            now = 1000.0 + step * 0.02
            for number, node in enumerate(nodes):
                node.run(now)
                if step % 5 == number % 5 or step == 0:
                    node.offer(a, 1, grace_s=4.0)
                if step % 10 == 1:
                    for server in (1, 2, 3):
                        node.tell(
                            LoadReported(
                                server,
                                LoadReport(free_lines=size * 0.6, total_lines=size, processor_wait_s=0.0),
                            )
                        )
        for node in nodes:
            for at, _, server in node.sent:
                took[server].append(at)
        chilled = (1,) if cold == "one" else (1, 2, 3)
        found[divisor] = max(most_in_a_window(took[server], safety.overload_window_s) for server in chilled)
        assert sum(map(len, took.values())) > 8, "nothing was sent at all"
    assert 0 < found[sharing] <= budget < found[1], (found, budget)


TEXT = (ROOT / "deploy" / "sip.toml").read_text()


@pytest.mark.parametrize(
    ("more", "complaint"),
    [
        ("idle = 5", r"scope\.idle: unknown key; did you mean idle_s"),
        ("idle_s = 0.5", r"scope\.idle_s: expected float >= 1"),
        ('services = [{ classes = ["read-rooster"] }]', r"scope\.services\[0\]\.classes\[0\]: .* did you mean read-roster"),  # noqa: E501
        ("services = [{ classes = [] }]", r"scope\.services\[0\]\.classes: expected array of length >= 1"),
        ('services = [{ classes = ["read-roster"] }, { classes = ["read-roster"] }]', r"scope\.services\[1\]\.classes\[0\]: 'read-roster' stands twice"),  # noqa: E501
        ('services = [{ classes = ["read-roster"], softswitches = 2 }]', r"scope\.services\[0\]\.softswitches: above settings\.balancers, which is 1"),  # noqa: E501
        ('services = [{ classes = ["read-roster"], softswitches = 0 }]', r"scope\.services\[0\]\.softswitches: expected int >= 1"),  # noqa: E501
        ('services = [{ classes = ["read-roster"], me = 0 }]', r"scope\.services\[0\]\.me: must be below softswitches"),  # noqa: E501
        ('services = [{ classes = ["read-roster"], softswitches = 1 }]', r"scope\.services: read-roster and save-roster share servers: tell the same"),  # noqa: E501
        ('services = [{ classes = ["x"], share = 1 }]', r"scope\.services\[0\]\.share: unknown key"),
    ],
)  # fmt: skip
def test_a_scope_that_cannot_be_used_is_named(more, complaint):
    """Guards against a divisor that takes a default without a word: cold servers are pushed over by that."""
    with pytest.raises(ConfigError, match=complaint):
        parse_appliance(f"{TEXT}\n[scope]\n{more}\n", "x.toml", {})


def test_a_scope_as_it_is_read():
    """Guards against keys that are checked and lost, and a table that counts where it does not stand."""
    assert parse_appliance(TEXT, "x.toml", {}).scope is None
    assert parse_appliance(f"{TEXT}\n[scope]\n", "x.toml", {}).scope == ScopeConfig()
    both = '{ classes = ["read-roster", "save-roster"], softswitches = 1, keep = true }'
    told = parse_appliance(f"{TEXT}\n[scope]\nidle_s = 5\nservices = [{both}]\n", "x.toml", {}).scope
    assert told == ScopeConfig(5.0, (ServiceConfig(("read-roster", "save-roster"), 1, -1, True),))


class Heard:
    """A caller that keeps what it is told."""

    def __init__(self):
        self.told = []

    def __getattr__(self, name):
        return lambda *_arguments: self.told.append(name)


class Linked:
    """Core, scoped decisions and the roster side, with a clock set by hand and links that only record."""

    def __init__(self, *classes):
        self.now, self.dialled, self.calls = 1000.0, [], 0
        settings = settings_of(*classes)
        self.scoped = scoped(settings, idle_s=4.0)
        self.scoped.on_scope_changed = self.changed
        self.core = CallManager(
            settings, random.Random(1), lambda: self.now, lambda *_args, **_fields: None, Counters(),
            decisions=self.scoped,
        )  # fmt: skip
        self.core.servers.in_scope = self.scoped.in_scope
        self.side = ServerConnectionPool(self.core, self.dialled.append)
        self.core.readiness.list_known = self.core.readiness.listening = True

    def changed(self, _numbers, _classes, _came):
        for server in list(self.core.servers.by_id.values()):
            self.side.record_changed(server)

    def listing(self, name, number, standing=Availability.READY):
        self.core.update_servers([ServerRecord(name, ("127.0.0.1", 9), number, standing)], complete=False)

    def offer(self, what):
        self.calls += 1
        caller = Heard()
        call = self.core.offer_call(CallRequest(f"{self.calls:016x}", what, "7", "d", 5.0), caller)
        return call, caller

    def run(self, seconds):
        end = self.now + seconds
        while (due := self.core.timers.next_due()) is not None and due <= end:
            self.now = max(self.now, due)
            self.core.timers.run_due()
        self.now = end


def test_a_link_stays_until_the_call_that_stands_there_is_over():
    """Guards against a release that finds no link, and the end of a call that comes on one that is gone: its
    set leaves while it stands, and its server moves to a service that nobody here asks for.
    """
    a, b = kind("a", 1, 2), kind("b", 3)
    inside = Linked(a, b)
    for name, number in (("x", 1), ("y", 2), ("z", 3)):
        inside.listing(name, number)
    assert not inside.dialled
    assert inside.core.readiness.startup_health().is_ready, "it waits for what is out of scope"
    call, caller = inside.offer(a)
    assert [link.server.record.instance for link in inside.dialled] == ["x", "y"]
    for link in inside.dialled:
        link.connection_made()
    link = inside.side.active[call.attempt.server.id]
    assert b'"START"' in link.data_to_send()
    link.receive_data(b'{"verb":"STARTED","tag":"%s","blob":"d"}\n' % call.request.ident.encode())
    assert caller.told == ["established"]
    other = next(each for each in inside.dialled if each is not link)
    inside.run(30)
    assert not inside.scoped.sets.by_numbers
    assert inside.core.counters.counts["calls_offered"] == 1
    assert other.can_close()
    assert not link.draining
    assert not link.can_close()
    inside.listing(link.server.record.instance, 3)  # to another service, which is out of scope as well
    inside.run(30)
    assert not link.draining
    assert not link.can_close()
    inside.core.release(call, 16)
    assert not link.can_close(), "the release has not been written"
    assert b'"FINISH"' in link.data_to_send()
    inside.run(5)
    assert link.draining
    assert link.can_close()
    for each in (link, other):
        each.pool.remove(each)
    assert not inside.side.active
    assert not inside.side.draining
    assert len(inside.dialled) == 2
    inside.offer(b)
    at_three = [each.server.record.instance for each in inside.dialled[2:]]
    assert sorted(at_three) == sorted([link.server.record.instance, "z"])


def test_a_set_that_comes_back_while_its_links_end_has_links():
    """Guards against a call that waits for a link that was given up a moment before."""
    a, b = kind("a", 1), kind("b", 2)
    inside = Linked(a, b)
    inside.listing("x", 1)
    inside.listing("z", 2)
    call, _ = inside.offer(a)
    link = inside.dialled[0]
    link.connection_made()

    def leaves(call):
        assert b'"START"' in link.data_to_send()
        inside.core.abandon(call)
        assert b'"FINISH"' in link.data_to_send()
        link.receive_data(b'{"verb":"LOAD","opts":{"load":"free:5;size:9"}}\n')

    leaves(call)
    inside.run(20)
    assert link.draining
    assert not inside.scoped.sets.by_numbers
    call, _ = inside.offer(a)
    assert not link.draining
    leaves(call)
    inside.run(20)
    assert link.draining
    link.pool.remove(link)  # its connection has ended
    assert len(inside.dialled) == 1
    call, _ = inside.offer(a)
    assert len(inside.dialled) == 2
    assert call.attempt.server.record.instance == "x"


def test_a_server_that_goes_without_ever_having_been_in_scope_is_forgotten():
    """Guards against a record for each server that ever was, in lists of thousands that change daily."""
    inside = Linked(kind("a", 1), kind("b", 2))
    inside.listing("x", 1)
    inside.listing("z", 2)
    inside.offer(kind("a", 1))
    inside.listing("z", 2, Availability.GONE)
    inside.run(0.1)
    assert [s.record.instance for s in inside.core.servers.by_id.values()] == ["x"]
    assert list(inside.scoped.sets.listed.by_id) == [1]
    inside.listing("z", 2)
    inside.core.update_servers([ServerRecord("x", ("127.0.0.1", 9), 1, Availability.READY)], complete=True)
    inside.run(0.1)
    assert [s.record.instance for s in inside.core.servers.by_id.values()] == ["x"]


PER, SERVICES = 3, 4


def serve(folder, places):
    """The appliance with services of three servers each, under a scope."""
    port, door = free_port(), free_port()
    lines = [
        f'console = "127.0.0.1:{door}"', "trace = true", "[sip]", f'udp = "127.0.0.1:{port}"',
        f'contact = "127.0.0.1:{port}"', "restart_wait_s = 0.2", 'default_class = "s0"',
        "[scope]", "idle_s = 1",
        "[settings.family_info]", "clear_wait_s = 0.5", "retransmit_s = 0.8",
        f"allowed_pools = {[list(range(n * PER, n * PER + PER)) for n in range(SERVICES)]}",
    ]  # fmt: skip
    for n in range(SERVICES):
        lines += ["[[settings.classes]]", f'name = "s{n}"', "aim_s = 1.0", "hard_limit_s = 3.0"]
    for n, each in enumerate(places):
        lines += ["[[servers]]", f'name = "r{n}"', f'address = "{each}"', f"number = {n}"]
    path = folder / "scope.toml"
    path.write_text("\n".join(lines) + "\n")
    program = Program(folder, "serve", str(path)).wait_until_ready(port, door)
    if program is None:
        return serve(folder, places)
    program.path = path
    return program


def test_a_first_call_brings_its_servers_into_scope_and_no_others(tmp_path, started_programs):
    """Guards against links to the whole list, a first call that finds nothing, and a release that is lost
    with its scope. Of four services one is asked for, and later one none of whose servers is there.
    """
    host = f"127.{random.randrange(2, 250)}.{random.randrange(250)}.1"  # no other story's program calls there
    servers = [ScriptedServer(host=host) for _ in range(PER * (SERVICES - 1))]
    mute = [socket.socket() for _ in range(PER)]  # bound, so that nobody else is, and not listening
    for each in mute:
        each.bind((host, 0))
    ports = [*(each.port for each in servers), *(each.getsockname()[1] for each in mute)]
    program = serve(tmp_path, [f"{host}:{port}" for port in ports])
    started_programs.append(program)
    program.wait_until_serving()
    assert program.admin_command("check") == "ok serving, 0 of 0 roster servers connected"
    assert not any(each.connections for each in servers)
    caller = SipCaller(program.address, udp=True)

    def ask(call, service):
        headers = sip_headers("INVITE", "1", f"z9hG4bK{call}", call, caller.host)
        caller.send("INVITE", "sip:71@net", {**headers, "call-kind": service}, b"v=0")

    ask("c1", "s1")
    answer = caller.expect("c1", 200)
    asked, others = servers[PER : 2 * PER], servers[:PER] + servers[2 * PER :]
    wait_until(
        lambda: all(len(each.connections) == 1 for each in asked), "a link to each server of the service"
    )
    took = next(each for each in asked if each.messages("START"))
    name = f"r{servers.index(took)}"
    tag = sip.parameters(answer.get("to"))["tag"]
    more = {"host": caller.host, "to_tag": tag}
    caller.send("ACK", "sip:71@net", sip_headers("ACK", "1", "z9hG4bKack", "c1", **more))
    wait_until(
        lambda: program.admin_command("check") == f"ok serving, {PER} of {PER} roster servers connected",
        "links",
    )
    program.process.stdin.write(b"servers\nclasses\n")
    program.process.stdin.flush()
    wait_until(lambda: "\ns3 " in program.log_text(), "the last class")
    rows = [each.split() for each in program.log_text().splitlines()]
    shown = [row[-1] for row in rows if row and row[0] in ("s0", "s1", "s2", "s3")]
    assert shown == ["out", "in", "out", "out"]
    links = {row[0]: row[4] for row in rows if len(row) > 5 and row[0][0] == "r" and row[3] == "ready"}
    assert links == {f"r{n}": "up" if n // PER == 1 else "-" for n in range(PER * SERVICES)}

    wait_until(
        lambda: " scope state=out classes=s1 " in program.log_text(), "the scope leaves"
    )  # behind a prompt

    def lost() -> list[str]:
        return [each["server"] for each in program.log_events("server_connection_lost")]

    wait_until(lambda: len(lost()) == PER - 1, "the links on which no call stands end")
    assert name not in lost()
    assert not took.messages("FINISH")
    caller.send("BYE", "sip:71@net", sip_headers("BYE", "2", "z9hG4bKbye", "c1", **more))
    wait_until(lambda: took.messages("FINISH"), "the release at the server")
    wait_until(lambda: name in lost(), "then its link ends")

    ask("c2", "s3")  # nobody is there
    wait_until(lambda: caller.final_statuses("c2"), "a final answer")
    ask("c3", "s1")
    caller.expect("c3", 200)
    assert [each["classes"] for each in program.log_events("scope") if each["state"] == "in"] == [
        "s1",
        "s3",
        "s1",
    ]
    assert caller.final_statuses("c2")[0] >= 400
    assert not any(each.connections for each in others)
    wait_until(lambda: all(len(each.connections) >= 2 for each in asked), "links anew")
    text = program.path.read_text()
    assert program.reload(text.replace("idle_s = 1", "idle_s = 900"))["result"] == "applied"
    assert program.reload(text.replace("[scope]\nidle_s = 1\n", ""))["restart_required"] == "scope"
    assert program.stop() == 0
    assert not any(each.connections for each in others)
    for each in mute:
        each.close()
