"""Many softswitches on one virtual clock, with the faults of a schedule between them.

The decisions are the program's own; the clocks, disks and the network are simulated. The same schedule and
seed give the same history to the letter, so the order of the random draws must stay.
"""

from __future__ import annotations

import random
from collections import Counter

from stairhatch.fault_injection.event_queue import EventQueue
from stairhatch.fault_injection.history import HistoryRecord
from stairhatch.fault_injection.schedule import FaultSchedule
from stairhatch.fault_injection.virtual_fault_injector import VirtualFaultInjector
from stairhatch.fault_injection.virtual_member import VirtualMember, VirtualRun
from stairhatch.fault_injection.virtual_network import VirtualNetwork
from stairhatch.fleet.lease import LeaseState

MAX_START_DELAY_S = 0.5


class VirtualCluster:
    """One run of a schedule."""

    def __init__(self, schedule: FaultSchedule, seed: int) -> None:
        """Make the members of a run; nothing happens until `run`."""
        rng = random.Random(f"world {seed}")
        queue = EventQueue()
        activations: Counter[str] = Counter()
        self.shared = VirtualRun(
            schedule=schedule,
            rng=rng,
            queue=queue,
            network=VirtualNetwork(queue, rng, activations),
            activations=activations,
            voter_sets=[schedule.voters],
        )
        self.members = {name: VirtualMember(self.shared, name) for name in schedule.members}
        self.shared.network.receivers = {name: each.deliver for name, each in self.members.items()}

    @property
    def activations(self) -> Counter[str]:
        """How often each fault took effect."""
        return self.shared.activations

    def run(self) -> list[HistoryRecord]:
        """Carry out the whole run and return its history."""
        shared = self.shared
        for member in self.members.values():
            shared.queue.schedule_at(shared.rng.uniform(0, MAX_START_DELAY_S), member.start)
        VirtualFaultInjector(shared, self.members).schedule_all()
        shared.queue.run_until(shared.schedule.duration_s)
        return shared.records

    def holders_by_lease(self) -> dict[str, list[str]]:
        """Who holds which lease by their own belief: for measurements, not for the rules."""
        holders: dict[str, list[str]] = {}
        for member in self.members.values():
            if member.decisions is None:
                continue
            for name, lease in member.decisions.leases.items():
                if lease.state is LeaseState.HELD:
                    holders.setdefault(name, []).append(member.name)
        return holders
