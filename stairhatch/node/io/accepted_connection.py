"""The record of one connection of a caller: accepted by a listener, or dialled to deliver a message."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

from stairhatch.node.protocol import ConnectionProtocol

NOISE_TOLERATED_S = 1.0  # bytes that make no message for so long keep no connection


def peek_unread(sock: socket.socket) -> bytes | None:
    """The first byte that lies unread on a connection; b"" for its end or a fault, None for neither."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b""


@dataclass(slots=True, eq=False, repr=False)
class AcceptedConnection:
    """A connection of a caller. Times are the event loop's, in seconds."""

    protocol: ConnectionProtocol
    sock: socket.socket
    accepted_at: float
    received_at: float = 0.0  # when bytes last came
    partial_since: float = 0.0  # since when the rest of a message is awaited; 0: it is not
    peer_closed: bool = False  # its peer has closed, with bytes before that which may lie unread
    reading_ended: asyncio.Future[bool] | None = None  # set once it is read; result: the peer may still send
    loss_reported: bool = False  # the protocol was notified that the connection is lost
    requests_seen: int = 0  # requests received on it when it was last checked
    requests_seen_at: float = 0.0  # since when there were no more

    def __post_init__(self) -> None:
        """A new connection counts as one that has just received something."""
        self.received_at = self.requests_seen_at = self.accepted_at

    def note_requests(self, now: float) -> None:
        """Note whether a whole request has come since the last check."""
        if (requests := self.protocol.requests) != self.requests_seen:
            self.requests_seen = requests
            self.requests_seen_at = now

    def is_idle_since(self, since: float, now: float) -> bool:
        """Whether nothing has come since then, or for long nothing but line ends between messages.

        The second because callers who ask once and then send a line end now and then would never be idle, and
        would fill the limit for good.
        """
        noise_s = now - self.requests_seen_at
        only_noise = self.protocol.counts_requests and not self.partial_since and noise_s > NOISE_TOLERATED_S
        return self.received_at <= since or only_noise

    def has_unread(self) -> bool:
        """Whether bytes have come that have not been read. What is read is given to the protocol at once."""
        return bool(peek_unread(self.sock))

    def report_loss(self) -> None:
        """Notify the protocol, once, that the connection is lost.

        What is open on it is given up where the reset is read, not when the connection's task comes to it.
        """
        if not self.loss_reported:
            self.loss_reported = True
            self.protocol.connection_lost()
