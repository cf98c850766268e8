"""The actions that the controller answers an event with. Times are seconds.

Nothing in this module decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendSetup:
    """Send a set-up. `timeout_s` 0: until the caller gives up."""

    call_id: int
    server_id: int
    timeout_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RejectCall:
    """Final answer: turned away; the caller may be told when to dial again."""

    call_id: int
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FailCall:
    """Final answer: given up."""

    call_id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerRang after this long."""

    delay_s: float
    timer_id: int


@dataclass(frozen=True, slots=True)
class LogMessage:
    """One plain line for the people on call."""

    text: str


Action = SendSetup | RejectCall | FailCall | SetTimer | LogMessage
