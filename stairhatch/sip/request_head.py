"""The mandatory headers of a request, read once, and what identifies its transaction and its call.

The topmost Via is stamped with where the request came from. A request that cannot be read is named with its
fault; how any other is answered is not decided here.
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

MAGIC_COOKIE = "z9hG4bK"  # begins the branch of whoever follows RFC 3261 (8.1.1.7)
DEFAULT_PORT = 5060
DEFAULT_MAX_FORWARDS = 70  # where the header is missing (RFC 3261, 16.6)
MAX_MAX_FORWARDS = 999
SINGLE_HEADERS = frozenset(
    (
        "from", "to", "call-id", "cseq", "max-forwards", "content-length", "content-type", "expires",
        "session-expires", "min-se", "rack", "rseq", "content-encoding",
    )
)  # fmt: skip
MANDATORY_HEADERS = ("from", "to", "call-id", "cseq")  # beside Via
RECEIVED_PARAMETER = re.compile(r"\s*;\s*received\s*=\s*[^;,\s]*", re.IGNORECASE)
EMPTY_RPORT = re.compile(r"(;\s*rport)\s*(?==?\s*(?:;|\Z))=?", re.IGNORECASE)
OVERLOAD_PARAMETERS = re.compile(
    r"\s*;\s*oc(?:-algo|-validity|-seq)?\s*(?:=\s*(?:\"[^\"]*\"|[^;,\s]*))?(?=\s*(?:;|\Z))", re.IGNORECASE
)


class RequestHead:
    """The mandatory headers of a request."""

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
        """Read a request that came from `peer`.

        Raises SipError, with the status to answer, for a header that is missing, repeated or malformed.
        """
        self.message = message
        self.method = message.method
        headers: dict[str, str] = {}
        top_via = -1
        for index, (name, value) in enumerate(message.headers):
            if name == "via" and top_via < 0:
                top_via = index
            elif name in SINGLE_HEADERS and headers.get(name, value) != value:
                raise sip_parser.SipError(400, f"two {name}", message)
            headers[name] = value
        self.names = headers.keys()  # of all its headers, for a quick test of absence
        try:
            self._read(headers, top_via, peer)
        except GrammarError as error:
            raise sip_parser.SipError(400, str(error), message) from error
        # An ACK belongs to its INVITE's transaction (17.2.3).
        self.transaction_key = self.key_for("INVITE" if self.method == "ACK" else self.method)
        self.copied = "" if self.method == "ACK" else copied_headers(message)

    def _read(self, headers: dict[str, str], top_via: int, peer: TransportAddress) -> None:
        if top_via < 0:
            raise GrammarError("no via")
        for name in MANDATORY_HEADERS:
            if not headers.get(name):
                raise GrammarError(f"no {name}")
        self.via = _stamp_via(self.message, top_via, peer)
        via_parameters = self.via.parameters
        self.overload_algorithms = via_parameters.get("oc-algo", "loss") if "oc" in via_parameters else ""
        self.call_id = headers["call-id"]
        if not self.call_id.isprintable() or " " in self.call_id:
            raise GrammarError("bad Call-ID")
        self.cseq, cseq_method = self.message.cseq()
        if self.cseq < 0 or cseq_method != self.method:
            raise GrammarError("bad CSeq")
        self.from_ = headers["from"]
        self.to = headers["to"]
        self.from_tag = grammar.parse_address(self.from_).tag
        self.to_tag = grammar.parse_address(self.to).tag
        if self.method != "ACK" and not self.from_tag:
            raise GrammarError("no From tag")
        hops = headers.get("max-forwards", "70")
        usual = hops == "70"  # as nearly all have it
        self.max_forwards = DEFAULT_MAX_FORWARDS if usual else grammar.parse_integer(hops, MAX_MAX_FORWARDS)

    def key_for(self, method: str) -> bytes:
        """The key of a transaction with this request's branch (RFC 3261, 17.2.3), for any method.

        A CANCEL has the branch of what it cancels (9.2).
        """
        via = self.via
        if via.branch.startswith(MAGIC_COOKIE):
            return identity_hash(via.branch, f"{via.host}:{via.port}", method)
        top = sip.split_list(self.message.get("via"))[0].split(";")[0]  # RFC 2543's rule
        return identity_hash(self.call_id, self.from_tag, str(self.cseq), top, method)

    @property
    def ident(self) -> str:
        """What names the call that it would set up, at the roster servers too.

        The same request by another path has the same (8.2.2.2).
        """
        return identity_hash(self.call_id, self.from_tag, str(self.cseq)).hex()[:16]

    def response_address(self, peer: TransportAddress, reliable: bool) -> TransportAddress:
        """Where a response goes that goes by UDP, or cannot go back on its flow (18.2.2; RFC 3581)."""
        rport = self.via.parameters.get("rport", "")
        if not reliable and rport == str(peer[1]):
            return peer
        return peer[0], self.via.port or DEFAULT_PORT


def identity_hash(*parts: str) -> bytes:
    """16 bytes that stand for the parts."""
    return blake2b("\0".join(parts).encode("utf-8", "surrogateescape"), digest_size=16).digest()


def _stamp_via(message: sip.SipMessage, index: int, peer: TransportAddress) -> Via:
    """Note in the topmost Via where the request came from (RFC 3261, 18.2.1; RFC 3581, 4).

    What it says of that itself is passed over: a third party would get the responses.
    """
    value = message.headers[index][1]
    first, *others = sip.split_list(value) if "," in value else [value]
    via = grammar.parse_via(first)
    asks_rport = via.parameters.get("rport") == ""
    knows_overload = "oc" in via.parameters
    if knows_overload:  # the caller's parameters are replaced by the feedback (RFC 7339, 4)
        first = OVERLOAD_PARAMETERS.sub("", first)
    if not asks_rport and not knows_overload and via.host == peer[0] and "received" not in via.parameters:
        return via
    if "received" in via.parameters:
        first = RECEIVED_PARAMETER.sub("", first)
    if asks_rport and first.endswith(";rport"):  # as nearly all write it
        first = f"{first}={peer[1]}"
    elif asks_rport:
        first = EMPTY_RPORT.sub(rf"\1={peer[1]}", first, count=1)
    if "rport" in via.parameters or via.host != peer[0]:
        first += f";received={peer[0]}"
    if knows_overload:
        first += OVERLOAD_PLACEHOLDER
    message.headers[index] = ("via", ", ".join([first, *others]))
    parameters = {**via.parameters, "received": peer[0]}
    if asks_rport:
        parameters["rport"] = str(peer[1])
    return Via(via.transport, via.host, via.port, parameters)
