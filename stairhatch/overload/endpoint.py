"""The state that one node records for each call server and for each busy called number.

Durations are seconds; points in time are seconds on the node's own clock. This module makes no decisions: the
parts of the controller read and write the records.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from stairhatch.overload.events import Availability, EndpointRecord, EndpointsUpdated


@dataclass(slots=True, eq=False, repr=False)
class Endpoint:
    """The state of one call server as this node has observed it."""

    id: int
    number: int
    # ---- state from the endpoint list ----
    availability: Availability = Availability.READY
    listed_at: float = 0.0
    started_at: float | None = None  # when the server started; None: long ago, or unknown
    # ---- delay and congestion of the server ----
    flagged: bool = False  # the server counts as congested; set and cleared with hysteresis
    reported_delay_s: float = 0.0  # queueing delay by the last load report
    reported_at: float = -1e9
    measured_delay_s: float = 0.0  # duration of this node's last answered set-up, less `fastest_setup_s`
    measured_at: float = -1e9
    fastest_setup_s: float = float("inf")  # the shortest set-up so far, assumed free of queueing delay
    throttle_fraction: float = 0.0  # fraction of new set-ups to reject, by the last load report
    # ---- this node's set-ups at the server ----
    pending_setups: dict[int, float] = field(default_factory=dict)  # call id -> time sent, oldest first
    loss_seen_at: float = -1e9  # when a set-up was last found to be lost
    established_rate: float = 0.0  # this node's established set-ups per second
    established_at: float = 0.0  # when this node's last set-up was established
    concurrency_limit: float = 1.0  # limit on this node's pending set-ups
    limit_reduced: bool = False  # a slow answer has reduced the limit
    limit_cut_at: float = -1e9  # when a limit below 1 was last cut
    limit_adapted_at: float = 0.0  # when a limit below 1 was last adapted
    tokens: float = 0.0  # tokens in the bucket, which is used while the limit is below 1
    tokens_at: float = -1e9  # when the bucket was last refilled
    # ---- slow start of the server ----
    slot_progress: float = 0.0  # elapsed fraction of the interval before this node's next slot
    slot_progress_at: float = 0.0
    slot_open_until: float = -1e9  # when the open slot lapses
    # ---- ejection of the server ----
    ejected: bool = False  # the server rejected or failed the last set-ups, or was unreachable
    ejected_until: float = 0.0
    next_ejection_s: float = 0.0  # duration of the next ejection; 0: the shortest duration
    unreachable: bool = False
    attributed_errors: int = 0  # errors to calls established elsewhere, since this server's last answer
    # ---- lines and rate by the server's load reports ----
    has_free_line: bool = True  # whether this node may use one of the server's free lines
    lines_reported_at: float = -1e9
    lines_in_use: float | None = None  # lines that the calls of all nodes use; None: unknown
    total_lines: float = 0.0  # 0: unknown
    admissible_rate: float = 0.0  # set-ups per second that the server accepts from all nodes; 0: unknown

    def oldest_pending_s(self, now: float) -> float:
        """Return the age of the oldest pending set-up, or 0 without pending set-ups."""
        for sent_at in self.pending_setups.values():
            return now - sent_at
        return 0.0

    def count_established(self, now: float, time_constant_s: float) -> None:
        """Include one established set-up in `established_rate`, averaged over `time_constant_s`."""
        elapsed_fraction = min(1.0, (now - self.established_at) / time_constant_s)
        self.established_rate = self.established_rate * (1 - elapsed_fraction) + 1 / time_constant_s
        self.established_at = now

    def record_delay(self, now: float, delay_s: float) -> None:
        """Record the delay of this node's last set-up that was answered or timed out."""
        self.measured_delay_s, self.measured_at = delay_s, now

    def reset_after_restart(self, started_at: float) -> None:
        """Clear the congestion and the ejection that were observed on the server's previous process."""
        self.started_at = started_at
        self.flagged = False
        self.unreachable = False
        self.readmit()
        self.ejected_until = 0.0

    def begin_slow_start(self, now: float, slot_progress: float, tokens: float) -> None:
        """Reset the state for a server process that is warming up.

        `slot_progress` is the elapsed fraction of the interval before this node's first slot; `tokens` are
        for the bucket that applies after slow start.
        """
        self.slot_progress = slot_progress
        self.slot_progress_at = now
        self.slot_open_until = now
        self.admissible_rate = 0.0
        self.lines_in_use = None
        self.tokens = tokens

    def latest_delay_s(self, now: float, lifetime_s: float) -> float:
        """Return the more recent of measured and reported delay, or 0 if both are older than `lifetime_s`."""
        if now - max(self.measured_at, self.reported_at) > lifetime_s:
            return 0.0
        return self.measured_delay_s if self.measured_at >= self.reported_at else self.reported_delay_s

    def readmit(self) -> None:
        """End the server's ejection. The next ejection lasts the shortest duration."""
        self.ejected = False
        self.next_ejection_s = 0.0


@dataclass(slots=True, eq=False, repr=False)
class DestinationBackoff:
    """The backoff from a called number whose lines were all busy."""

    interval_s: float = 0.0  # interval between trial calls to the number
    next_trial_at: float = 0.0


class EndpointRegistry:
    """Applies the endpoint list: adds endpoints, updates their availability and removes those long gone."""

    def __init__(
        self,
        endpoints: dict[int, Endpoint],
        new_endpoint: Callable[[EndpointRecord], Endpoint],
        before_update: Callable[[float, Endpoint, EndpointRecord], None],
        gone_retention_s: float,
    ) -> None:
        """Create a registry that updates `endpoints`, and calls `before_update` before it applies a record.

        An endpoint that has gone is kept for `gone_retention_s`, because it may return.
        """
        self.endpoints = endpoints
        self.new_endpoint = new_endpoint
        self.before_update = before_update
        self.gone_retention_s = gone_retention_s

    def update(self, now: float, event: EndpointsUpdated) -> None:
        """Apply the complete list, or the changed records. Only READY servers get set-ups (rule 3)."""
        if event.complete:
            listed_ids = {record.server_id for record in event.endpoints}
            for endpoint in self.endpoints.values():
                if endpoint.id not in listed_ids:
                    endpoint.availability = Availability.GONE
        for record in event.endpoints:
            known = self.endpoints.get(record.server_id)
            if known is None:
                known = self.endpoints[record.server_id] = self.new_endpoint(record)
            self.before_update(now, known, record)
            known.number, known.availability, known.listed_at = record.number, record.availability, now
        for endpoint in list(self.endpoints.values()):
            removable = endpoint.availability is Availability.GONE and not endpoint.pending_setups
            if removable and now - endpoint.listed_at > self.gone_retention_s:
                del self.endpoints[endpoint.id]
