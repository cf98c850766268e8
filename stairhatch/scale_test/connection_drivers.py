"""Drivers of a softswitch's protocols on simulated connections, in place of those in `node/io/`.

A driver carries bytes and opens connections again; it decides nothing. Its pauses are those of the driver
that it replaces, so that `node/io/connector.py` remains the reference.
"""

from __future__ import annotations

from typing import Protocol

from stairhatch.node.call_manager import CallManager
from stairhatch.node.io.connector import (
    CONNECT_TIMEOUT_S,
    MAX_BACKOFF_S,
    MAX_POLL_BACKOFF_S,
    MIN_BACKOFF_S,
    POLL_TURN_CHECK_S,
)
from stairhatch.node.protocol import ConnectionProtocol, do_nothing
from stairhatch.node.server_connection import ServerConnection
from stairhatch.node.service_discovery import ServiceDiscoveryClient
from stairhatch.scale_test.processor_meter import ProcessorPart
from stairhatch.scale_test.simulated_connection import Side, SimulatedConnection
from stairhatch.scale_test.simulation_context import SimulationContext
from stairhatch.scale_test.virtual_clock import ScheduledEvent


class DriverOwner(Protocol):
    """The process whose connections are driven."""

    core: CallManager
    machine: int
    drivers: dict[ConnectionDriver, None]

    def log(self, event: str, **fields: object) -> None:
        """Write a line of its log."""


class ConnectionDriver:
    """Carries bytes between a protocol and a connection, as `ConnectionRunner` does with a socket.

    A subclass opens the connection (`_dial`) and decides when to open the next one (`_reconnect`).
    """

    part = ProcessorPart.REST  # what the protocol's work is charged to

    def __init__(self, context: SimulationContext, owner: DriverOwner, protocol: ConnectionProtocol) -> None:
        """Schedule the first dial."""
        self.context = context
        self.clock = context.clock
        self.owner = owner
        self.machine = owner.machine
        self.protocol = protocol
        self.connection: SimulatedConnection | None = None
        self.has_stopped = False
        self.backoff_s = MIN_BACKOFF_S
        self.connected_at = 0.0
        self._flush_scheduled = False
        self._dial_wanted_now = False  # whether the protocol has asked for it since the last dial
        self._next_dial: ScheduledEvent | None = None
        owner.drivers[self] = None
        self._dial_after(0.0)

    def stop(self, unnoticed: bool) -> None:
        """Stop with the process; `unnoticed`: without closing the connection, as its machine is off."""
        self.has_stopped = True
        connection, self.connection = self.connection, None
        if connection is None:
            return
        if unnoticed:
            connection.drop()
        else:
            connection.close(Side.CLIENT)

    def connection_made(self, connection: SimulatedConnection) -> None:
        """Begin to carry bytes on a connection that has come up."""
        self.connection = connection
        self.connected_at = self.clock.now
        self.protocol.notify_writable = self._schedule_flush
        self.protocol.abort = self._schedule_abort
        self._schedule_flush()

    def connect_failed(self, refused: bool) -> None:
        """Handle a connection attempt that was refused or timed out."""
        raise NotImplementedError

    def receive(self, data: bytes) -> None:
        """Hand bytes to the protocol. A fault in it ends this connection only, as in `ConnectionRunner`."""
        if self.connection is None:
            return
        self.context.meter.enter(self.part)
        try:
            self.protocol.receive_data(data)
        except Exception as error:  # noqa: BLE001 - as `ConnectionRunner.run`: it ends this connection only
            self.owner.core.counters.add("connection_faults")
            self.owner.log("fault", why=f"{type(error).__name__}: {error}")
            self._schedule_abort()
            return
        finally:
            self.context.meter.leave()
        if self.protocol.can_close():
            self._flush()

    def connection_lost(self, connection: SimulatedConnection | None) -> None:
        """Handle the end of a connection by either side, unless it is no longer the driver's."""
        if self.connection is None or self.has_stopped or connection not in (None, self.connection):
            return
        ended, self.connection = self.connection, None
        self.protocol.eof_received()
        ended.close(Side.CLIENT)
        self.protocol.notify_writable = do_nothing
        self.protocol.abort = do_nothing
        self.protocol.connection_lost()
        self._reconnect()

    def _dial(self) -> None:
        raise NotImplementedError

    def _reconnect(self) -> None:
        raise NotImplementedError

    def _dial_now(self) -> None:
        """Dial at once if a dial is scheduled; else remember that one is wanted."""
        self._dial_wanted_now = True
        if self._next_dial is not None:
            self._dial_after(0.0)

    def _dial_after(self, delay_s: float) -> None:
        if self._next_dial is not None:
            self._next_dial.cancel()
        self._next_dial = self.clock.call_later(delay_s, self._dial)

    def _dial_after_backoff(self, at_once: bool, max_backoff_s: float) -> None:
        """Dial at once or after the backoff, which doubles either way."""
        self._dial_after(0.0 if at_once else self.backoff_s)
        self.backoff_s = min(max_backoff_s, 2 * self.backoff_s)

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self.clock.call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        if self.connection is None or self.has_stopped:
            return
        self.context.meter.enter(self.part)
        while data := self.protocol.data_to_send():
            self.connection.send(Side.CLIENT, data)
        self.context.meter.leave()
        if self.protocol.can_close():
            self._schedule_abort()

    def _schedule_abort(self) -> None:
        self.clock.call_soon(self.connection_lost, self.connection)


class PersistentConnectionDriver(ConnectionDriver):
    """Keeps a connection to a roster server, as `ServerConnector.keep_up`."""

    part = ProcessorPart.SERVER_CONNECTIONS

    def __init__(self, context: SimulationContext, owner: DriverOwner, protocol: ServerConnection) -> None:
        """Schedule the first dial of the server."""
        super().__init__(context, owner, protocol)
        self.server_connection = protocol

    def connection_made(self, connection: SimulatedConnection) -> None:
        """Begin to carry bytes on a connection that has come up."""
        self.server_connection.connection_made()
        super().connection_made(connection)

    def connect_failed(self, refused: bool) -> None:
        """Dial again after the backoff, unless the server is draining."""
        if self.has_stopped:
            return
        self.server_connection.connect_failed(refused)
        if self.server_connection.draining:
            self._remove()
            return
        self._dial_wanted_now = self._dial_wanted_now and self.server_connection.has_queued
        self._dial_after_backoff(at_once=self._dial_wanted_now, max_backoff_s=MAX_BACKOFF_S)

    def _dial(self) -> None:
        self._next_dial = None
        protocol = self.server_connection
        if self.has_stopped:
            return
        if protocol.can_close() or (protocol.draining and not protocol.has_queued):
            self._remove()
            return
        self._dial_wanted_now = False
        protocol.notify_writable = self._dial_now
        timeout_s = self.owner.core.settings.connect_timeout_s
        self.context.connector.connect(self, protocol.server.record.address, timeout_s)

    def _reconnect(self) -> None:
        """Dial again, at once where the connection had been up for long."""
        if self.clock.now - self.connected_at > MAX_BACKOFF_S:
            self.backoff_s = MIN_BACKOFF_S
            self._dial_after(0.0)
        elif self.server_connection.draining:
            self._dial_after(0.0)
        else:
            self._dial_after_backoff(at_once=False, max_backoff_s=MAX_BACKOFF_S)

    def _remove(self) -> None:
        self.owner.drivers.pop(self, None)
        self.server_connection.pool.remove(self.server_connection)


class ServiceDiscoveryDriver(ConnectionDriver):
    """Keeps the long poll of the coordinator going, as `ServiceDiscoveryPoller`."""

    part = ProcessorPart.ENDPOINT_LIST

    def __init__(
        self, context: SimulationContext, owner: DriverOwner, protocol: ServiceDiscoveryClient
    ) -> None:
        """Schedule the first dial of the coordinator."""
        super().__init__(context, owner, protocol)
        self.client = protocol
        self.client.reconnect_now = self._dial_now
        self._answers_before = 0  # answers that the client had received at the last dial

    def connection_made(self, connection: SimulatedConnection) -> None:
        """Begin to carry bytes on a connection that has come up."""
        self.client.connected()
        super().connection_made(connection)

    def connect_failed(self, refused: bool) -> None:
        """Dial again after the backoff."""
        self.client.connect_failed(
            ConnectionRefusedError("refused") if refused else TimeoutError("timed out")
        )
        self._reconnect()

    def _dial(self) -> None:
        self._next_dial = None
        self._dial_wanted_now = False
        if self.has_stopped:
            return
        if self.client.is_paused():
            self._dial_after(POLL_TURN_CHECK_S)
            return
        self._answers_before = self.client.answers_received
        self.context.connector.connect(self, self.client.address, CONNECT_TIMEOUT_S)

    def _reconnect(self) -> None:
        if self.has_stopped:
            return
        if self._dial_wanted_now or self.client.answers_received > self._answers_before:
            self.backoff_s = MIN_BACKOFF_S
        self._dial_after_backoff(at_once=self._dial_wanted_now, max_backoff_s=MAX_POLL_BACKOFF_S)
