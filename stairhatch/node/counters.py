"""The counters of one process: how many messages, calls and faults of each kind there were."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Counters:
    """What was taken in, sent and answered, by kind."""

    counts: dict[str, int] = field(default_factory=dict)

    def add(self, name: str, by: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + by
