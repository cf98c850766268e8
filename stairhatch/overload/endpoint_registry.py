"""The endpoints that are known, by the list of them. It keeps and marks them, and decides nothing."""

from collections.abc import Callable
from dataclasses import dataclass

from stairhatch.overload.endpoint import Endpoint
from stairhatch.overload.events import Availability, EndpointRecord, EndpointsUpdated


@dataclass(eq=False, repr=False)
class EndpointRegistry:
    """Adds endpoints that are listed, marks them as listed, and forgets those that are long gone."""

    endpoints: dict[int, Endpoint]
    new_endpoint: Callable[[EndpointRecord], Endpoint]
    listed: Callable[[float, Endpoint, EndpointRecord], None]  # called before a record takes effect
    keep_gone_s: float  # one that has gone is known for so long: it may return

    def update(self, now: float, event: EndpointsUpdated) -> None:
        """Take the complete list, or the records that changed. Rule 3 goes by the availability set here."""
        if event.complete:
            listed = {record.server_id for record in event.endpoints}
            for endpoint in self.endpoints.values():
                if endpoint.id not in listed:
                    endpoint.availability = Availability.GONE
        for record in event.endpoints:
            known = self.endpoints.get(record.server_id)
            if known is None:
                known = self.endpoints[record.server_id] = self.new_endpoint(record)
            self.listed(now, known, record)
            known.number, known.availability, known.listed_at = record.number, record.availability, now
        for endpoint in list(self.endpoints.values()):
            gone = endpoint.availability is Availability.GONE and not endpoint.pending_setups
            if gone and now - endpoint.listed_at > self.keep_gone_s:
                del self.endpoints[endpoint.id]
