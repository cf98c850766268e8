"""Which service calls which."""

from __future__ import annotations

import random

from stairhatch.scale_test.schema import ScalePlan


class Graph:
    """Which service asks which. Services lie in levels; each asks `fan_out` of the next level."""

    def __init__(self, plan: ScalePlan) -> None:
        depth = min(plan.calls.depth, plan.services) if plan.services > 1 else plan.calls.depth
        chance = random.Random(f"graph {plan.seed}")
        self.depth = plan.calls.depth
        levels = [[n for n in range(plan.services) if n % depth == level] for level in range(depth)]
        # Where there are fewer services than levels, the last ones ask the first again.
        self.first = levels[0] if plan.calls.service < 0 else [plan.calls.service]
        self.below: dict[int, list[int]] = {}
        for level, services in enumerate(levels):
            under = levels[(level + 1) % depth]
            for service in services:
                self.below[service] = chance.sample(under, min(len(under), plan.calls.fan_out))
