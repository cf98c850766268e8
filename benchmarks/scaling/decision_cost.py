"""Measures processor time of the decisions without the rest of the program, on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Protocol

from benchmarks.scaling.errors import UnavailableFigureError
from benchmarks.scaling.measurement import Measurement, MeasurementOptions
from benchmarks.scaling.workload import (
    CALL_DURATION_S,
    CALL_RATE,
    SERVER_LINES,
    SERVICE_SERVERS,
    STATE_INTERVAL_S,
    settings_json,
)
from stairhatch.overload.actions import Action, SendSetup, SetTimer
from stairhatch.overload.controller import Controller
from stairhatch.overload.events import (
    AttemptEnded,
    AttemptOutcome,
    Availability,
    CallAbandoned,
    CallEstablished,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    Event,
    LoadReport,
    LoadReported,
    TimerExpired,
)
from stairhatch.overload.pending_queue import PendingQueue
from stairhatch.overload.settings import Settings
from stairhatch.settings.parser import settings_from_object

START_S = 1000.0  # initial time of the virtual clock
SETUP_S = 0.01  # from sending a set-up to the established call
RUN_S = 3.0
CHANGES = 50  # updates of the endpoint list, of one line each
CHANGE_INTERVAL_S = 0.1
CALLER_TIMEOUT_S = 3.0
LONG_CALLER_TIMEOUT_S = 600.0
MAX_LISTED = 1900
SMALL_LIST, MEDIUM_LIST = 24, 100
CALLED_SERVICE, FULL_SERVICE = 0, 1
FILLING_CALLS = 40 * SERVICE_SERVERS  # enough to reach the concurrency limits of a service's servers


class Decisions(Protocol):
    """The decision component under measurement."""

    pending: PendingQueue

    def handle(self, now: float, event: Event) -> Iterable[Action]:
        """Process one event at time `now` in seconds. Returns the resulting actions."""


DecisionFactory = Callable[[Settings, random.Random], Decisions]
DECISIONS: dict[str, DecisionFactory] = {"plain": Controller}  # by the value of the option `--decisions`


class EventPurpose(Enum):
    """The category of an event, by which processor time is accounted."""

    FULL_LIST = "full list"
    LIST_CHANGE = "list change"
    SERVER_STATE = "server state"
    CALL = "call"
    ABANDONED = "abandoned"


class DecisionDriver:
    """A driver for the decisions of one softswitch, with simulated servers.

    The servers establish each call after SETUP_S and send load reports at intervals.
    """

    def __init__(
        self, make_decisions: DecisionFactory, listed: int, service_servers: int = SERVICE_SERVERS
    ) -> None:
        self.settings = settings_from_object(settings_json(listed, service_servers)).settings
        self.endpoints = tuple(EndpointRecord(index + 1, index) for index in range(listed))
        self.now = START_S
        self.answers_setups = True
        self.processor_s: defaultdict[EventPurpose, float] = defaultdict(float)
        self.event_counts: Counter[EventPurpose] = Counter()
        self._rng = random.Random(1)
        self.decisions = make_decisions(self.settings, random.Random(2))
        self._event_time = 0.0  # the time given to the decisions; it advances in steps of `event_period_s`
        self._call_ids = itertools.count(1)
        self._order = itertools.count()
        self._scheduled: list[tuple[float, int, EventPurpose, Event]] = []
        self.handle(EventPurpose.FULL_LIST, EndpointsUpdated(self.endpoints, complete=True))

    def handle(self, purpose: EventPurpose, event: Event) -> None:
        """Pass an event to the decisions, count its processor time, and schedule the events that follow."""
        if self.now - self._event_time >= self.settings.event_period_s:
            self._event_time = self.now
        began = time.process_time()
        actions = list(self.decisions.handle(self._event_time, event))
        self.processor_s[purpose] += time.process_time() - began
        self.event_counts[purpose] += 1
        for action in actions:
            match action:
                case SendSetup() if self.answers_setups:
                    self._schedule_answers(action)
                case SetTimer():
                    self.schedule(action.delay_s, EventPurpose.CALL, TimerExpired(action.timer_id))

    def schedule(self, after_s: float, purpose: EventPurpose, event: Event) -> None:
        """Schedule an event `after_s` seconds from now."""
        heapq.heappush(self._scheduled, (self.now + after_s, next(self._order), purpose, event))

    def offer_call(self, service: int = CALLED_SERVICE, caller_timeout_s: float = CALLER_TIMEOUT_S) -> None:
        """Offer a call that prefers a random server of a service."""
        call_class = self.settings.classes[service]
        preferred = self._rng.choice(call_class.allowed_servers or (0,))
        offered = CallOffered(next(self._call_ids), call_class, preferred, caller_timeout_s)
        self.handle(EventPurpose.CALL, offered)

    def run(self, seconds: float, rate: float, service: int = CALLED_SERVICE) -> float:
        """Offer `rate` calls per second for a time. Returns milliseconds of processor time per call."""
        self._schedule_load_reports(seconds)
        began, count = self.now, int(seconds * rate)
        self.processor_s[EventPurpose.CALL] = 0.0
        for number in range(count):
            self.advance_to(began + number / rate)
            self.offer_call(service)
        self.advance_to(began + seconds)
        return 1000 * self.processor_s[EventPurpose.CALL] / count

    def advance_to(self, when: float) -> None:
        """Advance the virtual clock to a time, and process the events that are due by then."""
        while self._scheduled and self._scheduled[0][0] <= when:
            due, _, purpose, event = heapq.heappop(self._scheduled)
            self.now = max(self.now, due)
            self.handle(purpose, event)
        self.now = when

    def _schedule_answers(self, setup: SendSetup) -> None:
        """Schedule the call's establishment by its server, and its end after CALL_DURATION_S."""
        established = CallEstablished(setup.call_id, setup.server_id, SETUP_S)
        ended = AttemptEnded(setup.call_id, setup.server_id, AttemptOutcome.COMPLETED, True, LoadReport())
        self.schedule(SETUP_S, EventPurpose.CALL, established)
        self.schedule(CALL_DURATION_S, EventPurpose.CALL, ended)

    def _schedule_load_reports(self, seconds: float) -> None:
        """Schedule the load reports of all servers, spread evenly over each interval."""
        load = LoadReport(
            free_lines=SERVER_LINES,
            total_lines=SERVER_LINES,
            processor_wait_s=0.001,
            admissible_rate=500.0,
        )
        for index, endpoint in enumerate(self.endpoints):
            for interval in range(int((seconds + STATE_INTERVAL_S) / STATE_INTERVAL_S)):
                after_s = STATE_INTERVAL_S * (interval + index / len(self.endpoints))
                self.schedule(after_s, EventPurpose.SERVER_STATE, LoadReported(endpoint.server_id, load))


def measure_by_servers(size: int, options: MeasurementOptions) -> Measurement:
    """Measure the processor time of calls, load reports and endpoint list updates, by servers listed."""
    driver = DecisionDriver(DECISIONS[options.decisions], size)
    call_ms = driver.run(RUN_S, CALL_RATE)
    state_s = driver.processor_s[EventPurpose.SERVER_STATE] / driver.event_counts[EventPurpose.SERVER_STATE]
    for number in range(CHANGES):
        availability = Availability.DRAINING if number % 2 == 0 else Availability.READY
        changed = (driver.endpoints[number % size]._replace(availability=availability),)
        driver.now += CHANGE_INTERVAL_S
        driver.handle(EventPurpose.LIST_CHANGE, EndpointsUpdated(changed, complete=False))
    return Measurement(
        figures={
            "decisions_call_by_servers": call_ms,
            "decisions_whole_by_servers": 1000 * driver.processor_s[EventPurpose.FULL_LIST],
            "decisions_state_by_servers": 1e6 * state_s,
            "decisions_rest_by_servers": 100 * state_s * size / STATE_INTERVAL_S,
            "decisions_change_by_servers": 1000 * driver.processor_s[EventPurpose.LIST_CHANGE] / CHANGES,
        }
    )


def measure_by_service(size: int, options: MeasurementOptions) -> Measurement:
    """Measure the processor time per call, by the number of servers of the call's service."""
    driver = DecisionDriver(DECISIONS[options.decisions], max(MAX_LISTED, size), size)
    return Measurement(figures={"decisions_call_by_service": driver.run(1.5, CALL_RATE)})


def measure_by_rate(size: int, options: MeasurementOptions) -> Measurement:
    """Measure the processor time per call, by calls per second."""
    driver = DecisionDriver(DECISIONS[options.decisions], SMALL_LIST)
    return Measurement(figures={"decisions_call_by_rate": driver.run(RUN_S, size)})


def measure_by_pending_calls(size: int, options: MeasurementOptions) -> Measurement:
    """Measure the processor time per call, by the number of pending calls of another, full service.

    Raises UnavailableFigureError if the number of pending calls changed during the run.
    """
    driver = DecisionDriver(DECISIONS[options.decisions], MEDIUM_LIST)
    driver.answers_setups = False
    for _ in range(FILLING_CALLS):  # set-ups stay unanswered, so that the concurrency limits do not change
        driver.offer_call(FULL_SERVICE, LONG_CALLER_TIMEOUT_S)
    pending = driver.decisions.pending
    while len(pending) < size:
        driver.offer_call(FULL_SERVICE, LONG_CALLER_TIMEOUT_S)
    while len(pending) > size:
        driver.handle(EventPurpose.ABANDONED, CallAbandoned(next(iter(pending))))
    for call in pending.calls.values():  # keeps the calls pending until the end of the run
        call.queue_until = call.answer_by
    pending.deadlines.clear()
    driver.answers_setups = True
    call_ms = driver.run(0.4, CALL_RATE)
    if len(pending) != size:
        raise UnavailableFigureError(f"{len(pending)} calls were pending at the end of the run, not {size}")
    return Measurement(figures={"decisions_call_by_waiting": call_ms})
