"""Mutations of voter set changes: errors in the advance of a voter to the next voter set."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from stairhatch.fault_injection.mutations.registry import AttributePatch, mutation, original
from stairhatch.fleet import voter_set_change
from stairhatch.fleet.voter_set import VoterSet, VoterSetStatus, may_advance


@mutation("any list of voters is served")
def accept_any_voter_set() -> list[AttributePatch]:
    """A voter serves requests under any voter set."""

    def accepts(_self: VoterSet, _epoch: int, _digest: int) -> bool:
        return True

    return [AttributePatch(VoterSet, "accepts", accepts)]


@mutation("a list stays open while the second after it is gone on to")
def keep_old_voter_sets_open() -> list[AttributePatch]:
    """Voters advance to the third voter set while the first set is still open.

    Majorities of the first and the third set may have no voter in common.
    """
    original_successor = original(VoterSet, "successor")

    def successor(self: VoterSet, voters: tuple[str, ...]) -> VoterSet:
        next_set: VoterSet = original_successor(self, voters)
        return replace(next_set, minimum_epoch=0)

    def accepts(self: VoterSet, epoch: int, _digest: int) -> bool:
        return epoch <= self.epoch

    def agree_to(self: VoterSet, digest: int) -> VoterSet:
        return replace(self, agreed_digest=self.agreed_digest or digest)

    def advance_unclosed(
        voter_set: VoterSet, proposed: int, statuses: dict[str, VoterSetStatus], member: str
    ) -> bool:
        epoch = voter_set.epoch
        closed = {name: replace(status, minimum_epoch=epoch) for name, status in statuses.items()}
        return may_advance(replace(voter_set, minimum_epoch=epoch), proposed, closed, member)

    return [
        AttributePatch(VoterSet, "successor", successor),
        AttributePatch(VoterSet, "accepts", accepts),
        AttributePatch(VoterSet, "agree_to", agree_to),
        AttributePatch(voter_set_change, "may_advance", advance_unclosed),
    ]


@mutation("a voter goes on to its file's list by itself")
def advance_alone() -> list[AttributePatch]:
    """A voter advances to the voter set in its configuration without the agreement of a majority."""

    def advance(*_args: Any) -> bool:
        return True

    return [AttributePatch(voter_set_change, "may_advance", advance)]


@mutation("who goes on to the next list takes over no tickets")
def advance_without_tokens() -> list[AttributePatch]:
    """A voter advances to the next voter set without the reported votes and their fencing tokens."""

    def take_over_nothing(*_args: Any) -> None:
        pass

    return [AttributePatch(voter_set_change, "take_over_reported_votes", take_over_nothing)]
