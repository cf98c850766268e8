"""`stairhatch restart-slot`: acquire or release a restart slot of the fleet, through the admin endpoint."""

from __future__ import annotations

import click

from stairhatch.cli.common import EXIT_FAULT_FOUND, admin_address, failing_with


@click.command("restart-slot")
@click.argument("file", type=click.Path())
@click.option("--wait", default=60.0, show_default=True, help="wait at most this many seconds for a slot")
@click.option("--give", is_flag=True, help="release the slot, if the restart is cancelled")
def restart_slot(file: str, wait: float, give: bool) -> None:
    """Acquire one of the fleet's restart slots for the softswitch configured in FILE, which the operator then
    ends with SIGTERM. Exit code 0: the softswitch holds the slot, until a lease duration after its end. 1: no
    slot was free in time, or the admin endpoint could not be used.
    """
    from stairhatch.fleet import admin_client

    address = admin_address(file)
    with failing_with(EXIT_FAULT_FOUND, admin_client.AdminClientError):
        if give:
            answer = admin_client.execute(address, "restart-give")
        else:
            answer = admin_client.execute_until_ready(address, "restart-ask", wait)
        click.echo(answer)
