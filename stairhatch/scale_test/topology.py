"""The topology of a run: zone and region of each machine, and the service of each roster server."""

from __future__ import annotations

import random

from stairhatch.fault_injection.schedule import FaultKind, ScheduledFault, blocks_traffic
from stairhatch.scale_test.schema import PlannedEvent, PlannedEventKind, ScalePlan


def softswitch_name(index: int) -> str:
    """Return the name of a softswitch, which is also its fleet member name."""
    return f"s{index}"


def instance_name(server: int, cold_start_count: int = 0) -> str:
    """Return the instance name of a roster server's process, which differs after each cold start."""
    return f"r{server}.{cold_start_count}" if cold_start_count else f"r{server}"


def _zone_name(zone: int) -> str:
    return f"z{zone}"


class Topology:
    """Placement of the machines of a run in zones and regions.

    Machine `n` hosts roster server `n` and softswitch `n`, if the plan has that many of each.
    """

    def __init__(self, plan: ScalePlan) -> None:
        """Draw the zone of each machine from the plan's seed."""
        self.plan = plan
        machine_count = max(plan.softswitch_count, plan.server_count)
        self.zones = [machine % plan.zone_count for machine in range(machine_count)]  # zone of each machine
        random.Random(f"places {plan.seed}").shuffle(self.zones)

    def region_of(self, machine: int) -> int:
        """Return the region of a machine."""
        return self.zones[machine] % self.plan.region_count

    def machines_in_zone(self, zone: int) -> list[int]:
        """Return the machines of a zone in ascending order."""
        return [machine for machine, machine_zone in enumerate(self.zones) if machine_zone == zone]

    def first_machine_in_region(self, region: int) -> int:
        """Return the first machine of a region, which hosts the region's coordinator."""
        return next(machine for machine in range(len(self.zones)) if self.region_of(machine) == region)

    def servers_of(self, service: int) -> list[int]:
        """Return the indexes of the roster servers of a service, in ascending order."""
        return list(range(service, self.plan.server_count, self.plan.service_count))

    def local_softswitch(self, server: int) -> int:
        """Return the softswitch that receives the follow-up calls of a roster server.

        It is on the same machine if there are at least as many softswitches as roster servers.
        """
        return server % self.plan.softswitch_count

    def partition_for(self, event: PlannedEvent) -> ScheduledFault:
        """Return a planned partition in the form that `blocks_traffic` takes; its members are zone names."""
        if event.kind is PlannedEventKind.ZONE_PARTITION:
            isolated = [event.zone]
        else:
            isolated = [zone for zone in range(self.plan.zone_count) if zone % self.plan.region_count == 0]
        members = tuple(map(_zone_name, isolated))
        return ScheduledFault(event.at_s, FaultKind.PARTITION, duration_s=event.duration_s, members=members)

    def is_separated(self, partition: ScheduledFault, one: int, other: int) -> bool:
        """Return whether a partition blocks traffic between two machines."""
        return blocks_traffic(partition, _zone_name(self.zones[one]), _zone_name(self.zones[other]))
