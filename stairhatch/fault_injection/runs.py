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
from dataclasses import asdict, dataclass, field
from pathlib import Path

import msgspec
import uvloop

from stairhatch.fault_injection import history, rules, timeline
from stairhatch.fault_injection.processes import LabError, Report, run_lab
from stairhatch.fault_injection.rules import Broken
from stairhatch.fault_injection.schedule import FOLDERS, Schedule, draw

SCHEDULE, HISTORY, REPORT = "schedule.json", "history.jsonl", "report.json"


@dataclass(frozen=True)
class Told:
    """One run to be carried out."""

    schedule: Schedule
    seed: int
    keep: Path | None = None
    keep_good: bool = False


@dataclass
class Ran:
    """What came of it, in a form that goes between processes."""

    seed: int
    fault: str = ""  # it could not be carried out
    broken: list[str] = field(default_factory=list)
    bites: dict[str, int] = field(default_factory=dict)
    holders: int = 0
    calls: dict[str, int] = field(default_factory=dict)
    within_drift: bool = True
    stalled_s: float = 0.0
    kept: str = ""


@dataclass
class Sum:
    """What came of many."""

    runs: int = 0
    faults: list[Ran] = field(default_factory=list)
    broken: list[Ran] = field(default_factory=list)
    bitten: Counter[str] = field(default_factory=Counter)
    holders: int = 0
    beyond: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    seconds: float = 0.0

    def add(self, ran: Ran) -> None:
        """One more."""
        self.runs += 1
        self.holders += ran.holders
        self.beyond += not ran.within_drift
        self.calls.update(ran.calls)
        self.bitten.update(name for name, often in ran.bites.items() if often)
        if ran.fault:
            self.faults.append(ran)
        if ran.broken:
            self.broken.append(ran)

    def figures(self) -> dict[str, object]:
        """All of it, for JSON."""
        return asdict(self)


def keep(folder: Path, schedule: Schedule, report: Report) -> None:
    """What a run left, so that it can be looked at and judged again."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / SCHEDULE).write_bytes(msgspec.json.format(msgspec.json.encode(schedule)))
    history.write(folder / HISTORY, report.lines)
    (folder / "timeline.svg").write_text(timeline.svg(report.lines))
    (folder / "timeline.txt").write_text(timeline.text(report.lines))
    found = {
        "broken": [asdict(each) for each in report.broken], "calls_broken": report.calls_broken,
        "fallen": report.fallen, "bites": dict(report.bites), "calls": report.calls,
    }  # fmt: skip
    (folder / REPORT).write_text(json.dumps(found, indent=1) + "\n")


def judge(folder: Path) -> tuple[list[Broken], str]:
    """The rules once more over what was kept, and the time line."""
    try:
        schedule = msgspec.json.decode((folder / SCHEDULE).read_bytes(), type=Schedule)
        lines = history.read(folder / HISTORY)
    except (OSError, msgspec.DecodeError) as error:
        raise LabError(f"{folder}: {error}") from None
    broken = rules.check(lines, within_drift=schedule.within_drift)
    return broken, timeline.text(lines)


def carry_out(told: Told) -> Ran:
    """One run in this process."""
    schedule, seed = told.schedule, told.seed
    files = told.keep / f"run-{seed}" if told.keep is not None else None
    try:
        report = uvloop.run(
            run_lab(schedule, seed, files / "processes" if files and told.keep_good else None)
        )
    except (LabError, OSError, asyncio.CancelledError) as error:
        return Ran(seed, fault=str(error) or type(error).__name__)
    broken = [f"{each.rule} at {each.at:.3f}: {each.how}" for each in report.broken]
    broken += report.calls_broken
    broken += [f"{report.fallen} roster servers pushed over"] if report.fallen else []
    if files is not None and (broken or told.keep_good):
        keep(files, schedule, report)
    return Ran(
        seed, "", broken, dict(report.bites), report.holders, report.calls, schedule.within_drift,
        report.stalled_s, str(files) if files is not None and broken else "",
    )  # fmt: skip


def run_many(
    seeds: Iterable[int],
    jobs: int,
    members: int = 5,
    scale: float = 0.2,
    keep_in: Path | None = None,
    progress: Callable[[Sum, Ran], None] = lambda found, ran: None,
) -> Sum:
    """Runs of drawn schedules, so many beside each other."""
    found, begun = Sum(), time.monotonic()
    told = [Told(draw(seed, members=members, scale=scale), seed, keep_in) for seed in seeds]
    context = multiprocessing.get_context("spawn")
    with context.Pool(max(1, min(jobs, len(told)))) as pool:
        for ran in pool.imap_unordered(carry_out, told, chunksize=1):
            found.add(ran)
            progress(found, ran)
    found.seconds = time.monotonic() - begun
    return found


def has_folder_fault(schedule: Schedule) -> bool:
    """Whether a folder is lost or put back old in it."""
    return any(event.fault in FOLDERS for event in schedule.events)
