"""A cluster of softswitches on one virtual clock, with the faults of a schedule.

The lease protocol is the program's code; the clocks, disks and network are simulated. The same schedule and
seed give exactly the same history, so the order of the random draws must not change.
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
    """Simulation of one run: the members, the state that they share, and the fault injector."""

    def __init__(self, schedule: FaultSchedule, seed: int) -> None:
        """Create the members of a run without starting them; `seed` seeds all random draws of the run."""
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
        self.shared.network.receivers = {name: member.deliver for name, member in self.members.items()}

    @property
    def activations(self) -> Counter[str]:
        """How often each kind of fault took effect, by the kind's value."""
        return self.shared.activations

    def run(self) -> list[HistoryRecord]:
        """Simulate the whole run and return its history."""
        shared = self.shared
        for member in self.members.values():
            shared.queue.schedule_at(shared.rng.uniform(0, MAX_START_DELAY_S), member.start)
        VirtualFaultInjector(shared, self.members).schedule_all()
        shared.queue.run_until(shared.schedule.duration_s)
        return shared.records

    def holders_by_lease(self) -> dict[str, list[str]]:
        """Return the names of the members whose lease client is in the state HELD, by lease.

        This state is not checked against the clock. It is for measurements; the rules use the history.
        """
        holders: dict[str, list[str]] = {}
        for member in self.members.values():
            if member.protocol is None:
                continue
            for name, lease in member.protocol.leases.items():
                if lease.state is LeaseState.HELD:
                    holders.setdefault(name, []).append(member.name)
        return holders
