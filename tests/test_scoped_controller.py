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

from .support.scope_simulation import World, kind, line, scoped, settings_of


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
