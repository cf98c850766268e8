"""Drivers that run a softswitch's protocols on simulated connections; they replace those in `node/io/`.

A driver transfers bytes and reopens connections, and makes no other decisions. Each driver uses the backoff
delays of the driver that it replaces, so `node/io/connector.py` remains the reference.
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
    """Interface of the softswitch process that owns the connections."""

    call_manager: CallManager
    machine: int
    drivers: dict[ConnectionDriver, None]

    def log(self, event: str, **fields: object) -> None:
        """Log an event of the process."""


class ConnectionDriver:
    """Base class of drivers: transfers bytes between a protocol and a simulated connection.

    It corresponds to `ConnectionRunner`, which does the same with a socket. A subclass opens the connection
    (`_connect`) and schedules the next attempt after it has ended (`_reconnect`).
    """

    part = ProcessorPart.REST  # the processor time of the protocol is charged to this part

    def __init__(self, context: SimulationContext, owner: DriverOwner, protocol: ConnectionProtocol) -> None:
        """Schedule the first connection attempt."""
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
        self._immediate_attempt_requested = False  # by the protocol, since the last attempt
        self._next_attempt: ScheduledEvent | None = None
        owner.drivers[self] = None
        self._connect_after(0.0)

    def stop(self, powered_off: bool) -> None:
        """Stop the driver because its process ends.

        With `powered_off` the connection is dropped without notifying the peer; otherwise it is closed.
        """
        self.has_stopped = True
        connection, self.connection = self.connection, None
        if connection is None:
            return
        if powered_off:
            connection.drop()
        else:
            connection.close(Side.CLIENT)

    def connection_made(self, connection: SimulatedConnection) -> None:
        """Start transferring bytes on an established connection."""
        self.connection = connection
        self.connected_at = self.clock.now
        self.protocol.notify_writable = self._schedule_flush
        self.protocol.abort = self._schedule_abort
        self._schedule_flush()

    def connect_failed(self, refused: bool) -> None:
        """Handle a failed connection attempt: `refused`, or timed out."""
        raise NotImplementedError

    def receive(self, data: bytes) -> None:
        """Pass received bytes to the protocol.

        An exception in the protocol is logged and ends only this connection, as in `ConnectionRunner`.
        """
        if self.connection is None:
            return
        self.context.meter.enter(self.part)
        try:
            self.protocol.receive_data(data)
        except Exception as error:  # noqa: BLE001 - ends only this connection, as in `ConnectionRunner.run`
            self.owner.call_manager.counters.add("connection_faults")
            self.owner.log("fault", why=f"{type(error).__name__}: {error}")
            self._schedule_abort()
            return
        finally:
            self.context.meter.leave()
        if self.protocol.can_close():
            self._flush()

    def connection_lost(self, connection: SimulatedConnection | None) -> None:
        """Handle the end of the connection by either side; the end of an earlier connection is ignored."""
        if self.connection is None or self.has_stopped or connection not in (None, self.connection):
            return
        ended, self.connection = self.connection, None
        self.protocol.eof_received()
        ended.close(Side.CLIENT)
        self.protocol.notify_writable = do_nothing
        self.protocol.abort = do_nothing
        self.protocol.connection_lost()
        self._reconnect()

    def _connect(self) -> None:
        raise NotImplementedError

    def _reconnect(self) -> None:
        raise NotImplementedError

    def _request_immediate_attempt(self) -> None:
        """Move a scheduled connection attempt to now; without one, make the next attempt immediate."""
        self._immediate_attempt_requested = True
        if self._next_attempt is not None:
            self._connect_after(0.0)

    def _connect_after(self, delay_s: float) -> None:
        if self._next_attempt is not None:
            self._next_attempt.cancel()
        self._next_attempt = self.clock.call_later(delay_s, self._connect)

    def _connect_after_backoff(self, at_once: bool, max_backoff_s: float) -> None:
        """Schedule an attempt now or after the backoff; either way, double the backoff up to its maximum."""
        self._connect_after(0.0 if at_once else self.backoff_s)
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
    """Driver that keeps a connection to a roster server open, like `ServerConnector.maintain_connection`."""

    part = ProcessorPart.SERVER_CONNECTIONS

    def __init__(self, context: SimulationContext, owner: DriverOwner, protocol: ServerConnection) -> None:
        """Schedule the first connection attempt to the server."""
        super().__init__(context, owner, protocol)
        self.server_connection = protocol

    def connection_made(self, connection: SimulatedConnection) -> None:
        """Notify the protocol, then start transferring bytes on an established connection."""
        self.server_connection.connection_made()
        super().connection_made(connection)

    def connect_failed(self, refused: bool) -> None:
        """Schedule another attempt after the backoff; if the server is draining, remove the connection."""
        if self.has_stopped:
            return
        self.server_connection.connect_failed(refused)
        if self.server_connection.draining:
            self._remove()
            return
        self._immediate_attempt_requested = (
            self._immediate_attempt_requested and self.server_connection.has_queued
        )
        self._connect_after_backoff(at_once=self._immediate_attempt_requested, max_backoff_s=MAX_BACKOFF_S)

    def _connect(self) -> None:
        self._next_attempt = None
        protocol = self.server_connection
        if self.has_stopped:
            return
        if protocol.can_close() or (protocol.draining and not protocol.has_queued):
            self._remove()
            return
        self._immediate_attempt_requested = False
        protocol.notify_writable = self._request_immediate_attempt
        timeout_s = self.owner.call_manager.settings.connect_timeout_s
        self.context.connector.connect(self, protocol.server.record.address, timeout_s)

    def _reconnect(self) -> None:
        """Schedule another attempt: now if the connection lasted over MAX_BACKOFF_S, else after the backoff.

        For a draining server it is always now: `_connect` removes the connection unless requests are queued.
        """
        if self.clock.now - self.connected_at > MAX_BACKOFF_S:
            self.backoff_s = MIN_BACKOFF_S
            self._connect_after(0.0)
        elif self.server_connection.draining:
            self._connect_after(0.0)
        else:
            self._connect_after_backoff(at_once=False, max_backoff_s=MAX_BACKOFF_S)

    def _remove(self) -> None:
        self.owner.drivers.pop(self, None)
        self.server_connection.pool.remove(self.server_connection)


class ServiceDiscoveryDriver(ConnectionDriver):
    """Driver that keeps a long poll at the coordinator open, as `ServiceDiscoveryPoller` does."""

    part = ProcessorPart.ENDPOINT_LIST

    def __init__(
        self, context: SimulationContext, owner: DriverOwner, protocol: ServiceDiscoveryClient
    ) -> None:
        """Schedule the first connection attempt to the coordinator."""
        super().__init__(context, owner, protocol)
        self.client = protocol
        self.client.reconnect_now = self._request_immediate_attempt
        self._answers_before = 0  # answers the client had received at the last attempt

    def connection_made(self, connection: SimulatedConnection) -> None:
        """Notify the client, then start transferring bytes on an established connection."""
        self.client.connected()
        super().connection_made(connection)

    def connect_failed(self, refused: bool) -> None:
        """Report the error to the client and schedule another attempt."""
        self.client.connect_failed(
            ConnectionRefusedError("refused") if refused else TimeoutError("timed out")
        )
        self._reconnect()

    def _connect(self) -> None:
        self._next_attempt = None
        self._immediate_attempt_requested = False
        if self.has_stopped:
            return
        if self.client.is_paused():
            self._connect_after(POLL_TURN_CHECK_S)
            return
        self._answers_before = self.client.answers_received
        self.context.connector.connect(self, self.client.address, CONNECT_TIMEOUT_S)

    def _reconnect(self) -> None:
        if self.has_stopped:
            return
        if self._immediate_attempt_requested or self.client.answers_received > self._answers_before:
            self.backoff_s = MIN_BACKOFF_S
        self._connect_after_backoff(
            at_once=self._immediate_attempt_requested, max_backoff_s=MAX_POLL_BACKOFF_S
        )
