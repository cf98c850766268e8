"""Slow start: limits what all nodes together send to a warming endpoint (rule 4, see docs/cold.md)."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from stairhatch.overload.averages import CallDurations, DecayingPeak
from stairhatch.overload.endpoint import Endpoint
from stairhatch.overload.events import Availability, EndpointRecord
from stairhatch.overload.thresholds import MEMORY_S, MIN_FLEET_LIMIT, Thresholds

CAPACITY_FRACTION = 0.8  # of the endpoint's expected capacity: what all nodes together send
BUDGET_FRACTION = 2 / 3  # of the rate that would overload the endpoint: the most that all nodes send
INDEX_STRIDE = 7  # between the instance indexes that get the remaining slots at one endpoint and the next
SLOT_FRACTION = 0.25  # of the overload window: an unused slot lapses after this time


@dataclass(eq=False, repr=False)
class SlowStart:
    """Distributes slots among the nodes by the present or recent load of the warm endpoints."""

    thresholds: Thresholds
    endpoints: dict[int, Endpoint]
    durations: CallDurations
    rng: random.Random
    log: Callable[[str], None]
    peak_utilization: DecayingPeak = field(default_factory=lambda: DecayingPeak(MEMORY_S))

    def is_warming_up(self, now: float, endpoint: Endpoint) -> bool:
        """Return whether an endpoint started within the warm-up time, or is unreachable and may restart."""
        if endpoint.unreachable or endpoint.started_at is None:
            return endpoint.unreachable
        return now - endpoint.started_at < self.thresholds.safety.warm_up_s

    def detect_restart(self, now: float, endpoint: Endpoint, record: EndpointRecord) -> None:
        """Begin the slow start of an endpoint, and reset its state, if the record shows a recent start."""
        started_at, age_s = record.started_at, now - record.started_at
        if record.availability is not Availability.READY or started_at <= 0:
            return
        known = endpoint.started_at is not None and abs(endpoint.started_at - started_at) < 1e-6
        if age_s < self.thresholds.safety.warm_up_s and not known:
            self.log(f"server {endpoint.id} started {age_s:.0f} s ago; its slow start begins")
            endpoint.reset_after_restart(started_at)
            self.begin(now, endpoint)

    def begin(self, now: float, endpoint: Endpoint) -> None:
        """Begin a slow start with a first slot at a random time, so that the nodes' slots are spread."""
        endpoint.begin_slow_start(now, slot_progress=self.rng.random(), tokens=self.rng.random())

    def has_slot(self, now: float, endpoint: Endpoint) -> bool:
        """Return whether a slot is open. Slots open at even intervals; an unused slot lapses (issue 11)."""
        slots_per_s = self.slots_per_span(now, endpoint) / self.slot_span_s
        endpoint.slot_progress += slots_per_s * (now - endpoint.slot_progress_at)
        endpoint.slot_progress_at = endpoint.tokens_at = now
        if endpoint.slot_progress >= 1:
            endpoint.slot_progress %= 1
            open_s = SLOT_FRACTION * self.thresholds.safety.overload_window_s
            endpoint.slot_open_until = now - endpoint.slot_progress / slots_per_s + open_s
        return now < endpoint.slot_open_until

    @property
    def slot_span_s(self) -> float:
        """Span in seconds: only slots that open in one such span can be used in the same overload window."""
        return max((1 + SLOT_FRACTION) * self.thresholds.safety.overload_window_s, 1e-9)

    def slots_per_span(self, now: float, endpoint: Endpoint) -> float:
        """Return this node's slots per span: its share of all slots, in whole slots by instance index.

        No slot count is random then. A node without an instance index gets no slot of the remainder.
        """
        settings, total = self.thresholds.settings, self.admissible_rate(now, endpoint) * self.slot_span_s
        if not endpoint.total_lines:  # each node estimates the size itself, so the total count is random
            return total / settings.instance_count
        whole, rest = divmod(int(total), settings.instance_count) if total >= 1 else (0, 1)
        rank = (settings.instance_index - endpoint.number * INDEX_STRIDE) % settings.instance_count
        return min(1.0, total) * (whole + (settings.instance_index >= 0 and rank < rest))

    def admissible_rate(self, now: float, endpoint: Endpoint) -> float:
        """Return the set-ups per second allowed from all nodes: a part of the endpoint's present capacity.

        The reported rate is preferred, else the greater of two: by the lines in use, or by an assumed even
        growth capped by the initial budget. Even if all nodes use every slot, no window exceeds the budget.
        """
        safety = self.thresholds.safety
        max_fraction = BUDGET_FRACTION * safety.overload_multiple / (1 + SLOT_FRACTION)
        if endpoint.admissible_rate > 0:
            return min(CAPACITY_FRACTION, max_fraction) * endpoint.admissible_rate
        initial = safety.initial_capacity_fraction
        age_s = now - endpoint.started_at if endpoint.started_at is not None else 0.0
        warm_up_progress = max(0.0, min(1.0, age_s / max(safety.warm_up_s, 1e-9)))
        capacity = initial + (1 - initial) * warm_up_progress
        sustained = (endpoint.lines_in_use or 0.0) / max(self.durations.longer_mean_s, 1e-9)
        estimate = min(CAPACITY_FRACTION * capacity, max_fraction * initial) * self.warm_rate(now, endpoint)
        return max(min(CAPACITY_FRACTION, max_fraction) * sustained, estimate)

    def warm_rate(self, now: float, endpoint: Endpoint) -> float:
        """Return the set-ups per second from all nodes that the warm endpoint should sustain.

        An unknown size counts as the smallest known. Without reported lines: the least own rate times the
        node count, as the nodes' errors cancel in the sum. Without measurements: below 1 set-up a window.
        """
        sizes = [other.total_lines for other in self.endpoints.values() if other.total_lines > 0]
        if sizes and self.durations.expected.mean > 0 and self.line_utilization(now) > 0:
            size = endpoint.total_lines or min(sizes)
            return self.line_utilization(now) * size / self.durations.longer_mean_s
        own_rates = [
            other.established_rate * math.exp((other.established_at - now) / MEMORY_S)
            for other in self.endpoints.values()
            if other is not endpoint and other.established_rate > 0 and not self.is_warming_up(now, other)
        ]
        if own_rates:
            return self.thresholds.settings.instance_count * min(own_rates)
        safety = self.thresholds.safety
        return MIN_FLEET_LIMIT / (safety.initial_capacity_fraction * max(safety.overload_window_s, 1e-9))

    def line_utilization(self, now: float) -> float:
        """Return the fraction of warm endpoints' lines in use, or its decayed peak from before an outage."""
        ready = (e for e in self.endpoints.values() if e.availability is Availability.READY and not e.ejected)
        reported = (e for e in ready if e.lines_in_use is not None and e.total_lines > 0)
        warm = [endpoint for endpoint in reported if not self.is_warming_up(now, endpoint)]
        used = sum(endpoint.lines_in_use or 0.0 for endpoint in warm)
        utilization = used / sum(endpoint.total_lines for endpoint in warm) if warm else 0.0
        return self.peak_utilization.update(now, utilization)
