"""The hysteretic control on the ordinary path, and each extension of it."""

from __future__ import annotations

import random
import tomllib
from dataclasses import replace
from pathlib import Path

import pytest

from stairhatch.overload.actions import FailCall, LogMessage
from stairhatch.overload.controller import Controller
from stairhatch.overload.events import (
    AttemptOutcome,
    Availability,
    CallEstablished,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    LoadReport,
    LoadReported,
    TimerExpired,
)
from stairhatch.overload.settings import CallClass, SafetyLimits
from stairhatch.overload.thresholds import EVIDENCE_LIFETIME_S
from stairhatch.settings.errors import SettingsError
from stairhatch.settings.parser import settings_from_object

from .support.access_node import SETTINGS, final_answers, setups

ROOT = Path(__file__).parent.parent


def test_first_choice_while_clear(make_node):
    node = make_node(servers=3)
    for choice in (2, 0, 1):
        assert [s.server_id for s in setups(node.offer(preferred_number=choice))] == [10 + choice]


def test_hysteresis_between_onset_and_abatement(make_node):
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


def test_a_flag_ages_out(make_node):
    node = make_node()
    node.report_delay(10, 1.0)
    assert node.is_flagged()
    node.now += EVIDENCE_LIFETIME_S + 0.1
    assert not node.is_flagged()


def test_flagged_first_choice_yields_to_an_unflagged_one(make_node):
    node = make_node()
    node.report_delay(10, 1.0)
    assert [s.server_id for s in setups(node.offer(preferred_number=0))] == [11]


def test_a_random_fraction_is_rejected_while_all_are_flagged(make_node):
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
def test_quiet_and_empty_reports_do_not(make_node, report):
    node = make_node()
    node.attempt_ended(5, 10, AttemptOutcome.COMPLETED, True, report=report)
    assert not node.is_flagged()


def test_own_pending_set_ups_raise_the_flag_without_any_report(make_node):
    node = make_node()
    node.offer(preferred_number=0)
    node.now += SETTINGS.retransmit_interval_s + 0.1
    assert node.is_flagged()


def test_clearing_a_flag_does_not_raise_the_concurrency_limit(make_node):
    """Found on the standard days: all nodes sent at once to a server that was still slow."""
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


def test_a_server_that_rejects_at_once_does_not_draw_the_calls(make_node):
    """Found on a quiet day: rejections within 20 ms made the full server look the least loaded."""
    node = make_node()
    full = 0
    for _ in range(100):
        node.now += 0.02
        todo = setups(node.offer(preferred_number=0))
        while todo:
            act = todo.pop()
            if act.server_id == 10:
                full += 1
                todo += setups(node.attempt_ended(act.call_id, 10, AttemptOutcome.REJECTED))
            else:
                node.established(act.call_id, 11)
    assert full <= 4


def test_a_server_is_ejected_for_errors_to_calls_established_elsewhere_but_not_for_a_lone_one(make_node):
    """A server that answers with errors at once looks the fastest of all."""
    node = make_node()
    for call in (1, 2):
        assert not node.controller.endpoints[10].ejected
        assert [act.server_id for act in setups(node.offer())] == [10]
        assert [act.server_id for act in setups(node.attempt_ended(call, 10, AttemptOutcome.ERROR))] == [11]
        node.established(call, 11)
    assert node.controller.endpoints[10].ejected
    assert not node.controller.endpoints[11].ejected


def test_set_ups_that_no_server_can_use_eject_none_and_have_two_attempts_at_most(make_node):
    """The errors to the set-ups of bad clients once ejected sound servers."""
    node = make_node()
    for call in range(1, 20):
        (first,) = setups(node.offer())
        (second,) = setups(node.attempt_ended(call, first.server_id, AttemptOutcome.ERROR))
        assert second.server_id != first.server_id
        assert final_answers(node.attempt_ended(call, second.server_id, AttemptOutcome.ERROR)) == [
            FailCall(call)
        ]
    assert not any(server.ejected for server in node.controller.endpoints.values())


def test_a_busy_number_gets_trial_calls_only_and_others_go_on(make_node):
    """Found in incident ia4b770: a rush on one number."""
    node = make_node()
    tried = 0
    for _ in range(100):
        node.now += 0.05
        for act in setups(node.offer(called_number=7)):
            tried += 1
            assert final_answers(
                node.attempt_ended(act.call_id, act.server_id, AttemptOutcome.ERROR, destination_busy=True)
            )
    assert tried <= 5
    assert not node.controller.endpoints[10].ejected
    assert setups(node.offer(called_number=8))
    for _ in range(3000):  # once the number answers again, it is forgotten
        node.now += 0.05
        for act in setups(node.offer(called_number=7)):
            node.established(act.call_id, act.server_id)
    assert not node.controller.parts.backoffs.by_number


def test_an_overtaken_set_up_no_longer_counts_as_pending(make_node):
    """Found in incident i78ddf8: lost set-ups held a quick server shut until they timed out."""
    node = make_node(servers=1)
    node.offer()
    node.now += 0.5
    node.offer()
    node.now += 0.05
    node.established(2, 10, 0.05)
    assert not node.controller.endpoints[10].pending_setups
    node.now += 1.0
    assert setups(node.offer())


def test_the_last_free_lines_are_not_stormed(make_node):
    taken = 0
    for seed in range(100):
        node = make_node(servers=1, seed=seed)
        node.handle(LoadReported(10, LoadReport(free_lines=1, total_lines=100)))
        taken += len(setups(node.offer(class_index=1)))
    assert 5 < taken < 45  # one line among five nodes


def test_the_last_free_lines_are_kept_for_calls_of_greater_weight(make_node):
    """Found on a calm day on sockets (snapshot f920180d): reads took the lines that saves then lacked."""
    node = make_node(servers=1)
    node.handle(LoadReported(10, LoadReport(free_lines=5, total_lines=100)))
    assert not setups(node.offer(class_index=0))
    assert setups(node.offer(class_index=1))
    node.handle(LoadReported(10, LoadReport(free_lines=50, total_lines=100)))
    assert setups(node.expire_timer(0.02))


def test_want_of_a_line_does_not_eject_a_server(make_node):
    """Found on the same day: each rejection for want of a line ejected a server that was idle."""
    node = make_node(servers=1)
    node.offer(class_index=1)
    node.attempt_ended(1, 10, AttemptOutcome.REJECTED, no_free_line=True)
    assert not setups(node.expire_timer(0.02))
    node.handle(LoadReported(10, LoadReport(free_lines=50, total_lines=100)))
    assert setups(node.expire_timer(0.02))


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


def flood(settings, elapsed_s):
    """Set-ups that all nodes send one congested server in ten seconds, each offered twenty calls."""
    total = 0
    for seed in range(10):
        controller = Controller(settings, random.Random(seed))
        list(controller.handle(0.0, EndpointsUpdated((EndpointRecord(10, 0),), True)))
        for i in range(200):
            now = i / 20
            found = list(controller.handle(now, TimerExpired(1)))
            if i % 10 == 0:
                found += controller.handle(now, CallOffered(i, SETTINGS.classes[0], 0, 3.0))
            for act in setups(found):
                total += 1
                list(controller.handle(now, CallEstablished(act.call_id, 10, elapsed_s)))
    return total * settings.instance_count / 10


def test_lowest_limits_do_not_add_up_over_the_fleet():
    """Found on the grown deployments: the lowest limits of 220 nodes were a flood onto a slowed server."""
    small, large = (
        flood(replace(SETTINGS, instance_count=n), elapsed_s) for n, elapsed_s in ((5, 1.5), (250, 1.5))
    )
    assert large < 20 * small  # fifty times the nodes, each asked for as much
    assert flood(replace(SETTINGS, instance_count=250), 0.05) > 0


def test_the_first_concurrency_limit_follows_what_the_server_bears(make_node):
    """Found on amman-later big-1: a server that bears 270 set-ups a second was left idle at the start."""
    limits = []
    for used in (100, 2700):
        node = make_node(servers=1, settings=replace(SETTINGS, instance_count=250))
        node.handle(LoadReported(10, LoadReport(free_lines=3000 - used, total_lines=3000)))
        limits.append(node.controller.endpoints[10].concurrency_limit)
    assert limits[1] > 4 * limits[0]


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
    """Nodes that all took themselves for the first would use the same slow-start slots. An index out of
    range is rejected: what was meant would be a guess.
    """
    raw = {"classes": [{"name": "a"}], **told}
    if index is None:
        with pytest.raises(SettingsError, match=r"settings\.me: must be"):
            settings_from_object(raw)
    else:
        assert settings_from_object(raw).settings.instance_index == index


def test_size_and_width_of_the_modules():
    """The deploy file's policy files have 730 lines together; no line of the package is over 110 wide."""
    policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    lines = [line for name in policy for line in (ROOT / name).read_text().splitlines()]
    assert 0 < len([line for line in lines if line.strip()]) <= 730
    for path in (ROOT / "stairhatch").rglob("*.py"):
        assert max(map(len, path.read_text().splitlines()), default=0) <= 110
    assert "settings, events, actions and records" in (ROOT / policy[0]).read_text()[:300]


def test_caller_retries_weigh_less_marked_or_not(make_node):
    """Found in incident id09162: late retries took the place of fresh calls."""
    node = make_node(servers=1)
    for _ in range(50):
        node.offer(class_index=0, caller_timeout_s=3.0)
    node.offer(class_index=0, caller_timeout_s=3.0)
    fresh = node.controller.calls[node.next_call - 1].weight
    node.offer(class_index=0, caller_timeout_s=3.0, is_caller_retry=True)
    assert node.controller.calls[node.next_call - 1].weight == fresh * SETTINGS.classes[0].late_weight
    node.offer(class_index=0, caller_timeout_s=5.5)
    assert node.controller.calls[node.next_call - 1].weight == fresh * SETTINGS.classes[0].late_weight


def test_a_big_warming_server_is_not_held_to_what_small_ones_bear(make_node):
    """Found in incident i9eafb5. Its lines tell its size; an answer of its own does not (issue 11)."""
    rates = {}
    for lines in (100, 1000):
        node = make_node()
        node.handle(LoadReported(11, LoadReport(free_lines=50, total_lines=100)))
        node.update_endpoints(EndpointRecord(10, 0, started_at=node.now), complete=False)
        node.handle(LoadReported(10, LoadReport(free_lines=lines, total_lines=lines)))
        server = node.controller.endpoints[10]
        rates[lines] = node.slow_start.admissible_rate(node.now, server)
        node.established(1, 10, 0.001)
        assert node.slow_start.admissible_rate(node.now, server) == rates[lines]
        server.pending_setups[2] = node.now
        # Once read as an answer in no time at all:
        node.attempt_ended(2, 10, AttemptOutcome.TIMED_OUT, elapsed_s=3.0)
        assert node.slow_start.admissible_rate(node.now, server) <= rates[lines]
    assert rates[1000] > 5 * rates[100] > 0


def test_all_nodes_together_keep_to_the_size_of_a_small_warming_server(make_node):
    """Found on amman-later big-2: paced by what the largest server bore, a small one was pushed over."""
    settings, kept = replace(SETTINGS, instance_count=240), []
    for lines in (200, 2000):
        sent = 0
        for seed in range(240):
            node = make_node(settings=replace(settings, instance_index=seed), seed=seed)
            node.handle(LoadReported(11, LoadReport(free_lines=200, total_lines=2000)))
            node.handle(LoadReported(10, LoadReport(free_lines=lines / 10, total_lines=lines)))
            node.update_endpoints(EndpointRecord(10, 0, started_at=node.now), complete=False)
            node.handle(LoadReported(10, LoadReport(free_lines=lines, total_lines=lines)))
            for _ in range(15):
                sent += sum(
                    act.server_id == 10
                    for act in setups(node.expire_timer(0.1) + node.offer(preferred_number=0))
                )
        kept.append(sent)
    warm = [0.9 * lines / SETTINGS.classes[0].mean_duration_s for lines in (200, 2000)]
    safety = SETTINGS.safety
    for sent, rate in zip(kept, warm, strict=True):
        assert (
            0
            < sent
            <= safety.overload_multiple * safety.initial_capacity_fraction * rate * safety.overload_window_s
        )


def test_after_an_outage_of_all_the_first_to_return_is_paced_by_what_was_borne(make_node):
    """Found in incident i687ce9."""
    node = make_node(servers=1)
    for call in range(900, 910):
        node.attempt_ended(
            call, 10, AttemptOutcome.COMPLETED, True, report=LoadReport(free_lines=800, total_lines=1000)
        )
    node.now += 10.0
    node.update_endpoints(EndpointRecord(10, 0, started_at=node.now), complete=False)
    server = node.controller.endpoints[10]
    fresh = make_node(servers=1)
    assert node.slow_start.admissible_rate(node.now, server) > 3 * fresh.slow_start.admissible_rate(
        node.now, fresh.controller.endpoints[10]
    )
    assert 0 < node.slow_start.warm_rate(node.now + 30, server) < node.slow_start.warm_rate(node.now, server)


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
    """Found by the bench's long batches: each event looked all pending calls through."""
    node = make_node()
    controller, looks = node.controller, []
    balancer, choose = controller.parts.load_balancer, controller.parts.load_balancer.choose
    balancer.choose = lambda *args: looks.append(1) or choose(*args)
    for _ in range(2000):
        node.offer()
    assert len(controller.pending) > 1000
    assert len(looks) < 3 * 2000


def test_calls_pending_in_vain_are_not_looked_at_each_time(make_node):
    """Found on a calm day whose callers were rejected by thousands: every instant looked all pending calls
    through, for each server anew, and took a third of a processor core.
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


def test_reports_of_a_long_delay_cut_the_limit_of_a_node_that_sends_seldom(make_node):
    """Found on bangkok-later big-2: own answers came too seldom to slow down for."""
    node = make_node(settings=replace(SETTINGS, instance_count=250))
    server = node.controller.endpoints[10]
    before = server.concurrency_limit
    node.report_delay(10, 2.0)
    once = server.concurrency_limit
    node.report_delay(10, 2.0)
    assert before * 0.2 < once == server.concurrency_limit < before  # one cut a delay
    server.tokens = 0.0
    for _ in range(40):
        node.now += 0.5
        node.report_delay(10, 0.0)
        server.tokens = min(server.tokens, 0.5)
    assert server.concurrency_limit > before


def test_a_report_of_a_short_delay_overtakes_a_lost_set_up(make_node):
    """Found on bangkok-later rough-1: an answer that never came cut the node's limit as a slow one would."""
    kept = []
    for report in (LoadReport(processor_wait_s=0.01), LoadReport()):
        node = make_node(settings=replace(SETTINGS, instance_count=250))
        node.offer(preferred_number=0)
        node.now += 2.0
        node.attempt_ended(900, 10, AttemptOutcome.COMPLETED, True, report=report)
        node.now += 1.0
        node.attempt_ended(1, 10, AttemptOutcome.TIMED_OUT, elapsed_s=3.0)
        kept.append(node.controller.endpoints[10].concurrency_limit)
    assert kept[0] > kept[1]


def test_tokens_are_lost_when_the_limit_is_cut(make_node):
    """Found on bangkok-later big-2: 220 nodes' tokens were six seconds of work for a slowed server."""
    tokens = 0.0
    for seed in range(50):
        node = make_node(settings=replace(SETTINGS, instance_count=250), seed=seed)
        node.report_delay(10, 2.0)
        tokens += node.controller.endpoints[10].tokens
    assert tokens < 50


def test_a_reported_delay_of_minutes_does_not_put_off_the_next_cut(make_node):
    """Found on purbachal-later big-2: an ageing server told of 100 s, and nodes cut but once in that time."""
    node = make_node(settings=replace(SETTINGS, instance_count=250))
    node.report_delay(10, 100.0)
    once = node.controller.endpoints[10].concurrency_limit
    node.now += 1.0
    node.report_delay(10, 100.0)
    assert node.controller.endpoints[10].concurrency_limit < once


def test_where_answers_are_lost_a_set_up_is_given_up_in_time_for_another(make_node):
    """Found on bangkok-later rough-2: each lost answer cost its call the objective, at quick servers."""
    node = make_node(servers=1)
    assert setups(node.offer())[0].timeout_s == 0.0  # until the caller gives up
    node.now += 2.0
    overtaking = LoadReport(processor_wait_s=0.0)
    node.attempt_ended(900, 10, AttemptOutcome.COMPLETED, True, report=overtaking)
    timeout = setups(node.offer())[0].timeout_s
    objective_s = SETTINGS.classes[0].latency_objective_s
    assert 0 < timeout < objective_s - SETTINGS.safety.retry_pause_s
    limit = node.controller.endpoints[10].concurrency_limit
    node.now += timeout
    node.attempt_ended(2, 10, AttemptOutcome.TIMED_OUT, elapsed_s=timeout)
    assert node.controller.endpoints[10].concurrency_limit == limit  # it tells of loss, not of delay
    node.report_delay(10, 1.0)
    node.now += SETTINGS.safety.retry_pause_s + 0.1
    assert all(act.timeout_s == 0.0 for act in setups(node.expire_timer()))  # not at a congested server


def test_a_warming_server_is_not_paced_by_a_small_one_that_happens_to_be_idle(make_node):
    """Found in incident i9eafb5: the middle use of two servers' lines was the small one's."""
    node = make_node(servers=3)
    node.handle(LoadReported(10, LoadReport(free_lines=100, total_lines=1000)))
    node.handle(LoadReported(11, LoadReport(free_lines=80, total_lines=100)))
    node.update_endpoints(EndpointRecord(10, 0, Availability.DRAINING), complete=False)
    node.now += 2.0
    node.update_endpoints(EndpointRecord(12, 0, started_at=node.now), complete=False)
    server = node.controller.endpoints[12]
    node.handle(LoadReported(12, LoadReport(free_lines=1000, total_lines=1000)))
    assert (
        node.slow_start.warm_rate(node.now, server)
        > 0.7 * 900 / node.controller.parts.durations.expected.mean
    )
