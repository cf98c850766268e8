"""What the decisions ask of whoever drives them: owns these forms. A driver carries them out in their order;
what belongs on disk before it is said stands in a `Write`, whose end it reports with `Mate.written`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from stairhatch.fleet.messages import FleetMessage, StorageVersion
from stairhatch.fleet.voter_set import VoterSet

PeerAddress = tuple[str, int]  # host and port; on the virtual clock a name and 0


@dataclass(frozen=True, slots=True)
class Vote:
    """What a voter has promised of one claim. Without a holder only the ticket counts."""

    lease: str
    fencing_token: int
    holder: str = ""
    incarnation: int = 0
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PersistedState:
    """Everything of a voter that must outlive it."""

    storage_version: StorageVersion
    admitted: bool = False  # this folder has voted, or been let in
    votes: tuple[Vote, ...] = ()
    known_versions: dict[str, StorageVersion] = field(default_factory=dict)  # of the other voters
    voter_set: VoterSet | None = None  # the list of voters that it goes by


@dataclass(frozen=True, slots=True)
class SendMessage:
    """A message to a place."""

    destination: PeerAddress
    message: FleetMessage


@dataclass(frozen=True, slots=True)
class PersistVotes:
    """Put this on disk, synced, and say so by its number."""

    write_id: int
    storage_version: StorageVersion
    votes: tuple[Vote, ...] = ()
    known_versions: dict[str, StorageVersion] = field(default_factory=dict)
    admitted: bool = False
    voter_set: VoterSet | None = None


@dataclass(frozen=True, slots=True)
class PersistFencingToken:
    """Keep this as the highest ticket seen of a claim."""

    lease: str
    fencing_token: int


class LeaseEventKind(Enum):
    """What a history tells, once a change and not once a message."""

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
    expires_at: float = 0.0
    reason: str = ""


Effect = SendMessage | PersistVotes | PersistFencingToken | LeaseEvent
