"""Running averages that the overload control feeds and reads. They decide nothing; times are seconds."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

EXPECTED_MEMORY = 1000  # calls
OBSERVED_MEMORY = 100


@dataclass(slots=True, eq=False, repr=False)
class RunningMean:
    """A mean of all values, and of about the last `memory` once there are more."""

    memory: int
    mean: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Take one value in."""
        self.count += 1
        self.mean += (value - self.mean) / min(self.count, self.memory)

    def merge(self, others: Iterable["RunningMean"]) -> None:
        """Become the mean of what others have seen, if they have seen anything."""
        others = list(others)
        self.count = sum(other.count for other in others)
        if self.count:
            self.mean = sum(other.mean * other.count for other in others) / self.count


class CallDurations:
    """Mean duration of calls in seconds: `expected` by their classes as they come, `observed` as they end."""

    def __init__(self) -> None:
        """Begin with nothing seen."""
        self.expected = RunningMean(EXPECTED_MEMORY)
        self.observed = RunningMean(OBSERVED_MEMORY)

    @property
    def longest_s(self) -> float:
        """The longer of both: calls last longer where they were not the first choice."""
        return max(self.expected.mean, self.observed.mean)


@dataclass(slots=True, eq=False, repr=False)
class FadingPeak:
    """The greatest value of late: it fades with the time constant `memory_s`."""

    memory_s: float
    value: float = 0.0
    seen_at: float = 0.0

    def update(self, now: float, value: float) -> float:
        """Take a value in; returns the greater of it and what is left of the peak."""
        faded = self.value * math.exp((self.seen_at - now) / self.memory_s)
        if value > faded:
            self.value, self.seen_at = value, now
        return max(value, faded)
