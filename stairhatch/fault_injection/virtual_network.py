"""Datagrams between the softswitches on the virtual clock, and the network conditions on their way."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from functools import partial

from stairhatch.fault_injection.event_queue import EventQueue
from stairhatch.fault_injection.network_conditions import NetworkConditions
from stairhatch.fault_injection.schedule import ScheduledFault
from stairhatch.fleet.messages import FleetMessage

DATAGRAM_DELAY_S = (0.0005, 0.004)  # the least and the most
MAX_DUPLICATE_DELAY_S = (0.1, 1.0)  # one of these is drawn as the most

Receiver = Callable[[str, FleetMessage], None]  # with the sender's name


class VirtualNetwork:
    """Carries messages from one softswitch to another. Faults on it are its `conditions`."""

    def __init__(self, queue: EventQueue, rng: random.Random, activations: Counter[str]) -> None:
        """`activations` counts how often each network condition took effect."""
        self.queue = queue
        self.rng = rng
        self.conditions = NetworkConditions(rng, activations)
        self.receivers: dict[str, Receiver] = {}

    def add_condition(self, fault: ScheduledFault) -> None:
        """Have a fault on the network until its duration is over."""
        self.conditions.active.append(fault)
        self.queue.schedule_at(fault.at_s + fault.duration_s, lambda: self.conditions.active.remove(fault))

    def send(self, sender: str, receiver: str, message: FleetMessage) -> None:
        """Send a datagram: it arrives later, twice or never."""
        delay_s = self.rng.uniform(*DATAGRAM_DELAY_S)
        for each_s in self.conditions.delivery_delays_s(
            sender, receiver, delay_s, self._draw_duplicate_delay_s
        ):
            deliver = partial(self.receivers[receiver], sender, message)
            self.queue.schedule_at(self.queue.now + each_s, deliver)

    def _draw_duplicate_delay_s(self) -> float:
        return self.rng.uniform(DATAGRAM_DELAY_S[0], self.rng.choice(MAX_DUPLICATE_DELAY_S))
