"""Tests of the admin endpoint and the terminal console."""

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
    """Operators get one answer line to any input, valid or not."""
    program, _, _ = start_deployment(None, frontend=frontend, wait_until_serving=True)
    assert program.admin_command("check").startswith("ok serving")
    for line, half_closes, expected in [
        ("restart", False, "unknown order restart"),
        ("", False, "empty line"),
        (b"\xff\xfe\x00\x1b[2J\n", False, "unknown order ????"),
        (b"check " * 100, False, "longer than"),
        ("check " + "x" * MAX_COMMAND_BYTES, False, "longer than"),
        (b"chec", True, "unfinished"),
        (b"", True, "unfinished"),
        (b"drain-", False, "no whole line came in time"),
    ]:
        answer = program.admin_command(line, half_closes)
        assert answer.startswith("fail ")
        assert expected in answer
    assert program.admin_command(b"check\r\nand more").startswith("ok serving")
    assert program.admin_command("drain-on").startswith("ok draining")
    assert program.admin_command("check") == "fail draining"
    assert program.admin_command("drain-off").startswith("ok serving")
    assert program.admin_command("check").startswith("ok serving")


def test_neither_callers_nor_silent_operators_block_the_admin_endpoint(start_deployment):
    """The endpoint does not share its descriptors with callers, and silent operators do not fill it."""
    program, _, (server,) = start_deployment(SILENT, sockets=40, wait_until_serving=True)
    callers = [program.caller() for _ in range(30)]
    for caller in callers:
        caller.invite(next_call_id(), answer_within_ms=9000)
    wait_until(lambda: len(server.messages("START")) >= 8)
    silent_operators = [socket.create_connection(program.admin_address) for _ in range(60)]
    assert program.admin_command("check").startswith("ok")
    for each in silent_operators:
        each.settimeout(20)
        assert each.recv(100).startswith(b"fail "), "a silent operator gets a reason too"
        each.close()


def test_a_full_admin_endpoint_evicts_a_silent_operator_at_once():
    """An answer is due within 1 s, so a new operator cannot wait for the silent ones' timeout."""
    node = InProcessNode()
    runner = SimpleNamespace(loop=SimpleNamespace(time=lambda: node.now), call_manager=node.call_manager)
    listener = Listener(runner, None, None, None, ADMIN_LIMITS)
    with socket.socketpair()[0] as end:
        for _ in range(ADMIN_LIMITS.max_connections):
            listener.connections[AcceptedConnection(AdminConnection(node.call_manager), end, node.now)] = None
        node.run(0.1)
        assert listener.evict()


def test_the_admin_endpoint_answers_and_refuses_drain_off_during_shutdown(start_deployment):
    """A drain cannot be ended while the process shuts down."""
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


def test_the_terminal_console_accepts_the_admin_commands(start_deployment):
    """The console and the endpoint have the same command names; the console's former `drain` is unknown."""
    program, _, _ = start_deployment(None, frontend="appliance", wait_until_serving=True)
    stdin = program.process.stdin
    for command, expected in [
        ("check", "ok serving, 2 of 2"), ("drain-on", "ok draining, 0 calls"),
        ("status", "state      draining for"), ("drain-off", "ok serving, 2 of 2"),
        ("status", "state      serving"), ("drain", "unknown command 'drain'"),
    ]:  # fmt: skip
        before = len(program.log_text())
        stdin.write(command.encode() + b"\n")
        stdin.flush()
        wait_until(lambda expected=expected, before=before: expected in program.log_text()[before:], expected)
    stdin.write(b"quit\n")
    stdin.flush()
    assert program.process.wait(20) == 0


def test_a_check_is_logged_only_when_its_answer_changes():
    """Health checks, which may come ten times a second during a drain, do not fill the log."""
    node, answers = InProcessNode(), []
    node.log = lambda _event, **fields: answers.append(fields.get("answer"))
    for on in (False, True, False):
        node.call_manager.readiness.drain(on)
        answers.clear()
        for _ in range(10):
            AdminConnection(node.call_manager).receive_data(b"check\n")
        assert len(answers) == 1


def test_only_one_command_is_executed_per_connection():
    """A command may arrive in pieces and runs once its line is complete; later lines are not executed."""
    node = InProcessNode()
    admin = AdminConnection(node.call_manager)
    for piece in (b"dra", b"in-", b"on\ndrain-off\n", b"drain-off\n"):
        admin.receive_data(piece)
    assert admin.data_to_send().startswith(b"ok draining")
    assert admin.can_close()
    assert node.call_manager.readiness.drain_since is not None
