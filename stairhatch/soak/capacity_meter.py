"""What an emulated roster server can take, and what it has taken of that lately. Times are the loop's."""

from __future__ import annotations

import math
from collections import deque

from stairhatch.emulators.processor import ProcessorLoad
from stairhatch.soak.deployment import Deployment

FULL_AT = 1.5  # a multiple of the capacity: set-ups beyond it are rejected
ALLOWANCE = 2  # set-ups beyond that, for chance
WINDOW_S = 1.0
SERVICE_S = 0.01  # the wait at a half-used processor
MAX_USE = 0.95


class CapacityMeter:
    """The capacity of one server, which grows after its start, and the set-ups of the last second."""

    def __init__(self, deployment: Deployment) -> None:
        """Begin as a server that started long ago."""
        self.started_at = -math.inf
        self._deployment = deployment
        self._setups: deque[float] = deque()  # when each came

    def present_capacity_per_s(self, now: float) -> float:
        """Return how many set-ups a second it can take."""
        return self._deployment.present_capacity_per_s(now - self.started_at)

    def load(self, now: float) -> ProcessorLoad:
        """Return what it reports: what it can take, and a wait that grows with its use."""
        capacity_per_s = self.present_capacity_per_s(now)
        use = min(MAX_USE, self._recent(now) / capacity_per_s)
        return ProcessorLoad(queue_delay_s=SERVICE_S * use / (1 - use), calls_per_s=capacity_per_s)

    def admit(self, now: float) -> bool:
        """Count a set-up, and return whether it is taken."""
        self._setups.append(now)
        return self._recent(now) <= FULL_AT * self.present_capacity_per_s(now) + ALLOWANCE

    def _recent(self, now: float) -> int:
        while self._setups and self._setups[0] < now - WINDOW_S:
            self._setups.popleft()
        return len(self._setups)
