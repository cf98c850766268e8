"""The platform's front: owns the thin SIP over TCP that callers there speak, one connection carrying many
calls. A state machine that is fed bytes and hands bytes out. It must never know a socket, never choose a
server or an answer, and never tie a standing call to the connection it came on.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from dataclasses import dataclass, field
from functools import lru_cache, partial

from stairhatch.node import message as sip
from stairhatch.node import roster
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Call, CallRequest, ReleaseCause
from stairhatch.node.message import called_number, release_cause
from stairhatch.node.protocol import ConnectionProtocol
from stairhatch.node.readiness import RETRY_AFTER_S

MOST_OUTPUT = 128 * 1024  # a caller that reads so much too slowly is cut off
RELEASE_KEPT_S = 30.0  # how long a release waits for a caller to connect
HEARD_S = 0.3  # a release that is not heard within this time goes on another connection
GREET_S = 0.1  # a connection that is silent so long is a caller's
MOST_TRIES = 4
MOST_RELEASES = 8192  # not heard yet
MOST_GIVEN_UP = 4096  # ids of set-ups whose CANCEL came before them, by another connection
MOST_FAULTS = 8  # a connection with so many requests that can't be used is ended
PATIENCE_SLACK = 1.5  # Answer-Within may be so many times the class's limit; no caller waits longer
ALLOW = "INVITE, ACK, CANCEL, BYE, OPTIONS, NOTIFY"
ONCE = frozenset(("call-id", "call-kind", "answer-within", "cseq", "routing-data"))
METHODS = ("INVITE", "ACK", "CANCEL", "BYE", "OPTIONS", "NOTIFY")
IDENT = re.compile(r"[0-9a-fA-F]{16}\Z")  # what names a call, on both sides
WITHIN = re.compile(r"[0-9]{1,8}\Z")
NUMBER = re.compile(r"-?[0-9]{1,9}(\.[0-9]{1,9})?\Z")
FIGURES = {"dest": (-1, 65535), "width": (1, 1024), "via": (-1, 65535), "again": (0, 1)}


@lru_cache(maxsize=64)  # few are in use, and each comes with thousands of set-ups
def routing_choice(text: str) -> int:
    """The server of first choice in Routing-Data; -1 if it names none. ValueError if a figure is none."""
    choice = -1
    if len(text) > 200:
        raise ValueError("Routing-Data is too long")
    for piece in filter(None, text.split(";")):
        name, _, value = piece.partition(":")
        least, most = FIGURES.get(name.strip(), (-1e9, 1e9))
        if not NUMBER.match(value.strip()) or not least <= float(value) <= most:
            raise ValueError(f"Routing-Data: {name[:20]}")
        if name.strip() == "dest":
            choice = int(float(value))
    return choice


@dataclass(eq=False, slots=True)
class Release:
    """A release that its caller has not heard yet."""

    cause: int
    since: float
    tried: list[TrunkConnection] = field(default_factory=list)


class TrunkFront:
    """All connections of callers, and the releases that have not been heard."""

    def __init__(self, core: CallManager) -> None:
        self.core = core
        self.connections: dict[TrunkConnection, None] = {}  # the last that spoke comes last
        self.calls: dict[str, TrunkCall] = {}
        self.releases: dict[str, Release] = {}
        self.given_up: OrderedDict[str, None] = OrderedDict()
        self.branch = 0
        core.responses.unknown_release_listeners.append(self.release)

    def connect(self, peer: tuple[str, int] = ("", 0)) -> TrunkConnection:
        """Somebody has connected: a caller, or a front that asks for a test and goes again."""
        connection = TrunkConnection(self)
        self.connections[connection] = None
        self.core.timers.schedule(self.core.clock() + GREET_S, partial(self.greet, connection, False))
        return connection

    def greet(self, connection: TrunkConnection, spoken: bool = True) -> None:
        """It is a caller's connection. Releases that found no connection at all go to it.

        Guards against a front that opens one to ask for a test: it got the releases due before the answer to
        its OPTIONS, took that for a `no`, and none of them came to a caller (drain, snapshot 0737b4e5).
        """
        if connection.caller or connection not in self.connections or (connection.requests and not spoken):
            return
        connection.caller = True
        for ident, release in list(self.releases.items()):
            if not release.tried:
                self._tell(ident, release, connection)

    def release(self, ident: str, cause: int, own: TrunkConnection | None = None) -> None:
        """Tell the caller that a call is over: on the call's own connection while that is open."""
        self.calls.pop(ident, None)
        if len(self.releases) >= MOST_RELEASES:
            self.releases.pop(next(iter(self.releases)))
            self.core.counters.add("releases_unheard")
        release = self.releases[ident] = Release(cause, self.core.clock())
        self._tell(ident, release, own)

    def _tell(self, ident: str, release: Release, first: TrunkConnection | None = None) -> None:
        """Send a release, and again on another connection until it is heard.

        Guards against callers that hold a connection and read no release on it: what spoke last may be one
        that asks once, and 161 ends of calls were told to such alone (churn).
        """
        now = self.core.clock()
        if self.core.readiness.drain_since is not None:
            release.since = now  # kept for the next caller, however long the drain
        if now - release.since > RELEASE_KEPT_S:
            self.releases.pop(ident, None)
            self.core.counters.add("releases_unheard")
            return
        if len(release.tried) >= MOST_TRIES:  # nobody here reads: kept for whoever connects next
            release.tried.clear()
            self.core.timers.schedule(
                release.since + RELEASE_KEPT_S + 0.01, partial(self._check, ident, release, 0)
            )
            return
        own = first is not None and first in self.connections and not first.closing
        connection = first if own else self._listener(release)
        if connection is not None:
            release.tried.append(connection)
            connection.bye(ident, release.cause)
            self.core.timers.schedule(now + HEARD_S, partial(self._check, ident, release, len(release.tried)))
        else:
            release.tried.clear()  # the next connection gets it
            self.core.timers.schedule(now + RELEASE_KEPT_S, partial(self._check, ident, release, 0))

    def _check(self, ident: str, release: Release, tries: int) -> None:
        if self.releases.get(ident) is release and len(release.tried) == tries:
            self._tell(ident, release)

    def _listener(self, release: Release) -> TrunkConnection | None:
        """The connection most likely to be read: one that has heard a release, or asked most, and lately."""
        best, found = (-1, -1), None
        for connection in self.connections:  # of equals the one that spoke last
            value = (connection.heard, min(connection.requests, 8))
            fit = connection.caller and not connection.closing
            if fit and connection not in release.tried and value >= best:
                best, found = value, connection
        again = (c for c in reversed(release.tried) if c in self.connections and not c.closing)
        return found or next(again, None)

    def is_flushed(self) -> bool:
        """Whether all output has been written, and the releases sent have been heard.

        Guards against an answer cut in two by the end of the process: what the driver has pulled is not
        written while its caller reads slowly.
        """
        unheard = any(release.tried for release in self.releases.values())
        return not unheard and not any(each.output or each.writing for each in self.connections)

    def cancelled_early(self, ident: str) -> None:
        """A CANCEL for a set-up that has not come: should it come yet, nobody waits for it.

        Guards against a set-up that lies unread on one connection while its CANCEL is read on another.
        """
        self.given_up[ident] = None
        if len(self.given_up) > MOST_GIVEN_UP:
            self.given_up.popitem(last=False)


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

    def progressing(self) -> None:
        """The platform's callers are told of the end of a set-up alone."""

    def established(self, description: bytes) -> None:
        self._answer(200, [], description)

    def rejected(self, retry_after_s: float) -> None:
        self._answer(503, [("come-back-ms", str(int(retry_after_s * 1000)))] if retry_after_s > 0 else [])

    def failed(self, timed_out: bool) -> None:
        self._answer(500, [])

    def released(self, cause: int) -> None:
        self.call = None
        self.connection.front.release(self.request.get("call-id"), cause, self.connection)


class TrunkConnection(ConnectionProtocol):
    """One connection of callers."""

    counts_requests = True

    def __init__(self, front: TrunkFront) -> None:
        super().__init__()
        self.front = front
        self.output: list[bytes] = []
        self.size = 0
        self.open: dict[str, TrunkCall] = {}  # set-ups without a final answer
        self.byes: set[str] = set()  # releases sent here and not yet heard
        self.requests = 0
        self.caller = False  # something other than a test has come on it, or nothing for a while
        self.heard = 0  # 1 once a release was heard on it
        self.faults = 0  # requests that could not be used
        self.gone = False  # its peer has closed it; what came before may still be unread
        self.parser = sip.StreamParser()

    def owes_response(self) -> bool:
        """Whether a set-up is open on it, or an answer waits to be written."""
        return bool(self.open or self.output)

    def has_partial_message(self) -> bool:
        """Whether the rest of a message is awaited."""
        return self.parser.partial()

    def is_idle(self) -> bool:
        """Also that no release sent on it has yet to be heard, and that another connection is left for those
        of calls that stand.

        Guards against ends of calls that reach no caller: all connections were ended within 0.7 s, and 98
        calls that ended later were told when the drain was over (drain, snapshot 9aeb490d).
        """
        told = (self.front.releases.get(ident) for ident in self.byes)
        unheard = any(r is not None and r.tried and r.tried[-1] is self for r in told)
        return (
            super().is_idle()
            and not unheard
            and not (self.front.core.readiness.keeps_release_path() and self._last_ear())
        )

    def _last_ear(self) -> bool:
        """Whether no other connection is as likely to be read."""
        others = (c for c in self.front.connections if c is not self and c.caller and not c.closing)
        return self.caller and not any(other.heard >= self.heard for other in others)

    def read_timed_out(self) -> None:
        """A message has not come whole in time: its request is answered, if its head could be read."""
        begun = self.parser.begun
        if begun is not None and begun.method not in ("", "ACK"):
            self.respond(begun, 408, [])
        super().read_timed_out()

    def receive_data(self, data: bytes | memoryview) -> None:
        """Bytes from the caller."""
        front = self.front
        if self.closing:
            return
        front.connections[self] = front.connections.pop(self, None)
        self.parser.feed(data)
        try:
            while not self.closing and (message := self.parser.next()) is not None:
                self.request_received = True
                self.requests += 1
                self._message(message)
        except sip.SipError as error:
            front.core.counters.add("malformed_from_callers")
            front.core.log("malformed", side="caller", why=str(error))
            if error.partial is not None and error.partial.method not in ("", "ACK"):
                self.respond(error.partial, error.status, [])
            self.closing = True
            self.notify_writable()

    def data_to_send(self) -> bytes:
        """What is to be written."""
        data = b"".join(self.output)
        self.output.clear()
        self.size = 0
        return data

    def eof_received(self) -> None:
        """The caller sends no more: it has left what is open, as with a close, which looks the same."""
        self.peer_closing()
        self.closing = True
        self.notify_writable()

    def peer_closing(self) -> None:
        """Each set-up is answered once all the same, for one that only ended its side of the connection and
        still reads; those that lie unread before the end of the stream, as they are read.

        Guards against set-ups sent on for who has left, where more than one buffer lay before the end.
        """
        self.gone = True
        for held in list(self.open.values()):
            call = held.call
            self._give_up(held)
            held._answer(480 if call is None or call.is_retry_safe() else 500, [])

    def _give_up(self, held: TrunkCall) -> None:
        """Nobody waits for this set-up any more."""
        ident = held.request.get("call-id")
        self.front.calls.pop(ident, None)
        self.open.pop(ident, None)
        if held.call is not None:
            self.front.core.abandon(held.call)

    def connection_lost(self) -> None:
        """The connection has ended: what was open on it is given up, what stands on lives on."""
        front = self.front
        front.connections.pop(self, None)
        for held in list(self.open.values()):
            self._give_up(held)
        for ident in self.byes:
            release = front.releases.get(ident)
            if release is not None and release.tried and release.tried[-1] is self:
                front._tell(ident, release)
        self.byes.clear()

    def respond(self, request: sip.Message, status: int, extra: sip.Headers, body: bytes = b"") -> None:
        """Queue a response."""
        self.front.core.counters.add(f"sent_{status}")
        self._put(sip.response(status, sip.echoed(request) + extra, body))

    def bye(self, ident: str, cause: int) -> None:
        """Queue a release."""
        front = self.front
        self.byes.add(ident)
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
        self.notify_writable()

    def _message(self, message: sip.Message) -> None:
        front, ident = self.front, message.get("call-id")
        method = message.method
        known = method in METHODS
        kind = method if known else "other" if method else "response"
        front.core.counters.add(f"got_{kind}")  # a name made up by a caller is no counter
        if known and not self._usable(message, ident):
            self._unusable(message, 400)
            return
        if known and method != "OPTIONS" and not self.caller:
            front.greet(self)
        match method:
            case "":
                if message.cseq()[1] == "BYE" and ident in self.byes:
                    self.byes.discard(ident)
                    self.heard = 1
                    front.releases.pop(ident, None)
            case "INVITE":
                self._invite(message, ident)
            case "CANCEL":
                held = front.calls.get(ident)
                if held is not None:
                    stood = front.core.calls.is_established(ident)
                    held.connection._give_up(held)
                    held.connection.notify_writable()  # it may have ended but for this
                    if stood:  # it crossed the answer: its caller may take the call to stand, and is told
                        front.core.counters.add("cancels_crossed")
                        front.release(ident, ReleaseCause.NORMAL_CLEARING, held.connection)
                elif not front.core.calls.was_terminated(ident):
                    front.cancelled_early(ident)
                self.respond(message, 200 if held is not None else 481, [])
            case "BYE":
                held = front.calls.pop(ident, None)
                if held is not None and held.call is not None:
                    held.connection.open.pop(ident, None)
                    front.core.release(held.call, release_cause(message))
                elif front.releases.pop(ident, None) is None:
                    front.core.release_unknown(ident, release_cause(message))
                self.respond(message, 200, [])
            case "OPTIONS":
                self.respond(message, 200 if front.core.readiness.health().is_ready else 503, [])
            case "ACK" | "NOTIFY":
                pass
            case _:
                self._unusable(message, 405, [("allow", ALLOW)])

    @staticmethod
    def _usable(message: sip.Message, ident: str) -> bool:
        """Whether a request names its call in a form that a roster server can read."""
        if message.method in ("OPTIONS", "NOTIFY", "ACK"):
            return True
        once = [name for name, _ in message.headers if name in ONCE]
        twice = len(once) != len(set(once))
        return IDENT.match(ident) is not None and not twice and message.cseq()[1] == message.method

    def _unusable(self, message: sip.Message, status: int, extra: sip.Headers | None = None) -> None:
        """Answer a request that can't be used; a connection that brings only such is ended."""
        self.faults += 1
        self.front.core.counters.add("requests_unusable")
        self.respond(message, status, extra or [])
        if self.faults >= MOST_FAULTS and not self.open:
            self.front.core.counters.add("faulty_callers_cut")
            self.closing = True
            self.notify_writable()

    def _invite(self, message: sip.Message, ident: str) -> None:
        """A set-up. One that can't be understood, or no roster server could read, is answered at once."""
        front = self.front
        kind = front.core.classes.named(message.get("call-kind"))
        within = message.get("answer-within")
        key = sip.user_of(message.uri)
        try:
            description = message.body.decode()  # what is no UTF-8 would be no JSON either
            key.encode()
            patience_s = int(within) / 1000 if WITHIN.match(within) else 0.0
            choice = routing_choice(message.get("routing-data"))
        except ValueError:
            kind, patience_s = None, 0.0
        if kind is None or not key:
            self._unusable(message, 400)
            return
        if not 0 < patience_s <= PATIENCE_SLACK * front.core.classes.longest_deadline_s(kind):
            self._unusable(message, 400)
            return
        if roster.too_long(ident, message.get("call-kind"), key, description):
            self._unusable(message, 413)
            return
        if ident in front.calls or front.core.calls.was_terminated(ident):
            self._unusable(message, 482)  # every set-up has an id of its own, a repeat too
            return
        if self.gone or ident in front.given_up:
            front.given_up.pop(ident, None)
            front.core.counters.add("calls_given_up_before")
            self.respond(message, 480, [])
            return
        if front.core.readiness.rejects_new_calls():
            front.core.counters.add("calls_turned_away")
            advice = [("come-back-ms", str(int(RETRY_AFTER_S * 1000)))]
            self.respond(message, 503, advice if front.core.settings.may_send_retry_after else [])
            return
        offer = CallRequest(
            ident=ident,
            call_class=kind,
            called_uri=key,
            description=description,
            caller_timeout_s=patience_s,
            preferred_number=choice,
            called_number=called_number(key),
            is_caller_retry=message.get("repeat-mark") == "1",
        )
        held = TrunkCall(self, message)
        message.body = b""  # not needed any more
        front.calls[ident] = self.open[ident] = held
        call = front.core.offer_call(offer, held)
        if call is None:
            held._answer(482, [])
        if ident in front.calls:
            held.call = call
