"""The choice of an endpoint for a call: the first choice while unflagged, else the better of two drawn."""

import math
import random
from dataclasses import dataclass

from stairhatch.overload.concurrency import ConcurrencyControl
from stairhatch.overload.congestion import CongestionControl
from stairhatch.overload.endpoint import Endpoint
from stairhatch.overload.events import Availability
from stairhatch.overload.pending_queue import PendingCall
from stairhatch.overload.slow_start import SlowStart
from stairhatch.overload.thresholds import EVIDENCE_LIFETIME_S, Thresholds

RESERVED_LINES = 1.0  # free lines closed to calls of weight 0, in square roots of an endpoint's lines

Available = list[tuple[Endpoint, float]]  # each endpoint with the minimum weight of a call that may use it


@dataclass(eq=False, repr=False)
class LoadBalancer:
    """Chooses an endpoint among those that are eligible for a call and have capacity at the moment."""

    thresholds: Thresholds
    endpoints: dict[int, Endpoint]
    congestion: CongestionControl
    concurrency: ConcurrencyControl
    slow_start: SlowStart
    rng: random.Random

    def choose(self, now: float, call: PendingCall, available: Available) -> Endpoint | None:
        """Return the first choice if unflagged; else, of two drawn, an unflagged or the less loaded one.

        The load is the number of this node's pending set-ups. None if no available endpoint is eligible.
        """
        choices = [e for e, weight in available if call.weight >= weight and self.is_eligible(call, e)]
        if call.error_servers:  # another server's answer shows whether the call or the server is at fault
            choices = [e for e in choices if e.id not in call.error_servers] or choices
        if not choices:
            return None
        for endpoint in choices:
            if endpoint.number == call.preferred_number and not self.congestion.is_flagged(now, endpoint):
                return endpoint
        drawn = self.rng.sample(choices, min(2, len(choices)))
        for endpoint in drawn:
            if not self.congestion.is_flagged(now, endpoint):
                return endpoint
        return min(drawn, key=lambda endpoint: len(endpoint.pending_setups))

    def first_choice(self, call: PendingCall) -> Endpoint | None:
        """Return the first ready endpoint with the call's preferred number, or None."""
        for endpoint in self.endpoints.values():
            if endpoint.number == call.preferred_number and endpoint.availability is Availability.READY:
                return endpoint
        return None

    def is_eligible(self, call: PendingCall, endpoint: Endpoint) -> bool:
        """Return whether the endpoint list, the call's class and its routing allow this endpoint."""
        if endpoint.number == self.thresholds.own_number or endpoint.availability is not Availability.READY:
            return False
        if call.in_transit:
            return endpoint.number == call.preferred_number
        allowed = call.call_class.allowed_servers
        return allowed is None or endpoint.number in allowed

    def available(self, now: float) -> Available:
        """Return the endpoints that have capacity at the moment, with their minimum weights."""
        return [each for endpoint in self.endpoints.values() for each in self._if_available(now, endpoint)]

    def refresh(self, now: float, available: Available, endpoint: Endpoint) -> None:
        """Update or remove an endpoint in `available` after a set-up was sent to it."""
        index = next(i for i, (each, _) in enumerate(available) if each is endpoint)
        available[index : index + 1] = self._if_available(now, endpoint)

    def _if_available(self, now: float, endpoint: Endpoint) -> Available:
        return [(endpoint, self._min_weight(now, endpoint))] if self.has_capacity(now, endpoint) else []

    def _min_weight(self, now: float, endpoint: Endpoint) -> float:
        """Extension: return the least weight allowed; the last free lines are for the greatest (f920180d)."""
        total, in_use = endpoint.total_lines, endpoint.lines_in_use
        if total <= 0 or in_use is None or now - endpoint.lines_reported_at > EVIDENCE_LIFETIME_S:
            return 0.0
        free = total - in_use - len(endpoint.pending_setups)
        return self.thresholds.max_weight * (1 - free / (RESERVED_LINES * math.sqrt(total)))

    def has_capacity(self, now: float, endpoint: Endpoint) -> bool:
        """Return whether a set-up may be sent. Extension: limits ejected, warming and slow endpoints."""
        if now < endpoint.ejected_until:
            return False
        warming = self.slow_start.is_warming_up(now, endpoint)
        if not (self.slow_start.has_slot if warming else self.concurrency.has_token)(now, endpoint):
            return False
        if not endpoint.has_free_line and now - endpoint.lines_reported_at < EVIDENCE_LIFETIME_S:
            return False
        if endpoint.ejected or warming:
            return not endpoint.pending_setups
        if endpoint.oldest_pending_s(now) > self.thresholds.objective_s:
            return False
        return len(endpoint.pending_setups) < max(1.0, endpoint.concurrency_limit)
