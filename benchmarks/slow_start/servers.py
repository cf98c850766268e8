"""Simulated servers: the warming server's processing of set-ups, and the load reports of all servers."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from benchmarks.slow_start.scenarios import REPORT_ERROR, Site
from stairhatch.overload.events import LoadReport

WARMING = 100  # id of the warming server; the warm servers have the ids 1, 2, ...
WARM_WAIT_S = 0.01  # processor wait that a warm server reports


@dataclass(slots=True)
class WarmingServer:
    """The simulated server that has just started, with one queue for set-ups."""

    site: Site
    started_at: float
    setup_times_s: list[float] = field(default_factory=list)  # seconds after the server's start
    idle_at: float = 0.0  # when all accepted set-ups are processed
    open_calls: int = 0

    def rate(self, now: float) -> float:
        """Return the server's capacity at a time, in calls per second."""
        return self.site.capacity * self.site.capacity_fraction(now - self.started_at)

    def take_setup(self, now: float) -> float:
        """Accept a set-up into the queue. Returns the time at which it is processed."""
        self.setup_times_s.append(now - self.started_at)
        self.idle_at = max(self.idle_at, now) + 1 / self.rate(now)
        return self.idle_at


class ServerReports:
    """The source of load reports of all servers.

    Every report draws an error, even one without erroneous figures, so that the sequence of random draws does
    not depend on the kind of report.
    """

    def __init__(self, warming: WarmingServer, rng: random.Random) -> None:
        self._site = warming.site
        self._warming = warming
        self._rng = rng

    def at_interval(self, server: int) -> LoadReport:
        """Return the report that a server sends at intervals: its lines only, or nothing if not reported."""
        self._draw_error()
        return self._lines(server)

    def in_release(self, now: float, server: int) -> LoadReport:
        """Return the report in a release: the server's lines, and its processor's figures with an error."""
        error = self._draw_error()
        rate, wait_s = self._site.capacity, WARM_WAIT_S
        if server == WARMING:
            rate, wait_s = self._warming.rate(now), max(0.0, self._warming.idle_at - now)
        return self._lines(server)._replace(
            processor_wait_s=wait_s * error,
            admissible_rate=rate * error if self._site.reports_rate else None,
        )

    def _lines(self, server: int) -> LoadReport:
        """Return a report of a server's lines, empty if lines are not reported.

        The warm servers always report the load from before the new server's start.
        """
        if not self._site.reports_lines:
            return LoadReport()
        total = self._site.capacity * self._site.call_duration_s
        used = self._site.load * total
        if server == WARMING:
            used, total = self._warming.open_calls, self._site.lines_factor * total
        return LoadReport(free_lines=max(0.0, total - used), total_lines=total)

    def _draw_error(self) -> float:
        return self._rng.uniform(1 - REPORT_ERROR, 1 + REPORT_ERROR)
