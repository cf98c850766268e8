"""Counters of one process: numbers of messages, calls and faults of each kind."""

from __future__ import annotations


class Counters:
    """Set of named counters; a counter exists from its first count."""

    def __init__(self) -> None:
        """Start without counters."""
        self.counts: dict[str, int] = {}

    def add(self, name: str, by: int = 1) -> None:
        """Increase the counter `name` by `by`, which may be negative."""
        self.counts[name] = self.counts.get(name, 0) + by
