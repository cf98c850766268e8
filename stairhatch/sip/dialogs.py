"""Dialogs (RFC 3261, section 12): owns a dialog's identity, its route set and target, and the order of the
requests within it. It must never know a transaction or a session, and never send anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stairhatch.node import sip_message as sip
from stairhatch.sip import grammar
from stairhatch.sip.request_head import RequestHead

Key = tuple[str, str, str]  # Call-ID, our tag, the caller's


class DialogState(Enum):
    """Of a dialog."""

    EARLY = "early"
    CONFIRMED = "confirmed"
    OVER = "over"


class SequenceOrder(Enum):
    """How a request's CSeq stands to those before it."""

    NEXT = "next"
    OLD = "old"  # 500 (12.2.2)


@dataclass(eq=False, slots=True)
class Dialog:
    """One dialog, of which we are the server that was called."""

    call_id: str
    local_tag: str
    remote_tag: str
    local: str  # our address without tag: the To of the INVITE
    remote: str  # the caller's, with its tag: the From
    target: str  # where requests of ours go (12.2.1.1), as a URI
    routes: tuple[str, ...]  # Record-Route as it came, in its order (12.1.1)
    remote_cseq: int
    local_cseq: int = 0
    stage: DialogState = DialogState.EARLY

    @property
    def key(self) -> Key:
        """What its requests are found by."""
        return self.call_id, self.local_tag, self.remote_tag

    def order(self, cseq: int) -> SequenceOrder:
        """Take note of a request's number. A gap is no fault (12.2.2)."""
        if cseq <= self.remote_cseq:
            return SequenceOrder.OLD
        self.remote_cseq = cseq
        return SequenceOrder.NEXT

    def retarget(self, message: sip.SipMessage) -> None:
        """A target refresh request names a new Contact (12.2.2); one that can't be read changes nothing."""
        self.target = contact_of(message) or self.target

    def next_hop(self) -> str:
        """The URI that a request of ours is sent to."""
        return grammar.parse_address(self.routes[0]).uri if self.routes else self.target

    def request(
        self, method: str, cseq: int, via: str, extra: sip.Headers, body: bytes = b""
    ) -> tuple[bytes, str]:
        """The bytes of a request of ours and the URI it is sent to. A first route that is a strict router
        takes the place of the target, which then ends the list of routes (12.2.1.1).
        """
        uri, routes, hop = self.target, list(self.routes), self.next_hop()
        if routes:
            first = grammar.parse_uri(hop)
            if not first.loose:
                routes = [*routes[1:], f"<{self.target}>"]
                uri = hop
        headers = [("via", via), ("max-forwards", "70")]
        headers += [("route", value) for value in routes]
        headers += [
            ("from", f"{self.local};tag={self.local_tag}"),
            ("to", self.remote),
            ("call-id", self.call_id),
            ("cseq", f"{cseq} {method}"),
            *extra,
        ]
        return sip.request(method, uri, headers, body), hop


def contact_of(message: sip.SipMessage) -> str:
    """The URI in the one Contact of a request that makes or refreshes a dialog, "" where there is none that
    can be used.
    """
    values = message.get_all("contact")
    if len(values) != 1:
        return ""
    try:
        uri = grammar.parse_address(values[0]).uri
        return uri if grammar.parse_uri(uri).scheme in ("sip", "sips") else ""
    except grammar.GrammarError:
        return ""


def open_dialog(head: RequestHead, tag: str, fallback: str) -> Dialog:
    """The dialog of an INVITE that is being answered; `fallback` is its target where Contact names none."""
    message = head.message
    routes = []
    for value in message.get_all("record-route"):
        try:
            grammar.parse_uri(grammar.parse_address(value).uri)
        except grammar.GrammarError:
            continue  # a route that can't be read can't be followed either
        routes.append(value)
    return Dialog(
        call_id=head.call_id,
        local_tag=tag,
        remote_tag=head.from_tag,
        local=head.to,
        remote=head.from_,
        target=contact_of(message) or fallback,
        routes=tuple(routes),
        remote_cseq=head.cseq,
    )


def key_of(head: RequestHead) -> Key:
    """The dialog that a request names."""
    return head.call_id, head.to_tag, head.from_tag
