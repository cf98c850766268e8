"""The call graph: which services each service calls, drawn from the plan's seed."""

from __future__ import annotations

import random

from stairhatch.scale_test.schema import ScalePlan


class CallGraph:
    """Services in levels; each service calls at most `fan_out` services of the next level."""

    def __init__(self, plan: ScalePlan) -> None:
        """Draw the graph from the plan's seed."""
        self.max_depth = plan.calls.max_depth
        rng = random.Random(f"graph {plan.seed}")
        levels = _levels(plan)
        self.entry_services = levels[0] if plan.calls.service < 0 else [plan.calls.service]
        self.services_below: dict[int, list[int]] = {}
        for level, services in enumerate(levels):
            # If there are fewer services than call depths, the last level calls the first one again.
            next_level = levels[(level + 1) % len(levels)]
            for service in services:
                below = rng.sample(next_level, min(len(next_level), plan.calls.fan_out))
                self.services_below[service] = below


def _levels(plan: ScalePlan) -> list[list[int]]:
    depth = plan.calls.max_depth
    if plan.service_count > 1:
        depth = min(depth, plan.service_count)
    return [
        [service for service in range(plan.service_count) if service % depth == level]
        for level in range(depth)
    ]
