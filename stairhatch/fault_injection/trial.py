"""Many runs on the virtual clock, from seeds: which seeds, in how many processes, and their sum.

A run depends on nothing but its seed and its `TrialOptions`.
"""

from __future__ import annotations

import multiprocessing
import time
from collections.abc import Iterable
from dataclasses import dataclass

from stairhatch.fault_injection.lease_rules import RuleViolation, find_unheld, find_violations, hold_intervals
from stairhatch.fault_injection.mutations import mutation_applied
from stairhatch.fault_injection.schedule import ENDPOINT_LIST_LEASE
from stairhatch.fault_injection.schedule_generator import draw_schedule
from stairhatch.fault_injection.summary import Summary
from stairhatch.fault_injection.virtual_cluster import VirtualCluster

SEEDS_A_TASK = 2  # that a worker process takes at a time


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialOptions:
    """What determines the runs of one trial beside their seeds."""

    members: int = 5
    mutation: str = ""  # the name of a mistake put into the decisions; none where empty
    voter_changes_only: bool = False  # no faults but two changes of the voter set


@dataclass(frozen=True, slots=True)
class TrialResult:
    """What came of one seed."""

    seed: int
    violations: tuple[RuleViolation, ...]
    activations: dict[str, int]  # how often each fault took effect
    holds: int  # hold intervals of all leases
    within_drift_bound: bool


TrialSummary = Summary[TrialResult]
DEFAULT_OPTIONS = TrialOptions()


def run_seed(seed: int, options: TrialOptions = DEFAULT_OPTIONS) -> TrialResult:
    """Run one seed and check the rules of leases over its history."""
    with mutation_applied(options.mutation):
        schedule = draw_schedule(seed, members=options.members, voter_changes_only=options.voter_changes_only)
        cluster = VirtualCluster(schedule, seed)
        records = cluster.run()
    violations = find_violations(records, within_drift_bound=schedule.within_drift_bound)
    if schedule.expects_recovery:
        ended_at = schedule.duration_s
        quiet_since = ended_at - schedule.fault_free_s / 2
        violations += find_unheld(records, [ENDPOINT_LIST_LEASE], quiet_since, ended_at)
    return TrialResult(
        seed,
        tuple(violations),
        dict(cluster.activations),
        len(hold_intervals(records)),
        schedule.within_drift_bound,
    )


def _run_task(task: tuple[int, TrialOptions]) -> TrialResult:
    return run_seed(*task)


def run_seeds(
    seeds: Iterable[int],
    options: TrialOptions = DEFAULT_OPTIONS,
    jobs: int = 1,
    until_violation: bool = False,
) -> TrialSummary:
    """Run many seeds in order, in so many processes, perhaps only until one breaks a rule."""
    summary = TrialSummary()
    started_at = time.monotonic()
    tasks = [(seed, options) for seed in seeds]
    if jobs <= 1:
        _add_results(summary, map(_run_task, tasks), until_violation)
    else:
        with multiprocessing.Pool(jobs) as pool:
            results = pool.imap(_run_task, tasks, chunksize=SEEDS_A_TASK)
            _add_results(summary, results, until_violation)
    summary.duration_s = time.monotonic() - started_at
    return summary


def _add_results(summary: TrialSummary, results: Iterable[TrialResult], until_violation: bool) -> None:
    for result in results:
        summary.add(result)
        if until_violation and result.violations:
            return
