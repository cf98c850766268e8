"""The last check of callers before a set-up is written to its server's connection."""

from __future__ import annotations

import asyncio
import json
import socket
import struct

import pytest
import uvloop

from stairhatch.node import sip_message as sip
from stairhatch.node.calls import ServerRecord
from stairhatch.node.io.listener import ListenerLimits
from stairhatch.node.io.network import Network
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.overload.events import Availability

from .support.call_ids import next_call_id
from .support.in_process_node import InProcessNode
from .support.scripted_server import ScriptedServer
from .support.sip_messages import platform_invite
from .support.waiting import wait_in_loop


@pytest.mark.parametrize("when", ["the connection comes up", "the pause is over"])
def test_callers_that_leave_in_the_turn_in_which_their_setups_are_written_get_no_attempt(when):
    """Callers are looked at between the loop's look at its sockets and the write: they leave when the server
    connection has come up, or the timer has queued their set-ups, and before the queue is written.
    """

    async def scenario():
        node, server_connections = InProcessNode(), []
        server = ScriptedServer(ScriptedServer.never_answers)
        core = node.core
        node.follow_loop(asyncio.get_running_loop())
        network, pool, frontend = (
            Network(core),
            ServerConnectionPool(core, server_connections.append),
            PlatformFrontend(core),
        )
        core.update_servers([ServerRecord("r", ("127.0.0.1", server.port), 0, Availability.READY)], True)
        (server_connection,) = server_connections
        network.listen(sock := socket.create_server(("127.0.0.1", 0)), frontend.connect, ListenerLimits(100))
        ways = [*["close"] * 3, *["reset"] * 3, *["cancel"] * 2, "another's cancel"]
        idents = [next_call_id() for _ in (*ways, "staying")]  # as many as may be open there at a time
        callers = [socket.create_connection(sock.getsockname()) for _ in idents]

        def all_go():
            for ident, caller, way in zip(idents, callers, ways, strict=False):
                disconnect_at_once(caller, ident, way)

        def asked(which):
            return [m["tag"] for m in server.messages("START") if m["tag"] in which]

        for ident, caller in zip(idents, callers, strict=True):
            caller.sendall(platform_invite(ident, answer_within_ms="4000"))
        await wait_in_loop(lambda: core.calls.unanswered == len(idents))
        leaving, (staying,) = set(idents[:-1]), idents[-1:]
        if when == "the connection comes up":
            connected = server_connection.connection_made
            server_connection.connection_made = lambda: (connected(), all_go())
            server.script = ScriptedServer.establishes
            network.dial(server_connection)
            before = 0
        else:
            network.dial(server_connection)
            await wait_in_loop(lambda: len(asked(set(idents))) == len(idents))
            left, set_up = set(leaving), pool.send_setup

            def queued(attempt):
                set_up(attempt)
                if left:
                    left.clear()
                    all_go()

            pool.send_setup = queued
            server.script = ScriptedServer.establishes
            for ident in idents:
                server.send("FINISH", ident, rc=41)
            before = len(leaving)
        await wait_in_loop(lambda: core.calls.is_established(staying))
        late = next_call_id()
        callers[-1].sendall(platform_invite(late, answer_within_ms="4000"))
        await wait_in_loop(lambda: late in asked({late}))
        assert len(asked(leaving)) == before, f"{len(asked(leaving)) - before} of {len(leaving)} were sent"
        server.close()
        await close_all(network, *callers)

    uvloop.run(scenario())


def disconnect_at_once(caller, ident, way):
    """Leave without waiting for anything: the loop's own thread does it."""
    cancel = sip.request("CANCEL", "sip:x@net", [("call-id", ident), ("cseq", "1 CANCEL")])
    if way == "another's cancel":
        other = socket.create_connection(caller.getpeername())
        other.sendall(cancel)
    elif way == "cancel":
        caller.sendall(cancel)
    elif way == "half-close":
        caller.shutdown(socket.SHUT_WR)
    else:
        if way == "reset":
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        caller.close()


def test_callers_that_leave_while_their_setups_wait_for_a_slow_connection_get_no_attempt():
    """Set-ups that have left the queue and wait for room at the socket are taken back. The server reads
    nothing until their callers have left; what was begun by then is sent to its end and released.
    """

    async def scenario():
        node, server_connections = InProcessNode(), []
        core = node.core
        node.follow_loop(asyncio.get_running_loop())
        network, frontend = Network(core), PlatformFrontend(core)
        ServerConnectionPool(core, server_connections.append)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        core.update_servers([ServerRecord("r", listener.getsockname(), 0, Availability.READY)], True)
        connect = network.connector.connect

        async def narrow(address, within_s):
            sock = await connect(address, within_s)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return sock

        network.connector.connect = narrow
        network.listen(sock := socket.create_server(("127.0.0.1", 0)), frontend.connect, ListenerLimits(100))
        (server_connection,) = server_connections
        idents = [next_call_id() for _ in range(10)]
        ways = [*["close"] * 3, *["reset"] * 3, *["cancel"] * 3]
        callers = [socket.create_connection(sock.getsockname()) for _ in idents]
        for ident, caller in zip(idents, callers, strict=True):
            caller.sendall(platform_invite(ident, answer_within_ms="4000", body=b"d" * 12_000))
        await wait_in_loop(lambda: core.calls.unanswered == len(idents))
        network.dial(server_connection)
        await wait_in_loop(lambda: server_connection.writing)
        retracted = "attempts_retracted"
        await wait_in_loop(lambda: core.counters.counts[retracted] >= 5, "that most have left the queue")
        for _ in range(20):  # the kernel has taken what it can
            await asyncio.sleep(0.001)
        begun = set(server_connection.pending_setups)
        assert len(begun) <= 3, "the connection is slow"
        assert core.counters.counts[retracted] >= 5, "they had left its queue"
        for ident, caller, way in zip(idents, callers, ways, strict=False):
            disconnect_at_once(caller, ident, way)
        await wait_in_loop(lambda: core.calls.unanswered == 1)
        server, _ = listener.accept()
        server.setblocking(False)
        lines, data = [], b""
        while sum(each["verb"] == "FINISH" for each in lines) < len(begun) or idents[-1] not in setup_ids(
            lines
        ):
            data += await network.loop.sock_recv(server, 65536)
            *whole, data = data.split(b"\n")
            lines += map(json.loads, whole)
        assert setup_ids(lines) - {idents[-1]} == begun
        assert {each["tag"] for each in lines if each["verb"] == "FINISH"} == begun
        await close_all(network, listener, server, *callers)

    uvloop.run(scenario())


def setup_ids(lines):
    """The ids of the set-ups among messages."""
    return {each["tag"] for each in lines if each["verb"] == "START"}


async def close_all(network, *socks):
    """Close the sockets and end the network's tasks."""
    for each in socks:
        each.close()
    for task in list(network.tasks.running):
        task.cancel()
    await asyncio.sleep(0.01)


def test_callers_are_read_again_before_a_write_that_was_delayed():
    """A process that stands still between reading its callers and the write reads them again: the clock has
    moved on.
    """
    node, server_connections = InProcessNode(), []
    pool, frontend = ServerConnectionPool(node.core, server_connections.append), PlatformFrontend(node.core)
    pool.record_changed(node.core.servers.by_id[1])
    (server_connection,) = server_connections
    server_connection.connection_made()
    callers, looks = [frontend.connect() for _ in range(3)], []

    def look():
        """The first caller leaves, unseen, after the first look."""
        if looks:
            callers[0].eof_received()
        looks.append(node.now)

    node.core.read_callers = look
    idents = [next_call_id() for _ in callers]
    for ident, caller in zip(idents, callers, strict=True):
        caller.receive_data(platform_invite(ident, answer_within_ms="4000"))
    may_write, stops = node.core.attempts.claim_transmission, [0.3]

    def slow(attempt):
        node.now += stops.pop() if stops else 0.0
        return may_write(attempt)

    node.core.attempts.claim_transmission = slow
    started = [json.loads(line)["tag"] for line in server_connection.data_to_send().splitlines()]
    assert len(looks) == 2
    assert started == idents[1:]
    assert set(server_connection.pending_setups) == set(idents[1:])
    assert node.core.counters.counts["attempts_sent"] == 2
