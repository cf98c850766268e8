"""Upgrades: a second process takes over the callers' socket while the first ends."""

from __future__ import annotations

import contextlib
import socket
from dataclasses import replace

import pytest

from stairhatch.config.model import Config
from stairhatch.connection_limits import caller_connection_limit

from .support.call_ids import next_call_id
from .support.in_process_node import InProcessNode
from .support.program import Program
from .support.scripted_coordinator import ScriptedCoordinator, endpoint_entry
from .support.scripted_server import ScriptedServer
from .support.waiting import wait_until

SILENT = ScriptedServer.never_answers


class Upgrade:
    """The platform's part: it owns the callers' socket and starts the program on it, more than once."""

    def __init__(self, folder, *scripts):
        self.folder, self.programs = folder, []
        self.servers = [ScriptedServer(script) for script in scripts]
        lines = [endpoint_entry(f"s-{cell}", each.port, cell) for cell, each in enumerate(self.servers)]
        self.coordinator = ScriptedCoordinator(*lines)
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = self.sock.getsockname()
        self.known = self.coordinator.known_events()
        (folder / "left by another").write_text("{")

    def start(self, waits=True):
        """One more process, with a door of its own and everything else unchanged."""
        program = Program.on_socket(self.folder, self.sock, self.coordinator, self.known)
        self.programs.append(program)
        return program.wait_until_serving() if waits else program


@pytest.fixture
def upgrade(tmp_path):
    """An upgrade's platform; ends all that it started."""
    made = []

    def make(*scripts):
        made.append(Upgrade(tmp_path, *scripts))
        return made[0]

    yield make
    for program in made[0].programs:
        program.kill()
    made[0].sock.close()


def test_an_upgrade_loses_no_call(upgrade):
    """Guards against a second process that can't start beside the first, callers that meet a refused or
    unread connection, calls that end unanswered, and ends of calls that nobody is told.
    """
    platform = upgrade(SILENT)
    (server,) = platform.servers
    old = platform.start()
    keeps, waits, standing, open_one = old.caller(), old.caller(), next_call_id(), next_call_id()
    for caller, ident in ((keeps, standing), (waits, open_one)):
        caller.invite(ident, answer_within_ms=9000)
        wait_until(lambda ident=ident: ident in [m["tag"] for m in server.messages("START")])
    server.send("STARTED", standing, blob="d")
    keeps.expect(standing, 200)
    new = platform.start()
    old.process.terminate()
    wait_until(lambda: keeps.closed, "the end of a kept connection at an idle moment")
    assert old.process.poll() is None
    assert not waits.closed
    server.script = ScriptedServer.establishes
    callers = [new.caller() for _ in range(8)]
    for caller in callers:
        caller.invite(ident := next_call_id())
        caller.expect(ident, 200)
    assert old.admin_command("check") == "fail draining"
    server.send("STARTED", open_one, connection=server.connections[0], blob="d")
    waits.expect(open_one, 200)
    assert old.process.wait(20) == 0, "it leaves as soon as nothing is owed"
    counted = [program.log_events("counters")[-1] for program in (old,)]
    assert counted[0]["calls_established"] == "2", "what came after SIGTERM is the new process's"
    for link in server.connections:  # the old process may have dialled more than one, all closed by now
        with contextlib.suppress(OSError):
            server.send("FINISH", standing, link, rc=16)
    wait_until(
        lambda: [c for c in callers if c.messages(standing, "BYE")],
        "the end of a call that the old one set up",
    )
    callers[0].send("BYE", "sip:x@net", {"call-id": open_one, "cseq": "2 BYE", "reason": "Q.850;cause=31"})
    wait_until(
        lambda: [m for m in server.messages("FINISH") if m["tag"] == open_one], "its release by a caller"
    )
    platform.start().admin_command("check")
    new.process.terminate()
    assert new.process.wait(20) == 0
    newest = platform.programs[-1].caller()
    newest.invite(ident := next_call_id())
    newest.expect(ident, 200)


def test_a_process_accepts_on_a_shared_socket_only_once_it_can_serve(upgrade):
    """Guards against callers taken by a process that knows no roster server yet: they wait for the other."""
    platform = upgrade(None)
    platform.known = {"index": 0, "updates": []}
    platform.coordinator.withholds_answers = True
    program = platform.start(waits=False)
    assert program.admin_command("check").startswith("fail ")
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident)
    for _ in range(20):  # each is one more round of its loop
        assert program.admin_command("check").startswith("fail ")
    assert not program.log_events("call_offered")
    platform.coordinator.resume_answers()
    caller.expect(ident, 200)
    assert program.admin_command("check").startswith("ok")


def test_a_drain_told_before_the_upgrade_holds_in_the_new_process(upgrade):
    """Guards against a new process that goes by the list of the first start and sends to what drains."""
    platform = upgrade(None, None)
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


def test_unanswered_calls_end_before_an_upgrades_sigkill(upgrade):
    """Guards against calls without an answer: SIGKILL comes 0.7 s after the longest deadline, 5 s at most."""
    platform = upgrade(SILENT)
    old = platform.start()
    caller, ident = old.caller(), next_call_id()
    caller.invite(ident, answer_within_ms=9000)
    wait_until(lambda: platform.servers[0].messages("START"))
    old.process.terminate()
    assert old.process.wait(20) == 0
    assert caller.final_statuses(ident) == [503]
    at = {name: float(old.log_events(name)[-1]["at"]) for name in ("stopping", "drain_deadline_reached")}
    assert 5.0 < at["drain_deadline_reached"] - at["stopping"] < 5.7, "by its own clock"


def test_two_processes_together_keep_within_the_limits():
    """Guards against an upgrade in which each process takes callers as if it were alone."""
    alone = Config("n", InProcessNode().settings, sockets=384, memory_mb=80)
    beside = replace(alone, inherited=4)
    assert 2 * caller_connection_limit(beside) <= caller_connection_limit(alone) <= 384 * 3 / 4
    assert caller_connection_limit(beside) > 384 / 3, "callers hold up to a third"
