"""The actions that the overload control answers an event with. Durations are seconds.

Nothing here decides anything, and nothing changes an action once it is made; why none is `frozen` stands in
`events`.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class SendSetup:
    """Start an attempt: send a set-up to a server. `timeout_s` 0: until the caller's timeout."""

    call_id: int
    server_id: int
    timeout_s: float = 0.0


@dataclass(slots=True)
class RejectCall:
    """Final answer: rejected. `retry_after_s` is when the caller may retry; 0: no time is given."""

    call_id: int
    retry_after_s: float = 0.0


@dataclass(slots=True)
class FailCall:
    """Final answer: failed, after an attempt or for want of a class."""

    call_id: int


@dataclass(slots=True)
class SetTimer:
    """Have TimerExpired come after `delay_s`."""

    delay_s: float
    timer_id: int


@dataclass(slots=True)
class LogMessage:
    """A text to be logged, as the event `decision_note`."""

    text: str


Action = SendSetup | RejectCall | FailCall | SetTimer | LogMessage
