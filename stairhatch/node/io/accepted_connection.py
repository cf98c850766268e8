"""State of one caller's connection, which a listener accepted or which was dialled to deliver a message."""

from __future__ import annotations

import asyncio
import socket
from collections import OrderedDict
from dataclasses import dataclass

from stairhatch.node.protocol import ConnectionProtocol

LINE_ENDS_IDLE_S = 1.0  # a connection that receives only line ends for longer than this is idle


def peek_unread(sock: socket.socket) -> bytes | None:
    """Return the first unread byte of a connection without consuming it.

    Returns b"" if the peer has closed or the socket has failed, and None if there is nothing to read.
    """
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b""


IdleOrder = OrderedDict["AcceptedConnection", None]  # by the time of the last bytes, longest idle first


@dataclass(slots=True, eq=False, repr=False)
class AcceptedConnection:
    """State of a connection to one caller. Times are event loop times in seconds."""

    protocol: ConnectionProtocol
    sock: socket.socket
    accepted_at: float
    received_at: float = 0.0  # when bytes were last received
    partial_since: float = 0.0  # when the first part of an incomplete message was received; 0: none
    peer_closed: bool = False  # the peer has closed; bytes sent before that may still be unread
    reading_ended: asyncio.Future[bool] | None = None  # set by the reader; result: the peer may still send
    idle_order: IdleOrder | None = None  # the connection is moved to its end when bytes are received
    loss_reported: bool = False  # the protocol has been notified of the loss of the connection
    credit_s: float = 0.0  # processing time that the connection may use at once; see `heavy_senders`
    credited_at: float = 0.0
    active_period: int = -1  # the last period in which the connection was read
    requests_seen: int = 0  # the protocol's request count at the last check
    requests_seen_at: float = 0.0  # when that count was last seen to change

    def __post_init__(self) -> None:
        """Treat a new connection as one that has just received bytes."""
        self.received_at = self.requests_seen_at = self.accepted_at

    def has_stopped_reading(self) -> bool:
        """Return whether reading has ended, or has never begun."""
        return self.reading_ended is None or self.reading_ended.done()

    def note_requests(self, now: float) -> None:
        """Record `now` as the time of the last request if the protocol's request count has changed."""
        if (requests := self.protocol.requests) != self.requests_seen:
            self.requests_seen = requests
            self.requests_seen_at = now

    def is_idle_since(self, since: float, now: float) -> bool:
        """Return whether no bytes were received after `since`, or only line ends between messages for 1 s.

        The second rule holds for protocols that count their requests. Without it, callers that send one
        request and then an occasional line end would never be idle, and would occupy the connection limit
        permanently.
        """
        since_request_s = now - self.requests_seen_at
        only_line_ends = (
            self.protocol.counts_requests and not self.partial_since and since_request_s > LINE_ENDS_IDLE_S
        )
        return self.received_at <= since or only_line_ends

    def has_unread(self) -> bool:
        """Return whether received bytes are unread; a close or a fault of the socket counts as none.

        Bytes that have been read need no check: they are passed to the protocol in the same step.
        """
        return bool(peek_unread(self.sock))

    def report_loss(self) -> None:
        """Notify the protocol that the connection is lost; later calls do nothing.

        The protocol abandons the calls of the connection as soon as the reset is read, rather than when the
        connection's task runs next.
        """
        if not self.loss_reported:
            self.loss_reported = True
            self.protocol.connection_lost()
