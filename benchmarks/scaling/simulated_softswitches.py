"""Many partial softswitches in one process, each with only its coordinator or its server connection."""

from __future__ import annotations

import random
import time
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any

from benchmarks.scaling.emulator_processes import Request
from benchmarks.scaling.workload import settings_json
from stairhatch.components import steady_unix_clock
from stairhatch.emulators.ports import Address
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import ServerRecord
from stairhatch.node.counters import Counters
from stairhatch.node.io.network import Network
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.node.service_discovery import ServiceDiscoveryClient
from stairhatch.overload.events import Availability
from stairhatch.settings.parser import settings_from_object

SETTINGS_SERVERS = 24


def create_call_manager() -> CallManager:
    """Return a new call manager that has no frontends and discards its log."""
    return CallManager(
        settings_from_object(settings_json(SETTINGS_SERVERS)).settings,
        random.Random(1),
        steady_unix_clock(),
        lambda *_arguments, **_fields: None,
        Counters(),
    )


class NoServerPool:
    """A server connection pool that opens no connections."""

    def record_changed(self, _server: object) -> None:
        """Ignore the changed server record."""


@dataclass(slots=True)
class FollowerStatus:
    """The smallest update count among the followers, and the time of the latest update of any follower."""

    updates: int = 0
    last_update_at: float = 0.0  # Unix time


@dataclass
class ListFollowers:
    """An emulator service of softswitches that poll the coordinator and don't connect to servers."""

    count: int
    coordinator: Address

    async def start(self) -> None:
        """Start polling the coordinator."""
        self._updates = [0] * self.count
        self._last_update_at = 0.0
        for index in range(self.count):
            call_manager = create_call_manager()
            call_manager.servers.pool = NoServerPool()  # type: ignore[assignment]
            network = Network(call_manager)
            client = ServiceDiscoveryClient(call_manager, self.coordinator, 0)
            update_servers = call_manager.update_servers
            call_manager.update_servers = partial(  # type: ignore[method-assign]
                self._record, index, update_servers
            )
            network.spawn(network.poll_service_discovery(client))

    def reply(self, _request: Request) -> FollowerStatus:
        """Return the update status of all followers of the service."""
        return FollowerStatus(min(self._updates), self._last_update_at)

    def _record(self, index: int, update_servers: Any, records: Iterable[Any], complete: bool) -> None:
        update_servers(records, complete)
        self._updates[index] += 1
        self._last_update_at = time.time()


@dataclass
class ServerClients:
    """An emulator service of softswitches that each connect to the same roster server."""

    count: int
    server: Address

    async def start(self) -> None:
        """Start the connections to the roster server."""
        record = ServerRecord("one", (self.server[0], self.server[1]), 0, Availability.READY)
        self._call_managers = []
        for _ in range(self.count):
            call_manager = create_call_manager()
            ServerConnectionPool(call_manager, Network(call_manager).dial)
            call_manager.update_servers([record], complete=True)
            self._call_managers.append(call_manager)

    def reply(self, _request: Request) -> int:
        """Return how many softswitches are connected to the roster server."""
        return sum(call_manager.servers.by_id[1].connected for call_manager in self._call_managers)
