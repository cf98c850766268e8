"""Stories of service: new configurations, a coordinator that fails, callers and roster servers that do harm.
Each guards against one failure that the days in service showed, or that was found in reading.
"""

from __future__ import annotations

import json
import random
import time

import pytest

from stairhatch.node import sip_message as sip
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import TERMINATED_KEPT_S, ServerRecord
from stairhatch.node.counters import Counters
from stairhatch.node.event_log import MAX_WARNINGS, EventLog
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.node.service_discovery import ANSWER_TIMEOUT_S, ServiceDiscoveryClient
from stairhatch.overload.events import Availability
from stairhatch.settings.parser import settings_from_object

from .support.call_ids import next_call_id
from .support.deployment import establish_call
from .support.in_process_node import InProcessNode
from .support.platform_config import SETTINGS
from .support.program import Program
from .support.scripted_coordinator import ScriptedCoordinator, endpoint_entry
from .support.scripted_server import ScriptedServer
from .support.sip_caller import SipCaller
from .support.sip_messages import platform_invite
from .support.waiting import wait_until

SILENT = ScriptedServer.never_answers


# ---- new configurations ----


def test_a_reload_moves_to_the_new_coordinator_and_keeps_the_number(start_deployment):
    """Guards against a softswitch that ends on SIGHUP, stays with the old coordinator or begins anew."""
    program, old, (server,) = start_deployment(None)
    other = ScriptedServer()
    new = ScriptedCoordinator()
    new.events = list(old.events)
    config = json.loads(program.path.read_text())
    line = program.reload(json.dumps({**config, "coordinator": f"127.0.0.1:{new.port}"}))
    assert line["result"] == "applied"
    assert line["restart_required"] == "-"
    new.publish(endpoint_entry("s-0", server.port, 0, "terminating"), endpoint_entry("s-1", other.port, 1))
    assert new.polled_indices[0] == 1, "the number of the last event was not kept"
    establish_call(program)
    assert other.messages("START")
    assert not server.messages("START")


ODD = {"index": 1, "updates": [{"index": 1}, 5]}


@pytest.mark.parametrize("change", ["{", {"coordinator": "nowhere"}, {"settings": {}}, {"known": ODD}])
def test_a_configuration_that_cannot_be_used_changes_nothing(start_deployment, change):
    """Guards against one mistyped file taking down what serves."""
    program, coordinator, (server,) = start_deployment(None)
    text = program.path.read_text()
    bad = change if isinstance(change, str) else json.dumps({**json.loads(text), **change})
    assert program.reload(bad)["result"] == "rejected"
    other = ScriptedServer()
    coordinator.publish(
        endpoint_entry("s-0", server.port, 0, "terminating"), endpoint_entry("s-1", other.port, 1)
    )
    establish_call(program)
    assert other.messages("START")
    assert program.reload(text)["result"] == "applied"


def test_a_reload_says_what_wants_a_restart(start_deployment):
    """Guards against an operator who believes that a change has been taken over."""
    program, _, _ = start_deployment(None)
    config = json.loads(program.path.read_text())
    line = program.reload(json.dumps({**config, "listen": "127.0.0.1:1", "console": "127.0.0.1:2"}))
    assert line["restart_required"] == "listen,console"
    establish_call(program)


def test_the_appliance_reloads_its_servers_and_numbers(tmp_path, start_deployment):
    """Guards against a small site that must end its calls to change a prefix or a roster server."""
    one, two = ScriptedServer(), ScriptedServer()
    program = Program.as_appliance(tmp_path, one, one)
    start_deployment.programs.append(program)
    text = program.path.read_text().replace(f"127.0.0.1:{one.port}", f"127.0.0.1:{two.port}")
    text = text.replace('"roster-a"', '"roster-c"').replace('"roster-b"', '"roster-d"')
    assert program.reload(text.replace('prefix = "7"', 'prefix = "8"'))["result"] == "applied"
    caller = SipCaller(program.address, udp=True)
    headers = {
        "via": f"SIP/2.0/UDP {caller.host};branch=z9hG4bKr", "from": "<sip:a@net>;tag=1",
        "to": "<sip:812@net>", "call-id": "r", "cseq": "1 INVITE", "contact": f"<sip:a@{caller.host}>",
    }  # fmt: skip
    caller.send("INVITE", "sip:812@net", headers)
    caller.expect("r", 200)
    assert two.messages("START")[0]["opts"]["class"] == "save-roster"
    assert not one.messages("START")


def test_a_drain_answers_who_still_waits_before_the_process_is_killed(start_deployment):
    """Guards against a planned restart that leaves callers with deadlines of 9 s without any answer:
    SIGKILL may come 3.7 s after SIGTERM.
    """
    program, _, (server,) = start_deployment(SILENT)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident, answer_within_ms=9000)
    wait_until(lambda: server.messages("START"))
    assert program.stop() == 0
    wait_until(lambda: caller.closed)
    assert caller.final_statuses(ident) == [503]
    assert program.log_events("drain_deadline_reached")


# ---- the coordinator ----


@pytest.mark.parametrize("spoil", ["break", "stop"])
def test_an_answer_cut_short_is_asked_for_again(start_deployment, spoil):
    """Guards against changes that are never heard: a coordinator breaks off in mid-event, or stops there and
    leaves the connection open.
    """
    program, coordinator, (server,) = start_deployment(None)
    other = ScriptedServer()
    coordinator.answer_faults = [spoil, spoil]
    coordinator.publish(
        endpoint_entry("s-0", server.port, 0, "terminating"), endpoint_entry("s-1", other.port, 1)
    )
    assert coordinator.polled_indices.count(1) >= 3, "the number moved on before the event was whole"
    establish_call(program)
    assert other.messages("START")


def test_a_silent_coordinator_is_left_within_the_time_that_changes_count_as_told():
    """Guards against waiting longer than 2 s after the end of the wait that was asked for."""
    inside = InProcessNode()
    directory, aborted = ServiceDiscoveryClient(inside.core, ("127.0.0.1", 1), 4), []
    directory.abort = lambda: aborted.append(inside.now)
    directory.connected()
    assert b"follow=4" in directory.data_to_send()
    body = b'{"index":4,"updates":[]}'
    inside.run(ANSWER_TIMEOUT_S - 0.1)
    directory.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    inside.run(ANSWER_TIMEOUT_S - 0.1)
    assert not aborted, "a whole answer begins the wait anew"
    inside.run(0.2)
    assert aborted


# ---- callers that do harm ----


@pytest.mark.parametrize("asks", [False, True], ids=["silent", "asks once and holds on"])
def test_callers_that_hold_connections_shut_out_no_other(start_deployment, asks):
    """Guards against a limit on connections that is filled by those who want nothing more. What is owed an
    answer keeps its connection.
    """
    program, _, (slow, other) = start_deployment(SILENT, None, sockets=32)
    waiting, ident = program.caller(), next_call_id()
    waiting.invite(ident, answer_within_ms=9000)
    wait_until(lambda: slow.messages("START"))
    crowd = []
    for _ in range(60):
        crowd.append(program.caller())
        if asks:
            crowd[-1].send("OPTIONS", "sip:ping@net", {"call-id": "p", "cseq": "1 OPTIONS"})
    # At the silent server it might rightly be refused: on a loaded machine it came once that was flagged.
    newcomer, late = program.caller(), next_call_id()
    newcomer.invite(late, answer_within_ms=9000, routing_data="dest:1;width:1;via:-1")
    newcomer.expect(late, 200)
    assert [m["tag"] for m in other.messages("START")] == [late]
    slow.send("STARTED", ident, blob="d")
    waiting.expect(ident, 200)


HEAD = b"INVITE sip:1@net SIP/2.0\r\nCall-ID: x\r\nVia: SIP/2.0/TCP a\r\nFrom: <sip:a@b>;tag=1\r\n"
HEAD += b"To: <sip:1@net>\r\nCSeq: 1 INVITE\r\nContent-Length: 50\r\n"


@pytest.mark.parametrize("front", ["platform", "appliance"])
@pytest.mark.parametrize(("data", "status"), [(b"", 0), (HEAD, 0), (HEAD + b"\r\nhalf", 408)])
def test_a_first_request_must_come_whole_in_time(tmp_path, start_deployment, front, data, status):
    """Guards against connections that are held for good by callers who never finish a request."""
    if front == "platform":
        program = start_deployment(None)[0]
    else:
        program = Program.as_appliance(tmp_path, ScriptedServer(), ScriptedServer())
        start_deployment.programs.append(program)
    caller = program.caller()
    caller.send_bytes(data)
    wait_until(lambda: caller.closed, "the end of the connection")
    assert [m.status for _, m in caller.received] == ([status] if status else [])


def test_a_release_goes_on_the_calls_own_connection(start_deployment):
    """Guards against a release told to whoever spoke last, which may be one that asks once (churn)."""
    program, _, (server,) = start_deployment(None)
    caller, passer, ident = program.caller(), program.caller(), next_call_id()
    caller.invite(ident)
    caller.expect(ident, 200)
    passer.send("BYE", "sip:x@net", {"call-id": next_call_id(), "cseq": "1 BYE"})
    wait_until(lambda: passer.received)
    server.send("FINISH", ident, rc=16)
    caller.expect(ident, "BYE")
    assert not passer.messages(ident, "BYE")


def test_a_release_that_is_not_heard_goes_on_another_connection(start_deployment):
    """Guards against a call left standing because the one connection that was told of its end is not read."""
    program, _, (server,) = start_deployment(None)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident)
    caller.expect(ident, 200)
    others = [program.caller() for _ in range(2)]
    for other in others:
        other.send("BYE", "sip:x@net", {"call-id": next_call_id(), "cseq": "1 BYE"})
        wait_until(lambda other=other: other.received)
    caller.close()
    server.send("FINISH", ident, rc=16)
    for other in others:
        other.expect(ident, "BYE")


def unusable_invite(ident="00000000005e0000", answer_within_ms="1000", **fields):
    """The bytes of a set-up with one field that no server could use."""
    return platform_invite(ident, answer_within_ms=answer_within_ms, **fields)


@pytest.mark.parametrize(
    "data",
    [
        unusable_invite(ident="no id"),
        unusable_invite(ident=""),
        unusable_invite(ident="5e" * 9),
        unusable_invite(body=b"\xff\xfe"),
        unusable_invite(body=b"\xed\xa0\x80"),
        unusable_invite(key="\udcff"),
        unusable_invite(answer_within_ms="0"),
        unusable_invite(answer_within_ms="-5"),
        unusable_invite(answer_within_ms="1_0"),
        unusable_invite(answer_within_ms="\u0661"),
        unusable_invite(answer_within_ms="99999999"),
        unusable_invite(answer_within_ms="9" * 400),
        unusable_invite(answer_within_ms="9" * 5000),
        unusable_invite(answer_within_ms="inf"),
        unusable_invite(routing_data="dest:inf"),
        unusable_invite(routing_data="dest:nan;width:1"),
        unusable_invite(routing_data="dest:0;width:-3"),
        unusable_invite(cseq="9" * 5000 + " INVITE"),
        unusable_invite(cseq="1 BYE"),
        unusable_invite(call_kind="none"),
    ],
    ids=range(20),
)
def test_what_no_roster_server_could_use_is_refused_here(start_deployment, data):
    """Guards against one caller's bytes that make a roster server close a link under others' set-ups, and
    against figures that raise where they are read.
    """
    program, _, (server,) = start_deployment(SILENT)
    good, bad, ident = program.caller(), program.caller(), next_call_id()
    good.invite(ident)
    wait_until(lambda: server.messages("START"))
    bad.send_bytes(data)
    wait_until(lambda: bad.received, "a refusal")
    assert [m.status for _, m in bad.received] == [400]
    server.send("STARTED", ident, blob="d")
    good.expect(ident, 200)
    assert len(server.messages("START")) == 1
    assert "fault" not in program.log_text()


def test_an_id_is_used_once(start_deployment):
    """Guards against a second set-up under an id that is open, or was: it is refused and touches neither."""
    program, _, (server,) = start_deployment(SILENT)
    good, bad, ident = program.caller(), program.caller(), next_call_id()
    good.invite(ident)
    wait_until(lambda: server.messages("START"))
    bad.invite(ident, body=b"another")
    bad.expect(ident, 482)
    server.send("STARTED", ident, blob="d")
    good.expect(ident, 200)
    server.send("FINISH", ident, rc=16)
    good.expect(ident, "BYE")
    bad.invite(ident)
    wait_until(lambda: bad.final_statuses(ident) == [482, 482], "the second refusal")
    assert len(server.messages("START")) == 1
    assert good.final_statuses(ident) == [200]


def test_callers_that_bring_nothing_usable_are_cut(start_deployment):
    """Guards against a caller that sends the same again the moment it is turned away."""
    program, _, _ = start_deployment(None)
    bad = program.caller()
    for _ in range(200):
        bad.send_bytes(unusable_invite(answer_within_ms="-5"))
    wait_until(lambda: bad.closed, "the end of the connection")
    establish_call(program)


# ---- roster servers that do harm ----


@pytest.mark.parametrize(
    "noise",
    [
        b"\x00\xff noise\n",
        b'{"verb":"STARTED","tag":"' + b"x" * 40_000,
        b'{"verb":"STARTED","tag":3,"opts":{},"blob":"d"}\n',
        b'{"verb":"STARTED","tag":"00000000005e0001","opts":{}}\n',
        b'{"verb":"STARTED","tag":"00000000005e0001","opts":{},"blob":"\\ud800"}\n',
        b'{"verb":"FINISH","tag":"00000000005e0001","opts":{},"rc":1e999}\n',
        b"[" * 9000 + b"\n",
    ],
    ids=["bytes", "without end", "tag", "no blob", "surrogate", "figure", "deep"],
)
def test_a_spoilt_answer_ends_its_link_and_all_its_set_ups_go_on(start_deployment, noise):
    """Guards against set-ups that wait for answers on a link that can't be read any more."""
    program, _, (server,) = start_deployment(SILENT)

    def spoil(_message, _send):
        """At the second set-up, at once: later the link would be held for silent, another one dialled."""
        if len(server.messages("START")) == 2:
            server.script = ScriptedServer.establishes
            server.connections[0].sendall(noise)

    server.script = spoil
    caller, idents = program.caller(), [next_call_id(), next_call_id()]
    for ident in idents:
        caller.invite(ident)
    for ident in idents:
        caller.expect(ident, 200)
    assert len(server.connections) == 2, "a new link, and only one"


def test_second_copies_and_unknown_tags_harm_nothing(start_deployment):
    """Guards against a link given up, or a call answered twice, for more than was asked for."""

    def twice(message, send):
        if message["verb"] == "START":
            for tag in ("00000000deadbeef", message["tag"], message["tag"]):
                send("STARTED", tag, blob="d")

    program, _, (server,) = start_deployment(twice)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident)
    caller.expect(ident, 200)
    server.send("FINISH", ident, rc=16)
    caller.expect(ident, "BYE")
    assert caller.final_statuses(ident) == [200]
    assert len(server.connections) == 1
    assert not server.messages("FINISH"), "what is none of ours is not released"


def test_a_link_cut_off_without_a_word_is_found_out_and_its_set_ups_go_on(start_deployment):
    """Guards against a connection that stays open and silent: all set-ups went there and none came back, for
    the rest of the day (rate+silent+leave). What was released there is released again.
    """
    program, _, (server,) = start_deployment(None)
    caller, standing, waiting = program.caller(), next_call_id(), next_call_id()
    caller.invite(standing)
    caller.expect(standing, 200)
    server.script = SILENT
    caller.invite(waiting)
    wait_until(lambda: len(server.messages("START")) == 2)
    caller.send("BYE", "sip:x@net", {"call-id": standing, "cseq": "2 BYE"})
    wait_until(lambda: len(server.connections) == 2, "a second link")
    wait_until(lambda: len(server.messages("FINISH")) == 2, "the release, written again")
    server.script = ScriptedServer.establishes

    def told():
        server.send("LOAD", "", opts={"load": "free:50;size:90"})
        time.sleep(0.1)
        return caller.final_statuses(waiting)

    wait_until(told)
    assert caller.final_statuses(waiting) == [200]
    assert program.log_events("server_connection_dead")
    assert {m["tag"] for m in server.messages("FINISH")} == {standing}
    wait_until(lambda: len(server.connections) >= 3, "a link for what was released on the dead one")


def test_a_link_that_is_merely_slow_keeps_its_set_ups(start_deployment):
    """Guards against set-ups given up at a server that takes its time but is heard on the same link."""
    program, _, (server,) = start_deployment(SILENT)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident)
    wait_until(lambda: len(server.connections) == 2, "a second link")
    for _ in range(5):
        for link in server.connections:
            server.send("LOAD", "", link, opts={"load": "free:50;size:90"})
        time.sleep(0.2)
    server.send("STARTED", ident, server.connections[0], blob="d")
    caller.expect(ident, 200)
    assert len(server.messages("START")) == 1
    assert not program.log_events("server_connection_dead")


def a_link(now):
    """A link to a listed server, connected, and what the driver was asked to end."""
    core = CallManager(
        settings_from_object(SETTINGS).settings,
        random.Random(1),
        lambda: now[0],
        lambda *_args, **_fields: None,
        Counters(),
    )
    links, aborted = [], []
    side = ServerConnectionPool(core, links.append)
    core.update_servers([ServerRecord("s", ("127.0.0.1", 9), 0, Availability.READY)], True)
    links[0].abort = lambda: aborted.append(now[0])
    links[0].connection_made()
    return core, side, links[0], aborted


def test_a_link_that_falls_silent_again_is_doubted_as_soon_as_the_first():
    """Guards against a doubt that was right and makes the next one wait: a server whose connections were cut
    off one after the other was left without set-ups for 3 s (incident r4106c7).
    """
    now = [1000.0]
    core, side, _, _ = a_link(now)
    caller = PlatformFrontend(core).connect()

    def silent_until_doubted():
        """A set-up is written on the link in use and nothing is heard; returns how long that went on."""
        link = side.active[1]
        caller.receive_data(platform_invite(next_call_id(), answer_within_ms="9000"))
        while not link.data_to_send():
            now[0] += 0.01
            core.timers.run_due()
        since = now[0]
        while not side.standby:
            now[0] += 0.01
            core.timers.run_due()
            assert now[0] < since + 5, "it was not doubted"
        spare = side.standby[1]
        spare.connection_made()
        for _ in range(3):
            now[0] += 0.3
            spare.receive_data(b'{"verb":"LOAD","tag":"","opts":{"load":"free:50;size:90"}}\n')
            core.timers.run_due()
        for each in list(side.superseded):  # as the driver does
            each.connection_lost()
            side.remove(each)
        return now[0] - since

    first = silent_until_doubted()
    for _ in range(3):
        now[0] += 0.2
        core.timers.run_due()
        for spare in list(side.standby.values()):
            spare.connection_made()
        assert silent_until_doubted() < first + 0.2


def asked(core, side, now, within="9000"):
    """A call whose set-up has been written on the link in use."""
    caller, ident = PlatformFrontend(core).connect(), next_call_id()
    caller.receive_data(platform_invite(ident, answer_within_ms=within))
    for _ in range(100):
        if b"START" in side.active[1].data_to_send():
            return ident
        now[0] += 0.01
        core.timers.run_due()
    raise AssertionError("no set-up")


def pass_time(core, now, seconds):
    """Let time pass, timer by timer."""
    end = now[0] + seconds
    while now[0] < end:
        now[0] += 0.01
        core.timers.run_due()


@pytest.mark.parametrize("ends", ["by the server", "by the caller"])
def test_a_link_passed_over_is_read_while_calls_stand_that_were_set_up_on_it(ends):
    """Guards against ends of calls told to nobody: a call ended as its link, passed over 10 s before,
    was closed, and no other was opened on which its end would have come again (calm+mass, 9dfed0e6).
    """
    now = [1000.0]
    core, side, old, _ = a_link(now)
    ident = asked(core, side, now, within="13000")
    pass_time(core, now, 0.6)
    side.standby[1].connection_made()
    assert side.superseded == [old]
    assert not old.can_close()
    pass_time(core, now, 9.0)
    old.receive_data(b'{"verb":"STARTED","tag":"%s","opts":{},"blob":"d"}\n' % ident.encode())
    pass_time(core, now, 20.0)
    assert core.calls.is_established(ident)
    assert not old.can_close()
    if ends == "by the server":
        old.receive_data(b'{"verb":"FINISH","tag":"%s","opts":{},"rc":16}\n' % ident.encode())
    else:
        core.release(core.calls.by_ident[ident], 16)
    assert not core.calls.is_established(ident)
    assert old.can_close()


def test_a_link_passed_over_that_breaks_under_calls_is_followed_by_another():
    """Guards against an end of a call that was under way on it when it broke, and came nowhere else: the
    server sends it again on the next connection that is opened, and none was.
    """
    now = [1000.0]
    core, side, old, _ = a_link(now)
    ident = asked(core, side, now, within="13000")
    pass_time(core, now, 0.6)
    side.standby[1].connection_made()
    old.receive_data(b'{"verb":"STARTED","tag":"%s","opts":{},"blob":"d"}\n' % ident.encode())
    assert core.calls.is_established(ident)
    assert side.superseded == [old]
    assert not side.standby
    old.connection_lost()  # as the driver does
    side.remove(old)
    pass_time(core, now, 0.2)
    assert side.standby, "another is dialled"


def test_of_links_kept_for_calls_the_oldest_ends_before_another_is_opened():
    """Guards against links without number to a server that falls silent again and again, and against one
    ended after the next was opened, so that what was sent on it comes nowhere.
    """
    now = [1000.0]
    core, side, _, _ = a_link(now)
    for _ in range(6):
        link = side.active[1]
        link.receive_data(b'{"verb":"LOAD","tag":"","opts":{"load":"free:50;size:90"}}\n')
        ident = asked(core, side, now)
        link.receive_data(b'{"verb":"STARTED","tag":"%s","opts":{},"blob":"d"}\n' % ident.encode())
        side.dial_standby(link)
        for each in [
            each for each in side.superseded if each.can_close()
        ]:  # as the driver does, before the next is up
            each.connection_lost()
            side.remove(each)
        side.standby[1].connection_made()
        assert len(side.superseded) <= 3


@pytest.mark.parametrize(("started", "ends"), [(999.9, False), (1004.0, True)])
def test_a_link_from_before_a_servers_start_is_ended(started, ends):
    """Guards against a machine that vanished and came back: the old connection stays silent for good."""
    now = [1000.0]
    core, _, _, aborted = a_link(now)
    now[0] = 1010.0
    core.update_servers([ServerRecord("s", ("127.0.0.1", 9), 0, Availability.READY, started)], False)
    assert bool(aborted) is ends


def test_a_link_to_a_vanished_server_does_not_stay_for_what_it_cannot_write():
    """Guards against a connection and its releases kept for good for a machine that is gone."""
    now = [1000.0]
    core, side, link, aborted = a_link(now)
    side.send_release(link.server, "00000000005e0001", 16)
    core.update_servers([ServerRecord("s", ("127.0.0.1", 9), 0, Availability.GONE)], False)
    assert not link.can_close()
    now[0] += 11
    core.timers.run_due()
    assert aborted
    assert link.can_close()


# ---- the long day ----


def test_a_flood_of_one_kind_of_line_is_cut_and_counted(capfd):
    """Guards against a log that takes more of the processor than the calls, at a hostile peer's will."""
    now = [1.0]
    log = EventLog("stairhatch", "host", lambda: now[0])
    for _ in range(500):
        log("malformed", side="caller")
    now[0] = 2.5
    log("malformed", side="caller")
    log.close()
    lines = capfd.readouterr().err.splitlines()
    assert len(lines) == MAX_WARNINGS + 1
    assert lines[-1].endswith("suppressed_before=480")


def test_timers_that_are_due_together_wake_the_loop_once():
    """Guards against a loop that is woken, and its timer set, for each call anew."""
    inside, woken, rung = InProcessNode(), [], []
    inside.core.timers.on_earlier_due = lambda: woken.append(1)
    for n in range(1000):
        due = 1000.5 + n / 1e6
        inside.core.timers.schedule(due, lambda due=due: rung.append(inside.now >= due))
    assert len(woken) <= 2
    inside.run(0.49)
    assert not rung
    inside.run(0.02)
    assert len(rung) == 1000
    assert all(rung), "none rings before its time"


def test_what_is_kept_of_servers_and_calls_goes_with_them():
    """Guards against memory that grows with each server and call that ever was."""
    now = [1000.0]
    core = CallManager(
        settings_from_object(SETTINGS).settings,
        random.Random(1),
        lambda: now[0],
        lambda *_args, **_fields: None,
        Counters(),
    )
    links = []
    side = ServerConnectionPool(core, links.append)
    front = PlatformFrontend(core)
    connection = front.connect()
    for n in range(200):
        core.update_servers([ServerRecord(f"s-{n}", ("127.0.0.1", 9), 0, Availability.READY)], n == 0)
        connection.receive_data(platform_invite(f"{n:016x}", call_kind="read-roster"))
        connection.receive_data(sip.request(f"MADE{n}", "sip:x@net", [], b"") if n < 7 else b"")
        core.update_servers([ServerRecord(f"s-{n}", ("127.0.0.1", 9), 0, Availability.GONE)], False)
        for link in [link for link in links if link.can_close()]:
            links.remove(link)
            side.remove(link)  # as the driver does when a link has ended
        now[0] += 5
        core.timers.run_due()
    assert not core.servers.by_id
    assert not core.servers.by_instance
    assert not side.active
    assert not core.calls.by_number
    assert not front.registry.calls
    assert not core.calls.by_ident
    assert len(core.calls._terminated) <= TERMINATED_KEPT_S / 5 + 1  # noqa: SLF001  # nothing public tells
    assert len(core.controller.endpoints) <= 10
    assert len(core.timers._slots) <= 10  # noqa: SLF001  # nothing public tells its size
    assert not any("MADE" in name for name in core.counters.counts)
