"""Callers that leave while their call is pending, by each way to leave and at each point of the attempt."""

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
@pytest.mark.parametrize("by", ["cancel", "close", "half-close", "reset"])
def test_a_caller_that_leaves_during_the_retry_pause_gets_no_retry(start_unusual, by, frontend):
    """No retry goes out for a caller that left in the pause after a reset. A second caller, whose call waits
    the same pause from later on and is retried, shows when the first would have been.
    """
    scripts = [RESET] * (2 if frontend == APPLIANCE else 1)
    program, _, servers = start_unusual(*scripts, frontend=frontend)
    caller, _ = place_call(program, frontend)
    wait_until(
        lambda: [line for line in program.log_events("attempt_ended") if line["outcome"] == "reset"],
        "the pause",
    )
    (first,) = setup_ids(*servers)
    disconnect(caller, next(iter([m.get("call-id") for _, m in caller.received] or [first])), by, frontend)
    wait_until(
        lambda: program.log_events("call_abandoned") or program.log_events("call_answered"),
        "that its leaving is noticed",
    )
    assert len(program.log_events("attempt_ended")) == 1, "it left within the pause"
    place_call(program, frontend)
    wait_until(
        lambda: len([tag for tag in setup_ids(*servers) if tag != first]) == 2, "the retry of the other"
    )
    assert setup_ids(*servers).count(first) == 1
    if by == "half-close":  # it still reads, and is told once
        wait_until(lambda: caller.closed, "the end of the connection")
        finals = [m.status for _, m in caller.received if m.status >= 200 and m.cseq()[1] == "INVITE"]
        assert len(finals) == 1
        assert finals[0] in (480, 503)


def test_a_cancel_that_crosses_the_answer_releases_the_call_on_both_sides(start_unusual):
    """A call whose CANCEL comes when its 200 has been written is released at the caller and at the server.
    The caller cancels once it has the answer, as one does whose time ran out on its way.
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


@pytest.mark.parametrize("by", ["close", "half-close", "reset"])
def test_a_sip_caller_that_leaves_during_an_attempt_gets_no_retry(start_unusual, by):
    """On the appliance an attempt whose caller has left may still be established; it is the last one."""
    program, _, servers = start_unusual(SILENT, SILENT, frontend=APPLIANCE)
    caller, _ = place_call(program, "appliance")
    wait_until(lambda: setup_ids(*servers))
    (first,) = setup_ids(*servers)
    disconnect(caller, first, by, "appliance")
    wait_until(lambda: "callers_disconnected" in program.counters(), "that its leaving is noticed")
    for server in servers:
        server.script = RESET
    server = next(each for each in servers if setup_ids(each))
    server.send("FINISH", first, rc=41)
    wait_until(lambda: program.log_events("call_answered"), "its final answer")
    place_call(program, "appliance")
    wait_until(lambda: len(setup_ids(*servers)) >= 3, "the retry of the other")
    assert setup_ids(*servers).count(first) == 1


@pytest.mark.parametrize("by", ["cancel", "close", "half-close", "reset"])
def test_a_platform_caller_that_leaves_during_an_attempt_has_it_given_up_without_a_retry(start_unusual, by):
    """A reset by the server, coming after the caller has left, leads to no retry."""

    def script(message, send):
        if message["verb"] == "FINISH":
            send("FINISH", message["tag"], rc=41)  # crosses what it was told

    program, _, (server,) = start_unusual(script)
    caller, ident = place_call(program, "platform")
    wait_until(lambda: setup_ids(server) == [ident])
    disconnect(caller, ident, by)
    wait_until(lambda: [m for m in server.messages("FINISH") if m["tag"] == ident], "that it is given up")
    server.script = RESET
    place_call(program, "platform")
    wait_until(lambda: len(setup_ids(server)) == 3, "the retry of the other")
    assert setup_ids(server).count(ident) == 1


@pytest.mark.parametrize("by", ["cancel", "close", "half-close", "reset"])
def test_a_caller_that_leaves_while_the_server_is_being_connected_gets_no_attempt(start_unusual, by):
    """No attempt goes out for a caller that left while its set-up was queued for a server connection. The
    server's listener is full, so that the connection can't come up before the test empties it.
    """
    full_listener = FullListener()
    server = ScriptedServer(listener=full_listener.listener)
    program, _, _ = start_unusual(servers=[server])
    caller, ident = place_call(program, "platform")
    wait_until(lambda: program.log_events("call_offered"))
    disconnect(caller, ident, by)
    wait_until(lambda: program.log_events("call_abandoned"))
    assert not program.log_events("attempt_sent"), "it left before the connection was up"
    assert not program.log_events("server_connected"), "it left before the connection was up"
    other, staying = place_call(program, "platform")
    wait_until(lambda: len(program.log_events("call_offered")) == 2)
    server.start_accepting()
    other.expect(staying, 200)
    assert setup_ids(server) == [staying]
    assert not program.log_events(
        "server_connect_failed"
    ), "the settings' time to connect holds, and no other"
    full_listener.close()


def test_a_setup_that_is_read_after_its_cancel_gets_no_attempt(start_unusual):
    """A set-up that lay unread on one connection while its CANCEL was read on another is rejected."""
    program, _, (server,) = start_unusual(None)
    ident, early, late = next_call_id(), program.caller(), program.caller()
    early.send("CANCEL", "sip:x@net", {"call-id": ident, "cseq": "1 CANCEL"})
    early.expect(ident, 481)
    late.invite(ident, "ebb")
    late.expect(ident, 480)
    other, staying = place_call(program, "platform")
    other.expect(staying, 200)
    assert setup_ids(server) == [staying]


def test_an_answer_reaches_a_sip_caller_that_closed_its_connection_at_the_address_in_its_via(
    start_unusual,
):
    """A call that is established after its caller's connection closed is answered on a new one (RFC 3261,
    18.2.2).
    """
    program, _, servers = start_unusual(SILENT, SILENT, frontend=APPLIANCE)
    via_listener = socket.create_server(("127.0.0.1", 0))
    caller, call = SipCaller(program.address), next_call_id()
    host = f"127.0.0.1:{via_listener.getsockname()[1]}"
    caller.send("INVITE", "sip:75@net", sip_headers("INVITE", "1", f"z9hG4bK{call}", call, host, "TCP"), b"d")
    wait_until(lambda: setup_ids(*servers))
    caller.close()
    wait_until(lambda: "callers_disconnected" in program.counters(), "that its leaving is noticed")
    server = next(each for each in servers if setup_ids(each))
    server.send("STARTED", setup_ids(server)[0], blob="late")
    via_listener.settimeout(WAIT_LIMIT_S)
    server_connection, _ = via_listener.accept()
    server_connection.settimeout(WAIT_LIMIT_S)
    assert server_connection.recv(65536).startswith(b"SIP/2.0 200")
    server_connection.close()
    via_listener.close()


@pytest.mark.parametrize("by", ["cancel", "close"])
def test_a_setup_that_is_given_up_is_released_at_the_server_and_so_is_its_late_answer(start_deployment, by):
    """No call stays established at a server without a caller."""
    program, _, (server,) = start_deployment(SILENT)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident)
    wait_until(lambda: server.messages("START"))
    if by == "cancel":
        caller.send("CANCEL", "sip:x@net", {"call-id": ident, "cseq": "1 CANCEL"})
    else:
        caller.close()
    wait_until(lambda: len(server.messages("FINISH")) == 1, "the set-up given up")
    server.send("STARTED", ident, blob="late")
    wait_until(lambda: len(server.messages("FINISH")) == 2, "the late answer released")
    assert not caller.final_statuses(ident)
