"""Tests of callers' requests that cannot be served: malformed, incomplete, or unusable for a server."""

from __future__ import annotations

import pytest

from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.platform_request import preferred_server_number

from .support.call_ids import next_call_id
from .support.caller_disconnects import disconnect, place_call, setup_ids
from .support.deployment import establish_call
from .support.in_process_node import InProcessNode
from .support.program import Program
from .support.scripted_server import ScriptedServer
from .support.sip_messages import platform_invite
from .support.waiting import wait_until

SILENT = ScriptedServer.never_answers
HEAD = b"INVITE sip:1@net SIP/2.0\r\nCall-ID: x\r\nVia: SIP/2.0/TCP a\r\nFrom: <sip:a@b>;tag=1\r\n"
HEAD += b"To: <sip:1@net>\r\nCSeq: 1 INVITE\r\nContent-Length: 50\r\n"


@pytest.mark.parametrize("frontend", ["platform", "appliance"])
@pytest.mark.parametrize(("data", "status"), [(b"", 0), (HEAD, 0), (HEAD + b"\r\nhalf", 408)])
def test_a_first_request_must_be_complete_in_time(tmp_path, start_deployment, frontend, data, status):
    """Guards against connections that stay open because their callers never complete a request."""
    if frontend == "platform":
        program = start_deployment(None)[0]
    else:
        program = Program.as_appliance(tmp_path, ScriptedServer(), ScriptedServer())
        start_deployment.programs.append(program)
    caller = program.caller()
    caller.send_bytes(data)
    wait_until(lambda: caller.closed, "the end of the connection")
    assert [m.status for _, m in caller.received] == ([status] if status else [])


def unusable_invite(ident="00000000005e0000", answer_within_ms="1000", **fields):
    """Return the bytes of a set-up that is valid apart from the unusable field that a test passes."""
    return platform_invite(ident, answer_within_ms=answer_within_ms, **fields)


@pytest.mark.parametrize(
    "data",
    [
        unusable_invite(ident="no id"),
        unusable_invite(ident=""),
        unusable_invite(ident="5e" * 9),
        unusable_invite(body=b"\xff\xfe"),
        unusable_invite(body=b"\xed\xa0\x80"),
        unusable_invite(key="\udcff"),
        unusable_invite(answer_within_ms="0"),
        unusable_invite(answer_within_ms="-5"),
        unusable_invite(answer_within_ms="1_0"),
        unusable_invite(answer_within_ms="\u0661"),
        unusable_invite(answer_within_ms="99999999"),
        unusable_invite(answer_within_ms="9" * 400),
        unusable_invite(answer_within_ms="9" * 5000),
        unusable_invite(answer_within_ms="inf"),
        unusable_invite(routing_data="dest:inf"),
        unusable_invite(routing_data="dest:nan;width:1"),
        unusable_invite(routing_data="dest:0;width:-3"),
        unusable_invite(cseq="9" * 5000 + " INVITE"),
        unusable_invite(cseq="1 BYE"),
        unusable_invite(call_kind="none"),
    ],
    ids=range(20),
)
def test_a_setup_that_no_server_could_use_is_rejected(start_deployment, data):
    """Guards against forwarding bytes of one caller that make a server close its connection.

    Other callers' set-ups would end with the connection. Also, no invalid number may raise an exception in
    the softswitch.
    """
    program, _, (server,) = start_deployment(SILENT)
    good, bad, ident = program.caller(), program.caller(), next_call_id()
    good.invite(ident)
    wait_until(lambda: server.messages("START"))
    bad.send_bytes(data)
    wait_until(lambda: bad.received, "a rejection")
    assert [m.status for _, m in bad.received] == [400]
    server.send("STARTED", ident, blob="d")
    good.expect(ident, 200)
    assert len(server.messages("START")) == 1
    assert "fault" not in program.log_text()


@pytest.mark.parametrize(
    "more",
    ["shade:blue", "shade:", "shade:1e999;tint:nan", "shade:9999999999999", "hour:12:30"],
)
def test_an_unknown_piece_of_the_routing_data_is_ignored(start_deployment, more):
    """Guards against a set-up that is rejected for a part of its header that no page names."""
    program, _, servers = start_deployment(None, None)
    caller, first, last = program.caller(), next_call_id(), next_call_id()
    caller.invite(first, routing_data=f"{more};dest:1;width:1;via:-1")
    caller.invite(last, routing_data=f"dest:1;width:1;via:-1;{more}")
    caller.expect(first, 200)
    caller.expect(last, 200)
    assert {each["tag"] for each in servers[1].messages("START")} == {first, last}


@pytest.mark.parametrize("text", ["x", ":", ":3", "dest", "dest:1;x", "dest:1;width:1;via"])
def test_routing_data_without_names_is_malformed(text):
    """Guards against bad callers' text that is forwarded as if it were an unknown piece."""
    with pytest.raises(ValueError, match="piece without a name"):
        preferred_server_number(text)


@pytest.mark.parametrize("value", ["blue", "", "nan", "1e3", "70000", "-2"])
@pytest.mark.parametrize("name", ["dest", "width", "via", "again"])
def test_a_known_figure_of_the_routing_data_must_be_a_number_in_range(name, value):
    """Guards against a figure that is taken for an unknown piece and ignored."""
    with pytest.raises(ValueError, match=f"invalid value of {name}"):
        preferred_server_number(f"shade:blue; {name}:{value}")


def test_a_caller_that_sends_only_unusable_requests_is_disconnected(start_deployment):
    """Guards against a caller that repeats an unusable request endlessly after each rejection."""
    program, _, _ = start_deployment(None)
    bad = program.caller()
    for _ in range(200):
        bad.send_bytes(unusable_invite(answer_within_ms="-5"))
    wait_until(lambda: bad.closed, "the end of the connection")
    establish_call(program)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"INVITE sip:1@net SIP/2.0\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\n\r\n", 400),  # no Content-Length
        (b"INVITE sip:1@net SIP/3.0\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n", 505),
        (b"INVITE sip:1@net SIP/2.0\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\nContent-Length: 99999\r\n\r\n", 413),
    ],
)
def test_a_malformed_request_ends_only_its_own_connection(start_deployment, data, status):
    """Malformed bytes close the connection they came on; other callers' connections are unaffected."""
    program, _, _ = start_deployment(None)
    bad, good, ident = program.caller(), program.caller(), next_call_id()
    bad.sock.sendall(data)
    bad.expect("x", status)
    wait_until(lambda: bad.closed)
    good.invite(ident)
    good.expect(ident, 200)


def test_health_checks_are_answered_and_other_methods_rejected(start_deployment):
    """OPTIONS is answered with 200, so that frontends send calls; other methods get 405 with Allow."""
    program, _, _ = start_deployment(None)
    program.wait_until_serving()
    caller = program.caller()
    caller.send("OPTIONS", "sip:ping@net", {"call-id": "p", "cseq": "1 OPTIONS"})
    caller.send("REFER", "sip:ping@net", {"call-id": "q", "cseq": "1 REFER"})
    caller.expect("p", 200)
    assert "INVITE" in caller.expect("q", 405).get("allow")


SILENT, RESET = ScriptedServer.never_answers, ScriptedServer.ends(41)


@pytest.mark.parametrize("ended_by", ["its answer", "its CANCEL"])
def test_a_pending_setup_survives_malformed_bytes_after_it(start_unusual, ended_by):
    """Guards against closing a connection with a pending set-up because malformed bytes followed it."""
    program, _, (server,) = start_unusual(SILENT)
    caller, ident = place_call(program, "platform")
    wait_until(lambda: setup_ids(server) == [ident])
    caller.send_bytes(b"\x00\x01 noise without sense\r\n\r\n")
    wait_until(lambda: program.log_events("malformed"), "that the noise has been read")
    assert not caller.closed
    if ended_by == "its answer":
        server.send("STARTED", ident, blob="kept")
        assert caller.expect(ident, 200).body == b"kept"
    else:  # the CANCEL needs another connection: this one is not read any more
        disconnect(program.caller(), ident, "cancel")
    wait_until(lambda: caller.closed, "the end of the connection")


def test_a_pending_setup_survives_the_timeout_of_an_incomplete_message():
    """Guards against closing a connection with a pending set-up when an incomplete message times out.

    The time limit for a message is shorter than a call's deadline.
    """
    node = InProcessNode()
    frontend = PlatformFrontend(node.call_manager)
    connection, ident = frontend.connect(), next_call_id()
    connection.receive_data(
        platform_invite(ident, answer_within_ms="4000")
        + platform_invite(next_call_id(), answer_within_ms="4000")[:40]
    )
    assert node.written
    assert connection.has_partial_message()
    connection.read_timed_out()
    connection.data_to_send()
    assert connection.closing
    assert not connection.can_close()
    node.establish()
    assert b"SIP/2.0 200" in connection.data_to_send()
    assert connection.can_close()
