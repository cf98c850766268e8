"""Batches of runs on real processes: their concurrency, their results, the files kept, and the summary.

Runs of a batch are carried out in worker processes, so that an aborted run ends only its own softswitches.
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
    """Parameters of one run. Each run that is kept gets a folder of its own in `keep_in`."""

    schedule: FaultSchedule
    seed: int
    keep_in: Path | None = None  # no files are kept if None
    keep_successful: bool = False  # if False, only runs that broke a rule are kept

    @property
    def folder(self) -> Path | None:
        """Folder for the files of this run; None if no files are kept."""
        return self.keep_in / f"run-{self.seed}" if self.keep_in is not None else None


@dataclass
class RunResult:
    """The result of one run; it can be pickled and sent between processes."""

    seed: int
    error: str = ""  # why the run could not be carried out; empty if it was
    violations: list[str] = field(default_factory=list)
    activations: dict[str, int] = field(default_factory=dict)  # how often each fault took effect
    holds: int = 0  # hold intervals of all leases
    calls: dict[str, int] = field(default_factory=dict)  # number of calls by `CallResult` value
    within_drift_bound: bool = True
    stalled_s: float = 0.0  # longest stall of the event loop of the run's process
    kept_in: str = ""  # folder with the files of a run that broke a rule

    def to_json_dict(self) -> dict[str, object]:
        """Return the result with the keys of `lab run --json`."""
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
    """Totals over many runs on real processes."""

    not_carried_out: list[RunResult] = field(default_factory=list)
    calls: Counter[str] = field(default_factory=Counter)

    def add(self, result: RunResult) -> None:
        """Add the result of one run to the totals, and collect runs that could not be carried out."""
        super().add(result)
        self.calls.update(result.calls)
        if result.error:
            self.not_carried_out.append(result)

    def to_json_dict(self) -> dict[str, object]:
        """Return the totals with the keys of `lab run --json`."""
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
    """Parameters shared by all runs of a batch; a seed and these determine a run's schedule."""

    members: int = 5
    scale: float = 0.2  # factor on all times
    keep_in: Path | None = None


def carry_out(request: RunRequest) -> RunResult:
    """Carry out one run in this process and return its result.

    If the run cannot be carried out, the result contains the error; no exception is raised for it.
    """
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
        texts.append(f"{report.overloaded_servers} roster servers were overloaded")
    return texts


def run_many(
    seeds: Iterable[int],
    jobs: int,
    options: BatchOptions,
    on_result: Callable[[RunSummary, RunResult], None],
) -> RunSummary:
    """Carry out the runs drawn from seeds, and return the totals.

    At most `jobs` runs are carried out at the same time. `on_result` is called after each run with the totals
    so far and the run's result.
    """
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
