"""Shares the processor between the connections of callers.

Each connection earns a credit of processing time. One that has used up its credit is a heavy sender until it
has earned some again. Heavy senders are not read as soon as their sockets are readable, but in turn: one read
of `HEAVY_READ_BYTES` in each turn of the event loop. So any number of them delays the other connections by
one such read, and they still use whatever processor time the others leave.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from stairhatch.node.io.accepted_connection import AcceptedConnection

MAX_CREDIT_S = 0.03  # processing time that a connection may use at once, and the most that it may owe
FIRST_CREDIT_S = 0.002
SHARED_RATE = 0.5  # seconds of processing time that all active connections together earn per second
ACTIVE_PERIOD_S = 1.0  # a connection that was read in this period or the one before is active
HEAVY_READ_BYTES = 2048
LIGHT_READ_BYTES = 16 * 1024
SHORT_CREDIT_S = 0.01  # a connection with less is read in smaller pieces
SHORT_CREDIT_READ_BYTES = 4096


def processor_clock() -> Callable[[], float]:
    """Return a clock of this thread's processor time in seconds, or of elapsed time where there is none."""
    try:
        time.thread_time()
    except OSError:
        return time.perf_counter
    return time.thread_time


class EventLoop(Protocol):
    """The part of the event loop that is used here."""

    def call_soon(self, callback: Callable[[], None]) -> object:
        """Call back in the next turn, after the sockets that are ready."""

    def time(self) -> float:
        """Return the loop's time in seconds."""


class HeavySender(NamedTuple):
    """A connection that is read in turn, and what to do once it has nothing more to read."""

    connection: AcceptedConnection
    on_drained: Callable[[], None]


class HeavySenders:
    """The credits of connections, and the queue of heavy senders."""

    def __init__(self, loop: EventLoop, read: Callable[[AcceptedConnection], int]) -> None:
        """Start empty; `read` reads a connection once and returns the number of bytes, 0 for none."""
        self._loop = loop
        self._read = read
        self._queue: deque[HeavySender] = deque()
        self._period = 0  # the number of the present period
        self._active = 0  # connections read in the present period
        self._active_before = 0  # connections read in the period before

    def connection_added(self, connection: AcceptedConnection) -> None:
        """Give a connection its first credit."""
        connection.credit_s = FIRST_CREDIT_S
        connection.credited_at = self._loop.time()

    def charge(self, connection: AcceptedConnection, seconds: float = 0.0) -> None:
        """Credit a connection what it has earned, and charge processing time to it."""
        now = self._loop.time()
        self._count_active(connection, int(now / ACTIVE_PERIOD_S))
        active = max(1, self._active, self._active_before)
        earned_s = (now - connection.credited_at) * SHARED_RATE / active
        credit_s = min(MAX_CREDIT_S, connection.credit_s + earned_s) - seconds
        connection.credit_s = max(-MAX_CREDIT_S, credit_s)
        connection.credited_at = now

    def _count_active(self, connection: AcceptedConnection, period: int) -> None:
        """Count a connection as active in a period; idle connections take nothing from the others' credit."""
        if period != self._period:
            self._active_before = self._active if period == self._period + 1 else 0
            self._active = 0
            self._period = period
        if connection.active_period != period:
            connection.active_period = period
            self._active += 1

    @staticmethod
    def is_heavy(connection: AcceptedConnection) -> bool:
        """Return whether a connection has used up its credit."""
        return connection.credit_s <= 0

    @staticmethod
    def read_bytes(connection: AcceptedConnection) -> int:
        """Return how many bytes one read of a connection may take."""
        if connection.credit_s <= 0:
            return HEAVY_READ_BYTES
        return LIGHT_READ_BYTES if connection.credit_s > SHORT_CREDIT_S else SHORT_CREDIT_READ_BYTES

    def add(self, connection: AcceptedConnection, on_drained: Callable[[], None]) -> None:
        """Read a connection in turn from now on, until it has nothing more to read or has ended."""
        self._queue.append(HeavySender(connection, on_drained))
        if len(self._queue) == 1:
            self._loop.call_soon(self._serve_next)

    def _serve_next(self) -> None:
        """Read the heavy sender that has waited longest."""
        sender = self._queue[0]
        is_open = not sender.connection.has_stopped_reading()
        size = self._read(sender.connection) if is_open else 0
        self._queue.popleft()
        if size:
            self._queue.append(sender)
        elif not sender.connection.has_stopped_reading():
            sender.on_drained()
        if self._queue:
            self._loop.call_soon(self._serve_next)
