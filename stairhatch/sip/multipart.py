"""Bodies in parts (RFC 2046, 5.1; RFC 5621 for SIP)."""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.sip.grammar import GrammarError, parse_media_type, parse_parameters

MAX_BOUNDARY_LENGTH = 70  # RFC 2046, 5.1.1
MIN_PIECES = 3  # preamble, a part, end


@dataclass(frozen=True, slots=True)
class BodyPart:
    """One part of a multipart body."""

    media_type: str
    required: bool  # by its Content-Disposition's `handling` (RFC 5621, section 8)
    body: bytes


def parse_multipart(body: bytes, boundary: str) -> list[BodyPart]:
    """The parts of a multipart body (RFC 2046, 5.1.1). The end mark must be there; else GrammarError."""
    if not boundary or len(boundary) > MAX_BOUNDARY_LENGTH or not boundary.isascii():
        raise GrammarError("no usable boundary")
    delimiter = b"--" + boundary.encode()
    pieces = (b"\r\n" + body).split(b"\r\n" + delimiter)
    if len(pieces) < MIN_PIECES or not pieces[-1].startswith(b"--"):
        raise GrammarError("a multipart body without its end")
    return [_parse_part(piece) for piece in pieces[1:-1]]


def _parse_part(piece: bytes) -> BodyPart:
    line, newline, rest = piece.partition(b"\r\n")
    if not newline or line.strip(b" \t"):
        raise GrammarError("a malformed boundary line")
    head, blank, content = (b"\r\n" + rest).partition(b"\r\n\r\n")
    if not blank:
        raise GrammarError("a part without its blank line")
    headers = {}
    unfolded = head.decode("utf-8", "replace").replace("\r\n ", " ").replace("\r\n\t", " ")
    for text in unfolded.split("\r\n"):
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    media_type = parse_media_type(headers.get("content-type", "text/plain")).name
    _, semicolon, parameters = headers.get("content-disposition", "").partition(";")
    handling = parse_parameters(";" + parameters).get("handling", "") if semicolon else ""
    return BodyPart(media_type, handling.lower() != "optional", content)
