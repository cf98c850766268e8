"""Helpers for tests of single SIP layers: a manual clock, a recording flow, requests and authentication."""

from __future__ import annotations

from collections.abc import Callable

from hypothesis import HealthCheck, settings

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.counters import Counters
from stairhatch.sip import digest_auth
from stairhatch.sip.request_head import RequestHead
from stairhatch.sip.transport import Flow

from .sip_messages import sip_headers

BOUNDED = settings(
    derandomize=True,
    max_examples=150,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)


class ManualClock:
    """A manual clock with timers and counters; a `TransactionContext` for tests."""

    def __init__(self) -> None:
        self.now = 100.0
        self.pending: list[tuple[float, int, Callable[[], None]]] = []
        self.counters = Counters()
        self.clock = lambda: self.now
        self.timers = self

    def schedule(self, due: float, callback: Callable[[], None]) -> None:
        """Call a callback when the clock reaches the time `due`."""
        self.pending.append((due, len(self.pending), callback))

    def run(self, seconds: float) -> None:
        """Advance the clock, and call the callbacks that become due at their own times."""
        end = self.now + seconds
        while self.pending and min(self.pending)[0] <= end:
            timer = min(self.pending)
            self.pending.remove(timer)
            self.now = max(self.now, timer[0])
            timer[2]()
        self.now = end


class ByteRecordingFlow(Flow):
    """A flow without a socket that records the bytes sent on it."""

    def __init__(self, host: str = "127.0.0.1", reliable: bool = False) -> None:
        self.peer = (host, 4000)
        self.reliable = reliable
        self.sent: list[bytes] = []

    def send(self, data: bytes) -> None:
        """Record a message."""
        self.sent.append(data)


def request_head(
    method: str = "OPTIONS",
    branch: str = "z9hG4bKa",
    call_id: str = "c1",
    peer: tuple[str, int] = ("127.0.0.1", 4000),
) -> RequestHead:
    """Return the head of a minimal request received from a peer."""
    headers = sip_headers(method, "1", branch, call_id)
    message = sip_parser.parse_datagram(sip.request(method, "sip:7@net", list(headers.items())))
    return RequestHead(message, peer)


def digest_authenticator() -> tuple[digest_auth.DigestAuthenticator, ManualClock]:
    """Return an authenticator with one user (name office, password word), and its clock."""
    clock = ManualClock()
    lines = digest_auth.format_user_lines("office", "r", "word", ["SHA-256"])
    users = digest_auth.parse_users("\n".join(lines), "r", ["SHA-256"])
    authenticator = digest_auth.DigestAuthenticator("r", users, b"s", clock.clock, ("SHA-256",))
    return authenticator, clock
