"""The actions that the overload control answers an event with. Durations are seconds.

Nothing here decides anything, and nothing changes an action once it is made; why none is `frozen` stands in
`events`.
"""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.overload.events import Message


@dataclass(slots=True, repr=False)
class SendSetup(Message):
    """Start an attempt: send a set-up to a server. `timeout_s` 0: until the caller's timeout."""

    call_id: int
    server_id: int
    timeout_s: float = 0.0


@dataclass(slots=True, repr=False)
class RejectCall(Message):
    """Final answer: rejected. `retry_after_s` is when the caller may retry; 0: no time is given."""

    call_id: int
    retry_after_s: float = 0.0


@dataclass(slots=True, repr=False)
class FailCall(Message):
    """Final answer: failed, after an attempt or for want of a class."""

    call_id: int


@dataclass(slots=True, repr=False)
class SetTimer(Message):
    """Have TimerExpired come after `delay_s`."""

    delay_s: float
    timer_id: int


@dataclass(slots=True, repr=False)
class LogMessage(Message):
    """A text to be logged, as the event `decision_note`."""

    text: str


Action = SendSetup | RejectCall | FailCall | SetTimer | LogMessage
