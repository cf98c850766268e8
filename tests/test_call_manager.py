"""Tests of the call manager: events to the overload control, drains, timers and memory of ended calls."""

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
from stairhatch.node.server_responses import CallRelease
from stairhatch.overload.actions import SendSetup
from stairhatch.overload.events import Availability, TimerExpired
from stairhatch.settings.parser import settings_from_object

from .support.in_process_node import InProcessNode
from .support.platform_config import SETTINGS
from .support.recording_session import RecordingSession
from .support.sip_messages import platform_invite

IDENT = "00000000000c0001"


def offer_call(node, caller_timeout_s=3.0):
    """Offer a call, check that its set-up was written, and return the call and its caller session."""
    caller = RecordingSession()
    kind = node.settings.classes[0]
    call = node.call_manager.offer_call(CallRequest(IDENT, kind, "1000", "d", caller_timeout_s), caller)
    assert len(node.written) == 1
    return call, caller


CALL_ENDINGS = {
    "established": lambda node, _call: node.establish(),
    "abandoned": lambda node, call: node.call_manager.abandon(call),
    "the process ends": lambda node, _call: node.call_manager.answer_pending(),
    "released before it was established": lambda node, _call: node.call_manager.responses.call_released(
        node.call_manager.servers.by_id[1], IDENT, CallRelease(16)
    ),
    "its time is up": lambda node, _call: node.run(3.5),
}


@pytest.mark.parametrize("ending", sorted(CALL_ENDINGS))
def test_each_call_end_is_reported_and_answered_at_most_once(ending):
    """Guards against an ended call that stays in the overload control.

    Its set-up would count against the concurrency limit of its server, and the call could be retried.
    """
    node = InProcessNode()
    call, caller = offer_call(node)
    controller = node.call_manager.controller
    assert controller.calls
    assert controller.endpoints[1].pending_setups
    CALL_ENDINGS[ending](node, call)
    assert not controller.calls
    assert not controller.pending
    assert not controller.endpoints[1].pending_setups
    assert len(caller.events) == (ending != "abandoned")
    node.run(20.0)
    assert len(node.written) == 1
    assert len(caller.events) == (ending != "abandoned")
    assert node.releases == (
        [] if ending in ("established", "released before it was established") else [(IDENT, 16)]
    )


def test_an_attempt_at_an_unknown_server_ends_immediately():
    """Guards against a call that waits for its deadline because its attempt was never reported as ended."""
    node = InProcessNode()
    call, caller = offer_call(node)
    node.call_manager.responses.call_released(
        node.call_manager.servers.by_id[1], IDENT, CallRelease(34)
    )  # the server is full: the call is pending for a retry
    node.call_manager.controller.pending.remove(call.number)
    node.call_manager.attempts.start(SendSetup(call.number, 99))
    assert node.call_manager.counters.counts["rule_violations"] == 1
    node.call_manager.dispatcher.dispatch(TimerExpired(1))  # any next event
    assert (
        call.number in node.call_manager.controller.pending
    ), "the NOT_SENT outcome did not make the call pending again"
    node.run(3.5)
    assert len(caller.events) == 1


def test_a_drain_keeps_a_release_path_for_a_limited_time():
    """A drain keeps a connection for releases while calls are established, for `RELEASE_PATH_S` at most."""
    node = InProcessNode()
    offer_call(node)
    node.establish()
    assert not node.call_manager.readiness.keeps_release_path()
    node.call_manager.readiness.drain(True)
    node.run(RELEASE_PATH_S - 0.1)
    assert node.call_manager.readiness.keeps_release_path()
    node.run(0.2)
    assert not node.call_manager.readiness.keeps_release_path()
    node.call_manager.readiness.drain(False)
    node.call_manager.readiness.drain(True)
    assert node.call_manager.readiness.keeps_release_path()
    node.call_manager.responses.call_released(node.call_manager.servers.by_id[1], IDENT, CallRelease(16))
    assert not node.call_manager.readiness.keeps_release_path(), "no call is established"


def test_an_exception_of_a_timer_callback_does_not_stop_the_others():
    """Guards against lost final answers when another callback due in the same 4 ms raises an exception."""
    node, called = InProcessNode(), []
    node.call_manager.timers.schedule(node.now + 0.1, lambda: 1 // 0)
    node.call_manager.timers.schedule(node.now + 0.1, lambda: called.append("the answer"))
    node.run(0.2)
    assert called == ["the answer"]
    assert node.call_manager.counters.counts["timer_faults"] == 1


def test_timers_of_one_grid_slot_wake_the_loop_once():
    """Guards against setting the event loop's timer anew for each call."""
    node, wake_ups, expired = InProcessNode(), [], []
    node.call_manager.timers.on_earlier_due = lambda: wake_ups.append(1)
    for n in range(1000):
        due = 1000.5 + n / 1e6
        node.call_manager.timers.schedule(due, lambda due=due: expired.append(node.now >= due))
    assert len(wake_ups) <= 2
    node.run(0.49)
    assert not expired
    node.run(0.02)
    assert len(expired) == 1000
    assert all(expired), "a callback ran before its due time"


def test_the_state_of_ended_calls_and_gone_servers_is_freed():
    """Guards against memory that grows with each server, call and invented method name."""
    now = [1000.0]
    call_manager = CallManager(
        settings_from_object(SETTINGS).settings,
        random.Random(1),
        lambda: now[0],
        lambda *_args, **_fields: None,
        Counters(),
    )
    server_connections = []
    pool = ServerConnectionPool(call_manager, server_connections.append)
    frontend = PlatformFrontend(call_manager)
    connection = frontend.connect()
    for n in range(200):
        call_manager.update_servers([ServerRecord(f"s-{n}", ("127.0.0.1", 9), 0, Availability.READY)], n == 0)
        connection.receive_data(platform_invite(f"{n:016x}", call_kind="read-roster"))
        connection.receive_data(sip.request(f"MADE{n}", "sip:x@net", [], b"") if n < 7 else b"")
        call_manager.update_servers([ServerRecord(f"s-{n}", ("127.0.0.1", 9), 0, Availability.GONE)], False)
        for server_connection in [
            server_connection for server_connection in server_connections if server_connection.can_close()
        ]:
            server_connections.remove(server_connection)
            pool.remove(server_connection)  # the driver does this when a connection has ended
        now[0] += 5
        call_manager.timers.run_due()
    assert not call_manager.servers.by_id
    assert not call_manager.servers.by_instance
    assert not pool.active
    assert not call_manager.calls.by_number
    assert not frontend.registry.calls
    assert not call_manager.calls.by_ident
    assert len(call_manager.calls._terminated) <= TERMINATED_KEPT_S / 5 + 1  # noqa: SLF001  # has no public accessor
    assert len(call_manager.controller.endpoints) <= 10
    assert len(call_manager.timers._slots) <= 10  # noqa: SLF001  # has no public accessor
    assert not any("MADE" in name for name in call_manager.counters.counts)
