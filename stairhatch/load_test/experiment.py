"""The file of an experiment: a load at several rates to several sides, and the order of its runs.

Sides are settings of this tree or earlier commits. They take turns within each rate, so that a machine that
slows down slows all of them. Free of I/O beyond reading the file.
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

RATE_OF_PLAN = 0.0  # in place of a rate: the phases of the load itself


class ExperimentSide(Struct, forbid_unknown_fields=True, frozen=True):
    """What is compared."""

    name: Annotated[str, Meta(min_length=1)]
    revision: str = field(name="rev", default="")  # an earlier commit; empty: this tree
    sip_lines: str = field(name="sip", default="")  # more lines of its [sip]


class TimedSignal(Struct, forbid_unknown_fields=True, frozen=True):
    """A signal to the softswitch during the load."""

    at_s: Annotated[float, Meta(ge=0)] = field(name="at")
    signal: Annotated[int, Meta(ge=1, le=31)]


class Experiment(Struct, forbid_unknown_fields=True, frozen=True):
    """The file of an experiment."""

    name: Annotated[str, Meta(pattern=r"^[a-z0-9-]{1,40}$")]
    load: LoadPlan
    sides: Annotated[tuple[ExperimentSide, ...], Meta(min_length=1)] = field(name="side")
    rates: tuple[Annotated[float, Meta(gt=0, le=20_000)], ...] = ()  # in place of the load's own phases
    seconds: Annotated[float, Meta(gt=0, le=3600)] = 30.0  # at each rate
    repeats: Annotated[int, Meta(ge=1, le=100)] = 3
    workers: Annotated[int, Meta(ge=1, le=64)] = 4
    seed: int = 1
    servers: ServerPlan = field(name="rosters", default=ServerPlan())
    conditions: DatagramConditions = field(name="weather", default=DatagramConditions())
    signals: tuple[TimedSignal, ...] = ()


@dataclass(frozen=True, slots=True)
class PlannedRun:
    """One run of an experiment, before it is carried out."""

    rate: float  # calls a second, or RATE_OF_PLAN
    repeat: int
    side: ExperimentSide


def read_experiment(path: Path) -> Experiment:
    """Return the experiment of a TOML file. Raises LoadPlanError."""
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
        raise LoadPlanError(f"{path}: side: a name stands twice")
    return experiment


def planned_runs(experiment: Experiment) -> Iterator[PlannedRun]:
    """Yield the runs as they are carried out: by rate, then repeat, and the sides in turn.

    Each side comes first as often as any other.
    """
    for rate in experiment.rates or (RATE_OF_PLAN,):
        for repeat in range(experiment.repeats):
            turn = repeat % len(experiment.sides)
            for side in experiment.sides[turn:] + experiment.sides[:turn]:
                yield PlannedRun(rate, repeat, side)


def setup_for(experiment: Experiment, planned: PlannedRun, tree: Path) -> LoadSetup:
    """Return the setup of one run. All sides of one repeat get the same calls."""
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


def shortened(experiment: Experiment, part: float) -> Experiment:
    """Return the same for a look: a part of each run's time, and one repeat."""
    load = experiment.load
    phases = tuple(msgspec.structs.replace(each, seconds=each.seconds * part) for each in load.phases)
    return msgspec.structs.replace(
        experiment,
        load=msgspec.structs.replace(load, phases=phases),
        seconds=experiment.seconds * part,
        repeats=1,
    )
