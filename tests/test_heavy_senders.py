"""Tests that callers who keep the process busy do not delay the others."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import uvloop

from stairhatch.node.io import reader
from stairhatch.node.io.accepted_connection import AcceptedConnection
from stairhatch.node.io.heavy_senders import HEAVY_READ_BYTES, HeavySenders
from stairhatch.node.io.reader import CallerReader
from stairhatch.node.io.readiness_poller import ReadinessPoller
from stairhatch.node.protocol import ConnectionProtocol

READ_S = 0.02  # processing time of each read, on the clock of the test
HEAVY_SENDERS = 20
MAX_TURNS = 1_000_000
FLOOD = b"x" * 60_000


class RecordingProtocol(ConnectionProtocol):
    """A protocol that records the sizes of what it receives, and a close by the peer."""

    def __init__(self, received: list[tuple[RecordingProtocol, int]]) -> None:
        super().__init__()
        self.received = received
        self.has_peer_closed = False

    def receive_data(self, data: bytes | memoryview) -> None:
        self.received.append((self, len(data)))

    def data_to_send(self) -> bytes:
        return b""

    def peer_closing(self) -> None:
        self.has_peer_closed = True

    def connection_lost(self) -> None:
        pass


class Senders:
    """Connections that a `CallerReader` reads on the running loop."""

    def __init__(self) -> None:
        self.received: list[tuple[RecordingProtocol, int]] = []
        self.poller = ReadinessPoller(self._fail)
        self.reader = CallerReader(asyncio.get_running_loop(), self.poller, self._fail)

    @staticmethod
    def _fail(error: Exception, _owner: object) -> None:
        raise error

    def connect(self) -> tuple[socket.socket, RecordingProtocol]:
        """Return the peer's end of a new connection, and the protocol at this end."""
        peer, sock = socket.socketpair()
        protocol = RecordingProtocol(self.received)
        self.reader.start(AcceptedConnection(protocol, sock, asyncio.get_running_loop().time()))
        return peer, protocol


async def turns_until(condition: Callable[[], bool]) -> None:
    """Run turns of the event loop until a condition holds."""
    for _ in range(MAX_TURNS):
        if condition():
            return
        await asyncio.sleep(0)
    raise AssertionError("the condition does not hold")


async def run_heavy_senders(
    monkeypatch: Any,
) -> tuple[Senders, list[tuple[socket.socket, RecordingProtocol]]]:
    """Return connections that have used up their processing time and have more to be read."""
    clock = itertools.count(step=READ_S)
    monkeypatch.setattr(reader, "processor_clock", lambda: lambda: next(clock))
    senders = Senders()
    heavy = [senders.connect() for _ in range(HEAVY_SENDERS)]
    for peer, _ in heavy:
        peer.sendall(FLOOD)
    await turns_until(lambda: len({id(protocol) for protocol, _ in senders.received}) == HEAVY_SENDERS)
    return senders, heavy


def test_a_caller_is_read_before_the_backlog_of_those_who_keep_the_process_busy(monkeypatch: Any) -> None:
    """Guards against answers that are late while other connections send as fast as they can."""

    async def play() -> None:
        senders, _ = await run_heavy_senders(monkeypatch)
        peer, ordinary = senders.connect()
        senders.received.clear()
        peer.sendall(b"request")
        await turns_until(lambda: (ordinary, 7) in senders.received)
        before = senders.received[: senders.received.index((ordinary, 7))]
        assert len(before) <= 3, f"{len(before)} reads of others in the turns until then"
        assert all(size <= HEAVY_READ_BYTES for _, size in before)

    uvloop.run(play())


def test_those_who_keep_the_process_busy_are_read_in_turn_to_the_end(monkeypatch: Any) -> None:
    """Guards against a connection that is never read again, or that is read at the expense of its likes."""

    async def play() -> None:
        senders, heavy = await run_heavy_senders(monkeypatch)
        unread = HEAVY_SENDERS * len(FLOOD) - sum(size for _, size in senders.received)
        senders.received.clear()
        await turns_until(lambda: len(senders.received) >= HEAVY_SENDERS)
        in_turn = [protocol for protocol, _ in senders.received[:HEAVY_SENDERS]]
        assert len(set(map(id, in_turn))) == HEAVY_SENDERS
        for peer, _ in heavy:
            peer.shutdown(socket.SHUT_WR)
        await turns_until(lambda: sum(size for _, size in senders.received) == unread)

    uvloop.run(play())


def test_the_close_of_a_busy_connection_is_noted_before_the_rest_of_it_is_read(monkeypatch: Any) -> None:
    """Guards against set-ups that are forwarded although their caller has closed its connection."""

    async def play() -> None:
        senders, heavy = await run_heavy_senders(monkeypatch)
        peer, protocol = heavy[0]
        peer.close()
        senders.poller.read_ready()
        assert protocol.has_peer_closed

    uvloop.run(play())


class CountingProtocol(RecordingProtocol):
    """A protocol whose every read completes a request and leaves the beginning of another."""

    counts_requests = True

    def receive_data(self, data: bytes | memoryview) -> None:
        super().receive_data(data)
        self.requests += 1

    def has_partial_message(self) -> bool:
        return True


def test_an_incomplete_message_counts_as_new_after_each_request() -> None:
    """Guards against a busy connection that is timed out because its reads always end within a message."""

    async def play() -> None:
        senders = Senders()
        peer, sock = socket.socketpair()
        loop = asyncio.get_running_loop()
        connection = AcceptedConnection(CountingProtocol(senders.received), sock, loop.time())
        senders.reader.start(connection)
        peer.sendall(b"request and")
        await turns_until(lambda: len(senders.received) == 1)
        connection.partial_since = long_ago = 1.0
        peer.sendall(b"the rest of it, and")
        await turns_until(lambda: len(senders.received) == 2)
        assert connection.partial_since > long_ago

    uvloop.run(play())


def test_idle_connections_leave_their_credit_to_those_in_use() -> None:
    """Guards against a caller that counts as heavy beside many idle connections: its CANCEL is seen later."""
    now = 1000.0
    senders = HeavySenders(SimpleNamespace(time=lambda: now, call_soon=None), lambda _connection: 0)
    connections = [AcceptedConnection(ConnectionProtocol(), None, now) for _ in range(100)]
    for connection in connections:
        senders.connection_added(connection)
        senders.charge(connection)
    for _ in range(50):
        now += 0.1
        senders.charge(connections[0], 0.008)  # 8 in 100 of the processor
    assert not senders.is_heavy(connections[0])


def test_active_connections_share_the_credit() -> None:
    """Guards against many connections that are all read at once since none is heavy by itself."""
    now = 1000.0
    senders = HeavySenders(SimpleNamespace(time=lambda: now, call_soon=None), lambda _connection: 0)
    connections = [AcceptedConnection(ConnectionProtocol(), None, now) for _ in range(100)]
    for connection in connections:
        senders.connection_added(connection)
    for _ in range(20):
        now += 0.5
        for connection in connections:
            senders.charge(connection, 0.005)  # 100 in 100 of the processor together
    assert all(map(senders.is_heavy, connections))
