"""Reads what a scale run needs from the log of a real softswitch."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

COUNTERS_MARK = " counters "
SERVING_MARK = " serving "
INDEX_LEASED_MARK = " fleet what=instance_index "
LISTED_EVENT = "server_listed"


class ListedServer(NamedTuple):
    """A line of the endpoint list that a softswitch has applied, and when, in Unix time."""

    at: float
    instance: str


@dataclass(frozen=True, slots=True)
class MemberLog:
    """The log file of one softswitch, read again by each method."""

    path: Path

    def lines(self) -> list[str]:
        """Return its lines."""
        return self.path.read_text(errors="replace").splitlines()

    def last_line(self) -> str:
        """Return the last line, empty if there is none."""
        return "".join(self.lines()[-1:])

    def is_serving(self, with_leased_index: bool) -> bool:
        """Return whether it serves, and with a leased instance index if that is required."""
        lines = self.lines()
        has_index = not with_leased_index or any(INDEX_LEASED_MARK in line for line in lines)
        return has_index and any(SERVING_MARK in line for line in lines)

    def counter_reports(self) -> int:
        """Return how often the counters were logged."""
        return sum(COUNTERS_MARK in line for line in self.lines())

    def last_counters(self) -> dict[str, int]:
        """Return the counters as they were logged last."""
        line = next(line for line in reversed(self.lines()) if COUNTERS_MARK in line)
        pairs = (word.partition("=") for word in line.split()[2:])
        return {name: int(value) for name, _, value in pairs}

    def listed_servers(self, since: float) -> Iterator[ListedServer]:
        """Yield the lines of the endpoint list applied since a Unix time."""
        for line in self.lines():
            words = line.split()
            if len(words) > 2 and words[1] == LISTED_EVENT and float(words[0]) >= since:
                yield ListedServer(float(words[0]), words[2].partition("=")[2])
