"""A stand-in SIP caller over UDP or TCP, for the demonstration and for load: places calls, acknowledges,
holds and hangs up, redials where it is told when to return, and records when each call's final answer came.
It must never keep more than its calls that are open.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser

T1, T2, MOST_COPIES = 0.5, 4.0, 7
RECONNECTS, RECONNECT_S = 50, 0.1
OFFER = (
    b"v=0\r\no=office 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\n"
    b"m=audio 30000 RTP/AVP 8\r\n"
)


class CallResult(Enum):
    """What came of a call."""

    STOOD = "stood"
    REFUSED = "refused"  # 503: told when to return
    FAILED = "failed"
    UNHEARD = "unheard"  # no final answer at all


@dataclass(slots=True)
class PlacedCall:
    """One call of a caller."""

    ident: str
    number: str
    hold_s: float
    due: float  # when it was to be placed
    told: Callable[[PlacedCall, CallResult, float, int], None]  # its end, seconds since it was due, status
    branch: str = ""
    data: bytes = b""
    copies: int = 0
    rang: bool = False
    end: CallResult | None = None
    return_s: float | None = None  # when a refusal told it to return
    vanished: bool = False  # its caller is gone without a word
    to: str = ""
    target: str = ""
    bye: bytes = b""
    over: bool = False


def seconds(text: str) -> float | None:
    """Retry-After's seconds (RFC 3261, 20.33); None where it names none."""
    digits = text.partition(";")[0].partition("(")[0].strip()
    return float(digits) if digits.isdecimal() and len(digits) < 10 else None


class CallerEmulator(asyncio.DatagramProtocol, asyncio.Protocol):
    """One office: a UDP port or a TCP connection, with any number of calls."""

    def __init__(self, name: str, seed: int, kind: str, udp: bool) -> None:
        self.name, self.kind, self.udp = name, kind, udp
        self.random = random.Random(seed)
        self.calls: dict[str, PlacedCall] = {}
        self.counts = {"copies": 0, "byes_heard": 0, "byes_sent": 0, "rings": 0}
        self.loop = asyncio.get_running_loop()
        self.host, self.lost = "", False
        self._parser = sip_parser.StreamParser()
        self._serial = 0
        self._send: Callable[[bytes], None] = lambda data: None
        self.via = ""  # what its Via says beside branch and rport
        self.heard: Callable[[sip.SipMessage], None] = lambda message: None  # each final answer to an INVITE
        # For whoever checks: what was asked, answered or ended, the status and what tells answers apart.
        self.seen: Callable[[str, PlacedCall, int, str], None] = lambda what, call, status, text: None

    @classmethod
    async def over_udp(cls, place: tuple[str, int], name: str, seed: int, kind: str = "") -> CallerEmulator:
        """A caller on a port of its own."""
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_datagram_endpoint(
            lambda: cls(name, seed, kind, True), remote_addr=place
        )
        return caller

    @classmethod
    async def over_tcp(cls, place: tuple[str, int], name: str, seed: int, kind: str = "") -> CallerEmulator:
        """A caller on a connection of its own."""
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_connection(lambda: cls(name, seed, kind, False), *place)
        return caller

    # the transports

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The port or connection is there."""
        host, port = transport.get_extra_info("sockname")[:2]
        self.host = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.transport: Any = transport  # uvloop's are of no class that asyncio has
        self._send = self.transport.sendto if self.udp else self.transport.write

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has gone."""
        self.lost = True

    def datagram_received(self, data: bytes, addr: object) -> None:
        """A datagram."""
        if data.strip():
            self._message(sip_parser.parse_datagram(data))

    def error_received(self, exc: Exception) -> None:
        """Nobody listens: the copies will tell."""

    def data_received(self, data: bytes) -> None:
        """Bytes of the connection."""
        self._parser.feed(data)
        while (message := self._parser.next_message()) is not None:
            self._message(message)

    def close(self) -> None:
        """Give up the port or connection."""
        self.transport.close()

    async def reconnect(self, place: tuple[str, int]) -> None:
        """Lose the connection without a word and open another. What was being set up is given up; what stands
        goes on by the new one.
        """
        for call in [each for each in self.calls.values() if each.end is None]:
            self.vanish(call)
        self.transport.abort()
        while not self.lost:
            await asyncio.sleep(0)
        self._parser = sip_parser.StreamParser()
        for _ in range(RECONNECTS):
            try:
                await self.loop.create_connection(lambda: self, *place)
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            self.lost = False
            return

    # calls

    def place(
        self,
        number: str,
        hold_s: float,
        due: float,
        told: Callable[[PlacedCall, CallResult, float, int], None],
    ) -> PlacedCall:
        """Place a call now; `told` hears its end once."""
        self._serial += 1
        call = PlacedCall(f"{self.name}.{self._serial}@{self.host}", number, hold_s, due, told)
        call.branch = f"z9hG4bK{self.name}.{self._serial}"
        call.data = self._request(call, "INVITE", 1, call.branch, OFFER)
        self.calls[call.ident] = call
        self.seen("asked", call, 0, "")
        self._send(call.data)
        if self.udp:
            self.loop.call_later(T1, self._copy, call, T1)
        self.loop.call_later(64 * T1, self._unheard, call)
        return call

    def cancel(self, call: PlacedCall) -> None:
        """Give a call up before its answer."""
        if call.end is None and not call.vanished:
            self.seen("hung up", call, 0, "")
            self._send(self._request(call, "CANCEL", 1, call.branch))

    def vanish(self, call: PlacedCall) -> None:
        """Its caller is gone: nothing more is sent, and what comes for it is not answered."""
        if call.end is None:
            self.seen("vanished", call, 0, "")
            call.vanished = call.over = True
            self._ended(call, CallResult.UNHEARD, 0)
            self.calls.pop(call.ident, None)

    def hang_up(self, call: PlacedCall) -> None:
        """End a call that stands."""
        if call.end is CallResult.STOOD and not call.over:
            call.over = True
            self.seen("hung up", call, 0, "")
            call.bye = self._request(call, "BYE", 2, call.branch + "b")
            self.counts["byes_sent"] += 1
            self._send(call.bye)
            if self.udp:
                self.loop.call_later(T1, self._copy_bye, call, T1, 0)
            self.loop.call_later(64 * T1, self.calls.pop, call.ident, None)

    def _request(self, call: PlacedCall, method: str, cseq: int, branch: str, body: bytes = b"") -> bytes:
        way = "" if self.udp else ";transport=tcp"
        headers = [
            ("via", f"SIP/2.0/{'UDP' if self.udp else 'TCP'} {self.host};branch={branch};rport{self.via}"),
            ("max-forwards", "70"),
            ("from", f"<sip:{self.name}@{self.host}>;tag={self.name}.{call.ident.split('@')[0]}"),
            ("to", call.to or f"<sip:{call.number}@softswitch>"),
            ("call-id", call.ident),
            ("cseq", f"{cseq} {method}"),
        ]
        if method == "INVITE":
            headers += [
                ("contact", f"<sip:{self.name}@{self.host}{way}>"),
                ("content-type", "application/sdp"),
            ]
            headers += [("call-kind", self.kind)] if self.kind else []
        return sip.request(method, call.target or f"sip:{call.number}@softswitch", headers, body)

    def _copy(self, call: PlacedCall, gap: float) -> None:
        if call.end is None and not call.rang and not call.vanished and call.copies < MOST_COPIES:
            call.copies += 1
            self.counts["copies"] += 1
            self._send(call.data)
            self.loop.call_later(2 * gap, self._copy, call, 2 * gap)

    def _copy_bye(self, call: PlacedCall, gap: float, copies: int) -> None:
        if call.bye and copies < MOST_COPIES:
            self._send(call.bye)
            gap = min(2 * gap, T2)
            self.loop.call_later(gap, self._copy_bye, call, gap, copies + 1)

    def _unheard(self, call: PlacedCall) -> None:
        if call.end is None:
            self._ended(call, CallResult.UNHEARD, 0)
            self.calls.pop(call.ident, None)

    def _ended(self, call: PlacedCall, end: CallResult, status: int) -> None:
        call.end = end
        call.data = b""
        call.told(call, end, self.loop.time() - call.due, status)

    def _message(self, message: sip.SipMessage) -> None:
        call = self.calls.get(message.get("call-id"))
        if message.method:
            if message.method != "ACK":
                self._send(sip.response(200 if call is not None else 481, sip.echoed(message)))
            if message.method == "BYE" and call is not None:
                self.counts["byes_heard"] += 1
                self.seen("told end", call, 0, "")
                call.over = True
                self.calls.pop(call.ident, None)
            return
        if call is None:
            return
        number, method = message.cseq()
        if method == "BYE" and message.status >= 200:
            call.bye = b""
            self.calls.pop(call.ident, None)
        elif method == "INVITE" and message.status < 200:
            call.rang = True
            self.counts["rings"] += message.status > 100
        elif method == "INVITE":
            self._answered(call, message)

    def _answered(self, call: PlacedCall, message: sip.SipMessage) -> None:
        call.to = message.get("to")
        self.heard(message)
        self.seen("final", call, message.status, message.get("to") + message.body.decode("utf-8", "replace"))
        if message.status < 300:
            contact = message.get("contact")
            call.target = contact[contact.find("<") + 1 : contact.find(">")] or call.target
            self._send(self._request(call, "ACK", 1, call.branch + "a"))
            if call.end is None:
                self._ended(call, CallResult.STOOD, message.status)
                self.loop.call_later(call.hold_s, self.hang_up, call)
            return
        self._send(self._request(call, "ACK", 1, call.branch))
        if call.end is None:
            call.return_s = seconds(message.get("retry-after"))
            self._ended(
                call, CallResult.REFUSED if message.status == 503 else CallResult.FAILED, message.status
            )
        self.loop.call_later(T2, self.calls.pop, call.ident, None)
