"""What became of the calls of a run."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class SimulatedCallResult(Enum):
    """What came of a call."""

    STOOD = "stood"
    REFUSED = "refused"
    FAILED = "failed"
    UNREACHED = "unreached"  # its softswitch was not there
    LOST = "lost"  # its softswitch went while it was being set up


@dataclass
class ScaleTally:
    """What came of the calls."""

    asked: int = 0
    ends: Counter[str] = field(default_factory=Counter)
    depths: Counter[int] = field(default_factory=Counter)  # of the calls asked for
    stood_at_depth: Counter[int] = field(default_factory=Counter)
    cut: int = 0  # stood, and were ended by a fault
    by_second: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    took_ms: list[float] = field(default_factory=list)  # until they stood

    def figures(self) -> dict[str, Any]:
        """For JSON."""
        took = sorted(self.took_ms)
        return {
            "asked": self.asked,
            **{end.value: self.ends[end.value] for end in SimulatedCallResult},
            "cut": self.cut,
            "depths": {str(n): self.depths[n] for n in sorted(self.depths)},
            "stood_at_depth": {str(n): self.stood_at_depth[n] for n in sorted(self.stood_at_depth)},
            "deepest": max(self.stood_at_depth, default=0),
            "to_stand_p50_ms": quantile(took, 0.5),
            "to_stand_p99_ms": quantile(took, 0.99),
        }


def quantile(ordered: list[float], part: float) -> float:
    """The value below which that part lies, to a thousandth; 0 of none."""
    return round(ordered[min(len(ordered) - 1, int(part * len(ordered)))], 3) if ordered else 0.0
