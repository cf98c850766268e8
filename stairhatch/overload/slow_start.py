"""Slow start: what all nodes together send to an endpoint that is warming up (rule 4, see docs/cold.md)."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from stairhatch.overload.averages import CallDurations, FadingPeak
from stairhatch.overload.endpoint import Endpoint
from stairhatch.overload.events import Availability, EndpointRecord
from stairhatch.overload.thresholds import MEMORY_S, MIN_FLEET_LIMIT, Thresholds

CAPACITY_FRACTION = 0.8  # of what the endpoint should be able to do, what the nodes send together
BUDGET_FRACTION = 2 / 3  # of what would overload it, the most that the nodes send together
STRIDE = 7  # between the nodes that have slots at one endpoint and at the next
SLOT_FRACTION = 0.25  # of the overload window: an unused slot lapses after this


@dataclass(eq=False, repr=False)
class SlowStart:
    """Deals slots out to the nodes, by the load that warm endpoints have, or had lately."""

    thresholds: Thresholds
    endpoints: dict[int, Endpoint]
    durations: CallDurations
    rng: random.Random
    log: Callable[[str], None]
    peak_utilization: FadingPeak = field(default_factory=lambda: FadingPeak(MEMORY_S))

    def is_warming_up(self, now: float, endpoint: Endpoint) -> bool:
        """Whether it started so lately that it may not be warm, or may start again at any moment."""
        if endpoint.unreachable or endpoint.started_at is None:
            return endpoint.unreachable
        return now - endpoint.started_at < self.thresholds.safety.warm_up_s

    def note_start(self, now: float, endpoint: Endpoint, record: EndpointRecord) -> None:
        """Forget what was learned of an endpoint before it restarted."""
        started_at, age_s = record.started_at, now - record.started_at
        if record.availability is not Availability.READY or started_at <= 0:
            return
        known = endpoint.started_at is not None and abs(endpoint.started_at - started_at) < 1e-6
        if age_s < self.thresholds.safety.warm_up_s and not known:
            self.log(f"server {endpoint.id} started {age_s:.0f} s ago: slow start")
            endpoint.restarted(started_at)
            self.begin(now, endpoint)

    def begin(self, now: float, endpoint: Endpoint) -> None:
        """The first slot comes at random within an interval, so that the nodes' slots lie spread."""
        endpoint.begin_slow_start(now, slot_progress=self.rng.random(), tokens=self.rng.random())

    def has_slot(self, now: float, endpoint: Endpoint) -> bool:
        """Whether a slot is open. They come at even intervals; an unused one soon lapses (issue 11)."""
        pace = self.slots_per_span(now, endpoint) / self.slot_span_s
        endpoint.slot_progress += pace * (now - endpoint.slot_progress_at)
        endpoint.slot_progress_at = endpoint.tokens_at = now
        if endpoint.slot_progress >= 1:
            endpoint.slot_progress %= 1
            open_s = SLOT_FRACTION * self.thresholds.safety.overload_window_s
            endpoint.slot_open_until = now - endpoint.slot_progress / pace + open_s
        return now < endpoint.slot_open_until

    @property
    def slot_span_s(self) -> float:
        """Slots that open in one such span may be used within one overload window, and no others."""
        return max((1 + SLOT_FRACTION) * self.thresholds.safety.overload_window_s, 1e-9)

    def slots_per_span(self, now: float, endpoint: Endpoint) -> float:
        """This node's slots in a span: those of all nodes, distributed as whole slots by instance index.

        So no count goes by chance. A node that does not know its index has no part in what is left over.
        """
        settings, fleet = self.thresholds.settings, self.admissible_rate(now, endpoint) * self.slot_span_s
        if not endpoint.total_lines:  # each node estimates its size by itself: the count is random
            return fleet / settings.instance_count
        whole, rest = divmod(int(fleet), settings.instance_count) if fleet >= 1 else (0, 1)
        rank = (settings.instance_index - endpoint.number * STRIDE) % settings.instance_count
        return min(1.0, fleet) * (whole + (settings.instance_index >= 0 and rank < rest))

    def admissible_rate(self, now: float, endpoint: Endpoint) -> float:
        """Set-ups a second, from all nodes: a part of what it can do by now, within the budget.

        Best is what it reports; until then its load, or the guess that it gains evenly, which may only lower
        the rate. Even where all send whenever they may, no window holds more than the budget.
        """
        safety = self.thresholds.safety
        most = BUDGET_FRACTION * safety.overload_multiple / (1 + SLOT_FRACTION)
        if endpoint.admissible_rate > 0:
            return min(CAPACITY_FRACTION, most) * endpoint.admissible_rate
        initial = safety.initial_capacity_fraction
        age = now - endpoint.started_at if endpoint.started_at is not None else 0.0
        warmth = max(0.0, min(1.0, age / max(safety.warm_up_s, 1e-9)))
        able = initial + (1 - initial) * warmth
        sustained = (endpoint.lines_in_use or 0.0) / max(self.durations.longest_s, 1e-9)
        guess = min(CAPACITY_FRACTION * able, most * initial) * self.warm_rate(now, endpoint)
        return max(min(CAPACITY_FRACTION, most) * sustained, guess)

    def warm_rate(self, now: float, endpoint: Endpoint) -> float:
        """Set-ups a second, from all nodes, that it should bear once warm: by its lines, or by own set-ups.

        One of unknown size counts as the smallest; without reported lines, as the least own rate times
        the nodes, whose errors cancel in the sum. With nothing known it is less than one in a window.
        """
        sizes = [other.total_lines for other in self.endpoints.values() if other.total_lines > 0]
        if sizes and self.durations.expected.mean > 0 and self.line_utilization(now) > 0:
            size = endpoint.total_lines or min(sizes)
            return self.line_utilization(now) * size / self.durations.longest_s
        own = [
            other.established_rate * math.exp((other.established_at - now) / MEMORY_S)
            for other in self.endpoints.values()
            if other is not endpoint and other.established_rate > 0 and not self.is_warming_up(now, other)
        ]
        if own:
            return self.thresholds.settings.instance_count * min(own)
        safety = self.thresholds.safety
        return MIN_FLEET_LIMIT / (safety.initial_capacity_fraction * max(safety.overload_window_s, 1e-9))

    def line_utilization(self, now: float) -> float:
        """The fraction of all their lines that warm endpoints use, or used lately, before an outage."""
        up = (e for e in self.endpoints.values() if e.availability is Availability.READY and not e.ejected)
        known = (e for e in up if e.lines_in_use is not None and e.total_lines > 0)
        warm = [endpoint for endpoint in known if not self.is_warming_up(now, endpoint)]
        used = sum(endpoint.lines_in_use or 0.0 for endpoint in warm)
        utilization = used / sum(endpoint.total_lines for endpoint in warm) if warm else 0.0
        return self.peak_utilization.update(now, utilization)
