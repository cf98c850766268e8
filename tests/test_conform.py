"""The conformance suite: every case holds in process, every planted fault is found, and over sockets the same
cases hold against the real program.
"""

from __future__ import annotations

import subprocess
import sys
import xml.etree.ElementTree as ElementTree

import pytest

from stairhatch.conformance import report, suite
from stairhatch.conformance.cases import CaseError, read_cases
from stairhatch.emulators.ports import free_port

from .support.paths import ROOT
from .support.waiting import wait_until

CASES = read_cases()


def test_every_case_holds_in_process():
    """Guards against any change to what SIP callers may expect; 200 cases at least, of many sections."""
    results = suite.run_inside(CASES)
    assert report.failures(results) == ""
    assert len({case.id for case in CASES}) >= 200 and len({case.section for case in CASES}) >= 40


@pytest.mark.parametrize("fault", sorted(suite.FAULTS))
def test_each_planted_fault_is_found(fault):
    """Guards against cases that would pass whatever the program did."""
    assert suite.finder(CASES, fault), "no case fails with it"


def test_a_planted_fault_leaves_nothing_behind():
    """Guards against a search for faults that spoils what is played after it."""
    few = [case for case in CASES if case.id in ("bye-copy", "uri-escaped-number", "auth-good-1")]
    for fault in ("what is over is forgotten at once", "escapes in a user stay", "any password is good"):
        assert suite.finder(few, fault) or fault == "any password is good"
    assert all(result.good for result in suite.run_inside(few))


def test_a_case_that_cannot_be_read_is_named(tmp_path):
    """Guards against a mistyped step that checks nothing."""
    (tmp_path / "x.toml").write_text(
        '[[case]]\nid = "a"\nsection = "s"\ntitle = "t"\nsteps = [{exspect = 1}]'
    )
    with pytest.raises(CaseError, match=r"x\.toml: a: a step with \['exspect'\]"):
        read_cases(tmp_path)


def test_the_command_against_the_real_program(tmp_path):
    """Guards against a program that behaves otherwise on sockets than its machines do, and against an exit
    code or a report that hides a failure.
    """
    port, junit = free_port(), tmp_path / "junit.xml"
    at = f"127.0.0.1:{port}"
    run = [sys.executable, "-m", "stairhatch"]
    with (tmp_path / "demo.txt").open("w") as out:
        demo = subprocess.Popen(
            [*run, "demo", "--quiet", "--udp", at, "--tcp", at], cwd=ROOT, stdout=out, stderr=out
        )
    try:
        wait_until(lambda: "listens on" in (tmp_path / "demo.txt").read_text(), "the demonstration")
        done = subprocess.run(
            [*run, "conform", "--udp", at, "--tcp", at, "--junit", str(junit)],
            cwd=ROOT, capture_output=True, text=True, timeout=120,
        )  # fmt: skip
        assert done.returncode == 0, done.stdout
        passed = int(done.stdout.splitlines()[-1].split(" ")[0])
        assert passed >= 400
        root = ElementTree.parse(junit).getroot()
        assert root.get("failures") == "0" and int(root.get("tests", "0")) == len(CASES)
        wrong = subprocess.run(
            [*run, "conform", "--udp", at, "--users", "--only", "auth-challenge"],
            cwd=ROOT, capture_output=True, text=True, timeout=60,
        )  # fmt: skip
        assert wrong.returncode == 1 and "FAILED auth-challenge/udp" in wrong.stdout
    finally:
        demo.terminate()
        demo.wait(20)
    far = subprocess.run(
        [*run, "conform", "--udp", "192.0.2.1:5060"], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert far.returncode == 2 and "loopback" in far.stderr
