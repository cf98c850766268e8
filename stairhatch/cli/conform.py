"""`stairhatch conform`: run the SIP conformance suite in process or against a program on this machine."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

from stairhatch.cli.common import EXIT_FAULT_FOUND, EXIT_OK, EXIT_UNUSABLE, failing_with, optional_address

if TYPE_CHECKING:
    from stairhatch.conformance.cases import Case
    from stairhatch.conformance.results import CaseResult


@click.command()
@click.option("--udp", default="", help="host:port of a program to test over UDP")
@click.option("--tcp", default="", help="host:port of a program to test over TCP")
@click.option("--only", default="", help="run only cases whose name or section begins with this")
@click.option("--slow", is_flag=True, help="also run the cases with long waits (with --udp or --tcp)")
@click.option("--users", is_flag=True, help="test a program with authentication: only the cases on that")
@click.option("--faults", is_flag=True, help="apply each known mutation and print the case that detects it")
@click.option("--junit", type=click.Path(path_type=Path), help="write the results as JUnit XML")
def conform(udp: str, tcp: str, only: str, slow: bool, users: bool, faults: bool, junit: Path | None) -> None:
    """Run the conformance suite in process or, with --udp or --tcp, against a program on this machine. Exit
    code 1: a case failed, or a mutation was not detected.
    """
    from stairhatch.conformance import suite
    from stairhatch.conformance.cases import read_cases
    from stairhatch.conformance.errors import CaseError
    from stairhatch.conformance.sockets import SocketTarget

    with failing_with(EXIT_UNUSABLE, CaseError, ValueError):
        cases = [each for each in read_cases() if each.name.startswith(only) or each.section.startswith(only)]
        if not cases:
            raise CaseError(f"--only {only}: no case has a name or section that begins with this")
        if faults:
            _show_mutations(cases)
        if udp or tcp:
            udp_address = optional_address(udp, "--udp")
            tcp_address = optional_address(tcp, "--tcp")
            target = SocketTarget(udp=udp_address, tcp=tcp_address, requires_authentication=users)
            results = suite.run_over_sockets(cases, target, slow=slow)
        else:
            results = suite.run_in_process(cases)
    _show_results(results, junit)


def _show_mutations(cases: list[Case]) -> NoReturn:
    """Print for each mutation the case that detects it; end the command with exit code 1 if one has none."""
    from stairhatch.conformance import suite

    finders = {mutation: suite.find_mutation(cases, mutation) for mutation in suite.MUTATIONS}
    for mutation, case in finders.items():
        click.echo(f"{mutation:56} {case or 'NOT FOUND'}")
    click.echo(f"{sum(map(bool, finders.values()))} of {len(finders)} planted faults found")
    sys.exit(EXIT_OK if all(finders.values()) else EXIT_FAULT_FOUND)


def _show_results(results: list[CaseResult], junit: Path | None) -> NoReturn:
    """Print the results, write them as JUnit XML if a file is given, and end the command.

    The exit code is 1 if a case failed.
    """
    from stairhatch.conformance import report

    click.echo(report.failure_report(results), nl=False)
    click.echo(report.section_table(results))
    counts = report.count_results(results)
    click.echo(f"{counts.passed} passed, {counts.failed} failed, {counts.skipped} skipped")
    if junit is not None:
        junit.write_text(report.junit_xml(results), encoding="utf-8")
    sys.exit(EXIT_FAULT_FOUND if counts.failed else EXIT_OK)
