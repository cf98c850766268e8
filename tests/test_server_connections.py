"""Tests of connections to servers: malformed answers, unresponsive and superseded connections."""

from __future__ import annotations

import asyncio
import random
import time

import pytest
import uvloop

from stairhatch.node import sip_message as sip
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import ReleaseCause, ServerRecord
from stairhatch.node.counters import Counters
from stairhatch.node.io.network import Network
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.server_messages import render_release
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.overload.events import Availability
from stairhatch.settings.parser import settings_from_object

from .support.call_ids import next_call_id
from .support.full_listener import FullListener
from .support.in_process_node import InProcessNode
from .support.platform_config import SETTINGS
from .support.scripted_server import ScriptedServer
from .support.server_lines import finish_line, started_line
from .support.sip_messages import platform_invite
from .support.waiting import wait_until

SILENT = ScriptedServer.never_answers


@pytest.mark.parametrize(
    "malformed",
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
def test_a_malformed_answer_closes_its_connection_and_all_its_setups_are_retried(start_deployment, malformed):
    """No set-up keeps waiting for an answer on a connection that has brought an unreadable message."""
    program, _, (server,) = start_deployment(SILENT)

    def send_malformed(_message, _send):
        """Send the malformed bytes at the second set-up; after a delay a standby would be opened."""
        if len(server.messages("START")) == 2:
            server.script = ScriptedServer.establishes
            server.connections[0].sendall(malformed)

    server.script = send_malformed
    caller, idents = program.caller(), [next_call_id(), next_call_id()]
    for ident in idents:
        caller.invite(ident)
    for ident in idents:
        caller.expect(ident, 200)
    assert len(server.connections) == 2, "one new connection is opened"


def test_a_silently_cut_connection_is_detected_and_its_setups_are_retried(start_deployment):
    """A connection that stays open but silent does not keep its set-ups, and releases written to it are
    written again on the next connection. Its set-ups are released there before they are retried.
    """
    program, _, (server,) = start_deployment(None)
    caller, established, pending = program.caller(), next_call_id(), next_call_id()
    caller.invite(established)
    caller.expect(established, 200)
    server.script = SILENT
    caller.invite(pending, answer_within_ms=9000)
    wait_until(lambda: len(server.messages("START")) == 2)
    caller.send("BYE", "sip:x@net", {"call-id": established, "cseq": "2 BYE"})
    wait_until(lambda: len(server.connections) >= 2, "a second connection")
    wait_until(lambda: len(server.messages("FINISH")) >= 2, "the repeated release")
    server.script = ScriptedServer.establishes

    def established_after_report():
        server.send("LOAD", "", opts={"load": "free:50;size:90"})
        time.sleep(0.1)
        return caller.final_statuses(pending)

    wait_until(established_after_report)
    assert caller.final_statuses(pending) == [200]
    assert program.log_events("server_connection_dead")
    assert {m["tag"] for m in server.messages("FINISH")} == {established, pending}
    about_pending = [m["verb"] for _, m in server.received if m["tag"] == pending]
    assert about_pending[:2] == ["START", "FINISH"]
    assert set(about_pending[2:-1]) <= {"FINISH"}, "the release is repeated on each connection"
    assert about_pending[-1] == "START"
    wait_until(lambda: len(server.connections) >= 3, "a connection on which the server repeats releases")


def test_a_slow_connection_keeps_its_setups(start_deployment):
    """Set-ups stay pending at a slow server that keeps sending messages on their connection."""
    program, _, (server,) = start_deployment(SILENT)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident, answer_within_ms=9000)
    wait_until(lambda: len(server.connections) >= 2, "a second connection")
    for _ in range(5):
        program.suspend()  # so that the reports arrive together, even if this process is slow
        for server_connection in list(server.connections):
            server.send("LOAD", "", server_connection, opts={"load": "free:50;size:90"})
        program.resume()
        time.sleep(0.2)
    server.send("STARTED", ident, server.connections[0], blob="d")
    caller.expect(ident, 200)
    assert len(server.messages("START")) == 1
    assert not program.log_events("server_connection_dead")


def connected_server(now):
    """Return a call manager with one connected server, the pool, the connection, and a list that records the
    times at which the connection is aborted.
    """
    call_manager = CallManager(
        settings_from_object(SETTINGS).settings,
        random.Random(1),
        lambda: now[0],
        lambda *_args, **_fields: None,
        Counters(),
    )
    server_connections, aborted = [], []
    pool = ServerConnectionPool(call_manager, server_connections.append)
    call_manager.update_servers([ServerRecord("s", ("127.0.0.1", 9), 0, Availability.READY)], True)
    server_connections[0].abort = lambda: aborted.append(now[0])
    server_connections[0].connection_made()
    return call_manager, pool, server_connections[0], aborted


def test_after_a_confirmed_suspicion_the_next_one_is_not_delayed():
    """A confirmed suspicion does not delay the next one. Otherwise a server whose connections are cut one
    after the other gets no set-ups for 3 s.
    """
    now = [1000.0]
    call_manager, pool, _, _ = connected_server(now)
    caller = PlatformFrontend(call_manager).connect()

    def silent_until_doubted():
        """Write a set-up without an answer; return the seconds until the connection is suspected."""
        server_connection = pool.active[1]
        caller.receive_data(platform_invite(next_call_id(), answer_within_ms="9000"))
        while not server_connection.data_to_send():
            now[0] += 0.01
            call_manager.timers.run_due()
        since = now[0]
        while not pool.standby:
            now[0] += 0.01
            call_manager.timers.run_due()
            assert now[0] < since + 5, "the connection was not suspected"
        standby = pool.standby[1]
        standby.connection_made()
        for _ in range(3):
            now[0] += 0.3
            standby.receive_data(b'{"verb":"LOAD","tag":"","opts":{"load":"free:50;size:90"}}\n')
            call_manager.timers.run_due()
        for each in list(pool.superseded):  # the driver's calls when a connection has ended
            each.connection_lost()
            pool.remove(each)
        return now[0] - since

    first = silent_until_doubted()
    for _ in range(3):
        now[0] += 0.2
        call_manager.timers.run_due()
        for standby in list(pool.standby.values()):
            standby.connection_made()
        assert silent_until_doubted() < first + 0.2


def offer_written_call(call_manager, pool, now, within="9000"):
    """Offer a call, wait until its set-up is written on the active connection, and return its id."""
    caller, ident = PlatformFrontend(call_manager).connect(), next_call_id()
    caller.receive_data(platform_invite(ident, answer_within_ms=within))
    for _ in range(100):
        if b"START" in pool.active[1].data_to_send():
            return ident
        now[0] += 0.01
        call_manager.timers.run_due()
    raise AssertionError("no set-up was written")


def open_successor(pool, connection):
    """Let a standby of an active connection come up, and return it."""
    pool.dial_standby(connection)
    successor = pool.standby[1]
    successor.connection_made()
    return successor


def server_with_superseded(now):
    """Return a call manager, the pool, a superseded connection with an established call, the id of the call,
    the successor, and the list of the times at which the superseded one is aborted.
    """
    call_manager, pool, old, aborted = connected_server(now)
    ident = offer_written_call(call_manager, pool, now)
    old.receive_data(started_line(ident))
    return call_manager, pool, old, ident, open_successor(pool, old), aborted


def establish_on(connection, call_manager, pool, now):
    """Offer a call, and let the server establish it on the active connection."""
    connection.receive_data(started_line(offer_written_call(call_manager, pool, now)))


def pass_time(call_manager, now, seconds):
    """Advance the clock in steps of 10 ms, and run the due timers after each step."""
    end = now[0] + seconds
    while now[0] < end:
        now[0] += 0.01
        call_manager.timers.run_due()


@pytest.mark.parametrize("pauses", [0.5, 1.5])
def test_the_retry_pause_begins_when_the_release_is_written(pauses):
    """Guards against a set-up that is sent again before its release has had time to arrive (issue 52)."""
    now = [1000.0]
    call_manager, pool, dead, _ = connected_server(now)
    pause_s = call_manager.settings.safety.retry_pause_s
    ident = offer_written_call(call_manager, pool, now)
    successor = open_successor(pool, dead)
    dead.abort_as_dead()
    dead.connection_lost()
    pass_time(call_manager, now, pauses * pause_s)  # nothing is written, as if the process was stopped
    assert successor.data_to_send() == render_release(ident, ReleaseCause.NORMAL_CLEARING)
    written_at = now[0]
    while b"START" not in successor.data_to_send():
        pass_time(call_manager, now, 0.01)
    assert now[0] - written_at >= pause_s


@pytest.mark.parametrize("ends", ["by the server", "by the caller"])
def test_a_superseded_connection_is_read_while_calls_set_up_on_it_are_established(ends):
    """A release is not lost if its connection was superseded before the release arrives."""
    now = [1000.0]
    call_manager, pool, old, _ = connected_server(now)
    ident = offer_written_call(call_manager, pool, now, within="13000")
    pass_time(call_manager, now, 0.6)
    pool.standby[1].connection_made()
    assert pool.superseded == [old]
    assert not old.can_close()
    pass_time(call_manager, now, 9.0)
    old.receive_data(started_line(ident))
    pass_time(call_manager, now, 20.0)
    assert call_manager.calls.is_established(ident)
    assert not old.can_close()
    if ends == "by the server":
        old.receive_data(finish_line(ident))
    else:
        call_manager.release(call_manager.calls.by_ident[ident], 16)
    assert not call_manager.calls.is_established(ident)
    assert old.can_close()


def test_a_superseded_connection_on_which_nothing_is_due_is_not_taken_for_dead():
    """Guards against releases that are lost as their connection, quiet for a moment, is ended (issue 52)."""
    now = [1000.0]
    call_manager, pool, old, first, successor, aborted = server_with_superseded(now)
    for _ in range(4):
        pass_time(call_manager, now, 0.3)
        establish_on(successor, call_manager, pool, now)
    pass_time(call_manager, now, 0.3)
    assert not aborted
    assert pool.superseded == [old]
    old.receive_data(finish_line(first))
    assert not call_manager.calls.is_established(first)


def test_calls_of_a_quiet_superseded_connection_are_watched():
    """Guards against releases that are sent for ever on a dead connection on which nothing is due."""
    now = [1000.0]
    call_manager, pool, _, _, successor, _ = server_with_superseded(now)
    since = now[0]
    while not pool.standby:
        assert now[0] < since + 7.0, "no connection is opened for the release"
        establish_on(successor, call_manager, pool, now)
        pass_time(call_manager, now, 0.3)


def test_a_connection_that_falls_silent_in_mid_line_is_replaced_at_once():
    """Guards against releases that wait until load reports are missed (issue 52)."""
    now = [1000.0]
    call_manager, pool, connection, _ = connected_server(now)
    establish_on(connection, call_manager, pool, now)
    connection.receive_data(b'{"opts":{},"rc":16,')
    pass_time(call_manager, now, 0.5)
    assert 1 in pool.standby


def test_another_connection_is_opened_if_a_superseded_one_breaks_with_calls_established():
    """The server repeats a release that was in flight only on the next connection, so one must be opened."""
    now = [1000.0]
    call_manager, pool, old, _ = connected_server(now)
    ident = offer_written_call(call_manager, pool, now, within="13000")
    pass_time(call_manager, now, 0.6)
    pool.standby[1].connection_made()
    old.receive_data(started_line(ident))
    assert call_manager.calls.is_established(ident)
    assert pool.superseded == [old]
    assert not pool.standby
    old.connection_lost()  # the driver's calls when a connection has ended
    pool.remove(old)
    pass_time(call_manager, now, 0.2)
    assert pool.standby, "another connection is opened"


def test_the_oldest_superseded_connection_closes_before_another_is_opened():
    """The number of connections to a server that repeatedly falls silent is bounded. The oldest one closes
    before the next opens, so that the server repeats the releases sent on it there.
    """
    now = [1000.0]
    call_manager, pool, _, _ = connected_server(now)
    for _ in range(6):
        server_connection = pool.active[1]
        server_connection.receive_data(b'{"verb":"LOAD","tag":"","opts":{"load":"free:50;size:90"}}\n')
        ident = offer_written_call(call_manager, pool, now)
        server_connection.receive_data(started_line(ident))
        pool.dial_standby(server_connection)
        for each in [
            each for each in pool.superseded if each.can_close()
        ]:  # the driver ends them before the next one is up
            each.connection_lost()
            pool.remove(each)
        pool.standby[1].connection_made()
        assert len(pool.superseded) <= 3


@pytest.mark.parametrize(("started", "ends"), [(999.9, False), (1004.0, True)])
def test_a_connection_from_before_its_servers_start_is_aborted(started, ends):
    """Connections to the old process of a machine that vanished and restarted would stay silent forever."""
    now = [1000.0]
    call_manager, _, _, aborted = connected_server(now)
    now[0] = 1010.0
    call_manager.update_servers([ServerRecord("s", ("127.0.0.1", 9), 0, Availability.READY, started)], False)
    assert bool(aborted) is ends


def test_a_connection_to_a_gone_server_is_not_kept_for_undeliverable_releases():
    """A connection with queued releases for a machine that is gone is ended after the drain timeout."""
    now = [1000.0]
    call_manager, pool, server_connection, aborted = connected_server(now)
    pool.send_release(server_connection.server, "00000000005e0001", 16)
    call_manager.update_servers([ServerRecord("s", ("127.0.0.1", 9), 0, Availability.GONE)], False)
    assert not server_connection.can_close()
    now[0] += 11
    call_manager.timers.run_due()
    assert aborted
    assert server_connection.can_close()


def test_a_silent_connection_is_suspected_although_its_setups_are_cancelled_early():
    """A silently cut connection is suspected even if each set-up on it is cancelled before the response
    timeout. Otherwise it stays in use, in one case for 4.7 s.
    """
    node, server_connections = InProcessNode(), []
    pool = ServerConnectionPool(node.call_manager, server_connections.append)
    node.call_manager.update_servers([ServerRecord("t", ("127.0.0.1", 9), 0, Availability.READY)], True)
    server_connections[0].connection_made()
    connection = PlatformFrontend(node.call_manager).connect()
    for _ in range(4):
        connection.receive_data(platform_invite(ident := next_call_id()))
        node.run(0.01)
        assert b"START" in server_connections[0].data_to_send()
        node.run(0.15)
        headers = [("call-id", ident), ("cseq", "1 CANCEL")]
        connection.receive_data(sip.request("CANCEL", "sip:x@net", headers, b""))
        server_connections[0].data_to_send()
    assert pool.standby
    assert not server_connections[0].pending_setups


def test_a_new_connection_without_any_message_is_suspected_without_backoff():
    """If connections are cut one after the other as they come up, the backoff does not double the time for
    which each is used.
    """
    node, server_connections = InProcessNode(), []
    pool = ServerConnectionPool(node.call_manager, server_connections.append)
    node.call_manager.update_servers([ServerRecord("t", ("127.0.0.1", 9), 0, Availability.READY)], True)
    connection = PlatformFrontend(node.call_manager).connect()
    began = node.now
    while len(server_connections) < 4:
        server_connections[-1].connection_made()
        while not pool.standby:
            connection.receive_data(platform_invite(ident := next_call_id(), answer_within_ms="9000"))
            node.run(0.1)
            server_connections[-1].data_to_send()
            headers = [("call-id", ident), ("cseq", "1 CANCEL")]
            connection.receive_data(sip.request("CANCEL", "sip:x@net", headers, b""))
            assert node.now < began + 3, "the backoff doubled"


@pytest.mark.parametrize("answers", [True, False], ids=["connected", "not connected"])
def test_a_connect_that_succeeded_while_the_process_was_stalled_counts_as_a_success(answers):
    """After a stall the loop runs the overdue timeout of the connect before it polls the socket. The connect
    succeeds nevertheless if the socket is connected, and fails if it is not.
    """
    full_listener = None if answers else FullListener()
    server = ScriptedServer() if answers else full_listener

    async def scenario():
        node = InProcessNode()
        node.follow_loop(asyncio.get_running_loop())
        network = Network(node.call_manager)
        dial = asyncio.ensure_future(network.connector.connect(("127.0.0.1", server.port), 0.2))
        for _ in range(3):  # lets the connect begin
            await asyncio.sleep(0)
        time.sleep(0.5)  # noqa: ASYNC251  # stalls the loop beyond the connect timeout
        if answers:
            (await dial).close()
        else:
            with pytest.raises(TimeoutError):
                await dial

    uvloop.run(scenario())
    server.close()
