"""The five safety rules, and how a call's life ends."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from stairhatch.overload.actions import FailCall, RejectCall
from stairhatch.overload.events import (
    AttemptOutcome,
    Availability,
    CallAbandoned,
    EndpointRecord,
    LoadReport,
    LoadReported,
    PeerMessageReceived,
    TimerExpired,
)

from .support.access_node import SETTINGS, final_answers, setups


def expire_timers(node, seconds, step=0.02):
    """Have the timer expire for so long and collect the actions."""
    found = []
    for _ in range(int(seconds / step)):
        found += node.expire_timer(step)
    return found


def test_no_server_known_ends_in_one_answer_in_time(make_node):
    node = make_node(servers=0)
    assert not final_answers(node.offer(caller_timeout_s=3.0))
    assert len(final_answers(expire_timers(node, 2.99))) == 1
    assert not node.controller.calls
    assert not node.controller.pending


@pytest.mark.parametrize("outcome", [each for each in AttemptOutcome if each is not AttemptOutcome.COMPLETED])
def test_attempts_used_up_end_in_one_answer(make_node, outcome):
    node = make_node(servers=2)
    out = setups(node.offer(caller_timeout_s=3.0))
    answers, count = [], len(out)
    for _ in range(150):
        acts = node.expire_timer(0.02)
        if out:
            acts = node.attempt_ended(out.pop().call_id, 10, outcome) + acts
        out += setups(acts)
        count += len(setups(acts))
        answers += final_answers(acts)
    assert len(answers) == 1
    assert count <= SETTINGS.max_attempts
    assert not node.controller.calls


def test_time_out_at_the_deadline_is_answered_at_once(make_node):
    node = make_node()
    assert setups(node.offer(caller_timeout_s=3.0))
    node.now += 3.0
    assert len(final_answers(node.attempt_ended(1, 10, AttemptOutcome.TIMED_OUT))) == 1


def test_a_call_with_no_time_left_is_answered_in_the_same_instant(make_node):
    """Calls that a stalled node finds late, all in one batch, are answered at once."""
    node = make_node(servers=0)
    node.offer(caller_timeout_s=3.0)
    assert len(final_answers(node.offer(caller_timeout_s=0.0))) == 1


def test_nothing_is_sent_after_the_caller_abandoned_the_call(make_node):
    node = make_node(servers=0)
    node.offer()
    node.handle(CallAbandoned(1))
    node.update_endpoints(EndpointRecord(10, 0))
    assert not setups(expire_timers(node, 1.0))


def test_one_attempt_at_a_time(make_node):
    node = make_node()
    assert len(setups(node.offer())) == 1
    assert not setups(expire_timers(node, 2.5))


@pytest.mark.parametrize("availability", [Availability.DRAINING, Availability.GONE])
def test_draining_and_gone_servers_get_nothing_at_once(make_node, availability):
    node = make_node()
    node.update_endpoints(EndpointRecord(10, 0, availability), complete=False)
    for _ in range(5):
        assert all(s.server_id == 11 for s in setups(node.offer(preferred_number=0)))


def test_a_server_missing_from_the_complete_list_is_gone(make_node):
    node = make_node()
    node.update_endpoints(EndpointRecord(11, 1))
    assert [s.server_id for s in setups(node.offer(preferred_number=0))] == [11]
    node.now += 60.0
    node.update_endpoints(EndpointRecord(11, 1))
    assert 10 not in node.controller.endpoints


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED]
)
def test_the_retry_pause_is_kept_after_an_unclear_outcome(make_node, outcome):
    node = make_node()
    node.offer()
    node.attempt_ended(1, 10, outcome)
    ended_at = node.now
    again = []
    while not again:
        again = setups(node.expire_timer(0.02))
    assert node.now - ended_at >= SETTINGS.safety.retry_pause_s


def test_a_rejected_setup_goes_elsewhere_without_a_pause(make_node):
    node = make_node()
    node.offer()
    assert [s.server_id for s in setups(node.attempt_ended(1, 10, AttemptOutcome.REJECTED))] == [11]


def test_calls_that_are_not_idempotent_are_not_sent_twice_nor_rejected(make_node):
    classes = (replace(SETTINGS.classes[0], idempotent=False),)
    node = make_node(settings=replace(SETTINGS, classes=classes))
    node.offer()
    assert final_answers(node.attempt_ended(1, 10, AttemptOutcome.RESET)) == [FailCall(1)]


def test_events_of_unknown_calls_and_servers_are_taken_quietly(make_node):
    node = make_node()
    node.attempt_ended(77, 99, AttemptOutcome.COMPLETED, answered=True)
    node.established(77, 99)
    node.handle(CallAbandoned(77))
    node.handle(TimerExpired(99))
    node.handle(LoadReported(99, LoadReport()))
    node.handle(PeerMessageReceived(3, b"?"))
    node.update_endpoints(EndpointRecord(55, 9, Availability.GONE), complete=False)
    assert final_answers(node.offer(class_index=9)) == [FailCall(1)]
    assert setups(node.offer(preferred_number=-1))


def test_the_readme_example_runs():
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    exec(compile(code, "README.md", "exec"), {})


def test_a_rejected_caller_is_told_when_to_retry(make_node):
    """Immediate retries would swell the load behind the throttle. The times are spread, and within bounds."""
    told = set()
    for seed in range(20):
        node = make_node(servers=0, seed=seed, settings=replace(SETTINGS, max_retry_after_s=2.0))
        node.offer(caller_timeout_s=0.0)
        told |= {act.retry_after_s for act in final_answers(node.actions)}
    assert len(told) > 5
    assert all(0 < each <= 2.0 for each in told)
    silent = make_node(
        servers=0, settings=replace(SETTINGS, may_send_retry_after=False, max_retry_after_s=2.0)
    )
    assert final_answers(silent.offer(caller_timeout_s=0.0)) == [RejectCall(1)]
