"""Evaluates the set-ups at a warming server against the bound and against its capacity."""

from __future__ import annotations

import bisect
import statistics
from dataclasses import dataclass
from typing import NamedTuple

from benchmarks.slow_start.scenarios import Site

EARLY_S = 12.0  # set-ups before this time after the server's start count as early
INTEGRATION_STEPS = 1000


class FullestWindow(NamedTuple):
    """The overload window whose set-ups are the largest fraction of the bound at the window's begin."""

    bound_fraction: float  # set-ups in the window divided by the bound
    setups: int
    began_s: float  # seconds after the server's start


@dataclass(frozen=True, slots=True, kw_only=True)
class SlowStartResult:
    """The set-ups that reached the warming server in one scenario."""

    setup_times_s: list[float]  # seconds after the server's start
    site: Site
    activations: int  # number of times that the scenario disturbed a member or a connection

    def fullest_window(self) -> FullestWindow:
        """Return the overload window that came closest to its bound.

        Only windows that end before the end of the warm-up are considered.
        """
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
        """Return the number of set-ups in the first EARLY_S seconds."""
        return bisect.bisect_left(sorted(self.setup_times_s), EARLY_S)

    def bearable_early_setups(self) -> float:
        """Return the number of set-ups that the server could have processed in the first EARLY_S seconds."""
        ages_s = [EARLY_S * (step + 0.5) / INTEGRATION_STEPS for step in range(INTEGRATION_STEPS)]
        return (
            EARLY_S
            * self.site.capacity
            * statistics.fmean(self.site.capacity_fraction(age_s) for age_s in ages_s)
        )
