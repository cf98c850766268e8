"""What a call costs the decisions where many servers are listed and one service of ten is asked for: the
plain Controller and the scoped decisions side by side, at each size, in one process. Nothing here is a test.

    .venv/bin/python benchmarks/scope.py --servers 24,100,400,1900 --json

The clock is virtual: 137 calls a second, set up in 20 ms, that end after 9 s, each with a report of lines.
The rounds of both take turns; what is told is the least processor time a call of the rounds.
"""

from __future__ import annotations

import argparse
import heapq
import json
import platform
import random
import subprocess
import sys
import time
from collections import deque
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from stairhatch.overload.actions import SendSetup, SetTimer
from stairhatch.overload.controller import Controller
from stairhatch.overload.events import (
    AttemptEnded,
    AttemptOutcome,
    CallEstablished,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    Event,
    LoadReport,
    TimerExpired,
)
from stairhatch.overload.settings import CallClass, Settings
from stairhatch.scope.config import ScopeConfig
from stairhatch.scope.controller import ScopedController

RATE = 137.0  # calls a second
SERVICE = 10  # servers of one
SET_UP_S, LASTS_S = 0.02, 9.0
WARM_UP = 200  # calls before the clock is read


def settings_of(listed: int) -> Settings:
    """Services of ten servers each, the last one with what is left over."""
    starts = range(0, max(1, listed // SERVICE) * SERVICE, SERVICE)
    pools = [tuple(range(n, n + SERVICE if n != starts[-1] else listed)) for n in starts]
    classes = tuple(
        CallClass(
            f"service-{n}",
            latency_objective_s=1.5,
            deadline_s=9.0,
            mean_duration_s=LASTS_S,
            allowed_servers=each,
        )
        for n, each in enumerate(pools)
    )
    return Settings(
        classes, instance_count=SERVICE, instance_index=0, retransmit_interval_s=0.8, max_retry_after_s=2.0
    )


class Drive:
    """One softswitch's decisions fed by hand."""

    def __init__(self, decisions: Any, settings: Settings, listed: int, asked: int) -> None:
        self.decisions, self.kinds = decisions, settings.classes[:asked]
        self.now, self.calls, self.stood = 1000.0, 0, 0
        self.due: list[tuple[float, int, Event]] = []
        self.order = 0
        self.open: deque[tuple[float, int, int]] = deque()
        self.random = random.Random(7)
        lines = tuple(EndpointRecord(n + 1, n) for n in range(listed))
        self.tell(EndpointsUpdated(lines, True))

    def tell(self, event: Event) -> None:
        """One event, and what its actions lead to."""
        for action in self.decisions.handle(self.now, event):
            match action:
                case SendSetup(call, server, _):
                    self.later(SET_UP_S, CallEstablished(call, server, SET_UP_S))
                    report = LoadReport(free_lines=180.0, total_lines=200.0, processor_wait_s=0.005)
                    ended = AttemptEnded(call, server, AttemptOutcome.COMPLETED, True, report, LASTS_S)
                    self.later(LASTS_S, ended)
                    self.stood += 1
                case SetTimer(delay_s, label):
                    self.later(delay_s, TimerExpired(label))

    def later(self, after_s: float, event: Event) -> None:
        """An event to come."""
        self.order += 1
        heapq.heappush(self.due, (self.now + after_s, self.order, event))

    def run(self, calls: int) -> float:
        """Processor seconds a call."""
        began = time.process_time()
        for _ in range(calls):
            until = self.now + 1 / RATE
            while self.due and self.due[0][0] <= until:
                self.now, _, event = heapq.heappop(self.due)
                self.tell(event)
            self.now = until
            self.calls += 1
            kind = self.kinds[self.calls % len(self.kinds)]
            choice = self.random.choice(kind.allowed_servers or (0,))
            self.tell(CallOffered(self.calls, kind, choice, 9.0))
        return (time.process_time() - began) / calls


def measure(listed: int, asked: int, calls: int, rounds: int) -> dict[str, Any]:
    """Both kinds at one size."""
    settings = settings_of(listed)
    plain = Drive(Controller(settings, random.Random(1)), settings, listed, asked)
    scoped = Drive(ScopedController(settings, random.Random(1), ScopeConfig()), settings, listed, asked)
    found: dict[str, list[float]] = {"plain": [], "scoped": []}
    for drive in (plain, scoped):
        drive.run(WARM_UP)
    for _ in range(rounds):
        for name, drive in (("plain", plain), ("scoped", scoped)):
            found[name].append(round(drive.run(calls) * 1e6, 1))
    share = {name: round(min(each) * RATE / 1e4, 2) for name, each in found.items()}
    return {
        "listed": listed, "known_to_plain": len(plain.decisions.endpoints),
        "in_scope": len(scoped.decisions.endpoints), "stood": [plain.stood, scoped.stood],
        "offered": plain.calls, "us_a_call": {name: min(each) for name, each in found.items()},
        "rounds_us": found, "percent_of_a_core": share,
    }  # fmt: skip


def main() -> None:
    """Read the sizes, measure, print."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n\n")[0])
    parser.add_argument("--servers", default="24,100,400,1900")
    parser.add_argument("--asked", type=int, default=1, help="services that are called, in turn")
    parser.add_argument("--calls", type=int, default=300, help="a round")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    told = parser.parse_args()
    sizes = [int(text) for text in told.servers.split(",")]
    found = [measure(size, told.asked, told.calls, told.rounds) for size in sizes]
    first, last = found[0]["us_a_call"], found[-1]["us_a_call"]
    ratio = {name: round(last[name] / first[name], 3) for name in first}
    slope = {
        name: round((last[name] - first[name]) / max(1, sizes[-1] - sizes[0]), 4) for name in first
    }  # µs a call for each more server listed
    if told.json:
        print(json.dumps({
            "commit": subprocess.run(
                ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False
            ).stdout.strip(),
            "command": " ".join(["benchmarks/scope.py", *sys.argv[1:]]), "python": platform.python_version(),
            "rate": RATE, "sizes": found, "last_over_first": ratio, "slope_us_a_server": slope,
        }, indent=1))  # fmt: skip
        return
    print("listed  plain us  scoped us  plain core  scoped core")
    for line in found:
        cost, share = line["us_a_call"], line["percent_of_a_core"]
        print(
            f"{line['listed']:6} {cost['plain']:9.1f} {cost['scoped']:10.1f} "
            f"{share['plain']:10.1f}% {share['scoped']:10.1f}%"
        )
    print(f"last over first: plain {ratio['plain']}, scoped {ratio['scoped']}")


if __name__ == "__main__":
    main()
