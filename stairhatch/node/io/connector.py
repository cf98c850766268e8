"""Dialling: one attempt at a TCP connection, and the connections that are opened to callers."""

from __future__ import annotations

import asyncio
import socket

from stairhatch.node.io.accepted_connection import AcceptedConnection
from stairhatch.node.io.addresses import SocketAddress, address_family
from stairhatch.node.io.connection_runner import ConnectionRunner
from stairhatch.node.io.descriptor_budget import DESCRIPTORS_EXHAUSTED, EVICTION_DELAY_S, CallerAdmission
from stairhatch.node.protocol import ConnectionProtocol

CONNECT_TIMEOUT_S = 0.5  # to a coordinator or a caller; to a server as the settings say


def is_connected(sock: socket.socket) -> bool:
    """Whether a connection that was dialled has come up."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


class Connector:
    """Opens connections within the descriptor budget."""

    def __init__(self, runner: ConnectionRunner, admission: CallerAdmission) -> None:
        """Dial by the runner's loop, within the budget of `admission`."""
        self._runner = runner
        self._admission = admission

    async def connect(self, address: SocketAddress, within_s: float = CONNECT_TIMEOUT_S) -> socket.socket:
        """A connection. Raises OSError where it fails and TimeoutError where it takes longer than `within_s`.

        One that came up while this process stood still is a connection, though its time is over: the loop
        runs timers that are due before it looks at a socket. Its server would be held for unreachable, and so
        for one that warms up.
        """
        sock = await self._open_socket(address)
        sock.setblocking(False)
        try:
            await asyncio.wait_for(self._runner.loop.sock_connect(sock, address), within_s)
        except TimeoutError:
            if not is_connected(sock):
                sock.close()
                raise
        except BaseException:
            sock.close()
            raise
        return sock

    async def _open_socket(self, address: SocketAddress) -> socket.socket:
        """A socket to dial with. Raises OSError where none is to be had.

        Where descriptors have run out an idle caller is evicted, if callers hold more than is guaranteed to
        them.
        """
        try:
            return socket.socket(address_family(address[0]), socket.SOCK_STREAM)
        except OSError as error:
            if error.errno not in DESCRIPTORS_EXHAUSTED or not self._admission.evict_above_guarantee():
                raise
        await asyncio.sleep(EVICTION_DELAY_S)
        return socket.socket(address_family(address[0]), socket.SOCK_STREAM)

    async def run_to_caller(self, protocol: ConnectionProtocol, peer: SocketAddress) -> None:
        """Dial a caller and run the connection until it ends."""
        try:
            sock = await self.connect(peer)
        except (OSError, TimeoutError):
            self._runner.core.counters.add("callers_unreached")
            protocol.connection_lost()
            return
        connection = AcceptedConnection(protocol, sock, self._runner.loop.time())
        self._runner.start_reading(connection)
        await self._runner.run(sock, protocol, connection)
