"""A small stand-in for an access node: it feeds one controller and keeps what it answered."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from stairhatch.overload.actions import Action, FailCall, RejectCall, SendSetup
from stairhatch.overload.controller import Controller
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
from stairhatch.overload.settings import CallClass, Settings

TWO_CLASSES = (
    CallClass("plain", priority_weight=1, latency_objective_s=1.2, deadline_s=9, late_weight=0.25),
    CallClass("vital", priority_weight=6, latency_objective_s=0.8, deadline_s=6, late_weight=0.25),
)
SETTINGS = Settings(classes=TWO_CLASSES, instance_count=5, retransmit_interval_s=0.8, max_attempts=5)


@dataclass
class Node:
    """Drives a controller by hand."""

    settings: Settings = SETTINGS
    seed: int = 1
    now: float = 100.0
    next_call: int = 1
    done: list[Action] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.core = Controller(self.settings, random.Random(self.seed))

    def tell(self, event: Event) -> list[Action]:
        """One event; returns the actions it led to."""
        actions = list(self.core.handle(self.now, event))
        self.done += actions
        return actions

    def list_servers(self, *lines: EndpointRecord, complete: bool = True) -> list[Action]:
        """News of the server list."""
        return self.tell(EndpointsUpdated(lines, complete))

    def offer(self, choice: int = 0, kind: int = 0, grace_s: float = 3.0, **more: object) -> list[Action]:
        """A new call; its number is `next_call - 1` afterwards."""
        call, self.next_call = self.next_call, self.next_call + 1
        classes = self.core.settings.classes
        held = classes[kind] if kind < len(classes) else None
        return self.tell(CallOffered(call, held, choice, grace_s, **more))  # type: ignore[arg-type]

    def stood(self, call: int, server: int, took_s: float = 0.05) -> list[Action]:
        """A set-up was answered."""
        return self.tell(CallEstablished(call, server, took_s))

    def ended(
        self, call: int, server: int, ending: AttemptOutcome, answered: bool = False, **more: object
    ) -> list[Action]:
        """An attempt is over."""
        report = more.pop("report", LoadReport())
        return self.tell(AttemptEnded(call, server, ending, answered, report, **more))  # type: ignore[arg-type]

    def ring(self, after_s: float = 0.0) -> list[Action]:
        """Let time pass, then ring the timer."""
        self.now += after_s
        return self.tell(TimerExpired(1))

    def pressed(self, server: int, wait_s: float) -> None:
        """A report with this wait, from a call that ended."""
        self.ended(
            10**9, server, AttemptOutcome.COMPLETED, answered=True, report=LoadReport(processor_wait_s=wait_s)
        )


def sends(actions: list[Action]) -> list[SendSetup]:
    """The set-ups among the actions."""
    return [a for a in actions if isinstance(a, SendSetup)]


def finals(actions: list[Action]) -> list[Action]:
    """The final answers among the actions."""
    return [a for a in actions if isinstance(a, RejectCall | FailCall)]
