"""Base class of the sans-I/O connection protocols.

A protocol processes received bytes and produces bytes to send, without a socket or an event loop. Its driver,
which reads and writes the socket, is `node/io/connection_runner.py`.
"""

from __future__ import annotations

from collections.abc import Callable


def do_nothing() -> None:
    """Do nothing: the default of callbacks that have not been set."""


class ConnectionProtocol:
    """Base class of protocols. The driver calls the methods, and sets `notify_writable` and `abort`."""

    counts_requests = False  # `requests` is maintained; only then can a connection without requests be idle
    requests = 0  # complete requests received on the connection

    def __init__(self) -> None:
        """Start with nothing received, nothing to send and no driver."""
        self.notify_writable: Callable[[], None] = do_nothing  # reports that `data_to_send` has data
        self.abort: Callable[[], None] = do_nothing  # closes the connection immediately
        self.closing = False
        self.request_received = False  # a complete request has been received
        self.writing = False  # data from `data_to_send` is being written; set by the driver
        self.reads_until_eof = False  # data is still read after the protocol's last output

    def has_pending_response(self) -> bool:
        """Whether a request on this connection has no response yet, so that it must not be closed."""
        return False

    def has_partial_message(self) -> bool:
        """Whether part of a message has been received and the rest has not."""
        return False

    def read_timed_out(self) -> None:
        """Handle a message that was not complete in time: respond if possible, and close."""
        self.closing = True
        self.notify_writable()

    def peer_closing(self) -> None:
        """Handle that the peer has closed its side or reset the connection and awaits no call any more.

        Data that the peer sent before may still be unread: the driver passes it to `receive_data` and then
        calls `eof_received`.
        """

    def eof_received(self) -> None:
        """Handle the end of the peer's stream. A protocol with unsent output sets `closing` to send it."""

    def eviction_response(self) -> bytes:
        """Return the last bytes to send on a connection that is evicted in favour of a new one."""
        return b""

    def is_idle(self) -> bool:
        """Whether no response, write or message is pending, so that a drain may close the connection."""
        return not (self.has_pending_response() or self.writing or self.has_partial_message())

    def close_when_idle(self) -> None:
        """Close the connection for a drain; the driver calls it while the connection is idle."""
        self.closing = True
        self.notify_writable()

    def can_close(self) -> bool:
        """Whether the connection may be closed once all output is written.

        False while a response is pending: a malformed message must not end the valid set-up before it.
        """
        return self.closing and not self.has_pending_response()

    def receive_data(self, data: bytes | memoryview) -> None:
        """Process bytes received from the peer."""
        raise NotImplementedError

    def data_to_send(self) -> bytes:
        """Return the bytes to write now; they count as sent."""
        raise NotImplementedError

    def reclaim_unsent(self, rest: bytes) -> bytes:
        """Take back unsent bytes because the peer does not read; `rest` is the end of the last output.

        Returns the bytes that must still be sent. `data_to_send` returns the others again once the peer reads
        on.
        """
        return rest

    def connection_lost(self) -> None:
        """Handle the end of the connection."""
        raise NotImplementedError
