"""Parser for SIP messages (RFC 3261, section 7) from datagrams and byte streams, used by both frontends.

The parser handles the start line, header names and Content-Length; `stairhatch.sip.grammar` parses the
contents of headers. It buffers one incomplete message at most.
"""

from __future__ import annotations

import re

from stairhatch.node.sip_message import SipMessage

MAX_MESSAGE_BYTES = 16 * 1024
MAX_SKIPPED_BYTES = 256 * 1024  # a malformed message with a longer body makes the rest of the stream unusable
MAX_CACHED_NAMES, MAX_CACHED_NAME = 512, 64  # entries, characters; bounds the memory for invented names
MAX_LENGTH_DIGITS = 9  # a Content-Length with more digits exceeds every limit
HEAD_END = b"\r\n\r\n"
DECLARED_LENGTH = re.compile(rb"(?:\A|\n)(?:content-length|l)[ \t]*:[ \t]*(\d{1,7})[ \t]*(?=\r|\n|\Z)", re.I)
TOKEN = re.compile(r"[A-Za-z0-9\-.!%*_+`'~]+\Z")
HeaderNames = frozenset[str] | None  # full names in lower case; None: all
COMPACT_NAMES = {  # RFC 3261, section 7.3.3, and the IANA registry of SIP header fields
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
    """Error: a received message is malformed, unsupported or too long.

    `status` is the status code of the response. `partial` is the part of the message that was parsed, from
    which the response is made; None if no response is possible. `is_synchronized` is True if the parser can
    still parse the messages after this one on the stream.
    """

    def __init__(self, status: int, reason: str, partial: SipMessage | None = None) -> None:
        """Create the error; `is_synchronized` is False until the stream parser sets it."""
        super().__init__(reason)
        self.status = status
        self.partial = partial
        self.is_synchronized = False


class _VersionError(Exception):
    """Internal error: a request has another SIP version; its head is parsed again for the 505 response."""

    def __init__(self, message: SipMessage) -> None:
        super().__init__()
        self.message = message


_cached_names: dict[
    str, str
] = {}  # name as received -> full name in lower case; callers repeat the same names


def _read_name(written: str) -> str | None:
    """Return the full header name in lower case and cache it; None if the name is malformed."""
    name = written.strip().lower()
    if not TOKEN.match(name):
        return None
    name = COMPACT_NAMES.get(name, name)
    if len(_cached_names) < MAX_CACHED_NAMES and len(written) <= MAX_CACHED_NAME:
        _cached_names[written] = name
    return name


def _read_lines(head: str, kept: HeaderNames = None) -> SipMessage:
    """Parse the start line and the headers; folded lines are joined and compact names expanded.

    Raises SipError for a malformed header after parsing the others, so that the response can use them.
    """
    lines = head.split("\r\n") if "\r\n" in head else head.split("\n")
    message = _read_start_line(lines[0])
    headers = message.headers
    fault = ""
    is_kept = True
    for line in lines[1:]:
        if line[:1] in (" ", "\t"):
            if headers and is_kept:
                last_name, previous_value = headers[-1]
                headers[-1] = (last_name, f"{previous_value} {line.strip()}".strip())
            continue
        written, colon, value = line.partition(":")
        name = _cached_names.get(written) or _read_name(written)
        if not colon or name is None:
            fault = fault or f"malformed header line {line[:40]!r}"
            continue
        is_kept = kept is None or name in kept
        if is_kept:
            headers.append((name, value.strip()))
    if fault:
        raise SipError(400, fault, message)
    return message


def _read_start_line(line: str) -> SipMessage:
    """Parse a request line or status line into a message without headers."""
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


def _read_head(data: bytes, kept: HeaderNames = None) -> SipMessage:
    """Parse the head of a message. The head of another SIP version is parsed too, for the 505 response."""
    text = data.decode("utf-8", "surrogateescape")
    try:
        return _read_lines(text, kept)
    except _VersionError as unsupported:
        first, _, rest = text.partition("\n")
        try:
            partial = _read_lines(
                f"{unsupported.message.method} {unsupported.message.uri} SIP/2.0\r\n{rest}", kept
            )
        except SipError as error:
            partial = error.partial or unsupported.message
        raise SipError(505, f"unsupported SIP version in {first.strip()[:60]!r}", partial) from None


def _content_length(message: SipMessage) -> int | None:
    """Return the Content-Length, or None if absent. Raises SipError if malformed or contradictory.

    A number with too many digits is returned as a length beyond the limit on messages.
    """
    found = None
    for name, value in message.headers:
        if name == "content-length":
            if not value.isascii() or not value.isdigit() or found not in (None, value):
                raise SipError(400, "malformed or contradictory Content-Length", message)
            found = value
    if found is None:
        return None
    return int(found) if len(found) <= MAX_LENGTH_DIGITS else MAX_MESSAGE_BYTES + 1


def parse_datagram(data: bytes) -> SipMessage:
    """Parse the message in a datagram; bytes beyond Content-Length are dropped (RFC 3261, section 18.3).

    Raises:
        SipError: the message is malformed, too long, or shorter than its Content-Length.
    """
    too_long = len(data) >= MAX_MESSAGE_BYTES  # a datagram that fills the buffer may have been truncated
    head, _, body = data.lstrip(b"\r\n").partition(HEAD_END)
    message = _read_head(head)
    if too_long:
        raise SipError(413, "message is longer than 16 KiB", message)
    length = _content_length(message)
    if length is not None and length > len(body):
        raise SipError(400, "datagram is shorter than its Content-Length", message)
    message.body = body if length is None else body[:length]
    return message


def _declared_length(head: bytes) -> int | None:
    """Return the body length that an unusable head declares; None if missing or contradictory."""
    lengths = {int(text) for text in DECLARED_LENGTH.findall(head)}
    return lengths.pop() if len(lengths) == 1 else None


class StreamParser:
    """Parser that splits a byte stream into messages.

    After a SipError the parser cannot be used any further, unless it was created with `resynchronizes` and
    the error has `is_synchronized` set: it then skips the rest of the malformed message.
    """

    def __init__(self, resynchronizes: bool = False, kept_headers: HeaderNames = None) -> None:
        """Start at the beginning of a stream; `resynchronizes` permits skipping malformed messages.

        Headers that are not in `kept_headers` are checked and left out of the messages. The parsed head of a
        message takes many times the memory of its bytes if its headers are short, and the headers of a
        set-up are held until it is answered.
        """
        self.unanswered_keepalives = 0  # CRLF CRLF between messages, unanswered (RFC 5626, section 4.4.1)
        self._resynchronizes = resynchronizes
        self._kept_headers = kept_headers
        self._data = bytearray()
        self._head = b""  # well-formed head of the message whose body is incomplete; empty: none
        self._body_bytes = 0  # body length of that message
        self._searched_bytes = 0  # length of the start of `_data` that contains no end of a head
        self._skip_bytes = 0  # bytes of a malformed message that are still to be skipped

    def feed(self, data: bytes | memoryview) -> None:
        """Append received bytes to the buffer."""
        self._data += data

    def next_message(self) -> SipMessage | None:
        """Return the next complete message, or None if more bytes are needed.

        Raises:
            SipError: the next message is malformed or too long.
        """
        if self._skip_bytes:
            passed = min(self._skip_bytes, len(self._data))
            del self._data[:passed]
            self._skip_bytes -= passed
        message = None
        if not self._head and (message := self._next_head()) is None:
            return None
        if len(self._data) < self._body_bytes:
            return None
        if message is None:
            message = _read_head(self._head, self._kept_headers)
        message.body = bytes(self._data[: self._body_bytes])
        del self._data[: self._body_bytes]
        self._head = b""
        return message

    def discard(self) -> None:
        """Drop all bytes of a stream that is not parsed any further."""
        self._data = bytearray()
        self._head = b""
        self._skip_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are held for incomplete messages."""
        return len(self._data) + len(self._head)

    @property
    def pending_request(self) -> SipMessage | None:
        """Message whose head has been received and whose body is incomplete; None if there is none."""
        return _read_head(self._head, self._kept_headers) if self._head else None

    def has_partial_message(self) -> bool:
        """Whether part of a message has been received, or skipped, and the rest has not."""
        return bool(self._head) or self._skip_bytes > 0 or bool(self._data.strip(b"\r\n"))

    def _next_head(self) -> SipMessage | None:
        """Parse the next head and keep its bytes; return None if its end has not been received."""
        if not self._data:
            return None
        if self._data[0] in b"\r\n":
            self._drop_keepalives()
        end = self._data.find(HEAD_END, max(0, self._searched_bytes - len(HEAD_END) + 1))
        self._searched_bytes = len(self._data)
        if end < 0 or end + len(HEAD_END) > MAX_MESSAGE_BYTES:
            if len(self._data) > MAX_MESSAGE_BYTES:
                raise self._oversized_head_error()
            return None
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
        self._head, self._body_bytes, self._searched_bytes = head, length, 0
        return message

    def _read_framed_head(self, head: bytes, body_from: int) -> tuple[SipMessage, int]:
        """Return a message without its body, and the length of the body in bytes."""
        message = _read_head(head, self._kept_headers)
        length = _content_length(message)
        if length is None:
            raise SipError(400, "message on a stream has no Content-Length", message)
        if body_from + length > MAX_MESSAGE_BYTES:
            raise SipError(413, "message is longer than 16 KiB", message)
        return message, length

    def _drop_keepalives(self) -> None:
        """Skip line ends between messages, and count complete keep-alives if the parser resynchronizes.

        The parser resynchronizes only for the frontend that answers keep-alives.
        """
        skip = 0
        while skip < len(self._data) and self._data[skip] in b"\r\n":
            skip += 1
        if self._resynchronizes:
            keepalives = self._data[:skip].count(HEAD_END)
            self.unanswered_keepalives += keepalives
            if skip == len(self._data):  # the rest of an incomplete keep-alive may follow
                skip = self._data.rfind(HEAD_END, 0, skip) + 4 if keepalives else max(0, skip - 3)
        del self._data[:skip]
        self._searched_bytes = 0

    def _oversized_head_error(self) -> SipError:
        """Return the error for a head beyond the limit; its first 16 KiB are parsed for the response.

        They are parsed only if the parser resynchronizes; otherwise the message gets no response.
        """
        partial = None
        if self._resynchronizes:
            begin = bytes(self._data[:MAX_MESSAGE_BYTES])
            try:
                partial = _read_head(begin[: begin.rfind(b"\r\n")])
            except SipError as error:
                partial = error.partial
        return SipError(513 if self._resynchronizes else 413, "message head is longer than 16 KiB", partial)
