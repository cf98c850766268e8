"""What happens while a server warms up, and what the servers are like."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from stairhatch.overload.settings import SafetyLimits

REPORT_ERROR = 0.15  # reports are wrong by up to this fraction


class Scenario(Enum):
    """What happens to the fleet and to the other servers meanwhile."""

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
        """Whether half of the members are killed and started again."""
        return self in (Scenario.RESTARTED, Scenario.BOTH)

    @property
    def loses_other_servers(self) -> bool:
        """Whether the warming server is soon the only one."""
        return self not in (Scenario.CALM, Scenario.RESTARTED, Scenario.LATE)


@dataclass(frozen=True, slots=True, kw_only=True)
class Site:
    """What the settings say and what the servers are like. Times in seconds, rates in calls a second."""

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
    capacity: float = 40.0  # of each warm server
    load: float = 0.8  # fraction of their capacity that the warm servers carried before
    servers: int = 5  # with the warming one
    reports_lines: bool = True
    reports_rate: bool = True  # what it can take from all, as releases report it
    lines_factor: float = 1.0  # its lines, over what its processor would be due by the others' lines
    warms_evenly: bool = True  # else it stays at its initial capacity until it is warm

    def warmth(self, age_s: float) -> float:
        """Return the fraction of its capacity that a server has so long after its start."""
        progress = min(1.0, max(0.0, age_s / max(self.safety.warm_up_s, 1e-9)))
        if not self.warms_evenly and progress < 1:
            progress = 0.0
        initial = self.safety.initial_capacity_fraction
        return initial + (1 - initial) * progress

    def budget(self, age_s: float = 0.0) -> float:
        """Return N: how many set-ups the settings allow the server then, in any overload window."""
        return (
            self.safety.overload_multiple * self.warmth(age_s) * self.capacity * self.safety.overload_window_s
        )

    def bound(self, age_s: float = 0.0) -> float:
        """Return N + 2 root N + 2: beyond N only so much is put down to chance."""
        budget = self.budget(age_s)
        return budget + 2 * math.sqrt(budget) + 2
