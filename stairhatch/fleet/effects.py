"""The effects that the protocol classes return; their driver carries them out in the given order.

A `PersistVotes` holds state that must be on disk before a message may report it; the driver reports the end
of the write with `ClusterMember.write_completed`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from stairhatch.fleet.messages import FleetMessage, StorageVersion
from stairhatch.fleet.voter_set import VoterSet

PeerAddress = tuple[str, int]  # host and port; on the virtual clock a name and 0


@dataclass(frozen=True, slots=True)
class MemberId:
    """The identity of a member's process."""

    name: str  # from the configuration
    incarnation: int  # identifies the start of the process


@dataclass(frozen=True, slots=True)
class Vote:
    """A voter's vote for one lease; without a holder, only the fencing token has a meaning."""

    lease: str
    fencing_token: int
    holder: str | None = None
    incarnation: int = 0
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PersistedState:
    """The state of a voter that must survive a restart."""

    storage_version: StorageVersion
    admitted: bool = False  # the voter has voted from this data directory or been admitted with it
    votes: tuple[Vote, ...] = ()
    known_versions: dict[str, StorageVersion] = field(default_factory=dict)  # of the other voters
    voter_set: VoterSet | None = None  # the current voter set; None: none has been stored


@dataclass(frozen=True, slots=True)
class MemberState:
    """The state of a member that must survive a restart."""

    voter_state: PersistedState | None = None  # None: the member is no voter
    fencing_tokens: dict[str, int] = field(default_factory=dict)  # the highest seen, by lease


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a peer in one datagram."""

    destination: PeerAddress
    message: FleetMessage


@dataclass(frozen=True, slots=True)
class PersistVotes:
    """Write this state to disk, sync it, and report the end of the write by `write_id`."""

    write_id: int
    storage_version: StorageVersion
    votes: tuple[Vote, ...] = ()
    known_versions: dict[str, StorageVersion] = field(default_factory=dict)
    admitted: bool = False
    voter_set: VoterSet | None = None


@dataclass(frozen=True, slots=True)
class PersistFencingToken:
    """Write the highest fencing token seen of a lease to disk."""

    lease: str
    fencing_token: int


class LeaseEventKind(Enum):
    """The kinds of lease events; one event reports a change, not a message.

    The values are stored in history files.
    """

    HELD = "held"
    RENEWED = "renewed"
    LOST = "lost"
    RELEASED = "given back"
    STEPPED_DOWN = "stood down"
    VOTING = "votes"
    NOT_VOTING = "does not vote"
    VOTED = "promised"
    TOKEN_REJECTED = "refused"
    TOKEN_ACCEPTED = "took"
    VOTER_SET_ADVANCED = "goes by the next list of voters"


@dataclass(frozen=True, slots=True)
class LeaseEvent:
    """An event for the log and the history file."""

    kind: LeaseEventKind
    lease: str = ""
    fencing_token: int = 0
    expires_at: float = 0.0  # on the member's clock; 0.0: the event has no expiry
    reason: str = ""


Effect = SendMessage | PersistVotes | PersistFencingToken | LeaseEvent
