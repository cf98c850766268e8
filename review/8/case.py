"""Case 8: a give-up that is written again cuts the call that the next attempt has set up; nobody is told."""

from __future__ import annotations

import time
from pathlib import Path

from standins_2 import (
    RECORD,
    TROUBLE,
    Caller,
    Coordinator,
    CouldNotRunError,
    LineServer,
    main,
    running,
    wait_for,
)

HANG_S = 5.4  # BRIEF: a hang lasts 5.3 to 25 s
BEFORE_S = 1.9  # nobody calls the server in the first part of the hang
BETWEEN_S = 0.15  # from the answer to the first call until the second
ANSWER_S = 5.0
RELEASE_LIMIT_S = 8.05  # PROTOCOL: 8 s from the call's end, and 50 ms


def case() -> str:
    """Play the case; return how the rule was broken, or an empty text."""
    servers = [LineServer(f"s-{cell}", cell) for cell in range(8)]  # one of 8 hangs: BRIEF has up to 14%
    hung = servers[0]
    coordinator = Coordinator(*(each.entry() for each in servers))
    with running(coordinator) as softswitch:
        caller = Caller(softswitch.port)
        began = time.monotonic()
        if TROUBLE:
            RECORD.note(hung.name, "its processor hangs")
            hung.works.clear()
        time.sleep(BEFORE_S)
        impatient = caller.set_up(within_ms=700, dest=0)
        wait_for(lambda: caller.status(impatient), ANSWER_S, "the impatient caller has an answer")
        time.sleep(BETWEEN_S)
        call_id = caller.set_up(within_ms=3500, dest=0)
        time.sleep(max(0.0, began + HANG_S - time.monotonic()))
        RECORD.note(hung.name, "its processor works")
        hung.works.set()
        wait_for(lambda: caller.status(call_id), ANSWER_S, "the call has an answer")
        time.sleep(RELEASE_LIMIT_S + 1.0)
        if caller.closed_at is not None:
            raise CouldNotRunError("the caller's connection has ended: no release could be sent on it")
        softswitch.note_log(call_id)
    stands_at = [each.name for each in servers if call_id in each.calls]
    if caller.status(call_id) != 200 or stands_at or caller.releases.get(call_id):
        return ""
    return f"the caller of {call_id} was told that it stands; no server holds it, and no release came in 8 s"


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
