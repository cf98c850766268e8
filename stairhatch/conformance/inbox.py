"""The messages that the program has sent in one case, and which of them a step means."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

from stairhatch.conformance.caller_dialog import CallerDialog
from stairhatch.conformance.errors import CheckFailedError
from stairhatch.conformance.steps import ANY_METHOD, HeaderValues, MessageFilterStep
from stairhatch.node import sip_message as sip

SHOWN_BODY = 40  # characters of a body in a message about it


@dataclass(slots=True)
class ReceivedMessage:
    """A message of the program's."""

    at_s: float
    flow: str
    message: sip.SipMessage
    claimed: bool = False  # a step has been about it

    def is_copy_of(self, other: ReceivedMessage) -> bool:
        """Whether it is the same message, sent once more."""
        mine, theirs = self.message, other.message
        return (
            (mine.method, mine.status) == (theirs.method, theirs.status)
            and mine.headers == theirs.headers
            and mine.body == theirs.body
        )


class Inbox:
    """What has come, in order. A step claims a message; its copies count as claimed with it."""

    def __init__(self) -> None:
        self._messages: list[ReceivedMessage] = []

    def add(self, received: ReceivedMessage) -> None:
        """Add a message that has come."""
        self._messages.append(received)

    def next_response(self, dialog: CallerDialog, method: str, status: int) -> ReceivedMessage | None:
        """Return the next response to a method; 100 is passed over unless it is the status looked for."""
        for received in self._unclaimed(None if method == ANY_METHOD else dialog):
            message = received.message
            is_passed_over = message.status == 100 and status != 100
            if message.status and not is_passed_over and method in (ANY_METHOD, message.cseq()[1]):
                return received
        return None

    def next_request(self, dialog: CallerDialog, method: str) -> ReceivedMessage | None:
        """Return the next request of a method."""
        return next((each for each in self._unclaimed(dialog) if each.message.method == method), None)

    def select(self, dialog: CallerDialog, step: MessageFilterStep) -> list[ReceivedMessage]:
        """Return the messages of a call that a step is about, copies and claimed ones too."""
        return [
            each
            for each in self._messages
            if each.message.get("call-id") == dialog.call_id and _is_selected(each.message, step)
        ]

    def _unclaimed(self, dialog: CallerDialog | None) -> Iterator[ReceivedMessage]:
        """Yield what no step has claimed: of a call, or of all."""
        for received in self._messages:
            is_of_call = dialog is None or received.message.get("call-id") == dialog.call_id
            if is_of_call and not received.claimed and not self._is_copy(received):
                yield received

    def _is_copy(self, received: ReceivedMessage) -> bool:
        return any(other.claimed and received.is_copy_of(other) for other in self._messages)


def _is_selected(message: sip.SipMessage, step: MessageFilterStep) -> bool:
    if step.status is not None and message.status != step.status:
        return False
    if step.request_method:
        return message.method == step.request_method
    return message.status > 0 and step.method in (None, message.cseq()[1])


def check_headers(expected: HeaderValues, message: sip.SipMessage) -> None:
    """Compare headers: a value is equal, or is found by the pattern behind `~`. Raises CheckFailedError."""
    for name, values in expected.items():
        found = ", ".join(message.get_lines(name.lower()))
        for value in values if isinstance(values, list) else [values]:
            if value.startswith("~"):
                if not re.search(value[1:], found):
                    raise CheckFailedError(f"{name} is {found!r}, without {value[1:]!r}")
            elif found != value:
                raise CheckFailedError(f"{name} is {found!r}, not {value!r}")


def check_body(expected: str | None, message: sip.SipMessage) -> None:
    """Compare the body: it holds a text, or is empty for "". Raises CheckFailedError."""
    if expected is None:
        return
    body = message.body.decode("utf-8", "replace")
    if expected not in body or bool(expected) is not bool(body):
        raise CheckFailedError(f"the body is {body[:SHOWN_BODY]!r}")
