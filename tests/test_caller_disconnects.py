"""Callers that disconnect while their call is pending, in each way and at each point of the attempt."""

from __future__ import annotations

import socket

import pytest

from .support.call_ids import next_call_id
from .support.caller_disconnects import disconnect, place_call, setup_ids
from .support.deployment import APPLIANCE
from .support.full_listener import FullListener
from .support.scripted_server import ScriptedServer
from .support.sip_caller import SipCaller
from .support.sip_messages import sip_headers
from .support.waiting import WAIT_LIMIT_S, wait_until

SILENT, RESET = ScriptedServer.never_answers, ScriptedServer.ends(41)


@pytest.mark.parametrize("frontend", ["platform", "appliance"])
@pytest.mark.parametrize("way", ["cancel", "close", "half-close", "reset"])
def test_no_retry_after_a_disconnect_in_the_retry_pause(start_unusual, way, frontend):
    """A call whose caller disconnects in the retry pause after a reset is not retried.

    The call of a second caller enters the same pause later and is retried, so the test ends after the time of
    the first call's retry.
    """
    scripts = [RESET] * (2 if frontend == APPLIANCE else 1)
    program, _, servers = start_unusual(*scripts, frontend=frontend)
    caller, _ = place_call(program, frontend)
    wait_until(
        lambda: [line for line in program.log_events("attempt_ended") if line["outcome"] == "reset"],
        "the retry pause",
    )
    (first,) = setup_ids(*servers)
    disconnect(caller, next(iter([m.get("call-id") for _, m in caller.received] or [first])), way, frontend)
    wait_until(
        lambda: program.log_events("call_abandoned") or program.log_events("call_answered"),
        "the detection of the disconnect",
    )
    assert len(program.log_events("attempt_ended")) == 1, "the caller disconnected within the retry pause"
    place_call(program, frontend)
    wait_until(
        lambda: len([tag for tag in setup_ids(*servers) if tag != first]) == 2,
        "the retry of the second call",
    )
    assert setup_ids(*servers).count(first) == 1
    if way == "half-close":  # the caller still reads and gets one final response
        wait_until(lambda: caller.closed, "the close of the connection")
        finals = [m.status for _, m in caller.received if m.status >= 200 and m.cseq()[1] == "INVITE"]
        assert len(finals) == 1
        assert finals[0] in (480, 503)


def test_cancel_that_crosses_the_200_releases_the_call_on_both_sides(start_unusual):
    """A call whose CANCEL arrives after its 200 has been sent is released at the caller and at the server.

    The caller sends the CANCEL after the 200, as one does whose timeout expires while the 200 is on its way.
    """
    program, _, (server,) = start_unusual(None)
    caller, ident = place_call(program, "platform")
    caller.expect(ident, 200)
    disconnect(caller, ident, "cancel")
    caller.respond(caller.expect(ident, "BYE"), 200)
    wait_until(
        lambda: [m for m in server.messages("FINISH") if m["tag"] == ident], "the release at the server"
    )
    assert program.counters()["cancels_crossed"] == 1
    assert caller.final_statuses(ident) == [200]


@pytest.mark.parametrize("way", ["close", "half-close", "reset"])
def test_no_retry_after_a_sip_caller_disconnects_during_an_attempt(start_unusual, way):
    """On the appliance an attempt goes on after its caller has disconnected, but it is not retried."""
    program, _, servers = start_unusual(SILENT, SILENT, frontend=APPLIANCE)
    caller, _ = place_call(program, "appliance")
    wait_until(lambda: setup_ids(*servers))
    (first,) = setup_ids(*servers)
    disconnect(caller, first, way, "appliance")
    wait_until(lambda: "callers_disconnected" in program.counters(), "the detection of the disconnect")
    for server in servers:
        server.script = RESET
    server = next(candidate for candidate in servers if setup_ids(candidate))
    server.send("FINISH", first, rc=41)
    wait_until(lambda: program.log_events("call_answered"), "the final response to the first call")
    place_call(program, "appliance")
    wait_until(lambda: len(setup_ids(*servers)) >= 3, "the retry of the second call")
    assert setup_ids(*servers).count(first) == 1


@pytest.mark.parametrize("way", ["cancel", "close", "half-close", "reset"])
def test_platform_disconnect_during_an_attempt_releases_it_without_a_retry(start_unusual, way):
    """A reset by the server that arrives after the caller's disconnect leads to no retry."""

    def script(message, send):
        if message["verb"] == "FINISH":
            send("FINISH", message["tag"], rc=41)  # crosses the release

    program, _, (server,) = start_unusual(script)
    caller, ident = place_call(program, "platform")
    wait_until(lambda: setup_ids(server) == [ident])
    disconnect(caller, ident, way)
    wait_until(
        lambda: [m for m in server.messages("FINISH") if m["tag"] == ident],
        "the release of the abandoned set-up",
    )
    server.script = RESET
    place_call(program, "platform")
    wait_until(lambda: len(setup_ids(server)) == 3, "the retry of the second call")
    assert setup_ids(server).count(ident) == 1


@pytest.mark.parametrize("way", ["cancel", "close", "half-close", "reset"])
def test_no_attempt_after_a_disconnect_during_the_server_connect(start_unusual, way):
    """No set-up is sent for a caller that disconnects while the set-up is queued for a server connection.

    The accept queue of the server's listener is full, so the connection is not established before the test
    empties the queue.
    """
    full_listener = FullListener()
    server = ScriptedServer(listener=full_listener.listener)
    program, _, _ = start_unusual(servers=[server])
    caller, ident = place_call(program, "platform")
    wait_until(lambda: program.log_events("call_offered"))
    disconnect(caller, ident, way)
    wait_until(lambda: program.log_events("call_abandoned"))
    assert not program.log_events("attempt_sent"), "the caller disconnected before the connect"
    assert not program.log_events("server_connected"), "the caller disconnected before the connect"
    second, second_ident = place_call(program, "platform")
    wait_until(lambda: len(program.log_events("call_offered")) == 2)
    server.start_accepting()
    second.expect(second_ident, 200)
    assert setup_ids(server) == [second_ident]
    assert not program.log_events(
        "server_connect_failed"
    ), "the connect timeout of the settings applies, and no shorter one"
    full_listener.close()


def test_no_attempt_for_a_setup_read_after_its_cancel(start_unusual):
    """A set-up that is read after its CANCEL, which arrived on another connection, is rejected."""
    program, _, (server,) = start_unusual(None)
    ident, early, late = next_call_id(), program.caller(), program.caller()
    early.send("CANCEL", "sip:x@net", {"call-id": ident, "cseq": "1 CANCEL"})
    early.expect(ident, 481)
    late.invite(ident, "ebb")
    late.expect(ident, 480)
    second, second_ident = place_call(program, "platform")
    second.expect(second_ident, 200)
    assert setup_ids(server) == [second_ident]


def test_answer_after_the_caller_closed_is_sent_to_the_via_address(
    start_unusual,
):
    """A call that is established after its caller's connection has closed is answered on a new connection to
    the address in the Via (RFC 3261, section 18.2.2).
    """
    program, _, servers = start_unusual(SILENT, SILENT, frontend=APPLIANCE)
    via_listener = socket.create_server(("127.0.0.1", 0))
    caller, call = SipCaller(program.address), next_call_id()
    host = f"127.0.0.1:{via_listener.getsockname()[1]}"
    caller.send("INVITE", "sip:75@net", sip_headers("INVITE", "1", f"z9hG4bK{call}", call, host, "TCP"), b"d")
    wait_until(lambda: setup_ids(*servers))
    caller.close()
    wait_until(lambda: "callers_disconnected" in program.counters(), "the detection of the disconnect")
    server = next(candidate for candidate in servers if setup_ids(candidate))
    server.send("STARTED", setup_ids(server)[0], blob="late")
    via_listener.settimeout(WAIT_LIMIT_S)
    server_connection, _ = via_listener.accept()
    server_connection.settimeout(WAIT_LIMIT_S)
    assert server_connection.recv(65536).startswith(b"SIP/2.0 200")
    server_connection.close()
    via_listener.close()


@pytest.mark.parametrize("way", ["cancel", "close"])
def test_abandoned_setup_and_its_late_answer_are_released_at_the_server(start_deployment, way):
    """No call of a disconnected caller stays established at a server, even if the server answers late."""
    program, _, (server,) = start_deployment(SILENT)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident)
    wait_until(lambda: server.messages("START"))
    if way == "cancel":
        caller.send("CANCEL", "sip:x@net", {"call-id": ident, "cseq": "1 CANCEL"})
    else:
        caller.close()
    wait_until(lambda: len(server.messages("FINISH")) == 1, "the release of the abandoned set-up")
    server.send("STARTED", ident, blob="late")
    wait_until(lambda: len(server.messages("FINISH")) == 2, "the release after the late answer")
    assert not caller.final_statuses(ident)
