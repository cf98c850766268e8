"""Which set of voters counts: its epoch, and when a voter goes on to the next one.

The operators' files have the voters and their epoch; the next epoch differs by one voter. Any majorities of
two such sets share a voter (Ongaro 2014, section 4.1), so both may be asked side by side while the files are
changed one after the other. Of three sets in turn the first and the third need not share one. Hence a voter
at epoch u that hears of a proposal for u+1 closes u-1 and agrees to one set as the next, both on disk, and
says so with its votes. Who has that of a majority of set u, itself included, takes over their fencing tokens
and goes on; a majority agreed, so all go on to one set. What it is told of goes with it as voted for just
then. A process that requests leases goes by one set for as long as it lives.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

DIGEST_BYTES = 7  # so that it fits the numbers of a datagram


def digest_of(voters: Iterable[str]) -> int:
    """A voter set as one number: of the names, since each voter may be reached at several addresses."""
    text = "\n".join(sorted(voters)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest())


@dataclass(frozen=True, slots=True)
class VoterSet:
    """A voter set as stored in a data directory."""

    epoch: int
    voters: tuple[str, ...]
    previous_digest: int = 0
    minimum_epoch: int = 0  # requests by sets of lower epochs are rejected
    agreed_digest: int = 0  # of the next set, once this voter has agreed to one

    @property
    def digest(self) -> int:
        """Of its names."""
        return digest_of(self.voters)

    @property
    def majority(self) -> int:
        """Of its voters."""
        return len(self.voters) // 2 + 1

    def accepts(self, epoch: int, digest: int) -> bool:
        """Whether a request by this set is to be judged at all."""
        if epoch == self.epoch:
            return digest == self.digest
        return self.minimum_epoch <= epoch == self.epoch - 1 and digest == self.previous_digest

    def agree_to(self, digest: int) -> VoterSet:
        """Agreed to a next set, the first that was heard of, and closed for the one before."""
        return replace(self, minimum_epoch=self.epoch, agreed_digest=self.agreed_digest or digest)

    def successor(self, voters: tuple[str, ...]) -> VoterSet:
        """The next one, once a majority has agreed to it."""
        return VoterSet(self.epoch + 1, voters, self.digest, self.epoch)


@dataclass(frozen=True, slots=True)
class VoterSetStatus:
    """What another voter says of its voter set."""

    epoch: int
    digest: int
    minimum_epoch: int
    agreed_digest: int


class VoterSetRelation(Enum):
    """How the configured voter set compares with the one in the data directory."""

    SAME = "same"
    SUCCESSOR = "successor"
    BEHIND = "behind"
    INCONSISTENT = "inconsistent"


@dataclass(frozen=True, slots=True)
class VoterSetComparison:
    """The relation, and why a voter can't go by its configuration."""

    relation: VoterSetRelation
    reason: str = ""


def compare(stored: VoterSet, epoch: int, voters: tuple[str, ...]) -> VoterSetComparison:
    """Compare the configured voter set with the one in the data directory."""
    listed = " ".join(stored.voters)
    if stored.epoch == epoch:
        if stored.digest == digest_of(voters):
            return VoterSetComparison(VoterSetRelation.SAME)
        return VoterSetComparison(
            VoterSetRelation.INCONSISTENT,
            f"its folder has list {epoch} as {listed}: a change needs an epoch",
        )
    if epoch < stored.epoch:
        return VoterSetComparison(
            VoterSetRelation.INCONSISTENT,
            f"its folder has list {stored.epoch} already, its file list {epoch}",
        )
    if epoch > stored.epoch + 1:
        return VoterSetComparison(
            VoterSetRelation.BEHIND, f"its folder has list {stored.epoch}, its file list {epoch}"
        )
    if len(set(stored.voters) ^ set(voters)) != 1:
        return VoterSetComparison(
            VoterSetRelation.INCONSISTENT, f"list {epoch} differs from {listed} by more than one voter"
        )
    return VoterSetComparison(VoterSetRelation.SUCCESSOR)


def may_advance(
    current: VoterSet, proposed_digest: int, statuses: dict[str, VoterSetStatus], member: str
) -> bool:
    """Whether a majority of the current set has agreed to the proposed one and is closed for the one before.

    This member counts where it is one of the voters.
    """

    def is_ready(status: VoterSetStatus) -> bool:
        if status.epoch == current.epoch:
            return status.minimum_epoch == current.epoch and status.agreed_digest == proposed_digest
        return status.epoch == current.epoch + 1 and status.digest == proposed_digest

    ready = {
        name
        for name, status in statuses.items()
        if name in current.voters and name != member and is_ready(status)
    }
    is_ready_itself = (
        member in current.voters
        and current.agreed_digest == proposed_digest
        and current.minimum_epoch == current.epoch
    )
    return len(ready) + is_ready_itself >= current.majority
