"""The steps of a case, a type for each kind.

A step is written as one TOML table whose keys `docs/conformance.md` lists. The kind follows from the one key
that names what is done (`send`, `expect`, ...). Where a field is None its default depends on the call and is
filled in while the step is played.
"""

from __future__ import annotations

from typing import Any

import msgspec

from stairhatch.conformance.errors import CaseError

DEFAULT_CALL = "a"
DEFAULT_TIMEOUT_S = 1.0
ANY_METHOD = "*"

HeaderValues = dict[str, str | list[str]]  # by name; a list: several header lines


class Step(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What every step has: the name of the call that it is about."""

    call: str = DEFAULT_CALL


class RequestStep(Step, frozen=True, kw_only=True):
    """What may be said of a request that the caller sends."""

    number: str | None = None  # the number called
    flow: str | None = None  # the caller's flow that the request is sent on
    cseq: int | None = None
    branch: str | None = None  # "new", "same" as the INVITE's, or the text itself
    to_tag: str | None = None  # "theirs", "none", "of-NAME" (of another call), or the text itself
    from_tag: str | None = None  # "of-NAME", or the text itself
    headers: HeaderValues = msgspec.field(default_factory=dict)
    body: str | None = None
    content_type: str = msgspec.field(name="type", default="application/sdp")
    uri: str = ""  # "": made from the number called
    piece_bytes: int = msgspec.field(name="pieces", default=0)  # 0: all at once
    fill: int = 0  # so many quotes behind the body


class SendRequest(RequestStep, frozen=True, kw_only=True):
    """Send a request."""

    method: str = msgspec.field(name="send")


class SendAck(RequestStep, frozen=True, kw_only=True):
    """Send the ACK to the last final response to the INVITE."""

    ack: bool


class SendText(Step, frozen=True, kw_only=True):
    """Send a text with its placeholders filled in."""

    text: str = msgspec.field(name="raw")
    flow: str | None = None
    piece_bytes: int = msgspec.field(name="pieces", default=0)
    fill: int = 0


class Retransmit(Step, frozen=True, kw_only=True):
    """Send the last request of the call once more, byte for byte."""

    again: bool
    flow: str | None = None


class ExpectResponse(Step, frozen=True, kw_only=True):
    """The next response has this status."""

    status: int = msgspec.field(name="expect")
    method: str | None = None  # of the request that is answered; ANY_METHOD: of any, and of any call
    timeout_s: float = msgspec.field(name="within", default=DEFAULT_TIMEOUT_S)
    headers: HeaderValues = msgspec.field(default_factory=dict)
    body: str | None = None  # text that the body holds; "": there is none
    flow: str | None = None
    same_tag: bool = False  # the To tag is the one that the call has


class ExpectRequest(Step, frozen=True, kw_only=True):
    """The program sends a request, which is answered where `answer` is a status."""

    method: str = msgspec.field(name="request")
    timeout_s: float = msgspec.field(name="within", default=DEFAULT_TIMEOUT_S)
    answer: int | None = None
    headers: HeaderValues = msgspec.field(default_factory=dict)  # of the answer, else of the request
    body: str | None = None
    flow: str | None = None


class MessageFilterStep(Step, frozen=True, kw_only=True):
    """Which messages of the call a step is about: requests by method, or responses."""

    method: str | None = None  # of the request that was answered
    status: int | None = None
    request_method: str | None = None  # set: requests, no responses


class ExpectSilence(MessageFilterStep, frozen=True, kw_only=True):
    """No such message comes for so long."""

    duration_s: float = msgspec.field(name="quiet")


class ExpectCount(MessageFilterStep, frozen=True, kw_only=True):
    """So many such messages have come by now."""

    count: int


class PassTime(Step, frozen=True, kw_only=True):
    """Let time pass."""

    duration_s: float = msgspec.field(name="wait")


class CloseFlow(Step, frozen=True, kw_only=True):
    """The caller's TCP connection ends."""

    flow: str = msgspec.field(name="drop")


class ExpectPong(Step, frozen=True, kw_only=True):
    """A bare CRLF comes, the answer to a keep-alive (RFC 5626, section 4.4.1)."""

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
    """Read one step. Raises CaseError where it has no kind, keys that its kind lacks, or bad values."""
    step_type = next((STEP_TYPES[key] for key in STEP_TYPES if key in table), None)
    if step_type is None:
        raise CaseError(f"a step with {sorted(table) or 'nothing in it'}: {table}")
    known = {field.encode_name for field in msgspec.structs.fields(step_type)}
    if unknown := [key for key in table if key not in known]:
        raise CaseError(f"a step with {unknown}: {table}")
    try:
        return msgspec.convert(table, step_type)
    except msgspec.ValidationError as error:
        raise CaseError(f"{error}: {table}") from error
