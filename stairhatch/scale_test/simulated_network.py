"""The simulated network between the machines of a run: delays, losses and partitions.

The network doesn't inspect or change the bytes that it delivers. `DatagramLink` decides, by random numbers
from the plan's seed, whether a datagram is lost, delayed or duplicated.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from stairhatch.fault_injection.schedule import ScheduledFault
from stairhatch.load_test.datagram_conditions import DatagramConditions, DatagramLink
from stairhatch.scale_test.schema import PlannedEvent, PlannedEventKind, ScalePlan
from stairhatch.scale_test.topology import Topology
from stairhatch.scale_test.virtual_clock import VirtualClock

# Delay before a stream retransmits lost data: the minimum retransmission timeout of Linux.
RETRANSMISSION_TIMEOUT_S = 0.2

Address = tuple[str, int]


class DatagramReceiver(Protocol):
    """Interface of an object with a datagram port."""

    machine: int

    def receive_datagram(self, data: bytes, sender: Address) -> None:
        """Handle a datagram from `sender`."""


@dataclass(frozen=True, slots=True)
class ActivePartition:
    """A partition that is in effect until the clock time `until`."""

    until: float
    kind: PlannedEventKind
    fault: ScheduledFault


class SimulatedNetwork:
    """Simulated network that delivers datagrams and computes the delays of streams."""

    def __init__(self, plan: ScalePlan, topology: Topology, clock: VirtualClock) -> None:
        """Create the network links; their random numbers derive from the plan's seed."""
        self.topology = topology
        self.clock = clock
        self.activations: Counter[PlannedEventKind] = Counter()  # traffic affected by a partition, by kind
        self.partitions: list[ActivePartition] = []
        self.connection_bytes = 0  # bytes sent on all connections
        self.datagram_receivers: dict[str, DatagramReceiver] = {}  # by host name
        rng = random.Random(f"wire {plan.seed}")

        def link(conditions: DatagramConditions) -> DatagramLink:
            """Return a link with its own random generator."""
            return DatagramLink(conditions, random.Random(rng.getrandbits(64)))

        self._within_zone = link(plan.network.within_zone)
        self._between_zones = link(plan.network.between_zones)
        self._between_regions = link(plan.network.between_regions)

    def begin_partition(self, event: PlannedEvent) -> None:
        """Begin the partition of an event and schedule its end."""
        until = self.clock.now + event.duration_s
        partition = ActivePartition(until, event.kind, self.topology.partition_for(event))
        self.partitions.append(partition)
        self.clock.call_later(event.duration_s, self.partitions.remove, partition)

    def partitioned_until(self, one: int, other: int) -> float:
        """Return the clock time at which the last partition between two machines ends; 0.0 without one.

        Each query that finds a partition counts as an activation of the partition's kind.
        """
        longest: ActivePartition | None = None
        for partition in self.partitions:
            lasts_longer = longest is None or partition.until > longest.until
            if lasts_longer and self.topology.is_separated(partition.fault, one, other):
                longest = partition
        if longest is None:
            return 0.0
        self.activations[longest.kind] += 1
        return longest.until

    def one_way_delay_s(self, one: int, other: int) -> float:
        """Return the one-way delay between two machines in seconds, without jitter."""
        return self._link(one, other).conditions.delay_ms / 1000

    def send_datagram(self, sender: int, source: Address, host: str, data: bytes) -> None:
        """Send a datagram from a machine to a host; it may be delayed, duplicated or lost."""
        receiver = self.datagram_receivers[host]
        delays_s = self._link(sender, receiver.machine).draw_delays_s()
        if self.partitioned_until(sender, receiver.machine):
            return
        for delay_s in delays_s:
            self.clock.call_later(delay_s, receiver.receive_datagram, data, source)

    def stream_delay_s(self, one: int, other: int) -> float:
        """Return the delay of stream data in seconds, including retransmission after loss or partition."""
        arrivals_s, delay_s = self._link(one, other).draw_delays_s(), 0.0
        if not arrivals_s:
            delay_s, arrivals_s = RETRANSMISSION_TIMEOUT_S, (self.one_way_delay_s(one, other),)
        if until := self.partitioned_until(one, other):
            delay_s += until - self.clock.now + RETRANSMISSION_TIMEOUT_S
        return delay_s + arrivals_s[0]

    def _link(self, one: int, other: int) -> DatagramLink:
        topology = self.topology
        if topology.zones[one] == topology.zones[other]:
            return self._within_zone
        if topology.region_of(one) == topology.region_of(other):
            return self._between_zones
        return self._between_regions
