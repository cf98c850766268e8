"""Case 6: the late refusal of an attempt that was given up ends the next attempt at the same server."""

from __future__ import annotations

import secrets
import threading
import time
from pathlib import Path

from standins_2 import (
    RECORD,
    TROUBLE,
    Caller,
    Coordinator,
    LineServer,
    attempts_at_once,
    main,
    running,
    wait_for,
)

TURNS_AWAY_S = 2.4  # BRIEF: set-ups are turned away once the wait passes 2,400 to 3,700 ms
LONGEST_WAIT_S = 2.5
GROWTH = 2.1  # 0.8 (its share of load, BRIEF: 72 to 87%) x 3.9 (slower, BRIEF: 2.1 to 3.9 times) - 1
FIRST_CALL_AFTER_S, SECOND_CALL_AFTER_S = 0.4, 2.7  # since the server has become slow
REPORT_S = 1.0  # told_ms of the site; calls of other softswitches alter the free lines
ANSWER_S = 5.0


def report_lines(server: LineServer) -> None:
    """Report the server's free lines again and again, one more or less each time."""
    while True:
        time.sleep(REPORT_S)
        server.lines = 40 + (server.lines + 1) % 2
        server.report_lines()


def case() -> str:
    """Play the case; return how the rule was broken, or an empty text."""
    servers = [LineServer(f"s-{cell}", cell) for cell in range(3)]
    slow = servers[0]
    coordinator = Coordinator(*(each.entry() for each in servers))
    with running(coordinator) as softswitch:
        for server in servers:
            threading.Thread(target=report_lines, args=(server,), daemon=True).start()
        caller = Caller(softswitch.port)
        first = caller.set_up(dest=0)
        wait_for(lambda: caller.status(first), ANSWER_S, "the first call stands")
        slow_since = RECORD.now()
        if TROUBLE:
            RECORD.note(slow.name, "is 3.9 times slower from now on")
            slow.growth, slow.longest_wait_s, slow.turns_away_s = GROWTH, LONGEST_WAIT_S, TURNS_AWAY_S
            slow.slow_since = slow_since
        time.sleep(FIRST_CALL_AFTER_S)
        impatient = caller.set_up(within_ms=700, dest=0)
        wait_for(lambda: caller.status(impatient), ANSWER_S, "the impatient caller has an answer")
        time.sleep(max(0.0, slow_since + SECOND_CALL_AFTER_S - RECORD.now()))
        call_id = secrets.token_hex(8)
        caller.set_up(within_ms=3500, dest=0, call_id=call_id)
        wait_for(lambda: caller.status(call_id), ANSWER_S, "the call has an answer")
        time.sleep(2.0)
        softswitch.note_log(call_id)
    return "; ".join(attempts_at_once(servers, call_id))


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
