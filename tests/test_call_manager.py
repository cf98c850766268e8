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
from .support.recording_session import RecordingSession
from .support.sip_messages import platform_invite

IDENT = "00000000000c0001"


def offer_call(node, caller_timeout_s=3.0):
    """A call whose set-up has been written."""
    caller = RecordingSession()
    kind = node.settings.classes[0]
    call = node.core.offer_call(CallRequest(IDENT, kind, "1000", "d", caller_timeout_s), caller)
    assert len(node.written) == 1
    return call, caller


ENDINGS = {
    "established": lambda node, _call: node.establish(),
    "abandoned": lambda node, call: node.core.abandon(call),
    "the process ends": lambda node, _call: node.core.answer_pending(),
    "over before it was heard": lambda node, _call: node.core.responses.call_released(
        node.core.servers.by_id[1], IDENT, 16, "", LoadReport()
    ),
    "its time is up": lambda node, _call: node.run(3.5),
}


@pytest.mark.parametrize("how", sorted(ENDINGS))
def test_the_decisions_are_told_each_call_end_and_the_caller_one_answer(how):
    """No set-up stays pending in the decisions, where it would hold their concurrency limit, and no call that
    is over is retried.
    """
    node = InProcessNode()
    call, caller = offer_call(node)
    decided = node.core.controller
    assert decided.calls
    assert decided.endpoints[1].pending_setups
    ENDINGS[how](node, call)
    assert not decided.calls
    assert not decided.pending
    assert not decided.endpoints[1].pending_setups
    assert len(caller.events) == (how != "abandoned")
    node.run(20.0)
    assert len(node.written) == 1
    assert len(caller.events) == (how != "abandoned")
    assert node.releases == ([] if how in ("established", "over before it was heard") else [(IDENT, 16)])


def test_an_attempt_at_an_unknown_server_ends_at_once():
    """A call whose attempt never was one does not hang until its caller's time is up."""
    node = InProcessNode()
    call, caller = offer_call(node)
    node.core.responses.call_released(
        node.core.servers.by_id[1], IDENT, 34, "", LoadReport()
    )  # full: it is held for another try
    node.core.controller.pending.remove(call.number)
    node.core.attempts.start(SendSetup(call.number, 99))
    assert node.core.counters.counts["rule_violations"] == 1
    node.core.dispatcher.dispatch(TimerExpired(1))  # the next event, whatever it is
    assert call.number in node.core.controller.pending, "the decisions have not heard that it never left"
    node.run(3.5)
    assert len(caller.events) == 1


def test_a_drain_keeps_a_connection_for_releases_and_not_for_good():
    """Releases find a connection during a drain, and the softswitch empties all the same."""
    node = InProcessNode()
    offer_call(node)
    node.establish()
    assert not node.core.readiness.keeps_release_path()
    node.core.readiness.drain(True)
    node.run(RELEASE_PATH_S - 0.1)
    assert node.core.readiness.keeps_release_path()
    node.run(0.2)
    assert not node.core.readiness.keeps_release_path()
    node.core.readiness.drain(False)
    node.core.readiness.drain(True)
    assert node.core.readiness.keeps_release_path()
    node.core.responses.call_released(node.core.servers.by_id[1], IDENT, 16, "", LoadReport())
    assert not node.core.readiness.keeps_release_path(), "no call is established"


def test_an_exception_in_a_timer_leaves_the_others_due_with_it():
    """Answers are given though something else, due in the same 4 ms, went wrong."""
    node, done = InProcessNode(), []
    node.core.timers.schedule(node.now + 0.1, lambda: 1 // 0)
    node.core.timers.schedule(node.now + 0.1, lambda: done.append("the answer"))
    node.run(0.2)
    assert done == ["the answer"]
    assert node.core.counters.counts["timer_faults"] == 1


def test_timers_that_are_due_together_wake_the_loop_once():
    """The loop's timer is not set for each call anew."""
    node, woken, rung = InProcessNode(), [], []
    node.core.timers.on_earlier_due = lambda: woken.append(1)
    for n in range(1000):
        due = 1000.5 + n / 1e6
        node.core.timers.schedule(due, lambda due=due: rung.append(node.now >= due))
    assert len(woken) <= 2
    node.run(0.49)
    assert not rung
    node.run(0.02)
    assert len(rung) == 1000
    assert all(rung), "none rings before its time"


def test_no_memory_is_kept_of_servers_and_calls_that_are_gone():
    """Memory does not grow with each server and call that ever was."""
    now = [1000.0]
    core = CallManager(
        settings_from_object(SETTINGS).settings,
        random.Random(1),
        lambda: now[0],
        lambda *_args, **_fields: None,
        Counters(),
    )
    server_connections = []
    pool = ServerConnectionPool(core, server_connections.append)
    frontend = PlatformFrontend(core)
    connection = frontend.connect()
    for n in range(200):
        core.update_servers([ServerRecord(f"s-{n}", ("127.0.0.1", 9), 0, Availability.READY)], n == 0)
        connection.receive_data(platform_invite(f"{n:016x}", call_kind="read-roster"))
        connection.receive_data(sip.request(f"MADE{n}", "sip:x@net", [], b"") if n < 7 else b"")
        core.update_servers([ServerRecord(f"s-{n}", ("127.0.0.1", 9), 0, Availability.GONE)], False)
        for server_connection in [
            server_connection for server_connection in server_connections if server_connection.can_close()
        ]:
            server_connections.remove(server_connection)
            pool.remove(server_connection)  # as the driver does when a connection has ended
        now[0] += 5
        core.timers.run_due()
    assert not core.servers.by_id
    assert not core.servers.by_instance
    assert not pool.active
    assert not core.calls.by_number
    assert not frontend.registry.calls
    assert not core.calls.by_ident
    assert len(core.calls._terminated) <= TERMINATED_KEPT_S / 5 + 1  # noqa: SLF001  # nothing public tells
    assert len(core.controller.endpoints) <= 10
    assert len(core.timers._slots) <= 10  # noqa: SLF001  # nothing public tells its size
    assert not any("MADE" in name for name in core.counters.counts)
