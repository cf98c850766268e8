"""Collects the figures of a simulated run after its end."""

from __future__ import annotations

from stairhatch.emulators.processor import ProcessorState
from stairhatch.scale_test.cold_start_windows import cold_start_windows
from stairhatch.scale_test.figures import (
    ComparedFigures,
    ControlTraffic,
    ListChangeFigures,
    ServerFigures,
    SimulationFigures,
)
from stairhatch.scale_test.quantiles import quantile
from stairhatch.scale_test.simulation import Simulation
from stairhatch.scale_test.usage_totals import compared_figures

# Prefixes of gauges among the softswitch's counters: a sum over softswitches would be meaningless.
GAUGES = (
    "fleet_remaining_ms",
    "fleet_fencing_token",
    "fleet_leases_held",
    "fleet_voter_set_epoch",
    "fleet_is_voting",
)


def gather_figures(simulation: Simulation) -> SimulationFigures:
    """Return all figures of an ended run that are determined by the plan and its seed."""
    context, tally = simulation.context, simulation.context.calls.tally
    return SimulationFigures(
        calls=tally.figures(),
        unanswered=len(context.calls.open_calls),
        compared=_compared(simulation),
        servers=_server_figures(simulation),
        control_traffic=_control_traffic(simulation),
        changes=_list_changes(simulation),
        windows=cold_start_windows(simulation.servers),
        activations=simulation.injector.activations(),
        faults=context.faults,
        counters=_sum_counters(simulation),
        results_by_second={second: dict(each) for second, each in tally.results_by_second.items()},
    )


def _compared(simulation: Simulation) -> ComparedFigures:
    setups = simulation.usage_totals().setups - simulation.totals_at_begin.setups
    used = simulation.totals_at_end - simulation.totals_at_begin
    in_force_ms = simulation.context.list_changes.in_force_ms
    return compared_figures(simulation.context.calls.tally, used, setups, in_force_ms)


def _server_figures(simulation: Simulation) -> ServerFigures:
    processors = [server.processor for server in simulation.servers]
    return ServerFigures(
        rejected_setups=sum(processor.rejected_count for processor in processors),
        overloaded=sum(processor.state is ProcessorState.CRASHED for processor in processors),
    )


def _control_traffic(simulation: Simulation) -> ControlTraffic:
    used = simulation.totals_at_end - simulation.totals_at_begin
    softswitch_seconds = simulation.plan.duration_s * simulation.plan.softswitch_count
    return ControlTraffic(
        list_bytes=round(used.list_bytes / softswitch_seconds, 1),
        lease_bytes=round(used.lease_bytes / softswitch_seconds, 1),
        lease_messages=round(used.lease_messages / softswitch_seconds, 3),
        connection_bytes=round(used.connection_bytes / softswitch_seconds, 1),
    )


def _list_changes(simulation: Simulation) -> ListChangeFigures:
    changes = simulation.context.list_changes
    ascending_ms = sorted(changes.in_force_ms)
    return ListChangeFigures(
        notified=changes.notified,
        not_received=simulation.changes_not_received(),
        diverged_lists=simulation.diverged_lists(),
        superseded=sum(coordinator.superseded for coordinator in simulation.coordinators),
        in_force_p50_ms=quantile(ascending_ms, 0.5),
        in_force_p99_ms=quantile(ascending_ms, 0.99),
        in_force_max_ms=quantile(ascending_ms, 1.0),
    )


def _sum_counters(simulation: Simulation) -> dict[str, int]:
    counters = simulation.counters()
    return {name: count for name, count in counters.items() if not name.startswith(GAUGES)}
