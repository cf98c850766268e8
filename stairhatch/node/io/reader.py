"""Reads connections, and manages the pool of receive buffers.

`CallerReader` reads the connections of callers as soon as the loop or the readiness poller reports bytes, and
passes the bytes to the protocol in the same step. `PooledReader` reads the connections to servers and to the
coordinator: it awaits the socket and holds a buffer of the pool meanwhile.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from functools import partial

from stairhatch.node.io.accepted_connection import AcceptedConnection, IdleOrder
from stairhatch.node.io.heavy_senders import LIGHT_READ_BYTES, HeavySenders, processor_clock
from stairhatch.node.io.readiness_poller import FaultHandler, ReadinessPoller
from stairhatch.node.protocol import ConnectionProtocol, do_nothing

BUFFER_BYTES = 16 * 1024  # size of each receive buffer
MAX_FREE_BUFFERS = 64
LINGER_S = 0.2  # reading continues for this time after the last answer, so that the answer arrives
MAX_LINGER_BYTES = 256 * 1024
PEER_CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # select.EPOLL* have the same values


class BufferPool:
    """Pool of receive buffers of `BUFFER_BYTES` each.

    Any number of buffers may be in use; at most `max_free` unused ones are kept.
    """

    def __init__(self, max_free: int = MAX_FREE_BUFFERS) -> None:
        """Create an empty pool; buffers are allocated on demand."""
        self.free: list[bytearray] = []
        self.max_free = max_free

    def acquire(self) -> bytearray:
        """Return a buffer with undefined content, to be returned to the pool with `release`."""
        return self.free.pop() if self.free else bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        """Return to the pool a buffer that is no longer in use."""
        if len(self.free) < self.max_free:
            self.free.append(buffer)


class CallerReader:
    """Reads the connections of callers when the event loop or the readiness poller reports them readable.

    Heavy senders are read in turn instead (`HeavySenders`); the poller then reports only their close.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        poller: ReadinessPoller,
        on_fault: FaultHandler,
        on_heavy: Callable[[], None] = do_nothing,
    ) -> None:
        """Register connections with `loop` and `poller`; exceptions of protocols go to `on_fault`.

        `on_heavy` is called when a connection becomes a heavy sender.
        """
        self._loop = loop
        self._poller = poller
        self._on_fault = on_fault
        self._on_heavy = on_heavy
        self._processor_time = processor_clock()
        self._heavy_senders = HeavySenders(loop, self._read_in_time)
        # All connections share this buffer: its content is processed before the next read.
        self._buffer = memoryview(bytearray(LIGHT_READ_BYTES))

    def start(self, connection: AcceptedConnection, idle_order: IdleOrder | None = None) -> None:
        """Start reading a connection, and move it to the end of `idle_order` whenever bytes are received."""
        connection.sock.setblocking(False)
        connection.reading_ended = self._loop.create_future()
        connection.idle_order = idle_order
        self._heavy_senders.connection_added(connection)
        self._watch(connection)

    def _watch(self, connection: AcceptedConnection) -> None:
        """Read a connection whenever it is readable."""
        self._poller.unregister(connection.sock)
        self._loop.add_reader(connection.sock, self._read_ready, connection)
        self._poller.register(connection.sock, partial(self._read_ready, connection))

    def _defer(self, connection: AcceptedConnection) -> None:
        """Read a heavy sender in turn, and let the poller report only its close."""
        self._on_heavy()
        self._loop.remove_reader(connection.sock)
        self._poller.unregister(connection.sock)
        self._poller.register(connection.sock, partial(self._note_close, connection), select.POLLRDHUP)
        self._heavy_senders.add(connection, partial(self._drained, connection))

    def _drained(self, connection: AcceptedConnection) -> None:
        """Wait until a heavy sender is readable again."""
        self._loop.add_reader(connection.sock, self._heavy_sender_ready, connection)

    def _heavy_sender_ready(self, connection: AcceptedConnection) -> None:
        """Read a heavy sender in turn again, unless it has earned credit meanwhile."""
        self._heavy_senders.charge(connection)
        if self._heavy_senders.is_heavy(connection):
            self._loop.remove_reader(connection.sock)
            self._heavy_senders.add(connection, partial(self._drained, connection))
        else:
            self._watch(connection)
            self._read_ready(connection)

    def stop(self, connection: AcceptedConnection, peer_may_send: bool) -> None:
        """Stop reading a connection for its protocol and set the result of `reading_ended`.

        Does nothing if reading never started or has already stopped.
        """
        if connection.reading_ended is not None and not connection.reading_ended.done():
            connection.reading_ended.set_result(peer_may_send)
            self._loop.remove_reader(connection.sock)
            self._poller.unregister(connection.sock)

    def _note_close(self, connection: AcceptedConnection, events: int) -> int:
        """Notify the protocol of a close by the peer; return 0, as no bytes are read.

        The poller reports the close even if more bytes precede it than one read returns.
        """
        if events & PEER_CLOSED_EVENTS and not connection.peer_closed:
            connection.peer_closed = True
            connection.protocol.peer_closing()
        return 0

    def _read_ready(self, connection: AcceptedConnection, events: int = 0) -> int:
        """Read a readable connection once; defer it if it has used up its processing time."""
        if connection.has_stopped_reading():
            return 0
        size = self._read_in_time(connection, events)
        if self._heavy_senders.is_heavy(connection) and not connection.has_stopped_reading():
            self._defer(connection)
        return size

    def _read_in_time(self, connection: AcceptedConnection, events: int = 0) -> int:
        """Read a connection once, and charge it the processor time of this thread."""
        started_at = self._processor_time()
        buffer = self._buffer[: self._heavy_senders.read_bytes(connection)]
        size = self._read(connection, buffer, events)
        self._heavy_senders.charge(connection, self._processor_time() - started_at)
        return size

    def _read(self, connection: AcceptedConnection, buffer: memoryview, events: int = 0) -> int:
        """Read once from a caller and pass the bytes to the protocol; return the number of bytes read.

        Returns 0 if there was nothing to read or the connection has ended. `events` is the event mask of the
        poller. The bytes are processed in the same step, because in the next turn of the loop a timer, the
        write of a set-up or an eviction could run before them.
        """
        protocol = connection.protocol
        try:
            self._note_close(connection, events)
            size = connection.sock.recv_into(buffer)
            if size:
                self._process(connection, buffer[:size])
            else:
                protocol.eof_received()
                self.stop(connection, False)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            pass
        except Exception as error:  # noqa: BLE001 - a fault of a protocol ends only its own connection
            self._on_fault(error, protocol)
        else:
            return size
        protocol.closing = True
        self.stop(connection, False)
        connection.report_loss()
        return 0

    def _process(self, connection: AcceptedConnection, data: memoryview) -> None:
        """Pass received bytes to the protocol and note the state of the connection after it."""
        protocol = connection.protocol
        requests_before = protocol.requests
        protocol.receive_data(data)
        connection.received_at = now = self._loop.time()
        if not protocol.has_partial_message():
            connection.partial_since = 0.0
        elif not connection.partial_since or protocol.requests > requests_before:
            connection.partial_since = now
        if connection.idle_order is not None and connection in connection.idle_order:
            connection.idle_order.move_to_end(connection)
        if protocol.can_close():
            self.stop(connection, True)


class PooledReader:
    """Reads dialled connections, each into a buffer of the pool that is held only while reading."""

    def __init__(self, loop: asyncio.AbstractEventLoop, pool: BufferPool) -> None:
        """Read on `loop` into buffers of `pool`."""
        self._loop = loop
        self._pool = pool
        self._discarded = bytearray(BUFFER_BYTES)  # for bytes that no protocol gets; shared by connections

    async def read(self, sock: socket.socket, protocol: ConnectionProtocol) -> bool:
        """Pass received bytes to the protocol until either side ends.

        Returns False if the peer has closed its side, and True if the protocol can close while the peer may
        still send. Raises OSError if the connection breaks.
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
        """Read for up to 0.2 s and 256 KiB more before the close.

        A close with unread bytes would reset the connection and could destroy an answer that the peer has not
        read yet. The bytes are discarded, unless the protocol reads until the end of the stream. Raises
        OSError if the connection breaks.
        """

        async def discard() -> None:
            remaining_bytes = MAX_LINGER_BYTES
            while remaining_bytes > 0 and (size := await self._loop.sock_recv_into(sock, buffer)):
                remaining_bytes -= size
                if protocol.reads_until_eof:
                    protocol.receive_data(memoryview(buffer)[:size])

        buffer = self._pool.acquire() if protocol.reads_until_eof else self._discarded
        try:
            await asyncio.wait_for(discard(), LINGER_S)
        except TimeoutError:
            pass
        finally:
            if buffer is not self._discarded:
                self._pool.release(buffer)
