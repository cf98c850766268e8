"""The processing of the caller's requests within a dialog, after their CSeq has been checked."""

from __future__ import annotations

from stairhatch.node.sip_message import release_cause
from stairhatch.sip import session_descriptions, session_timer
from stairhatch.sip.call_leg import CallLeg, DialogTable
from stairhatch.sip.dialogs import DialogState
from stairhatch.sip.rejection import RequestRejection
from stairhatch.sip.reliable_provisional import PrackMatch
from stairhatch.sip.request_head import RequestHead
from stairhatch.sip.responder import ACCEPT, ALLOW, CAPABILITIES, SUPPORTED
from stairhatch.sip.server_transactions import ServerTransaction
from stairhatch.sip.session_descriptions import SDP, DescriptionChange, Glare
from stairhatch.sip.session_timer import SessionTimer
from stairhatch.sip.user_agent import UserAgent

INFO_NOT_SUPPORTED = RequestRejection(469, headers=(("recv-info", ""),))  # RFC 6086, 4.2.2
REQUEST_PENDING = RequestRejection(491)
CHANGE_REJECTED = RequestRejection(
    488, headers=(("warning", '399 stairhatch "the session stays as it is"'), ACCEPT)
)
GLARE_RETRY_RANGE_S = 11  # Retry-After is a random integer from 0 to 10 s (RFC 3261, 14.2)


class DialogRequests:
    """The part of a frontend that answers requests within dialogs."""

    def __init__(self, agent: UserAgent, dialogs: DialogTable) -> None:
        """Create the part for the dialogs of one frontend; `agent` sends its responses."""
        self._agent = agent
        self._responder = agent.responder
        self._client_requests = dialogs.requests

    def request_received(self, transaction: ServerTransaction, head: RequestHead, leg: CallLeg) -> None:
        """Answer a request whose CSeq is in order; other methods (OPTIONS) get 200 with our capabilities."""
        match head.method:
            case "BYE":
                self._bye_received(transaction, head, leg)
            case "PRACK":
                self._prack_received(transaction, head, leg)
            case "UPDATE":
                self._update_received(transaction, head, leg)
            case "INVITE":
                self._reinvite_received(transaction, head, leg)
            case "INFO":
                self._responder.reject(transaction, INFO_NOT_SUPPORTED)
            case _:
                self._responder.respond(transaction, 200, CAPABILITIES)

    def _bye_received(self, transaction: ServerTransaction, head: RequestHead, leg: CallLeg) -> None:
        is_early = leg.invite is not None
        self._responder.respond(transaction, 200)
        if is_early:
            leg.cancelled()
        else:
            leg.bye_received(release_cause(head.message))

    def _prack_received(self, transaction: ServerTransaction, head: RequestHead, leg: CallLeg) -> None:
        reliable = leg.provisional.reliable if leg.provisional is not None else None
        matched = reliable is not None and reliable.match_prack(head.message) is PrackMatch.MATCHED
        self._responder.respond(transaction, 200 if matched else 481)

    def _reinvite_received(self, transaction: ServerTransaction, head: RequestHead, leg: CallLeg) -> None:
        """Accept a re-INVITE as a session refresh, or reject it without any change (RFC 3261, 14.2)."""
        remote_pending = leg.invite is not None
        local_pending = self._client_requests.is_open(leg, "INVITE") or leg.success.awaits_ack
        glare = session_descriptions.detect_glare(local_pending, remote_pending)
        self._offer_received(transaction, head, leg, glare)

    def _update_received(self, transaction: ServerTransaction, head: RequestHead, leg: CallLeg) -> None:
        """Accept an UPDATE as a session refresh, or reject it (RFC 3311, 5.2).

        An UPDATE without a body makes no offer and cannot cause glare.
        """
        has_body = bool(head.message.body)
        remote_pending = has_body and leg.invite is not None
        awaits_answer = leg.success.awaits_ack and leg.descriptions.awaits_answer
        local_pending = has_body and (self._client_requests.is_open(leg, "INVITE") or awaits_answer)
        glare = session_descriptions.detect_glare(local_pending, remote_pending)
        self._offer_received(transaction, head, leg, glare)

    def _offer_received(
        self, transaction: ServerTransaction, head: RequestHead, leg: CallLeg, glare: Glare
    ) -> None:
        """Reject a re-INVITE or UPDATE for glare, its description or its session timer, or accept it."""
        if glare is Glare.LOCAL_PENDING:
            self._responder.reject(transaction, REQUEST_PENDING)
            return
        if glare is Glare.REMOTE_PENDING:
            retry_after_s = int(self._agent.context.draw_fraction() * GLARE_RETRY_RANGE_S)
            self._responder.respond(transaction, 500, [("retry-after", str(retry_after_s))])
            return
        body = session_descriptions.read_description(head.message)
        if isinstance(body, RequestRejection):
            self._responder.reject(transaction, body)
            return
        timer = session_timer.negotiate(head.message, self._agent.context.config.timers)
        if isinstance(timer, RequestRejection):
            self._responder.reject(transaction, timer)
            return
        change = leg.descriptions.compare(body)
        if change is DescriptionChange.CHANGED:
            self._agent.context.counters.add("session_changes_rejected")
            self._responder.reject(transaction, CHANGE_REJECTED)
            return
        self._accept(transaction, head, leg, change, timer)

    def _accept(
        self,
        transaction: ServerTransaction,
        head: RequestHead,
        leg: CallLeg,
        change: DescriptionChange,
        timer: SessionTimer | None,
    ) -> None:
        """Answer a re-INVITE or UPDATE with 200 and refresh the session; its description is unchanged."""
        dialog = leg.established_dialog
        dialog.refresh_target(head.message)
        if "allow" in head.names:
            leg.refresh.allowed_methods = ", ".join(head.message.get_all("allow"))
        is_reinvite = head.method == "INVITE"
        has_description = is_reinvite or change is DescriptionChange.UNCHANGED
        description = leg.descriptions.local if has_description else b""
        extra = timer.headers() if timer is not None else []
        extra += [("contact", f"<{self._agent.flows.contact(transaction.flow)}>"), ALLOW, SUPPORTED]
        if description:
            extra.append(("content-type", SDP))
        if dialog.state is DialogState.CONFIRMED:
            leg.refresh.refreshed(timer)
        if is_reinvite:
            awaits_answer = change is DescriptionChange.ABSENT
            leg.reinvite_accepted(transaction, extra, description, awaits_answer)
        else:
            self._responder.respond(transaction, 200, extra, body=description)
