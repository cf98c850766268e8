"""Connections between simulated machines, and the connector that opens them.

A connection delivers bytes in order. As with TCP, a side is notified that the connection has ended after all
bytes sent before the end have been delivered.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from stairhatch.node.protocol import do_nothing
from stairhatch.scale_test.simulated_network import Address, SimulatedNetwork


class Side(IntEnum):
    """The two sides of a connection."""

    CLIENT = 0  # the side that opened the connection
    SERVER = 1

    @property
    def peer(self) -> Side:
        """The opposite side."""
        return Side.SERVER if self is Side.CLIENT else Side.CLIENT


def _discard_bytes(data: bytes) -> None:
    """Discard received bytes; default for a side that is not attached yet."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionEnd:
    """Callbacks of one side: `receive` takes bytes, `lost` is called after the peer has closed its side."""

    receive: Callable[[bytes], None] = _discard_bytes
    lost: Callable[[], None] = do_nothing


class SimulatedConnection:
    """A simulated stream connection between two machines."""

    def __init__(self, network: SimulatedNetwork, client_machine: int, server_machine: int) -> None:
        """Create an open connection; neither side is attached yet."""
        self.network = network
        self.machines = (client_machine, server_machine)
        self._ends = [ConnectionEnd(), ConnectionEnd()]
        # by side: closed by the side itself, or it was notified of the peer's close
        self._is_closed = [False, False]
        self._last_arrival = [0.0, 0.0]  # time at which the last data sent to each side arrives

    def attach(self, side: Side, end: ConnectionEnd) -> None:
        """Set the callbacks of a side."""
        self._ends[side] = end

    def send(self, side: Side, data: bytes) -> None:
        """Send bytes from a side to its peer; after the side is closed, they are discarded."""
        if not self._is_closed[side]:
            self.network.connection_bytes += len(data)
            self.network.clock.call_at(self._arrival_at(side.peer), self._deliver, side.peer, data)

    def close(self, side: Side) -> None:
        """Close a side, also when its process ends; the peer is notified after earlier data has arrived."""
        if self._is_closed[side]:
            return
        self._is_closed[side] = True
        self.network.clock.call_at(self._arrival_at(side.peer), self._deliver_end, side.peer)

    def drop(self) -> None:
        """Stop all delivery without notifying either side, as when a machine is powered off."""
        self._is_closed = [True, True]

    def _arrival_at(self, side: Side) -> float:
        delay_s = self.network.stream_delay_s(self.machines[side.peer], self.machines[side])
        arrival = max(self._last_arrival[side], self.network.clock.now + delay_s)
        self._last_arrival[side] = arrival
        return arrival

    def _deliver(self, side: Side, data: bytes) -> None:
        if not self._is_closed[side]:
            self._ends[side].receive(data)

    def _deliver_end(self, side: Side) -> None:
        if not self._is_closed[side]:
            self._is_closed[side] = True
            self._ends[side].lost()


class SimulatedListener(Protocol):
    """Interface of an endpoint that accepts connections at an address."""

    machine: int

    def is_machine_on(self) -> bool:
        """Return whether the machine is on, so that it accepts or refuses connections."""

    def is_listening(self) -> bool:
        """Return whether a process listens at the address; otherwise connections are refused."""

    def accept(self, connection: SimulatedConnection) -> ConnectionEnd:
        """Accept a connection and return the callbacks of its server side."""


class ConnectionClient(Protocol):
    """Interface of an object that opens connections."""

    machine: int
    has_stopped: bool

    def connection_made(self, connection: SimulatedConnection) -> None:
        """Handle a newly established connection."""

    def connect_failed(self, refused: bool) -> None:
        """Handle a failed connection attempt: `refused`, or timed out."""

    def receive(self, data: bytes) -> None:
        """Handle bytes from the server side."""

    def connection_lost(self, connection: SimulatedConnection) -> None:
        """Handle the end of a connection."""


class SimulatedConnector:
    """Connector with the results of connect(2).

    An attempt is refused if the machine is on and no process listens, and times out if the machine is off or
    unreachable.
    """

    def __init__(self, network: SimulatedNetwork) -> None:
        """Create a connector without listeners; they are added to `listeners`."""
        self.network = network
        self.listeners: dict[Address, SimulatedListener] = {}

    def connect(self, client: ConnectionClient, address: Address, timeout_s: float) -> None:
        """Start a connection attempt; its result is passed to `connection_made` or `connect_failed` later."""
        clock, network = self.network.clock, self.network
        listener = self.listeners.get(address)
        server_machine = listener.machine if listener is not None else client.machine
        is_off = listener is not None and not listener.is_machine_on()
        if is_off or network.partitioned_until(client.machine, server_machine):
            clock.call_later(timeout_s, client.connect_failed, False)
            return
        round_trip_s = 2 * network.one_way_delay_s(client.machine, server_machine)
        if listener is None or not listener.is_listening():
            clock.call_later(round_trip_s, client.connect_failed, True)
            return
        clock.call_later(round_trip_s, self._accept, client, listener)

    def _accept(self, client: ConnectionClient, listener: SimulatedListener) -> None:
        if client.has_stopped:
            return
        connection = SimulatedConnection(self.network, client.machine, listener.machine)
        connection.attach(Side.SERVER, listener.accept(connection))
        connection.attach(
            Side.CLIENT,
            ConnectionEnd(receive=client.receive, lost=lambda: client.connection_lost(connection)),
        )
        client.connection_made(connection)
