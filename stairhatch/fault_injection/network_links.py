"""The network links between the processes of a run, and the network conditions on them.

Each ordered pair of softswitches has a UDP port of its own. What comes at the port by which A reaches B goes
on to B from the port by which B reaches A, so each knows the other under one address whatever the link does.
Connections to what stands outside (coordinator, roster servers) go through a TCP relay. The contents are
never looked into.
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
MAX_DUPLICATE_DELAY_S = (0.05, 0.5)  # one of these is drawn as the most
COORDINATOR = "coordinator"
HELD_CONNECTION = "connection held"  # the activation of a fault that holds back a connection's bytes


class _LinkPort(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self.on_datagram = on_datagram
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]  # uvloop's is of no class that asyncio has

    def datagram_received(self, data: bytes, _addr: Address) -> None:
        self.on_datagram(data)


class NetworkLinks:
    """All links of one run. Whoever injects faults changes their `conditions`."""

    def __init__(self, seed: int) -> None:
        """`seed` is that of the run. There are no links until `open`."""
        self.rng = random.Random(f"ways {seed}")
        self.loop = asyncio.get_running_loop()
        self.conditions = NetworkConditions(self.rng)
        self.datagrams_forwarded = 0
        self.addresses: dict[str, Address] = {}  # where each softswitch listens
        self.ports: dict[tuple[str, str], _LinkPort] = {}
        self.servers: list[asyncio.Server] = []
        self.copy_tasks: set[asyncio.Task[None]] = set()

    async def open(self, addresses: dict[str, Address]) -> None:
        """Open a port for every ordered pair of the softswitches that listen at these addresses."""
        self.addresses = addresses
        for sender in addresses:
            for receiver in addresses:
                if sender != receiver:
                    make = partial(_LinkPort, partial(self._on_datagram, sender, receiver))
                    _, port = await self.loop.create_datagram_endpoint(make, local_addr=("127.0.0.1", 0))
                    self.ports[sender, receiver] = port

    def address_for(self, sender: str, receiver: str) -> Address:
        """The address under which one softswitch reaches another."""
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
        """Open a TCP relay by which a softswitch reaches something outside, and return its address.

        A fault between the two holds the bytes back until it ends.
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
                while self.conditions.block(sender, receiver):
                    self.conditions.activations[HELD_CONNECTION] += 1
                    await asyncio.sleep(POLL_INTERVAL_S)
                if target.is_closing():
                    break
                target.write(data)
                await target.drain()
        with contextlib.suppress(OSError):
            target.close()

    def close(self) -> None:
        """Close all links; nothing is forwarded any more."""
        for port in self.ports.values():
            port.transport.close()
        for server in self.servers:
            server.close()
        for task in list(self.copy_tasks):
            task.cancel()
