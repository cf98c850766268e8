"""Running averages that the overload control updates and reads. Times are seconds."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

EXPECTED_WINDOW_CALLS = 1000
OBSERVED_WINDOW_CALLS = 100


@dataclass(slots=True, eq=False, repr=False)
class RunningMean:
    """The mean of all values, or of about the last `window` values once there have been more."""

    window: int
    mean: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Include one value in the mean."""
        self.count += 1
        self.mean += (value - self.mean) / min(self.count, self.window)

    def merge(self, others: Iterable["RunningMean"]) -> None:
        """Replace this mean by the weighted mean of `others`; keep it if none of them has a value."""
        others = list(others)
        self.count = sum(other.count for other in others)
        if self.count:
            self.mean = sum(other.mean * other.count for other in others) / self.count


class CallDurations:
    """Mean duration of calls in seconds.

    `expected` averages the class's duration of each offered call, `observed` the duration of each ended call.
    """

    def __init__(self) -> None:
        """Create both means without values."""
        self.expected = RunningMean(EXPECTED_WINDOW_CALLS)
        self.observed = RunningMean(OBSERVED_WINDOW_CALLS)

    @property
    def longer_mean_s(self) -> float:
        """The longer of both means: a call lasts longer at an endpoint that was not its first choice."""
        return max(self.expected.mean, self.observed.mean)


@dataclass(slots=True, eq=False, repr=False)
class DecayingPeak:
    """The greatest recent value. It decays exponentially with the time constant `time_constant_s`."""

    time_constant_s: float
    value: float = 0.0
    recorded_at: float = 0.0

    def update(self, now: float, value: float) -> float:
        """Record a value as the peak if it exceeds the decayed peak; return the greater of the two."""
        decayed = self.value * math.exp((self.recorded_at - now) / self.time_constant_s)
        if value > decayed:
            self.value, self.recorded_at = value, now
        return max(value, decayed)
