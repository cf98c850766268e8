"""SIP messages of both frontends, and their serialization (RFC 3261, section 7).

The module also extracts what both frontends need: header lists and parameters, the called number, the cause
of a release. `sip_parser` parses messages; `stairhatch.sip.grammar` parses the contents of single headers.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

REASON_PHRASES = {  # RFC 3261, section 21, and RFCs that define further status codes
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
Headers = list[tuple[str, str]]  # (name in lower case, value), in message order
ECHOED_HEADERS = ("via", "from", "to", "call-id", "cseq")
NORMAL_CLEARING = 16  # Q.850 cause of a normal release
MAX_CAUSE = 127  # the largest Q.850 cause
MAX_CSEQ = 2**31 - 1  # RFC 3261, section 8.1.1.5
MAX_CSEQ_DIGITS = 10
MAX_CACHED_NAMES = 64
MALFORMED_CSEQ = (-1, "")


@dataclass(slots=True, eq=False, repr=False)
class SipMessage:
    """SIP request (`method` and `uri` set) or response (`status` set). Header names are in lower case."""

    method: str = ""
    uri: str = ""
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """Return the value of the first header with this name, or `default` if there is none."""
        for key, value in self.headers:
            if key == name:
                return value
        return default

    def get_all(self, name: str) -> list[str]:
        """Return all values of a header in order; a line with commas is split into its values."""
        found: list[str] = []
        for key, value in self.headers:
            if key == name:
                found.extend(split_list(value))
        return found

    def get_lines(self, name: str) -> list[str]:
        """Return the value of each line of a header unsplit, for headers whose values may contain commas."""
        return [value for key, value in self.headers if key == name]

    def cseq(self) -> tuple[int, str]:
        """Return the number and the method of CSeq, or (-1, "") if it is malformed."""
        number, _, method = self.get("cseq").partition(" ")
        if not number.isascii() or not number.isdigit():
            number, method = (*self.get("cseq").split(None, 1), "", "")[:2]  # other white space is allowed
        is_number = number.isascii() and number.isdigit() and len(number) <= MAX_CSEQ_DIGITS
        if not is_number or int(number) > MAX_CSEQ:
            return MALFORMED_CSEQ
        return int(number), method.strip()


QUOTED_OR_COMMA = re.compile(r'"(?:[^"\\]|\\.)*"|<[^>]*>|,')  # only the last alternative separates values


def split_list(value: str) -> list[str]:
    """Split a header value at commas outside quotes and angle brackets; empty values are dropped.

    A value without any comma is returned as the only element, even if empty.
    """
    if "," not in value:
        return [value.strip()]
    pieces, start = [], 0
    for found in QUOTED_OR_COMMA.finditer(value):
        if found.group() == ",":
            pieces.append(value[start : found.start()].strip())
            start = found.end()
    pieces.append(value[start:].strip())
    return [piece for piece in pieces if piece]


PARAMETER = re.compile(r';\s*([^\s;="]+)\s*(?:=\s*("(?:[^"\\]|\\.)*"|[^;"]*))?')
BEFORE_PARAMETERS = re.compile(r'\s*(?:"(?:[^"\\]|\\.)*"|[^"<;])*(?:<[^>]*>)?')
ESCAPED = re.compile(r"\\(.)")


def parameters(value: str) -> dict[str, str]:
    """Return the `;name=value` parameters after the address or first word of a header, names in lower case.

    Text in quotes or angle brackets is skipped. Malformed parts are ignored here; `grammar` reports them.
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
    """Return the user part of a `sip:` or `sips:` URI, without password and parameters; "" if absent."""
    scheme, _, rest = uri.partition(":")
    if scheme.lower() not in ("sip", "sips") or "@" not in rest:
        return ""
    return rest.split("@", 1)[0].split(":")[0].split(";")[0]


WRITTEN_NAMES = {"cseq": "CSeq", "call-id": "Call-ID"}  # other names are title-cased and cached here


def _write_name(name: str) -> str:
    written = name.title()
    if len(WRITTEN_NAMES) < MAX_CACHED_NAMES:
        WRITTEN_NAMES[name] = written
    return written


def render_headers(headers: Headers) -> bytes:
    """Return the bytes of header lines."""
    lines = [f"{WRITTEN_NAMES.get(name) or _write_name(name)}: {value}\r\n" for name, value in headers]
    return "".join(lines).encode("utf-8", "surrogateescape")


def _render(start_line: str, headers: bytes, body: bytes) -> bytes:
    return b"%s\r\n%sContent-Length: %d\r\n\r\n%s" % (
        start_line.encode("utf-8", "surrogateescape"),
        headers,
        len(body),
        body,
    )


def request(method: str, uri: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of a request, with a Content-Length header added."""
    return _render(f"{method} {uri} SIP/2.0", render_headers(headers), body)


def response(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of a response, with its reason phrase and a Content-Length header added."""
    return response_to(b"", status, headers, body)


def response_to(echo: bytes, status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return the bytes of a response that begins with rendered header lines, those that it copies."""
    start_line = f"SIP/2.0 {status} {REASON_PHRASES.get(status, 'Unknown')}"
    return _render(start_line, echo + render_headers(headers), body)


def echoed(message: SipMessage) -> Headers:
    """Return the headers of a request that its responses copy (RFC 3261, section 8.2.6)."""
    return [(name, value) for name, value in message.headers if name in ECHOED_HEADERS]


def render_echo(message: SipMessage) -> bytes:
    """Return the header lines that all responses to a request begin with (RFC 3261, section 8.2.6)."""
    return render_headers(echoed(message))


def called_number(key: str) -> int:
    """Return the called number for the overload control: the value of 16 hex digits, else 0."""
    try:
        return int(key, 16) if len(key) == 16 else 0
    except ValueError:
        return 0


def release_cause(message: SipMessage) -> int:
    """Return the Q.850 cause of the Reason headers (at most 127); 16 (normal clearing) if there is none."""
    for value in message.get_all("reason"):
        cause = parameters(value).get("cause", "")
        if value.lower().startswith("q.850") and cause.isascii() and cause.isdigit():
            return min(MAX_CAUSE, int(cause))
    return NORMAL_CLEARING
