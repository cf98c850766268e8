"""What the call manager tells the decisions, and what it does where they ask for the impossible."""

from __future__ import annotations

import pytest

from stairhatch.node.calls import CallRequest
from stairhatch.node.readiness import RELEASE_PATH_S
from stairhatch.overload.actions import SendSetup
from stairhatch.overload.events import LoadReport, TimerExpired

from .support.in_process_node import InProcessNode

IDENT = "00000000000c0001"


class RecordingSession:
    """A caller that keeps what it is told."""

    def __init__(self):
        self.events = []

    def progressing(self):
        self.events.append("progressing")

    def established(self, _description):
        self.events.append("established")

    def rejected(self, _retry_after_s):
        self.events.append("rejected")

    def failed(self, timed_out):
        self.events.append("timed out" if timed_out else "failed")

    def released(self, _cause):
        self.events.append("released")


def offered(inside, caller_timeout_s=3.0):
    """A call whose set-up has been written."""
    caller = RecordingSession()
    kind = inside.settings.classes[0]
    call = inside.core.offer_call(CallRequest(IDENT, kind, "1000", "d", caller_timeout_s), caller)
    assert len(inside.written) == 1
    return call, caller


ENDINGS = {
    "established": lambda inside, _call: inside.establish(),
    "abandoned": lambda inside, call: inside.core.abandon(call),
    "the process ends": lambda inside, _call: inside.core.answer_pending(),
    "over before it was heard": lambda inside, _call: inside.core.responses.call_released(
        inside.core.servers.by_id[1], IDENT, 16, "", LoadReport()
    ),
    "its time is up": lambda inside, _call: inside.run(3.5),
}


@pytest.mark.parametrize("how", sorted(ENDINGS))
def test_the_decisions_hear_of_each_end_and_the_caller_of_one_answer(how):
    """Guards against set-ups that the decisions take to be open for good: they hold their window shut, and a
    call that they still know may be sent again.
    """
    inside = InProcessNode()
    call, caller = offered(inside)
    decided = inside.core.controller
    assert decided.calls
    assert decided.endpoints[1].pending_setups
    ENDINGS[how](inside, call)
    assert not decided.calls
    assert not decided.pending
    assert not decided.endpoints[1].pending_setups
    assert len(caller.events) == (how != "abandoned")
    inside.run(20.0)
    assert len(inside.written) == 1
    assert len(caller.events) == (how != "abandoned")
    assert inside.releases == ([] if how in ("established", "over before it was heard") else [(IDENT, 16)])


def test_an_attempt_at_an_unknown_server_ends_at_once():
    """Guards against a call that hangs until its caller's time is up since its attempt never was one."""
    inside = InProcessNode()
    call, caller = offered(inside)
    inside.core.responses.call_released(
        inside.core.servers.by_id[1], IDENT, 34, "", LoadReport()
    )  # full: it is held for another try
    inside.core.controller.pending.remove(call.number)
    inside.core.attempts.start(SendSetup(call.number, 99))
    assert inside.core.counters.counts["rule_violations"] == 1
    inside.core.dispatcher.dispatch(TimerExpired(1))  # the next event, whatever it is
    assert call.number in inside.core.controller.pending, "the decisions have not heard that it never left"
    inside.run(3.5)
    assert len(caller.events) == 1


def test_a_drain_keeps_a_path_for_releases_and_not_for_ever():
    """Guards against ends that find no connection, and against a softswitch that never empties."""
    inside = InProcessNode()
    offered(inside)
    inside.establish()
    assert not inside.core.readiness.keeps_release_path()
    inside.core.readiness.drain(True)
    inside.run(RELEASE_PATH_S - 0.1)
    assert inside.core.readiness.keeps_release_path()
    inside.run(0.2)
    assert not inside.core.readiness.keeps_release_path()
    inside.core.readiness.drain(False)
    inside.core.readiness.drain(True)
    assert inside.core.readiness.keeps_release_path()
    inside.core.responses.call_released(inside.core.servers.by_id[1], IDENT, 16, "", LoadReport())
    assert not inside.core.readiness.keeps_release_path(), "no call is established"
