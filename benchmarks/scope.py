"""Measures the processor time of decisions per call, if many servers are listed and one service is called.

The plain Controller and the scoped decisions are measured at each size in one process. A service has ten
servers. No result is asserted.

    .venv/bin/python benchmarks/scope.py --servers 24,100,400,1900 --json

The clock is virtual: 137 calls per second, established after 20 ms and released after 9 s, each with a load
report. Rounds of the two kinds alternate; the result is the smallest processor time per call of all rounds.
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

CALL_RATE = 137.0  # calls per second
SERVICE_SERVERS = 10
SETUP_S = 0.02
CALL_DURATION_S = 9.0
CALLER_TIMEOUT_S = 9.0
WARM_UP_CALLS = 200  # before the measured rounds
START_S = 1000.0  # initial time of the virtual clock
RELEASE_REPORT = LoadReport(free_lines=180.0, total_lines=200.0, processor_wait_s=0.005)
PLAIN, SCOPED = "plain", "scoped"


class Decisions(Protocol):
    """The decision component under measurement."""

    @property
    def endpoints(self) -> Mapping[int, Endpoint]:
        """The endpoints that the component considers, by server id."""

    def handle(self, now: float, event: Event) -> Iterable[Action]:
        """Process one event at time `now` in seconds. Returns the resulting actions."""


def settings_for(listed: int) -> Settings:
    """Return settings with services of ten servers each; the last service also has the remaining servers."""
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
    """A driver for the decisions of one softswitch, which offers calls to the called services in turn."""

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
        """Offer a number of calls. Returns the processor seconds per call."""
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
        """Pass an event to the decisions, and schedule the events that follow from the actions."""
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
    """The processor time of plain and scoped decisions at one size."""

    listed: int
    drivers: dict[str, DecisionDriver]
    rounds_us: dict[str, list[float]]  # processor time per call in microseconds, for each round

    def least_us(self) -> dict[str, float]:
        """Return the microseconds per call of the fastest round, for both kinds."""
        return {name: min(rounds) for name, rounds in self.rounds_us.items()}

    def core_percent(self) -> dict[str, float]:
        """Return the processor time of the fastest round at CALL_RATE, in per cent of a core."""
        return {name: round(us * CALL_RATE / 1e4, 2) for name, us in self.least_us().items()}

    def to_json(self) -> dict[str, Any]:
        """Return the result as a JSON object."""
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
    """Measure plain and scoped decisions at one size, in alternating rounds of `calls` calls."""
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
    """Print the results and the environment of the run as one JSON object."""
    first, last = results[0], results[-1]
    size_difference = max(1, last.listed - first.listed)
    slopes = {
        name: round((last.least_us()[name] - us) / size_difference, 4)
        for name, us in first.least_us().items()
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
    """Print a table with one line per size."""
    print("listed  plain us  scoped us  plain core  scoped core")
    for result in results:
        us, core = result.least_us(), result.core_percent()
        print(
            f"{result.listed:6} {us[PLAIN]:9.1f} {us[SCOPED]:10.1f} "
            f"{core[PLAIN]:10.1f}% {core[SCOPED]:10.1f}%"
        )
    print(f"ratio of the last to the first size: plain {ratios[PLAIN]}, scoped {ratios[SCOPED]}")


def main() -> None:
    """Parse the command line, measure all sizes, and print the results."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n\n")[0])
    parser.add_argument("--servers", default="24,100,400,1900")
    parser.add_argument("--asked", type=int, default=1, help="number of services to call in turn")
    parser.add_argument("--calls", type=int, default=300, help="calls per round")
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
