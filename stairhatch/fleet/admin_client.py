"""The operators' questions to one member, over its admin endpoint, and the tables that people read.

One line each way: a command, and an answer that begins with `ok` or `fail`. `admin_commands` is the other
side.
"""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable
from typing import Any

from stairhatch.fleet.errors import AdminClientError as AdminClientError

ANSWER_TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 1024 * 1024
RETRY_INTERVAL_S = 0.3
READ_BYTES = 65536


def execute(endpoint: tuple[str, int], command: str) -> str:
    """Execute one command; return the text behind `ok`.

    AdminClientError: the text behind `fail`, or why nobody answered.
    """
    data = b""
    try:
        with socket.create_connection(endpoint, ANSWER_TIMEOUT_S) as sock:
            sock.sendall(command.encode() + b"\n")
            while len(data) < MAX_ANSWER_BYTES and (piece := sock.recv(READ_BYTES)):
                data += piece
    except OSError as error:
        host, port = endpoint
        raise AdminClientError(f"nobody answers at the door {host}:{port}: {error}") from error
    verdict, _, rest = data.decode("utf-8", "replace").strip().partition(" ")
    if verdict != "ok":
        raise AdminClientError(rest or "no answer")
    return rest


def execute_until_ready(endpoint: tuple[str, int], command: str, seconds: float) -> str:
    """The same until it says ok, for so many seconds at the most."""
    end = time.monotonic() + seconds
    while True:
        try:
            return execute(endpoint, command)
        except AdminClientError as error:
            if time.monotonic() + RETRY_INTERVAL_S > end or not str(error).startswith("not yet"):
                raise
        time.sleep(RETRY_INTERVAL_S)


def lease_report(endpoint: tuple[str, int]) -> dict[str, Any]:
    """What a member says of its leases and its vote. AdminClientError as with `execute`."""
    try:
        found = json.loads(execute(endpoint, "claims"))
    except ValueError as error:
        raise AdminClientError("an answer that can't be read") from error
    assert isinstance(found, dict)
    return found


def observe_lease(endpoint: tuple[str, int], lease: str, seconds: float, show: Callable[[str], None]) -> None:
    """Show who holds a lease, a line at each change, for so long. AdminClientError as with `execute`."""
    end = time.monotonic() + seconds
    last = None
    while time.monotonic() < end:
        seen = json.loads(execute(endpoint, f"watch {lease}"))
        now = seen["holder"], seen["ticket"], seen["voters"]
        if seen["voters"] and now != last:
            last = now
            left = f"{seen['holder']}, {seen['left_s']:.1f} s left" if seen["holder"] else "nobody"
            show(f"{lease}: held by {left}, ticket {seen['ticket']}, by {seen['voters']} voters")
        time.sleep(RETRY_INTERVAL_S)


def format_report(report: dict[str, Any]) -> str:
    """The report of `lease_report` as a table for people."""
    lines = [f"fleet {report['fleet']}, softswitch {report['name']}, voters {' '.join(report['voters'])}"]
    if "number" in report:
        index = report["number"]
        shown = index if index >= 0 else "none: no turn in what is left over at a cold server"
        lines.append(f"number        {shown}")
    lines.append(f"{'claim':20} {'stage':8} {'ticket':>7} {'left':>7} holder")
    lines += [_lease_line(each) for each in report["claims"]]
    lines += _vote_lines(report["vote"])
    return "\n".join(lines) + "\n"


def _lease_line(lease: dict[str, Any]) -> str:
    left = f"{lease['left_s']:.1f}s" if lease["stage"] == "held" else "-"
    token = lease["ticket"] or "-"
    holder = lease["holder"] or "-"
    why = f"  ({lease['why']})" if lease["why"] else ""
    return f"{lease['claim']:20} {lease['stage']:8} {token:>7} {left:>7} {holder}{why}"


def _vote_lines(vote: dict[str, Any] | None) -> list[str]:
    if vote is None:
        return ["votes         no: it is none of the listed voters"]
    voter_set = f"list          {vote['epoch']}: {' '.join(vote['list'])}"
    if vote["wishes"]:
        proposed = " ".join(vote["wishes"])
        voter_set += f"; its file has {proposed}: not yet agreed to by a majority, or not heard of"
    lines = [f"votes         {'yes' if vote['votes'] else 'no: ' + vote['why']}", voter_set]
    for each in vote["promises"]:
        left = f"{each['left_s']:.1f}s"
        holder = each["holder"] or "-"
        lines.append(f"  promised {each['claim']:18} {each['ticket']:>7} {left:>7} {holder}")
    return lines
