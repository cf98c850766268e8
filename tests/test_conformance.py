"""The conformance suite: every case passes in process, every mutation is found, and over sockets the same
cases pass against the real program.
"""

from __future__ import annotations

import subprocess
import sys
import xml.etree.ElementTree as ElementTree

import pytest

from stairhatch.conformance import report, suite
from stairhatch.conformance.cases import read_cases
from stairhatch.conformance.errors import CaseError
from stairhatch.emulators.ports import free_port

from .support.paths import ROOT
from .support.waiting import wait_until

CASES = read_cases()
COMMAND = (sys.executable, "-m", "stairhatch")


def test_every_case_passes_in_process():
    """Any change to what SIP callers may expect shows; 200 cases at least, of many sections."""
    results = suite.run_in_process(CASES)

    assert report.failure_report(results) == ""
    assert len({case.id for case in CASES}) >= 200
    assert len({case.section for case in CASES}) >= 40


@pytest.mark.parametrize("mutation", sorted(suite.MUTATIONS))
def test_each_mutation_is_found(mutation):
    """No case passes whatever the program does."""
    assert suite.find_mutation(CASES, mutation), "no case fails with it"


def test_a_mutation_leaves_nothing_behind():
    """A search for mutations does not spoil what is played after it."""
    few = [case for case in CASES if case.id in ("bye-copy", "uri-escaped-number", "auth-good-1")]
    for mutation in ("what is over is forgotten at once", "escapes in a user stay", "any password is good"):
        assert suite.find_mutation(few, mutation) or mutation == "any password is good"

    assert all(result.passed for result in suite.run_in_process(few))


def test_a_case_that_cannot_be_read_is_named(tmp_path):
    """A mistyped step does not pass as one that checks nothing."""
    (tmp_path / "x.toml").write_text(
        '[[case]]\nid = "a"\nsection = "s"\ntitle = "t"\nsteps = [{exspect = 1}]'
    )
    with pytest.raises(CaseError, match=r"x\.toml: a: a step with \['exspect'\]"):
        read_cases(tmp_path)


@pytest.fixture
def demo_address(tmp_path):
    """The address of a demonstration that listens on UDP and TCP."""
    address, output = f"127.0.0.1:{free_port()}", tmp_path / "demo.txt"
    with output.open("w") as out:
        demo = subprocess.Popen(
            [*COMMAND, "demo", "--quiet", "--udp", address, "--tcp", address],
            cwd=ROOT,
            stdout=out,
            stderr=out,
        )
    try:
        wait_until(lambda: "listens on" in output.read_text(), "the demonstration")
        yield address
    finally:
        demo.terminate()
        demo.wait(20)


def run_command(*arguments: str, timeout_s: float = 60) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [*COMMAND, "conform", *arguments], cwd=ROOT, capture_output=True, text=True, timeout=timeout_s
    )


def test_the_command_against_the_real_program(demo_address, tmp_path):
    """The program behaves on sockets as its protocols do in process; no failure is hidden."""
    junit = tmp_path / "junit.xml"

    done = run_command("--udp", demo_address, "--tcp", demo_address, "--junit", str(junit), timeout_s=120)

    assert done.returncode == 0, done.stdout
    passed = int(done.stdout.splitlines()[-1].split(" ")[0])
    assert passed >= 400
    root = ElementTree.parse(junit).getroot()
    assert root.get("failures") == "0"
    assert int(root.get("tests", "0")) == len(CASES)
    failing = run_command("--udp", demo_address, "--users", "--only", "auth-challenge")
    assert failing.returncode == 1
    assert "FAILED auth-challenge/udp" in failing.stdout
    remote = run_command("--udp", "192.0.2.1:5060")
    assert remote.returncode == 2
    assert "loopback" in remote.stderr


def test_a_choice_that_no_case_fits_is_told_and_ends_with_code_2():
    """It ended in a traceback."""
    command = [*COMMAND, "conform", "--only", "no such case"]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert ended.returncode == 2
    assert ended.stderr.startswith("stairhatch: --only no such case")
