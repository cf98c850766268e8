"""`stairhatch claims`: print the leases of a softswitch, as its admin endpoint reports them."""

from __future__ import annotations

import json

import click

from stairhatch.cli.common import EXIT_FAULT_FOUND, admin_address, failing_with


@click.command()
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="print one JSON object")
@click.option("--watch", default="", metavar="CLAIM", help="print the lease's holder, a line at each change")
@click.option("--seconds", default=3600.0, show_default=True, help="the duration of --watch")
def claims(file: str, as_json: bool, watch: str, seconds: float) -> None:
    """Print the leases (claims) that the admin endpoint of the softswitch configured in FILE reports: names,
    holders, fencing tokens (tickets), remaining times, whether the softswitch is a voter, and the reason if
    there is no majority. Exit code 1: the admin endpoint could not be used.
    """
    from stairhatch.fleet import admin_client

    with failing_with(EXIT_FAULT_FOUND, admin_client.AdminClientError):
        if watch:
            admin_client.observe_lease(admin_address(file), watch, seconds, click.echo)
            return
        report = admin_client.lease_report(admin_address(file))
    click.echo(json.dumps(report) if as_json else admin_client.format_report(report), nl=as_json)
