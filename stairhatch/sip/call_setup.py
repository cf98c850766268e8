"""The set-up of a call: a new INVITE is parsed, checked and offered to the call manager."""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.node import sip_message as sip
from stairhatch.node.calls import CallRequest
from stairhatch.node.server_messages import exceeds_line_limit
from stairhatch.node.sip_message import called_number
from stairhatch.overload.settings import CallClass
from stairhatch.sip import grammar, session_descriptions, session_timer
from stairhatch.sip.call_classification import classify_call
from stairhatch.sip.call_leg import CallLeg, DialogTable, InviteParameters
from stairhatch.sip.rejection import RequestRejection
from stairhatch.sip.request_admission import TABLE_FULL_RETRY_AFTER_S
from stairhatch.sip.request_head import RequestHead
from stairhatch.sip.server_transactions import ServerTransaction
from stairhatch.sip.session_timer import SessionTimer
from stairhatch.sip.user_agent import UserAgent

TIMER_HEADERS = frozenset(("supported", "require", "session-expires", "min-se"))
EXPIRES_MAX_DIGITS = 9  # further digits of Expires are ignored
BAD_REQUEST = RequestRejection(400)
MERGED_REQUEST = RequestRejection(482)
TABLE_FULL = RequestRejection(503, headers=(("retry-after", str(TABLE_FULL_RETRY_AFTER_S)),))


@dataclass(frozen=True, slots=True)
class NewCall:
    """A parsed INVITE: the request to the call manager and the parameters of the caller's leg."""

    request: CallRequest
    parameters: InviteParameters


class CallSetup:
    """The part of a frontend that sets up new calls."""

    def __init__(self, agent: UserAgent, dialogs: DialogTable) -> None:
        """Create a set-up that keeps the dialogs of its calls in the table `dialogs`."""
        self._agent = agent
        self._dialogs = dialogs

    def invite_received(self, transaction: ServerTransaction, head: RequestHead, user: str) -> None:
        """Process an INVITE outside any dialog; `user` is its authenticated sender, or "".

        An INVITE that has arrived before on another path (a merged request) is answered 482, a call beyond
        the limit of dialogs 503 with Retry-After.
        """
        context = self._agent.context
        ident = head.ident
        if ident in context.call_manager.calls.by_ident:  # a merged request (RFC 3261, 8.2.2.2)
            self._agent.responder.reject(transaction, MERGED_REQUEST)
            return
        new_call = self._parse_invite(head, ident, user)
        if isinstance(new_call, RequestRejection):
            self._agent.responder.reject(transaction, new_call)
        elif len(self._dialogs.legs) >= context.config.dialogs:
            context.counters.add("table_full")
            self._agent.responder.reject(transaction, TABLE_FULL)
        elif context.call_manager.calls.was_terminated(ident):  # a retransmission after the call has ended
            context.counters.add("retransmissions_received")
            self._agent.server_transactions.discard(transaction)
        else:
            self._start_call(transaction, new_call)

    def _start_call(self, transaction: ServerTransaction, new_call: NewCall) -> None:
        leg = CallLeg(self._agent, self._dialogs, transaction, new_call.parameters)
        transaction.user = leg
        self._agent.responder.respond(transaction, 100)
        call = self._agent.context.call_manager.offer_call(new_call.request, leg)
        if leg.invite is not None or leg.dialog is not None:
            leg.call = call

    def _parse_invite(self, head: RequestHead, ident: str, user: str) -> NewCall | RequestRejection:
        """Parse an INVITE whose request URI is valid; returns its call, or the rejection of the INVITE."""
        message = head.message
        called_user = grammar.parse_uri(message.uri).user
        classification = classify_call(self._agent.context, called_user, message.get("call-kind"))
        call_class = classification.call_class
        is_contact_ambiguous = "contact" in head.names and len(message.get_all("contact")) != 1
        if call_class is None or not called_user or is_contact_ambiguous:
            return BAD_REQUEST
        body = session_descriptions.read_description(message)
        if isinstance(body, RequestRejection):
            return body
        timer = self._negotiate_timer(head)
        if isinstance(timer, RequestRejection):
            return timer
        try:
            description = body.decode()  # the message to the roster server is JSON, which must be UTF-8
            called_user.encode()
        except ValueError:
            return BAD_REQUEST
        if exceeds_line_limit(ident, call_class.name, called_user, description):
            return RequestRejection(413)
        request = CallRequest(
            ident=ident,
            call_class=call_class,
            called_uri=called_user,
            description=description,
            caller_timeout_s=_caller_timeout_s(message, call_class),
            preferred_number=classification.preferred_number,
            called_number=called_number(called_user),
            reports_progress=True,
        )
        parameters = InviteParameters(ident=ident, description=body, timer=timer, user=user)
        return NewCall(request, parameters)

    def _negotiate_timer(self, head: RequestHead) -> SessionTimer | RequestRejection | None:
        if TIMER_HEADERS.isdisjoint(head.names):
            return None
        return session_timer.negotiate(head.message, self._agent.context.config.timers)


def _caller_timeout_s(message: sip.SipMessage, call_class: CallClass) -> float:
    """Return the caller's timeout in seconds: the deadline of its class, or Expires if that is shorter."""
    expires = message.get("expires")
    if expires.isascii() and expires.isdigit():
        return min(call_class.deadline_s, float(expires[:EXPIRES_MAX_DIGITS]))
    return call_class.deadline_s
