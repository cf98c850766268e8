"""What came of a run on real processes: the rules checked over everything that was observed of it.

Beside the rules of leases (`lease_rules`) a run must have meant something: `void` where a required fault was
never activated or too few members held the endpoint list's lease, `rests` where a lease was held although
none should be, `calls` where no call was established at the end.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from stairhatch.fault_injection.history import HistoryRecord
from stairhatch.fault_injection.lease_rules import (
    HoldInterval,
    RuleViolation,
    find_unheld,
    find_violations,
    hold_intervals,
)
from stairhatch.fault_injection.schedule import ENDPOINT_LIST_LEASE, FaultKind, FaultSchedule
from stairhatch.fleet.effects import LeaseEventKind

WENT_ON = "went on"  # the activation of a voter that went on to the next voter set
DISK_FULL_REASON, DISK_READ_ONLY_REASON = "No space left", "Read-only"  # parts of os.strerror's texts


@dataclass(slots=True, kw_only=True)
class RunReport:
    """What came of a run."""

    violations: list[RuleViolation]
    call_violations: list[str]
    activations: Counter[str]  # how often each fault took effect
    records: list[HistoryRecord]
    overloaded_servers: int  # roster servers that were overloaded while warming up
    holds: int  # hold intervals of all leases
    calls: dict[str, int] = field(default_factory=dict)  # by how they ended
    datagrams_forwarded: int = 0
    stalled_s: float = 0.0  # the longest time for which this process did not run


@dataclass(slots=True, kw_only=True)
class RunObservations:
    """What was observed of a run, before the rules of leases are checked."""

    schedule: FaultSchedule
    ended_at: float  # in the time of the records
    records: list[HistoryRecord]
    activations: Counter[str]  # reported by the injector
    link_activations: Counter[str]
    calls: dict[str, int]
    call_violations: list[str]
    lacks_calls_at_end: (
        bool  # calls were placed, and none was established in the second half of the last time
    )
    overloaded_servers: int
    datagrams_forwarded: int
    stalled_s: float

    def report(self) -> RunReport:
        """Check the rules and sum up the run."""
        intervals = hold_intervals(self.records)
        activations = self._all_activations()
        return RunReport(
            violations=[*self._lease_violations(intervals), *self._void_violations(intervals, activations)],
            call_violations=self.call_violations,
            activations=activations,
            records=self.records,
            overloaded_servers=self.overloaded_servers,
            holds=len(intervals),
            calls=self.calls,
            datagrams_forwarded=self.datagrams_forwarded,
            stalled_s=self.stalled_s,
        )

    @property
    def quiet_since(self) -> float:
        """The middle of the time without a fault: from then on everything has recovered."""
        return self.ended_at - self.schedule.fault_free_s / 2

    def _all_activations(self) -> Counter[str]:
        """Those of the injector, those that only the histories show, and those of the links."""
        reasons = [each.reason for each in self.records]
        found = Counter(self.activations)
        found[FaultKind.DISK_FULL.value] += sum(DISK_FULL_REASON in each for each in reasons)
        found[FaultKind.DISK_READ_ONLY.value] += sum(DISK_READ_ONLY_REASON in each for each in reasons)
        found[WENT_ON] += sum(each.event == LeaseEventKind.VOTER_SET_ADVANCED.value for each in self.records)
        found[FaultKind.DISK_SLOW.value] += 0  # reported also where there was none
        found.update(self.link_activations)
        return found

    def _lease_violations(self, intervals: list[HoldInterval]) -> list[RuleViolation]:
        schedule = self.schedule
        found = find_violations(self.records, within_drift_bound=schedule.within_drift_bound)
        if not schedule.expects_no_holder and schedule.expects_recovery:
            found += find_unheld(self.records, [ENDPOINT_LIST_LEASE], self.quiet_since, self.ended_at)
        if schedule.expects_no_holder:
            found += [
                RuleViolation("rests", each.since_s, f"{each.member} holds {each.lease}")
                for each in intervals
                if each.since_s < self.ended_at and each.until_s > self.quiet_since
            ]
        return found

    def _void_violations(
        self, intervals: list[HoldInterval], activations: Counter[str]
    ) -> list[RuleViolation]:
        schedule = self.schedule
        holders = {
            (each.member, each.start_number) for each in intervals if each.lease == ENDPOINT_LIST_LEASE
        }
        found = [
            RuleViolation("void", self.ended_at, f"{name} never bit")
            for name in schedule.required_activations
            if not activations[name]
        ]
        if len(holders) < schedule.min_holders:
            how = f"{len(holders)} owners, and not {schedule.min_holders}"
            found.append(RuleViolation("void", self.ended_at, how))
        if self.lacks_calls_at_end:
            found.append(RuleViolation("calls", self.ended_at, "none stood at the end"))
        return found
