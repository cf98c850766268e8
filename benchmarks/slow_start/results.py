"""What is counted at the warming server, held against the bound."""

from __future__ import annotations

import bisect
import statistics
from dataclasses import dataclass
from typing import NamedTuple

from benchmarks.slow_start.scenarios import Site

EARLY_S = 12.0  # set-ups so long after its start are counted as early
INTEGRATION_STEPS = 1000


class FullestWindow(NamedTuple):
    """The overload window that came nearest to the bound of its first moment."""

    bound_fraction: float  # its set-ups over the bound
    setups: int
    began_s: float  # after the server's start


@dataclass(frozen=True, slots=True, kw_only=True)
class SlowStartResult:
    """The set-ups that reached the server while it warmed up."""

    setup_times_s: list[float]  # after its start
    site: Site
    activations: int  # what the scenario did to members or connections

    def fullest_window(self) -> FullestWindow:
        """Return the window that came nearest to its bound."""
        window_s = self.site.safety.overload_window_s
        first, fullest, times = 0, FullestWindow(0.0, 0, 0.0), sorted(self.setup_times_s)
        for last, now in enumerate(times):
            if now >= self.site.safety.warm_up_s:
                break
            while times[first] <= now - window_s:
                first += 1
            setups, began_s = last + 1 - first, max(0.0, now - window_s)
            fullest = max(fullest, FullestWindow(setups / self.site.bound(began_s), setups, began_s))
        return fullest

    def early_setups(self) -> int:
        """Return its set-ups in the first 12 s."""
        return bisect.bisect_left(sorted(self.setup_times_s), EARLY_S)

    def bearable_early_setups(self) -> float:
        """Return how many it could have borne in the first 12 s."""
        ages_s = [EARLY_S * (step + 0.5) / INTEGRATION_STEPS for step in range(INTEGRATION_STEPS)]
        return EARLY_S * self.site.capacity * statistics.fmean(self.site.warmth(age_s) for age_s in ages_s)
