"""Hysteretic congestion control (Roughan and Pearce): a flag per endpoint, and throttling while it is up."""

from stairhatch.overload.endpoint import Endpoint
from stairhatch.overload.pending_queue import PendingCall
from stairhatch.overload.thresholds import EVIDENCE_LIFETIME_S, Thresholds

THROTTLE_FRACTION = 0.5  # of the class of least weight, while flagged (the paper's percentage throttling)
MAX_THROTTLE_FRACTION = 0.95  # no class is shut out altogether


class CongestionControl:
    """Raises the flag above the onset delay, and lowers it at the abatement delay."""

    def __init__(self, thresholds: Thresholds) -> None:
        """Go by these thresholds, also when they change."""
        self.thresholds = thresholds

    def queueing_delay(self, now: float, endpoint: Endpoint) -> float:
        """The fresher of reported and measured delay, or the age of the oldest pending set-up, if longer."""
        known = endpoint.latest_delay_s(now, EVIDENCE_LIFETIME_S)
        if endpoint.ejected:
            return max(known, self.thresholds.objective_s)
        fastest = min(endpoint.fastest_setup_s, self.thresholds.onset_s)
        return max(known, endpoint.oldest_pending_s(now) - fastest)

    def is_flagged(self, now: float, endpoint: Endpoint) -> bool:
        """Bring the flag up to date; returns it."""
        delay, throttled = self.queueing_delay(now, endpoint), endpoint.throttle_fraction > 0
        if endpoint.flagged and delay <= self.thresholds.abatement_s and not throttled:
            endpoint.flagged = False
        elif not endpoint.flagged and (delay > self.thresholds.onset_s or throttled):
            endpoint.flagged = True
        return endpoint.flagged

    def throttle_fraction(self, call: PendingCall, endpoint: Endpoint) -> float:
        """The fraction of new calls rejected at a flagged endpoint: what it asks for, else by weight."""
        if endpoint.throttle_fraction > 0:
            return min(1.0, endpoint.throttle_fraction)
        fraction = THROTTLE_FRACTION * self.thresholds.min_weight / max(call.weight, 1e-9)
        return min(MAX_THROTTLE_FRACTION, fraction)
