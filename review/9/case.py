"""Case 9: a new configuration is rejected for an optional key, so a drain is never learnt."""

from __future__ import annotations

import copy
import os
import threading
import time
from pathlib import Path

from standins_2 import (
    RECORD,
    SETTINGS,
    TROUBLE,
    Caller,
    Coordinator,
    Message,
    RosterServer,
    main,
    running,
    wait_for,
)

ANSWER_S = 5.0
OLD_CLOSES_S = 1.5  # LATER: the old coordinator closes its connections after 1.5 s
DRAIN_AFTER_S = 0.5  # after SIGHUP; the drain ends 6 s later at the latest
TOLD_AFTER_S = 4.05  # LATER: what the coordinator has to tell counts as told 4 s after SIGHUP; and 50 ms
GRACE_S = 1.05  # safety.drain_grace_s, and 50 ms
HAS_KEY = os.environ.get("WITH_KEY", "0") == "1"  # a look: the new class has the optional key as well


def settings() -> Message:
    """Return settings whose classes have `aim_stretch`, which may be absent (WIRE)."""
    value = copy.deepcopy(SETTINGS)
    for each in value["classes"]:
        each["aim_stretch"] = 0.5
    return value


def settings_with_new_class() -> Message:
    """Return the settings with one more class, whose aim does not stretch."""
    value = settings()
    new = {**value["classes"][0], "name": "plan-roster"}
    if not HAS_KEY:
        del new["aim_stretch"]
    value["classes"].append(new)
    for name in ("allowed_pools", "call_length_s", "class_width"):
        value["family_info"][name].append(value["family_info"][name][0])
    return value


def case() -> str:
    """Play the case; return how the rule was broken, or an empty text."""
    servers = [RosterServer(f"s-{cell}", cell) for cell in range(2)]
    draining = servers[0]
    entries = [each.entry() for each in servers]
    coordinator = first = Coordinator(*entries)
    with running(first, settings()) as softswitch:
        caller = Caller(softswitch.port)
        before = caller.set_up(dest=0)
        wait_for(lambda: caller.status(before), ANSWER_S, "the first call stands")
        time.sleep(1.0)
        hung_up_at = RECORD.now()
        if TROUBLE:
            coordinator = Coordinator(*entries, name="coordinator-2")
            softswitch.config["settings"] = settings_with_new_class()
            softswitch.config["coordinator"] = coordinator.address
            softswitch.write_config()
            first.accept_no_more()
            softswitch.hang_up()
            threading.Timer(OLD_CLOSES_S, first.go_down).start()
        time.sleep(DRAIN_AFTER_S)
        coordinator.tell(draining.entry("terminating"))
        time.sleep(hung_up_at + TOLD_AFTER_S + GRACE_S + 0.1 - RECORD.now())
        calls = [caller.set_up(dest=0) for _ in range(3)]
        wait_for(lambda: all(map(caller.status, calls)), ANSWER_S, "the calls have answers")
        softswitch.note_log("reload", "service_discovery")
    late = [at for at, _ in draining.setups if at > hung_up_at + TOLD_AFTER_S + GRACE_S]
    if not late:
        return ""
    after_s = late[0] - hung_up_at
    return f"{len(late)} set-ups to {draining.name}, which drains, {after_s:.2f} s after SIGHUP"


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
