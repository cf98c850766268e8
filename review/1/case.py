"""A planned restart: the new process is told of the calls that ended lately, and is to answer set-ups."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import standins

RATE = 45.0
SERVERS = 3
RESTART_AT_S = 38.0
AFTER_S = 10.0


def draw(rng: random.Random) -> tuple[str, float, int]:
    """Draw class, patience and first choice of a call."""
    call_class = "read-roster" if rng.random() < 0.78 else "save-roster"
    return call_class, 9.0 * rng.uniform(0.3, 0.4), rng.randrange(SERVERS)


async def scenario(record: standins.Record, folder: Path) -> list[str]:
    """Play the case and return the broken rules."""
    coordinator = standins.Coordinator(record)
    await coordinator.open()
    servers = [standins.RosterServer(f"s-{i}", i, record, (6.2, 9.7)) for i in range(SERVERS)]
    coordinator.publish([each.line() for each in servers])
    config = {
        "coordinator": f"{standins.HOST}:{coordinator.port}",
        "known": coordinator.known(),
        "settings": standins.settings(standins.ROSTER_CLASSES, SERVERS, 1, 0),
    }
    softswitch = standins.Softswitch("n0", record, config, folder)
    softswitch.start()
    try:
        await softswitch.ready()
        callers = standins.Callers("callers", record, softswitch.address)
        await callers.connect(standins.KEPT_CONNECTIONS)
        until = time.time() + RESTART_AT_S + AFTER_S
        placing = asyncio.create_task(callers.place_calls(RATE, until, draw))
        await asyncio.sleep(RESTART_AT_S)
        if standins.trouble():
            await softswitch.restart(callers, coordinator.known())
        await placing
        await asyncio.sleep(4.0)
        softswitch.signal(standins.signal.SIGUSR1)  # logs the counters
        await asyncio.sleep(0.3)
        for line in softswitch.log().splitlines():
            record.note("n0 log", line)
    finally:
        softswitch.end()
    return check(servers, callers)


def check(servers: list[standins.RosterServer], callers: standins.Callers) -> list[str]:
    """Return the set-ups whose connection ended without an answer, though they had not crossed its end.

    A set-up that had reached a roster server before the end had been taken, and so had one that was sent over
    50 ms before. One that crossed the end is lost if it gets no answer on the new connection either.
    """
    forwarded_at = {call.tag: call.received_at for server in reversed(servers) for call in server.history}
    broken = []
    for call in callers.calls.values():
        if not call.connection_ended_at:
            continue
        age_s = call.connection_ended_at - call.sent_at
        if forwarded_at.get(call.call_id, time.time()) < call.connection_ended_at:
            broken.append(f"lost: {call.call_id} was sent on to a server, then its connection was closed")
        elif age_s > standins.CROSSING_S + standins.HARNESS_TICK_S:
            broken.append(f"lost: {call.call_id}, sent {age_s:.3f} s before its connection was closed")
        elif not call.answers:
            broken.append(f"lost: {call.call_id} got no answer, sent again on a new connection too")
    return broken


if __name__ == "__main__":
    sys.exit(standins.main(scenario, Path(__file__).with_name("record.txt")))
