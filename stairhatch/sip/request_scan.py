"""A scan of a request datagram that costs less than a parse, for use while the processor is overloaded.

A few regular expressions find the method, transaction key and called number of a request in common notation,
and a 503 response is built from the request's own header lines. Any other notation is left to the parser, so
that a scan never returns a value that differs from the parser's.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from stairhatch.sip.addresses import TransportAddress
from stairhatch.sip.grammar import MAX_PORT
from stairhatch.sip.request_head import DEFAULT_PORT, identity_hash

REQUEST_LINE = re.compile(rb"([A-Z]{3,10}) sip:([A-Za-z0-9+*#.\-]{1,64})@[^\s@]{1,255} SIP/2\.0\r\n")
VIA = re.compile(
    rb"SIP/2\.0/(?:UDP|TCP) ([A-Za-z0-9.\-]{1,255}|\[[0-9A-Fa-f:.]{2,45}\])(?::([0-9]{1,5}))?"
    rb";branch=(z9hG4bK[A-Za-z0-9\-.!%*_+`'~]{1,200})(;rport)?\Z"
)
COPIED_HEADER = re.compile(
    rb"\r\n(?:(via|v|from|f|to|t|call-id|i|cseq)[ \t]*:[ \t]*([^\r\n]*)|[ \t])", re.IGNORECASE
)
STATELESS_TAG = b";tag=shed-"  # in the To of a stateless 503; identifies the ACK to it
FULL_NAMES = {
    b"v": b"Via", b"via": b"Via", b"f": b"From", b"from": b"From", b"i": b"Call-ID", b"call-id": b"Call-ID",
    b"t": b"To", b"to": b"To", b"cseq": b"CSeq",
}  # fmt: skip
SINGLE_COPIED_HEADERS = 3  # From, Call-ID and CSeq, each exactly once

CopiedHeaders = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class RequestScan:
    """The parts of a request that a scan found."""

    method: str
    user: str  # the called number
    transaction_key: bytes
    to: bytes
    # The headers that a response copies, except To; the topmost Via precedes the other Via values.
    copied: CopiedHeaders
    rport: bool  # whether the topmost Via has the parameter
    port: int  # of the topmost Via; 5060 if it has no valid port

    @property
    def in_dialog(self) -> bool:
        """Whether the To header has a tag, which only a request within a dialog has."""
        return b"tag=" in self.to.lower()

    def service_unavailable(self, peer: TransportAddress, tag: str, retry_after_s: int) -> bytes:
        """Return the bytes of a 503 response with Retry-After; `peer` is the source of the request.

        `tag` is appended to `STATELESS_TAG` in the To header.
        """
        received = f"={peer[1]};received={peer[0]}" if self.rport else f";received={peer[0]}"
        lines = [b"SIP/2.0 503 Service Unavailable"]
        via_suffix = received.encode()
        for name, value in self.copied:
            if via_suffix and name == b"Via":
                lines.append(b"Via: " + value + via_suffix)
                via_suffix = b""
            else:
                lines.append(name + b": " + value)
        lines.append(b"To: " + self.to + STATELESS_TAG + tag.encode())
        lines.append(b"Retry-After: %d\r\nContent-Length: 0\r\n\r\n" % retry_after_s)
        return b"\r\n".join(lines)

    def response_address(self, peer: TransportAddress) -> TransportAddress:
        """Return the address for the response to a request that came from `peer` by UDP (RFC 3581)."""
        return peer if self.rport else (peer[0], self.port)


def is_ack_to_stateless_response(data: bytes) -> bool:
    """Whether a datagram is the ACK to a stateless 503 response; it needs no further processing."""
    return data.startswith(b"ACK ") and STATELESS_TAG in data


def scan_request(data: bytes) -> RequestScan | None:
    """Scan a datagram; return None if it needs a full parse."""
    start = REQUEST_LINE.match(data)
    end = data.find(b"\r\n\r\n")
    if start is None or end < 0:
        return None
    headers = _find_copied_headers(data, start.end() - 2, end)
    if headers is None:
        return None
    copied, to, via = headers
    host, digits, branch, rport = via.groups()
    port = int(digits) if digits and 0 < int(digits) <= MAX_PORT else None
    method = start.group(1).decode()
    sent_by = f"{host.decode().lower().strip('[]')}:{port}"
    key = identity_hash(branch.decode(), sent_by, "INVITE" if method == "ACK" else method)
    return RequestScan(method, start.group(2).decode(), key, to, copied, bool(rport), port or DEFAULT_PORT)


def _find_copied_headers(
    data: bytes, start: int, end: int
) -> tuple[CopiedHeaders, bytes, re.Match[bytes]] | None:
    """Return the headers that a response copies except To, the To value, and the match of the topmost Via.

    Returns None if a line is folded, a header is missing, a header other than Via is repeated, or the topmost
    Via has an uncommon notation.
    """
    copied: CopiedHeaders = []
    to = via = None
    single_count = 0
    for name_as_sent, value in COPIED_HEADER.findall(data, start, end):
        if not name_as_sent:
            return None  # a folded header line
        name = FULL_NAMES[name_as_sent.lower()]
        if name == b"To":
            if to is not None:
                return None
            to = value
            continue
        if name == b"Via":
            via = via or VIA.match(value)
            if via is None:
                return None
        else:
            single_count += 1
        copied.append((name, value))
    kinds = len({name for name, _ in copied})
    if (
        to is None
        or via is None
        or single_count != SINGLE_COPIED_HEADERS
        or kinds != SINGLE_COPIED_HEADERS + 1
    ):
        return None
    return copied, to, via
