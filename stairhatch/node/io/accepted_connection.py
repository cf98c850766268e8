"""A connection of a caller, and what those who connect to one address are allowed."""

from __future__ import annotations

import asyncio
import math
import socket
from dataclasses import dataclass

from stairhatch.node.protocol import ConnectionProtocol

FIRST_S = 2.5  # a caller's first request must have come whole by then: it is owed an answer within 3 s
NOISE_S = 1.0  # bytes that make no message for so long keep no connection
YOUNG_S = 0.25  # a connection is not put out for others before it could have asked


def unread(sock: socket.socket) -> bytes | None:
    """The first byte that lies unread on a connection; b"" for its end or a fault, None for neither."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b""


@dataclass(eq=False, slots=True)
class Taken:
    """A connection of a caller."""

    machine: ConnectionProtocol
    sock: socket.socket
    since: float
    last: float = 0.0  # when bytes last came
    begun: float = 0.0  # since when the rest of a message is awaited; 0: it is not
    gone: bool = False  # its peer has closed, with bytes before that which may lie unread
    over: asyncio.Future[bool] | None = None  # while it is read; then whether its peer may still send
    lost: bool = False  # and its machine knows
    requests: int = 0  # whole messages on it, as last looked at
    asked_at: float = 0.0  # since when there were no more

    def __post_init__(self) -> None:
        self.last = self.asked_at = self.since

    def look(self, now: float) -> None:
        """Note whether a whole message has come since the last look."""
        if (requests := getattr(self.machine, "requests", 0)) != self.requests:
            self.requests, self.asked_at = requests, now

    def idles(self, old: float, now: float) -> bool:
        """Whether nothing has come since then, or for long no more than line ends between messages.

        Guards against callers who ask once and then send a line end now and then: they were never idle, and
        filled the limit for good.
        """
        noise = hasattr(self.machine, "requests") and not self.begun and now - self.asked_at > NOISE_S
        return self.last <= old or noise

    def unseen(self) -> bool:
        """Whether bytes have come that have not been read. What is read is given to the machine at once."""
        return bool(unread(self.sock))


@dataclass(frozen=True, slots=True)
class Bounds:
    """What those who connect to one address are allowed."""

    most: int  # connections at a time
    first_s: float = FIRST_S
    young_s: float = YOUNG_S
    idle_s: float = math.inf  # one on which nothing came for so long, and nothing is owed, is ended
