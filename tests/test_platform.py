"""Stories of the platform's softswitch: the real program between scripted callers, roster servers and a
coordinator. Each guards against one failure that a caller or an operator would feel.
"""

from __future__ import annotations

import json
import time
from itertools import pairwise

import pytest

from stairhatch.emulators.ports import free_port

from .support.call_ids import next_call_id
from .support.platform_config import SETTINGS
from .support.program import Program
from .support.scripted_coordinator import endpoint_entry
from .support.scripted_server import ScriptedServer
from .support.waiting import wait_until

RESET, SILENT = ScriptedServer.ends(41), ScriptedServer.never_answers


@pytest.mark.parametrize(
    ("scripts", "kind", "status", "sends"),
    [
        ([None], "read-roster", 200, 1),
        ([ScriptedServer.ends(34), None], "save-roster", 200, 2),  # full: at once to the other one
        ([ScriptedServer.ends(16), None], "read-roster", 500, 1),  # it stood and is over, its answer got lost
        ([ScriptedServer.ends(17, "lines_busy")], "read-roster", 500, 1),  # a busy number is not tried again
        ([SILENT], "read-roster", 500, 1),
        ([], "read-roster", 503, 0),
        ([None], "no-such-class", 400, 0),
    ],
)
def test_one_final_answer_whatever_the_servers_do(start_deployment, scripts, kind, status, sends):
    """Guards against a call that is answered twice, late or never."""
    program, _, servers = start_deployment(*scripts)
    caller, ident = program.caller(), next_call_id()
    began = time.monotonic()
    caller.invite(ident, kind, answer_within_ms=1000, body='quotes " and æøå\r\n'.encode())
    wait_until(lambda: caller.final_statuses(ident), "a final answer")
    assert time.monotonic() - began < 1.0 or status != 500, "the caller would have given up"
    assert program.stop() == 0
    assert caller.final_statuses(ident) == [status]
    assert sum(len(server.messages("START")) for server in servers) == sends
    if status == 200:
        start = servers[-1].messages("START")[0]
        assert start["opts"]["class"] == kind
        assert start["opts"]["key"] == "7f3a9c21e0b4d655"
        assert caller.messages(ident, 200)[0].body == ("v=0 " + start["blob"]).encode()
        assert start["blob"] == 'quotes " and æøå\r\n'


@pytest.mark.parametrize("reopened", [False, True])
def test_a_release_reaches_the_caller_on_any_connection(start_deployment, reopened):
    """Guards against a call left standing because its own connection has gone."""
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
    """Guards against a release that is lost because nobody is connected just then."""
    program, _, (server,) = start_deployment(None)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident)
    caller.expect(ident, 200)
    caller.close()
    server.send("FINISH", ident, rc=16)
    wait_until(lambda: program.log_events("call_released"))
    program.caller().expect(ident, "BYE")


def test_a_call_from_before_a_restart_is_released_both_ways(start_deployment):
    """Guards against calls that outlive the softswitch that set them up."""
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


def test_the_release_pause_is_kept_and_never_two_attempts_are_out(start_deployment):
    """Guards against the rules on release and on second copies, as a server sees them."""
    program, _, (server,) = start_deployment(RESET)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident, answer_within_ms=2500)
    wait_until(lambda: caller.final_statuses(ident))
    times = [at for at, message in server.received if message["verb"] == "START"]
    assert len(times) >= 2
    assert all(b - a >= 0.5 for a, b in pairwise(times))


def test_a_dying_server_resets_its_set_ups_and_cuts_its_calls(start_deployment):
    """Guards against calls left standing, and set-ups left waiting, at a process that is gone."""
    program, _, (server, other) = start_deployment(None, None)
    caller, standing, waiting = program.caller(), next_call_id(), next_call_id()
    caller.invite(standing)
    caller.expect(standing, 200)
    server.script = SILENT
    caller.invite(waiting)
    wait_until(lambda: len(server.messages("START")) == 2)
    server.close()
    assert caller.expect(standing, "BYE").get("reason") == "Q.850;cause=41"
    caller.expect(waiting, 200)
    assert [m["tag"] for m in other.messages("START")] == [waiting]


def test_a_drained_server_gets_nothing_and_its_address_may_be_used_again(start_deployment):
    """Guards against servers known by address: a new one had that of one that drains."""
    program, coordinator, (server, other) = start_deployment(None, None)
    caller = program.caller()
    coordinator.publish(endpoint_entry("s-0", server.port, 0, "terminating"))
    first, second = next_call_id(), next_call_id()
    caller.invite(first)
    caller.expect(first, 200)
    assert not server.messages("START")
    assert other.messages("START")
    coordinator.publish(
        endpoint_entry("s-0", server.port, 0, "terminated"), endpoint_entry("s-9", server.port, 0),
        endpoint_entry("s-1", other.port, 1, "terminating"),
    )  # fmt: skip
    caller.invite(second)
    caller.expect(second, 200)
    assert [m["tag"] for m in server.messages("START")] == [second]


def test_sigterm_finishes_what_was_taken_and_still_takes_what_comes(start_deployment):
    """Guards against calls lost at a planned restart."""
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


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"INVITE sip:1@net SIP/2.0\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\n\r\n", 400),  # no Content-Length
        (b"INVITE sip:1@net SIP/3.0\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n", 505),
        (b"INVITE sip:1@net SIP/2.0\r\nCall-ID: x\r\nCSeq: 1 INVITE\r\nContent-Length: 99999\r\n\r\n", 413),
    ],
)
def test_what_is_malformed_ends_its_connection_only(start_deployment, data, status):
    """Guards against one caller's bad bytes taking the others down."""
    program, _, _ = start_deployment(None)
    bad, good, ident = program.caller(), program.caller(), next_call_id()
    bad.sock.sendall(data)
    bad.expect("x", status)
    wait_until(lambda: bad.closed)
    good.invite(ident)
    good.expect(ident, 200)


def test_a_test_is_passed_and_other_methods_are_refused(start_deployment):
    """Guards against a front that never takes the softswitch in."""
    program, _, _ = start_deployment(None)
    program.wait_until_serving()
    caller = program.caller()
    caller.send("OPTIONS", "sip:ping@net", {"call-id": "p", "cseq": "1 OPTIONS"})
    caller.send("REFER", "sip:ping@net", {"call-id": "q", "cseq": "1 REFER"})
    caller.expect("p", 200)
    assert "INVITE" in caller.expect("q", 405).get("allow")


@pytest.mark.parametrize(
    ("change", "says"),
    [
        (None, "RELAY_CONFIG"),
        ("{", "no JSON"),
        ({"listen": "nowhere"}, "nowhere"),
        ({"settings": {**SETTINGS, "balancers": 0}}, "balancers"),
        ({"settings": {"classes": 3}}, "settings.classes: must be a list, not 3"),
        ({"known": {"index": 1}}, "known: directory event"),
        ({"coordinator": None}, "coordinator: None is no address"),
    ],
)
def test_a_bad_configuration_ends_in_one_plain_line(tmp_path, change, says):
    """Guards against tracebacks where an operator mistyped something."""
    path = tmp_path / "config.json"
    config = {
        "name": "n0", "listen": f"127.0.0.1:{free_port()}", "coordinator": "127.0.0.1:1",
        "known": {"index": 0, "updates": []}, "settings": SETTINGS,
        "limits": {"sockets": 1024, "memory_mb": 192},
    }  # fmt: skip
    path.write_text(change if isinstance(change, str) else json.dumps({**config, **(change or {})}))
    program = Program(tmp_path, RELAY_CONFIG=str(path) if change else "")
    assert program.process.wait(20) == 2
    assert program.log_text().count("\n") == 1
    assert says in program.log_text()
