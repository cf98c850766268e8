"""An emulated SIP caller over UDP or TCP (RFC 3261), for the demonstration and for load runs.

It places calls, acknowledges final responses, and hangs up after each call's hold time. For each call it
reports the result, the time until the final response, and the Retry-After of a rejection. It keeps the state
of open calls only.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from stairhatch.emulators.observations import ObservationKind
from stairhatch.emulators.ports import Address
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser

T1_S, T2_S = 0.5, 4.0  # RFC 3261, 17.1.1.1
TIMEOUT_S = 64 * T1_S  # of a transaction (timers B and F, RFC 3261, 17.1)
MAX_RETRANSMISSIONS = 7
MAX_RECONNECT_ATTEMPTS, RECONNECT_DELAY_S = 50, 0.1
MAX_RETRY_AFTER_DIGITS = 9
SESSION_OFFER = (
    b"v=0\r\no=office 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\n"
    b"m=audio 30000 RTP/AVP 8\r\n"
)


class CallResult(Enum):
    """Result of a call. The values are written into reports."""

    ESTABLISHED = "stood"
    REJECTED = "refused"  # by a 503, with or without a Retry-After
    FAILED = "failed"  # by any other final response from 300 on
    UNANSWERED = "unheard"  # no final response was received


@dataclass(slots=True)
class PlacedCall:
    """State of one call that a caller placed."""

    call_id: str
    number: str  # called
    hold_s: float  # time from the 2xx response until the caller hangs up
    due_at: float  # time at which the call was scheduled, by the event loop's clock
    on_ended: OnCallEnded
    branch: str = ""
    invite: bytes = b""  # kept for retransmission until the result is known
    bye: bytes = b""  # kept for retransmission until its response is received
    retransmissions: int = 0  # of the INVITE
    is_proceeding: bool = False  # a provisional response was received
    result: CallResult | None = None
    retry_after_s: float | None = None  # from the rejection; None: it has no Retry-After
    to: str = ""  # To header of the final response; empty before
    remote_target: str = ""  # URI of the 2xx response's Contact; empty before
    has_vanished: bool = False  # its caller stopped sending and answering, without CANCEL or BYE
    has_ended: bool = False  # the call is over; only messages already under way may follow


# Arguments: the call, its result, the seconds since its due time, and the final response's status (0: none).
OnCallEnded = Callable[[PlacedCall, CallResult, float, int], None]
# Arguments: event, call, final response's status, and a text that differs if two final responses differ.
CallerObserver = Callable[[ObservationKind, PlacedCall, int, str], None]


@dataclass(slots=True)
class CallerCounters:
    """Counts of what one caller sent and received."""

    retransmissions: int = 0  # of INVITEs
    byes_received: int = 0
    byes_sent: int = 0
    ringing: int = 0  # provisional responses above 100 that were received


def parse_retry_after(text: str) -> float | None:
    """Return the seconds of a Retry-After header (RFC 3261, 20.33); None if it is empty or malformed."""
    digits = text.partition(";")[0].partition("(")[0].strip()
    return float(digits) if digits.isdecimal() and len(digits) <= MAX_RETRY_AFTER_DIGITS else None


def _discard(data: bytes) -> None:
    """Drop a message while there is no connection.

    It replaces the transport's method, since writing to a closed uvloop transport raises RuntimeError.
    """


class CallerEmulator(asyncio.DatagramProtocol, asyncio.Protocol):
    """Emulated caller: one source of calls with a UDP port or a TCP connection, for any number of calls."""

    def __init__(self, name: str, seed: int, call_class: str, udp: bool) -> None:
        """Create a caller without a transport; `over_udp` and `over_tcp` also open the port or connection."""
        self.name = name
        self.call_class = call_class  # sent as the Call-Kind header unless it is empty
        self.udp = udp
        self.rng = random.Random(seed)
        self.calls: dict[str, PlacedCall] = {}  # by Call-ID
        self.counters = CallerCounters()
        self.loop = asyncio.get_running_loop()
        self.via_parameters = ""  # appended to the Via after branch and rport
        self.on_final_response: Callable[[sip.SipMessage], None] = lambda _: None  # of an INVITE
        self.observer: CallerObserver = lambda *_: None
        self._local = ""  # local host:port as written in SIP headers
        self._is_lost = asyncio.Event()
        self._parser = sip_parser.StreamParser()
        self._last_serial = 0
        self._send = _discard

    @classmethod
    async def over_udp(cls, target: Address, name: str, seed: int, call_class: str = "") -> CallerEmulator:
        """Return a caller that sends to `target` from a UDP port of its own."""
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_datagram_endpoint(
            lambda: cls(name, seed, call_class, True), remote_addr=target
        )
        return caller

    @classmethod
    async def over_tcp(cls, target: Address, name: str, seed: int, call_class: str = "") -> CallerEmulator:
        """Return a caller on a TCP connection of its own to `target`. Raises OSError if it cannot connect."""
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_connection(lambda: cls(name, seed, call_class, False), *target)
        return caller

    # ---- transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start sending on the opened port or connection."""
        host, port = transport.get_extra_info("sockname")[:2]
        self._local = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.transport: Any = transport  # uvloop's transports derive from no asyncio class
        self._send = self.transport.sendto if self.udp else self.transport.write

    def connection_lost(self, _exc: Exception | None) -> None:
        """Drop every message from now on, since the connection has ended."""
        self._send = _discard
        self._is_lost.set()

    def datagram_received(self, data: bytes, _addr: object) -> None:
        """Handle the SIP message of a datagram; a datagram of white space alone is a keep-alive."""
        if data.strip():
            self._message_received(sip_parser.parse_datagram(data))

    def error_received(self, exc: Exception) -> None:
        """Ignore an ICMP error, for example of a closed port: the transaction times out."""

    def data_received(self, data: bytes) -> None:
        """Handle each complete SIP message of the stream."""
        self._parser.feed(data)
        while (message := self._parser.next_message()) is not None:
            self._message_received(message)

    def close(self) -> None:
        """Close the port or connection."""
        self.transport.close()

    async def reconnect(self, target: Address) -> None:
        """Abort the TCP connection and open another one to `target`.

        Calls in set-up vanish; established calls continue on the new connection. Messages sent in between are
        lost. After MAX_RECONNECT_ATTEMPTS failed attempts the caller stays without a connection.
        """
        for call in [each for each in self.calls.values() if each.result is None]:
            self.vanish(call)
        self._send = _discard
        self.transport.abort()
        await self._is_lost.wait()
        self._parser = sip_parser.StreamParser()
        for _ in range(MAX_RECONNECT_ATTEMPTS):
            try:
                await self.loop.create_connection(lambda: self, *target)
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            self._is_lost.clear()
            return

    # ---- calls ----

    def place(self, number: str, hold_s: float, due_at: float, on_ended: OnCallEnded) -> PlacedCall:
        """Send the INVITE of a new call and return the call; `on_ended` is called once, with its result."""
        self._last_serial += 1
        call_id = f"{self.name}.{self._last_serial}@{self._local}"
        call = PlacedCall(call_id, number, hold_s, due_at, on_ended)
        call.branch = f"z9hG4bK{self.name}.{self._last_serial}"
        call.invite = self._request(call, "INVITE", 1, call.branch, SESSION_OFFER)
        self.calls[call.call_id] = call
        self.observer(ObservationKind.CALL_PLACED, call, 0, "")
        self._send(call.invite)
        if self.udp:
            self.loop.call_later(T1_S, self._retransmit_invite, call, T1_S)
        self.loop.call_later(TIMEOUT_S, self._timed_out, call)
        return call

    def cancel(self, call: PlacedCall) -> None:
        """Send a CANCEL for a call that has no final response yet; no effect on any other call."""
        if call.result is None and not call.has_vanished:
            self.observer(ObservationKind.CALLER_HUNG_UP, call, 0, "")
            self._send(self._request(call, "CANCEL", 1, call.branch))

    def vanish(self, call: PlacedCall) -> None:
        """Abandon a call before its final response: send nothing more for it and answer no message of it."""
        if call.result is None:
            self.observer(ObservationKind.CALLER_VANISHED, call, 0, "")
            call.has_vanished = call.has_ended = True
            self._end(call, CallResult.UNANSWERED, 0)
            self.calls.pop(call.call_id, None)

    def hang_up(self, call: PlacedCall) -> None:
        """Send a BYE for an established call; no effect on any other call."""
        if call.result is CallResult.ESTABLISHED and not call.has_ended:
            call.has_ended = True
            self.observer(ObservationKind.CALLER_HUNG_UP, call, 0, "")
            call.bye = self._request(call, "BYE", 2, call.branch + "b")
            self.counters.byes_sent += 1
            self._send(call.bye)
            if self.udp:
                self.loop.call_later(T1_S, self._retransmit_bye, call, T1_S, 0)
            self.loop.call_later(TIMEOUT_S, self.calls.pop, call.call_id, None)

    def _end(self, call: PlacedCall, result: CallResult, status: int) -> None:
        call.result = result
        call.invite = b""
        call.on_ended(call, result, self.loop.time() - call.due_at, status)

    # ---- sent requests ----

    def _request(self, call: PlacedCall, method: str, cseq: int, branch: str, body: bytes = b"") -> bytes:
        transport = "UDP" if self.udp else "TCP"
        via = f"SIP/2.0/{transport} {self._local};branch={branch};rport{self.via_parameters}"
        headers = [
            ("via", via),
            ("max-forwards", "70"),
            ("from", f"<sip:{self.name}@{self._local}>;tag={self.name}.{call.call_id.split('@')[0]}"),
            ("to", call.to or f"<sip:{call.number}@softswitch>"),
            ("call-id", call.call_id),
            ("cseq", f"{cseq} {method}"),
        ]
        if method == "INVITE":
            uri_parameters = "" if self.udp else ";transport=tcp"
            headers += [
                ("contact", f"<sip:{self.name}@{self._local}{uri_parameters}>"),
                ("content-type", "application/sdp"),
            ]
            headers += [("call-kind", self.call_class)] if self.call_class else []
        return sip.request(method, call.remote_target or f"sip:{call.number}@softswitch", headers, body)

    def _retransmit_invite(self, call: PlacedCall, interval_s: float) -> None:
        if call.result is not None or call.is_proceeding or call.has_vanished:
            return
        if call.retransmissions < MAX_RETRANSMISSIONS:
            call.retransmissions += 1
            self.counters.retransmissions += 1
            self._send(call.invite)
            self.loop.call_later(2 * interval_s, self._retransmit_invite, call, 2 * interval_s)

    def _retransmit_bye(self, call: PlacedCall, interval_s: float, count: int) -> None:
        if call.bye and count < MAX_RETRANSMISSIONS:
            self._send(call.bye)
            interval_s = min(2 * interval_s, T2_S)
            self.loop.call_later(interval_s, self._retransmit_bye, call, interval_s, count + 1)

    def _timed_out(self, call: PlacedCall) -> None:
        if call.result is None:
            self._end(call, CallResult.UNANSWERED, 0)
            self.calls.pop(call.call_id, None)

    # ---- received messages ----

    def _message_received(self, message: sip.SipMessage) -> None:
        call = self.calls.get(message.get("call-id"))
        if message.method:
            self._request_received(message, call)
            return
        if call is None:
            return
        _, method = message.cseq()
        if method == "BYE" and message.status >= 200:
            call.bye = b""
            self.calls.pop(call.call_id, None)
        elif method == "INVITE" and message.status < 200:
            call.is_proceeding = True
            self.counters.ringing += message.status > 100
        elif method == "INVITE":
            self._final_response_received(call, message)

    def _request_received(self, message: sip.SipMessage, call: PlacedCall | None) -> None:
        if message.method != "ACK":
            self._send(sip.response(200 if call is not None else 481, sip.echoed(message)))
        if message.method == "BYE" and call is not None:
            self.counters.byes_received += 1
            self.observer(ObservationKind.BYE_RECEIVED, call, 0, "")
            call.has_ended = True
            self.calls.pop(call.call_id, None)

    def _final_response_received(self, call: PlacedCall, message: sip.SipMessage) -> None:
        call.to = message.get("to")
        self.on_final_response(message)
        told_apart_by = call.to + message.body.decode("utf-8", "replace")
        self.observer(ObservationKind.FINAL_RESPONSE, call, message.status, told_apart_by)
        if message.status < 300:
            self._call_established(call, message)
        else:
            self._call_failed(call, message)

    def _call_established(self, call: PlacedCall, message: sip.SipMessage) -> None:
        contact = message.get("contact")
        call.remote_target = contact[contact.find("<") + 1 : contact.find(">")] or call.remote_target
        self._send(self._request(call, "ACK", 1, call.branch + "a"))
        if call.result is None:
            self._end(call, CallResult.ESTABLISHED, message.status)
            self.loop.call_later(call.hold_s, self.hang_up, call)

    def _call_failed(self, call: PlacedCall, message: sip.SipMessage) -> None:
        self._send(self._request(call, "ACK", 1, call.branch))
        if call.result is None:
            call.retry_after_s = parse_retry_after(message.get("retry-after"))
            result = CallResult.REJECTED if message.status == 503 else CallResult.FAILED
            self._end(call, result, message.status)
        self.loop.call_later(T2_S, self.calls.pop, call.call_id, None)
