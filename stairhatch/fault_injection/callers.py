"""Callers of a lab: owns a few calls a second to each softswitch and what both ends saw of each call. It must
never choose a softswitch by how it fares.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from stairhatch.fault_injection.member_process import MemberProcess
from stairhatch.load.rules import Broken, Checker, Seen, What
from stairhatch.standin.caller import Caller, End, Placed
from stairhatch.standin.roster import StandIn

CALL_DURATION_S = 0.5
ANSWER_LIMIT_S = 3.0
OUTAGE_MARGIN_S = 4.0  # a call that began so long before its softswitch was away may have been under way
RULES_DESPITE_OUTAGE = ("one attempt", "pause", "attempts", "drain")  # that hold for calls cut by a kill too


class Callers:
    """The callers of all softswitches."""

    def __init__(self, seed: int, members: list[MemberProcess], servers: list[StandIn], rate: float) -> None:
        self.seed, self.members, self.calls_per_s = seed, members, rate
        self.rng = random.Random(f"callers {seed}")
        self.observations: list[Seen] = []
        self.member_by_number: dict[str, MemberProcess] = {}  # the number called -> its softswitch
        self.end_counts = {end: 0 for end in End}
        self.answer_times_s: list[float] = []  # seconds to each final answer
        self.tasks: list[asyncio.Task[None]] = []
        for index, server in enumerate(servers):
            server.seen = self._server_observer(f"r{index}")

    def _server_observer(self, name: str) -> Callable[[str, str], None]:
        def seen(what: str, number: str) -> None:
            self.observations.append(Seen(time.monotonic(), What(what), number, name))

        return seen

    def _observe_caller(self, what: str, call: Placed, status: int, text: str) -> None:
        self.observations.append(Seen(time.monotonic(), What(what), call.number, value=status, text=text))

    async def open(self) -> None:
        """Begin to call."""
        for index, member in enumerate(self.members):
            caller = await Caller.over_udp(member.sip, f"c{self.seed}x{index}", self.seed * 100 + index)
            caller.seen = self._observe_caller
            self.tasks.append(asyncio.create_task(self._place_calls(index, member, caller)))

    async def _place_calls(self, index: int, member: MemberProcess, caller: Caller) -> None:
        serial = 0
        try:
            while True:
                await asyncio.sleep(self.rng.expovariate(self.calls_per_s))
                serial += 1
                number = f"1{index}{serial:06d}"
                self.member_by_number[number] = member
                caller.place(number, CALL_DURATION_S, asyncio.get_running_loop().time(), self._ended)
        finally:
            caller.close()

    def _ended(self, call: Placed, end: End, took_s: float, status: int) -> None:
        self.end_counts[end] += 1
        self.answer_times_s.append(took_s)

    def close(self) -> None:
        """No more calls."""
        for task in self.tasks:
            task.cancel()

    def count_established_since(self, at: float) -> int:
        """Calls that were answered 200 after that time."""
        return sum(
            seen.what is What.FINAL and seen.value == 200 and seen.at > at for seen in self.observations
        )

    def find_violations(self, slack_s: float) -> list[Broken]:
        """The rules of calls, read off both ends. A call whose softswitch was killed or stopped under it is
        owed no answer and no release, but no second set-up either.
        """
        now = time.monotonic()
        found = Checker(now, slack_s, ANSWER_LIMIT_S).check(self.observations)
        begun = {seen.call: seen.at for seen in self.observations if seen.what is What.ASKED}
        return [
            each
            for each in found
            if each.rule in RULES_DESPITE_OUTAGE or not self._was_interrupted(each, begun)
        ]

    def _was_interrupted(self, broken: Broken, begun: dict[str, float]) -> bool:
        member, at = self.member_by_number.get(broken.call), begun.get(broken.call, broken.at)
        return member is None or any(
            since - OUTAGE_MARGIN_S < at < until + OUTAGE_MARGIN_S for since, until in member.outages
        )
