"""How near a fleet comes to pushing a warming roster server over, and how much it makes of it.

The fullest overload window, counted as set-ups reach the server, is held against N + 2 root N + 2, and the
set-ups of its first 12 s against what it could have borne. docs/cold.md has the derivation and the results.

    .venv/bin/python benchmarks/cold_ramp.py model [SEEDS]           # the real decisions on a virtual clock
    .venv/bin/python benchmarks/cold_ramp.py processes FILE SEED...  # 20 (even seeds) or 30 real processes

The second plays two seeds at a time, 65 s each, and adds them to FILE (JSON). Prints a line a case; nothing
here is a test. `tests/test_cold_ramp.py` asserts the bound on the same model.
"""

from __future__ import annotations

import json
import multiprocessing
import statistics
import sys
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from benchmarks.slow_start.process_run import MEMBERS, SlowStartProcessRun
from benchmarks.slow_start.results import EARLY_S
from benchmarks.slow_start.scenarios import Scenario, Site
from benchmarks.slow_start.simulation import SlowStartSimulation

CONCURRENT_RUNS = 2
DEFAULT_SEEDS = 10


class SimulatedCase(NamedTuple):
    """A scenario that is simulated with several seeds."""

    reports_lines: bool
    scenario: Scenario
    seeds: int


def describe(case: SimulatedCase) -> str:
    """Simulate a case. Returns a line on it."""
    site = Site(reports_lines=case.reports_lines)
    results = [
        SlowStartSimulation(site, case.scenario, MEMBERS[seed % 2], seed).run() for seed in range(case.seeds)
    ]
    window = max(result.fullest_window() for result in results)
    early = [result.early_setups() for result in results]
    return (
        f"{'lines   ' if case.reports_lines else 'no lines'} {case.scenario.value:66}"
        f" fullest window {window.bound_fraction:.2f} of the bound"
        f" ({window.setups} set-ups, from {window.began_s:.1f} s);"
        f" first {EARLY_S:.0f} s {min(early):3} to {max(early):3},"
        f" mean {statistics.fmean(early):3.0f} of {results[0].bearable_early_setups():.0f}"
    )


def simulate(seeds: int) -> None:
    """Print a line a scenario, with and without reports of lines."""
    cases = [SimulatedCase(lines, scenario, seeds) for lines in (True, False) for scenario in Scenario]
    with multiprocessing.Pool(CONCURRENT_RUNS) as pool:
        for line in pool.imap(describe, cases):
            print(line, flush=True)


def run_processes(seed: int) -> list[dict[str, Any]]:
    """Play all scenarios on real processes. Returns what was counted."""
    with tempfile.TemporaryDirectory() as directory:
        return uvloop.run(SlowStartProcessRun(seed, Path(directory)).run())


def add_process_runs(path: Path, seeds: list[int]) -> None:
    """Play a run a seed on real processes; the file keeps all runs."""
    kept = json.loads(path.read_text()) if path.exists() else []
    with multiprocessing.Pool(CONCURRENT_RUNS) as pool:
        for results in pool.imap(run_processes, seeds, chunksize=1):
            kept += results
            for result in results:
                print(json.dumps(result), flush=True)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("[\n" + ",\n".join(json.dumps(result) for result in kept) + "\n]\n")


def main() -> None:
    """Read the command line and run what it asks for."""
    match sys.argv[1:]:
        case ["model", *seeds]:
            simulate(int(seeds[0]) if seeds else DEFAULT_SEEDS)
        case ["processes", name, *seeds] if seeds:
            add_process_runs(Path(name), [int(seed) for seed in seeds])
        case _:
            sys.exit(__doc__)


if __name__ == "__main__":
    main()
