"""Which list of voters counts: owns its number, its epoch, and when a voter goes on to the next. It must
never let two majorities be had that know nothing of each other.

The operators' files have the list and its epoch; the next epoch differs by one voter. Any majorities of two
such lists share a voter (Ongaro 2014, section 4.1), so both may be asked side by side while the files are
changed one after the other. Of three lists in turn the first and the third need not share one. Hence a voter
at epoch u that hears of a wish for u+1 closes u-1 and agrees to one list as the next, both on disk, and tells
so with its promises. Who has that of a majority of list u, itself included, takes over their tickets and goes
on; a majority agreed, so all go on to one list. What it is told of goes with it as promised just then. A
process that asks goes by one list for as long as it lives.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum


def digest_of(voters: Iterable[str]) -> int:
    """A list of voters as one number: of their names, since each may be reached at several addresses."""
    text = "\n".join(sorted(voters)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=7).digest())


@dataclass(frozen=True, slots=True)
class VoterSet:
    """The list of voters as a folder has it."""

    epoch: int
    voters: tuple[str, ...]
    previous_digest: int = 0  # the digest of the list before it
    minimum_epoch: int = 0  # asks by lists of lower epochs are refused
    agreed_digest: int = 0  # the digest of the next list, once this voter has agreed to one

    @property
    def digest(self) -> int:
        """Of its names."""
        return digest_of(self.voters)

    @property
    def majority(self) -> int:
        """Of its voters."""
        return len(self.voters) // 2 + 1

    def accepts(self, epoch: int, told: int) -> bool:
        """Whether an ask by this list is to be judged at all."""
        if epoch == self.epoch:
            return told == self.digest
        return self.minimum_epoch <= epoch == self.epoch - 1 and told == self.previous_digest

    def agree_to(self, told: int) -> VoterSet:
        """Agreed to a next list, the first that was heard of, and closed for the one before."""
        return replace(self, minimum_epoch=self.epoch, agreed_digest=self.agreed_digest or told)

    def successor(self, voters: tuple[str, ...]) -> VoterSet:
        """The next one, once a majority has agreed to it."""
        return VoterSet(self.epoch + 1, voters, self.digest, self.epoch)


@dataclass(frozen=True, slots=True)
class VoterSetStatus:
    """What another voter says of its list."""

    epoch: int
    digest: int
    minimum_epoch: int
    agreed_digest: int


class VoterSetRelation(Enum):
    """What a folder's list and the file's come to."""

    SAME = "same"
    SUCCESSOR = "next"
    BEHIND = "behind"
    INCONSISTENT = "wrong"


def compare(roll: VoterSet, epoch: int, voters: tuple[str, ...]) -> tuple[VoterSetRelation, str]:
    """The kind, and why a voter can't go by its file."""
    if roll.epoch == epoch:
        if roll.digest == digest_of(voters):
            return VoterSetRelation.SAME, ""
        return (
            VoterSetRelation.INCONSISTENT,
            f"its folder has list {epoch} as {' '.join(roll.voters)}: a change needs an epoch",
        )
    if epoch < roll.epoch:
        return (
            VoterSetRelation.INCONSISTENT,
            f"its folder has list {roll.epoch} already, its file list {epoch}",
        )
    if epoch > roll.epoch + 1:
        return VoterSetRelation.BEHIND, f"its folder has list {roll.epoch}, its file list {epoch}"
    if len(set(roll.voters) ^ set(voters)) != 1:
        return (
            VoterSetRelation.INCONSISTENT,
            f"list {epoch} differs from {' '.join(roll.voters)} by more than one voter",
        )
    return VoterSetRelation.SUCCESSOR, ""


def may_advance(roll: VoterSet, wish: int, said: dict[str, VoterSetStatus], me: str) -> bool:
    """Whether a majority of this list has agreed to the one wished for, and is closed for the one before."""
    ready = {
        name
        for name, each in said.items()
        if name in roll.voters
        and name != me
        and (
            (each.epoch == roll.epoch and each.minimum_epoch == roll.epoch and each.agreed_digest == wish)
            or (each.epoch == roll.epoch + 1 and each.digest == wish)
        )
    }
    mine = me in roll.voters and roll.agreed_digest == wish and roll.minimum_epoch == roll.epoch
    return len(ready) + mine >= roll.majority
