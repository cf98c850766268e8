"""Reads readiness, counters and applied list lines from the log of a real softswitch."""

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
    """A roster server whose endpoint list line a softswitch applied, and the Unix time of applying it."""

    at: float
    instance: str


@dataclass(frozen=True, slots=True)
class MemberLog:
    """The log file of one softswitch; each method reads the whole file again."""

    path: Path

    def lines(self) -> list[str]:
        """Return all lines of the file; undecodable bytes are replaced."""
        return self.path.read_text(errors="replace").splitlines()

    def last_line(self) -> str:
        """Return the last line, or an empty string if the log is empty."""
        return "".join(self.lines()[-1:])

    def is_serving(self, with_leased_index: bool) -> bool:
        """Return whether the softswitch logged that it is serving and, if required, has leased an index."""
        lines = self.lines()
        has_index = not with_leased_index or any(INDEX_LEASED_MARK in line for line in lines)
        return has_index and any(SERVING_MARK in line for line in lines)

    def counter_reports(self) -> int:
        """Return how many times the softswitch has logged its counters."""
        return sum(COUNTERS_MARK in line for line in self.lines())

    def last_counters(self) -> dict[str, int]:
        """Return the most recently logged counters.

        Raises StopIteration if none were logged.
        """
        line = next(line for line in reversed(self.lines()) if COUNTERS_MARK in line)
        pairs = (word.partition("=") for word in line.split()[2:])
        return {name: int(value) for name, _, value in pairs}

    def listed_servers(self, since: float) -> Iterator[ListedServer]:
        """Yield the roster servers of the list lines that were applied at or after a Unix time."""
        for line in self.lines():
            words = line.split()
            if len(words) > 2 and words[1] == LISTED_EVENT and float(words[0]) >= since:
                yield ListedServer(float(words[0]), words[2].partition("=")[2])
