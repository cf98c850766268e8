"""Emulators of roster servers and of the coordinator that count messages and bytes on their connections."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from typing import Any

from benchmarks.scaling.emulator_processes import ChangeEndpointRequest, Request, StatusRequest
from benchmarks.scaling.workload import SERVER_LINES
from stairhatch.emulators.coordinator_emulator import CoordinatorEmulator
from stairhatch.emulators.ports import Address
from stairhatch.emulators.server_emulator import ServerEmulator, ServerEmulatorConnection

LISTEN_BACKLOG = 2048  # all softswitches may connect at once


@dataclass(slots=True)
class ServerCounts:
    """Messages and bytes on the connections of roster servers so far, and the number of open connections."""

    messages_in: int = 0
    messages_out: int = 0
    bytes: int = 0  # in both directions
    connections: int = 0


@dataclass(frozen=True, slots=True)
class CoordinatorCounts:
    """Polls at the coordinator so far, and the bytes of their requests and answers."""

    polls: int
    bytes: int


class CountingConnection(ServerEmulatorConnection):
    """A roster server's connection that adds its messages and bytes to the server's counts."""

    server: CountingServer

    def send(self, message: dict[str, Any]) -> None:
        """Count a message and write it as one line."""
        self.server.counts.messages_out += 1
        self.server.counts.bytes += len(json.dumps(message)) + 1
        super().send(message)

    def data_received(self, data: bytes) -> None:
        """Count received lines and bytes, and process them."""
        self.server.counts.messages_in += data.count(b"\n")
        self.server.counts.bytes += len(data)
        super().data_received(data)


class CountingServer(ServerEmulator):
    """A roster server that counts messages and bytes; several servers may share one `counts` object."""

    enforces_lines = True

    def __init__(self, counts: ServerCounts, lines: int) -> None:
        super().__init__(lines=lines)
        self.counts = counts

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> CountingServer:
        """Listen on an address, with a backlog for all softswitches. Returns the emulator itself."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CountingConnection(self), host, port, backlog=LISTEN_BACKLOG
        )
        self.address = self._server.sockets[0].getsockname()[:2]
        return self


class BusyCoordinator(CoordinatorEmulator):
    """A coordinator whose listen backlog admits many softswitches that connect at once."""

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> BusyCoordinator:
        """Listen on an address, with a backlog for all softswitches. Returns the emulator itself."""
        self._server = await asyncio.start_server(self._serve_connection, host, port, backlog=LISTEN_BACKLOG)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self


@dataclass
class RosterServers:
    """An emulator service of `count` roster servers; its start message contains their addresses."""

    count: int
    lines: int = SERVER_LINES  # of each server

    async def start(self) -> list[Address]:
        """Start the servers. Returns their addresses."""
        self._counts = ServerCounts()
        self._servers = [await CountingServer(self._counts, self.lines).listen() for _ in range(self.count)]
        return [server.address for server in self._servers]

    def reply(self, _request: Request) -> ServerCounts:
        """Return the counts of all servers of the service."""
        self._counts.connections = sum(len(server.connections) for server in self._servers)
        return self._counts


@dataclass
class Coordinator:
    """An emulator service of one coordinator; its start message contains the coordinator's address."""

    records: list[dict[str, Any]]  # of the endpoint list

    async def start(self) -> Address:
        """Start the coordinator and publish all records. Returns its address."""
        self._coordinator = await BusyCoordinator().listen()
        self._coordinator.publish(self.records, reset=True)
        return self._coordinator.address

    def reply(self, request: Request) -> CoordinatorCounts | float:
        """Return the counts, or publish a changed record and return the Unix time of that in seconds."""
        match request:
            case ChangeEndpointRequest(record):
                published_at = time.time()
                self._coordinator.publish([record])
                return published_at
            case StatusRequest():
                emulator = self._coordinator
                return CoordinatorCounts(emulator.poll_count, emulator.poll_bytes + emulator.answer_bytes)
