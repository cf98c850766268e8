"""Injects the planned events of a run: list changes, restarts, cold starts, outages and partitions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from stairhatch.scale_test.list_changes import FIRST_CHANGED_WEIGHT
from stairhatch.scale_test.schema import PlannedEvent, PlannedEventKind
from stairhatch.scale_test.simulated_coordinator import EndpointLine, SimulatedCoordinator
from stairhatch.scale_test.simulated_server import SimulatedServer
from stairhatch.scale_test.simulated_softswitch import SimulatedSoftswitch
from stairhatch.scale_test.simulation_context import SimulationContext

OUTAGE_DETECTION_S = 2.0  # from a machine's outage until the coordinator removes its roster server


class EventInjector:
    """Schedules the planned events of a run and counts how often each kind had an effect."""

    def __init__(
        self,
        context: SimulationContext,
        servers: Sequence[SimulatedServer],
        coordinators: Sequence[SimulatedCoordinator],
        softswitches: Sequence[SimulatedSoftswitch],
    ) -> None:
        """Prepare to inject events into the given machines; nothing is scheduled yet."""
        self.context = context
        self.servers = servers
        self.coordinators = coordinators
        self.softswitches = softswitches
        self._activations: Counter[PlannedEventKind] = Counter()

    def schedule(self) -> None:
        """Schedule all events of the plan; event times count from the time at which calls begin."""
        injected = 0
        for event in self.context.plan.events:
            if event.kind is PlannedEventKind.RESTART:
                self._schedule_restarts(event)
                continue
            times = event.count if event.kind is PlannedEventKind.LIST_CHANGE else 1
            for order in range(times):
                injected += 1
                region = event.region
                if region < 0:
                    region = injected % self.context.plan.region_count
                at = self._time_of(event, order, times)
                self.context.clock.call_at(at, self._inject, event, region)

    def activations(self) -> dict[PlannedEventKind, int]:
        """Return, for each kind of event, how often it had an effect."""
        by_network = self.context.network.activations
        return {kind: self._activations[kind] + by_network[kind] for kind in PlannedEventKind}

    def _time_of(self, event: PlannedEvent, order: int, times: int) -> float:
        """Return the clock time of occurrence `order` of `times`, spread evenly over the event's duration."""
        return self.context.begins_at + (event.at_s + event.duration_s * order / times)

    def _schedule_restarts(self, event: PlannedEvent) -> None:
        count = min(event.count, len(self.softswitches))
        drawn = self.context.rng.sample(self.softswitches, count)
        for order, softswitch in enumerate(drawn):
            self.context.clock.call_at(self._time_of(event, order, count), self._restart, softswitch)

    def _restart(self, softswitch: SimulatedSoftswitch) -> None:
        self._activations[PlannedEventKind.RESTART] += softswitch.restart()

    def _inject(self, event: PlannedEvent, region: int) -> None:
        match event.kind:
            case PlannedEventKind.LIST_CHANGE:
                self._change_line(region)
            case PlannedEventKind.ZONE_START:
                self._start_zone(event)
            case PlannedEventKind.COLD_REPLACEMENT:
                self._replace_by_cold_servers(event, region)
            case PlannedEventKind.RACK_OUTAGE:
                self._begin_rack_outage(event, region)
            case PlannedEventKind.ZONE_PARTITION | PlannedEventKind.REGION_PARTITION:
                self.context.network.begin_partition(event)
            case PlannedEventKind.RESTART:
                raise AssertionError("restarts are scheduled per softswitch, by _schedule_restarts")

    def _change_line(self, region: int) -> None:
        notified = self.context.list_changes.notified
        server = self.servers[notified % len(self.servers)]
        line = {**server.endpoint_line(), "weight": FIRST_CHANGED_WEIGHT + notified}
        self._notify([line], region)
        self._activations[PlannedEventKind.LIST_CHANGE] += 1

    def _notify(self, lines: list[EndpointLine], region: int) -> None:
        """Record a list change and apply its lines at the coordinator of a region."""
        self.context.list_changes.record_change(lines[0]["instanceId"], self.context.clock.now)
        self.coordinators[region].change(lines)

    def _start_zone(self, event: PlannedEvent) -> None:
        for softswitch in self.softswitches:
            if self.context.topology.zones[softswitch.machine] == event.zone:
                self._activations[PlannedEventKind.ZONE_START] += not softswitch.is_running
                softswitch.start()

    def _replace_by_cold_servers(self, event: PlannedEvent, region: int) -> None:
        lines = []
        for index in self.context.topology.servers_of(event.service)[: event.count]:
            server = self.servers[index]
            terminated_line = server.endpoint_line("terminated")
            server.kill()
            server.start_cold()
            lines += [server.endpoint_line(), terminated_line]
            self._activations[PlannedEventKind.COLD_REPLACEMENT] += 1
        self._notify(lines, region)

    def _begin_rack_outage(self, event: PlannedEvent, region: int) -> None:
        machines = self.context.topology.machines_in_zone(event.zone)[: event.count]
        terminated_lines = []
        for machine in machines:
            self._activations[PlannedEventKind.RACK_OUTAGE] += 1
            if machine < len(self.servers):
                terminated_lines.append(self.servers[machine].endpoint_line("terminated"))
                self.servers[machine].power_off()
            if machine < len(self.softswitches):
                self.softswitches[machine].power_off()
        if terminated_lines:
            self.context.clock.call_later(OUTAGE_DETECTION_S, self._notify, terminated_lines, region)
        self.context.clock.call_later(event.duration_s, self._end_rack_outage, machines, region)

    def _end_rack_outage(self, machines: list[int], region: int) -> None:
        lines = []
        for machine in machines:
            if machine < len(self.servers):
                self.servers[machine].start_cold()
                lines.append(self.servers[machine].endpoint_line())
            if machine < len(self.softswitches):
                self.softswitches[machine].power_on()
        if lines:
            self._notify(lines, region)
