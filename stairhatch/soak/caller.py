"""Emulated callers of the platform: they place calls, take answers and releases, leave early and call again.

`CallerConnection` is one TCP connection, `Callers` all that come to the softswitches of a trial. A call's
release may come on any connection to its softswitch; an established call belongs to none.
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

IDLE_CLOSE_S = 4.0  # a connection with no call on it is closed after this
CROSSING_S = 0.05  # a set-up that crosses a close of its connection within this is sent again, once
LEAVES_EARLY, CANCELS, HANGS_UP, CALLS_AGAIN = 0.08, 0.5, 0.3, 0.3  # fractions
NEW_CONNECTION = 0.25  # of the calls, though another is open
MAX_CALLS_PER_CONNECTION = 8
IN_PIECES, PIECE_BYTES, PIECE_PAUSE_S = 0.03, 40, 0.004
MAX_REPEATS = 3
SERVED, REJECTED = 200, 503
BODY = "v=0\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"


@dataclass(slots=True, eq=False)
class PlacedCall:
    """One call of a caller."""

    call_id: str
    softswitch: int
    call_class: DrawnClass
    wait_s: float  # the caller timeout
    sent_at: float
    repeats: int = 0  # how often it was placed before, as another call
    is_answered: bool = False
    is_established: bool = False
    has_left: bool = False
    was_resent: bool = False


class CallerConnection(asyncio.Protocol):
    """One connection to a softswitch."""

    def __init__(self, callers: Callers, softswitch: int) -> None:
        """Serve a connection that is about to come up."""
        self.callers = callers
        self.softswitch = softswitch
        self.calls: dict[str, PlacedCall] = {}  # unanswered or established, placed on it
        self.is_open = False
        self.closed_by_us = False
        self.is_writing_pieces = False
        self._waiting: list[bytes] = []  # for the end of that message
        self._parser = sip_parser.StreamParser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Use the connection."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.is_open = True
        self.callers.connections.append(self)
        self._close_when_idle()

    def data_received(self, data: bytes) -> None:
        """Handle the messages that are complete."""
        try:
            self._parser.feed(data)
            while (message := self._parser.next_message()) is not None:
                self.callers.message_received(self, message)
        except sip_parser.SipError:
            self.transport.abort()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Note what becomes of the set-ups that were open on it."""
        self.is_open = False
        self.callers.connection_lost(self)

    def write(self, data: bytes) -> None:
        """Send bytes while the connection is open, behind a message that goes in pieces."""
        if self.is_writing_pieces:
            self._waiting.append(data)
        elif self.is_open:
            self.transport.write(data)

    def write_piece(self, data: bytes) -> None:
        """Send a piece of a message."""
        if self.is_open:
            self.transport.write(data)

    def flush(self) -> None:
        """Send what waited for a message in pieces."""
        waiting, self._waiting = self._waiting, []
        for data in waiting:
            self.write(data)

    def close(self) -> None:
        """Close it from this side."""
        self.closed_by_us = True
        self.transport.close()

    def _close_when_idle(self, since: float = 0.0) -> None:
        if not self.is_open:
            return
        now = asyncio.get_running_loop().time()
        since = 0.0 if self.calls else since or now
        if since and now - since >= IDLE_CLOSE_S:
            self.close()
            return
        asyncio.get_running_loop().call_later(0.2, self._close_when_idle, since)


class Callers:
    """All callers of a trial. `identify` names a softswitch's process, `address_of` where it listens."""

    def __init__(
        self,
        deployment: Deployment,
        record: Record,
        rng: random.Random,
        identify: Callable[[int], str],
        address_of: Callable[[int], Address],
    ) -> None:
        """Begin without connections."""
        self.connections: list[CallerConnection] = []
        self.calls: dict[str, PlacedCall] = {}
        self.is_closed = False
        self._deployment, self._record, self._rng = deployment, record, rng
        self._identify, self._address_of = identify, address_of
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()

    # ---- calls ----

    def place(self, softswitch: int, may_connect: bool = True, repeats: int = 0) -> None:
        """Place a call at a softswitch, on an open connection or, where that is possible, a new one."""
        open_ones = [
            each
            for each in self.connections
            if each.is_open
            and not each.closed_by_us
            and each.softswitch == softswitch
            and not each.is_writing_pieces
            and len(each.calls) < MAX_CALLS_PER_CONNECTION
        ]
        if open_ones and not (may_connect and self._rng.random() < NEW_CONNECTION):
            self._send_setup(self._rng.choice(open_ones), self._new_call(softswitch, repeats))
        elif may_connect:
            self._spawn(self._place_on_new_connection(self._new_call(softswitch, repeats)))

    def _new_call(self, softswitch: int, repeats: int = 0) -> PlacedCall:
        call_class = self._rng.choice(self._deployment.classes)
        wait_s = round(call_class.deadline_s * self._rng.choice((1.0, 0.7, 0.3, 0.05)), 3)
        call_id = f"{self._rng.getrandbits(64):016x}"
        return PlacedCall(call_id, softswitch, call_class, wait_s, 0.0, repeats)

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
            ("call-kind", call.call_class.name), ("answer-within", str(round(1000 * call.wait_s))),
            ("routing-data", f"dest:{self._rng.randrange(self._deployment.servers)};width:1;via:-1"),
        ]  # fmt: skip
        if call.repeats:
            headers.append(("repeat-mark", "1"))
        data = sip.request("INVITE", f"sip:{call.call_id}@net", headers, BODY.encode())
        if self._rng.random() < IN_PIECES and not connection.is_writing_pieces:
            connection.is_writing_pieces = True
            self._spawn(self._send_in_pieces(connection, call, data))
            return
        connection.write(data)
        self._setup_sent(connection, call)

    async def _send_in_pieces(self, connection: CallerConnection, call: PlacedCall, data: bytes) -> None:
        """Send a set-up some bytes at a time; it counts as sent with its last byte."""
        for start in range(0, len(data), PIECE_BYTES):
            connection.write_piece(data[start : start + PIECE_BYTES])
            await asyncio.sleep(PIECE_PAUSE_S)
        connection.is_writing_pieces = False
        call.sent_at = self._loop.time()
        if connection.is_open:
            self._setup_sent(connection, call)
        else:
            self._end(call)
        connection.flush()

    def _setup_sent(self, connection: CallerConnection, call: PlacedCall) -> None:
        self._record.note(
            Kind.SETUP_SENT,
            call.call_id,
            softswitch=self._identify(call.softswitch),
            detail=f"{call.call_class.name} waits {call.wait_s}",
        )
        if self._rng.random() < LEAVES_EARLY:
            self._loop.call_later(self._rng.uniform(0.0, call.wait_s), self._leave, connection, call)

    def _leave(self, connection: CallerConnection, call: PlacedCall) -> None:
        """Give a set-up up: by CANCEL, or by closing the connection where nothing else is on it."""
        if call.is_answered or not connection.is_open:
            return
        if self._rng.random() < CANCELS or len(connection.calls) > 1:
            connection.write(self._request("CANCEL", call, 1))
        else:
            connection.close()
        call.has_left = True
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
        self._end(call)

    def _open_connection(self, softswitch: int) -> CallerConnection | None:
        return next(
            (
                each
                for each in self.connections
                if each.softswitch == softswitch and each.is_open and not each.closed_by_us
            ),
            None,
        )

    def _request(self, method: str, call: PlacedCall, cseq: int) -> bytes:
        headers = [("via", "SIP/2.0/TCP peer"), ("call-id", call.call_id), ("cseq", f"{cseq} {method}")]
        if method == "BYE":
            headers.append(("reason", "Q.850;cause=16"))
        return sip.request(method, f"sip:{call.call_id}@net", headers)

    def _end(self, call: PlacedCall) -> None:
        """Nothing is awaited for a call any more."""
        call.is_established = False
        self.calls.pop(call.call_id, None)
        for connection in self.connections:
            connection.calls.pop(call.call_id, None)

    # ---- what comes ----

    def message_received(self, connection: CallerConnection, message: sip.SipMessage) -> None:
        """Handle a message of a softswitch."""
        call = self.calls.get(message.get("call-id"))
        if message.method == "BYE":
            connection.write(sip.response(200, sip.echoed(message)))
            if call is not None:
                self._note(Kind.CALLER_RELEASED, call)
                self._end(call)
        elif message.status >= 200 and message.cseq()[1] == "INVITE":
            self._final_answer_received(connection, message)

    def _final_answer_received(self, connection: CallerConnection, message: sip.SipMessage) -> None:
        call_id = message.get("call-id")
        description = message.body.decode("utf-8", "replace") if message.status == SERVED else ""
        self._record.note(
            Kind.FINAL_ANSWER,
            call_id,
            softswitch=self._identify(connection.softswitch),
            status=message.status,
            detail=description,
        )
        connection.write(sip.request("ACK", f"sip:{call_id}@net", [("call-id", call_id), ("cseq", "1 ACK")]))
        call = self.calls.get(call_id)
        if call is None or call.is_answered:
            return
        call.is_answered = True
        if message.status == SERVED:
            call.is_established = True
            if self._rng.random() < HANGS_UP:
                hold_s = self._rng.expovariate(1 / call.call_class.call_length_s)
                self._loop.call_later(hold_s, self._hang_up, call)
            return
        self._end(call)
        if call.repeats < MAX_REPEATS and self._rng.random() < CALLS_AGAIN:
            asked_s = int(message.get("come-back-ms") or 0) / 1000
            pause_s = asked_s if self._rng.random() < 0.5 else 0.0
            self._loop.call_later(pause_s, partial(self.place, call.softswitch, True, call.repeats + 1))

    def connection_lost(self, connection: CallerConnection) -> None:
        """A connection has ended: by this side, or by the softswitch with set-ups open on it."""
        self.connections.remove(connection)
        now = self._loop.time()
        for call in [each for each in connection.calls.values() if not each.is_answered]:
            self.calls.pop(call.call_id, None)
            if call.has_left or self.is_closed:
                continue
            if connection.closed_by_us:
                self._note(Kind.CALLER_LEFT, call)
                continue
            gap_s = now - call.sent_at
            crossed = gap_s <= CROSSING_S and not call.was_resent
            self._note(Kind.CONNECTION_ENDED, call, detail="crossed" if crossed else f"{gap_s:.3f}")
            if crossed:
                again = self._new_call(call.softswitch, call.repeats)
                again.was_resent = True
                self._spawn(self._place_on_new_connection(again))

    # ---- the end ----

    def close(self) -> None:
        """Place no more, and close all connections."""
        self.is_closed = True
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self.connections):
            connection.close()

    def _note(self, kind: Kind, call: PlacedCall, detail: str = "") -> None:
        process = self._identify(call.softswitch)
        self._record.note(kind, call.call_id, softswitch=process, detail=detail)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
