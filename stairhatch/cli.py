"""The appliance's command line, on click: owns the words, the exit codes and what is printed. It must never
hold logic of its own: each command calls the part that does the work. Exit codes: 0 done, 1 something was
found wrong, 2 the words or the configuration can't be used.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from stairhatch.config import Config, ConfigError
from stairhatch.config.appliance import read_appliance


def _serve(file: str) -> int:
    from stairhatch.__main__ import serve

    return serve(lambda: read_appliance(file, dict(os.environ)))


def _read(file: str) -> Config:
    try:
        return read_appliance(file, dict(os.environ))
    except ConfigError as error:
        click.echo(f"stairhatch: {error}", err=True)
        sys.exit(2)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name=None, version="0.2.0", prog_name="stairhatch")
def main_group() -> None:
    """A small SIP softswitch for small sites. Without any word, the platform's program is run."""


@main_group.command()
@click.argument("file", type=click.Path())
def serve(file: str) -> None:
    """Run the appliance that FILE describes, until SIGTERM, SIGINT or `quit`."""
    sys.exit(_serve(file))


@main_group.command("check-config")
@click.argument("file", type=click.Path())
def check_config(file: str) -> None:
    """Read FILE as `serve` would, and say what is in it or what is wrong."""
    config = _read(file)
    assert config.sip is not None
    from stairhatch.sip.flows import host_port

    listens = [f"udp {host_port(each.place)}" for each in config.sip.udp]
    listens += [f"tcp {host_port(each.place)}" for each in config.sip.tcp]
    click.echo(f"{file}: ok")
    click.echo(f"  name      {config.name}")
    click.echo(f"  listens   {', '.join(listens)}")
    click.echo(f"  classes   {', '.join(kind.name for kind in config.settings.classes)}")
    servers = [
        line["instanceId"] for event in config.known["updates"] for line in event["endpoints"]["instances"]
    ]
    where = config.coordinator and host_port(config.coordinator)
    click.echo(f"  servers   {', '.join(servers) or f'from the coordinator at {where}'}")
    told = config.sip.auth
    users = f"{len({user for user, _ in told.users})} users of {told.realm}" if told else "everybody"
    click.echo(f"  may call  {users}")


@main_group.group()
def users() -> None:
    """Who may call: a file of hashes, named by `sip.auth.users`."""


@users.command("add")
@click.argument("file", type=click.Path(path_type=Path))
@click.argument("name")
@click.option("--realm", required=True, help="as `sip.auth.realm` has it")
@click.option("--md5", is_flag=True, help="also a hash for old telephones that know MD5 alone")
@click.option(
    "--stdin", "from_stdin", is_flag=True, help="read the password from the first line of standard input"
)
def users_add(file: Path, name: str, realm: str, md5: bool, from_stdin: bool) -> None:
    """Add NAME to FILE, or give it a new password. The password is asked for and not kept."""
    from stairhatch.users import add

    if from_stdin:
        password = sys.stdin.readline().rstrip("\r\n")
    else:
        password = click.prompt("password", hide_input=True, confirmation_prompt=True)
    _told(add, file, name, realm, password, md5)


@users.command("remove")
@click.argument("file", type=click.Path(path_type=Path))
@click.argument("name")
@click.option("--realm", default="", help="of this realm alone")
def users_remove(file: Path, name: str, realm: str) -> None:
    """Take NAME out of FILE."""
    from stairhatch.users import remove

    _told(remove, file, name, realm)


@users.command("list")
@click.argument("file", type=click.Path(path_type=Path))
def users_list(file: Path) -> None:
    """The users in FILE, with realm and algorithms."""
    from stairhatch.users import listed

    _told(listed, file)


def _told(act: object, *words: object) -> None:
    from stairhatch.sip.auth import UsersError

    assert callable(act)
    try:
        click.echo(act(*words))
    except (UsersError, OSError) as error:
        click.echo(f"stairhatch: {error}", err=True)
        sys.exit(1)


def main() -> int:
    """Carry out the command line. `--sip FILE` is the old spelling of `serve FILE`."""
    words = sys.argv[1:]
    if len(words) == 2 and words[0] == "--sip":
        words = ["serve", words[1]]
    main_group(args=words, prog_name="stairhatch")
    return 0
