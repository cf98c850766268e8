"""Many runs on the virtual clock: owns which seeds, in how many processes, and what is summed up. A run is
told wholly by its seed, its number of members and the fault that is planted.
"""

from __future__ import annotations

import multiprocessing
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from stairhatch.fault_injection.lease_rules import RuleViolation, find_unheld, find_violations, hold_intervals
from stairhatch.fault_injection.mutations import mutation_applied
from stairhatch.fault_injection.schedule import ENDPOINT_LIST_LEASE
from stairhatch.fault_injection.schedule_generator import draw_schedule
from stairhatch.fault_injection.virtual_cluster import VirtualCluster


@dataclass(frozen=True, slots=True)
class TrialResult:
    """What came of one seed."""

    seed: int
    violations: tuple[RuleViolation, ...]
    activations: dict[str, int]
    holds: int  # stretches of claims held
    within_drift_bound: bool


@dataclass
class TrialSummary:
    """What came of many."""

    runs: int = 0
    failed: list[TrialResult] = field(default_factory=list)
    runs_by_activation: Counter[str] = field(default_factory=Counter)  # runs in which a fault did something
    beyond_drift_bound: int = 0
    holds: int = 0
    duration_s: float = 0.0

    def add(self, ran: TrialResult) -> None:
        """One more."""
        self.runs += 1
        self.beyond_drift_bound += not ran.within_drift_bound
        self.holds += ran.holds
        self.runs_by_activation.update(name for name, often in ran.activations.items() if often)
        if ran.violations:
            self.failed.append(ran)


def run_seed(seed: int, members: int = 5, fault: str = "", lists_only: bool = False) -> TrialResult:
    """One run."""
    with mutation_applied(fault):
        schedule = draw_schedule(seed, members=members, lists_only=lists_only)
        world = VirtualCluster(schedule, seed)
        lines = world.run()
    broken = find_violations(lines, within_drift_bound=schedule.within_drift_bound)
    if schedule.expects_recovery:
        last = schedule.duration_s
        broken += find_unheld(lines, [ENDPOINT_LIST_LEASE], last - schedule.fault_free_s / 2, last)
    held = len(hold_intervals(lines))
    return TrialResult(seed, tuple(broken), dict(world.activations), held, schedule.within_drift_bound)


def _one(told: tuple[int, int, str, bool]) -> TrialResult:
    return run_seed(*told)


def run_seeds(
    seeds: Iterable[int],
    jobs: int = 1,
    members: int = 5,
    fault: str = "",
    until_broken: bool = False,
    progress: Callable[[TrialSummary], None] = lambda found: None,
    lists_only: bool = False,
) -> TrialSummary:
    """All of them, in order of their end."""
    found, begun = TrialSummary(), time.monotonic()
    told = [(seed, members, fault, lists_only) for seed in seeds]
    if jobs <= 1:
        runs: Iterable[TrialResult] = map(_one, told)
        _gather(found, runs, until_broken, progress)
    else:
        with multiprocessing.Pool(jobs) as pool:
            _gather(found, pool.imap(_one, told, chunksize=2), until_broken, progress)
    found.duration_s = time.monotonic() - begun
    return found


def _gather(
    found: TrialSummary,
    runs: Iterable[TrialResult],
    until_broken: bool,
    progress: Callable[[TrialSummary], None],
) -> None:
    for ran in runs:
        found.add(ran)
        progress(found)
        if until_broken and ran.violations:
            return
