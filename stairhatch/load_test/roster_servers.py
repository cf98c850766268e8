"""The stand-in roster servers of a load, in a process of their own: owns what happens to which of them when,
and the record of what they were sent and said.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct

from stairhatch.emulators.processor import Processor, ProcessorProfile, ProcessorState
from stairhatch.emulators.server_emulator import ServerEmulator
from stairhatch.load_test.event_loop_stall import EventLoopStall

LINES = 100_000


class Trouble(Struct, forbid_unknown_fields=True, frozen=True):
    """Something that happens to a server."""

    at: Annotated[float, Meta(ge=0, le=86_400)]
    server: Annotated[int, Meta(ge=0, le=255)]
    what: Literal["slow", "hang", "recover", "cold", "drain", "down", "up"]
    times: Annotated[float, Meta(gt=0, le=1000)] = 3.0  # slower


class RosterPlan(Struct, forbid_unknown_fields=True, frozen=True):
    """The servers of a load."""

    count: Annotated[int, Meta(ge=1, le=64)] = 2
    set_up_ms: Annotated[float, Meta(gt=0, le=60_000)] = 1.0  # work of a set-up
    longest_wait_s: Annotated[float, Meta(gt=0, le=60)] = 3.0
    trouble: tuple[Trouble, ...] = ()


class Rosters:
    """The servers at work."""

    def __init__(self, plan: RosterPlan, seed: int) -> None:
        self.plan = plan
        self.record: list[tuple[float, str, str, str]] = []  # time, what, number called, server
        self.stall = EventLoopStall()
        nature = ProcessorProfile(setup_s=plan.set_up_ms / 1000, max_queue_delay_s=plan.longest_wait_s)
        self.servers = [
            ServerEmulator(lines=LINES, processor=Processor(nature, random.Random(seed * 31 + index)))
            for index in range(plan.count)
        ]
        for index, server in enumerate(self.servers):
            server.observer = self._seen(f"r{index}")

    def _seen(self, name: str) -> Any:
        def seen(what: str, number: str) -> None:
            self.record.append((time.monotonic(), what, number, name))

        return seen

    async def open(self) -> list[int]:
        """Their ports."""
        return [(await server.listen()).address[1] for server in self.servers]

    async def run(self, begin: float) -> None:
        """Carry out the troubles, and watch how late this process notes what comes."""
        self.watching = asyncio.create_task(self.stall.watch())
        for trouble in sorted(self.plan.trouble, key=lambda each: each.at):
            await asyncio.sleep(max(0.0, begin + trouble.at - time.monotonic()))
            if trouble.server < len(self.servers):
                await self._strike(trouble, self.servers[trouble.server])

    async def _strike(self, trouble: Trouble, server: ServerEmulator) -> None:
        processor = server.processor
        assert processor is not None
        now = asyncio.get_running_loop().time()
        match trouble.what:
            case "slow":
                processor.slowdown = trouble.times
            case "hang":
                processor.hang()
            case "recover":
                processor.slowdown = 1.0
                processor.recover(now)
            case "cold":
                server.abort_connections()
                processor.start_cold(now)
            case "drain":
                processor.state = ProcessorState.DRAINING
            case "down":
                await server.close()
                processor.state = ProcessorState.GONE
            case "up":
                processor.start_cold(now)
                await server.listen(*server.address)

    def told(self) -> dict[str, Any]:
        """What the process writes out at its end."""
        processors = [each.processor for each in self.servers if each.processor is not None]
        return {
            "record": self.record,
            "stalled_s": self.stall.longest_s,
            "servers": [
                {
                    "state": each.state.value,
                    "turned_away": each.rejected_count,
                    "wasted_s": each.wasted_work_s,
                }
                for each in processors
            ],
        }
