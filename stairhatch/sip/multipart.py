"""The parser of multipart bodies (RFC 2046, 5.1; RFC 5621 for SIP)."""

from __future__ import annotations

from dataclasses import dataclass

from stairhatch.sip.grammar import GrammarError, parse_media_type, parse_parameters

MAX_BOUNDARY_LENGTH = 70  # RFC 2046, 5.1.1
MIN_PIECES = 3  # of a body split at its boundary: preamble, one part, end mark


@dataclass(frozen=True, slots=True)
class BodyPart:
    """One part of a multipart body."""

    media_type: str
    required: bool  # unless `handling=optional` in its Content-Disposition (RFC 5621, section 8)
    body: bytes


def parse_multipart(body: bytes, boundary: str) -> list[BodyPart]:
    """Return the parts of a multipart body (RFC 2046, 5.1.1).

    Raises GrammarError for a malformed part or boundary, or if the closing boundary is missing.
    """
    if not boundary or len(boundary) > MAX_BOUNDARY_LENGTH or not boundary.isascii():
        raise GrammarError("boundary parameter is missing, too long or not ASCII")
    delimiter = b"--" + boundary.encode()
    pieces = (b"\r\n" + body).split(b"\r\n" + delimiter)
    if len(pieces) < MIN_PIECES or not pieces[-1].startswith(b"--"):
        raise GrammarError("multipart body has no closing boundary")
    return [_parse_part(piece) for piece in pieces[1:-1]]


def _parse_part(piece: bytes) -> BodyPart:
    boundary_line, newline, rest = piece.partition(b"\r\n")
    if not newline or boundary_line.strip(b" \t"):
        raise GrammarError("malformed boundary line")
    head, blank, content = (b"\r\n" + rest).partition(b"\r\n\r\n")
    if not blank:
        raise GrammarError("body part has no blank line after its headers")
    headers = {}
    unfolded = head.decode("utf-8", "replace").replace("\r\n ", " ").replace("\r\n\t", " ")
    for header_line in unfolded.split("\r\n"):
        name, _, value = header_line.partition(":")
        headers[name.strip().lower()] = value.strip()
    media_type = parse_media_type(headers.get("content-type", "text/plain")).name
    _, semicolon, parameters = headers.get("content-disposition", "").partition(";")
    handling = parse_parameters(";" + parameters).get("handling", "") if semicolon else ""
    return BodyPart(media_type, handling.lower() != "optional", content)
