"""What the members of a fleet say to each other about leases, and how it lies in a datagram.

A datagram is 16 bytes of keyed BLAKE2b (RFC 7693) over the rest, and the rest is MessagePack; the key is made
of the fleet's name and its secret, so that strangers and a second fleet on the same net are passed over
alike. The encoded names (`tag`, `field(name=...)`) are older than the fields' names and stay: members of
several versions talk to each other.
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
VOTES_PER_PAGE = 8  # in one status reply, so that it fits: names have 48 bytes at most

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
    """How far a voter's data directory had come: which it is, how often it was opened, votes cast from it."""

    storage_id: Annotated[str, Meta(max_length=32)]
    incarnation: Number
    vote_count: Number


class FleetMessage(Struct, frozen=True, tag_field="t", omit_defaults=True, forbid_unknown_fields=True):
    """What every message is."""


class LeaseRequest(FleetMessage, frozen=True, tag="ask"):
    """Grant me this lease: anew, or for another duration where the fencing token is the one voted for."""

    lease: Name = field(name="claim")
    holder: Name
    incarnation: Number
    fencing_token: Number = field(name="ticket")
    duration_ms: Millis = field(name="term_ms")
    request_id: Number = field(name="serial")
    storage_versions: dict[Name, StorageVersion] = field(
        default_factory=dict, name="marks"
    )  # of the voters, as reported to the requester
    epoch: Number = 1  # of the voter set that is asked
    voter_set_digest: Number = field(default=0, name="roll")  # of that set


class LeaseGranted(FleetMessage, frozen=True, tag="yes"):
    """Granted, and the vote is on disk."""

    lease: Name = field(name="claim")
    voter: Name
    fencing_token: Number = field(name="ticket")
    request_id: Number = field(name="serial")
    storage_version: StorageVersion = field(name="mark")


class LeaseRejected(FleetMessage, frozen=True, tag="no"):
    """Not granted: the reason, and for how long."""

    lease: Name = field(name="claim")
    voter: Name
    request_id: Number = field(name="serial")
    reason: Annotated[str, Meta(max_length=32)] = field(name="why")
    highest_token: Number = field(default=0, name="highest")
    holder: Annotated[str, Meta(max_length=48)] = ""
    remaining_ms: Millis = field(default=0, name="left_ms")


class LeaseRelease(FleetMessage, frozen=True, tag="back"):
    """The requester wants it no longer; a successor that is named is preferred for a while."""

    lease: Name = field(name="claim")
    holder: Name
    incarnation: Number
    fencing_token: Number = field(name="ticket")
    successor: Annotated[str, Meta(max_length=48)] = ""


class LeaseQuery(FleetMessage, frozen=True, tag="look"):
    """Ask who holds a lease."""

    lease: Name = field(name="claim")
    query_id: Number = field(name="serial")


class LeaseStatus(FleetMessage, frozen=True, tag="shown"):
    """What a voter has voted for."""

    lease: Name = field(name="claim")
    voter: Name
    query_id: Number = field(name="serial")
    fencing_token: Number = field(default=0, name="ticket")
    holder: Annotated[str, Meta(max_length=48)] = ""
    remaining_ms: Millis = field(default=0, name="left_ms")


class StatusRequest(FleetMessage, frozen=True, tag="roll"):
    """A voter tells the others how far it has come, and asks what they know of it, page by page."""

    voter: Name
    storage_version: StorageVersion = field(name="mark")
    is_new_storage: bool = field(name="fresh")  # its data directory was empty
    is_voting: bool = field(default=False, name="good")
    after_lease: Annotated[str, Meta(max_length=48)] = field(default="", name="after")
    request_id: Number = field(default=0, name="serial")  # answers to an earlier one don't count
    epoch: Number = 1
    proposed_digest: Number = field(default=0, name="wish")  # of the next voter set that it would go by


class VoteReport(Struct, frozen=True, array_like=True):
    """A vote as it is reported."""

    lease: Name
    fencing_token: Number
    holder: Annotated[str, Meta(max_length=48)]
    incarnation: Number
    duration_ms: Millis


class StatusReply(FleetMessage, frozen=True, tag="here"):
    """What another voter knows of the one that asked, and some of its own votes, by the leases' names."""

    voter: Name
    storage_version: StorageVersion = field(name="mark")
    is_new_storage: bool = field(name="fresh")
    is_voting: bool = field(name="good")
    may_have_forgotten: bool = field(default=False, name="out")
    known_version: StorageVersion | None = field(default=None, name="known")  # of the one that asked
    after_lease: Annotated[str, Meta(max_length=48)] = field(default="", name="after")
    votes: Annotated[tuple[VoteReport, ...], Meta(max_length=VOTES_PER_PAGE)] = field(default=(), name="kept")
    has_more: bool = field(default=False, name="more")
    request_id: Number = field(default=0, name="serial")  # of the status request
    epoch: Number = 1  # of the voter set that it goes by
    voter_set_digest: Number = field(default=0, name="roll")
    minimum_epoch: Number = field(default=0, name="floor")  # requests by sets of lower epochs are rejected
    agreed_digest: Number = field(default=0, name="agreed")  # of the next voter set that it agreed to


class Subscribe(FleetMessage, frozen=True, tag="tune"):
    """Ask for the endpoint list after this index."""

    after_index: Number = field(name="after")


class EndpointUpdate(FleetMessage, frozen=True, tag="news"):
    """One part of the endpoint list as its holder has it; no data where nothing is new."""

    holder: Name
    fencing_token: Number = field(name="ticket")
    index: Number = field(name="after")
    part_index: Annotated[int, Meta(ge=0, le=4096)] = field(name="part")
    part_count: Annotated[int, Meta(ge=1, le=4096)] = field(name="parts")
    data: Annotated[bytes, Meta(max_length=1024)]


class Superseded(FleetMessage, frozen=True, tag="stale"):
    """A receiver's answer to a fencing token below the highest it has seen: step down."""

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
        """Members of one fleet have its name and its secret in common."""
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
