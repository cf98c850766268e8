"""Dialling: one TCP connection, to a caller as well, and those that are kept up.

Kept up are one connection to each server, and the long poll of service discovery. Both are dialled again
when they break, after a backoff that doubles up to a limit.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket

from stairhatch.node.io.accepted_connection import AcceptedConnection
from stairhatch.node.io.addresses import SocketAddress, address_family
from stairhatch.node.io.connection_runner import ConnectionRunner
from stairhatch.node.io.descriptor_budget import DESCRIPTORS_EXHAUSTED, EVICTION_DELAY_S, CallerAdmission
from stairhatch.node.protocol import ConnectionProtocol
from stairhatch.node.server_connection import ServerConnection
from stairhatch.node.service_discovery import ServiceDiscoveryClient

CONNECT_TIMEOUT_S = 0.5  # to a coordinator or a caller; to a server as the settings say
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_POLL_BACKOFF_S = 0.5  # a change at the coordinator counts as notified 2 s after a break
POLL_TURN_CHECK_S = 1.0  # where another member polls for all: how often it is checked whose turn it is


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

        One that came up while this process was stopped is a connection, though its time is over: the loop
        runs timers that are due before it looks at a socket. Its server would count as unreachable, and so
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


class ServerConnector:
    """Keeps connections to servers up."""

    def __init__(self, runner: ConnectionRunner, connector: Connector, admission: CallerAdmission) -> None:
        """Dial by `connector`, each connection counted in the budget of `admission`."""
        self._runner = runner
        self._connector = connector
        self._admission = admission
        self._open: set[ServerConnection] = set()  # those that hold a descriptor

    async def keep_up(self, connection: ServerConnection) -> None:
        """Dial and run a server connection until it is retired, then have its pool drop it."""
        with self._admission.dialled_connection():
            await self._dial_until_retired(connection)
        connection.pool.remove(connection)

    async def _dial_until_retired(self, connection: ServerConnection) -> None:
        backoff_s = MIN_BACKOFF_S
        while not connection.can_close():
            if connection.draining and not connection.has_queued:
                break
            wanted = asyncio.Event()
            connection.notify_writable = wanted.set
            try:
                sock = await self._connect(connection)
            except (OSError, TimeoutError) as error:
                self._report_failure(connection, error)
                if connection.draining:
                    break
                if not connection.has_queued:
                    wanted.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(wanted.wait(), backoff_s)
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
                continue
            lasted_s = await self._run(connection, sock)
            if lasted_s > MAX_BACKOFF_S:
                backoff_s = MIN_BACKOFF_S
            elif not connection.draining:  # it broke as soon as it had come up
                await asyncio.sleep(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def _connect(self, connection: ServerConnection) -> socket.socket:
        if len(self._open) >= self._admission.budget.available_to_servers():
            raise OSError(errno.EMFILE, "no descriptor is left for a server connection")
        self._open.add(connection)
        within_s = self._runner.core.settings.connect_timeout_s
        return await self._connector.connect(connection.server.record.address, within_s)

    def _report_failure(self, connection: ServerConnection, error: OSError) -> None:
        self._open.discard(connection)
        if error.errno in DESCRIPTORS_EXHAUSTED:
            self._admission.log_exhaustion("descriptors", error)
        connection.connect_failed(refused=isinstance(error, ConnectionRefusedError))

    async def _run(self, connection: ServerConnection, sock: socket.socket) -> float:
        """Run a connection that has come up until it ends; returns how long it was up, in seconds."""
        up_at = self._runner.loop.time()
        connection.connection_made()
        try:
            await self._runner.run(sock, connection)
        finally:
            self._open.discard(connection)
        return self._runner.loop.time() - up_at


class ServiceDiscoveryPoller:
    """Keeps the long poll of service discovery going, wherever the coordinator is by now."""

    def __init__(self, runner: ConnectionRunner, connector: Connector, admission: CallerAdmission) -> None:
        """Dial by `connector`, the connection counted in the budget of `admission`."""
        self._runner = runner
        self._connector = connector
        self._admission = admission

    async def keep_polling(self, client: ServiceDiscoveryClient) -> None:
        """Dial and run the long poll; it has no end of its own."""
        with self._admission.dialled_connection():
            await self._poll(client)

    async def _poll(self, client: ServiceDiscoveryClient) -> None:
        backoff_s = MIN_BACKOFF_S
        hurry = asyncio.Event()
        client.reconnect_now = hurry.set
        while True:
            hurry.clear()
            if client.is_paused():  # another polls for all
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(hurry.wait(), POLL_TURN_CHECK_S)
                continue
            answers = client.answers_received
            address = client.address
            try:
                sock = await self._connector.connect(address)
            except (OSError, TimeoutError) as error:
                client.connect_failed(error)
            else:
                if client.address != address:  # it has moved in the meantime
                    sock.close()
                    continue
                client.connected()
                await self._runner.run(sock, client)
            if hurry.is_set() or client.answers_received > answers:
                backoff_s = MIN_BACKOFF_S
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(hurry.wait(), backoff_s)
            backoff_s = min(MAX_POLL_BACKOFF_S, 2 * backoff_s)
