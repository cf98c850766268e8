"""Tests that the release of an established call reaches the other side on any available connection."""

from __future__ import annotations

import pytest

from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.server_responses import CallRelease

from .support.call_ids import next_call_id
from .support.in_process_node import InProcessNode
from .support.sip_messages import platform_invite
from .support.waiting import wait_until


@pytest.mark.parametrize("reopened", [False, True])
def test_a_release_reaches_the_caller_on_any_connection(start_deployment, reopened):
    """A caller gets a release on the call's own connection, or on a new one if that has been closed."""
    program, _, (server,) = start_deployment(None)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident)
    caller.expect(ident, 200)
    if reopened:
        caller.close()
        caller = program.caller()
    server.send("FINISH", ident, rc=16)
    assert caller.expect(ident, "BYE").get("reason") == "Q.850;cause=16"


def test_a_release_waits_for_a_caller_to_connect(start_deployment):
    """Guards against a release that is lost because no caller is connected when the server sends it."""
    program, _, (server,) = start_deployment(None)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident)
    caller.expect(ident, 200)
    caller.close()
    server.send("FINISH", ident, rc=16)
    wait_until(lambda: program.log_events("call_released"))
    program.caller().expect(ident, "BYE")


def test_a_call_from_before_a_restart_is_released_both_ways(start_deployment):
    """A call set up before a restart of the softswitch can be released by its server and by its caller."""
    program, _, (server,) = start_deployment(None)
    caller, old, other = program.caller(), next_call_id(), next_call_id()
    wait_until(lambda: server.connections)
    server.send("FINISH", old, rc=16)
    caller.expect(old, "BYE")
    caller.send("BYE", "sip:x@net", {"call-id": other, "cseq": "2 BYE", "reason": "Q.850;cause=31"})
    caller.expect(other, 200)
    assert wait_until(lambda: server.messages("FINISH"))[0] == {
        "verb": "FINISH",
        "tag": other,
        "opts": {},
        "rc": 31,
    }


def test_a_release_goes_on_the_calls_own_connection(start_deployment):
    """Guards against a release on the last active connection, which may be one used for health checks."""
    program, _, (server,) = start_deployment(None)
    caller, other_caller, ident = program.caller(), program.caller(), next_call_id()
    caller.invite(ident)
    caller.expect(ident, 200)
    other_caller.send("BYE", "sip:x@net", {"call-id": next_call_id(), "cseq": "1 BYE"})
    wait_until(lambda: other_caller.received)
    server.send("FINISH", ident, rc=16)
    caller.expect(ident, "BYE")
    assert not other_caller.messages(ident, "BYE")


def test_a_release_that_is_not_acknowledged_goes_on_another_connection(start_deployment):
    """Guards against a release that is lost because the connection it was sent on is not read."""
    program, _, (server,) = start_deployment(None)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident)
    caller.expect(ident, 200)
    others = [program.caller() for _ in range(2)]
    for other in others:
        other.send("BYE", "sip:x@net", {"call-id": next_call_id(), "cseq": "1 BYE"})
        wait_until(lambda other=other: other.received)
    caller.close()
    server.send("FINISH", ident, rc=16)
    for other in others:
        other.expect(ident, "BYE")


def test_a_release_that_nobody_acknowledges_is_kept_for_the_next_connection():
    """Guards against a release that is dropped after four attempts at callers that don't read."""
    node = InProcessNode()
    frontend = PlatformFrontend(node.call_manager)
    not_reading, ident = frontend.connect(), next_call_id()
    not_reading.receive_data(platform_invite(ident, answer_within_ms="4000"))
    node.establish()
    node.call_manager.responses.call_released(node.written[-1].server, ident, CallRelease(16))
    node.run(3.0)
    assert not_reading.data_to_send().count(b"BYE sip:") == 4
    late = frontend.connect()
    node.run(0.2)
    assert late.data_to_send().count(b"BYE sip:") == 1
    node.run(60.0)
    assert not frontend.registry.deliveries.pending
    assert node.call_manager.counters.counts["releases_unacknowledged"] == 1
