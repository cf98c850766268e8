"""Who stands in which zone and region."""

from __future__ import annotations

import random

from stairhatch.fault_injection.schedule import FaultKind, blocks_traffic
from stairhatch.fault_injection.schedule import ScheduledFault as Cut
from stairhatch.scale_test.schema import Happens, PlannedEventKind, ScalePlan


class Places:
    """Who stands where. Machine `n` has roster server `n` and softswitch `n`, as far as there are so many."""

    def __init__(self, plan: ScalePlan) -> None:
        self.plan = plan
        zones = [n % plan.zones for n in range(max(plan.softswitches, plan.servers))]
        random.Random(f"places {plan.seed}").shuffle(zones)
        self.zones = zones

    def region(self, machine: int) -> int:
        """Of a machine."""
        return self.zones[machine] % self.plan.regions

    def service(self, server: int) -> int:
        """Of a roster server."""
        return server % self.plan.services

    def of_service(self, service: int) -> list[int]:
        """Its roster servers."""
        return list(range(service, self.plan.servers, self.plan.services))

    def beside(self, server: int) -> int:
        """The softswitch beside a roster server."""
        return server % self.plan.softswitches

    def cut(self, event: Happens) -> Cut:
        """A cut as the lab has it, between zones or between regions."""
        if event.what is PlannedEventKind.ZONE:
            return Cut(event.at, FaultKind.PARTITION, duration_s=event.lasts, members=(f"z{event.zone}",))
        side = tuple(f"z{z}" for z in range(self.plan.zones) if z % self.plan.regions == 0)
        return Cut(event.at, FaultKind.PARTITION, duration_s=event.lasts, members=side)

    def apart(self, cut: Cut, one: int, other: int) -> bool:
        """Whether a cut lies between two machines."""
        return blocks_traffic(cut, f"z{self.zones[one]}", f"z{self.zones[other]}")
