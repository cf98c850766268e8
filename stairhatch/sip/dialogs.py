"""Dialogs (RFC 3261, section 12): identity, route set, target, and the order of the requests within one.

It knows no transaction and no session, and sends nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stairhatch.node import sip_message as sip
from stairhatch.sip import grammar
from stairhatch.sip.request_head import RequestHead

DialogKey = tuple[str, str, str]  # Call-ID, local tag, remote tag


class DialogState(Enum):
    """The state of a dialog."""

    EARLY = "early"
    CONFIRMED = "confirmed"
    TERMINATED = "terminated"


class SequenceOrder(Enum):
    """How a request's CSeq compares with those before it."""

    IN_ORDER = "in order"
    OUT_OF_ORDER = "out of order"  # answered 500 (12.2.2)


@dataclass(eq=False, slots=True, kw_only=True)
class Dialog:
    """One dialog, of which we are the called side (UAS)."""

    call_id: str
    local_tag: str
    remote_tag: str
    local: str  # our address without tag: the To of the INVITE
    remote: str  # the caller's, with its tag: the From
    target: str  # the remote target (12.2.1.1), as a URI
    routes: tuple[str, ...]  # Record-Route as it came, in its order (12.1.1)
    remote_cseq: int
    local_cseq: int = 0
    state: DialogState = DialogState.EARLY

    @property
    def key(self) -> DialogKey:
        """What its requests are found by."""
        return self.call_id, self.local_tag, self.remote_tag

    def accept_cseq(self, cseq: int) -> SequenceOrder:
        """Take note of a request's sequence number. A gap is no fault (12.2.2)."""
        if cseq <= self.remote_cseq:
            return SequenceOrder.OUT_OF_ORDER
        self.remote_cseq = cseq
        return SequenceOrder.IN_ORDER

    def next_cseq(self) -> int:
        """The sequence number of our next request."""
        self.local_cseq += 1
        return self.local_cseq

    def refresh_target(self, message: sip.SipMessage) -> None:
        """A target refresh request names a new Contact (12.2.2); one that can't be read changes nothing."""
        self.target = contact_uri(message) or self.target

    def next_hop(self) -> str:
        """The URI that our next request is sent to."""
        return grammar.parse_address(self.routes[0]).uri if self.routes else self.target

    def format_request(
        self, method: str, cseq: int, via: str, extra: sip.Headers, body: bytes = b""
    ) -> bytes:
        """The bytes of a request of ours.

        A first route that is a strict router takes the place of the target, which then ends the list of
        routes (12.2.1.1).
        """
        uri = self.target
        routes = list(self.routes)
        if routes:
            hop = self.next_hop()
            if not grammar.parse_uri(hop).is_loose_router:
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
        return sip.request(method, uri, headers, body)


def contact_uri(message: sip.SipMessage) -> str:
    """The URI of the one Contact of a request that makes or refreshes a dialog, "" without a usable one."""
    values = message.get_all("contact")
    if len(values) != 1:
        return ""
    try:
        uri = grammar.parse_address(values[0]).uri
        scheme = grammar.parse_uri(uri).scheme
    except grammar.GrammarError:
        return ""
    return uri if scheme in ("sip", "sips") else ""


def create_dialog(head: RequestHead, tag: str, fallback_target: str) -> Dialog:
    """The dialog of an INVITE that is answered with a local tag (12.1.1).

    `fallback_target` is its target where Contact names none.
    """
    message = head.message
    routes = [value for value in message.get_all("record-route") if _is_route(value)]
    return Dialog(
        call_id=head.call_id,
        local_tag=tag,
        remote_tag=head.from_tag,
        local=head.to,
        remote=head.from_,
        target=contact_uri(message) or fallback_target,
        routes=tuple(routes),
        remote_cseq=head.cseq,
    )


def _is_route(value: str) -> bool:
    """Whether a route can be read; one that can't, can't be followed either."""
    try:
        grammar.parse_uri(grammar.parse_address(value).uri)
    except grammar.GrammarError:
        return False
    return True


def dialog_key(head: RequestHead) -> DialogKey:
    """The dialog that a request names."""
    return head.call_id, head.to_tag, head.from_tag
