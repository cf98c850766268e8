"""The network conditions of a run: the active network faults and their effect on each datagram.

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
    """State of the network: the active faults, and a count of the effects of each kind of fault."""

    rng: random.Random
    activations: Counter[str] = field(default_factory=Counter)
    active: list[ScheduledFault] = field(default_factory=list)

    def is_blocked(self, sender: str, receiver: str) -> bool:
        """Whether an active fault blocks all traffic from one member to another."""
        return any(blocks_traffic(fault, sender, receiver) for fault in self.active)

    def delivery_delays_s(
        self, sender: str, receiver: str, delay_s: float, draw_duplicate_delay_s: Callable[[], float]
    ) -> list[float]:
        """Return the delay of each copy of a datagram, in seconds; the list is empty if the datagram is lost.

        `delay_s` is the delay without a fault. `draw_duplicate_delay_s` returns the delay of a duplicate.
        """
        delays_s = [delay_s]
        for fault in self.active:
            if blocks_traffic(fault, sender, receiver):
                self.activations[fault.kind.value] += 1
                return []
            fraction = self.rng.random()
            match fault.kind:
                case FaultKind.LOSS if fraction < fault.amount:
                    self.activations[fault.kind.value] += 1
                    return []
                case FaultKind.DELAY:
                    self.activations[fault.kind.value] += 1
                    delays_s = [each + fault.amount * self.rng.random() for each in delays_s]
                case FaultKind.DUPLICATION if fraction < fault.amount:
                    self.activations[fault.kind.value] += 1
                    delays_s.append(draw_duplicate_delay_s())
        return delays_s
