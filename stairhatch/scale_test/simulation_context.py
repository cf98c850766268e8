"""What the simulated parts of one run share: plan, clock, network, random numbers and observations."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from stairhatch.overload.settings import Settings
from stairhatch.scale_test.call_generator import CallGenerator
from stairhatch.scale_test.list_changes import ListChangeTracker
from stairhatch.scale_test.processor_meter import ProcessorMeter
from stairhatch.scale_test.schema import ScalePlan
from stairhatch.scale_test.simulated_connection import SimulatedConnector
from stairhatch.scale_test.simulated_network import Address, SimulatedNetwork
from stairhatch.scale_test.topology import Topology
from stairhatch.scale_test.virtual_clock import ProcessClock, VirtualClock

MAX_FAULTS_KEPT = 5


@dataclass(slots=True, kw_only=True)
class SimulationContext:
    """The surroundings of the simulated parts. None of them owns it; `Simulation` builds it."""

    plan: ScalePlan
    settings: Settings  # of each softswitch, before its instance index
    clock: VirtualClock
    meter: ProcessorMeter
    emulator_clock: ProcessClock  # of servers and coordinators
    topology: Topology
    network: SimulatedNetwork
    connector: SimulatedConnector
    rng: random.Random
    calls: CallGenerator
    list_changes: ListChangeTracker
    begins_at: float  # the time of the clock at which the calls begin
    voters: dict[str, Address] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)  # of the program's own parts
    ended_counters: Counter[str] = field(default_factory=Counter)  # of processes that have ended

    @property
    def elapsed_s(self) -> float:
        """Seconds after the beginning of the calls."""
        return self.clock.now - self.begins_at

    def record_fault(self, softswitch: str, reason: object) -> None:
        """Keep one of the first faults in the program's own parts."""
        if len(self.faults) < MAX_FAULTS_KEPT:
            self.faults.append(f"{softswitch}: {reason}")
