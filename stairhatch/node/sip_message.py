"""SIP's text form (RFC 3261, section 7): owns the incremental parser and the writer that both fronts use.
It knows the syntax of whole messages only, what stands inside a header is `grammar`'s: it must never know
transactions, calls, timers or sockets, and must never keep more than one message's worth of bytes.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

MOST_BYTES = 16 * 1024
TOKEN = re.compile(r"[A-Za-z0-9\-.!%*_+`'~]+\Z")
COMPACT = {
    "a": "accept-contact",
    "b": "referred-by",
    "c": "content-type",
    "e": "content-encoding",
    "f": "from",
    "i": "call-id",
    "k": "supported",
    "l": "content-length",
    "m": "contact",
    "o": "event",
    "r": "refer-to",
    "s": "subject",
    "t": "to",
    "u": "allow-events",
    "v": "via",
    "x": "session-expires",
}
REASONS = {
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
Headers = list[tuple[str, str]]


class SipError(ValueError):
    """A message that can't be taken. `partial` is what could be read of it, if it can be answered at all;
    `in_step` tells that the messages behind it on a stream can be read all the same.
    """

    def __init__(self, status: int, why: str, partial: Message | None = None) -> None:
        super().__init__(why)
        self.status, self.partial, self.in_step = status, partial, False


@dataclass(slots=True)
class Message:
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

    def all(self, name: str) -> list[str]:
        """All values of that name, in order, also those that share a line."""
        found: list[str] = []
        for key, value in self.headers:
            if key == name:
                found.extend(split_list(value))
        return found

    def all_lines(self, name: str) -> list[str]:
        """All values of that name as they stand, one a line: of headers that commas don't part."""
        return [value for key, value in self.headers if key == name]

    def cseq(self) -> tuple[int, str]:
        """Number and method of CSeq; (-1, "") where it is malformed."""
        number, _, method = self.get("cseq").partition(" ")
        if not number.isascii() or not number.isdigit():
            number, method = (*self.get("cseq").split(None, 1), "", "")[:2]  # other white space is as good
        if not number.isascii() or not number.isdigit() or len(number) > 10 or int(number) >= 2**31:
            return -1, ""
        return int(number), method.strip()


APART = re.compile(r'"(?:[^"\\]|\\.)*"|<[^>]*>|,')  # commas within the first two part nothing


def split_list(value: str) -> list[str]:
    """Cut a header at its commas, but not inside quotes or angle brackets."""
    if "," not in value:
        return [value.strip()]
    pieces, start = [], 0
    for found in APART.finditer(value):
        if found.group() == ",":
            pieces.append(value[start : found.start()].strip())
            start = found.end()
    pieces.append(value[start:].strip())
    return [piece for piece in pieces if piece]


PARAMETER = re.compile(r';\s*([^\s;="]+)\s*(?:=\s*("(?:[^"\\]|\\.)*"|[^;"]*))?')
BEFORE = re.compile(r'\s*(?:"(?:[^"\\]|\\.)*"|[^"<;])*(?:<[^>]*>)?')
ESCAPED = re.compile(r"\\(.)")


def parameters(value: str) -> dict[str, str]:
    """The `;name=value` parameters after the address or first word of a header, names in lower case. What is
    in quotes or angle brackets is none. Takes what it can read; `grammar` tells what is malformed.
    """
    before = BEFORE.match(value)
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


_names: dict[str, str] = {}  # header names as written -> in lower case, written out; callers repeat theirs


def _name(written: str) -> str:
    """The name of a header, "" if it is none."""
    name = written.strip().lower()
    if not TOKEN.match(name):
        return ""
    name = COMPACT.get(name, name)
    if len(_names) < 512 and len(written) <= 64:  # names made up by the thousand must not pile up here
        _names[written] = name
    return name


def _parse_head(head: str) -> Message:
    """The start line and the headers, unfolded, with compact names written out."""
    lines = head.split("\r\n") if "\r\n" in head else head.split("\n")
    message = _start_line(lines[0])
    headers = message.headers
    fault = ""
    for line in lines[1:]:
        if line[:1] in (" ", "\t"):
            if headers:
                name, value = headers[-1]
                headers[-1] = (name, f"{value} {line.strip()}".strip())
            continue
        written, colon, value = line.partition(":")
        name = _names.get(written) or _name(written)
        if not colon or not name:
            fault = fault or f"malformed header {line[:40]!r}"
            continue
        headers.append((name, value.strip()))
    if fault:
        raise SipError(400, fault, message)
    return message


def _start_line(line: str) -> Message:
    words = line.split(" ")
    if words[0].upper() == "SIP/2.0":
        if len(words) < 2 or not re.fullmatch(r"[1-6][0-9][0-9]", words[1]):
            raise SipError(400, "malformed status line")
        return Message(status=int(words[1]))
    if len(words) != 3 or not words[1] or not TOKEN.match(words[0]):
        raise SipError(400, "malformed request line")
    message = Message(method=words[0], uri=words[1])
    if words[2] != "SIP/2.0" and words[2].upper() != "SIP/2.0":
        if not re.fullmatch(r"SIP/\d+\.\d+", words[2], re.I):
            raise SipError(400, "malformed request line")
        raise _VersionError(message)
    return message


class _VersionError(Exception):
    """Another version of SIP: the rest is still read, to answer 505."""

    def __init__(self, message: Message) -> None:
        super().__init__()
        self.message = message


def _head(data: bytes) -> Message:
    """Parse a head; another version's headers are read too, so that it can be answered."""
    text = data.decode("utf-8", "surrogateescape")
    try:
        return _parse_head(text)
    except _VersionError as other:
        first, _, rest = text.partition("\n")
        try:
            partial = _parse_head(f"{other.message.method} {other.message.uri} SIP/2.0\r\n{rest}")
        except SipError as error:
            partial = error.partial or other.message
        raise SipError(505, f"version in {first.strip()[:60]!r}", partial) from None


def _length(message: Message) -> int | None:
    """Content-Length; None if it is absent."""
    found = None
    for name, value in message.headers:
        if name == "content-length":
            if not value.isascii() or not value.isdigit() or found not in (None, value):
                raise SipError(400, "bad Content-Length", message)
            found = value
    if found is None:
        return None
    return int(found) if len(found) < 10 else MOST_BYTES + 1


def parse_datagram(data: bytes) -> Message:
    """One message that fills a datagram; a body beyond Content-Length is cut off (RFC 3261, 18.3)."""
    too_long = len(data) >= MOST_BYTES  # a datagram that fills the buffer may have been cut off
    head, _, body = data.lstrip(b"\r\n").partition(b"\r\n\r\n")
    message = _head(head)
    if too_long:
        raise SipError(413, "longer than 16 KiB", message)
    length = _length(message)
    if length is not None and length > len(body):
        raise SipError(400, "the datagram is shorter than its Content-Length", message)
    message.body = body if length is None else body[:length]
    return message


LENGTH = re.compile(rb"(?:\A|\n)(?:content-length|l)[ \t]*:[ \t]*(\d{1,7})[ \t]*(?=\r|\n|\Z)", re.I)
MOST_SKIPPED = 256 * 1024  # of a message that can't be used; a longer one ends its stream


def _told_length(head: bytes) -> int:
    """How long the body behind a head is that can't be used otherwise; -1 where that isn't told, or twice."""
    told = {int(text) for text in LENGTH.findall(head)}
    return told.pop() if len(told) == 1 else -1


class StreamParser:
    """Cuts a byte stream into messages. After a SipError the stream can't be followed any further, unless
    `stays` was asked for and the error is `in_step`: then what belongs to the bad message is passed over.
    """

    def __init__(self, stays: bool = False) -> None:
        self.pings = 0  # CRLF CRLF between messages, not yet answered (RFC 5626, 4.4.1)
        self._stays = stays
        self._data = bytearray()
        self._message: Message | None = None
        self._length = 0
        self._seen = 0
        self._skip = 0  # bytes of a bad message that are still to come

    def feed(self, data: bytes | memoryview) -> None:
        """Add what has come."""
        self._data += data

    def next(self) -> Message | None:
        """The next whole message, or None until more has come."""
        if self._skip:
            passed = min(self._skip, len(self._data))
            del self._data[:passed]
            self._skip -= passed
        if self._message is None and not self._next_head():
            return None
        message = self._message
        if message is None or len(self._data) < self._length:
            return None
        message.body = bytes(self._data[: self._length])
        del self._data[: self._length]
        self._message = None
        return message

    @property
    def begun(self) -> Message | None:
        """The request whose body is still awaited."""
        return self._message

    def partial(self) -> bool:
        """Whether a message has begun and its rest is awaited."""
        return self._message is not None or self._skip > 0 or bool(self._data.strip(b"\r\n"))

    def _next_head(self) -> bool:
        if not self._data:
            return False
        skip = 0
        while skip < len(self._data) and self._data[skip] in b"\r\n":
            skip += 1  # keep-alives between messages
        if skip:
            if self._stays:
                pings = self._data[:skip].count(b"\r\n\r\n")
                self.pings += pings
                if skip == len(self._data):  # half a ping may wait for its other half
                    skip = self._data.rfind(b"\r\n\r\n", 0, skip) + 4 if pings else max(0, skip - 3)
            del self._data[:skip]
            self._seen = 0
        end = self._data.find(b"\r\n\r\n", max(0, self._seen - 3))
        self._seen = len(self._data)
        if end < 0 or end + 4 > MOST_BYTES:
            if len(self._data) > MOST_BYTES:
                raise self._endless_head()
            return False
        head = bytes(self._data[:end])
        try:
            message = _head(head)
            length = _length(message)
            if length is None:
                raise SipError(400, "no Content-Length on a stream", message)
            if end + 4 + length > MOST_BYTES:
                raise SipError(413, "longer than 16 KiB", message)
        except SipError as error:
            if self._stays and 0 <= (told := _told_length(head)) <= MOST_SKIPPED:
                error.in_step = True
                del self._data[: end + 4]
                self._skip, self._seen = told, 0
            raise
        del self._data[: end + 4]
        self._message, self._length, self._seen = message, length, 0
        return True

    def _endless_head(self) -> SipError:
        """A head beyond the limit: answered, where it may be, from its first 16 KiB."""
        partial = None
        if self._stays:
            begin = bytes(self._data[:MOST_BYTES])
            try:
                partial = _head(begin[: begin.rfind(b"\r\n")])
            except SipError as error:
                partial = error.partial
        return SipError(513 if self._stays else 413, "head longer than 16 KiB", partial)


NAMES = {"cseq": "CSeq", "call-id": "Call-ID"}  # others are written as Like-This, and kept here


def _title(name: str) -> str:
    written = name.title()
    if len(NAMES) < 64:
        NAMES[name] = written
    return written


def _write(first: str, headers: Headers, body: bytes) -> bytes:
    lines = [first]
    lines += [f"{NAMES.get(name) or _title(name)}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}\r\n\r\n")
    return "\r\n".join(lines).encode("utf-8", "surrogateescape") + body


def request(method: str, uri: str, headers: Headers, body: bytes = b"") -> bytes:
    """The bytes of a request; Content-Length is added."""
    return _write(f"{method} {uri} SIP/2.0", headers, body)


def response(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """The bytes of a response; Content-Length is added."""
    return _write(f"SIP/2.0 {status} {REASONS.get(status, 'Unknown')}", headers, body)


def echoed(message: Message) -> Headers:
    """The headers that every response repeats (RFC 3261, 8.2.6)."""
    wanted = ("via", "from", "to", "call-id", "cseq")
    return [(name, value) for name, value in message.headers if name in wanted]


# ---- what both fronts read alike ----

NORMAL = 16  # the Q.850 cause of a call that has come to its end


def called_number(key: str) -> int:
    """The number called, as the decisions want it: 16 hex digits, else 0."""
    try:
        return int(key, 16) if len(key) == 16 else 0
    except ValueError:
        return 0


def release_cause(message: Message) -> int:
    """The cause in a Reason header; 16 where it says nothing."""
    for value in message.all("reason"):
        cause = parameters(value).get("cause", "")
        if value.lower().startswith("q.850") and cause.isascii() and cause.isdigit():
            return min(127, int(cause))
    return NORMAL
