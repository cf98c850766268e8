"""Mutations of the SIP frontend, each of which the conformance suite must find.

A mutation is a deliberate mistake in the running program's own code. It lasts for the length of a `with` and
leaves nothing behind. It must never be used on a program that serves.
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

Change = tuple[Any, str, Any]


def _matched_loosely(part: int) -> list[Change]:
    """Dialogs are found though one part of their key differs."""
    original = RequestDispatcher._dispatch

    def dispatch(self: RequestDispatcher, transaction: Any, head: RequestHead) -> None:
        named = dialog_key(head)
        for key in list(self._dialogs.legs):
            if all(key[i] == named[i] for i in range(3) if i != part):
                head.call_id, head.to_tag, head.from_tag = key
        original(self, transaction, head)

    return [(RequestDispatcher, "_dispatch", dispatch)]


def _nothing(*_args: Any, **_kwargs: Any) -> None:
    """In place of something that was done."""


def _retransmit_for_ever(self: Any, key: bytes, interval: RetransmissionInterval) -> None:
    transaction = self.find(key)
    if transaction is not None and transaction.state is TransactionState.COMPLETED:
        transaction.flow.send(transaction.last_response)
        self._schedule_retransmission(key, RetransmissionInterval(T2, interval.elapsed_s))


def _request_for_ever(self: Any, key: Any, interval: RetransmissionInterval) -> None:
    transaction = self.transactions.get(key)
    if transaction is not None:
        transaction.flow.send(transaction.request)
        self._schedule_retransmission(transaction, RetransmissionInterval(T2, interval.elapsed_s))


def _acknowledged_by_any(self: SuccessResponse, _cseq: int) -> bool:
    return cast(bool, ORIGINALS["acknowledge"](self, self._cseq))


def _established_after_prack(self: CallLeg, description: bytes) -> None:
    reliable = self.provisional.reliable if self.provisional is not None else None
    if reliable is not None and not reliable.acknowledged:
        core = self._agent.context.core
        core.timers.schedule(core.clock() + 0.5, lambda: _established_after_prack(self, description))
    else:
        ORIGINALS["established"](self, description)


def _tag_each_time(
    self: Responder, transaction: Any, status: int, extra: Any = None, **options: Any
) -> bytes:
    if options.get("tag"):
        options["tag"] = self._context.new_token()
    return cast(bytes, ORIGINALS["respond"](self, transaction, status, extra, **options))


def _without_header(name: str) -> Callable[..., bytes]:
    """Responses without a header."""

    def respond(self: Any, transaction: Any, status: int, extra: Any = None, **options: Any) -> bytes:
        kept = [header for header in extra or [] if header[0] != name]
        return cast(bytes, ORIGINALS["respond"](self, transaction, status, kept, **options))

    return respond


def _copies_are_new(method: str) -> Callable[..., bool]:
    def absorb(self: Any, head: RequestHead, flow: Any) -> bool:
        return False if head.method == method else ORIGINALS["absorb"](self, head, flow)

    return absorb


def _cancel_always(self: RequestDispatcher, transaction: Any, head: RequestHead) -> None:
    for leg in list(self._dialogs.legs.values()):
        if leg.dialog is not None and leg.dialog.call_id == head.call_id and leg.invite is None:
            leg._send_bye(16)
    ORIGINALS["cancel_received"](self, transaction, head)


def _without_status(*statuses: int) -> Callable[..., RequestRejection | None]:
    """Requests that are to be rejected for some reasons are taken all the same."""

    def validate(head: RequestHead) -> RequestRejection | None:
        rejection: RequestRejection | None = ORIGINALS["validate_request"](head)
        return None if rejection is not None and rejection.status in statuses else rejection

    return validate


def _naive_list(value: str) -> list[str]:
    return [piece.strip() for piece in value.split(",")]


def _naive_tag(text: str) -> grammar.Address:
    address = ORIGINALS["parse_address"](text)
    tag = text.partition("tag=")[2].split(";")[0].split(">")[0]
    return grammar.Address(address.display, address.uri, {**address.parameters, "tag": tag})


def _negotiate_swapped(message: sip.SipMessage, policy: Any) -> Any:
    timer = ORIGINALS["negotiate"](message, policy)
    if not isinstance(timer, SessionTimer):
        return timer
    other = Refresher.CALLER if timer.refresher is Refresher.LOCAL else Refresher.LOCAL
    return SessionTimer(timer.interval_s, other, timer.required)


def _negotiate_any(message: sip.SipMessage, policy: Any) -> Any:
    result = ORIGINALS["negotiate"](message, policy)
    is_short = isinstance(result, RequestRejection) and result.status == 422
    return SessionTimer(60, Refresher.CALLER, required=True) if is_short else result


def _always_good(_self: Any, _method: str, _uri: str, values: Any) -> AuthenticationResult:
    has_values = bool(list(values))
    return AuthenticationResult(CredentialCheck.GOOD, "office") if has_values else NO_CREDENTIALS


def _close_on_fault(self: SipConnection, data: Any) -> None:
    faults_before = self.faults
    ORIGINALS["receive_data"](self, data)
    self.closing = self.closing or self.faults > faults_before


def _key_by_branch(self: RequestHead, method: str) -> bytes:
    return request_head.identity_hash(self.via.branch, "", method)


def _provisional_first(self: RequestDispatcher, transaction: Any, head: RequestHead) -> None:
    if head.method != "INVITE":
        self._agent.responder.respond(transaction, 100, [])
    ORIGINALS["dispatch"](self, transaction, head)


def _bye_at_once(self: CallLeg, cause: int) -> None:
    self.call = None
    self._send_bye(cause)


def _unstamped(message: sip.SipMessage, index: int, _peer: Any) -> grammar.Via:
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
MUTATIONS: dict[str, list[Change]] = {
    "what is over is forgotten at once": [(TransactionRecords, "store", _nothing)],
    "the caller's tag is not compared": _matched_loosely(2),
    "our tag is not compared": _matched_loosely(1),
    "the Call-ID is not compared": _matched_loosely(0),
    "the ACK does not end the resending of the 2xx": [(CallLeg, "ack_received", _nothing)],
    "an ACK of any number ends the resending": [(SuccessResponse, "acknowledge", _acknowledged_by_any)],
    "the 2xx is never sent again": [(SuccessResponse, "_retransmit", _nothing)],
    "a refusal is never sent again": [(ServerTransactions, "_retransmit", _nothing)],
    "a refusal is sent again for ever": [(ServerTransactions, "_retransmit", _retransmit_for_ever)],
    "an ACK to a refusal is not known": [(ServerTransactions, "absorb", _copies_are_new("ACK"))],
    "a copy of an INVITE is new": [(ServerTransactions, "absorb", _copies_are_new("INVITE"))],
    "a copy of a BYE is new": [(ServerTransactions, "absorb", _copies_are_new("BYE"))],
    "transactions are told apart by the branch alone": [(RequestHead, "key_for", _key_by_branch)],
    "a CANCEL ends nothing": [(CallLeg, "cancelled", _nothing)],
    "a late CANCEL ends the call": [(RequestDispatcher, "_cancel_received", _cancel_always)],
    "numbers may go back": [(Dialog, "accept_cseq", lambda _self, _cseq: SequenceOrder.IN_ORDER)],
    "BYE goes before the ACK": [(CallLeg, "released", _bye_at_once)],
    "our requests are not sent again": [(ClientTransactions, "_retransmit", _nothing)],
    "our requests are sent for ever": [(ClientTransactions, "_retransmit", _request_for_ever)],
    "an answer to ours is not heard": [
        (ClientTransactions, "response_received", lambda _self, _message: True)
    ],
    "Require is passed over": [(request_validation, "validate_request", _without_status(420))],
    "Max-Forwards is passed over": [(request_validation, "validate_request", _without_status(483))],
    "any scheme is taken": [(request_validation, "validate_request", _without_status(416))],
    "the received address is not noted": [(request_head, "_add_source_to_via", _unstamped)],
    "commas in quotes part a list": [(sip, "split_list", _naive_list)],
    "a tag in quotes counts": [(grammar, "parse_address", _naive_tag)],
    "escapes in a user stay": [(grammar, "unescape", lambda text: text)],
    "Record-Route is dropped": [(CallLeg, "_record_routes", lambda _self: [])],
    "each answer has a tag of its own": [(Responder, "respond", _tag_each_time)],
    "405 lacks Allow": [(Responder, "respond", _without_header("allow"))],
    "the way a caller used last is not kept": [(DialogPath, "follow", _nothing)],
    "a session never expires": [(SessionRefresh, "_schedule_check", _nothing)],
    "a refresh does not count": [(SessionRefresh, "refreshed", _nothing)],
    "any session time is taken": [(session_timer, "negotiate", _negotiate_any)],
    "the refresher is swapped": [(session_timer, "negotiate", _negotiate_swapped)],
    "a changed description is taken": [
        (SessionDescriptions, "compare", lambda _self, _body: DescriptionChange.UNCHANGED)
    ],
    "crossing offers are not told": [
        (session_descriptions, "detect_glare", lambda _local, _remote: Glare.NONE)
    ],
    "a reliable 180 is not sent again": [(ProvisionalResponse, "_retransmit", _nothing)],
    "any PRACK is taken": [(ReliableProvisional, "match_prack", lambda _self, _message: PrackMatch.MATCHED)],
    "no 180 is reliable": [(reliable_provisional, "supports_100rel", lambda _message: False)],
    "the 2xx waits for the PRACK": [(CallLeg, "established", _established_after_prack)],
    "any content is taken": [(session_descriptions, "read_description", lambda message: message.body)],
    "any password is good": [(DigestAuthenticator, "authenticate", _always_good)],
    "credentials may be used again": [
        (DigestAuthenticator, "_claim_count", lambda _self, _nonce, _count: True)
    ],
    "nonces are good for ever": [(DigestAuthenticator, "_nonce_age_s", lambda _self, _nonce: 0.0)],
    "pings are not answered": [(SipConnection, "_answer_keepalives", _nothing)],
    "a bad message ends its stream": [(SipConnection, "receive_data", _close_on_fault)],
    "other requests get a 100": [(RequestDispatcher, "_dispatch", _provisional_first)],
    "a call that is over is begun again": [(ServerTransactions, "_record", _nothing)],
}


@contextlib.contextmanager
def mutation_applied(name: str) -> Iterator[None]:
    """Run with a mutation. KeyError for a name that is none."""
    kept = [(owner, attribute, owner.__dict__[attribute]) for owner, attribute, _ in MUTATIONS[name]]
    for owner, attribute, new in MUTATIONS[name]:
        setattr(owner, attribute, new)
    _clear_caches()
    try:
        yield
    finally:
        for owner, attribute, old in kept:
            setattr(owner, attribute, old)
        _clear_caches()


def _clear_caches() -> None:
    """Have the grammar read anew what it has cached: with a mutation, and without."""
    for cached in (grammar.parse_uri, grammar.parse_address):
        if hasattr(cached, "cache_clear"):
            cached.cache_clear()
