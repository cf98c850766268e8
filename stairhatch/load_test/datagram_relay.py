"""A datagram relay in front of a softswitch, which applies a link's conditions in both directions.

The relay owns one port for all callers and, towards the softswitch, one port per caller. It does not inspect
datagrams.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from stairhatch.emulators.ports import Address
from stairhatch.load_test.datagram_conditions import DatagramConditions, DatagramLink

LOOPBACK = "127.0.0.1"


class _Port(asyncio.DatagramProtocol):
    """A UDP port that passes each received datagram to a callback."""

    def __init__(self, on_received: Callable[[bytes, Address], None]) -> None:
        self.on_received = on_received
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]  # uvloop has own classes

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.on_received(data, addr)


class DatagramRelay:
    """Datagram relay between callers and one softswitch."""

    def __init__(self, target: Address, conditions: DatagramConditions, seed: int) -> None:
        """Create a relay to a softswitch's address that is not open yet; `seed` fixes its draws."""
        self.target = target
        self.loop = asyncio.get_running_loop()
        self.address: Address
        self._to_softswitch = DatagramLink(conditions, random.Random(seed * 2))
        self._to_callers = DatagramLink(conditions, random.Random(seed * 2 + 1))
        self._caller_side: _Port
        self._ports: dict[Address, _Port] = {}  # towards the softswitch, by the caller's address
        self._opening: dict[Address, asyncio.Task[_Port]] = {}

    async def open(self) -> DatagramRelay:
        """Open the callers' port, whose address is then `address`, and return itself."""
        transport, self._caller_side = await self.loop.create_datagram_endpoint(
            lambda: _Port(self._received_from_caller), local_addr=(LOOPBACK, 0)
        )
        self.address = transport.get_extra_info("sockname")[:2]
        return self

    def close(self) -> None:
        """Close all ports of the relay."""
        self._caller_side.transport.close()
        for port in self._ports.values():
            port.transport.close()

    def _received_from_caller(self, data: bytes, caller: Address) -> None:
        for delay_s in self._to_softswitch.draw_delays_s():
            self.loop.call_later(delay_s, self._send_to_softswitch, data, caller)

    def _send_to_softswitch(self, data: bytes, caller: Address) -> None:
        port = self._ports.get(caller)
        if port is not None:
            port.transport.sendto(data, self.target)
            return
        if caller not in self._opening:
            self._opening[caller] = self.loop.create_task(self._open_port_for(caller))
        self._opening[caller].add_done_callback(
            lambda task: task.result().transport.sendto(data, self.target)
        )

    async def _open_port_for(self, caller: Address) -> _Port:
        _, port = await self.loop.create_datagram_endpoint(
            lambda: _Port(lambda data, _: self._received_from_softswitch(data, caller)),
            local_addr=(LOOPBACK, 0),
        )
        self._ports[caller] = port
        self._opening.pop(caller, None)
        return port

    def _received_from_softswitch(self, data: bytes, caller: Address) -> None:
        for delay_s in self._to_callers.draw_delays_s():
            self.loop.call_later(delay_s, self._caller_side.transport.sendto, data, caller)
