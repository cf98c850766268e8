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


@pytest.mark.parametrize("own_divisor", [False, True], ids=["the fleet's divisor", "the service's own"])
@pytest.mark.parametrize("cold", ["all", "one"])
def test_softswitches_that_bring_a_set_into_scope_at_once_overload_no_warming_server(own_divisor, cold):
    """30 softswitches ask for a service in the same instant, each knowing nothing, while one or all of its
    servers have just started. What they send to a warming one in any overload window stays within the budget.
    With a divisor of 1 the same calls break it, so that the run shows something.
    """
    sharing, size, warm = 30, 100.0, 25.0  # warm: set-ups a second of one server, its lines over their length
    a, b = call_class("a", 1, 2, 3), call_class("b", 9)
    safety = SafetyLimits(
        initial_capacity_fraction=0.25, warm_up_s=12.0, overload_multiple=2.0, overload_window_s=1.0
    )
    budget = safety.overload_multiple * safety.initial_capacity_fraction * warm * safety.overload_window_s
    found = {}
    for divisor in (sharing, 1):
        per = divisor if own_divisor else None
        fleet = 400 if own_divisor and divisor > 1 else divisor
        took = {server: [] for server in (1, 2, 3)}
        nodes = []
        for number in range(sharing):
            own = min(number, fleet - 1)
            settings = settings_with(a, b, instance_count=fleet, instance_index=own, safety=safety)
            services = [ServiceConfig(("a",), per, min(number, per - 1))] if per else []
            nodes.append(
                ScopeSimulation(scoped_controller(settings, number, services=services), number, slow_s=0.03)
            )
            born = 0.0 if cold == "one" else 999.0
            nodes[-1].update_endpoints(
                endpoint(1, up_since=999.0),
                endpoint(2, up_since=born),
                endpoint(3, up_since=born),
                endpoint(9),
            )
        # All in one step of time, then each server's state once it is linked, then steady calls for 5 s.
        for step in range(250):
            now = 1000.0 + step * 0.02
            for number, node in enumerate(nodes):
                node.run(now)
                if step % 5 == number % 5 or step == 0:
                    node.offer(a, 1, caller_timeout_s=4.0)
                if step % 10 == 1:
                    for server in (1, 2, 3):
                        node.handle(
                            LoadReported(
                                server,
                                LoadReport(free_lines=size * 0.6, total_lines=size, processor_wait_s=0.0),
                            )
                        )
        for node in nodes:
            for at, _, server in node.sent:
                took[server].append(at)
        chilled = (1,) if cold == "one" else (1, 2, 3)
        found[divisor] = max(most_in_a_window(took[server], safety.overload_window_s) for server in chilled)
        assert sum(map(len, took.values())) > 8, "nothing was sent at all"
    assert 0 < found[sharing] <= budget < found[1], (found, budget)
