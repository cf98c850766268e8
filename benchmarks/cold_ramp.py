"""Measures how close a fleet comes to overloading a warming roster server, and how well it uses it.

The set-ups that reach the server in its fullest overload window are compared with the bound
N + 2 sqrt(N) + 2, and those of its first 12 s with the number that it could have processed. docs/cold.md has
the derivation and the results.

    .venv/bin/python benchmarks/cold_ramp.py model [SEEDS]           # the real decisions on a virtual clock
    .venv/bin/python benchmarks/cold_ramp.py processes FILE SEED...  # 20 (even seeds) or 30 real processes

The second command runs two seeds at a time, 65 s each, and adds the results to FILE (JSON). Both print one
line per case. No bound is asserted here: `tests/test_cold_ramp.py` does so on the same model.
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
    """A scenario to simulate with the seeds 0 to `seeds` - 1, with or without reports of lines."""

    reports_lines: bool
    scenario: Scenario
    seeds: int


def simulate_case(case: SimulatedCase) -> str:
    """Simulate a case. Returns a line of text with its fullest window and its early set-ups."""
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
    """Simulate every scenario with and without reports of lines, and print a line for each case."""
    cases = [SimulatedCase(lines, scenario, seeds) for lines in (True, False) for scenario in Scenario]
    with multiprocessing.Pool(CONCURRENT_RUNS) as pool:
        for line in pool.imap(simulate_case, cases):
            print(line, flush=True)


def run_processes(seed: int) -> list[dict[str, Any]]:
    """Run all scenarios of a seed on real processes. Returns their results as JSON objects."""
    with tempfile.TemporaryDirectory() as directory:
        return uvloop.run(SlowStartProcessRun(seed, Path(directory)).run())


def add_process_runs(path: Path, seeds: list[int]) -> None:
    """Run each seed on real processes, print the results, and add them to those in the file."""
    stored_results = json.loads(path.read_text()) if path.exists() else []
    with multiprocessing.Pool(CONCURRENT_RUNS) as pool:
        for results in pool.imap(run_processes, seeds, chunksize=1):
            stored_results += results
            for result in results:
                print(json.dumps(result), flush=True)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("[\n" + ",\n".join(json.dumps(result) for result in stored_results) + "\n]\n")


def main() -> None:
    """Run the command line; print the usage and exit if it is invalid."""
    match sys.argv[1:]:
        case ["model", *seeds]:
            simulate(int(seeds[0]) if seeds else DEFAULT_SEEDS)
        case ["processes", name, *seeds] if seeds:
            add_process_runs(Path(name), [int(seed) for seed in seeds])
        case _:
            sys.exit(__doc__)


if __name__ == "__main__":
    main()
