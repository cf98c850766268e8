"""The dispatch of received requests: admission, authentication and the choice of the part that answers."""

from __future__ import annotations

from stairhatch.sip import request_validation
from stairhatch.sip.call_leg import CallLeg, DialogTable
from stairhatch.sip.call_setup import CallSetup
from stairhatch.sip.dialog_requests import INFO_NOT_SUPPORTED, DialogRequests
from stairhatch.sip.dialogs import SequenceOrder, dialog_key
from stairhatch.sip.digest_auth import CredentialCheck, DigestAuthenticator
from stairhatch.sip.rejection import RequestRejection
from stairhatch.sip.request_admission import (
    TABLE_FULL_RETRY_AFTER_S,
    AdmissionRejection,
    RequestAdmission,
)
from stairhatch.sip.request_head import RequestHead
from stairhatch.sip.responder import CAPABILITIES
from stairhatch.sip.response_format import OVERLOAD_PLACEHOLDER, format_response
from stairhatch.sip.server_transactions import ServerTransaction
from stairhatch.sip.transport import Flow
from stairhatch.sip.user_agent import UserAgent

# The sender of these requests is authenticated if authentication is configured.
AUTHENTICATED_METHODS = (
    "INVITE",
    "BYE",
    "UPDATE",
    "INFO",
)
UNKNOWN_DIALOG = RequestRejection(481)
OUT_OF_ORDER = RequestRejection(500)
FORBIDDEN = RequestRejection(403)


class RequestDispatcher:
    """The dispatcher of one frontend's requests, whose mandatory headers have been parsed."""

    def __init__(
        self, agent: UserAgent, dialogs: DialogTable, admission: RequestAdmission, secret: bytes
    ) -> None:
        """Create a dispatcher; `secret` is the key that proves that a nonce was created here."""
        self.authenticator: DigestAuthenticator | None = None
        self._agent = agent
        self._dialogs = dialogs
        self._admission = admission
        self._secret = secret
        self._call_setup = CallSetup(agent, dialogs)
        self._dialog_requests = DialogRequests(agent, dialogs)
        self.configure_authentication()

    def configure_authentication(self) -> None:
        """Create the authenticator of the current configuration; the used nonce counts are discarded."""
        context = self._agent.context
        auth = context.config.auth
        self.authenticator = None
        if auth is not None:
            self.authenticator = DigestAuthenticator(
                auth.realm,
                auth.users,
                self._secret,
                context.call_manager.clock,
                auth.algorithms,
                auth.nonce_s,
            )

    def request_received(self, head: RequestHead, flow: Flow) -> None:
        """Process a received request: absorb a retransmission, or admit, validate and dispatch it."""
        if self._agent.server_transactions.absorb(head, flow):
            return
        if head.method == "ACK":
            self._ack_received(head, flow)
            return
        admission_rejection = self._admit(flow, head)
        if admission_rejection is not None:
            self._reject_stateless(flow, head, admission_rejection)
            return
        transaction = self._agent.server_transactions.open(head, flow)
        rejection = request_validation.validate_request(head)
        if rejection is not None:
            self._agent.responder.reject(transaction, rejection)
        else:
            self._dispatch(transaction, head)

    # ---- admission of new requests ----

    def _admit(self, flow: Flow, head: RequestHead) -> AdmissionRejection | None:
        """Return the rejection of a new request, or None if it may open a transaction.

        A request in a known dialog is admitted even if the transaction table is full.
        """
        rejection = self._admission.admit(flow, head)
        if rejection is not None:
            return rejection
        in_known_dialog = bool(head.to_tag) and dialog_key(head) in self._dialogs.legs
        if not self._agent.server_transactions.has_room(flow.peer[0]) and not in_known_dialog:
            return AdmissionRejection(TABLE_FULL_RETRY_AFTER_S, "table_full")
        return None

    def _reject_stateless(self, flow: Flow, head: RequestHead, rejection: AdmissionRejection) -> None:
        self._agent.context.counters.add(rejection.counter)
        tag = "" if head.to_tag else self._agent.context.new_token()
        copied = head.copied
        if head.overload_algorithms:
            feedback = self._admission.feedback(flow.peer[0], head.overload_algorithms)
            copied = copied.replace(OVERLOAD_PLACEHOLDER, feedback)
        data = format_response(503, copied, tag, f"Retry-After: {rejection.retry_after_s}\r\n")
        address = head.response_address(flow.peer, flow.reliable)
        self._agent.responder.respond_stateless(flow, address, data, 503)

    # ---- dispatch of admitted requests ----

    def _dispatch(self, transaction: ServerTransaction, head: RequestHead) -> None:
        """Authenticate a valid request that has a transaction, and pass it to the part that answers it."""
        leg = self._dialogs.find(dialog_key(head)) if head.to_tag else None
        if head.method == "CANCEL":
            self._cancel_received(transaction, head)
            return
        user = ""
        # A call that was established before authentication was enabled must still be able to end.
        is_anonymous = leg is not None and not leg.user
        if head.method in AUTHENTICATED_METHODS and self.authenticator is not None and not is_anonymous:
            authenticated = self._authenticate(self.authenticator, transaction, head)
            if authenticated is None:
                return
            user = authenticated
            if leg is not None and leg.user != user:
                self._agent.context.counters.add("auth_other_user")
                self._agent.responder.reject(transaction, FORBIDDEN)
                return
        if head.to_tag:
            self._dispatch_in_dialog(transaction, head, leg)
        else:
            self._dispatch_new(transaction, head, user)

    def _dispatch_in_dialog(
        self, transaction: ServerTransaction, head: RequestHead, leg: CallLeg | None
    ) -> None:
        if leg is None or leg.dialog is None:
            self._agent.responder.reject(transaction, UNKNOWN_DIALOG)
        elif leg.dialog.accept_cseq(head.cseq) is SequenceOrder.OUT_OF_ORDER:
            self._agent.responder.reject(transaction, OUT_OF_ORDER)
        else:
            leg.path.follow(transaction.flow)
            self._dialog_requests.request_received(transaction, head, leg)

    def _dispatch_new(self, transaction: ServerTransaction, head: RequestHead, user: str) -> None:
        responder = self._agent.responder
        match head.method:
            case "INVITE":
                self._call_setup.invite_received(transaction, head, user)
            case "OPTIONS":
                is_ready = self._agent.context.call_manager.readiness.health().is_ready
                responder.respond(transaction, 200 if is_ready else 503, CAPABILITIES)
            case "INFO":
                responder.reject(transaction, INFO_NOT_SUPPORTED)
            case _:
                responder.reject(transaction, UNKNOWN_DIALOG)

    def _authenticate(
        self, authenticator: DigestAuthenticator, transaction: ServerTransaction, head: RequestHead
    ) -> str | None:
        """Return the authenticated sender of a request, or None after a 401 response with challenges."""
        message = head.message
        result = authenticator.authenticate(head.method, message.uri, message.get_lines("authorization"))
        if result.check is CredentialCheck.GOOD:
            return result.user
        if result.check is not CredentialCheck.NONE:
            context = self._agent.context
            context.counters.add(f"auth_{result.check.value}")
            source = transaction.flow.peer[0]
            context.call_manager.log(
                "authentication_failed", check=result.check.value, source=source, method=head.method
            )
        challenges = authenticator.challenges(stale=result.check is CredentialCheck.STALE)
        extra = [("www-authenticate", each) for each in challenges]
        self._agent.responder.respond(transaction, 401, extra)
        return None

    def _ack_received(self, head: RequestHead, flow: Flow) -> None:
        """Pass an ACK that matches no transaction, as that to a 2xx does, to the leg of its dialog."""
        leg = self._dialogs.find(dialog_key(head))
        if leg is None:
            self._agent.context.counters.add("acks_unmatched")
        elif leg.success.awaits_ack:
            leg.path.follow(flow)
            leg.ack_received(head.cseq, head.message)

    def _cancel_received(self, transaction: ServerTransaction, head: RequestHead) -> None:
        """Cancel the INVITE with the branch of a CANCEL (RFC 3261, 9.2).

        A CANCEL after the final response has no effect but its own 200.
        """
        transactions = self._agent.server_transactions
        key = head.key_for("INVITE")
        invite = transactions.find(key)
        if invite is None and not transactions.is_recorded(key):
            self._agent.responder.reject(transaction, UNKNOWN_DIALOG)
            return
        user = invite.user if invite is not None else None
        self._agent.responder.respond(transaction, 200, tag=user.tag if user is not None else "")
        if user is not None:
            user.cancelled()
