"""Callers of a lab: owns a few calls a second to each softswitch and what both ends saw of each call. It must
never choose a softswitch by how it fares.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from stairhatch.fault_injection.member import Member
from stairhatch.load.rules import Broken, Checker, Seen, What
from stairhatch.standin.caller import Caller, End, Placed
from stairhatch.standin.roster import StandIn

HOLD_S = 0.5
LIMIT_S = 3.0
AWAY_S = 4.0  # a call that began so long before its softswitch was away may have been under way
RULES = ("one attempt", "pause", "attempts", "drain")  # that hold for calls cut by a kill too


class Callers:
    """The callers of all softswitches."""

    def __init__(self, seed: int, members: list[Member], servers: list[StandIn], rate: float) -> None:
        self.seed, self.members, self.rate = seed, members, rate
        self.chance = random.Random(f"callers {seed}")
        self.seen: list[Seen] = []
        self.owner: dict[str, Member] = {}  # the number called -> its softswitch
        self.ends = {end: 0 for end in End}
        self.took: list[float] = []  # seconds to each final answer
        self.tasks: list[asyncio.Task[None]] = []
        for index, server in enumerate(servers):
            server.seen = self._server(f"r{index}")

    def _server(self, name: str) -> Callable[[str, str], None]:
        def seen(what: str, number: str) -> None:
            self.seen.append(Seen(time.monotonic(), What(what), number, name))

        return seen

    def _caller(self, what: str, call: Placed, status: int, text: str) -> None:
        self.seen.append(Seen(time.monotonic(), What(what), call.number, value=status, text=text))

    async def open(self) -> None:
        """Begin to call."""
        for index, member in enumerate(self.members):
            caller = await Caller.over_udp(member.sip, f"c{self.seed}x{index}", self.seed * 100 + index)
            caller.seen = self._caller
            self.tasks.append(asyncio.create_task(self._call(index, member, caller)))

    async def _call(self, index: int, member: Member, caller: Caller) -> None:
        serial = 0
        try:
            while True:
                await asyncio.sleep(self.chance.expovariate(self.rate))
                serial += 1
                number = f"1{index}{serial:06d}"
                self.owner[number] = member
                caller.place(number, HOLD_S, asyncio.get_running_loop().time(), self._ended)
        finally:
            caller.close()

    def _ended(self, call: Placed, end: End, took_s: float, status: int) -> None:
        self.ends[end] += 1
        self.took.append(took_s)

    def close(self) -> None:
        """No more calls."""
        for task in self.tasks:
            task.cancel()

    def stood_since(self, at: float) -> int:
        """Calls that were answered 200 after that time."""
        return sum(seen.what is What.FINAL and seen.value == 200 and seen.at > at for seen in self.seen)

    def broken(self, slack_s: float) -> list[Broken]:
        """The rules of calls, read off both ends. A call whose softswitch was killed or stopped under it is
        owed no answer and no release, but no second set-up either.
        """
        now = time.monotonic()
        found = Checker(now, slack_s, LIMIT_S).check(self.seen)
        begun = {seen.call: seen.at for seen in self.seen if seen.what is What.ASKED}
        return [each for each in found if each.rule in RULES or not self._cut(each, begun)]

    def _cut(self, broken: Broken, begun: dict[str, float]) -> bool:
        member, at = self.owner.get(broken.call), begun.get(broken.call, broken.at)
        return member is None or any(since - AWAY_S < at < until + AWAY_S for since, until in member.away)
