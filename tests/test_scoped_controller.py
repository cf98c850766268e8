"""Decisions kept apart by sets of servers: the same as one controller where there is one set."""

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


def test_classes_fall_into_sets_by_the_servers_they_share():
    """No set is too small, so that its decisions would not see a server's other calls."""
    a, b, c, d = call_class("a", 1, 2), call_class("b", 3), call_class("c", 2, 4), call_class("d", 4, 3)
    assert [each.numbers for each in server_sets(settings_with(a, b, c), ())] == [{1, 2, 4}, {3}]
    assert [each.numbers for each in server_sets(settings_with(a, b, c, d), ())] == [{1, 2, 3, 4}]
    assert [each.numbers for each in server_sets(settings_with(a, b, call_class("any")), ())] == [None]
    nowhere = CallClass("none", allowed_servers=())
    assert [each.numbers for each in server_sets(settings_with(a, nowhere), ())] == [{1, 2}, set()]
    sets = server_sets(
        settings_with(a, b, instance_count=50, instance_index=7),
        (ServiceConfig(("a",), 5, 2), ServiceConfig(("b",), always_in_scope=True)),
    )
    shares = [(each.instance_count, each.instance_index, each.always_in_scope) for each in sets]
    assert shares == [(5, 2, False), (50, 7, True)]
    mixed = server_sets(
        settings_with(a, c, instance_count=50, instance_index=7), (ServiceConfig(("a",), 5, 2),)
    )
    assert [(each.instance_count, each.instance_index) for each in mixed] == [(50, 7)], "a figure was guessed"


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
    """Where there is one set the decisions are those of the plain controller, action for action, through a
    server that starts, a drain, one that goes, other settings, an unknown class and a call in transit.
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
        simulation.update_endpoints(*(endpoint(n) for n in range(3)), endpoint(3, up_since=998.0))
        simulation.offer_at_random(8, 25, classes)
        simulation.update_endpoints(
            endpoint(0, availability=Availability.DRAINING), endpoint(2, up_since=1007.5), complete=False
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


def test_a_set_comes_with_its_first_call_and_knows_its_own_servers_alone():
    """A call does not cost what the whole list costs, and no connection is opened to each listed server."""
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
    """Calls of one set do not wait while another's timer runs. There is no server here, so that all calls are
    pending until their time is up, and answered then.
    """
    kinds = [call_class(str(n), n) for n in range(5)]
    simulation = ScopeSimulation(scoped_controller(settings_with(*kinds)))
    for each in kinds:
        simulation.offer(each)
        simulation.run(simulation.now + 0.007)
    assert [simulation.timers[label] for label in range(1, 6)] == [1] * 5
    simulation.finish()
    assert all(isinstance(a, RejectCall) for _, a in simulation.actions if not isinstance(a, SetTimer))


def test_a_set_leaves_when_unused_and_comes_back_as_after_a_restart():
    """Connections are not kept for ever, no set leaves with a call unanswered, and one that comes back does
    not take a server that has just started for warm.
    """
    a, b, changes = call_class("a", 1), call_class("b", 2), []
    decisions = scoped_controller(
        settings_with(a, b),
        idle_s=8.0,
        services=[ServiceConfig(("b",), always_in_scope=True)],
        changes=changes,
    )
    simulation = ScopeSimulation(decisions)
    simulation.update_endpoints(endpoint(1), endpoint(2))
    assert decisions.in_scope(2)
    assert not changes
    call = simulation.offer(a, caller_timeout_s=30.0)
    simulation.due = [
        each for each in simulation.due if not isinstance(each[2], CallEstablished | AttemptEnded)
    ]
    simulation.run(simulation.now + 30.0 + ANSWER_OVERDUE_S)
    assert decisions.in_scope(1), "it left with a call that had no answer"
    simulation.handle(CallAbandoned(call))
    simulation.answers[call] = 1
    simulation.run(simulation.now + 10.5)
    assert not decisions.in_scope(1)
    assert decisions.in_scope(2)
    assert not decisions.owners
    assert [came for _, _, came in changes] == [True, False]
    simulation.update_endpoints(endpoint(1, up_since=simulation.now - 1), complete=False)
    simulation.offer(a, 1)
    seen, new = decisions.endpoints[1], scoped_controller(settings_with(a, b))
    anew = ScopeSimulation(new)
    anew.now = simulation.now
    anew.update_endpoints(endpoint(1, up_since=simulation.now - 1))
    anew.offer(a, 1)
    pace = decisions.slow_start_slots(simulation.now, seen)
    assert decisions.is_warming_up(simulation.now, seen)
    assert 0 < pace == new.slow_start_slots(simulation.now, new.endpoints[1])
    own_timers = {each.timer_id for each in decisions.sets.by_numbers.values()}
    assert decisions.timers.by_id.keys() <= own_timers | {IDLE_TIMER_ID}
    simulation.finish()


def test_the_end_of_a_call_that_outlived_its_set_changes_nothing():
    """A long call may end after its set has left."""
    a, b = call_class("a", 1), call_class("b", 2)
    decisions = scoped_controller(settings_with(a, b), idle_s=4.0)
    simulation = ScopeSimulation(decisions)
    simulation.update_endpoints(endpoint(1), endpoint(2))
    call = simulation.offer(a)
    simulation.due = [each for each in simulation.due if not isinstance(each[2], AttemptEnded)]
    simulation.run(simulation.now + 10)
    assert simulation.answers[call] == 1
    assert not decisions.sets.by_numbers
    simulation.handle(LoadReported(1, LoadReport(processor_wait_s=0.1)))
    simulation.handle(AttemptEnded(call, 1, AttemptOutcome.COMPLETED, True, LoadReport(), 10.0))
    assert not decisions.owners
    assert not decisions.endpoints
    with pytest.raises(KeyError):
        decisions.endpoints[1]


def test_a_server_that_moves_between_sets_takes_along_what_is_known_of_it():
    """Where a server changes its number while a set-up is out, the call has its answer in the one set, the
    server is learnt of in the other, and neither holds it as pending.
    """
    a, b = call_class("a", 1, 2), call_class("b", 3)
    decisions = scoped_controller(settings_with(a, b))
    simulation = ScopeSimulation(decisions)
    simulation.update_endpoints(endpoint(1), endpoint(2), endpoint(3))
    simulation.offer(b, 3)
    call = simulation.offer(a, 1)
    assert simulation.sent[-1][1:] == (call, 1)
    seen = decisions.endpoints[1]
    simulation.update_endpoints(endpoint(1, 3), complete=False)
    assert decisions.endpoints[1] is seen
    assert seen.number == 3
    assert call in seen.pending_setups
    simulation.run(simulation.now + 3)
    assert not seen.pending_setups
    assert simulation.answers[call] == 1
    assert seen.measured_at > -1e9
    before = len(simulation.sent)
    simulation.offer_at_random(4, 10, [a])
    assert {server for _, _, server in simulation.sent[before:]} == {2}, "a's set has lost it"
    before = len(simulation.sent)
    simulation.offer_at_random(4, 10, [b])
    assert {server for _, call, server in simulation.sent[before:] if simulation.classes[call] is b} == {1, 3}
    simulation.update_endpoints(endpoint(1, 77), complete=False)  # where no class looks
    assert 1 not in decisions.endpoints
    simulation.finish()


@pytest.mark.parametrize("complete", [True, False], ids=["a whole list", "changes"])
def test_all_servers_of_a_set_may_be_replaced(complete):
    """No set-up goes to a server that is gone, and no record stays of one that is not listed again."""
    a, b = call_class("a", 0, 1), call_class("b", 2)
    decisions = scoped_controller(settings_with(a, b))
    simulation = ScopeSimulation(decisions)
    simulation.update_endpoints(endpoint(1, 0), endpoint(2, 1), endpoint(3, 2))
    simulation.offer_at_random(4, 20, [a, b])
    fresh = [endpoint(11, 0, up_since=simulation.now), endpoint(12, 1, up_since=simulation.now)]
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


def test_a_drain_holds_for_the_set_that_has_the_server_and_for_one_that_comes_later():
    """A set that comes into scope after a drain was notified does not send there."""
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


def test_events_of_unknown_classes_calls_and_servers_disturb_no_call():
    """No odd event disturbs other calls, or leaves one without its answer."""
    a, b = call_class("a", 1), call_class("b", 2)
    decisions = scoped_controller(settings_with(a, b))
    simulation = ScopeSimulation(decisions)
    simulation.update_endpoints(endpoint(1), endpoint(2), endpoint(9))
    call = simulation.offer(None)
    assert simulation.answers[call] == 1
    assert not decisions.sets.by_numbers
    through = simulation.offer(a, 9, in_transit=True)
    assert simulation.sent[-1][1:] == (
        through,
        9,
    ), "on its way through to a server that its class may not use"
    elsewhere = simulation.offer(a, 77, in_transit=True)
    simulation.offer(call_class("a", 5, 6))  # a class as it was
    for event in (
        CallEstablished(99, 98, 1.0),
        AttemptEnded(99, 98, AttemptOutcome.COMPLETED, True, LoadReport()), CallAbandoned(99),
        LoadReported(98, LoadReport(processor_wait_s=1.0)),
        TimerExpired(4711), PeerMessageReceived(1, b"x"),
    ):  # fmt: skip
        simulation.handle(event)
    simulation.finish()
    assert isinstance(
        next(a for _, a in simulation.actions if getattr(a, "call_id", 0) == elsewhere), RejectCall
    )
