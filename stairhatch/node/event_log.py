"""The event log: events with fields, on standard error and to a syslog receiver.

It never delays a call: events go through a bounded queue to a thread of their own, and what does not fit is
counted and left out. `WARNINGS` are the events that on-call looks for; of each kind only some a second are
written, since hostile peers could make the log the most costly part of the work.
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

from stairhatch.node.syslog import Origin, Severity, format_message

MAX_QUEUED = 10_000  # events
MAX_WARNINGS = 20  # of a kind in a second
STDERR_DESCRIPTOR = 2
CLOSE_TIMEOUT_S = 1.0  # so long the end waits for lines to be written
RETRY_S = 0.01  # between two attempts to end while the queue is full
WARNINGS = (
    "fault",
    "rule_violated",
    "malformed",
    "server_connect_failed",
    "server_standby_failed",
    "server_suspected",
    "server_lost",
    "call_lost",
    "service_discovery",
    "accept",
    "server_connection_lost",
    "server_connection_dead",
    "server_connection_unresponsive",
)


class EventRecord(logging.LogRecord):
    """A log record that keeps an event's fields apart."""

    def __init__(self, name: str, at: float, event: str, fields: Mapping[str, object]) -> None:
        """An event `at` a Unix time in seconds; it is a warning if it is one of `WARNINGS`."""
        level = logging.WARNING if event in WARNINGS else logging.INFO
        super().__init__(name, level, "", 0, event, None, None)
        self.created, self.event, self.fields = at, event, fields


class _SyslogFormatter(logging.Formatter):
    """Formats a record's event for the syslog receiver."""

    def __init__(self, origin: Origin) -> None:
        super().__init__()
        self._origin = origin

    def format(self, record: logging.LogRecord) -> str:
        """A whole message (RFC 5424)."""
        assert isinstance(record, EventRecord)
        severity = Severity.WARNING if record.levelno >= logging.WARNING else Severity.INFORMATIONAL
        return format_message(self._origin, record.created, severity, record.event, record.fields)


class _UnlockedHandler(logging.Handler):
    """A handler for one thread alone, without a lock.

    A lock that is held by a write that waits would hold up the process's end, when the library flushes each
    handler that there is.
    """

    def createLock(self) -> None:  # noqa: N802 - the library's name
        """Have none."""
        self.lock = None


class _SyslogHandler(_UnlockedHandler, logging.handlers.SysLogHandler):
    """The standard handler and its socket; the message is ours, so it adds no priority or end mark."""

    socket: socket.socket

    def emit(self, record: logging.LogRecord) -> None:
        """Send a datagram."""
        data = self.format(record).encode("utf-8", "replace")
        with contextlib.suppress(OSError):  # a receiver that is away loses lines; calls go on
            self.socket.sendto(data, self.address)


class _StderrHandler(_UnlockedHandler):
    """Plain lines on standard error, past Python's own buffer.

    That has a lock which, held by a write that nobody reads, would end the whole process in a fault of the
    interpreter.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line."""
        assert isinstance(record, EventRecord)
        words = " ".join(f"{key}={_without_controls(value)}" for key, value in record.fields.items())
        data = f"{record.created:.6f} {record.event} {words}\n".encode("utf-8", "replace")
        with contextlib.suppress(OSError):
            while data:
                data = data[os.write(STDERR_DESCRIPTOR, data) :]


def _without_controls(value: object) -> str:
    """A value without what would break its line."""
    return re.sub(r"[\x00-\x1f\x7f]", " ", str(value).encode("utf-8", "replace").decode())


class EventLog:
    """Takes events from the event loop's thread; never waits."""

    def __init__(
        self, name: str, host: str, clock: Callable[[], float], syslog: tuple[str, int] | str | None = None
    ) -> None:
        """Begin to write.

        `clock` tells Unix time in seconds; `syslog` is a receiver's address, or the path of its socket.
        """
        self.name, self.clock = name, clock
        self.suppressed = 0  # events that were counted and not written
        self._warnings: dict[str, tuple[float, int]] = {}  # event -> begin of its second, lines in it
        self._queue: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED)
        handlers: list[logging.Handler] = [_StderrHandler()]
        if syslog is not None:
            sender = _SyslogHandler(syslog)
            sender.setFormatter(_SyslogFormatter(Origin(host, name)))
            handlers.append(sender)
        self._listener = logging.handlers.QueueListener(self._queue, *handlers)
        self._listener.start()

    def __call__(self, event: str, **fields: object) -> None:
        """Log an event, unless the queue is full or too many warnings of its kind came within a second."""
        now = self.clock()
        if event in WARNINGS and not self._admit_warning(now, event, fields):
            self.suppressed += 1
            return
        try:
            self._queue.put_nowait(EventRecord(self.name, now, event, fields))
        except queue.Full:
            self.suppressed += 1

    def _admit_warning(self, now: float, event: str, fields: dict[str, object]) -> bool:
        """Whether a warning is written; the first after others that were not says how many these were."""
        since, lines = self._warnings.get(event, (now, 0))
        if now - since >= 1:
            if lines > MAX_WARNINGS:
                fields["suppressed_before"] = lines - MAX_WARNINGS
            since, lines = now, 0
        self._warnings[event] = since, lines + 1
        return lines < MAX_WARNINGS

    def close(self) -> None:
        """Write what waits, then stop, within `CLOSE_TIMEOUT_S`.

        Where nobody reads the lines the queue is full, so that the listener's own mark of the end finds no
        room, and its thread waits in a write. The process must end all the same.
        """
        closer = threading.Thread(target=self._stop, daemon=True)
        closer.start()
        closer.join(CLOSE_TIMEOUT_S)

    def _stop(self) -> None:
        while True:
            try:
                self._listener.stop()
            except queue.Full:
                time.sleep(RETRY_S)
            else:
                return
