"""Reads the sockets of callers on demand, independently of the turns of the event loop.

Before a set-up is written to a server, everything its caller has sent so far has to be read, since it may be
a CANCEL or the end of the connection. The event loop reports readable sockets only once per turn, so the
sockets of callers are also registered with a second poll object.
"""

from __future__ import annotations

import contextlib
import select
import socket
from collections.abc import Callable

MAX_POLL_ROUNDS = 10  # each round reads a connection once, 4 to 16 KiB; timers are delayed meanwhile
MAX_POLLED_BYTES = 512 * 1024  # from all sockets together; no round starts once it is reached

ReadyCallback = Callable[[int], int]  # parameter: the event mask; result: the number of bytes read
FaultHandler = Callable[[Exception, object], None]  # parameters: the exception and the object that raised it


class ReadinessPoller:
    """Finds the readable sockets of callers with one system call and has them read.

    If the system has no poll object, no socket is registered and only the event loop reads.
    """

    def __init__(self, on_fault: FaultHandler) -> None:
        """Create the poll object; exceptions of the read callbacks go to `on_fault`."""
        self.on_fault = on_fault
        self.poll: select.epoll | select.poll | None = None
        with contextlib.suppress(OSError):
            self.poll = select.epoll() if hasattr(select, "epoll") else select.poll()
        self.readers: dict[int, ReadyCallback] = {}  # by descriptor

    def register(
        self, sock: socket.socket, read: ReadyCallback, events: int = select.POLLIN | select.POLLRDHUP
    ) -> None:
        """Register a socket: `read_ready` calls `read` when it is readable or its peer has closed.

        `events` is the event mask to poll for, if the system knows it. Does nothing for a closed socket.
        """
        descriptor = sock.fileno()
        if self.poll is None or descriptor < 0:
            return
        for mask in (events, select.POLLIN):
            with contextlib.suppress(OSError, ValueError):
                self.poll.register(descriptor, mask)
                self.readers[descriptor] = read
                return

    def unregister(self, sock: socket.socket) -> None:
        """Remove a socket if it is registered. Must be called before the socket is closed."""
        if self.poll is not None and self.readers.pop(sock.fileno(), None) is not None:
            with contextlib.suppress(OSError, ValueError, KeyError):
                self.poll.unregister(sock.fileno())

    def read_ready(self) -> None:
        """Read all registered sockets that are readable, up to MAX_POLL_ROUNDS and MAX_POLLED_BYTES.

        An exception of a read callback goes to the fault handler and does not stop the others.
        """
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
                except Exception as error:  # noqa: BLE001 - set-ups of other callers still have to be written
                    self.on_fault(error, read)
