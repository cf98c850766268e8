"""`stairhatch check-config`: validate a configuration file and print a summary of it."""

from __future__ import annotations

import click

from stairhatch.cli.common import read_config
from stairhatch.config.model import Config
from stairhatch.node.address import format_address


@click.command("check-config")
@click.argument("file", type=click.Path())
def check_config(file: str) -> None:
    """Validate FILE as `serve` does, and print a summary of the configuration or its first error."""
    config = read_config(file)
    assert config.sip is not None
    listeners = [f"udp {format_address(each.address)}" for each in config.sip.udp]
    listeners += [f"tcp {format_address(each.address)}" for each in config.sip.tcp]
    click.echo(f"{file}: ok")
    click.echo(f"  name      {config.name}")
    click.echo(f"  listens   {', '.join(listeners)}")
    click.echo(f"  classes   {', '.join(each.name for each in config.settings.classes)}")
    coordinator = config.coordinator and format_address(config.coordinator)
    servers = ", ".join(_server_names(config))
    click.echo(f"  servers   {servers or f'from the coordinator at {coordinator}'}")
    auth = config.sip.auth
    users = f"{len({user for user, _ in auth.users})} users of {auth.realm}" if auth else "everybody"
    click.echo(f"  may call  {users}")


def _server_names(config: Config) -> list[str]:
    """Return the instance ids of the roster servers that the configuration lists, without a coordinator's."""
    return [
        line["instanceId"] for event in config.known["updates"] for line in event["endpoints"]["instances"]
    ]
