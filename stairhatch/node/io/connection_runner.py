"""Runs the reader and the writer of a connection until either side ends, then closes the connection.

An exception raised by a protocol ends only the connection of that protocol. It is counted
(`connection_faults`) and logged (event `fault`).
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

from stairhatch.node.call_manager import CallManager
from stairhatch.node.io.accepted_connection import AcceptedConnection, IdleOrder
from stairhatch.node.io.background import BackgroundTasks
from stairhatch.node.io.reader import BufferPool, CallerReader, PooledReader
from stairhatch.node.io.readiness_poller import ReadinessPoller
from stairhatch.node.io.writer import Writer
from stairhatch.node.protocol import ConnectionProtocol, do_nothing

FLUSH_TIMEOUT_S = 1.0  # limit for writing the last bytes of a protocol that closes


class ConnectionRunner:
    """Runs connections with the loop, tasks, buffers, readers and writer that all of them share."""

    def __init__(
        self, call_manager: CallManager, loop: asyncio.AbstractEventLoop, tasks: BackgroundTasks
    ) -> None:
        """Create the readers, the writer, the poller and the buffer pool that the connections share."""
        self.call_manager = call_manager
        self.loop = loop
        self.tasks = tasks
        self.buffer_pool = BufferPool()
        self.poller = ReadinessPoller(self._log_fault)
        self._caller_reader = CallerReader(loop, self.poller, self._log_fault, self._count_heavy_sender)
        self._pooled_reader = PooledReader(loop, self.buffer_pool)
        self._writer = Writer(loop, self._log_fault)

    def _count_heavy_sender(self) -> None:
        self.call_manager.counters.add("connections_heavy")

    def start_reading(self, connection: AcceptedConnection, idle_order: IdleOrder | None = None) -> None:
        """Start reading a caller's connection at once instead of when its task first runs.

        `idle_order`, if given, is kept in the order of the last bytes received.
        """
        self._caller_reader.start(connection, idle_order)

    async def run(
        self, sock: socket.socket, protocol: ConnectionProtocol, accepted: AcceptedConnection | None = None
    ) -> None:
        """Transfer bytes in both directions until either side ends, then close the socket.

        The protocol is notified of the loss. If `start_reading` already reads the connection (`accepted`),
        only the writing is done here. OSError and faults of the protocol are handled here and never raised.
        """
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        writable = asyncio.Event()

        def abort() -> None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

        protocol.notify_writable = writable.set
        protocol.abort = abort
        writable.set()
        writer = self.loop.create_task(self._writer.run(sock, protocol, writable, abort))
        try:
            if accepted is None or accepted.reading_ended is None:
                peer_may_send = await self._pooled_reader.read(sock, protocol)
            else:
                peer_may_send = await accepted.reading_ended
            lost = accepted is not None and accepted.loss_reported
            if (protocol.closing or protocol.can_close()) and not lost:  # the writer sends the rest
                await asyncio.wait([writer], timeout=FLUSH_TIMEOUT_S)
            if peer_may_send:
                await self._pooled_reader.linger(sock, protocol)
        except OSError:
            pass
        except Exception as error:  # noqa: BLE001 - a fault of a protocol ends only its own connection
            self._log_fault(error, protocol)
        finally:
            await self._close(sock, protocol, accepted, writer)

    async def _close(
        self,
        sock: socket.socket,
        protocol: ConnectionProtocol,
        accepted: AcceptedConnection | None,
        writer: asyncio.Task[None],
    ) -> None:
        protocol.notify_writable = do_nothing
        protocol.abort = do_nothing
        writer.cancel()
        try:
            # Awaiting the writer directly would raise its CancelledError here, which hides a cancellation of
            # this task: a server connection would then be redialled forever and the program never end.
            await asyncio.wait([writer])
        finally:
            if accepted is not None:
                self._caller_reader.stop(accepted, False)
            sock.close()
            if accepted is None:
                protocol.connection_lost()
            else:
                accepted.report_loss()

    def _log_fault(self, error: Exception, owner: object) -> None:
        self.call_manager.counters.add("connection_faults")
        self.call_manager.log("fault", why=f"{type(error).__name__}: {error}", component=type(owner).__name__)
