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

    claim: str
    ticket: int
    holder: str = ""
    incarnation: int = 0
    term_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PersistedState:
    """Everything of a voter that must outlive it."""

    mark: StorageVersion
    admitted: bool = False  # this folder has voted, or been let in
    promises: tuple[Vote, ...] = ()
    known: dict[str, StorageVersion] = field(default_factory=dict)  # of the other voters
    roll: VoterSet | None = None  # the list of voters that it goes by


@dataclass(frozen=True, slots=True)
class SendMessage:
    """A message to a place."""

    to: PeerAddress
    message: FleetMessage


@dataclass(frozen=True, slots=True)
class PersistVotes:
    """Put this on disk, synced, and say so by its number."""

    number: int
    mark: StorageVersion
    promises: tuple[Vote, ...] = ()
    known: dict[str, StorageVersion] = field(default_factory=dict)
    admitted: bool = False
    roll: VoterSet | None = None


@dataclass(frozen=True, slots=True)
class PersistFencingToken:
    """Keep this as the highest ticket seen of a claim."""

    claim: str
    ticket: int


class LeaseEventKind(Enum):
    """What a history tells, once a change and not once a message."""

    HELD = "held"
    RENEWED = "renewed"
    LOST = "lost"
    GIVEN_BACK = "given back"
    STOOD_DOWN = "stood down"
    VOTES = "votes"
    SILENT = "does not vote"
    PROMISED = "promised"
    REFUSED = "refused"
    TOOK = "took"
    WENT_ON = "goes by the next list of voters"


@dataclass(frozen=True, slots=True)
class LeaseEvent:
    """Something for the log and the history."""

    what: LeaseEventKind
    claim: str = ""
    ticket: int = 0
    until: float = 0.0
    why: str = ""


Effect = SendMessage | PersistVotes | PersistFencingToken | LeaseEvent
