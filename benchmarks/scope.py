"""What a call costs the decisions where many servers are listed and one service of ten is asked for.

The plain Controller and the scoped decisions are measured side by side, at each size, in one process. Nothing
here is a test.

    .venv/bin/python benchmarks/scope.py --servers 24,100,400,1900 --json

The clock is virtual: 137 calls a second, set up in 20 ms, that end after 9 s, each with a report of lines.
The rounds of both take turns; the result is the least processor time a call of the rounds.
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
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stairhatch.overload.actions import Action, SendSetup, SetTimer
from stairhatch.overload.controller import Controller
from stairhatch.overload.endpoint import Endpoint
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

CALL_RATE = 137.0  # calls a second
SERVICE_SERVERS = 10
SETUP_S = 0.02
CALL_DURATION_S = 9.0
CALLER_TIMEOUT_S = 9.0
WARM_UP_CALLS = 200  # before the clock is read
START_S = 1000.0  # of the virtual clock
RELEASE_REPORT = LoadReport(free_lines=180.0, total_lines=200.0, processor_wait_s=0.005)
PLAIN, SCOPED = "plain", "scoped"


class Decisions(Protocol):
    """What is measured."""

    @property
    def endpoints(self) -> Mapping[int, Endpoint]:
        """The endpoints that are looked at, by server id."""

    def handle(self, now: float, event: Event) -> Iterable[Action]:
        """Take one event and return the actions it leads to."""


def settings_for(listed: int) -> Settings:
    """Return settings with services of ten servers each, the last one with what is left over."""
    starts = range(0, max(1, listed // SERVICE_SERVERS) * SERVICE_SERVERS, SERVICE_SERVERS)
    classes = tuple(
        CallClass(
            f"service-{index}",
            latency_objective_s=1.5,
            deadline_s=9.0,
            mean_duration_s=CALL_DURATION_S,
            allowed_servers=tuple(range(start, listed if start == starts[-1] else start + SERVICE_SERVERS)),
        )
        for index, start in enumerate(starts)
    )
    return Settings(
        classes,
        instance_count=SERVICE_SERVERS,
        instance_index=0,
        retransmit_interval_s=0.8,
        max_retry_after_s=2.0,
    )


class DecisionDriver:
    """One softswitch's decisions, which are offered calls to some services in turn."""

    def __init__(self, decisions: Decisions, settings: Settings, listed: int, called_services: int) -> None:
        self.decisions = decisions
        self.offered = 0
        self.established = 0
        self._classes = settings.classes[:called_services]
        self._now = START_S
        self._rng = random.Random(7)
        self._order = 0
        self._scheduled: list[tuple[float, int, Event]] = []
        self._handle(EndpointsUpdated(tuple(EndpointRecord(n + 1, n) for n in range(listed)), True))

    def run(self, calls: int) -> float:
        """Offer calls. Returns the processor seconds of one."""
        began = time.process_time()
        for _ in range(calls):
            until = self._now + 1 / CALL_RATE
            while self._scheduled and self._scheduled[0][0] <= until:
                self._now, _, event = heapq.heappop(self._scheduled)
                self._handle(event)
            self._now = until
            self.offered += 1
            call_class = self._classes[self.offered % len(self._classes)]
            preferred = self._rng.choice(call_class.allowed_servers or (0,))
            self._handle(CallOffered(self.offered, call_class, preferred, CALLER_TIMEOUT_S))
        return (time.process_time() - began) / calls

    def _handle(self, event: Event) -> None:
        """Hand one event over, and schedule what its actions lead to."""
        for action in self.decisions.handle(self._now, event):
            match action:
                case SendSetup(call_id, server_id, _):
                    self._schedule(SETUP_S, CallEstablished(call_id, server_id, SETUP_S))
                    ended = AttemptEnded(
                        call_id, server_id, AttemptOutcome.COMPLETED, True, RELEASE_REPORT, CALL_DURATION_S
                    )
                    self._schedule(CALL_DURATION_S, ended)
                    self.established += 1
                case SetTimer(delay_s, timer_id):
                    self._schedule(delay_s, TimerExpired(timer_id))

    def _schedule(self, after_s: float, event: Event) -> None:
        self._order += 1
        heapq.heappush(self._scheduled, (self._now + after_s, self._order, event))


@dataclass(frozen=True, slots=True, kw_only=True)
class SizeResult:
    """What both kinds of decisions cost at one size."""

    listed: int
    drivers: dict[str, DecisionDriver]
    rounds_us: dict[str, list[float]]  # processor time a call, a round each

    def least_us(self) -> dict[str, float]:
        """Return the processor time a call, of the best round."""
        return {name: min(rounds) for name, rounds in self.rounds_us.items()}

    def core_percent(self) -> dict[str, float]:
        """Return that as a part of a core."""
        return {name: round(us * CALL_RATE / 1e4, 2) for name, us in self.least_us().items()}

    def to_json(self) -> dict[str, Any]:
        """Return it as it is kept."""
        plain, scoped = self.drivers[PLAIN], self.drivers[SCOPED]
        return {
            "listed": self.listed,
            "known_to_plain": len(plain.decisions.endpoints),
            "in_scope": len(scoped.decisions.endpoints),
            "stood": [plain.established, scoped.established],
            "offered": plain.offered,
            "us_a_call": self.least_us(),
            "rounds_us": self.rounds_us,
            "percent_of_a_core": self.core_percent(),
        }


def measure(listed: int, called_services: int, calls: int, rounds: int) -> SizeResult:
    """Measure both kinds at one size, their rounds in turn."""
    settings = settings_for(listed)
    decisions: dict[str, Decisions] = {
        PLAIN: Controller(settings, random.Random(1)),
        SCOPED: ScopedController(settings, random.Random(1), ScopeConfig()),
    }
    drivers = {
        name: DecisionDriver(each, settings, listed, called_services) for name, each in decisions.items()
    }
    for driver in drivers.values():
        driver.run(WARM_UP_CALLS)
    rounds_us: dict[str, list[float]] = {name: [] for name in drivers}
    for _ in range(rounds):
        for name, driver in drivers.items():
            rounds_us[name].append(round(driver.run(calls) * 1e6, 1))
    return SizeResult(listed=listed, drivers=drivers, rounds_us=rounds_us)


def print_json(results: list[SizeResult], ratios: dict[str, float]) -> None:
    """Print everything as one JSON object."""
    first, last = results[0], results[-1]
    listed_more = max(1, last.listed - first.listed)
    slopes = {
        name: round((last.least_us()[name] - us) / listed_more, 4) for name, us in first.least_us().items()
    }
    revision = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False
    )
    document = {
        "commit": revision.stdout.strip(),
        "command": " ".join(["benchmarks/scope.py", *sys.argv[1:]]),
        "python": platform.python_version(),
        "rate": CALL_RATE,
        "sizes": [result.to_json() for result in results],
        "last_over_first": ratios,
        "slope_us_a_server": slopes,
    }
    print(json.dumps(document, indent=1))


def print_table(results: list[SizeResult], ratios: dict[str, float]) -> None:
    """Print a line a size."""
    print("listed  plain us  scoped us  plain core  scoped core")
    for result in results:
        us, core = result.least_us(), result.core_percent()
        print(
            f"{result.listed:6} {us[PLAIN]:9.1f} {us[SCOPED]:10.1f} "
            f"{core[PLAIN]:10.1f}% {core[SCOPED]:10.1f}%"
        )
    print(f"last over first: plain {ratios[PLAIN]}, scoped {ratios[SCOPED]}")


def main() -> None:
    """Read the sizes, measure, print."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n\n")[0])
    parser.add_argument("--servers", default="24,100,400,1900")
    parser.add_argument("--asked", type=int, default=1, help="services that are called, in turn")
    parser.add_argument("--calls", type=int, default=300, help="a round")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    sizes = [int(text) for text in arguments.servers.split(",")]
    results = [measure(size, arguments.asked, arguments.calls, arguments.rounds) for size in sizes]
    first, last = results[0].least_us(), results[-1].least_us()
    ratios = {name: round(last[name] / first[name], 3) for name in first}
    if arguments.json:
        print_json(results, ratios)
    else:
        print_table(results, ratios)


if __name__ == "__main__":
    main()
