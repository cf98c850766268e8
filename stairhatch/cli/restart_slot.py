"""`stairhatch restart-slot`: take a restart slot for a planned restart, at the admin endpoint."""

from __future__ import annotations

import click

from stairhatch.cli.common import EXIT_FOUND_WRONG, admin_address, failing_with


@click.command("restart-slot")
@click.argument("file", type=click.Path())
@click.option("--wait", default=60.0, show_default=True, help="wait at most so many seconds for a slot")
@click.option("--give", is_flag=True, help="release the slot: there will be no restart")
def restart_slot(file: str, wait: float, give: bool) -> None:
    """Take one of the fleet's restart slots for the softswitch that FILE describes; then end that one with
    SIGTERM. Exit code 0: the slot is held, until a lease duration after that softswitch has gone. 1: none was
    free in time.
    """
    from stairhatch.fleet import admin_client

    address = admin_address(file)
    with failing_with(EXIT_FOUND_WRONG, admin_client.AdminClientError):
        if give:
            answer = admin_client.execute(address, "restart-give")
        else:
            answer = admin_client.execute_until_ready(address, "restart-ask", wait)
        click.echo(answer)
