"""Dials TCP connections to callers, servers and the coordinator.

The connection to each server and the long poll of service discovery are kept open: when one breaks, it is
dialled again after a backoff that doubles up to a limit.
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

CONNECT_TIMEOUT_S = 0.5  # to a coordinator or a caller; the limit for a server is in the settings
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_POLL_BACKOFF_S = 0.5  # a change at the coordinator has to be known 2 s after a break at the latest
POLL_TURN_CHECK_S = 1.0  # check period while another cluster member polls for all


def is_connected(sock: socket.socket) -> bool:
    """Return whether a dialled socket has a peer."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


class Connector:
    """Opens outgoing TCP connections within the descriptor budget."""

    def __init__(self, runner: ConnectionRunner, admission: CallerAdmission) -> None:
        """Dial on the loop of `runner`, within the descriptor budget of `admission`."""
        self._runner = runner
        self._admission = admission

    async def connect(self, address: SocketAddress, within_s: float = CONNECT_TIMEOUT_S) -> socket.socket:
        """Return a non-blocking socket connected to `address`.

        Raises OSError if the connect fails and TimeoutError if it takes longer than `within_s` seconds. A
        connect that succeeded while this process was stopped counts as a success although its time is over:
        the loop runs due timers before it polls sockets. Otherwise the server would count as unreachable, and
        would go through its slow start again once it is reached.
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
        """Return a new TCP socket for the family of `address`. Raises OSError if none can be created.

        If descriptors have run out and callers hold more than their guaranteed number, one idle caller is
        evicted and the creation is repeated once.
        """
        try:
            return socket.socket(address_family(address[0]), socket.SOCK_STREAM)
        except OSError as error:
            if error.errno not in DESCRIPTORS_EXHAUSTED or not self._admission.evict_above_guarantee():
                raise
        await asyncio.sleep(EVICTION_DELAY_S)
        return socket.socket(address_family(address[0]), socket.SOCK_STREAM)

    async def run_to_caller(self, protocol: ConnectionProtocol, peer: SocketAddress) -> None:
        """Dial a caller and run the connection until it ends.

        A failed dial is counted (`callers_unreached`) and reported to the protocol as a loss.
        """
        try:
            sock = await self.connect(peer)
        except (OSError, TimeoutError):
            self._runner.call_manager.counters.add("callers_unreached")
            protocol.connection_lost()
            return
        connection = AcceptedConnection(protocol, sock, self._runner.loop.time())
        self._runner.start_reading(connection)
        await self._runner.run(sock, protocol, connection)


class ServerConnector:
    """Dials the connections to servers and redials them until they are retired."""

    def __init__(self, runner: ConnectionRunner, connector: Connector, admission: CallerAdmission) -> None:
        """Dial with `connector`, and count each connection in the descriptor budget of `admission`."""
        self._runner = runner
        self._connector = connector
        self._admission = admission
        self._open: set[ServerConnection] = set()  # the connections that hold a descriptor

    async def maintain_connection(self, connection: ServerConnection) -> None:
        """Dial and run a server connection until it is retired, then remove it from its pool."""
        with self._admission.dialled_connection():
            await self._dial_until_retired(connection)
        connection.pool.remove(connection)

    async def _dial_until_retired(self, connection: ServerConnection) -> None:
        backoff_s = MIN_BACKOFF_S
        while not connection.can_close():
            if connection.draining and not connection.has_queued:
                break
            send_requested = asyncio.Event()
            connection.notify_writable = send_requested.set
            try:
                sock = await self._connect(connection)
            except (OSError, TimeoutError) as error:
                self._report_failure(connection, error)
                if connection.draining:
                    break
                if not connection.has_queued:
                    send_requested.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(send_requested.wait(), backoff_s)
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
                continue
            uptime_s = await self._run(connection, sock)
            if uptime_s > MAX_BACKOFF_S:
                backoff_s = MIN_BACKOFF_S
            elif not connection.draining:  # the connection broke within MAX_BACKOFF_S of its establishment
                await asyncio.sleep(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def _connect(self, connection: ServerConnection) -> socket.socket:
        if len(self._open) >= self._admission.budget.available_to_servers():
            raise OSError(errno.EMFILE, "no descriptor is left for a server connection")
        self._open.add(connection)
        within_s = self._runner.call_manager.settings.connect_timeout_s
        return await self._connector.connect(connection.server.record.address, within_s)

    def _report_failure(self, connection: ServerConnection, error: OSError) -> None:
        self._open.discard(connection)
        if error.errno in DESCRIPTORS_EXHAUSTED:
            self._admission.log_exhaustion("descriptors", error)
        connection.connect_failed(refused=isinstance(error, ConnectionRefusedError))

    async def _run(self, connection: ServerConnection, sock: socket.socket) -> float:
        """Run an established connection until it ends; return its duration in seconds."""
        connected_at = self._runner.loop.time()
        connection.connection_made()
        try:
            await self._runner.run(sock, connection)
        finally:
            self._open.discard(connection)
        return self._runner.loop.time() - connected_at


class ServiceDiscoveryPoller:
    """Maintains the long poll of service discovery, also when the address of the coordinator changes."""

    def __init__(self, runner: ConnectionRunner, connector: Connector, admission: CallerAdmission) -> None:
        """Dial with `connector`, and count the connection in the descriptor budget of `admission`."""
        self._runner = runner
        self._connector = connector
        self._admission = admission

    async def keep_polling(self, client: ServiceDiscoveryClient) -> None:
        """Dial and run the long poll until this task is cancelled."""
        with self._admission.dialled_connection():
            await self._poll(client)

    async def _poll(self, client: ServiceDiscoveryClient) -> None:
        backoff_s = MIN_BACKOFF_S
        reconnect_requested = asyncio.Event()
        client.reconnect_now = reconnect_requested.set
        while True:
            reconnect_requested.clear()
            if client.is_paused():  # another cluster member polls for all
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(reconnect_requested.wait(), POLL_TURN_CHECK_S)
                continue
            answers_before = client.answers_received
            address = client.address
            try:
                sock = await self._connector.connect(address)
            except (OSError, TimeoutError) as error:
                client.connect_failed(error)
            else:
                if client.address != address:  # another coordinator was configured during the connect
                    sock.close()
                    continue
                client.connected()
                await self._runner.run(sock, client)
            if reconnect_requested.is_set() or client.answers_received > answers_before:
                backoff_s = MIN_BACKOFF_S
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reconnect_requested.wait(), backoff_s)
            backoff_s = min(MAX_POLL_BACKOFF_S, 2 * backoff_s)
