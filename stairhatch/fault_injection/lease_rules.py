"""The rules of leases, checked over a history.

They go by when each process began and ceased to hold a lease, what receivers accepted and when; never by what
one process says of the others. The rules, by the names that reports give them:

  one     no two starts of any process hold one lease at the same time grows   whoever holds a lease after
  another does so with a higher fencing token fenced  no receiver accepts work under a fencing token below the
  highest that it has accepted, unless its data
          directory was lost in between
  acts    nothing is done under a lease by who did not hold it when it checked
  held    long after the last fault, a lease that somebody wants is held

Runs on real processes add rules of their own: `void`, `rests` and `calls` (`run_report`).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from stairhatch.fault_injection.history import HistoryRecord, ProcessEvent
from stairhatch.fleet.effects import LeaseEventKind

START_EVENTS = (LeaseEventKind.HELD.value, LeaseEventKind.RENEWED.value)
END_EVENTS = (LeaseEventKind.LOST.value, LeaseEventKind.RELEASED.value, LeaseEventKind.STEPPED_DOWN.value)
EPSILON_S = 1e-6


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A rule that was broken, when in the run's time, and how."""

    rule: str
    at_s: float
    explanation: str


@dataclass(frozen=True, slots=True)
class HoldInterval:
    """A time for which one start of a process could act under a lease."""

    lease: str
    member: str
    start_number: int
    fencing_token: int
    since_s: float
    until_s: float

    def is_same_start(self, other: HoldInterval) -> bool:
        """Whether both are of one start of one member."""
        return (self.member, self.start_number) == (other.member, other.start_number)


class _IntervalBuilder:
    """Collects hold intervals from records in the order of their times."""

    def __init__(self) -> None:
        self.finished: list[HoldInterval] = []
        self.open: dict[tuple[str, str, int], HoldInterval] = {}  # by lease, member and start

    def add(self, record: HistoryRecord) -> None:
        key = (record.lease, record.member, record.start_number)
        if record.event in START_EVENTS:
            self._begin_or_extend(key, record)
        elif record.event in END_EVENTS and key in self.open:
            self._close(key, record.at_s)
        elif record.event == ProcessEvent.KILLED:
            for each in [key for key in self.open if key[1] == record.member]:
                self._close(each, record.at_s)

    def finish(self) -> list[HoldInterval]:
        for key in list(self.open):
            self._close(key, float("inf"))
        return sorted(self.finished, key=lambda each: each.since_s)

    def _begin_or_extend(self, key: tuple[str, str, int], record: HistoryRecord) -> None:
        since_s = record.at_s
        if (old := self.open.get(key)) is not None:
            if old.fencing_token != record.fencing_token or record.at_s > old.until_s + EPSILON_S:
                self._close(key, record.at_s)
            else:
                since_s = old.since_s
        self.open[key] = HoldInterval(*key, record.fencing_token, since_s, record.until_s)

    def _close(self, key: tuple[str, str, int], at_s: float) -> None:
        held = self.open.pop(key)
        until_s = min(held.until_s, at_s)
        self.finished.append(HoldInterval(*key, held.fencing_token, held.since_s, until_s))


def hold_intervals(records: Iterable[HistoryRecord]) -> list[HoldInterval]:
    """Who could act under which lease when, by the beginnings.

    A stopped process still holds: once it is resumed within the lease's duration it may act.
    """
    builder = _IntervalBuilder()
    for record in sorted(records, key=lambda each: each.at_s):
        builder.add(record)
    return builder.finish()


def find_violations(
    records: list[HistoryRecord], slack_s: float = 0.0, within_drift_bound: bool = True
) -> list[RuleViolation]:
    """Check all rules but `held`, and return the violations by their times.

    `slack_s` is how much two intervals may overlap, where processes read one clock at moments of their own.
    Where clocks went beyond the drift bound, only the fencing tokens are promised.
    """
    found = [*_check_fenced(records)]
    if within_drift_bound:
        held = hold_intervals(records)
        found += [*_check_one(held, slack_s), *_check_grows(held), *_check_acts(records, held, slack_s)]
    return sorted(found, key=lambda each: each.at_s)


def _check_one(held: list[HoldInterval], slack_s: float) -> Iterable[RuleViolation]:
    last: dict[str, HoldInterval] = {}
    for each in held:
        old = last.get(each.lease)
        if old is not None and not each.is_same_start(old):
            overlap_s = min(old.until_s, each.until_s) - each.since_s
            if overlap_s > slack_s + EPSILON_S:
                how = f"{each.lease}: {old.member} and {each.member} both held it for {overlap_s:.3f} s"
                yield RuleViolation("one", each.since_s, how)
        if old is None or each.until_s >= old.until_s:
            last[each.lease] = each


def _check_grows(held: list[HoldInterval]) -> Iterable[RuleViolation]:
    highest: dict[str, HoldInterval] = {}
    for each in held:
        old = highest.get(each.lease)
        if old is not None and each.fencing_token <= old.fencing_token and not each.is_same_start(old):
            before = f"after {old.member} held {old.fencing_token}"
            how = f"{each.lease}: {each.member} holds {each.fencing_token} {before}"
            yield RuleViolation("grows", each.since_s, how)
        if old is None or each.fencing_token > old.fencing_token:
            highest[each.lease] = each


def _check_fenced(records: list[HistoryRecord]) -> Iterable[RuleViolation]:
    highest: dict[tuple[str, str], int] = {}  # fencing tokens accepted, by member and lease
    for record in sorted(records, key=lambda each: each.at_s):
        if record.event == ProcessEvent.DATA_DIRECTORY_CHANGED:
            for gone in [key for key in highest if key[0] == record.member]:
                del highest[gone]
        if record.event != LeaseEventKind.TOKEN_ACCEPTED.value:
            continue
        key = (record.member, record.lease)
        if record.fencing_token < highest.get(key, 0):
            how = f"{record.lease}: {record.member} took {record.fencing_token} after {highest[key]}"
            yield RuleViolation("fenced", record.at_s, how)
        highest[key] = max(highest.get(key, 0), record.fencing_token)


def _check_acts(
    records: list[HistoryRecord], held: list[HoldInterval], slack_s: float
) -> Iterable[RuleViolation]:
    by_start: dict[tuple[str, str, int], list[HoldInterval]] = {}
    for each in held:
        by_start.setdefault((each.lease, each.member, each.start_number), []).append(each)
    for record in records:
        if record.event != ProcessEvent.ACTED:
            continue
        own = by_start.get((record.lease, record.member, record.start_number), [])
        if not any(
            each.since_s - slack_s <= record.at_s <= each.until_s + slack_s + EPSILON_S for each in own
        ):
            how = f"{record.lease}: {record.member} acted under {record.fencing_token}, not held"
            yield RuleViolation("acts", record.at_s, how)


def find_unheld(
    records: list[HistoryRecord], leases: Iterable[str], since_s: float, until_s: float
) -> Iterable[RuleViolation]:
    """Check the rule `held`: a violation for each lease that nobody held at any time between the two."""
    held = hold_intervals(records)
    for lease in leases:
        if not any(
            each.lease == lease and each.since_s < until_s and each.until_s > since_s for each in held
        ):
            yield RuleViolation("held", until_s, f"{lease}: nobody holds it, long after the last fault")
