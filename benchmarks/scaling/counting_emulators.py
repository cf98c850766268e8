"""Emulated roster servers and a coordinator that count what goes over their connections."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from typing import Any

from benchmarks.scaling.emulator_processes import ChangeEndpoint, Question, StatusQuestion
from benchmarks.scaling.workload import SERVER_LINES
from stairhatch.emulators.coordinator_emulator import CoordinatorEmulator
from stairhatch.emulators.ports import Address
from stairhatch.emulators.server_emulator import ServerEmulator, ServerEmulatorConnection

LISTEN_BACKLOG = 2048  # all softswitches may connect at once


@dataclass(slots=True)
class ServerCounts:
    """Messages and bytes on the connections of roster servers so far, and how many connections are open."""

    messages_in: int = 0
    messages_out: int = 0
    bytes: int = 0  # both ways
    connections: int = 0


@dataclass(frozen=True, slots=True)
class CoordinatorCounts:
    """Polls at the coordinator so far, and their bytes both ways."""

    polls: int
    bytes: int


class CountingConnection(ServerEmulatorConnection):
    """A connection whose messages are counted."""

    server: CountingServer

    def send(self, message: dict[str, Any]) -> None:
        """Write a line."""
        self.server.counts.messages_out += 1
        self.server.counts.bytes += len(json.dumps(message)) + 1
        super().send(message)

    def data_received(self, data: bytes) -> None:
        """Take lines of a softswitch."""
        self.server.counts.messages_in += data.count(b"\n")
        self.server.counts.bytes += len(data)
        super().data_received(data)


class CountingServer(ServerEmulator):
    """A roster server that counts; several may share their counts."""

    def __init__(self, counts: ServerCounts) -> None:
        super().__init__(lines=SERVER_LINES)
        self.counts = counts

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> CountingServer:
        """Begin to serve."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CountingConnection(self), host, port, backlog=LISTEN_BACKLOG
        )
        self.address = self._server.sockets[0].getsockname()[:2]
        return self


class BusyCoordinator(CoordinatorEmulator):
    """A coordinator that many softswitches connect to at once."""

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> BusyCoordinator:
        """Begin to serve."""
        self._server = await asyncio.start_server(self._serve_connection, host, port, backlog=LISTEN_BACKLOG)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self


@dataclass
class RosterServers:
    """A service of roster servers; its first answer are their addresses."""

    count: int

    async def start(self) -> list[Address]:
        """Begin to serve."""
        self._counts = ServerCounts()
        self._servers = [await CountingServer(self._counts).listen() for _ in range(self.count)]
        return [server.address for server in self._servers]

    def answer(self, _question: Question) -> ServerCounts:
        """Answer with the counts."""
        self._counts.connections = sum(len(server.connections) for server in self._servers)
        return self._counts


@dataclass
class Coordinator:
    """A service of one coordinator; its first answer is its address."""

    records: list[dict[str, Any]]  # of the endpoint list

    async def start(self) -> Address:
        """Begin to serve."""
        self._coordinator = await BusyCoordinator().listen()
        self._coordinator.publish(self.records, reset=True)
        return self._coordinator.address

    def answer(self, question: Question) -> CoordinatorCounts | float:
        """Answer with the counts, or publish a change and answer with its time."""
        match question:
            case ChangeEndpoint(record):
                published_at = time.time()
                self._coordinator.publish([record])
                return published_at
            case StatusQuestion():
                emulator = self._coordinator
                return CoordinatorCounts(emulator.poll_count, emulator.poll_bytes + emulator.answer_bytes)
