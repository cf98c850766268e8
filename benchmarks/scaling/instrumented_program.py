"""The program with timers in it, which writes out now and then how long each part has taken."""

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
WRITTEN_AT = "at"  # by the monotonic clock, in seconds
WRITE_INTERVAL_S = 0.25


class SpanTimer:
    """Seconds by the name of a span; each span is exclusive of those within it."""

    def __init__(self) -> None:
        self.spent_s: defaultdict[str, float] = defaultdict(float)
        self._inner_s: list[float] = []  # of each open span, what those within it took

    def instrument(self, owner: type, method: str, span: str, exhaust: bool = False) -> None:
        """Time a method of a class; with `exhaust` its result is an iterator that is run to its end."""
        original = getattr(owner, method)

        def timed(*arguments: Any, **named: Any) -> Any:
            began = time.perf_counter()
            self._inner_s.append(0.0)
            try:
                result = original(*arguments, **named)
                return list(result) if exhaust else result
            finally:
                took = time.perf_counter() - began
                self.spent_s[span] += took - self._inner_s.pop()
                if self._inner_s:
                    self._inner_s[-1] += took

        setattr(owner, method, timed)

    def write(self, path: Path) -> None:
        """Write all spans out."""
        unfinished = path.with_suffix(".new")
        unfinished.write_text(json.dumps({**self.spent_s, WRITTEN_AT: time.monotonic()}))
        unfinished.replace(path)


def run_instrumented() -> int:
    """Run the program; the spans go to the file that the environment's SPANS names."""
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
    """Have each call manager write the spans by its own timers."""
    original = CallManager.__init__

    def begin(self: CallManager, *arguments: Any, **named: Any) -> None:
        original(self, *arguments, **named)

        def write() -> None:
            timer.write(path)
            self.timers.schedule(self.clock() + WRITE_INTERVAL_S, write)

        self.timers.schedule(self.clock() + WRITE_INTERVAL_S, write)

    CallManager.__init__ = begin  # type: ignore[method-assign]
