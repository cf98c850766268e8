"""Faults planted in the decisions on purpose, each a mistake that somebody could make: owns how each is put
in and taken out again. A rule that finds none of them proves nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from typing import Any
from unittest import mock

from stairhatch.fleet import voter
from stairhatch.fleet.effects import SendMessage, Vote
from stairhatch.fleet.fencing import FencingTokens, TokenCheck
from stairhatch.fleet.lease import LeaseClient, LeaseState, LeaseTimings
from stairhatch.fleet.member import ClusterMember
from stairhatch.fleet.messages import LeaseGranted, LeaseRelease, LeaseRequest, RejectionReason
from stairhatch.fleet.vote_table import Rejection, VoteTable
from stairhatch.fleet.voter import Voter
from stairhatch.fleet.voter_set import VoterSet, may_advance
from stairhatch.fleet.voter_startup import VoterState

Patch = tuple[Any, str, Any]
MUTATIONS: dict[str, Callable[[], list[Patch]]] = {}


def mutation(name: str) -> Callable[[Callable[[], list[Patch]]], None]:
    """Enter a fault under a name."""

    def enter(patches: Callable[[], list[Patch]]) -> None:
        MUTATIONS[name] = patches

    return enter


@contextmanager
def mutation_applied(name: str) -> Iterator[None]:
    """The decisions with this fault in them; "" for none."""
    with ExitStack() as stack:
        for owner, attribute, value in MUTATIONS[name]() if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, value))
        yield


# ---- receivers ----


@mutation("a fence is not checked")
def _() -> list[Patch]:
    return [(FencingTokens, "check", lambda self, claim, ticket, sender: TokenCheck(True))]


@mutation("a fence lasts for one start only")
def _() -> list[Patch]:
    init = ClusterMember.__init__

    def forgetful(self: ClusterMember, *told: Any) -> None:
        init(self, *told[:6], None, *told[7:])  # type: ignore[call-arg]

    return [(ClusterMember, "__init__", forgetful)]


@mutation("a fence keeps the last ticket and not the highest")
def _() -> list[Patch]:
    def last(self: FencingTokens, claim: str, ticket: int) -> TokenCheck:
        good = ticket >= self.highest.get(claim, 0) or ticket % 2 == 0
        self.highest[claim] = ticket
        return TokenCheck(good)

    return [(FencingTokens, "admit", last)]


# ---- holders ----


@mutation("the term counts from the answer")
def _() -> list[Patch]:
    real = LeaseClient.handle_granted

    def late(self: LeaseClient, now: float, message: LeaseGranted) -> list[Any]:
        if round_ := self._rounds.get(message.request_id):
            round_.started_at = now
        return real(self, now, message)

    return [(LeaseClient, "handle_granted", late)]


@mutation("may_act does not look at the time")
def _() -> list[Patch]:
    return [(LeaseClient, "may_act", lambda self, now: self.state is LeaseState.HELD)]


@mutation("may_act holds while it is asked for again")
def _() -> list[Patch]:
    return [
        (
            LeaseClient,
            "may_act",
            lambda self, now: self.fencing_token > 0 and self.state is not LeaseState.IDLE,
        )
    ]


@mutation("drift is not reckoned with")
def _() -> list[Patch]:
    same = property(lambda self: self.duration_s)
    keeps = lambda self, vote: max(vote.duration_s, self.timings.duration_s)  # noqa: E731
    return [(LeaseTimings, "holder_duration_s", same), (VoteTable, "duration_s", keeps)]


@mutation("late answers count for the newest round")
def _() -> list[Patch]:
    real = LeaseClient.handle_granted

    def newest(self: LeaseClient, now: float, message: LeaseGranted) -> list[Any]:
        if self._rounds and message.fencing_token == self.fencing_token:
            serial = next(reversed(self._rounds))
            message = LeaseGranted(
                message.lease, message.voter, message.fencing_token, serial, message.storage_version
            )
        return real(self, now, message)

    return [(LeaseClient, "handle_granted", newest)]


@mutation("less than a majority is enough for the holder")
def _() -> list[Patch]:
    return [(LeaseClient, "majority", property(lambda self: len(self.voters) // 2))]


@mutation("the ticket is not raised")
def _() -> list[Patch]:
    real = LeaseClient._send_requests

    def same(self: LeaseClient, now: float) -> list[Any]:
        if self.state is LeaseState.REQUESTING:
            self.highest_token = max(0, self.highest_token - 1)
        return real(self, now)

    return [(LeaseClient, "_send_requests", same)]


@mutation("who gives back goes on")
def _() -> list[Patch]:
    real = LeaseClient.release

    def goes_on(self: LeaseClient, now: float, successor: str = "") -> list[Any]:
        was = self.state, self.expires_at, self.due_at
        out = real(self, now, successor)
        if was[0] is LeaseState.HELD:
            self.state, self.expires_at, self.due_at = was
        return [each for each in out if isinstance(each, SendMessage)]

    return [(LeaseClient, "release", goes_on)]


# ---- voters ----


@mutation("a promise is answered before it is on disk")
def _() -> list[Patch]:
    real = Voter._cast_vote

    def early(self: Voter, *told: Any) -> list[Any]:
        out = real(self, *told)
        grant = self.log.pending_grants.pop(self.log.last_write_id)
        return [*out, SendMessage(grant.destination, grant.message)]

    return [(Voter, "_cast_vote", early)]


@mutation("a copy of an ask is answered before the disk is")
def _() -> list[Patch]:
    real = Voter.handle_request

    def eager(self: Voter, now: float, sender: Any, ask: LeaseRequest) -> list[Any]:
        under_way = self.log.under_way
        if self.votes.by_lease.get(ask.lease) == Vote(
            ask.lease, ask.fencing_token, ask.holder, ask.incarnation, ask.duration_ms / 1000
        ):
            self.log.under_way = {}
        out = real(self, now, sender, ask)
        self.log.under_way = {**under_way, **self.log.under_way}
        return out

    return [(Voter, "handle_request", eager)]


@mutation("a disk that is full is not noticed")
def _() -> list[Patch]:
    real = Voter.write_completed
    return [(Voter, "write_completed", lambda self, now, number, fault: real(self, now, number, ""))]


@mutation("a promise is no promise to others")
def _() -> list[Patch]:
    real = Voter._rejection

    def generous(self: Voter, now: float, ask: LeaseRequest) -> Rejection | None:
        found = real(self, now, ask)
        if found is None or found.reason != RejectionReason.HELD.value:
            return found
        if ask.fencing_token > found.highest_token:
            return None
        return Rejection(RejectionReason.TOKEN_TOO_LOW.value, found.highest_token)

    return [(Voter, "_rejection", generous)]


@mutation("a voter takes any ticket")
def _() -> list[Patch]:
    real = Voter._rejection

    def any_token(self: Voter, now: float, ask: LeaseRequest) -> Rejection | None:
        found = real(self, now, ask)
        if found is not None and found.reason == RejectionReason.TOKEN_TOO_LOW.value:
            return None
        return found

    return [(Voter, "_rejection", any_token)]


@mutation("a renewal does not lengthen the promise")
def _() -> list[Patch]:
    real = Voter.handle_request

    def short(self: Voter, now: float, sender: Any, ask: LeaseRequest) -> list[Any]:
        until, old = self.votes.expires_at.get(ask.lease), self.votes.by_lease.get(ask.lease)
        out = real(self, now, sender, ask)
        if old is not None and until is not None and old.fencing_token == ask.fencing_token:
            self.votes.expires_at[ask.lease] = until
        return out

    return [(Voter, "handle_request", short)]


@mutation("promises are over with a restart")
def _() -> list[Patch]:
    init = Voter.__init__

    def forgetful(self: Voter, *told: Any) -> None:
        init(self, *told)
        self.votes.expires_at = {}

    return [(Voter, "__init__", forgetful)]


@mutation("an empty folder votes at once")
def _() -> list[Patch]:
    init = Voter.__init__

    def trusting(self: Voter, *told: Any) -> None:
        init(self, *told)
        self.state, self.is_new_storage = VoterState.VOTING, False

    return [(Voter, "__init__", trusting)]


@mutation("an older folder is not noticed")
def _() -> list[Patch]:
    return [(Voter, "_is_behind", lambda self, mark: False)]


@mutation("who is let in again does not wait")
def _() -> list[Patch]:
    real = Voter._start_waiting

    def at_once(self: Voter, now: float) -> list[Any]:
        out = real(self, now)
        self.waiting_until, self.votes.expires_at = now, {}
        return out

    return [(Voter, "_start_waiting", at_once)]


@mutation("who is let in again is told no promises")
def _() -> list[Patch]:
    real = Voter._admit

    def untold(self: Voter, now: float, good: list[Any]) -> list[Any]:
        for each in good:
            each.votes.clear()
        self.votes.by_lease.clear()
        return real(self, now, good)

    return [(Voter, "_admit", untold)]


@mutation("a fleet is founded by any two")
def _() -> list[Patch]:
    real = Voter._evaluate_replies

    def hasty(self: Voter, now: float) -> list[Any]:
        if self.state is VoterState.NEW_STORAGE and self.peers.by_voter:
            return self._start_waiting(now)
        return real(self, now)

    return [(Voter, "_evaluate_replies", hasty)]


@mutation("anybody gives back for anybody")
def _() -> list[Patch]:
    real = Voter.handle_release

    def open_to_all(self: Voter, now: float, back: LeaseRelease) -> list[Any]:
        old = self.votes.by_lease.get(back.lease)
        if old is not None:
            back = LeaseRelease(
                back.lease, old.holder or "-", old.incarnation, old.fencing_token, back.successor
            )
        return real(self, now, back)

    return [(Voter, "handle_release", open_to_all)]


@mutation("what is given back is forgotten with its ticket")
def _() -> list[Patch]:
    real = Voter.handle_release

    def forgotten(self: Voter, now: float, back: LeaseRelease) -> list[Any]:
        old = self.votes.by_lease.get(back.lease)
        out = real(self, now, back)
        if old is not None and old != self.votes.by_lease.get(back.lease):
            self.votes.by_lease[back.lease] = Vote(back.lease, 0)
        return out

    return [(Voter, "handle_release", forgotten)]


@mutation("who is let in hears the promises before its wait")
def _() -> list[Patch]:
    real = Voter._admit

    def early(self: Voter, now: float, good: list[Any]) -> list[Any]:
        out = real(self, now, good)
        self._is_founding = True
        return out

    return [(Voter, "_admit", early)]


# ---- lists of voters ----


@mutation("any list of voters is served")
def _() -> list[Patch]:
    return [(VoterSet, "accepts", lambda self, epoch, told: True)]


@mutation("a list stays open while the second after it is gone on to")
def _() -> list[Patch]:
    real = VoterSet.successor
    wide = lambda self, voters: replace(real(self, voters), minimum_epoch=0)  # noqa: E731
    serves = lambda self, epoch, told: epoch <= self.epoch  # noqa: E731
    agree = lambda self, told: replace(self, agreed_digest=self.agreed_digest or told)  # noqa: E731
    ready = lambda roll, wish, said, me: may_advance(  # noqa: E731
        replace(roll, minimum_epoch=roll.epoch),
        wish,
        {name: replace(each, minimum_epoch=roll.epoch) for name, each in said.items()},
        me,
    )
    return [
        (VoterSet, "successor", wide),
        (VoterSet, "accepts", serves),
        (VoterSet, "agree_to", agree),
        (voter, "may_advance", ready),
    ]


@mutation("a voter goes on to its file's list by itself")
def _() -> list[Patch]:
    return [(voter, "may_advance", lambda roll, wish, said, me: True)]


@mutation("who goes on to the next list takes over no tickets")
def _() -> list[Patch]:
    real = Voter._take_over_votes

    def nothing(self: Voter, now: float, good: list[Any]) -> None:
        if not self.is_voting:
            real(self, now, good)

    return [(Voter, "_take_over_votes", nothing)]
