"""The controller: first choice, pending calls, retries, log messages, and the settings it takes."""

from __future__ import annotations

import random
import tomllib
from dataclasses import replace
from pathlib import Path

import pytest

from stairhatch.overload.actions import LogMessage
from stairhatch.overload.controller import Controller
from stairhatch.overload.events import (
    AttemptOutcome,
    CallEstablished,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    LoadReport,
    LoadReported,
)
from stairhatch.overload.settings import CallClass, SafetyLimits
from stairhatch.settings.errors import SettingsError
from stairhatch.settings.parser import settings_from_object

from .support.access_node import SETTINGS, final_answers, setups

ROOT = Path(__file__).parent.parent


def test_first_choice_while_clear(make_node):
    node = make_node(servers=3)
    for choice in (2, 0, 1):
        assert [s.server_id for s in setups(node.offer(preferred_number=choice))] == [10 + choice]


def test_the_pending_call_of_greater_weight_goes_first(make_node):
    node = make_node(servers=1)
    server = node.controller.endpoints[10]
    server.concurrency_limit = 1.0
    server.fastest_setup_s = 0.05
    node.offer(class_index=0)
    node.offer(class_index=0)
    node.offer(class_index=1)
    node.now += 0.05  # pending calls are looked through once an instant
    assert [s.call_id for s in setups(node.established(1, 10))][:1] == [3]


def test_same_events_same_actions():
    def play():
        controller, found = Controller(SETTINGS, random.Random(5)), []
        found += controller.handle(1.0, EndpointsUpdated(tuple(EndpointRecord(s, s) for s in range(4)), True))
        for i in range(300):
            found += controller.handle(1.0 + i / 50, CallOffered(i, SETTINGS.classes[i % 2], i % 4, 3.0))
            if i % 3 == 0:
                found += controller.handle(1.0 + i / 50, CallEstablished(i, i % 4, 0.3))
        return found

    assert play() == play()


def test_nothing_is_kept_of_calls_that_have_their_answer(make_node):
    node = make_node()
    for i in range(200):
        node.now += 0.05
        for act in setups(node.offer(preferred_number=i % 2)):
            node.established(act.call_id, act.server_id)
    for _ in range(300):
        node.expire_timer(0.02)
    controller = node.controller
    assert not controller.calls
    assert not controller.pending
    assert all(not s.pending_setups for s in controller.endpoints.values())


def test_impossible_settings_are_named():
    with pytest.raises(ValueError, match="instance_count"):
        replace(SETTINGS, instance_count=0)
    with pytest.raises(ValueError, match="latency_objective_s"):
        CallClass("x", latency_objective_s=0)
    with pytest.raises(ValueError, match="initial_capacity_fraction"):
        SafetyLimits(initial_capacity_fraction=2)
    with pytest.raises(ValueError, match="retransmit_interval_s"):
        replace(SETTINGS, retransmit_interval_s=float("nan"))


@pytest.mark.parametrize(
    ("told", "index"),
    [
        ({}, 0),
        ({"balancers": 5}, -1),
        ({"balancers": 5, "me": 4}, 4),
        ({"balancers": 5, "me": 5}, None),
        ({"balancers": 5, "me": -1}, None),
        ({"balancers": 5, "me": "2"}, None),
        ({"me": 0}, 0),
    ],
)
def test_a_node_knows_its_instance_index_only_where_it_is_told(told, index):
    """Nodes that all took themselves for the first would use the same slow-start slots. An index out of range
    is rejected: what was meant would be a guess.
    """
    raw = {"classes": [{"name": "a"}], **told}
    if index is None:
        with pytest.raises(SettingsError, match=r"settings\.me: must be"):
            settings_from_object(raw)
    else:
        assert settings_from_object(raw).settings.instance_index == index


def test_the_policy_files_stay_within_730_lines_and_all_modules_within_110_columns():
    """The size that the deploy file's policy files may have together holds."""
    policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    lines = [line for name in policy for line in (ROOT / name).read_text().splitlines()]
    assert 0 < len([line for line in lines if line.strip()]) <= 730
    for path in (ROOT / "stairhatch").rglob("*.py"):
        assert max(map(len, path.read_text().splitlines()), default=0) <= 110
    assert "settings, events, actions and records" in (ROOT / policy[0]).read_text()[:300]


def test_caller_retries_weigh_less_whether_marked_or_not(make_node):
    """Late retries do not take the place of fresh calls."""
    node = make_node(servers=1)
    for _ in range(50):
        node.offer(class_index=0, caller_timeout_s=3.0)
    node.offer(class_index=0, caller_timeout_s=3.0)
    fresh = node.controller.calls[node.next_call - 1].weight
    node.offer(class_index=0, caller_timeout_s=3.0, is_caller_retry=True)
    assert node.controller.calls[node.next_call - 1].weight == fresh * SETTINGS.classes[0].late_weight
    node.offer(class_index=0, caller_timeout_s=5.5)
    assert node.controller.calls[node.next_call - 1].weight == fresh * SETTINGS.classes[0].late_weight


def test_log_messages_are_one_for_each_change_and_no_more(make_node):
    node = make_node()
    todo = setups(node.offer(preferred_number=0))
    for _ in range(100):
        todo += setups(node.expire_timer(0.05))
        while todo:
            act = todo.pop()
            todo += setups(
                node.attempt_ended(act.call_id, act.server_id, AttemptOutcome.REJECTED)
                if act.server_id == 10
                else []
            )
        todo += setups(node.offer(preferred_number=0))
    messages = [a.text for a in node.actions if isinstance(a, LogMessage)]
    assert messages == ["server 10 ejected: rejected"]


def test_thousands_of_pending_calls_are_looked_through_once_an_instant(make_node):
    """Not every event costs a look at all pending calls."""
    node = make_node()
    controller, looks = node.controller, []
    balancer, choose = controller.parts.load_balancer, controller.parts.load_balancer.choose
    balancer.choose = lambda *args: looks.append(1) or choose(*args)
    for _ in range(2000):
        node.offer()
    assert len(controller.pending) > 1000
    assert len(looks) < 3 * 2000


def test_calls_pending_in_vain_are_not_looked_at_each_time(make_node):
    """Thousands of pending calls that no server can take cost no look at each of them, for each server, at
    every instant; that once took a third of a processor core.
    """
    node = make_node()
    controller, looks = node.controller, []
    few = LoadReport(free_lines=1, total_lines=100)  # kept for the calls worth most
    for server in (10, 11):
        node.handle(LoadReported(server, few))
    for _ in range(500):
        node.offer()
    balancer, choose = controller.parts.load_balancer, controller.parts.load_balancer.choose
    balancer.choose = lambda *args: looks.append(1) or choose(*args)
    pending = len(controller.pending)
    for _ in range(10):
        node.expire_timer(0.01)
    assert len(controller.pending) == pending > 400
    assert not looks
    node.expire_timer(1.2)
    assert not controller.pending
    assert len(final_answers(node.actions)) == 500  # each is rejected when its time is over
