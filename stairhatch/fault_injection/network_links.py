"""The network links between the processes of a run, to which the network conditions are applied.

Each ordered pair of softswitches has its own UDP port. A datagram that arrives at the port for A to B is
forwarded to B from the port for B to A, so that B sees a constant address for A, whatever faults are active.
Connections to the coordinator or the roster servers pass through a TCP relay. No contents are parsed.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from functools import partial

from stairhatch.fault_injection.network_conditions import NetworkConditions

Address = tuple[str, int]
READ_SIZE_BYTES = 16 * 1024
POLL_INTERVAL_S = 0.01
MAX_DUPLICATE_DELAY_S = (0.05, 0.5)  # one of the two, drawn at random, is the maximum delay
COORDINATOR = "coordinator"
HELD_CONNECTION = "connection held"  # activation name: the bytes of a connection are held back


class _LinkPort(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self.on_datagram = on_datagram
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]  # uvloop does not subclass asyncio's class

    def datagram_received(self, data: bytes, _addr: Address) -> None:
        self.on_datagram(data)


class NetworkLinks:
    """The links of one run. The injector adds and removes the faults in `conditions`."""

    def __init__(self, seed: int) -> None:
        """`seed` is the run's seed; it determines losses, delays and duplicates. `open` creates the links."""
        self.rng = random.Random(f"ways {seed}")
        self.loop = asyncio.get_running_loop()
        self.conditions = NetworkConditions(self.rng)
        self.datagrams_forwarded = 0
        self.addresses: dict[str, Address] = {}  # listening address of each softswitch
        self.ports: dict[tuple[str, str], _LinkPort] = {}
        self.servers: list[asyncio.Server] = []
        self.copy_tasks: set[asyncio.Task[None]] = set()

    async def open(self, addresses: dict[str, Address]) -> None:
        """Open a UDP port for every ordered pair of softswitches, given their listening addresses."""
        self.addresses = addresses
        for sender in addresses:
            for receiver in addresses:
                if sender != receiver:
                    create_port = partial(_LinkPort, partial(self._on_datagram, sender, receiver))
                    _, port = await self.loop.create_datagram_endpoint(
                        create_port, local_addr=("127.0.0.1", 0)
                    )
                    self.ports[sender, receiver] = port

    def address_for(self, sender: str, receiver: str) -> Address:
        """Return the address to which one softswitch sends in order to reach another."""
        if sender == receiver:
            return self.addresses[sender]
        host, port = self.ports[sender, receiver].transport.get_extra_info("sockname")[:2]
        return host, port

    def _on_datagram(self, sender: str, receiver: str, data: bytes) -> None:
        delays_s = self.conditions.delivery_delays_s(sender, receiver, 0.0, self._draw_duplicate_delay_s)
        for delay_s in delays_s:
            self.loop.call_later(delay_s, self._forward, sender, receiver, data)

    def _forward(self, sender: str, receiver: str, data: bytes) -> None:
        self.datagrams_forwarded += 1
        transport = self.ports[receiver, sender].transport
        if not transport.is_closing():
            transport.sendto(data, self.addresses[receiver])

    def _draw_duplicate_delay_s(self) -> float:
        return self.rng.random() * self.rng.choice(MAX_DUPLICATE_DELAY_S)

    async def open_connection_link(self, member: str, target: Address, peer: str = COORDINATOR) -> Address:
        """Open a TCP relay from a softswitch to the address `target`, and return the relay's address.

        While a fault blocks traffic between `member` and `peer`, the relay holds the bytes back.
        """

        async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                target_reader, target_writer = await asyncio.open_connection(*target)
            except OSError:
                writer.close()
                return
            self._start_copying(reader, target_writer, member, peer)
            self._start_copying(target_reader, writer, peer, member)

        server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    def _start_copying(
        self, source: asyncio.StreamReader, target: asyncio.StreamWriter, sender: str, receiver: str
    ) -> None:
        task = self.loop.create_task(self._copy_stream(source, target, sender, receiver))
        self.copy_tasks.add(task)
        task.add_done_callback(self.copy_tasks.discard)

    async def _copy_stream(
        self, source: asyncio.StreamReader, target: asyncio.StreamWriter, sender: str, receiver: str
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(READ_SIZE_BYTES):
                while self.conditions.is_blocked(sender, receiver):
                    self.conditions.activations[HELD_CONNECTION] += 1
                    await asyncio.sleep(POLL_INTERVAL_S)
                if target.is_closing():
                    break
                target.write(data)
                await target.drain()
        with contextlib.suppress(OSError):
            target.close()

    def close(self) -> None:
        """Close all ports and relays, and cancel the tasks that copy bytes."""
        for port in self.ports.values():
            port.transport.close()
        for server in self.servers:
            server.close()
        for task in list(self.copy_tasks):
            task.cancel()
