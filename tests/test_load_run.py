"""Loads and experiments: tallies, a short run against the real softswitch, and the commands."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from stairhatch.load_test.arrivals import scheduled_calls
from stairhatch.load_test.datagram_conditions import DatagramConditions
from stairhatch.load_test.errors import LoadRunError
from stairhatch.load_test.experiment import Experiment, planned_runs, read_experiment
from stairhatch.load_test.experiment_results import keep_results
from stairhatch.load_test.experiment_run import run_experiment
from stairhatch.load_test.load_plan import LoadClass
from stairhatch.load_test.load_run import (
    LoadRunResult,
    LoadSetup,
    OperatorSignal,
    check_loopback,
    run_load,
)
from stairhatch.load_test.load_tally import CallOutcome, LoadTally, TallyCount
from stairhatch.load_test.server_plan import ServerFault, ServerFaultKind, ServerPlan
from stairhatch.load_test.tally_snapshot import TallySnapshot

from .support.load_plans import two_class_plan
from .support.paths import ROOT

LOAD_CLASS = LoadClass("read-roster", 1.0, "1000")
COMMAND = (sys.executable, "-m", "stairhatch")


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([*COMMAND, *arguments], cwd=ROOT, capture_output=True, text=True)


# ---- tallies ----


def tally_of(count: int, late_s: float) -> LoadTally:
    """Return the tally of `count` calls, of which every second one was established in time."""
    tally = LoadTally()
    for number in range(count):
        tally.call_offered(LOAD_CLASS, number / 10, late_s)
        elapsed_s = 0.2 if number % 2 else 2.0
        tally.call_ended(LOAD_CLASS, number / 10, CallOutcome.ESTABLISHED, elapsed_s)
    return tally


def test_a_run_with_a_late_load_generator_or_without_calls_is_void():
    """The measurements are invalid if the planned load was not offered."""
    assert not tally_of(300, late_s=0.001).void_reason()
    assert "late" in tally_of(10, late_s=0.4).void_reason()
    assert LoadTally().void_reason()


def test_tallies_of_several_processes_are_added_up():
    """The figures cover the whole load, and the lateness of one process makes the sum void."""
    whole = LoadTally()
    for part in (tally_of(300, late_s=0.001), tally_of(10, late_s=0.4)):
        encoded = msgspec.json.encode(part.snapshot())
        whole.add(msgspec.json.decode(encoded, type=TallySnapshot))

    figures = whole.figures(30.0)
    assert whole.counts[TallyCount.OFFERED] == 310
    assert whole.weight_offered == 310
    assert whole.weight_earned == 155
    assert whole.void_reason()
    assert figures["in_time_a_second"] == pytest.approx(155 / 30)
    assert figures["stood_p99_ms"] == pytest.approx(2000, rel=0.02)


# ---- a run on sockets ----


def test_a_load_over_a_bad_network_with_a_hung_server_violates_no_call_rule():
    """The call rules hold under loss, duplicates, a hung server, lost connections and a reload at once.

    The test requires that calls are established, but no rate, since that depends on the machine.
    """
    plan = two_class_plan(
        phase=[{"seconds": 6.0, "rate": 40.0}],
        tcp=0.34,
        cuts=[3.0],
        habits={"vanish": 0.05, "cancels": 0.05, "cancel_s": 0.3, "oc": 0.3, "oc_lies": 0.2},
    )
    faults = (ServerFault(1.0, 0, ServerFaultKind.HANG), ServerFault(4.0, 0, ServerFaultKind.RECOVER))
    setup = LoadSetup(
        plan,
        seed=2,
        workers=2,
        servers=ServerPlan(count=2, setup_ms=5.0, faults=faults),
        conditions=DatagramConditions(loss=0.1, duplication=0.1, jitter_ms=5.0),
        signals=(OperatorSignal(2.0, signal.SIGHUP), OperatorSignal(2.5, signal.SIGUSR1)),
    )

    result = run_load(setup)

    assert result.is_checked
    assert [each.line() for each in result.violations] == []
    assert result.tally.counts[CallOutcome.ESTABLISHED] > 50
    assert result.usage is not None
    assert result.usage.counters["reloads"] == 1


# ---- the commands ----


@pytest.fixture
def plan_file(tmp_path):
    path = tmp_path / "load.toml"
    path.write_text("[[phase]]\nseconds = 1\nrate = 1\n")
    return path


def test_the_command_rejects_a_load_on_another_machine(plan_file):
    """The command sends no load to another machine and reports this by its exit code."""
    done = run_command("load", str(plan_file), "--udp", "192.0.2.1:5060")

    assert done.returncode == 2
    assert "a load is not sent to another machine" in done.stderr
    with pytest.raises(LoadRunError):
        check_loopback(("example.org", 5060))


def test_the_command_names_the_transport_without_an_address(plan_file):
    """A missing address is an error, and not a load of which all calls fail."""
    done = run_command("load", str(plan_file), "--tcp", "127.0.0.1:9")

    assert done.returncode == 2
    assert "over udp" in done.stderr


@pytest.mark.parametrize("command", ["load", "experiment", "scale"])
def test_a_command_without_its_libraries_names_the_requirements_file(command):
    """With the appliance's requirements alone, as README's first command installs, there is no traceback."""
    blocked = "import sys; sys.modules['hdrh'] = None; sys.modules['hdrh.histogram'] = None; "
    start = "sys.argv[0] = 'stairhatch'; from stairhatch.__main__ import main; sys.exit(main())"

    done = subprocess.run(
        [sys.executable, "-c", blocked + start, command, "a.toml"], cwd=ROOT, capture_output=True, text=True
    )

    assert done.returncode == 2, done.stderr
    assert done.stderr.count("\n") == 1, done.stderr
    assert f"{command} needs the libraries in requirements-load.txt" in done.stderr


# ---- experiments ----


@pytest.fixture
def experiment(tmp_path) -> Experiment:
    """Return an experiment with two sides, two rates and two repeats."""
    path = tmp_path / "e.toml"
    path.write_text(
        'name = "two"\nrates = [10, 20]\nseconds = 2\nrepeats = 2\n'
        '[[side]]\nname = "a"\n[[side]]\nname = "b"\n'
        "[load]\noffices = 2\n[[load.phase]]\nseconds = 1\nrate = 1\n"
    )
    return read_experiment(path)


class CountingRunner:
    """Replaces runs: every call is established at once, and the load generator is late in the first run."""

    def __init__(self) -> None:
        self.runs: list[tuple[int, float]] = []  # seed and rate

    def run(self, setup: LoadSetup) -> LoadRunResult:
        late_s = 0.0 if self.runs else 0.5
        self.runs.append((setup.seed, setup.plan.rate(1.0)))
        tally = LoadTally()
        for call in scheduled_calls(setup.plan, setup.seed):
            tally.call_offered(call.load_class, call.at_s, late_s)
            tally.call_ended(call.load_class, call.at_s, CallOutcome.ESTABLISHED, 0.1)
        return LoadRunResult(tally=tally, seconds=setup.plan.seconds, is_checked=True)


def test_an_experiment_alternates_the_order_of_its_sides(experiment):
    """A slowdown of the machine during an experiment affects all sides."""
    first = [(each.rate, each.repeat, each.side.name) for each in planned_runs(experiment)][:4]

    assert first == [(10, 0, "a"), (10, 0, "b"), (10, 1, "b"), (10, 1, "a")]


def test_the_sides_of_an_experiment_get_the_same_calls_and_every_run_is_kept(experiment, tmp_path):
    """A void run is kept in the results and counted in the table."""
    runner = CountingRunner()

    runs = run_experiment(experiment, run_one=runner.run)
    folder = keep_results(experiment, runs, tmp_path / "out", "a command")

    assert len(runs) == 8
    assert runner.runs[0] == runner.runs[1] == (1, 10)
    assert runner.runs[2] == (2, 10)
    table = (folder / "table.md").read_text()
    assert "Void runs: 1 of 8" in table
    assert "| 20 | b |" in table
    assert len(kept_runs(folder)) == 8
    assert (folder / "chart.svg").read_text().startswith("<?xml")


def kept_runs(folder: Path) -> list[object]:
    runs: list[object] = json.loads((folder / "experiment.json").read_text())["runs"]
    return runs
