"""A simulated run: creates all machines on one virtual clock, and schedules calls and planned events."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager

from stairhatch.overload.events import Availability
from stairhatch.scale_test.call_generator import CallGenerator, GeneratedCall
from stairhatch.scale_test.event_injector import EventInjector
from stairhatch.scale_test.list_changes import ListChangeTracker
from stairhatch.scale_test.processor_meter import ProcessorMeter, ProcessorPart
from stairhatch.scale_test.schema import PlannedEventKind, ScalePlan
from stairhatch.scale_test.simulated_connection import SimulatedConnector
from stairhatch.scale_test.simulated_coordinator import SimulatedCoordinator
from stairhatch.scale_test.simulated_network import Address, SimulatedNetwork
from stairhatch.scale_test.simulated_server import SimulatedServer
from stairhatch.scale_test.simulated_softswitch import SimulatedSoftswitch
from stairhatch.scale_test.simulation_context import SimulationContext
from stairhatch.scale_test.softswitch_settings import parsed_settings
from stairhatch.scale_test.topology import Topology
from stairhatch.scale_test.usage_totals import UsageTotals
from stairhatch.scale_test.virtual_clock import START_TIME, ProcessClock, VirtualClock
from stairhatch.scale_test.virtual_environment import virtual_environment

START_SPREAD_S = 0.5  # softswitches start at random times within this span
READY_TIMEOUT_S = 30.0  # maximum wait until all softswitches serve
READY_CHECK_INTERVAL_S = 0.05
ANSWER_MARGIN_S = 0.5  # waiting time for final answers beyond the callers' hard limit

Observer = Callable[["Simulation"], None]


def _observe_nothing(simulation: Simulation) -> None:
    """Observer that does nothing."""


class Simulation:
    """A simulated run of a plan, with its machines and the usage totals when calls begin and end."""

    def __init__(self, plan: ScalePlan) -> None:
        """Create all machines; no process is started yet."""
        self.plan = plan
        self.context = self._create_context()
        self.servers = [SimulatedServer(self.context, index) for index in range(plan.server_count)]
        self.coordinators = self._create_coordinators()
        self.softswitches = [self._create_softswitch(index) for index in range(plan.softswitch_count)]
        self.context.voters.update(self._choose_voters())
        listeners = self.context.connector.listeners
        listeners.update((server.address, server) for server in self.servers)
        listeners.update((coordinator.address, coordinator) for coordinator in self.coordinators)
        for softswitch in self.softswitches:
            self.context.network.datagram_receivers[softswitch.name] = softswitch
        self.injector = EventInjector(self.context, self.servers, self.coordinators, self.softswitches)
        self.totals_at_begin: UsageTotals
        self.totals_at_end: UsageTotals

    def run(self, observe: Observer = _observe_nothing, settle_s: float | None = None) -> None:
        """Run the plan until all calls have a final answer, or ANSWER_MARGIN_S past the callers' hard limit.

        Calls begin after the plan's lead time. With `settle_s` they begin that many seconds after all
        softswitches serve, as in a run of real processes. `observe` is called every OBSERVE_INTERVAL events.
        """
        with self.virtual_environment():
            self.start()
            if settle_s is not None:
                self._wait_until_ready()
                self.context.begins_at = self.context.clock.now + settle_s
            self._run_until(self.context.begins_at, observe)
            self.totals_at_begin = self.usage_totals()
            self.injector.schedule()
            self._schedule_next_call(self.context.calls.calls_from_outside())
            self._run_until(self.context.begins_at + self.plan.duration_s, observe)
            self.totals_at_end = self.usage_totals()
            self._await_answers(observe)

    def start(self) -> None:
        """Publish the initial endpoint list and schedule the softswitches' start, except in late zones."""
        for coordinator in self.coordinators:
            coordinator.set_initial_list([server.endpoint_line() for server in self.servers])
        late_zones = {event.zone for event in self.plan.events if event.kind is PlannedEventKind.ZONE_START}
        for softswitch in self.softswitches:
            starts_at = START_TIME + self.context.rng.uniform(0.0, START_SPREAD_S)
            if self.context.topology.zones[softswitch.machine] not in late_zones:
                self.context.clock.call_at(starts_at, softswitch.start)

    def virtual_environment(self) -> AbstractContextManager[None]:
        """Return a context in which the fleets use this run's clock, disks and random numbers."""
        by_name = {softswitch.name: softswitch for softswitch in self.softswitches}
        return virtual_environment(
            self.context.clock.time, self.context.rng, lambda name: by_name[name].open_store()
        )

    def usage_totals(self) -> UsageTotals:
        """Return the usage totals up to now."""
        counters = self.counters()
        return UsageTotals(
            setups=sum(server.emulator.setup_count for server in self.servers),
            list_messages=sum(each.list.poll_count for each in self.coordinators),
            list_bytes=sum(each.list.poll_bytes + each.list.answer_bytes for each in self.coordinators),
            lease_messages=counters["fleet_sent"],
            lease_bytes=counters["fleet_sent_bytes"],
            connection_bytes=self.context.network.connection_bytes,
        )

    def counters(self) -> Counter[str]:
        """Return the sum of the counters of all softswitch processes, running and ended."""
        total = Counter(self.context.ended_counters)
        for softswitch in self.softswitches:
            total.update(softswitch.counters())
        return total

    def changes_not_received(self) -> int:
        """Return the number of list changes not yet received, summed over the running softswitches."""
        running = [each for softswitch in self.softswitches if (each := softswitch.running()) is not None]
        return self.context.list_changes.not_received(running)

    def diverged_lists(self) -> int:
        """Return the number of running softswitches whose endpoint list differs from their coordinator's."""
        return sum(map(self._has_diverged, self.softswitches))

    def _create_context(self) -> SimulationContext:
        plan = self.plan
        clock, meter, topology = VirtualClock(), ProcessorMeter(), Topology(plan)
        network = SimulatedNetwork(plan, topology, clock)
        return SimulationContext(
            plan=plan,
            settings=parsed_settings(plan),
            clock=clock,
            meter=meter,
            emulator_clock=ProcessClock(clock, meter, ProcessorPart.EMULATORS),
            topology=topology,
            network=network,
            connector=SimulatedConnector(network),
            rng=random.Random(f"world {plan.seed}"),  # changing this text changes all draws
            calls=CallGenerator(plan, self._place_call),
            list_changes=ListChangeTracker(),
            begins_at=START_TIME + plan.lead_time_s,
        )

    def _create_coordinators(self) -> list[SimulatedCoordinator]:
        coordinators = [
            SimulatedCoordinator(self.context, region) for region in range(self.plan.region_count)
        ]
        for coordinator in coordinators:
            coordinator.peers = [each for each in coordinators if each is not coordinator]
        return coordinators

    def _create_softswitch(self, index: int) -> SimulatedSoftswitch:
        region = self.context.topology.region_of(index)
        return SimulatedSoftswitch(self.context, index, self.coordinators[region].address)

    def _choose_voters(self) -> dict[str, Address]:
        """Return the addresses of the voters by name, chosen from the zones, and so the regions, in turn."""
        voter_count = self.plan.fleet.voter_count if self.plan.fleet is not None else 0
        candidates = [self._softswitches_in(zone) for zone in range(self.plan.zone_count)]
        voters: list[SimulatedSoftswitch] = []
        while len(voters) < voter_count:
            for in_zone in candidates:
                if in_zone and len(voters) < voter_count:
                    voters.append(in_zone.pop(0))
        return {voter.name: voter.address for voter in voters}

    def _softswitches_in(self, zone: int) -> list[SimulatedSoftswitch]:
        zones = self.context.topology.zones
        return [softswitch for softswitch in self.softswitches if zones[softswitch.machine] == zone]

    def _run_until(self, end: float, observe: Observer) -> None:
        self.context.clock.run_until(end, lambda: observe(self))

    def _wait_until_ready(self) -> None:
        clock = self.context.clock
        while not self._is_ready() and clock.now < START_TIME + READY_TIMEOUT_S:
            clock.run_until(clock.now + READY_CHECK_INTERVAL_S)

    def _is_ready(self) -> bool:
        """Return whether all softswitches serve and, if indexes are leased, hold an instance index."""
        fleet = self.plan.fleet
        leases_index = fleet is not None and fleet.lease_instance_index
        return all(
            softswitch.is_ready() and (softswitch.has_instance_index or not leases_index)
            for softswitch in self.softswitches
        )

    def _await_answers(self, observe: Observer) -> None:
        clock = self.context.clock
        deadline = clock.now + self.plan.calls.hard_limit_s + ANSWER_MARGIN_S
        while self.context.calls.open_calls and clock.now < deadline:
            self._run_until(clock.now + ANSWER_MARGIN_S, observe)

    def _schedule_next_call(self, calls: Iterator[GeneratedCall]) -> None:
        call = next(calls, None)
        if call is not None:
            self.context.clock.call_at(self.context.begins_at + call.at_s, self._request, call, calls)

    def _request(self, call: GeneratedCall, later_calls: Iterator[GeneratedCall]) -> None:
        self.context.calls.request(call)
        self._schedule_next_call(later_calls)

    def _place_call(self, call: GeneratedCall) -> None:
        self.context.clock.call_soon(self.softswitches[call.softswitch].offer, call)

    def _has_diverged(self, softswitch: SimulatedSoftswitch) -> bool:
        if softswitch.incarnation is None:
            return False
        coordinator = self.coordinators[self.context.topology.region_of(softswitch.machine)]
        known = softswitch.incarnation.call_manager.servers.by_instance.values()
        ready = {each.record.instance for each in known if each.record.availability is Availability.READY}
        return ready != coordinator.instances_in_service()
