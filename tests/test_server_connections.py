"""Connections to servers: malformed answers, unresponsive connections, and those that are superseded."""

from __future__ import annotations

import asyncio
import random
import time

import pytest
import uvloop

from stairhatch.node import sip_message as sip
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import ServerRecord
from stairhatch.node.counters import Counters
from stairhatch.node.io.network import Network
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.overload.events import Availability
from stairhatch.settings.parser import settings_from_object

from .support.call_ids import next_call_id
from .support.full_listener import FullListener
from .support.in_process_node import InProcessNode
from .support.platform_config import SETTINGS
from .support.scripted_server import ScriptedServer
from .support.sip_messages import platform_invite
from .support.waiting import wait_until

SILENT = ScriptedServer.never_answers


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


@pytest.mark.parametrize("answers", [True, False], ids=["it came up", "it did not"])
def test_a_dial_that_came_up_while_the_process_stood_still_is_no_failed_one(answers):
    """Guards against a link held for unreached, and its server for cold, since the loop carries out the
    dial's time limit, due by then, before it looks at the socket. One that did not come up fails as before.
    """
    stuck = None if answers else FullListener()
    server = ScriptedServer() if answers else stuck

    async def story():
        inside = InProcessNode()
        inside.follow_loop(asyncio.get_running_loop())
        network = Network(inside.core)
        dial = asyncio.ensure_future(network.connector.connect(("127.0.0.1", server.port), 0.2))
        for _ in range(3):  # the dial begins
            await asyncio.sleep(0)
        time.sleep(0.5)  # noqa: ASYNC251  # the loop stands still beyond the limit
        if answers:
            (await dial).close()
        else:
            with pytest.raises(TimeoutError):
                await dial

    uvloop.run(story())
    server.close()
