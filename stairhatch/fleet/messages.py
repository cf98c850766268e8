"""What softswitches say to each other about claims: owns the forms of the messages and how they lie in a
datagram. It must never judge one. A datagram is 16 bytes of keyed BLAKE2b (RFC 7693) over the rest, and the
rest is MessagePack; the key is made of the fleet's name and its secret, so that strangers and a second fleet
on the same net are passed over alike.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

TAG_BYTES = 16
MAX_DATAGRAM_BYTES = 1400
VOTES_PER_PAGE = 8  # promises in one answer to a roll call: names have 48 bytes at most

Name = Annotated[str, Meta(min_length=1, max_length=48)]
Number = Annotated[int, Meta(ge=0, le=2**62)]
Millis = Annotated[int, Meta(ge=0, le=3_600_000)]


class StorageVersion(Struct, frozen=True, array_like=True):
    """How far a voter's folder had come when somebody heard of it: which folder, its start, its promises."""

    folder: Annotated[str, Meta(max_length=32)]
    life: Number
    promises: Number


class FleetMessage(Struct, frozen=True, tag_field="t", omit_defaults=True, forbid_unknown_fields=True):
    """What every message is."""


class LeaseRequest(FleetMessage, frozen=True, tag="ask"):
    """Promise me this claim: anew, or for another term where the ticket is the one promised."""

    claim: Name
    holder: Name
    incarnation: Number
    ticket: Number
    term_ms: Millis
    serial: Number
    marks: dict[Name, StorageVersion] = {}  # of the voters, as the asker has heard
    epoch: Number = 1  # of the list of voters that are asked
    roll: Number = 0  # that list's digest


class LeaseGranted(FleetMessage, frozen=True, tag="yes"):
    """Promised, and on disk."""

    claim: Name
    voter: Name
    ticket: Number
    serial: Number
    mark: StorageVersion


class LeaseRejected(FleetMessage, frozen=True, tag="no"):
    """Not promised: what stands in the way, and for how long."""

    claim: Name
    voter: Name
    serial: Number
    why: Annotated[str, Meta(max_length=32)]
    highest: Number = 0
    holder: Annotated[str, Meta(max_length=48)] = ""
    left_ms: Millis = 0


class LeaseRelease(FleetMessage, frozen=True, tag="back"):
    """The asker wants it no longer; a successor that is named goes first for a while."""

    claim: Name
    holder: Name
    incarnation: Number
    ticket: Number
    successor: Annotated[str, Meta(max_length=48)] = ""


class LeaseQuery(FleetMessage, frozen=True, tag="look"):
    """Who holds it?"""

    claim: Name
    serial: Number


class LeaseStatus(FleetMessage, frozen=True, tag="shown"):
    """What a voter has promised."""

    claim: Name
    voter: Name
    serial: Number
    ticket: Number = 0
    holder: Annotated[str, Meta(max_length=48)] = ""
    left_ms: Millis = 0


class StatusRequest(FleetMessage, frozen=True, tag="roll"):
    """A voter that has started asks the others what they know of it, page by page."""

    voter: Name
    mark: StorageVersion
    fresh: bool  # its folder was empty
    good: bool = False  # it votes
    after: Annotated[str, Meta(max_length=48)] = ""
    serial: Number = 0  # answers to an earlier one don't count
    epoch: Number = 1
    wish: Number = 0  # the digest of the next list that it would go by


class VoteReport(Struct, frozen=True, array_like=True):
    """A promise as it is told."""

    claim: Name
    ticket: Number
    holder: Annotated[str, Meta(max_length=48)]
    incarnation: Number
    term_ms: Millis


class StatusReply(FleetMessage, frozen=True, tag="here"):
    """What another voter knows of the one that asked, and some of its own promises, by name."""

    voter: Name
    mark: StorageVersion
    fresh: bool
    good: bool
    out: bool = False
    known: StorageVersion | None = None  # of the one that asked
    after: Annotated[str, Meta(max_length=48)] = ""
    kept: Annotated[tuple[VoteReport, ...], Meta(max_length=VOTES_PER_PAGE)] = ()
    more: bool = False
    serial: Number = 0  # of the call
    epoch: Number = 1  # of the list that it goes by, and its digest
    roll: Number = 0
    floor: Number = 0  # asks by lists of lower epochs are refused
    agreed: Number = 0  # the digest of the next list that it agreed to


class Subscribe(FleetMessage, frozen=True, tag="tune"):
    """What is new in the list after this number?"""

    after: Number


class EndpointUpdate(FleetMessage, frozen=True, tag="news"):
    """Events of the list from its owner, one part of them."""

    holder: Name
    ticket: Number
    after: Number
    part: Annotated[int, Meta(ge=0, le=4096)]
    parts: Annotated[int, Meta(ge=1, le=4096)]
    data: Annotated[bytes, Meta(max_length=1024)]


class Superseded(FleetMessage, frozen=True, tag="stale"):
    """A receiver's answer to a ticket below the highest it has seen: stand down."""

    claim: Name
    highest: Number


AnyMessage = (
    LeaseRequest
    | LeaseGranted
    | LeaseRejected
    | LeaseRelease
    | LeaseQuery
    | LeaseStatus
    | StatusRequest
    | StatusReply
    | Subscribe
    | EndpointUpdate
    | Superseded
)  # what may come


class FleetCodec:
    """Messages to datagrams and back, for one fleet."""

    def __init__(self, fleet: str, secret: bytes = b"") -> None:
        self._key = hashlib.blake2b(secret, key=hashlib.blake2b(fleet.encode()).digest()).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(AnyMessage)

    def _tag(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=self._key, digest_size=TAG_BYTES).digest()

    def encode(self, message: FleetMessage) -> bytes:
        """A datagram."""
        body = self._encoder.encode(message)
        return self._tag(body) + body

    def decode(self, data: bytes) -> FleetMessage | None:
        """The message in a datagram; None where it is no one of this fleet's."""
        if len(data) > MAX_DATAGRAM_BYTES or not hmac.compare_digest(
            data[:TAG_BYTES], self._tag(data[TAG_BYTES:])
        ):
            return None
        try:
            found: FleetMessage = self._decoder.decode(data[TAG_BYTES:])
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return None
        return found
