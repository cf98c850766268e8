"""Runs the program with timers around its parts, and writes their totals to a file at intervals."""

from __future__ import annotations

import json
import os
import sys
import time
from collections import defaultdict
from pathlib import Path
from typing import Any

from stairhatch import __main__ as program
from stairhatch.node.attempts import AttemptManager
from stairhatch.node.call_manager import CallManager
from stairhatch.node.platform_connection import PlatformConnection
from stairhatch.node.server_connection import ServerConnection
from stairhatch.node.server_responses import ServerResponses
from stairhatch.node.timer_wheel import TimerWheel
from stairhatch.overload.controller import Controller

SPANS = ("parse", "decide", "core", "ask", "answer", "states")
WRITTEN_AT = "at"  # JSON key of the time of writing, in seconds of the monotonic clock
WRITE_INTERVAL_S = 0.25


class SpanTimer:
    """A timer that adds up seconds by span name; time in a nested span counts only for the nested span."""

    def __init__(self) -> None:
        self.spent_s: defaultdict[str, float] = defaultdict(float)
        self._inner_s: list[float] = []  # for each open span, the seconds spent in its nested spans

    def instrument(self, owner: type, method: str, span: str, exhaust: bool = False) -> None:
        """Replace a method of a class by a timed one.

        `exhaust`: the method returns an iterator, which is consumed within the timed span.
        """
        original = getattr(owner, method)

        def timed(*arguments: Any, **named: Any) -> Any:
            started_at = time.perf_counter()
            self._inner_s.append(0.0)
            try:
                result = original(*arguments, **named)
                return list(result) if exhaust else result
            finally:
                elapsed_s = time.perf_counter() - started_at
                self.spent_s[span] += elapsed_s - self._inner_s.pop()
                if self._inner_s:
                    self._inner_s[-1] += elapsed_s

        setattr(owner, method, timed)

    def write(self, path: Path) -> None:
        """Replace the file by the totals of all spans, as JSON, in one step."""
        unfinished = path.with_suffix(".new")
        unfinished.write_text(json.dumps({**self.spent_s, WRITTEN_AT: time.monotonic()}))
        unfinished.replace(path)


def run_instrumented() -> int:
    """Run the program with timers, and return its exit code.

    The totals are written to the file named by the environment variable SPANS.
    """
    timer = SpanTimer()
    timer.instrument(PlatformConnection, "receive_data", "parse")
    timer.instrument(Controller, "handle", "decide", exhaust=True)
    timer.instrument(CallManager, "offer_call", "core")
    timer.instrument(CallManager, "release", "core")
    timer.instrument(ServerResponses, "call_established", "core")
    timer.instrument(ServerResponses, "call_released", "core")
    timer.instrument(TimerWheel, "run_due", "core")
    timer.instrument(AttemptManager, "claim_transmission", "core")
    timer.instrument(ServerConnection, "data_to_send", "ask")
    timer.instrument(PlatformConnection, "data_to_send", "answer")
    timer.instrument(ServerConnection, "receive_data", "states")
    _write_regularly(timer, Path(os.environ["SPANS"]))
    sys.argv[1:] = []
    return program.main()


def _write_regularly(timer: SpanTimer, path: Path) -> None:
    """Make each call manager write the totals every WRITE_INTERVAL_S seconds, by its own timers."""
    original = CallManager.__init__

    def initialize(self: CallManager, *arguments: Any, **named: Any) -> None:
        original(self, *arguments, **named)

        def write() -> None:
            timer.write(path)
            self.timers.schedule(self.clock() + WRITE_INTERVAL_S, write)

        self.timers.schedule(self.clock() + WRITE_INTERVAL_S, write)

    CallManager.__init__ = initialize  # type: ignore[method-assign]
