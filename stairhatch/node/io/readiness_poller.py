"""Reads what callers have sent at a given moment, outside of the event loop's turn.

Before a set-up is written to a server, whatever its caller has sent until then must have been read, since it
may be a CANCEL or the end of the connection. The loop reports readable sockets once a turn only, so the
sockets of callers are registered with a second poll object as well.
"""

from __future__ import annotations

import contextlib
import select
import socket
from collections.abc import Callable

MAX_POLL_ROUNDS = 4  # each reads up to a buffer of each connection; timers wait meanwhile
MAX_POLLED_BYTES = 512 * 1024  # of all sockets together: no further round is begun beyond so much

ReadyCallback = Callable[[int], int]  # is given the poll's event mask, returns how many bytes it has read
FaultHandler = Callable[[Exception, object], None]  # an error and the object whose fault it is


class ReadinessPoller:
    """The sockets of callers, and one system call that reports which of them can be read.

    Where the system offers no poll object nothing is registered, and the event loop alone reads.
    """

    def __init__(self, on_fault: FaultHandler) -> None:
        """Make the poll object; faults of what it calls go to `on_fault`."""
        self.on_fault = on_fault
        self.poll: select.epoll | select.poll | None = None
        with contextlib.suppress(OSError):
            self.poll = select.epoll() if hasattr(select, "epoll") else select.poll()
        self.readers: dict[int, ReadyCallback] = {}  # by descriptor

    def register(self, sock: socket.socket, read: ReadyCallback) -> None:
        """Have `read` called by `read_ready` when the socket has something to be read or its peer is gone."""
        descriptor = sock.fileno()
        if self.poll is None or descriptor < 0:
            return
        for events in (select.POLLIN | select.POLLRDHUP, select.POLLIN):
            with contextlib.suppress(OSError, ValueError):
                self.poll.register(descriptor, events)
                self.readers[descriptor] = read
                return

    def unregister(self, sock: socket.socket) -> None:
        """Forget a socket; to be called before it is closed."""
        if self.poll is not None and self.readers.pop(sock.fileno(), None) is not None:
            with contextlib.suppress(OSError, ValueError, KeyError):
                self.poll.unregister(sock.fileno())

    def read_ready(self) -> None:
        """Have all sockets read what has come until now, within the limits above."""
        size = 0
        for _ in range(MAX_POLL_ROUNDS):
            try:
                ready = self.poll.poll(0) if self.poll is not None else []
            except OSError:
                return
            if not ready or size >= MAX_POLLED_BYTES:
                return
            for descriptor, events in ready:
                read = self.readers.get(descriptor)
                try:
                    size += read(events) if read is not None else 0
                except Exception as error:  # noqa: BLE001 - the set-ups of others are to be written
                    self.on_fault(error, read)
