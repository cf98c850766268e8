"""Which endpoint a call goes to: the first choice while it is clear, else the better of two drawn."""

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

RESERVED_LINES = 1.0  # free lines kept from calls of no weight, in roots of an endpoint's lines

Available = list[tuple[Endpoint, float]]  # each with the least weight of a call that it is open to


@dataclass(eq=False, repr=False)
class LoadBalancer:
    """Chooses among the endpoints that are eligible for a call and have capacity at this moment."""

    thresholds: Thresholds
    endpoints: dict[int, Endpoint]
    congestion: CongestionControl
    concurrency: ConcurrencyControl
    slow_start: SlowStart
    rng: random.Random

    def choose(self, now: float, call: PendingCall, available: Available) -> Endpoint | None:
        """First choice while clear; else an unflagged one of two drawn; else fewer own pending set-ups."""
        choices = [e for e, least in available if call.weight >= least and self.is_eligible(call, e)]
        if call.error_servers:  # another server's answer shows whose fault it is
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
        """The endpoint that the call names, if it is known."""
        for endpoint in self.endpoints.values():
            if endpoint.number == call.preferred_number and endpoint.availability is Availability.READY:
                return endpoint
        return None

    def is_eligible(self, call: PendingCall, endpoint: Endpoint) -> bool:
        """Whether the endpoint list, the class and the call's routing allow this endpoint at all."""
        if endpoint.number == self.thresholds.own_number or endpoint.availability is not Availability.READY:
            return False
        if call.in_transit:
            return endpoint.number == call.preferred_number
        allowed = call.call_class.allowed_servers
        return allowed is None or endpoint.number in allowed

    def available(self, now: float) -> Available:
        """The endpoints that can be sent something at this moment."""
        return [each for endpoint in self.endpoints.values() for each in self._if_available(now, endpoint)]

    def refresh(self, now: float, available: Available, endpoint: Endpoint) -> None:
        """Bring an endpoint's place among the available ones up to date: it has been sent something."""
        index = next(i for i, (each, _) in enumerate(available) if each is endpoint)
        available[index : index + 1] = self._if_available(now, endpoint)

    def _if_available(self, now: float, endpoint: Endpoint) -> Available:
        return [(endpoint, self._min_weight(now, endpoint))] if self.has_capacity(now, endpoint) else []

    def _min_weight(self, now: float, endpoint: Endpoint) -> float:
        """Extension: the last free lines are kept for the calls of the greatest weight (f920180d)."""
        total, in_use = endpoint.total_lines, endpoint.lines_in_use
        if total <= 0 or in_use is None or now - endpoint.lines_reported_at > EVIDENCE_LIFETIME_S:
            return 0.0
        free = total - in_use - len(endpoint.pending_setups)
        return self.thresholds.max_weight * (1 - free / (RESERVED_LINES * math.sqrt(total)))

    def has_capacity(self, now: float, endpoint: Endpoint) -> bool:
        """Extension: ejected, warming and flagged endpoints get only what they can take."""
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
