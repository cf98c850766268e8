"""Reading from connections, and the pool of buffers they are read into.

Callers' connections are read by `CallerReader` as soon as the loop or the readiness poller finds bytes, and
the bytes are used in the same step. Connections that this process dialled are read by `PooledReader`, which
awaits the socket and needs a buffer of the pool only while it does.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections import OrderedDict
from functools import partial

from stairhatch.node.io.accepted_connection import AcceptedConnection
from stairhatch.node.io.readiness_poller import FaultHandler, ReadinessPoller
from stairhatch.node.protocol import ConnectionProtocol

BUFFER_BYTES = 16 * 1024  # of each receive buffer
MAX_FREE_BUFFERS = 64
LINGER_S = 0.2  # so long is read on after the last answer, so that the answer arrives
MAX_LINGER_BYTES = 256 * 1024
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # epoll's have the same values

IdleOrder = OrderedDict[AcceptedConnection, None]  # the longest idle comes first


class BufferPool:
    """Buffers of `BUFFER_BYTES`. Any number may be in use; at most `max_free` are kept unused."""

    def __init__(self, max_free: int = MAX_FREE_BUFFERS) -> None:
        """Start without buffers: each is made when it is first needed."""
        self.free: list[bytearray] = []
        self.max_free = max_free

    def acquire(self) -> bytearray:
        """A buffer of undefined content; the caller gives it back by `release`."""
        return self.free.pop() if self.free else bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        """Take back a buffer that nobody reads any more."""
        if len(self.free) < self.max_free:
            self.free.append(buffer)


class CallerReader:
    """Reads callers' connections in the loop's turns, and when the readiness poller is asked to."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, poller: ReadinessPoller, on_fault: FaultHandler
    ) -> None:
        """Report the faults of protocols to `on_fault`."""
        self._loop = loop
        self._poller = poller
        self._on_fault = on_fault
        self._buffer = memoryview(bytearray(BUFFER_BYTES))  # one for all: what is read is used at once

    def start(self, connection: AcceptedConnection, idle_order: IdleOrder | None = None) -> None:
        """Read a connection from now on. It moves to the end of `idle_order` whenever bytes come."""
        connection.sock.setblocking(False)
        connection.reading_ended = self._loop.create_future()
        self._loop.add_reader(connection.sock, self._read, connection, idle_order)
        self._poller.register(connection.sock, partial(self._read, connection, idle_order))

    def stop(self, connection: AcceptedConnection, peer_may_send: bool) -> None:
        """Read no more from a connection, at least not for its protocol."""
        if connection.reading_ended is not None and not connection.reading_ended.done():
            connection.reading_ended.set_result(peer_may_send)
            self._loop.remove_reader(connection.sock)
            self._poller.unregister(connection.sock)

    def _read(self, connection: AcceptedConnection, idle_order: IdleOrder | None, events: int = 0) -> int:
        """Give a protocol what has come from its caller, once; returns how many bytes that were.

        `events` show the end of a stream also where it lies behind more bytes than are read now. What is read
        is used in the same step: a turn later it would come behind a timer, a set-up written or an eviction.
        """
        protocol = connection.protocol
        try:
            if events & PEER_CLOSED_EVENTS and not connection.peer_closed:
                connection.peer_closed = True
                protocol.peer_closing()
            size = connection.sock.recv_into(self._buffer)
            if size:
                protocol.receive_data(self._buffer[:size])
                connection.received_at = now = self._loop.time()
                is_partial = protocol.has_partial_message()
                connection.partial_since = (connection.partial_since or now) if is_partial else 0.0
                if idle_order is not None and connection in idle_order:
                    idle_order.move_to_end(connection)
                if protocol.can_close():
                    self.stop(connection, True)
            else:
                protocol.eof_received()
                self.stop(connection, False)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            pass
        except Exception as error:  # noqa: BLE001 - bytes that upset a protocol end its connection only
            self._on_fault(error, protocol)
        else:
            return size
        protocol.closing = True
        self.stop(connection, False)
        connection.report_loss()
        return 0


class PooledReader:
    """Awaits what comes on one connection, into a buffer of the pool."""

    def __init__(self, loop: asyncio.AbstractEventLoop, pool: BufferPool) -> None:
        """Read by the loop into buffers of the pool."""
        self._loop = loop
        self._pool = pool

    async def read(self, sock: socket.socket, protocol: ConnectionProtocol) -> bool:
        """Give a protocol what comes until its peer ends (False) or it has had its last word (True).

        Raises OSError where the connection breaks.
        """
        buffer = self._pool.acquire()
        try:
            while size := await self._loop.sock_recv_into(sock, buffer):
                protocol.receive_data(memoryview(buffer)[:size])
                if protocol.can_close():
                    return True
        finally:
            self._pool.release(buffer)
        protocol.eof_received()
        return False

    async def linger(self, sock: socket.socket, protocol: ConnectionProtocol) -> None:
        """Read on for a moment: closed with bytes unread, the connection would be reset under our answer.

        Only a protocol that wants its peer's last words is given them.
        """

        async def discard() -> None:
            left = MAX_LINGER_BYTES
            while left > 0 and (size := await self._loop.sock_recv_into(sock, buffer)):
                left -= size
                if protocol.reads_until_eof:
                    protocol.receive_data(memoryview(buffer)[:size])

        buffer = self._pool.acquire()
        try:
            await asyncio.wait_for(discard(), LINGER_S)
        except TimeoutError:
            pass
        finally:
            self._pool.release(buffer)
