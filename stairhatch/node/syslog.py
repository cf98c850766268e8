"""Pure functions that format syslog messages with structured data (RFC 5424); `event_log` sends them."""

from __future__ import annotations

import os
import re
import time
from collections.abc import Mapping
from enum import IntEnum
from typing import NamedTuple

FACILITY = 16  # local0 (RFC 5424, 6.2.1)
SD_ID = "stairhatch@32473"  # RFC 5612's enterprise number for documentation; the project has none yet
BOM = "\ufeff"  # marks the message after it as UTF-8 (RFC 5424, 6.4)
NIL = "-"
MAX_HOST, MAX_APP, MAX_MESSAGE_ID, MAX_SD_NAME = 255, 48, 32, 32  # characters (RFC 5424, section 6)
NOT_PRINTABLE = re.compile(r"[^\x21-\x7e]")
NOT_SD_NAME = re.compile(r'[^\x21-\x7e]|[=\]" ]')


class Severity(IntEnum):
    """The severity of an event (RFC 5424, 6.2.1): the two values in use."""

    WARNING = 4
    INFORMATIONAL = 6


class Origin(NamedTuple):
    """The host and application that send a message."""

    host: str
    app: str


def structured_data(name: str, fields: Mapping[str, object]) -> str:
    """Return a structured-data element (RFC 5424, 6.3), escaped and with valid names; `-` without fields."""
    text = ""
    for key, value in fields.items():
        shown = str(value).encode("utf-8", "replace").decode()
        for char in '\\"]':
            shown = shown.replace(char, "\\" + char)
        text += f' {NOT_SD_NAME.sub("_", key)[:MAX_SD_NAME] or "_"}="{shown}"'
    return f"[{name}{text}]" if text else NIL


def format_message(
    origin: Origin, at: float, severity: Severity, event: str, fields: Mapping[str, object]
) -> str:
    """Return the syslog message of an event at a Unix time in seconds.

    Header fields are reduced to printable ASCII and cut to their maximum lengths.
    """
    priority = FACILITY * 8 + severity
    whole_s = int(at)
    stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(whole_s)) + f".{int((at - whole_s) * 1e6):06d}Z"
    host, app = _header_field(origin.host, MAX_HOST), _header_field(origin.app, MAX_APP)
    head = f"<{priority}>1 {stamp} {host} {app} {os.getpid()} {_header_field(event, MAX_MESSAGE_ID)}"
    words = " ".join(f"{key}={value}" for key, value in fields.items())
    return f"{head} {structured_data(SD_ID, fields)} {BOM}{event} {words}".rstrip()


def _header_field(text: str, max_characters: int) -> str:
    return NOT_PRINTABLE.sub("_", text)[:max_characters] or NIL
