"""A listener with a full accept queue: further connects to it wait in the kernel."""

from __future__ import annotations

import socket

CONNECT_TIMEOUT_S = 0.3


class FullListener:
    """A listening socket whose accept queue is full, so that the SYN of the next connect gets no answer."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.port: int = self.listener.getsockname()[1]
        self.connections: list[socket.socket] = []
        self._fill()

    def _fill(self) -> None:
        """Connect until a connect times out because the accept queue is full."""
        while True:
            connection = socket.socket()
            connection.settimeout(CONNECT_TIMEOUT_S)
            self.connections.append(connection)
            try:
                connection.connect(("127.0.0.1", self.port))
            except TimeoutError:
                connection.close()  # or its retransmitted SYN takes the queue place that the test frees
                return

    def empty_queue(self) -> None:
        """Accept all queued connections; a waiting connect succeeds once the kernel retransmits its SYN."""
        self.connections += [self.listener.accept()[0] for _ in self.connections[:-1]]

    def close(self) -> None:
        """Close the listener and the connections in its accept queue."""
        for opened in (*self.connections, self.listener):
            opened.close()
