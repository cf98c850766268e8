"""Tests of the scale test: simulated softswitches on a virtual clock, compared with real processes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from stairhatch.cli.main import main_group
from stairhatch.emulators.processor import Processor, SetupAdmission
from stairhatch.fault_injection.run_folder import parent_folder
from stairhatch.fleet import runtime as fleet_runtime
from stairhatch.scale_test import memory
from stairhatch.scale_test.comparison import compare, comparison_plan, ratios_out_of_bounds
from stairhatch.scale_test.connection_drivers import ServiceDiscoveryDriver
from stairhatch.scale_test.errors import ScaleTestError
from stairhatch.scale_test.plan_file import parse_plan, read_plan
from stairhatch.scale_test.real_config import inline_toml
from stairhatch.scale_test.real_run import RealRun
from stairhatch.scale_test.run import simulate
from stairhatch.scale_test.schema import PlannedEventKind
from stairhatch.scale_test.simulated_softswitch import SimulatedSoftswitch
from stairhatch.scale_test.simulation import Simulation
from stairhatch.scale_test.simulation_figures import gather_figures
from stairhatch.scale_test.verdict import find_failures

from .support.paths import ROOT
from .support.waiting import wait_until

CI_FILE = ROOT / "experiments" / "scale" / "ci.toml"
SMALL_PLAN = {
    "name": "small",
    "seed": 5,
    "seconds": 3.0,
    "softswitches": 9,
    "servers": 6,
    "services": 3,
    "zones": 3,
    "regions": 1,
    "calls": {"rate": 30.0},
    "server": {"state_s": 1.0},
    "fleet": {},
}
EVENTS_TEXT = """
[[event]]
at = 0.5
what = "restart"
count = 4
lasts = 1.0

[[event]]
at = 1.0
what = "rack"
zone = 1
count = 2
lasts = 1.0
"""


def toml_text(values):
    """Return the text of a scale file: one line per top-level key."""
    return "".join(f"{key} = {inline_toml(value)}\n" for key, value in values.items())


def simulate_small_plan(**changes):
    """Simulate SMALL_PLAN with changed keys; return the plan and its figures."""
    plan = parse_plan({**SMALL_PLAN, **changes})
    return plan, gather_figures(simulate(plan).simulation)


def simulate_comparison(plan):
    """Simulate the scenario of the real processes; return the figures to compare."""
    completed = simulate(comparison_plan(plan, plan.real), settle_s=plan.real.settle_s)
    return gather_figures(completed.simulation).compared


def test_the_ci_plan_passes_and_all_its_events_have_an_effect(tmp_path):
    """Guards against three failures: production code that fails among 200 softswitches, a simulation whose
    figures differ from those of real processes, and planned events without an effect. The plan file lists the
    events that must have an effect, and the bounds of the ratios of simulated to real figures.
    """
    completed = CliRunner().invoke(main_group, ["scale", str(CI_FILE), "--out", str(tmp_path)])
    assert completed.exit_code == 0, completed.output
    result_folder = tmp_path / "ci"
    figures = json.loads((result_folder / "result.json").read_text())["figures"]
    compared = json.loads((result_folder / "run.json").read_text())["compared"]
    assert len(compared) == 9
    assert compared["stood"]["real"] > 100
    for event in ("change", "restart", "rack", "zone", "regions"):
        assert figures["bites"][event] >= 4, event
    assert figures["calls"]["asked"] > 300
    assert figures["unanswered"] == 0
    assert "ratio" in (result_folder / "table.md").read_text()
    assert (result_folder / "chart.svg").stat().st_size > 1000


def test_equal_scale_files_give_byte_identical_results(tmp_path):
    """Guards against results that depend on the process or machine: the iteration order of sets and dicts,
    the system's random numbers, or the machine's clock.
    """
    results = []
    for seed, hash_seed in ((5, "1"), (5, "2"), (6, "1")):
        path = tmp_path / "small.toml"
        path.write_text(toml_text({**SMALL_PLAN, "seed": seed, "server": {"state_s": 0.5}}) + EVENTS_TEXT)
        out = tmp_path / f"{seed}{hash_seed}"
        completed = subprocess.run(
            [sys.executable, "-m", "stairhatch", "scale", str(path), "--out", str(out), "--json"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            check=False,
        )
        assert completed.returncode == 0, completed.stderr
        results.append(completed.stdout)
    first, _, other_seed = (json.loads(result)["figures"] for result in results)
    assert results[0] == results[1]
    assert first["calls"] != other_seed["calls"]
    assert first["bites"]["restart"] == 4
    assert first["bites"]["rack"] == 2


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"softswiches": 3}, r"softswiches: unknown key; did you mean softswitches?"),
        ({"calls": {"rat": 3.0}}, "calls.rat: unknown key"),
        ({"seed": None}, "seed: is missing"),
        ({"seed": "x"}, "seed: expected int"),
        ({"softswitches": 90_000, "servers": 1900}, "softswitches: 90000 with 1900 servers need"),
        ({"services": 7}, "services: more services than servers"),
        ({"calls": {"depth": 12}}, "calls.depth: expected int <= 11"),
        ({"event": [{"at": 1, "what": "zone", "zone": 3}]}, "event[0].zone: there is no such zone"),
        ({"event": [{"at": 1, "what": "storm"}]}, "event[0].what: invalid enum value 'storm'"),
        ({"must_bite": ["rack"]}, "must_bite: there is no event 'rack'"),
        ({"regions": 2, "fleet": {"list": True}}, "fleet.list: each region has a coordinator of its own"),
        ({"real": {"softswitches": 9}}, "real.softswitches: expected int <= 8"),
        ({"real": {}, "bounds": {"stod": {}}}, "bounds"),
    ],
)
def test_an_invalid_plan_gives_a_one_line_error_that_names_the_key(tmp_path, change, message):
    """Guards against a mistyped plan that runs as a different plan, and against a plan that exhausts the
    machine's memory without an error message.
    """
    path = tmp_path / "bad.toml"
    changed = {key: value for key, value in {**SMALL_PLAN, **change}.items() if value is not None}
    path.write_text(toml_text(changed))
    completed = CliRunner().invoke(main_group, ["scale", str(path), "--out", str(tmp_path), "--quiet"])
    assert completed.exit_code == 2
    assert message in completed.output
    assert completed.output.count("\n") == 1
    assert completed.output.startswith("stairhatch: ")


@pytest.fixture(scope="module")
def ci_plan():
    """The plan that defines the comparison scenario, which simulated and real softswitches both run."""
    return read_plan(CI_FILE)


@pytest.fixture(scope="module")
def real_figures(ci_plan):
    """The figures of the real processes in the comparison scenario."""
    real_run = RealRun(comparison_plan(ci_plan, ci_plan.real), ci_plan.real.settle_s)
    return asyncio.run(real_run.run())


def reject_one_setup_in_three(monkeypatch):
    """Mutation: the simulated roster servers reject every third set-up."""
    original_method, offered = Processor.offer, []

    def offer(self, now, call):
        offered.append(call)
        return SetupAdmission.REJECTED if len(offered) % 3 == 0 else original_method(self, now, call)

    monkeypatch.setattr(Processor, "offer", offer)


def lose_three_datagrams_in_four(monkeypatch):
    """Mutation: three of four fleet datagrams to simulated softswitches are lost."""
    original_method, received = SimulatedSoftswitch.receive_datagram, []

    def receive_datagram(self, data, sender):
        received.append(sender)
        if len(received) % 4 == 0:
            original_method(self, data, sender)

    monkeypatch.setattr(SimulatedSoftswitch, "receive_datagram", receive_datagram)


def delay_the_endpoint_list(monkeypatch):
    """Mutation: data from the simulated coordinator arrives 0.4 s late."""
    original_method = ServiceDiscoveryDriver.receive

    def receive(self, data):
        self.clock.call_later(0.4, original_method, self, data)

    monkeypatch.setattr(ServiceDiscoveryDriver, "receive", receive)


def test_simulated_and_real_figures_agree(ci_plan, real_figures):
    """Guards against a simulation that no longer behaves like real processes: a ratio leaves its bounds."""
    compared = compare(ci_plan, simulate_comparison(ci_plan), real_figures.compared)
    assert not ratios_out_of_bounds(compared), compared
    assert real_figures.unanswered == 0
    assert real_figures.not_received == 0


@pytest.mark.parametrize(
    ("mutate", "figure"),
    [
        (reject_one_setup_in_three, "stood"),
        (lose_three_datagrams_in_four, "claim_messages"),
        (delay_the_endpoint_list, "in_force_ms"),
    ],
)
def test_a_mutation_of_the_simulation_is_caught_by_a_ratio(
    ci_plan, real_figures, monkeypatch, mutate, figure
):
    """Guards against bounds too wide to detect a fault, and against ratios that are never checked."""
    mutate(monkeypatch)
    compared = compare(ci_plan, simulate_comparison(ci_plan), real_figures.compared)
    failures = ratios_out_of_bounds(compared)
    assert any(failure.startswith(f"{figure}:") for failure in failures), failures


def test_call_chains_reach_the_planned_depth_and_do_not_exceed_it():
    """Guards against call chains that end before the maximum depth, or exceed it."""
    calls = {"rate": 4.0, "depth": 11, "follow": 1.0, "fan_out": 1, "hold_s": 0.2}
    _, deep_chains = simulate_small_plan(calls=calls, softswitches=4, servers=11, services=11, seconds=4.0)
    assert deep_chains.calls.max_depth == 11
    assert list(deep_chains.calls.requested_by_depth) == [*range(1, 12)]
    for depth, requested in deep_chains.calls.requested_by_depth.items():
        assert deep_chains.calls.established_by_depth[depth] <= requested
    _, short_chains = simulate_small_plan(calls={**calls, "depth": 2}, softswitches=4, servers=2, services=2)
    assert short_chains.calls.max_depth == 2


def test_a_partition_delays_changes_and_is_counted():
    """Guards against partitions without an effect. A list change during a partition comes into force after
    the partition only, and a run fails if its required partition affects no traffic.
    """
    change = {"at": 0.5, "what": "change", "count": 4, "lasts": 1.0}
    _, unpartitioned = simulate_small_plan(event=[change])
    partition = {"at": 0.4, "what": "zone", "zone": 1, "lasts": 1.6}
    plan, figures = simulate_small_plan(event=[change, partition], must_bite=["zone"])
    assert unpartitioned.changes.in_force_max_ms < 100
    assert figures.changes.in_force_max_ms > 1000
    assert figures.activations[PlannedEventKind.ZONE_PARTITION] > 20
    assert figures.changes.not_received == 0
    assert not find_failures(plan, figures)
    late_plan, late_figures = simulate_small_plan(event=[{**partition, "at": 80.0}], must_bite=["zone"])
    assert find_failures(late_plan, late_figures) == ["zone had no effect: the run proves nothing of it"]


def test_a_call_at_a_softswitch_that_has_not_started_is_unreachable():
    """Guards against a run that aborts at a call to a softswitch whose zone has not been started yet."""
    _, figures = simulate_small_plan(event=[{"at": 1.0, "what": "start", "zone": 1}])
    assert figures.activations[PlannedEventKind.ZONE_START] == 3
    assert figures.calls.unreachable > 0
    assert figures.unanswered == 0


def test_changes_made_in_two_partitioned_regions_converge():
    """Guards against changes that are not replicated to the other region, or overwrite newer ones there."""
    partition = {"at": 0.5, "what": "regions", "lasts": 1.5}
    changes = [{"at": 0.8, "what": "change", "count": 3, "lasts": 0.6, "region": region} for region in (0, 1)]
    plan, figures = simulate_small_plan(
        regions=2, event=[partition, *changes], must_bite=["regions"], seconds=4.0
    )
    assert not find_failures(plan, figures)
    assert figures.changes.notified == 6
    assert figures.changes.in_force_max_ms > 500
    assert figures.activations[PlannedEventKind.REGION_PARTITION] > 20


def test_each_window_of_a_cold_server_is_checked():
    """Guards against windows that are not checked: a window with too many set-ups must fail the run."""
    cold = {"at": 0.5, "what": "cold", "count": 5}
    calls = {"rate": 60.0, "depth": 1}
    plan, figures = simulate_small_plan(services=1, event=[cold], calls=calls, window=True, seconds=6.0)
    assert [window.server for window in figures.windows] == [0, 1, 2, 3, 4]
    assert sum(window.setups for window in figures.windows) > 10
    assert not find_failures(plan, figures)
    third = figures.windows[2]
    figures.windows[2] = msgspec.structs.replace(third, fullest=third.limit + 1)
    assert [failure.split(":")[0] for failure in find_failures(plan, figures)] == ["server 2"]


def test_a_run_that_exceeds_the_memory_limit_is_aborted(monkeypatch):
    """Guards against a run that makes the machine swap, because it uses more memory than allowed."""
    monkeypatch.setattr(memory, "machine_memory_bytes", lambda: 2 * memory.resident_bytes() - 2**20)
    with pytest.raises(ScaleTestError, match="softswitches: at .* more than half"):
        simulate(parse_plan(SMALL_PLAN))


def arguments_of(pid):
    """Return the command line arguments of a process, or an empty list if it has ended."""
    try:
        return Path(f"/proc/{pid}/cmdline").read_bytes().decode().split("\0")
    except OSError:
        return []


def fault_injection_children(pid):
    """Return the process ids of the children that run a module of `stairhatch.fault_injection`."""
    children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    return [int(each) for each in children if "stairhatch.fault_injection." in " ".join(arguments_of(each))]


def test_ctrl_c_removes_processes_folder_and_results(tmp_path):
    """Guards against processes, folders and incomplete results that remain after an interrupted run."""
    path = tmp_path / "real.toml"
    text = CI_FILE.read_text().replace("softswitches = 200", "softswitches = 12")
    path.write_text(text.replace("depth = 4\nseconds = 4.0", "depth = 4\nseconds = 50.0"))
    assert "seconds = 50.0" in path.read_text()
    scale_process = subprocess.Popen(
        [sys.executable, "-m", "stairhatch", "scale", str(path), "--out", str(tmp_path / "kept")],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),  # ignored in background jobs
    )

    def all_child_pids():
        found = fault_injection_children(scale_process.pid)
        return len(found) == 5 and found

    try:
        pids = wait_until(all_child_pids, "four softswitches and the folder cleanup process")
        member = next(arguments for pid in pids if "member_main" in (arguments := arguments_of(pid))[2])
        folder = Path(member[3]).parents[1]
        assert folder.exists()
        assert folder.parent == parent_folder()
        scale_process.send_signal(signal.SIGINT)
        error_output = scale_process.communicate(timeout=30)[1]
    finally:
        scale_process.kill()
        scale_process.wait()
    assert scale_process.returncode == 130
    assert error_output.endswith("stairhatch: ended by Ctrl-C; nothing is kept\n")
    wait_until(lambda: not any(map(arguments_of, pids)), "the end of the child processes")
    wait_until(lambda: not folder.exists(), "the removal of the folder")
    assert not (tmp_path / "kept").exists()


def test_the_virtual_environment_is_undone_after_its_block():
    """Guards against a process whose fleet still uses the virtual clock after a simulated run."""
    originals = fleet_runtime.clock, fleet_runtime.VoterStore, fleet_runtime.secrets
    with Simulation(parse_plan(SMALL_PLAN)).virtual_environment():
        assert fleet_runtime.clock is not originals[0]
    assert (fleet_runtime.clock, fleet_runtime.VoterStore, fleet_runtime.secrets) == originals
