"""Which servers are left out, and for what: rejections, errors, busy numbers, want of free lines."""

from __future__ import annotations

from stairhatch.overload.actions import FailCall
from stairhatch.overload.events import (
    AttemptOutcome,
    LoadReport,
    LoadReported,
)

from .support.access_node import final_answers, setups


def test_a_server_that_rejects_at_once_does_not_draw_the_calls(make_node):
    """Rejections within 20 ms do not make a full server look the least loaded."""
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
    """A server that answers with errors at once does not pass for the fastest of all."""
    node = make_node()
    for call in (1, 2):
        assert not node.controller.endpoints[10].ejected
        assert [act.server_id for act in setups(node.offer())] == [10]
        assert [act.server_id for act in setups(node.attempt_ended(call, 10, AttemptOutcome.ERROR))] == [11]
        node.established(call, 11)
    assert node.controller.endpoints[10].ejected
    assert not node.controller.endpoints[11].ejected


def test_setups_that_no_server_can_use_eject_none_and_have_two_attempts_at_most(make_node):
    """Errors to the set-ups of bad clients do not eject sound servers."""
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
    """A rush on one busy number neither ejects servers nor holds up calls to other numbers."""
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


def test_the_last_free_lines_are_not_stormed(make_node):
    taken = 0
    for seed in range(100):
        node = make_node(servers=1, seed=seed)
        node.handle(LoadReported(10, LoadReport(free_lines=1, total_lines=100)))
        taken += len(setups(node.offer(class_index=1)))
    assert 5 < taken < 45  # one line among five nodes


def test_the_last_free_lines_are_kept_for_calls_of_greater_weight(make_node):
    """Calls of less weight do not take the lines that those of greater weight then lack."""
    node = make_node(servers=1)
    node.handle(LoadReported(10, LoadReport(free_lines=5, total_lines=100)))
    assert not setups(node.offer(class_index=0))
    assert setups(node.offer(class_index=1))
    node.handle(LoadReported(10, LoadReport(free_lines=50, total_lines=100)))
    assert setups(node.expire_timer(0.02))


def test_want_of_a_line_does_not_eject_a_server(make_node):
    """A rejection for want of a line does not eject a server whose processor is idle."""
    node = make_node(servers=1)
    node.offer(class_index=1)
    node.attempt_ended(1, 10, AttemptOutcome.REJECTED, no_free_line=True)
    assert not setups(node.expire_timer(0.02))
    node.handle(LoadReported(10, LoadReport(free_lines=50, total_lines=100)))
    assert setups(node.expire_timer(0.02))
