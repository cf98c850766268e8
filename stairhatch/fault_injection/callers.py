"""Callers of a run: SIP calls to each softswitch, and the observations of both ends of each call.

The call rules (`stairhatch.load_test.call_rules`) are checked over these observations. Calls are placed at a
constant average rate, regardless of whether the softswitch responds.
"""

from __future__ import annotations

import asyncio
import random
import time

from stairhatch.emulators.caller_emulator import CallerEmulator, CallResult, PlacedCall
from stairhatch.emulators.observations import ObservationKind
from stairhatch.emulators.server_emulator import ServerEmulator, ServerObserver
from stairhatch.fault_injection.member_process import MemberProcess
from stairhatch.load_test.call_rules import (
    CallObservation,
    CallRule,
    CallRuleChecker,
    CallRuleViolation,
)

CALL_DURATION_S = 0.5
ANSWER_LIMIT_S = 3.0
OUTAGE_MARGIN_S = 4.0  # a call placed this long before or after an outage counts as interrupted by it
# Also checked for interrupted calls.
RULES_DESPITE_OUTAGE = (
    CallRule.ONE_ATTEMPT,
    CallRule.PAUSE,
    CallRule.ATTEMPTS,
    CallRule.DRAIN,
)
STATUS_OK = 200  # RFC 3261 section 21.2.1


class Callers:
    """Call generator for all softswitches of a run, with one emulated caller for each."""

    def __init__(
        self, seed: int, members: list[MemberProcess], servers: list[ServerEmulator], calls_per_s: float
    ) -> None:
        """Begin to observe the servers. Calls are placed from `open` on.

        `calls_per_s` is the average rate of calls to each softswitch.
        """
        self.seed = seed
        self.members = members
        self.calls_per_s = calls_per_s  # average rate to each softswitch
        self.rng = random.Random(f"callers {seed}")
        self.observations: list[CallObservation] = []
        self.member_by_number: dict[str, MemberProcess] = {}  # softswitch by called number
        self.end_counts = dict.fromkeys(CallResult, 0)
        self.answer_times_s: list[float] = []  # from the INVITE to the final response
        self.tasks: list[asyncio.Task[None]] = []
        for index, server in enumerate(servers):
            server.observer = self._server_observer(f"r{index}")

    def _server_observer(self, server: str) -> ServerObserver:
        def observe(kind: ObservationKind, number: str) -> None:
            self.observations.append(CallObservation(time.monotonic(), kind, number, server))

        return observe

    def _observe_caller(self, kind: ObservationKind, call: PlacedCall, status: int, text: str) -> None:
        self.observations.append(
            CallObservation(time.monotonic(), kind, call.number, status=status, told_apart_by=text)
        )

    async def open(self) -> None:
        """Open the callers and begin to place calls."""
        for index, member in enumerate(self.members):
            caller = await CallerEmulator.over_udp(
                member.sip, f"c{self.seed}x{index}", self.seed * 100 + index
            )
            caller.observer = self._observe_caller
            self.tasks.append(asyncio.create_task(self._place_calls(index, member, caller)))

    async def _place_calls(self, index: int, member: MemberProcess, caller: CallerEmulator) -> None:
        call_count = 0
        try:
            while True:
                await asyncio.sleep(self.rng.expovariate(self.calls_per_s))
                call_count += 1
                number = f"1{index}{call_count:06d}"
                self.member_by_number[number] = member
                caller.place(number, CALL_DURATION_S, asyncio.get_running_loop().time(), self._on_ended)
        finally:
            caller.close()

    def _on_ended(self, _call: PlacedCall, end: CallResult, took_s: float, _status: int) -> None:
        self.end_counts[end] += 1
        self.answer_times_s.append(took_s)

    def close(self) -> None:
        """Stop placing calls and close the callers."""
        for task in self.tasks:
            task.cancel()

    def count_established_since(self, at_s: float) -> int:
        """Count the calls with a final response of 200 after a monotonic time."""
        return sum(
            each.kind is ObservationKind.FINAL_RESPONSE and each.status == STATUS_OK and each.at > at_s
            for each in self.observations
        )

    def find_violations(self, slack_s: float) -> list[CallRuleViolation]:
        """Check the call rules over the observations of both ends, and return the violations.

        A call that a kill or stop of its softswitch interrupted may remain without a final response or a
        release, but the rules on attempts and drain still apply to it. For example, it must not be set up
        twice. `slack_s` is the tolerance of the rules' times.
        """
        violations = CallRuleChecker(time.monotonic(), slack_s, ANSWER_LIMIT_S).check(self.observations)
        placed_at = {
            each.call: each.at for each in self.observations if each.kind is ObservationKind.CALL_PLACED
        }
        return [
            each
            for each in violations
            if each.rule in RULES_DESPITE_OUTAGE or not self._was_interrupted(each, placed_at)
        ]

    def _was_interrupted(self, violation: CallRuleViolation, placed_at: dict[str, float]) -> bool:
        member = self.member_by_number.get(violation.call)
        at_s = placed_at.get(violation.call, violation.at)
        return member is None or any(
            since - OUTAGE_MARGIN_S < at_s < until + OUTAGE_MARGIN_S for since, until in member.outages
        )
