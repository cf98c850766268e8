"""Counts the calls of a run by result, depth and second."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.figures import CallFigures
from stairhatch.scale_test.quantiles import quantile


@dataclass(slots=True)
class CallTally:
    """Counts of requested calls and of their results, and the set-up times of established calls."""

    requested: int = 0
    results: Counter[SimulatedCallResult] = field(default_factory=Counter)
    requested_by_depth: Counter[int] = field(default_factory=Counter)
    established_by_depth: Counter[int] = field(default_factory=Counter)
    interrupted: int = 0  # established calls that a fault ended
    results_by_second: dict[int, Counter[SimulatedCallResult]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    setup_times_ms: list[float] = field(default_factory=list)  # of established calls

    def record_request(self, depth: int) -> None:
        """Count a requested call; `depth` is its position in the chain, 1 for a call from outside."""
        self.requested += 1
        self.requested_by_depth[depth] += 1

    def record_result(self, result: SimulatedCallResult, at_s: float) -> None:
        """Count a final answer; `at_s` is in seconds since the calls began."""
        self.results[result] += 1
        self.results_by_second[int(at_s)][result] += 1

    def record_established(self, depth: int, setup_time_s: float) -> None:
        """Record depth and set-up time of an established call, in addition to `record_result`."""
        self.setup_times_ms.append(1000 * setup_time_s)
        self.established_by_depth[depth] += 1

    def figures(self) -> CallFigures:
        """Return the counts in the form of the result files."""
        ascending_ms = sorted(self.setup_times_ms)
        return CallFigures(
            requested=self.requested,
            established=self.results[SimulatedCallResult.ESTABLISHED],
            rejected=self.results[SimulatedCallResult.REJECTED],
            failed=self.results[SimulatedCallResult.FAILED],
            unreachable=self.results[SimulatedCallResult.UNREACHABLE],
            lost=self.results[SimulatedCallResult.LOST],
            interrupted=self.interrupted,
            requested_by_depth=dict(sorted(self.requested_by_depth.items())),
            established_by_depth=dict(sorted(self.established_by_depth.items())),
            max_depth=max(self.established_by_depth, default=0),
            setup_p50_ms=quantile(ascending_ms, 0.5),
            setup_p99_ms=quantile(ascending_ms, 0.99),
        )
