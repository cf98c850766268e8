"""The messages that the program has sent in one case, and the selection of those that a step refers to."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

from stairhatch.conformance.caller_dialog import CallerDialog
from stairhatch.conformance.errors import CheckFailedError
from stairhatch.conformance.steps import ANY_METHOD, HeaderValues, MessageFilterStep
from stairhatch.node import sip_message as sip

MAX_SHOWN_BODY_CHARACTERS = 40  # of a body quoted in an error message


@dataclass(slots=True)
class ReceivedMessage:
    """A message from the program, with its flow and the time of its receipt in seconds."""

    received_at_s: float
    flow: str
    message: sip.SipMessage
    claimed: bool = False  # a step has been matched with this message

    def is_copy_of(self, other: ReceivedMessage) -> bool:
        """Return whether this message is equal to another one, as a retransmission is."""
        message, original = self.message, other.message
        return (
            (message.method, message.status) == (original.method, original.status)
            and message.headers == original.headers
            and message.body == original.body
        )


class Inbox:
    """The messages received in a case, in order; a step claims a message with its retransmissions."""

    def __init__(self) -> None:
        self._messages: list[ReceivedMessage] = []

    def add(self, received: ReceivedMessage) -> None:
        """Add a message at the end of those received."""
        self._messages.append(received)

    def next_response(self, dialog: CallerDialog, method: str, status: int) -> ReceivedMessage | None:
        """Return the first unclaimed response to a method, None if there is none.

        A 100 is skipped unless `status` is 100. `ANY_METHOD` selects responses to any method of any call.
        """
        for received in self._unclaimed(None if method == ANY_METHOD else dialog):
            message = received.message
            is_skipped = message.status == 100 and status != 100
            if message.status and not is_skipped and method in (ANY_METHOD, message.cseq()[1]):
                return received
        return None

    def next_request(self, dialog: CallerDialog, method: str) -> ReceivedMessage | None:
        """Return the first unclaimed request of a call with a method, None if there is none."""
        return next((item for item in self._unclaimed(dialog) if item.message.method == method), None)

    def select(self, dialog: CallerDialog, step: MessageFilterStep) -> list[ReceivedMessage]:
        """Return the messages of a call that a step selects, including claimed ones and retransmissions."""
        return [
            received
            for received in self._messages
            if received.message.get("call-id") == dialog.call_id and _is_selected(received.message, step)
        ]

    def _unclaimed(self, dialog: CallerDialog | None) -> Iterator[ReceivedMessage]:
        """Yield the messages that no step has claimed: those of one call, or of all calls for None."""
        for received in self._messages:
            is_of_call = dialog is None or received.message.get("call-id") == dialog.call_id
            if is_of_call and not received.claimed and not self._is_copy_of_claimed(received):
                yield received

    def _is_copy_of_claimed(self, received: ReceivedMessage) -> bool:
        return any(other.claimed and received.is_copy_of(other) for other in self._messages)


def _is_selected(message: sip.SipMessage, step: MessageFilterStep) -> bool:
    if step.status is not None and message.status != step.status:
        return False
    if step.request_method:
        return message.method == step.request_method
    return message.status > 0 and step.method in (None, message.cseq()[1])


def check_headers(expected: HeaderValues, message: sip.SipMessage) -> None:
    """Check that each expected header has its value, or matches the pattern of a value that begins with `~`.

    Raises CheckFailedError for the first header that does not.
    """
    for name, values in expected.items():
        found = ", ".join(message.get_lines(name.lower()))
        for value in values if isinstance(values, list) else [values]:
            if value.startswith("~"):
                if not re.search(value[1:], found):
                    raise CheckFailedError(f"{name} is {found!r}, which does not match {value[1:]!r}")
            elif found != value:
                raise CheckFailedError(f"{name} is {found!r}, expected {value!r}")


def check_body(expected: str | None, message: sip.SipMessage) -> None:
    """Check that the body contains the expected text, or is empty for ""; None allows any body.

    Raises CheckFailedError if it does not.
    """
    if expected is None:
        return
    body = message.body.decode("utf-8", "replace")
    if expected not in body or bool(expected) is not bool(body):
        raise CheckFailedError(f"unexpected body {body[:MAX_SHOWN_BODY_CHARACTERS]!r}")
