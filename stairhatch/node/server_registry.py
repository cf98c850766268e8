"""The registry of the roster servers that the service discovery lists, with the scope of this softswitch."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator
from itertools import count
from typing import NamedTuple

from stairhatch.node.calls import RosterServer, ServerRecord
from stairhatch.node.context import ServerPool
from stairhatch.overload.events import Availability


class ServerChange(NamedTuple):
    """The change that an update has made to one server."""

    server: RosterServer
    lost_before: float = 0.0  # calls established at the server before this time are lost; 0: none
    has_restarted: bool = False  # the record has a later start; else a loss means that the server is gone
    is_listed: bool = True  # the update contains a record of the server


class ServerRegistry:
    """The registry of roster servers, by the id assigned here and by the coordinator's instance id."""

    def __init__(self) -> None:
        """Create an empty registry with all server numbers in scope."""
        self.by_id: dict[int, RosterServer] = {}
        self.by_instance: dict[str, RosterServer] = {}
        self.in_scope: Callable[[int], bool] | None = None  # whether a server number is in scope; None: all
        self.list_confirmed_at = -math.inf  # time of the last complete answer; inf: a fixed list
        self.pool: ServerPool  # the pool of connections, which sets this attribute itself
        self._ids = count(1)

    def is_in_scope(self, server: RosterServer) -> bool:
        """Return whether this softswitch connects to a server."""
        return self.in_scope is None or self.in_scope(server.record.number)

    def update(self, records: Iterable[ServerRecord], complete: bool) -> Iterator[ServerChange]:
        """Apply records of the endpoint list, and yield each change as soon as it is made.

        If the list is `complete`, servers that it does not contain become GONE.
        """
        listed = set()
        for record in records:
            listed.add(record.instance)
            server = self.by_instance.get(record.instance)
            if server is None and record.availability is Availability.GONE:
                continue  # already removed from the registry
            if server is None:
                server = RosterServer(next(self._ids), record)
                self.by_id[server.id] = server
                self.by_instance[record.instance] = server
            restarted = record.started_at > server.record.started_at
            server.record = record
            lost_before = 0.0
            if restarted:
                lost_before = record.started_at
            elif record.availability is Availability.GONE:
                lost_before = math.inf
            yield ServerChange(server, lost_before, restarted)
        if complete:
            yield from self._remove_unlisted(listed)

    def _remove_unlisted(self, listed: set[str]) -> Iterator[ServerChange]:
        for server in self.by_id.values():
            record = server.record
            if record.instance not in listed and record.availability is not Availability.GONE:
                server.record = record._replace(availability=Availability.GONE)
                yield ServerChange(server, math.inf, is_listed=False)

    def forget(self, server: RosterServer) -> None:
        """Remove a server that is GONE; the caller makes sure that no connection to it is left."""
        if server.record.availability is Availability.GONE:
            self.by_id.pop(server.id, None)
            if self.by_instance.get(server.record.instance) is server:
                del self.by_instance[server.record.instance]
