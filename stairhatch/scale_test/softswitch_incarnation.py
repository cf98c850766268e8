"""One incarnation of a simulated softswitch: the production code without sockets.

`CallManager` with its `Controller`, `ServerConnectionPool`, `ServiceDiscoveryClient` and `FleetRuntime` are
production classes. The simulation doesn't intervene in their decisions; it derives results from what they
send, log and count.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import cast

from stairhatch.emulators.caller_emulator import SESSION_OFFER
from stairhatch.fault_injection.virtual_disk import VirtualDisk
from stairhatch.fleet.config import FleetConfig
from stairhatch.fleet.lease import LeaseTimings
from stairhatch.fleet.runtime import FleetRuntime
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import CallRequest
from stairhatch.node.counters import Counters
from stairhatch.node.io.network import Network
from stairhatch.node.protocol import do_nothing
from stairhatch.node.server_connection import ServerConnection
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.node.service_discovery import ServiceDiscoveryClient
from stairhatch.node.sip_message import called_number
from stairhatch.overload.actions import Action
from stairhatch.overload.events import Event
from stairhatch.scale_test.call_generator import GeneratedCall
from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.connection_drivers import (
    ConnectionDriver,
    PersistentConnectionDriver,
    ServiceDiscoveryDriver,
)
from stairhatch.scale_test.processor_meter import ProcessorPart
from stairhatch.scale_test.schema import FleetPlan
from stairhatch.scale_test.simulated_caller import SimulatedCaller
from stairhatch.scale_test.simulated_fleet_network import SimulatedFleetNetwork
from stairhatch.scale_test.simulated_network import Address
from stairhatch.scale_test.simulated_vote_store import SimulatedVoteStore
from stairhatch.scale_test.simulation_context import SimulationContext
from stairhatch.scale_test.virtual_clock import ScheduledEvent

FLEET_NAME = "scale"
SEED_BITS = 64
NO_INSTANCE_INDEX = -1  # value of the setting until an index is leased
MIN_CALLERS_TO_PURGE = 64  # callers in excess of twice the open calls, before a purge


@dataclass(frozen=True, slots=True, kw_only=True)
class SoftswitchIdentity:
    """Name and addresses of a softswitch, which all its incarnations share."""

    machine: int
    name: str
    address: Address  # datagram port of its fleet member
    coordinator: Address


class SoftswitchIncarnation:
    """A process of a softswitch from its start to its end."""

    def __init__(
        self,
        context: SimulationContext,
        identity: SoftswitchIdentity,
        disk: VirtualDisk,
        log: Callable[..., None],
    ) -> None:
        """Create the call manager; `start` connects it to roster servers, service discovery and fleet."""
        self.context = context
        self.identity = identity
        self.machine = identity.machine
        self.disk = disk
        self.log = log
        self.started_at = context.clock.now
        self.is_running = True
        self.drivers: dict[ConnectionDriver, None] = {}
        self.call_manager = self._create_call_manager()
        self._callers: dict[int, SimulatedCaller] = {}  # by serial of the call
        self._fleet: FleetRuntime | None = None
        self._fleet_network = SimulatedFleetNetwork(context, identity.machine, identity.address)
        self._store: SimulatedVoteStore | None = None
        self._timer: ScheduledEvent | None = None

    def start(self) -> None:
        """Start server connections, service discovery and fleet in the order of the production code."""
        ServerConnectionPool(self.call_manager, self._drive_connection)
        self.call_manager.readiness.listening = True
        discovery = ServiceDiscoveryClient(self.call_manager, self.identity.coordinator, 0)
        if self.context.plan.fleet is not None:
            self._join_fleet(self.context.plan.fleet, discovery)
        ServiceDiscoveryDriver(self.context, self, discovery)
        self._schedule_timers()

    def open_store(self) -> SimulatedVoteStore:
        """Open and return the vote store of the fleet member."""
        self._store = SimulatedVoteStore(self.context.clock, self.context.rng, self.disk)
        return self._store

    def receive_datagram(self, data: bytes, sender: Address) -> None:
        """Handle a datagram from another member of the fleet."""
        if self._fleet is not None:
            self.context.meter.enter(ProcessorPart.LEASES)
            self._fleet.receive(data, sender)
            self.context.meter.leave()

    def is_ready(self) -> bool:
        """Return whether the softswitch has completed its startup and serves calls."""
        return self.call_manager.readiness.startup_health().is_ready

    def offer(self, request: GeneratedCall) -> None:
        """Offer a call as a frontend would.

        The call is unreachable if the softswitch is not ready or, while shutting down, rejects new calls. If
        the softswitch rejects new calls for another reason, the call is rejected.
        """
        readiness = self.call_manager.readiness
        rejects_calls = readiness.rejects_new_calls()
        if not self.is_ready() or (readiness.shutting_down and rejects_calls):
            self._record(request, SimulatedCallResult.UNREACHABLE)
        elif rejects_calls:
            self._record(request, SimulatedCallResult.REJECTED)
        else:
            self._offer_to_call_manager(request)

    def begin_shutdown(self) -> None:
        """Start draining, as before a planned restart."""
        self.call_manager.readiness.shutting_down = True
        self.call_manager.readiness.drain(True)

    def is_drained(self) -> bool:
        """Return whether no call is open and all releases to the roster servers have been written."""
        return self.call_manager.is_settled() and not self.call_manager.calls.by_number

    def leave_fleet(self) -> None:
        """Stop the fleet member, which releases its leases, as at the end of a graceful shutdown."""
        if self._fleet is not None:
            self._fleet.stop()

    def end(self, powered_off: bool) -> None:
        """End the process.

        With `powered_off` its connections are dropped without notifying the peers; otherwise they are closed.
        """
        self.is_running = False
        for driver in list(self.drivers):
            driver.stop(powered_off)
        self.drivers.clear()
        self._cancel_timer()
        self.call_manager.timers.on_earlier_due = do_nothing
        self._fleet_network.has_ended = True
        self._fleet = None
        if self._store is not None:
            self._store.close()
        self.context.ended_counters.update(self.call_manager.counters.counts)
        for caller in self._callers.values():
            if self._has_open_call(caller):
                caller.softswitch_ended()

    def _create_call_manager(self) -> CallManager:
        context, fleet = self.context, self.context.plan.fleet
        leases_index = fleet is not None and fleet.lease_instance_index
        instance_index = NO_INSTANCE_INDEX if leases_index else self.machine
        settings = replace(context.settings, instance_index=instance_index)
        rng = random.Random(context.rng.getrandbits(SEED_BITS))
        call_manager = CallManager(settings, rng, context.clock.time, self.log, Counters())
        self._measure_decisions(call_manager)
        call_manager.timers.on_earlier_due = self._schedule_timers
        return call_manager

    def _measure_decisions(self, call_manager: CallManager) -> None:
        meter, handle = self.context.meter, call_manager.controller.handle

        def measured_handle(now: float, event: Event) -> Iterator[Action]:
            """Handle an event and charge the time to the decisions."""
            with meter.measuring(ProcessorPart.DECISIONS):
                yield from handle(now, event)

        call_manager.controller.handle = measured_handle  # type: ignore[method-assign]

    def _drive_connection(self, connection: ServerConnection) -> None:
        PersistentConnectionDriver(self.context, self, connection)

    def _join_fleet(self, fleet: FleetPlan, discovery: ServiceDiscoveryClient) -> None:
        name, voters = self.identity.name, self.context.voters
        config = FleetConfig(
            FLEET_NAME,
            name,
            self.identity.address,
            voters,
            data_directory=Path(name) if name in voters else None,
            timings=LeaseTimings(fleet.lease_duration_s, fleet.clock_drift_bound),
            lease_instance_index=fleet.lease_instance_index,
            relay_endpoint_list=fleet.relay_endpoint_list,
        )
        # `FleetRuntime` uses only the loop and the datagram port of its network.
        network = cast(Network, self._fleet_network)
        self._fleet = FleetRuntime(self.call_manager, network, config, self.context.settings)
        if fleet.relay_endpoint_list:
            self._fleet.discovery = discovery
            discovery.on_answer = self._fleet.coordinator_answered
            discovery.may_poll = self._fleet.may_poll_coordinator
        self._fleet.start()

    def _schedule_timers(self) -> None:
        due_at = self.call_manager.timers.next_due()
        self._cancel_timer()
        if due_at is not None:
            self._timer = self.context.clock.call_at(due_at, self._run_timers)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run_timers(self) -> None:
        self._timer = None
        with self.context.meter.measuring(ProcessorPart.TIMERS):
            self.call_manager.timers.run_due()
        self._schedule_timers()

    def _offer_to_call_manager(self, request: GeneratedCall) -> None:
        caller = SimulatedCaller(self.context, self, request)
        call_request = CallRequest(
            ident=f"{request.serial:016x}",
            call_class=self.context.settings.classes[request.service],
            called_uri=request.called_number,
            description=SESSION_OFFER.decode(),
            caller_timeout_s=self.context.plan.calls.hard_limit_s,
            called_number=called_number(request.called_number),
            reports_progress=True,
        )
        self._callers[request.serial] = caller
        with self.context.meter.measuring(ProcessorPart.CALLS):
            caller.call = self.call_manager.offer_call(call_request, caller)
        if len(self._callers) > 2 * len(self.call_manager.calls.by_number) + MIN_CALLERS_TO_PURGE:
            self._callers = {
                serial: each for serial, each in self._callers.items() if self._has_open_call(each)
            }

    def _has_open_call(self, caller: SimulatedCaller) -> bool:
        return caller.call is not None and caller.call.number in self.call_manager.calls.by_number

    def _record(self, request: GeneratedCall, result: SimulatedCallResult) -> None:
        self.context.calls.record_result(request, result, self.context.elapsed_s)
