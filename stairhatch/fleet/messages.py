"""The messages between the members of a fleet, and their encoding as datagrams.

A datagram is a tag of 16 bytes followed by a body in MessagePack. The tag is the keyed BLAKE2b hash (RFC
7693) of the body. The key is derived from the fleet's name and its secret, so a member ignores datagrams from
strangers and from another fleet on the same network. The encoded names (`tag`, `field(name=...)`) differ from
the fields' names and must not change: members of different versions exchange these messages.
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
VOTES_PER_PAGE = 8  # a status reply with this many votes fits into a datagram: names have 48 bytes at most

Name = Annotated[str, Meta(min_length=1, max_length=48)]
Number = Annotated[int, Meta(ge=0, le=2**62)]
Millis = Annotated[int, Meta(ge=0, le=3_600_000)]


class RejectionReason(StrEnum):
    """The reasons for which a voting voter rejects a lease request.

    A voter that does not vote rejects with a word of `voter_state.REJECTION_WORDS` instead.
    """

    HELD = "held"  # another member holds the lease
    RESERVED = "handed"  # the lease is reserved for the successor that the last holder named
    TOKEN_TOO_LOW = "low"  # the voter has voted for a fencing token that is as high or higher
    DURATION_TOO_LONG = "term"  # the requested duration exceeds the voter's configured lease duration
    TOO_MANY_LEASES = "full"  # the voter's vote table is full


class StorageVersion(Struct, frozen=True, array_like=True):
    """The version of a voter's data directory; it reveals a directory that was restored from an old copy."""

    storage_id: Annotated[str, Meta(max_length=32)]  # identifies the data directory
    incarnation: Number  # how often the data directory has been opened
    vote_count: Number  # how many votes have been cast from it


class FleetMessage(Struct, frozen=True, tag_field="t", omit_defaults=True, forbid_unknown_fields=True):
    """Base class of all messages; the type of a message is encoded under the key `t`."""


class LeaseRequest(FleetMessage, frozen=True, tag="ask"):
    """Request for a lease, or its renewal if the voter has voted for this holder and fencing token."""

    lease: Name = field(name="claim")
    holder: Name
    incarnation: Number
    fencing_token: Number = field(name="ticket")
    duration_ms: Millis = field(name="term_ms")
    request_id: Number = field(name="serial")
    storage_versions: dict[Name, StorageVersion] = field(
        default_factory=dict, name="marks"
    )  # the voters' storage versions, as reported to the requester
    epoch: Number = 1  # of the voter set that the requester is configured with
    voter_set_digest: Number = field(default=0, name="roll")  # of the requester's voter set


class LeaseGranted(FleetMessage, frozen=True, tag="yes"):
    """Grant of a lease by one voter, sent after the vote is on disk."""

    lease: Name = field(name="claim")
    voter: Name
    fencing_token: Number = field(name="ticket")
    request_id: Number = field(name="serial")
    storage_version: StorageVersion = field(name="mark")


class LeaseRejected(FleetMessage, frozen=True, tag="no"):
    """Rejection of a lease request by one voter, with the reason and the time until the lease may be free."""

    lease: Name = field(name="claim")
    voter: Name
    request_id: Number = field(name="serial")
    reason: Annotated[str, Meta(max_length=32)] = field(name="why")
    highest_token: Number = field(default=0, name="highest")  # that the voter has voted for
    holder: Annotated[str, Meta(max_length=48)] = ""  # "": the rejection names no holder
    remaining_ms: Millis = field(default=0, name="left_ms")


class LeaseRelease(FleetMessage, frozen=True, tag="back"):
    """Release of a lease by its holder or requester.

    If a successor is named, the voters reserve the lease for it for a moment.
    """

    lease: Name = field(name="claim")
    holder: Name
    incarnation: Number
    fencing_token: Number = field(name="ticket")
    successor: Annotated[str, Meta(max_length=48)] = ""


class LeaseQuery(FleetMessage, frozen=True, tag="look"):
    """Query for the holder of a lease, from a member that does not request the lease."""

    lease: Name = field(name="claim")
    query_id: Number = field(name="serial")


class LeaseStatus(FleetMessage, frozen=True, tag="shown"):
    """Reply to a lease query: the holder and fencing token that the voter has voted for."""

    lease: Name = field(name="claim")
    voter: Name
    query_id: Number = field(name="serial")
    fencing_token: Number = field(default=0, name="ticket")
    holder: Annotated[str, Meta(max_length=48)] = ""
    remaining_ms: Millis = field(default=0, name="left_ms")


class StatusRequest(FleetMessage, frozen=True, tag="roll"):
    """Report of a voter's storage version to another voter, and request for a page of that voter's votes."""

    voter: Name
    storage_version: StorageVersion = field(name="mark")
    is_new_storage: bool = field(name="fresh")  # the sender's data directory was empty
    is_voting: bool = field(default=False, name="good")
    after_lease: Annotated[str, Meta(max_length=48)] = field(default="", name="after")
    request_id: Number = field(default=0, name="serial")  # the sender ignores replies to earlier requests
    epoch: Number = 1  # of the sender's current voter set
    proposed_digest: Number = field(default=0, name="wish")  # of the next voter set; 0: none is proposed


class VoteReport(Struct, frozen=True, array_like=True):
    """One vote in a status reply."""

    lease: Name
    fencing_token: Number
    holder: Annotated[str, Meta(max_length=48)]
    incarnation: Number
    duration_ms: Millis


class StatusReply(FleetMessage, frozen=True, tag="here"):
    """Reply to a status request: the replying voter's state and a page of its votes, in order of lease names.

    The page follows the lease name `after_lease`.
    """

    voter: Name
    storage_version: StorageVersion = field(name="mark")
    is_new_storage: bool = field(name="fresh")
    is_voting: bool = field(name="good")
    may_have_forgotten: bool = field(default=False, name="out")
    known_version: StorageVersion | None = field(default=None, name="known")  # of the requesting voter
    after_lease: Annotated[str, Meta(max_length=48)] = field(default="", name="after")
    votes: Annotated[tuple[VoteReport, ...], Meta(max_length=VOTES_PER_PAGE)] = field(default=(), name="kept")
    has_more: bool = field(default=False, name="more")
    request_id: Number = field(default=0, name="serial")  # of the status request
    epoch: Number = 1  # of the replying voter's current voter set on disk
    voter_set_digest: Number = field(default=0, name="roll")
    minimum_epoch: Number = field(default=0, name="floor")  # requests of lower epochs are rejected
    agreed_digest: Number = field(default=0, name="agreed")  # of the next voter set that the voter agreed to


class Subscribe(FleetMessage, frozen=True, tag="tune"):
    """Subscription to the endpoint list, for versions newer than `after_index`."""

    after_index: Number = field(name="after")


class EndpointUpdate(FleetMessage, frozen=True, tag="news"):
    """One part of the lease holder's endpoint list; `data` is empty if the list has not changed."""

    holder: Name
    fencing_token: Number = field(name="ticket")
    index: Number = field(name="after")
    part_index: Annotated[int, Meta(ge=0, le=4096)] = field(name="part")
    part_count: Annotated[int, Meta(ge=1, le=4096)] = field(name="parts")
    data: Annotated[bytes, Meta(max_length=1024)]


class Superseded(FleetMessage, frozen=True, tag="stale"):
    """Rejection of a fencing token below the highest that the receiver has seen; its holder steps down."""

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
)  # the messages that a datagram may hold


class FleetCodec:
    """Encoder and decoder of the datagrams of one fleet."""

    def __init__(self, fleet: str, secret: bytes = b"") -> None:
        """All members of a fleet have the same `fleet` name and `secret`."""
        self._key = hashlib.blake2b(secret, key=hashlib.blake2b(fleet.encode()).digest()).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(AnyMessage)

    def _tag(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=self._key, digest_size=TAG_BYTES).digest()

    def encode(self, message: FleetMessage) -> bytes:
        """Return the datagram with the tag and the body of a message."""
        body = self._encoder.encode(message)
        return self._tag(body) + body

    def decode(self, data: bytes) -> FleetMessage | None:
        """Return the message in a datagram.

        Return None if the datagram is too long, has a wrong tag or holds no valid message.
        """
        if len(data) > MAX_DATAGRAM_BYTES or not hmac.compare_digest(
            data[:TAG_BYTES], self._tag(data[TAG_BYTES:])
        ):
            return None
        try:
            message: FleetMessage = self._decoder.decode(data[TAG_BYTES:])
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return None
        return message
