"""Rendering and parsing of the JSON lines that are exchanged with roster servers.

The module renders set-ups, releases and echo replies, and parses the servers' messages: one JSON object per
line, 16 KiB at most. It depends on no connection, call state or clock; a line that cannot be parsed raises
`MalformedMessageError`. A part that the message does not need may be absent or of any type.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from stairhatch.overload.events import NO_LOAD, LoadReport
from stairhatch.settings.load_reports import load_report_from_values

MAX_LINE_BYTES = 16 * 1024
LINE_OVERHEAD_BYTES = 512  # upper bound for a set-up's line without its id, number and description
MAX_ESCAPED_BYTES = 6  # bytes of one character escaped in JSON, `\u1234`
MAX_TIME_LEFT_MS = 10**8  # the widest value that a set-up's line is measured with
SHOWN_ERROR_CHARACTERS = 80
CALL_ID = re.compile(r"[0-9a-fA-F]{16}\Z")


class Verb(StrEnum):
    """The verb of a line, which names its request or report."""

    START = "START"  # to a server: request to set up a call
    PENDING = "PENDING"  # from a server: the set-up is in progress
    STARTED = "STARTED"  # from a server: the call is established
    FINISH = "FINISH"  # in both directions: the set-up is rejected or cancelled, or the call is released
    FINISHED = "FINISHED"  # from a server: confirmation of a release
    ECHO = "ECHO"  # from a server: a health check
    ECHOED = "ECHOED"  # to a server: the reply to a health check
    LOAD = "LOAD"  # from a server: an unsolicited load report


CALL_VERBS = frozenset((str(Verb.STARTED), str(Verb.FINISH)))  # verbs of messages whose tag must be a call id


class MalformedMessageError(ValueError):
    """Raised for a line that cannot be parsed; its text is the reason, for the log."""


@dataclass(slots=True, eq=False, repr=False)
class ServerMessage:
    """The parsed content of one line from a roster server."""

    verb: str  # any text, in `Verb` or not
    call_id: Any  # the tag as received; 16 hex digits if the verb is in CALL_VERBS
    load_report: LoadReport
    cause: int  # Q.850 cause of a release; 0 if the line has none
    note: str
    description: str  # session description of a STARTED message; empty for other verbs


def render_setup(call_id: str, call_class: str, key: str, description: str, time_left_ms: int) -> bytes:
    """Return the START line of a set-up; `key` is the called URI, `time_left_ms` the time to the deadline."""
    opts = {"class": call_class, "key": key, "left": str(time_left_ms)}
    return _render({"verb": Verb.START, "tag": call_id, "opts": opts, "blob": description})


def render_release(call_id: str, cause: int) -> bytes:
    """Return the FINISH line that releases a call or cancels a set-up; `cause` is a Q.850 cause."""
    return _render({"verb": Verb.FINISH, "tag": call_id, "opts": {}, "rc": cause})


def render_echo_reply(tag: Any) -> bytes:
    """Return the ECHOED line that replies to a health check, with the tag of the request."""
    return _render({"verb": Verb.ECHOED, "tag": tag, "opts": {}, "rc": 1})


def exceeds_line_limit(call_id: str, call_class: str, key: str, description: str) -> bool:
    """Return whether the line of a set-up would exceed 16 KiB."""
    characters = len(call_id) + len(key) + len(description)
    if MAX_ESCAPED_BYTES * characters + LINE_OVERHEAD_BYTES < MAX_LINE_BYTES:
        return False
    return len(render_setup(call_id, call_class, key, description, MAX_TIME_LEFT_MS)) > MAX_LINE_BYTES


def _render(value: dict[str, Any]) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"


def parse_load_report(text: str) -> LoadReport:
    """Return the load report of a text such as `x0:12;x1:40`; ignore fields that the settings do not name."""
    if not text:
        return NO_LOAD
    values = []
    for field in text.split(";"):
        name, _, value = field.partition(":")
        try:
            values.append((name.strip(), float(value)))
        except ValueError:
            continue
    return load_report_from_values(values)


def parse_message(line: bytes) -> ServerMessage:
    """Return the message of one line from a roster server, given without its line end.

    Raises:
        MalformedMessageError: the line is too long, is not a JSON object, or has a field of the wrong form.
    """
    try:
        return _read_message(line)
    except (ValueError, AttributeError, TypeError, OverflowError, RecursionError) as error:
        reason = f"{type(error).__name__}: {str(error)[:SHOWN_ERROR_CHARACTERS]}"
        raise MalformedMessageError(reason) from error


def _options(message: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a message; none if they are absent or no object, since no message needs them."""
    options = message.get("opts")
    return options if isinstance(options, dict) else {}


def _read_message(line: bytes) -> ServerMessage:
    """Return the message of a line; raise any of the errors that `parse_message` converts."""
    if len(line) > MAX_LINE_BYTES:
        raise ValueError("the line is longer than 16 KiB")
    message = json.loads(line.decode())
    verb, call_id = message.get("verb"), message.get("tag", "")
    opts = _options(message)
    load_report = parse_load_report(str(opts.get("load", "")))
    note = str(opts.get("note", ""))
    cause = int(message.get("rc") or 0) if verb == Verb.FINISH else 0
    description = message.get("blob") if verb == "STARTED" else ""
    are_texts = isinstance(verb, str) and isinstance(description, str)
    if not are_texts:
        raise ValueError("verb or blob is not a text")
    description.encode()  # raises for an unpaired surrogate, which cannot be forwarded
    if verb in CALL_VERBS and not (isinstance(call_id, str) and CALL_ID.match(call_id)):
        raise ValueError("tag is not a call id of 16 hex digits")
    return ServerMessage(verb, call_id, load_report, cause, note, description)
