"""Parses SIP's text form (RFC 3261, section 7): whole messages from datagrams and from byte streams.

Both frontends use it. It knows the start line, the headers' names and Content-Length; what stands inside a
header is read by `stairhatch.sip.grammar`. It buffers one message at most.
"""

from __future__ import annotations

import re

from stairhatch.node.sip_message import SipMessage

MAX_MESSAGE_BYTES = 16 * 1024
MAX_SKIPPED_BYTES = 256 * 1024  # of a message that can't be used; a longer one ends its stream
MAX_CACHED_NAMES, MAX_CACHED_NAME = 512, 64  # names made up by the thousand must not pile up here
MAX_LENGTH_DIGITS = 9  # of a Content-Length; a longer one is beyond every limit
HEAD_END = b"\r\n\r\n"
DECLARED_LENGTH = re.compile(rb"(?:\A|\n)(?:content-length|l)[ \t]*:[ \t]*(\d{1,7})[ \t]*(?=\r|\n|\Z)", re.I)
TOKEN = re.compile(r"[A-Za-z0-9\-.!%*_+`'~]+\Z")
COMPACT_NAMES = {  # RFC 3261, 7.3.3, and the registry of header fields
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


class SipError(ValueError):
    """A message that can't be taken.

    `status` answers it and `partial` is what could be read of it, if it can be answered at all.
    `is_synchronized` says that the messages behind it on a stream can still be read.
    """

    def __init__(self, status: int, why: str, partial: SipMessage | None = None) -> None:
        """Keep what the answer needs; the stream counts as lost until its parser says otherwise."""
        super().__init__(why)
        self.status = status
        self.partial = partial
        self.is_synchronized = False


class _VersionError(Exception):
    """Another version of SIP: the rest is still read, to answer 505."""

    def __init__(self, message: SipMessage) -> None:
        super().__init__()
        self.message = message


_cached_names: dict[str, str] = {}  # as written -> in lower case, written out; callers repeat theirs


def _read_name(written: str) -> str | None:
    """The name of a header; None if it is malformed."""
    name = written.strip().lower()
    if not TOKEN.match(name):
        return None
    name = COMPACT_NAMES.get(name, name)
    if len(_cached_names) < MAX_CACHED_NAMES and len(written) <= MAX_CACHED_NAME:
        _cached_names[written] = name
    return name


def _read_lines(head: str) -> SipMessage:
    """The start line and the headers, unfolded, with compact names written out."""
    lines = head.split("\r\n") if "\r\n" in head else head.split("\n")
    message = _read_start_line(lines[0])
    headers = message.headers
    fault = ""
    for line in lines[1:]:
        if line[:1] in (" ", "\t"):
            if headers:
                last_name, begun = headers[-1]
                headers[-1] = (last_name, f"{begun} {line.strip()}".strip())
            continue
        written, colon, value = line.partition(":")
        name = _cached_names.get(written) or _read_name(written)
        if not colon or name is None:
            fault = fault or f"malformed header {line[:40]!r}"
            continue
        headers.append((name, value.strip()))
    if fault:
        raise SipError(400, fault, message)
    return message


def _read_start_line(line: str) -> SipMessage:
    """A message without headers, from a request line or a status line."""
    words = line.split(" ")
    if words[0].upper() == "SIP/2.0":
        if len(words) < 2 or not re.fullmatch(r"[1-6][0-9][0-9]", words[1]):
            raise SipError(400, "malformed status line")
        return SipMessage(status=int(words[1]))
    if len(words) != 3 or not words[1] or not TOKEN.match(words[0]):
        raise SipError(400, "malformed request line")
    message = SipMessage(method=words[0], uri=words[1])
    if words[2] != "SIP/2.0" and words[2].upper() != "SIP/2.0":
        if not re.fullmatch(r"SIP/\d+\.\d+", words[2], re.I):
            raise SipError(400, "malformed request line")
        raise _VersionError(message)
    return message


def _read_head(data: bytes) -> SipMessage:
    """Parse a head; another version's headers are read too, so that it can be answered."""
    text = data.decode("utf-8", "surrogateescape")
    try:
        return _read_lines(text)
    except _VersionError as other:
        first, _, rest = text.partition("\n")
        try:
            partial = _read_lines(f"{other.message.method} {other.message.uri} SIP/2.0\r\n{rest}")
        except SipError as error:
            partial = error.partial or other.message
        raise SipError(505, f"version in {first.strip()[:60]!r}", partial) from None


def _content_length(message: SipMessage) -> int | None:
    """Content-Length; None if it is absent."""
    found = None
    for name, value in message.headers:
        if name == "content-length":
            if not value.isascii() or not value.isdigit() or found not in (None, value):
                raise SipError(400, "bad Content-Length", message)
            found = value
    if found is None:
        return None
    return int(found) if len(found) <= MAX_LENGTH_DIGITS else MAX_MESSAGE_BYTES + 1


def parse_datagram(data: bytes) -> SipMessage:
    """One message that fills a datagram; a body beyond Content-Length is cut off (RFC 3261, 18.3).

    Raises:
        SipError: it is malformed, too long, or shorter than it says.
    """
    too_long = len(data) >= MAX_MESSAGE_BYTES  # a datagram that fills the buffer may have been cut off
    head, _, body = data.lstrip(b"\r\n").partition(HEAD_END)
    message = _read_head(head)
    if too_long:
        raise SipError(413, "longer than 16 KiB", message)
    length = _content_length(message)
    if length is not None and length > len(body):
        raise SipError(400, "the datagram is shorter than its Content-Length", message)
    message.body = body if length is None else body[:length]
    return message


def _declared_length(head: bytes) -> int | None:
    """The length of the body behind an unusable head; None where it is not given, or given twice."""
    lengths = {int(text) for text in DECLARED_LENGTH.findall(head)}
    return lengths.pop() if len(lengths) == 1 else None


class StreamParser:
    """Cuts a byte stream into messages.

    After a SipError the stream can't be followed any further, unless `resynchronizes` was asked for and the
    error is `is_synchronized`: then what belongs to the bad message is passed over.
    """

    def __init__(self, resynchronizes: bool = False) -> None:
        """Begin at the start of a stream."""
        self.unanswered_keepalives = 0  # CRLF CRLF between messages, not yet answered (RFC 5626, 4.4.1)
        self._resynchronizes = resynchronizes
        self._data = bytearray()
        self._message: SipMessage | None = None  # its head has come
        self._body_bytes = 0  # of that message
        self._searched_bytes = 0  # in which no end of a head was found
        self._skip_bytes = 0  # of a bad message that are still to come

    def feed(self, data: bytes | memoryview) -> None:
        """Add what has come."""
        self._data += data

    def next_message(self) -> SipMessage | None:
        """The next whole message, or None until more has come.

        Raises:
            SipError: what has come is malformed or too long.
        """
        if self._skip_bytes:
            passed = min(self._skip_bytes, len(self._data))
            del self._data[:passed]
            self._skip_bytes -= passed
        if self._message is None and not self._next_head():
            return None
        message = self._message
        if message is None or len(self._data) < self._body_bytes:
            return None
        message.body = bytes(self._data[: self._body_bytes])
        del self._data[: self._body_bytes]
        self._message = None
        return message

    @property
    def pending_request(self) -> SipMessage | None:
        """The request whose body is still awaited."""
        return self._message

    def has_partial_message(self) -> bool:
        """Whether a message has begun and its rest is awaited."""
        return self._message is not None or self._skip_bytes > 0 or bool(self._data.strip(b"\r\n"))

    def _next_head(self) -> bool:
        """Read the next head. False: its end has not come."""
        if not self._data:
            return False
        if self._data[0] in b"\r\n":
            self._drop_keepalives()
        end = self._data.find(HEAD_END, max(0, self._searched_bytes - len(HEAD_END) + 1))
        self._searched_bytes = len(self._data)
        if end < 0 or end + len(HEAD_END) > MAX_MESSAGE_BYTES:
            if len(self._data) > MAX_MESSAGE_BYTES:
                raise self._endless_head()
            return False
        head = bytes(self._data[:end])
        body_from = end + len(HEAD_END)
        try:
            message, length = self._read_framed_head(head, body_from)
        except SipError as error:
            declared = _declared_length(head) if self._resynchronizes else None
            if declared is not None and declared <= MAX_SKIPPED_BYTES:
                error.is_synchronized = True
                del self._data[:body_from]
                self._skip_bytes, self._searched_bytes = declared, 0
            raise
        del self._data[:body_from]
        self._message, self._body_bytes, self._searched_bytes = message, length, 0
        return True

    @staticmethod
    def _read_framed_head(head: bytes, body_from: int) -> tuple[SipMessage, int]:
        """A message without its body, and how long that is."""
        message = _read_head(head)
        length = _content_length(message)
        if length is None:
            raise SipError(400, "no Content-Length on a stream", message)
        if body_from + length > MAX_MESSAGE_BYTES:
            raise SipError(413, "longer than 16 KiB", message)
        return message, length

    def _drop_keepalives(self) -> None:
        """Pass over line ends between messages; whole keep-alives are counted where they are answered."""
        skip = 0
        while skip < len(self._data) and self._data[skip] in b"\r\n":
            skip += 1
        if self._resynchronizes:
            keepalives = self._data[:skip].count(HEAD_END)
            self.unanswered_keepalives += keepalives
            if skip == len(self._data):  # half a keep-alive may wait for its other half
                skip = self._data.rfind(HEAD_END, 0, skip) + 4 if keepalives else max(0, skip - 3)
        del self._data[:skip]
        self._searched_bytes = 0

    def _endless_head(self) -> SipError:
        """A head beyond the limit: answered, where it may be, from its first 16 KiB."""
        partial = None
        if self._resynchronizes:
            begin = bytes(self._data[:MAX_MESSAGE_BYTES])
            try:
                partial = _read_head(begin[: begin.rfind(b"\r\n")])
            except SipError as error:
                partial = error.partial
        return SipError(513 if self._resynchronizes else 413, "head longer than 16 KiB", partial)
