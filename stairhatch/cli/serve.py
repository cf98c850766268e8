"""`stairhatch serve`: run the appliance until a signal or the admin command `quit` stops it."""

from __future__ import annotations

import os
import sys

import click

from stairhatch.config.appliance.reader import read_appliance


@click.command()
@click.argument("file", type=click.Path())
def serve(file: str) -> None:
    """Run the appliance configured in FILE until SIGTERM, SIGINT or the admin command `quit`."""
    from stairhatch.main import serve as run_to_exit_code

    sys.exit(run_to_exit_code(lambda: read_appliance(file, dict(os.environ))))
