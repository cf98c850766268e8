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
    """No set-up waits for an answer on a connection that can't be read any more."""
    program, _, (server,) = start_deployment(SILENT)

    def spoil(_message, _send):
        """At the second set-up, at once: later another connection would be opened for a silent one."""
        if len(server.messages("START")) == 2:
            server.script = ScriptedServer.establishes
            server.connections[0].sendall(malformed)

    server.script = spoil
    caller, idents = program.caller(), [next_call_id(), next_call_id()]
    for ident in idents:
        caller.invite(ident)
    for ident in idents:
        caller.expect(ident, 200)
    assert len(server.connections) == 2, "a new connection, and only one"


def test_a_silently_cut_connection_is_found_out_and_its_setups_are_retried(start_deployment):
    """A connection that stays open and silent does not take set-ups for good, and what was released on it is
    released again.
    """
    program, _, (server,) = start_deployment(None)
    caller, standing, waiting = program.caller(), next_call_id(), next_call_id()
    caller.invite(standing)
    caller.expect(standing, 200)
    server.script = SILENT
    caller.invite(waiting, answer_within_ms=9000)
    wait_until(lambda: len(server.messages("START")) == 2)
    caller.send("BYE", "sip:x@net", {"call-id": standing, "cseq": "2 BYE"})
    wait_until(lambda: len(server.connections) >= 2, "a second connection")
    wait_until(lambda: len(server.messages("FINISH")) >= 2, "the release, written again")
    server.script = ScriptedServer.establishes

    def established_after_report():
        server.send("LOAD", "", opts={"load": "free:50;size:90"})
        time.sleep(0.1)
        return caller.final_statuses(waiting)

    wait_until(established_after_report)
    assert caller.final_statuses(waiting) == [200]
    assert program.log_events("server_connection_dead")
    assert {m["tag"] for m in server.messages("FINISH")} == {standing}
    wait_until(lambda: len(server.connections) >= 3, "a connection for what was released on the dead one")


def test_a_connection_that_is_merely_slow_keeps_its_setups(start_deployment):
    """Set-ups are not given up at a server that takes its time but is heard on the same connection."""
    program, _, (server,) = start_deployment(SILENT)
    caller, ident = program.caller(), next_call_id()
    caller.invite(ident, answer_within_ms=9000)
    wait_until(lambda: len(server.connections) >= 2, "a second connection")
    for _ in range(5):
        program.suspend()  # so that the reports come at the same time, however slow this process is
        for server_connection in list(server.connections):
            server.send("LOAD", "", server_connection, opts={"load": "free:50;size:90"})
        program.resume()
        time.sleep(0.2)
    server.send("STARTED", ident, server.connections[0], blob="d")
    caller.expect(ident, 200)
    assert len(server.messages("START")) == 1
    assert not program.log_events("server_connection_dead")


def connected_server(now):
    """A call manager with one connected server, its pool, the connection, and when the network was asked to
    abort it.
    """
    core = CallManager(
        settings_from_object(SETTINGS).settings,
        random.Random(1),
        lambda: now[0],
        lambda *_args, **_fields: None,
        Counters(),
    )
    server_connections, aborted = [], []
    pool = ServerConnectionPool(core, server_connections.append)
    core.update_servers([ServerRecord("s", ("127.0.0.1", 9), 0, Availability.READY)], True)
    server_connections[0].abort = lambda: aborted.append(now[0])
    server_connections[0].connection_made()
    return core, pool, server_connections[0], aborted


def test_a_connection_that_falls_silent_again_is_suspected_as_soon_as_the_first():
    """A suspicion that was right does not delay the next one: a server whose connections were cut one after
    the other was once left without set-ups for 3 s.
    """
    now = [1000.0]
    core, pool, _, _ = connected_server(now)
    caller = PlatformFrontend(core).connect()

    def silent_until_doubted():
        """A set-up is written and nothing comes back; returns how long until the connection is suspected."""
        server_connection = pool.active[1]
        caller.receive_data(platform_invite(next_call_id(), answer_within_ms="9000"))
        while not server_connection.data_to_send():
            now[0] += 0.01
            core.timers.run_due()
        since = now[0]
        while not pool.standby:
            now[0] += 0.01
            core.timers.run_due()
            assert now[0] < since + 5, "it was not doubted"
        standby = pool.standby[1]
        standby.connection_made()
        for _ in range(3):
            now[0] += 0.3
            standby.receive_data(b'{"verb":"LOAD","tag":"","opts":{"load":"free:50;size:90"}}\n')
            core.timers.run_due()
        for each in list(pool.superseded):  # as the driver does
            each.connection_lost()
            pool.remove(each)
        return now[0] - since

    first = silent_until_doubted()
    for _ in range(3):
        now[0] += 0.2
        core.timers.run_due()
        for standby in list(pool.standby.values()):
            standby.connection_made()
        assert silent_until_doubted() < first + 0.2


def offer_written_call(core, pool, now, within="9000"):
    """A call whose set-up has been written on the connection in use; returns its id."""
    caller, ident = PlatformFrontend(core).connect(), next_call_id()
    caller.receive_data(platform_invite(ident, answer_within_ms=within))
    for _ in range(100):
        if b"START" in pool.active[1].data_to_send():
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
def test_a_superseded_connection_is_read_while_calls_set_up_on_it_are_established(ends):
    """A release is not lost with a connection that was superseded before it came."""
    now = [1000.0]
    core, pool, old, _ = connected_server(now)
    ident = offer_written_call(core, pool, now, within="13000")
    pass_time(core, now, 0.6)
    pool.standby[1].connection_made()
    assert pool.superseded == [old]
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


def test_a_superseded_connection_that_breaks_under_calls_is_followed_by_another():
    """A release that was under way on it comes again on the next connection, so that one has to be opened."""
    now = [1000.0]
    core, pool, old, _ = connected_server(now)
    ident = offer_written_call(core, pool, now, within="13000")
    pass_time(core, now, 0.6)
    pool.standby[1].connection_made()
    old.receive_data(b'{"verb":"STARTED","tag":"%s","opts":{},"blob":"d"}\n' % ident.encode())
    assert core.calls.is_established(ident)
    assert pool.superseded == [old]
    assert not pool.standby
    old.connection_lost()  # as the driver does
    pool.remove(old)
    pass_time(core, now, 0.2)
    assert pool.standby, "another is dialled"


def test_of_connections_kept_for_calls_the_oldest_closes_before_another_opens():
    """Connections to a server that falls silent again and again are bounded, and one closes before the next
    opens, so that what was sent on it comes there.
    """
    now = [1000.0]
    core, pool, _, _ = connected_server(now)
    for _ in range(6):
        server_connection = pool.active[1]
        server_connection.receive_data(b'{"verb":"LOAD","tag":"","opts":{"load":"free:50;size:90"}}\n')
        ident = offer_written_call(core, pool, now)
        server_connection.receive_data(
            b'{"verb":"STARTED","tag":"%s","opts":{},"blob":"d"}\n' % ident.encode()
        )
        pool.dial_standby(server_connection)
        for each in [
            each for each in pool.superseded if each.can_close()
        ]:  # as the driver does, before the next is up
            each.connection_lost()
            pool.remove(each)
        pool.standby[1].connection_made()
        assert len(pool.superseded) <= 3


@pytest.mark.parametrize(("started", "ends"), [(999.9, False), (1004.0, True)])
def test_a_connection_from_before_its_servers_start_is_aborted(started, ends):
    """A machine that vanished and came back leaves the old connection silent for good."""
    now = [1000.0]
    core, _, _, aborted = connected_server(now)
    now[0] = 1010.0
    core.update_servers([ServerRecord("s", ("127.0.0.1", 9), 0, Availability.READY, started)], False)
    assert bool(aborted) is ends


def test_a_connection_to_a_server_that_is_gone_is_not_kept_for_what_it_cannot_write():
    """No connection and its releases are kept for good for a machine that is gone."""
    now = [1000.0]
    core, pool, server_connection, aborted = connected_server(now)
    pool.send_release(server_connection.server, "00000000005e0001", 16)
    core.update_servers([ServerRecord("s", ("127.0.0.1", 9), 0, Availability.GONE)], False)
    assert not server_connection.can_close()
    now[0] += 11
    core.timers.run_due()
    assert aborted
    assert server_connection.can_close()


def test_a_silent_connection_is_suspected_though_its_setups_are_given_up_early():
    """A silently cut connection is not used on because each set-up on it is given up before it is old enough
    to make it suspect; one was once used for 4.7 s.
    """
    node, server_connections = InProcessNode(), []
    pool = ServerConnectionPool(node.core, server_connections.append)
    node.core.update_servers([ServerRecord("t", ("127.0.0.1", 9), 0, Availability.READY)], True)
    server_connections[0].connection_made()
    connection = PlatformFrontend(node.core).connect()
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


def test_a_second_connection_that_says_nothing_at_all_is_suspected_at_once():
    """Connections that are cut one after the other as they come up are not each used for twice as long as the
    one before.
    """
    node, server_connections = InProcessNode(), []
    pool = ServerConnectionPool(node.core, server_connections.append)
    node.core.update_servers([ServerRecord("t", ("127.0.0.1", 9), 0, Availability.READY)], True)
    connection = PlatformFrontend(node.core).connect()
    began = node.now
    while len(server_connections) < 4:
        server_connections[-1].connection_made()
        while not pool.standby:
            connection.receive_data(platform_invite(ident := next_call_id(), answer_within_ms="9000"))
            node.run(0.1)
            server_connections[-1].data_to_send()
            headers = [("call-id", ident), ("cseq", "1 CANCEL")]
            connection.receive_data(sip.request("CANCEL", "sip:x@net", headers, b""))
            assert node.now < began + 3, "a wait that doubles"


@pytest.mark.parametrize("answers", [True, False], ids=["it came up", "it did not"])
def test_a_connect_that_succeeded_while_the_process_stood_still_has_not_failed(answers):
    """The loop carries out the connect's timeout, due by then, before it looks at the socket: the connect
    counts all the same. One that did not succeed fails.
    """
    full_listener = None if answers else FullListener()
    server = ScriptedServer() if answers else full_listener

    async def scenario():
        node = InProcessNode()
        node.follow_loop(asyncio.get_running_loop())
        network = Network(node.core)
        dial = asyncio.ensure_future(network.connector.connect(("127.0.0.1", server.port), 0.2))
        for _ in range(3):  # the dial begins
            await asyncio.sleep(0)
        time.sleep(0.5)  # noqa: ASYNC251  # the loop stands still beyond the limit
        if answers:
            (await dial).close()
        else:
            with pytest.raises(TimeoutError):
                await dial

    uvloop.run(scenario())
    server.close()
