"""The group of all commands, and the entry point of the command line (`main`)."""

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

LOAD_LIBRARIES = ("hdrh", "matplotlib")  # of requirements-load.txt alone
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
    """A small SIP softswitch for small sites. Without a command the platform's softswitch is run."""


for _command in COMMANDS:
    main_group.add_command(_command)


def main() -> int:
    """Run the command in `sys.argv`; return the exit code.

    `--sip FILE` is the old spelling of `serve FILE`.
    """
    words = sys.argv[1:]
    if len(words) == 2 and words[0] == "--sip":
        words = ["serve", words[1]]
    try:
        main_group(args=words, prog_name="stairhatch")
    except ModuleNotFoundError as error:
        library = (error.name or "").partition(".")[0]
        if library not in LOAD_LIBRARIES:
            raise
        reason = f"{words[0]} needs what requirements-load.txt lists; {library} is not installed"
        click.echo(f"stairhatch: {reason}", err=True)
        return EXIT_UNUSABLE
    return EXIT_OK
