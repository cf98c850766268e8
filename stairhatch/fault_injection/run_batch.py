"""Many runs of real processes: owns which seeds run beside each other, what is kept of them and what they sum
up to. Each run has a process of its own, so that one that is broken off takes only its own along.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import uvloop

from stairhatch.fault_injection import history, lease_rules, timeline
from stairhatch.fault_injection.errors import RunError
from stairhatch.fault_injection.lease_rules import RuleViolation
from stairhatch.fault_injection.process_run import run_schedule
from stairhatch.fault_injection.run_report import RunReport
from stairhatch.fault_injection.schedule import DATA_DIRECTORY_FAULTS, FaultSchedule
from stairhatch.fault_injection.schedule_generator import draw_schedule

SCHEDULE_FILE, HISTORY_FILE, REPORT_FILE = "schedule.json", "history.jsonl", "report.json"


@dataclass(frozen=True)
class RunRequest:
    """One run to be carried out."""

    schedule: FaultSchedule
    seed: int
    keep_in: Path | None = None
    keep_successful: bool = False


@dataclass
class RunResult:
    """What came of it, in a form that goes between processes."""

    seed: int
    error: str = ""  # it could not be carried out
    violations: list[str] = field(default_factory=list)
    activations: dict[str, int] = field(default_factory=dict)
    holds: int = 0
    calls: dict[str, int] = field(default_factory=dict)
    within_drift_bound: bool = True
    stalled_s: float = 0.0
    kept_in: str = ""


@dataclass
class RunSummary:
    """What came of many."""

    runs: int = 0
    not_carried_out: list[RunResult] = field(default_factory=list)
    failed: list[RunResult] = field(default_factory=list)
    runs_by_activation: Counter[str] = field(default_factory=Counter)
    holds: int = 0
    beyond_drift_bound: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    duration_s: float = 0.0

    def add(self, ran: RunResult) -> None:
        """One more."""
        self.runs += 1
        self.holds += ran.holds
        self.beyond_drift_bound += not ran.within_drift_bound
        self.calls.update(ran.calls)
        self.runs_by_activation.update(name for name, often in ran.activations.items() if often)
        if ran.error:
            self.not_carried_out.append(ran)
        if ran.violations:
            self.failed.append(ran)

    def to_json_dict(self) -> dict[str, object]:
        """All of it, for JSON."""
        return {
            "runs": self.runs,
            "faults": [_result_json(each) for each in self.not_carried_out],
            "broken": [_result_json(each) for each in self.failed],
            "bitten": dict(self.runs_by_activation),
            "holders": self.holds,
            "beyond": self.beyond_drift_bound,
            "calls": dict(self.calls),
            "seconds": self.duration_s,
        }


def _result_json(result: RunResult) -> dict[str, object]:
    return {
        "seed": result.seed,
        "fault": result.error,
        "broken": result.violations,
        "bites": result.activations,
        "holders": result.holds,
        "calls": result.calls,
        "within_drift": result.within_drift_bound,
        "stalled_s": result.stalled_s,
        "kept": result.kept_in,
    }


def write_run_files(folder: Path, schedule: FaultSchedule, report: RunReport) -> None:
    """What a run left, so that it can be looked at and judged again."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / SCHEDULE_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(schedule)))
    history.write_history(folder / HISTORY_FILE, report.records)
    (folder / "timeline.svg").write_text(timeline.render_svg(report.records))
    (folder / "timeline.txt").write_text(timeline.render_text(report.records))
    found = {
        "broken": [
            {"rule": each.rule, "at": each.at_s, "how": each.explanation} for each in report.violations
        ],
        "calls_broken": report.call_violations,
        "fallen": report.overloaded_servers,
        "bites": dict(report.activations),
        "calls": report.calls,
    }
    (folder / REPORT_FILE).write_text(json.dumps(found, indent=1) + "\n")


def check_kept_run(folder: Path) -> tuple[list[RuleViolation], str]:
    """The rules once more over what was kept, and the time line."""
    try:
        schedule = msgspec.json.decode((folder / SCHEDULE_FILE).read_bytes(), type=FaultSchedule)
        lines = history.read_history(folder / HISTORY_FILE)
    except (OSError, msgspec.DecodeError) as error:
        raise RunError(f"{folder}: {error}") from None
    broken = lease_rules.find_violations(lines, within_drift_bound=schedule.within_drift_bound)
    return broken, timeline.render_text(lines)


def carry_out(told: RunRequest) -> RunResult:
    """One run in this process."""
    schedule, seed = told.schedule, told.seed
    files = told.keep_in / f"run-{seed}" if told.keep_in is not None else None
    try:
        report = uvloop.run(
            run_schedule(schedule, seed, files / "processes" if files and told.keep_successful else None)
        )
    except (RunError, OSError, asyncio.CancelledError) as error:
        return RunResult(seed, error=str(error) or type(error).__name__)
    broken = [f"{each.rule} at {each.at_s:.3f}: {each.explanation}" for each in report.violations]
    broken += report.call_violations
    broken += [f"{report.overloaded_servers} roster servers pushed over"] if report.overloaded_servers else []
    if files is not None and (broken or told.keep_successful):
        write_run_files(files, schedule, report)
    return RunResult(
        seed,
        "",
        broken,
        dict(report.activations),
        report.holds,
        report.calls,
        schedule.within_drift_bound,
        report.stalled_s,
        str(files) if files is not None and broken else "",
    )


def run_many(
    seeds: Iterable[int],
    jobs: int,
    members: int = 5,
    scale: float = 0.2,
    keep_in: Path | None = None,
    progress: Callable[[RunSummary, RunResult], None] = lambda found, ran: None,
) -> RunSummary:
    """Runs of drawn schedules, so many beside each other."""
    found, begun = RunSummary(), time.monotonic()
    told = [RunRequest(draw_schedule(seed, members=members, scale=scale), seed, keep_in) for seed in seeds]
    context = multiprocessing.get_context("spawn")
    with context.Pool(max(1, min(jobs, len(told)))) as pool:
        for ran in pool.imap_unordered(carry_out, told, chunksize=1):
            found.add(ran)
            progress(found, ran)
    found.duration_s = time.monotonic() - begun
    return found


def has_folder_fault(schedule: FaultSchedule) -> bool:
    """Whether a folder is lost or put back old in it."""
    return any(event.kind in DATA_DIRECTORY_FAULTS for event in schedule.faults)
