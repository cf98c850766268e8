"""What every request is known by: owns the reading of its mandatory headers, once, into one frozen-enough
record, the note in its topmost Via of where it came from, and the text that each of its answers repeats. It
must never decide how a request is answered, beyond naming the fault of one that can't be read.
"""

from __future__ import annotations

import re
from hashlib import blake2b

from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.sip import grammar
from stairhatch.sip.grammar import GrammarError, Via

MAGIC = "z9hG4bK"
SIP_PORT = 5060
ONCE = frozenset(
    (
        "from", "to", "call-id", "cseq", "max-forwards", "content-length", "content-type", "expires",
        "session-expires", "min-se", "rack", "rseq", "content-encoding",
    )
)  # fmt: skip
MANDATORY = ("via", "from", "to", "call-id", "cseq")
RECEIVED = re.compile(r"\s*;\s*received\s*=\s*[^;,\s]*", re.I)
EMPTY_RPORT = re.compile(r"(;\s*rport)\s*(?==?\s*(?:;|\Z))=?", re.I)
METHOD = re.compile(r"[A-Za-z0-9\-.!%*_+`'~]+\Z")


class RequestHead:
    """The mandatory headers of a request, read."""

    __slots__ = (
        "call_id",
        "cseq",
        "echo",
        "from_",
        "from_tag",
        "hops",
        "key",
        "message",
        "method",
        "names",
        "oc",
        "to",
        "to_tag",
        "via",
    )  # fmt: skip

    def __init__(self, message: sip.SipMessage, peer: tuple[str, int]) -> None:
        """Read them; SipError with its status for one that is missing, repeated or malformed."""
        self.message, self.method = message, message.method
        found: dict[str, str] = {}
        top = -1
        for index, (name, value) in enumerate(message.headers):
            if name == "via" and top < 0:
                top = index
            elif name in ONCE and found.get(name, value) != value:
                raise sip_parser.SipError(400, f"two {name}", message)
            found[name] = value
        self.names = found.keys()  # of all its headers, to know at once what it has not
        try:
            if top < 0:
                raise GrammarError("no via")
            for name in MANDATORY[1:]:
                if not found.get(name):
                    raise GrammarError(f"no {name}")
            self.via = _mark(message, top, peer)
            self.oc = self.via.parameters.get("oc-algo", "loss") if "oc" in self.via.parameters else ""
            self.call_id = found["call-id"]
            if not self.call_id.isprintable() or " " in self.call_id:
                raise GrammarError("bad Call-ID")
            self.cseq, method = message.cseq()
            if self.cseq < 0 or method != self.method:
                raise GrammarError("bad CSeq")
            self.from_, self.to = found["from"], found["to"]
            self.from_tag = grammar.parse_address(self.from_).tag
            self.to_tag = grammar.parse_address(self.to).tag
            if self.method != "ACK" and not self.from_tag:
                raise GrammarError("no From tag")
            hops = found.get("max-forwards", "70")
            self.hops = 70 if hops == "70" else grammar.whole(hops, 999)
        except GrammarError as error:
            raise sip_parser.SipError(400, str(error), message) from None
        # An ACK belongs to its INVITE's transaction (17.2.3).
        self.key = self.key_of("INVITE" if self.method == "ACK" else self.method)
        self.echo = "" if self.method == "ACK" else echo(message)

    def key_of(self, method: str) -> bytes:
        """What a transaction of this request's branch is found by (RFC 3261, 17.2.3), for any method: a
        CANCEL has the branch of what it cancels (9.2).
        """
        via = self.via
        if via.branch.startswith(MAGIC):
            return digest(via.branch, f"{via.host}:{via.port}", method)
        top = sip.split_list(self.message.get("via"))[0].split(";")[0]  # RFC 2543's rule
        return digest(self.call_id, self.from_tag, str(self.cseq), top, method)

    @property
    def ident(self) -> str:
        """What names the call that it would set up, at the roster servers too. The same request by another
        way has the same (8.2.2.2).
        """
        return digest(self.call_id, self.from_tag, str(self.cseq)).hex()[:16]

    def place(self, peer: tuple[str, int], reliable: bool) -> tuple[str, int]:
        """Where an answer goes that can't go back on its flow, or goes by UDP (18.2.2; RFC 3581)."""
        rport = self.via.parameters.get("rport", "")
        if not reliable and rport == str(peer[1]):
            return peer
        return peer[0], self.via.port or SIP_PORT


def digest(*parts: str) -> bytes:
    """16 bytes that stand for the parts."""
    return blake2b("\0".join(parts).encode("utf-8", "surrogateescape"), digest_size=16).digest()


OC = re.compile(r"\s*;\s*oc(?:-algo|-validity|-seq)?\s*(?:=\s*(?:\"[^\"]*\"|[^;,\s]*))?(?=\s*(?:;|\Z))", re.I)
HERE = "\x01"  # in an answer's topmost Via: what overload control says comes here, or nothing does


def _mark(message: sip.SipMessage, index: int, peer: tuple[str, int]) -> Via:
    """Note in the topmost Via where the request came from (RFC 3261, 18.2.1; RFC 3581, 4). What it says of
    that itself is passed over: a third party would get the answers.
    """
    whole = message.headers[index][1]
    first, *others = sip.split_list(whole) if "," in whole else [whole]
    via = grammar.parse_via(first)
    asks = via.parameters.get("rport") == ""
    knows = "oc" in via.parameters
    if knows:  # what it said it knows gives way to what it is told (RFC 7339, 4)
        first = OC.sub("", first)
    if not asks and not knows and via.host == peer[0] and "received" not in via.parameters:
        return via
    if "received" in via.parameters:
        first = RECEIVED.sub("", first)
    if asks and first.endswith(";rport"):  # as nearly all write it
        first = f"{first}={peer[1]}"
    elif asks:
        first = EMPTY_RPORT.sub(rf"\1={peer[1]}", first, count=1)
    if "rport" in via.parameters or via.host != peer[0]:
        first += f";received={peer[0]}"
    if knows:
        first += HERE
    message.headers[index] = ("via", ", ".join([first, *others]))
    parameters = {**via.parameters, "received": peer[0]}
    if asks:
        parameters["rport"] = str(peer[1])
    return Via(via.transport, via.host, via.port, parameters)


def echo(message: sip.SipMessage) -> str:
    """The lines that every answer repeats (8.2.6), To last so that its tag can follow."""
    lines, to = [], ""
    for name, value in message.headers:
        if name == "via":
            lines.append(f"Via: {value}\r\n")
        elif name == "to" and not to:
            to = f"To: {value}"
        elif name in ("from", "call-id", "cseq"):
            lines.append(f"{sip.WRITTEN_NAMES.get(name) or name.title()}: {value}\r\n")
    return "".join(lines) + to


def render(status: int, echoed: str, tag: str, extra: str = "", body: bytes = b"") -> bytes:
    """The bytes of a response; `extra` is whole header lines, `tag` ours if To has none yet."""
    reason = sip.REASON_PHRASES.get(status, "Unknown")
    if HERE in echoed:
        echoed = echoed.replace(HERE, "")
    mark = f";tag={tag}" if tag else ""
    head = f"SIP/2.0 {status} {reason}\r\n{echoed}{mark}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("utf-8", "surrogateescape") + body


def lines(headers: sip.Headers) -> str:
    """Header lines for `render`."""
    return "".join(f"{sip.WRITTEN_NAMES.get(name) or name.title()}: {value}\r\n" for name, value in headers)
