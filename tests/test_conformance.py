"""The conformance suite: every case passes in process and over sockets, and the cases find each mutation."""

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
    """A change to the SIP behaviour that callers rely on fails a case; the suite has at least 200 cases from
    40 sections of the RFCs.
    """
    results = suite.run_in_process(CASES)

    assert report.failure_report(results) == ""
    assert len({case.id for case in CASES}) >= 200
    assert len({case.section for case in CASES}) >= 40


@pytest.mark.parametrize("mutation", sorted(suite.MUTATIONS))
def test_each_mutation_is_found(mutation):
    """At least one case fails under each mutation, so that no mutated rule goes unchecked."""
    assert suite.find_mutation(CASES, mutation), "no case fails under the mutation"


def test_mutations_are_reverted_after_the_search():
    """Cases pass after a search for mutations, which must restore the attributes that it has replaced."""
    selected = [case for case in CASES if case.id in ("bye-copy", "uri-escaped-number", "auth-good-1")]
    for mutation in ("what is over is forgotten at once", "escapes in a user stay", "any password is good"):
        assert suite.find_mutation(selected, mutation) or mutation == "any password is good"

    assert all(result.passed for result in suite.run_in_process(selected))


def test_error_names_the_unreadable_case(tmp_path):
    """A step with a mistyped key raises an error naming file and case; it is not read as an empty step."""
    (tmp_path / "x.toml").write_text(
        '[[case]]\nid = "a"\nsection = "s"\ntitle = "t"\nsteps = [{exspect = 1}]'
    )
    with pytest.raises(
        CaseError, match=r"x\.toml: a: a step needs one key that names its action, found \['exspect'\]"
    ):
        read_cases(tmp_path)


@pytest.fixture
def demo_address(tmp_path):
    """The address of a running `stairhatch demo`, which listens on it over UDP and TCP."""
    address, output = f"127.0.0.1:{free_port()}", tmp_path / "demo.txt"
    with output.open("w") as out:
        demo = subprocess.Popen(
            [*COMMAND, "demo", "--quiet", "--udp", address, "--tcp", address],
            cwd=ROOT,
            stdout=out,
            stderr=out,
        )
    try:
        wait_until(lambda: "listens on" in output.read_text(), "the start of the demonstration")
        yield address
    finally:
        demo.terminate()
        demo.wait(20)


def run_command(*arguments: str, timeout_s: float = 60) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [*COMMAND, "conform", *arguments], cwd=ROOT, capture_output=True, text=True, timeout=timeout_s
    )


def test_conform_command_against_a_running_program(demo_address, tmp_path):
    """All cases pass over sockets; a failed case gives exit code 1, an address of another machine code 2."""
    junit = tmp_path / "junit.xml"

    completed = run_command(
        "--udp", demo_address, "--tcp", demo_address, "--junit", str(junit), timeout_s=120
    )

    assert completed.returncode == 0, completed.stdout
    passed = int(completed.stdout.splitlines()[-1].split(" ")[0])
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


def test_only_filter_without_a_matching_case_exits_with_code_2():
    """An `--only` filter that matches no case gives an error message and no traceback."""
    command = [*COMMAND, "conform", "--only", "no such case"]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert completed.returncode == 2
    assert completed.stderr.startswith("stairhatch: --only no such case")
