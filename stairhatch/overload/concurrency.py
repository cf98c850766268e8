"""Extension: the adaptive concurrency limit, and the token bucket that applies while the limit is below 1."""

import random
from dataclasses import dataclass

from stairhatch.overload.averages import CallDurations
from stairhatch.overload.congestion import CongestionControl
from stairhatch.overload.endpoint import Endpoint
from stairhatch.overload.events import EndpointRecord
from stairhatch.overload.thresholds import Thresholds

LIMIT_STEP = 0.5  # pending set-ups: the most that one answered set-up changes the limit by
MAX_LIMIT = 64.0  # pending set-ups of one node at one endpoint
FAIR_LIMIT_FACTOR = 2.0  # first limit, as a multiple of the node's even share: nodes have unequal callers
MIN_CUT_FACTOR = 0.25  # one long delay leaves at least this fraction of a limit below 1
DOUBLING_TIME_S = 3.0  # a limit below 1 doubles in this time at the fastest
BURST_SIZE = 2.0  # tokens that a node may accumulate at an endpoint
OVERTAKE_MARGIN_S = 0.1  # added to the fastest set-up, so that jitter alone doesn't count as overtaking


@dataclass(eq=False, repr=False)
class ConcurrencyControl:
    """Limits this node's pending set-ups at an endpoint so that the endpoint's delay stays at the onset."""

    thresholds: Thresholds
    congestion: CongestionControl
    durations: CallDurations
    rng: random.Random

    def new_endpoint(self, record: EndpointRecord) -> Endpoint:
        """Return the initial state of an endpoint that is listed for the first time."""
        limit = self.thresholds.initial_limit
        return Endpoint(record.server_id, record.number, concurrency_limit=limit, tokens=BURST_SIZE)

    def has_token(self, now: float, endpoint: Endpoint) -> bool:
        """Refill the bucket and return whether it holds a token. A limit of 1 or more keeps it full."""
        if endpoint.concurrency_limit >= 1:
            endpoint.tokens, endpoint.tokens_at = BURST_SIZE, now
            return True
        delay = max(self.congestion.queueing_delay(now, endpoint), self.thresholds.onset_s)
        tokens_per_s = endpoint.concurrency_limit / delay
        endpoint.tokens = min(BURST_SIZE, endpoint.tokens + tokens_per_s * (now - endpoint.tokens_at))
        endpoint.tokens_at = now
        return endpoint.tokens >= 1

    def adapt_to_answer(self, now: float, endpoint: Endpoint, pending: int) -> None:
        """Adapt the limit to the delay of an answered set-up; `pending` includes the answered one."""
        if endpoint.concurrency_limit < 1:
            self.adapt_to_delay(now, endpoint, endpoint.measured_delay_s)
            return
        step = LIMIT_STEP * (1 - endpoint.measured_delay_s / self.thresholds.onset_s)
        step = max(-LIMIT_STEP, min(LIMIT_STEP, step))
        if step > 0 and pending + 1 < endpoint.concurrency_limit:
            return
        endpoint.limit_reduced = endpoint.limit_reduced or step < 0
        adapted = min(MAX_LIMIT, endpoint.concurrency_limit + step)
        endpoint.concurrency_limit = max(self.thresholds.min_limit, adapted)

    def adapt_to_delay(self, now: float, endpoint: Endpoint, delay_s: float) -> None:
        """Adapt a limit below 1 to the delay: cut it at most once per delay, or let it grow with time."""
        if endpoint.concurrency_limit >= 1:
            return
        onset_s = self.thresholds.onset_s
        if delay_s > onset_s:
            if now - endpoint.limit_cut_at > min(delay_s, self.thresholds.objective_s):
                cut = endpoint.concurrency_limit * max(MIN_CUT_FACTOR, onset_s / delay_s)
                endpoint.concurrency_limit = max(self.thresholds.min_limit, cut)
                endpoint.limit_cut_at, endpoint.limit_reduced = now, True
                endpoint.tokens = min(endpoint.tokens, self.rng.random())  # avoids a burst of all nodes
        elif endpoint.tokens < 1:
            growth = min(1.0, (now - endpoint.limit_adapted_at) / DOUBLING_TIME_S) * (1 - delay_s / onset_s)
            endpoint.concurrency_limit *= 1 + growth
        endpoint.limit_adapted_at = now

    def adapt_to_timeout(self, now: float, endpoint: Endpoint) -> None:
        """Halve a limit of 1 or more after a timeout; then adapt a limit below 1 to the measured delay."""
        if endpoint.concurrency_limit >= 1:
            endpoint.concurrency_limit = max(self.thresholds.min_limit, endpoint.concurrency_limit / 2)
        self.adapt_to_delay(now, endpoint, endpoint.measured_delay_s)

    def raise_to_fair_limit(self, endpoint: Endpoint) -> None:
        """Raise the limit, until an answer is slow, to the node's share of the load by the lines in use."""
        expected_s = self.durations.expected.mean
        if endpoint.limit_reduced or endpoint.lines_in_use is None or expected_s <= 0:
            return
        fleet_limit = FAIR_LIMIT_FACTOR * self.thresholds.onset_s * endpoint.lines_in_use / expected_s
        fair_limit = fleet_limit / self.thresholds.settings.instance_count
        endpoint.concurrency_limit = max(endpoint.concurrency_limit, fair_limit)

    def drop_overtaken(self, now: float, endpoint: Endpoint, sent_at: float) -> None:
        """Drop, as lost, the pending set-ups sent clearly before one that was answered or reported on."""
        for call_id, since in list(endpoint.pending_setups.items()):
            if since + min(endpoint.fastest_setup_s, self.thresholds.onset_s) + OVERTAKE_MARGIN_S >= sent_at:
                break
            del endpoint.pending_setups[call_id]
            endpoint.loss_seen_at = now
