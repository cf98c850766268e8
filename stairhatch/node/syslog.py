"""The log: owns its two outlets, lines on standard error and RFC 5424 messages with structured data to a
syslog receiver. It must never delay a call: lines go through a bounded queue to a thread of their own, and
what does not fit is counted and left out.
"""

from __future__ import annotations

import contextlib
import logging
import logging.handlers
import os
import queue
import re
import socket
import threading
import time
from collections.abc import Callable, Mapping

MOST_WAITING = 10_000
ERRORS = 2  # the descriptor of standard error
CLOSE_S = 1.0  # so long the end waits for lines to be written
MOST_WARNINGS = 20  # of a kind in a second; hostile peers could make the log the most costly part of the work
FACILITY = 16  # local0
SD_ID = "stairhatch@32473"  # the number that RFC 5612 sets aside for documentation; ours is not assigned yet
BOM = "\ufeff"
WARNINGS = (
    "fault",
    "rule_violated",
    "malformed",
    "unreached",
    "service_discovery",
    "accept",
    "link_lost",
    "link_dead",
    "doubted",
)
NOT_PRINTABLE = re.compile(r"[^\x21-\x7e]")
NOT_SD_NAME = re.compile(r'[^\x21-\x7e]|[=\]" ]')


def structured(name: str, fields: Mapping[str, object]) -> str:
    """One structured-data element (RFC 5424, 6.3): values are escaped, names held to what is allowed."""
    text = ""
    for key, value in fields.items():
        shown = str(value).encode("utf-8", "replace").decode()
        for char in '\\"]':
            shown = shown.replace(char, "\\" + char)
        text += f' {NOT_SD_NAME.sub("_", key)[:32] or "_"}="{shown}"'
    return f"[{name}{text}]" if text else "-"


def rfc5424(now: float, severity: int, host: str, app: str, event: str, fields: Mapping[str, object]) -> str:
    """A whole message. Header fields are held to printable ASCII and their lengths."""
    whole = int(now)
    stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(whole)) + f".{int((now - whole) * 1e6):06d}Z"

    def field(text: str, most: int) -> str:
        return NOT_PRINTABLE.sub("_", text)[:most] or "-"

    head = f"<{FACILITY * 8 + severity}>1 {stamp} {field(host, 255)} {field(app, 48)} {os.getpid()}"
    words = " ".join(f"{key}={value}" for key, value in fields.items())
    return f"{head} {field(event, 32)} {structured(SD_ID, fields)} {BOM}{event} {words}".rstrip()


class _Event(logging.LogRecord):
    """A record that keeps its fields apart."""

    def __init__(self, name: str, at: float, event: str, fields: Mapping[str, object]) -> None:
        level = logging.WARNING if event in WARNINGS else logging.INFO
        super().__init__(name, level, "", 0, event, None, None)
        self.created, self.event, self.fields = at, event, fields


class _Outlet(logging.Formatter):
    """Formats a record's event for the syslog receiver."""

    def __init__(self, host: str, app: str) -> None:
        super().__init__()
        self.host, self.app = host, app

    def format(self, record: logging.LogRecord) -> str:
        assert isinstance(record, _Event)
        severity = 4 if record.levelno >= logging.WARNING else 6
        return rfc5424(record.created, severity, self.host, self.app, record.event, record.fields)


class _Unlocked(logging.Handler):
    """A handler for one thread alone. Its lock, held by a write that waits, would hold up the process's end,
    when the library flushes each handler that there is.
    """

    def createLock(self) -> None:  # noqa: N802 - the library's name
        self.lock = None


class _Datagrams(_Unlocked, logging.handlers.SysLogHandler):
    """The standard handler and its socket; the message is ours, so it adds no priority or end mark."""

    socket: socket.socket

    def emit(self, record: logging.LogRecord) -> None:
        data = self.format(record).encode("utf-8", "replace")
        with contextlib.suppress(OSError):  # a receiver that is away loses lines; calls go on
            self.socket.sendto(data, self.address)


class _Lines(_Unlocked):
    """Plain lines on standard error, past Python's own buffer: its lock, held by a write that nobody reads,
    would end the whole process in a fault of the interpreter.
    """

    def emit(self, record: logging.LogRecord) -> None:
        assert isinstance(record, _Event)
        words = " ".join(f"{key}={_plain(value)}" for key, value in record.fields.items())
        data = f"{record.created:.6f} {record.event} {words}\n".encode("utf-8", "replace")
        with contextlib.suppress(OSError):
            while data:
                data = data[os.write(ERRORS, data) :]


def _plain(value: object) -> str:
    """A value without what would break its line."""
    return re.sub(r"[\x00-\x1f\x7f]", " ", str(value).encode("utf-8", "replace").decode())


class Log:
    """Takes events from the loop's thread; never waits."""

    def __init__(
        self, name: str, host: str, clock: Callable[[], float], syslog: tuple[str, int] | str | None = None
    ) -> None:
        self.name, self.clock = name, clock
        self.left_out = 0
        self._warned: dict[str, tuple[float, int]] = {}  # event -> begin of its second, lines in it
        self._queue: queue.Queue[logging.LogRecord] = queue.Queue(MOST_WAITING)
        handlers: list[logging.Handler] = [_Lines()]
        if syslog is not None:
            sender = _Datagrams(syslog)
            sender.setFormatter(_Outlet(host, name))
            handlers.append(sender)
        self._listener = logging.handlers.QueueListener(self._queue, *handlers)
        self._listener.start()

    def __call__(self, event: str, **fields: object) -> None:
        """One event."""
        now = self.clock()
        if event in WARNINGS:
            since, lines = self._warned.get(event, (now, 0))
            if now - since >= 1:
                if lines > MOST_WARNINGS:
                    fields["left_out_before"] = lines - MOST_WARNINGS
                since, lines = now, 0
            self._warned[event] = since, lines + 1
            if lines >= MOST_WARNINGS:
                self.left_out += 1
                return
        try:
            self._queue.put_nowait(_Event(self.name, now, event, fields))
        except queue.Full:
            self.left_out += 1

    def close(self) -> None:
        """Write what waits, then stop, within `CLOSE_S`.

        Guards against an end that never comes, or comes with a fault: where nobody reads the lines the queue
        is full, so that the listener's own mark of the end finds no room, and its thread waits in a write.
        """
        closer = threading.Thread(target=self._stop, daemon=True)
        closer.start()
        closer.join(CLOSE_S)

    def _stop(self) -> None:
        while True:
            try:
                self._listener.stop()
                return
            except queue.Full:
                time.sleep(0.01)
