"""What came of a load: owns the counts and times of calls, from when each was due and not from when it was
sent, and the verdict whether the tool itself was late. Tallies of several processes add up to one. Pure.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from stairhatch.load_test.load_plan import Kind

MOST_US = 120_000_000
LATE_MS = 50.0  # a run in which a hundredth of the calls went out later than this is void
QUANTILES = (50.0, 90.0, 99.0, 99.9)


def histogram() -> Any:
    """Of microseconds, two digits exact."""
    return HdrHistogram(1, MOST_US, 2)


def _note(into: Any, seconds: float) -> None:
    into.record_value(max(1, min(MOST_US, round(seconds * 1e6))))


@dataclass(slots=True)
class LoadTally:
    """One process's count of a run, or the sum of several."""

    counts: Counter[str] = field(default_factory=Counter)
    by_second: dict[int, Counter[str]] = field(default_factory=dict)  # by the second a call was due in
    worth: float = 0.0  # asked for
    earned: float = 0.0
    stood: dict[str, Any] = field(default_factory=dict)  # class -> times to stand
    answered: Any = field(default_factory=histogram)  # to any final answer
    lateness: Any = field(default_factory=histogram)  # of the tool: due until sent

    def asked(self, kind: Kind, due: float, late_s: float) -> None:
        """A first try went out, so much after it was due."""
        self.counts["asked"] += 1
        self.counts[f"asked {kind.name}"] += 1
        self.worth += kind.worth
        self._in(due)["asked"] += 1
        _note(self.lateness, late_s)

    def again(self) -> None:
        """A further try."""
        self.counts["redials"] += 1

    def ended(self, kind: Kind, due: float, end: str, took_s: float | None) -> None:
        """A call is over for its caller: "stood", "refused", "failed", "unheard", "left" or "held". `took_s`
        counts from when its first try was due; None where no answer came.
        """
        self.counts[end] += 1
        if took_s is not None:
            _note(self.answered, took_s)
        if end != "stood" or took_s is None:
            self._in(due)[end] += 1
            return
        if kind.name not in self.stood:
            self.stood[kind.name] = histogram()
        _note(self.stood[kind.name], took_s)
        in_time = took_s <= kind.aim_s
        self.counts["in time" if in_time else "late"] += 1
        self.counts[f"in time {kind.name}"] += in_time
        self.earned += kind.worth * (1.0 if in_time else kind.late_worth)
        self._in(due)["in time" if in_time else "late"] += 1

    def _in(self, due: float) -> Counter[str]:
        return self.by_second.setdefault(int(due), Counter())

    # ---- several into one ----

    def told(self) -> dict[str, Any]:
        """What a process writes out, as plain values."""
        return {
            "counts": dict(self.counts), "worth": self.worth, "earned": self.earned,
            "by_second": {str(second): dict(found) for second, found in self.by_second.items()},
            "stood": {name: each.encode().decode() for name, each in self.stood.items()},
            "answered": self.answered.encode().decode(), "lateness": self.lateness.encode().decode(),
        }  # fmt: skip

    def add(self, told: dict[str, Any]) -> None:
        """Take in what another process wrote out."""
        self.counts.update(told["counts"])
        self.worth += told["worth"]
        self.earned += told["earned"]
        for second, found in told["by_second"].items():
            self._in(float(second)).update(found)
        for name, text in told["stood"].items():
            if name not in self.stood:
                self.stood[name] = histogram()
            self.stood[name].decode_and_add(text)
        self.answered.decode_and_add(told["answered"])
        self.lateness.decode_and_add(told["lateness"])

    # ---- what it says ----

    @property
    def late_ms(self) -> float:
        """How late the tool was, 99th percentile, in milliseconds."""
        return float(self.lateness.get_value_at_percentile(99.0)) / 1000

    def void(self) -> str:
        """Why the run proves nothing; "" if it does."""
        if not self.counts["asked"]:
            return "no call was placed"
        if self.late_ms > LATE_MS:
            return f"the tool itself was late: 1 % of its calls by over {self.late_ms:.0f} ms"
        return ""

    def figures(self, seconds: float) -> dict[str, Any]:
        """The figures of a run in which calls came for so long."""
        everything = histogram()
        for each in self.stood.values():
            everything.add(each)
        asked = max(1, self.counts["asked"])
        return {
            "asked_a_second": self.counts["asked"] / seconds,
            "in_time_a_second": self.counts["in time"] / seconds,
            "in_time": self.counts["in time"] / asked,
            "late": self.counts["late"] / asked,
            "refused": self.counts["refused"] / asked,
            "failed": (self.counts["failed"] + self.counts["unheard"]) / asked,
            "worth": self.earned / self.worth if self.worth else 0.0,
            "copies": self.counts["copies"] / asked,
            "redials": self.counts["redials"] / asked,
            "tool_late_ms": self.late_ms,
            **{f"stood_p{q:g}_ms": _milli(everything, q) for q in QUANTILES},
            **{f"answered_p{q:g}_ms": _milli(self.answered, q) for q in QUANTILES},
            **{
                f"in_time {name[6:]}": self.counts[f"in time {name[6:]}"] / max(1, count)
                for name, count in self.counts.items()
                if name.startswith("asked ")
            },
        }


def _milli(found: Any, quantile: float) -> float:
    return float(found.get_value_at_percentile(quantile)) / 1000 if found.get_total_count() else 0.0


def best_span(by_second: dict[int, Counter[str]], seconds: Iterable[int], name: str = "in time") -> float:
    """The mean of a count over some of the seconds."""
    chosen = [by_second.get(second, Counter())[name] for second in seconds]
    return sum(chosen) / len(chosen) if chosen else 0.0
