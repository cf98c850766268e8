"""Mutations of the SIP frontend, each of which the conformance suite must find.

A mutation is a deliberate fault in the loaded code of the program: it replaces attributes of modules and
classes inside a `with` block and restores them at its end. It must never be applied to a program that serves
callers.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any, cast

from stairhatch.node import sip_message as sip
from stairhatch.sip import (
    grammar,
    reliable_provisional,
    request_head,
    request_validation,
    session_descriptions,
    session_timer,
)
from stairhatch.sip.call_leg import CallLeg
from stairhatch.sip.client_transactions import ClientTransactions
from stairhatch.sip.dialog_path import DialogPath
from stairhatch.sip.dialogs import Dialog, SequenceOrder, dialog_key
from stairhatch.sip.digest_auth import AuthenticationResult, CredentialCheck, DigestAuthenticator
from stairhatch.sip.provisional_response import ProvisionalResponse
from stairhatch.sip.rejection import RequestRejection
from stairhatch.sip.reliable_provisional import PrackMatch, ReliableProvisional
from stairhatch.sip.request_dispatcher import RequestDispatcher
from stairhatch.sip.request_head import RequestHead
from stairhatch.sip.responder import Responder
from stairhatch.sip.server_transactions import ServerTransactions, TransactionRecords
from stairhatch.sip.session_descriptions import DescriptionChange, Glare, SessionDescriptions
from stairhatch.sip.session_refresh import SessionRefresh
from stairhatch.sip.session_timer import Refresher, SessionTimer
from stairhatch.sip.success_response import SuccessResponse
from stairhatch.sip.transaction_base import T2, RetransmissionInterval, TransactionState
from stairhatch.sip.transport import SipConnection

Replacement = tuple[Any, str, Any]


def _match_dialogs_without(part: int) -> list[Replacement]:
    """Return a mutation under which requests match dialogs whose key differs from theirs in one part."""
    original = RequestDispatcher._dispatch

    def dispatch(self: RequestDispatcher, transaction: Any, head: RequestHead) -> None:
        request_key = dialog_key(head)
        for key in list(self._dialogs.legs):
            if all(key[i] == request_key[i] for i in range(3) if i != part):
                head.call_id, head.to_tag, head.from_tag = key
        original(self, transaction, head)

    return [(RequestDispatcher, "_dispatch", dispatch)]


def _do_nothing(*_args: Any, **_kwargs: Any) -> None:
    """Do nothing, in place of a method of the program."""


def _retransmit_response_without_limit(self: Any, key: bytes, interval: RetransmissionInterval) -> None:
    """Retransmit a final response every T2, without the time limit of its transaction."""
    transaction = self.find(key)
    if transaction is not None and transaction.state is TransactionState.COMPLETED:
        transaction.flow.send(transaction.last_response)
        self._schedule_retransmission(key, RetransmissionInterval(T2, interval.elapsed_s))


def _retransmit_request_without_limit(self: Any, key: Any, interval: RetransmissionInterval) -> None:
    """Retransmit a request every T2, without the time limit of its transaction."""
    transaction = self.transactions.get(key)
    if transaction is not None:
        transaction.flow.send(transaction.request)
        self._schedule_retransmission(transaction, RetransmissionInterval(T2, interval.elapsed_s))


def _accept_ack_with_any_cseq(self: SuccessResponse, _cseq: int) -> bool:
    """Accept an ACK with any CSeq number as the one for the 2xx."""
    return cast(bool, ORIGINALS["acknowledge"](self, self._cseq))


def _delay_established_until_prack(self: CallLeg, description: bytes) -> None:
    """Delay the 2xx until the reliable provisional response is acknowledged, checked every 0.5 s."""
    reliable = self.provisional.reliable if self.provisional is not None else None
    if reliable is not None and not reliable.acknowledged:
        call_manager = self._agent.context.call_manager
        call_manager.timers.schedule(
            call_manager.clock() + 0.5, lambda: _delay_established_until_prack(self, description)
        )
    else:
        ORIGINALS["established"](self, description)


def _respond_with_new_tag(
    self: Responder, transaction: Any, status: int, extra: Any = None, **options: Any
) -> bytes:
    """Respond with a new To tag in each response."""
    if options.get("tag"):
        options["tag"] = self._context.new_token()
    return cast(bytes, ORIGINALS["respond"](self, transaction, status, extra, **options))


def _respond_without_header(name: str) -> Callable[..., bytes]:
    """Return a `respond` that leaves out one header of each response."""

    def respond(self: Any, transaction: Any, status: int, extra: Any = None, **options: Any) -> bytes:
        kept = [header for header in extra or [] if header[0] != name]
        return cast(bytes, ORIGINALS["respond"](self, transaction, status, kept, **options))

    return respond


def _absorb_all_except(method: str) -> Callable[..., bool]:
    """Return an `absorb` that treats retransmitted requests of a method as new requests."""

    def absorb(self: Any, head: RequestHead, flow: Any) -> bool:
        return False if head.method == method else ORIGINALS["absorb"](self, head, flow)

    return absorb


def _release_call_on_late_cancel(self: RequestDispatcher, transaction: Any, head: RequestHead) -> None:
    """Release the established calls with the Call-ID of a CANCEL, which comes too late to cancel them."""
    for leg in list(self._dialogs.legs.values()):
        if leg.dialog is not None and leg.dialog.call_id == head.call_id and leg.invite is None:
            leg._send_bye(16)
    ORIGINALS["cancel_received"](self, transaction, head)


def _validate_without_statuses(*statuses: int) -> Callable[..., RequestRejection | None]:
    """Return a `validate_request` that accepts the requests to be rejected with one of these statuses."""

    def validate(head: RequestHead) -> RequestRejection | None:
        rejection: RequestRejection | None = ORIGINALS["validate_request"](head)
        return None if rejection is not None and rejection.status in statuses else rejection

    return validate


def _split_at_every_comma(value: str) -> list[str]:
    """Split a header value at every comma, including those inside quotes."""
    return [piece.strip() for piece in value.split(",")]


def _parse_address_with_quoted_tag(text: str) -> grammar.Address:
    """Parse an address and take the tag from the first "tag=" in the text, including one inside quotes."""
    address = ORIGINALS["parse_address"](text)
    tag = text.partition("tag=")[2].split(";")[0].split(">")[0]
    return grammar.Address(address.display, address.uri, {**address.parameters, "tag": tag})


def _negotiate_with_swapped_refresher(message: sip.SipMessage, policy: Any) -> Any:
    """Negotiate a session timer with the caller and the program swapped as refresher."""
    timer = ORIGINALS["negotiate"](message, policy)
    if not isinstance(timer, SessionTimer):
        return timer
    other = Refresher.CALLER if timer.refresher is Refresher.LOCAL else Refresher.LOCAL
    return SessionTimer(timer.interval_s, other, timer.required)


def _negotiate_any_interval(message: sip.SipMessage, policy: Any) -> Any:
    """Accept a session interval that is too short, which is to be rejected with 422, as one of 60 s."""
    result = ORIGINALS["negotiate"](message, policy)
    is_short = isinstance(result, RequestRejection) and result.status == 422
    return SessionTimer(60, Refresher.CALLER, required=True) if is_short else result


def _accept_any_credentials(_self: Any, _method: str, _uri: str, values: Any) -> AuthenticationResult:
    """Accept any credentials as those of the user "office"; a request without any is still challenged."""
    has_values = bool(list(values))
    return AuthenticationResult(CredentialCheck.GOOD, "office") if has_values else NO_CREDENTIALS


def _receive_data_and_close_on_fault(self: SipConnection, data: Any) -> None:
    """Close the connection after any faulty message on it."""
    faults_before = self.faults
    ORIGINALS["receive_data"](self, data)
    self.closing = self.closing or self.faults > faults_before


def _key_without_sent_by(self: RequestHead, method: str) -> bytes:
    """Return a transaction key made from the branch and the method, without the sent-by address."""
    return request_head.identity_hash(self.via.branch, "", method)


def _dispatch_after_trying(self: RequestDispatcher, transaction: Any, head: RequestHead) -> None:
    """Send a 100 to each request other than INVITE before it is processed."""
    if head.method != "INVITE":
        self._agent.responder.respond(transaction, 100, [])
    ORIGINALS["dispatch"](self, transaction, head)


def _send_bye_without_ack(self: CallLeg, cause: int) -> None:
    """Send the BYE of a released call without waiting for the ACK."""
    self.call = None
    self._send_bye(cause)


def _via_without_source(message: sip.SipMessage, index: int, _peer: Any) -> grammar.Via:
    """Return the Via of a request without adding the source address to it."""
    return grammar.parse_via(sip.split_list(message.headers[index][1])[0])


NO_CREDENTIALS = AuthenticationResult(CredentialCheck.NONE)
ORIGINALS: dict[str, Any] = {
    "acknowledge": SuccessResponse.acknowledge,
    "established": CallLeg.established,
    "respond": Responder.respond,
    "absorb": ServerTransactions.absorb,
    "cancel_received": RequestDispatcher._cancel_received,
    "validate_request": request_validation.validate_request,
    "parse_address": grammar.parse_address,
    "negotiate": session_timer.negotiate,
    "receive_data": SipConnection.receive_data,
    "dispatch": RequestDispatcher._dispatch,
}
MUTATIONS: dict[str, list[Replacement]] = {
    "what is over is forgotten at once": [(TransactionRecords, "store", _do_nothing)],
    "the caller's tag is not compared": _match_dialogs_without(2),
    "our tag is not compared": _match_dialogs_without(1),
    "the Call-ID is not compared": _match_dialogs_without(0),
    "the ACK does not end the resending of the 2xx": [(CallLeg, "ack_received", _do_nothing)],
    "an ACK of any number ends the resending": [(SuccessResponse, "acknowledge", _accept_ack_with_any_cseq)],
    "the 2xx is never sent again": [(SuccessResponse, "_retransmit", _do_nothing)],
    "a refusal is never sent again": [(ServerTransactions, "_retransmit", _do_nothing)],
    "a refusal is sent again for ever": [
        (ServerTransactions, "_retransmit", _retransmit_response_without_limit)
    ],
    "an ACK to a refusal is not known": [(ServerTransactions, "absorb", _absorb_all_except("ACK"))],
    "a copy of an INVITE is new": [(ServerTransactions, "absorb", _absorb_all_except("INVITE"))],
    "a copy of a BYE is new": [(ServerTransactions, "absorb", _absorb_all_except("BYE"))],
    "transactions are told apart by the branch alone": [(RequestHead, "key_for", _key_without_sent_by)],
    "a CANCEL ends nothing": [(CallLeg, "cancelled", _do_nothing)],
    "a late CANCEL ends the call": [(RequestDispatcher, "_cancel_received", _release_call_on_late_cancel)],
    "numbers may go back": [(Dialog, "accept_cseq", lambda _self, _cseq: SequenceOrder.IN_ORDER)],
    "BYE goes before the ACK": [(CallLeg, "released", _send_bye_without_ack)],
    "our requests are not sent again": [(ClientTransactions, "_retransmit", _do_nothing)],
    "our requests are sent for ever": [
        (ClientTransactions, "_retransmit", _retransmit_request_without_limit)
    ],
    "an answer to ours is not heard": [
        (ClientTransactions, "response_received", lambda _self, _message: True)
    ],
    "Require is passed over": [(request_validation, "validate_request", _validate_without_statuses(420))],
    "Max-Forwards is passed over": [
        (request_validation, "validate_request", _validate_without_statuses(483))
    ],
    "any scheme is taken": [(request_validation, "validate_request", _validate_without_statuses(416))],
    "the received address is not noted": [(request_head, "_add_source_to_via", _via_without_source)],
    "commas in quotes part a list": [(sip, "split_list", _split_at_every_comma)],
    "a tag in quotes counts": [(grammar, "parse_address", _parse_address_with_quoted_tag)],
    "escapes in a user stay": [(grammar, "unescape", lambda text: text)],
    "Record-Route is dropped": [(CallLeg, "_record_routes", lambda _self: [])],
    "each answer has a tag of its own": [(Responder, "respond", _respond_with_new_tag)],
    "405 lacks Allow": [(Responder, "respond", _respond_without_header("allow"))],
    "the way a caller used last is not kept": [(DialogPath, "follow", _do_nothing)],
    "a session never expires": [(SessionRefresh, "_schedule_check", _do_nothing)],
    "a refresh does not count": [(SessionRefresh, "refreshed", _do_nothing)],
    "any session time is taken": [(session_timer, "negotiate", _negotiate_any_interval)],
    "the refresher is swapped": [(session_timer, "negotiate", _negotiate_with_swapped_refresher)],
    "a changed description is taken": [
        (SessionDescriptions, "compare", lambda _self, _body: DescriptionChange.UNCHANGED)
    ],
    "crossing offers are not told": [
        (session_descriptions, "detect_glare", lambda _local, _remote: Glare.NONE)
    ],
    "a reliable 180 is not sent again": [(ProvisionalResponse, "_retransmit", _do_nothing)],
    "any PRACK is taken": [(ReliableProvisional, "match_prack", lambda _self, _message: PrackMatch.MATCHED)],
    "no 180 is reliable": [(reliable_provisional, "supports_100rel", lambda _message: False)],
    "the 2xx waits for the PRACK": [(CallLeg, "established", _delay_established_until_prack)],
    "any content is taken": [(session_descriptions, "read_description", lambda message: message.body)],
    "any password is good": [(DigestAuthenticator, "authenticate", _accept_any_credentials)],
    "credentials may be used again": [
        (DigestAuthenticator, "_claim_count", lambda _self, _nonce, _count: True)
    ],
    "nonces are good for ever": [(DigestAuthenticator, "_nonce_age_s", lambda _self, _nonce: 0.0)],
    "pings are not answered": [(SipConnection, "_answer_keepalives", _do_nothing)],
    "a bad message ends its stream": [(SipConnection, "receive_data", _receive_data_and_close_on_fault)],
    "other requests get a 100": [(RequestDispatcher, "_dispatch", _dispatch_after_trying)],
    "a call that is over is begun again": [(ServerTransactions, "_record", _do_nothing)],
}


@contextlib.contextmanager
def mutation_applied(name: str) -> Iterator[None]:
    """Apply a mutation for the length of a `with` block. Raises KeyError if no mutation has the name."""
    originals = [(owner, attribute, owner.__dict__[attribute]) for owner, attribute, _ in MUTATIONS[name]]
    for owner, attribute, replacement in MUTATIONS[name]:
        setattr(owner, attribute, replacement)
    _clear_caches()
    try:
        yield
    finally:
        for owner, attribute, original in originals:
            setattr(owner, attribute, original)
        _clear_caches()


def _clear_caches() -> None:
    """Clear the grammar's caches, whose entries were parsed before the mutation was applied or reverted."""
    for cached in (grammar.parse_uri, grammar.parse_address):
        if hasattr(cached, "cache_clear"):
            cached.cache_clear()
