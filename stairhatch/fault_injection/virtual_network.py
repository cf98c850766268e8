"""The simulated network that carries datagrams between the softswitches on the virtual clock."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from functools import partial

from stairhatch.fault_injection.event_queue import EventQueue
from stairhatch.fault_injection.network_conditions import NetworkConditions
from stairhatch.fault_injection.schedule import ScheduledFault
from stairhatch.fleet.messages import FleetMessage

DATAGRAM_DELAY_RANGE_S = (0.0005, 0.004)  # minimum and maximum, without a fault
MAX_DUPLICATE_DELAY_CHOICES_S = (0.1, 1.0)  # one of the two, drawn at random, is the maximum delay

Receiver = Callable[[str, FleetMessage], None]  # called with the sender's name and the message


class VirtualNetwork:
    """Simulated network: delivers each message after a random delay, subject to its `conditions`.

    `receivers` has the function that is called with the messages to a member, by the member's name.
    """

    def __init__(self, queue: EventQueue, rng: random.Random, activations: Counter[str]) -> None:
        """`activations` is incremented, by the fault kind's value, each time a network fault takes effect."""
        self.queue = queue
        self.rng = rng
        self.conditions = NetworkConditions(rng, activations)
        self.receivers: dict[str, Receiver] = {}

    def add_condition(self, fault: ScheduledFault) -> None:
        """Apply a network fault now; it ends `duration_s` after its scheduled time."""
        self.conditions.active.append(fault)
        self.queue.schedule_at(fault.at_s + fault.duration_s, lambda: self.conditions.active.remove(fault))

    def send(self, sender: str, receiver: str, message: FleetMessage) -> None:
        """Schedule the delivery of a datagram; network faults may delay, duplicate or lose it."""
        delay_s = self.rng.uniform(*DATAGRAM_DELAY_RANGE_S)
        for copy_delay_s in self.conditions.delivery_delays_s(
            sender, receiver, delay_s, self._draw_duplicate_delay_s
        ):
            deliver = partial(self.receivers[receiver], sender, message)
            self.queue.schedule_at(self.queue.now + copy_delay_s, deliver)

    def _draw_duplicate_delay_s(self) -> float:
        return self.rng.uniform(DATAGRAM_DELAY_RANGE_S[0], self.rng.choice(MAX_DUPLICATE_DELAY_CHOICES_S))
