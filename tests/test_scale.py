"""The scale run: hollow softswitches on a virtual clock, held against real processes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import pytest
from click.testing import CliRunner

from stairhatch.cli.main import main_group
from stairhatch.emulators.processor import Processor, SetupAdmission
from stairhatch.scale_test import run, world
from stairhatch.scale_test.plan import ScaleError, plan_from, read_plan, twin
from stairhatch.scale_test.real import Processes
from stairhatch.scale_test.world import World

from .support.paths import ROOT
from .support.waiting import wait_until

FILE = ROOT / "experiments" / "scale" / "ci.toml"
SMALL = {
    "name": "small", "seed": 5, "seconds": 3.0, "softswitches": 9, "servers": 6, "services": 3, "zones": 3,
    "regions": 1, "calls": {"rate": 30.0}, "server": {"state_s": 1.0}, "fleet": {},
}  # fmt: skip


def played(**changes):
    """A small hollow run: its plan and its figures."""
    plan = plan_from({**SMALL, **changes})
    return plan, run.play(plan)[0].figures()


def test_the_run_for_ci_is_good_and_all_its_faults_bite(tmp_path):
    """Guards against a part of the program that does not stand 200 of its kind, against a model that has
    drifted from the program, and against faults that only seem to happen: the file says what has to bite and
    within what bounds hollow and real have to lie.
    """
    done = CliRunner().invoke(main_group, ["scale", str(FILE), "--out", str(tmp_path)])
    assert done.exit_code == 0, done.output
    kept = tmp_path / "ci"
    found = json.loads((kept / "result.json").read_text())["figures"]
    compared = json.loads((kept / "run.json").read_text())["compared"]
    assert len(compared) == 9 and compared["stood"]["real"] > 100
    assert min(found["bites"][what] for what in ("change", "restart", "rack", "zone", "regions")) >= 4
    assert found["calls"]["asked"] > 300 and found["unanswered"] == 0
    assert "ratio" in (kept / "table.md").read_text() and (kept / "chart.svg").stat().st_size > 1000


def test_a_file_gives_the_same_result_to_the_letter(tmp_path):
    """Guards against a run that can't be played again: sets and dicts in an order of the process's own, the
    system's dice, a clock of the machine's.
    """
    text = "".join(f"{name} = {json.dumps(value)}\n" for name, value in SMALL.items() if name != "server")
    text = text.replace('{"rate": 30.0}', "{ rate = 30.0 }")
    more = '[server]\nstate_s = 0.5\n[[event]]\nat = 0.5\nwhat = "restart"\ncount = 4\nlasts = 1.0\n'
    more += '[[event]]\nat = 1.0\nwhat = "rack"\nzone = 1\ncount = 2\nlasts = 1.0\n'
    found = []
    for seed, dice in ((5, "1"), (5, "2"), (6, "1")):
        path = tmp_path / "small.toml"
        path.write_text(text.replace('"seed": 5', "").replace("seed = 5", f"seed = {seed}") + more)
        done = subprocess.run(
            [sys.executable, "-m", "stairhatch", "scale", str(path), "--out", str(tmp_path / f"{seed}{dice}"),
             "--json"],
            cwd=ROOT, capture_output=True, text=True, env={**os.environ, "PYTHONHASHSEED": dice}, check=False,
        )  # fmt: skip
        assert done.returncode == 0, done.stderr
        found.append(done.stdout)
    one, same, other = (json.loads(each)["figures"] for each in found)
    assert found[0] == found[1]
    assert one["calls"] != other["calls"] and one["bites"]["restart"] == 4 and one["bites"]["rack"] == 2


@pytest.mark.parametrize(
    ("change", "said"),
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
def test_bad_input_is_one_line_that_names_the_key(tmp_path, change, said):
    """Guards against a file that is taken for another run than was meant, and a machine that runs out of
    memory in place of a word.
    """
    raw = {name: value for name, value in {**SMALL, **change}.items() if value is not None}
    path = tmp_path / "bad.toml"
    path.write_text("".join(f"{name} = {inline(value)}\n" for name, value in raw.items()))
    done = CliRunner().invoke(main_group, ["scale", str(path), "--out", str(tmp_path), "--quiet"])
    assert done.exit_code == 2 and said in done.output
    assert done.output.count("\n") == 1 and done.output.startswith("stairhatch: ")


def inline(value):
    """A value on one line of TOML."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{name} = {inline(each)}" for name, each in value.items()) + "}"
    return "[" + ", ".join(map(inline, value)) + "]" if isinstance(value, list) else json.dumps(value)


@pytest.fixture(scope="module")
def both():
    """The scenario that is played twice, and what real processes made of it."""
    plan = read_plan(FILE)
    real = asyncio.run(Processes(twin(plan), plan.real.settle_s).run())
    return plan, real


def refuses(monkeypatch, each):
    """Hollow roster servers turn each so many-th set-up away."""
    inner, came = Processor.offer, []

    def offer(self, now, call):
        came.append(call)
        return SetupAdmission.REJECTED if len(came) % each == 0 else inner(self, now, call)

    monkeypatch.setattr(Processor, "offer", offer)


def loses_claims(monkeypatch):
    """Three in four datagrams of claims get lost."""
    inner, came = world.Softswitch.datagram, []

    def datagram(self, data, peer):
        came.append(peer)
        if len(came) % 4 == 0:
            inner(self, data, peer)

    monkeypatch.setattr(world.Softswitch, "datagram", datagram)


def asks_slowly(monkeypatch):
    """What the coordinator has to say arrives late."""
    inner = world.Follower.take

    def take(self, data):
        self.clock.call_later(0.4, inner, self, data)

    monkeypatch.setattr(world.Follower, "take", take)


def test_hollow_and_real_agree(both):
    """Guards against a model of its own: each figure of hollow ones lies within the bounds of the file."""
    plan, real = both
    hollow = run.play(twin(plan), settle_s=plan.real.settle_s)[0].figures()
    compared = run.held_against(plan, hollow["compared"], real["compared"])
    assert not run.out_of_bounds(compared), compared
    assert real["unanswered"] == 0 and real["not_heard"] == 0


@pytest.mark.parametrize(
    ("plant", "figure"),
    [
        (lambda patch: refuses(patch, 3), "stood"),
        (loses_claims, "claim_messages"),
        (asks_slowly, "in_force_ms"),
    ],
)
def test_a_planted_fault_in_the_model_is_caught_by_a_ratio(both, monkeypatch, plant, figure):
    """Guards against bounds so wide that nothing is found, and ratios that are never looked at."""
    plan, real = both
    plant(monkeypatch)
    hollow = run.play(twin(plan), settle_s=plan.real.settle_s)[0].figures()
    found = run.out_of_bounds(run.held_against(plan, hollow["compared"], real["compared"]))
    assert any(each.startswith(f"{figure}:") for each in found), found


def test_calls_go_as_deep_as_the_file_says_and_no_deeper():
    """Guards against a call graph that ends early, and one that goes round for ever."""
    calls = {"rate": 4.0, "depth": 11, "follow": 1.0, "fan_out": 1, "hold_s": 0.2}
    _, found = played(calls=calls, softswitches=4, servers=11, services=11, seconds=4.0)
    depths = found["calls"]["depths"]
    assert found["calls"]["deepest"] == 11 and list(map(int, depths)) == [*range(1, 12)]
    assert all(found["calls"]["stood_at_depth"][str(n)] <= depths[str(n)] for n in range(1, 12))
    _, found = played(calls={**calls, "depth": 2}, softswitches=4, servers=2, services=2)
    assert found["calls"]["deepest"] == 2


def test_a_cut_holds_changes_up_and_is_counted():
    """Guards against cuts that cut nothing: what is told during one comes into force only behind it, and a
    cut that hits nothing makes the run fail.
    """
    change = {"at": 0.5, "what": "change", "count": 4, "lasts": 1.0}
    _, free = played(event=[change])
    cut = {"at": 0.4, "what": "zone", "zone": 1, "lasts": 1.6}
    plan, found = played(event=[change, cut], must_bite=["zone"])
    assert free["changes"]["in_force_longest_ms"] < 100 < 1000 < found["changes"]["in_force_longest_ms"]
    assert found["bites"]["zone"] > 20 and found["changes"]["not_heard"] == 0 and not run.judged(plan, found)
    late = plan_from({**SMALL, "event": [{**cut, "at": 80.0}], "must_bite": ["zone"]})
    said = run.judged(late, run.play(late)[0].figures())
    assert said == ["zone did not bite: the run proves nothing of it"]


def test_regions_apart_that_both_change_the_list_meet():
    """Guards against changes of one region that never come to the other, or go over newer ones there."""
    apart = {"at": 0.5, "what": "regions", "lasts": 1.5}
    changes = [{"at": 0.8, "what": "change", "count": 3, "lasts": 0.6, "region": n} for n in (0, 1)]
    plan, found = played(regions=2, event=[apart, *changes], must_bite=["regions"], seconds=4.0)
    assert not run.judged(plan, found) and found["changes"]["told"] == 6
    assert found["changes"]["in_force_longest_ms"] > 500 and found["bites"]["regions"] > 20


def test_cold_servers_are_counted_window_by_window():
    """Guards against a window that nobody looks at: too many set-ups in one make the run fail."""
    cold = {"at": 0.5, "what": "cold", "count": 5}
    calls = {"rate": 60.0, "depth": 1}
    plan, found = played(services=1, event=[cold], calls=calls, window=True, seconds=6.0)
    assert [each["server"] for each in found["windows"]] == [0, 1, 2, 3, 4]
    assert sum(each["set_ups"] for each in found["windows"]) > 10
    assert not run.judged(plan, found)
    found["windows"][2]["fullest"] = found["windows"][2]["most"] + 1
    assert [each.split(":")[0] for each in run.judged(plan, found)] == ["server 2"]


def test_more_memory_than_was_foreseen_ends_the_run(monkeypatch):
    """Guards against a run that drives the machine into its swap."""
    monkeypatch.setattr(run, "machine_memory", lambda: 2 * run.resident() - 2**20)
    with pytest.raises(ScaleError, match="softswitches: at .* more than half"):
        run.play(plan_from(SMALL))


def test_ctrl_c_leaves_nothing_behind(tmp_path):
    """Guards against softswitches, folders and half-written results that outlive a run that was ended."""
    path = tmp_path / "real.toml"
    text = FILE.read_text().replace("softswitches = 200", "softswitches = 12")
    path.write_text(text.replace("depth = 4\nseconds = 4.0", "depth = 4\nseconds = 50.0"))
    assert "seconds = 50.0" in path.read_text()
    scale = subprocess.Popen(
        [sys.executable, "-m", "stairhatch", "scale", str(path), "--out", str(tmp_path / "kept")], cwd=ROOT,
        stderr=subprocess.PIPE, text=True,
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),  # a shell's background ignores it
    )  # fmt: skip

    def arguments(pid):
        try:
            return Path(f"/proc/{pid}/cmdline").read_bytes().decode().split("\0")
        except OSError:
            return []

    def children():
        pids = Path(f"/proc/{scale.pid}/task/{scale.pid}/children").read_text().split()
        return [int(pid) for pid in pids if "stairhatch.fault_injection." in " ".join(arguments(pid))]

    try:
        pids = wait_until(lambda: len(found := children()) == 5 and found, "four softswitches and the reaper")
        folder = next(
            Path(arguments(pid)[3]).parents[1] for pid in pids if "member_main" in arguments(pid)[2]
        )
        assert folder.exists() and folder.parent == Path(tempfile.gettempdir())
        scale.send_signal(signal.SIGINT)
        said = scale.communicate(timeout=30)[1]
    finally:
        scale.kill()
        scale.wait()
    assert scale.returncode == 130 and said.endswith("stairhatch: ended by Ctrl-C; nothing is kept\n")
    wait_until(lambda: not any(map(arguments, pids)), "their end")
    wait_until(lambda: not folder.exists(), "the folder's end")
    assert not (tmp_path / "kept").exists()


def test_a_hollow_world_puts_the_programs_own_things_back():
    """Guards against a process whose fleet goes on by a virtual clock after a run."""
    from stairhatch.fleet import runtime

    was = runtime.clock, runtime.VoterStore, runtime.secrets
    with World(plan_from(SMALL)).in_place():
        assert runtime.clock is not was[0]
    assert (runtime.clock, runtime.VoterStore, runtime.secrets) == was
