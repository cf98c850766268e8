"""Which machine stands in which zone and region, and which roster server belongs to which service."""

from __future__ import annotations

import random

from stairhatch.fault_injection.schedule import FaultKind, ScheduledFault, blocks_traffic
from stairhatch.scale_test.schema import PlannedEvent, PlannedEventKind, ScalePlan


def softswitch_name(index: int) -> str:
    """Return the member name of a softswitch."""
    return f"s{index}"


def instance_name(server: int, starts: int = 0) -> str:
    """Return the name of a roster server's process in the endpoint list."""
    return f"r{server}.{starts}" if starts else f"r{server}"


def _zone_name(zone: int) -> str:
    return f"z{zone}"


class Topology:
    """The machines of a run.

    Machine `n` has roster server `n` and softswitch `n`, as far as there are so many.
    """

    def __init__(self, plan: ScalePlan) -> None:
        """Draw the zone of each machine from the plan's seed."""
        self.plan = plan
        machine_count = max(plan.softswitch_count, plan.server_count)
        self.zones = [machine % plan.zone_count for machine in range(machine_count)]  # by machine
        random.Random(f"places {plan.seed}").shuffle(self.zones)

    def region_of(self, machine: int) -> int:
        """Return the region in which a machine stands."""
        return self.zones[machine] % self.plan.region_count

    def machines_in_zone(self, zone: int) -> list[int]:
        """Return the machines of a zone in ascending order."""
        return [machine for machine, its_zone in enumerate(self.zones) if its_zone == zone]

    def first_machine_in_region(self, region: int) -> int:
        """Return the machine at which the coordinator of a region stands."""
        return next(machine for machine in range(len(self.zones)) if self.region_of(machine) == region)

    def servers_of(self, service: int) -> list[int]:
        """Return the roster servers of a service."""
        return list(range(service, self.plan.server_count, self.plan.service_count))

    def local_softswitch(self, server: int) -> int:
        """Return the softswitch at which calls that a roster server makes enter."""
        return server % self.plan.softswitch_count

    def partition_for(self, event: PlannedEvent) -> ScheduledFault:
        """Return a planned partition as the fault that `blocks_traffic` understands."""
        if event.kind is PlannedEventKind.ZONE_PARTITION:
            isolated = [event.zone]
        else:
            isolated = [zone for zone in range(self.plan.zone_count) if zone % self.plan.region_count == 0]
        members = tuple(map(_zone_name, isolated))
        return ScheduledFault(event.at_s, FaultKind.PARTITION, duration_s=event.duration_s, members=members)

    def is_separated(self, partition: ScheduledFault, one: int, other: int) -> bool:
        """Return whether a partition lies between two machines."""
        return blocks_traffic(partition, _zone_name(self.zones[one]), _zone_name(self.zones[other]))
