"""What one node knows of the call servers, by their list, and of busy called numbers.

Times are seconds, points in time on the node's own clock. Nothing here decides anything: the parts of the
controller read and write the records.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from stairhatch.overload.events import Availability, EndpointRecord, EndpointsUpdated


@dataclass(slots=True, eq=False, repr=False)
class Endpoint:
    """One call server, as this node sees it."""

    id: int
    number: int
    # ---- the endpoint list ----
    availability: Availability = Availability.READY
    listed_at: float = 0.0
    started_at: float | None = None  # None: long ago, or unknown
    # ---- the delay, and what it leads to ----
    flagged: bool = False  # congested: raised and lowered with hysteresis
    reported_delay_s: float = 0.0  # by its last load report
    reported_at: float = -1e9
    measured_delay_s: float = 0.0  # of the own set-up answered last, beyond the fastest
    measured_at: float = -1e9
    fastest_setup_s: float = float("inf")  # the shortest set-up ever: no queueing delay in it
    throttle_fraction: float = 0.0  # of new set-ups, that it asks to reject
    # ---- the own set-ups there ----
    pending_setups: dict[int, float] = field(default_factory=dict)  # call id -> when sent, oldest first
    loss_seen_at: float = -1e9  # when a set-up was last found to be lost
    established_rate: float = 0.0  # own set-ups established a second
    established_at: float = 0.0  # the last of them
    concurrency_limit: float = 1.0  # on pending set-ups
    limit_reduced: bool = False  # some answer was slow
    limit_cut_at: float = -1e9
    limit_adapted_at: float = 0.0
    tokens: float = 0.0  # of the token bucket in use while the limit is below 1
    tokens_at: float = -1e9
    # ---- slow start ----
    slot_progress: float = 0.0  # the fraction of the interval to this node's next slot that has gone by
    slot_progress_at: float = 0.0
    slot_open_until: float = -1e9  # an open slot lapses then
    # ---- ejection ----
    ejected: bool = False  # it rejected or failed the last set-ups, or could not be reached
    ejected_until: float = 0.0
    next_ejection_s: float = 0.0  # how long the next ejection lasts; 0: the shortest time
    unreachable: bool = False
    attributed_errors: int = 0  # to calls that another established, since its last answer
    # ---- lines and rate, by its load reports ----
    has_free_line: bool = True  # for this node
    lines_reported_at: float = -1e9
    lines_in_use: float | None = None  # by all nodes' calls
    total_lines: float = 0.0  # 0: unknown
    admissible_rate: float = 0.0  # set-ups a second that it could take from all nodes; 0: unknown

    def oldest_pending_s(self, now: float) -> float:
        """The age of the oldest pending set-up; 0 where there is none."""
        for sent in self.pending_setups.values():
            return now - sent
        return 0.0

    def count_established(self, now: float, memory_s: float) -> None:
        """Keep the rate of own set-ups that were established, averaged over the time given."""
        gone = min(1.0, (now - self.established_at) / memory_s)
        self.established_rate = self.established_rate * (1 - gone) + 1 / memory_s
        self.established_at = now

    def record_delay(self, now: float, delay_s: float) -> None:
        """Keep the delay of the own set-up that was answered, or given up, last."""
        self.measured_delay_s, self.measured_at = delay_s, now

    def restarted(self, started_at: float) -> None:
        """Forget the state that another process of this server was in."""
        self.started_at = started_at
        self.flagged = False
        self.unreachable = False
        self.readmit()
        self.ejected_until = 0.0

    def begin_slow_start(self, now: float, slot_progress: float, tokens: float) -> None:
        """Another process warms up: its first slot has come so near; the tokens are for later."""
        self.slot_progress = slot_progress
        self.slot_progress_at = now
        self.slot_open_until = now
        self.admissible_rate = 0.0
        self.lines_in_use = None
        self.tokens = tokens

    def latest_delay_s(self, now: float, lifetime_s: float) -> float:
        """The fresher of measured and reported delay; 0 where it is older than its lifetime."""
        if now - max(self.measured_at, self.reported_at) > lifetime_s:
            return 0.0
        return self.measured_delay_s if self.measured_at >= self.reported_at else self.reported_delay_s

    def readmit(self) -> None:
        """End its ejection. The next one begins with the shortest time."""
        self.ejected = False
        self.next_ejection_s = 0.0


@dataclass(slots=True, eq=False, repr=False)
class DestinationBackoff:
    """A called number whose lines were all busy."""

    interval_s: float = 0.0  # between trial calls
    next_trial_at: float = 0.0


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
