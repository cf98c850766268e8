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


@pytest.mark.parametrize("front", ["platform", "appliance"])
@pytest.mark.parametrize("by", ["cancel", "close", "half-close", "reset"])
def test_who_leaves_while_the_call_waits_is_not_sent_on(start_unusual, by, front):
    """Guards against a call set up for nobody: its caller left in the pause after a reset. A second caller,
    whose call waits the same pause from later on and is sent again, shows when the first would have been.
    """
    scripts = [RESET] * (2 if front == APPLIANCE else 1)
    program, _, servers = start_unusual(*scripts, frontend=front)
    caller, _ = place_call(program, front)
    wait_until(
        lambda: [line for line in program.log_events("attempt_ended") if line["outcome"] == "reset"],
        "the pause",
    )
    (first,) = setup_ids(*servers)
    disconnect(caller, next(iter([m.get("call-id") for _, m in caller.received] or [first])), by, front)
    wait_until(
        lambda: program.log_events("call_abandoned") or program.log_events("call_answered"),
        "that it is known to have left",
    )
    assert len(program.log_events("attempt_ended")) == 1, "it left within the pause"
    place_call(program, front)
    wait_until(lambda: len([tag for tag in setup_ids(*servers) if tag != first]) == 2, "the other sent again")
    assert setup_ids(*servers).count(first) == 1
    if by == "half-close":  # it still reads, and is told once
        wait_until(lambda: caller.closed, "the end of the connection")
        finals = [m.status for _, m in caller.received if m.status >= 200 and m.cseq()[1] == "INVITE"]
        assert len(finals) == 1
        assert finals[0] in (480, 503)


def test_a_cancel_that_crosses_the_answer_ends_the_call_on_both_sides(start_unusual):
    """Guards against a call that is over and whose caller is not told: its CANCEL came when the answer had
    been written. The caller sends it once it has the answer, as one does whose time ran out on its way.
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
def test_a_sip_caller_who_leaves_while_the_set_up_is_out_has_no_further_one(start_unusual, by):
    """Guards against the other order on the appliance, where what is out may still stand: it is the last."""
    program, _, servers = start_unusual(SILENT, SILENT, frontend=APPLIANCE)
    caller, _ = place_call(program, "appliance")
    wait_until(lambda: setup_ids(*servers))
    (first,) = setup_ids(*servers)
    disconnect(caller, first, by, "appliance")
    wait_until(lambda: "callers_disconnected" in program.counters(), "that it is known to have gone")
    for server in servers:
        server.script = RESET
    server = next(each for each in servers if setup_ids(each))
    server.send("FINISH", first, rc=41)
    wait_until(lambda: program.log_events("call_answered"), "its final answer")
    place_call(program, "appliance")
    wait_until(lambda: len(setup_ids(*servers)) >= 3, "the other sent again")
    assert setup_ids(*servers).count(first) == 1


@pytest.mark.parametrize("by", ["cancel", "close", "half-close", "reset"])
def test_who_leaves_while_the_set_up_is_out_is_given_up_and_not_sent_again(start_unusual, by):
    """Guards against the other order: the server's reset comes once the caller has left."""

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
    wait_until(lambda: len(setup_ids(server)) == 3, "the other sent again")
    assert setup_ids(server).count(ident) == 1


@pytest.mark.parametrize("by", ["cancel", "close", "half-close", "reset"])
def test_who_leaves_while_the_link_comes_up_is_not_sent_on(start_unusual, by):
    """Guards against set-ups that lie in a link's queue until it is up. Its listener's queue is full, so that
    the link can't come up before the story takes the connections in it.
    """
    gate = FullListener()
    shut = ScriptedServer(listener=gate.listener)
    program, _, _ = start_unusual(servers=[shut])
    caller, ident = place_call(program, "platform")
    wait_until(lambda: program.log_events("call_offered"))
    disconnect(caller, ident, by)
    wait_until(lambda: program.log_events("call_abandoned"))
    assert not program.log_events("attempt_sent"), "it left before the link was up"
    assert not program.log_events("server_connected"), "it left before the link was up"
    other, stays = place_call(program, "platform")
    wait_until(lambda: len(program.log_events("call_offered")) == 2)
    shut.start_accepting()
    other.expect(stays, 200)
    assert setup_ids(shut) == [stays]
    assert not program.log_events(
        "server_connect_failed"
    ), "the settings' time to connect holds, and no other"
    gate.close()


def test_a_set_up_that_is_read_after_its_cancel_is_not_sent_on(start_unusual):
    """Guards against a set-up that lay unread on one connection while its CANCEL was read on another."""
    program, _, (server,) = start_unusual(None)
    ident, early, late = next_call_id(), program.caller(), program.caller()
    early.send("CANCEL", "sip:x@net", {"call-id": ident, "cseq": "1 CANCEL"})
    early.expect(ident, 481)
    late.invite(ident, "ebb")
    late.expect(ident, 480)
    other, stays = place_call(program, "platform")
    other.expect(stays, 200)
    assert setup_ids(server) == [stays]


def test_an_answer_finds_a_sip_caller_whose_connection_closed_once_the_set_up_was_out(
    start_unusual,
):
    """Guards against a call that stands and is told to nobody: the Via says where (RFC 3261, 18.2.2)."""
    program, _, servers = start_unusual(SILENT, SILENT, frontend=APPLIANCE)
    home = socket.create_server(("127.0.0.1", 0))
    caller, call = SipCaller(program.address), next_call_id()
    host = f"127.0.0.1:{home.getsockname()[1]}"
    caller.send("INVITE", "sip:75@net", sip_headers("INVITE", "1", f"z9hG4bK{call}", call, host, "TCP"), b"d")
    wait_until(lambda: setup_ids(*servers))
    caller.close()
    wait_until(lambda: "callers_disconnected" in program.counters(), "that it is known to have gone")
    server = next(each for each in servers if setup_ids(each))
    server.send("STARTED", setup_ids(server)[0], blob="late")
    home.settimeout(WAIT_LIMIT_S)
    link, _ = home.accept()
    link.settimeout(WAIT_LIMIT_S)
    assert link.recv(65536).startswith(b"SIP/2.0 200")
    link.close()
    home.close()


@pytest.mark.parametrize("by", ["cancel", "close"])
def test_a_set_up_given_up_is_given_up_at_the_server_and_a_late_answer_released(start_deployment, by):
    """Guards against calls that stand at a server with no caller."""
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
