"""The sans-I/O base of every protocol that runs on a connection: fed with bytes, it hands bytes out, and it
knows neither socket nor event loop. The driver is `node/net.py`.
"""

from __future__ import annotations

from collections.abc import Callable


def do_nothing() -> None:
    """Take the place of a callback that nothing has set yet."""


class ConnectionProtocol:
    """A state machine at the end of a connection: it is fed bytes, hands bytes out and knows no socket."""

    def __init__(self) -> None:
        self.notify_writable: Callable[[], None] = do_nothing  # data is ready; set by the driver
        self.abort: Callable[[], None] = do_nothing  # end the connection at once; set by the driver
        self.closing = False
        self.request_received = False  # a whole request has come on it
        self.writing = False  # what was pulled is on its way; kept by the driver
        self.reads_until_eof = False  # what comes after its own last word is of use

    def owes_response(self) -> bool:
        """Whether an answer is owed on this connection, so that it must not be closed."""
        return False

    def has_partial_message(self) -> bool:
        """Whether a message has begun and its rest is awaited."""
        return False

    def read_timed_out(self) -> None:
        """What was to come has not come in time: say so if that can be said, and end the connection."""
        self.closing = True
        self.notify_writable()

    def peer_closing(self) -> None:
        """The peer has closed its side, or reset the connection. What it sent before may still lie unread: it
        comes by `receive`, and then `ended`. The peer waits for no call any more.
        """

    def eof_received(self) -> None:
        """The peer will send no more. A machine with something left to say sets `closing`: it is written."""

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
        """Whether the connection may be closed once all is written. Never while an answer is owed on it.

        Guards against a good set-up that goes down with a bad message behind it on the same connection.
        """
        return self.closing and not self.owes_response()

    def receive_data(self, data: bytes | memoryview) -> None:
        """Bytes from the peer."""
        raise NotImplementedError

    def data_to_send(self) -> bytes:
        """What is to be written now."""
        raise NotImplementedError

    def reclaim_unsent(self, rest: bytes) -> bytes:
        """The peer does not take what was pulled last, from `rest` on. Returns how much of that must go yet;
        the machine hands the others out again once there is room.
        """
        return rest

    def connection_lost(self) -> None:
        """The connection has ended."""
        raise NotImplementedError
