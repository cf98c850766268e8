"""The call manager: what it tells the decisions, what it keeps and its timers."""

from __future__ import annotations

import random

import pytest

from stairhatch.node import sip_message as sip
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import TERMINATED_KEPT_S, CallRequest, ServerRecord
from stairhatch.node.counters import Counters
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.readiness import RELEASE_PATH_S
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.overload.actions import SendSetup
from stairhatch.overload.events import Availability, LoadReport, TimerExpired
from stairhatch.settings.parser import settings_from_object

from .support.in_process_node import InProcessNode
from .support.platform_config import SETTINGS
from .support.sip_messages import platform_invite

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


def test_a_fault_in_a_timer_takes_no_other_with_it():
    """Guards against answers that are never given since something else, due in the same 4 ms, went wrong."""
    inside, done = InProcessNode(), []
    inside.core.timers.schedule(inside.now + 0.1, lambda: 1 // 0)
    inside.core.timers.schedule(inside.now + 0.1, lambda: done.append("the answer"))
    inside.run(0.2)
    assert done == ["the answer"]
    assert inside.core.counters.counts["timer_faults"] == 1


def test_timers_that_are_due_together_wake_the_loop_once():
    """Guards against a loop that is woken, and its timer set, for each call anew."""
    inside, woken, rung = InProcessNode(), [], []
    inside.core.timers.on_earlier_due = lambda: woken.append(1)
    for n in range(1000):
        due = 1000.5 + n / 1e6
        inside.core.timers.schedule(due, lambda due=due: rung.append(inside.now >= due))
    assert len(woken) <= 2
    inside.run(0.49)
    assert not rung
    inside.run(0.02)
    assert len(rung) == 1000
    assert all(rung), "none rings before its time"


def test_what_is_kept_of_servers_and_calls_goes_with_them():
    """Guards against memory that grows with each server and call that ever was."""
    now = [1000.0]
    core = CallManager(
        settings_from_object(SETTINGS).settings,
        random.Random(1),
        lambda: now[0],
        lambda *_args, **_fields: None,
        Counters(),
    )
    links = []
    side = ServerConnectionPool(core, links.append)
    front = PlatformFrontend(core)
    connection = front.connect()
    for n in range(200):
        core.update_servers([ServerRecord(f"s-{n}", ("127.0.0.1", 9), 0, Availability.READY)], n == 0)
        connection.receive_data(platform_invite(f"{n:016x}", call_kind="read-roster"))
        connection.receive_data(sip.request(f"MADE{n}", "sip:x@net", [], b"") if n < 7 else b"")
        core.update_servers([ServerRecord(f"s-{n}", ("127.0.0.1", 9), 0, Availability.GONE)], False)
        for link in [link for link in links if link.can_close()]:
            links.remove(link)
            side.remove(link)  # as the driver does when a link has ended
        now[0] += 5
        core.timers.run_due()
    assert not core.servers.by_id
    assert not core.servers.by_instance
    assert not side.active
    assert not core.calls.by_number
    assert not front.registry.calls
    assert not core.calls.by_ident
    assert len(core.calls._terminated) <= TERMINATED_KEPT_S / 5 + 1  # noqa: SLF001  # nothing public tells
    assert len(core.controller.endpoints) <= 10
    assert len(core.timers._slots) <= 10  # noqa: SLF001  # nothing public tells its size
    assert not any("MADE" in name for name in core.counters.counts)
