"""Tests of the overload control: the five safety rules, and the final answer of each call."""

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
    """Let the timer expire every `step` seconds for `seconds`, and return all actions."""
    actions = []
    for _ in range(int(seconds / step)):
        actions += node.expire_timer(step)
    return actions


def test_without_servers_a_call_gets_one_answer_in_time(make_node):
    node = make_node(servers=0)
    assert not final_answers(node.offer(caller_timeout_s=3.0))
    assert len(final_answers(expire_timers(node, 2.99))) == 1
    assert not node.controller.calls
    assert not node.controller.pending


@pytest.mark.parametrize("outcome", [each for each in AttemptOutcome if each is not AttemptOutcome.COMPLETED])
def test_a_call_at_its_maximum_of_attempts_gets_one_answer(make_node, outcome):
    node = make_node(servers=2)
    in_progress = setups(node.offer(caller_timeout_s=3.0))
    answers, count = [], len(in_progress)
    for _ in range(150):
        actions = node.expire_timer(0.02)
        if in_progress:
            actions = node.attempt_ended(in_progress.pop().call_id, 10, outcome) + actions
        in_progress += setups(actions)
        count += len(setups(actions))
        answers += final_answers(actions)
    assert len(answers) == 1
    assert count <= SETTINGS.max_attempts
    assert not node.controller.calls


def test_a_time_out_at_the_deadline_is_answered_immediately(make_node):
    node = make_node()
    assert setups(node.offer(caller_timeout_s=3.0))
    node.now += 3.0
    assert len(final_answers(node.attempt_ended(1, 10, AttemptOutcome.TIMED_OUT))) == 1


def test_a_call_past_its_deadline_is_answered_immediately(make_node):
    """Guards against a further delay of calls that a stalled node processes after their deadline."""
    node = make_node(servers=0)
    node.offer(caller_timeout_s=3.0)
    assert len(final_answers(node.offer(caller_timeout_s=0.0))) == 1


def test_no_setup_is_sent_for_an_abandoned_call(make_node):
    node = make_node(servers=0)
    node.offer()
    node.handle(CallAbandoned(1))
    node.update_endpoints(EndpointRecord(10, 0))
    assert not setups(expire_timers(node, 1.0))


def test_a_call_has_one_attempt_at_a_time(make_node):
    node = make_node()
    assert len(setups(node.offer())) == 1
    assert not setups(expire_timers(node, 2.5))


@pytest.mark.parametrize("availability", [Availability.DRAINING, Availability.GONE])
def test_draining_and_gone_servers_get_no_setups(make_node, availability):
    node = make_node()
    node.update_endpoints(EndpointRecord(10, 0, availability), complete=False)
    for _ in range(5):
        assert all(setup.server_id == 11 for setup in setups(node.offer(preferred_number=0)))


def test_a_server_missing_from_the_complete_list_is_gone(make_node):
    node = make_node()
    node.update_endpoints(EndpointRecord(11, 1))
    assert [setup.server_id for setup in setups(node.offer(preferred_number=0))] == [11]
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
    retries = []
    while not retries:
        retries = setups(node.expire_timer(0.02))
    assert node.now - ended_at >= SETTINGS.safety.retry_pause_s


def test_a_rejected_setup_is_retried_elsewhere_without_a_pause(make_node):
    node = make_node()
    node.offer()
    assert [setup.server_id for setup in setups(node.attempt_ended(1, 10, AttemptOutcome.REJECTED))] == [11]


def test_a_call_that_is_not_idempotent_is_failed_after_an_attempt(make_node):
    classes = (replace(SETTINGS.classes[0], idempotent=False),)
    node = make_node(settings=replace(SETTINGS, classes=classes))
    node.offer()
    assert final_answers(node.attempt_ended(1, 10, AttemptOutcome.RESET)) == [FailCall(1)]


def test_events_of_unknown_calls_and_servers_are_ignored(make_node):
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


def test_a_rejection_contains_a_random_retry_after(make_node):
    """Retry-After values differ between callers and are within bounds; none is sent if settings forbid it.

    Simultaneous immediate retries would add load while the softswitch rejects calls.
    """
    retry_times = set()
    for seed in range(20):
        node = make_node(servers=0, seed=seed, settings=replace(SETTINGS, max_retry_after_s=2.0))
        node.offer(caller_timeout_s=0.0)
        retry_times |= {action.retry_after_s for action in final_answers(node.actions)}
    assert len(retry_times) > 5
    assert all(0 < each <= 2.0 for each in retry_times)
    silent_node = make_node(
        servers=0, settings=replace(SETTINGS, may_send_retry_after=False, max_retry_after_s=2.0)
    )
    assert final_answers(silent_node.offer(caller_timeout_s=0.0)) == [RejectCall(1)]
