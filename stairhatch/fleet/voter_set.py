"""Voter sets, their epochs, and the condition for a voter to advance from one set to the next.

The configuration of each member lists the voters and the epoch; successive epochs differ by one voter. Any
majority of one set shares a voter with any majority of the next set (Ongaro 2014, section 4.1), so requests
under both sets are safe while the operators change the configurations one after the other. The first and the
third of three successive sets, however, may have majorities without a common voter.

Therefore a voter at epoch u that receives a proposal for epoch u+1 rejects requests of epoch u-1 from then on
and agrees to one set as the next. Both are written to disk and reported in its status replies. A voter that
has such reports from a majority of set u, itself included, adopts the votes of the reporting voters, with
their fencing tokens, and advances to set u+1. Since a majority must agree, all voters advance to the same
set. The adopted votes count as cast at the moment of the advance. A process that requests leases uses one
voter set until it restarts.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

DIGEST_BYTES = 7  # a digest of this size fits into a `messages.Number`


def digest_of(voters: Iterable[str]) -> int:
    """Return a digest of the voters' names, in any order.

    The addresses are left out, since members may reach the same voter at different addresses.
    """
    text = "\n".join(sorted(voters)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest())


@dataclass(frozen=True, slots=True)
class VoterSet:
    """A voter set with its epoch and its change to the next set, as stored in a data directory."""

    epoch: int
    voters: tuple[str, ...]
    previous_digest: int = 0  # of the set with the epoch before; 0: unknown
    minimum_epoch: int = 0  # requests of lower epochs are rejected
    agreed_digest: int = 0  # of the next set that this voter has agreed to; 0: none

    @property
    def digest(self) -> int:
        """The digest of the voters' names."""
        return digest_of(self.voters)

    @property
    def majority(self) -> int:
        """The number of voters that form a majority of this set."""
        return len(self.voters) // 2 + 1

    def accepts(self, epoch: int, digest: int) -> bool:
        """Return whether requests under the voter set with this epoch and digest are served.

        These are requests under the current set and, until it is closed, under the set before.
        """
        if epoch == self.epoch:
            return digest == self.digest
        return self.minimum_epoch <= epoch == self.epoch - 1 and digest == self.previous_digest

    def agree_to(self, digest: int) -> VoterSet:
        """Return this set with an agreement to the next set and closed to requests of the set before.

        An earlier agreement to another next set is kept.
        """
        return replace(self, minimum_epoch=self.epoch, agreed_digest=self.agreed_digest or digest)

    def successor(self, voters: tuple[str, ...]) -> VoterSet:
        """Return the next set, which has these voters; a majority must have agreed to it."""
        return VoterSet(self.epoch + 1, voters, self.digest, self.epoch)


@dataclass(frozen=True, slots=True)
class VoterSetStatus:
    """The state of another voter's voter set, from its status reply."""

    epoch: int
    digest: int
    minimum_epoch: int  # the voter rejects requests of lower epochs
    agreed_digest: int  # of the next set that the voter has agreed to; 0: none


class VoterSetRelation(Enum):
    """The relation of the configured voter set to the one in the data directory."""

    SAME = "same"
    SUCCESSOR = "successor"  # the configured set has the next epoch and differs by one voter
    BEHIND = "behind"  # the stored set is more than one epoch older than the configured one
    INCONSISTENT = "inconsistent"  # the configured set cannot follow the stored one


@dataclass(frozen=True, slots=True)
class VoterSetComparison:
    """The result of `compare`: a relation, and why the voter cannot use its configuration ("": it can)."""

    relation: VoterSetRelation
    reason: str = ""


def compare(stored: VoterSet, epoch: int, voters: tuple[str, ...]) -> VoterSetComparison:
    """Compare the configured voter set, given by epoch and voters, with the one in the data directory.

    `INCONSISTENT` protects against a mistyped configuration, which could form a second majority.
    """
    stored_names = " ".join(stored.voters)
    if stored.epoch == epoch:
        if stored.digest == digest_of(voters):
            return VoterSetComparison(VoterSetRelation.SAME)
        return VoterSetComparison(
            VoterSetRelation.INCONSISTENT,
            f"epoch {epoch} has the voters {stored_names} in the data directory: a change needs a new epoch",
        )
    if epoch < stored.epoch:
        return VoterSetComparison(
            VoterSetRelation.INCONSISTENT,
            f"the data directory has epoch {stored.epoch} already, the configuration epoch {epoch}",
        )
    if epoch > stored.epoch + 1:
        return VoterSetComparison(
            VoterSetRelation.BEHIND,
            f"the data directory has epoch {stored.epoch}, the configuration epoch {epoch}",
        )
    if len(set(stored.voters) ^ set(voters)) != 1:
        return VoterSetComparison(
            VoterSetRelation.INCONSISTENT,
            f"the voter set of epoch {epoch} differs from {stored_names} by more than one voter",
        )
    return VoterSetComparison(VoterSetRelation.SUCCESSOR)


def may_advance(
    current: VoterSet, proposed_digest: int, statuses: dict[str, VoterSetStatus], member: str
) -> bool:
    """Return whether a majority of the current set allows the advance to the proposed set.

    A voter allows it if it has agreed to the proposed set and closed the set before the current one, or has
    advanced already. `member` itself counts if it is a voter of the current set.
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
