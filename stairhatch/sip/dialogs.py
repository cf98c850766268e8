"""Dialogs (RFC 3261, section 12): their id, route set, remote target and sequence numbers.

This module does not depend on transactions or sessions, and sends nothing. Section numbers below refer to
RFC 3261.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stairhatch.node import sip_message as sip
from stairhatch.sip import grammar
from stairhatch.sip.request_head import RequestHead

DialogKey = tuple[str, str, str]  # Call-ID, local tag, remote tag


class DialogState(Enum):
    """The state of a dialog; a dialog begins in the early state."""

    EARLY = "early"
    CONFIRMED = "confirmed"
    TERMINATED = "terminated"


class SequenceOrder(Enum):
    """The comparison of a request's CSeq with those of earlier requests in its dialog."""

    IN_ORDER = "in order"
    OUT_OF_ORDER = "out of order"  # the request is answered 500 (12.2.2)


@dataclass(eq=False, slots=True, kw_only=True)
class Dialog:
    """A dialog in which we are the called side (UAS)."""

    call_id: str
    local_tag: str
    remote_tag: str
    local: str  # the To header of the INVITE: our address, without tag
    remote: str  # the From header of the INVITE: the caller's address, with its tag
    target: str  # the URI of the remote target (12.2.1.1)
    routes: tuple[str, ...]  # the Record-Route values of the INVITE, unchanged and in their order (12.1.1)
    remote_cseq: int
    local_cseq: int = 0
    state: DialogState = DialogState.EARLY

    @property
    def key(self) -> DialogKey:
        """The dialog id (section 12) by which the dialog of a request is found."""
        return self.call_id, self.local_tag, self.remote_tag

    def accept_cseq(self, cseq: int) -> SequenceOrder:
        """Compare a request's CSeq with the last one, and store it if it is higher.

        Gaps are allowed (12.2.2).
        """
        if cseq <= self.remote_cseq:
            return SequenceOrder.OUT_OF_ORDER
        self.remote_cseq = cseq
        return SequenceOrder.IN_ORDER

    def next_cseq(self) -> int:
        """Increment and return the CSeq number for our next request."""
        self.local_cseq += 1
        return self.local_cseq

    def refresh_target(self, message: sip.SipMessage) -> None:
        """Replace the remote target with the Contact of a message (12.2.2), unless that is not usable."""
        self.target = contact_uri(message) or self.target

    def next_hop(self) -> str:
        """Return the URI to which our next request is sent: the first route, or else the remote target."""
        return grammar.parse_address(self.routes[0]).uri if self.routes else self.target

    def format_request(
        self, method: str, cseq: int, via: str, extra: sip.Headers, body: bytes = b""
    ) -> bytes:
        """Format a request that we send within the dialog, and return its bytes.

        If the first route is a strict router, its URI becomes the request URI and the remote target becomes
        the last route (12.2.1.1).
        """
        uri = self.target
        routes = list(self.routes)
        if routes:
            first_route = self.next_hop()
            if not grammar.parse_uri(first_route).is_loose_router:
                routes = [*routes[1:], f"<{self.target}>"]
                uri = first_route
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
    """Return the URI of a message's Contact.

    Returns "" unless the message has exactly one Contact, with a valid sip or sips URI.
    """
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
    """Create the early dialog of an INVITE that is answered with the local tag `tag` (12.1.1).

    `fallback_target` is the URI of the remote target if the INVITE has no usable Contact. Malformed
    Record-Route values are left out.
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
    """Whether a Record-Route value can be parsed; a request cannot be routed by a malformed one."""
    try:
        grammar.parse_uri(grammar.parse_address(value).uri)
    except grammar.GrammarError:
        return False
    return True


def dialog_key(head: RequestHead) -> DialogKey:
    """Return the id of the dialog that a received request belongs to, by its Call-ID and tags."""
    return head.call_id, head.to_tag, head.from_tag
