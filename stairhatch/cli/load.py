"""`stairhatch load`: run a load test, generating the calls of a plan, and check the rules."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path

import click

from stairhatch.cli.common import EXIT_FAULT_FOUND, EXIT_OK, EXIT_UNUSABLE, failing_with, optional_address


def _progress_callback(is_shown: bool, seconds: float) -> Callable[[float], None]:
    """Return a callback that prints the elapsed seconds of a run, or does nothing unless `is_shown`."""
    if not is_shown:
        return lambda _: None
    return lambda elapsed_s: click.echo(f"\r{elapsed_s:6.1f} of {seconds:g} s", nl=False, err=True)


@click.command()
@click.argument("plan", type=click.Path(path_type=Path))
@click.option("--udp", default="", help="host:port of a program on this machine, called over UDP")
@click.option("--tcp", default="", help="host:port of a program on this machine, called over TCP")
@click.option("--seed", default=1, show_default=True, help="the same seed draws the same calls")
@click.option(
    "--workers", default=2, show_default=True, type=click.IntRange(1, 64), help="processes that place calls"
)
@click.option("--json", "as_json", is_flag=True, help="print all figures as one JSON object")
@click.option("--progress", is_flag=True, help="show the progress, if standard error is a terminal")
def load(plan: Path, udp: str, tcp: str, seed: int, workers: int, as_json: bool, progress: bool) -> None:
    """Generate the calls of PLAN. Without --udp and --tcp, the appliance and emulated roster servers are
    started, and the rules are checked at the callers and the servers. Exit code 1: a rule was broken, or the
    run is void.
    """
    from stairhatch.load_test.errors import LoadTestError
    from stairhatch.load_test.load_plan import Transport, read_load_plan
    from stairhatch.load_test.load_run import LoadSetup, run_load
    from stairhatch.load_test.run_summary import render_summary

    address_options = {
        Transport.UDP: optional_address(udp, "--udp"),
        Transport.TCP: optional_address(tcp, "--tcp"),
    }
    with failing_with(EXIT_UNUSABLE, LoadTestError):
        load_plan = read_load_plan(plan)
        addresses = {
            transport: address for transport, address in address_options.items() if address is not None
        }
        setup = LoadSetup(load_plan, seed, workers, addresses)
        result = run_load(setup, _progress_callback(progress and sys.stderr.isatty(), load_plan.seconds))
    click.echo(json.dumps(result.figures()) if as_json else render_summary(result), nl=as_json)
    sys.exit(EXIT_FAULT_FOUND if result.violations or result.void_reason() else EXIT_OK)
