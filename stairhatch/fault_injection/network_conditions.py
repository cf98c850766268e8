"""The network conditions of a run: which faults are on the network now, and what they do to a datagram.

Used by the links between real processes (`network_links`) and by the virtual network (`virtual_network`).
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from stairhatch.fault_injection.schedule import FaultKind, ScheduledFault, blocks_traffic


@dataclass(slots=True)
class NetworkConditions:
    """The faults that are on the network, and how often each took effect."""

    rng: random.Random
    activations: Counter[str] = field(default_factory=Counter)
    active: list[ScheduledFault] = field(default_factory=list)

    def block(self, sender: str, receiver: str) -> bool:
        """Whether everything from one to another is held back now."""
        return any(blocks_traffic(fault, sender, receiver) for fault in self.active)

    def delivery_delays_s(
        self, sender: str, receiver: str, delay_s: float, draw_duplicate_delay_s: Callable[[], float]
    ) -> list[float]:
        """When each copy of a datagram is delivered; empty where it is lost.

        `delay_s` is what it takes without a fault, and `draw_duplicate_delay_s` draws what a duplicate takes.
        """
        delays_s = [delay_s]
        for fault in self.active:
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
                    delays_s.append(draw_duplicate_delay_s())
        return delays_s
