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


def test_a_first_call_brings_its_servers_into_scope_and_no_others(tmp_path, started_programs):
    """There are no connections to the whole list, the first call finds its servers, and no release is lost
    with its scope. Of four services one is used, and later one none of whose servers is there.
    """
    host = f"127.{random.randrange(2, 250)}.{random.randrange(250)}.1"  # no other test connects there
    servers = [ScriptedServer(host=host) for _ in range(PER * (SERVICES - 1))]
    mute = [socket.socket() for _ in range(PER)]  # bound, so that nobody else is, and not listening
    for each in mute:
        each.bind((host, 0))
    ports = [*(each.port for each in servers), *(each.getsockname()[1] for each in mute)]
    program = start_with_scope(tmp_path, [f"{host}:{port}" for port in ports])
    started_programs.append(program)
    program.wait_until_serving()
    assert program.admin_command("check") == "ok serving, 0 of 0 roster servers connected"
    assert not any(each.connections for each in servers)
    caller = SipCaller(program.address, udp=True)

    def invite(call, service):
        headers = sip_headers("INVITE", "1", f"z9hG4bK{call}", call, caller.host)
        caller.send("INVITE", "sip:71@net", {**headers, "call-kind": service}, b"v=0")

    invite("c1", "s1")
    answer = caller.expect("c1", 200)
    asked, others = servers[PER : 2 * PER], servers[:PER] + servers[2 * PER :]
    wait_until(
        lambda: all(len(each.connections) == 1 for each in asked),
        "a connection to each server of the service",
    )
    took = next(each for each in asked if each.messages("START"))
    name = f"r{servers.index(took)}"
    tag = sip.parameters(answer.get("to"))["tag"]
    more = {"host": caller.host, "to_tag": tag}
    caller.send("ACK", "sip:71@net", sip_headers("ACK", "1", "z9hG4bKack", "c1", **more))
    wait_until(
        lambda: program.admin_command("check") == f"ok serving, {PER} of {PER} roster servers connected",
        "connections",
    )
    scopes, server_connections = shown_on_console(program)
    assert scopes == ["out", "in", "out", "out"]
    assert server_connections == {f"r{n}": "up" if n // PER == 1 else "-" for n in range(PER * SERVICES)}

    wait_until(lambda: " scope state=out classes=s1 " in program.log_text(), "the set leaves the scope")
    wait_until(lambda: len(lost(program)) == PER - 1, "the connections without an established call close")
    assert name not in lost(program)
    assert not took.messages("FINISH")
    caller.send("BYE", "sip:71@net", sip_headers("BYE", "2", "z9hG4bKbye", "c1", **more))
    wait_until(lambda: took.messages("FINISH"), "the release at the server")
    wait_until(lambda: name in lost(program), "then its connection ends")

    invite("c2", "s3")  # nobody is there
    wait_until(lambda: caller.final_statuses("c2"), "a final answer")
    invite("c3", "s1")
    caller.expect("c3", 200)
    assert [each["classes"] for each in program.log_events("scope") if each["state"] == "in"] == [
        "s1",
        "s3",
        "s1",
    ]
    assert caller.final_statuses("c2")[0] >= 400
    assert not any(each.connections for each in others)
    wait_until(lambda: all(len(each.connections) >= 2 for each in asked), "connections anew")
    text = program.path.read_text()
    assert program.reload(text.replace("idle_s = 1", "idle_s = 900"))["result"] == "applied"
    assert program.reload(text.replace("[scope]\nidle_s = 1\n", ""))["restart_required"] == "scope"
    assert program.stop() == 0
    assert not any(each.connections for each in others)
    for each in mute:
        each.close()
