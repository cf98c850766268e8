"""What stands inside SIP's headers (RFC 3261, section 25; RFC 4475 for how it goes wrong): owns addresses,
URIs and their comparison, Via, and the fields that are single numbers. Pure functions from text to frozen
values; what is malformed raises GrammarError. It must never know a transaction or a policy, and never accept
by guessing what two readers could read differently.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from functools import lru_cache

MOST_TEXT = 4096  # characters of one address; a longer one is no address that anybody uses
TOKEN = r"[A-Za-z0-9\-.!%*_+`'~]+"
QUOTED = r'"(?:[^"\\\x00-\x08\x0a-\x1f\x7f]|\\[\x00-\x09\x0b\x0c\x0e-\x7f])*"'
HOST = r"\[[0-9A-Fa-f:.]{2,45}\]|[A-Za-z0-9](?:[A-Za-z0-9\-._]*[A-Za-z0-9.])?"
PARAMETER = re.compile(rf"\s*;\s*({TOKEN})\s*(?:=\s*({QUOTED}|[^\s;,\"<>=]+)\s*)?")
DISPLAY = re.compile(rf"\s*(?:({QUOTED})|((?:{TOKEN}\s+)*(?:{TOKEN})?))\s*<")
VIA = re.compile(rf"\s*SIP\s*/\s*2\.0\s*/\s*({TOKEN})\s+({HOST})\s*(?::\s*([0-9]{{1,9}}))?\s*(?=;|\Z)", re.I)
USUAL_VIA = re.compile(
    rf"SIP/2\.0/(UDP|TCP) ({HOST})(?::([0-9]{{1,5}}))?;branch=([A-Za-z0-9\-.!%*_+`'~]+)(;rport)?\Z"
)
HOST_PORT = re.compile(rf"({HOST})(?::([0-9]{{1,9}}))?\Z")
USER = re.compile(r"(?:[A-Za-z0-9\-_.!~*'()&=+$,;?/]|%[0-9A-Fa-f]{2})+\Z")
PASSWORD = re.compile(r"(?:[A-Za-z0-9\-_.!~*'()&=+$,]|%[0-9A-Fa-f]{2})*\Z")
URI_PART = re.compile(r"(?:[A-Za-z0-9\-_.!~*'()\[\]/:&+$?]|%[0-9A-Fa-f]{2})+\Z")
SCHEME = re.compile(r"([A-Za-z][A-Za-z0-9+.\-]*):(.+)\Z", re.S)
SUBSCRIBER = re.compile(
    r"(?:\+[0-9\-.()]*[0-9][0-9\-.()]*|[0-9A-Fa-f*#\-.()]*[0-9A-Fa-f*#][0-9A-Fa-f*#\-.()]*)\Z"
)
SEPARATORS = str.maketrans("", "", "-.()")
ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
QUOTED_PAIR = re.compile(r"\\(.)", re.S)
ALIKE_OR_NONE = ("user", "ttl", "method", "maddr")  # in one URI alone they make it another (19.1.4)


class GrammarError(ValueError):
    """What stands in a header is not what the grammar allows; the reason in a few words."""


def unquote(text: str) -> str:
    """The text of a quoted string, without its quotes and escapes; a token as it is."""
    return QUOTED_PAIR.sub(r"\1", text[1:-1]) if text[:1] == '"' else text


def unescape(text: str) -> str:
    """`%37` as the `7` it stands for. UTF-8; what is none is kept so that it can't pass for text."""
    if "%" not in text:
        return text
    raw = ESCAPE.sub(lambda m: bytes((int(m.group(1), 16),)), text.encode("utf-8", "surrogateescape"))
    return raw.decode("utf-8", "surrogateescape")


def read_parameters(text: str, at: int = 0) -> dict[str, str]:
    """The `;name=value` parameters that make up the rest of a header. A name may stand once (7.3.1)."""
    found: dict[str, str] = {}
    while at < len(text):
        piece = PARAMETER.match(text, at)
        if piece is None:
            if text[at:].strip():
                raise GrammarError(f"malformed parameter at {text[at : at + 20]!r}")
            break
        name = piece.group(1).lower()
        if name in found:
            raise GrammarError(f"two parameters {name[:20]}")
        found[name] = unquote(piece.group(2) or "")
        at = piece.end()
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
    """A name-addr or addr-spec with the header's parameters (20.10). Without angle brackets a `;` begins the
    header's parameters, not the URI's.
    """
    if len(text) > MOST_TEXT:
        raise GrammarError("an address is too long")
    found = DISPLAY.match(text)
    if found is not None:
        end = text.find(">", found.end())
        if end < 0:
            raise GrammarError("no > behind an address")
        uri = text[found.end() : end].strip()
        display = unquote(found.group(1)) if found.group(1) else (found.group(2) or "").strip()
        at = end + 1
    else:
        uri, display = text.split(";", 1)[0].strip(), ""
        at = text.index(";") if ";" in text else len(text)
        if "?" in uri or "," in uri or "<" in uri or '"' in uri:
            raise GrammarError("an address that wants angle brackets")
    if not SCHEME.match(uri) or re.search(r"[\s<>\"]", uri):
        raise GrammarError(f"no address in {text[:30]!r}")
    return Address(display, uri, read_parameters(text, at))


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
    def loose(self) -> bool:
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


def read_port(text: str | None) -> int | None:
    """A port's number; None for none. What is out of range is malformed."""
    if text is None:
        return None
    if not 0 < int(text) < 65536:
        raise GrammarError(f"no port: {text[:9]}")
    return int(text)


@lru_cache(maxsize=512)  # callers ask for the same few numbers and give the same Contact
def parse_uri(text: str) -> Uri:
    """A URI of a scheme that is known here. `UnknownSchemeError` for others that are well formed."""
    found = SCHEME.match(text)
    if found is None or len(text) > MOST_TEXT:
        raise GrammarError(f"no URI: {text[:30]!r}")
    scheme, rest = found.group(1).lower(), found.group(2)
    if scheme == "tel":
        number, _, more = rest.partition(";")
        if not SUBSCRIBER.match(number):
            raise GrammarError(f"no telephone number: {number[:20]!r}")
        return Uri(
            scheme, number.translate(SEPARATORS), None, "", None, _uri_parameters(more) if more else {}, {}
        )
    if scheme not in ("sip", "sips"):
        raise UnknownSchemeError(scheme)
    userinfo, at, place = rest.partition("@")
    user, password = "", None
    if at:
        name, colon, secret = userinfo.partition(":")
        if not USER.match(name) or not PASSWORD.match(secret):
            raise GrammarError("malformed user in a URI")
        user, password = unescape(name), unescape(secret) if colon else None
    else:
        place = rest
    place, question, headers = place.partition("?")
    place, semicolon, parameters = place.partition(";")
    told = HOST_PORT.match(place)
    if told is None or (question and not headers):
        raise GrammarError("malformed host in a URI")
    return Uri(
        scheme,
        user,
        password,
        told.group(1).lower().strip("[]"),
        read_port(told.group(2)),
        _uri_parameters(parameters) if semicolon else {},
        _uri_headers(headers) if question else {},
    )


class UnknownSchemeError(GrammarError):
    """A URI of a scheme that isn't served here (416)."""


def same_uri(one: Uri, other: Uri) -> bool:
    """Whether two URIs name the same resource (RFC 3261, 19.1.4; RFC 3966, section 4 for `tel`).

    A port left out is not the default port written out, and a parameter that both have must be the same in
    both. Those in one alone don't count, but for four of them.
    """
    if one.scheme != other.scheme:
        return False
    if one.scheme == "tel":
        mine = {name: value.translate(SEPARATORS).lower() for name, value in one.parameters.items()}
        theirs = {name: value.translate(SEPARATORS).lower() for name, value in other.parameters.items()}
        return one.user.lower() == other.user.lower() and mine == theirs
    if (one.user, one.password, one.host, one.port) != (other.user, other.password, other.host, other.port):
        return False
    for name in {*one.parameters, *other.parameters}:
        if name in one.parameters and name in other.parameters:
            if one.parameters[name].lower() != other.parameters[name].lower():
                return False
        elif name in ALIKE_OR_NONE:
            return False
    return one.headers == other.headers


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
        given = {"branch": branch, "rport": ""} if rport else {"branch": branch}
        number = int(digits) if digits else None
        return Via(transport, host.lower().strip("[]"), number if number and number < 65536 else None, given)
    found = VIA.match(text)
    if found is None:
        raise GrammarError("malformed Via")
    port = int(found.group(3)) if found.group(3) else None
    if port is not None and not 0 < port < 65536:
        port = None  # the answer goes to the default port; who lies loses only its own answer
    host = found.group(2).lower().strip("[]")
    return Via(found.group(1).upper(), host, port, read_parameters(text, found.end()))


# ---- single numbers and small lists ----


def whole(text: str, most: int = 2**32 - 1) -> int:
    """A number of digits alone, not beyond `most` (20, 25.1)."""
    text = text.strip()
    if not text.isascii() or not text.isdigit() or len(text) > 10 or int(text) > most:
        raise GrammarError(f"no number: {text[:12]!r}")
    return int(text)


def seconds_and_parameters(text: str) -> tuple[int, dict[str, str]]:
    """A delta-seconds field with parameters, such as Session-Expires or Min-SE (RFC 4028, section 4)."""
    number, semicolon, rest = text.partition(";")
    return whole(number), read_parameters(semicolon + rest) if semicolon else {}


def media_type(text: str) -> tuple[str, dict[str, str]]:
    """A Content-Type: the type in lower case, and its parameters."""
    kind, semicolon, rest = text.partition(";")
    words = re.fullmatch(rf"\s*({TOKEN})\s*/\s*({TOKEN})\s*", kind)
    if words is None:
        raise GrammarError("malformed Content-Type")
    return f"{words.group(1)}/{words.group(2)}".lower(), read_parameters(
        semicolon + rest
    ) if semicolon else {}


def read_rack(text: str) -> tuple[int, int, str]:
    """RAck (RFC 3262, 7.2): response number, CSeq number, method."""
    words = text.split()
    if len(words) != 3:
        raise GrammarError("malformed RAck")
    return whole(words[0]), whole(words[1], 2**31 - 1), words[2]


CREDENTIAL = re.compile(rf"\s*({TOKEN})\s*=\s*({QUOTED}|[^\s,\"]+)\s*(?:,|\Z)")


def parse_credentials(text: str) -> tuple[str, dict[str, str]]:
    """The scheme in lower case and the parameters of an Authorization header (20.7)."""
    scheme, _, rest = text.strip().partition(" ")
    found: dict[str, str] = {}
    at = 0
    while at < len(rest):
        piece = CREDENTIAL.match(rest, at)
        if piece is None:
            raise GrammarError("malformed credentials")
        name = piece.group(1).lower()
        if name in found:
            raise GrammarError(f"two credentials {name[:20]}")
        found[name] = unquote(piece.group(2))
        at = piece.end()
    return scheme.lower(), found


def quote(text: str) -> str:
    """A quoted string. Control characters can't stand in one and become spaces."""
    plain = "".join(char if char >= " " and char != "\x7f" else " " for char in text)
    return '"' + plain.replace("\\", "\\\\").replace('"', '\\"') + '"'


# ---- bodies in parts ----


@dataclass(frozen=True, slots=True)
class BodyPart:
    """One part of a multipart body."""

    kind: str
    required: bool  # by its Content-Disposition's `handling` (RFC 5621, section 8)
    body: bytes


def read_parts(body: bytes, boundary: str) -> list[BodyPart]:
    """The parts of a multipart body (RFC 2046, 5.1.1). The end mark must be there."""
    if not boundary or len(boundary) > 70 or not boundary.isascii():
        raise GrammarError("no usable boundary")
    mark = b"--" + boundary.encode()
    pieces = (b"\r\n" + body).split(b"\r\n" + mark)
    if len(pieces) < 3 or not pieces[-1].startswith(b"--"):
        raise GrammarError("a multipart body without its end")
    parts = []
    for piece in pieces[1:-1]:
        line, newline, rest = piece.partition(b"\r\n")
        if not newline or line.strip(b" \t"):
            raise GrammarError("a malformed boundary line")
        head, blank, content = (b"\r\n" + rest).partition(b"\r\n\r\n")
        if not blank:
            raise GrammarError("a part without its blank line")
        fields = {}
        for text in (
            head.decode("utf-8", "replace").replace("\r\n ", " ").replace("\r\n\t", " ").split("\r\n")
        ):
            name, _, value = text.partition(":")
            fields[name.strip().lower()] = value.strip()
        kind = media_type(fields.get("content-type", "text/plain"))[0]
        disposition, semicolon, more = fields.get("content-disposition", "").partition(";")
        optional = bool(semicolon) and read_parameters(";" + more).get("handling", "").lower() == "optional"
        parts.append(BodyPart(kind, not optional, content))
    return parts
