"""The session descriptions of both sides (RFC 3264, RFC 6337), and the glare of offers (RFC 3261, 14.2).

The module only keeps state and decides; it builds no messages and is independent of dialogs and calls.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from stairhatch.node import sip_message as sip
from stairhatch.sip import grammar
from stairhatch.sip.multipart import parse_multipart
from stairhatch.sip.rejection import RequestRejection

SDP = "application/sdp"
MULTIPART_MIXED = "multipart/mixed"
ACCEPTED_TYPES = f"{SDP}, {MULTIPART_MIXED}"
BODY_HEADERS = frozenset(("content-encoding", "content-disposition"))
UNSUPPORTED_MEDIA_TYPE = 415


def read_description(message: sip.SipMessage) -> bytes | RequestRejection:
    """Return the session description of a message, b"" if there is none, or the rejection of its body.

    Sources: RFC 3261, 8.2.3; RFC 5621.
    """
    if not message.body:
        return b""
    names = {name for name, _ in message.headers}
    if BODY_HEADERS.isdisjoint(names) and message.get("content-type", SDP) == SDP:
        return message.body  # fast path: the notation of nearly every message
    for coding in message.get_all("content-encoding"):
        if coding.strip().lower() not in ("", "identity"):  # an empty header names no coding
            accepted = (("accept-encoding", "identity"),)
            return RequestRejection(UNSUPPORTED_MEDIA_TYPE, "unsupported content encoding", accepted)
    try:
        return _read_body(message)
    except grammar.GrammarError as error:
        return RequestRejection(400, str(error))


def _read_body(message: sip.SipMessage) -> bytes | RequestRejection:
    media_type, parameters = grammar.parse_media_type(message.get("content-type", SDP))
    disposition = _parse_disposition(message.get("content-disposition"))
    if media_type == SDP:
        if disposition.is_session:
            return message.body
        rejection = RequestRejection(UNSUPPORTED_MEDIA_TYPE, "disposition", (("accept", SDP),))
        return b"" if disposition.is_optional else rejection
    if media_type.startswith("multipart/"):
        return _read_parts(message.body, media_type, parameters.get("boundary", ""))
    return b"" if disposition.is_optional else _unsupported(f"unsupported body type {media_type[:40]}")


def _unsupported(reason: str) -> RequestRejection:
    return RequestRejection(UNSUPPORTED_MEDIA_TYPE, reason, (("accept", ACCEPTED_TYPES),))


@dataclass(frozen=True, slots=True)
class _Disposition:
    """A parsed Content-Disposition header (RFC 3261, 20.11)."""

    is_optional: bool  # the body may be ignored if it is not supported
    is_session: bool  # the body is a session description


def _parse_disposition(text: str) -> _Disposition:
    if not text:
        return _Disposition(is_optional=False, is_session=True)
    kind, semicolon, rest = text.partition(";")
    parameters = grammar.parse_parameters(semicolon + rest) if semicolon else {}
    is_optional = parameters.get("handling", "required").lower() == "optional"
    return _Disposition(is_optional, kind.strip().lower() == "session")


def _read_parts(body: bytes, media_type: str, boundary: str) -> bytes | RequestRejection:
    if media_type != MULTIPART_MIXED:
        return _unsupported(media_type)
    parts = parse_multipart(body, boundary)
    descriptions = [part.body for part in parts if part.media_type == SDP]
    unknown = [part.media_type for part in parts if part.media_type != SDP and part.required]
    if unknown:
        return _unsupported(f"unsupported body part type {unknown[0][:40]}")
    if len(descriptions) > 1:
        return _unsupported("several session descriptions")
    return descriptions[0] if descriptions else b""


class DescriptionChange(Enum):
    """The result of comparing the session description of a later request with the one in use."""

    ABSENT = "absent"
    UNCHANGED = "unchanged"
    CHANGED = "changed"


def _fingerprint(description: bytes) -> bytes:
    return blake2b(description.strip(), digest_size=12).digest() if description.strip() else b""


def _origin_line(description: bytes) -> bytes:
    """Return the o= line, b"" if there is none; if it is unchanged, so is the session (RFC 3264, 8)."""
    start = description.find(b"o=")
    if start < 0 or (start and description[start - 1 : start] != b"\n"):
        return b""
    return description[start:].split(b"\n", 1)[0].strip()


@dataclass(eq=False, slots=True)
class SessionDescriptions:
    """The session descriptions of both sides: fingerprints of the caller's, and the full text of ours."""

    remote_fingerprint: bytes = b""
    remote_origin: bytes = b""
    local: bytes = b""
    awaits_answer: bool = False  # we sent the offer; its answer is expected in the ACK (RFC 3261, 13.2.1)

    @classmethod
    def from_offer(cls, offer: bytes) -> SessionDescriptions:
        """Create the state for an INVITE with the given offer, b"" if it has none and we make the offer."""
        return cls(_fingerprint(offer), _fingerprint(_origin_line(offer)), b"", not offer.strip())

    def compare(self, description: bytes) -> DescriptionChange:
        """Compare the description of a later request with the caller's description in use."""
        if not description.strip():
            return DescriptionChange.ABSENT
        if _fingerprint(description) == self.remote_fingerprint:
            return DescriptionChange.UNCHANGED
        origin = _origin_line(description)
        if not self.remote_fingerprint:  # the first description that the caller sends is not a change
            return DescriptionChange.UNCHANGED
        same_origin = origin and _fingerprint(origin) == self.remote_origin
        return DescriptionChange.UNCHANGED if same_origin else DescriptionChange.CHANGED

    def receive_answer(self, description: bytes) -> None:
        """Store the caller's answer to our offer, unless a description of the caller is already in use."""
        if description.strip() and not self.remote_fingerprint:
            self.remote_fingerprint = _fingerprint(description)
            self.remote_origin = _fingerprint(_origin_line(description))
        self.awaits_answer = False


class Glare(Enum):
    """The kind of glare between two requests that change a session (RFC 3261, 14.2; RFC 3311, 5.2)."""

    NONE = "none"
    LOCAL_PENDING = "local pending"  # a request of ours is open; the response is 491
    REMOTE_PENDING = "remote pending"  # a request of the caller is open; the response is 500 with Retry-After


def detect_glare(local_pending: bool, remote_pending: bool) -> Glare:
    """Return the kind of glare between a new request of the caller and the open requests."""
    if local_pending:
        return Glare.LOCAL_PENDING
    return Glare.REMOTE_PENDING if remote_pending else Glare.NONE


def glare_retry_s(owns_call_id: bool, fraction: float) -> float:
    """Return the delay in seconds before a request that was answered 491 is sent again (RFC 3261, 14.1).

    `fraction` is a random number from 0 to 1. The side that created the Call-ID waits longer.
    """
    return 2.1 + 1.9 * fraction if owns_call_id else 2.0 * fraction
