"""Reads the file of an experiment and plans its runs.

An experiment compares several sides under the same load, at several rates. A side is the current tree with
some settings, or an earlier commit. The sides alternate within each rate, so that a slowdown of the machine
affects all of them. The module does no I/O apart from reading the file.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

from stairhatch.load_test.datagram_conditions import DatagramConditions
from stairhatch.load_test.errors import LoadPlanError
from stairhatch.load_test.load_plan import LoadPhase, LoadPlan, check_load_plan
from stairhatch.load_test.load_run import LoadSetup, OperatorSignal
from stairhatch.load_test.server_plan import ServerPlan

RATE_OF_PLAN = 0.0  # stands for the phases of the load instead of a constant rate


class ExperimentSide(Struct, forbid_unknown_fields=True, frozen=True):
    """A side of the comparison: a revision of the softswitch with additional settings."""

    name: Annotated[str, Meta(min_length=1)]
    revision: str = field(name="rev", default="")  # earlier commit; empty: the current tree
    sip_lines: str = field(name="sip", default="")  # additional lines of [sip] in its configuration


class TimedSignal(Struct, forbid_unknown_fields=True, frozen=True):
    """A signal that is sent to the softswitch during the load."""

    at_s: Annotated[float, Meta(ge=0)] = field(name="at")  # after the beginning of the load
    signal: Annotated[int, Meta(ge=1, le=31)]  # its number


class Experiment(Struct, forbid_unknown_fields=True, frozen=True):
    """The decoded file of an experiment."""

    name: Annotated[str, Meta(pattern=r"^[a-z0-9-]{1,40}$")]
    load: LoadPlan
    sides: Annotated[tuple[ExperimentSide, ...], Meta(min_length=1)] = field(name="side")
    # In calls a second; empty: the rates of the load's phases.
    rates: tuple[Annotated[float, Meta(gt=0, le=20_000)], ...] = ()
    seconds: Annotated[float, Meta(gt=0, le=3600)] = 30.0  # length of a run at a constant rate
    repeats: Annotated[int, Meta(ge=1, le=100)] = 3  # of each rate and side
    workers: Annotated[int, Meta(ge=1, le=64)] = 4
    seed: int = 1  # of the first repeat; each further repeat adds 1
    servers: ServerPlan = field(name="rosters", default=ServerPlan())
    conditions: DatagramConditions = field(name="weather", default=DatagramConditions())
    signals: tuple[TimedSignal, ...] = ()


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """A planned run of an experiment."""

    rate: float  # calls a second, or RATE_OF_PLAN
    repeat: int
    side: ExperimentSide


def read_experiment(path: Path) -> Experiment:
    """Return the experiment of a TOML file. Raises LoadPlanError if the file is unreadable or invalid."""
    try:
        experiment = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), Experiment)
        check_load_plan(experiment.load)
    except (
        OSError,
        UnicodeDecodeError,
        tomllib.TOMLDecodeError,
        msgspec.ValidationError,
        LoadPlanError,
    ) as error:
        raise LoadPlanError(f"{path}: {error}") from error
    if len({side.name for side in experiment.sides}) < len(experiment.sides):
        raise LoadPlanError(f"{path}: side: duplicate name")
    return experiment


def planned_runs(experiment: Experiment) -> Iterator[PlannedRun]:
    """Yield the runs in the order of execution: by rate, then by repeat, then by side.

    The order of the sides rotates from repeat to repeat, so that no side is always the first.
    """
    for rate in experiment.rates or (RATE_OF_PLAN,):
        for repeat in range(experiment.repeats):
            rotation = repeat % len(experiment.sides)
            for side in experiment.sides[rotation:] + experiment.sides[:rotation]:
                yield PlannedRun(rate, repeat, side)


def setup_for(experiment: Experiment, planned: PlannedRun, tree: Path) -> LoadSetup:
    """Return the setup of a planned run from `tree`. All sides of one repeat get the same calls."""
    plan = experiment.load
    if planned.rate != RATE_OF_PLAN:
        plan = msgspec.structs.replace(plan, phases=(LoadPhase(experiment.seconds, planned.rate),))
    return LoadSetup(
        plan=plan,
        seed=experiment.seed + planned.repeat,
        workers=experiment.workers,
        servers=experiment.servers,
        conditions=experiment.conditions,
        tree=tree,
        sip_lines=planned.side.sip_lines,
        signals=tuple(OperatorSignal(each.at_s, each.signal) for each in experiment.signals),
    )


def shortened(experiment: Experiment, fraction: float) -> Experiment:
    """Return the experiment with one repeat and a `fraction` of each run's length, for a quick look."""
    load = experiment.load
    phases = tuple(msgspec.structs.replace(each, seconds=each.seconds * fraction) for each in load.phases)
    return msgspec.structs.replace(
        experiment,
        load=msgspec.structs.replace(load, phases=phases),
        seconds=experiment.seconds * fraction,
        repeats=1,
    )
