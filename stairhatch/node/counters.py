"""The counters of one process: how many messages, calls and faults of each kind there were."""

from __future__ import annotations


class Counters:
    """Counts by name."""

    def __init__(self) -> None:
        """Begin with nothing counted."""
        self.counts: dict[str, int] = {}

    def add(self, name: str, by: int = 1) -> None:
        """Count something once, or `by` times."""
        self.counts[name] = self.counts.get(name, 0) + by
