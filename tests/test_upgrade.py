"""Upgrades: a second process takes over the callers' listening socket while the first shuts down."""

from __future__ import annotations

import contextlib
import socket
from dataclasses import replace

import pytest

from stairhatch.config.model import Config
from stairhatch.connection_limits import caller_connection_limit

from .support.call_ids import next_call_id
from .support.in_process_node import InProcessNode
from .support.processor_wait import Stopwatch
from .support.program import Program
from .support.scripted_coordinator import ScriptedCoordinator, endpoint_entry
from .support.scripted_server import ScriptedServer
from .support.waiting import wait_until

SILENT = ScriptedServer.never_answers


class SharedListener:
    """The platform in an upgrade: owns the callers' listening socket and starts programs on it."""

    def __init__(self, folder, *scripts):
        self.folder, self.programs = folder, []
        self.servers = [ScriptedServer(script) for script in scripts]
        entries = [endpoint_entry(f"s-{cell}", each.port, cell) for cell, each in enumerate(self.servers)]
        self.coordinator = ScriptedCoordinator(*entries)
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = self.sock.getsockname()
        self.known = self.coordinator.known_events()
        (folder / "left by another").write_text("{")

    def start(self, until_serving=True):
        """Start one more process with its own admin endpoint and an otherwise unchanged configuration.

        Returns the program, after it has begun to serve unless `until_serving` is false.
        """
        program = Program.on_socket(self.folder, self.sock, self.coordinator, self.known)
        self.programs.append(program)
        return program.wait_until_serving() if until_serving else program


@pytest.fixture
def shared_listener(tmp_path):
    """Factory of a `SharedListener`; ends all programs started on it and closes its socket after the test."""
    made = []

    def make(*scripts):
        made.append(SharedListener(tmp_path, *scripts))
        return made[0]

    yield make
    for program in made[0].programs:
        program.kill()
    made[0].sock.close()


def release_on_all_connections(server, ident):
    """Release a call on each connection of a server, ignoring those that an ended process has closed."""
    for server_connection in server.connections:
        with contextlib.suppress(OSError):
            server.send("FINISH", ident, server_connection, rc=16)


def test_upgrade_loses_no_call(shared_listener):
    """During an upgrade no connection of a caller is refused or left unread, each call is answered and each
    release is delivered.
    """
    platform = shared_listener(SILENT)
    (server,) = platform.servers
    old = platform.start()
    idle, waiting, established, pending = old.caller(), old.caller(), next_call_id(), next_call_id()
    for caller, ident in ((idle, established), (waiting, pending)):
        caller.invite(ident, answer_within_ms=9000)
        wait_until(lambda ident=ident: ident in [m["tag"] for m in server.messages("START")])
    server.send("STARTED", established, blob="d")
    idle.expect(established, 200)
    new = platform.start()
    old.process.terminate()
    wait_until(lambda: idle.closed, "the old process to close the idle connection")
    assert old.process.poll() is None
    assert not waiting.closed
    server.script = ScriptedServer.establishes
    callers = [new.caller() for _ in range(8)]
    for caller in callers:
        caller.invite(ident := next_call_id())
        caller.expect(ident, 200)
    assert old.admin_command("check") == "fail draining"
    server.send("STARTED", pending, connection=server.connections[0], blob="d")
    waiting.expect(pending, 200)
    assert old.process.wait(20) == 0, "the old process ends once all calls are answered"
    counters = old.log_events("counters")[-1]
    assert counters["calls_established"] == "2", "the new process serves the calls that arrive after SIGTERM"
    release_on_all_connections(server, established)
    wait_until(
        lambda: any(each.messages(established, "BYE") for each in callers), "the release by the server"
    )
    callers[0].send("BYE", "sip:x@net", {"call-id": pending, "cseq": "2 BYE", "reason": "Q.850;cause=31"})
    wait_until(lambda: pending in [m["tag"] for m in server.messages("FINISH")], "the release by the caller")
    platform.start().admin_command("check")
    new.process.terminate()
    assert new.process.wait(20) == 0
    newest = platform.programs[-1].caller()
    newest.invite(ident := next_call_id())
    newest.expect(ident, 200)


def test_process_accepts_on_a_shared_listener_only_once_it_can_serve(shared_listener):
    """A process that knows no server yet accepts no caller, so that another process can accept it."""
    platform = shared_listener(None)
    platform.known = {"index": 0, "updates": []}
    platform.coordinator.withholds_answers = True
    program = platform.start(until_serving=False)
    assert program.admin_command("check").startswith("fail ")
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident)
    for _ in range(20):  # each command takes one more turn of the event loop
        assert program.admin_command("check").startswith("fail ")
    assert not program.log_events("call_offered")
    platform.coordinator.resume_answers()
    caller.expect(ident, 200)
    assert program.admin_command("check").startswith("ok")


def test_new_process_sends_nothing_to_a_server_drained_before_the_upgrade(shared_listener):
    """The new process uses the current endpoint list, not the list with which the first process started."""
    platform = shared_listener(None, None)
    first, second = platform.servers
    platform.start()
    platform.coordinator.publish(endpoint_entry("s-0", first.port, 0, "terminating"))
    new = platform.start()
    platform.programs[0].process.terminate()
    assert platform.programs[0].process.wait(20) == 0
    caller = new.caller()
    for _ in range(5):
        caller.invite(ident := next_call_id())
        caller.expect(ident, 200)
    assert len(second.messages("START")) == 5
    assert not first.messages("START")


def test_pending_calls_are_answered_before_the_sigkill_of_an_upgrade(shared_listener):
    """A pending call is answered before the SIGKILL, which follows 0.7 s after the longest deadline or after
    5 s, whichever is shorter.
    """
    platform = shared_listener(SILENT)
    old = platform.start()
    caller, ident = old.caller(), next_call_id()
    caller.invite(ident, answer_within_ms=9000)
    wait_until(lambda: platform.servers[0].messages("START"))
    stopwatch = Stopwatch(old.process.pid)
    old.process.terminate()

    def has_ended():
        stopwatch.waited_s()
        return old.process.poll() is not None

    wait_until(has_ended, "the end of the process")
    assert old.process.wait(20) == 0
    assert caller.final_statuses(ident) == [503]
    logged_at = {
        name: float(old.log_events(name)[-1]["at"]) for name in ("stopping", "drain_deadline_reached")
    }
    drain_s = logged_at["drain_deadline_reached"] - logged_at["stopping"]
    assert 5.0 < drain_s < 5.7 + stopwatch.waited_s(), "the times are those of the process's clock"


def test_two_processes_together_stay_within_the_connection_limits():
    """In an upgrade each process limits its callers to half, since the platform counts both processes."""
    alone = Config("n", InProcessNode().settings, sockets=384, memory_mb=80)
    during_upgrade = replace(alone, inherited=4)
    assert 2 * caller_connection_limit(during_upgrade) <= caller_connection_limit(alone) <= 384 * 3 / 4
    assert caller_connection_limit(during_upgrade) > 384 / 3, "callers may hold a third of the descriptors"
