"""Datagrams between the softswitches on the virtual clock, and the network conditions on their way."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from functools import partial

from stairhatch.fault_injection.event_queue import EventQueue
from stairhatch.fault_injection.schedule import FaultKind, ScheduledFault, blocks_traffic
from stairhatch.fleet.messages import FleetMessage

DATAGRAM_DELAY_S = (0.0005, 0.004)  # the least and the most
MAX_DUPLICATE_DELAY_S = (0.1, 1.0)  # one of these is drawn as the most

Receiver = Callable[[str, FleetMessage], None]  # with the sender's name


class VirtualNetwork:
    """Carries messages from one softswitch to another. `conditions` are the faults that are under way."""

    def __init__(self, queue: EventQueue, rng: random.Random, activations: Counter[str]) -> None:
        """`activations` counts how often each network condition took effect."""
        self.queue = queue
        self.rng = rng
        self.activations = activations
        self.conditions: list[ScheduledFault] = []
        self.receivers: dict[str, Receiver] = {}

    def add_condition(self, fault: ScheduledFault) -> None:
        """Have a fault on the network until its duration is over."""
        self.conditions.append(fault)
        self.queue.schedule_at(fault.at_s + fault.duration_s, lambda: self.conditions.remove(fault))

    def send(self, sender: str, receiver: str, message: FleetMessage) -> None:
        """Send a datagram: it arrives later, twice or never."""
        for delay_s in self._delivery_delays_s(sender, receiver):
            deliver = partial(self.receivers[receiver], sender, message)
            self.queue.schedule_at(self.queue.now + delay_s, deliver)

    def _delivery_delays_s(self, sender: str, receiver: str) -> list[float]:
        """When each copy of a datagram is delivered; empty where it is lost."""
        shortest_s, longest_s = DATAGRAM_DELAY_S
        delays_s = [self.rng.uniform(shortest_s, longest_s)]
        for fault in self.conditions:
            if blocks_traffic(fault, sender, receiver):
                self.activations[fault.kind.value] += 1
                return []
            draw = self.rng.random()
            match fault.kind:
                case FaultKind.LOSS if draw < fault.amount:
                    self.activations[fault.kind.value] += 1
                    return []
                case FaultKind.DELAY:
                    self.activations[fault.kind.value] += 1
                    delays_s = [each + fault.amount * self.rng.random() for each in delays_s]
                case FaultKind.DUPLICATION if draw < fault.amount:
                    self.activations[fault.kind.value] += 1
                    delays_s.append(self.rng.uniform(shortest_s, self.rng.choice(MAX_DUPLICATE_DELAY_S)))
        return delays_s
