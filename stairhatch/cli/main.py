"""Entry point of the command line (`main`) and the click group of all commands."""

from __future__ import annotations

import sys

import click

from stairhatch.cli.check_config import check_config
from stairhatch.cli.claims import claims
from stairhatch.cli.common import EXIT_OK, EXIT_UNUSABLE
from stairhatch.cli.conform import conform
from stairhatch.cli.demo import demo
from stairhatch.cli.experiment import experiment
from stairhatch.cli.lab import lab
from stairhatch.cli.load import load
from stairhatch.cli.restart_slot import restart_slot
from stairhatch.cli.scale import scale
from stairhatch.cli.serve import serve
from stairhatch.cli.soak import soak
from stairhatch.cli.users import users

LOAD_LIBRARIES = ("hdrh", "matplotlib")  # installed by requirements-load.txt only
COMMANDS = (
    serve,
    check_config,
    demo,
    conform,
    load,
    experiment,
    scale,
    claims,
    restart_slot,
    lab,
    soak,
    users,
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name=None, version="0.6.0", prog_name="stairhatch")
def main_group() -> None:
    """A small SIP softswitch for small sites. Without a command, run the platform's softswitch."""


for _command in COMMANDS:
    main_group.add_command(_command)


def main() -> int:
    """Run the command in `sys.argv` and return the exit code, unless the command itself exits.

    `--sip FILE` is an older form of `serve FILE`. A command whose library is not installed returns 2.
    """
    arguments = sys.argv[1:]
    if len(arguments) == 2 and arguments[0] == "--sip":
        arguments = ["serve", arguments[1]]
    try:
        main_group(args=arguments, prog_name="stairhatch")
    except ModuleNotFoundError as error:
        library = (error.name or "").partition(".")[0]
        if library not in LOAD_LIBRARIES:
            raise
        reason = f"{arguments[0]} needs the libraries in requirements-load.txt; {library} is not installed"
        click.echo(f"stairhatch: {reason}", err=True)
        return EXIT_UNUSABLE
    return EXIT_OK
