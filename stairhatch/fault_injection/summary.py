"""Totals over many runs, on the virtual clock (`trial`) or on real processes (`run_batch`)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar


class RunOutcome(Protocol):
    """Interface of a run's result, as `Summary` needs it."""

    @property
    def violations(self) -> Sequence[object]:
        """The violations of rules; empty if the run broke none."""

    @property
    def activations(self) -> Mapping[str, int]:
        """How often each kind of fault took effect."""

    @property
    def holds(self) -> int:
        """The number of hold intervals of all leases."""

    @property
    def within_drift_bound(self) -> bool:
        """Whether the rates of all clocks were within the drift bound."""


OutcomeT = TypeVar("OutcomeT", bound=RunOutcome)


@dataclass
class Summary(Generic[OutcomeT]):
    """Totals over many runs."""

    runs: int = 0
    failed: list[OutcomeT] = field(default_factory=list)  # runs that broke a rule
    runs_by_activation: Counter[str] = field(default_factory=Counter)  # runs in which a fault took effect
    beyond_drift_bound: int = 0  # runs with a clock beyond the drift bound
    holds: int = 0  # hold intervals of all leases
    duration_s: float = 0.0

    def add(self, result: OutcomeT) -> None:
        """Add the result of one run to the totals."""
        self.runs += 1
        self.beyond_drift_bound += not result.within_drift_bound
        self.holds += result.holds
        self.runs_by_activation.update(name for name, count in result.activations.items() if count)
        if result.violations:
            self.failed.append(result)
