"""Tests of the controller: first choice, pending calls, retries, log messages and settings."""

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


def test_a_call_goes_to_its_first_choice_while_that_is_unflagged(make_node):
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
    node.now += 0.05  # pending calls are scanned once per instant
    assert [s.call_id for s in setups(node.established(1, 10))][:1] == [3]


def test_the_same_events_and_seed_give_the_same_actions():
    def run():
        controller, actions = Controller(SETTINGS, random.Random(5)), []
        actions += controller.handle(
            1.0, EndpointsUpdated(tuple(EndpointRecord(s, s) for s in range(4)), True)
        )
        for i in range(300):
            actions += controller.handle(1.0 + i / 50, CallOffered(i, SETTINGS.classes[i % 2], i % 4, 3.0))
            if i % 3 == 0:
                actions += controller.handle(1.0 + i / 50, CallEstablished(i, i % 4, 0.3))
        return actions

    assert run() == run()


def test_no_record_of_a_call_remains_after_its_final_answer(make_node):
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


def test_the_error_for_an_impossible_setting_contains_its_name():
    with pytest.raises(ValueError, match="instance_count"):
        replace(SETTINGS, instance_count=0)
    with pytest.raises(ValueError, match="latency_objective_s"):
        CallClass("x", latency_objective_s=0)
    with pytest.raises(ValueError, match="initial_capacity_fraction"):
        SafetyLimits(initial_capacity_fraction=2)
    with pytest.raises(ValueError, match="retransmit_interval_s"):
        replace(SETTINGS, retransmit_interval_s=float("nan"))


@pytest.mark.parametrize(
    ("keys", "index"),
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
def test_a_node_of_several_has_an_instance_index_only_if_one_is_set(keys, index):
    """If every node defaulted to index 0, all would use the same slow-start slots. An index out of range is
    rejected, because the intended index can't be derived from it.
    """
    raw = {"classes": [{"name": "a"}], **keys}
    if index is None:
        with pytest.raises(SettingsError, match=r"settings\.me: must be"):
            settings_from_object(raw)
    else:
        assert settings_from_object(raw).settings.instance_index == index


def test_the_policy_files_stay_within_730_lines_and_all_modules_within_110_columns():
    """The files that deploy/balancer.toml lists as policy may have 730 lines in all, without blank ones."""
    policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    lines = [line for name in policy for line in (ROOT / name).read_text().splitlines()]
    assert 0 < len([line for line in lines if line.strip()]) <= 730
    for path in (ROOT / "stairhatch").rglob("*.py"):
        assert max(map(len, path.read_text().splitlines()), default=0) <= 110
    assert "settings, events, actions and records" in (ROOT / policy[0]).read_text()[:300]


def test_marked_and_unmarked_caller_retries_have_a_lower_weight(make_node):
    """Late retries must not displace calls that are offered for the first time."""
    node = make_node(servers=1)
    for _ in range(50):
        node.offer(class_index=0, caller_timeout_s=3.0)
    node.offer(class_index=0, caller_timeout_s=3.0)
    fresh = node.controller.calls[node.next_call - 1].weight
    node.offer(class_index=0, caller_timeout_s=3.0, is_caller_retry=True)
    assert node.controller.calls[node.next_call - 1].weight == fresh * SETTINGS.classes[0].late_weight
    node.offer(class_index=0, caller_timeout_s=5.5)
    assert node.controller.calls[node.next_call - 1].weight == fresh * SETTINGS.classes[0].late_weight


def test_each_change_is_logged_once(make_node):
    node = make_node()
    sent = setups(node.offer(preferred_number=0))
    for _ in range(100):
        sent += setups(node.expire_timer(0.05))
        while sent:
            act = sent.pop()
            sent += setups(
                node.attempt_ended(act.call_id, act.server_id, AttemptOutcome.REJECTED)
                if act.server_id == 10
                else []
            )
        sent += setups(node.offer(preferred_number=0))
    messages = [a.text for a in node.actions if isinstance(a, LogMessage)]
    assert messages == ["server 10 ejected: rejected"]


def test_thousands_of_pending_calls_are_scanned_once_an_instant(make_node):
    """An event must not cause a scan of all pending calls if another event at the same instant did."""
    node = make_node()
    controller, scans = node.controller, []
    balancer, choose = controller.parts.load_balancer, controller.parts.load_balancer.choose
    balancer.choose = lambda *args: scans.append(1) or choose(*args)
    for _ in range(2000):
        node.offer()
    assert len(controller.pending) > 1000
    assert len(scans) < 3 * 2000


def test_pending_calls_that_no_server_accepts_are_not_scanned(make_node):
    """Thousands of pending calls whose weight no server accepts must not be checked against each server at
    every instant. Such checks once took a third of a processor core.
    """
    node = make_node()
    controller, scans = node.controller, []
    one_free_line = LoadReport(free_lines=1, total_lines=100)  # reserved for calls of the greatest weight
    for server in (10, 11):
        node.handle(LoadReported(server, one_free_line))
    for _ in range(500):
        node.offer()
    balancer, choose = controller.parts.load_balancer, controller.parts.load_balancer.choose
    balancer.choose = lambda *args: scans.append(1) or choose(*args)
    pending = len(controller.pending)
    for _ in range(10):
        node.expire_timer(0.01)
    assert len(controller.pending) == pending > 400
    assert not scans
    node.expire_timer(1.2)
    assert not controller.pending
    assert len(final_answers(node.actions)) == 500  # each call is rejected at its deadline in the queue
