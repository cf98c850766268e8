"""The start of the process: its conditions for readiness, and the errors that end it with one log line."""

from __future__ import annotations

import json
import socket
import time

import pytest

from stairhatch.emulators.ports import free_port
from stairhatch.node.calls import ServerRecord
from stairhatch.node.readiness import FIRST_CONNECT_WAIT_S
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.overload.events import Availability

from .support.call_ids import next_call_id
from .support.full_listener import FullListener
from .support.in_process_node import InProcessNode
from .support.platform_config import SETTINGS, platform_config
from .support.program import Program
from .support.scripted_coordinator import ScriptedCoordinator, endpoint_entry
from .support.scripted_server import ScriptedServer
from .support.waiting import WAIT_LIMIT_S, wait_until


@pytest.mark.parametrize(
    "coordinator_silent", [False, True], ids=["coordinator answers", "coordinator silent"]
)
def test_start_does_not_wait_for_a_server_that_never_answers_the_connect(
    tmp_path, started_programs, coordinator_silent
):
    """The start does not wait for a listed server whose connect is never answered. The settings allow a
    connect to take 600 s, which is longer than the test waits.
    """
    began = time.monotonic()
    full_listener, server = FullListener(), ScriptedServer()
    assert len(full_listener.connections) >= 2, "the accept queue is filled until a connect gets no answer"
    coordinator = ScriptedCoordinator(
        endpoint_entry("s-0", server.port, 0), endpoint_entry("s-1", full_listener.port, 1)
    )
    coordinator.withholds_answers = coordinator_silent
    permissions = {**SETTINGS["permissions"], "connect_timeout_s": 600.0}
    program = Program.on_platform(tmp_path, coordinator, {**SETTINGS, "permissions": permissions})
    started_programs.append(program)
    wait_until(lambda: program.log_events("serving"), "the softswitch to accept calls")
    assert not program.log_events("server_connect_failed"), "the connect is still in progress"
    assert program.health_check_status() == 200
    assert program.admin_command("check").startswith("ok")
    ident, caller = next_call_id(), program.caller()
    caller.invite(ident)
    caller.expect(ident, 200)
    full_listener.empty_queue()  # the connect that is pending in the kernel now succeeds
    syn_due_within_s = time.monotonic() - began + 1.0  # SYN retransmissions: 1 s at first, then doubling
    wait_until(
        lambda: any(line["server"] == "s-1" for line in program.log_events("server_connected")),
        "the late connection",
        limit_s=syn_due_within_s + WAIT_LIMIT_S,
    )
    assert not program.log_events("server_connect_failed")
    full_listener.close()


def test_start_waits_a_limited_time_for_server_connections():
    """The start waits for server connections, but servers listed meanwhile do not extend the wait."""
    node = InProcessNode()
    ServerConnectionPool(node.call_manager, lambda _connection: None)
    for number in range(20):
        name = f"s-{number}"
        record = ServerRecord(name, ("127.0.0.1", 9), number % 2, Availability.READY)
        node.call_manager.update_servers([record], False)
        reason = node.call_manager.readiness.startup_health().reason
        assert (name in reason) is (number * 0.1 < FIRST_CONNECT_WAIT_S), "the newest is not connected yet"
        node.run(0.1)
    assert node.call_manager.readiness.startup_health().is_ready


def test_health_check_requires_list_and_connection_attempts_but_no_dead_server():
    """The health check passes only when calls can be served, and one unreachable server does not fail it."""
    node, server_connections = InProcessNode(), []
    call_manager = node.call_manager
    pool = ServerConnectionPool(call_manager, server_connections.append)
    call_manager.servers.by_id.clear()
    call_manager.servers.by_instance.clear()
    call_manager.readiness.listening = call_manager.readiness.list_known = False
    assert "list" in call_manager.readiness.health().reason
    call_manager.readiness.list_known = True
    assert "no roster server" in call_manager.readiness.health().reason
    records = [
        ServerRecord(name, ("127.0.0.1", 9), n, Availability.READY) for n, name in enumerate(("live", "dead"))
    ]
    call_manager.update_servers(records, True)
    assert "live dead" in call_manager.readiness.health().reason
    server_connections[0].connection_made()
    assert "tried yet: dead" in call_manager.readiness.health().reason
    server_connections[1].connect_failed(refused=False)
    assert "not listening" in call_manager.readiness.health().reason
    call_manager.readiness.listening = True
    assert call_manager.readiness.health().reason == ""
    call_manager.update_servers([ServerRecord("new", ("127.0.0.1", 9), 2, Availability.READY)], False)
    server_connections[0].connection_lost()
    assert (
        call_manager.readiness.health().reason == ""
    ), "server changes after the start do not affect the health check"
    assert pool.active


@pytest.mark.parametrize(
    ("descriptor", "error_text"), [("99", "descriptor 99"), ("x", "invalid literal"), ("1", "descriptor 1")]
)
def test_inherited_descriptor_that_is_no_socket_ends_the_start_with_one_line(
    tmp_path, descriptor, error_text
):
    """An unusable descriptor ends the program with exit code 2 and one line, instead of a traceback or a
    softswitch that does not listen.
    """
    path = tmp_path / "config.json"
    path.write_text(json.dumps(platform_config(ScriptedCoordinator(), 1, 2)))
    program = Program(tmp_path, RELAY_CONFIG=str(path), RELAY_INHERITED_FD=descriptor)
    assert program.process.wait(20) == 2
    assert program.log_text().count("\n") == 1
    assert error_text in program.log_text()


def test_error_for_an_inherited_socket_that_does_not_listen_names_it_once(tmp_path):
    """The error names the variable and the descriptor once. They appeared twice when the ConfigError was
    wrapped in another ConfigError.
    """
    path = tmp_path / "config.json"
    path.write_text(json.dumps(platform_config(ScriptedCoordinator(), 1, 2)))
    with socket.socket() as sock:
        descriptor = str(sock.fileno())
        program = Program(
            tmp_path, inherited=(sock.fileno(),), RELAY_CONFIG=str(path), RELAY_INHERITED_FD=descriptor
        )
        assert program.process.wait(20) == 2
    line = program.log_text()
    assert line.strip() == f"stairhatch: RELAY_INHERITED_FD: descriptor {descriptor} does not listen"


@pytest.mark.parametrize(
    ("change", "error_text"),
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
def test_unusable_configuration_ends_the_start_with_one_line(tmp_path, change, error_text):
    """A mistake in the configuration ends the program with exit code 2 and one line without a traceback."""
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
    assert error_text in program.log_text()
