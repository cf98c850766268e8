"""Messages of a roster server with a part that they do not need, which may be absent or of any type."""

from __future__ import annotations

import json

import pytest

from stairhatch.node.server_messages import MalformedMessageError, parse_message
from stairhatch.overload.events import NO_LOAD

from .support.call_ids import next_call_id
from .support.scripted_server import ScriptedServer
from .support.waiting import wait_until

CALL_ID = "00000000005e0001"
NO_OBJECTS = [None, [], [1], "load", 7, True]
NO_CAUSES = [None, "x", [], {}, 1e999, "34 and more"]


def parsed(**fields):
    """Return the message of a line with these fields."""
    return parse_message(json.dumps(fields).encode())


@pytest.mark.parametrize("opts", NO_OBJECTS, ids=repr)
@pytest.mark.parametrize("verb", ["PENDING", "STARTED", "FINISH", "FINISHED", "ECHO", "LOAD", "NEWS"])
def test_fields_of_another_type_cost_the_fields_alone(verb, opts):
    """Guards against a message that is lost, with its connection's set-ups, for fields it does not need."""
    message = parsed(verb=verb, tag=CALL_ID, opts=opts, rc=34, blob="d")
    assert (message.verb, message.call_id, message.load_report, message.note) == (verb, CALL_ID, NO_LOAD, "")


@pytest.mark.parametrize("cause", NO_CAUSES, ids=repr)
@pytest.mark.parametrize("verb", ["PENDING", "STARTED", "FINISHED", "ECHO", "LOAD", "NEWS"])
def test_a_cause_where_none_belongs_is_not_read(verb, cause):
    """Guards against an answer that is lost for the cause that only a release has."""
    message = parsed(verb=verb, tag=CALL_ID, opts={"load": "free:3"}, rc=cause, blob="d", more=[1])
    assert (message.cause, message.load_report.free_lines) == (0, 3)


@pytest.mark.parametrize(
    "load", [5, [], {"free": 3}, "free", "free:x;;:;size:1e999;free:2", "x" * 300], ids=repr
)
def test_an_unreadable_load_report_costs_its_fields_alone(load):
    """Guards against an answer that is lost for its load report."""
    message = parsed(verb="STARTED", tag=CALL_ID, opts={"load": load, "note": [1]}, blob="d")
    assert message.description == "d"
    assert message.load_report.free_lines in (None, 2)


@pytest.mark.parametrize("cause", ["x", [16], {"cause": 16}, 1e999], ids=repr)
def test_a_release_with_an_unreadable_cause_is_malformed(cause):
    """Guards against a release that is taken for one without a cause."""
    with pytest.raises(MalformedMessageError):
        parsed(verb="FINISH", tag=CALL_ID, rc=cause)


def test_messages_with_unknown_parts_do_not_end_the_set_ups_of_their_connection(start_deployment):
    """Guards against set-ups that are repeated, or fail where they may not be, since a message beside them
    brought a part that the program does not know.
    """
    program, _, (server,) = start_deployment(ScriptedServer.never_answers)
    caller, idents = program.caller(), [next_call_id(), next_call_id()]
    for ident in idents:
        caller.invite(ident)
    wait_until(lambda: len(server.messages("START")) == len(idents))
    odd = [
        {"verb": "NEWS", "tag": 3, "opts": [1], "rc": "none"}, {"verb": "LOAD", "tag": "", "opts": "free:9"},
        {"verb": "STARTED", "tag": idents[0], "opts": [], "rc": {}, "blob": "d", "more": 1},
    ]  # fmt: skip
    server.connections[0].sendall(b"".join(json.dumps(each).encode() + b"\n" for each in odd))
    caller.expect(idents[0], 200)
    server.send("STARTED", idents[1], blob="d")
    caller.expect(idents[1], 200)
    assert len(server.connections) == 1
    assert len(server.messages("START")) == len(idents)
    assert not program.log_events("malformed")
