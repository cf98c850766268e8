"""Tests of the hysteretic congestion flag, throttling and the adaptive concurrency limit."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from stairhatch.overload.controller import Controller
from stairhatch.overload.events import (
    AttemptOutcome,
    CallEstablished,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    LoadReport,
    LoadReported,
    TimerExpired,
)
from stairhatch.overload.thresholds import EVIDENCE_LIFETIME_S

from .support.access_node import SETTINGS, final_answers, setups


def test_a_delay_between_onset_and_abatement_does_not_change_the_flag(make_node):
    node = make_node()
    controller = node.controller
    middle = (controller.thresholds.onset_s + controller.thresholds.abatement_s) / 2
    node.report_delay(10, middle)
    assert not node.is_flagged()
    node.report_delay(10, controller.thresholds.onset_s * 1.01)
    assert node.is_flagged()
    node.report_delay(10, middle)
    assert node.is_flagged()
    node.report_delay(10, controller.thresholds.abatement_s)
    assert not node.is_flagged()


def test_a_flag_is_cleared_once_its_reports_are_too_old(make_node):
    node = make_node()
    node.report_delay(10, 1.0)
    assert node.is_flagged()
    node.now += EVIDENCE_LIFETIME_S + 0.1
    assert not node.is_flagged()


def test_an_unflagged_server_is_used_instead_of_a_flagged_first_choice(make_node):
    node = make_node()
    node.report_delay(10, 1.0)
    assert [s.server_id for s in setups(node.offer(preferred_number=0))] == [11]


def test_a_random_fraction_of_calls_is_rejected_while_all_servers_are_flagged(make_node):
    rejected = {0: 0, 1: 0}
    for seed in range(200):
        for class_index in rejected:
            node = make_node(seed=seed)
            node.report_delay(10, 1.0)
            node.report_delay(11, 1.0)
            rejected[class_index] += len(final_answers(node.offer(class_index=class_index)))
    assert 0 < rejected[1] < rejected[0] < 200


@pytest.mark.parametrize(
    "report",
    [
        LoadReport(processor_wait_s=1.0),
        LoadReport(queue_length=20, admissible_rate=10),
        LoadReport(queue_length=5, admissible_rate=0),
        LoadReport(utilization=0.99),
        LoadReport(throttle_fraction=0.3),
    ],
)
def test_every_kind_of_report_can_raise_the_flag(make_node, report):
    node = make_node()
    node.attempt_ended(5, 10, AttemptOutcome.COMPLETED, True, report=report)
    assert node.is_flagged()


@pytest.mark.parametrize(
    "report",
    [
        LoadReport(),
        LoadReport(processor_wait_s=0.0),
        LoadReport(utilization=0.5),
        LoadReport(queue_length=0, admissible_rate=9),
    ],
)
def test_reports_of_low_load_and_empty_reports_do_not_raise_the_flag(make_node, report):
    node = make_node()
    node.attempt_ended(5, 10, AttemptOutcome.COMPLETED, True, report=report)
    assert not node.is_flagged()


def test_own_pending_setups_raise_the_flag_without_any_report(make_node):
    node = make_node()
    node.offer(preferred_number=0)
    node.now += SETTINGS.retransmit_interval_s + 0.1
    assert node.is_flagged()


def test_clearing_a_flag_does_not_raise_the_concurrency_limit(make_node):
    """The nodes must not all send at once to a server that is still slow when its flag is cleared."""
    node = make_node(servers=1)
    node.report_delay(10, 1.0)
    node.report_delay(10, 0.0)
    assert len(setups([a for _ in range(20) for a in node.offer()])) <= 3


def test_the_concurrency_limit_grows_with_quick_answers_and_shrinks_with_slow_ones(make_node):
    node = make_node(servers=1)
    server = node.controller.endpoints[10]
    for _ in range(3):
        for _ in range(int(server.concurrency_limit) + 1):
            node.offer()
        for call in list(server.pending_setups):
            node.established(call, 10, 0.05)
    grown = server.concurrency_limit
    assert grown > 4
    for _ in range(60):
        node.offer()
        node.now += 0.7
        for call in list(server.pending_setups):
            node.established(call, 10, 0.7)
    assert server.concurrency_limit < grown / 2


def test_an_overtaken_setup_no_longer_counts_as_pending(make_node):
    """Lost set-ups must not use up a quick server's limit until they time out."""
    node = make_node(servers=1)
    node.offer()
    node.now += 0.5
    node.offer()
    node.now += 0.05
    node.established(2, 10, 0.05)
    assert not node.controller.endpoints[10].pending_setups
    node.now += 1.0
    assert setups(node.offer())


def count_setups_of_fleet(settings, elapsed_s):
    """Return how many set-ups all nodes together send to one congested server in ten seconds. Each node is
    offered twenty calls.
    """
    total = 0
    for seed in range(10):
        controller = Controller(settings, random.Random(seed))
        list(controller.handle(0.0, EndpointsUpdated((EndpointRecord(10, 0),), True)))
        for i in range(200):
            now = i / 20
            actions = list(controller.handle(now, TimerExpired(1)))
            if i % 10 == 0:
                actions += controller.handle(now, CallOffered(i, SETTINGS.classes[0], 0, 3.0))
            for act in setups(actions):
                total += 1
                list(controller.handle(now, CallEstablished(act.call_id, 10, elapsed_s)))
    return total * settings.instance_count / 10


def test_the_lowest_limits_of_many_nodes_do_not_add_up():
    """The lowest limits of 250 nodes together must not flood a server that has become slow."""
    small, large = (
        count_setups_of_fleet(replace(SETTINGS, instance_count=n), elapsed_s)
        for n, elapsed_s in ((5, 1.5), (250, 1.5))
    )
    assert large < 20 * small  # fifty times the nodes, with the same number of calls offered to each
    assert count_setups_of_fleet(replace(SETTINGS, instance_count=250), 0.05) > 0


def test_the_first_concurrency_limit_follows_the_capacity_of_the_server(make_node):
    """A server with capacity for many set-ups per second must not be left idle at the start."""
    limits = []
    for used in (100, 2700):
        node = make_node(servers=1, settings=replace(SETTINGS, instance_count=250))
        node.handle(LoadReported(10, LoadReport(free_lines=3000 - used, total_lines=3000)))
        limits.append(node.controller.endpoints[10].concurrency_limit)
    assert limits[1] > 4 * limits[0]


def test_reports_of_a_long_delay_cut_the_limit_of_a_node_that_sends_seldom(make_node):
    """A node that receives too few answers of its own must reduce its limit by the server's load reports."""
    node = make_node(settings=replace(SETTINGS, instance_count=250))
    server = node.controller.endpoints[10]
    before = server.concurrency_limit
    node.report_delay(10, 2.0)
    once = server.concurrency_limit
    node.report_delay(10, 2.0)
    assert before * 0.2 < once == server.concurrency_limit < before  # at most one cut per delay
    server.tokens = 0.0
    for _ in range(40):
        node.now += 0.5
        node.report_delay(10, 0.0)
        server.tokens = min(server.tokens, 0.5)
    assert server.concurrency_limit > before


def test_a_report_of_a_short_delay_overtakes_a_lost_setup(make_node):
    """A lost answer must not cut a node's limit as a slow answer does."""
    limits = []
    for report in (LoadReport(processor_wait_s=0.01), LoadReport()):
        node = make_node(settings=replace(SETTINGS, instance_count=250))
        node.offer(preferred_number=0)
        node.now += 2.0
        node.attempt_ended(900, 10, AttemptOutcome.COMPLETED, True, report=report)
        node.now += 1.0
        node.attempt_ended(1, 10, AttemptOutcome.TIMED_OUT, elapsed_s=3.0)
        limits.append(node.controller.endpoints[10].concurrency_limit)
    assert limits[0] > limits[1]


def test_tokens_are_lost_when_the_limit_is_cut(make_node):
    """The tokens of many nodes together must not be seconds of work for a server that has become slow."""
    tokens = 0.0
    for seed in range(50):
        node = make_node(settings=replace(SETTINGS, instance_count=250), seed=seed)
        node.report_delay(10, 2.0)
        tokens += node.controller.endpoints[10].tokens
    assert tokens < 50


def test_a_reported_delay_of_minutes_does_not_delay_the_next_cut(make_node):
    """If a server reports a delay of 100 s, its limit must be cut more than once in that time."""
    node = make_node(settings=replace(SETTINGS, instance_count=250))
    node.report_delay(10, 100.0)
    once = node.controller.endpoints[10].concurrency_limit
    node.now += 1.0
    node.report_delay(10, 100.0)
    assert node.controller.endpoints[10].concurrency_limit < once


def test_after_lost_answers_a_setup_times_out_early_enough_for_another_attempt(make_node):
    """At a quick server a lost answer must not cost the call its latency objective."""
    node = make_node(servers=1)
    assert setups(node.offer())[0].timeout_s == 0.0  # 0: until the caller's timeout
    node.now += 2.0
    overtaking = LoadReport(processor_wait_s=0.0)
    node.attempt_ended(900, 10, AttemptOutcome.COMPLETED, True, report=overtaking)
    timeout = setups(node.offer())[0].timeout_s
    objective_s = SETTINGS.classes[0].latency_objective_s
    assert 0 < timeout < objective_s - SETTINGS.safety.retry_pause_s
    limit = node.controller.endpoints[10].concurrency_limit
    node.now += timeout
    node.attempt_ended(2, 10, AttemptOutcome.TIMED_OUT, elapsed_s=timeout)
    assert node.controller.endpoints[10].concurrency_limit == limit  # the early timeout shows loss, not delay
    node.report_delay(10, 1.0)
    node.now += SETTINGS.safety.retry_pause_s + 0.1
    assert all(
        act.timeout_s == 0.0 for act in setups(node.expire_timer())
    )  # no early timeout at a congested server
