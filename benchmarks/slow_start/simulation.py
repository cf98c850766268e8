"""One slow start on a virtual clock: the real decisions of a fleet, with simulated servers.

The order of the random draws is part of the results.
"""

from __future__ import annotations

import itertools
import math
import random
from dataclasses import dataclass, field, replace
from functools import partial

from benchmarks.slow_start.results import SlowStartResult
from benchmarks.slow_start.scenarios import Scenario, Site
from benchmarks.slow_start.servers import WARMING, ServerReports, WarmingServer
from stairhatch.fault_injection.event_queue import EventQueue
from stairhatch.overload.actions import SendSetup, SetTimer
from stairhatch.overload.controller import Controller
from stairhatch.overload.events import (
    AttemptEnded,
    AttemptOutcome,
    Availability,
    CallEstablished,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    Event,
    LoadReport,
    LoadReported,
    TimerExpired,
)
from stairhatch.overload.settings import CallClass, Settings

STATE_INTERVAL_S = 0.4  # how often a server reports its state
ONE_WAY_S = (0.003, 0.02)  # from a member to a server, and back
DEFAULT_TIMEOUT_S = 3.0  # of an attempt without one of its own
MIN_TIMER_S = 0.04
WARM_SETUP_S = 0.01
LATE_S = 3.0
CONNECTED_LATE_S = 2.5
LEARNING_S = 40.0  # of calls before the server starts


@dataclass(slots=True)
class SimulatedMember:
    """One softswitch's decisions, and what it has sent."""

    instance_index: int  # -1: it has none
    call_fraction: float  # of all calls
    controller: Controller | None = None  # None: it is down
    pending_calls: set[int] = field(default_factory=set)  # that wait for a server's answer
    connected_at: float = 0.0  # set-ups to the warming server wait for its connection until then


@dataclass(frozen=True, slots=True)
class SetupAttempt:
    """A set-up on its way."""

    member: SimulatedMember
    controller: Controller  # that sent it; the member may have another by now
    setup: SendSetup
    sent_at: float

    @property
    def is_to_warming_server(self) -> bool:
        """Whether it is to the server that has just started."""
        return self.setup.server_id == WARMING


class SlowStartSimulation:
    """A fleet and its servers, from the start of the warming server until it is warm."""

    def __init__(self, site: Site, scenario: Scenario, members: int, seed: int) -> None:
        self.site = site
        self.scenario = scenario
        self.activations = 0
        self._rng = random.Random(f"{scenario.value} {members} {seed}")
        self._queue = EventQueue()
        self._queue.now = self.started_at = 10000.0 + self._rng.random()
        self._call_ids = itertools.count(1)
        self._warming = WarmingServer(site, self.started_at)
        self._reports = ServerReports(self._warming, self._rng)
        self._warm_servers = set(range(1, site.servers))
        weights = self._draw_weights(members)
        self._settings = _settings(site, members)
        self.members = [
            SimulatedMember(self._first_index(number), weight / sum(weights))
            for number, weight in enumerate(weights)
        ]
        for member in self.members:
            self._start_member(member)
        self._learn()

    @property
    def now(self) -> float:
        """The virtual time in seconds."""
        return self._queue.now

    def run(self) -> SlowStartResult:
        """Run until the server is warm."""
        for member in self.members:
            self._schedule_announcement(member)
            self._offer_call(member)
        disturbed_at = self.started_at + self._rng.uniform(1.0, 0.5 * self.site.safety.warm_up_s)
        if self.scenario.restarts_members:
            self._schedule_restarts(disturbed_at)
        if self.scenario.loses_other_servers:
            self._schedule_losses(disturbed_at)
        if self.scenario is Scenario.RENUMBERED:
            self._schedule_renumbering(disturbed_at)
        self._queue.run_until(math.nextafter(self.started_at + self.site.safety.warm_up_s, 0.0))
        return SlowStartResult(
            setup_times_s=self._warming.setup_times_s, site=self.site, activations=self.activations
        )

    def handle(self, member: SimulatedMember, event: Event) -> None:
        """Hand one event to a member that is up, and carry out its actions."""
        controller = member.controller
        if controller is None:
            return
        for action in controller.handle(self.now, event):
            match action:
                case SendSetup():
                    self._send_setup(SetupAttempt(member, controller, action, self.now))
                case SetTimer():
                    expired = TimerExpired(action.timer_id)
                    due = self.now + max(MIN_TIMER_S, action.delay_s)
                    self._queue.schedule_at(due, partial(self._handle_if_same, member, controller, expired))

    # ---- the fleet ----

    def _draw_weights(self, members: int) -> list[float]:
        """Draw how many of the calls each member takes."""
        weights = [self._rng.uniform(0.5, 1.5) for _ in range(members)]
        if self.scenario is Scenario.LOPSIDED:
            weights[0] = 2 * sum(weights[1:])
        return weights

    def _first_index(self, number: int) -> int:
        return -1 if self.scenario is Scenario.UNNUMBERED and number % 3 == 0 else number

    def _start_member(self, member: SimulatedMember) -> None:
        """Start a member with nothing but its settings and the endpoint list."""
        rng = random.Random(self._rng.random())
        member.controller = Controller(replace(self._settings, instance_index=member.instance_index), rng)
        member.pending_calls.clear()
        records = [EndpointRecord(server, server) for server in sorted(self._warm_servers)]
        if self.now > self.started_at:
            records.append(EndpointRecord(WARMING, 0, started_at=self.started_at))
        self.handle(member, EndpointsUpdated(tuple(records), True))
        for server in self._warm_servers:
            self.handle(member, LoadReported(server, self._reports.unasked(server)))

    def _learn(self) -> None:
        """Let each member have established its part of calls at the warm servers for a while."""
        for member in self.members:
            assert member.controller is not None
            rate = self.site.capacity * self.site.load * member.call_fraction
            established = []
            for server in self._warm_servers:
                when = self.started_at - LEARNING_S
                while (when := when + self._rng.expovariate(rate)) < self.started_at:
                    established.append((when, server))
            for when, server in sorted(established):
                took_s = self._rng.uniform(0.01, 0.04)
                event = CallEstablished(next(self._call_ids), server, took_s)
                list(member.controller.handle(when, event))
            for server in self._warm_servers:
                duration_s = self._rng.expovariate(1 / self.site.call_duration_s)
                ended = _completed(
                    next(self._call_ids), server, self._reports.in_release(self.now, server), duration_s
                )
                list(member.controller.handle(self.started_at - 1.0, ended))

    def _handle_if_same(self, member: SimulatedMember, controller: Controller, event: Event) -> None:
        """Hand an event to a member, unless it has been restarted since."""
        if member.controller is controller:
            self.handle(member, event)

    def _offer_call(self, member: SimulatedMember) -> None:
        """Offer a call, and draw when the next one comes."""
        total_rate = self.site.capacity * self.site.load * self.site.servers
        gap_s = self._rng.expovariate(total_rate * member.call_fraction)
        self._queue.schedule_at(self.now + gap_s, partial(self._offer_call, member))
        call_class = self._settings.classes[self._rng.random() < 0.25]
        preferred = self._rng.randrange(self.site.servers)
        caller_timeout_s = self._rng.choice((3.0, 9.0))
        self.handle(member, CallOffered(next(self._call_ids), call_class, preferred, caller_timeout_s))

    # ---- a set-up's way ----

    def _send_setup(self, attempt: SetupAttempt) -> None:
        """Write a set-up once the connection is up; it is given up after its time-out."""
        attempt.member.pending_calls.add(attempt.setup.call_id)
        connected_at = attempt.member.connected_at if attempt.is_to_warming_server else 0.0
        written_at = max(self.now, connected_at)
        times_out_at = self.now + (attempt.setup.timeout_s or DEFAULT_TIMEOUT_S)
        if written_at < times_out_at:
            arrives_at = written_at + self._rng.uniform(*ONE_WAY_S)
            self._queue.schedule_at(arrives_at, partial(self._take_setup, attempt))
        self._queue.schedule_at(times_out_at, partial(self._time_out, attempt))

    def _take_setup(self, attempt: SetupAttempt) -> None:
        """The set-up reaches its server."""
        if attempt.is_to_warming_server:
            done_at = self._warming.take_setup(self.now)
        else:
            done_at = self.now + WARM_SETUP_S
        answered_at = done_at + self._rng.uniform(*ONE_WAY_S)
        self._queue.schedule_at(answered_at, partial(self._establish, attempt))

    def _establish(self, attempt: SetupAttempt) -> None:
        """The call is established, unless the set-up was given up meanwhile."""
        if not self._take_pending(attempt):
            return
        setup = attempt.setup
        self.handle(
            attempt.member, CallEstablished(setup.call_id, setup.server_id, self.now - attempt.sent_at)
        )
        duration_s = self._rng.expovariate(1 / self.site.call_duration_s)
        self._warming.open_calls += attempt.is_to_warming_server
        self._queue.schedule_at(self.now + duration_s, partial(self._complete, attempt, duration_s))

    def _complete(self, attempt: SetupAttempt, duration_s: float) -> None:
        """The call has lasted its time."""
        self._warming.open_calls -= attempt.is_to_warming_server
        server = attempt.setup.server_id
        ended = _completed(
            attempt.setup.call_id, server, self._reports.in_release(self.now, server), duration_s
        )
        self._handle_if_same(attempt.member, attempt.controller, ended)

    def _time_out(self, attempt: SetupAttempt) -> None:
        """The set-up is given up, unless it has been answered."""
        if self._take_pending(attempt):
            timed_out = AttemptEnded(
                attempt.setup.call_id,
                attempt.setup.server_id,
                AttemptOutcome.TIMED_OUT,
                False,
                LoadReport(),
                elapsed_s=self.now - attempt.sent_at,
            )
            self.handle(attempt.member, timed_out)

    def _take_pending(self, attempt: SetupAttempt) -> bool:
        """Return whether a set-up still waits for its answer, and let it wait no more."""
        member, call_id = attempt.member, attempt.setup.call_id
        if member.controller is not attempt.controller or call_id not in member.pending_calls:
            return False
        member.pending_calls.remove(call_id)
        return True

    def _report_states(self, member: SimulatedMember) -> None:
        """Report the warming server's state on one connection, now and at intervals."""
        if member.controller is not None and self.now >= member.connected_at:
            self.handle(member, LoadReported(WARMING, self._reports.unasked(WARMING)))
        self._queue.schedule_at(self.now + STATE_INTERVAL_S, partial(self._report_states, member))

    # ---- what the scenario does ----

    def _schedule_announcement(self, member: SimulatedMember) -> None:
        """Tell a member that the server has started, each at its own moment."""
        delay_s = 0.02 * self._rng.random()
        if self.scenario is Scenario.LATE and self._rng.random() < 0.5:
            delay_s += LATE_S
            self.activations += 1
        if self.scenario is Scenario.LINKS_LATE:
            member.connected_at = self.started_at + CONNECTED_LATE_S
            self.activations += 1
        self._queue.schedule_at(self.started_at + delay_s, partial(self._announce_start, member))

    def _announce_start(self, member: SimulatedMember) -> None:
        """The endpoint list names the server; the connection's first state follows."""
        record = EndpointRecord(WARMING, 0, started_at=self.started_at)
        self.handle(member, EndpointsUpdated((record,), False))
        self._report_states(member)

    def _schedule_restarts(self, disturbed_at: float) -> None:
        """Kill half of the members and start them again."""
        for member in self._rng.sample(self.members, len(self.members) // 2):
            when = disturbed_at + 0.1 * self._rng.random()
            self._queue.schedule_at(when, partial(self._restart, member, self._rng.uniform(0.3, 0.8)))

    def _restart(self, member: SimulatedMember, down_s: float) -> None:
        """Kill a member; another starts in its place."""
        self.activations += 1
        member.controller = None
        member.pending_calls.clear()
        self._queue.schedule_at(self.now + down_s, partial(self._start_member, member))

    def _schedule_losses(self, disturbed_at: float) -> None:
        """Take all other servers away."""
        if self.scenario is Scenario.LINKS_LATE:
            lost_at = self.started_at + 0.3
        else:
            lost_at = max(self.started_at + 0.5, disturbed_at - self._rng.random())
        self._queue.schedule_at(lost_at, self._warm_servers.clear)
        for member in self.members:
            told_at = lost_at + 0.02 * self._rng.random()
            self._queue.schedule_at(told_at, partial(self._announce_losses, member))

    def _announce_losses(self, member: SimulatedMember) -> None:
        """The endpoint list says that every other server is gone."""
        gone = (EndpointRecord(n, n, Availability.GONE) for n in range(1, self.site.servers))
        self.handle(member, EndpointsUpdated(tuple(gone), False))

    def _schedule_renumbering(self, disturbed_at: float) -> None:
        """Give the members other instance indexes, of a fleet half as large again."""
        count = len(self.members) + len(self.members) // 2
        indexes = self._rng.sample(range(count), len(self.members))
        for member, index in zip(self.members, indexes, strict=True):
            when = disturbed_at + self._rng.random()
            self._queue.schedule_at(when, partial(self._renumber, member, index, count))

    def _renumber(self, member: SimulatedMember, index: int, count: int) -> None:
        """Update a member's settings while it runs."""
        self.activations += 1
        assert member.controller is not None
        member.instance_index = index
        self._settings = replace(self._settings, instance_count=count)
        member.controller.update_settings(replace(self._settings, instance_index=index))


def _settings(site: Site, members: int) -> Settings:
    read = CallClass("read", 1.0, 1.5, 9.0, mean_duration_s=site.call_duration_s, late_weight=0.25)
    save = replace(read, name="save", priority_weight=3.0, late_weight=0.1)
    return Settings(
        (read, save),
        site.safety,
        members,
        0,
        site.retransmit_s,
        6,
        connect_timeout_s=site.connect_timeout_s,
        max_retry_after_s=2.0,
    )


def _completed(call_id: int, server: int, report: LoadReport, duration_s: float) -> AttemptEnded:
    return AttemptEnded(call_id, server, AttemptOutcome.COMPLETED, True, report, elapsed_s=duration_s)
