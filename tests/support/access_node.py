"""A test driver for one controller: it passes events to the controller and records the actions."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from stairhatch.overload.actions import Action, FailCall, RejectCall, SendSetup
from stairhatch.overload.controller import PENDING_TIMER_ID, Controller
from stairhatch.overload.events import (
    AttemptEnded,
    AttemptOutcome,
    CallEstablished,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    Event,
    LoadReport,
    TimerExpired,
)
from stairhatch.overload.load_balancing import LoadBalancer
from stairhatch.overload.settings import CallClass, Settings
from stairhatch.overload.slow_start import SlowStart

TWO_CLASSES = (
    CallClass("plain", priority_weight=1, latency_objective_s=1.2, deadline_s=9, late_weight=0.25),
    CallClass("vital", priority_weight=6, latency_objective_s=0.8, deadline_s=6, late_weight=0.25),
)
SETTINGS = Settings(classes=TWO_CLASSES, instance_count=5, retransmit_interval_s=0.8, max_attempts=5)


@dataclass
class Node:
    """An access node in a test, which sets its time `now` and passes events to its controller."""

    settings: Settings = SETTINGS
    seed: int = 1
    now: float = 100.0
    next_call: int = 1
    actions: list[Action] = field(default_factory=list)  # all actions so far

    def __post_init__(self) -> None:
        self.controller = Controller(self.settings, random.Random(self.seed))

    @property
    def slow_start(self) -> SlowStart:
        """The slow start of the controller."""
        return self.controller.parts.slow_start

    @property
    def load_balancer(self) -> LoadBalancer:
        """The load balancer of the controller."""
        return self.controller.parts.load_balancer

    def is_flagged(self, server: int = 10) -> bool:
        """Whether the controller considers a server congested."""
        return self.controller.parts.congestion.is_flagged(self.now, self.controller.endpoints[server])

    def handle(self, event: Event) -> list[Action]:
        """Pass an event to the controller and return the resulting actions."""
        actions = list(self.controller.handle(self.now, event))
        self.actions += actions
        return actions

    def update_endpoints(self, *records: EndpointRecord, complete: bool = True) -> list[Action]:
        """Pass the endpoint list to the controller, or only its changed records if not `complete`."""
        return self.handle(EndpointsUpdated(records, complete))

    def offer(
        self,
        preferred_number: int = 0,
        class_index: int = 0,
        caller_timeout_s: float = 3.0,
        **fields: object,
    ) -> list[Action]:
        """Offer a new call, whose number is `next_call - 1` afterwards.

        A `class_index` beyond the classes offers a call without a class.
        """
        call, self.next_call = self.next_call, self.next_call + 1
        classes = self.controller.settings.classes
        call_class = classes[class_index] if class_index < len(classes) else None
        return self.handle(
            CallOffered(call, call_class, preferred_number, caller_timeout_s, **fields)  # type: ignore[arg-type]
        )

    def established(self, call: int, server: int, elapsed_s: float = 0.05) -> list[Action]:
        """Report that a server has established a call, `elapsed_s` after the set-up was sent."""
        return self.handle(CallEstablished(call, server, elapsed_s))

    def attempt_ended(
        self, call: int, server: int, outcome: AttemptOutcome, answered: bool = False, **fields: object
    ) -> list[Action]:
        """Report the end of an attempt; `fields` are further fields of the event."""
        report = fields.pop("report", LoadReport())
        return self.handle(
            AttemptEnded(call, server, outcome, answered, report, **fields)  # type: ignore[arg-type]
        )

    def expire_timer(self, after_s: float = 0.0) -> list[Action]:
        """Advance the time, then report that the timer of the pending calls has expired."""
        self.now += after_s
        return self.handle(TimerExpired(PENDING_TIMER_ID))

    def report_delay(self, server: int, delay_s: float) -> None:
        """Pass on a load report with this processor wait, from a completed call."""
        report = LoadReport(processor_wait_s=delay_s)
        self.attempt_ended(10**9, server, AttemptOutcome.COMPLETED, answered=True, report=report)


def setups(actions: list[Action]) -> list[SendSetup]:
    """Return the set-ups among the actions."""
    return [action for action in actions if isinstance(action, SendSetup)]


def final_answers(actions: list[Action]) -> list[Action]:
    """Return the rejections and failures of calls among the actions."""
    return [action for action in actions if isinstance(action, RejectCall | FailCall)]
