"""A scope in the real program: connections come with the first call of a service."""

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

PER, SERVICES = 3, 4


def start_with_scope(folder, places):
    """The appliance with services of three servers each, under a scope."""
    port, admin_port = free_port(), free_port()
    lines = [
        f'console = "127.0.0.1:{admin_port}"', "trace = true", "[sip]", f'udp = "127.0.0.1:{port}"',
        f'contact = "127.0.0.1:{port}"', "restart_wait_s = 0.2", 'default_class = "s0"',
        "[scope]", "idle_s = 1",
        "[settings.family_info]", "clear_wait_s = 0.5", "retransmit_s = 0.8",
        f"allowed_pools = {[list(range(n * PER, n * PER + PER)) for n in range(SERVICES)]}",
    ]  # fmt: skip
    for n in range(SERVICES):
        lines += ["[[settings.classes]]", f'name = "s{n}"', "aim_s = 1.0", "hard_limit_s = 3.0"]
    for n, each in enumerate(places):
        lines += ["[[servers]]", f'name = "r{n}"', f'address = "{each}"', f"number = {n}"]
    path = folder / "scope.toml"
    path.write_text("\n".join(lines) + "\n")
    program = Program(folder, "serve", str(path)).wait_until_ready(port, admin_port)
    if program is None:
        return start_with_scope(folder, places)
    program.path = path
    return program


def shown_on_console(program):
    """The scope of each class, and the connection of each server, as the terminal console shows them."""
    program.process.stdin.write(b"servers\nclasses\n")
    program.process.stdin.flush()
    wait_until(lambda: "\ns3 " in program.log_text(), "the last class")
    rows = [each.split() for each in program.log_text().splitlines()]
    scopes = [row[-1] for row in rows if row and row[0] in ("s0", "s1", "s2", "s3")]
    server_connections = {
        row[0]: row[4] for row in rows if len(row) > 5 and row[0][0] == "r" and row[3] == "ready"
    }
    return scopes, server_connections


def lost(program):
    """The servers whose connections were lost or closed, in order."""
    return [each["server"] for each in program.log_events("server_connection_lost")]


def start_services(folder):
    """The appliance before servers of all services but the last, whose ports are taken and listen to nobody.

    Returns the program, the servers, and the sockets that hold the last ports.
    """
    host = f"127.{random.randrange(2, 250)}.{random.randrange(250)}.1"  # no other test connects there
    servers = [ScriptedServer(host=host) for _ in range(PER * (SERVICES - 1))]
    refusing = [socket.socket() for _ in range(PER)]
    for each in refusing:
        each.bind((host, 0))
    ports = [*(each.port for each in servers), *(each.getsockname()[1] for each in refusing)]
    return start_with_scope(folder, [f"{host}:{port}" for port in ports]), servers, refusing


def invite(caller, call, service):
    """A set-up of a service."""
    headers = sip_headers("INVITE", "1", f"z9hG4bK{call}", call, caller.host)
    caller.send("INVITE", "sip:71@net", {**headers, "call-kind": service}, b"v=0")


def wait_for_connections(program, servers):
    """Wait until there is a connection to each of these servers and to no other."""
    wait_until(lambda: all(len(each.connections) == 1 for each in servers), "a connection to each server")
    health = f"ok serving, {PER} of {PER} roster servers connected"
    wait_until(lambda: program.admin_command("check") == health, "connections")


def test_a_first_call_brings_its_servers_into_scope_and_no_others(tmp_path, started_programs):
    """There are no connections to the whole list, the first call finds its servers, and no release is lost
    with its scope. Of four services one is used, and later one none of whose servers is there.
    """
    program, servers, refusing = start_services(tmp_path)
    started_programs.append(program)
    program.wait_until_serving()
    assert program.admin_command("check") == "ok serving, 0 of 0 roster servers connected"
    assert not any(each.connections for each in servers)
    used, others = servers[PER : 2 * PER], servers[:PER] + servers[2 * PER :]

    caller = SipCaller(program.address, udp=True)
    invite(caller, "c1", "s1")
    dialog = {"host": caller.host, "to_tag": sip.parameters(caller.expect("c1", 200).get("to"))["tag"]}
    caller.send("ACK", "sip:71@net", sip_headers("ACK", "1", "z9hG4bKack", "c1", **dialog))
    wait_for_connections(program, used)
    scopes, server_connections = shown_on_console(program)
    assert scopes == ["out", "in", "out", "out"]
    assert server_connections == {f"r{n}": "up" if n // PER == 1 else "-" for n in range(PER * SERVICES)}

    home = next(each for each in used if each.messages("START"))
    assert_set_leaves_before_its_call(program, home, f"r{servers.index(home)}")
    caller.send("BYE", "sip:71@net", sip_headers("BYE", "2", "z9hG4bKbye", "c1", **dialog))
    wait_until(lambda: home.messages("FINISH"), "the release at the server")
    wait_until(lambda: f"r{servers.index(home)}" in lost(program), "then its connection closes")

    invite(caller, "c2", "s3")  # of which no server is there
    wait_until(lambda: caller.final_statuses("c2"), "a final answer")
    invite(caller, "c3", "s1")
    caller.expect("c3", 200)
    in_scope = [each["classes"] for each in program.log_events("scope") if each["state"] == "in"]
    assert in_scope == ["s1", "s3", "s1"]
    assert caller.final_statuses("c2")[0] >= 400
    assert not any(each.connections for each in others)
    wait_until(lambda: all(len(each.connections) >= 2 for each in used), "connections anew")
    assert_reloads_of_scope(program)
    assert program.stop() == 0
    assert not any(each.connections for each in others)
    for each in refusing:
        each.close()


def assert_set_leaves_before_its_call(program, home, name):
    """The set leaves the scope and its connections close, but for the one to the call's server."""
    wait_until(lambda: " scope state=out classes=s1 " in program.log_text(), "the set leaves the scope")
    wait_until(lambda: len(lost(program)) == PER - 1, "the connections without an established call close")
    assert name not in lost(program)
    assert not home.messages("FINISH")


def assert_reloads_of_scope(program):
    """Another idle time is applied; the scope itself requires a restart to be taken out."""
    text = program.path.read_text()
    assert program.reload(text.replace("idle_s = 1", "idle_s = 900"))["result"] == "applied"
    assert program.reload(text.replace("[scope]\nidle_s = 1\n", ""))["restart_required"] == "scope"
