"""The actions that the overload control returns for an event. Durations are seconds.

This module makes no decisions. An action is never changed after its creation; the docstring of `events`
explains why the classes are not `frozen` all the same.
"""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.overload.events import Message


@dataclass(slots=True, repr=False)
class SendSetup(Message):
    """Sends a set-up to a server, as a new attempt. `timeout_s` 0: it ends with the caller's timeout."""

    call_id: int
    server_id: int
    timeout_s: float = 0.0


@dataclass(slots=True, repr=False)
class RejectCall(Message):
    """Answers a call finally: rejected. The caller may retry after `retry_after_s`; 0: no delay is given."""

    call_id: int
    retry_after_s: float = 0.0


@dataclass(slots=True, repr=False)
class FailCall(Message):
    """Answers a call finally: failed, because an attempt failed or the call's class is unknown."""

    call_id: int


@dataclass(slots=True, repr=False)
class SetTimer(Message):
    """Sets a timer: the node delivers TimerExpired with this `timer_id` after `delay_s`."""

    delay_s: float
    timer_id: int


@dataclass(slots=True, repr=False)
class LogMessage(Message):
    """Writes a text to the log, as the event `decision_note`."""

    text: str


Action = SendSetup | RejectCall | FailCall | SetTimer | LogMessage
