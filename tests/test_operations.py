"""Stories of day-to-day operation: the operators' door, drains, new settings and upgrades. Each guards
against one failure that the days of service showed, or that was found in reading.
"""

from __future__ import annotations

import json
import socket
from dataclasses import replace
from types import SimpleNamespace

import pytest

from stairhatch.__main__ import Config, most_callers
from stairhatch.interface import Standing
from stairhatch.node import sip
from stairhatch.node.console import MOST_ORDER, Door
from stairhatch.node.core import HOLD_S, TURN_AWAY_S, Listing
from stairhatch.node.net import FRESH_S, Bounds, Listening, Taken
from stairhatch.node.roster import RosterSide
from stairhatch.node.trunk_front import GREET_S, TrunkFront

from .peers import (
    Caller,
    Coordinator,
    Inside,
    Program,
    RosterServer,
    instance,
    platform_config,
    sip_headers,
    until,
)  # fmt: skip

IDS = iter(f"{n:016x}" for n in range(0x0A0001, 0x0A9999))
SILENT = RosterServer.silent


@pytest.fixture
def stage(tmp_path):
    """Starts a program of either kind before roster servers with the given scripts; ends it afterwards."""
    started = []

    def start(*scripts, front="platform", sockets=1024):
        servers = [RosterServer(script) for script in scripts]
        if front == "platform":
            lines = [instance(f"s-{cell}", each.port, cell) for cell, each in enumerate(servers)]
            program = Program.on_platform(tmp_path, Coordinator(*lines), sockets=sockets)
        else:
            program = Program.as_appliance(tmp_path, *servers, *(RosterServer() for _ in servers[1:2] or "x"))
        started.append(program)
        return program.serves(), servers

    start.started = started
    yield start
    for program in started:
        program.kill()


def trunk_invite(ident, within="3000", kind="read-roster"):
    """The bytes of the platform's set-up."""
    headers = {"call-id": ident, "cseq": "1 INVITE", "call-kind": kind, "answer-within": within}
    return sip.request("INVITE", "sip:7f3a9c21e0b4d655@net", list(headers.items()), b"d")


def statuses(connection, ident):
    """The answers that a connection of the platform's front has queued for a call; takes them off it."""
    parser, found = sip.StreamParser(), []
    parser.feed(connection.pull())
    while (message := parser.next()) is not None:
        if message.get("call-id") == ident:
            found.append(message.status or message.method)
    return found


# ---- the door ----


@pytest.mark.parametrize("front", ["platform", "appliance"])
def test_the_door_answers_each_line_with_ok_or_fail_and_a_reason(stage, front):
    """Guards against operators who get no answer, or a wrong one: a line each, whatever is sent."""
    program, _ = stage(None, front=front)
    assert program.order("check").startswith("ok serving")
    for line, ends, says in [
        ("restart", False, "unknown order restart"),
        ("", False, "empty line"),
        (b"\xff\xfe\x00\x1b[2J\n", False, "unknown order ????"),
        (b"check " * 100, False, "longer than"),
        ("check " + "x" * MOST_ORDER, False, "longer than"),
        (b"chec", True, "unfinished"),
        (b"", True, "unfinished"),
        (b"drain-", False, "no whole line came in time"),
    ]:
        answer = program.order(line, ends)
        assert answer.startswith("fail ") and says in answer
    assert program.order(b"check\r\nand more").startswith("ok serving")
    assert program.order("drain-on").startswith("ok draining")
    assert program.order("check") == "fail draining"
    assert program.order("drain-off").startswith("ok serving")
    assert program.order("check").startswith("ok serving")


def test_neither_callers_nor_silent_operators_shut_the_door(stage):
    """Guards against a door that shares its descriptors with callers, or is filled by silent operators."""
    program, (server,) = stage(SILENT, sockets=40)
    callers = [program.caller() for _ in range(30)]
    for caller in callers:
        caller.invite(next(IDS), within=9000)
    until(lambda: len(server.of("START")) >= 8)
    silent = [socket.create_connection(program.door) for _ in range(60)]
    assert program.order("check").startswith("ok")
    for each in silent:
        each.settimeout(20)
        assert each.recv(100).startswith(b"fail "), "also who says nothing is told why it ends"
        each.close()


def test_check_waits_for_the_list_and_the_links_but_not_for_a_dead_server():
    """Guards against a yes before calls can be served, and against one dead server that holds it at no."""
    inside, links = Inside(), []
    core = inside.core
    side = RosterSide(core, links.append)
    core.servers.clear()
    core.by_instance.clear()
    core.listening = core.list_known = False
    assert "list" in core.why_not()
    core.list_known = True
    assert "no roster server" in core.why_not()
    lines = [Listing(name, ("127.0.0.1", 9), n, Standing.READY) for n, name in enumerate(("live", "dead"))]
    core.list_servers(lines, True)
    assert "live dead" in core.why_not()
    links[0].connected()
    assert "tried yet: dead" in core.why_not()
    links[1].failed(refused=False)
    assert "not listening" in core.why_not()
    core.listening = True
    assert core.why_not() == ""
    core.list_servers([Listing("new", ("127.0.0.1", 9), 2, Standing.READY)], False)
    links[0].lost()
    assert core.why_not() == "", "what comes and goes later is for the decisions"
    assert side.links


def test_the_door_answers_while_the_program_ends(stage):
    """Guards against a drain that is undone though the process is about to go."""
    program, (server,) = stage(SILENT)
    caller, ident = program.caller(), next(IDS)
    caller.invite(ident, within=3000)
    until(lambda: server.of("START"))
    program.process.terminate()
    until(lambda: program.lines("stopping"))
    assert program.order("check") == "fail draining"
    assert program.order("drain-off") == "fail the program is ending"
    server.say("STARTED", ident, blob="d")
    caller.expect(ident, 200)
    assert program.process.wait(20) == 0


def test_the_terminal_takes_the_doors_orders(stage):
    """Guards against two sets of names for one thing: the terminal's `drain` has given way."""
    program, _ = stage(None, front="appliance")
    stdin = program.process.stdin
    for command, shows in [
        ("check", "ok serving, 2 of 2"), ("drain-on", "ok draining, 0 calls"),
        ("status", "state      draining for"), ("drain-off", "stairhatch> ok serving"),
        ("status", "state      serving"), ("drain", "unknown command 'drain'"),
    ]:  # fmt: skip
        stdin.write(command.encode() + b"\n")
        stdin.flush()
        until(lambda shows=shows: shows in program.text(), shows)
    stdin.write(b"quit\n")
    stdin.flush()
    assert program.process.wait(20) == 0


# ---- drains ----


def test_a_drain_sends_callers_away_and_can_be_undone(stage):
    """Guards against a drain that is no state: tests are told no at once, what was taken is served, each
    connection ends once nothing is owed on it, and all of it is undone by one order.
    """
    program, (server,) = stage(SILENT)
    idle, busy, ident, late = program.caller(), program.caller(), next(IDS), next(IDS)
    idle.invite(next(IDS), kind="none")
    until(lambda: idle.got)
    busy.invite(ident)
    until(lambda: server.of("START"))
    assert program.order("drain-on") == "ok draining, 1 calls are still to be answered"
    assert program.tested() == 503
    until(lambda: idle.closed, "the end of an idle connection")
    newcomer = program.caller()
    newcomer.invite(late)
    until(lambda: len(server.of("START")) == 2, "a set-up that comes early in a drain")
    assert not busy.closed
    for each in (ident, late):
        server.say("STARTED", each, blob="d")
    busy.expect(ident, 200)
    newcomer.expect(late, 200)
    server.say("FINISH", ident, rc=16)
    until(lambda: busy.of(ident, "BYE") or newcomer.of(ident, "BYE"), "a release in a drain")
    assert program.order("drain-off").startswith("ok serving")
    assert program.tested() == 200
    caller, again = program.caller(), next(IDS)
    server.script = RosterServer.answers
    caller.invite(again)
    caller.expect(again, 200)


def test_a_caller_that_never_pauses_is_sent_away_all_the_same(stage):
    """Guards against a connection that is never idle and so outlives the drain."""
    program, (server,) = stage(SILENT)
    caller, open_one = program.caller(), next(IDS)
    caller.invite(open_one, within=9000)
    until(lambda: server.of("START"))
    program.order("drain-on")

    def refused():
        ident = next(IDS)
        caller.invite(ident, within=9000)
        until(lambda: caller.finals(ident) or len(server.of("START")) > refused.seen, "its fate")
        refused.seen = len(server.of("START"))
        return caller.of(ident, 503)

    refused.seen = 1
    answer = until(refused, "a refusal")[0]
    assert int(answer.get("come-back-ms")) > 0
    for start in server.of("START"):
        server.say("STARTED", start["tag"], blob="d")
    caller.expect(open_one, 200)
    until(lambda: caller.closed, "the end of its connection")


@pytest.mark.parametrize("udp", [True, False], ids=["udp", "tcp"])
def test_the_appliance_drains_by_the_same_rules(stage, udp):
    """Guards against an appliance that refuses callers at once in a drain, or serves them for good."""
    program, _ = stage(None, front="appliance")
    program.order("drain-on")

    def ask(number, method="INVITE"):
        caller = Caller(program.address, udp=udp)
        call, transport = f"drain-{method}-{number}", "UDP" if udp else "TCP"
        headers = sip_headers(method, "1", f"z9hG4bK{call}", call, caller.host, transport)
        caller.send(method, "sip:71@net", headers)
        return until(lambda: [m for m in caller.of(call, "") if m.status >= 200])[0]

    assert ask(0, "OPTIONS").status == 503
    answers = []
    until(lambda: answers.append(ask(len(answers))) or answers[-1].status == 503, "a refusal")
    assert answers[0].status == 200 and answers[-1].get("retry-after") == "1"
    program.order("drain-off")
    assert ask(0, "OPTIONS").status == 200 and ask(-1).status == 200


def front_of(inside):
    """The platform's front on a core whose clock is set by hand, with a call that stands on one of two
    connections; both have heard a release.
    """
    front = TrunkFront(inside.core)
    one, two = front.connect(), front.connect()
    for connection in (one, two):
        connection.receive(trunk_invite(ident := next(IDS)))
        inside.stand()
        assert statuses(connection, ident) == [200]
    return front, one, two, ident


def test_a_drain_keeps_one_connection_for_releases_and_not_for_long():
    """Guards against calls whose end reaches nobody because every connection was ended at once, and against
    one that is still held 4 s into the drain.
    """
    inside = Inside()
    _, one, two, _ = front_of(inside)
    inside.core.drain(True)
    assert one.idle() and two.idle(), "each may go while the other stays"
    two.leave()
    assert not one.idle(), "the last one is kept for the call that stands"
    inside.run(HOLD_S - 0.1)
    assert not one.idle()
    inside.run(0.2)
    assert one.idle() and HOLD_S < 3.8


def test_an_ending_program_keeps_no_connection_for_calls_that_live_on():
    """Guards against a restart that waits for calls which the next process will be told of."""
    inside = Inside()
    _, one, two, _ = front_of(inside)
    inside.core.ending = True
    inside.core.drain(True)
    two.leave()
    assert not one.idle(), "ends of calls may come until it leaves"
    inside.core.leave()
    assert one.idle()


def test_releases_due_in_a_drain_keep_for_the_next_caller_and_not_for_a_test():
    """Guards against a front whose test is met with a release: it took that for a no, and no caller was told
    (drain, snapshot 0737b4e5).
    """
    inside = Inside()
    _, one, two, ident = front_of(inside)
    inside.core.drain(True)
    for each in (one, two):
        each.leave()
        each.lost()
    inside.core.finished(inside.core.servers[1], ident, 16, "", inside.report())
    inside.run(120.0)
    tests = inside.written[0].call.caller.connection.front.connect()
    tests.receive(sip.request("OPTIONS", "sip:ping@net", [("call-id", "p"), ("cseq", "1 OPTIONS")], b""))
    assert statuses(tests, "p") == [503]
    inside.run(2 * GREET_S)
    assert statuses(tests, ident) == []
    silent = tests.front.connect()
    inside.run(2 * GREET_S)
    assert statuses(silent, ident) == ["BYE"]


def test_no_connection_is_ended_over_bytes_that_were_not_read():
    """Guards against a drain that resets a connection under a request which has come but was not read yet."""
    inside = Inside()
    front = TrunkFront(inside.core)
    ours, theirs = socket.socketpair()
    loop = SimpleNamespace(time=lambda: inside.now)
    listening = Listening(SimpleNamespace(loop=loop, core=inside.core), ours, front.connect, Bounds(4))
    one = Taken(front.connect(), ours, inside.now)
    listening.taken[one] = None
    inside.core.drain(True)
    listening.end_idle()
    assert not one.machine.closing, "it is new and has not asked yet"
    inside.run(FRESH_S + 0.1)
    theirs.send(trunk_invite(ident := next(IDS)))
    listening.end_idle()
    assert not one.machine.closing
    one.machine.receive(ours.recv(4096))
    assert inside.core.unanswered == 1
    inside.run(0.1)
    listening.end_idle()
    assert not one.machine.closing, "an answer is owed"
    inside.stand()
    assert statuses(one.machine, ident) == [200]
    inside.core.caller_released(inside.core.by_ident[ident], 16)
    listening.end_idle()
    assert one.machine.closing and theirs.recv(1) == b"", "it ends cleanly"


def test_new_set_ups_are_refused_only_some_time_into_a_drain():
    """Guards against refusing callers who come before the front has heard the no."""
    inside = Inside()
    connection = TrunkFront(inside.core).connect()
    inside.core.drain(True)
    inside.run(TURN_AWAY_S - 0.1)
    connection.receive(trunk_invite(early := next(IDS)))
    inside.run(0.2)
    connection.receive(trunk_invite(late := next(IDS)))
    assert statuses(connection, late) == [503] and early in inside.core.by_ident
    inside.core.drain(False)
    connection.receive(trunk_invite(again := next(IDS)))
    assert again in inside.core.by_ident


def test_a_door_reads_one_line_and_no_more():
    """Guards against orders carried out that follow a first one, or come in pieces without an end."""
    inside = Inside()
    door = Door(inside.core)
    for piece in (b"dra", b"in-", b"on\ndrain-off\n", b"drain-off\n"):
        door.receive(piece)
    assert door.pull().startswith(b"ok draining") and door.done()
    assert inside.core.drain_since is not None


# ---- upgrades ----


class Upgrade:
    """The platform's part: it owns the callers' socket and starts the program on it, more than once."""

    def __init__(self, folder, *scripts):
        self.folder, self.programs = folder, []
        self.servers = [RosterServer(script) for script in scripts]
        lines = [instance(f"s-{cell}", each.port, cell) for cell, each in enumerate(self.servers)]
        self.coordinator = Coordinator(*lines)
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = self.sock.getsockname()
        self.known = self.coordinator.known()
        (folder / "left by another").write_text("{")

    def start(self, waits=True):
        """One more process, with a door of its own and everything else unchanged."""
        program = Program.on_socket(self.folder, self.sock, self.coordinator, self.known)
        self.programs.append(program)
        return program.serves() if waits else program


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
    keeps, waits, standing, open_one = old.caller(), old.caller(), next(IDS), next(IDS)
    for caller, ident in ((keeps, standing), (waits, open_one)):
        caller.invite(ident, within=9000)
        until(lambda ident=ident: ident in [m["tag"] for m in server.of("START")])
    server.say("STARTED", standing, blob="d")
    keeps.expect(standing, 200)
    new = platform.start()
    old.process.terminate()
    until(lambda: keeps.closed, "the end of a kept connection at an idle moment")
    assert old.process.poll() is None and not waits.closed
    server.script = RosterServer.answers
    callers = [new.caller() for _ in range(8)]
    for caller in callers:
        caller.invite(ident := next(IDS))
        caller.expect(ident, 200)
    assert old.order("check") == "fail draining"
    server.say("STARTED", open_one, link=server.links[0], blob="d")
    waits.expect(open_one, 200)
    assert old.process.wait(20) == 0, "it leaves as soon as nothing is owed"
    counted = [program.lines("counters")[-1] for program in (old,)]
    assert counted[0]["answers_stood"] == "2", "what came after SIGTERM is the new process's"
    server.say("FINISH", standing, rc=16)
    until(lambda: [c for c in callers if c.of(standing, "BYE")], "the end of a call that the old one set up")
    callers[0].send("BYE", "sip:x@net", {"call-id": open_one, "cseq": "2 BYE", "reason": "Q.850;cause=31"})
    until(lambda: [m for m in server.of("FINISH") if m["tag"] == open_one], "its release by a caller")
    platform.start().order("check")
    new.process.terminate()
    assert new.process.wait(20) == 0
    newest = platform.programs[-1].caller()
    newest.invite(ident := next(IDS))
    newest.expect(ident, 200)


def test_a_process_accepts_on_a_shared_socket_only_once_it_can_serve(upgrade):
    """Guards against callers taken by a process that knows no roster server yet: they wait for the other."""
    platform = upgrade(None)
    platform.known = {"index": 0, "updates": []}
    platform.coordinator.held = True
    program = platform.start(waits=False)
    assert program.order("check").startswith("fail ")
    caller, ident = program.caller(), next(IDS)
    caller.invite(ident)
    until(lambda: program.lines("order"))
    assert not program.lines("taken")
    platform.coordinator.release()
    caller.expect(ident, 200)
    assert program.order("check").startswith("ok")


def test_a_drain_told_before_the_upgrade_holds_in_the_new_process(upgrade):
    """Guards against a new process that goes by the list of the first start and sends to what drains."""
    platform = upgrade(None, None)
    first, second = platform.servers
    platform.start()
    platform.coordinator.tell(instance("s-0", first.port, 0, "terminating"))
    new = platform.start()
    platform.programs[0].process.terminate()
    assert platform.programs[0].process.wait(20) == 0
    caller = new.caller()
    for _ in range(5):
        caller.invite(ident := next(IDS))
        caller.expect(ident, 200)
    assert len(second.of("START")) == 5 and not first.of("START")


def test_unanswered_calls_end_before_an_upgrades_sigkill(upgrade):
    """Guards against calls without an answer: SIGKILL comes 0.7 s after the longest deadline, 5 s at most."""
    platform = upgrade(SILENT)
    old = platform.start()
    caller, ident = old.caller(), next(IDS)
    caller.invite(ident, within=9000)
    until(lambda: platform.servers[0].of("START"))
    old.process.terminate()
    assert old.process.wait(20) == 0
    assert caller.finals(ident) == [503]
    at = {name: float(old.lines(name)[-1]["at"]) for name in ("stopping", "drained")}
    assert 5.0 < at["drained"] - at["stopping"] < 5.7, "by its own clock"


@pytest.mark.parametrize(
    ("given", "says"), [("99", "descriptor 99"), ("x", "invalid literal"), ("1", "descriptor 1")]
)
def test_a_descriptor_that_is_no_socket_ends_in_one_plain_line(tmp_path, given, says):
    """Guards against a traceback, or a softswitch that listens nowhere."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(platform_config(Coordinator(), 1, 2)))
    program = Program(tmp_path, RELAY_CONFIG=str(path), RELAY_INHERITED_FD=given)
    assert program.process.wait(20) == 2
    assert program.text().count("\n") == 1 and says in program.text()


def test_two_processes_together_keep_within_the_limits():
    """Guards against an upgrade in which each process takes callers as if it were alone."""
    alone = Config("n", Inside().settings, sockets=384, memory_mb=80)
    beside = replace(alone, inherited=4)
    assert 2 * most_callers(beside) <= most_callers(alone) <= 384 * 3 / 4
    assert most_callers(beside) > 384 / 3, "callers hold up to a third"


def test_links_that_were_left_are_not_opened_again():
    """Guards against an old process that dials again as it leaves, and is told there of ends of calls."""
    inside, links = Inside(), []
    side = RosterSide(inside.core, links.append)
    inside.core.list_servers([Listing("t", ("127.0.0.1", 9), 1, Standing.READY)], False)
    links[0].connected()
    side.finish(links[0].server, next(IDS), 16)
    assert not side.flushed()
    links[0].pull()
    assert side.flushed()
    side.leave()
    links[0].lost()
    assert links[0].done()
    side.drop(links[0])
    assert len(links) == 1
