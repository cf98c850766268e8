"""A look at a datagram before it costs a parse: owns the few regular expressions that tell a usual request's
method, transaction and number, and a 503 made of its own lines. It must never guess: what isn't written as
nearly all write it is left to the parser, and what it tells is what the parser would.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from stairhatch.sip.request_head import digest

START = re.compile(rb"([A-Z]{3,10}) sip:([A-Za-z0-9+*#.\-]{1,64})@[^\s@]{1,255} SIP/2\.0\r\n")
VIA = re.compile(
    rb"SIP/2\.0/(?:UDP|TCP) ([A-Za-z0-9.\-]{1,255}|\[[0-9A-Fa-f:.]{2,45}\])(?::([0-9]{1,5}))?"
    rb";branch=(z9hG4bK[A-Za-z0-9\-.!%*_+`'~]{1,200})(;rport)?\Z"
)
NAMED = re.compile(rb"\r\n(?:(via|v|from|f|to|t|call-id|i|cseq)[ \t]*:[ \t]*([^\r\n]*)|[ \t])", re.I)
SHED = b";tag=shed-"  # in the To of a refusal that leaves no trace: its ACK is known by it
FULL_NAMES = {
    b"v": b"Via", b"via": b"Via", b"f": b"From", b"from": b"From", b"i": b"Call-ID", b"call-id": b"Call-ID",
    b"t": b"To", b"to": b"To", b"cseq": b"CSeq",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class RequestScan:
    """What a look tells."""

    method: str
    user: str  # the number called
    key: bytes  # of its transaction
    to: bytes
    echoed: list[tuple[bytes, bytes]]  # what an answer repeats, but To; the topmost Via first of its kind
    rport: bool
    port: int

    @property
    def within(self) -> bool:
        """Whether its To has a tag."""
        return b"tag=" in self.to.lower()

    def unavailable(self, peer: tuple[str, int], tag: str, return_s: int) -> bytes:
        """A 503 for it, with Retry-After and where it came from."""
        mark = f"={peer[1]};received={peer[0]}" if self.rport else f";received={peer[0]}"
        lines, first = [b"SIP/2.0 503 Service Unavailable"], mark.encode()
        for name, value in self.echoed:
            if first and name == b"Via":
                value, first = value + first, b""
            lines.append(name + b": " + value)
        lines.append(b"To: " + self.to + SHED + tag.encode())
        lines.append(b"Retry-After: %d\r\nContent-Length: 0\r\n\r\n" % return_s)
        return b"\r\n".join(lines)

    def place(self, peer: tuple[str, int]) -> tuple[str, int]:
        """Where its answer goes."""
        return peer if self.rport else (peer[0], self.port)


def is_ack_to_shed(data: bytes) -> bool:
    """Whether a datagram acknowledges a refusal that left no trace: nothing is to be done with it."""
    return data.startswith(b"ACK ") and SHED in data


def scan_request(data: bytes) -> RequestScan | None:
    """Look at a datagram; None where only a parse can tell."""
    start = START.match(data)
    end = data.find(b"\r\n\r\n")
    if start is None or end < 0:
        return None
    echoed: list[tuple[bytes, bytes]] = []
    to, via, once = None, None, 0
    for written, value in NAMED.findall(data, start.end() - 2, end):
        if not written:
            return None  # a folded line
        name = FULL_NAMES[written.lower()]
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
            once += 1
        echoed.append((name, value))
    if to is None or via is None or once != 3 or len({name for name, _ in echoed}) != 4:
        return None
    host, digits, branch, rport = via.groups()
    port = int(digits) if digits and 0 < int(digits) < 65536 else None
    method = start.group(1).decode()
    sent_by = f"{host.decode().lower().strip('[]')}:{port}"
    key = digest(branch.decode(), sent_by, "INVITE" if method == "ACK" else method)
    return RequestScan(method, start.group(2).decode(), key, to, echoed, bool(rport), port or 5060)
