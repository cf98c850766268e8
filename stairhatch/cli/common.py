"""Helpers that several commands share: exit codes, error output, and the parsing of options."""

from __future__ import annotations

import contextlib
import os
import sys
from collections.abc import Iterator
from typing import NoReturn

import click

from stairhatch.config.appliance.reader import read_appliance
from stairhatch.config.model import Config, ConfigError

EXIT_OK = 0
EXIT_FAULT_FOUND = 1
EXIT_UNUSABLE = 2
EXIT_INTERRUPTED = 130


def fail(code: int, reason: object) -> NoReturn:
    """Print the reason in one line on standard error and end the command with an exit code."""
    click.echo(f"stairhatch: {reason}", err=True)
    sys.exit(code)


@contextlib.contextmanager
def failing_with(code: int, *errors: type[Exception]) -> Iterator[None]:
    """Context manager: an exception of these types ends the command with an exit code and an error line."""
    try:
        yield
    except errors as error:
        fail(code, error)


def read_config(file: str) -> Config:
    """Return the configuration in a TOML file; an unusable file ends the command (exit code 2)."""
    with failing_with(EXIT_UNUSABLE, ConfigError):
        return read_appliance(file, dict(os.environ))


def admin_address(file: str) -> tuple[str, int]:
    """Return the host and port of the admin endpoint that a configuration file sets.

    A file that sets none, or that cannot be used, ends the command (exit code 2).
    """
    config = read_config(file)
    if config.console is None:
        fail(EXIT_UNUSABLE, f"{file}: console is not set, so the command has no admin endpoint to use")
    return config.console


def optional_address(text: str, option: str) -> tuple[str, int] | None:
    """Return the host and port in the value of an option, or None if the value is empty.

    Raises click.BadParameter, which ends the command (exit code 2), if the value is not an address.
    """
    from stairhatch.node.address import AddressError, parse_address

    try:
        return parse_address(text) if text else None
    except AddressError as error:
        raise click.BadParameter(str(error), param_hint=option) from error


def seed_range(text: str) -> range:
    """Return the seeds from A to B, both included, for the text `A-B`, or A alone for `A`.

    Raises click.BadParameter, which ends the command (exit code 2), if the text has another form or B is
    less than A.
    """
    first, _, last = text.partition("-")
    try:
        seeds = range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise click.BadParameter(f"{text!r}: expected seeds as A-B", param_hint="--seeds") from error
    if not seeds:
        raise click.BadParameter(f"{text!r} contains no seed", param_hint="--seeds")
    return seeds
