"""Writing to connections: what a protocol has to send, as fast as its peer takes it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from stairhatch.node.io.reader import LINGER_S
from stairhatch.node.io.readiness_poller import FaultHandler
from stairhatch.node.protocol import ConnectionProtocol


class Writer:
    """Writes for any number of connections; `run` is one connection's task."""

    def __init__(self, loop: asyncio.AbstractEventLoop, on_fault: FaultHandler) -> None:
        """Report the faults of protocols to `on_fault`."""
        self._loop = loop
        self._on_fault = on_fault

    async def run(
        self,
        sock: socket.socket,
        protocol: ConnectionProtocol,
        writable: asyncio.Event,
        abort: Callable[[], None],
    ) -> None:
        """Write whenever `writable` is set, until the protocol can close or the connection breaks.

        A connection that breaks, or whose protocol fails, is aborted here; its reader then ends it.
        """
        protocol.writing = False  # a server connection's last socket may have broken in the middle
        try:
            while True:
                await writable.wait()
                writable.clear()
                while data := protocol.data_to_send():
                    protocol.writing = True
                    await self._send(sock, protocol, data)
                    protocol.writing = False
                if protocol.can_close():
                    sock.shutdown(socket.SHUT_WR)
                    self._loop.call_later(LINGER_S, abort)
                    return
        except OSError:
            pass
        except Exception as error:  # noqa: BLE001 - a protocol's fault ends its connection only
            self._on_fault(error, protocol)
        abort()

    async def _send(self, sock: socket.socket, protocol: ConnectionProtocol, data: bytes) -> None:
        """Send what was just handed out; of what the peer does not take only what has to follow."""
        try:
            size = sock.send(data)
        except (BlockingIOError, InterruptedError):
            size = 0
        if size == len(data):
            return
        if rest := protocol.reclaim_unsent(data[size:]):
            await self._loop.sock_sendall(sock, rest)
            return
        room = self._loop.create_future()
        self._loop.add_writer(sock, lambda: None if room.done() else room.set_result(None))
        try:
            await room
        finally:
            self._loop.remove_writer(sock)
