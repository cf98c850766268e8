"""The grammar of SIP header fields (RFC 3261, section 25; RFC 4475 for malformed ones).

Pure functions from text to frozen values: addresses, URIs and their comparison, Via, parameters and single
numbers. What is malformed raises GrammarError; nothing is accepted by a guess that another reader could make
differently.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from functools import lru_cache
from typing import NamedTuple

MAX_ADDRESS_LENGTH = 4096  # characters; a longer one is no address that anybody uses
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
USUAL_VIA = re.compile(
    rf"SIP/2\.0/(UDP|TCP) ({HOST})(?::([0-9]{{1,5}}))?;branch=([A-Za-z0-9\-.!%*_+`'~]+)(;rport)?\Z"
)
HOST_PORT = re.compile(rf"({HOST})(?::([0-9]{{1,9}}))?\Z")
USER = re.compile(r"(?:[A-Za-z0-9\-_.!~*'()&=+$,;?/]|%[0-9A-Fa-f]{2})+\Z")
PASSWORD = re.compile(r"(?:[A-Za-z0-9\-_.!~*'()&=+$,]|%[0-9A-Fa-f]{2})*\Z")
URI_PART = re.compile(r"(?:[A-Za-z0-9\-_.!~*'()\[\]/:&+$?]|%[0-9A-Fa-f]{2})+\Z")
SCHEME = re.compile(r"([A-Za-z][A-Za-z0-9+.\-]*):(.+)\Z", re.DOTALL)
SUBSCRIBER = re.compile(
    r"(?:\+[0-9\-.()]*[0-9][0-9\-.()]*|[0-9A-Fa-f*#\-.()]*[0-9A-Fa-f*#][0-9A-Fa-f*#\-.()]*)\Z"
)
CREDENTIAL = re.compile(rf"\s*({TOKEN})\s*=\s*({QUOTED}|[^\s,\"]+)\s*(?:,|\Z)")
MEDIA_TYPE = re.compile(rf"\s*({TOKEN})\s*/\s*({TOKEN})\s*")
VISUAL_SEPARATORS = str.maketrans("", "", "-.()")  # of a telephone number (RFC 3966, section 3)
ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
QUOTED_PAIR = re.compile(r"\\(.)", re.DOTALL)
DISTINGUISHING_PARAMETERS = (
    "user",
    "ttl",
    "method",
    "maddr",
)  # in one URI alone they make it another (19.1.4)


class GrammarError(ValueError):
    """A header field is malformed; the text is the reason in a few words."""


class UnknownSchemeError(GrammarError):
    """A URI of a scheme that isn't served here (416)."""


def unquote(text: str) -> str:
    """The text of a quoted string, without its quotes and escapes; a token as it is."""
    return QUOTED_PAIR.sub(r"\1", text[1:-1]) if text[:1] == '"' else text


def quote(text: str) -> str:
    """A quoted string. Control characters can't stand in one and become spaces."""
    plain = "".join(char if char >= " " and char != "\x7f" else " " for char in text)
    return '"' + plain.replace("\\", "\\\\").replace('"', '\\"') + '"'


def unescape(text: str) -> str:
    """Decode escapes: `%37` is `7`. Bytes that are no UTF-8 become surrogates, which no text contains."""
    if "%" not in text:
        return text
    raw = ESCAPE.sub(
        lambda escape: bytes((int(escape.group(1), 16),)), text.encode("utf-8", "surrogateescape")
    )
    return raw.decode("utf-8", "surrogateescape")


def parse_parameters(text: str, start: int = 0) -> dict[str, str]:
    """The `;name=value` parameters that make up the rest of a header. A name may occur once (7.3.1)."""
    found: dict[str, str] = {}
    while start < len(text):
        piece = PARAMETER.match(text, start)
        if piece is None:
            if text[start:].strip():
                raise GrammarError(f"malformed parameter at {text[start : start + 20]!r}")
            break
        name = piece.group(1).lower()
        if name in found:
            raise GrammarError(f"two parameters {name[:20]}")
        found[name] = unquote(piece.group(2) or "")
        start = piece.end()
    return found


# ---- addresses ----


@dataclass(frozen=True, slots=True)
class Address:
    """A From, To, Contact, Route or Record-Route value."""

    display: str
    uri: str
    parameters: dict[str, str] = field(hash=False)

    @property
    def tag(self) -> str:
        """The tag, "" if it has none."""
        return self.parameters.get("tag", "")


@lru_cache(maxsize=1024)  # the requests of a call repeat theirs
def parse_address(text: str) -> Address:
    """A name-addr or addr-spec with the header's parameters (20.10).

    Without angle brackets a `;` begins the header's parameters, not the URI's.
    """
    if len(text) > MAX_ADDRESS_LENGTH:
        raise GrammarError("an address is too long")
    found = DISPLAY_NAME.match(text)
    if found is not None:
        end = text.find(">", found.end())
        if end < 0:
            raise GrammarError("no > behind an address")
        uri = text[found.end() : end].strip()
        display = unquote(found.group(1)) if found.group(1) else (found.group(2) or "").strip()
        parameters_start = end + 1
    else:
        uri, display = text.split(";", 1)[0].strip(), ""
        parameters_start = text.index(";") if ";" in text else len(text)
        if "?" in uri or "," in uri or "<" in uri or '"' in uri:
            raise GrammarError("an address that wants angle brackets")
    if not SCHEME.match(uri) or re.search(r"[\s<>\"]", uri):
        raise GrammarError(f"no address in {text[:30]!r}")
    return Address(display, uri, parse_parameters(text, parameters_start))


# ---- URIs ----


@dataclass(frozen=True, slots=True)
class Uri:
    """A `sip`, `sips` or `tel` URI. `user` is unescaped; of `tel` it is the number without separators."""

    scheme: str
    user: str
    password: str | None
    host: str  # in lower case; IPv6 without its brackets
    port: int | None
    parameters: dict[str, str] = field(hash=False)
    headers: dict[str, str] = field(hash=False)

    @property
    def transport(self) -> str:
        """The transport asked for, in lower case; "" for none."""
        return self.parameters.get("transport", "").lower()

    @property
    def is_loose_router(self) -> bool:
        """Whether it names a loose router (19.1.1)."""
        return "lr" in self.parameters


def _uri_parameters(text: str) -> dict[str, str]:
    found: dict[str, str] = {}
    for piece in text.split(";"):
        name, equals, value = piece.partition("=")
        if not URI_PART.match(name) or (equals and not URI_PART.match(value)):
            raise GrammarError(f"malformed URI parameter {piece[:20]!r}")
        name = unescape(name).lower()
        if name in found:
            raise GrammarError(f"two URI parameters {name[:20]}")
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
    """A port's number; None for none. What is out of range is malformed."""
    if text is None:
        return None
    if not 0 < int(text) <= MAX_PORT:
        raise GrammarError(f"no port: {text[:9]}")
    return int(text)


@lru_cache(maxsize=512)  # callers ask for the same few numbers and give the same Contact
def parse_uri(text: str) -> Uri:
    """A `sip`, `sips` or `tel` URI. Raises UnknownSchemeError for others that are well formed."""
    found = SCHEME.match(text)
    if found is None or len(text) > MAX_ADDRESS_LENGTH:
        raise GrammarError(f"no URI: {text[:30]!r}")
    scheme, rest = found.group(1).lower(), found.group(2)
    if scheme == "tel":
        return _tel_uri(rest)
    if scheme not in ("sip", "sips"):
        raise UnknownSchemeError(scheme)
    return _sip_uri(scheme, rest)


def _tel_uri(rest: str) -> Uri:
    number, _, parameters = rest.partition(";")
    if not SUBSCRIBER.match(number):
        raise GrammarError(f"no telephone number: {number[:20]!r}")
    user = number.translate(VISUAL_SEPARATORS)
    return Uri("tel", user, None, "", None, _uri_parameters(parameters) if parameters else {}, {})


def _sip_uri(scheme: str, rest: str) -> Uri:
    userinfo, at, hostport = rest.partition("@")
    user, password = "", None
    if at:
        name, colon, secret = userinfo.partition(":")
        if not USER.match(name) or not PASSWORD.match(secret):
            raise GrammarError("malformed user in a URI")
        user, password = unescape(name), unescape(secret) if colon else None
    else:
        hostport = rest
    hostport, question, headers = hostport.partition("?")
    hostport, semicolon, parameters = hostport.partition(";")
    found = HOST_PORT.match(hostport)
    if found is None or (question and not headers):
        raise GrammarError("malformed host in a URI")
    return Uri(
        scheme,
        user,
        password,
        found.group(1).lower().strip("[]"),
        parse_port(found.group(2)),
        _uri_parameters(parameters) if semicolon else {},
        _uri_headers(headers) if question else {},
    )


def same_uri(one: Uri, other: Uri) -> bool:
    """Whether two URIs name the same resource (RFC 3261, 19.1.4; RFC 3966, section 4 for `tel`).

    A port left out is not the default port written out, and a parameter that both have must be the same in
    both. Those in one alone don't count, but for four of them.
    """
    if one.scheme != other.scheme:
        return False
    if one.scheme == "tel":
        return one.user.lower() == other.user.lower() and _tel_parameters(one) == _tel_parameters(other)
    if (one.user, one.password, one.host, one.port) != (other.user, other.password, other.host, other.port):
        return False
    for name in {*one.parameters, *other.parameters}:
        if name in one.parameters and name in other.parameters:
            if one.parameters[name].lower() != other.parameters[name].lower():
                return False
        elif name in DISTINGUISHING_PARAMETERS:
            return False
    return one.headers == other.headers


def _tel_parameters(uri: Uri) -> dict[str, str]:
    return {name: value.translate(VISUAL_SEPARATORS).lower() for name, value in uri.parameters.items()}


# ---- Via ----


@dataclass(frozen=True, slots=True)
class Via:
    """One Via value (20.42)."""

    transport: str  # in upper case
    host: str  # in lower case; IPv6 without its brackets
    port: int | None  # None: none given, or one that is none
    parameters: dict[str, str] = field(hash=False)

    @property
    def branch(self) -> str:
        """The branch, "" if it has none."""
        return self.parameters.get("branch", "")


def parse_via(text: str) -> Via:
    """One Via value; linear white space may stand around its slashes and colon."""
    usual = USUAL_VIA.match(text)
    if usual is not None:  # nearly all are written so
        transport, host, digits, branch, rport = usual.groups()
        parameters = {"branch": branch, "rport": ""} if rport else {"branch": branch}
        number = int(digits) if digits else None
        port = number if number and number <= MAX_PORT else None
        return Via(transport, host.lower().strip("[]"), port, parameters)
    found = VIA.match(text)
    if found is None:
        raise GrammarError("malformed Via")
    port = int(found.group(3)) if found.group(3) else None
    if port is not None and not 0 < port <= MAX_PORT:
        port = None  # the response goes to the default port; who lies loses only its own
    host = found.group(2).lower().strip("[]")
    return Via(found.group(1).upper(), host, port, parse_parameters(text, found.end()))


# ---- single numbers and small lists ----


def parse_integer(text: str, limit: int = MAX_INTEGER) -> int:
    """A number of digits alone, not beyond `limit` (20, 25.1)."""
    text = text.strip()
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS or int(text) > limit:
        raise GrammarError(f"no number: {text[:12]!r}")
    return int(text)


class DeltaSeconds(NamedTuple):
    """A number of seconds with parameters."""

    seconds: int
    parameters: dict[str, str]


def parse_delta_seconds(text: str) -> DeltaSeconds:
    """A delta-seconds field with parameters, such as Session-Expires or Min-SE (RFC 4028, section 4)."""
    number, semicolon, rest = text.partition(";")
    return DeltaSeconds(parse_integer(number), parse_parameters(semicolon + rest) if semicolon else {})


class MediaType(NamedTuple):
    """A media type in lower case, with its parameters."""

    name: str
    parameters: dict[str, str]


def parse_media_type(text: str) -> MediaType:
    """A Content-Type (20.15)."""
    name, semicolon, rest = text.partition(";")
    words = MEDIA_TYPE.fullmatch(name)
    if words is None:
        raise GrammarError("malformed Content-Type")
    parameters = parse_parameters(semicolon + rest) if semicolon else {}
    return MediaType(f"{words.group(1)}/{words.group(2)}".lower(), parameters)


class RAck(NamedTuple):
    """Which response a PRACK acknowledges."""

    rseq: int
    cseq: int
    method: str


def parse_rack(text: str) -> RAck:
    """A RAck (RFC 3262, 7.2): response number, CSeq number, method."""
    words = text.split()
    if len(words) != 3:
        raise GrammarError("malformed RAck")
    return RAck(parse_integer(words[0]), parse_integer(words[1], MAX_CSEQ), words[2])


class Credentials(NamedTuple):
    """The scheme in lower case and the parameters of an Authorization header."""

    scheme: str
    parameters: dict[str, str]


def parse_credentials(text: str) -> Credentials:
    """The value of an Authorization header (20.7)."""
    scheme, _, rest = text.strip().partition(" ")
    found: dict[str, str] = {}
    start = 0
    while start < len(rest):
        piece = CREDENTIAL.match(rest, start)
        if piece is None:
            raise GrammarError("malformed credentials")
        name = piece.group(1).lower()
        if name in found:
            raise GrammarError(f"two credentials {name[:20]}")
        found[name] = unquote(piece.group(2))
        start = piece.end()
    return Credentials(scheme.lower(), found)
