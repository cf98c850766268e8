"""Slow start under a scope: servers that come into scope at many softswitches at once."""

from __future__ import annotations

import pytest

from stairhatch.overload.events import (
    LoadReport,
    LoadReported,
)
from stairhatch.overload.settings import SafetyLimits
from stairhatch.scope.config import ServiceConfig

from .support.scope_simulation import ScopeSimulation, call_class, endpoint, scoped_controller, settings_with


def most_in_a_window(times, width):
    """The most of these times that lie within one window."""
    return max((sum(t <= other < t + width for other in times) for t in times), default=0)


SHARING = 30  # softswitches that ask for the service
LINES = 100.0  # of a server
WARM_RATE = 25.0  # set-ups a second that one warm server takes: its lines over their length
SAFETY = SafetyLimits(
    initial_capacity_fraction=0.25, warm_up_s=12.0, overload_multiple=2.0, overload_window_s=1.0
)
SERVERS = (1, 2, 3)
STEP_S = 0.02
STEPS = 250
BEGIN_S = 1000.0
REPORT = LoadReport(free_lines=LINES * 0.6, total_lines=LINES, processor_wait_s=0.0)


def simulations_of_fleet(divisor, own_divisor, cold):
    """The softswitches of a fleet; the divisor is the service's own, or that of the fleet."""
    fleet = 400 if own_divisor and divisor > 1 else divisor
    simulations = []
    for number in range(SHARING):
        settings = settings_with(
            call_class("a", *SERVERS), call_class("b", 9),
            instance_count=fleet, instance_index=min(number, fleet - 1), safety=SAFETY,
        )  # fmt: skip
        services = [ServiceConfig(("a",), divisor, min(number, divisor - 1))] if own_divisor else []
        decisions = scoped_controller(settings, number, services=services)
        simulation = ScopeSimulation(decisions, number, slow_s=0.03)
        up_since = 0.0 if cold == "one" else BEGIN_S - 1.0
        others = [endpoint(server, up_since=up_since) for server in SERVERS[1:]]
        simulation.update_endpoints(endpoint(1, up_since=BEGIN_S - 1.0), *others, endpoint(9))
        simulations.append(simulation)
    return simulations


def setups_by_server(simulations):
    """When each server gets a set-up: all call in one step of time, then steadily for 5 s."""
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
@pytest.mark.parametrize("cold", ["all", "one"])
def test_softswitches_that_bring_a_set_into_scope_at_once_overload_no_warming_server(own_divisor, cold):
    """30 softswitches ask for a service in the same instant, each knowing nothing, while one or all of its
    servers have just started. What they send to a warming one in any overload window stays within the budget.
    With a divisor of 1 the same calls break it, so that the run shows something.
    """
    window_s = SAFETY.overload_window_s
    budget = SAFETY.overload_multiple * SAFETY.initial_capacity_fraction * WARM_RATE * window_s
    warming = (1,) if cold == "one" else SERVERS
    found = {}
    for divisor in (SHARING, 1):
        times = setups_by_server(simulations_of_fleet(divisor, own_divisor, cold))
        found[divisor] = max(most_in_a_window(times[server], window_s) for server in warming)
        assert sum(map(len, times.values())) > 8, "nothing was sent at all"
    assert 0 < found[SHARING] <= budget < found[1], (found, budget)
