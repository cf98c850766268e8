"""Tests of the last check of callers before a set-up is written to its server's connection."""

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


class NodeInLoop:
    """A node in the running event loop, with callers' connections and one listed server."""

    def __init__(self, server_address):
        self.node = InProcessNode()
        self.node.follow_loop(asyncio.get_running_loop())
        self.call_manager = self.node.call_manager
        self.network = Network(self.call_manager)
        connections = []
        self.pool = ServerConnectionPool(self.call_manager, connections.append)
        self.call_manager.update_servers([ServerRecord("r", server_address, 0, Availability.READY)], True)
        (self.server_connection,) = connections
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.network.listen(self.listener, PlatformFrontend(self.call_manager).connect, ListenerLimits(100))
        self.idents = []
        self.callers = []

    async def place_calls(self, count, body=b"d"):
        """Let `count` callers place one call each; return once the node has read all calls."""
        self.idents = [next_call_id() for _ in range(count)]
        self.callers = [socket.create_connection(self.listener.getsockname()) for _ in self.idents]
        for ident, caller in zip(self.idents, self.callers, strict=True):
            caller.sendall(platform_invite(ident, answer_within_ms="4000", body=body))
        await wait_in_loop(lambda: self.call_manager.calls.unanswered == count)

    def disconnect_callers(self, ways):
        """Disconnect the first callers, each in the given way."""
        for ident, caller, way in zip(self.idents, self.callers, ways, strict=False):
            disconnect_at_once(caller, ident, way)

    def disconnect_when_connected(self, ways):
        """Disconnect the first callers when the server connection has come up."""
        connection_made = self.server_connection.connection_made

        def connected():
            connection_made()
            self.disconnect_callers(ways)

        self.server_connection.connection_made = connected

    def disconnect_when_queued(self, ways):
        """Disconnect the first callers when the first set-up has been queued for its connection."""
        send_setup, disconnected = self.pool.send_setup, []

        def queued(attempt):
            send_setup(attempt)
            if not disconnected:
                disconnected.append(True)
                self.disconnect_callers(ways)

        self.pool.send_setup = queued

    async def close(self, *sockets):
        """Close the callers' and the given sockets and end the network's tasks."""
        for each in (*self.callers, *sockets):
            each.close()
        for task in list(self.network.tasks.running):
            task.cancel()
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("when", ["the connection comes up", "the pause is over"])
def test_callers_that_leave_in_the_loop_iteration_of_the_write_get_no_attempt(when):
    """Callers are read between the loop's poll of its sockets and the write. They leave after the server
    connection has come up, or after the timer has queued their set-ups, and before the queue is written.
    """
    ways = [*["close"] * 3, *["reset"] * 3, *["cancel"] * 2, "another's cancel"]

    async def scenario():
        server = ScriptedServer(ScriptedServer.never_answers)
        node = NodeInLoop(("127.0.0.1", server.port))

        def sent(idents):
            return [m["tag"] for m in server.messages("START") if m["tag"] in idents]

        await node.place_calls(len(ways) + 1)  # the maximum of set-ups open at the server
        leaving, staying = set(node.idents[:-1]), node.idents[-1]
        if when == "the connection comes up":
            node.disconnect_when_connected(ways)
            server.script = ScriptedServer.establishes
            node.network.dial(node.server_connection)
            sent_before = 0
        else:
            node.network.dial(node.server_connection)
            await wait_in_loop(lambda: len(sent(node.idents)) == len(node.idents))
            node.disconnect_when_queued(ways)
            server.script = ScriptedServer.establishes
            for ident in node.idents:
                server.send("FINISH", ident, rc=41)
            sent_before = len(leaving)
        await wait_in_loop(lambda: node.call_manager.calls.is_established(staying))
        late = next_call_id()
        node.callers[-1].sendall(platform_invite(late, answer_within_ms="4000"))
        await wait_in_loop(lambda: late in sent({late}))
        assert len(sent(leaving)) == sent_before, f"{len(sent(leaving))} of {len(leaving)} were sent"
        server.close()
        await node.close()

    uvloop.run(scenario())


def disconnect_at_once(caller, ident, way):
    """Disconnect or cancel without waiting, since this runs in the thread of the event loop."""
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


def listen_slowly():
    """Return a server's listener whose connections have small receive buffers."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener


def connect_with_small_buffers(network):
    """Give the network's connections to servers small send buffers."""
    connect = network.connector.connect

    async def connect_with_small_buffer(address, timeout_s):
        sock = await connect(address, timeout_s)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    network.connector.connect = connect_with_small_buffer


async def read_messages(loop, server, is_complete):
    """Read messages from a server's connection until they are complete, and return them."""
    messages, data = [], b""
    while not is_complete(messages):
        data += await loop.sock_recv(server, 65536)
        *lines, data = data.split(b"\n")
        messages += map(json.loads, lines)
    return messages


def test_callers_that_leave_while_their_setups_wait_at_a_slow_connection_get_no_attempt():
    """Set-ups that have left the queue and wait for the socket return to the queue. The server reads nothing
    until their callers have left; set-ups that are partly written by then are completed and released.
    """

    async def scenario():
        listener = listen_slowly()
        node = NodeInLoop(listener.getsockname())
        connect_with_small_buffers(node.network)
        await node.place_calls(10, b"d" * 12_000)
        staying, counts = node.idents[-1], node.call_manager.counters.counts
        node.network.dial(node.server_connection)
        await wait_in_loop(lambda: node.server_connection.writing)
        await wait_in_loop(lambda: counts["attempts_retracted"] >= 5, "five set-ups that have left the queue")
        for _ in range(20):  # until the kernel's buffers are full
            await asyncio.sleep(0.001)
        partly_written = set(node.server_connection.pending_setups)
        assert len(partly_written) <= 3, "the connection is slow"
        assert counts["attempts_retracted"] >= 5, "the set-ups had left the queue"
        node.disconnect_callers([*["close"] * 3, *["reset"] * 3, *["cancel"] * 3])
        await wait_in_loop(lambda: node.call_manager.calls.unanswered == 1)
        server, _ = listener.accept()
        server.setblocking(False)

        def is_complete(messages):
            return len(released_ids(messages)) >= len(partly_written) and staying in setup_ids(messages)

        messages = await read_messages(node.network.loop, server, is_complete)
        assert setup_ids(messages) - {staying} == partly_written
        assert set(released_ids(messages)) == partly_written
        await node.close(listener, server)

    uvloop.run(scenario())


def released_ids(messages):
    """Return the call ids of the releases among messages, with duplicates."""
    return [each["tag"] for each in messages if each["verb"] == "FINISH"]


def setup_ids(messages):
    """Return the call ids of the set-ups among messages."""
    return {each["tag"] for each in messages if each["verb"] == "START"}


def test_callers_are_read_again_before_a_write_that_was_delayed():
    """If the process stalls between reading the callers and writing the set-ups, it notices by the clock and
    reads the callers again.
    """
    node, server_connections = InProcessNode(), []
    pool, frontend = (
        ServerConnectionPool(node.call_manager, server_connections.append),
        PlatformFrontend(node.call_manager),
    )
    pool.record_changed(node.call_manager.servers.by_id[1])
    (server_connection,) = server_connections
    server_connection.connection_made()
    callers, reads = [frontend.connect() for _ in range(3)], []

    def read_callers():
        """Record a read; the first caller leaves unnoticed after the first one."""
        if reads:
            callers[0].eof_received()
        reads.append(node.now)

    node.call_manager.read_callers = read_callers
    idents = [next_call_id() for _ in callers]
    for ident, caller in zip(idents, callers, strict=True):
        caller.receive_data(platform_invite(ident, answer_within_ms="4000"))
    claim_transmission, stalls_s = node.call_manager.attempts.claim_transmission, [0.3]

    def claim_after_stall(attempt):
        node.now += stalls_s.pop() if stalls_s else 0.0
        return claim_transmission(attempt)

    node.call_manager.attempts.claim_transmission = claim_after_stall
    started = [json.loads(line)["tag"] for line in server_connection.data_to_send().splitlines()]
    assert len(reads) == 2
    assert started == idents[1:]
    assert set(server_connection.pending_setups) == set(idents[1:])
    assert node.call_manager.counters.counts["attempts_sent"] == 2
