"""Which sockets of callers have something to be read, beside the loop's own poll."""

from __future__ import annotations

import contextlib
import select
import socket
from collections.abc import Callable

HEARD_ROUNDS = 4  # before set-ups are written: a buffer a round of each connection; timers wait meanwhile
HEARD_BYTES = 512 * 1024  # of all: no further round is begun beyond so much


class Ears:
    """Sockets of callers, and a look at which of them have something to be read: one system call for all,
    by a poll of our own beside the loop's. Where that can't be had, nothing is heard here, and what comes is
    read by the loop alone.
    """

    def __init__(self, fault: Callable[[Exception, object], None]) -> None:
        self.fault = fault
        self.poll: select.epoll | select.poll | None = None
        with contextlib.suppress(OSError):
            self.poll = select.epoll() if hasattr(select, "epoll") else select.poll()
        self.by_descriptor: dict[int, Callable[[int], int]] = {}

    def add(self, sock: socket.socket, hear: Callable[[int], int]) -> None:
        """Have `hear` called with the events, where there are any; it returns how many bytes it has read."""
        descriptor = sock.fileno()
        if self.poll is None or descriptor < 0:
            return
        for events in (select.POLLIN | select.POLLRDHUP, select.POLLIN):
            with contextlib.suppress(OSError, ValueError):
                self.poll.register(descriptor, events)
                self.by_descriptor[descriptor] = hear
                return

    def drop(self, sock: socket.socket) -> None:
        """Before it is closed."""
        if self.poll is not None and self.by_descriptor.pop(sock.fileno(), None) is not None:
            with contextlib.suppress(OSError, ValueError, KeyError):
                self.poll.unregister(sock.fileno())

    def hear(self) -> None:
        """Have all read what has come until now, within bounds."""
        size = 0
        for _ in range(HEARD_ROUNDS):
            try:
                ready = self.poll.poll(0) if self.poll is not None else []
            except OSError:
                return
            if not ready or size >= HEARD_BYTES:
                return
            for descriptor, events in ready:
                hear = self.by_descriptor.get(descriptor)
                try:
                    size += hear(events) if hear is not None else 0
                except Exception as error:  # noqa: BLE001 - the set-ups of others are to be written
                    self.fault(error, hear)
