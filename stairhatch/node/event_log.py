"""The event log, which writes events with fields to standard error and to a syslog receiver.

Logging never delays a call: events pass through a bounded queue to a thread of their own, and events that do
not fit are counted and dropped. `WARNINGS` are the events that on-call staff look for. The number of warnings
of each kind per second is limited, since hostile peers could otherwise make logging the most expensive part
of the work.
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
MAX_WARNINGS = 20  # of one kind per second
STDERR_DESCRIPTOR = 2
CLOSE_TIMEOUT_S = 1.0  # for writing the queued lines when the log is closed
STOP_RETRY_INTERVAL_S = 0.01  # while the full queue does not take the listener's end mark
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
    "caller_connection_slow",
)


class EventRecord(logging.LogRecord):
    """A log record that keeps the fields of an event separate from its name."""

    def __init__(self, name: str, at: float, event: str, fields: Mapping[str, object]) -> None:
        """Create the record of an event `at` a Unix time in seconds, a warning if it is one of `WARNINGS`."""
        level = logging.WARNING if event in WARNINGS else logging.INFO
        super().__init__(name, level, "", 0, event, None, None)
        self.created, self.event, self.fields = at, event, fields


class _SyslogFormatter(logging.Formatter):
    """The formatter of event records for the syslog receiver."""

    def __init__(self, origin: Origin) -> None:
        super().__init__()
        self._origin = origin

    def format(self, record: logging.LogRecord) -> str:
        """Return the complete syslog message of a record (RFC 5424)."""
        assert isinstance(record, EventRecord)
        severity = Severity.WARNING if record.levelno >= logging.WARNING else Severity.INFORMATIONAL
        return format_message(self._origin, record.created, severity, record.event, record.fields)


class _UnlockedHandler(logging.Handler):
    """A handler without a lock, used by a single thread.

    The library flushes each handler when the process exits. A lock that is held by a blocked write would
    block the exit.
    """

    def createLock(self) -> None:  # noqa: N802 - the library's name
        """Set no lock; `logging.Handler` calls this on creation."""
        self.lock = None


class _SyslogHandler(_UnlockedHandler, logging.handlers.SysLogHandler):
    """The standard syslog handler, sending complete messages without adding a priority or end mark."""

    socket: socket.socket

    def emit(self, record: logging.LogRecord) -> None:
        """Send a record's message as a datagram; a failure to send is ignored."""
        data = self.format(record).encode("utf-8", "replace")
        with contextlib.suppress(OSError):  # lines for an unreachable receiver are lost; calls continue
            self.socket.sendto(data, self.address)


class _StderrHandler(_UnlockedHandler):
    """The handler that writes plain lines to standard error without Python's own buffer.

    That buffer has a lock. If a blocked write, whose output is not read, holds the lock at exit, the
    interpreter ends the process with a fatal error.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line; a failure to write is ignored."""
        assert isinstance(record, EventRecord)
        words = " ".join(f"{key}={_without_controls(value)}" for key, value in record.fields.items())
        data = f"{record.created:.6f} {record.event} {words}\n".encode("utf-8", "replace")
        with contextlib.suppress(OSError):
            while data:
                data = data[os.write(STDERR_DESCRIPTOR, data) :]


def _without_controls(value: object) -> str:
    """Return the text of a value with each control character replaced by a space, to fit on one line."""
    return re.sub(r"[\x00-\x1f\x7f]", " ", str(value).encode("utf-8", "replace").decode())


class EventLog:
    """The event log: it takes events from the event loop's thread without ever blocking it."""

    def __init__(
        self, name: str, host: str, clock: Callable[[], float], syslog: tuple[str, int] | str | None = None
    ) -> None:
        """Start the thread that writes the log.

        `clock` returns Unix time in seconds; `syslog` is a receiver's address, or the path of its socket.
        """
        self.name, self.clock = name, clock
        self.suppressed = 0  # number of events that were dropped
        self._warnings: dict[str, tuple[float, int]] = {}  # event -> start of its second, warnings in it
        self._queue: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED)
        handlers: list[logging.Handler] = [_StderrHandler()]
        if syslog is not None:
            sender = _SyslogHandler(syslog)
            sender.setFormatter(_SyslogFormatter(Origin(host, name)))
            handlers.append(sender)
        self._listener = logging.handlers.QueueListener(self._queue, *handlers)
        self._listener.start()

    def __call__(self, event: str, **fields: object) -> None:
        """Log an event; drop and count it if the queue is full or its kind's warning limit is reached."""
        now = self.clock()
        if event in WARNINGS and not self._admit_warning(now, event, fields):
            self.suppressed += 1
            return
        try:
            self._queue.put_nowait(EventRecord(self.name, now, event, fields))
        except queue.Full:
            self.suppressed += 1

    def _admit_warning(self, now: float, event: str, fields: dict[str, object]) -> bool:
        """Return whether to write a warning; the first after dropped ones gets their number as a field."""
        since, warnings = self._warnings.get(event, (now, 0))
        if now - since >= 1:
            if warnings > MAX_WARNINGS:
                fields["suppressed_before"] = warnings - MAX_WARNINGS
            since, warnings = now, 0
        self._warnings[event] = since, warnings + 1
        return warnings < MAX_WARNINGS

    def close(self) -> None:
        """Write the queued events and stop the thread, within `CLOSE_TIMEOUT_S`.

        If the output is not read, the thread blocks in a write and the queue is full, so that the listener
        cannot add its end mark. The process must end even then.
        """
        closer = threading.Thread(target=self._stop, daemon=True)
        closer.start()
        closer.join(CLOSE_TIMEOUT_S)

    def _stop(self) -> None:
        while True:
            try:
                self._listener.stop()
            except queue.Full:
                time.sleep(STOP_RETRY_INTERVAL_S)
            else:
                return
