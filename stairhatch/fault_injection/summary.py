"""What many runs sum up to, whether on the virtual clock (`trial`) or on real processes (`run_batch`)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar


class RunOutcome(Protocol):
    """What a summary needs of the result of one run."""

    @property
    def violations(self) -> Sequence[object]:
        """The rules that were broken."""

    @property
    def activations(self) -> Mapping[str, int]:
        """How often each fault took effect."""

    @property
    def holds(self) -> int:
        """Hold intervals of all leases."""

    @property
    def within_drift_bound(self) -> bool:
        """Whether all clocks kept to the drift bound."""


OutcomeT = TypeVar("OutcomeT", bound=RunOutcome)


@dataclass
class Summary(Generic[OutcomeT]):
    """The sum of many runs."""

    runs: int = 0
    failed: list[OutcomeT] = field(default_factory=list)  # those that broke a rule
    runs_by_activation: Counter[str] = field(default_factory=Counter)  # runs in which each fault took effect
    beyond_drift_bound: int = 0
    holds: int = 0
    duration_s: float = 0.0

    def add(self, result: OutcomeT) -> None:
        """Add the result of one more run."""
        self.runs += 1
        self.beyond_drift_bound += not result.within_drift_bound
        self.holds += result.holds
        self.runs_by_activation.update(name for name, count in result.activations.items() if count)
        if result.violations:
            self.failed.append(result)
