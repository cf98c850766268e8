"""Simulates one slow start on a virtual clock: the real decisions of a fleet, with simulated servers.

The results depend on the order of the random draws, so that order must stay the same.
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

STATE_INTERVAL_S = 0.4  # between two load reports of a server
ONE_WAY_S = (0.003, 0.02)  # range of the network delay in each direction
DEFAULT_TIMEOUT_S = 3.0  # of an attempt that has no time-out of its own
MIN_TIMER_S = 0.04
WARM_SETUP_S = 0.01
LATE_S = 3.0  # delay of half of the endpoint lists in the scenario LATE
CONNECTED_LATE_S = 2.5  # delay of all connections to the server in the scenario LINKS_LATE
LEARNING_S = 40.0  # length of the history of calls before the server starts


@dataclass(slots=True)
class SimulatedMember:
    """One simulated softswitch: its decisions and its pending calls."""

    instance_index: int  # -1: no index is assigned
    call_fraction: float  # fraction of all calls that this member receives
    controller: Controller | None = None  # None: the member is down
    pending_calls: set[int] = field(default_factory=set)  # ids of calls without a server's answer
    connected_at: float = 0.0  # when the connection to the warming server is up; set-ups wait for it


@dataclass(frozen=True, slots=True)
class SetupAttempt:
    """A set-up that a member has sent to a server."""

    member: SimulatedMember
    controller: Controller  # the sender; after a restart the member has another controller
    setup: SendSetup
    sent_at: float

    @property
    def is_to_warming_server(self) -> bool:
        """Whether the set-up is sent to the server that has just started."""
        return self.setup.server_id == WARMING


class SlowStartSimulation:
    """A simulation of a fleet and its servers, from the warming server's start to the end of its warm-up."""

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
        self._simulate_history()

    @property
    def now(self) -> float:
        """The virtual time in seconds."""
        return self._queue.now

    def run(self) -> SlowStartResult:
        """Run the simulation until the server is warm. Returns the set-ups that reached it."""
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
        """Pass an event to a member and carry out the resulting actions; a member that is down ignores it."""
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

    # ---- members and the calls offered to them ----

    def _draw_weights(self, members: int) -> list[float]:
        """Draw the relative share of calls of each member."""
        weights = [self._rng.uniform(0.5, 1.5) for _ in range(members)]
        if self.scenario is Scenario.LOPSIDED:
            weights[0] = 2 * sum(weights[1:])
        return weights

    def _first_index(self, number: int) -> int:
        return -1 if self.scenario is Scenario.UNNUMBERED and number % 3 == 0 else number

    def _start_member(self, member: SimulatedMember) -> None:
        """Start a member that has its settings, the endpoint list and one load report per warm server."""
        rng = random.Random(self._rng.random())
        member.controller = Controller(replace(self._settings, instance_index=member.instance_index), rng)
        member.pending_calls.clear()
        records = [EndpointRecord(server, server) for server in sorted(self._warm_servers)]
        if self.now > self.started_at:
            records.append(EndpointRecord(WARMING, 0, started_at=self.started_at))
        self.handle(member, EndpointsUpdated(tuple(records), True))
        for server in self._warm_servers:
            self.handle(member, LoadReported(server, self._reports.at_interval(server)))

    def _simulate_history(self) -> None:
        """Give each member a history of calls at the warm servers, LEARNING_S long, from before the start."""
        for member in self.members:
            assert member.controller is not None
            rate = self.site.capacity * self.site.load * member.call_fraction
            established = []
            for server in self._warm_servers:
                when = self.started_at - LEARNING_S
                while (when := when + self._rng.expovariate(rate)) < self.started_at:
                    established.append((when, server))
            for when, server in sorted(established):
                setup_s = self._rng.uniform(0.01, 0.04)
                event = CallEstablished(next(self._call_ids), server, setup_s)
                list(member.controller.handle(when, event))
            for server in self._warm_servers:
                duration_s = self._rng.expovariate(1 / self.site.call_duration_s)
                ended = _completed(
                    next(self._call_ids), server, self._reports.in_release(self.now, server), duration_s
                )
                list(member.controller.handle(self.started_at - 1.0, ended))

    def _handle_if_same(self, member: SimulatedMember, controller: Controller, event: Event) -> None:
        """Pass an event to a member, unless the member has been restarted since the event was scheduled."""
        if member.controller is controller:
            self.handle(member, event)

    def _offer_call(self, member: SimulatedMember) -> None:
        """Offer a call to a member, and schedule the next one as a Poisson process."""
        total_rate = self.site.capacity * self.site.load * self.site.servers
        gap_s = self._rng.expovariate(total_rate * member.call_fraction)
        self._queue.schedule_at(self.now + gap_s, partial(self._offer_call, member))
        call_class = self._settings.classes[self._rng.random() < 0.25]
        preferred = self._rng.randrange(self.site.servers)
        caller_timeout_s = self._rng.choice((3.0, 9.0))
        self.handle(member, CallOffered(next(self._call_ids), call_class, preferred, caller_timeout_s))

    # ---- set-ups between members and servers ----

    def _send_setup(self, attempt: SetupAttempt) -> None:
        """Send a set-up once the connection is up, and schedule its time-out.

        A set-up whose connection is not up before the time-out never reaches the server.
        """
        attempt.member.pending_calls.add(attempt.setup.call_id)
        connected_at = attempt.member.connected_at if attempt.is_to_warming_server else 0.0
        written_at = max(self.now, connected_at)
        times_out_at = self.now + (attempt.setup.timeout_s or DEFAULT_TIMEOUT_S)
        if written_at < times_out_at:
            arrives_at = written_at + self._rng.uniform(*ONE_WAY_S)
            self._queue.schedule_at(arrives_at, partial(self._process_setup, attempt))
        self._queue.schedule_at(times_out_at, partial(self._time_out, attempt))

    def _process_setup(self, attempt: SetupAttempt) -> None:
        """Process a set-up that arrives at its server, and schedule the answer."""
        if attempt.is_to_warming_server:
            done_at = self._warming.take_setup(self.now)
        else:
            done_at = self.now + WARM_SETUP_S
        answered_at = done_at + self._rng.uniform(*ONE_WAY_S)
        self._queue.schedule_at(answered_at, partial(self._establish, attempt))

    def _establish(self, attempt: SetupAttempt) -> None:
        """Establish a call and schedule its end, unless the set-up has timed out."""
        if not self._remove_pending(attempt):
            return
        setup = attempt.setup
        self.handle(
            attempt.member, CallEstablished(setup.call_id, setup.server_id, self.now - attempt.sent_at)
        )
        duration_s = self._rng.expovariate(1 / self.site.call_duration_s)
        self._warming.open_calls += attempt.is_to_warming_server
        self._queue.schedule_at(self.now + duration_s, partial(self._complete, attempt, duration_s))

    def _complete(self, attempt: SetupAttempt, duration_s: float) -> None:
        """End an established call, and pass the server's load report to the member."""
        self._warming.open_calls -= attempt.is_to_warming_server
        server = attempt.setup.server_id
        ended = _completed(
            attempt.setup.call_id, server, self._reports.in_release(self.now, server), duration_s
        )
        self._handle_if_same(attempt.member, attempt.controller, ended)

    def _time_out(self, attempt: SetupAttempt) -> None:
        """Report a time-out to the member, unless the set-up has been answered."""
        if self._remove_pending(attempt):
            timed_out = AttemptEnded(
                attempt.setup.call_id,
                attempt.setup.server_id,
                AttemptOutcome.TIMED_OUT,
                False,
                LoadReport(),
                elapsed_s=self.now - attempt.sent_at,
            )
            self.handle(attempt.member, timed_out)

    def _remove_pending(self, attempt: SetupAttempt) -> bool:
        """Remove a set-up from the pending calls. Returns whether it was pending."""
        member, call_id = attempt.member, attempt.setup.call_id
        if member.controller is not attempt.controller or call_id not in member.pending_calls:
            return False
        member.pending_calls.remove(call_id)
        return True

    def _report_states(self, member: SimulatedMember) -> None:
        """Send the warming server's load report to a connected member, now and every STATE_INTERVAL_S."""
        if member.controller is not None and self.now >= member.connected_at:
            self.handle(member, LoadReported(WARMING, self._reports.at_interval(WARMING)))
        self._queue.schedule_at(self.now + STATE_INTERVAL_S, partial(self._report_states, member))

    # ---- events of the scenario ----

    def _schedule_announcement(self, member: SimulatedMember) -> None:
        """Schedule, with a random delay, the list update that announces the new server to a member."""
        delay_s = 0.02 * self._rng.random()
        if self.scenario is Scenario.LATE and self._rng.random() < 0.5:
            delay_s += LATE_S
            self.activations += 1
        if self.scenario is Scenario.LINKS_LATE:
            member.connected_at = self.started_at + CONNECTED_LATE_S
            self.activations += 1
        self._queue.schedule_at(self.started_at + delay_s, partial(self._announce_start, member))

    def _announce_start(self, member: SimulatedMember) -> None:
        """Announce the new server to a member by an endpoint list update, and start the load reports."""
        record = EndpointRecord(WARMING, 0, started_at=self.started_at)
        self.handle(member, EndpointsUpdated((record,), False))
        self._report_states(member)

    def _schedule_restarts(self, disturbed_at: float) -> None:
        """Schedule restarts of half of the members."""
        for member in self._rng.sample(self.members, len(self.members) // 2):
            when = disturbed_at + 0.1 * self._rng.random()
            self._queue.schedule_at(when, partial(self._restart, member, self._rng.uniform(0.3, 0.8)))

    def _restart(self, member: SimulatedMember, down_s: float) -> None:
        """Stop a member without notice, and start it again after `down_s` seconds."""
        self.activations += 1
        member.controller = None
        member.pending_calls.clear()
        self._queue.schedule_at(self.now + down_s, partial(self._start_member, member))

    def _schedule_losses(self, disturbed_at: float) -> None:
        """Schedule the loss of all servers but the warming one."""
        if self.scenario is Scenario.LINKS_LATE:
            lost_at = self.started_at + 0.3
        else:
            lost_at = max(self.started_at + 0.5, disturbed_at - self._rng.random())
        self._queue.schedule_at(lost_at, self._warm_servers.clear)
        for member in self.members:
            announced_at = lost_at + 0.02 * self._rng.random()
            self._queue.schedule_at(announced_at, partial(self._announce_losses, member))

    def _announce_losses(self, member: SimulatedMember) -> None:
        """Announce to a member that all other servers are gone."""
        gone_records = (EndpointRecord(n, n, Availability.GONE) for n in range(1, self.site.servers))
        self.handle(member, EndpointsUpdated(tuple(gone_records), False))

    def _schedule_renumbering(self, disturbed_at: float) -> None:
        """Schedule new instance indexes for all members, drawn for a fleet that is half as large again."""
        count = len(self.members) + len(self.members) // 2
        indexes = self._rng.sample(range(count), len(self.members))
        for member, index in zip(self.members, indexes, strict=True):
            when = disturbed_at + self._rng.random()
            self._queue.schedule_at(when, partial(self._renumber, member, index, count))

    def _renumber(self, member: SimulatedMember, index: int, count: int) -> None:
        """Update instance index and instance count in a running member's settings."""
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
