"""The JSON lines that are exchanged with the roster servers.

Renders set-ups, releases and echo replies, and reads what the servers send: one JSON object a line, 16 KiB at
most. Nothing here knows a connection, a call's state or a clock; what can't be read is reported as
`MalformedMessageError`.
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
LINE_OVERHEAD_BYTES = 512  # of a set-up's line, beside its id, number and description
MAX_ESCAPED_CHARACTER = 6  # bytes that JSON takes for one character, `\u1234`
LONGEST_TIME_LEFT_MS = 10**8
SHOWN_ERROR_CHARACTERS = 80
CALL_ID = re.compile(r"[0-9a-fA-F]{16}\Z")


class Verb(StrEnum):
    """What a line asks or reports."""

    START = "START"  # to a server: set a call up
    PENDING = "PENDING"  # from a server: it is at work on the set-up
    STARTED = "STARTED"  # from a server: the call is established
    FINISH = "FINISH"  # in both directions: the set-up is rejected or given up, or the call released
    FINISHED = "FINISHED"  # from a server: a release was received
    ECHO = "ECHO"  # a health check
    ECHOED = "ECHOED"  # its answer
    LOAD = "LOAD"  # from a server: a load report, unasked


CALL_VERBS = frozenset((str(Verb.STARTED), str(Verb.FINISH)))  # they name a call


class MalformedMessageError(ValueError):
    """A line that can't be read. Its text says why, for the log."""


@dataclass(slots=True, eq=False, repr=False)
class ServerMessage:
    """One line from a roster server."""

    verb: str  # also one that is not known here
    call_id: Any  # as it was sent; 16 hex digits where the verb names a call
    load_report: LoadReport
    cause: int  # Q.850 cause of a release; 0: none was sent
    note: str
    description: str  # the answer's, of STARTED alone


def render_setup(call_id: str, call_class: str, key: str, description: str, time_left_ms: int) -> bytes:
    """Return the line of a set-up to a roster server."""
    opts = {"class": call_class, "key": key, "left": str(time_left_ms)}
    return _render({"verb": Verb.START, "tag": call_id, "opts": opts, "blob": description})


def render_release(call_id: str, cause: int) -> bytes:
    """The release of a call, or the giving up of a set-up."""
    return _render({"verb": Verb.FINISH, "tag": call_id, "opts": {}, "rc": cause})


def render_echo_reply(tag: Any) -> bytes:
    """The answer to a health check, with the tag of its request."""
    return _render({"verb": Verb.ECHOED, "tag": tag, "opts": {}, "rc": 1})


def exceeds_line_limit(call_id: str, call_class: str, key: str, description: str) -> bool:
    """Whether a set-up would not fit into a line."""
    characters = len(call_id) + len(key) + len(description)
    if MAX_ESCAPED_CHARACTER * characters + LINE_OVERHEAD_BYTES < MAX_LINE_BYTES:
        return False
    return len(render_setup(call_id, call_class, key, description, LONGEST_TIME_LEFT_MS)) > MAX_LINE_BYTES


def _render(value: dict[str, Any]) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"


def parse_load_report(text: str) -> LoadReport:
    """A load report such as `x0:12;x1:40`. Fields that the settings don't name count as missing."""
    if not text:
        return NO_LOAD
    values = []
    for piece in text.split(";"):
        name, _, figure = piece.partition(":")
        try:
            values.append((name.strip(), float(figure)))
        except ValueError:
            continue
    return load_report_from_values(values)


def parse_message(line: bytes) -> ServerMessage:
    """One line from a roster server, without its end.

    Raises:
        MalformedMessageError: it is too long, no JSON object, or has a field of the wrong form.
    """
    try:
        return _read_message(line)
    except (ValueError, AttributeError, TypeError, OverflowError, RecursionError) as error:
        why = f"{type(error).__name__}: {str(error)[:SHOWN_ERROR_CHARACTERS]}"
        raise MalformedMessageError(why) from error


def _read_message(line: bytes) -> ServerMessage:
    """As `parse_message`, which lists what it raises for a line of the wrong form."""
    if len(line) > MAX_LINE_BYTES:
        raise ValueError("longer than 16 KiB")
    message = json.loads(line.decode())
    verb, call_id = message.get("verb"), message.get("tag", "")
    opts = message.get("opts") or {}
    load_report = parse_load_report(str(opts.get("load", "")))
    note = str(opts.get("note", ""))
    cause = int(message.get("rc") or 0)
    description = message.get("blob") if verb == "STARTED" else ""
    are_texts = isinstance(verb, str) and isinstance(description, str)
    if not are_texts:
        raise ValueError("verb or blob")
    description.encode()  # half a pair of surrogates can't be passed on
    if verb in CALL_VERBS and not (isinstance(call_id, str) and CALL_ID.match(call_id)):
        raise ValueError("tag")
    return ServerMessage(verb, call_id, load_report, cause, note, description)
