"""The roster servers that the service discovery lists, and which of them are in scope."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator
from itertools import count
from typing import NamedTuple

from stairhatch.node.calls import RosterServer, ServerRecord
from stairhatch.node.context import ServerPool
from stairhatch.overload.events import Availability


class ServerChange(NamedTuple):
    """What an update has changed at one server."""

    server: RosterServer
    lost_before: float = 0.0  # calls that were established there before this time are lost
    has_restarted: bool = False  # the list names a later start; else calls are lost as it is gone
    is_listed: bool = True  # the update names it


class ServerRegistry:
    """Roster servers by the id given to them here and by the coordinator's instance id."""

    def __init__(self) -> None:
        """Begin with no server, all numbers being in scope."""
        self.by_id: dict[int, RosterServer] = {}
        self.by_instance: dict[str, RosterServer] = {}
        self.in_scope: Callable[[int], bool] | None = None  # whether a number is connected to; None: all are
        self.list_confirmed_at = -math.inf  # the last complete answer of the coordinator; inf: a fixed list
        self.pool: ServerPool  # the connections to them; it attaches itself
        self._ids = count(1)

    def is_in_scope(self, server: RosterServer) -> bool:
        """Whether a connection to a server is wanted."""
        return self.in_scope is None or self.in_scope(server.record.number)

    def update(self, records: Iterable[ServerRecord], complete: bool) -> Iterator[ServerChange]:
        """Apply records of the endpoint list, and yield each change as it is made.

        A `complete` list makes those servers GONE that it does not name.
        """
        named = set()
        for record in records:
            named.add(record.instance)
            server = self.by_instance.get(record.instance)
            if server is None and record.availability is Availability.GONE:
                continue  # it has been forgotten
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
            yield from self._remove_unnamed(named)

    def _remove_unnamed(self, named: set[str]) -> Iterator[ServerChange]:
        for server in self.by_id.values():
            record = server.record
            if record.instance not in named and record.availability is not Availability.GONE:
                server.record = record._replace(availability=Availability.GONE)
                yield ServerChange(server, math.inf, is_listed=False)

    def forget(self, server: RosterServer) -> None:
        """Drop a server that is GONE and to which no connection is left."""
        if server.record.availability is Availability.GONE:
            self.by_id.pop(server.id, None)
            if self.by_instance.get(server.record.instance) is server:
                del self.by_instance[server.record.instance]
