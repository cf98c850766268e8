"""Many trials, each in a process of its own, and what is kept of those that broke a rule."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import shutil
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from stairhatch.soak.errors import TrialError
from stairhatch.soak.schedule import draw_schedule
from stairhatch.soak.trial import Trial, TrialResult

MAX_TIMELINES = 20  # of broken cases that are kept of a trial


@dataclass(frozen=True, slots=True)
class TrialRequest:
    """One trial to be played; `keep_in` gets a folder for it."""

    seed: int
    keep_in: Path | None = None
    keep_good: bool = False  # else only a trial that broke a rule is kept


@dataclass
class TrialSummary:
    """What one trial showed, in a form that can be sent between processes."""

    seed: int
    error: str = ""  # why it was not played; empty where it was
    violations: list[str] = field(default_factory=list)
    cases: dict[str, int] = field(default_factory=dict)  # how often each rule could have been broken
    activations: dict[str, int] = field(default_factory=dict)  # how often each fault took effect
    idle_faults: list[str] = field(default_factory=list)  # scheduled, and took no effect
    stalled_s: float = 0.0
    starved_s: float = 0.0
    kept_in: str = ""

    def line(self) -> str:
        """Return it in a line for people."""
        if self.error:
            return f"seed {self.seed}: NOT RUN: {self.error}"
        verdict = f"BROKEN {len(self.violations)}" if self.violations else "good"
        idle = f", without effect: {' '.join(self.idle_faults)}" if self.idle_faults else ""
        waits = f"harness late {self.stalled_s:.3f} s, starved {self.starved_s:.2f} s"
        return f"seed {self.seed}: {verdict}, {waits}{idle} {self.kept_in}".rstrip()


@dataclass
class BatchSummary:
    """The sum of many trials."""

    trials: list[TrialSummary] = field(default_factory=list)
    cases: Counter[str] = field(default_factory=Counter)
    activations: Counter[str] = field(default_factory=Counter)
    duration_s: float = 0.0

    def add(self, trial: TrialSummary) -> None:
        """Add one more trial."""
        self.trials.append(trial)
        self.cases.update(trial.cases)
        self.activations.update(trial.activations)

    def broken(self) -> list[TrialSummary]:
        """Return the trials that broke a rule."""
        return [each for each in self.trials if each.violations]

    def not_run(self) -> list[TrialSummary]:
        """Return the trials that could not be played."""
        return [each for each in self.trials if each.error]


def play(request: TrialRequest) -> TrialSummary:
    """Play one trial in this process. One that cannot be played gives a summary with its error."""
    folder = Path(tempfile.mkdtemp(prefix="stairhatch-trial-"))
    try:
        result = uvloop.run(Trial(draw_schedule(request.seed), folder).play())
    except (TrialError, OSError, asyncio.CancelledError) as error:
        shutil.rmtree(folder, ignore_errors=True)
        return TrialSummary(request.seed, error=str(error) or type(error).__name__)
    kept_in = ""
    if request.keep_in is not None and (result.violations or request.keep_good):
        kept = request.keep_in / f"trial-{request.seed}"
        shutil.rmtree(kept, ignore_errors=True)
        shutil.copytree(folder, kept)
        write_files(result, kept)
        kept_in = str(kept)
    shutil.rmtree(folder, ignore_errors=True)
    since = result.record.started_at
    return TrialSummary(
        request.seed,
        violations=[each.line(since) for each in result.violations],
        cases={str(rule): count for rule, count in result.cases.items()},
        activations=dict(result.record.activations),
        idle_faults=result.idle_faults(),
        stalled_s=result.record.stalled_s,
        starved_s=result.record.starved_s,
        kept_in=kept_in,
    )


def write_files(result: TrialResult, folder: Path) -> None:
    """Keep a trial: its schedule, what was observed, and a timeline of each broken case."""
    since = result.record.started_at
    (folder / "schedule.json").write_text(json.dumps(result.schedule.to_json_dict(), indent=1))
    lines = [f"{each.call or '-'} {each.line(since)}" for each in result.record.observations]
    (folder / "record.txt").write_text("\n".join(lines) + "\n")
    text = [timeline(result, each.call) for each in result.violations[:MAX_TIMELINES]]
    broken = [each.line(since) for each in result.violations]
    (folder / "broken.txt").write_text("\n".join([*broken, "", *text]))


def timeline(result: TrialResult, call: str) -> str:
    """Return what the caller, each softswitch and each server saw of a call, one line each."""
    seen = [each.line(result.record.started_at) for each in result.record.of_call(call)]
    return "\n".join([f"{call}:", *(f"  {line}" for line in seen)])


def play_many(
    seeds: Iterable[int], jobs: int, keep_in: Path | None, on_result: Callable[[TrialSummary], None]
) -> BatchSummary:
    """Play the trials of many seeds, so many beside each other; `on_result` is called after each."""
    summary = BatchSummary()
    started_at = time.monotonic()
    requests = [TrialRequest(seed, keep_in) for seed in seeds]
    context = multiprocessing.get_context("spawn")
    with context.Pool(max(1, min(jobs, len(requests)))) as pool:
        for trial in pool.imap_unordered(play, requests, chunksize=1):
            summary.add(trial)
            on_result(trial)
    summary.duration_s = time.monotonic() - started_at
    return summary
