"""What became of the calls of a run, counted as their final answers come."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.quantiles import quantile


@dataclass(slots=True)
class CallTally:
    """Counts of requested calls, of their results, and how long the set-ups took."""

    requested: int = 0
    results: Counter[SimulatedCallResult] = field(default_factory=Counter)
    requested_by_depth: Counter[int] = field(default_factory=Counter)
    established_by_depth: Counter[int] = field(default_factory=Counter)
    interrupted: int = 0  # established, and ended by a fault
    results_by_second: dict[int, Counter[SimulatedCallResult]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    setup_times_ms: list[float] = field(default_factory=list)  # of established calls

    def record_request(self, depth: int) -> None:
        """Count a call that is requested, at its place in the chain of calls; 1 is from outside."""
        self.requested += 1
        self.requested_by_depth[depth] += 1

    def record_result(self, result: SimulatedCallResult, at_s: float) -> None:
        """Count a final answer, at its time in seconds after the beginning of the run."""
        self.results[result] += 1
        self.results_by_second[int(at_s)][result] += 1

    def record_established(self, depth: int, setup_time_s: float) -> None:
        """Count an established call once more, by its depth and by how long its set-up took."""
        self.setup_times_ms.append(1000 * setup_time_s)
        self.established_by_depth[depth] += 1

    def figures(self) -> dict[str, Any]:
        """For JSON."""
        took = sorted(self.setup_times_ms)
        established = self.established_by_depth
        return {
            "asked": self.requested,
            **{result.value: self.results[result] for result in SimulatedCallResult},
            "cut": self.interrupted,
            "depths": {str(n): self.requested_by_depth[n] for n in sorted(self.requested_by_depth)},
            "stood_at_depth": {str(n): established[n] for n in sorted(established)},
            "deepest": max(established, default=0),
            "to_stand_p50_ms": quantile(took, 0.5),
            "to_stand_p99_ms": quantile(took, 0.99),
        }
