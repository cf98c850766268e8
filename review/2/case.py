"""A zone is lost for 5 s and returns cold: the callers of its calls are to be told of their end."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import standins

RATE = 10.0
TROUBLE_AT_S = 12.0
LOST_FOR_S = 5.0
NEWS_LATE_S = 4.0  # from the server's return until the coordinator holds it
SERVERS = 4


def draw(rng: random.Random) -> tuple[str, float, int]:
    """Draw class, patience and first choice of a call."""
    call_class = "read-roster" if rng.random() < 0.78 else "save-roster"
    return call_class, 9.0 * rng.uniform(0.3, 0.4), rng.randrange(SERVERS)


async def scenario(record: standins.Record, folder: Path) -> list[str]:
    """Play the case and return the broken rules."""
    coordinator = standins.Coordinator(record)
    await coordinator.open()
    servers = [standins.RosterServer(f"s-{i}", i, record, (7.0, 11.0)) for i in range(SERVERS)]
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
        await callers.connect(4)
        begin = time.time()
        placing = asyncio.create_task(callers.place_calls(RATE, begin + 26.0, draw))
        if standins.trouble():
            await asyncio.sleep(TROUBLE_AT_S)
            servers[3].vanish()
            await asyncio.sleep(LOST_FOR_S)
            servers[3].come_back()
            await asyncio.sleep(NEWS_LATE_S)
            coordinator.publish([servers[3].line()])
        await placing
        await asyncio.sleep(14.0)
        for line in softswitch.log().splitlines():
            record.note("n0 log", line)
    finally:
        softswitch.end()
    return check(record, servers, callers)


def check(
    record: standins.Record, servers: list[standins.RosterServer], callers: standins.Callers
) -> list[str]:
    """Return the calls that stood and ended, and whose callers were told too late.

    The limit is 1 s from the server's release, or 8 s from the end of a call whose release could not be sent.
    """
    slack_s = 0.05 + record.longest_stall_s
    broken = []
    for server in servers:
        for call in server.history:
            placed = callers.calls.get(call.tag)
            served = placed is not None and any(status == 200 for _, status, _ in placed.answers)
            if placed is None or not served or call.end not in ("ended", "vanished"):
                continue
            limit = call.release_sent_at + 1.0 if call.release_sent_at else call.ended_at + 8.0
            told_at = placed.released_at or time.time()
            if told_at > limit + slack_s:
                told = f"told {told_at - call.ended_at:.2f} s later" if placed.released_at else "never told"
                broken.append(f"lost: {call.tag} at {server.name} {call.end}, its caller was {told}")
    return broken


if __name__ == "__main__":
    sys.exit(standins.main(scenario, Path(__file__).with_name("record.txt")))
