"""The counters of one process: how many messages, calls and faults of each kind there were."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, eq=False, repr=False)
class Counters:
    """Counts by name."""

    counts: dict[str, int] = field(default_factory=dict)

    def add(self, name: str, by: int = 1) -> None:
        """Count something once, or `by` times."""
        self.counts[name] = self.counts.get(name, 0) + by
