"""Tests that each call gets exactly one final answer, whatever its server and its caller do."""

from __future__ import annotations

from itertools import pairwise

import pytest

from .support.call_ids import next_call_id
from .support.processor_wait import Stopwatch
from .support.scripted_server import ScriptedServer
from .support.waiting import wait_until

RESET, SILENT = ScriptedServer.ends(41), ScriptedServer.never_answers


@pytest.mark.parametrize(
    ("scripts", "kind", "status", "setup_count"),
    [
        ([None], "read-roster", 200, 1),
        ([ScriptedServer.ends(34), None], "save-roster", 200, 2),  # server full: immediate retry at the other
        ([ScriptedServer.ends(16), None], "read-roster", 500, 1),  # the call ended and its STARTED was lost
        ([ScriptedServer.ends(17, "lines_busy")], "read-roster", 500, 1),  # a busy number is not retried
        ([SILENT], "read-roster", 500, 1),
        ([], "read-roster", 503, 0),
        ([None], "no-such-class", 400, 0),
    ],
)
def test_each_call_gets_one_final_answer_in_time(start_deployment, scripts, kind, status, setup_count):
    """Guards against calls that are answered twice, too late or never."""
    program, _, servers = start_deployment(*scripts)
    caller, ident = program.caller(), next_call_id()
    stopwatch = Stopwatch(program.process.pid)
    caller.invite(ident, kind, answer_within_ms=1000, body='quotes " and æøå\r\n'.encode())
    wait_until(lambda: caller.final_statuses(ident), "a final answer")
    assert stopwatch.elapsed_s() < 1.0 or status != 500, "the answer came after the caller timeout"
    assert program.stop() == 0
    assert caller.final_statuses(ident) == [status]
    assert sum(len(server.messages("START")) for server in servers) == setup_count
    if status == 200:
        start = servers[-1].messages("START")[0]
        assert start["opts"]["class"] == kind
        assert start["opts"]["key"] == "7f3a9c21e0b4d655"
        assert caller.messages(ident, 200)[0].body == ("v=0 " + start["blob"]).encode()
        assert start["blob"] == 'quotes " and æøå\r\n'


def test_attempts_are_sequential_and_keep_the_retry_pause(start_deployment):
    """A server that resets each set-up sees the set-ups at least a retry pause apart, never two at once."""
    program, _, (server,) = start_deployment(RESET)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident, answer_within_ms=2500)
    wait_until(lambda: caller.final_statuses(ident))
    times = [at for at, message in server.received if message["verb"] == "START"]
    assert len(times) >= 2
    assert all(b - a >= 0.5 for a, b in pairwise(times))


def test_after_a_server_failure_setups_are_retried_and_calls_released(start_deployment):
    """Guards against calls that stay established, and set-ups that wait, at a server that has failed."""
    program, _, (server, other) = start_deployment(None, None)
    caller, established, waiting = program.caller(), next_call_id(), next_call_id()
    caller.invite(established)
    caller.expect(established, 200)
    server.script = SILENT
    caller.invite(waiting)
    wait_until(lambda: len(server.messages("START")) == 2)
    server.close()
    assert caller.expect(established, "BYE").get("reason") == "Q.850;cause=41"
    caller.expect(waiting, 200)
    assert [m["tag"] for m in other.messages("START")] == [waiting]


def test_a_setup_with_a_used_call_id_is_rejected(start_deployment):
    """A set-up with the id of an open or recently ended call is rejected and does not affect that call."""
    program, _, (server,) = start_deployment(SILENT)
    good, bad, ident = program.caller(), program.caller(), next_call_id()
    good.invite(ident)
    wait_until(lambda: server.messages("START"))
    bad.invite(ident, body=b"another")
    bad.expect(ident, 482)
    server.send("STARTED", ident, blob="d")
    good.expect(ident, 200)
    server.send("FINISH", ident, rc=16)
    good.expect(ident, "BYE")
    bad.invite(ident)
    wait_until(lambda: bad.final_statuses(ident) == [482, 482], "the second rejection")
    assert len(server.messages("START")) == 1
    assert good.final_statuses(ident) == [200]


def test_repeated_answers_and_unknown_call_ids_from_a_server_are_ignored(start_deployment):
    """Surplus answers of a server neither close its connection nor answer a call twice."""

    def answer_twice(message, send):
        if message["verb"] == "START":
            for tag in ("00000000deadbeef", message["tag"], message["tag"]):
                send("STARTED", tag, blob="d")

    program, _, (server,) = start_deployment(answer_twice)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident)
    caller.expect(ident, 200)
    server.send("FINISH", ident, rc=16)
    caller.expect(ident, "BYE")
    assert caller.final_statuses(ident) == [200]
    assert len(server.connections) == 1
    assert not server.messages("FINISH"), "an unknown call was released"


def test_each_early_caller_retry_gets_one_answer(start_deployment):
    """Guards against a caller retry that is mistaken for the first set-up, lost, or answered twice.

    The caller ignores the retry time in the rejection and retries immediately with a new call id.
    """
    program, _, _ = start_deployment(ScriptedServer.ends(34), wait_until_serving=True)
    caller, advised_count = program.caller(), 0
    for _ in range(20):
        caller.invite(ident := next_call_id(), repeat_mark="1", answer_within_ms=9000)
        wait_until(lambda ident=ident: caller.final_statuses(ident), "its answer")
        advised_count += bool(
            caller.messages(ident, 503) and caller.messages(ident, 503)[0].get("come-back-ms")
        )
        retry_ident = next_call_id()
        caller.invite(retry_ident, repeat_mark="1", answer_within_ms=3000)
        wait_until(lambda retry_ident=retry_ident: caller.final_statuses(retry_ident), "its answer")
        assert len(caller.final_statuses(ident)) == len(caller.final_statuses(retry_ident)) == 1
    assert advised_count, "no rejection contained a retry time"
