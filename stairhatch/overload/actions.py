"""The actions that the controller answers an event with. Times are seconds.

Nothing in this module decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendSetup:
    """Send a set-up. `timeout_s` 0: until the caller gives up."""

    call: int
    server: int
    timeout_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Final answer: turned away; the caller may be told when to dial again."""

    call: int
    return_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FailCall:
    """Final answer: given up."""

    call: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerRang after this long."""

    delay_s: float
    label: int


@dataclass(frozen=True, slots=True)
class Note:
    """One plain line for the people on call."""

    text: str


Action = SendSetup | RefuseCall | FailCall | SetTimer | Note
