"""The sockets of one softswitch: the composition of this package, and the face that others use.

Starts listeners, UDP ports, server connections and the long poll; ties the call manager's timers, its reading
of callers and its drain to the event loop; answers whether anything has come that nobody has read yet. Each
connection has its own reader and writer, so that one slow peer holds up no other, and what callers may open
is bounded in number and in time (`listener`, `descriptor_budget`).
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Coroutine, Sequence
from typing import Any

from stairhatch.node.call_manager import CallManager
from stairhatch.node.io.addresses import SocketAddress, address_family
from stairhatch.node.io.background import BackgroundTasks, DelayObserver, LoadMonitor, TimerDriver
from stairhatch.node.io.connection_runner import ConnectionRunner
from stairhatch.node.io.connector import Connector, ServerConnector, ServiceDiscoveryPoller
from stairhatch.node.io.datagrams import DatagramPort, DatagramProtocol
from stairhatch.node.io.descriptor_budget import CallerAdmission, DescriptorBudget
from stairhatch.node.io.listener import Listener, ListenerLimits, ProtocolFactory
from stairhatch.node.protocol import ConnectionProtocol
from stairhatch.node.server_connection import ServerConnection
from stairhatch.node.service_discovery import ServiceDiscoveryClient

LISTEN_BACKLOG = 512
DRAIN_CHECK_S = 0.02  # how often a drain looks for idle connections


class Network:
    """All network I/O of one softswitch. To be made in a running event loop."""

    def __init__(self, core: CallManager) -> None:
        """Tie the call manager's timers, reading and drain to the running loop."""
        self.core = core
        self.loop = asyncio.get_running_loop()
        self.tasks = BackgroundTasks(core, self.loop)
        self.runner = ConnectionRunner(core, self.loop, self.tasks)
        self.admission = CallerAdmission(core, self.loop)
        self.connector = Connector(self.runner, self.admission)
        self.load_monitor = LoadMonitor(self.loop)
        self._server_connector = ServerConnector(self.runner, self.connector, self.admission)
        self._discovery_poller = ServiceDiscoveryPoller(self.runner, self.connector, self.admission)
        self._caller_listeners: Sequence[Listener] = ()
        self._drain_task: asyncio.Task[None] | None = None
        core.readiness.on_drain_started = self._begin_drain
        core.read_callers = self.runner.poller.read_ready
        timers = TimerDriver(core, self.loop)
        core.timers.on_earlier_due = timers.arm
        timers.arm()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a background task; see `BackgroundTasks`."""
        return self.tasks.spawn(work)

    # ---- callers and operators ----

    def listen(
        self,
        at: SocketAddress | socket.socket,
        protocol_factory: ProtocolFactory,
        limits: ListenerLimits,
        now: bool = True,
    ) -> Listener:
        """Accept connections at an address, or on a socket that somebody else has bound; later if not `now`.

        Raises OSError where the address can't be bound.
        """
        if isinstance(at, socket.socket):
            sock = at
        else:
            sock = socket.socket(address_family(at[0]), socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if sock.family == socket.AF_INET6:
                sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
            sock.bind(at)
            sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)
        listener = Listener(self.runner, self.admission, sock, protocol_factory, limits)
        if now:
            listener.open()
        return listener

    def limit_callers(self, listeners: Sequence[Listener], budget: DescriptorBudget) -> None:
        """Name the listeners that callers connect to: they share a budget, and are emptied in a drain."""
        self._caller_listeners = listeners
        self.admission.share(listeners, budget)

    def dial_caller(self, protocol: ConnectionProtocol, peer: SocketAddress) -> None:
        """Open a connection to a caller, for a message that is owed to it."""
        self.spawn(self.connector.run_to_caller(protocol, peer))

    def open_datagram_port(
        self, address: SocketAddress, protocol: DatagramProtocol, callers: bool = False
    ) -> None:
        """Receive and send datagrams; those of `callers` are read before set-ups are written, too.

        Raises OSError where the address can't be bound.
        """
        port = DatagramPort(address, protocol, self.runner, self.load_monitor)
        if callers:
            self.runner.poller.register(port.sock, port.read)

    def monitor_load(self, observer: DelayObserver) -> None:
        """Report the event loop's delay, and the time that datagrams waited, to an observer."""
        self.load_monitor.observer = observer
        self.spawn(self.load_monitor.report_loop_delay(observer))

    def has_unread(self) -> bool:
        """Whether a caller has connected, or has sent something, that nobody has read yet."""
        return any(each.has_unread() for each in self._caller_listeners)

    def has_no_callers(self) -> bool:
        """Whether no caller is connected any more."""
        return not any(each.connections for each in self._caller_listeners)

    def _begin_drain(self) -> None:
        """A drain has begun: close what is idle until it is undone."""
        if self._drain_task is None or self._drain_task.done():
            self._drain_task = self.spawn(self._drain())

    async def _drain(self) -> None:
        while self.core.readiness.drain_since is not None:
            for each in self._caller_listeners:
                each.close_idle()
            await asyncio.sleep(DRAIN_CHECK_S)

    # ---- servers and service discovery ----

    def dial(self, connection: ServerConnection) -> None:
        """Keep a connection to a server until it is retired."""
        self.spawn(self._server_connector.keep_up(connection))

    async def poll_service_discovery(self, client: ServiceDiscoveryClient) -> None:
        """Keep the long poll of service discovery going."""
        await self._discovery_poller.keep_polling(client)
