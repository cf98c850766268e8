"""The descriptor limit: its division between callers, servers, coordinator and admin endpoint."""

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
    """Threads that each hold an idle connection.

    With `reconnects`, a connection is silent, within a message or idle after one health check, and an evicted
    caller connects again at once. Otherwise each caller sends one health check and connects only once.
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

    def stop(self):
        """End all connections."""
        self.over = True
        for each in self.threads:
            each.join()


def open_descriptors(program):
    """Return the number of descriptors that the process of the program has open."""
    return len(os.listdir(f"/proc/{program.process.pid}/fd"))


def start_limited(folder, servers, system_limit, configured_limit):
    """Start a program for these servers under a system limit and a configured limit of descriptors.

    Returns the program, which serves, and its coordinator.
    """

    class LimitedProgram(Program):
        descriptor_limit = system_limit

    entries = [endpoint_entry(f"s-{n}", each.port, n % 2) for n, each in enumerate(servers)]
    coordinator = ScriptedCoordinator(*entries)
    program = LimitedProgram.on_platform(folder, coordinator, sockets=configured_limit)
    return program.wait_until_serving(), coordinator


@pytest.mark.parametrize("reconnects", [True, False], ids=["evicted callers reconnect", "callers stay"])
@pytest.mark.parametrize(("configured", "system"), [(64, 64), (1024, 64), (64, 1024)])
def test_idle_callers_leave_descriptors_for_returning_servers_and_coordinator(
    tmp_path, started_programs, configured, system, reconnects
):
    """Idle callers that use up the descriptors while the coordinator and all servers are unreachable leave
    enough descriptors to connect to these when they return. The limit is that of the settings, of the system
    or both.
    """

    servers = [ScriptedServer() for _ in range(6)]
    program, coordinator = start_limited(tmp_path, servers, system, configured)
    started_programs.append(program)
    for each in (coordinator.close, *(each.close for each in servers)):
        each()
    wait_until(
        lambda: len(program.log_events("server_connection_lost")) == 6, "all server connections to be lost"
    )
    before = program.counters()
    idle_callers = IdleCallers(program.address, 2 * min(configured, system), reconnects)
    wait_until(
        lambda: idle_callers.connected >= (4 if reconnects else 2) * min(configured, system),
        "more connections than descriptors",
    )
    failure_counters = ("server_connections_failed", "discovery_unreachable")
    wait_until(
        lambda: all((program.counters() - before)[name] >= 12 for name in failure_counters),
        "repeated failures to connect",
    )
    assert program.counters()["connections_evicted"] > 0, "idle callers exceeded the limit"
    polls = len(coordinator.polled_indices)
    coordinator.reopen()
    returned = [ScriptedServer(port=each.port) for each in servers]
    wait_until(lambda: len(program.log_events("server_connected")) >= 12, "connections to all roster servers")
    wait_until(lambda: len(coordinator.polled_indices) > polls, "a poll of the coordinator")
    coordinator.publish(endpoint_entry("s-0", returned[0].port, 0, "terminating"))
    wait_until(
        lambda: program.log_events("server_listed")[-1]["state"] == "draining",
        "the change of the server state",
    )
    assert program.admin_command("check").startswith("ok")
    ident, new_caller = next_call_id(), program.caller()
    new_caller.invite(ident, answer_within_ms=9000)
    new_caller.expect(ident, 200)
    assert open_descriptors(program) <= min(configured, system)
    idle_callers.stop()
    lines = Counter(line.split(".")[0] for line in program.log_text().splitlines() if " accept " in line)
    assert (
        max(lines.values(), default=0) <= 2
    ), "at most one log line per second reports the exhaustion of descriptors"


def test_list_longer_than_the_limit_leaves_descriptors_to_callers_and_admin(tmp_path, started_programs):
    """Connections to 70 reachable servers under a limit of 64 do not use up the descriptors of callers and of
    the admin endpoint.
    """

    servers = [ScriptedServer() for _ in range(70)]
    program, _ = start_limited(tmp_path, servers, 64, 1024)
    started_programs.append(program)
    wait_until(
        lambda: len(program.log_events("server_connect_failed")) >= 20,
        "dials that fail for lack of a descriptor",
    )
    assert program.log_events("server_connected"), "other servers are connected"
    idle_callers = IdleCallers(program.address, 64, False)
    wait_until(
        lambda: idle_callers.connected == 64 and program.counters()["connections_evicted"] > 0,
        "some callers to be evicted",
    )
    assert program.admin_command("check").startswith("ok")
    ident, new_caller = next_call_id(), program.caller()
    new_caller.invite(ident, answer_within_ms=9000)
    wait_until(lambda: new_caller.final_statuses(ident), "an answer")
    assert open_descriptors(program) <= 64
    idle_callers.stop()
    lines_per_second = Counter(line["at"].split(".")[0] for line in program.log_events("descriptors")[1:])
    assert 0 < max(lines_per_second.values()) <= 2, "the exhaustion is logged at a limited rate"


def test_callers_keep_a_third_of_the_descriptors_if_the_list_exceeds_the_limit():
    """1,900 listed servers under a limit of up to 1,024 descriptors leave callers a third of the limit; a
    list that fits into the limit leaves them the rest.
    """
    for limit in (32, 64, 1024):
        small = DescriptorBudget(limit, 26, 1901)
        assert small.available_to_callers() == limit // 3
        assert limit // 4 <= small.available_to_servers() < limit - limit // 3
    large = DescriptorBudget(4096, 26, 1901)
    assert large.available_to_callers() > 4096 / 2
    assert large.available_to_servers() > 1900
    few_servers = DescriptorBudget(1024, 26, 25)
    assert few_servers.available_to_callers() > 768, "the three quarters that the settings allow"
    unlimited = DescriptorBudget()
    smaller_share = min(unlimited.available_to_callers(), unlimited.available_to_servers())
    assert smaller_share > 10**6, "no limit is set"
