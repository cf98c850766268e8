"""Tests of ejection: rejections and errors eject a server; busy numbers and a lack of free lines do not."""

from __future__ import annotations

from stairhatch.overload.actions import FailCall
from stairhatch.overload.events import (
    AttemptOutcome,
    LoadReport,
    LoadReported,
)

from .support.access_node import final_answers, setups


def test_a_server_that_rejects_quickly_does_not_attract_calls(make_node):
    """Rejections within 20 ms must not make a full server appear to be the least loaded."""
    node = make_node()
    rejected = 0
    for _ in range(100):
        node.now += 0.02
        sent = setups(node.offer(preferred_number=0))
        while sent:
            act = sent.pop()
            if act.server_id == 10:
                rejected += 1
                sent += setups(node.attempt_ended(act.call_id, 10, AttemptOutcome.REJECTED))
            else:
                node.established(act.call_id, 11)
    assert rejected <= 4


def test_a_server_is_ejected_after_two_errors_to_calls_established_elsewhere(make_node):
    """A server that quickly answers with errors must not count as the fastest. One error doesn't eject it."""
    node = make_node()
    for call in (1, 2):
        assert not node.controller.endpoints[10].ejected
        assert [act.server_id for act in setups(node.offer())] == [10]
        assert [act.server_id for act in setups(node.attempt_ended(call, 10, AttemptOutcome.ERROR))] == [11]
        node.established(call, 11)
    assert node.controller.endpoints[10].ejected
    assert not node.controller.endpoints[11].ejected


def test_a_setup_that_fails_at_each_server_ejects_none_and_has_two_attempts(make_node):
    """Errors to faulty set-ups of a client must not eject sound servers."""
    node = make_node()
    for call in range(1, 20):
        (first,) = setups(node.offer())
        (second,) = setups(node.attempt_ended(call, first.server_id, AttemptOutcome.ERROR))
        assert second.server_id != first.server_id
        assert final_answers(node.attempt_ended(call, second.server_id, AttemptOutcome.ERROR)) == [
            FailCall(call)
        ]
    assert not any(server.ejected for server in node.controller.endpoints.values())


def test_a_busy_number_gets_only_trial_calls_and_other_numbers_are_unaffected(make_node):
    """Many calls to one busy number must neither eject servers nor delay calls to other numbers."""
    node = make_node()
    trial_calls = 0
    for _ in range(100):
        node.now += 0.05
        for act in setups(node.offer(called_number=7)):
            trial_calls += 1
            assert final_answers(
                node.attempt_ended(act.call_id, act.server_id, AttemptOutcome.ERROR, destination_busy=True)
            )
    assert trial_calls <= 5
    assert not node.controller.endpoints[10].ejected
    assert setups(node.offer(called_number=8))
    for _ in range(3000):  # the backoff ends once calls to the number are established again
        node.now += 0.05
        for act in setups(node.offer(called_number=7)):
            node.established(act.call_id, act.server_id)
    assert not node.controller.parts.backoffs.by_number


def test_not_all_nodes_send_to_the_last_free_line(make_node):
    sent = 0
    for seed in range(100):
        node = make_node(servers=1, seed=seed)
        node.handle(LoadReported(10, LoadReport(free_lines=1, total_lines=100)))
        sent += len(setups(node.offer(class_index=1)))
    assert 5 < sent < 45  # five nodes share one free line


def test_the_last_free_lines_are_reserved_for_calls_of_greater_weight(make_node):
    """Calls of less weight must not use the last lines, which calls of greater weight need."""
    node = make_node(servers=1)
    node.handle(LoadReported(10, LoadReport(free_lines=5, total_lines=100)))
    assert not setups(node.offer(class_index=0))
    assert setups(node.offer(class_index=1))
    node.handle(LoadReported(10, LoadReport(free_lines=50, total_lines=100)))
    assert setups(node.expire_timer(0.02))


def test_a_rejection_for_lack_of_a_free_line_does_not_eject_a_server(make_node):
    """The server's processor may be idle, so it must be used again once a load report shows free lines."""
    node = make_node(servers=1)
    node.offer(class_index=1)
    node.attempt_ended(1, 10, AttemptOutcome.REJECTED, no_free_line=True)
    assert not setups(node.expire_timer(0.02))
    node.handle(LoadReported(10, LoadReport(free_lines=50, total_lines=100)))
    assert setups(node.expire_timer(0.02))
