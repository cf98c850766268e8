"""The grammar of SIP header fields (RFC 3261, section 25; RFC 4475 for malformed ones).

Pure functions parse text into frozen values: addresses, URIs (with their comparison), Via values, parameters
and single numbers. Malformed text raises GrammarError. Ambiguous text is rejected too, because another SIP
element could interpret it differently.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from functools import lru_cache
from typing import NamedTuple

MAX_ADDRESS_LENGTH = 4096  # characters; no address in practical use is longer
MAX_PORT = 65535
MAX_INTEGER = 2**32 - 1
MAX_CSEQ = 2**31 - 1  # RFC 3261, 8.1.1.5
MAX_DIGITS = 10
TOKEN = r"[A-Za-z0-9\-.!%*_+`'~]+"
QUOTED = r'"(?:[^"\\\x00-\x08\x0a-\x1f\x7f]|\\[\x00-\x09\x0b\x0c\x0e-\x7f])*"'
HOST = r"\[[0-9A-Fa-f:.]{2,45}\]|[A-Za-z0-9](?:[A-Za-z0-9\-._]*[A-Za-z0-9.])?"
PARAMETER = re.compile(rf"\s*;\s*({TOKEN})\s*(?:=\s*({QUOTED}|[^\s;,\"<>=]+)\s*)?")
DISPLAY_NAME = re.compile(rf"\s*(?:({QUOTED})|((?:{TOKEN}\s+)*(?:{TOKEN})?))\s*<")
VIA = re.compile(
    rf"\s*SIP\s*/\s*2\.0\s*/\s*({TOKEN})\s+({HOST})\s*(?::\s*([0-9]{{1,9}}))?\s*(?=;|\Z)", re.IGNORECASE
)
COMMON_VIA = re.compile(
    rf"SIP/2\.0/(UDP|TCP) ({HOST})(?::([0-9]{{1,5}}))?;branch=([A-Za-z0-9\-.!%*_+`'~]+)(;rport)?\Z"
)
HOST_PORT = re.compile(rf"({HOST})(?::([0-9]{{1,9}}))?\Z")
USER = re.compile(r"(?:[A-Za-z0-9\-_.!~*'()&=+$,;?/]|%[0-9A-Fa-f]{2})+\Z")
PASSWORD = re.compile(r"(?:[A-Za-z0-9\-_.!~*'()&=+$,]|%[0-9A-Fa-f]{2})*\Z")
URI_PART = re.compile(r"(?:[A-Za-z0-9\-_.!~*'()\[\]/:&+$?]|%[0-9A-Fa-f]{2})+\Z")
SCHEME = re.compile(r"([A-Za-z][A-Za-z0-9+.\-]*):(.+)\Z", re.DOTALL)
TELEPHONE_SUBSCRIBER = re.compile(
    r"(?:\+[0-9\-.()]*[0-9][0-9\-.()]*|[0-9A-Fa-f*#\-.()]*[0-9A-Fa-f*#][0-9A-Fa-f*#\-.()]*)\Z"
)
CREDENTIALS_PARAMETER = re.compile(rf"\s*({TOKEN})\s*=\s*({QUOTED}|[^\s,\"]+)\s*(?:,|\Z)")
MEDIA_TYPE = re.compile(rf"\s*({TOKEN})\s*/\s*({TOKEN})\s*")
VISUAL_SEPARATORS = str.maketrans("", "", "-.()")  # ignored in a telephone number (RFC 3966, section 3)
ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
QUOTED_PAIR = re.compile(r"\\(.)", re.DOTALL)
DISTINGUISHING_PARAMETERS = (
    "user",
    "ttl",
    "method",
    "maddr",
)  # URIs differ if only one of them has such a parameter (RFC 3261, 19.1.4)


class GrammarError(ValueError):
    """Raised for a malformed header field; its text is a short reason."""


class UnknownSchemeError(GrammarError):
    """Raised for a well-formed URI whose scheme is not supported; the response is 416."""


def unquote(text: str) -> str:
    """Return a quoted string without its quotes and escapes; return a token unchanged."""
    return QUOTED_PAIR.sub(r"\1", text[1:-1]) if text[:1] == '"' else text


def quote(text: str) -> str:
    """Return the text as a quoted string; control characters are not allowed there and become spaces."""
    plain = "".join(char if char >= " " and char != "\x7f" else " " for char in text)
    return '"' + plain.replace("\\", "\\\\").replace('"', '\\"') + '"'


def unescape(text: str) -> str:
    """Decode percent escapes: `%37` becomes `7`.

    Bytes that are not valid UTF-8 become lone surrogates, which never occur in valid text.
    """
    if "%" not in text:
        return text
    raw = ESCAPE.sub(
        lambda escape: bytes((int(escape.group(1), 16),)), text.encode("utf-8", "surrogateescape")
    )
    return raw.decode("utf-8", "surrogateescape")


def parse_parameters(text: str, start: int = 0) -> dict[str, str]:
    """Parse the `;name=value` parameters from `start` to the end of a header value.

    Names are in lower case, values unquoted, "" for a parameter without a value. Raises GrammarError for a
    malformed parameter or a repeated name (RFC 3261, 7.3.1).
    """
    found: dict[str, str] = {}
    while start < len(text):
        piece = PARAMETER.match(text, start)
        if piece is None:
            if text[start:].strip():
                raise GrammarError(f"malformed parameter at {text[start : start + 20]!r}")
            break
        name = piece.group(1).lower()
        if name in found:
            raise GrammarError(f"repeated parameter {name[:20]}")
        found[name] = unquote(piece.group(2) or "")
        start = piece.end()
    return found


# ---- addresses ----


@dataclass(frozen=True, slots=True)
class Address:
    """The value of a From, To, Contact, Route or Record-Route header."""

    display: str
    uri: str
    parameters: dict[str, str] = field(hash=False)

    @property
    def tag(self) -> str:
        """The `tag` parameter, "" if the address has none."""
        return self.parameters.get("tag", "")


@lru_cache(maxsize=1024)  # all requests of a call repeat the same addresses
def parse_address(text: str) -> Address:
    """Parse a name-addr or addr-spec with its header parameters (RFC 3261, 20.10).

    Without angle brackets a `;` begins the header's parameters, not the URI's. Raises GrammarError.
    """
    if len(text) > MAX_ADDRESS_LENGTH:
        raise GrammarError("address is too long")
    found = DISPLAY_NAME.match(text)
    if found is not None:
        end = text.find(">", found.end())
        if end < 0:
            raise GrammarError("address has no closing >")
        uri = text[found.end() : end].strip()
        display = unquote(found.group(1)) if found.group(1) else (found.group(2) or "").strip()
        parameters_start = end + 1
    else:
        uri, display = text.split(";", 1)[0].strip(), ""
        parameters_start = text.index(";") if ";" in text else len(text)
        if "?" in uri or "," in uri or "<" in uri or '"' in uri:
            raise GrammarError("address needs angle brackets")
    if not SCHEME.match(uri) or re.search(r"[\s<>\"]", uri):
        raise GrammarError(f"no valid address in {text[:30]!r}")
    return Address(display, uri, parse_parameters(text, parameters_start))


# ---- URIs ----


@dataclass(frozen=True, slots=True)
class Uri:
    """A `sip`, `sips` or `tel` URI.

    `user` is unescaped; for a `tel` URI it is the telephone number without visual separators.
    """

    scheme: str
    user: str
    password: str | None
    host: str  # in lower case; an IPv6 address without brackets
    port: int | None
    parameters: dict[str, str] = field(hash=False)
    headers: dict[str, str] = field(hash=False)

    @property
    def transport(self) -> str:
        """The `transport` parameter in lower case, "" if the URI has none."""
        return self.parameters.get("transport", "").lower()

    @property
    def is_loose_router(self) -> bool:
        """Whether the URI has the `lr` parameter of a loose router (RFC 3261, 19.1.1)."""
        return "lr" in self.parameters


def _uri_parameters(text: str) -> dict[str, str]:
    found: dict[str, str] = {}
    for piece in text.split(";"):
        name, equals, value = piece.partition("=")
        if not URI_PART.match(name) or (equals and not URI_PART.match(value)):
            raise GrammarError(f"malformed URI parameter {piece[:20]!r}")
        name = unescape(name).lower()
        if name in found:
            raise GrammarError(f"repeated URI parameter {name[:20]}")
        found[name] = unescape(value)
    return found


def _uri_headers(text: str) -> dict[str, str]:
    found: dict[str, str] = {}
    for piece in text.split("&"):
        name, equals, value = piece.partition("=")
        if not equals or not URI_PART.match(name) or (value and not URI_PART.match(value)):
            raise GrammarError(f"malformed URI header {piece[:20]!r}")
        found[unescape(name).lower()] = unescape(value)
    return found


def parse_port(text: str | None) -> int | None:
    """Parse the digits of a port; None if there are none. Raises GrammarError unless 1 to 65535."""
    if text is None:
        return None
    if not 0 < int(text) <= MAX_PORT:
        raise GrammarError(f"port out of range: {text[:9]}")
    return int(text)


@lru_cache(maxsize=512)  # the same few called numbers and Contact URIs recur
def parse_uri(text: str) -> Uri:
    """Parse a `sip`, `sips` or `tel` URI.

    Raises UnknownSchemeError for a well-formed URI of another scheme, and GrammarError for a malformed URI.
    """
    found = SCHEME.match(text)
    if found is None or len(text) > MAX_ADDRESS_LENGTH:
        raise GrammarError(f"not a URI: {text[:30]!r}")
    scheme, rest = found.group(1).lower(), found.group(2)
    if scheme == "tel":
        return _tel_uri(rest)
    if scheme not in ("sip", "sips"):
        raise UnknownSchemeError(scheme)
    return _sip_uri(scheme, rest)


def _tel_uri(rest: str) -> Uri:
    number, _, parameters = rest.partition(";")
    if not TELEPHONE_SUBSCRIBER.match(number):
        raise GrammarError(f"not a telephone number: {number[:20]!r}")
    user = number.translate(VISUAL_SEPARATORS)
    return Uri("tel", user, None, "", None, _uri_parameters(parameters) if parameters else {}, {})


def _sip_uri(scheme: str, rest: str) -> Uri:
    userinfo, at, hostport = rest.partition("@")
    user, password = "", None
    if at:
        name, colon, secret = userinfo.partition(":")
        if not USER.match(name) or not PASSWORD.match(secret):
            raise GrammarError("malformed user part of a URI")
        user, password = unescape(name), unescape(secret) if colon else None
    else:
        hostport = rest
    hostport, question, headers = hostport.partition("?")
    hostport, semicolon, parameters = hostport.partition(";")
    found = HOST_PORT.match(hostport)
    if found is None or (question and not headers):
        raise GrammarError("malformed host or empty headers in a URI")
    return Uri(
        scheme,
        user,
        password,
        found.group(1).lower().strip("[]"),
        parse_port(found.group(2)),
        _uri_parameters(parameters) if semicolon else {},
        _uri_headers(headers) if question else {},
    )


def same_uri(first: Uri, second: Uri) -> bool:
    """Whether two URIs are equivalent (RFC 3261, 19.1.4; RFC 3966, section 4 for `tel`).

    An omitted port differs from an explicit default port. A parameter that both `sip` URIs have must have the
    same value in both. A parameter that only one of them has is ignored, except `DISTINGUISHING_PARAMETERS`.
    """
    if first.scheme != second.scheme:
        return False
    if first.scheme == "tel":
        return first.user.lower() == second.user.lower() and _tel_parameters(first) == _tel_parameters(second)
    if (first.user, first.password, first.host, first.port) != (
        second.user,
        second.password,
        second.host,
        second.port,
    ):
        return False
    for name in {*first.parameters, *second.parameters}:
        if name in first.parameters and name in second.parameters:
            if first.parameters[name].lower() != second.parameters[name].lower():
                return False
        elif name in DISTINGUISHING_PARAMETERS:
            return False
    return first.headers == second.headers


def _tel_parameters(uri: Uri) -> dict[str, str]:
    return {name: value.translate(VISUAL_SEPARATORS).lower() for name, value in uri.parameters.items()}


# ---- Via ----


@dataclass(frozen=True, slots=True)
class Via:
    """One value of a Via header (RFC 3261, 20.42)."""

    transport: str  # in upper case
    host: str  # in lower case; an IPv6 address without brackets
    port: int | None  # None if the port is missing or out of range
    parameters: dict[str, str] = field(hash=False)

    @property
    def branch(self) -> str:
        """The `branch` parameter, "" if the Via has none."""
        return self.parameters.get("branch", "")


def parse_via(text: str) -> Via:
    """Parse one Via value, in which white space is allowed around slashes and colon. Raises GrammarError."""
    common = COMMON_VIA.match(text)
    if common is not None:  # fast path: nearly every Via has this notation
        transport, host, digits, branch, rport = common.groups()
        parameters = {"branch": branch, "rport": ""} if rport else {"branch": branch}
        number = int(digits) if digits else None
        port = number if number and number <= MAX_PORT else None
        return Via(transport, host.lower().strip("[]"), port, parameters)
    found = VIA.match(text)
    if found is None:
        raise GrammarError("malformed Via")
    port = int(found.group(3)) if found.group(3) else None
    if port is not None and not 0 < port <= MAX_PORT:
        port = None  # the response goes to the default port; only the sender of the bad port loses it
    host = found.group(2).lower().strip("[]")
    return Via(found.group(1).upper(), host, port, parse_parameters(text, found.end()))


# ---- numbers, media types and credentials ----


def parse_integer(text: str, limit: int = MAX_INTEGER) -> int:
    """Parse a decimal number of at most `limit` (RFC 3261, 20 and 25.1); GrammarError for any other text."""
    text = text.strip()
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS or int(text) > limit:
        raise GrammarError(f"not a number in range: {text[:12]!r}")
    return int(text)


class DeltaSeconds(NamedTuple):
    """A number of seconds and the header parameters that follow it."""

    seconds: int
    parameters: dict[str, str]


def parse_delta_seconds(text: str) -> DeltaSeconds:
    """Parse a delta-seconds header with parameters, such as Session-Expires or Min-SE (RFC 4028, section 4).

    Raises GrammarError for a malformed number or parameter.
    """
    number, semicolon, rest = text.partition(";")
    return DeltaSeconds(parse_integer(number), parse_parameters(semicolon + rest) if semicolon else {})


class MediaType(NamedTuple):
    """A media type, `type/subtype` in lower case, and its parameters."""

    name: str
    parameters: dict[str, str]


def parse_media_type(text: str) -> MediaType:
    """Parse a Content-Type header (RFC 3261, 20.15). Raises GrammarError."""
    name, semicolon, rest = text.partition(";")
    words = MEDIA_TYPE.fullmatch(name)
    if words is None:
        raise GrammarError("malformed Content-Type")
    parameters = parse_parameters(semicolon + rest) if semicolon else {}
    return MediaType(f"{words.group(1)}/{words.group(2)}".lower(), parameters)


class RAck(NamedTuple):
    """The RAck header of a PRACK: it identifies the provisional response that the PRACK acknowledges."""

    rseq: int
    cseq: int
    method: str


def parse_rack(text: str) -> RAck:
    """Parse a RAck header: response number, CSeq number, method (RFC 3262, 7.2). Raises GrammarError."""
    words = text.split()
    if len(words) != 3:
        raise GrammarError("malformed RAck")
    return RAck(parse_integer(words[0]), parse_integer(words[1], MAX_CSEQ), words[2])


class Credentials(NamedTuple):
    """The scheme, in lower case, and the parameters of an Authorization header."""

    scheme: str
    parameters: dict[str, str]


def parse_credentials(text: str) -> Credentials:
    """Parse the value of an Authorization header (RFC 3261, 20.7).

    Raises GrammarError for a malformed or repeated parameter.
    """
    scheme, _, rest = text.strip().partition(" ")
    found: dict[str, str] = {}
    start = 0
    while start < len(rest):
        piece = CREDENTIALS_PARAMETER.match(rest, start)
        if piece is None:
            raise GrammarError("malformed credentials")
        name = piece.group(1).lower()
        if name in found:
            raise GrammarError(f"repeated credentials parameter {name[:20]}")
        found[name] = unquote(piece.group(2))
        start = piece.end()
    return Credentials(scheme.lower(), found)
