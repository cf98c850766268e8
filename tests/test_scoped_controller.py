"""Tests of the scoped controller: a controller for each set, equal to a plain one if there is one set."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from stairhatch.overload.actions import RejectCall, SetTimer
from stairhatch.overload.controller import Controller
from stairhatch.overload.events import (
    AttemptEnded,
    AttemptOutcome,
    Availability,
    CallAbandoned,
    CallEstablished,
    LoadReport,
    LoadReported,
    PeerMessageReceived,
    TimerExpired,
)
from stairhatch.overload.settings import CallClass
from stairhatch.scope.config import ServiceConfig
from stairhatch.scope.controller import IDLE_TIMER_ID
from stairhatch.scope.scoped_set import ANSWER_OVERDUE_S
from stairhatch.scope.server_sets import server_sets

from .support.scope_simulation import ScopeSimulation, call_class, endpoint, scoped_controller, settings_with


def test_classes_are_grouped_into_sets_by_shared_servers():
    """Guards against a set that is too small: its decisions would miss other calls to its servers."""
    a, b, c, d = call_class("a", 1, 2), call_class("b", 3), call_class("c", 2, 4), call_class("d", 4, 3)
    assert [each.numbers for each in server_sets(settings_with(a, b, c), ())] == [{1, 2, 4}, {3}]
    assert [each.numbers for each in server_sets(settings_with(a, b, c, d), ())] == [{1, 2, 3, 4}]
    assert [each.numbers for each in server_sets(settings_with(a, b, call_class("any")), ())] == [None]
    class_without_servers = CallClass("none", allowed_servers=())
    assert [each.numbers for each in server_sets(settings_with(a, class_without_servers), ())] == [
        {1, 2},
        set(),
    ]
    sets = server_sets(
        settings_with(a, b, instance_count=50, instance_index=7),
        (ServiceConfig(("a",), 5, 2), ServiceConfig(("b",), always_in_scope=True)),
    )
    shares = [(each.instance_count, each.instance_index, each.always_in_scope) for each in sets]
    assert shares == [(5, 2, False), (50, 7, True)]
    mixed = server_sets(
        settings_with(a, c, instance_count=50, instance_index=7), (ServiceConfig(("a",), 5, 2),)
    )
    assert [(each.instance_count, each.instance_index) for each in mixed] == [
        (50, 7)
    ], "the instance count was guessed from one service"


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "classes",
    [
        (call_class("a", 0, 1, 2), call_class("b", 2, 3, priority_weight=3.0)),
        (call_class("a", 0, 1), call_class("any")),
    ],
    ids=["shared servers", "any server"],
)
def test_with_one_set_the_same_seeds_give_the_same_actions(seed, classes):
    """Guards against decisions that differ from those of the plain controller while there is only one set.

    All actions are compared, with a server that starts, one that drains, one that is removed, new settings,
    an unknown class and a call in transit.
    """
    before = settings_with(*classes, instance_count=20, instance_index=3)
    after = replace(
        before, classes=tuple(replace(each, deadline_s=5.0, latency_objective_s=1.0) for each in classes)
    )
    services = [ServiceConfig(tuple(each.name for each in classes), always_in_scope=True)]
    simulations = []
    for decisions in (
        Controller(before, random.Random(seed)),
        scoped_controller(before, seed, services=services),
    ):
        simulation = ScopeSimulation(decisions, seed)
        simulation.update_endpoints(*(endpoint(n) for n in range(3)), endpoint(3, started_at=998.0))
        simulation.offer_at_random(8, 25, classes)
        simulation.update_endpoints(
            endpoint(0, availability=Availability.DRAINING), endpoint(2, started_at=1007.5), complete=False
        )
        simulation.offer(None)
        simulation.answers[simulation.calls] = 1  # failed at once
        simulation.offer(classes[0], 1, in_transit=True)
        simulation.offer_at_random(4, 25, classes, 1)
        decisions.update_settings(after)
        simulation.offer_at_random(4, 25, [*classes, *after.classes], 2)
        simulation.update_endpoints(*(endpoint(n) for n in range(1, 4)))
        simulation.handle(CallAbandoned(simulation.offer(classes[0])))
        simulation.answers[simulation.calls] += 1
        simulation.offer_at_random(4, 25, after.classes, 3)
        simulation.handle(LoadReported(99, LoadReport(processor_wait_s=1.0)))
        simulation.run(simulation.now + 60)
        simulations.append(simulation)
    assert simulations[0].actions == simulations[1].actions
    kinds = Counter(type(action).__name__ for _, action in simulations[0].actions)
    assert kinds["SendSetup"] > 100, kinds
    assert kinds["RejectCall"], kinds
    assert kinds["LogMessage"], kinds
    assert kinds["SetTimer"], kinds


def test_a_set_enters_with_its_first_call_and_holds_only_its_own_servers():
    """Guards against calls whose cost grows with the whole list, and connections to all listed servers."""
    a, b, changes = call_class("a", *range(10)), call_class("b", *range(10, 20)), []
    decisions = scoped_controller(settings_with(a, b), changes=changes)
    simulation = ScopeSimulation(decisions)
    simulation.update_endpoints(*(endpoint(n + 1, n) for n in range(1900)))
    assert not decisions.endpoints
    assert not changes
    assert not any(map(decisions.in_scope, range(1900)))
    simulation.offer_at_random(3, 20, [a])
    assert changes == [(frozenset(range(10)), ("a",), True)]
    assert sorted(decisions.endpoints) == list(range(1, 11))
    assert len(decisions.endpoints) == 10
    assert [n for n in range(1900) if decisions.in_scope(n)] == list(range(10))
    simulation.offer_at_random(3, 20, [a, b])
    assert len(changes) == 2
    assert len(decisions.endpoints) == 20
    simulation.finish()
    assert {server for _, _, server in simulation.sent} <= set(range(1, 21))


def test_each_set_has_a_timer_of_its_own():
    """Guards against calls of one set that wait for the timer of another set.

    There are no servers, so all calls are pending until they are answered at their timeout.
    """
    kinds = [call_class(str(n), n) for n in range(5)]
    simulation = ScopeSimulation(scoped_controller(settings_with(*kinds)))
    for each in kinds:
        simulation.offer(each)
        simulation.run(simulation.now + 0.007)
    assert [simulation.timers[label] for label in range(1, 6)] == [1] * 5
    simulation.finish()
    assert all(isinstance(a, RejectCall) for _, a in simulation.actions if not isinstance(a, SetTimer))


def test_an_idle_set_leaves_and_returns_as_after_a_restart():
    """Guards against connections that are never closed, and a set that leaves with an unanswered call.

    A set that returns must also not take a server that has just started for a warm one.
    """
    a, b, changes = call_class("a", 1), call_class("b", 2), []
    services = [ServiceConfig(("b",), always_in_scope=True)]
    decisions = scoped_controller(settings_with(a, b), idle_s=8.0, services=services, changes=changes)
    simulation = ScopeSimulation(decisions)
    simulation.update_endpoints(endpoint(1), endpoint(2))
    assert decisions.in_scope(2)
    assert not changes
    call = simulation.offer(a, caller_timeout_s=30.0)
    simulation.scheduled = [
        each for each in simulation.scheduled if not isinstance(each[2], CallEstablished | AttemptEnded)
    ]
    simulation.run(simulation.now + 30.0 + ANSWER_OVERDUE_S)
    assert decisions.in_scope(1), "the set left with an unanswered call"
    simulation.handle(CallAbandoned(call))
    simulation.answers[call] = 1
    simulation.run(simulation.now + 10.5)
    assert not decisions.in_scope(1)
    assert decisions.in_scope(2)
    assert not decisions.owners
    assert [entered for _, _, entered in changes] == [True, False]
    simulation.update_endpoints(endpoint(1, started_at=simulation.now - 1), complete=False)
    simulation.offer(a, 1)
    returned_endpoint, new_controller = decisions.endpoints[1], scoped_controller(settings_with(a, b))
    new_simulation = ScopeSimulation(new_controller)
    new_simulation.now = simulation.now
    new_simulation.update_endpoints(endpoint(1, started_at=simulation.now - 1))
    new_simulation.offer(a, 1)
    slots = decisions.slow_start_slots(simulation.now, returned_endpoint)
    assert decisions.is_warming_up(simulation.now, returned_endpoint)
    assert 0 < slots == new_controller.slow_start_slots(simulation.now, new_controller.endpoints[1])
    own_timers = {each.timer_id for each in decisions.sets.by_numbers.values()}
    assert decisions.timers.by_id.keys() <= own_timers | {IDLE_TIMER_ID}
    simulation.finish()


def test_the_end_of_a_call_that_outlived_its_set_changes_nothing():
    """Guards against state from the end of a long call whose set has left."""
    a, b = call_class("a", 1), call_class("b", 2)
    decisions = scoped_controller(settings_with(a, b), idle_s=4.0)
    simulation = ScopeSimulation(decisions)
    simulation.update_endpoints(endpoint(1), endpoint(2))
    call = simulation.offer(a)
    simulation.scheduled = [each for each in simulation.scheduled if not isinstance(each[2], AttemptEnded)]
    simulation.run(simulation.now + 10)
    assert simulation.answers[call] == 1
    assert not decisions.sets.by_numbers
    simulation.handle(LoadReported(1, LoadReport(processor_wait_s=0.1)))
    simulation.handle(AttemptEnded(call, 1, AttemptOutcome.COMPLETED, True, LoadReport(), 10.0))
    assert not decisions.owners
    assert not decisions.endpoints
    with pytest.raises(KeyError):
        decisions.endpoints[1]


def test_a_server_that_moves_between_sets_keeps_its_learned_state():
    """Guards against a lost answer or a set-up that stays pending when a server changes its number.

    The old set answers the call, the new set updates the server's state, and neither keeps the set-up as
    pending.
    """
    a, b = call_class("a", 1, 2), call_class("b", 3)
    decisions = scoped_controller(settings_with(a, b))
    simulation = ScopeSimulation(decisions)
    simulation.update_endpoints(endpoint(1), endpoint(2), endpoint(3))
    simulation.offer(b, 3)
    call = simulation.offer(a, 1)
    assert simulation.sent[-1][1:] == (call, 1)
    moved_endpoint = decisions.endpoints[1]
    simulation.update_endpoints(endpoint(1, 3), complete=False)
    assert decisions.endpoints[1] is moved_endpoint
    assert moved_endpoint.number == 3
    assert call in moved_endpoint.pending_setups
    simulation.run(simulation.now + 3)
    assert not moved_endpoint.pending_setups
    assert simulation.answers[call] == 1
    assert moved_endpoint.measured_at > -1e9
    before = len(simulation.sent)
    simulation.offer_at_random(4, 10, [a])
    assert {server for _, _, server in simulation.sent[before:]} == {
        2
    }, "the set of class a uses a server that moved"
    before = len(simulation.sent)
    simulation.offer_at_random(4, 10, [b])
    assert {server for _, call, server in simulation.sent[before:] if simulation.classes[call] is b} == {1, 3}
    simulation.update_endpoints(endpoint(1, 77), complete=False)  # no class has this number
    assert 1 not in decisions.endpoints
    simulation.finish()


@pytest.mark.parametrize("complete", [True, False], ids=["complete list", "changes"])
def test_all_servers_of_a_set_may_be_replaced(complete):
    """Guards against set-ups to removed servers, and against records of servers no longer listed."""
    a, b = call_class("a", 0, 1), call_class("b", 2)
    decisions = scoped_controller(settings_with(a, b))
    simulation = ScopeSimulation(decisions)
    simulation.update_endpoints(endpoint(1, 0), endpoint(2, 1), endpoint(3, 2))
    simulation.offer_at_random(4, 20, [a, b])
    fresh = [endpoint(11, 0, started_at=simulation.now), endpoint(12, 1, started_at=simulation.now)]
    gone = [endpoint(1, 0, Availability.GONE), endpoint(2, 1, Availability.GONE)]
    simulation.update_endpoints(*fresh, *([endpoint(3, 2)] if complete else gone), complete=complete)
    before = len(simulation.sent)
    simulation.offer_at_random(30, 20, [a, b])
    assert {server for _, _, server in simulation.sent[before:]} == {3, 11, 12}
    simulation.run(simulation.now + 31)
    simulation.update_endpoints(endpoint(3, 2), complete=False)
    simulation.update_endpoints(endpoint(11, 0), endpoint(12, 1), endpoint(3, 2), complete=True)
    assert sorted(decisions.sets.listed.by_id) == [3, 11, 12]
    assert not decisions.sets.listed.gone
    assert sorted(decisions.endpoints) == [3, 11, 12]
    simulation.finish()


def test_a_drain_applies_to_sets_in_scope_and_to_sets_that_enter_later():
    """Guards against set-ups to a draining server from a set that enters the scope after the drain began."""
    a, b = call_class("a", 1, 2), call_class("b", 3, 4)
    simulation = ScopeSimulation(scoped_controller(settings_with(a, b)))
    simulation.update_endpoints(*(endpoint(n) for n in range(1, 5)))
    simulation.offer_at_random(2, 20, [a])
    simulation.update_endpoints(
        endpoint(1, availability=Availability.DRAINING),
        endpoint(3, availability=Availability.DRAINING),
        complete=False,
    )
    before = len(simulation.sent)
    simulation.offer_at_random(5, 20, [a, b])
    assert {server for _, _, server in simulation.sent[before:]} == {2, 4}
    simulation.finish()


def test_events_of_unknown_classes_calls_and_servers_affect_no_other_call():
    """Guards against unexpected events that affect other calls or leave a call without an answer."""
    a, b = call_class("a", 1), call_class("b", 2)
    decisions = scoped_controller(settings_with(a, b))
    simulation = ScopeSimulation(decisions)
    simulation.update_endpoints(endpoint(1), endpoint(2), endpoint(9))
    call = simulation.offer(None)
    assert simulation.answers[call] == 1
    assert not decisions.sets.by_numbers
    transit_call = simulation.offer(a, 9, in_transit=True)
    assert simulation.sent[-1][1:] == (
        transit_call,
        9,
    ), "a call in transit was not sent to its server, which its class may not use"
    unroutable_call = simulation.offer(a, 77, in_transit=True)
    simulation.offer(call_class("a", 5, 6))  # a class from before a reload
    for event in (
        CallEstablished(99, 98, 1.0),
        AttemptEnded(99, 98, AttemptOutcome.COMPLETED, True, LoadReport()), CallAbandoned(99),
        LoadReported(98, LoadReport(processor_wait_s=1.0)),
        TimerExpired(4711), PeerMessageReceived(1, b"x"),
    ):  # fmt: skip
        simulation.handle(event)
    simulation.finish()
    assert isinstance(
        next(a for _, a in simulation.actions if getattr(a, "call_id", 0) == unroutable_call), RejectCall
    )
