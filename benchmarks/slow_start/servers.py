"""The simulated servers: what the warming one can bear, and what all of them report."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from benchmarks.slow_start.scenarios import REPORT_ERROR, Site
from stairhatch.overload.events import LoadReport

WARMING = 100  # the id of the warming server; the warm ones are 1, 2, ...
WARM_WAIT_S = 0.01  # at the processor of a warm server


@dataclass(slots=True)
class WarmingServer:
    """The server that has just started."""

    site: Site
    started_at: float
    setup_times_s: list[float] = field(default_factory=list)  # after its start
    idle_at: float = 0.0
    open_calls: int = 0

    def rate(self, now: float) -> float:
        """Return how many calls a second it can bear."""
        return self.site.capacity * self.site.warmth(now - self.started_at)

    def take_setup(self, now: float) -> float:
        """Take a set-up. Returns when it is answered."""
        self.setup_times_s.append(now - self.started_at)
        self.idle_at = max(self.idle_at, now) + 1 / self.rate(now)
        return self.idle_at


class ServerReports:
    """The load reports of all servers; each draws its error, also one that holds nothing wrong."""

    def __init__(self, warming: WarmingServer, rng: random.Random) -> None:
        self._site = warming.site
        self._warming = warming
        self._rng = rng

    def unasked(self, server: int) -> LoadReport:
        """Return what a server reports at intervals: its lines alone, where it reports them."""
        self._draw_error()
        return self._lines(server)

    def in_release(self, now: float, server: int) -> LoadReport:
        """Return what a server reports as a call ends: also its processor's figures, a little wrong."""
        error = self._draw_error()
        rate, wait_s = self._site.capacity, WARM_WAIT_S
        if server == WARMING:
            rate, wait_s = self._warming.rate(now), max(0.0, self._warming.idle_at - now)
        return self._lines(server)._replace(
            processor_wait_s=wait_s * error,
            admissible_rate=rate * error if self._site.reports_rate else None,
        )

    def _lines(self, server: int) -> LoadReport:
        """Return a server's lines, where it reports them; the warm ones are as busy as ever."""
        if not self._site.reports_lines:
            return LoadReport()
        total = self._site.capacity * self._site.call_duration_s
        used = self._site.load * total
        if server == WARMING:
            used, total = self._warming.open_calls, self._site.lines_factor * total
        return LoadReport(free_lines=max(0.0, total - used), total_lines=total)

    def _draw_error(self) -> float:
        return self._rng.uniform(1 - REPORT_ERROR, 1 + REPORT_ERROR)
