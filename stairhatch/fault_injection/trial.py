"""Many runs on the virtual clock: owns which seeds, in how many processes, and what is summed up. A run is
told wholly by its seed, its number of members and the fault that is planted.
"""

from __future__ import annotations

import multiprocessing
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from stairhatch.fault_injection.planted import planted
from stairhatch.fault_injection.rules import Broken, check, stretches, unheld
from stairhatch.fault_injection.schedule import draw
from stairhatch.fault_injection.world import LIST, World


@dataclass(frozen=True, slots=True)
class Ran:
    """What came of one seed."""

    seed: int
    broken: tuple[Broken, ...]
    bites: dict[str, int]
    holders: int  # stretches of claims held
    within_drift: bool


@dataclass
class Sum:
    """What came of many."""

    runs: int = 0
    broken: list[Ran] = field(default_factory=list)
    bitten: Counter[str] = field(default_factory=Counter)  # runs in which a fault did something
    beyond: int = 0
    holders: int = 0
    seconds: float = 0.0

    def add(self, ran: Ran) -> None:
        """One more."""
        self.runs += 1
        self.beyond += not ran.within_drift
        self.holders += ran.holders
        self.bitten.update(name for name, often in ran.bites.items() if often)
        if ran.broken:
            self.broken.append(ran)


def run_seed(seed: int, members: int = 5, fault: str = "", lists_only: bool = False) -> Ran:
    """One run."""
    with planted(fault):
        schedule = draw(seed, members=members, lists_only=lists_only)
        world = World(schedule, seed)
        lines = world.run()
    broken = check(lines, within_drift=schedule.within_drift)
    if schedule.heals:
        last = schedule.seconds
        broken += unheld(lines, [LIST], last - schedule.quiet_s / 2, last)
    held = len(stretches(lines))
    return Ran(seed, tuple(broken), dict(world.bites), held, schedule.within_drift)


def _one(told: tuple[int, int, str, bool]) -> Ran:
    return run_seed(*told)


def run_seeds(
    seeds: Iterable[int],
    jobs: int = 1,
    members: int = 5,
    fault: str = "",
    until_broken: bool = False,
    progress: Callable[[Sum], None] = lambda found: None,
    lists_only: bool = False,
) -> Sum:
    """All of them, in order of their end."""
    found, begun = Sum(), time.monotonic()
    told = [(seed, members, fault, lists_only) for seed in seeds]
    if jobs <= 1:
        runs: Iterable[Ran] = map(_one, told)
        _gather(found, runs, until_broken, progress)
    else:
        with multiprocessing.Pool(jobs) as pool:
            _gather(found, pool.imap(_one, told, chunksize=2), until_broken, progress)
    found.seconds = time.monotonic() - begun
    return found


def _gather(found: Sum, runs: Iterable[Ran], until_broken: bool, progress: Callable[[Sum], None]) -> None:
    for ran in runs:
        found.add(ran)
        progress(found)
        if until_broken and ran.broken:
            return
