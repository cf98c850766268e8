"""Fault injection into several softswitches, the leases that they share, and the voter store."""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from stairhatch.config.appliance.reader import parse_appliance
from stairhatch.config.model import ConfigError
from stairhatch.emulators.ports import free_port
from stairhatch.fault_injection import lease_rules, run_batch
from stairhatch.fault_injection.history import HistoryRecord
from stairhatch.fault_injection.run_folder import create_run_folder, parent_folder
from stairhatch.fault_injection.schedule import read_schedule
from stairhatch.fault_injection.schedule_generator import draw_schedule
from stairhatch.fleet import admin_client
from stairhatch.fleet.effects import PersistFencingToken, PersistVotes, Vote
from stairhatch.fleet.messages import StorageVersion
from stairhatch.fleet.store import FILE_NAME, StoreError, VoterStore

from .support.paths import ROOT
from .support.waiting import wait_until

APPLIANCE_TEXT = (ROOT / "deploy" / "sip.toml").read_text()
FLEET_SECTION = """
[fleet]
name = "here"
listen = "127.0.0.1:5090"
folder = "state"
voters = { stairhatch = "127.0.0.1:5090", other = "127.0.0.1:5091", third = "127.0.0.1:5092" }
"""
COMMAND = [sys.executable, "-m", "stairhatch"]
TIMELINES = sorted((ROOT / "experiments" / "lab").glob("*.toml"))


@pytest.mark.parametrize("path", TIMELINES, ids=lambda path: path.stem)
def test_a_timeline_on_real_processes_breaks_no_rule(path):
    """No timeline leads to two holders of a lease, or to accepted work of a holder whose lease has expired.

    Each file defines which faults must take effect, and the least number of holders.
    """
    for _ in range(3):
        result = run_batch.carry_out(run_batch.RunRequest(read_schedule(path), 1))
        if not result.violations or not all(each.startswith("void ") for each in result.violations):
            break  # `void`: on a busy machine a fault may not take effect; then the run is repeated
    assert not result.error
    assert not result.violations, f"faults that took effect: {result.activations}"
    assert result.calls["stood"] > 20


@pytest.mark.parametrize(
    ("mutation", "timeline", "rule"),
    [
        ("a fence is not checked", "stopped-at-work", "fenced"),
        ("an older folder is not noticed", "two-folders-gone", "rests"),
    ],
)
def test_a_mutation_in_real_processes_breaks_the_rule_that_guards_against_it(
    monkeypatch, mutation, timeline, rule
):
    """A timeline detects the removal of a check from the program."""
    monkeypatch.setenv("STAIRHATCH_LAB_PLANTED", mutation)
    result = run_batch.carry_out(
        run_batch.RunRequest(read_schedule(ROOT / "experiments" / "lab" / f"{timeline}.toml"), 1)
    )
    assert not result.error
    assert any(each.startswith(rule) for each in result.violations)


@pytest.mark.parametrize("seed", [1, 2])
def test_faults_drawn_from_a_seed_break_no_rule_on_real_processes(seed):
    """Combined faults can reveal errors that single faults do not."""
    result = run_batch.carry_out(run_batch.RunRequest(draw_schedule(seed, scale=0.15), seed))
    assert not result.error
    assert not result.violations
    assert result.activations


def test_each_rule_finds_the_history_that_breaks_it():
    """Each rule detects a history that breaks it, and a correct history breaks no rule."""

    def record(at_s, member, event, token, until_s=0.0):
        return HistoryRecord(at_s, member, event, 1, "list", token, until_s)

    two_holders = [record(1.0, "a", "held", 1, 4.0), record(2.0, "b", "held", 2, 5.0)]
    assert [each.rule for each in lease_rules.find_violations(two_holders)] == ["one"]
    lower_token = [record(1.0, "a", "held", 3, 2.0), record(3.0, "b", "held", 2, 5.0)]
    assert [each.rule for each in lease_rules.find_violations(lower_token)] == ["grows"]
    accepted = [record(1.0, "r", "took", 3), record(2.0, "r", "took", 2)]
    assert [each.rule for each in lease_rules.find_violations(accepted)] == ["fenced"]
    acted_late = [record(1.0, "a", "held", 1, 2.0), record(3.0, "a", "acted", 1)]
    assert [each.rule for each in lease_rules.find_violations(acted_late)] == ["acts"]
    assert not lease_rules.find_violations(
        [record(1.0, "a", "held", 1, 4.0), record(2.0, "a", "given back", 1), two_holders[1]]
    )


def test_a_run_that_is_killed_leaves_no_process_and_no_folder():
    """The softswitches of a killed run end, even one that is stopped by SIGSTOP; its folder is removed."""
    run = subprocess.Popen(
        [sys.executable, "-m", "stairhatch", "lab", "replay", "5", "--keep", os.devnull], cwd=ROOT
    )

    def children():
        path = Path(f"/proc/{run.pid}/task/{run.pid}/children")
        return [int(each) for each in path.read_text().split()]

    def arguments(pid):
        try:
            return Path(f"/proc/{pid}/cmdline").read_bytes().decode().split("\0")
        except OSError:
            return []

    def members():
        return [pid for pid in children() if "stairhatch.fault_injection.member_main" in arguments(pid)]

    try:
        pids = wait_until(lambda: len(found := members()) == 5 and found, "five softswitch processes")
        folder = Path(arguments(pids[0])[3]).parents[1]
        assert folder.exists()
        assert folder.parent == parent_folder()
        wait_until(
            lambda: len(list(folder.glob("*/history.jsonl"))) == 5, "a history file of each softswitch"
        )
        os.kill(pids[0], signal.SIGSTOP)
    finally:
        run.kill()
        run.wait()
    wait_until(
        lambda: not any("stairhatch.fault_injection.member_main" in arguments(pid) for pid in pids),
        "the end of all softswitch processes",
    )
    wait_until(lambda: not folder.exists(), "the removal of the run's folder")


@pytest.fixture
def run_folder():
    """Folder like that of a run, on which the syncs take the same time whatever else the machine does."""
    folder = create_run_folder()
    yield folder
    shutil.rmtree(folder)


def serve(folder, name, ports, admin_ports, extra_text=""):
    """Start one of three softswitches, and return its configuration file and its process."""
    voters = ", ".join(f'{each} = "127.0.0.1:{port}"' for each, port in ports.items())
    sip = free_port()
    text = APPLIANCE_TEXT.replace('name = "stairhatch"', f'name = "{name}"', 1).replace(
        "127.0.0.1:5060", f"127.0.0.1:{sip}"
    )
    text = text.replace("127.0.0.1:5070", f"127.0.0.1:{admin_ports[name]}").replace(
        "balancers = 1", "balancers = 3"
    )
    text += f'\n[fleet]\nname = "t"\nlisten = "127.0.0.1:{ports[name]}"\nfolder = "{name}"\nterm_s = 0.6\n'
    path = folder / f"{name}.toml"
    path.write_text(text + f"voters = {{ {voters} }}\nrestarts = 1\n{extra_text}")
    with (folder / f"{name}.log").open("ab") as log:
        return path, subprocess.Popen(
            [sys.executable, "-m", "stairhatch", "serve", str(path)],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )


def lease_report(admin_port):
    """Return a softswitch's report on its leases, or None if its admin endpoint does not respond."""
    try:
        return admin_client.lease_report(("127.0.0.1", admin_port))
    except admin_client.AdminClientError:
        return None


def test_three_softswitches_share_instance_indexes_and_one_restart_slot(run_folder):
    """Each softswitch gets a different instance index, and only one holds the restart slot.

    A process that uses another's addresses or data directory does not start.
    """
    names = ("a", "b", "c")
    ports, admin_ports = {name: free_port() for name in names}, {name: free_port() for name in names}
    started = {name: serve(run_folder, name, ports, admin_ports) for name in names}
    try:

        def start(path):
            return subprocess.run(
                [*COMMAND, "serve", str(path)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                capture_output=True,
                text=True,
                timeout=60,
            )

        def have_three_indexes():
            reports = [lease_report(admin_port) for admin_port in admin_ports.values()]
            return all(reports) and sorted(each["number"] for each in reports) == [0, 1, 2]

        wait_until(have_three_indexes, "three different instance indexes")
        path, _ = started["a"]
        duplicate = start(path)
        assert duplicate.returncode == 2
        assert "in use" in duplicate.stderr
        other = path.with_name("twin.toml")  # different addresses, but the data directory of `a`
        twin_text = path.read_text()
        for port in (ports["a"], admin_ports["a"]):
            twin_text = twin_text.replace(f'"127.0.0.1:{port}"', f'"127.0.0.1:{free_port()}"')
        sip = next(line for line in twin_text.splitlines() if line.startswith("udp")).split('"')[1]
        other.write_text(twin_text.replace(sip, f"127.0.0.1:{free_port()}"))
        twin = start(other)
        assert twin.returncode == 2, twin.stderr
        assert "another process has it open" in twin.stderr

        slot = subprocess.run([*COMMAND, "restart-slot", str(path)], cwd=ROOT, capture_output=True, text=True)
        assert slot.returncode == 0
        assert "slot 1 of 1" in slot.stdout
        slot_command = [*COMMAND, "restart-slot", str(started["b"][0]), "--wait", "1"]
        waiting = subprocess.run(slot_command, cwd=ROOT, capture_output=True, text=True)
        assert waiting.returncode == 1
        assert "not yet" in waiting.stderr
        started["a"][1].kill()  # its restart slot is released when the lease expires
        slot_command[-1] = "20"
        assert subprocess.run(slot_command, cwd=ROOT, capture_output=True, text=True).returncode == 0
        claims_report = subprocess.run(
            [*COMMAND, "claims", str(started["b"][0]), "--json"], cwd=ROOT, capture_output=True
        )
        assert any(each["claim"] == "restart/0" for each in json.loads(claims_report.stdout)["claims"])
        watch = [*COMMAND, "claims", str(started["c"][0]), "--watch", "restart/0", "--seconds", "4"]
        watched = subprocess.run(watch, cwd=ROOT, capture_output=True, text=True)
        assert "restart/0: held by b," in watched.stdout
        assert "by 2 voters" in watched.stdout
        table = subprocess.run(watch[:5], cwd=ROOT, capture_output=True, text=True)
        assert "list          1: a b c\n" in table.stdout
        started["c"][1].send_signal(signal.SIGUSR1)
        wait_until(
            lambda: "fleet_remaining_ms_number/" in (run_folder / "c.log").read_text(),
            "the remaining lease durations in the log of c",
        )
    finally:
        for _, process in started.values():
            process.kill()
            process.wait()


@pytest.mark.parametrize(
    ("old", "new", "error_pattern"),
    [
        ("listen =", "lisden =", r"fleet\.lisden: unknown key; did you mean listen"),
        ('folder = "state"\n', "", r"fleet\.folder: a voter needs a folder"),
        ("127.0.0.1:5091", "here", r"fleet\.voters\.other: 'here' is no address"),
        ("127.0.0.1:5091", "127.0.0.1:5092", r"fleet\.voters: two voters have the same address"),
        (
            'listen = "127.0.0.1:5090"',
            'listen = "127.0.0.1:5093"',
            r"fleet\.voters\.stairhatch: .*another port",
        ),
        ('name = "here"', 'name = "here"\nlist = true', r"fleet\.list: there is no coordinator"),
        ('name = "here"', 'name = "here"\nterm_s = 0.0', r"fleet\.term_s: expected float >= 0\.2"),
        ('name = "here"', 'name = "here"\nsecret = "none.key"', r"fleet\.secret: .*No such file"),
    ],
)
def test_an_invalid_key_of_the_fleet_section_is_named_in_the_error(old, new, error_pattern):
    """A mistyped key is an error, and does not silently disable the fleet."""
    assert old in FLEET_SECTION
    parse_appliance(APPLIANCE_TEXT + FLEET_SECTION, "x.toml", {})
    with pytest.raises(ConfigError, match=error_pattern):
        parse_appliance(APPLIANCE_TEXT + FLEET_SECTION.replace(old, new, 1), "x.toml", {})


def run_at_once(action):
    action()


def test_writes_that_the_store_reported_as_persisted_survive_a_restart(tmp_path):
    """A restarted store returns all votes and fencing tokens that it reported as persisted.

    A second store on the same directory is rejected. An unreadable file is quarantined, and the store then
    starts without votes.
    """
    results = []
    store = VoterStore(tmp_path, run_at_once)
    assert not store.stored.voter_state.admitted
    assert store.stored.voter_state.storage_version.incarnation == 1
    version = StorageVersion(store.stored.voter_state.storage_version.storage_id, 1, 7)
    store.persist(
        PersistVotes(1, version, (Vote("list", 4, "a", 9, 3.0),), {"b": StorageVersion("f", 2, 3)}, True),
        results.append,
    )
    store.persist(PersistFencingToken("list", 4), results.append)
    wait_until(lambda: results == ["", ""], "both writes")
    with pytest.raises(StoreError, match="another process"):
        VoterStore(tmp_path, run_at_once)
    store.close()
    reopened = VoterStore(tmp_path, run_at_once)
    assert reopened.stored.voter_state.votes == (Vote("list", 4, "a", 9, 3.0),)
    assert reopened.stored.voter_state.storage_version == StorageVersion(version.storage_id, 2, 7)
    assert reopened.stored.voter_state.admitted
    assert reopened.stored.fencing_tokens == {"list": 4}
    assert reopened.stored.voter_state.known_versions == {"b": StorageVersion("f", 2, 3)}
    reopened.close()
    (tmp_path / FILE_NAME).write_bytes(b"torn" * 2000)
    unreadable = VoterStore(tmp_path, run_at_once)
    assert unreadable.stored.quarantined
    assert not unreadable.stored.voter_state.admitted
    assert list(tmp_path.glob("*.unreadable-*"))
    unreadable.close()


def test_the_store_reports_a_write_that_the_disk_rejected(tmp_path, monkeypatch):
    """A write that fails on a full disk is reported as failed."""
    results = []
    store = VoterStore(tmp_path, run_at_once)

    def fail_with_full_disk():
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(VoterStore, "before_commit", staticmethod(fail_with_full_disk))
    store.persist(PersistFencingToken("list", 4), results.append)
    wait_until(lambda: results, "the result of the write")
    assert "No space left" in results[0]
    store.close()


def test_a_vote_with_a_flipped_bit_is_never_read(tmp_path):
    """A flipped bit cannot yield a wrong vote, such as one with a lower fencing token.

    The pages of the file have no checksums, so each row has its own checksum.
    """
    results = []
    store = VoterStore(tmp_path, run_at_once)
    version = StorageVersion(store.stored.voter_state.storage_version.storage_id, 1, 7)
    store.persist(
        PersistVotes(1, version, (Vote("list", 4_000_000, "the-owner", 9, 3.0),), {}, True), results.append
    )
    wait_until(lambda: results == [""], "the write")
    store.close()
    path = tmp_path / FILE_NAME
    data = path.read_bytes()
    offset = data.index(b"the-owner")
    quarantined_count = 0
    for position in range(offset - 8, offset + 16):
        folder = tmp_path / str(position)
        folder.mkdir()
        (folder / FILE_NAME).write_bytes(data[:position] + bytes([data[position] ^ 4]) + data[position + 1 :])
        flipped = VoterStore(folder, run_at_once)
        votes = flipped.stored.voter_state.votes
        assert votes in ((), (Vote("list", 4_000_000, "the-owner", 9, 3.0),))
        quarantined_count += bool(flipped.stored.quarantined)
        flipped.close()
    assert quarantined_count > 10  # the other flipped bits are in bytes that are not read
