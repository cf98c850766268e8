"""The complete endpoint list as last notified, whether an endpoint is in scope or not."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field

from stairhatch.overload.events import Availability, EndpointRecord
from stairhatch.scope.server_sets import ServerNumbers


@dataclass(slots=True)
class ListedEndpoints:
    """The records of the list, by id and by number."""

    by_id: dict[int, EndpointRecord] = field(default_factory=dict)
    gone: set[int] = field(default_factory=set)  # ids that stay known until their set has forgotten them
    _by_number: dict[int, dict[int, None]] = field(default_factory=dict)  # ids, in the order they came

    def records_of(self, numbers: ServerNumbers) -> tuple[EndpointRecord, ...]:
        """The records of these numbers that are not gone."""
        found = list(self.by_id)
        if numbers is not None:
            found = sorted(each for number in numbers for each in self._by_number.get(number, ()))
        return tuple(self.by_id[each] for each in found if each not in self.gone)

    def count_at(self, number: int) -> int:
        """How many servers have this number."""
        return len(self._by_number.get(number, ()))

    def put(self, record: EndpointRecord) -> None:
        """Take one record of the list in."""
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
        """A complete list came: what is not in it has gone."""
        for server_id, record in self.by_id.items():
            if server_id not in listed:
                self.by_id[server_id] = record._replace(availability=Availability.GONE)
                self.gone.add(server_id)

    def remove(self, server_id: int) -> None:
        """Forget an endpoint that has gone."""
        self.gone.discard(server_id)
        self._by_number[self.by_id.pop(server_id).number].pop(server_id, None)
