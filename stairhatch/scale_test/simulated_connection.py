"""Connections between simulated machines, and how they are opened.

A connection carries bytes in order. Each side is notified of its end as by TCP: after what was sent before.
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

    CLIENT = 0  # opened it
    SERVER = 1

    @property
    def peer(self) -> Side:
        """The other side."""
        return Side.SERVER if self is Side.CLIENT else Side.CLIENT


def _ignore(data: bytes) -> None:
    """Take no bytes: what a side that is not attached does."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionEnd:
    """How one side of a connection takes bytes, and how it is notified that the connection has ended."""

    receive: Callable[[bytes], None] = _ignore
    lost: Callable[[], None] = do_nothing


class SimulatedConnection:
    """A connection between two machines."""

    def __init__(self, network: SimulatedNetwork, client_machine: int, server_machine: int) -> None:
        """Open, with neither side attached."""
        self.network = network
        self.machines = (client_machine, server_machine)
        self._ends = [ConnectionEnd(), ConnectionEnd()]
        self._is_closed = [False, False]  # a side has closed it, or was notified that the other did
        self._last_arrival = [0.0, 0.0]  # of what was sent to each side

    def attach(self, side: Side, end: ConnectionEnd) -> None:
        """Say who takes the bytes that come to a side."""
        self._ends[side] = end

    def send(self, side: Side, data: bytes) -> None:
        """Send bytes from a side."""
        if not self._is_closed[side]:
            self.network.connection_bytes += len(data)
            self.network.clock.call_at(self._arrival_at(side.peer), self._deliver, side.peer, data)

    def close(self, side: Side) -> None:
        """Close a side, or have its process end; the other is notified after what was sent before."""
        if self._is_closed[side]:
            return
        self._is_closed[side] = True
        self.network.clock.call_at(self._arrival_at(side.peer), self._deliver_end, side.peer)

    def drop(self) -> None:
        """Deliver nothing more and notify neither side, as a machine is off."""
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
    """Who accepts connections at an address."""

    machine: int

    def is_machine_on(self) -> bool:
        """Return whether there is a machine that answers or refuses."""

    def is_listening(self) -> bool:
        """Return whether a process listens there."""

    def accept(self, connection: SimulatedConnection) -> ConnectionEnd:
        """Accept a connection, and return its server side."""


class ConnectionClient(Protocol):
    """Who opens connections."""

    machine: int
    has_stopped: bool

    def connection_made(self, connection: SimulatedConnection) -> None:
        """Take a connection that has come up."""

    def connect_failed(self, refused: bool) -> None:
        """Take note that none came up: refused, or timed out."""

    def receive(self, data: bytes) -> None:
        """Take bytes from the server side."""

    def connection_lost(self, connection: SimulatedConnection) -> None:
        """Take note that a connection has ended."""


class SimulatedConnector:
    """Opens connections, as connect(2) does: refused where a machine is on and nobody listens."""

    def __init__(self, network: SimulatedNetwork) -> None:
        """Nobody listens yet."""
        self.network = network
        self.listeners: dict[Address, SimulatedListener] = {}

    def connect(self, client: ConnectionClient, address: Address, timeout_s: float) -> None:
        """Open a connection. The client is notified later, by `connection_made` or `connect_failed`."""
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
