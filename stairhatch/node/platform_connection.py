"""Sans-I/O protocol of one TCP connection of the platform's callers: thin SIP, many calls per connection.

The protocol parses received bytes, answers each request and offers set-ups to the call manager. The state
that all connections share is in `PlatformRegistry`; an established call is not tied to its connection.
"""

from __future__ import annotations

from itertools import count

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.caller_output import CallerOutput, UnreadReason
from stairhatch.node.calls import ReleaseCause
from stairhatch.node.memory_budgets import PENDING_SETUP_BYTES
from stairhatch.node.platform_registry import PendingSetups, PlatformCall, PlatformRegistry
from stairhatch.node.platform_request import (
    ALLOW,
    METHODS,
    USED_HEADERS,
    UnusableRequestError,
    has_valid_call_headers,
    read_call_request,
)
from stairhatch.node.protocol import ConnectionProtocol

MAX_UNUSABLE_REQUESTS = 8  # a connection is closed after this many unusable requests
CONNECTION_NUMBERS = count(1)


class PlatformConnection(ConnectionProtocol):
    """Protocol of one connection of the platform's callers."""

    counts_requests = True

    def __init__(self, registry: PlatformRegistry) -> None:
        """Start with nothing received; `registry` is shared by all connections."""
        super().__init__()
        self.registry = registry
        self.call_manager = registry.call_manager
        self.number = next(CONNECTION_NUMBERS)
        self.pending = PendingSetups(registry.pending_budget)  # without a final response
        self.established_calls: set[str] = set()  # set up on this connection and not known to have ended
        self.requests = 0
        self.is_caller = False  # got a non-health-check request, or none within CALLER_DETECTION_DELAY_S
        self._release_source = object()  # stands for the connection where releases wait, and outlives it
        self.has_acknowledged = False  # a release was acknowledged on this connection
        self._unusable_requests = 0
        self._peer_closed = False  # data received before may still be unread
        self._releases_sent: set[str] = set()  # call ids of unacknowledged releases sent on this connection
        self._parser = sip_parser.StreamParser(kept_headers=USED_HEADERS)
        self._output = CallerOutput(
            self.call_manager.context,
            self.call_manager.timers,
            registry.render_release,
            self._abort_as_unread,
        )

    # ---- calls of the driver ----

    def has_pending_response(self) -> bool:
        """Whether a set-up on this connection has no final response yet, or output is unwritten."""
        return bool(self.pending or self._output)

    def has_unwritten(self) -> bool:
        """Whether output is queued, or the driver is writing it."""
        return bool(self._output) or self.writing

    def has_partial_message(self) -> bool:
        """Whether part of a message has been received and the rest has not."""
        return self._parser.has_partial_message()

    def is_idle(self) -> bool:
        """Whether a drain may close the connection: no work is pending, and it is not needed for releases.

        A connection is not idle while a release sent on it is unacknowledged. A drain keeps the connections
        of established calls so that their callers get the releases, and for a limited time the connection
        most likely to be read, so that releases of other calls find a caller.
        """
        deliveries = self.registry.deliveries
        return (
            super().is_idle()
            and not deliveries.awaits_acknowledgement(self, self._releases_sent)
            and not (self.call_manager.readiness.keeps_connections_of_calls() and self.carries_calls())
            and not (self.call_manager.readiness.keeps_release_path() and deliveries.is_only_listener(self))
        )

    def carries_calls(self) -> bool:
        """Whether a call that was set up on this connection is still established; drops ended calls."""
        self.established_calls = set(filter(self.call_manager.calls.is_established, self.established_calls))
        return bool(self.established_calls)

    def read_timed_out(self) -> None:
        """Respond 408 to a request that was not complete in time, if its head was received, and close."""
        partial_request = self._parser.pending_request
        if partial_request is not None and partial_request.method not in ("", "ACK"):
            self.respond(partial_request, 408, [])
        super().read_timed_out()

    def receive_data(self, data: bytes | memoryview) -> None:
        """Parse and handle bytes from the caller; malformed data closes the connection after a response."""
        if self.closing:
            return
        self.registry.mark_active(self)
        self._parser.feed(data)
        requests_before = self.requests
        try:
            while not self.closing and (message := self._parser.next_message()) is not None:
                self.request_received = True
                self.requests += 1
                self._message_received(message)
        except sip_parser.SipError as error:
            self.call_manager.counters.add("malformed_from_callers")
            self.call_manager.log("malformed", side="caller", why=str(error))
            if error.partial is not None and error.partial.method not in ("", "ACK"):
                self.respond(error.partial, error.status, [])
            self._parser.discard()
            self._close_when_written()
        has_completed = self.requests > requests_before
        self.registry.receive_budget.update(self, self._parser.buffered_bytes, has_completed)

    def drop_partial_message(self) -> None:
        """Respond 503 to an incomplete request, if its head was received, and close."""
        self.call_manager.counters.add("partial_messages_dropped")
        partial_request = self._parser.pending_request
        if partial_request is not None and partial_request.method not in ("", "ACK"):
            self.respond(partial_request, 503, [])
        self._parser.discard()
        self._close_when_written()

    def data_to_send(self) -> bytes:
        """Remove and return the output to write next."""
        return self._output.fetch()

    def eof_received(self) -> None:
        """Handle the end of the caller's stream as a close, which is indistinguishable from it."""
        self.peer_closing()
        self._close_when_written()

    def peer_closing(self) -> None:
        """Abandon the pending set-ups and still send each one final response.

        The caller may have closed only its sending side and may still read. Set-ups that are unread before
        the end of the stream are answered when they are read.
        """
        self._peer_closed = True
        for platform_call in self.pending.values():
            call = platform_call.call
            self.abandon(platform_call)
            platform_call.respond(480 if call is None or call.is_retry_safe() else 500, [])

    def connection_lost(self) -> None:
        """Abandon the pending set-ups and resend unacknowledged releases; established calls continue."""
        self.registry.connections.pop(self, None)
        self.registry.receive_budget.update(self, 0)
        for platform_call in self.pending.values():
            self.abandon(platform_call)
        self._output.clear()
        self.registry.deliveries.resend(self, self._releases_sent)
        self._releases_sent.clear()

    # ---- messages to the caller ----

    def respond(self, request: sip.SipMessage, status: int, extra: sip.Headers, body: bytes = b"") -> None:
        """Queue a response to a request; `extra` are headers beyond those copied from the request."""
        self.respond_to(sip.render_echo(request), status, extra, body)

    def respond_to(self, echo: bytes, status: int, extra: sip.Headers, body: bytes = b"") -> None:
        """Queue a response that begins with the rendered header lines `echo`."""
        self.call_manager.counters.add(f"sent_{status}")
        response = sip.response_to(echo, status, extra, body)
        self._output.append_response(response, is_blocked=self.writing)
        self.notify_writable()

    def send_release(self, call_id: str, cause: int) -> None:
        """Queue a BYE for a call, with a Q.850 cause in its Reason header."""
        self._releases_sent.add(call_id)
        self._output.append_release(call_id, cause, is_blocked=self.writing)
        self.notify_writable()

    def _abort_as_unread(self, reason: UnreadReason) -> None:
        """Cut off a caller that does not read."""
        self.call_manager.counters.add("connections_slow_closed")
        self.call_manager.log(
            "caller_connection_slow",
            why=reason.value,
            unsent_bytes=self._output.unsent_bytes(),
            pending_setups=len(self.pending),
        )
        self.closing = True
        self.abort()

    def _close_when_written(self) -> None:
        self.closing = True
        self.notify_writable()

    # ---- messages from the caller ----

    def identify_as_caller(self) -> None:
        """Mark the connection as a caller's and send it the releases that wait for a connection."""
        if not self.is_caller and self in self.registry.connections:
            self.is_caller = True
            self.registry.deliveries.deliver_waiting(self)

    def abandon(self, platform_call: PlatformCall) -> None:
        """Remove a set-up that its caller has abandoned, and end its call."""
        call_id = platform_call.call_id
        self.registry.calls.pop(call_id, None)
        self.pending.remove(call_id)
        if platform_call.call is not None:
            self.call_manager.abandon(platform_call.call)

    def _message_received(self, message: sip.SipMessage) -> None:
        call_id, method = message.get("call-id"), message.method
        is_known = method in METHODS
        kind = method if is_known else "other" if method else "response"
        self.call_manager.counters.add(f"got_{kind}")  # unknown method names must not create counters
        if is_known and not has_valid_call_headers(message, call_id):
            self._reject_unusable(message, 400)
            return
        if is_known and method != "OPTIONS" and not self.is_caller:
            self.identify_as_caller()
        match method:
            case "":  # the response to a BYE acknowledges a release
                if message.cseq()[1] == "BYE" and call_id in self._releases_sent:
                    self._releases_sent.discard(call_id)
                    self.has_acknowledged = True
                    self.registry.deliveries.acknowledged(call_id)
            case "INVITE":
                self._invite_received(message, call_id)
            case "CANCEL":
                self._cancel_received(message, call_id)
            case "BYE":
                self._bye_received(message, call_id)
            case "OPTIONS":
                self.respond(message, 200 if self.call_manager.readiness.health().is_ready else 503, [])
            case "ACK" | "NOTIFY":
                pass
            case _:
                self._reject_unusable(message, 405, [("allow", ALLOW)])

    def _cancel_received(self, message: sip.SipMessage, call_id: str) -> None:
        platform_call = self.registry.calls.get(call_id)
        if platform_call is not None:
            is_established = self.call_manager.calls.is_established(call_id)
            platform_call.connection.abandon(platform_call)
            platform_call.connection.notify_writable()  # it may be closing, and was waiting for this set-up
            if is_established:  # the CANCEL crossed the 200, which the caller may have read
                self.call_manager.counters.add("cancels_crossed")
                self.registry.release(call_id, ReleaseCause.NORMAL_CLEARING, platform_call.connection)
        elif not self.call_manager.calls.was_terminated(call_id):
            self.registry.remember_early_cancel(call_id)
        self.respond(message, 200 if platform_call is not None else 481, [])

    def _bye_received(self, message: sip.SipMessage, call_id: str) -> None:
        platform_call = self.registry.calls.pop(call_id, None)
        if platform_call is not None and platform_call.call is not None:
            platform_call.connection.pending.remove(call_id)
            platform_call.connection.established_calls.discard(call_id)
            self.call_manager.release(platform_call.call, sip.release_cause(message))
        elif not self.registry.deliveries.acknowledged(call_id):
            self.call_manager.release_unknown(call_id, sip.release_cause(message), self._release_source)
        self.respond(message, 200, [])

    def _reject_unusable(
        self, message: sip.SipMessage, status: int, extra: sip.Headers | None = None
    ) -> None:
        """Respond to an unusable request; close the connection after `MAX_UNUSABLE_REQUESTS` of them.

        A connection with pending set-ups is not closed.
        """
        self._unusable_requests += 1
        self.call_manager.counters.add("requests_unusable")
        self.respond(message, status, extra or [])
        if self._unusable_requests >= MAX_UNUSABLE_REQUESTS and not self.pending:
            self.call_manager.counters.add("connections_faulty_closed")
            self._close_when_written()

    def _invite_received(self, message: sip.SipMessage, call_id: str) -> None:
        """Offer a set-up to the call manager, or respond to it immediately if it cannot be offered.

        Not offered are unusable set-ups, set-ups with a used call id, set-ups whose caller has left, and new
        set-ups during a drain.
        """
        call_manager, registry = self.call_manager, self.registry
        try:
            request = read_call_request(call_manager, message, call_id)
        except UnusableRequestError as error:
            self._reject_unusable(message, error.status)
            return
        if call_id in registry.calls or call_manager.calls.was_terminated(call_id):
            self._reject_unusable(message, 482)  # every set-up needs a new call id, also a caller retry
            return
        if registry.take_early_cancel(call_id) or self._peer_closed:
            call_manager.counters.add("calls_abandoned_early")
            self.respond(message, 480, [])
            return
        if call_manager.readiness.rejects_new_calls():
            registry.reject_setup(self, message, "draining")
            return
        echo = sip.render_echo(message)
        held_bytes = PENDING_SETUP_BYTES + len(echo) + len(message.body)
        if not self.pending.has_room(held_bytes):
            registry.reject_setup(self, message, "memory")
            return
        platform_call = PlatformCall(self, call_id, echo, held_bytes)
        registry.calls[call_id] = platform_call
        self.pending.add(platform_call)
        call = call_manager.offer_call(request, platform_call)
        if call is None:
            platform_call.respond(482, [])
        if call_id in registry.calls:
            platform_call.call = call
