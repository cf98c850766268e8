"""Composition root: builds one softswitch from its configuration, connects its components and runs it.

`Application` starts each component. `stairhatch.shutdown` implements the graceful shutdown,
`stairhatch.reload` the reload at SIGHUP, and `stairhatch.connection_limits` the limits on connections. The
components of the appliance are imported only if the configuration enables them, so that the platform's
softswitch does not load them.
"""

from __future__ import annotations

import asyncio
import gc
import math
import random
import secrets
import signal
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from stairhatch.components import Components, steady_unix_clock
from stairhatch.config.model import Config, ConfigError
from stairhatch.connection_limits import ADMIN_LIMITS, caller_connection_limit, descriptor_limit
from stairhatch.node.address import format_address
from stairhatch.node.admin_console import AdminConsole
from stairhatch.node.admin_endpoint import AdminConnection
from stairhatch.node.call_manager import CallManager
from stairhatch.node.counters import Counters
from stairhatch.node.endpoint_list import ServiceDiscoveryError, apply_answer
from stairhatch.node.event_log import EventLog
from stairhatch.node.io.descriptor_budget import DescriptorBudget, open_descriptor_count
from stairhatch.node.io.listener import ListenerLimits
from stairhatch.node.io.network import Network
from stairhatch.node.memory_budgets import TERMINATED_IDS_PER_MB, MemoryLimits
from stairhatch.node.platform_frontend import PlatformFrontend
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.node.service_discovery import ServiceDiscoveryClient
from stairhatch.reload import ConfigReloader
from stairhatch.shutdown import GracefulShutdown
from stairhatch.terminal import Terminal

if TYPE_CHECKING:
    from stairhatch.fleet.config import FleetConfig
    from stairhatch.scope.server_sets import ServerNumbers
    from stairhatch.sip.config import SipConfig
    from stairhatch.sip.frontend import SipFrontend

READY_POLL_S = 0.01
SECRET_BYTES = 32  # secret key for the nonces and tags of the SIP frontend
IDENT_BYTES = 8  # random bytes of an identifier that the SIP frontend generates
GC_THRESHOLDS = (20_000, 20, 50)  # of the garbage collector; high, since each collection delays calls


def inherited_socket(descriptor: int) -> socket.socket:
    """Return the platform's listening socket that this process has inherited as a descriptor.

    The platform owns the socket: this process never binds, shuts down or unlinks it. Raises ConfigError if
    the descriptor is not a listening socket.
    """
    try:
        sock = socket.socket(fileno=descriptor)
        listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except (OSError, ValueError, OverflowError) as error:
        raise ConfigError(f"RELAY_INHERITED_FD: descriptor {descriptor}: {error}") from error
    if not listens:
        raise ConfigError(f"RELAY_INHERITED_FD: descriptor {descriptor} does not listen")
    return sock


class Application:
    """One softswitch: its components (`parts`), its current configuration (`reloader`) and its terminal.

    Call `open_listeners`, `start_discovery` and `serve_when_ready`, in this order, to start the softswitch,
    and `shut_down` to end it.
    """

    def __init__(self, config: Config, read_config: Callable[[], Config]) -> None:
        """Build the components that exist from the start. Requires a running event loop.

        `read_config` reads the configuration again for a reload and raises ConfigError if it is unusable.
        """
        rng = random.Random(config.seed or None)
        self.parts = self._build(config, rng)
        self.reloader = ConfigReloader(config, read_config, self.parts)
        self.terminal = Terminal(self.parts.network.loop)

    def _build(self, config: Config, rng: random.Random) -> Components:
        clock = steady_unix_clock()
        log = EventLog("stairhatch", socket.gethostname(), clock, config.syslog)
        counters = Counters()
        scoped = None
        if config.scope is not None:
            from stairhatch.scope.controller import ScopedController

            scoped = ScopedController(config.settings, rng, config.scope)
        call_manager = CallManager(config.settings, rng, clock, log, counters, config.tracing, scoped)
        network = Network(call_manager)
        ServerConnectionPool(call_manager, network.dial)
        if scoped is not None:
            call_manager.servers.in_scope = scoped.in_scope
            scoped.on_scope_changed = self._scope_changed
        return Components(
            clock=clock, log=log, counters=counters, call_manager=call_manager, network=network, scoped=scoped
        )

    @property
    def config(self) -> Config:
        """Return the configuration that is in effect."""
        return self.reloader.config

    def _scope_changed(self, numbers: ServerNumbers, classes: tuple[str, ...], entered: bool) -> None:
        """Connect to the servers that enter the scope; connections to servers that leave it close when idle.

        `numbers` are the numbers of the servers concerned, None for all.
        """
        parts = self.parts
        servers = [
            each
            for each in parts.call_manager.servers.by_id.values()
            if numbers is None or each.record.number in numbers
        ]
        parts.counters.add("scopes_entered" if entered else "scopes_left")
        state = "in" if entered else "out"
        parts.log("scope", state=state, classes=",".join(classes), servers=len(servers))
        for server in servers:
            parts.call_manager.servers.pool.record_changed(server)

    # ---- starting the softswitch ----

    def open_listeners(self) -> str:
        """Open the frontends and the admin endpoint; return their addresses for the log, separated by commas.

        Raises ConfigError if an address cannot be bound or the inherited descriptor is unusable.
        """
        config = self.config
        opened: list[str] = []
        try:
            if config.listen is not None:
                opened.append(self._listen_platform(config, config.listen))
            if config.sip is not None:
                opened += self._listen_sip(config.sip)
            if config.console is not None:
                opened.append(self._listen_admin(config.console))
        except OSError as error:
            raise ConfigError(f"can't listen: {error.strerror}") from error
        self._limit_descriptors(config)
        self.parts.call_manager.readiness.listening = config.inherited is None
        return ",".join(opened)

    def _listen_platform(self, config: Config, address: tuple[str, int]) -> str:
        parts = self.parts
        parts.call_manager.calls.limit_terminated(int(config.memory_mb * TERMINATED_IDS_PER_MB))
        parts.platform_frontend = PlatformFrontend(
            parts.call_manager, MemoryLimits.for_memory(config.memory_mb)
        )
        at = address if config.inherited is None else inherited_socket(config.inherited)
        limits = ListenerLimits(caller_connection_limit(config))
        listener = parts.network.listen(at, parts.platform_frontend.connect, limits, config.inherited is None)
        parts.caller_listeners.append(listener)
        return f"{address[0]}:{address[1]}"

    def _listen_sip(self, config: SipConfig) -> list[str]:
        network = self.parts.network
        flows = self._sip_frontend(config).flows
        opened: list[str] = []
        for port in flows.ports:
            network.open_datagram_port(port.local, port, callers=True)
            opened.append(f"udp:{format_address(port.local)}")
        for listener in config.tcp:
            limits = ListenerLimits(config.connections, idle_timeout_s=config.idle_s)
            self.parts.caller_listeners.append(
                network.listen(listener.address, flows.connector(listener), limits)
            )
            opened.append(f"tcp:{format_address(listener.address)}")
        return opened

    def _sip_frontend(self, config: SipConfig) -> SipFrontend:
        from stairhatch.sip.frontend import SipFrontend

        network = self.parts.network
        rng = random.Random(secrets.randbits(64))
        frontend = SipFrontend(
            self.parts.call_manager,
            config,
            lambda: secrets.token_hex(IDENT_BYTES),
            rng.random,
            secrets.token_bytes(SECRET_BYTES),
        )
        if frontend.admission.control is not None:
            network.monitor_load(frontend.admission.observe_delay)
        frontend.flows.dial = lambda connection: network.dial_caller(connection, connection.peer)
        self.parts.sip_frontend = frontend
        return frontend

    def _listen_admin(self, address: tuple[str, int]) -> str:
        call_manager = self.parts.call_manager
        self.parts.network.listen(address, lambda _: AdminConnection(call_manager), ADMIN_LIMITS)
        return f"console:{address[0]}:{address[1]}"

    def _limit_descriptors(self, config: Config) -> None:
        """Divide the descriptors between callers and servers.

        The descriptors that are open now, and those of the admin endpoint, are reserved. A limit lower than
        the configured one is logged.
        """
        admin_connections = ADMIN_LIMITS.max_connections if config.console is not None else 0
        reserved = open_descriptor_count() + admin_connections
        limit = descriptor_limit(config)
        budget = DescriptorBudget(limit, reserved)
        self.parts.network.limit_callers(self.parts.caller_listeners, budget)
        if config.listen is not None and limit < config.sockets:
            self.parts.log("descriptors", configured=config.sockets, limit=limit)

    def start_discovery(self) -> None:
        """Apply the configured endpoint list, join the cluster and start polling the coordinator for changes.

        Raises ConfigError if the list, or the files or the address of the cluster member, are unusable.
        """
        parts = self.parts
        config = self.config
        try:
            last_event = apply_answer(parts.call_manager, config.known, 0)
        except ServiceDiscoveryError as error:
            raise ConfigError(str(error)) from error
        if config.coordinator is not None:
            parts.discovery = ServiceDiscoveryClient(parts.call_manager, config.coordinator, last_event)
        else:
            parts.call_manager.readiness.list_known = True
            parts.call_manager.servers.list_confirmed_at = math.inf
        if config.fleet is not None:
            self._join_cluster(config.fleet)
        if parts.discovery is not None:
            parts.network.spawn(parts.network.poll_service_discovery(parts.discovery))

    def _join_cluster(self, config: FleetConfig) -> None:
        """Join the cluster of the fleet, and relay the endpoint list within it if that is configured.

        Raises ConfigError if the files or the address of the cluster member are unusable.
        """
        from stairhatch.fleet.runtime import FleetRuntime, StoreError

        parts = self.parts
        try:
            parts.fleet = FleetRuntime(parts.call_manager, parts.network, config, self.config.settings)
        except StoreError as error:
            raise ConfigError(f"fleet.folder: {error}") from error
        except OSError as error:
            raise ConfigError(f"fleet.listen: {error.strerror}") from error
        if parts.discovery is not None and config.relay_endpoint_list:
            parts.fleet.discovery = parts.discovery
            parts.discovery.on_answer = parts.fleet.coordinator_answered
            parts.discovery.may_poll = parts.fleet.may_poll_coordinator
        parts.fleet.start()

    async def serve_when_ready(self) -> None:
        """Wait until the list is known and each server was tried, then open the listeners and log `serving`.

        An inherited socket, which this process may share with another, accepts connections only from then on.
        All other listeners have been accepting since they were created.
        """
        call_manager = self.parts.call_manager
        while not call_manager.readiness.startup_health().is_ready:
            await asyncio.sleep(READY_POLL_S)
        if call_manager.readiness.shutting_down:
            return
        for listener in self.parts.caller_listeners:
            listener.open()
        call_manager.readiness.listening = True
        self.parts.log("serving", servers=len(call_manager.servers.by_id))

    # ---- running and ending the softswitch ----

    def status_text(self) -> str:
        """Return the lines on reloads and service discovery for the console command `status`."""
        text = f"reload     {self.reloader.last_result or 'never'}\n"
        discovery = self.parts.discovery
        if discovery is not None:
            host, port = discovery.address
            age_s = self.parts.clock() - discovery.last_answer_at
            text += f"directory  {host}:{port}, event {discovery.last_index}, last heard {age_s:.1f} s ago\n"
        return text

    async def shut_down(self, skip_dialogs: asyncio.Event) -> None:
        """Drain, and return when all answers and releases are delivered or cannot be delivered.

        Setting `skip_dialogs` ends the wait for established dialogs.
        """
        await GracefulShutdown(self.parts, self.config, self.terminal.write).run(skip_dialogs)


async def run(config: Config, read_config: Callable[[], Config], hangup_received: Callable[[], bool]) -> None:
    """Serve until SIGTERM, SIGINT or the command `quit`, then shut down gracefully.

    `read_config` reads the configuration again at SIGHUP. `hangup_received` returns whether a SIGHUP was
    received after `config` was read. Raises ConfigError if the configuration is unusable.
    """
    application = Application(config, read_config)
    try:
        await _run(application, hangup_received)
    finally:  # also after an exception, since the pending log lines explain it
        application.parts.log.close()


async def _run(application: Application, hangup_received: Callable[[], bool]) -> None:
    parts = application.parts
    loop = parts.network.loop
    stop = asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):  # installed before any connection is accepted
        loop.add_signal_handler(name, stop.set)
    addresses = application.open_listeners()
    application.start_discovery()
    loop.add_signal_handler(signal.SIGHUP, application.reloader.reload)
    loop.add_signal_handler(signal.SIGUSR1, lambda: parts.log("counters", **parts.counters.counts))
    if hangup_received():
        application.reloader.reload()
    application.terminal.attach(AdminConsole(parts.call_manager, stop.set, application.status_text))
    parts.log("ready", name=application.config.name, listen=addresses)
    parts.network.spawn(application.serve_when_ready())
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    await stop.wait()
    stop.clear()  # a second signal or `quit` ends the wait for dialogs
    await application.shut_down(stop)
    if parts.fleet is not None:
        parts.fleet.stop()
    parts.log("counters", lines_suppressed=parts.log.suppressed, **parts.counters.counts)
