"""The context that all simulated parts of a run share: plan, clock, network, random numbers, observations."""

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
    """Shared state of the simulated parts of one run, created by `Simulation`."""

    plan: ScalePlan
    settings: Settings  # common to all softswitches, which add their instance index
    clock: VirtualClock
    meter: ProcessorMeter
    emulator_clock: ProcessClock  # clock of roster servers and coordinators
    topology: Topology
    network: SimulatedNetwork
    connector: SimulatedConnector
    rng: random.Random
    calls: CallGenerator
    list_changes: ListChangeTracker
    begins_at: float  # clock time at which calls begin
    voters: dict[str, Address] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)  # first exceptions in the softswitch's production code
    ended_counters: Counter[str] = field(default_factory=Counter)  # sum over ended processes

    @property
    def elapsed_s(self) -> float:
        """Seconds since the calls began; negative before that."""
        return self.clock.now - self.begins_at

    def record_fault(self, softswitch: str, reason: object) -> None:
        """Record a fault in a softswitch's production code; only the first MAX_FAULTS_KEPT are kept."""
        if len(self.faults) < MAX_FAULTS_KEPT:
            self.faults.append(f"{softswitch}: {reason}")
