"""`stairhatch claims`: the leases of a softswitch, asked at its admin endpoint."""

from __future__ import annotations

import json

import click

from stairhatch.cli.common import EXIT_FOUND_WRONG, admin_address, failing_with


@click.command()
@click.argument("file", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="as one JSON object")
@click.option("--watch", default="", metavar="CLAIM", help="who holds it, a line at each change")
@click.option("--seconds", default=3600.0, show_default=True, help="watch for so long")
def claims(file: str, as_json: bool, watch: str, seconds: float) -> None:
    """Ask the softswitch that FILE describes, by its door, for its claims: names, holders, tickets, terms
    left, whether it votes, and why there is no majority.
    """
    from stairhatch.fleet import admin_client

    with failing_with(EXIT_FOUND_WRONG, admin_client.AdminClientError):
        if watch:
            admin_client.observe_lease(admin_address(file), watch, seconds, click.echo)
            return
        report = admin_client.lease_report(admin_address(file))
    click.echo(json.dumps(report) if as_json else admin_client.format_report(report), nl=as_json)
