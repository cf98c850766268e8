"""The ways between the processes of a lab: owns a port for each ordered pair of softswitches, and connections
to what stands outside. What comes at the port by which A reaches B goes on to B from the port by which B
reaches A, so that each knows the other under one address whatever the way does. It must never look into what
it carries.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Callable
from functools import partial

from stairhatch.fault_injection.schedule import FaultKind, ScheduledFault, blocks_traffic

Address = tuple[str, int]
READ_SIZE_BYTES = 16 * 1024
POLL_INTERVAL_S = 0.01
COORDINATOR = "coordinator"


class _Port(asyncio.DatagramProtocol):
    def __init__(self, came: Callable[[bytes], None]) -> None:
        self.came = came
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]  # uvloop's is of no class that asyncio has

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.came(data)


class NetworkLinks:
    """All ways of one lab, and the faults on them."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"ways {seed}")
        self.loop = asyncio.get_running_loop()
        self.active_faults: list[ScheduledFault] = []
        self.activations: Counter[str] = Counter()
        self.datagrams_forwarded = 0
        self.addresses: dict[str, Address] = {}  # where each softswitch listens
        self.ports: dict[tuple[str, str], _Port] = {}
        self.servers: list[asyncio.Server] = []
        self.copy_tasks: set[asyncio.Task[None]] = set()

    async def open(self, places: dict[str, Address]) -> None:
        """Ports for every ordered pair."""
        self.addresses = places
        for a in places:
            for b in places:
                if a != b:
                    make = partial(_Port, self._receiver(a, b))
                    _, port = await self.loop.create_datagram_endpoint(make, local_addr=("127.0.0.1", 0))
                    self.ports[a, b] = port

    def address_for(self, a: str, b: str) -> Address:
        """Where A reaches B."""
        if a == b:
            return self.addresses[a]
        host, port = self.ports[a, b].transport.get_extra_info("sockname")[:2]
        return host, port

    def _receiver(self, a: str, b: str) -> Callable[[bytes], None]:
        def came(data: bytes) -> None:
            for after in self._delivery_delays(a, b):
                self.loop.call_later(after, self._forward, a, b, data)

        return came

    def _forward(self, a: str, b: str, data: bytes) -> None:
        self.datagrams_forwarded += 1
        port = self.ports[b, a].transport
        if not port.is_closing():
            port.sendto(data, self.addresses[b])

    def _delivery_delays(self, a: str, b: str) -> list[float]:
        times = [0.0]
        for event in self.active_faults:
            if blocks_traffic(event, a, b):
                self.activations[event.kind.value] += 1
                return []
            draw = self.rng.random()
            if event.kind is FaultKind.LOSS and draw < event.amount:
                self.activations["loss"] += 1
                return []
            if event.kind is FaultKind.DELAY:
                self.activations["delay"] += 1
                times = [each + event.amount * self.rng.random() for each in times]
            if event.kind is FaultKind.DUPLICATION and draw < event.amount:
                self.activations["copies"] += 1
                times.append(self.rng.random() * self.rng.choice((0.05, 0.5)))
        return times

    # ---- connections ----

    async def open_connection_link(self, name: str, target: Address, to: str = COORDINATOR) -> Address:
        """Where a softswitch reaches something outside by a connection; a cut holds the bytes back."""

        async def took(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                there, out = await asyncio.open_connection(*target)
            except OSError:
                writer.close()
                return
            self._start_copying(reader, out, name, to)
            self._start_copying(there, writer, to, name)

        server = await asyncio.start_server(took, "127.0.0.1", 0)
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    def _start_copying(self, source: asyncio.StreamReader, to: asyncio.StreamWriter, a: str, b: str) -> None:
        task = self.loop.create_task(self._copy_stream(source, to, a, b))
        self.copy_tasks.add(task)
        task.add_done_callback(self.copy_tasks.discard)

    async def _copy_stream(
        self, source: asyncio.StreamReader, to: asyncio.StreamWriter, a: str, b: str
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(READ_SIZE_BYTES):
                while any(blocks_traffic(event, a, b) for event in self.active_faults):
                    self.activations["connection held"] += 1
                    await asyncio.sleep(POLL_INTERVAL_S)
                if to.is_closing():
                    break
                to.write(data)
                await to.drain()
        with contextlib.suppress(OSError):
            to.close()

    def close(self) -> None:
        """Carry no more."""
        for port in self.ports.values():
            port.transport.close()
        for server in self.servers:
            server.close()
        for task in list(self.copy_tasks):
            task.cancel()
