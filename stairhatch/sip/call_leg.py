"""The caller's leg of a call: its INVITE and its dialog, between the call manager and the caller.

It hangs on no connection, and chooses neither a server nor an answer.
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
RSEQ_RANGE = 1_000_000  # the first RSeq is drawn from 1 to this (RFC 3262, section 3)


@dataclass(eq=False, slots=True)
class DialogTable:
    """The dialogs of a frontend and our open requests within them."""

    requests: ClientRequests
    legs: dict[DialogKey, CallLeg] = field(default_factory=dict)

    def find(self, key: DialogKey) -> CallLeg | None:
        """The leg of a dialog that is not over."""
        return self.legs.get(key)


@dataclass(frozen=True, slots=True, kw_only=True)
class InviteTerms:
    """What an INVITE asks for, beside the call itself."""

    ident: str  # of the call, at the roster servers too
    description: bytes  # b"": the offer is ours to make
    timer: SessionTimer | None
    user: str  # who calls, where that is proved


class CallLeg:
    """A caller's INVITE and its dialog; the call manager's `CallerSession`."""

    __slots__ = (
        "_agent", "_bye_cause", "_dialogs", "call", "descriptions", "dialog", "ident", "invite", "path",
        "provisional", "refresh", "success", "tag", "user",
    )  # fmt: skip

    def __init__(
        self, agent: UserAgent, dialogs: DialogTable, invite: ServerTransaction, terms: InviteTerms
    ) -> None:
        """Begin for a new INVITE, which awaits its final response."""
        context = agent.context
        self._agent = agent
        self._dialogs = dialogs
        self.ident = terms.ident
        self.tag = context.new_token()
        self.user = terms.user
        self.invite: ServerTransaction | None = invite  # until its final response
        self.call: Call | None = None
        self.dialog: Dialog | None = None
        self.descriptions = SessionDescriptions.from_offer(terms.description)
        self.path = DialogPath(agent.flows, invite)
        self.provisional: ProvisionalResponse | None = None  # until the final response
        self.success = SuccessResponse(context, self.path, self)
        self.refresh = SessionRefresh(context, dialogs.requests, self, terms.timer)
        self._bye_cause = 0  # of a BYE that awaits the ACK: none goes before it (RFC 3261, 15)

    @property
    def flow(self) -> Flow:
        """The flow that the caller used last."""
        return self.path.flow

    @property
    def established_dialog(self) -> Dialog:
        """The dialog, where one has begun."""
        assert self.dialog is not None
        return self.dialog

    # ---- from the call manager ----

    def progressing(self) -> None:
        """A roster server is processing the call: send 180, once, reliably if the caller supports that."""
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
        """The call is established: the 200 is sent until the ACK comes, and the dialog is confirmed."""
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
        """The call is rejected; the caller may come back after so many seconds."""
        self._reject(503, [("retry-after", str(max(1, math.ceil(retry_after_s))))])

    def failed(self, timed_out: bool) -> None:
        """The call can't be set up."""
        if timed_out:
            self._reject(408, [])
        else:
            self._reject(500, [("retry-after", "1")])

    def released(self, cause: int) -> None:
        """The roster server has ended the call."""
        self.call = None
        if self.success.awaits_ack:
            self._bye_cause = cause  # the ACK comes first, or the end of waiting for it
        else:
            self._send_bye(cause)

    # ---- from the caller ----

    def ack_received(self, cseq: int, message: sip.SipMessage) -> None:
        """The ACK to the 2xx, with the caller's answer where the offer was ours."""
        if not self.success.acknowledge(cseq):
            return
        if self.descriptions.awaits_answer:
            if not message.body:
                self._agent.context.counters.add("answers_missing")
            body = session_descriptions.read_description(message)
            self.descriptions.receive_answer(body if isinstance(body, bytes) else b"")
        if self._bye_cause:
            self._send_bye(self._bye_cause)

    def cancelled(self) -> None:
        """The caller abandons the set-up: by CANCEL, or a BYE in the early dialog."""
        if self.invite is None:
            return
        call, self.call = self.call, None
        if call is not None:
            self._agent.context.core.abandon(call)
        self._reject(487, [])

    def disconnected(self) -> None:
        """The caller's connection has ended while its INVITE is open: no further attempt is made."""
        if self.call is not None:
            self._agent.context.core.caller_disconnected(self.call)

    def bye_received(self, cause: int) -> None:
        """The caller has hung up."""
        call, self.call = self.call, None
        self._end_dialog()
        if call is not None:
            self._agent.context.core.release(call, cause)

    def reinvite_accepted(
        self, transaction: ServerTransaction, extra: sip.Headers, description: bytes, awaits_answer: bool
    ) -> None:
        """Answer a re-INVITE with 200, which is sent until its ACK as the first was."""
        assert transaction.head is not None
        cseq = transaction.head.cseq
        data = self._agent.responder.respond(transaction, 200, extra, tag=self.tag, body=description)
        self.path.address = transaction.address
        self.descriptions.awaits_answer = awaits_answer
        self.success.sent(data, cseq)

    def refresh_answered(self, status: int, message: sip.SipMessage | None) -> None:
        """A refresh of ours has its final response."""
        if self.dialog is not None and self.dialog.state is not DialogState.TERMINATED:
            self.refresh.refresh_answered(status, message)

    # ---- the end ----

    def terminate(self, cause: int = ReleaseCause.NORMAL_CLEARING, bye_cause: int = 0) -> None:
        """End the call on both sides; `bye_cause` is what the caller is told, 0: the same."""
        call, self.call = self.call, None
        self._send_bye(bye_cause or cause)
        if call is not None:
            self._agent.context.core.release(call, cause)

    def _send_bye(self, cause: int) -> None:
        if self.dialog is None or self.dialog.state is DialogState.TERMINATED:
            return
        self._end_dialog()
        self._dialogs.requests.send(self, "BYE", [("reason", f"Q.850;cause={cause}")])

    def ack_timed_out(self) -> None:
        """No ACK to the 2xx has come within 64 T1."""
        self.terminate(bye_cause=self._bye_cause)

    def _prack_timed_out(self) -> None:
        call, self.call = self.call, None
        self._reject(504, [])
        if call is not None:
            self._agent.context.core.abandon(call)

    def _reject(self, status: int, extra: sip.Headers) -> None:
        """Answer the INVITE with a non-2xx response."""
        invite = self.invite
        self.call = None
        self._end_invite()
        self._end_dialog()
        if invite is not None:
            self._agent.responder.respond(invite, status, extra, tag=self.tag)

    def _end_invite(self) -> None:
        """The INVITE has its final response."""
        self.invite = None
        if self.provisional is not None:
            self.provisional.stop()
            self.provisional = None

    # ---- the dialog ----

    def _begin_dialog(self, head: RequestHead) -> None:
        """The dialog begins with the first response that carries our tag (RFC 3261, 12.1)."""
        host, port = self.path.flow.peer
        fallback_target = f"sip:[{host}]:{port}" if ":" in host else f"sip:{host}:{port}"
        self.dialog = create_dialog(head, self.tag, fallback_target)
        self._dialogs.legs[self.dialog.key] = self

    def _end_dialog(self) -> None:
        """The dialog is over; nothing is found by it any more."""
        if self.dialog is not None and self.dialog.state is not DialogState.TERMINATED:
            self.path.terminate()
            self.dialog.state = DialogState.TERMINATED
            self._dialogs.legs.pop(self.dialog.key, None)
        self.success.stop()
        self.refresh.stop()

    def _record_routes(self) -> sip.Headers:
        return [("record-route", value) for value in self.established_dialog.routes]

    def _success_lines(self, description: bytes) -> str:
        """The header lines of the 200 to the INVITE."""
        extra = self._record_routes()
        if self.refresh.timer is not None:
            extra += self.refresh.timer.headers()
        extra.append(("contact", f"<{self._agent.flows.contact(self.path.flow)}>"))
        return format_headers(extra) + CAPABILITY_LINES + (SDP_LINE if description else "")
