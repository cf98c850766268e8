"""The network I/O of one softswitch: composes the modules of this package and is their public interface.

`Network` starts listeners, UDP ports, server connections and the long poll. It connects the timers of the
call manager, its reading of callers and its drain to the event loop, and reports whether callers have sent
bytes that are still unread. Each connection has its own reader and writer, so that a slow peer delays no
other. The connections of callers are limited in number and in time (`listener`, `descriptor_budget`).
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
DRAIN_CHECK_S = 0.02  # period at which a drain closes idle connections


class Network:
    """The network I/O of one softswitch. Must be created while an event loop is running."""

    def __init__(self, call_manager: CallManager) -> None:
        """Connect the call manager's timers, reading of callers and drain to the running loop."""
        self.call_manager = call_manager
        self.loop = asyncio.get_running_loop()
        self.tasks = BackgroundTasks(call_manager, self.loop)
        self.runner = ConnectionRunner(call_manager, self.loop, self.tasks)
        self.admission = CallerAdmission(call_manager, self.loop)
        self.connector = Connector(self.runner, self.admission)
        self.load_monitor = LoadMonitor(self.loop)
        self._server_connector = ServerConnector(self.runner, self.connector, self.admission)
        self._discovery_poller = ServiceDiscoveryPoller(self.runner, self.connector, self.admission)
        self._caller_listeners: Sequence[Listener] = ()
        self._drain_task: asyncio.Task[None] | None = None
        call_manager.readiness.on_drain_started = self._begin_drain
        call_manager.read_callers = self.runner.poller.read_ready
        timers = TimerDriver(call_manager, self.loop)
        call_manager.timers.on_earlier_due = timers.arm
        timers.arm()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a background task and return it; its faults are counted and logged."""
        return self.tasks.spawn(work)

    # ---- callers and operators ----

    def listen(
        self,
        address_or_socket: SocketAddress | socket.socket,
        protocol_factory: ProtocolFactory,
        limits: ListenerLimits,
        open_now: bool = True,
    ) -> Listener:
        """Create a listener for an address, or for a listening socket that another process has bound.

        The listener accepts at once if `open_now` is true, otherwise after its `open` has been called. Raises
        OSError if the address cannot be bound.
        """
        if isinstance(address_or_socket, socket.socket):
            sock = address_or_socket
        else:
            sock = socket.socket(address_family(address_or_socket[0]), socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if sock.family == socket.AF_INET6:
                sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
            sock.bind(address_or_socket)
            sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)
        listener = Listener(self.runner, self.admission, sock, protocol_factory, limits)
        if open_now:
            listener.open()
        return listener

    def limit_callers(self, listeners: Sequence[Listener], budget: DescriptorBudget) -> None:
        """Set the callers' listeners: they share the budget, and a drain closes their connections."""
        self._caller_listeners = listeners
        self.admission.share(listeners, budget)

    def dial_caller(self, protocol: ConnectionProtocol, peer: SocketAddress) -> None:
        """Open a connection to a caller and run it, in order to deliver a message to the caller."""
        self.spawn(self.connector.run_to_caller(protocol, peer))

    def open_datagram_port(
        self, address: SocketAddress, protocol: DatagramProtocol, callers: bool = False
    ) -> None:
        """Open a UDP port that receives and sends datagrams for `protocol`.

        With `callers`, pending datagrams are also read before set-ups are written to servers. Raises OSError
        if the address cannot be bound.
        """
        port = DatagramPort(address, protocol, self.runner, self.load_monitor)
        if callers:
            self.runner.poller.register(port.sock, port.read)

    def monitor_load(self, observer: DelayObserver) -> None:
        """Report the delay of the event loop and the waiting time of datagrams to `observer`, in seconds."""
        self.load_monitor.observer = observer
        self.spawn(self.load_monitor.report_loop_delay(observer))

    def has_unread(self) -> bool:
        """Return whether a caller's connection waits to be accepted or has unread bytes."""
        return any(each.has_unread() for each in self._caller_listeners)

    def has_no_callers(self) -> bool:
        """Return whether no listener of callers has an open connection."""
        return not any(each.connections for each in self._caller_listeners)

    def _begin_drain(self) -> None:
        """Start the task that closes idle connections for as long as the drain lasts."""
        if self._drain_task is None or self._drain_task.done():
            self._drain_task = self.spawn(self._drain())

    async def _drain(self) -> None:
        while self.call_manager.readiness.drain_since is not None:
            for each in self._caller_listeners:
                each.close_idle()
            await asyncio.sleep(DRAIN_CHECK_S)

    # ---- servers and service discovery ----

    def dial(self, connection: ServerConnection) -> None:
        """Dial a server connection, and redial it until it is retired."""
        self.spawn(self._server_connector.maintain_connection(connection))

    async def poll_service_discovery(self, client: ServiceDiscoveryClient) -> None:
        """Maintain the long poll of service discovery until the task is cancelled."""
        await self._discovery_poller.keep_polling(client)
