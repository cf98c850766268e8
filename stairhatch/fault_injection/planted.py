"""Faults planted in the decisions on purpose, each a mistake that somebody could make: owns how each is put
in and taken out again. A rule that finds none of them proves nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from typing import Any
from unittest import mock

from stairhatch.fleet import voting
from stairhatch.fleet.claims import Claim, Stage, Terms
from stairhatch.fleet.effects import Promise, Send
from stairhatch.fleet.epochs import Roll, may_go_on
from stairhatch.fleet.fence import Fences
from stairhatch.fleet.mate import Mate
from stairhatch.fleet.messages import Ask, GiveBack, Granted
from stairhatch.fleet.voting import Standing, Voter

Patch = tuple[Any, str, Any]
PLANTED: dict[str, Callable[[], list[Patch]]] = {}


def plant(name: str) -> Callable[[Callable[[], list[Patch]]], None]:
    """Enter a fault under a name."""

    def enter(patches: Callable[[], list[Patch]]) -> None:
        PLANTED[name] = patches

    return enter


@contextmanager
def planted(name: str) -> Iterator[None]:
    """The decisions with this fault in them; "" for none."""
    with ExitStack() as stack:
        for owner, attribute, value in PLANTED[name]() if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, value))
        yield


# ---- receivers ----


@plant("a fence is not checked")
def _() -> list[Patch]:
    return [(Fences, "take", lambda self, claim, ticket, sender: (True, []))]


@plant("a fence lasts for one start only")
def _() -> list[Patch]:
    init = Mate.__init__

    def forgetful(self: Mate, *told: Any) -> None:
        init(self, *told[:6], None, *told[7:])  # type: ignore[call-arg]

    return [(Mate, "__init__", forgetful)]


@plant("a fence keeps the last ticket and not the highest")
def _() -> list[Patch]:
    def last(self: Fences, claim: str, ticket: int) -> tuple[bool, list[Any]]:
        good = ticket >= self.seen.get(claim, 0) or ticket % 2 == 0
        self.seen[claim] = ticket
        return good, []

    return [(Fences, "pass_through", last)]


# ---- holders ----


@plant("the term counts from the answer")
def _() -> list[Patch]:
    real = Claim.granted

    def late(self: Claim, now: float, message: Granted) -> list[Any]:
        if round_ := self._rounds.get(message.serial):
            round_.at = now
        return real(self, now, message)

    return [(Claim, "granted", late)]


@plant("may_act does not look at the time")
def _() -> list[Patch]:
    return [(Claim, "may_act", lambda self, now: self.stage is Stage.HELD)]


@plant("may_act holds while it is asked for again")
def _() -> list[Patch]:
    return [(Claim, "may_act", lambda self, now: self.ticket > 0 and self.stage is not Stage.RESTING)]


@plant("drift is not reckoned with")
def _() -> list[Patch]:
    same = property(lambda self: self.term_s)
    keeps = lambda self, promise: max(promise.term_s, self.terms.term_s)  # noqa: E731
    return [(Terms, "held_s", same), (Voter, "_keeps", keeps)]


@plant("late answers count for the newest round")
def _() -> list[Patch]:
    real = Claim.granted

    def newest(self: Claim, now: float, message: Granted) -> list[Any]:
        if self._rounds and message.ticket == self.ticket:
            serial = next(reversed(self._rounds))
            message = Granted(message.claim, message.voter, message.ticket, serial, message.mark)
        return real(self, now, message)

    return [(Claim, "granted", newest)]


@plant("less than a majority is enough for the holder")
def _() -> list[Patch]:
    return [(Claim, "majority", property(lambda self: len(self.voters) // 2))]


@plant("the ticket is not raised")
def _() -> list[Patch]:
    real = Claim._ask

    def same(self: Claim, now: float) -> list[Any]:
        if self.stage is Stage.ASKING:
            self.highest = max(0, self.highest - 1)
        return real(self, now)

    return [(Claim, "_ask", same)]


@plant("who gives back goes on")
def _() -> list[Patch]:
    real = Claim.give_back

    def goes_on(self: Claim, now: float, successor: str = "") -> list[Any]:
        was = self.stage, self.until, self.due
        out = real(self, now, successor)
        if was[0] is Stage.HELD:
            self.stage, self.until, self.due = was
        return [each for each in out if isinstance(each, Send)]

    return [(Claim, "give_back", goes_on)]


# ---- voters ----


@plant("a promise is answered before it is on disk")
def _() -> list[Patch]:
    real = Voter._promise

    def early(self: Voter, *told: Any) -> list[Any]:
        out = real(self, *told)
        sender, message, _ = self._answers.pop(self._number)
        return [*out, Send(sender, message)]

    return [(Voter, "_promise", early)]


@plant("a copy of an ask is answered before the disk is")
def _() -> list[Patch]:
    real = Voter.asked

    def eager(self: Voter, now: float, sender: Any, ask: Ask) -> list[Any]:
        under_way = self._writing
        if self.promises.get(ask.claim) == Promise(
            ask.claim, ask.ticket, ask.holder, ask.incarnation, ask.term_ms / 1000
        ):
            self._writing = {}
        out = real(self, now, sender, ask)
        self._writing = {**under_way, **self._writing}
        return out

    return [(Voter, "asked", eager)]


@plant("a disk that is full is not noticed")
def _() -> list[Patch]:
    real = Voter.written
    return [(Voter, "written", lambda self, now, number, fault: real(self, now, number, ""))]


@plant("a promise is no promise to others")
def _() -> list[Patch]:
    real = Voter._against

    def generous(self: Voter, now: float, ask: Ask) -> Any:
        found = real(self, now, ask)
        held = found[0] == "held" and ask.ticket > found[1]
        return ("low", found[1], "", 0.0) if found[0] == "held" and not held else (
            ("", 0, "", 0.0) if held else found
        )  # fmt: skip

    return [(Voter, "_against", generous)]


@plant("a voter takes any ticket")
def _() -> list[Patch]:
    real = Voter._against
    return [
        (Voter, "_against",
         lambda self, now, ask: ("", 0, "", 0.0) if real(self, now, ask)[0] == "low" else real(self, now,
         ask))
    ]  # fmt: skip


@plant("a renewal does not lengthen the promise")
def _() -> list[Patch]:
    real = Voter.asked

    def short(self: Voter, now: float, sender: Any, ask: Ask) -> list[Any]:
        until, old = self.until.get(ask.claim), self.promises.get(ask.claim)
        out = real(self, now, sender, ask)
        if old is not None and until is not None and old.ticket == ask.ticket:
            self.until[ask.claim] = until
        return out

    return [(Voter, "asked", short)]


@plant("promises are over with a restart")
def _() -> list[Patch]:
    init = Voter.__init__

    def forgetful(self: Voter, *told: Any) -> None:
        init(self, *told)
        self.until = {}

    return [(Voter, "__init__", forgetful)]


@plant("an empty folder votes at once")
def _() -> list[Patch]:
    init = Voter.__init__

    def trusting(self: Voter, *told: Any) -> None:
        init(self, *told)
        self.standing, self.fresh = Standing.VOTES, False

    return [(Voter, "__init__", trusting)]


@plant("an older folder is not noticed")
def _() -> list[Patch]:
    return [(Voter, "_behind", lambda self, mark: False)]


@plant("who is let in again does not wait")
def _() -> list[Patch]:
    real = Voter._wait

    def at_once(self: Voter, now: float) -> list[Any]:
        out = real(self, now)
        self.waits_until, self.until = now, {}
        return out

    return [(Voter, "_wait", at_once)]


@plant("who is let in again is told no promises")
def _() -> list[Patch]:
    real = Voter._let_in

    def untold(self: Voter, now: float, good: list[Any]) -> list[Any]:
        for each in good:
            each.promises.clear()
        self.promises.clear()
        return real(self, now, good)

    return [(Voter, "_let_in", untold)]


@plant("a fleet is founded by any two")
def _() -> list[Patch]:
    real = Voter._judge

    def hasty(self: Voter, now: float) -> list[Any]:
        if self.standing is Standing.NEW and self.heard:
            return self._wait(now)
        return real(self, now)

    return [(Voter, "_judge", hasty)]


@plant("anybody gives back for anybody")
def _() -> list[Patch]:
    real = Voter.given_back

    def open_to_all(self: Voter, now: float, back: GiveBack) -> list[Any]:
        old = self.promises.get(back.claim)
        if old is not None:
            back = GiveBack(back.claim, old.holder or "-", old.incarnation, old.ticket, back.successor)
        return real(self, now, back)

    return [(Voter, "given_back", open_to_all)]


@plant("what is given back is forgotten with its ticket")
def _() -> list[Patch]:
    real = Voter.given_back

    def forgotten(self: Voter, now: float, back: GiveBack) -> list[Any]:
        old = self.promises.get(back.claim)
        out = real(self, now, back)
        if old is not None and old != self.promises.get(back.claim):
            self.promises[back.claim] = Promise(back.claim, 0)
        return out

    return [(Voter, "given_back", forgotten)]


@plant("who is let in hears the promises before its wait")
def _() -> list[Patch]:
    real = Voter._let_in

    def early(self: Voter, now: float, good: list[Any]) -> list[Any]:
        out = real(self, now, good)
        self._founds = True
        return out

    return [(Voter, "_let_in", early)]


# ---- lists of voters ----


@plant("any list of voters is served")
def _() -> list[Patch]:
    return [(Roll, "serves", lambda self, epoch, told: True)]


@plant("a list stays open while the second after it is gone on to")
def _() -> list[Patch]:
    real = Roll.next
    wide = lambda self, voters: replace(real(self, voters), floor=0)  # noqa: E731
    serves = lambda self, epoch, told: epoch <= self.epoch  # noqa: E731
    agree = lambda self, told: replace(self, agreed=self.agreed or told)  # noqa: E731
    ready = lambda roll, wish, said, me: may_go_on(  # noqa: E731
        replace(roll, floor=roll.epoch), wish,
        {name: replace(each, floor=roll.epoch) for name, each in said.items()}, me,
    )  # fmt: skip
    return [(Roll, "next", wide), (Roll, "serves", serves), (Roll, "agree", agree),
            (voting, "may_go_on", ready)]  # fmt: skip


@plant("a voter goes on to its file's list by itself")
def _() -> list[Patch]:
    return [(voting, "may_go_on", lambda roll, wish, said, me: True)]


@plant("who goes on to the next list takes over no tickets")
def _() -> list[Patch]:
    real = Voter._take_over

    def nothing(self: Voter, now: float, good: list[Any]) -> None:
        if not self.votes:
            real(self, now, good)

    return [(Voter, "_take_over", nothing)]
