"""An access node driven by hand: it feeds one controller and records the actions."""

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
    """One access node with its controller, driven by hand at the time `now`."""

    settings: Settings = SETTINGS
    seed: int = 1
    now: float = 100.0
    next_call: int = 1
    actions: list[Action] = field(default_factory=list)  # all so far

    def __post_init__(self) -> None:
        self.controller = Controller(self.settings, random.Random(self.seed))

    @property
    def slow_start(self) -> SlowStart:
        """The controller's."""
        return self.controller.parts.slow_start

    @property
    def load_balancer(self) -> LoadBalancer:
        """The controller's."""
        return self.controller.parts.load_balancer

    def is_flagged(self, server: int = 10) -> bool:
        """Whether a server counts as congested."""
        return self.controller.parts.congestion.is_flagged(self.now, self.controller.endpoints[server])

    def handle(self, event: Event) -> list[Action]:
        """One event; returns the actions it led to."""
        actions = list(self.controller.handle(self.now, event))
        self.actions += actions
        return actions

    def update_endpoints(self, *records: EndpointRecord, complete: bool = True) -> list[Action]:
        """The endpoint list, or what changed in it."""
        return self.handle(EndpointsUpdated(records, complete))

    def offer(
        self,
        preferred_number: int = 0,
        class_index: int = 0,
        caller_timeout_s: float = 3.0,
        **more: object,
    ) -> list[Action]:
        """A new call; its id is `next_call - 1` afterwards. Beyond the classes it has none."""
        call, self.next_call = self.next_call, self.next_call + 1
        classes = self.controller.settings.classes
        call_class = classes[class_index] if class_index < len(classes) else None
        return self.handle(
            CallOffered(call, call_class, preferred_number, caller_timeout_s, **more)  # type: ignore[arg-type]
        )

    def established(self, call: int, server: int, elapsed_s: float = 0.05) -> list[Action]:
        """A set-up was answered."""
        return self.handle(CallEstablished(call, server, elapsed_s))

    def attempt_ended(
        self, call: int, server: int, outcome: AttemptOutcome, answered: bool = False, **more: object
    ) -> list[Action]:
        """An attempt is over."""
        report = more.pop("report", LoadReport())
        return self.handle(
            AttemptEnded(call, server, outcome, answered, report, **more)  # type: ignore[arg-type]
        )

    def expire_timer(self, after_s: float = 0.0) -> list[Action]:
        """Let time pass, then have the timer expire."""
        self.now += after_s
        return self.handle(TimerExpired(PENDING_TIMER_ID))

    def report_delay(self, server: int, delay_s: float) -> None:
        """A report with this delay, from a call that was completed."""
        report = LoadReport(processor_wait_s=delay_s)
        self.attempt_ended(10**9, server, AttemptOutcome.COMPLETED, answered=True, report=report)


def setups(actions: list[Action]) -> list[SendSetup]:
    """The set-ups among the actions."""
    return [action for action in actions if isinstance(action, SendSetup)]


def final_answers(actions: list[Action]) -> list[Action]:
    """The final answers among the actions."""
    return [action for action in actions if isinstance(action, RejectCall | FailCall)]
