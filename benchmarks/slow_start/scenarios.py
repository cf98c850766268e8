"""The scenarios of slow start runs, and the parameters of the simulated site."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from stairhatch.overload.settings import SafetyLimits

REPORT_ERROR = 0.15  # largest relative error of reported figures


class Scenario(Enum):
    """The disturbance of the fleet and of the other servers while one server warms up.

    The values are stored in results and seed the random draws, so they must stay the same.
    """

    CALM = "calm"
    RESTARTED = "half killed and started again"
    LATE = "lists 3 s late"
    ALONE = "all other servers gone"
    BOTH = "half restarted, all others gone"
    UNNUMBERED = "one in three without a number, all others gone"
    RENUMBERED = "numbers dealt anew to a fleet half as large again, all others gone"
    LINKS_LATE = "all links come up together, all others gone"
    LOPSIDED = "one process takes two thirds of the calls, all others gone"

    @property
    def restarts_members(self) -> bool:
        """Whether the scenario kills half of the members and starts them again."""
        return self in (Scenario.RESTARTED, Scenario.BOTH)

    @property
    def loses_other_servers(self) -> bool:
        """Whether the scenario removes all servers but the warming one."""
        return self not in (Scenario.CALM, Scenario.RESTARTED, Scenario.LATE)


@dataclass(frozen=True, slots=True, kw_only=True)
class Site:
    """Settings and server properties of a simulated site. Times in seconds, rates in calls per second."""

    safety: SafetyLimits = field(
        default_factory=lambda: SafetyLimits(
            initial_capacity_fraction=0.29,
            warm_up_s=14.0,
            overload_multiple=2.5,
            overload_window_s=1.5,
            drain_grace_s=1.0,
        )
    )
    retransmit_s: float = 0.8
    connect_timeout_s: float = 0.5
    call_duration_s: float = 9.0
    capacity: float = 40.0  # calls per second of each warm server
    load: float = 0.8  # fraction of the warm servers' capacity in use before the new server starts
    servers: int = 5  # including the warming one
    reports_lines: bool = True
    reports_rate: bool = True  # whether releases report the admissible rate
    # Lines of the warming server, relative to the lines that the other servers have for the same capacity.
    lines_factor: float = 1.0
    warms_evenly: bool = True  # False: the server has its initial capacity until the warm-up ends

    def capacity_fraction(self, age_s: float) -> float:
        """Return the fraction of its full capacity that a server has `age_s` seconds after its start."""
        progress = min(1.0, max(0.0, age_s / max(self.safety.warm_up_s, 1e-9)))
        if not self.warms_evenly and progress < 1:
            progress = 0.0
        initial = self.safety.initial_capacity_fraction
        return initial + (1 - initial) * progress

    def budget(self, age_s: float = 0.0) -> float:
        """Return N, the set-ups that the settings allow in an overload window at `age_s` after the start."""
        return (
            self.safety.overload_multiple
            * self.capacity_fraction(age_s)
            * self.capacity
            * self.safety.overload_window_s
        )

    def bound(self, age_s: float = 0.0) -> float:
        """Return N + 2 sqrt(N) + 2: the budget N and the largest excess that is attributed to chance."""
        budget = self.budget(age_s)
        return budget + 2 * math.sqrt(budget) + 2
