"""Writes the output of protocols to their connections, at the pace at which the peers read."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from stairhatch.node.io.reader import LINGER_S
from stairhatch.node.io.readiness_poller import FaultHandler
from stairhatch.node.protocol import ConnectionProtocol


class Writer:
    """Writes any number of connections; each runs `run` in a task of its own."""

    def __init__(self, loop: asyncio.AbstractEventLoop, on_fault: FaultHandler) -> None:
        """Write on `loop`; exceptions of protocols go to `on_fault`."""
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

        When the protocol can close, the sending side of the socket is shut down, and the connection is
        aborted 0.2 s later. A connection that breaks, or whose protocol raises an exception, is aborted
        immediately. The abort ends its reader.
        """
        # A server connection keeps its protocol when its previous socket breaks during a write.
        protocol.writing = False
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
        except Exception as error:  # noqa: BLE001 - a fault of a protocol ends only its own connection
            self._on_fault(error, protocol)
        abort()

    async def _send(self, sock: socket.socket, protocol: ConnectionProtocol, data: bytes) -> None:
        """Send the bytes that the protocol has just returned, and wait until the socket is writable again.

        Bytes that the socket does not accept are offered back to the protocol (`reclaim_unsent`); only the
        part that the protocol cannot reclaim, such as the rest of a message, is sent afterwards. Raises
        OSError if the connection breaks.
        """
        try:
            size = sock.send(data)
        except (BlockingIOError, InterruptedError):
            size = 0
        if size == len(data):
            return
        if rest := protocol.reclaim_unsent(data[size:]):
            await self._loop.sock_sendall(sock, rest)
            return
        write_room = self._loop.create_future()
        self._loop.add_writer(sock, lambda: None if write_room.done() else write_room.set_result(None))
        try:
            await write_room
        finally:
            self._loop.remove_writer(sock)
