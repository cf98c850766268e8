"""Emulated SIP callers of a trial: they place, abandon, redial and release calls.

`CallerConnection` is one TCP connection to a softswitch, `Callers` all connections and calls of a trial.
An established call is bound to no connection: its BYE may arrive on any connection to its softswitch.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from typing import Any

from stairhatch.emulators.ports import Address
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.soak.deployment import Deployment, DrawnClass
from stairhatch.soak.record import Kind, Record

IDLE_CLOSE_S = 4.0  # a connection without calls is closed after this time
CROSSING_WINDOW_S = 0.05  # a set-up is sent again, once, if its connection closes so soon after it
# The fractions of set-ups that are abandoned, of abandoned set-ups that are ended by CANCEL, of established
# calls that the caller hangs up, and of refused calls that are redialled.
ABANDON_FRACTION, CANCEL_FRACTION, HANG_UP_FRACTION, REDIAL_FRACTION = 0.08, 0.5, 0.3, 0.3
NEW_CONNECTION_FRACTION = 0.25  # the fraction of calls that open a connection although a usable one is open
MAX_CALLS_PER_CONNECTION = 8
SPLIT_FRACTION, PIECE_BYTES, PIECE_PAUSE_S = 0.03, 40, 0.004  # INVITEs that are sent in pieces
MAX_REDIALS = 3
SERVED_STATUS, REJECTED_STATUS = 200, 503
SDP_OFFER = "v=0\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"


@dataclass(slots=True, eq=False)
class PlacedCall:
    """State of one call, from its INVITE to its end."""

    call_id: str
    softswitch: int
    call_class: DrawnClass
    caller_timeout_s: float  # counted from `sent_at`
    sent_at: float  # the event loop's time at which the last byte of the INVITE was written
    redials: int = 0  # the number of earlier, refused calls of which this call is a redial
    is_answered: bool = False  # a final response to the INVITE has arrived
    is_established: bool = False
    is_abandoned: bool = False  # the caller has abandoned the set-up
    was_resent: bool = False  # this call repeats a set-up that crossed the close of its connection


class CallerConnection(asyncio.Protocol):
    """One TCP connection of the emulated callers to a softswitch."""

    def __init__(self, callers: Callers, softswitch: int) -> None:
        """Create the protocol of a connection that is being established; `softswitch` is an index."""
        self.callers = callers
        self.softswitch = softswitch
        self.calls: dict[str, PlacedCall] = {}  # unanswered or established, by Call-ID
        self.is_open = False
        self.closed_locally = False
        self.is_sending_pieces = False
        self._queued_messages: list[bytes] = []  # to be sent after the message in pieces
        self._parser = sip_parser.StreamParser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the callers and start its idle timer."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.is_open = True
        self.callers.connections.append(self)
        self._close_when_idle()

    def data_received(self, data: bytes) -> None:
        """Pass each complete SIP message to the callers; abort the connection if one is invalid."""
        try:
            self._parser.feed(data)
            while (message := self._parser.next_message()) is not None:
                self.callers.message_received(self, message)
        except sip_parser.SipError:
            self.transport.abort()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Let the callers record the set-ups that were unanswered on this connection."""
        self.is_open = False
        self.callers.connection_lost(self)

    def write(self, data: bytes) -> None:
        """Send a whole message, after the message that is being sent in pieces, if any.

        The message is dropped if the connection has ended.
        """
        if self.is_sending_pieces:
            self._queued_messages.append(data)
        elif self.is_open:
            self.transport.write(data)

    def write_piece(self, data: bytes) -> None:
        """Send one piece of a message that is sent in pieces, unless the connection has ended."""
        if self.is_open:
            self.transport.write(data)

    def flush(self) -> None:
        """Send the messages that were held back while a message was sent in pieces."""
        queued, self._queued_messages = self._queued_messages, []
        for data in queued:
            self.write(data)

    def close(self) -> None:
        """Close the connection from the callers' side."""
        self.closed_locally = True
        self.transport.close()

    def _close_when_idle(self, idle_since: float = 0.0) -> None:
        if not self.is_open:
            return
        now = asyncio.get_running_loop().time()
        idle_since = 0.0 if self.calls else idle_since or now
        if idle_since and now - idle_since >= IDLE_CLOSE_S:
            self.close()
            return
        asyncio.get_running_loop().call_later(0.2, self._close_when_idle, idle_since)


class Callers:
    """All emulated callers of a trial, with their connections and calls.

    `process_name_of` maps the index of a softswitch to the name of its current process, and `address_of` maps
    it to the address at which the softswitch listens.
    """

    def __init__(
        self,
        deployment: Deployment,
        record: Record,
        rng: random.Random,
        process_name_of: Callable[[int], str],
        address_of: Callable[[int], Address],
    ) -> None:
        """Create the callers without connections and calls; a running event loop is required."""
        self.connections: list[CallerConnection] = []
        self.calls: dict[str, PlacedCall] = {}
        self.is_closed = False
        self._deployment, self._record, self._rng = deployment, record, rng
        self._process_name_of, self._address_of = process_name_of, address_of
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()

    # ---- placing and ending calls ----

    def place(self, softswitch: int, may_connect: bool = True, redials: int = 0) -> None:
        """Place a call to a softswitch, on an open connection or on a new one.

        Without `may_connect` no connection is opened: if none is usable, the call is not placed.
        """
        usable = [
            each
            for each in self.connections
            if each.is_open
            and not each.closed_locally
            and each.softswitch == softswitch
            and not each.is_sending_pieces
            and len(each.calls) < MAX_CALLS_PER_CONNECTION
        ]
        if usable and not (may_connect and self._rng.random() < NEW_CONNECTION_FRACTION):
            self._send_setup(self._rng.choice(usable), self._new_call(softswitch, redials))
        elif may_connect:
            self._spawn(self._place_on_new_connection(self._new_call(softswitch, redials)))

    def _new_call(self, softswitch: int, redials: int = 0) -> PlacedCall:
        call_class = self._rng.choice(self._deployment.classes)
        caller_timeout_s = round(call_class.deadline_s * self._rng.choice((1.0, 0.7, 0.3, 0.05)), 3)
        call_id = f"{self._rng.getrandbits(64):016x}"
        return PlacedCall(call_id, softswitch, call_class, caller_timeout_s, 0.0, redials)

    async def _place_on_new_connection(self, call: PlacedCall) -> None:
        if (connection := await self._connect(call.softswitch)) is not None:
            self._send_setup(connection, call)

    async def _connect(self, softswitch: int) -> CallerConnection | None:
        try:
            _, connection = await asyncio.wait_for(
                self._loop.create_connection(
                    lambda: CallerConnection(self, softswitch), *self._address_of(softswitch)
                ),
                1.0,
            )
        except (OSError, TimeoutError):
            return None
        return connection

    def _send_setup(self, connection: CallerConnection, call: PlacedCall) -> None:
        if not connection.is_open or self.is_closed:
            return
        call.sent_at = self._loop.time()
        self.calls[call.call_id] = connection.calls[call.call_id] = call
        headers = [
            ("via", "SIP/2.0/TCP peer"), ("call-id", call.call_id), ("cseq", "1 INVITE"),
            ("call-kind", call.call_class.name), ("answer-within", str(round(1000 * call.caller_timeout_s))),
            ("routing-data", f"dest:{self._rng.randrange(self._deployment.servers)};width:1;via:-1"),
        ]  # fmt: skip
        if call.redials:
            headers.append(("repeat-mark", "1"))
        data = sip.request("INVITE", f"sip:{call.call_id}@net", headers, SDP_OFFER.encode())
        if self._rng.random() < SPLIT_FRACTION and not connection.is_sending_pieces:
            connection.is_sending_pieces = True
            self._spawn(self._send_in_pieces(connection, call, data))
            return
        connection.write(data)
        self._note_setup_sent(connection, call)

    async def _send_in_pieces(self, connection: CallerConnection, call: PlacedCall, data: bytes) -> None:
        """Send an INVITE in pieces of PIECE_BYTES; the set-up is recorded as sent with its last byte."""
        for start in range(0, len(data), PIECE_BYTES):
            connection.write_piece(data[start : start + PIECE_BYTES])
            await asyncio.sleep(PIECE_PAUSE_S)
        connection.is_sending_pieces = False
        call.sent_at = self._loop.time()
        if connection.is_open:
            self._note_setup_sent(connection, call)
        else:
            self._forget(call)
        connection.flush()

    def _note_setup_sent(self, connection: CallerConnection, call: PlacedCall) -> None:
        self._record.note(
            Kind.SETUP_SENT,
            call.call_id,
            softswitch=self._process_name_of(call.softswitch),
            detail=f"{call.call_class.name} waits {call.caller_timeout_s}",
        )
        if self._rng.random() < ABANDON_FRACTION:
            self._loop.call_later(
                self._rng.uniform(0.0, call.caller_timeout_s), self._abandon, connection, call
            )

    def _abandon(self, connection: CallerConnection, call: PlacedCall) -> None:
        """Abandon a set-up: by CANCEL, or by closing its connection if it carries no other call."""
        if call.is_answered or not connection.is_open:
            return
        if self._rng.random() < CANCEL_FRACTION or len(connection.calls) > 1:
            connection.write(self._request("CANCEL", call, 1))
        else:
            connection.close()
        call.is_abandoned = True
        self._note(Kind.CALLER_LEFT, call)

    def _hang_up(self, call: PlacedCall) -> None:
        if not call.is_established or self.is_closed:
            return
        self._spawn(self._send_bye(call))

    async def _send_bye(self, call: PlacedCall) -> None:
        connection = self._open_connection(call.softswitch) or await self._connect(call.softswitch)
        if connection is None or not call.is_established:
            return
        connection.write(self._request("BYE", call, 2))
        self._note(Kind.CALLER_HUNG_UP, call)
        self._forget(call)

    def _open_connection(self, softswitch: int) -> CallerConnection | None:
        return next(
            (
                each
                for each in self.connections
                if each.softswitch == softswitch and each.is_open and not each.closed_locally
            ),
            None,
        )

    def _request(self, method: str, call: PlacedCall, cseq: int) -> bytes:
        headers = [("via", "SIP/2.0/TCP peer"), ("call-id", call.call_id), ("cseq", f"{cseq} {method}")]
        if method == "BYE":
            headers.append(("reason", "Q.850;cause=16"))
        return sip.request(method, f"sip:{call.call_id}@net", headers)

    def _forget(self, call: PlacedCall) -> None:
        """Remove a call that has ended, or was refused, from the callers and from its connection."""
        call.is_established = False
        self.calls.pop(call.call_id, None)
        for connection in self.connections:
            connection.calls.pop(call.call_id, None)

    # ---- receiving messages and connection ends ----

    def message_received(self, connection: CallerConnection, message: sip.SipMessage) -> None:
        """Handle a BYE or a final response to an INVITE; all other messages are ignored."""
        call = self.calls.get(message.get("call-id"))
        if message.method == "BYE":
            connection.write(sip.response(200, sip.echoed(message)))
            if call is not None:
                self._note(Kind.CALLER_RELEASED, call)
                self._forget(call)
        elif message.status >= 200 and message.cseq()[1] == "INVITE":
            self._final_response_received(connection, message)

    def _final_response_received(self, connection: CallerConnection, message: sip.SipMessage) -> None:
        call_id = message.get("call-id")
        sdp_answer = message.body.decode("utf-8", "replace") if message.status == SERVED_STATUS else ""
        self._record.note(
            Kind.FINAL_ANSWER,
            call_id,
            softswitch=self._process_name_of(connection.softswitch),
            status=message.status,
            detail=sdp_answer,
        )
        connection.write(sip.request("ACK", f"sip:{call_id}@net", [("call-id", call_id), ("cseq", "1 ACK")]))
        call = self.calls.get(call_id)
        if call is None or call.is_answered:
            return
        call.is_answered = True
        if message.status == SERVED_STATUS:
            call.is_established = True
            if self._rng.random() < HANG_UP_FRACTION:
                hold_s = self._rng.expovariate(1 / call.call_class.call_length_s)
                self._loop.call_later(hold_s, self._hang_up, call)
            return
        self._forget(call)
        if call.redials < MAX_REDIALS and self._rng.random() < REDIAL_FRACTION:
            retry_after_s = int(message.get("come-back-ms") or 0) / 1000
            pause_s = retry_after_s if self._rng.random() < 0.5 else 0.0
            self._loop.call_later(pause_s, partial(self.place, call.softswitch, True, call.redials + 1))

    def connection_lost(self, connection: CallerConnection) -> None:
        """Record the set-ups that were unanswered on a connection that has ended.

        If the callers closed the connection, the set-ups count as abandoned. Otherwise the softswitch ended
        it: a set-up sent within CROSSING_WINDOW_S before the end crossed the close and is sent again, once,
        on a new connection.
        """
        self.connections.remove(connection)
        now = self._loop.time()
        for call in [each for each in connection.calls.values() if not each.is_answered]:
            self.calls.pop(call.call_id, None)
            if call.is_abandoned or self.is_closed:
                continue
            if connection.closed_locally:
                self._note(Kind.CALLER_LEFT, call)
                continue
            gap_s = now - call.sent_at
            crossed = gap_s <= CROSSING_WINDOW_S and not call.was_resent
            self._note(Kind.CONNECTION_ENDED, call, detail="crossed" if crossed else f"{gap_s:.3f}")
            if crossed:
                resent_call = self._new_call(call.softswitch, call.redials)
                resent_call.was_resent = True
                self._spawn(self._place_on_new_connection(resent_call))

    # ---- shutdown and helpers ----

    def close(self) -> None:
        """Place no further calls, cancel the pending tasks and close all connections."""
        self.is_closed = True
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self.connections):
            connection.close()

    def _note(self, kind: Kind, call: PlacedCall, detail: str = "") -> None:
        process = self._process_name_of(call.softswitch)
        self._record.note(kind, call.call_id, softswitch=process, detail=detail)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
