"""The sans-I/O base of every protocol on a connection.

A protocol is fed bytes and hands bytes out; it knows neither socket nor event loop. Its driver, which reads
and writes the socket, is `node/io/connection_runner.py`.
"""

from __future__ import annotations

from collections.abc import Callable


def do_nothing() -> None:
    """Take the place of a callback that nothing has set yet."""


class ConnectionProtocol:
    """One end of a connection. The driver calls it, and sets `notify_writable` and `abort`."""

    counts_requests = False  # whether `requests` is kept; only then does what makes no request count as idle
    requests = 0  # complete requests that have come on the connection

    def __init__(self) -> None:
        """Begin with nothing read, nothing to write and no driver."""
        self.notify_writable: Callable[[], None] = do_nothing  # `data_to_send` has something
        self.abort: Callable[[], None] = do_nothing  # end the connection at once
        self.closing = False
        self.request_received = False  # a complete request has come on it
        self.writing = False  # what was taken for sending is on its way; kept by the driver
        self.reads_until_eof = False  # what comes after its own last word is of use

    def owes_response(self) -> bool:
        """Whether a response is owed on this connection, so that it must not be closed."""
        return False

    def has_partial_message(self) -> bool:
        """Whether a message has begun and its rest is awaited."""
        return False

    def read_timed_out(self) -> None:
        """A message has not come in time: answer that where a response is possible, and close."""
        self.closing = True
        self.notify_writable()

    def peer_closing(self) -> None:
        """The peer has closed its side, or reset the connection, and waits for no call any more.

        What it sent before may still lie unread: it comes by `receive_data`, and then `eof_received`.
        """

    def eof_received(self) -> None:
        """The peer will send no more. A protocol with something left to say sets `closing`: it is written."""

    def eviction_response(self) -> bytes:
        """The last word on a connection that has to go for a newcomer."""
        return b""

    def is_idle(self) -> bool:
        """Whether nothing is owed or under way on it, so that a drain may end it."""
        return not (self.owes_response() or self.writing or self.has_partial_message())

    def close_when_idle(self) -> None:
        """A drain ends the connection at an idle moment."""
        self.closing = True
        self.notify_writable()

    def can_close(self) -> bool:
        """Whether the connection may be closed once all is written.

        Never while a response is owed on it: a good set-up must not go down with a bad message behind it.
        """
        return self.closing and not self.owes_response()

    def receive_data(self, data: bytes | memoryview) -> None:
        """Take bytes from the peer."""
        raise NotImplementedError

    def data_to_send(self) -> bytes:
        """Hand out what is to be written now."""
        raise NotImplementedError

    def reclaim_unsent(self, rest: bytes) -> bytes:
        """Take back what the peer does not read: `rest` of what `data_to_send` gave last.

        Returns how much of that must still go; the protocol hands the others out again once there is room.
        """
        return rest

    def connection_lost(self) -> None:
        """The connection has ended."""
        raise NotImplementedError
