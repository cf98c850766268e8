"""The caller's leg of a call: the INVITE and its dialog, between the call manager and the caller.

A leg is not bound to a connection. The call manager chooses the roster server and the result of the call.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from stairhatch.node import sip_message as sip
from stairhatch.node.calls import Call, ReleaseCause
from stairhatch.sip import reliable_provisional, session_descriptions
from stairhatch.sip.client_requests import ClientRequests
from stairhatch.sip.dialog_path import DialogPath
from stairhatch.sip.dialogs import Dialog, DialogKey, DialogState, create_dialog
from stairhatch.sip.provisional_response import ProvisionalResponse
from stairhatch.sip.reliable_provisional import ReliableProvisional
from stairhatch.sip.request_head import RequestHead
from stairhatch.sip.responder import ALLOW, SUPPORTED
from stairhatch.sip.response_format import format_headers
from stairhatch.sip.server_transactions import ServerTransaction
from stairhatch.sip.session_descriptions import SDP, SessionDescriptions
from stairhatch.sip.session_refresh import SessionRefresh
from stairhatch.sip.session_timer import SessionTimer
from stairhatch.sip.success_response import SuccessResponse
from stairhatch.sip.transport import Flow
from stairhatch.sip.user_agent import UserAgent

CAPABILITY_LINES = format_headers([ALLOW, SUPPORTED])
SDP_LINE = format_headers([("content-type", SDP)])
RSEQ_RANGE = 1_000_000  # the first RSeq is a random number from 1 to this (RFC 3262, section 3)


@dataclass(eq=False, slots=True)
class DialogTable:
    """The table of a frontend's dialogs, and our open requests within them."""

    requests: ClientRequests
    legs: dict[DialogKey, CallLeg] = field(default_factory=dict)

    def find(self, key: DialogKey) -> CallLeg | None:
        """Return the leg of an early or confirmed dialog, or None if there is no such dialog."""
        return self.legs.get(key)


@dataclass(frozen=True, slots=True, kw_only=True)
class InviteParameters:
    """The parameters of a leg that its INVITE has set."""

    ident: str  # the id of the call, also sent to the roster servers
    description: bytes  # the caller's offer; b"" if the INVITE has none, so that our 2xx makes the offer
    timer: SessionTimer | None  # the negotiated session timer
    user: str  # the authenticated user; "" if the caller was not authenticated


class CallLeg:
    """The caller's leg of one call; implements the call manager's `CallerSession`."""

    __slots__ = (
        "_agent", "_delayed_bye_cause", "_dialogs", "call", "descriptions", "dialog", "ident", "invite",
        "path", "provisional", "refresh", "success", "tag", "user",
    )  # fmt: skip

    def __init__(
        self, agent: UserAgent, dialogs: DialogTable, invite: ServerTransaction, parameters: InviteParameters
    ) -> None:
        """Create the leg of a new INVITE that has no final response."""
        context = agent.context
        self._agent = agent
        self._dialogs = dialogs
        self.ident = parameters.ident
        self.tag = context.new_token()
        self.user = parameters.user
        self.invite: ServerTransaction | None = invite  # None after its final response
        self.call: Call | None = None
        self.dialog: Dialog | None = None
        self.descriptions = SessionDescriptions.from_offer(parameters.description)
        self.path = DialogPath(agent.flows, invite)
        self.provisional: ProvisionalResponse | None = None  # the 180, until the final response
        self.success = SuccessResponse(context, self.path, self)
        self.refresh = SessionRefresh(context, dialogs.requests, self, parameters.timer)
        # Q.850 cause of a BYE that is delayed until the ACK (RFC 3261, section 15); 0 if there is none.
        self._delayed_bye_cause = 0

    @property
    def flow(self) -> Flow:
        """The flow of the dialog: the one of the caller's latest request."""
        return self.path.flow

    @property
    def established_dialog(self) -> Dialog:
        """The dialog; it must exist, that is, a response with our tag must have been sent."""
        assert self.dialog is not None
        return self.dialog

    # ---- events from the call manager ----

    def progressing(self) -> None:
        """Send one 180 when a roster server is processing the call.

        The 180 is reliable if the caller supports that (RFC 3262). A repeated notification sends nothing.
        """
        invite = self.invite
        if invite is None or invite.head is None or self.dialog is not None:
            return
        head = invite.head
        self._begin_dialog(head)
        contact = self._agent.flows.contact(self.path.flow)
        extra = [*self._record_routes(), ("contact", f"<{contact}>"), ALLOW, SUPPORTED]
        reliable = None
        if reliable_provisional.supports_100rel(head.message):
            rseq = 1 + int(self._agent.context.draw_fraction() * RSEQ_RANGE)
            reliable = ReliableProvisional(rseq, head.cseq)
            extra += [("require", "100rel"), ("rseq", str(rseq))]
        data = self._agent.responder.respond(invite, 180, extra, tag=self.tag)
        if reliable is not None:
            reliable.data = data
        self.provisional = ProvisionalResponse(
            self._agent.context, self.path, invite, reliable, self._prack_timed_out
        )

    def established(self, description: bytes) -> None:
        """Answer the INVITE with 200, which is retransmitted until its ACK, and confirm the dialog.

        `description` is the roster server's session description.
        """
        invite = self.invite
        if invite is None or invite.head is None:
            return
        head = invite.head
        if self.dialog is None:
            self._begin_dialog(head)
        dialog = self.established_dialog
        dialog.state = DialogState.CONFIRMED
        self.descriptions.local = description
        self.refresh.allowed_methods = head.message.get("allow")
        lines = self._success_lines(description)
        self._end_invite()
        data = self._agent.server_transactions.respond(invite, 200, self.tag, lines, description)
        self._agent.responder.record(invite, 200, dialog.call_id)
        self.path.establish(invite)
        self.success.sent(data, head.cseq)
        self.refresh.start()

    def rejected(self, retry_after_s: float) -> None:
        """Answer the INVITE with 503; its Retry-After is `retry_after_s` rounded up, at least 1."""
        self._reject(503, [("retry-after", str(max(1, math.ceil(retry_after_s))))])

    def failed(self, timed_out: bool) -> None:
        """Answer the INVITE after a failed set-up: with 408 if it timed out, else with 500."""
        if timed_out:
            self._reject(408, [])
        else:
            self._reject(500, [("retry-after", "1")])

    def released(self, cause: int) -> None:
        """Send BYE after the roster server has released the call; `cause` is a Q.850 cause."""
        self.call = None
        if self.success.awaits_ack:
            self._delayed_bye_cause = cause  # the BYE is sent after the ACK or its timeout
        else:
            self._send_bye(cause)

    # ---- events from the caller ----

    def ack_received(self, cseq: int, message: sip.SipMessage) -> None:
        """Process an ACK to the 2xx; it carries the caller's answer if our 2xx made the offer.

        An ACK with the CSeq of another request is ignored. A BYE delayed until the ACK is sent now.
        """
        if not self.success.acknowledge(cseq):
            return
        if self.descriptions.awaits_answer:
            if not message.body:
                self._agent.context.counters.add("answers_missing")
            body = session_descriptions.read_description(message)
            self.descriptions.receive_answer(body if isinstance(body, bytes) else b"")
        if self._delayed_bye_cause:
            self._send_bye(self._delayed_bye_cause)

    def cancelled(self) -> None:
        """End the set-up with 487 after a CANCEL, or after a BYE in the early dialog."""
        if self.invite is None:
            return
        call, self.call = self.call, None
        if call is not None:
            self._agent.context.call_manager.abandon(call)
        self._reject(487, [])

    def disconnected(self) -> None:
        """Make no further attempt after the caller's connection has ended without a final response."""
        if self.call is not None:
            self._agent.context.call_manager.caller_disconnected(self.call)

    def bye_received(self, cause: int) -> None:
        """Release the call after a BYE from the caller; `cause` is a Q.850 cause."""
        call, self.call = self.call, None
        self._end_dialog()
        if call is not None:
            self._agent.context.call_manager.release(call, cause)

    def reinvite_accepted(
        self, transaction: ServerTransaction, extra: sip.Headers, description: bytes, awaits_answer: bool
    ) -> None:
        """Answer a re-INVITE with 200, which is retransmitted until its ACK.

        `awaits_answer` is true if `description` is an offer, so that the ACK must carry the answer.
        """
        assert transaction.head is not None
        cseq = transaction.head.cseq
        data = self._agent.responder.respond(transaction, 200, extra, tag=self.tag, body=description)
        self.path.address = transaction.address
        self.descriptions.awaits_answer = awaits_answer
        self.success.sent(data, cseq)

    def refresh_answered(self, status: int, message: sip.SipMessage | None) -> None:
        """Pass the final response of our session refresh on, unless the dialog has ended."""
        if self.dialog is not None and self.dialog.state is not DialogState.TERMINATED:
            self.refresh.refresh_answered(status, message)

    # ---- release and rejection ----

    def terminate(self, cause: int = ReleaseCause.NORMAL_CLEARING, bye_cause: int = 0) -> None:
        """Send BYE to the caller and release the call at the roster server.

        `cause` and `bye_cause` are Q.850 causes. The BYE has `bye_cause`, or `cause` if that is 0.
        """
        call, self.call = self.call, None
        self._send_bye(bye_cause or cause)
        if call is not None:
            self._agent.context.call_manager.release(call, cause)

    def _send_bye(self, cause: int) -> None:
        if self.dialog is None or self.dialog.state is DialogState.TERMINATED:
            return
        self._end_dialog()
        self._dialogs.requests.send(self, "BYE", [("reason", f"Q.850;cause={cause}")])

    def ack_timed_out(self) -> None:
        """End the call, because no ACK to the 2xx has been received within 64 T1."""
        self.terminate(bye_cause=self._delayed_bye_cause)

    def _prack_timed_out(self) -> None:
        call, self.call = self.call, None
        self._reject(504, [])
        if call is not None:
            self._agent.context.call_manager.abandon(call)

    def _reject(self, status: int, extra: sip.Headers) -> None:
        """Answer the INVITE with a non-2xx response and end its dialog."""
        invite = self.invite
        self.call = None
        self._end_invite()
        self._end_dialog()
        if invite is not None:
            self._agent.responder.respond(invite, status, extra, tag=self.tag)

    def _end_invite(self) -> None:
        """Record that the INVITE gets its final response, and stop the repetition of the 180."""
        self.invite = None
        if self.provisional is not None:
            self.provisional.stop()
            self.provisional = None

    # ---- dialog state ----

    def _begin_dialog(self, head: RequestHead) -> None:
        """Create the dialog, for the first response that carries our tag (RFC 3261, 12.1)."""
        host, port = self.path.flow.peer
        fallback_target = f"sip:[{host}]:{port}" if ":" in host else f"sip:{host}:{port}"
        self.dialog = create_dialog(head, self.tag, fallback_target)
        self._dialogs.legs[self.dialog.key] = self

    def _end_dialog(self) -> None:
        """Terminate the dialog, remove it from the table and stop its timers."""
        if self.dialog is not None and self.dialog.state is not DialogState.TERMINATED:
            self.path.terminate()
            self.dialog.state = DialogState.TERMINATED
            self._dialogs.legs.pop(self.dialog.key, None)
        self.success.stop()
        self.refresh.stop()

    def _record_routes(self) -> sip.Headers:
        return [("record-route", value) for value in self.established_dialog.routes]

    def _success_lines(self, description: bytes) -> str:
        """Format the header lines of the 200 to the INVITE, without those copied from the request."""
        extra = self._record_routes()
        if self.refresh.timer is not None:
            extra += self.refresh.timer.headers()
        extra.append(("contact", f"<{self._agent.flows.contact(self.path.flow)}>"))
        return format_headers(extra) + CAPABILITY_LINES + (SDP_LINE if description else "")
