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

from stairhatch.fault_injection.schedule import Event, Fault, cuts

Place = tuple[str, int]
PIECE = 16 * 1024
LOOK_S = 0.01
COORDINATOR = "coordinator"


class _Port(asyncio.DatagramProtocol):
    def __init__(self, came: Callable[[bytes], None]) -> None:
        self.came = came
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]  # uvloop's is of no class that asyncio has

    def datagram_received(self, data: bytes, addr: Place) -> None:
        self.came(data)


class Ways:
    """All ways of one lab, and the faults on them."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(f"ways {seed}")
        self.loop = asyncio.get_running_loop()
        self.faults: list[Event] = []
        self.bites: Counter[str] = Counter()
        self.carried = 0
        self.places: dict[str, Place] = {}  # where each softswitch listens
        self.ports: dict[tuple[str, str], _Port] = {}
        self.servers: list[asyncio.Server] = []
        self.pumps: set[asyncio.Task[None]] = set()

    async def open(self, places: dict[str, Place]) -> None:
        """Ports for every ordered pair."""
        self.places = places
        for a in places:
            for b in places:
                if a != b:
                    make = partial(_Port, self._carrier(a, b))
                    _, port = await self.loop.create_datagram_endpoint(make, local_addr=("127.0.0.1", 0))
                    self.ports[a, b] = port

    def reach(self, a: str, b: str) -> Place:
        """Where A reaches B."""
        if a == b:
            return self.places[a]
        host, port = self.ports[a, b].transport.get_extra_info("sockname")[:2]
        return host, port

    def _carrier(self, a: str, b: str) -> Callable[[bytes], None]:
        def came(data: bytes) -> None:
            for after in self._fate(a, b):
                self.loop.call_later(after, self._carry, a, b, data)

        return came

    def _carry(self, a: str, b: str, data: bytes) -> None:
        self.carried += 1
        port = self.ports[b, a].transport
        if not port.is_closing():
            port.sendto(data, self.places[b])

    def _fate(self, a: str, b: str) -> list[float]:
        times = [0.0]
        for event in self.faults:
            if cuts(event, a, b):
                self.bites[event.fault.value] += 1
                return []
            draw = self.chance.random()
            if event.fault is Fault.LOSS and draw < event.amount:
                self.bites["loss"] += 1
                return []
            if event.fault is Fault.DELAY:
                self.bites["delay"] += 1
                times = [each + event.amount * self.chance.random() for each in times]
            if event.fault is Fault.COPIES and draw < event.amount:
                self.bites["copies"] += 1
                times.append(self.chance.random() * self.chance.choice((0.05, 0.5)))
        return times

    # ---- connections ----

    async def tcp(self, name: str, target: Place, to: str = COORDINATOR) -> Place:
        """Where a softswitch reaches something outside by a connection; a cut holds the bytes back."""

        async def took(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                there, out = await asyncio.open_connection(*target)
            except OSError:
                writer.close()
                return
            self._pump(reader, out, name, to)
            self._pump(there, writer, to, name)

        server = await asyncio.start_server(took, "127.0.0.1", 0)
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    def _pump(self, source: asyncio.StreamReader, to: asyncio.StreamWriter, a: str, b: str) -> None:
        task = self.loop.create_task(self._pumping(source, to, a, b))
        self.pumps.add(task)
        task.add_done_callback(self.pumps.discard)

    async def _pumping(self, source: asyncio.StreamReader, to: asyncio.StreamWriter, a: str, b: str) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(PIECE):
                while any(cuts(event, a, b) for event in self.faults):
                    self.bites["connection held"] += 1
                    await asyncio.sleep(LOOK_S)
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
        for task in list(self.pumps):
            task.cancel()
