"""SIP messages as both frontends hold them, and how they are written (RFC 3261, section 7).

Also what both read alike from them: lists and parameters in headers, the number called, the cause of a
release. Messages are parsed by `sip_parser`; the grammar of single headers is `stairhatch.sip.grammar`'s.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

REASON_PHRASES = {  # RFC 3261, section 21, and the RFCs that added more
    100: "Trying",
    180: "Ringing",
    183: "Session Progress",
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Request Entity Too Large",
    415: "Unsupported Media Type",
    416: "Unsupported URI Scheme",
    420: "Bad Extension",
    421: "Extension Required",
    422: "Session Interval Too Small",
    469: "Bad Info Package",
    480: "Temporarily Unavailable",
    481: "Call/Transaction Does Not Exist",
    482: "Loop Detected",
    483: "Too Many Hops",
    487: "Request Terminated",
    488: "Not Acceptable Here",
    491: "Request Pending",
    500: "Server Internal Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    504: "Server Time-out",
    505: "Version Not Supported",
    513: "Message Too Large",
}
Headers = list[tuple[str, str]]  # names in lower case, in the order of the message
ECHOED_HEADERS = ("via", "from", "to", "call-id", "cseq")
NORMAL_CLEARING = 16  # the Q.850 cause of a call that has come to its end
MAX_CAUSE = 127  # of Q.850
MAX_CSEQ = 2**31 - 1  # RFC 3261, 8.1.1.5
MAX_CSEQ_DIGITS = 10
MAX_CACHED_NAMES = 64
MALFORMED_CSEQ = (-1, "")


@dataclass(slots=True, eq=False, repr=False)
class SipMessage:
    """A request (with `method` and `uri`) or a response (with `status`). Header names are in lower case."""

    method: str = ""
    uri: str = ""
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """The first header of that name."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    def get_all(self, name: str) -> list[str]:
        """All values of that name, in order, also those that share a line."""
        found: list[str] = []
        for key, value in self.headers:
            if key == name:
                found.extend(split_list(value))
        return found

    def get_lines(self, name: str) -> list[str]:
        """All values of that name as written, one a line: for headers that commas do not separate."""
        return [value for key, value in self.headers if key == name]

    def cseq(self) -> tuple[int, str]:
        """Number and method of CSeq; (-1, "") where it is malformed."""
        number, _, method = self.get("cseq").partition(" ")
        if not number.isascii() or not number.isdigit():
            number, method = (*self.get("cseq").split(None, 1), "", "")[:2]  # other white space is as good
        is_number = number.isascii() and number.isdigit() and len(number) <= MAX_CSEQ_DIGITS
        if not is_number or int(number) > MAX_CSEQ:
            return MALFORMED_CSEQ
        return int(number), method.strip()


COMMA = re.compile(r'"(?:[^"\\]|\\.)*"|<[^>]*>|,')  # commas within the first two part nothing


def split_list(value: str) -> list[str]:
    """Cut a header at its commas, but not inside quotes or angle brackets."""
    if "," not in value:
        return [value.strip()]
    pieces, start = [], 0
    for found in COMMA.finditer(value):
        if found.group() == ",":
            pieces.append(value[start : found.start()].strip())
            start = found.end()
    pieces.append(value[start:].strip())
    return [piece for piece in pieces if piece]


PARAMETER = re.compile(r';\s*([^\s;="]+)\s*(?:=\s*("(?:[^"\\]|\\.)*"|[^;"]*))?')
BEFORE_PARAMETERS = re.compile(r'\s*(?:"(?:[^"\\]|\\.)*"|[^"<;])*(?:<[^>]*>)?')
ESCAPED = re.compile(r"\\(.)")


def parameters(value: str) -> dict[str, str]:
    """The `;name=value` parameters after the address or first word of a header, names in lower case.

    What is in quotes or angle brackets is none. Takes what it can read; `grammar` finds what is malformed.
    """
    before = BEFORE_PARAMETERS.match(value)
    found: dict[str, str] = {}
    for piece in PARAMETER.finditer(value, before.end() if before else 0):
        text = (piece.group(2) or "").strip()
        if text[:1] == '"':
            text = ESCAPED.sub(r"\1", text[1:-1])
        found.setdefault(piece.group(1).lower(), text)
    return found


def user_of(uri: str) -> str:
    """The user part of a `sip:` URI, "" if it has none."""
    scheme, _, rest = uri.partition(":")
    if scheme.lower() not in ("sip", "sips") or "@" not in rest:
        return ""
    return rest.split("@", 1)[0].split(":")[0].split(";")[0]


WRITTEN_NAMES = {"cseq": "CSeq", "call-id": "Call-ID"}  # others are written as Like-This, and cached here


def _write_name(name: str) -> str:
    written = name.title()
    if len(WRITTEN_NAMES) < MAX_CACHED_NAMES:
        WRITTEN_NAMES[name] = written
    return written


def _render(start_line: str, headers: Headers, body: bytes) -> bytes:
    lines = [start_line]
    lines += [f"{WRITTEN_NAMES.get(name) or _write_name(name)}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}\r\n\r\n")
    return "\r\n".join(lines).encode("utf-8", "surrogateescape") + body


def request(method: str, uri: str, headers: Headers, body: bytes = b"") -> bytes:
    """The bytes of a request; Content-Length is added."""
    return _render(f"{method} {uri} SIP/2.0", headers, body)


def response(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """The bytes of a response; Content-Length is added."""
    return _render(f"SIP/2.0 {status} {REASON_PHRASES.get(status, 'Unknown')}", headers, body)


def echoed(message: SipMessage) -> Headers:
    """The headers that every response repeats (RFC 3261, 8.2.6)."""
    return [(name, value) for name, value in message.headers if name in ECHOED_HEADERS]


def called_number(key: str) -> int:
    """The number called, as the overload control wants it: 16 hex digits, else 0."""
    try:
        return int(key, 16) if len(key) == 16 else 0
    except ValueError:
        return 0


def release_cause(message: SipMessage) -> int:
    """The cause in a Reason header; 16 where it says nothing."""
    for value in message.get_all("reason"):
        cause = parameters(value).get("cause", "")
        if value.lower().startswith("q.850") and cause.isascii() and cause.isdigit():
            return min(MAX_CAUSE, int(cause))
    return NORMAL_CLEARING
