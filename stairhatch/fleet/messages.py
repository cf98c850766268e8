"""What softswitches say to each other about claims: owns the forms of the messages and how they lie in a
datagram. It must never judge one. A datagram is 16 bytes of keyed BLAKE2b (RFC 7693) over the rest, and the
rest is MessagePack; the key is made of the fleet's name and its secret, so that strangers and a second fleet
on the same net are passed over alike.
"""

from __future__ import annotations

import hashlib
import hmac
from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

TAG_BYTES = 16
MAX_DATAGRAM_BYTES = 1400
VOTES_PER_PAGE = 8  # promises in one answer to a roll call: names have 48 bytes at most

Name = Annotated[str, Meta(min_length=1, max_length=48)]
Number = Annotated[int, Meta(ge=0, le=2**62)]
Millis = Annotated[int, Meta(ge=0, le=3_600_000)]


class RejectionReason(StrEnum):
    """Why a voter that votes rejects a request. A word of another kind says why a voter does not vote."""

    HELD = "held"  # by another member
    RESERVED = "handed"  # for the successor that the last holder named
    TOKEN_TOO_LOW = "low"  # a token as high or higher was voted for
    DURATION_TOO_LONG = "term"  # longer than the voter's own
    TOO_MANY_LEASES = "full"


class StorageVersion(Struct, frozen=True, array_like=True):
    """How far a voter's folder had come when somebody heard of it: which folder, its start, its promises."""

    storage_id: Annotated[str, Meta(max_length=32)]
    incarnation: Number
    vote_count: Number


class FleetMessage(Struct, frozen=True, tag_field="t", omit_defaults=True, forbid_unknown_fields=True):
    """What every message is."""


class LeaseRequest(FleetMessage, frozen=True, tag="ask"):
    """Promise me this claim: anew, or for another term where the ticket is the one promised."""

    lease: Name = field(name="claim")
    holder: Name
    incarnation: Number
    fencing_token: Number = field(name="ticket")
    duration_ms: Millis = field(name="term_ms")
    request_id: Number = field(name="serial")
    storage_versions: dict[Name, StorageVersion] = field(
        default_factory=dict, name="marks"
    )  # of the voters, as the asker has heard
    epoch: Number = 1  # of the list of voters that are asked
    voter_set_digest: Number = field(default=0, name="roll")  # that list's digest


class LeaseGranted(FleetMessage, frozen=True, tag="yes"):
    """Promised, and on disk."""

    lease: Name = field(name="claim")
    voter: Name
    fencing_token: Number = field(name="ticket")
    request_id: Number = field(name="serial")
    storage_version: StorageVersion = field(name="mark")


class LeaseRejected(FleetMessage, frozen=True, tag="no"):
    """Not promised: what stands in the way, and for how long."""

    lease: Name = field(name="claim")
    voter: Name
    request_id: Number = field(name="serial")
    reason: Annotated[str, Meta(max_length=32)] = field(name="why")
    highest_token: Number = field(default=0, name="highest")
    holder: Annotated[str, Meta(max_length=48)] = ""
    remaining_ms: Millis = field(default=0, name="left_ms")


class LeaseRelease(FleetMessage, frozen=True, tag="back"):
    """The asker wants it no longer; a successor that is named goes first for a while."""

    lease: Name = field(name="claim")
    holder: Name
    incarnation: Number
    fencing_token: Number = field(name="ticket")
    successor: Annotated[str, Meta(max_length=48)] = ""


class LeaseQuery(FleetMessage, frozen=True, tag="look"):
    """Who holds it?"""

    lease: Name = field(name="claim")
    query_id: Number = field(name="serial")


class LeaseStatus(FleetMessage, frozen=True, tag="shown"):
    """What a voter has promised."""

    lease: Name = field(name="claim")
    voter: Name
    query_id: Number = field(name="serial")
    fencing_token: Number = field(default=0, name="ticket")
    holder: Annotated[str, Meta(max_length=48)] = ""
    remaining_ms: Millis = field(default=0, name="left_ms")


class StatusRequest(FleetMessage, frozen=True, tag="roll"):
    """A voter that has started asks the others what they know of it, page by page."""

    voter: Name
    storage_version: StorageVersion = field(name="mark")
    is_new_storage: bool = field(name="fresh")  # its folder was empty
    is_voting: bool = field(default=False, name="good")  # it votes
    after_lease: Annotated[str, Meta(max_length=48)] = field(default="", name="after")
    request_id: Number = field(default=0, name="serial")  # answers to an earlier one don't count
    epoch: Number = 1
    proposed_digest: Number = field(default=0, name="wish")  # the digest of the next list that it would go by


class VoteReport(Struct, frozen=True, array_like=True):
    """A promise as it is told."""

    lease: Name
    fencing_token: Number
    holder: Annotated[str, Meta(max_length=48)]
    incarnation: Number
    duration_ms: Millis


class StatusReply(FleetMessage, frozen=True, tag="here"):
    """What another voter knows of the one that asked, and some of its own promises, by name."""

    voter: Name
    storage_version: StorageVersion = field(name="mark")
    is_new_storage: bool = field(name="fresh")
    is_voting: bool = field(name="good")
    may_have_forgotten: bool = field(default=False, name="out")
    known_version: StorageVersion | None = field(default=None, name="known")  # of the one that asked
    after_lease: Annotated[str, Meta(max_length=48)] = field(default="", name="after")
    votes: Annotated[tuple[VoteReport, ...], Meta(max_length=VOTES_PER_PAGE)] = field(default=(), name="kept")
    has_more: bool = field(default=False, name="more")
    request_id: Number = field(default=0, name="serial")  # of the call
    epoch: Number = 1  # of the list that it goes by, and its digest
    voter_set_digest: Number = field(default=0, name="roll")
    minimum_epoch: Number = field(default=0, name="floor")  # asks by lists of lower epochs are refused
    agreed_digest: Number = field(default=0, name="agreed")  # the digest of the next list that it agreed to


class Subscribe(FleetMessage, frozen=True, tag="tune"):
    """What is new in the list after this number?"""

    after_index: Number = field(name="after")


class EndpointUpdate(FleetMessage, frozen=True, tag="news"):
    """Events of the list from its owner, one part of them."""

    holder: Name
    fencing_token: Number = field(name="ticket")
    index: Number = field(name="after")
    part_index: Annotated[int, Meta(ge=0, le=4096)] = field(name="part")
    part_count: Annotated[int, Meta(ge=1, le=4096)] = field(name="parts")
    data: Annotated[bytes, Meta(max_length=1024)]


class Superseded(FleetMessage, frozen=True, tag="stale"):
    """A receiver's answer to a ticket below the highest it has seen: stand down."""

    lease: Name = field(name="claim")
    highest_token: Number = field(name="highest")


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
