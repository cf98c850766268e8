"""A load over a range of rates and several sides: owns the file of an experiment, the order of its runs and
what is kept of them. Sides are settings of this tree or earlier commits, in worktrees of their own; they
take turns within each rate, so that a machine that slows down slows all of them. It must never drop a run:
those that prove nothing are kept, and told to be void.
"""

from __future__ import annotations

import contextlib
import json
import statistics
import subprocess
import tempfile
import tomllib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from stairhatch.load_test.datagram_conditions import DatagramConditions
from stairhatch.load_test.load_plan import LoadPlan, Phase, PlanError, checked
from stairhatch.load_test.load_run import ROOT, OperatorCommand, Report, Setup, run
from stairhatch.load_test.roster_servers import RosterPlan

SHOWN = (  # figure, heading, form
    ("in_time_a_second", "in time a second", "{:.0f}"), ("worth", "worth", "{:.3f}"),
    ("stood_p50_ms", "p50 ms", "{:.0f}"), ("answered_p99_ms", "answered p99 ms", "{:.0f}"),
    ("copies", "copies a call", "{:.2f}"), ("refused", "refused", "{:.2f}"),
    ("cpu_ms_a_call", "cpu ms a call", "{:.2f}"), ("tool_late_ms", "tool late ms", "{:.0f}"),
)  # fmt: skip


class Side(Struct, forbid_unknown_fields=True, frozen=True):
    """What is compared."""

    name: Annotated[str, Meta(min_length=1)]
    rev: str = ""  # an earlier commit; empty: this tree
    sip: str = ""  # more lines of its [sip]


class Signal(Struct, forbid_unknown_fields=True, frozen=True):
    """A signal to the program during the load."""

    at: Annotated[float, Meta(ge=0)]
    signal: Annotated[int, Meta(ge=1, le=31)]


class Experiment(Struct, forbid_unknown_fields=True, frozen=True):
    """The file of an experiment."""

    name: Annotated[str, Meta(pattern=r"^[a-z0-9-]{1,40}$")]
    load: LoadPlan
    side: Annotated[tuple[Side, ...], Meta(min_length=1)]
    rates: tuple[Annotated[float, Meta(gt=0, le=20_000)], ...] = ()  # in place of the load's own phases
    seconds: Annotated[float, Meta(gt=0, le=3600)] = 30.0  # at each rate
    repeats: Annotated[int, Meta(ge=1, le=100)] = 3
    workers: Annotated[int, Meta(ge=1, le=64)] = 4
    seed: int = 1
    rosters: RosterPlan = RosterPlan()
    weather: DatagramConditions = DatagramConditions()
    signals: tuple[Signal, ...] = ()


@dataclass(frozen=True, slots=True)
class Run:
    """One run of an experiment and what came of it."""

    side: str
    rate: float
    repeat: int
    figures: dict[str, Any]
    broken: tuple[str, ...]
    seconds_in_time: tuple[int, ...]  # calls in time, by the second they were due in


def read_experiment(path: Path) -> Experiment:
    """An experiment from a TOML file; PlanError names what can't be used."""
    try:
        found = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Experiment)
        checked(found.load)
    except (
        OSError,
        UnicodeDecodeError,
        tomllib.TOMLDecodeError,
        msgspec.ValidationError,
        PlanError,
    ) as error:
        raise PlanError(f"{path}: {error}") from None
    if len({side.name for side in found.side}) < len(found.side):
        raise PlanError(f"{path}: side: a name stands twice")
    return found


@contextlib.contextmanager
def trees(experiment: Experiment) -> Iterator[dict[str, Path]]:
    """The tree of each side; earlier commits are laid out beside for as long as it lasts."""
    with tempfile.TemporaryDirectory() as folder:
        laid: dict[str, Path] = {"": ROOT}
        try:
            for rev in {side.rev for side in experiment.side} - {""}:
                tree = Path(folder) / rev.replace("/", "-")
                _git("worktree", "add", "--detach", str(tree), rev)
                laid[rev] = tree
            yield {side.name: laid[side.rev] for side in experiment.side}
        finally:
            for rev, tree in laid.items():
                if rev:
                    _git("worktree", "remove", "--force", str(tree))


def _git(*words: str) -> str:
    done = subprocess.run(["git", *words], cwd=ROOT, capture_output=True, text=True, check=False)
    if done.returncode:
        raise PlanError(
            f"git {words[0]}: {done.stderr.strip().splitlines()[-1] if done.stderr else 'failed'}"
        )
    return done.stdout.strip()


def order(experiment: Experiment) -> Iterator[tuple[float, int, Side]]:
    """The runs as they are carried out: by rate, then repeat, and the sides in turn, each first as often."""
    for rate in experiment.rates or (0.0,):
        for repeat in range(experiment.repeats):
            turn = repeat % len(experiment.side)
            for side in experiment.side[turn:] + experiment.side[:turn]:
                yield rate, repeat, side


def setup_for(experiment: Experiment, rate: float, repeat: int, side: Side, tree: Path) -> Setup:
    """One run. All sides of one repeat get the same calls."""
    plan = experiment.load
    if rate:
        plan = msgspec.structs.replace(plan, phase=(Phase(experiment.seconds, rate),))
    return Setup(
        plan=plan, seed=experiment.seed + repeat, workers=experiment.workers, rosters=experiment.rosters,
        weather=experiment.weather, tree=tree, sip=side.sip,
        orders=tuple(OperatorCommand(each.at, each.signal) for each in experiment.signals),
    )  # fmt: skip


def carry_out(
    experiment: Experiment,
    told: Callable[[Run, int, int], None] = lambda run, done, of: None,
    one: Callable[[Setup], Report] = run,
) -> list[Run]:
    """Every run in order; `told` hears of each."""
    everything, found = list(order(experiment)), []
    with trees(experiment) as laid:
        for done, (rate, repeat, side) in enumerate(everything):
            setup = setup_for(experiment, rate, repeat, side, laid[side.name])
            report = one(setup)
            seconds = range(int(setup.plan.seconds))
            by_second = report.tally.by_second
            in_time = tuple(by_second[each]["in time"] if each in by_second else 0 for each in seconds)
            broken = tuple(each.line() for each in report.broken)
            found.append(Run(side.name, rate, repeat, report.figures(), broken, in_time))
            told(found[-1], done + 1, len(everything))
    return found


# ---- what is kept ----


def medians(runs: list[Run]) -> dict[tuple[str, float], dict[str, float]]:
    """For each side and rate the median of each figure over the runs that prove something."""
    found: dict[tuple[str, float], dict[str, float]] = {}
    for side, rate in dict.fromkeys((each.side, each.rate) for each in runs):
        good = [r.figures for r in runs if (r.side, r.rate) == (side, rate) and not r.figures["void"]]
        names = [name for name, value in good[0].items() if isinstance(value, int | float)] if good else []
        found[side, rate] = {name: statistics.median(each.get(name, 0.0) for each in good) for name in names}
    return found


def table(experiment: Experiment, runs: list[Run], commit: str) -> str:
    """The medians as Markdown, and what was void or broken."""
    heads = ["offered", "side", *(heading for _, heading, _ in SHOWN)]
    lines = [
        f"# {experiment.name}",
        "",
        f"Commit {commit}; {experiment.repeats} repeats a point, medians; `experiment.json` has every run.",
        "",
        "| " + " | ".join(heads) + " |",
        "| " + " | ".join("---" for _ in heads) + " |",
    ]
    for (side, rate), figures in sorted(medians(runs).items(), key=lambda each: (each[0][1], each[0][0])):
        shown = [form.format(figures[name]) if name in figures else "void" for name, _, form in SHOWN]
        lines.append("| " + " | ".join([f"{rate:g}" if rate else "as told", side, *shown]) + " |")
    void = [r for r in runs if r.figures["void"]]
    broken = [(r, line) for r in runs for line in r.broken]
    lines += ["", f"Void runs: {len(void)} of {len(runs)}. Rules broken: {len(broken)}."]
    lines += [f"- {r.side} at {r.rate:g}, repeat {r.repeat}: {r.figures['void']}" for r in void]
    lines += [f"- {r.side} at {r.rate:g}, repeat {r.repeat}: {line}" for r, line in broken[:20]]
    return "\n".join(lines) + "\n"


def commit_now() -> str:
    """This tree's commit; with a plus where it was changed since."""
    try:
        changed = "+" if _git("status", "--porcelain", "stairhatch") else ""
        return _git("rev-parse", "--short", "HEAD") + changed
    except PlanError:
        return "unknown"  # no repository: a copy of the tree


def keep(experiment: Experiment, runs: list[Run], folder: Path, command: str) -> Path:
    """Write JSON, table and chart into a folder of the experiment's name; returns it."""
    from stairhatch.load_test.chart import draw

    where = folder / experiment.name
    where.mkdir(parents=True, exist_ok=True)
    commit = commit_now()
    value = {
        "commit": commit, "command": command, "experiment": msgspec.to_builtins(experiment),
        "runs": [msgspec.to_builtins(each) for each in runs],
    }  # fmt: skip
    (where / "experiment.json").write_text(json.dumps(value, indent=1, sort_keys=True) + "\n")
    (where / "table.md").write_text(table(experiment, runs, commit))
    draw(experiment.name, medians(runs), where / "chart.svg")
    return where


def smaller(experiment: Experiment, part: float) -> Experiment:
    """The same, shorter: for a look."""
    load = experiment.load
    phases = tuple(msgspec.structs.replace(each, seconds=each.seconds * part) for each in load.phase)
    load = msgspec.structs.replace(load, phase=phases)
    return msgspec.structs.replace(experiment, load=load, seconds=experiment.seconds * part, repeats=1)
