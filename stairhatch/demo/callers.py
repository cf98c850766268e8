"""The callers of the demonstration, and the printed lines about the results of their calls."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable

from stairhatch.demo.config import DemoOptions
from stairhatch.emulators.caller_emulator import CallerEmulator, CallResult, PlacedCall
from stairhatch.node.address import parse_address
from stairhatch.node.call_manager import CallManager

# Called numbers, repeated by frequency; the replies are in `stairhatch.emulators.scripted_replies`.
NUMBERS = ("1000",) * 8 + ("1100",) * 4 + ("7000",) * 4 + ("1400",) * 2 + ("1500",) * 2 + ("1700",)
HOLD_S = (1.0, 4.0)  # shortest and longest hold time
SUMMARY_INTERVAL_S = 5.0


class DemoCallers:
    """Callers of the demonstration, one per transport, with the counts of their calls' results."""

    def __init__(
        self, options: DemoOptions, call_manager: CallManager, print_line: Callable[[str], None]
    ) -> None:
        """Create the callers without opening them; the summary reads the open calls of `call_manager`."""
        self.options = options
        self.call_manager = call_manager
        self.print_line = print_line
        self.results: Counter[CallResult] = Counter()
        self.placed_count = 0

    async def place_calls(self) -> None:
        """Place calls as a Poisson process, each by a random caller, until cancelled; none at a rate of 0."""
        if not self.options.calls_per_s:
            return
        rng, loop = random.Random(self.options.seed), asyncio.get_running_loop()
        callers = await self._open_callers()
        summarized_at = loop.time()
        while True:
            await asyncio.sleep(rng.expovariate(self.options.calls_per_s))
            caller = rng.choice(callers)
            self.placed_count += 1
            caller.place(rng.choice(NUMBERS), rng.uniform(*HOLD_S), loop.time(), self._call_ended)
            if loop.time() - summarized_at >= SUMMARY_INTERVAL_S:
                summarized_at = loop.time()
                self.print_line(self.summary())

    async def _open_callers(self) -> list[CallerEmulator]:
        options, callers = self.options, []
        if options.udp:
            address = parse_address(options.udp)
            callers.append(await CallerEmulator.over_udp(address, "office1", options.seed))
        if options.tcp:
            address = parse_address(options.tcp)
            callers.append(await CallerEmulator.over_tcp(address, "office2", options.seed + 1))
        return callers

    def _call_ended(self, call: PlacedCall, result: CallResult, elapsed_s: float, status: int) -> None:
        self.results[result] += 1
        self.print_line(f"  call to {call.number}: {result.value} ({status}) after {elapsed_s * 1000:.0f} ms")

    def summary(self) -> str:
        """Return a line with the counts of placed, ended, established and pending calls."""
        counts = sorted((result.value, count) for result, count in self.results.items())
        ended = ", ".join(f"{count} {name}" for name, count in counts) or "no call ended yet"
        unanswered = self.call_manager.calls.unanswered
        established = len(self.call_manager.calls.by_number) - unanswered
        return f"{self.placed_count} placed: {ended}; {established} established, {unanswered} being set up"
