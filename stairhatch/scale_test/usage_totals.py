"""Running totals of set-ups, messages and bytes, and the figures that are compared between runs."""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.call_tally import CallTally
from stairhatch.scale_test.figures import ComparedFigures
from stairhatch.scale_test.quantiles import quantile
from stairhatch.scale_test.schema import ComparedFigure


@dataclass(frozen=True, slots=True, kw_only=True)
class UsageTotals:
    """Totals since the start of a run, counted at the same places in simulated and real runs."""

    setups: int  # received by the roster servers
    list_messages: int  # polls received by the coordinators
    list_bytes: int  # of polls and answers at the coordinators
    lease_messages: int  # sent by the softswitches
    lease_bytes: int
    connection_bytes: int = 0  # on all connections; counted in simulated runs only

    def __sub__(self, earlier: UsageTotals) -> UsageTotals:
        """Return the usage between `earlier` and these totals."""
        return UsageTotals(
            setups=self.setups - earlier.setups,
            list_messages=self.list_messages - earlier.list_messages,
            list_bytes=self.list_bytes - earlier.list_bytes,
            lease_messages=self.lease_messages - earlier.lease_messages,
            lease_bytes=self.lease_bytes - earlier.lease_bytes,
            connection_bytes=self.connection_bytes - earlier.connection_bytes,
        )


def compared_figures(
    tally: CallTally, used: UsageTotals, setups: int, in_force_ms: list[float]
) -> ComparedFigures:
    """Return the figures for the comparison of simulated and real runs.

    `used` is the usage while calls arrive; `setups` also includes later set-ups, up to the last final answer.
    """
    results = tally.results
    unsuccessful = (
        SimulatedCallResult.FAILED,
        SimulatedCallResult.UNREACHABLE,
        SimulatedCallResult.LOST,
    )
    return {
        ComparedFigure.ESTABLISHED: results[SimulatedCallResult.ESTABLISHED],
        ComparedFigure.REJECTED: results[SimulatedCallResult.REJECTED],
        ComparedFigure.FAILED: sum(results[result] for result in unsuccessful),
        ComparedFigure.SETUPS: setups,
        ComparedFigure.LIST_MESSAGES: used.list_messages,
        ComparedFigure.LIST_BYTES: used.list_bytes,
        ComparedFigure.LEASE_MESSAGES: used.lease_messages,
        ComparedFigure.LEASE_BYTES: used.lease_bytes,
        ComparedFigure.CHANGE_IN_FORCE_MS: quantile(sorted(in_force_ms), 0.5),
    }
