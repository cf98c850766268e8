"""Trials: many runs on the virtual clock, one for each seed, in several worker processes.

The result of a run depends only on its seed and its `TrialOptions`.
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

SEEDS_PER_CHUNK = 2  # seeds that a worker process takes at a time


@dataclass(frozen=True, slots=True, kw_only=True)
class TrialOptions:
    """Options that, together with the seeds, determine the runs of a trial."""

    members: int = 5
    mutation: str = ""  # name of the mutation applied to the program; empty: none
    voter_changes_only: bool = False  # the only faults are two changes of the voter set


@dataclass(frozen=True, slots=True)
class TrialResult:
    """The result of the run of one seed."""

    seed: int
    violations: tuple[RuleViolation, ...]
    activations: dict[str, int]  # how often each kind of fault took effect
    holds: int  # number of hold intervals of all leases
    within_drift_bound: bool


TrialSummary = Summary[TrialResult]
DEFAULT_OPTIONS = TrialOptions()


def run_seed(seed: int, options: TrialOptions = DEFAULT_OPTIONS) -> TrialResult:
    """Run one seed, check the lease rules against its history, and return the result.

    If the schedule expects a recovery, the endpoint list's lease must also be held at some time in the second
    half of the fault-free time at the run's end.
    """
    with mutation_applied(options.mutation):
        schedule = draw_schedule(seed, members=options.members, voter_changes_only=options.voter_changes_only)
        cluster = VirtualCluster(schedule, seed)
        records = cluster.run()
    violations = find_violations(records, within_drift_bound=schedule.within_drift_bound)
    if schedule.expects_recovery:
        ended_at = schedule.duration_s
        must_hold_since = ended_at - schedule.fault_free_s / 2
        violations += find_unheld(records, [ENDPOINT_LIST_LEASE], must_hold_since, ended_at)
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
    """Run seeds in `jobs` processes and return the totals.

    The results are added in the order of the seeds. With `until_violation`, the run that breaks a rule first
    in this order is the last one added.
    """
    summary = TrialSummary()
    started_at = time.monotonic()
    tasks = [(seed, options) for seed in seeds]
    if jobs <= 1:
        _add_results(summary, map(_run_task, tasks), until_violation)
    else:
        with multiprocessing.Pool(jobs) as pool:
            results = pool.imap(_run_task, tasks, chunksize=SEEDS_PER_CHUNK)
            _add_results(summary, results, until_violation)
    summary.duration_s = time.monotonic() - started_at
    return summary


def _add_results(summary: TrialSummary, results: Iterable[TrialResult], until_violation: bool) -> None:
    for result in results:
        summary.add(result)
        if until_violation and result.violations:
            return
