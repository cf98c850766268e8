"""The disk of a softswitch on the virtual clock: its data directory, and when it is full or slow."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from stairhatch.fault_injection.schedule import FaultKind
from stairhatch.fleet.effects import PersistVotes, Vote
from stairhatch.fleet.messages import StorageVersion
from stairhatch.fleet.voter_set import VoterSet

DISK_SYNC_S = (0.0005, 0.006)  # the least and the most that a sync takes


@dataclass
class VirtualDisk:
    """A data directory: what is synced in it."""

    storage_id: str = ""
    incarnation: int = 0
    votes: dict[str, Vote] = field(default_factory=dict)
    vote_count: int = 0
    known_versions: dict[str, StorageVersion] = field(default_factory=dict)
    admitted: bool = False
    fencing_tokens: dict[str, int] = field(default_factory=dict)
    voter_set: VoterSet | None = None

    def copy(self) -> VirtualDisk:
        """A copy of it as it is now."""
        return replace(
            self,
            votes=dict(self.votes),
            known_versions=dict(self.known_versions),
            fencing_tokens=dict(self.fencing_tokens),
        )

    def apply(self, write: PersistVotes) -> None:
        """Put a whole write on it."""
        self.votes.update((each.lease, each) for each in write.votes)
        self.vote_count = max(self.vote_count, write.storage_version.vote_count)
        self.known_versions.update(write.known_versions)
        self.admitted = self.admitted or write.admitted
        self.voter_set = write.voter_set or self.voter_set


@dataclass(slots=True)
class DiskFaults:
    """The faults of a disk. They outlast its data directory. Times are those of the virtual clock."""

    failing_until: float = 0.0
    failing_kind: FaultKind = FaultKind.DISK_FULL
    slow_until: float = 0.0
    delay_s: float = 0.0

    def fail(self, kind: FaultKind, until: float) -> None:
        """Take no write until then: the disk is full or read-only."""
        self.failing_until = until
        self.failing_kind = kind

    def slow_down(self, delay_s: float, until: float) -> None:
        """Take so much longer for each write until then."""
        self.slow_until = until
        self.delay_s = delay_s

    def is_failing(self, now: float) -> bool:
        """Whether a write that ends now fails."""
        return now < self.failing_until

    def delay_at(self, now: float) -> float:
        """How much longer a write takes that begins now, in seconds."""
        return self.delay_s if now < self.slow_until else 0.0
