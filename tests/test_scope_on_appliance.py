"""Tests of a scope in the running program: the first call of a service opens its connections."""

from __future__ import annotations

import random
import socket

from stairhatch.emulators.ports import free_port
from stairhatch.node import sip_message as sip

from .support.program import Program
from .support.scripted_server import ScriptedServer
from .support.sip_caller import SipCaller
from .support.sip_messages import sip_headers
from .support.waiting import wait_until

PER_SERVICE, SERVICE_COUNT = 3, 4  # servers of each service, services


def start_with_scope(folder, addresses):
    """Start the appliance with a scope and four services of three servers each; return the program."""
    port, admin_port = free_port(), free_port()
    lines = [
        f'console = "127.0.0.1:{admin_port}"', "trace = true", "[sip]", f'udp = "127.0.0.1:{port}"',
        f'contact = "127.0.0.1:{port}"', "restart_wait_s = 0.2", 'default_class = "s0"',
        "[scope]", "idle_s = 1",
        "[settings.family_info]", "clear_wait_s = 0.5", "retransmit_s = 0.8",
        "allowed_pools = "
        f"{[list(range(n * PER_SERVICE, n * PER_SERVICE + PER_SERVICE)) for n in range(SERVICE_COUNT)]}",
    ]  # fmt: skip
    for n in range(SERVICE_COUNT):
        lines += ["[[settings.classes]]", f'name = "s{n}"', "aim_s = 1.0", "hard_limit_s = 3.0"]
    for n, each in enumerate(addresses):
        lines += ["[[servers]]", f'name = "r{n}"', f'address = "{each}"', f"number = {n}"]
    path = folder / "scope.toml"
    path.write_text("\n".join(lines) + "\n")
    program = Program(folder, "serve", str(path)).wait_until_ready(port, admin_port)
    if program is None:
        return start_with_scope(folder, addresses)
    program.path = path
    return program


def console_state(program):
    """Return each class's scope and each server's connection state, as the terminal console shows them."""
    program.process.stdin.write(b"servers\nclasses\n")
    program.process.stdin.flush()
    wait_until(lambda: "\ns3 " in program.log_text(), "output for the last class")
    rows = [each.split() for each in program.log_text().splitlines()]
    scopes = [row[-1] for row in rows if row and row[0] in ("s0", "s1", "s2", "s3")]
    server_connections = {
        row[0]: row[4] for row in rows if len(row) > 5 and row[0][0] == "r" and row[3] == "ready"
    }
    return scopes, server_connections


def classes_in_scope(program):
    """Return the classes that have come into scope, in order."""
    return [each["classes"] for each in program.log_events("scope") if each["state"] == "in"]


def closed_connections(program):
    """Return the servers whose connections were lost or closed, in order."""
    return [each["server"] for each in program.log_events("server_connection_lost")]


def start_services(folder):
    """Start the appliance, and servers for all services but the last, whose ports are bound but refuse.

    Returns the program, the servers, and the sockets that are bound to the ports of the last service.
    """
    host = f"127.{random.randrange(2, 250)}.{random.randrange(250)}.1"  # no other test uses this address
    servers = [ScriptedServer(host=host) for _ in range(PER_SERVICE * (SERVICE_COUNT - 1))]
    refusing = [socket.socket() for _ in range(PER_SERVICE)]
    for each in refusing:
        each.bind((host, 0))
    ports = [*(each.port for each in servers), *(each.getsockname()[1] for each in refusing)]
    return start_with_scope(folder, [f"{host}:{port}" for port in ports]), servers, refusing


def invite(caller, call, service):
    """Send an INVITE of a service."""
    headers = sip_headers("INVITE", "1", f"z9hG4bK{call}", call, caller.host)
    caller.send("INVITE", "sip:71@net", {**headers, "call-kind": service}, b"v=0")


def wait_for_connections(program, servers):
    """Wait until the program has a connection to each of these servers and to no other."""
    wait_until(lambda: all(len(each.connections) == 1 for each in servers), "a connection to each server")
    health = f"ok serving, {PER_SERVICE} of {PER_SERVICE} roster servers connected"
    wait_until(lambda: program.admin_command("check") == health, "connections")


def test_a_first_call_brings_its_servers_into_scope_and_no_others(tmp_path, started_programs):
    """Guards against connections to the whole list, a first call that fails, and a release lost with a scope.

    One of four services is called, and later one whose servers all refuse connections.
    """
    program, servers, refusing = start_services(tmp_path)
    started_programs.append(program)
    program.wait_until_serving()
    assert program.admin_command("check") == "ok serving, 0 of 0 roster servers connected"
    assert not any(each.connections for each in servers)
    used, others = (
        servers[PER_SERVICE : 2 * PER_SERVICE],
        servers[:PER_SERVICE] + servers[2 * PER_SERVICE :],
    )

    caller = SipCaller(program.address, udp=True)
    invite(caller, "c1", "s1")
    dialog = {"host": caller.host, "to_tag": sip.parameters(caller.expect("c1", 200).get("to"))["tag"]}
    caller.send("ACK", "sip:71@net", sip_headers("ACK", "1", "z9hG4bKack", "c1", **dialog))
    wait_for_connections(program, used)
    scopes, server_connections = console_state(program)
    assert scopes == ["out", "in", "out", "out"]
    assert server_connections == {
        f"r{n}": "up" if n // PER_SERVICE == 1 else "-" for n in range(PER_SERVICE * SERVICE_COUNT)
    }

    call_server = next(each for each in used if each.messages("START"))
    assert_set_leaves_during_its_call(program, call_server, f"r{servers.index(call_server)}")
    caller.send("BYE", "sip:71@net", sip_headers("BYE", "2", "z9hG4bKbye", "c1", **dialog))
    wait_until(lambda: call_server.messages("FINISH"), "release at the server")
    wait_until(
        lambda: f"r{servers.index(call_server)}" in closed_connections(program),
        "close of the connection after the release",
    )

    invite(caller, "c2", "s3")  # all servers of s3 refuse connections
    wait_until(lambda: caller.final_statuses("c2"), "a final answer")
    invite(caller, "c3", "s1")
    caller.expect("c3", 200)
    wait_until(lambda: len(classes_in_scope(program)) >= 3, "the log line of the last class")
    assert classes_in_scope(program) == ["s1", "s3", "s1"]
    assert caller.final_statuses("c2")[0] >= 400
    assert not any(each.connections for each in others)
    wait_until(lambda: all(len(each.connections) >= 2 for each in used), "new connections")
    assert_reloads_of_scope(program)
    assert program.stop() == 0
    assert not any(each.connections for each in others)
    for each in refusing:
        each.close()


def assert_set_leaves_during_its_call(program, call_server, name):
    """Assert that the set leaves the scope and all its connections close, except the one of the call."""
    wait_until(lambda: " scope state=out classes=s1 " in program.log_text(), "the set to leave the scope")
    wait_until(
        lambda: len(closed_connections(program)) == PER_SERVICE - 1,
        "close of the connections without an established call",
    )
    assert name not in closed_connections(program)
    assert not call_server.messages("FINISH")


def assert_reloads_of_scope(program):
    """Assert that a reload applies another idle time, and that removal of the scope requires a restart."""
    text = program.path.read_text()
    assert program.reload(text.replace("idle_s = 1", "idle_s = 900"))["result"] == "applied"
    assert program.reload(text.replace("[scope]\nidle_s = 1\n", ""))["restart_required"] == "scope"
