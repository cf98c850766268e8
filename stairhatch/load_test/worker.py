"""One process of a load: reads what it is to do as a line of JSON, says when it is ready, begins when it is
told the time, and writes what came of it as its last line. It ends with its input, so that none outlives its
parent.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

import msgspec
import uvloop

from stairhatch.load_test.caller_population import Desk
from stairhatch.load_test.datagram_conditions import DatagramConditions
from stairhatch.load_test.datagram_relay import Relay
from stairhatch.load_test.load_plan import LoadPlan, Transport
from stairhatch.load_test.roster_servers import RosterPlan, Rosters


def _say(value: Any) -> None:
    sys.stdout.write(json.dumps(value) + "\n")
    sys.stdout.flush()


async def _lines() -> asyncio.StreamReader:
    reader = asyncio.StreamReader(limit=16 * 1024 * 1024)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def work() -> None:
    """Be what the first line asks for."""
    lines = await _lines()
    told = json.loads(await lines.readline())
    match told["role"]:
        case "offices":
            plan = msgspec.convert(told["plan"], LoadPlan)
            places = {Transport(name): (host, port) for name, (host, port) in told["places"].items()}
            desk = Desk(plan, told["seed"], places, told["worker"], told["workers"])
            await desk.open()
            _say({"ready": True})
            if begin := await lines.readline():
                await desk.run(json.loads(begin))
                _say(desk.told())
        case "rosters":
            rosters = Rosters(msgspec.convert(told["plan"], RosterPlan), told["seed"])
            _say({"ports": await rosters.open()})
            if begin := await lines.readline():
                running = asyncio.create_task(rosters.run(json.loads(begin)))
                await lines.readline()  # until it is told to end, or its parent has gone
                running.cancel()
                _say(rosters.told())
        case "relay":
            weather = msgspec.convert(told["weather"], DatagramConditions)
            relay = await Relay(tuple(told["target"]), weather, told["seed"]).open()
            _say({"port": relay.place[1]})
            await lines.read()


if __name__ == "__main__":
    uvloop.run(work())
