"""One TCP connection of the platform's callers, as a sans-I/O protocol: thin SIP, many calls a connection.

It is fed bytes and hands bytes out, answers each request, and gives set-ups to the call manager. What all
connections share is in `PlatformRegistry`; an established call is not tied to the connection it came on.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Call, ReleaseCause
from stairhatch.node.platform_request import (
    ALLOW,
    METHODS,
    UnusableRequestError,
    names_its_call,
    read_call_request,
)
from stairhatch.node.protocol import ConnectionProtocol
from stairhatch.node.readiness import RETRY_AFTER_S
from stairhatch.node.release_delivery import ReleaseDelivery

MAX_OUTPUT_BYTES = 128 * 1024  # a caller that reads so much too slowly is cut off
MAX_CANCELLED_EARLY = 4096  # ids of set-ups whose CANCEL came before them, by another connection
MAX_FAULTS = 8  # a connection with so many requests that can't be used is ended


@dataclass(slots=True, eq=False, repr=False)
class PlatformCall:
    """A caller's set-up, as the call manager sees it (`CallerSession`)."""

    connection: PlatformConnection
    request: sip.SipMessage
    call: Call | None = None

    @property
    def call_id(self) -> str:
        """What names the call, on both sides."""
        return self.request.get("call-id")

    def respond(self, status: int, extra: sip.Headers, body: bytes = b"") -> None:
        """Answer the set-up finally, once."""
        self.connection.pending.pop(self.call_id, None)
        self.connection.respond(self.request, status, extra, body)
        if status >= 300:
            self.connection.registry.calls.pop(self.call_id, None)
            self.call = None  # no cycle is left for the collector: it paused a busy node for too long

    def progressing(self) -> None:
        """Do nothing: the platform's callers get the final answer only."""

    def established(self, description: bytes) -> None:
        """Answer 200 with the server's session description."""
        self.connection.established_calls.add(self.call_id)
        self.respond(200, [], description)

    def rejected(self, retry_after_s: float) -> None:
        """Answer 503; the caller may retry after `retry_after_s`, which is not sent where it is 0."""
        self.respond(503, [("come-back-ms", str(int(retry_after_s * 1000)))] if retry_after_s > 0 else [])

    def failed(self, timed_out: bool) -> None:
        """Answer 500."""
        self.respond(500, [])

    def released(self, cause: int) -> None:
        """Release the call at its caller, since its roster server has ended it."""
        self.call = None
        self.connection.established_calls.discard(self.call_id)
        self.connection.registry.release(self.call_id, cause, self.connection)


class PlatformRegistry:
    """What the platform's callers share: their connections, their calls and the releases under way."""

    def __init__(self, core: CallManager) -> None:
        """Begin without calls; releases of calls that are not known are delivered too."""
        self.core = core
        self.connections: dict[PlatformConnection, None] = {}  # the last that spoke comes last
        self.calls: dict[str, PlatformCall] = {}
        self.deliveries = ReleaseDelivery(core, self.connections)
        self._cancelled_early: OrderedDict[str, None] = OrderedDict()
        self._last_branch = 0
        core.responses.unknown_release_listeners.append(self.release)

    def release(self, call_id: str, cause: int, own: PlatformConnection | None = None) -> None:
        """Release a call at its caller: on the call's own connection while that is open."""
        self.calls.pop(call_id, None)
        self.deliveries.deliver(call_id, cause, own)

    def mark_active(self, connection: PlatformConnection) -> None:
        """A connection has come, or has spoken."""
        self.connections[connection] = self.connections.pop(connection, None)

    def next_branch(self) -> str:
        """The Via branch of the next request from here (RFC 3261, 8.1.1.7)."""
        self._last_branch += 1
        return f"z9hG4bK{self._last_branch:x}"

    def cancelled_early(self, call_id: str) -> None:
        """A CANCEL for a set-up that has not come: it may lie unread on another connection.

        Should it come yet, nobody waits for it.
        """
        self._cancelled_early[call_id] = None
        if len(self._cancelled_early) > MAX_CANCELLED_EARLY:
            self._cancelled_early.popitem(last=False)

    def was_cancelled_early(self, call_id: str) -> bool:
        """Whether the CANCEL of a set-up came before it. It is asked once."""
        if call_id not in self._cancelled_early:
            return False
        del self._cancelled_early[call_id]
        return True


class PlatformConnection(ConnectionProtocol):
    """One connection of callers."""

    counts_requests = True

    def __init__(self, registry: PlatformRegistry) -> None:
        """Begin with nothing received."""
        super().__init__()
        self.registry = registry
        self.core = registry.core
        self.pending: dict[str, PlatformCall] = {}  # set-ups without a final answer
        self.established_calls: set[str] = set()  # that were set up on it and, as far as is known, go on
        self.requests = 0
        self.is_caller = False  # something other than a health check has come on it, or nothing for a while
        self.has_acknowledged = False  # a release was acknowledged on it
        self._faults = 0  # requests that could not be used
        self._peer_closed = False  # what came before may still be unread
        self._releases_sent: set[str] = set()  # here, and not yet acknowledged
        self._parser = sip_parser.StreamParser()
        self._output: list[bytes] = []
        self._output_bytes = 0

    # ---- the driver's side ----

    def owes_response(self) -> bool:
        """Whether a set-up is open on it, or an answer waits to be written."""
        return bool(self.pending or self._output)

    def has_unwritten(self) -> bool:
        """Whether something waits to be written, or is on its way."""
        return bool(self._output) or self.writing

    def has_partial_message(self) -> bool:
        """Whether the rest of a message is awaited."""
        return self._parser.has_partial_message()

    def is_idle(self) -> bool:
        """Also that no release sent on it is unacknowledged, and that none may have to go on it.

        A drain keeps the connections of established calls, so that their callers are told of the ends. Were
        all connections closed early in a drain, the releases of other calls would find no caller.
        """
        deliveries = self.registry.deliveries
        return (
            super().is_idle()
            and not deliveries.awaits_acknowledgement(self, self._releases_sent)
            and not (self.core.readiness.keeps_connections_of_calls() and self.carries_calls())
            and not (self.core.readiness.keeps_release_path() and deliveries.is_only_listener(self))
        )

    def carries_calls(self) -> bool:
        """Whether a call that was set up on it is established."""
        self.established_calls = set(filter(self.core.calls.is_established, self.established_calls))
        return bool(self.established_calls)

    def read_timed_out(self) -> None:
        """A message is not complete in time: its request is answered, if its head could be read."""
        begun = self._parser.pending_request
        if begun is not None and begun.method not in ("", "ACK"):
            self.respond(begun, 408, [])
        super().read_timed_out()

    def receive_data(self, data: bytes | memoryview) -> None:
        """Bytes from the caller."""
        if self.closing:
            return
        self.registry.mark_active(self)
        self._parser.feed(data)
        try:
            while not self.closing and (message := self._parser.next_message()) is not None:
                self.request_received = True
                self.requests += 1
                self._message_received(message)
        except sip_parser.SipError as error:
            self.core.counters.add("malformed_from_callers")
            self.core.log("malformed", side="caller", why=str(error))
            if error.partial is not None and error.partial.method not in ("", "ACK"):
                self.respond(error.partial, error.status, [])
            self._close_when_written()

    def data_to_send(self) -> bytes:
        """What is to be written."""
        data = b"".join(self._output)
        self._output.clear()
        self._output_bytes = 0
        return data

    def eof_received(self) -> None:
        """The caller sends no more: it has left what is open, as with a close, which looks the same."""
        self.peer_closing()
        self._close_when_written()

    def peer_closing(self) -> None:
        """Nobody waits for the set-ups any more; each is answered once all the same.

        A caller may have ended only its side of the connection and still read. Those that lie unread before
        the end of the stream are answered as they are read.
        """
        self._peer_closed = True
        for held in list(self.pending.values()):
            call = held.call
            self.abandon(held)
            held.respond(480 if call is None or call.is_retry_safe() else 500, [])

    def connection_lost(self) -> None:
        """The connection has ended: pending set-ups are abandoned, established calls live on."""
        self.registry.connections.pop(self, None)
        for held in list(self.pending.values()):
            self.abandon(held)
        self.registry.deliveries.resend(self, self._releases_sent)
        self._releases_sent.clear()

    # ---- what goes to the caller ----

    def respond(self, request: sip.SipMessage, status: int, extra: sip.Headers, body: bytes = b"") -> None:
        """Queue a response."""
        self.core.counters.add(f"sent_{status}")
        self._queue_output(sip.response(status, sip.echoed(request) + extra, body))

    def send_release(self, call_id: str, cause: int) -> None:
        """Queue a release."""
        self._releases_sent.add(call_id)
        self.core.counters.add("sent_BYE")
        headers = [
            ("via", f"SIP/2.0/TCP stairhatch;branch={self.registry.next_branch()}"),
            ("from", "<sip:stairhatch@net>;tag=stairhatch"),
            ("to", "<sip:caller@net>"),
            ("call-id", call_id),
            ("cseq", "1 BYE"),
            ("reason", f"Q.850;cause={cause}"),
        ]
        self._queue_output(sip.request("BYE", "sip:caller@net", headers))

    def _queue_output(self, data: bytes) -> None:
        self._output.append(data)
        self._output_bytes += len(data)
        if self._output_bytes > MAX_OUTPUT_BYTES:
            self.core.counters.add("connections_slow_closed")
            self.closing = True
            self.abort()
        self.notify_writable()

    def _close_when_written(self) -> None:
        self.closing = True
        self.notify_writable()

    # ---- what comes from the caller ----

    def identify_as_caller(self) -> None:
        """It is a caller's connection: releases that found none go to it."""
        if not self.is_caller and self in self.registry.connections:
            self.is_caller = True
            self.registry.deliveries.deliver_waiting(self)

    def abandon(self, held: PlatformCall) -> None:
        """Nobody waits for this set-up any more."""
        call_id = held.call_id
        self.registry.calls.pop(call_id, None)
        self.pending.pop(call_id, None)
        if held.call is not None:
            self.core.abandon(held.call)

    def _message_received(self, message: sip.SipMessage) -> None:
        call_id, method = message.get("call-id"), message.method
        is_known = method in METHODS
        kind = method if is_known else "other" if method else "response"
        self.core.counters.add(f"got_{kind}")  # a name made up by a caller is no counter
        if is_known and not names_its_call(message, call_id):
            self._reject_unusable(message, 400)
            return
        if is_known and method != "OPTIONS" and not self.is_caller:
            self.identify_as_caller()
        match method:
            case "":
                self._response_received(message, call_id)
            case "INVITE":
                self._invite_received(message, call_id)
            case "CANCEL":
                self._cancel_received(message, call_id)
            case "BYE":
                self._bye_received(message, call_id)
            case "OPTIONS":
                self.respond(message, 200 if self.core.readiness.health().is_ready else 503, [])
            case "ACK" | "NOTIFY":
                pass
            case _:
                self._reject_unusable(message, 405, [("allow", ALLOW)])

    def _response_received(self, message: sip.SipMessage, call_id: str) -> None:
        """The answer to a release."""
        if message.cseq()[1] == "BYE" and call_id in self._releases_sent:
            self._releases_sent.discard(call_id)
            self.has_acknowledged = True
            self.registry.deliveries.acknowledged(call_id)

    def _cancel_received(self, message: sip.SipMessage, call_id: str) -> None:
        held = self.registry.calls.get(call_id)
        if held is not None:
            is_established = self.core.calls.is_established(call_id)
            held.connection.abandon(held)
            held.connection.notify_writable()  # it may have ended but for this
            if is_established:  # it crossed the answer, which its caller may have read
                self.core.counters.add("cancels_crossed")
                self.registry.release(call_id, ReleaseCause.NORMAL_CLEARING, held.connection)
        elif not self.core.calls.was_terminated(call_id):
            self.registry.cancelled_early(call_id)
        self.respond(message, 200 if held is not None else 481, [])

    def _bye_received(self, message: sip.SipMessage, call_id: str) -> None:
        held = self.registry.calls.pop(call_id, None)
        if held is not None and held.call is not None:
            held.connection.pending.pop(call_id, None)
            held.connection.established_calls.discard(call_id)
            self.core.release(held.call, sip.release_cause(message))
        elif not self.registry.deliveries.acknowledged(call_id):
            self.core.release_unknown(call_id, sip.release_cause(message))
        self.respond(message, 200, [])

    def _reject_unusable(
        self, message: sip.SipMessage, status: int, extra: sip.Headers | None = None
    ) -> None:
        """Answer a request that can't be used; a connection that brings only such is ended."""
        self._faults += 1
        self.core.counters.add("requests_unusable")
        self.respond(message, status, extra or [])
        if self._faults >= MAX_FAULTS and not self.pending:
            self.core.counters.add("connections_faulty_closed")
            self._close_when_written()

    def _invite_received(self, message: sip.SipMessage, call_id: str) -> None:
        """A set-up. One that can't be understood, or no roster server could read, is answered at once."""
        core, registry = self.core, self.registry
        try:
            request = read_call_request(core, message, call_id)
        except UnusableRequestError as error:
            self._reject_unusable(message, error.status)
            return
        if call_id in registry.calls or core.calls.was_terminated(call_id):
            self._reject_unusable(message, 482)  # every set-up has an id of its own, a repeat too
            return
        if registry.was_cancelled_early(call_id) or self._peer_closed:
            core.counters.add("calls_abandoned_early")
            self.respond(message, 480, [])
            return
        if core.readiness.rejects_new_calls():
            core.counters.add("calls_rejected_draining")
            if core.context.tracing:
                core.log("call_rejected", call=call_id, why="draining")
            advice = [("come-back-ms", str(int(RETRY_AFTER_S * 1000)))]
            self.respond(message, 503, advice if core.settings.may_send_retry_after else [])
            return
        held = PlatformCall(self, message)
        message.body = b""  # not needed any more
        registry.calls[call_id] = self.pending[call_id] = held
        call = core.offer_call(request, held)
        if call is None:
            held.respond(482, [])
        if call_id in registry.calls:
            held.call = call
