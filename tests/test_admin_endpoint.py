"""The admin endpoint and the terminal console."""

from __future__ import annotations

import socket
from types import SimpleNamespace

import pytest

from stairhatch.connection_limits import ADMIN_LIMITS
from stairhatch.node.admin_endpoint import MAX_COMMAND_BYTES, AdminConnection
from stairhatch.node.io.accepted_connection import AcceptedConnection
from stairhatch.node.io.listener import (
    Listener,
)

from .support.call_ids import next_call_id
from .support.in_process_node import InProcessNode
from .support.scripted_server import ScriptedServer
from .support.waiting import wait_until

SILENT = ScriptedServer.never_answers


@pytest.mark.parametrize("frontend", ["platform", "appliance"])
def test_each_line_is_answered_with_ok_or_fail_and_a_reason(start_deployment, frontend):
    """Operators get one line of answer, whatever is sent."""
    program, _, _ = start_deployment(None, frontend=frontend, wait_until_serving=True)
    assert program.admin_command("check").startswith("ok serving")
    for line, ends, says in [
        ("restart", False, "unknown order restart"),
        ("", False, "empty line"),
        (b"\xff\xfe\x00\x1b[2J\n", False, "unknown order ????"),
        (b"check " * 100, False, "longer than"),
        ("check " + "x" * MAX_COMMAND_BYTES, False, "longer than"),
        (b"chec", True, "unfinished"),
        (b"", True, "unfinished"),
        (b"drain-", False, "no whole line came in time"),
    ]:
        answer = program.admin_command(line, ends)
        assert answer.startswith("fail ")
        assert says in answer
    assert program.admin_command(b"check\r\nand more").startswith("ok serving")
    assert program.admin_command("drain-on").startswith("ok draining")
    assert program.admin_command("check") == "fail draining"
    assert program.admin_command("drain-off").startswith("ok serving")
    assert program.admin_command("check").startswith("ok serving")


def test_neither_callers_nor_silent_operators_block_the_admin_endpoint(start_deployment):
    """The admin endpoint does not share its descriptors with callers, and silent operators do not fill it."""
    program, _, (server,) = start_deployment(SILENT, sockets=40, wait_until_serving=True)
    callers = [program.caller() for _ in range(30)]
    for caller in callers:
        caller.invite(next_call_id(), answer_within_ms=9000)
    wait_until(lambda: len(server.messages("START")) >= 8)
    silent = [socket.create_connection(program.admin_address) for _ in range(60)]
    assert program.admin_command("check").startswith("ok")
    for each in silent:
        each.settimeout(20)
        assert each.recv(100).startswith(b"fail "), "also who says nothing is told why it ends"
        each.close()


def test_a_full_admin_endpoint_evicts_a_silent_operator_at_once():
    """An operator does not wait until the silent ones' time is over: an answer is due in 1 s."""
    node = InProcessNode()
    runner = SimpleNamespace(loop=SimpleNamespace(time=lambda: node.now), core=node.core)
    listener = Listener(runner, None, None, None, ADMIN_LIMITS)
    with socket.socketpair()[0] as end:
        for _ in range(ADMIN_LIMITS.max_connections):
            listener.connections[AcceptedConnection(AdminConnection(node.core), end, node.now)] = None
        node.run(0.1)
        assert listener.evict()


def test_the_admin_endpoint_answers_during_shutdown(start_deployment):
    """A drain is not undone when the process is about to end."""
    program, _, (server,) = start_deployment(SILENT, wait_until_serving=True)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident, answer_within_ms=3000)
    wait_until(lambda: server.messages("START"))
    program.process.terminate()
    wait_until(lambda: program.log_events("stopping"))
    assert program.admin_command("check") == "fail draining"
    assert program.admin_command("drain-off") == "fail the program is ending"
    server.send("STARTED", ident, blob="d")
    caller.expect(ident, 200)
    assert program.process.wait(20) == 0


def test_the_terminal_console_takes_the_admin_commands(start_deployment):
    """There is one set of names for both: the terminal's former `drain` is unknown."""
    program, _, _ = start_deployment(None, frontend="appliance", wait_until_serving=True)
    stdin = program.process.stdin
    for command, shows in [
        ("check", "ok serving, 2 of 2"), ("drain-on", "ok draining, 0 calls"),
        ("status", "state      draining for"), ("drain-off", "ok serving, 2 of 2"),
        ("status", "state      serving"), ("drain", "unknown command 'drain'"),
    ]:  # fmt: skip
        before = len(program.log_text())
        stdin.write(command.encode() + b"\n")
        stdin.flush()
        wait_until(lambda shows=shows, before=before: shows in program.log_text()[before:], shows)
    stdin.write(b"quit\n")
    stdin.flush()
    assert program.process.wait(20) == 0


def test_a_check_is_logged_when_its_answer_changes():
    """The log is not filled by health checks, which come ten times a second for as long as a drain lasts."""
    node, lines = InProcessNode(), []
    node.log = lambda _event, **fields: lines.append(fields.get("answer"))
    for on in (False, True, False):
        node.core.readiness.drain(on)
        lines.clear()
        for _ in range(10):
            AdminConnection(node.core).receive_data(b"check\n")
        assert len(lines) == 1


def test_one_command_is_read_from_a_connection_and_no_more():
    """No command is executed that follows a first one, or comes in pieces without an end."""
    node = InProcessNode()
    admin = AdminConnection(node.core)
    for piece in (b"dra", b"in-", b"on\ndrain-off\n", b"drain-off\n"):
        admin.receive_data(piece)
    assert admin.data_to_send().startswith(b"ok draining")
    assert admin.can_close()
    assert node.core.readiness.drain_since is not None
