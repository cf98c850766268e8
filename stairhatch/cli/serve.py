"""`stairhatch serve`: run the appliance until it is stopped."""

from __future__ import annotations

import os
import sys

import click

from stairhatch.config.appliance.reader import read_appliance


@click.command()
@click.argument("file", type=click.Path())
def serve(file: str) -> None:
    """Run the appliance that FILE describes, until SIGTERM, SIGINT or `quit`."""
    from stairhatch.main import serve as run_to_exit_code

    sys.exit(run_to_exit_code(lambda: read_appliance(file, dict(os.environ))))
