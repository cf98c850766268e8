"""The start of the process: what it waits for, and what ends it in one plain line."""

from __future__ import annotations

import json

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
from .support.waiting import wait_until


@pytest.mark.parametrize("silent", [False, True], ids=["coordinator up", "coordinator silent"])
def test_a_start_waits_for_no_server_that_never_answers_its_dial(tmp_path, started_programs, silent):
    """Guards against softswitches that are not ready for as long as the settings allow a connection to take:
    one listed server that never answers held up the start of all. Here that is longer than the story waits.
    """
    stuck, server = FullListener(), ScriptedServer()
    assert len(stuck.connections) >= 2, "its queue was filled until a dial got no answer"
    coordinator = ScriptedCoordinator(
        endpoint_entry("s-0", server.port, 0), endpoint_entry("s-1", stuck.port, 1)
    )
    coordinator.withholds_answers = silent
    permissions = {**SETTINGS["permissions"], "connect_timeout_s": 600.0}
    program = Program.on_platform(tmp_path, coordinator, {**SETTINGS, "permissions": permissions})
    started_programs.append(program)
    wait_until(lambda: program.log_events("serving"), "that it serves")
    assert not program.log_events("server_connect_failed"), "it was still being dialled"
    assert program.health_check_status() == 200
    assert program.admin_command("check").startswith("ok")
    ident, caller = next_call_id(), program.caller()
    caller.invite(ident)
    caller.expect(ident, 200)
    stuck.empty_queue()  # the dial that waits in the kernel comes up late
    wait_until(
        lambda: any(line["server"] == "s-1" for line in program.log_events("server_connected")),
        "the late one",
    )
    assert not program.log_events("server_connect_failed")
    stuck.close()


def test_a_start_waits_for_links_and_not_for_good():
    """Guards against a start that waits for no link, or for each server that is listed while it waits."""
    inside = InProcessNode()
    ServerConnectionPool(inside.core, lambda _link: None)
    for number in range(20):
        name = f"s-{number}"
        line = ServerRecord(name, ("127.0.0.1", 9), number % 2, Availability.READY)
        inside.core.update_servers([line], False)
        waits = inside.core.readiness.startup_health().reason
        assert (name in waits) is (number * 0.1 < FIRST_CONNECT_WAIT_S), "the newest has not been tried"
        inside.run(0.1)
    assert inside.core.readiness.startup_health().is_ready


def test_check_waits_for_the_list_and_the_links_but_not_for_a_dead_server():
    """Guards against a yes before calls can be served, and against one dead server that holds it at no."""
    inside, links = InProcessNode(), []
    core = inside.core
    side = ServerConnectionPool(core, links.append)
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
    links[0].connection_made()
    assert "tried yet: dead" in core.readiness.health().reason
    links[1].connect_failed(refused=False)
    assert "not listening" in core.readiness.health().reason
    core.readiness.listening = True
    assert core.readiness.health().reason == ""
    core.update_servers([ServerRecord("new", ("127.0.0.1", 9), 2, Availability.READY)], False)
    links[0].connection_lost()
    assert core.readiness.health().reason == "", "what comes and goes later is for the decisions"
    assert side.active


@pytest.mark.parametrize(
    ("given", "says"), [("99", "descriptor 99"), ("x", "invalid literal"), ("1", "descriptor 1")]
)
def test_a_descriptor_that_is_no_socket_ends_in_one_plain_line(tmp_path, given, says):
    """Guards against a traceback, or a softswitch that listens nowhere."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(platform_config(ScriptedCoordinator(), 1, 2)))
    program = Program(tmp_path, RELAY_CONFIG=str(path), RELAY_INHERITED_FD=given)
    assert program.process.wait(20) == 2
    assert program.log_text().count("\n") == 1
    assert says in program.log_text()


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
