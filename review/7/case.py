"""Case 7: the end of a call is never told if the connection of its set-up has fallen silent before."""

from __future__ import annotations

import threading
import time
from pathlib import Path

from standins_2 import (
    RECORD,
    TROUBLE,
    Caller,
    Coordinator,
    CouldNotRunError,
    Proxy,
    RosterServer,
    main,
    running,
    wait_for,
)

ANSWER_S = 5.0
REPORT_S = 1.0  # told_ms of the site
BEFORE_S, CALL_S = 1.0, 9.0  # the way falls silent 1 s after the call stands; BRIEF: 7.8 to 9.7 s on average
RELEASE_LIMIT_S = 8.05  # PROTOCOL: 8 s from the call's end, and 50 ms


def report_lines(servers: list[RosterServer]) -> None:
    """Report the free lines of all servers again and again, one more or less each time."""
    while True:
        time.sleep(REPORT_S)
        for server in servers:
            server.lines = 40 + (server.lines + 1) % 2
            server.report_lines()


def case() -> str:
    """Play the case; return how the rule was broken, or an empty text."""
    servers = [RosterServer(f"s-{cell}", cell) for cell in range(3)]
    server = servers[0]
    way = Proxy(server)
    coordinator = Coordinator(*(each.entry() for each in servers))
    threading.Thread(target=report_lines, args=(servers,), daemon=True).start()
    with running(coordinator) as softswitch:
        caller = Caller(softswitch.port)
        call_id = caller.set_up(dest=0)
        wait_for(lambda: caller.status(call_id) == 200, ANSWER_S, "the call stands")
        time.sleep(BEFORE_S)
        if TROUBLE:
            way.fall_silent()
        time.sleep(CALL_S - BEFORE_S)
        ended_at = RECORD.now()
        server.end_call(call_id)
        time.sleep(RELEASE_LIMIT_S + 1.0)
        later = caller.set_up(dest=0)  # the server is reached all the time
        wait_for(lambda: caller.status(later), ANSWER_S, "another call has an answer")
        if caller.closed_at is not None:
            raise CouldNotRunError("the caller's connection has ended: no release could be sent on it")
        softswitch.note_log("server_", "call_lost")
    told = caller.releases.get(call_id, [float("inf")])[0] - ended_at
    if told <= RELEASE_LIMIT_S:
        return ""
    return f"the caller of {call_id} was not told within {RELEASE_LIMIT_S} s that it is over"


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
