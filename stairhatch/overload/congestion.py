"""Hysteretic congestion control (Roughan and Pearce): flags endpoints, and throttles the calls to them."""

from stairhatch.overload.endpoint import Endpoint
from stairhatch.overload.pending_queue import PendingCall
from stairhatch.overload.thresholds import EVIDENCE_LIFETIME_S, Thresholds

THROTTLE_FRACTION = 0.5  # of calls of the least weight, while flagged (the paper's percentage throttling)
MAX_THROTTLE_FRACTION = 0.95  # below 1, so that no class is rejected entirely


class CongestionControl:
    """Raises an endpoint's congestion flag above the onset delay and clears it at the abatement delay."""

    def __init__(self, thresholds: Thresholds) -> None:
        """Use `thresholds`, including their later updates."""
        self.thresholds = thresholds

    def queueing_delay(self, now: float, endpoint: Endpoint) -> float:
        """Return seconds: the latest known delay, or the wait of the oldest pending set-up if longer."""
        latest_s = endpoint.latest_delay_s(now, EVIDENCE_LIFETIME_S)
        if endpoint.ejected:  # its delay counts as at least the objective
            return max(latest_s, self.thresholds.objective_s)
        fastest_s = min(endpoint.fastest_setup_s, self.thresholds.onset_s)
        return max(latest_s, endpoint.oldest_pending_s(now) - fastest_s)

    def is_flagged(self, now: float, endpoint: Endpoint) -> bool:
        """Update the congestion flag of an endpoint and return it."""
        delay, throttled = self.queueing_delay(now, endpoint), endpoint.throttle_fraction > 0
        if endpoint.flagged and delay <= self.thresholds.abatement_s and not throttled:
            endpoint.flagged = False
        elif not endpoint.flagged and (delay > self.thresholds.onset_s or throttled):
            endpoint.flagged = True
        return endpoint.flagged

    def throttle_fraction(self, call: PendingCall, endpoint: Endpoint) -> float:
        """Return the fraction of new calls to reject at a flagged endpoint: as reported, else by weight."""
        if endpoint.throttle_fraction > 0:
            return min(1.0, endpoint.throttle_fraction)
        fraction = THROTTLE_FRACTION * self.thresholds.min_weight / max(call.weight, 1e-9)
        return min(MAX_THROTTLE_FRACTION, fraction)
