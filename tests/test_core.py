"""What the core tells the decisions, and what it does where they ask for the impossible."""

from __future__ import annotations

import pytest

from stairhatch.node.call_manager import HOLD_S
from stairhatch.node.calls import CallRequest
from stairhatch.overload.actions import SendSetup
from stairhatch.overload.events import LoadReport, TimerExpired

from .peers import Inside

IDENT = "00000000000c0001"


class Told:
    """A caller that keeps what it is told."""

    def __init__(self):
        self.said = []

    def progressing(self):
        self.said.append("rang")

    def established(self, description):
        self.said.append("stood")

    def rejected(self, return_s):
        self.said.append("refused")

    def failed(self, timed_out):
        self.said.append("failed")

    def released(self, cause):
        self.said.append("released")


def offered(inside, patience_s=3.0):
    """A call whose set-up has been written."""
    caller = Told()
    kind = inside.settings.classes[0]
    call = inside.core.offer(CallRequest(IDENT, kind, "1000", "d", patience_s), caller)
    assert len(inside.written) == 1
    return call, caller


ENDINGS = {
    "stands": lambda inside, call: inside.stand(),
    "given up": lambda inside, call: inside.core.caller_left(call),
    "the process ends": lambda inside, call: inside.core.answer_all(),
    "over before it was heard": lambda inside, call: inside.core.finished(
        inside.core.servers[1], IDENT, 16, "", LoadReport()
    ),
    "its time is up": lambda inside, call: inside.run(3.5),
}


@pytest.mark.parametrize("how", sorted(ENDINGS))
def test_the_decisions_hear_of_each_end_and_the_caller_of_one(how):
    """Guards against set-ups that the decisions take to be open for good: they hold their window shut, and a
    call that they still know may be sent again.
    """
    inside = Inside()
    call, caller = offered(inside)
    decided = inside.core.controller
    assert decided.calls and decided.servers[1].unanswered
    ENDINGS[how](inside, call)
    assert not decided.calls and not decided.waiting and not decided.servers[1].unanswered
    assert len(caller.said) == (how != "given up")
    inside.run(20.0)
    assert len(inside.written) == 1 and len(caller.said) == (how != "given up")
    assert inside.finishes == ([] if how in ("stands", "over before it was heard") else [(IDENT, 16)])


def test_a_set_up_at_a_server_that_is_not_known_is_over_at_once():
    """Guards against a call that hangs until its caller's time is up since its attempt never was one."""
    inside = Inside()
    call, caller = offered(inside)
    inside.core.finished(
        inside.core.servers[1], IDENT, 34, "", LoadReport()
    )  # full: it is held for another try
    inside.core.controller.wait_no_more(call.number)
    inside.core._act(SendSetup(call.number, 99))
    assert inside.core.counters.counts["guards"] == 1
    inside.core._tell(TimerExpired(1))  # the next event, whatever it is
    assert call.number in inside.core.controller.waiting, "the decisions have not heard that it never left"
    inside.run(3.5)
    assert len(caller.said) == 1


def test_a_drain_keeps_a_way_for_the_ends_of_calls_and_not_for_ever():
    """Guards against ends that find no connection, and against a softswitch that never empties."""
    inside = Inside()
    offered(inside)
    inside.stand()
    assert not inside.core.holds()
    inside.core.drain(True)
    inside.run(HOLD_S - 0.1)
    assert inside.core.holds()
    inside.run(0.2)
    assert not inside.core.holds()
    inside.core.drain(False)
    inside.core.drain(True)
    assert inside.core.holds()
    inside.core.finished(inside.core.servers[1], IDENT, 16, "", LoadReport())
    assert not inside.core.holds(), "no call stands"
