"""The rules of leases, checked over a history.

The checks use the times at which each process began and ceased to hold a lease, and the fencing tokens that
receivers accepted. They never use a process's view of other processes. The rules, by name:

- `one`: no two processes, nor two starts of one, hold the same lease at the same time
- `grows`: each new holder of a lease has a higher fencing token than the holders before it
- `fenced`: no receiver accepts work under a fencing token below the highest that it has accepted, unless its
  data directory was lost or changed in between
- `acts`: no process does work under a lease that it did not hold when it checked the lease
- `held`: long after the last fault, each lease that a member requests is held

Runs on real processes add the rules `void`, `rests` and `calls` (`run_report`).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from stairhatch.fault_injection.history import HistoryRecord, ProcessEvent
from stairhatch.fleet.effects import LeaseEventKind

START_EVENTS = (LeaseEventKind.HELD.value, LeaseEventKind.RENEWED.value)
END_EVENTS = (LeaseEventKind.LOST.value, LeaseEventKind.RELEASED.value, LeaseEventKind.STEPPED_DOWN.value)
EPSILON_S = 1e-6  # rounding error allowed when times are compared


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """One violation: the rule's name, the time of the violation in the run's time, and an explanation."""

    rule: str
    at_s: float
    explanation: str


@dataclass(frozen=True, slots=True)
class HoldInterval:
    """The period in which one start of a member's process could act under a lease, in the run's time."""

    lease: str
    member: str
    start_number: int
    fencing_token: int
    since_s: float
    until_s: float

    def is_same_start(self, other: HoldInterval) -> bool:
        """Whether both intervals belong to the same start of the same member."""
        return (self.member, self.start_number) == (other.member, other.start_number)


class _IntervalBuilder:
    """Builder of hold intervals from records that are added in the order of their times."""

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
    """Return the periods in which members could act under leases, sorted by their beginnings.

    A stopped process still holds its leases, because it can act if it is resumed before they expire.
    """
    builder = _IntervalBuilder()
    for record in sorted(records, key=lambda each: each.at_s):
        builder.add(record)
    return builder.finish()


def find_violations(
    records: list[HistoryRecord], slack_s: float = 0.0, within_drift_bound: bool = True
) -> list[RuleViolation]:
    """Check all rules except `held`, and return the violations sorted by time.

    `slack_s` is the permitted overlap of two intervals, for processes that read the clock at different
    moments. If a clock exceeded the drift bound, only the rule `fenced` is checked, since the others are not
    guaranteed.
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
                explanation = (
                    f"{each.lease}: {old.member} and {each.member} held the lease at the same time "
                    f"for {overlap_s:.3f} s"
                )
                yield RuleViolation("one", each.since_s, explanation)
        if old is None or each.until_s >= old.until_s:
            last[each.lease] = each


def _check_grows(held: list[HoldInterval]) -> Iterable[RuleViolation]:
    highest: dict[str, HoldInterval] = {}
    for each in held:
        old = highest.get(each.lease)
        if old is not None and each.fencing_token <= old.fencing_token and not each.is_same_start(old):
            earlier_hold = f"after {old.member} held it with fencing token {old.fencing_token}"
            explanation = (
                f"{each.lease}: {each.member} holds the lease "
                f"with fencing token {each.fencing_token} {earlier_hold}"
            )
            yield RuleViolation("grows", each.since_s, explanation)
        if old is None or each.fencing_token > old.fencing_token:
            highest[each.lease] = each


def _check_fenced(records: list[HistoryRecord]) -> Iterable[RuleViolation]:
    highest: dict[tuple[str, str], int] = {}  # highest accepted fencing token, by member and lease
    for record in sorted(records, key=lambda each: each.at_s):
        if record.event == ProcessEvent.DATA_DIRECTORY_CHANGED:
            for stale_key in [key for key in highest if key[0] == record.member]:
                del highest[stale_key]
        if record.event != LeaseEventKind.TOKEN_ACCEPTED.value:
            continue
        key = (record.member, record.lease)
        if record.fencing_token < highest.get(key, 0):
            explanation = (
                f"{record.lease}: {record.member} accepted fencing token {record.fencing_token} "
                f"after {highest[key]}"
            )
            yield RuleViolation("fenced", record.at_s, explanation)
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
            explanation = (
                f"{record.lease}: {record.member} acted under fencing token {record.fencing_token} "
                f"without holding the lease"
            )
            yield RuleViolation("acts", record.at_s, explanation)


def find_unheld(
    records: list[HistoryRecord], leases: Iterable[str], since_s: float, until_s: float
) -> Iterable[RuleViolation]:
    """Check the rule `held`: yield a violation for each lease that no member held between the two times."""
    held = hold_intervals(records)
    for lease in leases:
        if not any(
            each.lease == lease and each.since_s < until_s and each.until_s > since_s for each in held
        ):
            yield RuleViolation(
                "held", until_s, f"{lease}: no member holds the lease, long after the last fault"
            )
