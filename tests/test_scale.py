"""The scale run: simulated softswitches on a virtual clock, compared with real processes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from stairhatch.cli.main import main_group
from stairhatch.emulators.processor import Processor, SetupAdmission
from stairhatch.fleet import runtime as fleet_runtime
from stairhatch.scale_test import memory
from stairhatch.scale_test.comparison import compare, comparison_plan, ratios_out_of_bounds
from stairhatch.scale_test.connection_drivers import ServiceDiscoveryDriver
from stairhatch.scale_test.errors import ScaleTestError
from stairhatch.scale_test.plan_file import parse_plan, read_plan
from stairhatch.scale_test.real_config import inline_toml
from stairhatch.scale_test.real_run import RealRun
from stairhatch.scale_test.run import play
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
    """A scale file of top-level keys, each on a line of its own."""
    return "".join(f"{key} = {inline_toml(value)}\n" for key, value in values.items())


def play_small(**changes):
    """A small simulation: its plan and its figures."""
    plan = parse_plan({**SMALL_PLAN, **changes})
    return plan, gather_figures(play(plan).simulation)


def simulate_comparison(plan):
    """The simulated figures of the scenario that real processes play, too."""
    played = play(comparison_plan(plan, plan.real), settle_s=plan.real.settle_s)
    return gather_figures(played.simulation).compared


def test_the_ci_run_is_good_and_all_its_events_have_an_effect(tmp_path):
    """Guards against a part of the program that does not stand 200 of its kind, against a simulation that has
    drifted from the program, and against events that only seem to happen: the file says which must have an
    effect and within what bounds simulated and real figures have to agree.
    """
    done = CliRunner().invoke(main_group, ["scale", str(CI_FILE), "--out", str(tmp_path)])
    assert done.exit_code == 0, done.output
    kept = tmp_path / "ci"
    figures = json.loads((kept / "result.json").read_text())["figures"]
    compared = json.loads((kept / "run.json").read_text())["compared"]
    assert len(compared) == 9
    assert compared["stood"]["real"] > 100
    for event in ("change", "restart", "rack", "zone", "regions"):
        assert figures["bites"][event] >= 4, event
    assert figures["calls"]["asked"] > 300
    assert figures["unanswered"] == 0
    assert "ratio" in (kept / "table.md").read_text()
    assert (kept / "chart.svg").stat().st_size > 1000


def test_a_scale_file_gives_the_same_result_to_the_byte(tmp_path):
    """Guards against a run that cannot be repeated: sets and dicts in an order of the process's own, random
    numbers of the system, the machine's clock.
    """
    results = []
    for seed, hash_seed in ((5, "1"), (5, "2"), (6, "1")):
        path = tmp_path / "small.toml"
        path.write_text(toml_text({**SMALL_PLAN, "seed": seed, "server": {"state_s": 0.5}}) + EVENTS_TEXT)
        out = tmp_path / f"{seed}{hash_seed}"
        done = subprocess.run(
            [sys.executable, "-m", "stairhatch", "scale", str(path), "--out", str(out), "--json"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            check=False,
        )
        assert done.returncode == 0, done.stderr
        results.append(done.stdout)
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
        ({"services": 7}, "services: there are more of them than servers"),
        ({"calls": {"depth": 12}}, "calls.depth: expected int <= 11"),
        ({"event": [{"at": 1, "what": "zone", "zone": 3}]}, "event[0].zone: there is no such zone"),
        ({"event": [{"at": 1, "what": "storm"}]}, "event[0].what: invalid enum value 'storm'"),
        ({"must_bite": ["rack"]}, "must_bite: there is no event 'rack'"),
        ({"regions": 2, "fleet": {"list": True}}, "fleet.list: each region has a coordinator of its own"),
        ({"real": {"softswitches": 9}}, "real.softswitches: expected int <= 8"),
        ({"real": {}, "bounds": {"stod": {}}}, "bounds"),
    ],
)
def test_bad_input_is_one_line_that_names_the_key(tmp_path, change, message):
    """Guards against a file that is taken for another run than was meant, and a machine that runs out of
    memory without a word.
    """
    path = tmp_path / "bad.toml"
    changed = {key: value for key, value in {**SMALL_PLAN, **change}.items() if value is not None}
    path.write_text(toml_text(changed))
    done = CliRunner().invoke(main_group, ["scale", str(path), "--out", str(tmp_path), "--quiet"])
    assert done.exit_code == 2
    assert message in done.output
    assert done.output.count("\n") == 1
    assert done.output.startswith("stairhatch: ")


@pytest.fixture(scope="module")
def ci_plan():
    """The plan whose scenario is played twice."""
    return read_plan(CI_FILE)


@pytest.fixture(scope="module")
def real_figures(ci_plan):
    """What real processes made of the scenario that is played twice."""
    real_run = RealRun(comparison_plan(ci_plan, ci_plan.real), ci_plan.real.settle_s)
    return asyncio.run(real_run.run())


def reject_one_setup_in_three(monkeypatch):
    """Have the simulated roster servers reject each third set-up."""
    original, offered = Processor.offer, []

    def offer(self, now, call):
        offered.append(call)
        return SetupAdmission.REJECTED if len(offered) % 3 == 0 else original(self, now, call)

    monkeypatch.setattr(Processor, "offer", offer)


def lose_three_datagrams_in_four(monkeypatch):
    """Have datagrams between the members of the fleet get lost."""
    original, received = SimulatedSoftswitch.receive_datagram, []

    def receive_datagram(self, data, sender):
        received.append(sender)
        if len(received) % 4 == 0:
            original(self, data, sender)

    monkeypatch.setattr(SimulatedSoftswitch, "receive_datagram", receive_datagram)


def delay_the_endpoint_list(monkeypatch):
    """Have what the coordinator sends arrive late."""
    original = ServiceDiscoveryDriver.receive

    def receive(self, data):
        self.clock.call_later(0.4, original, self, data)

    monkeypatch.setattr(ServiceDiscoveryDriver, "receive", receive)


def test_simulated_and_real_figures_agree(ci_plan, real_figures):
    """Guards against a simulation that drifts from the program: each ratio lies within the file's bounds."""
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
    """Guards against bounds so wide that nothing is found, and ratios that are never looked at."""
    mutate(monkeypatch)
    compared = compare(ci_plan, simulate_comparison(ci_plan), real_figures.compared)
    failures = ratios_out_of_bounds(compared)
    assert any(failure.startswith(f"{figure}:") for failure in failures), failures


def test_calls_go_as_deep_as_the_file_says_and_no_deeper():
    """Guards against a call graph that ends early, and one that goes round for ever."""
    calls = {"rate": 4.0, "depth": 11, "follow": 1.0, "fan_out": 1, "hold_s": 0.2}
    _, deep = play_small(calls=calls, softswitches=4, servers=11, services=11, seconds=4.0)
    assert deep.calls.max_depth == 11
    assert list(deep.calls.requested_by_depth) == [*range(1, 12)]
    for depth, requested in deep.calls.requested_by_depth.items():
        assert deep.calls.established_by_depth[depth] <= requested
    _, flat = play_small(calls={**calls, "depth": 2}, softswitches=4, servers=2, services=2)
    assert flat.calls.max_depth == 2


def test_a_partition_delays_changes_and_is_counted():
    """Guards against partitions without an effect: a change made during one comes into force only after it,
    and a run whose partition separates nothing fails.
    """
    change = {"at": 0.5, "what": "change", "count": 4, "lasts": 1.0}
    _, without = play_small(event=[change])
    partition = {"at": 0.4, "what": "zone", "zone": 1, "lasts": 1.6}
    plan, figures = play_small(event=[change, partition], must_bite=["zone"])
    assert without.changes.in_force_max_ms < 100
    assert figures.changes.in_force_max_ms > 1000
    assert figures.activations[PlannedEventKind.ZONE_PARTITION] > 20
    assert figures.changes.not_received == 0
    assert not find_failures(plan, figures)
    late_plan, late = play_small(event=[{**partition, "at": 80.0}], must_bite=["zone"])
    assert find_failures(late_plan, late) == ["zone had no effect: the run proves nothing of it"]


def test_a_call_at_a_softswitch_that_has_not_started_is_unreachable():
    """Guards against a run that ends at a call for a softswitch whose zone starts later."""
    _, figures = play_small(event=[{"at": 1.0, "what": "start", "zone": 1}])
    assert figures.activations[PlannedEventKind.ZONE_START] == 3
    assert figures.calls.unreachable > 0
    assert figures.unanswered == 0


def test_changes_made_in_two_partitioned_regions_converge():
    """Guards against changes of one region that never come to the other, or replace newer ones there."""
    partition = {"at": 0.5, "what": "regions", "lasts": 1.5}
    changes = [{"at": 0.8, "what": "change", "count": 3, "lasts": 0.6, "region": region} for region in (0, 1)]
    plan, figures = play_small(regions=2, event=[partition, *changes], must_bite=["regions"], seconds=4.0)
    assert not find_failures(plan, figures)
    assert figures.changes.notified == 6
    assert figures.changes.in_force_max_ms > 500
    assert figures.activations[PlannedEventKind.REGION_PARTITION] > 20


def test_cold_servers_are_judged_window_by_window():
    """Guards against a window that nobody looks at: too many set-ups in one make the run fail."""
    cold = {"at": 0.5, "what": "cold", "count": 5}
    calls = {"rate": 60.0, "depth": 1}
    plan, figures = play_small(services=1, event=[cold], calls=calls, window=True, seconds=6.0)
    assert [window.server for window in figures.windows] == [0, 1, 2, 3, 4]
    assert sum(window.setups for window in figures.windows) > 10
    assert not find_failures(plan, figures)
    third = figures.windows[2]
    figures.windows[2] = msgspec.structs.replace(third, fullest=third.limit + 1)
    assert [failure.split(":")[0] for failure in find_failures(plan, figures)] == ["server 2"]


def test_more_memory_than_was_predicted_ends_the_run(monkeypatch):
    """Guards against a run that drives the machine into its swap."""
    monkeypatch.setattr(memory, "machine_memory_bytes", lambda: 2 * memory.resident_bytes() - 2**20)
    with pytest.raises(ScaleTestError, match="softswitches: at .* more than half"):
        play(parse_plan(SMALL_PLAN))


def arguments_of(pid):
    """The command line of a process, empty once it has ended."""
    try:
        return Path(f"/proc/{pid}/cmdline").read_bytes().decode().split("\0")
    except OSError:
        return []


def fault_injection_children(pid):
    """The children of a process that run a module of fault injection."""
    children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    return [int(each) for each in children if "stairhatch.fault_injection." in " ".join(arguments_of(each))]


def test_ctrl_c_leaves_nothing_behind(tmp_path):
    """Guards against softswitches, folders and half-written results that outlive a run that was ended."""
    path = tmp_path / "real.toml"
    text = CI_FILE.read_text().replace("softswitches = 200", "softswitches = 12")
    path.write_text(text.replace("depth = 4\nseconds = 4.0", "depth = 4\nseconds = 50.0"))
    assert "seconds = 50.0" in path.read_text()
    scale = subprocess.Popen(
        [sys.executable, "-m", "stairhatch", "scale", str(path), "--out", str(tmp_path / "kept")],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),  # a shell's background ignores it
    )

    def all_children():
        found = fault_injection_children(scale.pid)
        return len(found) == 5 and found

    try:
        pids = wait_until(all_children, "four softswitches and the cleaner of their folder")
        member = next(arguments for pid in pids if "member_main" in (arguments := arguments_of(pid))[2])
        folder = Path(member[3]).parents[1]
        assert folder.exists()
        assert folder.parent == Path(tempfile.gettempdir())
        scale.send_signal(signal.SIGINT)
        said = scale.communicate(timeout=30)[1]
    finally:
        scale.kill()
        scale.wait()
    assert scale.returncode == 130
    assert said.endswith("stairhatch: ended by Ctrl-C; nothing is kept\n")
    wait_until(lambda: not any(map(arguments_of, pids)), "their end")
    wait_until(lambda: not folder.exists(), "the folder's end")
    assert not (tmp_path / "kept").exists()


def test_the_virtual_environment_is_taken_back():
    """Guards against a process whose fleet goes on by a virtual clock after a run."""
    originals = fleet_runtime.clock, fleet_runtime.VoterStore, fleet_runtime.secrets
    with Simulation(parse_plan(SMALL_PLAN)).virtual_environment():
        assert fleet_runtime.clock is not originals[0]
    assert (fleet_runtime.clock, fleet_runtime.VoterStore, fleet_runtime.secrets) == originals
