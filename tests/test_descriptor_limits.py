"""The limit of descriptors: how callers, servers, coordinator and admin endpoint share it."""

from __future__ import annotations

import os
import socket
import threading
import time
from collections import Counter

import pytest

from stairhatch.node import sip_message as sip
from stairhatch.node.io.descriptor_budget import DescriptorBudget

from .support.call_ids import next_call_id
from .support.program import Program
from .support.scripted_coordinator import ScriptedCoordinator, endpoint_entry
from .support.scripted_server import ScriptedServer
from .support.waiting import wait_until

PING = sip.request("OPTIONS", "sip:ping@net", [("call-id", "p"), ("cseq", "1 OPTIONS")], b"")


class IdleCallers:
    """Callers that hold connections and want nothing: silent, within a message, or after one health check.
    One that is evicted connects again at once, or never; those that stay then have sent one request.
    """

    FIRST_BYTES = (b"", PING[:30], PING)

    def __init__(self, address, size, reconnects):
        self.address, self.reconnects, self.connected, self.over = address, reconnects, 0, False
        self.first_bytes = self.FIRST_BYTES if reconnects else (PING,)
        self.threads = [threading.Thread(target=self._hold, args=(n,), daemon=True) for n in range(size)]
        for each in self.threads:
            each.start()

    def _hold(self, number):
        while not self.over:
            try:
                with socket.create_connection(self.address, 20) as sock:
                    self.connected += 1
                    sock.sendall(self.first_bytes[number % len(self.first_bytes)])
                    sock.settimeout(0.2)
                    while not self.over:
                        try:
                            if not sock.recv(4096):
                                break
                        except TimeoutError:
                            continue
            except OSError:
                time.sleep(0.01)
            if not self.reconnects:
                return

    def go(self):
        self.over = True
        for each in self.threads:
            each.join()


def open_descriptors(program):
    """How many descriptors the process has open."""
    return len(os.listdir(f"/proc/{program.process.pid}/fd"))


@pytest.mark.parametrize("reconnects", [True, False], ids=["who come again", "who stay"])
@pytest.mark.parametrize(("configured", "system"), [(64, 64), (1024, 64), (64, 1024)])
def test_idle_callers_leave_descriptors_for_servers_and_coordinator_that_return(
    tmp_path, started_programs, configured, system, reconnects
):
    """Idle callers that fill the descriptors while the coordinator and all servers are away leave some to
    connect to them when they return. The limit is that of the settings, of the system, or both.
    """

    class Limited(Program):
        descriptor_limit = system

    servers = [ScriptedServer() for _ in range(6)]
    coordinator = ScriptedCoordinator(
        *(endpoint_entry(f"s-{n}", each.port, n % 2) for n, each in enumerate(servers))
    )
    program = Limited.on_platform(tmp_path, coordinator, sockets=configured).wait_until_serving()
    started_programs.append(program)
    for each in (coordinator.close, *(each.close for each in servers)):
        each()
    wait_until(lambda: len(program.log_events("server_connection_lost")) == 6, "that all are away")
    before = program.counters()
    idle_callers = IdleCallers(program.address, 2 * min(configured, system), reconnects)
    wait_until(
        lambda: idle_callers.connected >= (4 if reconnects else 2) * min(configured, system),
        "descriptors filled over",
    )
    missed = ("server_connections_failed", "discovery_unreachable")
    wait_until(
        lambda: all((program.counters() - before)[name] >= 12 for name in missed), "that all are missed"
    )
    assert program.counters()["connections_evicted"] > 0, "callers who hold on were in excess"
    polls = len(coordinator.polled_indices)
    coordinator.reopen()
    returned = [ScriptedServer(port=each.port) for each in servers]
    wait_until(lambda: len(program.log_events("server_connected")) >= 12, "the roster servers, reached again")
    wait_until(lambda: len(coordinator.polled_indices) > polls, "the coordinator, polled again")
    coordinator.publish(endpoint_entry("s-0", returned[0].port, 0, "terminating"))
    wait_until(lambda: program.log_events("server_listed")[-1]["state"] == "draining", "its news")
    assert program.admin_command("check").startswith("ok")
    ident, newcomer = next_call_id(), program.caller()
    newcomer.invite(ident, answer_within_ms=9000)
    newcomer.expect(ident, 200)
    assert open_descriptors(program) <= min(configured, system)
    idle_callers.go()
    lines = Counter(line.split(".")[0] for line in program.log_text().splitlines() if " accept " in line)
    assert max(lines.values(), default=0) <= 2, "one line a second says that descriptors have run out"


def test_a_list_longer_than_the_limit_leaves_callers_and_admin_endpoint_descriptors(
    tmp_path, started_programs
):
    """Server connections do not take every descriptor where so many servers are listed, and all are there."""

    class Limited(Program):
        descriptor_limit = 64

    servers = [ScriptedServer() for _ in range(70)]
    coordinator = ScriptedCoordinator(
        *(endpoint_entry(f"s-{n}", each.port, n % 2) for n, each in enumerate(servers))
    )
    program = Limited.on_platform(tmp_path, coordinator, sockets=1024).wait_until_serving()
    started_programs.append(program)
    wait_until(lambda: len(program.log_events("server_connect_failed")) >= 20, "servers without a descriptor")
    assert program.log_events("server_connected"), "others are reached"
    idle_callers = IdleCallers(program.address, 64, False)
    wait_until(
        lambda: idle_callers.connected == 64 and program.counters()["connections_evicted"] > 0,
        "that some are evicted",
    )
    assert program.admin_command("check").startswith("ok")
    ident, newcomer = next_call_id(), program.caller()
    newcomer.invite(ident, answer_within_ms=9000)
    wait_until(lambda: newcomer.final_statuses(ident), "an answer")
    assert open_descriptors(program) <= 64
    idle_callers.go()
    said = Counter(line["at"].split(".")[0] for line in program.log_events("descriptors")[1:])
    assert 0 < max(said.values()) <= 2, "said, and not in a spin"


def test_callers_keep_a_third_where_the_list_is_longer_than_the_limit():
    """1,900 servers listed under a limit of 1,024 leave callers descriptors; a list that fits leaves them the
    rest.
    """
    for most in (32, 64, 1024):
        short = DescriptorBudget(most, 26, 1901)
        assert short.available_to_callers() == most // 3
        assert most // 4 <= short.available_to_servers() < most - most // 3
    long = DescriptorBudget(4096, 26, 1901)
    assert long.available_to_callers() > 4096 / 2
    assert long.available_to_servers() > 1900
    few = DescriptorBudget(1024, 26, 25)
    assert few.available_to_callers() > 768, "three quarters, which the settings allow"
    unlimited = DescriptorBudget()
    least = min(unlimited.available_to_callers(), unlimited.available_to_servers())
    assert least > 10**6, "where no limit is set"
