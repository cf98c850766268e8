"""`stairhatch users`: add, remove and list the SIP users in a file of password hashes."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from stairhatch.cli.common import EXIT_FAULT_FOUND, failing_with


@click.group()
def users() -> None:
    """Change the users that may call, in the file of password hashes that `sip.auth.users` names."""


@users.command("add")
@click.argument("file", type=click.Path(path_type=Path))
@click.argument("name")
@click.option("--realm", required=True, help="the value of `sip.auth.realm`")
@click.option("--md5", is_flag=True, help="also store an MD5 hash, for old telephones that support only MD5")
@click.option(
    "--stdin", "from_stdin", is_flag=True, help="read the password from the first line of standard input"
)
def users_add(file: Path, name: str, realm: str, md5: bool, from_stdin: bool) -> None:
    """Add NAME to FILE, or change its password. The password is prompted for; only hashes are stored."""
    from stairhatch.sip.digest_auth import UserFileError
    from stairhatch.users import add

    if from_stdin:
        password = sys.stdin.readline().rstrip("\r\n")
    else:
        password = click.prompt("password", hide_input=True, confirmation_prompt=True)
    with failing_with(EXIT_FAULT_FOUND, UserFileError, OSError):
        click.echo(add(file, name, realm, password, md5))


@users.command("remove")
@click.argument("file", type=click.Path(path_type=Path))
@click.argument("name")
@click.option("--realm", default="", help="remove the user in this realm only")
def users_remove(file: Path, name: str, realm: str) -> None:
    """Remove NAME from FILE, in all realms unless --realm is given."""
    from stairhatch.sip.digest_auth import UserFileError
    from stairhatch.users import remove

    with failing_with(EXIT_FAULT_FOUND, UserFileError, OSError):
        click.echo(remove(file, name, realm))


@users.command("list")
@click.argument("file", type=click.Path(path_type=Path))
def users_list(file: Path) -> None:
    """List the users in FILE with their realms and digest algorithms."""
    from stairhatch.sip.digest_auth import UserFileError
    from stairhatch.users import list_users

    with failing_with(EXIT_FAULT_FOUND, UserFileError, OSError):
        click.echo(list_users(file))
