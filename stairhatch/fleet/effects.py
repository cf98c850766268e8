"""What the decisions ask of whoever drives them, carried out in their order.

What must be on disk before it is sent is in a `PersistVotes`; the driver reports its end with
`ClusterMember.write_completed`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from stairhatch.fleet.messages import FleetMessage, StorageVersion
from stairhatch.fleet.voter_set import VoterSet

PeerAddress = tuple[str, int]  # host and port; on the virtual clock a name and 0


@dataclass(frozen=True, slots=True)
class MemberId:
    """Which process a member is: the name that the operators gave it, and this start of it."""

    name: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Vote:
    """What a voter has voted for of one lease. Without a holder only the fencing token counts."""

    lease: str
    fencing_token: int
    holder: str | None = None
    incarnation: int = 0
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PersistedState:
    """Everything of a voter that must outlive it."""

    storage_version: StorageVersion
    admitted: bool = False  # this data directory has voted, or been admitted
    votes: tuple[Vote, ...] = ()
    known_versions: dict[str, StorageVersion] = field(default_factory=dict)  # of the other voters
    voter_set: VoterSet | None = None  # that it goes by


@dataclass(frozen=True, slots=True)
class MemberState:
    """Everything of a member that must outlive it."""

    voter_state: PersistedState | None = None  # None: the member is no voter
    fencing_tokens: dict[str, int] = field(default_factory=dict)  # the highest that it has seen, by lease


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message."""

    destination: PeerAddress
    message: FleetMessage


@dataclass(frozen=True, slots=True)
class PersistVotes:
    """Put this on disk, synced, and report its end by `write_id`."""

    write_id: int
    storage_version: StorageVersion
    votes: tuple[Vote, ...] = ()
    known_versions: dict[str, StorageVersion] = field(default_factory=dict)
    admitted: bool = False
    voter_set: VoterSet | None = None


@dataclass(frozen=True, slots=True)
class PersistFencingToken:
    """Keep this as the highest fencing token seen of a lease."""

    lease: str
    fencing_token: int


class LeaseEventKind(Enum):
    """What has happened, once a change and not once a message. The values are in history files."""

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
    """Something for the log and the history."""

    kind: LeaseEventKind
    lease: str = ""
    fencing_token: int = 0
    expires_at: float = 0.0  # on the member's clock; 0.0 where nothing ends
    reason: str = ""


Effect = SendMessage | PersistVotes | PersistFencingToken | LeaseEvent
