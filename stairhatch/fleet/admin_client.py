"""The operators' questions to a softswitch about its fleet: owns the one line each way at the door and the
tables that people read. It must never decide anything.
"""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable
from typing import Any

ANSWER_TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 1024 * 1024
RETRY_INTERVAL_S = 0.3


class AdminClientError(Exception):
    """The door can't be asked, or said no; in one line."""


def execute(door: tuple[str, int], order: str) -> str:
    """One order; what stands behind `ok`. DoorError: what stands behind `fail`, or why nobody answered."""
    data = b""
    try:
        with socket.create_connection(door, ANSWER_TIMEOUT_S) as sock:
            sock.sendall(order.encode() + b"\n")
            while len(data) < MAX_ANSWER_BYTES and (piece := sock.recv(65536)):
                data += piece
    except OSError as error:
        raise AdminClientError(f"nobody answers at the door {door[0]}:{door[1]}: {error}") from None
    verdict, _, rest = data.decode("utf-8", "replace").strip().partition(" ")
    if verdict != "ok":
        raise AdminClientError(rest or "no answer")
    return rest


def execute_until_ready(door: tuple[str, int], order: str, seconds: float) -> str:
    """The same until it says ok, for so many seconds at the most."""
    end = time.monotonic() + seconds
    while True:
        try:
            return execute(door, order)
        except AdminClientError as error:
            if time.monotonic() + RETRY_INTERVAL_S > end or not str(error).startswith("not yet"):
                raise
        time.sleep(RETRY_INTERVAL_S)


def lease_report(door: tuple[str, int]) -> dict[str, Any]:
    """What a softswitch says of its claims and its vote."""
    try:
        found = json.loads(execute(door, "claims"))
    except ValueError:
        raise AdminClientError("an answer that can't be read") from None
    assert isinstance(found, dict)
    return found


def observe_lease(door: tuple[str, int], claim: str, seconds: float, show: Callable[[str], None]) -> None:
    """Who holds a claim, a line at each change, for so long. DoorError as with `ask`."""
    end, last = time.monotonic() + seconds, None
    while time.monotonic() < end:
        seen = json.loads(execute(door, f"watch {claim}"))
        now = seen["holder"], seen["ticket"], seen["voters"]
        if seen["voters"] and now != last:
            last = now
            left = f"{seen['holder']}, {seen['left_s']:.1f} s left" if seen["holder"] else "nobody"
            show(f"{claim}: held by {left}, ticket {seen['ticket']}, by {seen['voters']} voters")
        time.sleep(RETRY_INTERVAL_S)


def format_report(told: dict[str, Any]) -> str:
    """The same for people."""
    out = f"fleet {told['fleet']}, softswitch {told['name']}, voters {' '.join(told['voters'])}\n"
    if "number" in told:
        number = told["number"]
        shown = number if number >= 0 else "none: no turn in what is left over at a cold server"
        out += f"number        {shown}\n"
    out += f"{'claim':20} {'stage':8} {'ticket':>7} {'left':>7} holder\n"
    for each in told["claims"]:
        left = f"{each['left_s']:.1f}s" if each["stage"] == "held" else "-"
        ticket, holder = each["ticket"] or "-", each["holder"] or "-"
        why = f"  ({each['why']})" if each["why"] else ""
        out += f"{each['claim']:20} {each['stage']:8} {ticket:>7} {left:>7} {holder}{why}\n"
    vote = told["vote"]
    if vote is None:
        return out + "votes         no: it is none of the listed voters\n"
    out += f"votes         {'yes' if vote['votes'] else 'no: ' + vote['why']}\n"
    out += f"list          {vote['epoch']}: {' '.join(vote['list'])}"
    if vote["wishes"]:
        out += f"; its file has {' '.join(vote['wishes'])}: not yet agreed to by a majority, or not heard of"
    out += "\n"
    for each in vote["promises"]:
        left, holder = f"{each['left_s']:.1f}s", each["holder"] or "-"
        out += f"  promised {each['claim']:18} {each['ticket']:>7} {left:>7} {holder}\n"
    return out
