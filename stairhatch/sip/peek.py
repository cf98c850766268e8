"""A look at a datagram before it costs a parse: owns the few regular expressions that tell a usual request's
method, transaction and number, and a 503 made of its own lines. It must never guess: what isn't written as
nearly all write it is left to the parser, and what it tells is what the parser would.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from stairhatch.sip.heads import digest

START = re.compile(rb"([A-Z]{3,10}) sip:([A-Za-z0-9+*#.\-]{1,64})@[^\s@]{1,255} SIP/2\.0\r\n")
TOP = re.compile(
    rb"\r\n(?:Via|v): SIP/2\.0/(?:UDP|TCP) ([A-Za-z0-9.\-]{1,255}|\[[0-9A-Fa-f:.]{2,45}\])(?::([0-9]{1,5}))?"
    rb";branch=(z9hG4bK[A-Za-z0-9\-.!%*_+`'~]{1,200})(;rport)?\r\n"
)
ANY_VIA = re.compile(rb"\r\n(?:via|v)[ \t]*:", re.I)
FOLDED = re.compile(rb"\r\n[ \t]")
ECHOED = re.compile(rb"\r\n(Via|v|From|f|Call-ID|i|CSeq|To|t): ([^\r\n]*)")
FULL_NAMES = {b"v": b"Via", b"f": b"From", b"i": b"Call-ID", b"t": b"To"}


@dataclass(frozen=True, slots=True)
class Peek:
    """What a look tells."""

    method: str
    user: str  # the number called
    key: bytes  # of its transaction
    within: bool  # its To has a tag
    head: bytes
    rport: bool
    port: int

    def unavailable(self, peer: tuple[str, int], tag: str, return_s: int) -> bytes:
        """A 503 for it, with Retry-After and where it came from."""
        lines, to, first = [b"SIP/2.0 503 Service Unavailable"], b"", True
        for found in ECHOED.finditer(self.head):
            name, value = FULL_NAMES.get(found.group(1), found.group(1)), found.group(2)
            if name == b"Via" and first:
                first = False
                if self.rport:
                    value += f"={peer[1]}".encode()
                value += f";received={peer[0]}".encode()
            if name == b"To":
                to = value
            else:
                lines.append(name + b": " + value)
        lines.append(b"To: " + to + b";tag=" + tag.encode())
        lines.append(f"Retry-After: {return_s}\r\nContent-Length: 0\r\n\r\n".encode())
        return b"\r\n".join(lines)

    def place(self, peer: tuple[str, int]) -> tuple[str, int]:
        """Where its answer goes."""
        return peer if self.rport else (peer[0], self.port)


def peek(data: bytes) -> Peek | None:
    """Look at a datagram; None where only a parse can tell."""
    start = START.match(data)
    if start is None:
        return None
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    head = data[: end + 2]
    top = TOP.search(head)
    via = ANY_VIA.search(head)
    if top is None or via is None or via.start() != top.start() or FOLDED.search(head):
        return None
    names = [FULL_NAMES.get(found.group(1), found.group(1)) for found in ECHOED.finditer(head)]
    if any(names.count(name) != 1 for name in (b"From", b"To", b"Call-ID", b"CSeq")):
        return None
    method = start.group(1).decode()
    host = top.group(1).decode().lower().strip("[]")
    port = int(top.group(2)) if top.group(2) and 0 < int(top.group(2)) < 65536 else None
    named = "INVITE" if method == "ACK" else method
    to = next(f.group(2) for f in ECHOED.finditer(head) if f.group(1) in (b"To", b"t"))
    return Peek(
        method=method,
        user=start.group(2).decode(),
        key=digest(top.group(3).decode(), f"{host}:{port}", named),
        within=b"tag=" in to.lower(),
        head=head,
        rport=bool(top.group(4)),
        port=port or 5060,
    )
