"""The endpoints that are known, by the list of them. It keeps and marks them, and decides nothing."""

from collections.abc import Callable

from stairhatch.overload.endpoint import Endpoint
from stairhatch.overload.events import Availability, EndpointRecord, EndpointsUpdated


class EndpointRegistry:
    """Adds endpoints that are listed, marks them as listed, and forgets those that are long gone."""

    def __init__(
        self,
        endpoints: dict[int, Endpoint],
        new_endpoint: Callable[[EndpointRecord], Endpoint],
        listed: Callable[[float, Endpoint, EndpointRecord], None],
        keep_gone_s: float,
    ) -> None:
        """Keep `endpoints` up to date. `listed` is called before a record takes effect.

        An endpoint that has gone is known for `keep_gone_s`: it may return.
        """
        self.endpoints = endpoints
        self.new_endpoint = new_endpoint
        self.listed = listed
        self.keep_gone_s = keep_gone_s

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
