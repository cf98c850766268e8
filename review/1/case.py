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
    """Return the set-ups that had been taken and whose connection then ended without an answer.

    One that had reached a roster server before the end had been taken for certain. Of the others, those that
    crossed the end (50 ms) and first requests of their connections are excused, as the pages have it.
    """
    received_at: dict[str, list[float]] = {}
    for server in servers:
        for started in server.history:
            received_at.setdefault(started.tag, []).append(started.received_at)
    broken = []
    for call in callers.calls.values():
        for send in call.sends:
            if not send.ended_at:
                continue
            age_s = send.ended_at - send.at
            is_crossing = age_s <= standins.CROSSING_S + standins.HARNESS_TICK_S
            if any(send.at <= at < send.ended_at for at in received_at.get(call.call_id, [])):
                broken.append(f"lost: {call.call_id} was sent on to a server, then its connection was closed")
            elif not is_crossing and not send.is_first:
                broken.append(f"lost: {call.call_id}, sent {age_s:.3f} s before its connection was closed")
    return broken


if __name__ == "__main__":
    sys.exit(standins.main(scenario, Path(__file__).with_name("record.txt")))
