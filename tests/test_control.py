"""The hysteretic control on the ordinary path, and each departure from it."""

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

from .conftest import SETTINGS, finals, sends

ROOT = Path(__file__).parent.parent


def flagged(node, server=10):
    return node.core.parts.congestion.is_flagged(node.now, node.core.endpoints[server])


def test_first_choice_while_clear(make_node):
    node = make_node(servers=3)
    for choice in (2, 0, 1):
        assert [s.server_id for s in sends(node.offer(choice=choice))] == [10 + choice]


def test_hysteresis_between_onset_and_abatement(make_node):
    node = make_node()
    core = node.core
    middle = (core.thresholds.onset_s + core.thresholds.abatement_s) / 2
    node.pressed(10, middle)
    assert not flagged(node)
    node.pressed(10, core.thresholds.onset_s * 1.01)
    assert flagged(node)
    node.pressed(10, middle)
    assert flagged(node)
    node.pressed(10, core.thresholds.abatement_s)
    assert not flagged(node)


def test_a_flag_ages_out(make_node):
    node = make_node()
    node.pressed(10, 1.0)
    assert flagged(node)
    node.now += EVIDENCE_LIFETIME_S + 0.1
    assert not flagged(node)


def test_flagged_first_choice_yields_to_an_unflagged_one(make_node):
    node = make_node()
    node.pressed(10, 1.0)
    assert [s.server_id for s in sends(node.offer(choice=0))] == [11]


def test_a_random_share_is_refused_while_all_are_flagged(make_node):
    refused = {0: 0, 1: 0}
    for seed in range(200):
        for kind in refused:
            node = make_node(seed=seed)
            node.pressed(10, 1.0)
            node.pressed(11, 1.0)
            refused[kind] += len(finals(node.offer(kind=kind)))
    assert 0 < refused[1] < refused[0] < 200


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
    node.ended(5, 10, AttemptOutcome.COMPLETED, True, report=report)
    assert flagged(node)


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
    node.ended(5, 10, AttemptOutcome.COMPLETED, True, report=report)
    assert not flagged(node)


def test_own_unanswered_set_ups_raise_the_flag_without_any_report(make_node):
    node = make_node()
    node.offer(choice=0)
    node.now += SETTINGS.retransmit_interval_s + 0.1
    assert flagged(node)


def test_clearing_a_flag_does_not_open_the_gates(make_node):
    """Found on the standard days: all nodes sent at once to a server that was still slow."""
    node = make_node(servers=1)
    node.pressed(10, 1.0)
    node.pressed(10, 0.0)
    assert len(sends([a for _ in range(20) for a in node.offer()])) <= 3


def test_window_grows_with_quick_answers_and_shrinks_with_slow_ones(make_node):
    node = make_node(servers=1)
    server = node.core.endpoints[10]
    for _ in range(3):
        for _ in range(int(server.concurrency_limit) + 1):
            node.offer()
        for call in list(server.pending_setups):
            node.stood(call, 10, 0.05)
    grown = server.concurrency_limit
    assert grown > 4
    for _ in range(60):
        node.offer()
        node.now += 0.7
        for call in list(server.pending_setups):
            node.stood(call, 10, 0.7)
    assert server.concurrency_limit < grown / 2


def test_a_server_that_answers_full_at_once_does_not_draw_the_calls(make_node):
    """Found on a quiet day: 'full' within 20 ms made the refusing server look the least loaded."""
    node = make_node()
    full = 0
    for _ in range(100):
        node.now += 0.02
        todo = sends(node.offer(choice=0))
        while todo:
            act = todo.pop()
            if act.server_id == 10:
                full += 1
                todo += sends(node.ended(act.call_id, 10, AttemptOutcome.REJECTED))
            else:
                node.stood(act.call_id, 11)
    assert full <= 4


def test_a_server_that_fails_calls_which_stand_elsewhere_is_paused_but_for_a_lone_error_it_is_not(make_node):
    """Guards against a server that answers errors at once and so looks the quickest of all."""
    node = make_node()
    for call in (1, 2):
        assert not node.core.endpoints[10].ejected
        assert [act.server_id for act in sends(node.offer())] == [10]
        assert [act.server_id for act in sends(node.ended(call, 10, AttemptOutcome.ERROR))] == [11]
        node.stood(call, 11)
    assert node.core.endpoints[10].ejected and not node.core.endpoints[11].ejected


def test_set_ups_that_no_server_can_use_pause_none_and_are_tried_no_more_than_twice(make_node):
    """Guards against bad clients: the errors to theirs paused sound servers for all others."""
    node = make_node()
    for call in range(1, 20):
        (first,) = sends(node.offer())
        (second,) = sends(node.ended(call, first.server_id, AttemptOutcome.ERROR))
        assert second.server_id != first.server_id
        assert finals(node.ended(call, second.server_id, AttemptOutcome.ERROR)) == [FailCall(call)]
    assert not any(server.ejected for server in node.core.endpoints.values())


def test_a_busy_number_gets_trials_only_and_others_go_on(make_node):
    """Found in incident ia4b770: a rush on one number."""
    node = make_node()
    tried = 0
    for _ in range(100):
        node.now += 0.05
        for act in sends(node.offer(called_number=7)):
            tried += 1
            assert finals(node.ended(act.call_id, act.server_id, AttemptOutcome.ERROR, destination_busy=True))
    assert tried <= 5
    assert not node.core.endpoints[10].ejected
    assert sends(node.offer(called_number=8))
    for _ in range(3000):  # once the number answers again, it is forgotten
        node.now += 0.05
        for act in sends(node.offer(called_number=7)):
            node.stood(act.call_id, act.server_id)
    assert not node.core.parts.backoffs.by_number


def test_an_overtaken_set_up_no_longer_shuts_the_window(make_node):
    """Found in incident i78ddf8: lost set-ups held a quick server shut until they timed out."""
    node = make_node(servers=1)
    node.offer()
    node.now += 0.5
    node.offer()
    node.now += 0.05
    node.stood(2, 10, 0.05)
    assert not node.core.endpoints[10].pending_setups
    node.now += 1.0
    assert sends(node.offer())


def test_the_last_free_lines_are_not_stormed(make_node):
    taken = 0
    for seed in range(100):
        node = make_node(servers=1, seed=seed)
        node.tell(LoadReported(10, LoadReport(free_lines=1, total_lines=100)))
        taken += len(sends(node.offer(kind=1)))
    assert 5 < taken < 45  # one line among five nodes


def test_the_last_free_lines_are_kept_for_calls_worth_more(make_node):
    """Found on a calm day on sockets (snapshot f920180d): reads took the lines that saves then lacked."""
    node = make_node(servers=1)
    node.tell(LoadReported(10, LoadReport(free_lines=5, total_lines=100)))
    assert not sends(node.offer(kind=0))
    assert sends(node.offer(kind=1))
    node.tell(LoadReported(10, LoadReport(free_lines=50, total_lines=100)))
    assert sends(node.ring(0.02))


def test_want_of_a_line_does_not_pause_a_server(make_node):
    """Found on the same day: each turn-back for want of a line paused a server that was idle."""
    node = make_node(servers=1)
    node.offer(kind=1)
    node.ended(1, 10, AttemptOutcome.REJECTED, no_free_line=True)
    assert not sends(node.ring(0.02))
    node.tell(LoadReported(10, LoadReport(free_lines=50, total_lines=100)))
    assert sends(node.ring(0.02))


def test_the_more_important_held_call_goes_first(make_node):
    node = make_node(servers=1)
    server = node.core.endpoints[10]
    server.concurrency_limit = 1.0
    server.fastest_setup_s = 0.05
    node.offer(kind=0)
    node.offer(kind=0)
    node.offer(kind=1)
    node.now += 0.05  # held calls are looked through once an instant
    assert [s.call_id for s in sends(node.stood(1, 10))][:1] == [3]


def test_same_events_same_actions():
    def play():
        core, found = Controller(SETTINGS, random.Random(5)), []
        found += core.handle(1.0, EndpointsUpdated(tuple(EndpointRecord(s, s) for s in range(4)), True))
        for i in range(300):
            found += core.handle(1.0 + i / 50, CallOffered(i, SETTINGS.classes[i % 2], i % 4, 3.0))
            if i % 3 == 0:
                found += core.handle(1.0 + i / 50, CallEstablished(i, i % 4, 0.3))
        return found

    assert play() == play()


def flood(settings, took_s):
    """Set-ups that `balancers` nodes send one pressed server in ten seconds, each asked for twenty calls."""
    total = 0
    for seed in range(10):
        core = Controller(settings, random.Random(seed))
        list(core.handle(0.0, EndpointsUpdated((EndpointRecord(10, 0),), True)))
        for i in range(200):
            now = i / 20
            found = list(core.handle(now, TimerExpired(1)))
            if i % 10 == 0:
                found += core.handle(now, CallOffered(i, SETTINGS.classes[0], 0, 3.0))
            for act in sends(found):
                total += 1
                list(core.handle(now, CallEstablished(act.call_id, 10, took_s)))
    return total * settings.instance_count / 10


def test_floors_do_not_add_up_over_the_fleet():
    """Found on the grown deployments: a floor for each of 220 nodes was a flood onto a slowed server."""
    small, large = (
        flood(replace(SETTINGS, instance_count=n), took_s) for n, took_s in ((5, 1.5), (250, 1.5))
    )
    assert large < 20 * small  # fifty times the nodes, each asked for as much
    assert flood(replace(SETTINGS, instance_count=250), 0.05) > 0


def test_the_first_window_follows_what_the_server_bears(make_node):
    """Found on amman-later big-1: a server that bears 270 set-ups a second was left idle at the start."""
    windows = []
    for used in (100, 2700):
        node = make_node(servers=1, settings=replace(SETTINGS, instance_count=250))
        node.tell(LoadReported(10, LoadReport(free_lines=3000 - used, total_lines=3000)))
        windows.append(node.core.endpoints[10].concurrency_limit)
    assert windows[1] > 4 * windows[0]


def test_nothing_is_kept_of_calls_that_are_over(make_node):
    node = make_node()
    for i in range(200):
        node.now += 0.05
        for act in sends(node.offer(choice=i % 2)):
            node.stood(act.call_id, act.server_id)
    for _ in range(300):
        node.ring(0.02)
    core = node.core
    assert not core.calls and not core.pending
    assert all(not s.pending_setups for s in core.endpoints.values())


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
    ("told", "number"),
    [({}, 0), ({"balancers": 5}, -1), ({"balancers": 5, "me": 4}, 4), ({"balancers": 5, "me": 5}, None),
     ({"balancers": 5, "me": -1}, None), ({"balancers": 5, "me": "2"}, None), ({"me": 0}, 0)],
)  # fmt: skip
def test_a_node_knows_its_number_only_where_it_is_told(told, number):
    """Guards against nodes that all take themselves for the first and use the same turns at cold servers. A
    number that can't be one is refused: what was meant would be a guess.
    """
    raw = {"classes": [{"name": "a"}], **told}
    if number is None:
        with pytest.raises(SettingsError, match=r"settings\.me: must be"):
            settings_from_object(raw)
    else:
        assert settings_from_object(raw).settings.instance_index == number


def test_size_and_width_of_the_modules():
    """The deploy file's policy files have 730 lines together; no line of the package is over 110 wide."""
    policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    lines = [line for name in policy for line in (ROOT / name).read_text().splitlines()]
    assert 0 < len([line for line in lines if line.strip()]) <= 730
    for path in (ROOT / "stairhatch").rglob("*.py"):
        assert max(map(len, path.read_text().splitlines()), default=0) <= 110
    assert "settings, events, actions and records" in (ROOT / policy[0]).read_text()[:300]


def test_later_tries_count_for_less_marked_or_not(make_node):
    """Found in incident id09162: late redials took the place of fresh calls."""
    node = make_node(servers=1)
    for _ in range(50):
        node.offer(kind=0, grace_s=3.0)
    node.offer(kind=0, grace_s=3.0)
    fresh = node.core.calls[node.next_call - 1].weight
    node.offer(kind=0, grace_s=3.0, is_caller_retry=True)
    assert node.core.calls[node.next_call - 1].weight == fresh * SETTINGS.classes[0].late_weight
    node.offer(kind=0, grace_s=5.5)
    assert node.core.calls[node.next_call - 1].weight == fresh * SETTINGS.classes[0].late_weight


def test_a_big_cold_server_is_not_held_to_what_small_ones_bear(make_node):
    """Found in incident i9eafb5. Its lines tell its size; an answer of its own does not (issue 11)."""
    rates = {}
    for lines in (100, 1000):
        node = make_node()
        node.tell(LoadReported(11, LoadReport(free_lines=50, total_lines=100)))
        node.list_servers(EndpointRecord(10, 0, started_at=node.now), complete=False)
        node.tell(LoadReported(10, LoadReport(free_lines=lines, total_lines=lines)))
        server = node.core.endpoints[10]
        rates[lines] = node.core.parts.slow_start.admissible_rate(node.now, server)
        node.stood(1, 10, 0.001)
        assert node.core.parts.slow_start.admissible_rate(node.now, server) == rates[lines]
        server.pending_setups[2] = node.now
        node.ended(2, 10, AttemptOutcome.TIMED_OUT, elapsed_s=3.0)  # once read as an answer in no time at all
        assert node.core.parts.slow_start.admissible_rate(node.now, server) <= rates[lines]
    assert rates[1000] > 5 * rates[100] > 0


def test_all_nodes_together_keep_to_the_size_of_a_small_cold_server(make_node):
    """Found on amman-later big-2: paced by what the largest server bore, a small one was pushed over."""
    settings, kept = replace(SETTINGS, instance_count=240), []
    for lines in (200, 2000):
        sent = 0
        for seed in range(240):
            node = make_node(settings=replace(settings, instance_index=seed), seed=seed)
            node.tell(LoadReported(11, LoadReport(free_lines=200, total_lines=2000)))
            node.tell(LoadReported(10, LoadReport(free_lines=lines / 10, total_lines=lines)))
            node.list_servers(EndpointRecord(10, 0, started_at=node.now), complete=False)
            node.tell(LoadReported(10, LoadReport(free_lines=lines, total_lines=lines)))
            for _ in range(15):
                sent += sum(act.server_id == 10 for act in sends(node.ring(0.1) + node.offer(choice=0)))
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
        node.ended(
            call, 10, AttemptOutcome.COMPLETED, True, report=LoadReport(free_lines=800, total_lines=1000)
        )
    node.now += 10.0
    node.list_servers(EndpointRecord(10, 0, started_at=node.now), complete=False)
    server = node.core.endpoints[10]
    fresh = make_node(servers=1)
    assert node.core.parts.slow_start.admissible_rate(
        node.now, server
    ) > 3 * fresh.core.parts.slow_start.admissible_rate(node.now, fresh.core.endpoints[10])
    assert (
        0
        < node.core.parts.slow_start.warm_rate(node.now + 30, server)
        < node.core.parts.slow_start.warm_rate(node.now, server)
    )


def test_notes_are_one_line_for_each_change_and_no_more(make_node):
    node = make_node()
    todo = sends(node.offer(choice=0))
    for _ in range(100):
        todo += sends(node.ring(0.05))
        while todo:
            act = todo.pop()
            todo += sends(
                node.ended(act.call_id, act.server_id, AttemptOutcome.REJECTED) if act.server_id == 10 else []
            )
        todo += sends(node.offer(choice=0))
    notes = [a.text for a in node.done if isinstance(a, LogMessage)]
    assert notes == ["server 10 ejected: rejected"]


def test_thousands_of_calls_at_once_are_looked_through_once(make_node):
    """Found by the bench's long batches: each event looked all waiting calls through."""
    node = make_node()
    core, looks = node.core, []
    balancer, choose = core.parts.load_balancer, core.parts.load_balancer.choose
    balancer.choose = lambda *args: looks.append(1) or choose(*args)
    for _ in range(2000):
        node.offer()
    assert len(core.pending) > 1000
    assert len(looks) < 3 * 2000


def test_calls_that_wait_in_vain_are_not_looked_at_each_time(make_node):
    """Found on a calm day whose callers were refused by thousands: every instant looked all waiting calls
    through, for each server anew, and took a third of the core.
    """
    node = make_node()
    core, looks = node.core, []
    few = LoadReport(free_lines=1, total_lines=100)  # kept for the calls worth most
    for server in (10, 11):
        node.tell(LoadReported(server, few))
    for _ in range(500):
        node.offer()
    balancer, choose = core.parts.load_balancer, core.parts.load_balancer.choose
    balancer.choose = lambda *args: looks.append(1) or choose(*args)
    waiting = len(core.pending)
    for _ in range(10):
        node.ring(0.01)
    assert len(core.pending) == waiting > 400 and not looks
    node.ring(1.2)
    assert not core.pending and len(finals(node.done)) == 500  # each is refused when its time is over


def test_reports_of_a_long_wait_cut_the_part_of_a_node_that_sends_seldom(make_node):
    """Found on bangkok-later big-2: own answers came too seldom to slow down for."""
    node = make_node(settings=replace(SETTINGS, instance_count=250))
    server = node.core.endpoints[10]
    before = server.concurrency_limit
    node.pressed(10, 2.0)
    once = server.concurrency_limit
    node.pressed(10, 2.0)
    assert before * 0.2 < once == server.concurrency_limit < before  # one cut a wait
    server.tokens = 0.0
    for _ in range(40):
        node.now += 0.5
        node.pressed(10, 0.0)
        server.tokens = min(server.tokens, 0.5)
    assert server.concurrency_limit > before


def test_a_report_of_a_short_wait_overtakes_a_lost_set_up(make_node):
    """Found on bangkok-later rough-1: an answer that never came cut the node's part as a slow one would."""
    kept = []
    for report in (LoadReport(processor_wait_s=0.01), LoadReport()):
        node = make_node(settings=replace(SETTINGS, instance_count=250))
        node.offer(choice=0)
        node.now += 2.0
        node.ended(900, 10, AttemptOutcome.COMPLETED, True, report=report)
        node.now += 1.0
        node.ended(1, 10, AttemptOutcome.TIMED_OUT, elapsed_s=3.0)
        kept.append(node.core.endpoints[10].concurrency_limit)
    assert kept[0] > kept[1]


def test_what_was_saved_up_is_lost_at_a_cut(make_node):
    """Found on bangkok-later big-2: 220 nodes' saved set-ups were six seconds of work for a slowed server."""
    saved = 0.0
    for seed in range(50):
        node = make_node(settings=replace(SETTINGS, instance_count=250), seed=seed)
        node.pressed(10, 2.0)
        saved += node.core.endpoints[10].tokens
    assert saved < 50


def test_a_reported_wait_of_minutes_does_not_put_off_the_next_cut(make_node):
    """Found on purbachal-later big-2: an ageing server told of 100 s, and nodes cut but once in that time."""
    node = make_node(settings=replace(SETTINGS, instance_count=250))
    node.pressed(10, 100.0)
    once = node.core.endpoints[10].concurrency_limit
    node.now += 1.0
    node.pressed(10, 100.0)
    assert node.core.endpoints[10].concurrency_limit < once


def test_where_answers_are_lost_a_set_up_is_given_up_in_time_for_another(make_node):
    """Found on bangkok-later rough-2: each lost answer cost its call the aim, at servers that were quick."""
    node = make_node(servers=1)
    assert sends(node.offer())[0].timeout_s == 0.0  # until the caller gives up
    node.now += 2.0
    node.ended(
        900, 10, AttemptOutcome.COMPLETED, True, report=LoadReport(processor_wait_s=0.0)
    )  # overtakes it
    timeout = sends(node.offer())[0].timeout_s
    kind = SETTINGS.classes[0]
    assert 0 < timeout < kind.latency_objective_s - SETTINGS.safety.retry_pause_s
    window = node.core.endpoints[10].concurrency_limit
    node.now += timeout
    node.ended(2, 10, AttemptOutcome.TIMED_OUT, elapsed_s=timeout)
    assert node.core.endpoints[10].concurrency_limit == window  # it tells of loss, not of a long wait
    node.pressed(10, 1.0)
    node.now += SETTINGS.safety.retry_pause_s + 0.1
    assert all(act.timeout_s == 0.0 for act in sends(node.ring()))  # not at a pressed server


def test_a_cold_server_is_not_paced_by_a_small_one_that_happens_to_be_idle(make_node):
    """Found in incident i9eafb5: the middle use of two servers' lines was the small one's."""
    node = make_node(servers=3)
    node.tell(LoadReported(10, LoadReport(free_lines=100, total_lines=1000)))
    node.tell(LoadReported(11, LoadReport(free_lines=80, total_lines=100)))
    node.list_servers(EndpointRecord(10, 0, Availability.DRAINING), complete=False)
    node.now += 2.0
    node.list_servers(EndpointRecord(12, 0, started_at=node.now), complete=False)
    server = node.core.endpoints[12]
    node.tell(LoadReported(12, LoadReport(free_lines=1000, total_lines=1000)))
    assert (
        node.core.parts.slow_start.warm_rate(node.now, server)
        > 0.7 * 900 / node.core.parts.durations.expected.mean
    )
