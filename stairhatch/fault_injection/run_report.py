"""The report of a run on real processes: the rules, checked over the observations of the run.

Rules in addition to those of leases (`lease_rules`), by the names that reports use:

- `void`: each required fault took effect, and enough members held the endpoint list's lease
- `rests`: no lease is held at the end of a run whose schedule expects none
- `calls`: calls are established at the end of the run
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
from stairhatch.fleet.event_recorder import SLOW_WRITE

VOTER_SET_ADVANCED = "went on"  # activation name: a voter advanced to the next voter set
DISK_FULL_REASON, DISK_READ_ONLY_REASON = "No space left", "Read-only"  # parts of os.strerror texts


@dataclass(slots=True, kw_only=True)
class RunReport:
    """The results of one run."""

    violations: list[RuleViolation]
    call_violations: list[str]
    activations: Counter[str]  # how often each fault took effect
    records: list[HistoryRecord]
    overloaded_servers: int  # roster servers that crashed from overload while warming up
    holds: int  # hold intervals of all leases
    calls: dict[str, int] = field(default_factory=dict)  # number of calls by `CallResult` value
    datagrams_forwarded: int = 0
    stalled_s: float = 0.0  # longest stall of the event loop of the run's process


@dataclass(slots=True, kw_only=True)
class RunObservations:
    """The observations of one run, over which the rules of leases are still to be checked."""

    schedule: FaultSchedule
    ended_at: float  # monotonic time, as in the records
    records: list[HistoryRecord]
    activations: Counter[str]  # counted by the injector
    link_activations: Counter[str]  # counted by the network links
    calls: dict[str, int]
    call_violations: list[str]
    lacks_calls_at_end: bool  # calls were placed, but none was established after `recovered_since`
    overloaded_servers: int
    datagrams_forwarded: int
    stalled_s: float

    def report(self) -> RunReport:
        """Check the rules and return the run's report."""
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
    def recovered_since(self) -> float:
        """The middle of the fault-free time at the run's end, from which on the fleet must have recovered."""
        return self.ended_at - self.schedule.fault_free_s / 2

    def _all_activations(self) -> Counter[str]:
        """Return the counts of the injector, of the links, and of events that only the histories contain."""
        reasons = [each.reason for each in self.records]
        counts = Counter(self.activations)
        counts[FaultKind.DISK_FULL.value] += sum(DISK_FULL_REASON in each for each in reasons)
        counts[FaultKind.DISK_READ_ONLY.value] += sum(DISK_READ_ONLY_REASON in each for each in reasons)
        counts[VOTER_SET_ADVANCED] += sum(
            each.event == LeaseEventKind.VOTER_SET_ADVANCED.value for each in self.records
        )
        counts[SLOW_WRITE] += sum(each.event == SLOW_WRITE for each in self.records)
        counts[FaultKind.DISK_SLOW.value] += 0  # reported even if zero
        counts.update(self.link_activations)
        return counts

    def _lease_violations(self, intervals: list[HoldInterval]) -> list[RuleViolation]:
        schedule = self.schedule
        violations = find_violations(self.records, within_drift_bound=schedule.within_drift_bound)
        if not schedule.expects_no_holder and schedule.expects_recovery:
            violations += find_unheld(
                self.records, [ENDPOINT_LIST_LEASE], self.recovered_since, self.ended_at
            )
        if schedule.expects_no_holder:
            violations += [
                RuleViolation("rests", each.since_s, f"{each.member} holds {each.lease}")
                for each in intervals
                if each.since_s < self.ended_at and each.until_s > self.recovered_since
            ]
        return violations

    def _void_violations(
        self, intervals: list[HoldInterval], activations: Counter[str]
    ) -> list[RuleViolation]:
        schedule = self.schedule
        holders = {
            (each.member, each.start_number) for each in intervals if each.lease == ENDPOINT_LIST_LEASE
        }
        violations = [
            RuleViolation("void", self.ended_at, f"{name} never took effect")
            for name in schedule.required_activations
            if not activations[name]
        ]
        if len(holders) < schedule.min_holders:
            explanation = (
                f"{len(holders)} holders of the endpoint list's lease, "
                f"expected at least {schedule.min_holders}"
            )
            violations.append(RuleViolation("void", self.ended_at, explanation))
        if self.lacks_calls_at_end:
            violations.append(
                RuleViolation("calls", self.ended_at, "no call was established at the end of the run")
            )
        return violations
