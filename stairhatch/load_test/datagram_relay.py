"""A relay of datagrams in front of a softswitch: owns a port for callers and one port a caller towards the
softswitch, and does with each datagram what `weather` says. It must never look into one.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from stairhatch.load_test.datagram_conditions import DatagramConditions, DatagramLink

Place = tuple[str, int]


class _Port(asyncio.DatagramProtocol):
    def __init__(self, came: Callable[[bytes, Place], None]) -> None:
        self.came = came
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]  # uvloop's is of no class that asyncio has

    def datagram_received(self, data: bytes, addr: Place) -> None:
        self.came(data, addr)


class Relay:
    """Both directions between callers and one softswitch."""

    def __init__(self, target: Place, weather: DatagramConditions, seed: int) -> None:
        self.target, self.loop = target, asyncio.get_running_loop()
        self.there = DatagramLink(weather, random.Random(seed * 2))
        self.back = DatagramLink(weather, random.Random(seed * 2 + 1))
        self.ports: dict[Place, _Port] = {}  # by the caller's address
        self.opening: dict[Place, asyncio.Task[_Port]] = {}
        self.front: _Port
        self.place: Place

    async def open(self) -> Relay:
        """Begin to carry."""
        transport, self.front = await self.loop.create_datagram_endpoint(
            lambda: _Port(self._from_caller), local_addr=("127.0.0.1", 0)
        )
        self.place = transport.get_extra_info("sockname")[:2]
        return self

    def close(self) -> None:
        """Carry no more."""
        self.front.transport.close()
        for port in self.ports.values():
            port.transport.close()

    def _from_caller(self, data: bytes, caller: Place) -> None:
        for after in self.there.fate():
            self.loop.call_later(after, self._carry, data, caller)

    def _carry(self, data: bytes, caller: Place) -> None:
        port = self.ports.get(caller)
        if port is not None:
            port.transport.sendto(data, self.target)
            return
        if caller not in self.opening:
            self.opening[caller] = self.loop.create_task(self._port_for(caller))
        self.opening[caller].add_done_callback(lambda task: task.result().transport.sendto(data, self.target))

    async def _port_for(self, caller: Place) -> _Port:
        _, port = await self.loop.create_datagram_endpoint(
            lambda: _Port(lambda data, _: self._from_softswitch(data, caller)), local_addr=("127.0.0.1", 0)
        )
        self.ports[caller] = port
        self.opening.pop(caller, None)
        return port

    def _from_softswitch(self, data: bytes, caller: Place) -> None:
        for after in self.back.fate():
            self.loop.call_later(after, self.front.transport.sendto, data, caller)
