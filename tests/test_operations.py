"""Stories of day-to-day operation: the operators' door, drains, new settings and upgrades. Each guards
against one failure that the days of service showed, or that was found in reading.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
from dataclasses import replace
from types import SimpleNamespace

import pytest

import stairhatch.shutdown as shutdown_module
from stairhatch.application import Application
from stairhatch.config.model import Config
from stairhatch.connection_limits import ADMIN_LIMITS, caller_connection_limit
from stairhatch.node import sip_message as sip
from stairhatch.node.admin_endpoint import MAX_COMMAND_BYTES, AdminConnection
from stairhatch.node.call_classes import FORMER_CLASS_S
from stairhatch.node.calls import ServerRecord
from stairhatch.node.io.accepted_connection import AcceptedConnection
from stairhatch.node.io.listener import (
    DRAIN_FIRST_REQUEST_S,
    FIRST_REQUEST_TIMEOUT_S,
    Listener,
)
from stairhatch.node.io.network import Network
from stairhatch.node.platform_frontend import CALLER_AFTER_S, PlatformFrontend
from stairhatch.node.readiness import REJECT_AFTER_S, RELEASE_PATH_S
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.node.service_discovery import ServiceDiscoveryClient
from stairhatch.overload.controller import Controller
from stairhatch.overload.events import Availability
from stairhatch.settings.parser import settings_from_object

from .support.accepted_connections import UnreadSocket, listener_with_connections, receive, take_statuses
from .support.call_ids import next_call_id
from .support.in_process_node import InProcessNode
from .support.platform_config import SETTINGS, platform_config
from .support.program import Program
from .support.scripted_coordinator import ScriptedCoordinator, endpoint_entry
from .support.scripted_server import ScriptedServer
from .support.sip_caller import SipCaller
from .support.sip_messages import platform_invite, sip_headers
from .support.waiting import wait_until

SILENT = ScriptedServer.never_answers


# ---- the door ----


@pytest.mark.parametrize("front", ["platform", "appliance"])
def test_the_door_answers_each_line_with_ok_or_fail_and_a_reason(start_deployment, front):
    """Guards against operators who get no answer, or a wrong one: a line each, whatever is sent."""
    program, _, _ = start_deployment(None, frontend=front, wait_until_serving=True)
    assert program.admin_command("check").startswith("ok serving")
    for line, ends, says in [
        ("restart", False, "unknown order restart"),
        ("", False, "empty line"),
        (b"\xff\xfe\x00\x1b[2J\n", False, "unknown order ????"),
        (b"check " * 100, False, "longer than"),
        ("check " + "x" * MAX_COMMAND_BYTES, False, "longer than"),
        (b"chec", True, "unfinished"),
        (b"", True, "unfinished"),
        (b"drain-", False, "no whole line came in time"),
    ]:
        answer = program.admin_command(line, ends)
        assert answer.startswith("fail ")
        assert says in answer
    assert program.admin_command(b"check\r\nand more").startswith("ok serving")
    assert program.admin_command("drain-on").startswith("ok draining")
    assert program.admin_command("check") == "fail draining"
    assert program.admin_command("drain-off").startswith("ok serving")
    assert program.admin_command("check").startswith("ok serving")


def test_neither_callers_nor_silent_operators_shut_the_door(start_deployment):
    """Guards against a door that shares its descriptors with callers, or is filled by silent operators."""
    program, _, (server,) = start_deployment(SILENT, sockets=40, wait_until_serving=True)
    callers = [program.caller() for _ in range(30)]
    for caller in callers:
        caller.invite(next_call_id(), answer_within_ms=9000)
    wait_until(lambda: len(server.messages("START")) >= 8)
    silent = [socket.create_connection(program.admin_address) for _ in range(60)]
    assert program.admin_command("check").startswith("ok")
    for each in silent:
        each.settimeout(20)
        assert each.recv(100).startswith(b"fail "), "also who says nothing is told why it ends"
        each.close()


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


def test_a_door_full_of_silent_operators_has_room_at_once():
    """Guards against an operator who waits until the silent ones' time is over: an answer is due in 1 s."""
    inside = InProcessNode()
    runner = SimpleNamespace(loop=SimpleNamespace(time=lambda: inside.now), core=inside.core)
    listener = Listener(runner, None, None, None, ADMIN_LIMITS)
    with socket.socketpair()[0] as end:
        for _ in range(ADMIN_LIMITS.max_connections):
            listener.connections[AcceptedConnection(AdminConnection(inside.core), end, inside.now)] = None
        inside.run(0.1)
        assert listener.evict()


def test_the_door_answers_while_the_program_ends(start_deployment):
    """Guards against a drain that is undone though the process is about to go."""
    program, _, (server,) = start_deployment(SILENT, wait_until_serving=True)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident, answer_within_ms=3000)
    wait_until(lambda: server.messages("START"))
    program.process.terminate()
    wait_until(lambda: program.log_events("stopping"))
    assert program.admin_command("check") == "fail draining"
    assert program.admin_command("drain-off") == "fail the program is ending"
    server.send("STARTED", ident, blob="d")
    caller.expect(ident, 200)
    assert program.process.wait(20) == 0


def test_the_terminal_takes_the_doors_orders(start_deployment):
    """Guards against two sets of names for one thing: the terminal's `drain` has given way."""
    program, _, _ = start_deployment(None, frontend="appliance", wait_until_serving=True)
    stdin = program.process.stdin
    for command, shows in [
        ("check", "ok serving, 2 of 2"), ("drain-on", "ok draining, 0 calls"),
        ("status", "state      draining for"), ("drain-off", "ok serving, 2 of 2"),
        ("status", "state      serving"), ("drain", "unknown command 'drain'"),
    ]:  # fmt: skip
        before = len(program.log_text())
        stdin.write(command.encode() + b"\n")
        stdin.flush()
        wait_until(lambda shows=shows, before=before: shows in program.log_text()[before:], shows)
    stdin.write(b"quit\n")
    stdin.flush()
    assert program.process.wait(20) == 0


def test_a_check_is_logged_when_its_answer_changes():
    """Guards against a log full of checks: a front asks ten times a second, for as long as a drain lasts."""
    inside, lines = InProcessNode(), []
    inside.log = lambda _event, **fields: lines.append(fields.get("answer"))
    for on in (False, True, False):
        inside.core.readiness.drain(on)
        lines.clear()
        for _ in range(10):
            AdminConnection(inside.core).receive_data(b"check\n")
        assert len(lines) == 1


# ---- drains ----


def test_a_drain_sends_callers_away_and_can_be_undone(start_deployment):
    """Guards against a drain that is no state: tests are told no at once, what was taken is served, each
    connection ends once nothing is owed on it, and all of it is undone by one order.
    """
    program, _, (server,) = start_deployment(SILENT, wait_until_serving=True)
    idle, busy, ident, late = program.caller(), program.caller(), next_call_id(), next_call_id()
    idle.invite(next_call_id(), call_class="none")
    wait_until(lambda: idle.received)
    busy.invite(ident)
    wait_until(lambda: server.messages("START"))
    assert program.admin_command("drain-on") == "ok draining, 1 calls are still to be answered"
    assert program.health_check_status() == 503
    wait_until(lambda: idle.closed, "the end of an idle connection")
    newcomer = program.caller()
    newcomer.invite(late)
    wait_until(lambda: len(server.messages("START")) == 2, "a set-up that comes early in a drain")
    assert not busy.closed
    for each in (ident, late):
        server.send("STARTED", each, blob="d")
    busy.expect(ident, 200)
    newcomer.expect(late, 200)
    server.send("FINISH", ident, rc=16)
    wait_until(lambda: busy.messages(ident, "BYE") or newcomer.messages(ident, "BYE"), "a release in a drain")
    assert program.admin_command("drain-off").startswith("ok serving")
    assert program.health_check_status() == 200
    caller, again = program.caller(), next_call_id()
    server.script = ScriptedServer.establishes
    caller.invite(again)
    caller.expect(again, 200)


def test_a_caller_that_never_pauses_is_sent_away_all_the_same(start_deployment):
    """Guards against a connection that is never idle and so outlives the drain."""
    program, _, (server,) = start_deployment(SILENT, wait_until_serving=True)
    caller, open_one = program.caller(), next_call_id()
    caller.invite(open_one, answer_within_ms=9000)
    wait_until(lambda: server.messages("START"))
    program.admin_command("drain-on")

    def refused():
        ident = next_call_id()
        caller.invite(ident, answer_within_ms=9000)
        wait_until(
            lambda: caller.final_statuses(ident) or len(server.messages("START")) > refused.seen, "its fate"
        )
        refused.seen = len(server.messages("START"))
        return caller.messages(ident, 503)

    refused.seen = 1
    answer = wait_until(refused, "a refusal")[0]
    assert int(answer.get("come-back-ms")) > 0
    for start in server.messages("START"):
        server.send("STARTED", start["tag"], blob="d")
    caller.expect(open_one, 200)
    wait_until(lambda: caller.closed, "the end of its connection")


@pytest.mark.parametrize("udp", [True, False], ids=["udp", "tcp"])
def test_the_appliance_drains_by_the_same_rules(start_deployment, udp):
    """Guards against an appliance that refuses callers at once in a drain, or serves them for good."""
    program, _, _ = start_deployment(None, frontend="appliance", wait_until_serving=True)
    program.admin_command("drain-on")

    def ask(number, method="INVITE"):
        caller = SipCaller(program.address, udp=udp)
        call, transport = f"drain-{method}-{number}", "UDP" if udp else "TCP"
        headers = sip_headers(method, "1", f"z9hG4bK{call}", call, caller.host, transport)
        caller.send(method, "sip:71@net", headers)
        return wait_until(lambda: [m for m in caller.messages(call, "") if m.status >= 200])[0]

    assert ask(0, "OPTIONS").status == 503
    answers = []
    wait_until(lambda: answers.append(ask(len(answers))) or answers[-1].status == 503, "a refusal")
    assert answers[0].status == 200
    assert answers[-1].get("retry-after") == "1"
    program.admin_command("drain-off")
    assert ask(0, "OPTIONS").status == 200
    assert ask(-1).status == 200


def front_of(inside):
    """The platform's front on a core whose clock is set by hand, with a call that stands on one of two
    connections; both have heard a release.
    """
    front = PlatformFrontend(inside.core)
    one, two = front.connect(), front.connect()
    for connection in (one, two):
        connection.receive_data(platform_invite(ident := next_call_id()))
        inside.establish()
        assert take_statuses(connection, ident) == [200]
    return front, one, two, ident


def test_a_drain_keeps_one_connection_for_releases_and_not_for_long():
    """Guards against calls whose end reaches nobody because every connection was ended at once, and against
    one that is still held 4 s into the drain.
    """
    inside = InProcessNode()
    _, one, two, _ = front_of(inside)
    inside.core.readiness.drain(True)
    assert one.is_idle(), "each may go while the other stays"
    assert two.is_idle(), "each may go while the other stays"
    two.close_when_idle()
    assert not one.is_idle(), "the last one is kept for the call that stands"
    inside.run(RELEASE_PATH_S - 0.1)
    assert not one.is_idle()
    inside.run(0.2)
    assert one.is_idle()
    assert RELEASE_PATH_S < 3.8


def test_an_ending_program_keeps_no_connection_for_calls_that_live_on():
    """Guards against a restart that waits for calls which the next process will be told of."""
    inside = InProcessNode()
    _, one, two, _ = front_of(inside)
    inside.core.readiness.shutting_down = True
    inside.core.readiness.drain(True)
    two.close_when_idle()
    assert not one.is_idle(), "ends of calls may come until it leaves"
    inside.core.complete_shutdown()
    assert one.is_idle()


def test_releases_due_in_a_drain_keep_for_the_next_caller_and_not_for_a_test():
    """Guards against a front whose test is met with a release: it took that for a no, and no caller was told
    (drain, snapshot 0737b4e5).
    """
    inside = InProcessNode()
    front, one, two, ident = front_of(inside)
    inside.core.readiness.drain(True)
    for each in (one, two):
        each.close_when_idle()
        each.connection_lost()
    inside.core.responses.call_released(inside.core.servers.by_id[1], ident, 16, "", inside.empty_report())
    inside.run(120.0)
    tests = front.connect()
    tests.receive_data(sip.request("OPTIONS", "sip:ping@net", [("call-id", "p"), ("cseq", "1 OPTIONS")], b""))
    assert take_statuses(tests, "p") == [503]
    inside.run(2 * CALLER_AFTER_S)
    assert take_statuses(tests, ident) == []
    silent = front.connect()
    inside.run(2 * CALLER_AFTER_S)
    assert take_statuses(silent, ident) == ["BYE"]


def test_no_connection_is_ended_over_bytes_that_were_not_read():
    """Guards against a drain that resets a connection under a request which has come but was not read yet."""
    inside = InProcessNode()
    ours, theirs = socket.socketpair()
    listener, (one,) = listener_with_connections(inside, 4, ours)
    inside.core.readiness.drain(True)
    listener.close_idle()
    assert not one.protocol.closing, "it is new and has not asked yet"
    inside.run(DRAIN_FIRST_REQUEST_S + 0.1)
    theirs.send(platform_invite(ident := next_call_id()))
    listener.close_idle()
    assert not one.protocol.closing
    one.protocol.receive_data(ours.recv(4096))
    assert inside.core.calls.unanswered == 1
    inside.run(0.1)
    listener.close_idle()
    assert not one.protocol.closing, "an answer is owed"
    inside.establish()
    assert take_statuses(one.protocol, ident) == [200]
    inside.core.release(inside.core.calls.by_ident[ident], 16)
    listener.close_idle()
    assert one.protocol.closing
    assert theirs.recv(1) == b"", "it ends cleanly"


def test_new_set_ups_are_refused_only_some_time_into_a_drain():
    """Guards against refusing callers who come before the front has heard the no."""
    inside = InProcessNode()
    connection = PlatformFrontend(inside.core).connect()
    inside.core.readiness.drain(True)
    inside.run(REJECT_AFTER_S - 0.1)
    connection.receive_data(platform_invite(early := next_call_id()))
    inside.run(0.2)
    connection.receive_data(platform_invite(late := next_call_id()))
    assert take_statuses(connection, late) == [503]
    assert early in inside.core.calls.by_ident
    inside.core.readiness.drain(False)
    connection.receive_data(platform_invite(again := next_call_id()))
    assert again in inside.core.calls.by_ident


def test_a_door_reads_one_line_and_no_more():
    """Guards against orders carried out that follow a first one, or come in pieces without an end."""
    inside = InProcessNode()
    door = AdminConnection(inside.core)
    for piece in (b"dra", b"in-", b"on\ndrain-off\n", b"drain-off\n"):
        door.receive_data(piece)
    assert door.data_to_send().startswith(b"ok draining")
    assert door.can_close()
    assert inside.core.readiness.drain_since is not None


# ---- new settings ----


def changed(raw, *path, value=None):
    """A copy of a configuration with one part replaced, or taken out if no value is given."""
    copy = json.loads(json.dumps(raw))
    part = copy
    for step in path[:-1]:
        part = part[step]
    if value is None:
        del part[path[-1]]
    else:
        part[path[-1]] = value
    return copy


def class_line(name, **more):
    """One class of the settings."""
    return {
        "name": name, "aim_s": 1.5, "hard_limit_s": 9.0, "importance": 1.0, "late_worth": 0.25,
        "effect": "read_like", **more,
    }  # fmt: skip


def tuned(classes, cap=6):
    """Settings with these classes, each of which may go to both roster servers."""
    raw = {**SETTINGS, "classes": classes, "permissions": {**SETTINGS["permissions"], "send_cap": cap}}
    lists = {"allowed_pools": [[0, 1] for _ in classes], "call_length_s": [10.0 for _ in classes]}
    return {**raw, "family_info": {**SETTINGS["family_info"], **lists}}


def paths(raw, at=()):
    """All keys of a configuration but those of the events."""
    for name, value in raw.items():
        yield (*at, name)
        if isinstance(value, dict) and name != "known":
            yield from paths(value, (*at, name))


NO_NUMBERS = ["NaN", "Infinity", "-Infinity", "1e999", "true", "false", '"3"', "0", "-5", "null", "[]", "{}"]


def test_a_file_that_is_cut_short_or_lacks_a_key_or_a_number_changes_nothing(start_deployment):
    """Guards against settings put together from half a file and the parser's defaults: each such file is
    refused whole, with one line and a count, and what was in force stays.
    """
    program, _, _ = start_deployment(None, wait_until_serving=True)
    text = program.path.read_text()
    raw = json.loads(text)
    bad = ["", " ", "{}", "[]", "null", "3", text[: len(text) // 2], text[:-1]]
    bad += [json.dumps(changed(raw, *path)) for path in paths(raw)]
    bad += [json.dumps(changed(raw, "settings", "classes", 1, key)) for key in raw["settings"]["classes"][1]]
    bad.append(text.replace('"save-roster"', '"read-roster"'))  # two of one name
    bad.append(json.dumps(changed(raw, "settings", "classes", value=[])))
    bad.append(json.dumps(changed(raw, "settings", "family_info", "allowed_pools", value=[[0, 1]])))
    for name, path in (("1.75", ("classes", 0, "hard_limit_s")), ("77", ("permissions", "send_cap"))):
        marked = json.dumps(changed(raw, "settings", *path, value=json.loads(name)))
        bad += [marked.replace(name, number) for number in NO_NUMBERS]
    for index, each in enumerate(bad):
        assert program.reload(each)["result"] == "rejected", each
        assert len(program.log_events("reload")) == index + 1, "one line each"
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident, "save-roster", answer_within_ms=9000)
    caller.expect(ident, 200)
    line = program.reload(json.dumps(changed(raw, "settings", "classes", 0, "hard_limit_s", value=8)))
    assert (line["result"], line["settings"], line["restart_required"]) == ("applied", "new", "-")
    program.stop()
    counted = program.log_events("counters")[-1]
    assert (counted["reloads_rejected"], counted["settings_changes"]) == (str(len(bad)), "1")


def test_the_appliances_file_is_held_to_the_same(start_deployment):
    """Guards against a small site's file that is cut short by an editor, or mistyped."""
    program, _, _ = start_deployment(None, frontend="appliance", wait_until_serving=True)
    text = program.path.read_text()
    limit, cap = "hard_limit_s = 9.0             #", "send_cap = 6"
    for each in [
        "", text[: text.index("[settings.safety]")], text[: text.index("fall_s = ")], text[:-80],
        text.replace("retransmit_s = 0.8", ""), text.replace("late_worth = 0.1\n", ""),
        text.replace('class = "save-roster"', 'class = "gone"'),
        *(text.replace(limit, f"hard_limit_s = {bad} #") for bad in ("nan", "inf", "true", '"9"', "0", "-1")),
        *(text.replace(cap, f"send_cap = {bad}") for bad in ("nan", "inf", "true", '"9"', "0", "-1", "2.5")),
    ]:  # fmt: skip
        assert each != text
        assert program.reload(each)["result"] == "rejected", each
    new = text.replace('"save-roster"', '"plan-roster"').replace(limit, "hard_limit_s = 4.0 #")
    line = program.reload(new)
    assert (line["result"], line["added"], line["removed"]) == ("applied", "plan-roster", "save-roster")
    caller = SipCaller(program.address, udp=True)
    caller.send("INVITE", "sip:71@net", sip_headers("INVITE", host=caller.host))
    caller.expect("c1", 200)
    program.process.stdin.write(b"classes\n")
    program.process.stdin.flush()
    wait_until(
        lambda: "plan-roster" in program.log_text().split("stairhatch> ")[-1]
        or "      4s" in program.log_text()
    )


def test_a_class_is_added_and_another_removed_under_open_calls(start_deployment):
    """Guards against classes told by their place: an open call stays what it was, callers may name the old
    class for a while, and then it is one that does not exist.
    """
    program, _, (server, _) = start_deployment(SILENT, SILENT, wait_until_serving=True)
    raw = json.loads(program.path.read_text())
    caller, open_one = program.caller(), next_call_id()
    caller.invite(open_one, "save-roster", answer_within_ms=9000)
    wait_until(lambda: server.messages("START"))
    new = [class_line("night-roster"), class_line("read-roster", effect="keyed")]
    line = program.reload(json.dumps({**raw, "settings": tuned(new, cap=1)}))
    assert (line["added"], line["removed"], line["restart_required"]) == ("night-roster", "save-roster", "-")
    server.script = ScriptedServer.establishes
    for kind in ("night-roster", "read-roster", "save-roster"):
        ident = next_call_id()
        caller.invite(ident, kind)
        caller.expect(ident, 200)
    named = [m["opts"]["class"] for m in server.messages("START")]
    assert named == ["save-roster", "night-roster", "read-roster", "save-roster"]

    def unknown():
        ident = next_call_id()
        caller.invite(ident, "save-roster")
        return wait_until(lambda: caller.final_statuses(ident)) == [400]

    wait_until(unknown, "the end of the old class")
    server.send("FINISH", open_one, rc=41)
    caller.expect(open_one, 200)
    assert (
        len([m for m in server.messages("START") if m["tag"] == open_one]) == 2
    ), "it keeps its six attempts"


def test_open_calls_keep_their_class_and_their_attempts():
    """Guards against a call whose rules change, or that is lost, while it is open."""
    inside = InProcessNode()
    connection = PlatformFrontend(inside.core).connect()
    connection.receive_data(platform_invite(old := next_call_id(), "save-roster", "9000"))
    kept = inside.core.calls.by_ident[old].request.call_class
    lines = [class_line("read-roster", effect="keyed", hard_limit_s=4.0)]
    inside.core.update_settings(settings_from_object(tuned(lines, cap=1)).settings)
    connection.receive_data(platform_invite(new := next_call_id()))
    call, other = inside.core.calls.by_ident[old], inside.core.calls.by_ident[new]
    assert inside.core.controller.settings is inside.core.settings
    assert call.request.call_class is kept
    assert kept.idempotent
    assert (call.max_attempts, other.max_attempts) == (6, 1)
    assert not other.request.call_class.idempotent
    server = inside.core.servers.by_id[1]
    for _ in range(3):  # resets: what may not be repeated has failed, the old one goes on
        for ident in (old, new):
            inside.core.responses.call_released(server, ident, 41, "", inside.empty_report())
        inside.run(2.0)
    assert take_statuses(connection, new) == [500]
    assert take_statuses(connection, old) == []
    assert call.attempts > 1
    assert old in inside.core.calls.by_ident


def test_callers_may_name_an_old_class_or_wait_its_time_for_a_while():
    """Guards against calls turned away that left before their caller heard of the new settings."""
    inside = InProcessNode()
    connection = PlatformFrontend(inside.core).connect()
    inside.core.update_settings(
        settings_from_object(tuned([class_line("read-roster", hard_limit_s=2.0)])).settings
    )
    inside.run(1.3)
    for ident, kind in ((next_call_id(), "save-roster"), (next_call_id(), "read-roster")):
        connection.receive_data(platform_invite(ident, kind, "9000"))
        assert ident in inside.core.calls.by_ident
    inside.run(FORMER_CLASS_S)
    for ident, kind in ((next_call_id(), "save-roster"), (next_call_id(), "read-roster")):
        connection.receive_data(platform_invite(ident, kind, "9000"))
        assert take_statuses(connection, ident) == [400]


def test_settings_are_swapped_in_one_step_and_what_was_learnt_stays(make_node):
    """Guards against figures derived from settings that are no more, and against learning all anew."""
    node = make_node()
    controller = node.controller
    for _ in range(50):
        node.offer(class_index=0, caller_timeout_s=3.0)
        node.offer(class_index=1, caller_timeout_s=2.0)
    controller.endpoints[10].concurrency_limit = 7.5
    kept = dict(controller.parts.caller_retries.usual_timeout_s)
    (_, vital), length = controller.settings.classes, controller.parts.durations.expected.mean
    shorter = replace(vital, latency_objective_s=0.3, deadline_s=vital.deadline_s / 2, priority_weight=9)
    controller.update_settings(
        replace(controller.settings, classes=(shorter,), instance_count=10, max_attempts=1)
    )
    fresh = Controller(controller.settings, random.Random(1))
    assert vars(controller.thresholds) == vars(fresh.thresholds)
    assert controller.settings.max_attempts == 1
    assert controller.endpoints[10].concurrency_limit == 7.5
    assert controller.parts.durations.expected.mean == length
    assert controller.parts.caller_retries.usual_timeout_s == {
        "vital": kept["vital"] / 2
    }, "by its name, and in proportion"


# ---- upgrades ----


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


def test_the_first_question_to_the_coordinator_is_answered_at_once():
    """Guards against a new process that is not ready before a whole wait for news is over."""
    inside = InProcessNode()
    inside.core.readiness.list_known = False
    directory = ServiceDiscoveryClient(inside.core, ("127.0.0.1", 1), 4)
    directory.connected()
    assert int(directory.data_to_send().split(b"wait_ms=")[1].split()[0]) <= 100
    body = b'{"index":4,"updates":[]}'
    directory.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    assert inside.core.readiness.list_known
    assert int(directory.data_to_send().split(b"wait_ms=")[1].split()[0]) >= 1000


def test_a_coordinator_that_says_nothing_does_not_keep_a_known_list_from_serving():
    """Guards against a softswitch that waits for news though it was told a list at its start."""
    inside = InProcessNode()
    inside.core.readiness.list_known = False
    ServiceDiscoveryClient(inside.core, ("127.0.0.1", 1), 4).connected()
    assert not inside.core.readiness.health().is_ready
    inside.run(2.0)
    assert inside.core.readiness.health().is_ready


def test_the_end_does_not_wait_for_a_peer_that_does_not_read(monkeypatch):
    """Guards against a program that never ends because somebody takes no answer."""
    settings = settings_from_object(SETTINGS).settings
    monkeypatch.setattr(shutdown_module, "FLUSH_TIMEOUT_S", 0.05)
    monkeypatch.setattr(shutdown_module, "MIN_STAY_S", 0.0)

    async def story():
        known = {"index": 0, "updates": []}
        application = Application(Config("n", settings, listen=("127.0.0.1", 0), known=known), lambda: None)
        application.open_listeners()
        application.start_discovery()
        application.parts.platform_frontend.is_flushed = lambda: False
        await asyncio.wait_for(application.shut_down(asyncio.Event()), 20)

    asyncio.run(story())


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


def test_two_processes_together_keep_within_the_limits():
    """Guards against an upgrade in which each process takes callers as if it were alone."""
    alone = Config("n", InProcessNode().settings, sockets=384, memory_mb=80)
    beside = replace(alone, inherited=4)
    assert 2 * caller_connection_limit(beside) <= caller_connection_limit(alone) <= 384 * 3 / 4
    assert caller_connection_limit(beside) > 384 / 3, "callers hold up to a third"


def test_links_that_were_left_are_not_opened_again():
    """Guards against an old process that dials again as it leaves, and is told there of ends of calls."""
    inside, links = InProcessNode(), []
    side = ServerConnectionPool(inside.core, links.append)
    inside.core.update_servers([ServerRecord("t", ("127.0.0.1", 9), 1, Availability.READY)], False)
    links[0].connection_made()
    side.send_release(links[0].server, next_call_id(), 16)
    assert not side.is_flushed()
    links[0].data_to_send()
    assert side.is_flushed()
    side.shut_down()
    links[0].connection_lost()
    assert links[0].can_close()
    side.remove(links[0])
    assert len(links) == 1


# ---- rough days ----


def test_a_caller_whose_bytes_come_in_pieces_keeps_its_connection():
    """Guards against usual callers cut off within a message; who never begins is ended within 3 s."""
    inside = InProcessNode()
    listener, (usual, silent, never_ends) = listener_with_connections(
        inside, 9, UnreadSocket(), UnreadSocket(), UnreadSocket()
    )
    receive(inside, usual, platform_invite(next_call_id()))
    receive(inside, never_ends, b"INVITE sip:1@net")
    message = platform_invite(late := next_call_id())
    for start in range(0, len(message), 40):
        receive(inside, usual, message[start : start + 40])
        inside.run(0.7)
        listener.close_overdue()
        assert not usual.protocol.closing
        overdue = inside.now > 1000 + FIRST_REQUEST_TIMEOUT_S
        assert silent.protocol.closing is overdue is never_ends.protocol.closing
    assert late in inside.core.calls.by_ident
    assert FIRST_REQUEST_TIMEOUT_S + 0.25 < 4.0
    assert FIRST_REQUEST_TIMEOUT_S + 0.25 < 3.0


def test_a_message_under_way_is_cut_off_only_where_nobody_is_idle():
    """Guards against callers evicted for newcomers between two pieces of a message."""
    inside = InProcessNode()
    listener, (under_way, silent, idle) = listener_with_connections(
        inside, 3, UnreadSocket(), UnreadSocket(), UnreadSocket()
    )
    receive(inside, under_way, platform_invite(next_call_id())[:60])
    receive(inside, idle, sip.request("OPTIONS", "sip:x@net", [("call-id", "p"), ("cseq", "1 OPTIONS")], b""))
    take_statuses(idle.protocol, "p")
    inside.run(1.0)
    for expected in (silent, idle, under_way):
        assert listener.evict()
        assert expected.protocol.closing
        closing = sum(one.protocol.closing for one in (silent, idle, under_way))
        assert closing == 3 - len(listener.connections)


def test_a_newcomer_whose_set_up_has_not_been_read_is_not_evicted():
    """Guards against a set-up lost with its connection where the loop comes to it later than its
    `eviction_grace_s`: on a loaded machine a newcomer among 60 callers who hold on was taken for one
    that says nothing.
    """
    inside = InProcessNode()
    listener, (newcomer, silent) = listener_with_connections(
        inside, 2, UnreadSocket(platform_invite(next_call_id())), UnreadSocket()
    )
    inside.run(1.0)
    assert listener.evict()
    assert silent.protocol.closing
    assert not newcomer.protocol.closing
    assert not listener.evict()
    assert list(listener.connections) == [newcomer]


def test_a_silent_link_is_doubted_though_its_set_ups_are_given_up_early():
    """Guards against a link that was cut off without a word and is used for 4.7 s: each set-up on it was
    given up before it had been open long enough to make it suspect (pieces+silent+leave, snapshot 2875ccb7).
    """
    inside, links = InProcessNode(), []
    side = ServerConnectionPool(inside.core, links.append)
    inside.core.update_servers([ServerRecord("t", ("127.0.0.1", 9), 0, Availability.READY)], True)
    links[0].connection_made()
    connection = PlatformFrontend(inside.core).connect()
    for _ in range(4):
        connection.receive_data(platform_invite(ident := next_call_id()))
        inside.run(0.01)
        assert b"START" in links[0].data_to_send()
        inside.run(0.15)
        headers = [("call-id", ident), ("cseq", "1 CANCEL")]
        connection.receive_data(sip.request("CANCEL", "sip:x@net", headers, b""))
        links[0].data_to_send()
    assert side.standby
    assert not links[0].pending_setups


def test_a_second_link_that_says_nothing_at_all_is_doubted_at_once():
    """Guards against links cut off one after the other as they come up, each used for twice as long as the
    one before: 6 s without set-ups at that server (pieces+silent+leave, snapshot ee1e40c6).
    """
    inside, links = InProcessNode(), []
    side = ServerConnectionPool(inside.core, links.append)
    inside.core.update_servers([ServerRecord("t", ("127.0.0.1", 9), 0, Availability.READY)], True)
    connection = PlatformFrontend(inside.core).connect()
    began = inside.now
    while len(links) < 4:
        links[-1].connection_made()
        while not side.standby:
            connection.receive_data(platform_invite(ident := next_call_id(), answer_within_ms="9000"))
            inside.run(0.1)
            links[-1].data_to_send()
            headers = [("call-id", ident), ("cseq", "1 CANCEL")]
            connection.receive_data(sip.request("CANCEL", "sip:x@net", headers, b""))
            assert inside.now < began + 3, "a wait that doubles"


def test_a_reload_while_the_coordinator_is_dialled_goes_to_the_new_one():
    """Guards against a softswitch that stays with the old coordinator, which it was just about to reach."""

    async def story():
        inside, asked, ends = InProcessNode(), [], []
        network, directory = Network(inside.core), ServiceDiscoveryClient(inside.core, ("127.0.0.1", 1), 4)

        async def connect(address):
            asked.append(address)
            if len(asked) == 1:
                directory.switch_coordinator(("127.0.0.1", 2))
            ours, theirs = socket.socketpair()
            ends.append(theirs)  # stays open, as the old coordinator's does
            return ours

        network.connector.connect = connect
        task = network.spawn(network.poll_service_discovery(directory))
        for _ in range(20):
            await asyncio.sleep(0)
        task.cancel()
        assert asked[:2] == [("127.0.0.1", 1), ("127.0.0.1", 2)]

    asyncio.run(story())
