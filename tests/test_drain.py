"""Drains: accepted calls are served, further callers are rejected, and `drain-off` ends the drain."""

from __future__ import annotations

import socket

import pytest

from stairhatch.node import sip_message as sip
from stairhatch.node.io.listener import (
    DRAIN_FIRST_REQUEST_S,
)
from stairhatch.node.platform_frontend import CALLER_DETECTION_DELAY_S, PlatformFrontend
from stairhatch.node.readiness import REJECT_AFTER_S, RELEASE_PATH_S
from stairhatch.node.server_responses import CallRelease

from .support.accepted_connections import listener_with_connections, take_statuses
from .support.call_ids import next_call_id
from .support.caller_disconnects import place_call, setup_ids
from .support.in_process_node import InProcessNode
from .support.scripted_server import ScriptedServer
from .support.sip_caller import SipCaller
from .support.sip_messages import platform_invite, sip_headers
from .support.waiting import wait_until

SILENT = ScriptedServer.never_answers


def test_drain_serves_accepted_calls_and_can_be_undone(start_deployment):
    """In a drain health checks fail at once, accepted calls are served, each connection is closed once no
    response is pending on it, and `drain-off` undoes all of this.
    """
    program, _, (server,) = start_deployment(SILENT, wait_until_serving=True)
    idle, busy, ident, late = program.caller(), program.caller(), next_call_id(), next_call_id()
    idle.invite(next_call_id(), call_class="none")
    wait_until(lambda: idle.received)
    busy.invite(ident)
    wait_until(lambda: server.messages("START"))
    assert program.admin_command("drain-on") == "ok draining, 1 calls are still to be answered"
    assert program.health_check_status() == 503
    wait_until(lambda: idle.closed, "the close of the idle connection")
    newcomer = program.caller()
    newcomer.invite(late)
    wait_until(lambda: len(server.messages("START")) == 2, "the set-up sent early in the drain")
    assert not busy.closed
    for call_id in (ident, late):
        server.send("STARTED", call_id, blob="d")
    busy.expect(ident, 200)
    newcomer.expect(late, 200)
    server.send("FINISH", ident, rc=16)
    wait_until(
        lambda: busy.messages(ident, "BYE") or newcomer.messages(ident, "BYE"), "the release during the drain"
    )
    assert program.admin_command("drain-off").startswith("ok serving")
    assert program.health_check_status() == 200
    caller, after_drain = program.caller(), next_call_id()
    server.script = ScriptedServer.establishes
    caller.invite(after_drain)
    caller.expect(after_drain, 200)


def test_drain_closes_the_connection_of_a_caller_that_never_pauses(start_deployment):
    """A connection whose caller sends set-ups without a pause is closed too, after its calls have ended."""
    program, _, (server,) = start_deployment(SILENT, wait_until_serving=True)
    caller, pending = program.caller(), next_call_id()
    caller.invite(pending, answer_within_ms=9000)
    wait_until(lambda: server.messages("START"))
    program.admin_command("drain-on")

    def send_setup():
        ident = next_call_id()
        caller.invite(ident, answer_within_ms=9000)
        wait_until(
            lambda: caller.final_statuses(ident) or len(server.messages("START")) > send_setup.starts_seen,
            "a response to the set-up or its arrival at the server",
        )
        send_setup.starts_seen = len(server.messages("START"))
        return caller.messages(ident, 503)

    send_setup.starts_seen = 1
    answer = wait_until(send_setup, "a rejected set-up")[0]
    assert int(answer.get("come-back-ms")) > 0
    for start in server.messages("START"):
        server.send("STARTED", start["tag"], blob="d")
    caller.expect(pending, 200)
    for start in server.messages("START"):
        server.send("FINISH", start["tag"], rc=16)
        caller.respond(caller.expect(start["tag"], "BYE"), 200)
    wait_until(lambda: caller.closed, "the close of the connection")


@pytest.mark.parametrize("udp", [True, False], ids=["udp", "tcp"])
def test_appliance_drain_rejects_setups_after_a_delay(start_deployment, udp):
    """In a drain the appliance fails health checks at once, rejects set-ups only later, and can be undone."""
    program, _, _ = start_deployment(None, frontend="appliance", wait_until_serving=True)
    program.admin_command("drain-on")

    def send_request(number, method="INVITE"):
        caller = SipCaller(program.address, udp=udp)
        call, transport = f"drain-{method}-{number}", "UDP" if udp else "TCP"
        headers = sip_headers(method, "1", f"z9hG4bK{call}", call, caller.host, transport)
        caller.send(method, "sip:71@net", headers)
        return wait_until(lambda: [m for m in caller.messages(call, "") if m.status >= 200])[0]

    assert send_request(0, "OPTIONS").status == 503
    answers = []
    wait_until(
        lambda: answers.append(send_request(len(answers))) or answers[-1].status == 503,
        "a rejected set-up",
    )
    assert answers[0].status == 200
    assert answers[-1].get("retry-after") == "1"
    program.admin_command("drain-off")
    assert send_request(0, "OPTIONS").status == 200
    assert send_request(-1).status == 200


def frontend_with_established_calls(node):
    """Return a platform frontend on an in-process node, two connections with an established call each, and
    the id of the call on the second connection.
    """
    frontend = PlatformFrontend(node.call_manager)
    first, second = frontend.connect(), frontend.connect()
    for connection in (first, second):
        connection.receive_data(platform_invite(ident := next_call_id()))
        node.establish()
        assert take_statuses(connection, ident) == [200]
    return frontend, first, second, ident


def test_drain_keeps_connections_of_calls_until_their_releases_are_acknowledged():
    """A drain keeps the connections of established calls until their releases are acknowledged: the frontend
    sends no caller to a draining softswitch, so a release after the close would reach no caller.
    """
    node = InProcessNode()
    _, first, second, ident = frontend_with_established_calls(node)
    node.call_manager.readiness.drain(True)
    node.run(60.0)
    for connection in (first, second):
        assert not connection.is_idle(), "the call on it is still established"
        connection.receive_data(platform_invite(new := next_call_id()))
        assert take_statuses(connection, new) == [503]
    node.call_manager.responses.call_released(node.written[-1].server, ident, CallRelease(16))
    assert take_statuses(second, ident) == ["BYE"]
    assert not second.is_idle(), "the caller has not acknowledged the BYE"
    second.receive_data(
        sip.response(200, [("call-id", ident), ("cseq", "1 BYE"), ("via", "SIP/2.0/TCP peer")])
    )
    assert second.is_idle(), "no call and no response is pending on it"
    assert not first.is_idle()


def test_connection_is_idle_after_its_caller_ends_the_call_in_a_drain():
    """A connection becomes idle after its last call also if the caller has ended that call."""
    node = InProcessNode()
    _, _, second, ident = frontend_with_established_calls(node)
    node.call_manager.readiness.drain(True)
    second.receive_data(sip.request("BYE", "sip:x@net", [("call-id", ident), ("cseq", "2 BYE")], b""))
    assert take_statuses(second, ident) == [200]
    assert second.is_idle()


def test_drain_keeps_one_connection_for_releases_for_a_limited_time():
    """A drain keeps one connection for the releases of calls whose own connections are closed; less than 4 s
    into the drain, it keeps no connection without a call any more.
    """
    node = InProcessNode()
    frontend, first, second, _ = frontend_with_established_calls(node)
    for connection in (first, second):
        connection.connection_lost()
    others = [frontend.connect(), frontend.connect()]
    node.run(2 * CALLER_DETECTION_DELAY_S)
    node.call_manager.readiness.drain(True)
    assert all(connection.is_idle() for connection in others), "either may be closed while the other is open"
    others[1].close_when_idle()
    assert not others[0].is_idle(), "the last connection is kept for the established calls"
    node.run(RELEASE_PATH_S - 0.1)
    assert not others[0].is_idle()
    node.run(0.2)
    assert others[0].is_idle()
    assert RELEASE_PATH_S < 3.8


def test_pending_releases_in_a_drain_are_not_sent_to_health_checks():
    """A pending release is sent on the connection of a caller, not on that of a health check: the checker
    would take it for a failure, and no caller would get the release.
    """
    node = InProcessNode()
    frontend, first, second, ident = frontend_with_established_calls(node)
    node.call_manager.readiness.drain(True)
    for connection in (first, second):
        connection.close_when_idle()
        connection.connection_lost()
    node.call_manager.responses.call_released(node.call_manager.servers.by_id[1], ident, CallRelease(16))
    node.run(120.0)
    health_checks = frontend.connect()
    health_checks.receive_data(
        sip.request("OPTIONS", "sip:ping@net", [("call-id", "p"), ("cseq", "1 OPTIONS")], b"")
    )
    assert take_statuses(health_checks, "p") == [503]
    node.run(2 * CALLER_DETECTION_DELAY_S)
    assert take_statuses(health_checks, ident) == []
    silent = frontend.connect()
    node.run(2 * CALLER_DETECTION_DELAY_S)
    assert take_statuses(silent, ident) == ["BYE"]


def test_drain_closes_no_connection_with_unread_bytes():
    """A drain does not close a connection on which a received request is unread, which would reset it."""
    node = InProcessNode()
    local_socket, peer_socket = socket.socketpair()
    listener, (connection,) = listener_with_connections(node, 4, local_socket)
    node.call_manager.readiness.drain(True)
    listener.close_idle()
    assert not connection.protocol.closing, "the connection is new and may still send its first request"
    node.run(DRAIN_FIRST_REQUEST_S + 0.1)
    peer_socket.send(platform_invite(ident := next_call_id()))
    listener.close_idle()
    assert not connection.protocol.closing
    connection.protocol.receive_data(local_socket.recv(4096))
    assert node.call_manager.calls.unanswered == 1
    node.run(0.1)
    listener.close_idle()
    assert not connection.protocol.closing, "a response to the set-up is pending"
    node.establish()
    assert take_statuses(connection.protocol, ident) == [200]
    node.call_manager.release(node.call_manager.calls.by_ident[ident], 16)
    listener.close_idle()
    assert connection.protocol.closing
    assert peer_socket.recv(1) == b"", "the connection is closed without a reset"


def test_connection_without_pauses_is_closed_once_a_drain_rejects_setups():
    """A drain closes the connection of a caller that sends requests without a pause; if it stayed open, the
    end of the process would reset it with a request unread.
    """
    node = InProcessNode()
    local_socket, peer_socket = socket.socketpair()
    listener, (connection,) = listener_with_connections(node, 4, local_socket)
    node.call_manager.readiness.drain(True)

    def send_request_and_check_closing():
        headers = [("call-id", next_call_id()), ("cseq", "1 BYE")]
        connection.protocol.receive_data(sip.request("BYE", "sip:x@net", headers, b""))
        connection.received_at = node.now
        assert b" 200 " in connection.protocol.data_to_send()
        listener.close_idle()
        return connection.protocol.closing

    assert not send_request_and_check_closing(), "the caller has just sent a request"
    node.run(REJECT_AFTER_S + 0.1)
    assert send_request_and_check_closing()
    assert peer_socket.recv(1) == b"", "the connection is closed without a reset"


def test_drain_rejects_new_setups_after_a_delay():
    """Set-ups sent before the frontend has noticed the failed health check are accepted."""
    node = InProcessNode()
    connection = PlatformFrontend(node.call_manager).connect()
    node.call_manager.readiness.drain(True)
    node.run(REJECT_AFTER_S - 0.1)
    connection.receive_data(platform_invite(early := next_call_id()))
    node.run(0.2)
    connection.receive_data(platform_invite(late := next_call_id()))
    assert take_statuses(connection, late) == [503]
    assert early in node.call_manager.calls.by_ident
    node.call_manager.readiness.drain(False)
    connection.receive_data(platform_invite(after_drain := next_call_id()))
    assert after_drain in node.call_manager.calls.by_ident


def test_shutdown_keeps_no_connection_for_established_calls():
    """A shutdown waits for no established call: the next process receives their releases from the servers."""
    node = InProcessNode()
    _, first, second, _ = frontend_with_established_calls(node)
    node.call_manager.readiness.shutting_down = True
    node.call_manager.readiness.drain(True)
    second.close_when_idle()
    assert not first.is_idle(), "releases may arrive until the shutdown is complete"
    node.call_manager.complete_shutdown()
    assert first.is_idle()


def test_early_retries_in_a_drain_are_rejected_each_time(start_unusual):
    """Callers that retry before the given retry time do not delay a drain: each gets one rejection with a
    retry time, no set-up reaches a server, and callers are served again after the drain is undone.
    """
    program, _, (server,) = start_unusual(None)
    caller = program.caller()
    assert program.admin_command("drain-on").startswith("ok")
    initial, rejected = next_call_id(), []
    caller.invite(initial, "ebb", 15_000)
    wait_until(lambda: caller.final_statuses(initial))
    while len(rejected) < 20:  # without a pause; the first ones may arrive while set-ups are still accepted
        ident = next_call_id()
        caller = program.caller() if caller.closed else caller
        caller.invite(ident, "ebb", 15_000)
        wait_until(lambda ident=ident, caller=caller: caller.final_statuses(ident) or caller.closed)
        if caller.final_statuses(ident) == [503]:
            rejected.append((caller, ident))
    for rejected_caller, ident in rejected:
        (answer,) = rejected_caller.messages(ident, 503)
        assert int(answer.get("come-back-ms")) > 0
        assert ident not in setup_ids(server)
    assert program.admin_command("drain-off").startswith("ok")
    caller, ident = place_call(program, "platform")
    caller.expect(ident, 200)
    assert program.stop() == 0


def test_shutdown_answers_pending_calls_before_sigkill(start_deployment):
    """A planned restart answers each pending call before the SIGKILL, which may come 3.7 s after the SIGTERM,
    even if the caller's deadline is 9 s.
    """
    program, _, (server,) = start_deployment(SILENT)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident, answer_within_ms=9000)
    wait_until(lambda: server.messages("START"))
    assert program.stop() == 0
    wait_until(lambda: caller.closed)
    assert caller.final_statuses(ident) == [503]
    assert program.log_events("drain_deadline_reached")


def test_sigterm_serves_pending_calls_and_late_setups(start_deployment):
    """After SIGTERM, pending calls and set-ups that arrive during the shutdown are still established."""
    program, _, (server,) = start_deployment(SILENT)
    caller, early, late = program.caller(), next_call_id(), next_call_id()
    caller.invite(early)
    wait_until(lambda: server.messages("START"))
    program.process.terminate()
    wait_until(lambda: program.log_events("stopping"))
    newcomer = program.caller()
    newcomer.invite(late)
    wait_until(lambda: len(server.messages("START")) == 2)
    for ident in (early, late):
        server.send("STARTED", ident, blob="d")
    assert program.process.wait(20) == 0
    assert caller.final_statuses(early) == [200]
    assert newcomer.final_statuses(late) == [200]
    counted = program.log_events("counters")[-1]
    assert counted["calls_offered"] == "2"
    assert counted["calls_established"] == "2"
