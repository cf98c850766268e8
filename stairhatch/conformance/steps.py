"""The steps of a case, with one type for each kind of step.

A step is written as one TOML table; `docs/conformance.md` lists its keys. One key of the table names the
action (`send`, `expect`, ...) and determines the kind. A field that is None has a default that depends on the
call, which the player fills in when it plays the step.
"""

from __future__ import annotations

from typing import Any

import msgspec

from stairhatch.conformance.errors import CaseError

DEFAULT_CALL = "a"
DEFAULT_TIMEOUT_S = 1.0
ANY_METHOD = "*"

HeaderValues = dict[str, str | list[str]]  # by header name; a list stands for several header lines


class Step(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The base of every step: the name of the call that the step refers to."""

    call: str = DEFAULT_CALL


class RequestStep(Step, frozen=True, kw_only=True):
    """The base of the steps that send a request: the parts of the request that a case may set."""

    number: str | None = None  # the number called
    flow: str | None = None  # the caller's flow that the request is sent on
    cseq: int | None = None
    branch: str | None = None  # "new", "same" as the INVITE's, or the text itself
    to_tag: str | None = None  # "theirs": the program's; "none", "of-NAME" (call NAME) or the text itself
    from_tag: str | None = None  # "of-NAME" (call NAME) or the text itself
    headers: HeaderValues = msgspec.field(default_factory=dict)
    body: str | None = None
    content_type: str = msgspec.field(name="type", default="application/sdp")
    uri: str = ""  # Request-URI; "" for a URI made from the number called
    piece_bytes: int = msgspec.field(name="pieces", default=0)  # of each piece over TCP; 0: no splitting
    fill: int = 0  # number of quotation marks appended to the body


class SendRequest(RequestStep, frozen=True, kw_only=True):
    """Send a request with any method."""

    method: str = msgspec.field(name="send")


class SendAck(RequestStep, frozen=True, kw_only=True):
    """Send the ACK to the last final response to the INVITE."""

    ack: bool


class SendText(Step, frozen=True, kw_only=True):
    """Send a text as it is, except for its placeholders, which are replaced."""

    text: str = msgspec.field(name="raw")
    flow: str | None = None
    piece_bytes: int = msgspec.field(name="pieces", default=0)
    fill: int = 0


class Retransmit(Step, frozen=True, kw_only=True):
    """Send the last request of the call again with the same bytes."""

    again: bool
    flow: str | None = None


class ExpectResponse(Step, frozen=True, kw_only=True):
    """Expect the next response of the call to have a status."""

    status: int = msgspec.field(name="expect")
    method: str | None = None  # of the answered request; ANY_METHOD for any method of any call
    timeout_s: float = msgspec.field(name="within", default=DEFAULT_TIMEOUT_S)
    headers: HeaderValues = msgspec.field(default_factory=dict)
    body: str | None = None  # text that the body contains; "" for an empty body
    flow: str | None = None
    same_tag: bool = False  # the To tag equals that of the dialog


class ExpectRequest(Step, frozen=True, kw_only=True):
    """Expect a request from the program, and answer it with the status `answer` unless that is None."""

    method: str = msgspec.field(name="request")
    timeout_s: float = msgspec.field(name="within", default=DEFAULT_TIMEOUT_S)
    answer: int | None = None
    headers: HeaderValues = msgspec.field(default_factory=dict)  # of the answer if any, else of the request
    body: str | None = None
    flow: str | None = None


class MessageFilterStep(Step, frozen=True, kw_only=True):
    """The base of the steps that select messages of the call: requests with a method, or responses."""

    method: str | None = None  # of the answered request
    status: int | None = None
    request_method: str | None = None  # selects requests with this method in place of responses


class ExpectSilence(MessageFilterStep, frozen=True, kw_only=True):
    """Expect none of the selected messages for `duration_s`."""

    duration_s: float = msgspec.field(name="quiet")


class ExpectCount(MessageFilterStep, frozen=True, kw_only=True):
    """Expect the number of selected messages received in the case so far to be `count`."""

    count: int


class PassTime(Step, frozen=True, kw_only=True):
    """Wait for `duration_s` and receive messages without checking them."""

    duration_s: float = msgspec.field(name="wait")


class CloseFlow(Step, frozen=True, kw_only=True):
    """Close the caller's TCP connection."""

    flow: str = msgspec.field(name="drop")


class ExpectPong(Step, frozen=True, kw_only=True):
    """Expect a bare CRLF, the answer to a keep-alive (RFC 5626, section 4.4.1), on any flow."""

    pong: bool
    timeout_s: float = msgspec.field(name="within", default=DEFAULT_TIMEOUT_S)


STEP_TYPES: dict[str, type[Step]] = {
    "send": SendRequest,
    "raw": SendText,
    "again": Retransmit,
    "ack": SendAck,
    "expect": ExpectResponse,
    "request": ExpectRequest,
    "quiet": ExpectSilence,
    "wait": PassTime,
    "count": ExpectCount,
    "drop": CloseFlow,
    "pong": ExpectPong,
}


def read_step(table: dict[str, Any]) -> Step:
    """Return the step of a TOML table.

    Raises CaseError if no key determines the kind, if a key is unknown to the kind, or if a value is invalid.
    """
    step_type = next((STEP_TYPES[key] for key in STEP_TYPES if key in table), None)
    if step_type is None:
        raise CaseError(
            f"a step needs one key that names its action, found {sorted(table) or 'no key'}: {table}"
        )
    known = {field.encode_name for field in msgspec.structs.fields(step_type)}
    if unknown := [key for key in table if key not in known]:
        raise CaseError(f"a step has the unknown keys {unknown}: {table}")
    try:
        return msgspec.convert(table, step_type)
    except msgspec.ValidationError as error:
        raise CaseError(f"{error}: {table}") from error
