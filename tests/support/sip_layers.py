"""What tests of single SIP layers share: a clock set by hand, a flow that records, a request's head."""

from __future__ import annotations

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
    """A clock set by hand and its timers."""

    def __init__(self):
        self.now, self.pending, self.counters = 100.0, [], Counters()
        self.clock = lambda: self.now
        self.timers = self

    def schedule(self, due, act):
        self.pending.append((due, len(self.pending), act))

    def run(self, seconds):
        end = self.now + seconds
        while self.pending and min(self.pending)[0] <= end:
            first = min(self.pending)
            self.pending.remove(first)
            self.now = max(self.now, first[0])
            first[2]()
        self.now = end


class ByteRecordingFlow(Flow):
    """A flow that keeps what is sent."""

    def __init__(self, host="127.0.0.1", reliable=False):
        self.peer, self.reliable, self.sent = (host, 4000), reliable, []

    def send(self, data):
        self.sent.append(data)


def request_head(method="OPTIONS", branch="z9hG4bKa", call="c1", peer=("127.0.0.1", 4000)):
    lines = sip_headers(method, "1", branch, call)
    return RequestHead(sip_parser.parse_datagram(sip.request(method, "sip:7@net", list(lines.items()))), peer)


def digest_authenticator(**more):
    lines = digest_auth.format_user_lines("office", "r", "word", ["SHA-256"])
    clock = ManualClock()
    told = {
        "users": digest_auth.parse_users("\n".join(lines), "r", ["SHA-256"]),
        "algorithms": ("SHA-256",),
        **more,
    }
    return digest_auth.DigestAuthenticator("r", told.pop("users"), b"s", clock.clock, **told), clock
