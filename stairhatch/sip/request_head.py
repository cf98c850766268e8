"""The mandatory headers of a request, parsed once, and the keys of its transaction and its call.

The source address of the request is added to its topmost Via. A malformed request raises SipError with the
status to answer; the response to any other request is not decided here.
"""

from __future__ import annotations

import re
from hashlib import blake2b

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.sip import grammar
from stairhatch.sip.addresses import TransportAddress
from stairhatch.sip.grammar import GrammarError, Via
from stairhatch.sip.response_format import OVERLOAD_PLACEHOLDER, copied_headers

MAGIC_COOKIE = "z9hG4bK"  # prefix of a branch made according to RFC 3261 (8.1.1.7)
DEFAULT_PORT = 5060
DEFAULT_MAX_FORWARDS = 70  # if the header is missing (RFC 3261, 16.6)
MAX_MAX_FORWARDS = 999
SINGLE_HEADERS = frozenset(
    (
        "from", "to", "call-id", "cseq", "max-forwards", "content-length", "content-type", "expires",
        "session-expires", "min-se", "rack", "rseq", "content-encoding",
    )
)  # fmt: skip
MANDATORY_HEADERS = ("from", "to", "call-id", "cseq")  # besides Via
RECEIVED_PARAMETER = re.compile(r"\s*;\s*received\s*=\s*[^;,\s]*", re.IGNORECASE)
EMPTY_RPORT = re.compile(r"(;\s*rport)\s*(?==?\s*(?:;|\Z))=?", re.IGNORECASE)
OVERLOAD_PARAMETERS = re.compile(
    r"\s*;\s*oc(?:-algo|-validity|-seq)?\s*(?:=\s*(?:\"[^\"]*\"|[^;,\s]*))?(?=\s*(?:;|\Z))", re.IGNORECASE
)


class RequestHead:
    """The parsed mandatory headers of a request."""

    __slots__ = (
        "call_id",
        "copied",
        "cseq",
        "from_",
        "from_tag",
        "max_forwards",
        "message",
        "method",
        "names",
        "overload_algorithms",
        "to",
        "to_tag",
        "transaction_key",
        "via",
    )

    def __init__(self, message: sip.SipMessage, peer: TransportAddress) -> None:
        """Parse the headers of a request received from `peer`, and add that source to its topmost Via.

        Raises SipError, with the status to answer, for a header that is missing, malformed, or repeated with
        a different value.
        """
        self.message = message
        self.method = message.method
        headers: dict[str, str] = {}
        top_via = -1
        for index, (name, value) in enumerate(message.headers):
            if name == "via" and top_via < 0:
                top_via = index
            elif name in SINGLE_HEADERS and headers.get(name, value) != value:
                raise sip_parser.SipError(400, f"repeated header {name}", message)
            headers[name] = value
        self.names = headers.keys()  # names of all headers, for a fast membership test
        try:
            self._read(headers, top_via, peer)
        except GrammarError as error:
            raise sip_parser.SipError(400, str(error), message) from error
        # An ACK is matched to the transaction of its INVITE (RFC 3261, 17.2.3).
        self.transaction_key = self.key_for("INVITE" if self.method == "ACK" else self.method)
        self.copied = "" if self.method == "ACK" else copied_headers(message)

    def _read(self, headers: dict[str, str], top_via: int, peer: TransportAddress) -> None:
        if top_via < 0:
            raise GrammarError("missing header via")
        for name in MANDATORY_HEADERS:
            if not headers.get(name):
                raise GrammarError(f"missing header {name}")
        self.via = _add_source_to_via(self.message, top_via, peer)
        via_parameters = self.via.parameters
        self.overload_algorithms = via_parameters.get("oc-algo", "loss") if "oc" in via_parameters else ""
        self.call_id = headers["call-id"]
        if not self.call_id.isprintable() or " " in self.call_id:
            raise GrammarError("malformed Call-ID")
        self.cseq, cseq_method = self.message.cseq()
        if self.cseq < 0 or cseq_method != self.method:
            raise GrammarError("CSeq is malformed or names another method")
        self.from_ = headers["from"]
        self.to = headers["to"]
        self.from_tag = grammar.parse_address(self.from_).tag
        self.to_tag = grammar.parse_address(self.to).tag
        if self.method != "ACK" and not self.from_tag:
            raise GrammarError("From has no tag")
        hops = headers.get("max-forwards", "70")
        is_default = hops == "70"  # fast path: nearly every request has this value
        self.max_forwards = (
            DEFAULT_MAX_FORWARDS if is_default else grammar.parse_integer(hops, MAX_MAX_FORWARDS)
        )

    def key_for(self, method: str) -> bytes:
        """Return the key of the transaction of this branch and the given method (RFC 3261, 17.2.3).

        A CANCEL has the same branch as the INVITE that it cancels (9.2), so the key for "INVITE" is the key
        of that INVITE's transaction.
        """
        via = self.via
        if via.branch.startswith(MAGIC_COOKIE):
            return identity_hash(via.branch, f"{via.host}:{via.port}", method)
        top = sip.split_list(self.message.get("via"))[0].split(";")[0]  # the matching rule of RFC 2543
        return identity_hash(self.call_id, self.from_tag, str(self.cseq), top, method)

    @property
    def ident(self) -> str:
        """The identifier of the call that the request would set up, used at the roster servers too.

        A merged request, the same one received by another path, has the same identifier (RFC 3261, 8.2.2.2).
        """
        return identity_hash(self.call_id, self.from_tag, str(self.cseq)).hex()[:16]

    def response_address(self, peer: TransportAddress, reliable: bool) -> TransportAddress:
        """Return the address for a response by UDP, or for one whose flow has ended.

        Sources: RFC 3261, 18.2.2; RFC 3581. `reliable` is whether the request came by a reliable transport.
        """
        rport = self.via.parameters.get("rport", "")
        if not reliable and rport == str(peer[1]):
            return peer
        return peer[0], self.via.port or DEFAULT_PORT


def identity_hash(*parts: str) -> bytes:
    """Return a 16-byte hash that identifies the sequence of parts."""
    return blake2b("\0".join(parts).encode("utf-8", "surrogateescape"), digest_size=16).digest()


def _add_source_to_via(message: sip.SipMessage, index: int, peer: TransportAddress) -> Via:
    """Add the request's source to its topmost Via (RFC 3261, 18.2.1; RFC 3581, 4), and return that Via.

    A `received` parameter from the sender is replaced, as it could direct the responses to a third party. If
    the Via has the `oc` parameter, a placeholder for overload feedback is appended.
    """
    value = message.headers[index][1]
    first, *others = sip.split_list(value) if "," in value else [value]
    via = grammar.parse_via(first)
    requests_rport = via.parameters.get("rport") == ""
    supports_overload_control = "oc" in via.parameters
    if supports_overload_control:  # the overload feedback replaces the caller's parameters (RFC 7339, 4)
        first = OVERLOAD_PARAMETERS.sub("", first)
    if (
        not requests_rport
        and not supports_overload_control
        and via.host == peer[0]
        and "received" not in via.parameters
    ):
        return via
    if "received" in via.parameters:
        first = RECEIVED_PARAMETER.sub("", first)
    if requests_rport and first.endswith(";rport"):  # fast path: the notation of nearly every sender
        first = f"{first}={peer[1]}"
    elif requests_rport:
        first = EMPTY_RPORT.sub(rf"\1={peer[1]}", first, count=1)
    if "rport" in via.parameters or via.host != peer[0]:
        first += f";received={peer[0]}"
    if supports_overload_control:
        first += OVERLOAD_PLACEHOLDER
    message.headers[index] = ("via", ", ".join([first, *others]))
    parameters = {**via.parameters, "received": peer[0]}
    if requests_rport:
        parameters["rport"] = str(peer[1])
    return Via(via.transport, via.host, via.port, parameters)
