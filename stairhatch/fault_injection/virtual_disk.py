"""The simulated disk of a softswitch: the content of its data directory, and the faults of the disk."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from stairhatch.fault_injection.schedule import FaultKind
from stairhatch.fleet.effects import PersistVotes, Vote
from stairhatch.fleet.messages import StorageVersion
from stairhatch.fleet.voter_set import VoterSet

DISK_SYNC_S = (0.0005, 0.006)  # minimum and maximum duration of a sync


@dataclass
class VirtualDisk:
    """The synced content of a data directory; an empty `storage_id` means an empty directory."""

    storage_id: str = ""
    incarnation: int = 0
    votes: dict[str, Vote] = field(default_factory=dict)
    vote_count: int = 0
    known_versions: dict[str, StorageVersion] = field(default_factory=dict)
    admitted: bool = False
    fencing_tokens: dict[str, int] = field(default_factory=dict)
    voter_set: VoterSet | None = None

    def copy(self) -> VirtualDisk:
        """Return an independent copy of the present content."""
        return replace(
            self,
            votes=dict(self.votes),
            known_versions=dict(self.known_versions),
            fencing_tokens=dict(self.fencing_tokens),
        )

    def apply(self, write: PersistVotes) -> None:
        """Apply a completed write to the content."""
        self.votes.update((vote.lease, vote) for vote in write.votes)
        self.vote_count = max(self.vote_count, write.storage_version.vote_count)
        self.known_versions.update(write.known_versions)
        self.admitted = self.admitted or write.admitted
        self.voter_set = write.voter_set or self.voter_set


@dataclass(slots=True)
class DiskFaults:
    """The active faults of one disk, which stay active if the data directory is deleted or replaced.

    Times are seconds on the virtual clock.
    """

    failing_until: float = 0.0
    failing_kind: FaultKind = FaultKind.DISK_FULL
    slow_until: float = 0.0
    delay_s: float = 0.0

    def fail(self, kind: FaultKind, until: float) -> None:
        """Make writes fail until a time; `kind` is DISK_FULL or DISK_READ_ONLY."""
        self.failing_until = until
        self.failing_kind = kind

    def slow_down(self, delay_s: float, until: float) -> None:
        """Delay each write that begins before a time by `delay_s`."""
        self.slow_until = until
        self.delay_s = delay_s

    def is_failing(self, now: float) -> bool:
        """Whether a write that ends at `now` fails."""
        return now < self.failing_until

    def delay_at(self, now: float) -> float:
        """Return the additional duration of a write that begins at `now`, in seconds."""
        return self.delay_s if now < self.slow_until else 0.0
