"""What each side of a session has offered (RFC 3264, RFC 6337), and offers that cross (RFC 3261, 14.2).

Decisions and state alone: it builds no message, finds no dialog and knows no call.
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
    """The one session description of a message, b"" if it has none (RFC 3261, 8.2.3; RFC 5621)."""
    if not message.body:
        return b""
    names = {name for name, _ in message.headers}
    if BODY_HEADERS.isdisjoint(names) and message.get("content-type", SDP) == SDP:
        return message.body  # as nearly all have it
    for coding in message.get_all("content-encoding"):
        if coding.strip().lower() != "identity":
            accepted = (("accept-encoding", "identity"),)
            return RequestRejection(UNSUPPORTED_MEDIA_TYPE, "content encoding", accepted)
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
    return b"" if disposition.is_optional else _unsupported(f"body of type {media_type[:40]}")


def _unsupported(reason: str) -> RequestRejection:
    return RequestRejection(UNSUPPORTED_MEDIA_TYPE, reason, (("accept", ACCEPTED_TYPES),))


@dataclass(frozen=True, slots=True)
class _Disposition:
    """What a body is for (RFC 3261, 20.11)."""

    is_optional: bool  # it may be passed over
    is_session: bool


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
        return _unsupported(f"part of type {unknown[0][:40]}")
    if len(descriptions) > 1:
        return _unsupported("two descriptions")
    return descriptions[0] if descriptions else b""


class DescriptionChange(Enum):
    """What the description of a later request is, beside the one in use."""

    ABSENT = "absent"
    UNCHANGED = "unchanged"
    CHANGED = "changed"


def _fingerprint(description: bytes) -> bytes:
    return blake2b(description.strip(), digest_size=12).digest() if description.strip() else b""


def _origin_line(description: bytes) -> bytes:
    """The o= line: with it unchanged the session is (RFC 3264, 8)."""
    start = description.find(b"o=")
    if start < 0 or (start and description[start - 1 : start] != b"\n"):
        return b""
    return description[start:].split(b"\n", 1)[0].strip()


@dataclass(eq=False, slots=True)
class SessionDescriptions:
    """Both sides' descriptions of a session: fingerprints of the caller's, ours complete."""

    remote_fingerprint: bytes = b""
    remote_origin: bytes = b""
    local: bytes = b""
    awaits_answer: bool = False  # ours was an offer, whose answer comes in the ACK (RFC 3261, 13.2.1)

    @classmethod
    def from_offer(cls, offer: bytes) -> SessionDescriptions:
        """Those of an INVITE with this offer, b"" if the offer is ours to make."""
        return cls(_fingerprint(offer), _fingerprint(_origin_line(offer)), b"", not offer.strip())

    def compare(self, description: bytes) -> DescriptionChange:
        """Tell a description of a later request from the one in use."""
        if not description.strip():
            return DescriptionChange.ABSENT
        if _fingerprint(description) == self.remote_fingerprint:
            return DescriptionChange.UNCHANGED
        origin = _origin_line(description)
        if not self.remote_fingerprint:  # the caller has sent none yet: this is it
            return DescriptionChange.UNCHANGED
        same_origin = origin and _fingerprint(origin) == self.remote_origin
        return DescriptionChange.UNCHANGED if same_origin else DescriptionChange.CHANGED

    def receive_answer(self, description: bytes) -> None:
        """The caller's answer to an offer of ours."""
        if description.strip() and not self.remote_fingerprint:
            self.remote_fingerprint = _fingerprint(description)
            self.remote_origin = _fingerprint(_origin_line(description))
        self.awaits_answer = False


class Glare(Enum):
    """Whether a request that changes a session crosses another (RFC 3261, 14.2; RFC 3311, 5.2)."""

    NONE = "none"
    LOCAL_PENDING = "local pending"  # one of ours is open: 491
    REMOTE_PENDING = "remote pending"  # one of the caller's is open: 500 with Retry-After


def detect_glare(local_pending: bool, remote_pending: bool) -> Glare:
    """Which open request a new one of the caller's crosses."""
    if local_pending:
        return Glare.LOCAL_PENDING
    return Glare.REMOTE_PENDING if remote_pending else Glare.NONE


def glare_retry_s(owns_call_id: bool, fraction: float) -> float:
    """Seconds until a request of ours that was answered 491 is sent again.

    `fraction` is drawn from 0 to 1 at random; the side that made the Call-ID waits longer (RFC 3261, 14.1).
    """
    return 2.1 + 1.9 * fraction if owns_call_id else 2.0 * fraction
