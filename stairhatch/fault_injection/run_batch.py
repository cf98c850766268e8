"""Many runs on real processes: which run beside each other, what is kept of them, and their sum.

Each run has a process of its own, so that one that is broken off takes only its own softswitches along.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from stairhatch.fault_injection.errors import RunError
from stairhatch.fault_injection.process_run import run_schedule
from stairhatch.fault_injection.run_files import write_run_files
from stairhatch.fault_injection.run_report import RunReport
from stairhatch.fault_injection.schedule import FaultSchedule
from stairhatch.fault_injection.schedule_generator import draw_schedule
from stairhatch.fault_injection.summary import Summary


@dataclass(frozen=True)
class RunRequest:
    """One run to be carried out. `keep_in` gets a folder for each run that is kept."""

    schedule: FaultSchedule
    seed: int
    keep_in: Path | None = None  # nothing is kept where there is none
    keep_successful: bool = False  # else only runs that broke a rule are kept

    @property
    def folder(self) -> Path | None:
        """Where this run is kept."""
        return self.keep_in / f"run-{self.seed}" if self.keep_in is not None else None


@dataclass
class RunResult:
    """The result of one run, in a form that can be sent between processes."""

    seed: int
    error: str = ""  # why it could not be carried out; empty where it was
    violations: list[str] = field(default_factory=list)
    activations: dict[str, int] = field(default_factory=dict)  # how often each fault took effect
    holds: int = 0  # hold intervals of all leases
    calls: dict[str, int] = field(default_factory=dict)  # by how they ended
    within_drift_bound: bool = True
    stalled_s: float = 0.0  # the longest time for which the run's process did not run
    kept_in: str = ""

    def to_json_dict(self) -> dict[str, object]:
        """The result as `lab run --json` prints it."""
        return {
            "seed": self.seed,
            "fault": self.error,
            "broken": self.violations,
            "bites": self.activations,
            "holders": self.holds,
            "calls": self.calls,
            "within_drift": self.within_drift_bound,
            "stalled_s": self.stalled_s,
            "kept": self.kept_in,
        }


@dataclass
class RunSummary(Summary[RunResult]):
    """The sum of many runs on real processes."""

    not_carried_out: list[RunResult] = field(default_factory=list)
    calls: Counter[str] = field(default_factory=Counter)

    def add(self, result: RunResult) -> None:
        """Add the result of one more run."""
        super().add(result)
        self.calls.update(result.calls)
        if result.error:
            self.not_carried_out.append(result)

    def to_json_dict(self) -> dict[str, object]:
        """The sum as `lab run --json` prints it."""
        return {
            "runs": self.runs,
            "faults": [each.to_json_dict() for each in self.not_carried_out],
            "broken": [each.to_json_dict() for each in self.failed],
            "bitten": dict(self.runs_by_activation),
            "holders": self.holds,
            "beyond": self.beyond_drift_bound,
            "calls": dict(self.calls),
            "seconds": self.duration_s,
        }


@dataclass(frozen=True, slots=True, kw_only=True)
class BatchOptions:
    """What determines the drawn runs of a batch beside their seeds."""

    members: int = 5
    scale: float = 0.2  # of all times
    keep_in: Path | None = None


def carry_out(request: RunRequest) -> RunResult:
    """Carry out one run in this process. A run that fails gives a result with its error."""
    folder = request.folder
    keep = folder / "processes" if folder is not None and request.keep_successful else None
    try:
        report = uvloop.run(run_schedule(request.schedule, request.seed, keep))
    except (RunError, OSError, asyncio.CancelledError) as error:
        return RunResult(request.seed, error=str(error) or type(error).__name__)
    violations = _violation_texts(report)
    if folder is not None and (violations or request.keep_successful):
        write_run_files(folder, request.schedule, report)
    return RunResult(
        request.seed,
        violations=violations,
        activations=dict(report.activations),
        holds=report.holds,
        calls=report.calls,
        within_drift_bound=request.schedule.within_drift_bound,
        stalled_s=report.stalled_s,
        kept_in=str(folder) if folder is not None and violations else "",
    )


def _violation_texts(report: RunReport) -> list[str]:
    texts = [f"{each.rule} at {each.at_s:.3f}: {each.explanation}" for each in report.violations]
    texts += report.call_violations
    if report.overloaded_servers:
        texts.append(f"{report.overloaded_servers} roster servers pushed over")
    return texts


def run_many(
    seeds: Iterable[int],
    jobs: int,
    options: BatchOptions,
    on_result: Callable[[RunSummary, RunResult], None],
) -> RunSummary:
    """Carry out runs drawn from seeds, so many beside each other; `on_result` is called after each."""
    summary = RunSummary()
    started_at = time.monotonic()
    requests = [
        RunRequest(draw_schedule(seed, members=options.members, scale=options.scale), seed, options.keep_in)
        for seed in seeds
    ]
    context = multiprocessing.get_context("spawn")
    with context.Pool(max(1, min(jobs, len(requests)))) as pool:
        for result in pool.imap_unordered(carry_out, requests, chunksize=1):
            summary.add(result)
            on_result(summary, result)
    summary.duration_s = time.monotonic() - started_at
    return summary
