"""The state that all connections of the platform's callers share, and the record of one set-up."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from stairhatch.node import sip_message as sip
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Call
from stairhatch.node.memory_budgets import MemoryLimits, PendingBudget, ReceiveBudget
from stairhatch.node.readiness import RETRY_AFTER_S
from stairhatch.node.release_delivery import ReleaseChannel, ReleaseDelivery

MAX_EARLY_CANCELS = 4096  # limit on the ids of set-ups whose CANCEL arrived first, on another connection


class CallerConnection(ReleaseChannel, Protocol):
    """The interface of a connection of callers that its calls and the registry use."""

    registry: PlatformRegistry
    pending: PendingSetups
    established_calls: set[str]  # set up on the connection and not known to have ended
    notify_writable: Callable[[], None]

    def has_unwritten(self) -> bool:
        """Whether output is queued, or the driver is writing it."""

    def respond_to(self, echo: bytes, status: int, extra: sip.Headers, body: bytes = b"") -> None:
        """Queue a response that begins with the rendered header lines `echo`."""

    def respond(self, request: sip.SipMessage, status: int, extra: sip.Headers, body: bytes = b"") -> None:
        """Queue a response to a request; `extra` are headers beyond those copied from the request."""

    def abandon(self, platform_call: PlatformCall) -> None:
        """Remove a set-up that its caller has abandoned, and end its call."""


@dataclass(slots=True, eq=False, repr=False)
class PlatformCall:
    """Caller session of one set-up: sends the call manager's answers to the caller (`CallerSession`)."""

    connection: CallerConnection
    call_id: str  # used by callers and servers alike
    echo: bytes  # header lines of the set-up that its responses copy; rendered, as they take less memory
    held_bytes: int = 0  # memory that the set-up takes until its final response
    call: Call | None = None

    def respond(self, status: int, extra: sip.Headers, body: bytes = b"") -> None:
        """Send the final response to the set-up; called once."""
        self.connection.pending.remove(self.call_id)
        self.connection.respond_to(self.echo, status, extra, body)
        self.echo = b""
        if status >= 300:
            self.connection.registry.calls.pop(self.call_id, None)
            self.call = None  # breaks the reference cycle: garbage collection paused a busy node for too long

    def progressing(self) -> None:
        """Do nothing: the platform's callers get only the final response."""

    def established(self, description: bytes) -> None:
        """Respond 200 with the server's session description."""
        self.connection.established_calls.add(self.call_id)
        self.respond(200, [], description)

    def rejected(self, retry_after_s: float) -> None:
        """Respond 503; the caller may retry after `retry_after_s`, which is not sent if it is 0."""
        self.respond(503, [("come-back-ms", str(int(retry_after_s * 1000)))] if retry_after_s > 0 else [])

    def failed(self, timed_out: bool) -> None:
        """Respond 500, whether or not the call has timed out."""
        self.respond(500, [])

    def released(self, cause: int) -> None:
        """Send the caller a release by a Q.850 cause, because the roster server has ended the call."""
        self.call = None
        self.connection.established_calls.discard(self.call_id)
        self.connection.registry.release(self.call_id, cause, self.connection)


class PendingSetups:
    """The set-ups of one connection that have no final response, and the memory that they take."""

    def __init__(self, budget: PendingBudget) -> None:
        """Start empty; `budget` is that of all connections."""
        self._budget = budget
        self._calls: dict[str, PlatformCall] = {}  # by call id
        self._held_bytes = 0

    def __len__(self) -> int:
        """Return the number of set-ups."""
        return len(self._calls)

    def __contains__(self, call_id: str) -> bool:
        """Return whether the set-up with this call id is pending."""
        return call_id in self._calls

    def values(self) -> list[PlatformCall]:
        """Return the set-ups, oldest first."""
        return list(self._calls.values())

    def has_room(self, added_bytes: int) -> bool:
        """Return whether a further set-up of this size may wait."""
        return self._budget.has_room(self._held_bytes, added_bytes)

    def add(self, platform_call: PlatformCall) -> None:
        """Add a set-up."""
        self._calls[platform_call.call_id] = platform_call
        self._held_bytes += platform_call.held_bytes
        self._budget.total_bytes += platform_call.held_bytes

    def remove(self, call_id: str) -> None:
        """Remove a set-up if it is pending."""
        platform_call = self._calls.pop(call_id, None)
        if platform_call is not None:
            self._held_bytes -= platform_call.held_bytes
            self._budget.total_bytes -= platform_call.held_bytes


class PlatformRegistry:
    """Registry shared by all platform connections: the connections, their calls and pending releases."""

    def __init__(self, call_manager: CallManager, limits: MemoryLimits) -> None:
        """Start without calls; releases of unknown calls by servers are delivered to callers too."""
        self.call_manager = call_manager
        self.receive_budget = ReceiveBudget(limits.receive_bytes)
        self.pending_budget = PendingBudget(limits.pending_bytes)
        self.connections: dict[CallerConnection, None] = {}  # the last active connection comes last
        self.calls: dict[str, PlatformCall] = {}
        self.deliveries = ReleaseDelivery(call_manager, self.connections)
        self._early_cancels: OrderedDict[str, None] = OrderedDict()
        self._last_branch = 0
        call_manager.responses.unknown_release_listeners.append(self.release)

    def release(self, call_id: str, cause: int, call_connection: CallerConnection | None = None) -> None:
        """Send a caller the release of its call, on `call_connection` if that is open."""
        self.calls.pop(call_id, None)
        self.deliveries.deliver(call_id, cause, call_connection)

    def mark_active(self, connection: CallerConnection) -> None:
        """Add a connection, or move it to the end after data was received on it."""
        self.connections[connection] = self.connections.pop(connection, None)

    def next_branch(self) -> str:
        """Return a new Via branch for a request to a caller (RFC 3261, section 8.1.1.7)."""
        self._last_branch += 1
        return f"z9hG4bK{self._last_branch:x}"

    def remember_early_cancel(self, call_id: str) -> None:
        """Record a CANCEL for an unknown set-up, which may still be unread on another connection.

        A set-up that arrives later under this call id is answered and not offered.
        """
        self._early_cancels[call_id] = None
        if len(self._early_cancels) > MAX_EARLY_CANCELS:
            self._early_cancels.popitem(last=False)

    def take_early_cancel(self, call_id: str) -> bool:
        """Return whether the CANCEL of a set-up arrived before the set-up, and remove the record of it."""
        if call_id not in self._early_cancels:
            return False
        del self._early_cancels[call_id]
        return True

    def reject_setup(self, connection: CallerConnection, message: sip.SipMessage, reason: str) -> None:
        """Respond 503 to a set-up that is not offered; another softswitch may accept it."""
        call_manager = self.call_manager
        call_manager.counters.add(f"calls_rejected_{reason}")
        if call_manager.context.tracing:
            call_manager.log("call_rejected", call=message.get("call-id"), why=reason)
        advice = [("come-back-ms", str(int(RETRY_AFTER_S * 1000)))]
        connection.respond(message, 503, advice if call_manager.settings.may_send_retry_after else [])

    def render_release(self, call_id: str, cause: int) -> bytes:
        """Return the BYE of a call; no bytes if its release was acknowledged, or dropped, while it waited."""
        if call_id not in self.deliveries.pending:
            return b""
        self.call_manager.counters.add("sent_BYE")
        headers = [
            ("via", f"SIP/2.0/TCP stairhatch;branch={self.next_branch()}"),
            ("from", "<sip:stairhatch@net>;tag=stairhatch"),
            ("to", "<sip:caller@net>"),
            ("call-id", call_id),
            ("cseq", "1 BYE"),
            ("reason", f"Q.850;cause={cause}"),
        ]
        return sip.request("BYE", "sip:caller@net", headers)
