"""The start of the process: what it waits for, and what ends it in one plain line."""

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


@pytest.mark.parametrize("silent", [False, True], ids=["coordinator up", "coordinator silent"])
def test_a_start_does_not_wait_for_a_server_that_never_answers_its_connect(
    tmp_path, started_programs, silent
):
    """One listed server that never answers does not hold up the start for as long as the settings allow a
    connect to take, which is longer here than the test waits.
    """
    began = time.monotonic()
    full_listener, server = FullListener(), ScriptedServer()
    assert len(full_listener.connections) >= 2, "its queue was filled until a connect got no answer"
    coordinator = ScriptedCoordinator(
        endpoint_entry("s-0", server.port, 0), endpoint_entry("s-1", full_listener.port, 1)
    )
    coordinator.withholds_answers = silent
    permissions = {**SETTINGS["permissions"], "connect_timeout_s": 600.0}
    program = Program.on_platform(tmp_path, coordinator, {**SETTINGS, "permissions": permissions})
    started_programs.append(program)
    wait_until(lambda: program.log_events("serving"), "that it serves")
    assert not program.log_events("server_connect_failed"), "it was still being connected"
    assert program.health_check_status() == 200
    assert program.admin_command("check").startswith("ok")
    ident, caller = next_call_id(), program.caller()
    caller.invite(ident)
    caller.expect(ident, 200)
    full_listener.empty_queue()  # the connect that waits in the kernel succeeds late
    syn_due_within_s = time.monotonic() - began + 1.0  # the kernel doubles the wait between two SYN, from 1 s
    wait_until(
        lambda: any(line["server"] == "s-1" for line in program.log_events("server_connected")),
        "the late one",
        limit_s=syn_due_within_s + WAIT_LIMIT_S,
    )
    assert not program.log_events("server_connect_failed")
    full_listener.close()


def test_a_start_waits_for_server_connections_and_not_for_good():
    """A start waits for connections, but not anew for each server that is listed while it waits."""
    node = InProcessNode()
    ServerConnectionPool(node.core, lambda _connection: None)
    for number in range(20):
        name = f"s-{number}"
        line = ServerRecord(name, ("127.0.0.1", 9), number % 2, Availability.READY)
        node.core.update_servers([line], False)
        waits = node.core.readiness.startup_health().reason
        assert (name in waits) is (number * 0.1 < FIRST_CONNECT_WAIT_S), "the newest has not been tried"
        node.run(0.1)
    assert node.core.readiness.startup_health().is_ready


def test_the_health_check_waits_for_list_and_connections_but_not_for_a_dead_server():
    """The health check says yes only when calls can be served, and one dead server does not hold it at no."""
    node, server_connections = InProcessNode(), []
    core = node.core
    pool = ServerConnectionPool(core, server_connections.append)
    core.servers.by_id.clear()
    core.servers.by_instance.clear()
    core.readiness.listening = core.readiness.list_known = False
    assert "list" in core.readiness.health().reason
    core.readiness.list_known = True
    assert "no roster server" in core.readiness.health().reason
    lines = [
        ServerRecord(name, ("127.0.0.1", 9), n, Availability.READY) for n, name in enumerate(("live", "dead"))
    ]
    core.update_servers(lines, True)
    assert "live dead" in core.readiness.health().reason
    server_connections[0].connection_made()
    assert "tried yet: dead" in core.readiness.health().reason
    server_connections[1].connect_failed(refused=False)
    assert "not listening" in core.readiness.health().reason
    core.readiness.listening = True
    assert core.readiness.health().reason == ""
    core.update_servers([ServerRecord("new", ("127.0.0.1", 9), 2, Availability.READY)], False)
    server_connections[0].connection_lost()
    assert core.readiness.health().reason == "", "later changes are for the decisions"
    assert pool.active


@pytest.mark.parametrize(
    ("given", "complaint"), [("99", "descriptor 99"), ("x", "invalid literal"), ("1", "descriptor 1")]
)
def test_an_inherited_descriptor_that_is_no_socket_ends_the_start_in_one_plain_line(
    tmp_path, given, complaint
):
    """There is no traceback, and no softswitch that listens nowhere."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(platform_config(ScriptedCoordinator(), 1, 2)))
    program = Program(tmp_path, RELAY_CONFIG=str(path), RELAY_INHERITED_FD=given)
    assert program.process.wait(20) == 2
    assert program.log_text().count("\n") == 1
    assert complaint in program.log_text()


def test_an_inherited_socket_that_does_not_listen_is_named_once(tmp_path):
    """The line named variable and descriptor twice, as the error was wrapped in one of its own kind."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(platform_config(ScriptedCoordinator(), 1, 2)))
    with socket.socket() as sock:
        given = str(sock.fileno())
        program = Program(
            tmp_path, inherited=(sock.fileno(),), RELAY_CONFIG=str(path), RELAY_INHERITED_FD=given
        )
        assert program.process.wait(20) == 2
    line = program.log_text()
    assert line.strip() == f"stairhatch: RELAY_INHERITED_FD: descriptor {given} does not listen"


@pytest.mark.parametrize(
    ("change", "complaint"),
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
def test_an_unusable_configuration_ends_the_start_in_one_plain_line(tmp_path, change, complaint):
    """There is no traceback where an operator mistyped something."""
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
    assert complaint in program.log_text()
