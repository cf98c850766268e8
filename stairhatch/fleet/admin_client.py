"""Client for the admin endpoint of one member, and the tables in which its reports are printed.

The client sends a command as one line and receives one line, which begins with `ok` or `fail`.
`admin_commands` is the server side.
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
    """Execute one command; return the text after `ok`.

    Raise AdminClientError with the text after `fail`, or if the endpoint is unreachable or sends no answer.
    """
    data = b""
    try:
        with socket.create_connection(endpoint, ANSWER_TIMEOUT_S) as sock:
            sock.sendall(command.encode() + b"\n")
            while len(data) < MAX_ANSWER_BYTES and (chunk := sock.recv(READ_BYTES)):
                data += chunk
    except OSError as error:
        host, port = endpoint
        raise AdminClientError(f"cannot reach the admin endpoint {host}:{port}: {error}") from error
    status, _, text = data.decode("utf-8", "replace").strip().partition(" ")
    if status != "ok":
        raise AdminClientError(text or "the admin endpoint sent no answer")
    return text


def execute_until_ready(endpoint: tuple[str, int], command: str, seconds: float) -> str:
    """Execute a command as `execute` does, and repeat it while the answer is `fail not yet`.

    Raise AdminClientError for any other failure, or if the answer is still `not yet` after `seconds`.
    """
    deadline = time.monotonic() + seconds
    while True:
        try:
            return execute(endpoint, command)
        except AdminClientError as error:
            if time.monotonic() + RETRY_INTERVAL_S > deadline or not str(error).startswith("not yet"):
                raise
        time.sleep(RETRY_INTERVAL_S)


def lease_report(endpoint: tuple[str, int]) -> dict[str, Any]:
    """Return a member's report of its leases and its vote; `metrics.lease_report` creates it.

    Raise AdminClientError as `execute` does, and if the answer is not valid JSON.
    """
    try:
        report = json.loads(execute(endpoint, "claims"))
    except ValueError as error:
        raise AdminClientError("the answer to the command `claims` is not valid JSON") from error
    assert isinstance(report, dict)
    return report


def observe_lease(endpoint: tuple[str, int], lease: str, seconds: float, show: Callable[[str], None]) -> None:
    """Show the holder of a lease for `seconds`, with one line for each change.

    Raise AdminClientError as `execute` does.
    """
    deadline = time.monotonic() + seconds
    previous = None
    while time.monotonic() < deadline:
        status = json.loads(execute(endpoint, f"watch {lease}"))
        current = status["holder"], status["ticket"], status["voters"]
        if status["voters"] and current != previous:
            previous = current
            holder = f"{status['holder']}, {status['left_s']:.1f} s left" if status["holder"] else "nobody"
            show(f"{lease}: held by {holder}, ticket {status['ticket']}, by {status['voters']} voters")
        time.sleep(RETRY_INTERVAL_S)


def format_report(report: dict[str, Any]) -> str:
    """Return the report of `lease_report` as a table for operators."""
    lines = [f"fleet {report['fleet']}, softswitch {report['name']}, voters {' '.join(report['voters'])}"]
    if "number" in report:
        index = report["number"]
        index_text = (
            index if index >= 0 else "none: no share of the remaining slow-start slots at a cold server"
        )
        lines.append(f"number        {index_text}")
    lines.append(f"{'claim':20} {'stage':8} {'ticket':>7} {'left':>7} holder")
    lines += [_lease_line(each) for each in report["claims"]]
    lines += _vote_lines(report["vote"])
    return "\n".join(lines) + "\n"


def _lease_line(lease: dict[str, Any]) -> str:
    remaining = f"{lease['left_s']:.1f}s" if lease["stage"] == "held" else "-"
    token = lease["ticket"] or "-"
    holder = lease["holder"] or "-"
    reason = f"  ({lease['why']})" if lease["why"] else ""
    return f"{lease['claim']:20} {lease['stage']:8} {token:>7} {remaining:>7} {holder}{reason}"


def _vote_lines(vote: dict[str, Any] | None) -> list[str]:
    if vote is None:
        return ["votes         no: it is none of the listed voters"]
    voter_set = f"list          {vote['epoch']}: {' '.join(vote['list'])}"
    if vote["wishes"]:
        proposed = " ".join(vote["wishes"])
        voter_set += (
            f"; its configuration has {proposed}, to which no majority has reported its agreement yet"
        )
    lines = [f"votes         {'yes' if vote['votes'] else 'no: ' + vote['why']}", voter_set]
    for each in vote["promises"]:
        remaining = f"{each['left_s']:.1f}s"
        holder = each["holder"] or "-"
        lines.append(f"  promised {each['claim']:18} {each['ticket']:>7} {remaining:>7} {holder}")
    return lines
