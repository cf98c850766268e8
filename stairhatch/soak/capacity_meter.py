"""Capacity of an emulated roster server and its recent use. Times are seconds by the event loop's clock."""

from __future__ import annotations

import math
from collections import deque

from stairhatch.emulators.processor import ProcessorLoad
from stairhatch.soak.deployment import Deployment

REJECTION_MULTIPLE = 1.5  # set-ups above this multiple of the capacity are rejected
BURST_ALLOWANCE = 2  # set-ups admitted above that limit, for random bursts
WINDOW_S = 1.0  # set-ups are counted over this time
HALF_USE_DELAY_S = 0.01  # the queue delay at a utilization of one half
MAX_UTILIZATION = 0.95  # keeps the reported queue delay finite


class CapacityMeter:
    """Meter of one server's capacity, which grows after its start, and of the set-ups in the last second."""

    def __init__(self, deployment: Deployment) -> None:
        """Create the meter of a server that is warm: it starts with the full capacity."""
        self.started_at = -math.inf
        self._deployment = deployment
        self._arrivals: deque[float] = deque()  # the arrival times within WINDOW_S

    def present_capacity_per_s(self, now: float) -> float:
        """Return the server's capacity at a time, in set-ups per second."""
        return self._deployment.present_capacity_per_s(now - self.started_at)

    def load(self, now: float) -> ProcessorLoad:
        """Return the load that the server reports: its capacity and a queue delay that grows with use."""
        capacity_per_s = self.present_capacity_per_s(now)
        utilization = min(MAX_UTILIZATION, self._recent_setups(now) / capacity_per_s)
        return ProcessorLoad(
            queue_delay_s=HALF_USE_DELAY_S * utilization / (1 - utilization), calls_per_s=capacity_per_s
        )

    def admit(self, now: float) -> bool:
        """Count a set-up and return whether the server admits it; a rejected one counts as well."""
        self._arrivals.append(now)
        return (
            self._recent_setups(now)
            <= REJECTION_MULTIPLE * self.present_capacity_per_s(now) + BURST_ALLOWANCE
        )

    def _recent_setups(self, now: float) -> int:
        while self._arrivals and self._arrivals[0] < now - WINDOW_S:
            self._arrivals.popleft()
        return len(self._arrivals)
