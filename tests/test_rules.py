"""The five rules, and the ends of a call's life."""

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

from .conftest import SETTINGS, finals, sends


def run_out(node, seconds, step=0.02):
    """Ring the timer for so long and collect the actions."""
    found = []
    for _ in range(int(seconds / step)):
        found += node.ring(step)
    return found


def test_no_server_known_ends_in_one_answer_in_time(make_node):
    node = make_node(servers=0)
    assert not finals(node.offer(grace_s=3.0))
    assert len(finals(run_out(node, 2.99))) == 1
    assert not node.core.calls and not node.core.pending


@pytest.mark.parametrize("ending", [e for e in AttemptOutcome if e is not AttemptOutcome.COMPLETED])
def test_attempts_used_up_end_in_one_answer(make_node, ending):
    node = make_node(servers=2)
    out = sends(node.offer(grace_s=3.0))
    answers, count = [], len(out)
    for _ in range(150):
        acts = node.ring(0.02)
        if out:
            acts = node.ended(out.pop().call_id, 10, ending) + acts
        out += sends(acts)
        count += len(sends(acts))
        answers += finals(acts)
    assert len(answers) == 1
    assert count <= SETTINGS.max_attempts
    assert not node.core.calls


def test_time_out_at_the_deadline_is_answered_at_once(make_node):
    node = make_node()
    assert sends(node.offer(grace_s=3.0))
    node.now += 3.0
    assert len(finals(node.ended(1, 10, AttemptOutcome.TIMED_OUT))) == 1


def test_a_call_with_no_time_left_is_answered_in_the_same_instant(make_node):
    """Found on a day of stalling nodes (and in incident i5e8f99): calls found late, all in one batch."""
    node = make_node(servers=0)
    node.offer(grace_s=3.0)
    assert len(finals(node.offer(grace_s=0.0))) == 1


def test_nothing_is_sent_after_the_caller_left(make_node):
    node = make_node(servers=0)
    node.offer()
    node.tell(CallAbandoned(1))
    node.list_servers(EndpointRecord(10, 0))
    assert not sends(run_out(node, 1.0))


def test_one_attempt_at_a_time(make_node):
    node = make_node()
    assert len(sends(node.offer())) == 1
    assert not sends(run_out(node, 2.5))


@pytest.mark.parametrize("standing", [Availability.DRAINING, Availability.GONE])
def test_drains_are_kept_at_once(make_node, standing):
    node = make_node()
    node.list_servers(EndpointRecord(10, 0, standing), complete=False)
    for _ in range(5):
        assert all(s.server_id == 11 for s in sends(node.offer(choice=0)))


def test_a_server_missing_from_the_full_list_is_gone(make_node):
    node = make_node()
    node.list_servers(EndpointRecord(11, 1))
    assert [s.server_id for s in sends(node.offer(choice=0))] == [11]
    node.now += 60.0
    node.list_servers(EndpointRecord(11, 1))
    assert 10 not in node.core.endpoints


@pytest.mark.parametrize("ending", [AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED])
def test_the_release_is_awaited(make_node, ending):
    node = make_node()
    node.offer()
    node.ended(1, 10, ending)
    ended = node.now
    again = []
    while not again:
        again = sends(node.ring(0.02))
    assert node.now - ended >= SETTINGS.safety.retry_pause_s


def test_refused_set_up_goes_elsewhere_without_a_wait(make_node):
    node = make_node()
    node.offer()
    assert [s.server_id for s in sends(node.ended(1, 10, AttemptOutcome.REJECTED))] == [11]


def test_unrepeatable_calls_are_not_sent_twice_nor_refused(make_node):
    kinds = (replace(SETTINGS.classes[0], idempotent=False),)
    node = make_node(settings=replace(SETTINGS, classes=kinds))
    node.offer()
    assert finals(node.ended(1, 10, AttemptOutcome.RESET)) == [FailCall(1)]


def test_odd_but_legal_events_are_taken_quietly(make_node):
    node = make_node()
    node.ended(77, 99, AttemptOutcome.COMPLETED, answered=True)
    node.stood(77, 99)
    node.tell(CallAbandoned(77))
    node.tell(TimerExpired(99))
    node.tell(LoadReported(99, LoadReport()))
    node.tell(PeerMessageReceived(3, b"?"))
    node.list_servers(EndpointRecord(55, 9, Availability.GONE), complete=False)
    assert finals(node.offer(kind=9)) == [FailCall(1)]
    assert sends(node.offer(choice=-1))


def test_the_readme_example_runs():
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    exec(compile(code, "README.md", "exec"), {})


def test_a_refused_caller_is_told_when_to_come_back(make_node):
    """Guards against redials at once, which swell the load behind the throttle; spread, and within bounds."""
    told = set()
    for seed in range(20):
        node = make_node(servers=0, seed=seed, settings=replace(SETTINGS, max_retry_after_s=2.0))
        node.offer(grace_s=0.0)
        told |= {act.retry_after_s for act in finals(node.done)}
    assert len(told) > 5 and all(0 < each <= 2.0 for each in told)
    silent = make_node(
        servers=0, settings=replace(SETTINGS, may_send_retry_after=False, max_retry_after_s=2.0)
    )
    assert finals(silent.offer(grace_s=0.0)) == [RejectCall(1)]
