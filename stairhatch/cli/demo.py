"""`stairhatch demo`: run the appliance with emulated roster servers and callers."""

from __future__ import annotations

import os
import sys

import click

from stairhatch.cli.common import EXIT_UNUSABLE, failing_with
from stairhatch.config.model import ConfigError


@click.command()
@click.option("--udp", default="127.0.0.1:5060", show_default=True, help='UDP address to listen at; "": none')
@click.option("--tcp", default="127.0.0.1:5060", show_default=True, help='TCP address to listen at; "": none')
@click.option("--rate", default=3.0, show_default=True, help="calls per second from emulated callers")
@click.option("--seconds", default=0.0, help="duration in seconds; 0: run until Ctrl-C")
@click.option("--users", "auth", default="", help="file of the users that may call (realm stairhatch)")
@click.option("--quiet", is_flag=True, help="place no calls, for use with other callers such as `conform`")
def demo(udp: str, tcp: str, rate: float, seconds: float, auth: str, quiet: bool) -> None:
    """Run the appliance with two emulated roster servers and a few calls per second, and print its events."""
    import uvloop

    from stairhatch.demo.config import DemoOptions
    from stairhatch.demo.demonstration import run_demonstration

    options = DemoOptions(
        udp=udp,
        tcp=tcp,
        calls_per_s=0.0 if quiet else rate,
        seconds=seconds,
        users_file=os.path.abspath(auth) if auth else "",
    )
    with failing_with(EXIT_UNUSABLE, ConfigError):
        sys.exit(uvloop.run(run_demonstration(options, click.echo)))
