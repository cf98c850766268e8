"""The rules of claims, read off a history: owns what counts as broken. It goes by when each process began and
ceased to hold, what receivers took and when, and never by what a process says of the others.

  one     no two starts of any process hold one claim at the same time
  grows   whoever holds a claim after another does so with a higher ticket
  fenced  no receiver takes work under a ticket below the highest that it has taken, unless its folder was
  taken
          away in between
  acts    nothing is done under a claim by who did not hold it when it checked
  held    long after the last fault, a claim that somebody wants is held
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from stairhatch.fault_injection.history import Line
from stairhatch.fleet.effects import What


@dataclass(frozen=True, slots=True)
class Broken:
    """A rule that was broken, and how."""

    rule: str
    at: float
    how: str


@dataclass(frozen=True, slots=True)
class Held:
    """One stretch for which one start of a process could act under a claim."""

    claim: str
    who: str
    start: int
    ticket: int
    since: float
    until: float


BEGINS = (What.HELD.value, What.RENEWED.value)
ENDS = (What.LOST.value, What.GIVEN_BACK.value, What.STOOD_DOWN.value)
EPSILON_S = 1e-6


def stretches(lines: Iterable[Line]) -> list[Held]:
    """Who could act when. A stop ends nothing: who is let go on within its term may act."""
    found: list[Held] = []
    open_ones: dict[tuple[str, str, int], Held] = {}

    def close(key: tuple[str, str, int], at: float) -> None:
        held = open_ones.pop(key)
        found.append(Held(held.claim, *key[1:], held.ticket, held.since, min(held.until, at)))

    for line in sorted(lines, key=lambda each: each.at):
        key = (line.claim, line.who, line.start)
        if line.what in BEGINS:
            old = open_ones.get(key)
            if old is not None and (old.ticket != line.ticket or line.at > old.until + EPSILON_S):
                close(key, line.at)
                old = None
            since = old.since if old is not None else line.at
            open_ones[key] = Held(line.claim, line.who, line.start, line.ticket, since, line.until)
        elif line.what in ENDS and key in open_ones:
            close(key, line.at)
        elif line.what == "killed":
            for each in [k for k in open_ones if k[1] == line.who]:
                close(each, line.at)
    for key in list(open_ones):
        close(key, float("inf"))
    return sorted(found, key=lambda each: each.since)


def check(lines: list[Line], slack_s: float = 0.0, within_drift: bool = True) -> list[Broken]:
    """All that was broken. `slack_s`: so much two stretches may overlap, where processes read one clock at
    moments of their own. Beyond the drift bound only the fences are promised.
    """
    found = [*_fenced(lines)]
    if within_drift:
        held = stretches(lines)
        found += [*_one(held, slack_s), *_grows(held), *_acts(lines, held, slack_s)]
    return sorted(found, key=lambda each: each.at)


def _one(held: list[Held], slack_s: float) -> Iterable[Broken]:
    last: dict[str, Held] = {}
    for each in held:
        old = last.get(each.claim)
        if old is not None and (old.who, old.start) != (each.who, each.start):
            over = min(old.until, each.until) - each.since
            if over > slack_s + EPSILON_S:
                how = f"{each.claim}: {old.who} and {each.who} both held it for {over:.3f} s"
                yield Broken("one", each.since, how)
        if old is None or each.until >= old.until:
            last[each.claim] = each


def _grows(held: list[Held]) -> Iterable[Broken]:
    highest: dict[str, Held] = {}
    for each in held:
        old = highest.get(each.claim)
        if old is not None and each.ticket <= old.ticket and (old.who, old.start) != (each.who, each.start):
            how = f"{each.claim}: {each.who} holds {each.ticket} after {old.who} held {old.ticket}"
            yield Broken("grows", each.since, how)
        if old is None or each.ticket > old.ticket:
            highest[each.claim] = each


def _fenced(lines: list[Line]) -> Iterable[Broken]:
    highest: dict[tuple[str, str], int] = {}
    for line in sorted(lines, key=lambda each: each.at):
        if line.what == "folder":  # lost or put back old: what it had seen went with it
            for gone in [key for key in highest if key[0] == line.who]:
                del highest[gone]
        if line.what != What.TOOK.value:
            continue
        key = (line.who, line.claim)
        if line.ticket < highest.get(key, 0):
            how = f"{line.claim}: {line.who} took {line.ticket} after {highest[key]}"
            yield Broken("fenced", line.at, how)
        highest[key] = max(highest.get(key, 0), line.ticket)


def _acts(lines: list[Line], held: list[Held], slack_s: float) -> Iterable[Broken]:
    by_owner: dict[tuple[str, str, int], list[Held]] = {}
    for each in held:
        by_owner.setdefault((each.claim, each.who, each.start), []).append(each)
    for line in lines:
        if line.what != "acted":
            continue
        mine = by_owner.get((line.claim, line.who, line.start), [])
        if not any(h.since - slack_s <= line.at <= h.until + slack_s + EPSILON_S for h in mine):
            yield Broken("acts", line.at, f"{line.claim}: {line.who} acted under {line.ticket}, not held")


def unheld(lines: list[Line], claims: Iterable[str], since: float, until: float) -> Iterable[Broken]:
    """Claims that nobody holds all through a time in which somebody should."""
    held = stretches(lines)
    for claim in claims:
        if not any(h.claim == claim and h.since < until and h.until > since for h in held):
            yield Broken("held", until, f"{claim}: nobody holds it, long after the last fault")
