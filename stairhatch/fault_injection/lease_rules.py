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

from stairhatch.fault_injection.history import HistoryRecord
from stairhatch.fleet.effects import What


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A rule that was broken, and how."""

    rule: str
    at_s: float
    explanation: str


@dataclass(frozen=True, slots=True)
class HoldInterval:
    """One stretch for which one start of a process could act under a claim."""

    lease: str
    member: str
    start_number: int
    fencing_token: int
    since_s: float
    until_s: float


BEGINS = (What.HELD.value, What.RENEWED.value)
ENDS = (What.LOST.value, What.GIVEN_BACK.value, What.STOOD_DOWN.value)
EPSILON_S = 1e-6


def hold_intervals(lines: Iterable[HistoryRecord]) -> list[HoldInterval]:
    """Who could act when. A stop ends nothing: who is let go on within its term may act."""
    found: list[HoldInterval] = []
    open_ones: dict[tuple[str, str, int], HoldInterval] = {}

    def close(key: tuple[str, str, int], at: float) -> None:
        held = open_ones.pop(key)
        found.append(
            HoldInterval(held.lease, *key[1:], held.fencing_token, held.since_s, min(held.until_s, at))
        )

    for line in sorted(lines, key=lambda each: each.at_s):
        key = (line.lease, line.member, line.start_number)
        if line.event in BEGINS:
            old = open_ones.get(key)
            if old is not None and (
                old.fencing_token != line.fencing_token or line.at_s > old.until_s + EPSILON_S
            ):
                close(key, line.at_s)
                old = None
            since = old.since_s if old is not None else line.at_s
            open_ones[key] = HoldInterval(
                line.lease, line.member, line.start_number, line.fencing_token, since, line.until_s
            )
        elif line.event in ENDS and key in open_ones:
            close(key, line.at_s)
        elif line.event == "killed":
            for each in [k for k in open_ones if k[1] == line.member]:
                close(each, line.at_s)
    for key in list(open_ones):
        close(key, float("inf"))
    return sorted(found, key=lambda each: each.since_s)


def find_violations(
    lines: list[HistoryRecord], slack_s: float = 0.0, within_drift: bool = True
) -> list[RuleViolation]:
    """All that was broken. `slack_s`: so much two stretches may overlap, where processes read one clock at
    moments of their own. Beyond the drift bound only the fences are promised.
    """
    found = [*_fenced(lines)]
    if within_drift:
        held = hold_intervals(lines)
        found += [*_one(held, slack_s), *_grows(held), *_acts(lines, held, slack_s)]
    return sorted(found, key=lambda each: each.at_s)


def _one(held: list[HoldInterval], slack_s: float) -> Iterable[RuleViolation]:
    last: dict[str, HoldInterval] = {}
    for each in held:
        old = last.get(each.lease)
        if old is not None and (old.member, old.start_number) != (each.member, each.start_number):
            over = min(old.until_s, each.until_s) - each.since_s
            if over > slack_s + EPSILON_S:
                how = f"{each.lease}: {old.member} and {each.member} both held it for {over:.3f} s"
                yield RuleViolation("one", each.since_s, how)
        if old is None or each.until_s >= old.until_s:
            last[each.lease] = each


def _grows(held: list[HoldInterval]) -> Iterable[RuleViolation]:
    highest: dict[str, HoldInterval] = {}
    for each in held:
        old = highest.get(each.lease)
        if (
            old is not None
            and each.fencing_token <= old.fencing_token
            and (old.member, old.start_number) != (each.member, each.start_number)
        ):
            how = (
                f"{each.lease}: {each.member} holds {each.fencing_token} "
                f"after {old.member} held {old.fencing_token}"
            )
            yield RuleViolation("grows", each.since_s, how)
        if old is None or each.fencing_token > old.fencing_token:
            highest[each.lease] = each


def _fenced(lines: list[HistoryRecord]) -> Iterable[RuleViolation]:
    highest: dict[tuple[str, str], int] = {}
    for line in sorted(lines, key=lambda each: each.at_s):
        if line.event == "folder":  # lost or put back old: what it had seen went with it
            for gone in [key for key in highest if key[0] == line.member]:
                del highest[gone]
        if line.event != What.TOOK.value:
            continue
        key = (line.member, line.lease)
        if line.fencing_token < highest.get(key, 0):
            how = f"{line.lease}: {line.member} took {line.fencing_token} after {highest[key]}"
            yield RuleViolation("fenced", line.at_s, how)
        highest[key] = max(highest.get(key, 0), line.fencing_token)


def _acts(lines: list[HistoryRecord], held: list[HoldInterval], slack_s: float) -> Iterable[RuleViolation]:
    by_owner: dict[tuple[str, str, int], list[HoldInterval]] = {}
    for each in held:
        by_owner.setdefault((each.lease, each.member, each.start_number), []).append(each)
    for line in lines:
        if line.event != "acted":
            continue
        mine = by_owner.get((line.lease, line.member, line.start_number), [])
        if not any(h.since_s - slack_s <= line.at_s <= h.until_s + slack_s + EPSILON_S for h in mine):
            yield RuleViolation(
                "acts", line.at_s, f"{line.lease}: {line.member} acted under {line.fencing_token}, not held"
            )


def find_unheld(
    lines: list[HistoryRecord], claims: Iterable[str], since: float, until: float
) -> Iterable[RuleViolation]:
    """Claims that nobody holds all through a time in which somebody should."""
    held = hold_intervals(lines)
    for claim in claims:
        if not any(h.lease == claim and h.since_s < until and h.until_s > since for h in held):
            yield RuleViolation("held", until, f"{claim}: nobody holds it, long after the last fault")
