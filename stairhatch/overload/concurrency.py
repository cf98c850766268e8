"""Extension: the adaptive concurrency limit, and the token bucket below one pending set-up at a time."""

import random
from dataclasses import dataclass

from stairhatch.overload.averages import CallDurations
from stairhatch.overload.congestion import CongestionControl
from stairhatch.overload.endpoint import Endpoint
from stairhatch.overload.events import EndpointRecord
from stairhatch.overload.thresholds import Thresholds

LIMIT_STEP = 0.5  # how far one answered set-up may move the limit
MAX_LIMIT = 64.0  # of one node
FAIR_LIMIT_SLACK = 2.0  # a node's limit is first this multiple of its fraction: nodes have unequal callers
MIN_CUT_FACTOR = 0.25  # one long delay leaves at least this much of a limit below 1
GROWTH_SPAN_S = 3.0  # a limit below 1 may double in this time
BURST_SIZE = 2.0  # tokens that a node may save up at an endpoint
OVERTAKE_S = 0.1  # beyond the fastest set-up, so that mere jitter is no overtaking


@dataclass(eq=False, repr=False)
class ConcurrencyControl:
    """Bounds the own pending set-ups at an endpoint so that its delay stays at the onset."""

    thresholds: Thresholds
    congestion: CongestionControl
    durations: CallDurations
    rng: random.Random

    def new_endpoint(self, record: EndpointRecord) -> Endpoint:
        """What is known of an endpoint that is listed for the first time."""
        limit = self.thresholds.initial_limit
        return Endpoint(record.server_id, record.number, concurrency_limit=limit, tokens=BURST_SIZE)

    def has_token(self, now: float, endpoint: Endpoint) -> bool:
        """Whether the bucket holds a token; it fills at the pace of the limit, while that is below 1."""
        if endpoint.concurrency_limit >= 1:
            endpoint.tokens, endpoint.tokens_at = BURST_SIZE, now
            return True
        delay = max(self.congestion.queueing_delay(now, endpoint), self.thresholds.onset_s)
        pace = endpoint.concurrency_limit / delay
        endpoint.tokens = min(BURST_SIZE, endpoint.tokens + pace * (now - endpoint.tokens_at))
        endpoint.tokens_at = now
        return endpoint.tokens >= 1

    def adapt_to_answer(self, now: float, endpoint: Endpoint, pending: int) -> None:
        """Move the limit by the delay of an answered set-up; `pending` counts that one too."""
        if endpoint.concurrency_limit < 1:
            self.adapt_to_delay(now, endpoint, endpoint.measured_delay_s)
            return
        step = LIMIT_STEP * (1 - endpoint.measured_delay_s / self.thresholds.onset_s)
        step = max(-LIMIT_STEP, min(LIMIT_STEP, step))
        if step > 0 and pending + 1 < endpoint.concurrency_limit:
            return
        endpoint.limit_reduced = endpoint.limit_reduced or step < 0
        moved = min(MAX_LIMIT, endpoint.concurrency_limit + step)
        endpoint.concurrency_limit = max(self.thresholds.min_limit, moved)

    def adapt_to_delay(self, now: float, endpoint: Endpoint, delay_s: float) -> None:
        """Move a limit below 1 by the delay and the time since it moved; it is cut at most once a delay."""
        if endpoint.concurrency_limit >= 1:
            return
        onset_s = self.thresholds.onset_s
        if delay_s > onset_s:
            if now - endpoint.limit_cut_at > min(delay_s, self.thresholds.objective_s):
                cut = endpoint.concurrency_limit * max(MIN_CUT_FACTOR, onset_s / delay_s)
                endpoint.concurrency_limit = max(self.thresholds.min_limit, cut)
                endpoint.limit_cut_at, endpoint.limit_reduced = now, True
                endpoint.tokens = min(endpoint.tokens, self.rng.random())  # saved up, they are a flood by now
        elif endpoint.tokens < 1:
            grown = min(1.0, (now - endpoint.limit_adapted_at) / GROWTH_SPAN_S) * (1 - delay_s / onset_s)
            endpoint.concurrency_limit *= 1 + grown
        endpoint.limit_adapted_at = now

    def adapt_to_timeout(self, now: float, endpoint: Endpoint) -> None:
        """Halve the limit after a set-up that had no answer in time."""
        if endpoint.concurrency_limit >= 1:
            endpoint.concurrency_limit = max(self.thresholds.min_limit, endpoint.concurrency_limit / 2)
        self.adapt_to_delay(now, endpoint, endpoint.measured_delay_s)

    def raise_to_fair_limit(self, endpoint: Endpoint) -> None:
        """Until an answer was slow, allow the node's fraction of what the endpoint can do, by its lines."""
        expected_s = self.durations.expected.mean
        if endpoint.limit_reduced or endpoint.lines_in_use is None or expected_s <= 0:
            return
        sustained = FAIR_LIMIT_SLACK * self.thresholds.onset_s * endpoint.lines_in_use / expected_s
        fair = sustained / self.thresholds.settings.instance_count
        endpoint.concurrency_limit = max(endpoint.concurrency_limit, fair)

    def drop_overtaken(self, now: float, endpoint: Endpoint, sent_at: float) -> None:
        """A set-up overtaken by one sent clearly later, or by a report, is lost and holds no place."""
        for call_id, other_at in list(endpoint.pending_setups.items()):
            if other_at + min(endpoint.fastest_setup_s, self.thresholds.onset_s) + OVERTAKE_S >= sent_at:
                break
            del endpoint.pending_setups[call_id]
            endpoint.loss_seen_at = now
