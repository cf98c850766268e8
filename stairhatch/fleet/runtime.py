"""Driver of one softswitch's fleet member: connects the sans-I/O member to sockets, disk, clock and calls.

The driver makes no decision about leases, and it blocks neither the event loop nor a call. It logs its own
faults, and none of them stops another component. Related modules: `endpoint_list_runtime` relays the endpoint
list, `admin_commands` has the operators' commands, `event_recorder` records events, `metrics` has the gauges.
"""

from __future__ import annotations

import asyncio
import math
import random
import secrets
import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from stairhatch.fleet import instance_index, restart_slots
from stairhatch.fleet.admin_commands import AdminCommands
from stairhatch.fleet.config import FleetConfig
from stairhatch.fleet.effects import (
    Effect,
    LeaseEvent,
    MemberId,
    MemberState,
    PeerAddress,
    PersistFencingToken,
    PersistVotes,
    SendMessage,
)
from stairhatch.fleet.endpoint_list_runtime import EndpointListRelay
from stairhatch.fleet.event_recorder import EventRecorder, HistoryFile
from stairhatch.fleet.instance_index import InstanceIndexLease, decode_index, encode_index
from stairhatch.fleet.lease import LeaseConfig
from stairhatch.fleet.lease_pool import LeasePool
from stairhatch.fleet.member import ClusterMember
from stairhatch.fleet.messages import EndpointUpdate, FleetCodec, FleetMessage, Subscribe
from stairhatch.fleet.metrics import lease_report, update_gauges
from stairhatch.fleet.restart_slots import RestartSlotLease
from stairhatch.fleet.store import StoreError, VoterStore
from stairhatch.node.call_manager import CallManager
from stairhatch.node.io.network import Network
from stairhatch.node.protocol import do_nothing
from stairhatch.node.service_discovery import ServiceDiscoveryClient
from stairhatch.overload.settings import Settings

MAX_TICK_INTERVAL_S = 0.25
MIN_TICK_INTERVAL_S = 0.001
SETTLE_WINDOWS = 1.25  # in overload windows: the span in which a slot at a cold server opens and expires
GAUGE_INTERVAL_S = 1.0
SEED_BITS = 64
INCARNATION_BITS = 62  # fits the integers of a fleet datagram


def clock() -> float:
    """Return seconds of a monotonic clock that also advances while the machine is suspended.

    The clock is CLOCK_BOOTTIME (clock_gettime(2)).
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def between_check_and_write() -> None:
    """Do nothing. Fault injection replaces this hook to suspend the process between lease check and send.

    A suspension does the most harm there, because the lease may expire before the messages are sent.
    """


class FleetRuntime:
    """Driver of one softswitch's fleet member, with its leases and, if it is a voter, its votes."""

    def __init__(
        self, call_manager: CallManager, network: Network, config: FleetConfig, settings: Settings
    ) -> None:
        """Open the data directory, the history file and the datagram port.

        Raise StoreError if the data directory cannot be used, and OSError if the listening address or the
        history file cannot be used.
        """
        self.call_manager = call_manager
        self.network = network
        self.config = config
        self.log = call_manager.log
        self.counters = call_manager.counters
        self.output: deque[tuple[bytes, PeerAddress]] = deque()
        self.notify_writable: Callable[[], None] = do_nothing  # set by the network, which sends `output`
        self.codec = FleetCodec(config.fleet_name, config.secret)
        # The lambdas look up `clock` at each call, because a run on a virtual clock replaces the function.
        self.history = HistoryFile(config.history_path, lambda: clock())
        self.recorder = EventRecorder(self.log, self.counters, self.history, lambda: clock())
        self.random_source = random.Random(secrets.randbits(SEED_BITS))
        now = clock()
        self.store: VoterStore | None = None
        if config.data_directory is not None:
            self.store = VoterStore(config.data_directory, self._call_on_loop)
        self.member = self._open_member(now)
        self.settings = settings  # as configured, without the leased instance index
        self.instance_index_lease = self._lease_instance_index(settings)
        self.restart_slot = RestartSlotLease(self._restart_pool())
        self.relay = EndpointListRelay(self, lambda: clock(), lambda: between_check_and_write())
        self._timer: asyncio.TimerHandle | None = None
        self._gauges_updated_at = -math.inf
        self._is_stopped = False
        network.open_datagram_port(config.listen, self)
        call_manager.admin_commands.update(AdminCommands(self, lambda: clock()).by_name())
        self.history.write("started", name=config.member_name, voter=config.is_voter)

    def _open_member(self, now: float) -> ClusterMember:
        return ClusterMember(
            MemberId(self.config.member_name, secrets.randbits(INCARNATION_BITS)),
            LeaseConfig(self.config.voters, self.config.timings, self.config.epoch),
            self.random_source,
            now,
            self._persisted_state(),
        )

    def _persisted_state(self) -> MemberState:
        """Return the state in the data directory; a member that is no voter uses only the fencing tokens."""
        if self.store is None:
            return MemberState()
        stored = self.store.stored
        if stored.quarantined:
            self.log("fleet", what="storage_quarantined", reason=stored.quarantined)
        return MemberState(stored.voter_state if self.config.is_voter else None, stored.fencing_tokens)

    def _lease_instance_index(self, settings: Settings) -> InstanceIndexLease | None:
        if not self.config.lease_instance_index or settings.instance_count < 2:
            return None
        names = instance_index.lease_names(settings.instance_count)
        first = decode_index(settings.instance_index)
        if first is None:
            first = self.random_source.randrange(len(names))
        pool = LeasePool(names, self.member.lease, first)
        return InstanceIndexLease(pool, SETTLE_WINDOWS * settings.safety.overload_window_s)

    def _restart_pool(self) -> LeasePool | None:
        names = restart_slots.lease_names(self.config.restart_slots)
        if not names:
            return None
        return LeasePool(names, self.member.lease, self.random_source.randrange(len(names)))

    def lease_report(self) -> dict[str, Any]:
        """Return the leases and votes of this member, as the admin command `claims` reports them."""
        index_lease = self.instance_index_lease
        index = encode_index(index_lease.in_use) if index_lease is not None else None
        return lease_report(self.config, self.member, index, clock())

    # ---- start, stop and settings ----

    def start(self) -> None:
        """Request the leases for the instance index and the endpoint list, and start the periodic work."""
        now = clock()
        if self.instance_index_lease is not None:
            self.call_manager.attempts.check_instance_index = self._update_instance_index
            self.call_manager.update_settings(self.settings_in_use(self.settings))
            self.instance_index_lease.pool.request(now)
        self.relay.start(now)
        self._tick()

    def stop(self) -> None:
        """Stop the periodic work, release all leases except a restart slot, and close the data directory.

        A restart slot remains held, because it covers the time until the restarted process serves.
        """
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()
        for lease in self.member.leases.values():
            if not lease.name.startswith(restart_slots.PREFIX):
                self.carry_out(lease.release())
        if self.store is not None:
            self.store.close()

    def settings_in_use(self, settings: Settings) -> Settings:
        """Return `settings` with the leased instance index in place of the configured one.

        If `settings` have another instance count, the held index is released and one of the new range is
        requested.
        """
        if settings.instance_count != self.settings.instance_count:
            if self.instance_index_lease is not None:
                self.carry_out(self.instance_index_lease.pool.release())
            self.instance_index_lease = self._lease_instance_index(settings)
            if self.instance_index_lease is not None:
                self.instance_index_lease.pool.request(clock())
        self.settings = settings
        if self.instance_index_lease is None:
            return settings
        return replace(settings, instance_index=encode_index(self.instance_index_lease.in_use))

    def _call_on_loop(self, callback: Callable[[], None]) -> object:
        return self.network.loop.call_soon_threadsafe(callback)

    # ---- service discovery ----

    @property
    def discovery(self) -> ServiceDiscoveryClient | None:
        """The client whose endpoint list is relayed; None if this member uses none. Set before `start`."""
        return self.relay.discovery

    @discovery.setter
    def discovery(self, discovery: ServiceDiscoveryClient) -> None:
        self.relay.discovery = discovery

    def may_poll_coordinator(self) -> bool:
        """Return whether this member should poll the coordinator now, rather than rely on relayed lists."""
        return self.relay.may_poll_coordinator()

    def coordinator_answered(self, answer: Any) -> None:
        """Apply a coordinator's answer to the endpoint list, and relay the list as the lease's holder."""
        self.relay.coordinator_answered(answer)

    # ---- messages and effects ----

    def receive(self, data: bytes, peer: PeerAddress) -> None:
        """Handle one datagram; count and ignore it if it cannot be authenticated or decoded."""
        message = self.codec.decode(data)
        if message is None:
            self.counters.add("fleet_rejected_datagrams")
            return
        self.counters.add("fleet_received")
        try:
            self._dispatch(clock(), peer, message)
        except Exception as error:  # noqa: BLE001 - a fault in one message must not stop other components
            self._log_fault(error)
        self._tick()

    def _dispatch(self, now: float, peer: PeerAddress, message: FleetMessage) -> None:
        match message:
            case EndpointUpdate():
                self.relay.handle_update(now, peer, message)
            case Subscribe():
                self.relay.handle_subscribe(peer, message)
            case _:
                self.carry_out(self.member.handle(now, peer, message))

    def _log_fault(self, error: Exception) -> None:
        self.counters.add("fleet_faults")
        self.log("fault", why=f"{type(error).__name__}: {error}", component="Fleet")

    def send(self, destination: PeerAddress, message: FleetMessage) -> None:
        """Encode a message, queue its datagram for `destination` and notify the network."""
        data = self.codec.encode(message)
        self.counters.add("fleet_sent")
        self.counters.add("fleet_sent_bytes", len(data))
        self.output.append((data, destination))
        self.notify_writable()

    def carry_out(self, effects: list[Effect]) -> None:
        """Carry out effects in their order: send messages, write to disk, record events."""
        for effect in effects:
            match effect:
                case SendMessage():
                    self.send(effect.destination, effect.message)
                case PersistVotes() if self.store is not None:
                    self._persist_votes(self.store, effect)
                case PersistFencingToken() if self.store is not None:
                    self.store.persist(effect, self._count_failed_token_write)
                case LeaseEvent():
                    self.recorder.record(effect)

    def _persist_votes(self, store: VoterStore, write: PersistVotes) -> None:
        self.counters.add("fleet_disk_writes")
        started_at = clock()

        def completed(fault: str) -> None:
            if self._is_stopped:
                return
            now = clock()
            if now - started_at > self.config.timings.round_timeout_s:
                self.recorder.record_slow_write(now - started_at)
            self.carry_out(self.member.write_completed(now, write.write_id, fault))
            self._tick()

        store.persist(write, completed)

    def _count_failed_token_write(self, fault: str) -> None:
        if fault:
            self.counters.add("fleet_fencing_tokens_not_written")

    # ---- periodic work ----

    def tick_soon(self) -> None:
        """Schedule a tick for the next iteration of the event loop."""
        self.network.loop.call_soon(self._tick)

    def _tick(self) -> None:
        """Do the work that is due, and schedule the next tick even if that raised an exception.

        This is also called after each message.
        """
        if self._is_stopped:
            return
        now = clock()
        next_due_at = now + MAX_TICK_INTERVAL_S
        try:
            next_due_at = self._do_due_work(now)
        except Exception as error:  # noqa: BLE001 - without the next tick no lease would be renewed any more
            self._log_fault(error)
        if self._timer is not None:
            self._timer.cancel()
        wait_s = min(MAX_TICK_INTERVAL_S, max(MIN_TICK_INTERVAL_S, next_due_at - now))
        self._timer = self.network.loop.call_later(wait_s, self._tick)

    def _do_due_work(self, now: float) -> float:
        """Do the work that is due at `now`; return the time at which the next work is due."""
        self.carry_out(self.member.tick(now))
        if self.instance_index_lease is not None:
            self.carry_out(self.instance_index_lease.tick(now))
        self.carry_out(self.restart_slot.tick(now))
        self._update_instance_index()
        self.relay.tick(now)
        if now - self._gauges_updated_at >= GAUGE_INTERVAL_S:
            self._gauges_updated_at = now
            update_gauges(self.counters.counts, self.member, now)
        next_due_at = self.member.next_due_at()
        if self.instance_index_lease is not None:
            next_due_at = min(next_due_at, self.instance_index_lease.next_due_at(now))
        return next_due_at

    def _update_instance_index(self) -> None:
        """Update the settings if the instance index that may be used now has changed.

        The call manager also calls this before it writes a set-up to a cold server, because the process may
        have been suspended since the last update.
        """
        index_lease = self.instance_index_lease
        if index_lease is None:
            return
        previous = index_lease.in_use
        if not index_lease.update(clock()):
            return
        index = index_lease.in_use
        lease_index = previous if index is None else index
        self.history.write(
            "number", claim=f"{instance_index.PREFIX}{lease_index}", number=encode_index(index)
        )
        self.log("fleet", what="instance_index", index="none" if index is None else index)
        self.call_manager.update_settings(self.settings_in_use(self.settings))


__all__ = ["FleetRuntime", "StoreError", "clock"]
