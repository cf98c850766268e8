"""Totals of set-ups, messages and bytes; the difference of two is the usage between them."""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.call_tally import CallTally
from stairhatch.scale_test.figures import ComparedFigures
from stairhatch.scale_test.quantiles import quantile
from stairhatch.scale_test.schema import ComparedFigure


@dataclass(frozen=True, slots=True, kw_only=True)
class UsageTotals:
    """Totals counted at the same places in simulated and real runs."""

    setups: int  # at the roster servers
    list_messages: int  # polls at the coordinators
    list_bytes: int  # there, both ways
    lease_messages: int  # sent by the softswitches
    lease_bytes: int
    connection_bytes: int = 0  # of a simulated run, on all connections

    def __sub__(self, earlier: UsageTotals) -> UsageTotals:
        """Return what was used since."""
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
    """Return the figures that simulated and real runs are compared by.

    `used` is what was used while calls came, `setups` also those until the last answer.
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
