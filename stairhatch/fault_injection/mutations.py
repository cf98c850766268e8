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
from stairhatch.fleet.fencing import FencingTokens
from stairhatch.fleet.lease import LeaseClient, LeaseState, LeaseTimings
from stairhatch.fleet.member import ClusterMember
from stairhatch.fleet.messages import LeaseGranted, LeaseRelease, LeaseRequest
from stairhatch.fleet.voter import Voter, VoterState
from stairhatch.fleet.voter_set import VoterSet, may_advance

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
    return [(FencingTokens, "take", lambda self, claim, ticket, sender: (True, []))]


@mutation("a fence lasts for one start only")
def _() -> list[Patch]:
    init = ClusterMember.__init__

    def forgetful(self: ClusterMember, *told: Any) -> None:
        init(self, *told[:6], None, *told[7:])  # type: ignore[call-arg]

    return [(ClusterMember, "__init__", forgetful)]


@mutation("a fence keeps the last ticket and not the highest")
def _() -> list[Patch]:
    def last(self: FencingTokens, claim: str, ticket: int) -> tuple[bool, list[Any]]:
        good = ticket >= self.seen.get(claim, 0) or ticket % 2 == 0
        self.seen[claim] = ticket
        return good, []

    return [(FencingTokens, "pass_through", last)]


# ---- holders ----


@mutation("the term counts from the answer")
def _() -> list[Patch]:
    real = LeaseClient.granted

    def late(self: LeaseClient, now: float, message: LeaseGranted) -> list[Any]:
        if round_ := self._rounds.get(message.serial):
            round_.at = now
        return real(self, now, message)

    return [(LeaseClient, "granted", late)]


@mutation("may_act does not look at the time")
def _() -> list[Patch]:
    return [(LeaseClient, "may_act", lambda self, now: self.stage is LeaseState.HELD)]


@mutation("may_act holds while it is asked for again")
def _() -> list[Patch]:
    return [(LeaseClient, "may_act", lambda self, now: self.ticket > 0 and self.stage is not LeaseState.IDLE)]


@mutation("drift is not reckoned with")
def _() -> list[Patch]:
    same = property(lambda self: self.term_s)
    keeps = lambda self, promise: max(promise.term_s, self.terms.term_s)  # noqa: E731
    return [(LeaseTimings, "held_s", same), (Voter, "_keeps", keeps)]


@mutation("late answers count for the newest round")
def _() -> list[Patch]:
    real = LeaseClient.granted

    def newest(self: LeaseClient, now: float, message: LeaseGranted) -> list[Any]:
        if self._rounds and message.ticket == self.ticket:
            serial = next(reversed(self._rounds))
            message = LeaseGranted(message.claim, message.voter, message.ticket, serial, message.mark)
        return real(self, now, message)

    return [(LeaseClient, "granted", newest)]


@mutation("less than a majority is enough for the holder")
def _() -> list[Patch]:
    return [(LeaseClient, "majority", property(lambda self: len(self.voters) // 2))]


@mutation("the ticket is not raised")
def _() -> list[Patch]:
    real = LeaseClient._ask

    def same(self: LeaseClient, now: float) -> list[Any]:
        if self.stage is LeaseState.REQUESTING:
            self.highest = max(0, self.highest - 1)
        return real(self, now)

    return [(LeaseClient, "_ask", same)]


@mutation("who gives back goes on")
def _() -> list[Patch]:
    real = LeaseClient.give_back

    def goes_on(self: LeaseClient, now: float, successor: str = "") -> list[Any]:
        was = self.stage, self.until, self.due
        out = real(self, now, successor)
        if was[0] is LeaseState.HELD:
            self.stage, self.until, self.due = was
        return [each for each in out if isinstance(each, SendMessage)]

    return [(LeaseClient, "give_back", goes_on)]


# ---- voters ----


@mutation("a promise is answered before it is on disk")
def _() -> list[Patch]:
    real = Voter._promise

    def early(self: Voter, *told: Any) -> list[Any]:
        out = real(self, *told)
        sender, message, _ = self._answers.pop(self._number)
        return [*out, SendMessage(sender, message)]

    return [(Voter, "_promise", early)]


@mutation("a copy of an ask is answered before the disk is")
def _() -> list[Patch]:
    real = Voter.asked

    def eager(self: Voter, now: float, sender: Any, ask: LeaseRequest) -> list[Any]:
        under_way = self._writing
        if self.promises.get(ask.claim) == Vote(
            ask.claim, ask.ticket, ask.holder, ask.incarnation, ask.term_ms / 1000
        ):
            self._writing = {}
        out = real(self, now, sender, ask)
        self._writing = {**under_way, **self._writing}
        return out

    return [(Voter, "asked", eager)]


@mutation("a disk that is full is not noticed")
def _() -> list[Patch]:
    real = Voter.written
    return [(Voter, "written", lambda self, now, number, fault: real(self, now, number, ""))]


@mutation("a promise is no promise to others")
def _() -> list[Patch]:
    real = Voter._against

    def generous(self: Voter, now: float, ask: LeaseRequest) -> Any:
        found = real(self, now, ask)
        held = found[0] == "held" and ask.ticket > found[1]
        return (
            ("low", found[1], "", 0.0)
            if found[0] == "held" and not held
            else (("", 0, "", 0.0) if held else found)
        )

    return [(Voter, "_against", generous)]


@mutation("a voter takes any ticket")
def _() -> list[Patch]:
    real = Voter._against
    return [
        (
            Voter,
            "_against",
            lambda self, now, ask: ("", 0, "", 0.0)
            if real(self, now, ask)[0] == "low"
            else real(self, now, ask),
        )
    ]


@mutation("a renewal does not lengthen the promise")
def _() -> list[Patch]:
    real = Voter.asked

    def short(self: Voter, now: float, sender: Any, ask: LeaseRequest) -> list[Any]:
        until, old = self.until.get(ask.claim), self.promises.get(ask.claim)
        out = real(self, now, sender, ask)
        if old is not None and until is not None and old.ticket == ask.ticket:
            self.until[ask.claim] = until
        return out

    return [(Voter, "asked", short)]


@mutation("promises are over with a restart")
def _() -> list[Patch]:
    init = Voter.__init__

    def forgetful(self: Voter, *told: Any) -> None:
        init(self, *told)
        self.until = {}

    return [(Voter, "__init__", forgetful)]


@mutation("an empty folder votes at once")
def _() -> list[Patch]:
    init = Voter.__init__

    def trusting(self: Voter, *told: Any) -> None:
        init(self, *told)
        self.standing, self.fresh = VoterState.VOTING, False

    return [(Voter, "__init__", trusting)]


@mutation("an older folder is not noticed")
def _() -> list[Patch]:
    return [(Voter, "_behind", lambda self, mark: False)]


@mutation("who is let in again does not wait")
def _() -> list[Patch]:
    real = Voter._wait

    def at_once(self: Voter, now: float) -> list[Any]:
        out = real(self, now)
        self.waits_until, self.until = now, {}
        return out

    return [(Voter, "_wait", at_once)]


@mutation("who is let in again is told no promises")
def _() -> list[Patch]:
    real = Voter._let_in

    def untold(self: Voter, now: float, good: list[Any]) -> list[Any]:
        for each in good:
            each.promises.clear()
        self.promises.clear()
        return real(self, now, good)

    return [(Voter, "_let_in", untold)]


@mutation("a fleet is founded by any two")
def _() -> list[Patch]:
    real = Voter._judge

    def hasty(self: Voter, now: float) -> list[Any]:
        if self.standing is VoterState.NEW_STORAGE and self.heard:
            return self._wait(now)
        return real(self, now)

    return [(Voter, "_judge", hasty)]


@mutation("anybody gives back for anybody")
def _() -> list[Patch]:
    real = Voter.given_back

    def open_to_all(self: Voter, now: float, back: LeaseRelease) -> list[Any]:
        old = self.promises.get(back.claim)
        if old is not None:
            back = LeaseRelease(back.claim, old.holder or "-", old.incarnation, old.ticket, back.successor)
        return real(self, now, back)

    return [(Voter, "given_back", open_to_all)]


@mutation("what is given back is forgotten with its ticket")
def _() -> list[Patch]:
    real = Voter.given_back

    def forgotten(self: Voter, now: float, back: LeaseRelease) -> list[Any]:
        old = self.promises.get(back.claim)
        out = real(self, now, back)
        if old is not None and old != self.promises.get(back.claim):
            self.promises[back.claim] = Vote(back.claim, 0)
        return out

    return [(Voter, "given_back", forgotten)]


@mutation("who is let in hears the promises before its wait")
def _() -> list[Patch]:
    real = Voter._let_in

    def early(self: Voter, now: float, good: list[Any]) -> list[Any]:
        out = real(self, now, good)
        self._founds = True
        return out

    return [(Voter, "_let_in", early)]


# ---- lists of voters ----


@mutation("any list of voters is served")
def _() -> list[Patch]:
    return [(VoterSet, "serves", lambda self, epoch, told: True)]


@mutation("a list stays open while the second after it is gone on to")
def _() -> list[Patch]:
    real = VoterSet.next
    wide = lambda self, voters: replace(real(self, voters), floor=0)  # noqa: E731
    serves = lambda self, epoch, told: epoch <= self.epoch  # noqa: E731
    agree = lambda self, told: replace(self, agreed=self.agreed or told)  # noqa: E731
    ready = lambda roll, wish, said, me: may_advance(  # noqa: E731
        replace(roll, floor=roll.epoch),
        wish,
        {name: replace(each, floor=roll.epoch) for name, each in said.items()},
        me,
    )
    return [
        (VoterSet, "next", wide),
        (VoterSet, "serves", serves),
        (VoterSet, "agree", agree),
        (voter, "may_advance", ready),
    ]


@mutation("a voter goes on to its file's list by itself")
def _() -> list[Patch]:
    return [(voter, "may_advance", lambda roll, wish, said, me: True)]


@mutation("who goes on to the next list takes over no tickets")
def _() -> list[Patch]:
    real = Voter._take_over

    def nothing(self: Voter, now: float, good: list[Any]) -> None:
        if not self.votes:
            real(self, now, good)

    return [(Voter, "_take_over", nothing)]
