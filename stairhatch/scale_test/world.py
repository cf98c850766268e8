"""The hollow softswitches of a run and what stands around them: owns the drivers that stand for sockets, the
stand-in roster servers and coordinators on the virtual clock, the events of the plan, and what is counted.
The Core with its Controller, ServerConnectionPool, Directory and Fleet are the program's own and are fed the
bytes that would cross a socket. It must never reach into a decision.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

from stairhatch.emulators.caller_emulator import SESSION_OFFER
from stairhatch.emulators.coordinator_emulator import EndpointEventLog, endpoint_line, parse_poll_request
from stairhatch.emulators.observations import ObservationKind
from stairhatch.emulators.processor import Processor, ProcessorProfile, ProcessorState
from stairhatch.emulators.server_emulator import ServerEmulator, ServerEmulatorConnection
from stairhatch.fault_injection.virtual_disk import DISK_SYNC_S, VirtualDisk
from stairhatch.fleet import runtime as fleet_runtime
from stairhatch.fleet.config import FleetConfig
from stairhatch.fleet.effects import PersistedState, PersistFencingToken, PersistVotes
from stairhatch.fleet.lease import LeaseTimings
from stairhatch.fleet.messages import StorageVersion
from stairhatch.fleet.runtime import FleetRuntime
from stairhatch.fleet.store import StoredState
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Call, CallRequest, ReleaseCause
from stairhatch.node.counters import Counters
from stairhatch.node.io.connector import (
    CONNECT_TIMEOUT_S,
    MAX_BACKOFF_S,
    MAX_POLL_BACKOFF_S,
    MIN_BACKOFF_S,
    POLL_TURN_CHECK_S,
)
from stairhatch.node.protocol import ConnectionProtocol, do_nothing
from stairhatch.node.server_connection import ServerConnection
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.node.service_discovery import ServiceDiscoveryClient
from stairhatch.node.sip_message import called_number
from stairhatch.overload.events import Availability, Event
from stairhatch.overload.settings import Settings
from stairhatch.scale_test.clock import BEGIN, Clock, Meter, Net, ProcessClock, ScheduledEvent, Stream
from stairhatch.scale_test.plan import (
    Happens,
    Places,
    PlannedEventKind,
    ScalePlan,
    SimulatedCallResult,
    Traffic,
    Wanted,
    quantile,
    read_settings,
)

STARTS_S = 0.5  # within which all are started
READY_S = 30.0  # and serve at the latest
SETTLE_S = 0.05  # between two looks at a softswitch that drains
LEASE_S = 2.0  # after which the coordinator knows that a machine is off
AFTER_S = 0.5  # beyond the longest that a caller waits
FAULTS_KEPT = 5
GAUGES = (
    "fleet_remaining_ms",
    "fleet_fencing_token",
    "fleet_leases_held",
    "fleet_voter_set_epoch",
    "fleet_is_voting",
)


def nature_of(plan: ScalePlan) -> ProcessorProfile:
    """What its roster servers can do."""
    told = plan.server
    return ProcessorProfile(
        setup_s=told.set_up_ms / 1000, max_queue_delay_s=told.longest_wait_s,
        initial_capacity_fraction=told.cold_from,
        warm_up_s=told.warm_after_s, overload_multiple=told.fall_multiple, overload_window_s=told.fall_s,
    )  # fmt: skip


class Pipe:
    """What a stand-in takes for its transport."""

    def __init__(self, stream: Stream, side: int) -> None:
        self.stream, self.side = stream, side

    def write(self, data: bytes) -> None:
        """Bytes to the other side."""
        self.stream.send(self.side, data)

    def abort(self) -> None:
        """End it."""
        self.stream.close(self.side)

    close = abort


class HollowServer:
    """A stand-in roster server on a machine, and the processes that follow one another there."""

    def __init__(self, world: World, index: int) -> None:
        self.world, self.index = world, index
        self.place = (f"10.0.{index // 250}.{index % 250 + 1}", 7000)
        self.starts, self.on = 0, True
        self.streams: dict[Stream, None] = {}
        self.cold_set_ups: list[list[float]] = []  # by start, when each came while it was cold
        processor = Processor(nature_of(world.plan), random.Random(world.plan.seed * 31 + index))
        self.standin = ServerEmulator(
            lines=world.plan.server.lines, processor=processor, timers=world.stand_ins,
            load_report_interval_s=world.plan.server.state_s,
        )  # fmt: skip
        self.standin.observer = self._observe
        self.processor = processor

    @property
    def instance(self) -> str:
        """The name of the process in the list."""
        return f"r{self.index}" + (f".{self.starts}" if self.starts else "")

    def line(self, state: str = "in_service") -> dict[str, Any]:
        """In the list."""
        started = self.processor.started_cold_at
        return endpoint_line(
            self.instance, self.place, self.index, state, int(1000 * started) if started else 0
        )

    def _observe(self, kind: ObservationKind, number: str) -> None:
        now = self.world.clock.now
        if kind is ObservationKind.ESTABLISHED:
            self.world.traffic.stood_at(number, self.index)
        elif kind is ObservationKind.SETUP_RECEIVED and self.cold_set_ups and self._is_cold(now):
            self.cold_set_ups[-1].append(now)

    def _is_cold(self, now: float) -> bool:
        born = self.processor.started_cold_at
        return born is not None and now - born < self.processor.profile.warm_up_s

    def accept(self, stream: Stream) -> tuple[Callable[[bytes], None], Callable[[], None]]:
        """A connection has come up: who takes its bytes, and its end."""
        meter, link = self.world.meter, ServerEmulatorConnection(self.standin)
        self.streams[stream] = None

        def take(data: bytes) -> None:
            meter.enter("stand-ins")
            link.data_received(data)
            meter.leave()

        def lost() -> None:
            self.streams.pop(stream, None)
            link.connection_lost(None)

        self.world.stand_ins.call_soon(link.connection_made, Pipe(stream, 1))
        return take, lost

    def end(self, quietly: bool = False) -> None:
        """Its process dies; or its machine goes off, and nobody hears of that."""
        for stream in list(self.streams):
            if quietly:
                stream.mute()
        self.standin.abort_connections()
        self.streams.clear()

    def start_cold(self) -> None:
        """Another process."""
        self.starts += 1
        self.on = True
        self.cold_set_ups.append([])
        self.processor.start_cold(self.world.clock.now)


class HollowCoordinator:
    """One region's. What is changed in one goes to the others; of two changes to a line the later stands."""

    def __init__(self, world: World, region: int) -> None:
        self.world, self.region = world, region
        self.list = EndpointEventLog()
        self.machine = next(n for n in range(len(world.places.zones)) if world.places.region(n) == region)
        self.place = (f"10.9.{region}.1", 8000)
        self.waiting: dict[Stream, tuple[int, ScheduledEvent]] = {}
        self.stamps: dict[str, tuple[float, int]] = {}
        self._reached: dict[int, float] = {}  # when the last change to each other region arrives
        self.left_out = 0  # lines told later than a newer one

    def change(self, lines: list[dict[str, Any]], stamp: tuple[float, int] | None = None) -> None:
        """Lines are told, here (no stamp) or by another region."""
        mine = stamp is None
        at = (self.world.clock.now, self.region) if stamp is None else stamp
        kept = [each for each in lines if at >= self.stamps.get(each["instanceId"], at)]
        self.left_out += len(lines) - len(kept)
        self.stamps.update((each["instanceId"], at) for each in kept)
        if kept:
            self.list.publish(kept)
            for stream, (after, due) in list(self.waiting.items()):
                due.cancel()
                self._answer(stream, after)
        for other in self.world.coordinators if mine else ():
            if other is not self:
                net, clock = self.world.net, self.world.clock
                due_at = clock.now + net.delay(self.machine, other.machine)
                due_at = self._reached[other.region] = max(due_at, self._reached.get(other.region, 0.0))
                clock.call_at(due_at, other.change, lines, at)

    def in_service(self) -> set[str]:
        """By the list as it is now."""
        found: dict[str, str] = {}
        for event in self.list.events:
            for each in event["endpoints"]["instances"]:
                found[each["instanceId"]] = each["lifecycle"]
        return {name for name, state in found.items() if state == "in_service"}

    def accept(self, stream: Stream) -> tuple[Callable[[bytes], None], Callable[[], None]]:
        """A connection has come up."""
        data = b""

        def take(more: bytes) -> None:
            nonlocal data
            with self.world.meter.of("stand-ins"):
                self.list.poll_bytes += len(more)
                *lines, data = (data + more).split(b"\n")
                for text in lines:
                    if text.startswith(b"GET "):
                        self._asked(stream, text)

        def lost() -> None:
            if stream in self.waiting:
                self.waiting.pop(stream)[1].cancel()

        return take, lost

    def _asked(self, stream: Stream, text: bytes) -> None:
        after, wait_s = parse_poll_request(text)
        self.list.poll_count += 1
        if len(self.list.events) > after:
            self._answer(stream, after)
        else:
            self.waiting[stream] = after, self.world.clock.call_later(wait_s, self._answer, stream, after)

    def _answer(self, stream: Stream, after: int) -> None:
        self.waiting.pop(stream, None)
        stream.send(1, self.list.answer(after))


class HollowStore:
    """A voter's folder: what it was asked to keep is there a moment later."""

    def __init__(self, world: World, disk: VirtualDisk) -> None:
        self.world, self.disk, self.closed = world, disk, False
        if not disk.storage_id:
            disk.storage_id = f"{world.chance.getrandbits(64):016x}"
        disk.incarnation += 1
        mark = StorageVersion(disk.storage_id, disk.incarnation, disk.vote_count)
        kept = PersistedState(
            mark, disk.admitted, tuple(disk.votes.values()), dict(disk.known_versions), disk.voter_set
        )
        self.stored = StoredState(kept, dict(disk.fencing_tokens))

    def persist(self, what: PersistVotes | PersistFencingToken, done: Callable[[str], None]) -> None:
        """Put it there, and say so."""
        self.world.clock.call_later(self.world.chance.uniform(*DISK_SYNC_S), self._kept, what, done)

    def _kept(self, what: PersistVotes | PersistFencingToken, done: Callable[[str], None]) -> None:
        if self.closed:
            return
        if isinstance(what, PersistVotes):
            self.disk.apply(what)
        else:
            self.disk.fencing_tokens[what.lease] = what.fencing_token
        done("")

    def close(self) -> None:
        """Its process ends."""
        self.closed = True


class Dice:
    """Stands for the system's own, so that a run can be played again."""

    def __init__(self, chance: random.Random) -> None:
        self.randbits = chance.getrandbits


class Driver:
    """Carries bytes between one machine of a softswitch and a stream, as `ConnectionRunner` with a socket."""

    part = "rest"

    def __init__(self, softswitch: Softswitch, machine: ConnectionProtocol) -> None:
        self.softswitch, self.world, self.machine = softswitch, softswitch.world, machine
        self.clock, self.meter = self.world.clock, self.world.meter
        self.stream: Stream | None = None
        self.stopped = False
        self.backoff = MIN_BACKOFF_S
        self.up_at = 0.0
        self._pulls = False
        softswitch.drivers[self] = None

    def stop(self, quietly: bool) -> None:
        """The process ends, or its machine goes off."""
        self.stopped = True
        stream, self.stream = self.stream, None
        if stream is not None:
            (stream.mute if quietly else partial_close(stream))()

    def began(self, stream: Stream) -> None:
        """The connection is up."""
        self.stream, self.up_at = stream, self.clock.now
        self.machine.notify_writable, self.machine.abort = self._wake, self._abort
        self._wake()

    def take(self, data: bytes) -> None:
        """Bytes have come."""
        if self.stream is None:
            return
        self.meter.enter(self.part)
        try:
            self.machine.receive_data(data)
        except Exception as error:  # noqa: BLE001 - as `ConnectionRunner.run`: it ends this connection only
            self.softswitch.core.counters.add("connection_faults")
            self.softswitch.log("fault", why=f"{type(error).__name__}: {error}")
            self._abort()
            return
        finally:
            self.meter.leave()
        if self.machine.can_close():
            self._pull()

    def _wake(self) -> None:
        if not self._pulls:
            self._pulls = True
            self.clock.call_soon(self._pull)

    def _pull(self) -> None:
        self._pulls = False
        if self.stream is None or self.stopped:
            return
        self.meter.enter(self.part)
        while data := self.machine.data_to_send():
            self.stream.send(0, data)
        self.meter.leave()
        if self.machine.can_close():
            self._abort()

    def _abort(self) -> None:
        self.clock.call_soon(self.ended, self.stream)

    def ended(self, stream: Stream | None = None) -> None:
        """Either side has ended it."""
        if self.stream is None or self.stopped or (stream is not None and stream is not self.stream):
            return
        stream, self.stream = self.stream, None
        self.machine.eof_received()
        stream.close(0)
        self.machine.notify_writable, self.machine.abort = do_nothing, do_nothing
        self.machine.connection_lost()
        self.over()

    def over(self) -> None:
        """What to do next."""


def partial_close(stream: Stream) -> Callable[[], None]:
    """The dialler's end of it."""
    return lambda: stream.close(0)


class Keeper(Driver):
    """Keeps a connection to a roster server, as `ServerConnector.keep_up`."""

    part = "links"

    def __init__(self, softswitch: Softswitch, link: ServerConnection) -> None:
        super().__init__(softswitch, link)
        self.link = link
        self._wanted = False
        self._again: ScheduledEvent | None = None
        self.clock.call_soon(self._dial)

    def _want(self) -> None:
        self._wanted = True
        if self._again is not None:
            self._later(0.0)

    def _later(self, after: float) -> None:
        if self._again is not None:
            self._again.cancel()
        self._again = self.clock.call_later(after, self._dial)

    def _dial(self) -> None:
        self._again, link = None, self.link
        if self.stopped:
            return
        if link.can_close() or (link.draining and not link.has_queued):
            self._drop()
            return
        self._wanted = False
        link.notify_writable = self._want
        within_s = self.softswitch.core.settings.connect_timeout_s
        self.world.dial(self, link.server.record.address, within_s, self._up, self._failed)

    def _up(self, stream: Stream) -> None:
        self.link.connection_made()
        self.began(stream)

    def _failed(self, refused: bool) -> None:
        if self.stopped:
            return
        self.link.connect_failed(refused)
        if self.link.draining:
            self._drop()
            return
        self._wanted = self._wanted and self.link.has_queued
        self._later(0.0 if self._wanted else self.backoff)
        self.backoff = min(MAX_BACKOFF_S, 2 * self.backoff)

    def over(self) -> None:
        """Dial again, sooner where it had been up for long."""
        if self.clock.now - self.up_at > MAX_BACKOFF_S:
            self.backoff = MIN_BACKOFF_S
            self._later(0.0)
        elif self.link.draining:
            self._later(0.0)
        else:
            self._later(self.backoff)
            self.backoff = min(MAX_BACKOFF_S, 2 * self.backoff)

    def _drop(self) -> None:
        self.softswitch.drivers.pop(self, None)
        self.link.pool.remove(self.link)


class Follower(Driver):
    """Keeps the long poll going, as `Network.poll_service_discovery`."""

    part = "list"

    def __init__(self, softswitch: Softswitch, directory: ServiceDiscoveryClient) -> None:
        super().__init__(softswitch, directory)
        self.directory = directory
        directory.reconnect_now = self._hurry
        self._hurried = False
        self._answers = 0
        self._again: ScheduledEvent | None = None
        self._later(0.0)

    def _hurry(self) -> None:
        self._hurried = True
        if self._again is not None:
            self._later(0.0)

    def _later(self, after: float) -> None:
        if self._again is not None:
            self._again.cancel()
        self._again = self.clock.call_later(after, self._dial)

    def _dial(self) -> None:
        self._again, self._hurried = None, False
        if self.stopped:
            return
        if self.directory.is_paused():
            self._later(POLL_TURN_CHECK_S)
            return
        self._answers = self.directory.answers_received
        self.world.dial(self, self.directory.address, CONNECT_TIMEOUT_S, self._up, self._failed)

    def _up(self, stream: Stream) -> None:
        self.directory.connected()
        self.began(stream)

    def _failed(self, refused: bool) -> None:
        self.softswitch.core.counters.add("discovery_unreachable")
        self.over()

    def over(self) -> None:
        """Ask again."""
        if self.stopped:
            return
        if self._hurried or self.directory.answers_received > self._answers:
            self.backoff = MIN_BACKOFF_S
        self._later(0.0 if self._hurried else self.backoff)
        self.backoff = min(MAX_POLL_BACKOFF_S, 2 * self.backoff)


class HollowCaller:
    """The front of one call: what the core tells its caller goes to whoever wanted it."""

    __slots__ = ("call", "over", "softswitch", "wanted")

    def __init__(self, softswitch: Softswitch, wanted: Wanted) -> None:
        self.softswitch, self.wanted = softswitch, wanted
        self.call: Call | None = None
        self.over = False

    def _end(self, end: SimulatedCallResult) -> None:
        world = self.softswitch.world
        world.traffic.ended(self.wanted, end, world.passed)

    def progressing(self) -> None:
        """A roster server is at work on it."""

    def established(self, description: bytes) -> None:
        """It is held for a while, then its caller hangs up."""
        world = self.softswitch.world
        world.clock.call_later(self.wanted.hold_s, self._hang_up, self.softswitch.life)
        self._end(SimulatedCallResult.STOOD)

    def rejected(self, retry_after_s: float) -> None:
        """Turned away."""
        self._end(SimulatedCallResult.REFUSED)

    def failed(self, timed_out: bool) -> None:
        """Given up."""
        self._end(SimulatedCallResult.FAILED)

    def released(self, cause: int) -> None:
        """The other side has ended it."""
        self.over = True
        self.softswitch.world.traffic.tally.cut += cause != ReleaseCause.NORMAL_CLEARING

    def _hang_up(self, life: int) -> None:
        if not self.over and self.call is not None and self.softswitch.life == life:
            self.softswitch.core.release(self.call, ReleaseCause.NORMAL_CLEARING)

    def lose(self) -> None:
        """Its softswitch has gone."""
        if self.wanted.end is None:
            self._end(SimulatedCallResult.LOST)
        elif not self.over:
            self.softswitch.world.traffic.tally.cut += 1
        self.over = True


class Life(ProcessClock):
    """One process of a softswitch, as its fleet has it: loop and network."""

    def __init__(self, softswitch: Softswitch) -> None:
        super().__init__(softswitch.world.clock, softswitch.world.meter, "claims")
        self.softswitch = softswitch

    @property
    def loop(self) -> Life:
        """What its fleet takes for the loop."""
        return self

    def open_datagram_port(self, address: tuple[str, int], port: Any) -> None:
        """What its fleet sends goes by the modelled wire."""
        own, world = self.softswitch, self.softswitch.world

        def send() -> None:
            while port.output:
                data, (name, _) = port.output.popleft()
                other = world.by_name[name]
                if not self.over:
                    arrive = partial(other.datagram, data, own.place)
                    world.net.datagram(own.index, other.index, arrive)

        port.notify_writable = send


class Softswitch:
    """A hollow softswitch: the program's parts without sockets, and the processes that follow one another."""

    def __init__(self, world: World, index: int) -> None:
        self.world, self.index = world, index
        self.name, self.place = f"s{index}", (f"s{index}", 5090)
        self.disk = VirtualDisk()
        self.life = 0  # counts up with each start and each end
        self.on = True  # its machine
        self.running = False
        self.since = 0.0
        self.drivers: dict[Driver, None] = {}
        self.callers: dict[int, HollowCaller] = {}
        self.numbered = False  # it goes by a number that it holds
        self.heard: dict[str, int] = {}  # how many changes of each line have come
        self.core: CallManager
        self.fleet: FleetRuntime | None = None
        self.process: Life
        self.store: HollowStore | None = None
        self._timer: ScheduledEvent | None = None

    def datagram(self, data: bytes, peer: tuple[str, int]) -> None:
        """One has come."""
        if self.running and self.fleet is not None:
            self.world.meter.enter("claims")
            self.fleet.receive(data, peer)
            self.world.meter.leave()

    def log(self, event: str, **fields: object) -> None:
        """A line of its log."""
        if event == "server_listed":
            self.world.listed(self, str(fields["server"]))
        elif event == "fleet" and fields.get("what") == "instance_index":
            self.numbered = fields["index"] != "none"
        elif event == "fault" and len(self.world.faults) < FAULTS_KEPT:
            self.world.faults.append(f"{self.name}: {fields.get('why')}")

    def start(self) -> None:
        """Begin as the program does."""
        world, plan = self.world, self.world.plan
        if self.running or not self.on:
            return
        self.life += 1
        self.running, self.since = True, world.clock.now
        number = -1 if plan.fleet is not None and plan.fleet.numbers else self.index
        settings: Settings = replace(world.settings, instance_index=number)
        chance = random.Random(world.chance.getrandbits(64))
        self.core = core = CallManager(settings, chance, world.clock.time, self.log, Counters())
        self._meter_decisions(core)
        core.timers.on_earlier_due = self._arm
        ServerConnectionPool(core, lambda link: self._keep(link))
        core.readiness.listening = True
        region = world.places.region(self.index)
        directory = ServiceDiscoveryClient(core, world.coordinators[region].place, 0)
        if plan.fleet is not None:
            self._join(plan, directory)
        Follower(self, directory)
        self._arm()

    def _keep(self, link: ServerConnection) -> None:
        Keeper(self, link)

    def _join(self, plan: ScalePlan, directory: ServiceDiscoveryClient) -> None:
        told, voters = plan.fleet, self.world.voters
        assert told is not None
        config = FleetConfig(
            "scale",
            self.name,
            self.place,
            voters,
            data_directory=Path(self.name) if self.name in voters else None,
            timings=LeaseTimings(told.term_s, told.drift),
            lease_instance_index=told.numbers,
            relay_endpoint_list=told.list,
        )
        self.process = Life(self)
        settings = self.world.settings
        self.fleet = FleetRuntime(self.core, self.process, config, settings)  # type: ignore[arg-type]
        if told.list:
            self.fleet.directory = directory
            directory.on_answer, directory.may_poll = (
                self.fleet.coordinator_answered,
                self.fleet.may_poll_coordinator,
            )
        self.fleet.start()

    def open_store(self) -> HollowStore:
        """Its folder."""
        self.store = HollowStore(self.world, self.disk)
        return self.store

    def _meter_decisions(self, core: CallManager) -> None:
        meter, inner = self.world.meter, core.controller.handle

        def handle(now: float, event: Event) -> Iterator[Any]:
            meter.enter("decisions")
            try:
                yield from inner(now, event)
            finally:
                meter.leave()

        core.controller.handle = handle  # type: ignore[method-assign]

    def _arm(self) -> None:
        due = self.core.timers.next_due()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due is not None:
            self._timer = self.world.clock.call_at(due, self._tick)

    def _tick(self) -> None:
        self._timer = None
        with self.world.meter.of("timers"):
            self.core.timers.run_due()
        self._arm()

    def offer(self, wanted: Wanted) -> None:
        """A call comes to its front."""
        traffic, world = self.world.traffic, self.world
        readiness = self.core.readiness
        started = self.running and readiness.startup_health().is_ready
        if not started or (readiness.shutting_down and readiness.rejects_new_calls()):
            traffic.ended(wanted, SimulatedCallResult.UNREACHED, world.passed)
            return
        if readiness.rejects_new_calls():
            traffic.ended(wanted, SimulatedCallResult.REFUSED, world.passed)
            return
        caller = HollowCaller(self, wanted)
        offer = CallRequest(
            ident=f"{wanted.serial:016x}",
            call_class=world.settings.classes[wanted.service],
            called_uri=wanted.number,
            description=SESSION_OFFER.decode(),
            caller_timeout_s=world.plan.calls.limit_s,
            called_number=called_number(wanted.number),
            reports_progress=True,
        )
        self.callers[wanted.serial] = caller
        with world.meter.of("calls"):
            caller.call = self.core.offer_call(offer, caller)
        if len(self.callers) > 2 * len(self.core.calls.by_number) + 64:
            self.callers = {n: each for n, each in self.callers.items() if self._open(each)}

    def _open(self, caller: HollowCaller) -> bool:
        return caller.call is not None and caller.call.number in self.core.calls.by_number

    def restart(self) -> bool:
        """A planned one: it drains, ends and comes again. Whether there was anything to restart."""
        if not self.running or self.core.readiness.shutting_down:
            return False
        self.core.readiness.shutting_down = True
        self.core.readiness.drain(True)
        self._drained(self.life, self.world.clock.now + self.world.plan.drain_s)
        return True

    def _drained(self, life: int, last: float) -> None:
        if self.life != life:
            return
        clock = self.world.clock
        if clock.now < last and not (self.core.is_settled() and not self.core.calls.by_number):
            clock.call_later(SETTLE_S, self._drained, life, last)
            return
        if self.fleet is not None:
            self.fleet.stop()
        self.end()
        clock.call_later(self.world.plan.down_s, self.start)

    def end(self, quietly: bool = False) -> None:
        """Its process is gone, or its machine off."""
        if not self.running:
            return
        self.life += 1
        self.running = False
        for driver in list(self.drivers):
            driver.stop(quietly)
        self.drivers.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.core.timers.on_earlier_due = do_nothing
        if self.fleet is not None:
            self.process.over = True
            if self.store is not None:
                self.store.close()
            self.fleet = self.store = None
        self.world.counts.update(self.core.counters.counts)
        callers, self.callers = self.callers, {}
        for caller in callers.values():
            if self._open(caller):
                caller.lose()


class World:
    """One run on the virtual clock."""

    def __init__(self, plan: ScalePlan) -> None:
        self.plan, self.clock, self.meter = plan, Clock(), Meter()
        self.stand_ins = ProcessClock(self.clock, self.meter, "stand-ins")
        self.places = Places(plan)
        self.net = Net(plan, self.places, self.clock)
        self.chance = random.Random(f"world {plan.seed}")
        self.settings: Settings = read_settings(plan)
        self.traffic = Traffic(plan)
        self.traffic.place = self._place
        self.bites: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()  # counters of processes that are over
        self.faults: list[str] = []
        self.begin = BEGIN + plan.lead_s
        self.servers = [HollowServer(self, n) for n in range(plan.servers)]
        self.coordinators = [HollowCoordinator(self, n) for n in range(plan.regions)]
        self.softswitches = [Softswitch(self, n) for n in range(plan.softswitches)]
        self.by_name = {each.name: each for each in self.softswitches}
        self.voters = self._voters()
        self.at_place: dict[tuple[str, int], HollowServer | HollowCoordinator] = {}
        self.at_place.update((each.place, each) for each in self.servers)
        self.at_place.update((each.place, each) for each in self.coordinators)
        self.told: dict[str, list[float]] = {}  # when each line was changed
        self.force_ms: list[float] = []  # from a change until a softswitch goes by it
        self.changes = 0
        self.before: dict[str, float] = {}  # what had been counted when the run began

    def _voters(self) -> dict[str, tuple[str, int]]:
        """Spread over the zones, and so over the regions."""
        found: list[Softswitch] = []
        wanted = self.plan.fleet.voters if self.plan.fleet is not None else 0
        by_zone = [self._in_zone(zone) for zone in range(self.plan.zones)]
        while len(found) < wanted:
            for zone in by_zone:
                if zone and len(found) < wanted:
                    found.append(zone.pop(0))
        return {each.name: each.place for each in found}

    @property
    def passed(self) -> float:
        """Seconds after the beginning."""
        return self.clock.now - self.begin

    # what goes on

    def dial(
        self, driver: Driver, place: tuple[str, int], within_s: float, up: Callable[[Stream], None],
        failed: Callable[[bool], None],
    ) -> None:  # fmt: skip
        """Open a connection, as connect(2) does: refused where a machine is on and nobody listens."""
        target, near = self.at_place.get(place), driver.softswitch.index
        far = target.machine if isinstance(target, HollowCoordinator) else target.index if target else near
        there = not isinstance(target, HollowServer) or target.on
        if not there or (self.net.cuts and self.net.cut_until(near, far)):
            self.clock.call_later(within_s, failed, False)
            return
        trip = 2 * self.net.trip_s(near, far)
        fallen = isinstance(target, HollowServer) and target.processor.state in (
            ProcessorState.CRASHED,
            ProcessorState.GONE,
        )
        if target is None or fallen:
            self.clock.call_later(trip, failed, True)
            return
        self.clock.call_later(trip, self._connected, driver, target, far, up)

    def _connected(
        self, driver: Driver, target: HollowServer | HollowCoordinator, far: int, up: Callable[[Stream], None]
    ) -> None:
        if driver.stopped:
            return
        stream = Stream(
            self.net, driver.softswitch.index, far, (driver.take, _nobody), (do_nothing, do_nothing)
        )
        take, lost = target.accept(stream)
        stream.ends, stream.lost = (driver.take, take), (lambda: driver.ended(stream), lost)
        up(stream)

    def _place(self, wanted: Wanted) -> None:
        self.clock.call_soon(self.softswitches[wanted.softswitch].offer, wanted)

    def change(self, lines: list[dict[str, Any]], region: int) -> None:
        """A change of the list, and who has to hear of it."""
        self.changes += 1
        self.told.setdefault(lines[0]["instanceId"], []).append(self.clock.now)  # it shows that all has come
        self.coordinators[region].change(lines)

    def listed(self, softswitch: Softswitch, instance: str) -> None:
        """A softswitch has taken in a line."""
        told = self.told.get(instance)
        if told is None:
            return
        first = softswitch.heard.get(instance, 0)
        softswitch.heard[instance] = len(told)
        for at in told[first:]:
            if at >= softswitch.since:
                self.force_ms.append(1000 * (self.clock.now - at))

    def not_heard(self) -> int:
        """Changes that have not come to softswitches that run, over both."""
        return sum(
            at >= each.since
            for each in self.softswitches
            if each.running
            for name, told in self.told.items()
            for at in told[each.heard.get(name, 0) :]
        )

    def lists_apart(self) -> int:
        """Softswitches that go by another list than their coordinator has."""
        found = 0
        for each in self.softswitches:
            if each.running:
                coordinator = self.coordinators[self.places.region(each.index)]
                servers = each.core.servers.by_instance.values()
                ours = {s.record.instance for s in servers if s.record.availability is Availability.READY}
                found += ours != coordinator.in_service()
        return found

    def _strike(self, event: Happens, region: int) -> None:
        match event.what:
            case PlannedEventKind.CHANGE:
                server = self.servers[self.changes % len(self.servers)]
                self.change([{**server.line(), "weight": 2 + self.changes}], region)
                self.bites[PlannedEventKind.CHANGE.value] += 1
            case PlannedEventKind.RESTART:
                pass
            case PlannedEventKind.START:
                for each in self._in_zone(event.zone):
                    self.bites[PlannedEventKind.START.value] += not each.running
                    each.start()
            case PlannedEventKind.COLD:
                picked = self.places.of_service(event.service)[: event.count]
                lines = []
                for index in picked:
                    server = self.servers[index]
                    gone = server.line("terminated")
                    server.end()
                    server.start_cold()
                    lines += [server.line(), gone]
                    self.bites[PlannedEventKind.COLD.value] += 1
                self.change(lines, region)
            case PlannedEventKind.RACK:
                self._rack(event, region)
            case PlannedEventKind.ZONE | PlannedEventKind.REGIONS:
                self.net.strike(event)

    def _in_zone(self, zone: int) -> list[Softswitch]:
        return [each for each in self.softswitches if self.places.zones[each.index] == zone]

    def _rack(self, event: Happens, region: int) -> None:
        machines = [n for n, zone in enumerate(self.places.zones) if zone == event.zone]
        picked = machines[: event.count]
        gone = []
        for machine in picked:
            self.bites[PlannedEventKind.RACK.value] += 1
            if machine < len(self.servers):
                server = self.servers[machine]
                gone.append(server.line("terminated"))
                server.end(quietly=True)
                server.on = False
            if machine < len(self.softswitches):
                self.softswitches[machine].on = False
                self.softswitches[machine].end(quietly=True)
        if gone:
            self.clock.call_later(LEASE_S, self.change, gone, region)
        self.clock.call_later(event.lasts, self._rack_on, picked, region)

    def _rack_on(self, machines: list[int], region: int) -> None:
        lines = []
        for machine in machines:
            if machine < len(self.servers):
                self.servers[machine].start_cold()
                lines.append(self.servers[machine].line())
            if machine < len(self.softswitches):
                self.softswitches[machine].on = True
                self.softswitches[machine].start()
        if lines:
            self.change(lines, region)

    def _restart(self, softswitch: Softswitch) -> None:
        self.bites[PlannedEventKind.RESTART.value] += softswitch.restart()

    def _plan_events(self) -> None:
        turn = 0
        for event in self.plan.event:
            if event.what is PlannedEventKind.RESTART:
                picked = self.chance.sample(self.softswitches, min(event.count, len(self.softswitches)))
                for order, each in enumerate(picked):
                    at = event.at + event.lasts * order / len(picked)
                    self.clock.call_at(self.begin + at, self._restart, each)
                continue
            times = event.count if event.what is PlannedEventKind.CHANGE else 1
            for order in range(times):
                turn += 1
                region = event.region if event.region >= 0 else turn % self.plan.regions
                at = event.at + (
                    event.lasts * order / times if event.what is PlannedEventKind.CHANGE else 0.0
                )
                self.clock.call_at(self.begin + at, self._strike, event, region)

    def _calls(self, due: Iterator[Wanted]) -> None:
        """The next call from outside, and the one after it when that is due."""
        wanted = next(due, None)
        if wanted is not None:
            self.clock.call_at(self.begin + wanted.at, self._ask, wanted, due)

    def _ask(self, wanted: Wanted, due: Iterator[Wanted]) -> None:
        self.traffic.ask(wanted)
        self._calls(due)

    def _ready(self) -> bool:
        """Whether all serve, each by a number of its own where numbers are claimed."""
        numbered = self.plan.fleet is not None and self.plan.fleet.numbers
        return all(
            each.running and each.core.readiness.startup_health().is_ready and (each.numbered or not numbered)
            for each in self.softswitches
        )

    def run(self, look: Callable[[World], None] = lambda world: None, settle_s: float | None = None) -> None:
        """All of it. With `settle_s` it begins so long after all serve, as with real processes."""
        with self.in_place():
            self.start()
            if settle_s is not None:
                while not self._ready() and self.clock.now < BEGIN + READY_S:
                    self.clock.run(self.clock.now + SETTLE_S)
                self.begin = self.clock.now + settle_s
            self.clock.run(self.begin, lambda: look(self))
            self.before = self._counted()
            self._plan_events()
            self._calls(self.traffic.from_outside())
            self.clock.run(self.begin + self.plan.seconds, lambda: look(self))
            self.counted = self._counted()
            last = self.clock.now + self.plan.calls.limit_s + AFTER_S
            while self.traffic.open and self.clock.now < last:
                self.clock.run(self.clock.now + AFTER_S, lambda: look(self))

    def start(self) -> None:
        """All that is there from the beginning."""
        for region, coordinator in enumerate(self.coordinators):
            lines = [server.line() for server in self.servers]
            coordinator.stamps.update((each["instanceId"], (0.0, region)) for each in lines)
            coordinator.list.publish(lines, reset=True)
        late = {each.zone for each in self.plan.event if each.what is PlannedEventKind.START}
        for softswitch in self.softswitches:
            at = BEGIN + self.chance.uniform(0.0, STARTS_S)
            if self.places.zones[softswitch.index] not in late:
                self.clock.call_at(at, softswitch.start)

    @contextmanager
    def in_place(self) -> Iterator[None]:
        """The virtual clock, folders and dice in place of the machine's own, where the fleet has them."""
        names = ("clock", "VoterStore", "secrets")
        was = {name: getattr(fleet_runtime, name) for name in names}
        ours = {
            "clock": self.clock.time, "secrets": Dice(self.chance),
            "VoterStore": lambda folder, call: self.by_name[str(folder)].open_store(),
        }  # fmt: skip
        try:
            for name in names:
                setattr(fleet_runtime, name, ours[name])
            yield
        finally:
            for name in names:
                setattr(fleet_runtime, name, was[name])

    # what is counted

    def _counters(self) -> Counter[str]:
        found = Counter(self.counts)
        for each in self.softswitches:
            if each.running:
                found.update(each.core.counters.counts)
        return found

    def _counted(self) -> dict[str, float]:
        """What grows."""
        counters = self._counters()
        return {
            "set_ups": sum(each.standin.setup_count for each in self.servers),
            "list_messages": sum(each.list.poll_count for each in self.coordinators),
            "list_bytes": sum(each.list.poll_bytes + each.list.answer_bytes for each in self.coordinators),
            "claim_messages": counters["fleet_sent"],
            "claim_bytes": counters["fleet_sent_bytes"],
            "stream_bytes": self.net.stream_bytes,
        }

    def compared(self) -> dict[str, float]:
        """The figures that hollow and real are held against each other by."""
        grown = {name: self.counted[name] - self.before[name] for name in self.counted}
        ends, force = self.traffic.tally.ends, sorted(self.force_ms)
        return {
            "stood": ends[SimulatedCallResult.STOOD.value],
            "refused": ends[SimulatedCallResult.REFUSED.value],
            "failed": ends[SimulatedCallResult.FAILED.value]
            + ends[SimulatedCallResult.UNREACHED.value]
            + ends[SimulatedCallResult.LOST.value],
            "set_ups": sum(each.standin.setup_count for each in self.servers) - self.before["set_ups"],
            "list_messages": grown["list_messages"],
            "list_bytes": grown["list_bytes"],
            "claim_messages": grown["claim_messages"],
            "claim_bytes": grown["claim_bytes"],
            "in_force_ms": quantile(force, 0.5),
        }

    def windows(self) -> list[dict[str, Any]]:
        """For each cold start the most set-ups in any `fall_s`, against N + 2 root N + 2, where N is what the
        cold server can work off in it.
        """
        found = []
        for server in self.servers:
            nature = server.processor.profile
            able = nature.initial_capacity_fraction / nature.setup_s * nature.overload_window_s
            for start, came in enumerate(server.cold_set_ups):
                fullest = first = 0
                for last, at in enumerate(came):
                    while came[first] <= at - nature.overload_window_s:
                        first += 1
                    fullest = max(fullest, last - first + 1)
                found.append(
                    {
                        "server": server.index,
                        "start": start + 1,
                        "set_ups": len(came),
                        "fullest": fullest,
                        "most": round(able + 2 * able**0.5 + 2, 1),
                        "falls_above": round(able * nature.overload_multiple, 1),
                        "fell": server.processor.state is ProcessorState.CRASHED,
                    }
                )
        return found

    def figures(self) -> dict[str, Any]:
        """Everything that the seed decides."""
        plan, force = self.plan, sorted(self.force_ms)
        grown = {name: self.counted[name] - self.before[name] for name in self.counted}
        share = plan.seconds * plan.softswitches
        return {
            "calls": self.traffic.tally.figures(),
            "unanswered": len(self.traffic.open),
            "compared": self.compared(),
            "servers": {
                "turned_away": sum(each.processor.rejected_count for each in self.servers),
                "fallen": sum(each.processor.state is ProcessorState.CRASHED for each in self.servers),
            },
            "a_second_and_softswitch": {
                "list_bytes": round(grown["list_bytes"] / share, 1),
                "claim_bytes": round(grown["claim_bytes"] / share, 1),
                "claim_messages": round(grown["claim_messages"] / share, 3),
                "stream_bytes": round(grown["stream_bytes"] / share, 1),
            },
            "changes": {
                "told": self.changes,
                "not_heard": self.not_heard(),
                "lists_apart": self.lists_apart(),
                "older_left_out": sum(each.left_out for each in self.coordinators),
                "in_force_p50_ms": quantile(force, 0.5),
                "in_force_p99_ms": quantile(force, 0.99),
                "in_force_longest_ms": quantile(force, 1.0),
            },
            "windows": self.windows(),
            "bites": {
                each.value: self.bites[each.value] + self.net.bites[each.value] for each in PlannedEventKind
            },
            "faults": self.faults,
            "counters": {
                name: often for name, often in sorted(self._counters().items()) if not name.startswith(GAUGES)
            },
            "by_second": {
                str(n): dict(sorted(ends.items())) for n, ends in sorted(self.traffic.tally.by_second.items())
            },
        }


def _nobody(data: bytes) -> None:
    """Stands until a connection's other end is known."""
