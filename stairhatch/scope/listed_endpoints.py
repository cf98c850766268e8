"""The complete endpoint list as last received, including endpoints that are out of scope."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field

from stairhatch.overload.events import Availability, EndpointRecord
from stairhatch.scope.server_sets import ServerNumbers


@dataclass(slots=True)
class ListedEndpoints:
    """The records of the endpoint list, by server id and by server number."""

    by_id: dict[int, EndpointRecord] = field(default_factory=dict)
    gone: set[int] = field(default_factory=set)  # ids of removed servers that their set has not dropped yet
    _by_number: dict[int, dict[int, None]] = field(default_factory=dict)  # number -> ids, oldest first

    def records_of(self, numbers: ServerNumbers) -> tuple[EndpointRecord, ...]:
        """Return the records of servers with these numbers, without the servers that are gone."""
        found = list(self.by_id)
        if numbers is not None:
            found = sorted(each for number in numbers for each in self._by_number.get(number, ()))
        return tuple(self.by_id[each] for each in found if each not in self.gone)

    def count_at(self, number: int) -> int:
        """Return how many servers have this number, including those that are gone but not removed yet."""
        return len(self._by_number.get(number, ()))

    def put(self, record: EndpointRecord) -> None:
        """Add one record, or replace the earlier record of the same server."""
        old = self.by_id.get(record.server_id)
        if old is not None and old.number != record.number:
            self._by_number[old.number].pop(record.server_id, None)
        self.by_id[record.server_id] = record
        self._by_number.setdefault(record.number, {})[record.server_id] = None
        if record.availability is Availability.GONE:
            self.gone.add(record.server_id)
        else:
            self.gone.discard(record.server_id)

    def keep_only(self, listed: Container[int]) -> None:
        """Mark all servers that are missing in a complete list as gone."""
        for server_id, record in self.by_id.items():
            if server_id not in listed:
                self.by_id[server_id] = record._replace(availability=Availability.GONE)
                self.gone.add(server_id)

    def remove(self, server_id: int) -> None:
        """Remove the record of an endpoint that is gone; KeyError if it is not listed."""
        self.gone.discard(server_id)
        self._by_number[self.by_id.pop(server_id).number].pop(server_id, None)
