"""A listener that lets nobody in: who connects waits in the kernel."""

from __future__ import annotations

import socket

CONNECT_TIMEOUT_S = 0.3


class FullListener:
    """A listener whose queue is full, so that the SYN of who connects next gets no answer."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.port: int = self.listener.getsockname()[1]
        self.connections: list[socket.socket] = []
        self._fill()

    def _fill(self) -> None:
        while True:
            connection = socket.socket()
            connection.settimeout(CONNECT_TIMEOUT_S)
            self.connections.append(connection)
            try:
                connection.connect(("127.0.0.1", self.port))
            except TimeoutError:
                connection.close()  # its retransmitted SYN would take the place that the test frees
                return

    def empty_queue(self) -> None:
        """Accept who is in the queue; the kernel of who was not let in retransmits its SYN by itself."""
        self.connections += [self.listener.accept()[0] for _ in self.connections[:-1]]

    def close(self) -> None:
        """End the listener and the connections that fill it."""
        for each in (*self.connections, self.listener):
            each.close()
