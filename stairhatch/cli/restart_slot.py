"""`stairhatch restart-slot`: a permit for a planned restart, asked at the admin endpoint."""

from __future__ import annotations

import click

from stairhatch.cli.common import EXIT_FOUND_WRONG, admin_address, failing_with


@click.command("restart-slot")
@click.argument("file", type=click.Path())
@click.option("--wait", default=60.0, show_default=True, help="so many seconds at the most")
@click.option("--give", is_flag=True, help="give it back: there will be no restart")
def restart_slot(file: str, wait: float, give: bool) -> None:
    """Take one of the fleet's slots for a planned restart of the softswitch that FILE describes, then end it
    with SIGTERM. Exit code 0: it is held, until a term after that softswitch has gone. 1: there was none in
    time.
    """
    from stairhatch.fleet import admin_client

    address = admin_address(file)
    with failing_with(EXIT_FOUND_WRONG, admin_client.AdminClientError):
        if give:
            answer = admin_client.execute(address, "restart-give")
        else:
            answer = admin_client.execute_until_ready(address, "restart-ask", wait)
        click.echo(answer)
