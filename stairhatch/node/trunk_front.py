"""The platform's front: owns the thin SIP over TCP that callers there speak, one connection carrying many
calls. A state machine that is fed bytes and hands bytes out. It must never know a socket, never choose a
server or an answer, and never tie a standing call to the connection it came on.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from stairhatch.node import roster, sip
from stairhatch.node.core import ENDED, Call, Core, Machine, Offer

MOST_OUTPUT = 512 * 1024  # a caller that reads so much too slowly is cut off
RELEASE_KEPT_S = 30.0  # how long a release waits for a caller to connect
RESENT_S = 2.0  # a release is sent again if its connection ends unheard within this time
ALLOW = "INVITE, ACK, CANCEL, BYE, OPTIONS, NOTIFY"


def routing_choice(text: str) -> int:
    """The server of first choice in Routing-Data; -1 if it names none."""
    for piece in text.split(";"):
        name, _, value = piece.partition(":")
        if name.strip() == "dest":
            try:
                return int(float(value))
            except ValueError:
                return -1
    return -1


def called_number(key: str) -> int:
    """The number called, as the decisions want it: 16 hex digits, else 0."""
    try:
        return int(key, 16) if len(key) == 16 else 0
    except ValueError:
        return 0


def release_cause(message: sip.Message) -> int:
    """The cause in a Reason header; 16 where it says nothing."""
    for value in message.all("reason"):
        cause = sip.parameters(value).get("cause", "")
        if value.lower().startswith("q.850") and cause.isascii() and cause.isdigit():
            return min(127, int(cause))
    return ENDED


class TrunkFront:
    """All connections of callers, and the releases that await one."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.classes = {kind.name: index for index, kind in enumerate(core.settings.classes)}
        self.connections: dict[TrunkConnection, None] = {}  # the last that spoke comes last
        self.calls: dict[str, TrunkCall] = {}
        self.pending: deque[tuple[float, str, int]] = deque(maxlen=4096)
        self.draining = False
        self.branch = 0
        core.orphan.append(self.release)

    def connect(self, peer: tuple[str, int] = ("", 0)) -> TrunkConnection:
        """A caller has connected."""
        connection = TrunkConnection(self)
        self.connections[connection] = None
        while self.pending:
            since, ident, cause = self.pending.popleft()
            if self.core.clock() - since < RELEASE_KEPT_S:
                connection.bye(ident, cause)
        return connection

    def release(self, ident: str, cause: int) -> None:
        """Tell the callers that a call is over, on the connection that spoke last."""
        self.calls.pop(ident, None)
        if self.connections:
            next(reversed(self.connections)).bye(ident, cause)
        else:
            self.pending.append((self.core.clock(), ident, cause))

    def flushed(self) -> bool:
        """Whether all output has been handed to the driver."""
        return not any(connection.output for connection in self.connections)


@dataclass(eq=False, slots=True)
class TrunkCall:
    """A caller's set-up, as the core sees it."""

    connection: TrunkConnection
    request: sip.Message
    call: Call | None = None

    def _answer(self, status: int, extra: sip.Headers, body: bytes = b"") -> None:
        ident = self.request.get("call-id")
        self.connection.open.pop(ident, None)
        self.connection.respond(self.request, status, extra, body)
        if status >= 300:
            self.connection.front.calls.pop(ident, None)
            self.call = None  # no cycle is left for the collector: it paused a busy node for too long

    def stood(self, description: bytes) -> None:
        self._answer(200, [], description)

    def refused(self, return_s: float) -> None:
        self._answer(503, [("come-back-ms", str(int(return_s * 1000)))] if return_s > 0 else [])

    def failed(self, timed_out: bool) -> None:
        self._answer(500, [])

    def released(self, cause: int) -> None:
        self.call = None
        self.connection.front.release(self.request.get("call-id"), cause)


class TrunkConnection(Machine):
    """One connection of callers."""

    def __init__(self, front: TrunkFront) -> None:
        super().__init__()
        self.front = front
        self.output: list[bytes] = []
        self.size = 0
        self.open: dict[str, TrunkCall] = {}  # set-ups without a final answer
        self.byes: dict[str, tuple[float, int]] = {}  # releases not yet heard
        self.parser = sip.StreamParser()

    def receive(self, data: bytes | memoryview) -> None:
        """Bytes from the caller."""
        front = self.front
        front.connections[self] = front.connections.pop(self, None)
        self.parser.feed(data)
        try:
            while (message := self.parser.next()) is not None:
                self._message(message)
        except sip.SipError as error:
            front.core.counters.add("malformed_from_callers")
            front.core.log("malformed", side="caller", why=str(error))
            if error.partial is not None and error.partial.method not in ("", "ACK"):
                self.respond(error.partial, error.status, [])
            self.closing = True
            self.wake()

    def pull(self) -> bytes:
        """What is to be written."""
        data = b"".join(self.output)
        self.output.clear()
        self.size = 0
        return data

    def lost(self) -> None:
        """The connection has ended: what was open on it is given up, what stands on lives on."""
        front = self.front
        front.connections.pop(self, None)
        for held in list(self.open.values()):
            front.calls.pop(held.request.get("call-id"), None)
            if held.call is not None:
                front.core.caller_left(held.call)
        self.open.clear()
        for ident, (since, cause) in self.byes.items():
            if front.core.clock() - since < RESENT_S:
                front.release(ident, cause)
        self.byes.clear()

    def respond(self, request: sip.Message, status: int, extra: sip.Headers, body: bytes = b"") -> None:
        """Queue a response."""
        self.front.core.counters.add(f"sent_{status}")
        self._put(sip.response(status, sip.echoed(request) + extra, body))

    def bye(self, ident: str, cause: int) -> None:
        """Queue a release."""
        front = self.front
        now = front.core.clock()
        for old in [key for key, (since, _) in self.byes.items() if now - since >= RESENT_S]:
            del self.byes[old]
        self.byes[ident] = (now, cause)
        front.branch += 1
        front.core.counters.add("sent_BYE")
        headers = [
            ("via", f"SIP/2.0/TCP stairhatch;branch=z9hG4bK{front.branch:x}"),
            ("from", "<sip:stairhatch@net>;tag=stairhatch"),
            ("to", "<sip:caller@net>"),
            ("call-id", ident),
            ("cseq", "1 BYE"),
            ("reason", f"Q.850;cause={cause}"),
        ]
        self._put(sip.request("BYE", "sip:caller@net", headers))

    def _put(self, data: bytes) -> None:
        self.output.append(data)
        self.size += len(data)
        if self.size > MOST_OUTPUT:
            self.front.core.counters.add("slow_callers_cut")
            self.closing = True
            self.abort()
        self.wake()

    def _message(self, message: sip.Message) -> None:
        front, ident = self.front, message.get("call-id")
        front.core.counters.add(f"got_{message.method or 'response'}")
        match message.method:
            case "":
                if message.cseq()[1] == "BYE":
                    self.byes.pop(ident, None)
            case "INVITE":
                self._invite(message, ident)
            case "CANCEL":
                held = front.calls.pop(ident, None)
                if held is not None and held.call is not None:
                    held.connection.open.pop(ident, None)
                    front.core.caller_left(held.call)
                self.respond(message, 200 if held is not None else 481, [])
            case "BYE":
                held = front.calls.pop(ident, None)
                if held is not None and held.call is not None:
                    front.core.caller_released(held.call, release_cause(message))
                else:
                    front.core.release_unknown(ident, release_cause(message))
                self.respond(message, 200, [])
            case "OPTIONS":
                self.respond(message, 503 if front.draining else 200, [])
            case "ACK" | "NOTIFY":
                pass
            case _:
                self.respond(message, 405, [("allow", ALLOW)])

    def _invite(self, message: sip.Message, ident: str) -> None:
        """A set-up. One that can't be understood is answered at once."""
        front = self.front
        kind = front.classes.get(message.get("call-kind"))
        within = message.get("answer-within")
        key = sip.user_of(message.uri)
        try:
            description = message.body.decode("utf-8", "surrogateescape")
            patience_s = int(within) / 1000
        except ValueError:
            kind = None
        if not ident or kind is None:
            self.respond(message, 400, [])
            return
        if roster.too_long(ident, message.get("call-kind"), key, description):
            self.respond(message, 413, [])
            return
        offer = Offer(
            ident=ident,
            kind=kind,
            key=key,
            description=description,
            patience_s=max(0.0, patience_s),
            choice=routing_choice(message.get("routing-data")),
            called=called_number(key),
            redial=message.get("repeat-mark") == "1",
        )
        if ident in front.calls:
            self.respond(message, 482, [])
            return
        held = TrunkCall(self, message)
        message.body = b""  # not needed any more
        front.calls[ident] = self.open[ident] = held
        call = front.core.offer(offer, held)
        if call is None:
            held._answer(482, [])
        if ident in front.calls:
            held.call = call
