"""Tests of slow start with a scope: servers that enter the scope of many softswitches at once."""

from __future__ import annotations

import pytest

from stairhatch.overload.events import (
    LoadReport,
    LoadReported,
)
from stairhatch.overload.settings import SafetyLimits
from stairhatch.scope.config import ServiceConfig

from .support.scope_simulation import ScopeSimulation, call_class, endpoint, scoped_controller, settings_with


def max_window_count(times, width):
    """Return the maximum number of these times within any window of this width."""
    return max((sum(t <= other < t + width for other in times) for t in times), default=0)


SOFTSWITCHES = 30  # softswitches that call the service
LINES_PER_SERVER = 100.0
WARM_RATE = 25.0  # set-ups per second of one warm server: its lines divided by the mean call duration of 4 s
SAFETY = SafetyLimits(
    initial_capacity_fraction=0.25, warm_up_s=12.0, overload_multiple=2.0, overload_window_s=1.0
)
SERVERS = (1, 2, 3)
STEP_S = 0.02
STEPS = 250
BEGIN_S = 1000.0
REPORT = LoadReport(free_lines=LINES_PER_SERVER * 0.6, total_lines=LINES_PER_SERVER, processor_wait_s=0.0)


def simulations_of_fleet(divisor, own_divisor, cold_servers):
    """Return simulations of a fleet; `divisor` is the instance count of the service or of the fleet."""
    fleet = 400 if own_divisor and divisor > 1 else divisor
    simulations = []
    for number in range(SOFTSWITCHES):
        settings = settings_with(
            call_class("a", *SERVERS), call_class("b", 9),
            instance_count=fleet, instance_index=min(number, fleet - 1), safety=SAFETY,
        )  # fmt: skip
        services = [ServiceConfig(("a",), divisor, min(number, divisor - 1))] if own_divisor else []
        decisions = scoped_controller(settings, number, services=services)
        simulation = ScopeSimulation(decisions, number, mean_delay_s=0.03)
        started_at = 0.0 if cold_servers == "one" else BEGIN_S - 1.0
        others = [endpoint(server, started_at=started_at) for server in SERVERS[1:]]
        simulation.update_endpoints(endpoint(1, started_at=BEGIN_S - 1.0), *others, endpoint(9))
        simulations.append(simulation)
    return simulations


def setups_by_server(simulations):
    """Return the times of each server's set-ups: all softswitches call at once, then steadily for 5 s."""
    for step in range(STEPS):
        for number, simulation in enumerate(simulations):
            simulation.run(BEGIN_S + step * STEP_S)
            if step % 5 == number % 5 or step == 0:
                simulation.offer(simulation.decisions.settings.classes[0], 1, caller_timeout_s=4.0)
            if step % 10 == 1:
                for server in SERVERS:
                    simulation.handle(LoadReported(server, REPORT))
    times = {server: [] for server in SERVERS}
    for simulation in simulations:
        for at, _, server in simulation.sent:
            times[server].append(at)
    return times


@pytest.mark.parametrize("own_divisor", [False, True], ids=["the fleet's divisor", "the service's own"])
@pytest.mark.parametrize("cold_servers", ["all", "one"])
def test_softswitches_that_bring_a_set_into_scope_at_once_overload_no_warming_server(
    own_divisor, cold_servers
):
    """Guards against overload of warming servers when 30 softswitches bring a set into scope at once.

    No softswitch has state of the servers, and one or all servers have just started. The set-ups that a
    warming server gets in any overload window must stay within the budget. With a divisor of 1 the same calls
    exceed it, which shows that the load is sufficient.
    """
    window_s = SAFETY.overload_window_s
    budget = SAFETY.overload_multiple * SAFETY.initial_capacity_fraction * WARM_RATE * window_s
    warming = (1,) if cold_servers == "one" else SERVERS
    max_setups = {}
    for divisor in (SOFTSWITCHES, 1):
        times = setups_by_server(simulations_of_fleet(divisor, own_divisor, cold_servers))
        max_setups[divisor] = max(max_window_count(times[server], window_s) for server in warming)
        assert sum(map(len, times.values())) > 8, "hardly any set-up was sent"
    assert 0 < max_setups[SOFTSWITCHES] <= budget < max_setups[1], (max_setups, budget)
