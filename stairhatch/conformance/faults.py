"""Planted faults: owns small changes to the running program's own machines, each of which the suite must
find. They live for the length of a `with` and leave nothing behind. It must never be used on a program that
serves.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any, cast

from stairhatch.node import sip_message as sip
from stairhatch.sip import (
    call_leg,
    dialogs,
    digest_auth,
    frontend,
    grammar,
    request_head,
    sessions,
    transactions,
    transport,
)

Change = tuple[Any, str, Any]


def _loosely(part: int) -> list[Change]:
    """Dialogs are found though one part of their key differs."""
    whole = frontend.SipFrontend._request

    def request(self: frontend.SipFrontend, transaction: Any, head: request_head.RequestHead) -> None:
        named = dialogs.key_of(head)
        for key in list(self.dialogs):
            if all(key[i] == named[i] for i in range(3) if i != part):
                head.call_id, head.to_tag, head.from_tag = key
        whole(self, transaction, head)

    return [(frontend.SipFrontend, "_request", request)]


def _nothing(*words: Any, **named: Any) -> None:
    """In place of something that was done."""


def _no_resend_end(self: Any, key: bytes, gap: float, passed: float) -> None:
    transaction = self.servers.get(key)
    if transaction is not None and transaction.state is transactions.TransactionState.COMPLETED:
        transaction.flow.send(transaction.last)
        self.clockwork.timers.schedule(
            self.clockwork.clock() + 4.0, lambda: _no_resend_end(self, key, gap, passed)
        )


def _ack_any(self: call_leg.CallLeg, cseq: int, message: sip.SipMessage) -> None:
    WHOLE["acked"](self, self.awaited, message)


def _final_held(self: call_leg.CallLeg, description: bytes) -> None:
    if self.ringing is not None and not self.ringing.heard:
        self.front.core.timers.schedule(self.front.core.clock() + 0.5, lambda: _final_held(self, description))
    else:
        WHOLE["established"](self, description)


def _tag_each_time(
    self: frontend.SipFrontend, transaction: Any, status: int, extra: Any, tag: str = "", body: bytes = b""
) -> bytes:
    return cast(bytes, WHOLE["respond"](self, transaction, status, extra, tag and self.token(), body))


def _without(name: str) -> Callable[..., bytes]:
    """Answers without a header."""

    def respond(
        self: Any, transaction: Any, status: int, extra: Any, tag: str = "", body: bytes = b""
    ) -> bytes:
        kept = [line for line in extra if line[0] != name]
        return cast(bytes, WHOLE["respond"](self, transaction, status, kept, tag, body))

    return respond


def _copies_are_new(method: str) -> Callable[..., bool]:
    def known(self: Any, head: request_head.RequestHead, flow: Any) -> bool:
        return False if head.method == method else WHOLE["known"](self, head, flow)

    return known


def _cancel_always(self: frontend.SipFrontend, transaction: Any, head: request_head.RequestHead) -> None:
    for each in list(self.dialogs.values()):
        if each.dialog is not None and each.dialog.call_id == head.call_id and each.invite is None:
            each.bye(16)
    WHOLE["cancel"](self, transaction, head)


def _no_status(*left_out: int) -> Callable[..., Any]:
    """Requests that are found unfit for some reasons are taken all the same."""

    def unfit(self: Any, head: request_head.RequestHead) -> Any:
        fault = WHOLE["unfit"](self, head)
        return None if fault is not None and fault[0] in left_out else fault

    return unfit


def _naive_list(value: str) -> list[str]:
    return [piece.strip() for piece in value.split(",")]


def _naive_tag(text: str) -> grammar.Address:
    whole = WHOLE["read_address"](text)
    tag = text.partition("tag=")[2].split(";")[0].split(">")[0]
    return grammar.Address(whole.display, whole.uri, {**whole.parameters, "tag": tag})


def _negotiate_swapped(message: sip.SipMessage, policy: Any) -> Any:
    timer = WHOLE["negotiate"](message, policy)
    if not isinstance(timer, sessions.SessionTimer):
        return timer
    ours = timer.refresher is sessions.Refresher.OURS
    other = sessions.Refresher.CALLER if ours else sessions.Refresher.OURS
    return sessions.SessionTimer(timer.interval_s, other, timer.required)


def _negotiate_any(message: sip.SipMessage, policy: Any) -> Any:
    told = WHOLE["negotiate"](message, policy)
    is_short = isinstance(told, sessions.Refusal) and told.status == 422
    return sessions.SessionTimer(60, sessions.Refresher.CALLER, True) if is_short else told


def _always_good(self: Any, method: str, uri: str, values: Any) -> digest_auth.Judged:
    found = list(values)
    return (
        digest_auth.Judged(digest_auth.CredentialCheck.GOOD, "office")
        if found
        else digest_auth.Judged(digest_auth.CredentialCheck.NONE)
    )


def _closes(self: transport.SipConnection, data: Any) -> None:
    before = self.faults
    WHOLE["receive_data"](self, data)
    self.closing = self.closing or self.faults > before


def _own_key(self: request_head.RequestHead, method: str) -> bytes:
    return request_head.digest(self.via.branch, "", method)


def _bye_twice(self: Any, branch: str, method: str, gap: float, passed: float) -> None:
    client = self.clients.get((branch, method))
    if client is not None:
        client.flow.send(client.data)
        self.clockwork.timers.schedule(
            self.clockwork.clock() + 4.0, lambda: _bye_twice(self, branch, method, gap, passed)
        )


def _provisional_first(self: frontend.SipFrontend, transaction: Any, head: request_head.RequestHead) -> None:
    if head.method != "INVITE":
        self.respond(transaction, 100, [])
    WHOLE["request"](self, transaction, head)


def _bye_at_once(self: call_leg.CallLeg, cause: int) -> None:
    self.call = None
    self.bye(cause)


def _unmarked(message: sip.SipMessage, index: int, peer: Any) -> grammar.Via:
    return grammar.parse_via(sip.split_list(message.headers[index][1])[0])


WHOLE: dict[str, Any] = {
    "acked": call_leg.CallLeg.acked, "established": call_leg.CallLeg.established,
    "respond": frontend.SipFrontend.respond,
    "known": transactions.Transactions.known, "cancel": frontend.SipFrontend._cancel,
    "unfit": frontend.SipFrontend._unfit, "read_address": grammar.parse_address,
    "negotiate": sessions.negotiate,
    "receive_data": transport.SipConnection.receive_data, "request": frontend.SipFrontend._request,
}  # fmt: skip
T, L, F = transactions.Transactions, call_leg.CallLeg, frontend.SipFrontend
FAULTS: dict[str, list[Change]] = {
    "what is over is forgotten at once": [(transactions.Memory, "keep", _nothing)],
    "the caller's tag is not compared": _loosely(2),
    "our tag is not compared": _loosely(1),
    "the Call-ID is not compared": _loosely(0),
    "the ACK does not end the resending of the 2xx": [(L, "acked", _nothing)],
    "an ACK of any number ends the resending": [(L, "acked", _ack_any)],
    "the 2xx is never sent again": [(L, "_answer_again", _nothing)],
    "a refusal is never sent again": [(T, "_unacked", _nothing)],
    "a refusal is sent again for ever": [(T, "_unacked", _no_resend_end)],
    "an ACK to a refusal is not known": [(T, "known", _copies_are_new("ACK"))],
    "a copy of an INVITE is new": [(T, "known", _copies_are_new("INVITE"))],
    "a copy of a BYE is new": [(T, "known", _copies_are_new("BYE"))],
    "transactions are told apart by the branch alone": [(request_head.RequestHead, "key_of", _own_key)],
    "a CANCEL ends nothing": [(L, "cancelled", _nothing)],
    "a late CANCEL ends the call": [(F, "_cancel", _cancel_always)],
    "numbers may go back": [(dialogs.Dialog, "order", lambda self, cseq: dialogs.SequenceOrder.NEXT)],
    "BYE goes before the ACK": [(L, "released", _bye_at_once)],
    "our requests are not sent again": [(T, "_unheard", _nothing)],
    "our requests are sent for ever": [(T, "_unheard", _bye_twice)],
    "an answer to ours is not heard": [(T, "response", lambda self, message: True)],
    "Require is passed over": [(F, "_unfit", _no_status(420))],
    "Max-Forwards is passed over": [(F, "_unfit", _no_status(483))],
    "any scheme is taken": [(F, "_unfit", _no_status(416))],
    "the received address is not noted": [(request_head, "_mark", _unmarked)],
    "commas in quotes part a list": [(sip, "split_list", _naive_list)],
    "a tag in quotes counts": [(grammar, "parse_address", _naive_tag)],
    "escapes in a user stay": [(grammar, "unescape", lambda text: text)],
    "Record-Route is dropped": [(L, "_routes", lambda self: [])],
    "each answer has a tag of its own": [(F, "respond", _tag_each_time)],
    "405 lacks Allow": [(F, "respond", _without("allow"))],
    "the way a caller used last is not kept": [(L, "came_by", _nothing)],
    "a session never expires": [(L, "_watch", _nothing)],
    "a refresh does not count": [(L, "refreshed", _nothing)],
    "any session time is taken": [(sessions, "negotiate", _negotiate_any)],
    "the refresher is swapped": [(sessions, "negotiate", _negotiate_swapped)],
    "a changed description is taken": [
        (sessions.Descriptions, "compare", lambda self, body: sessions.Offered.SAME)
    ],
    "crossing offers are not told": [(sessions, "crossing", lambda ours, theirs: sessions.Exchange.FREE)],
    "a reliable 180 is not sent again": [(L, "_ring_again", _nothing)],
    "any PRACK is taken": [(sessions.Reliable, "prack", lambda self, message: sessions.Prack.HEARD)],
    "no 180 is reliable": [(sessions, "wants_reliable", lambda message: False)],
    "the 2xx waits for the PRACK": [(L, "established", _final_held)],
    "any content is taken": [(sessions, "read_description", lambda message: message.body)],
    "any password is good": [(digest_auth.DigestAuthenticator, "judge", _always_good)],
    "credentials may be used again": [
        (digest_auth.DigestAuthenticator, "_use", lambda self, nonce, count: True)
    ],
    "nonces are good for ever": [(digest_auth.DigestAuthenticator, "_age", lambda self, nonce: 0.0)],
    "pings are not answered": [(transport.SipConnection, "_pong", _nothing)],
    "a bad message ends its stream": [(transport.SipConnection, "receive_data", _closes)],
    "other requests get a 100": [(F, "_request", _provisional_first)],
    "a call that is over is begun again": [(T, "_remember", _nothing)],
}  # fmt: skip


@contextlib.contextmanager
def planted(name: str) -> Iterator[None]:
    """Run with a fault. KeyError for a name that is none."""
    kept = [(owner, attribute, owner.__dict__[attribute]) for owner, attribute, _ in FAULTS[name]]
    for owner, attribute, new in FAULTS[name]:
        setattr(owner, attribute, new)
    _forget_read()
    try:
        yield
    finally:
        for owner, attribute, old in kept:
            setattr(owner, attribute, old)
        _forget_read()


def _forget_read() -> None:
    """What was read is kept by the grammar: it must be read anew with a fault, and without."""
    for cached in (grammar.parse_uri, grammar.parse_address):
        if hasattr(cached, "cache_clear"):
            cached.cache_clear()
