"""What came of a load: counts and times of calls, and whether the tool itself was late.

Times count from when each call was due, not from when it was sent. Tallies of several processes add up to
one. Free of I/O.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from hdrh.histogram import HdrHistogram

from stairhatch.load_test.load_plan import LoadClass
from stairhatch.load_test.tally_snapshot import TallySnapshot

LEAST_US, MOST_US = 1, 120_000_000
SIGNIFICANT_DIGITS = 2
LATENESS_PERCENTILE = 99.0
MAX_LATENESS_MS = 50.0  # a run in which one call in a hundred went out later than this is void
REPORTED_PERCENTILES = (50.0, 90.0, 99.0, 99.9)

Histogram = Any  # hdrhistogram has no types


class CallOutcome(StrEnum):
    """How a call ended for its caller, over all its attempts."""

    ESTABLISHED = "stood"
    REJECTED = "refused"
    FAILED = "failed"
    UNANSWERED = "unheard"
    ABANDONED = "left"  # by a caller that vanished or cancelled
    WITHHELD = "held"  # by overload control


class TallyCount(StrEnum):
    """What is counted beside the outcomes."""

    OFFERED = "asked"  # calls whose first attempt went out, or was withheld
    RETRIES = "redials"
    RETRANSMISSIONS = "copies"
    IN_TIME = "in time"  # established within the latency objective
    LATE = "late"  # established after it

    def of_class(self, name: str) -> str:
        """Return the name of the same count for one class of calls."""
        return f"{self} {name}"


def new_histogram() -> Histogram:
    """Return an empty histogram of microseconds, two digits exact."""
    return HdrHistogram(LEAST_US, MOST_US, SIGNIFICANT_DIGITS)


def _record(histogram: Histogram, seconds: float) -> None:
    histogram.record_value(max(LEAST_US, min(MOST_US, round(seconds * 1e6))))


def _percentile_ms(histogram: Histogram, percentile: float) -> float:
    if not histogram.get_total_count():
        return 0.0
    return float(histogram.get_value_at_percentile(percentile)) / 1000


@dataclass(slots=True)
class LoadTally:
    """One process's count of a run, or the sum of several."""

    counts: Counter[str] = field(default_factory=Counter)  # by outcome, TallyCount, and the latter by class
    by_second: dict[int, Counter[str]] = field(default_factory=dict)  # by the second a call was due in
    weight_offered: float = 0.0
    weight_earned: float = 0.0
    setup_times: dict[str, Histogram] = field(default_factory=dict)  # by class, until established
    response_times: Histogram = field(default_factory=new_histogram)  # until any final response
    lateness: Histogram = field(default_factory=new_histogram)  # of the tool: from due until sent

    # ---- counting ----

    def call_offered(self, load_class: LoadClass, due_s: float, late_s: float) -> None:
        """Count a call whose first attempt was due at a second of the run, and went out so much later."""
        self.counts[TallyCount.OFFERED] += 1
        self.counts[TallyCount.OFFERED.of_class(load_class.name)] += 1
        self.weight_offered += load_class.weight
        self._counts_in(due_s)[TallyCount.OFFERED] += 1
        _record(self.lateness, late_s)

    def call_retried(self) -> None:
        """Count a further attempt."""
        self.counts[TallyCount.RETRIES] += 1

    def call_ended(
        self, load_class: LoadClass, due_s: float, outcome: CallOutcome, elapsed_s: float | None
    ) -> None:
        """Count a call that is over for its caller.

        `elapsed_s` counts from when its first attempt was due; None where no response came.
        """
        self.counts[outcome] += 1
        if elapsed_s is not None:
            _record(self.response_times, elapsed_s)
        if outcome is CallOutcome.ESTABLISHED and elapsed_s is not None:
            self._count_established(load_class, due_s, elapsed_s)
        else:
            self._counts_in(due_s)[outcome] += 1

    def _count_established(self, load_class: LoadClass, due_s: float, elapsed_s: float) -> None:
        _record(self._setup_times_of(load_class.name), elapsed_s)
        is_in_time = elapsed_s <= load_class.latency_objective_s
        count = TallyCount.IN_TIME if is_in_time else TallyCount.LATE
        self.counts[count] += 1
        self.counts[TallyCount.IN_TIME.of_class(load_class.name)] += is_in_time
        self.weight_earned += load_class.weight * (1.0 if is_in_time else load_class.late_weight)
        self._counts_in(due_s)[count] += 1

    def _counts_in(self, second: float) -> Counter[str]:
        return self.by_second.setdefault(int(second), Counter())

    def _setup_times_of(self, class_name: str) -> Histogram:
        if class_name not in self.setup_times:
            self.setup_times[class_name] = new_histogram()
        return self.setup_times[class_name]

    # ---- several into one ----

    def snapshot(self) -> TallySnapshot:
        """Return what a process hands to another."""
        return TallySnapshot(
            counts=dict(self.counts),
            weight_offered=self.weight_offered,
            weight_earned=self.weight_earned,
            by_second={str(second): dict(counts) for second, counts in self.by_second.items()},
            setup_times={name: each.encode().decode() for name, each in self.setup_times.items()},
            response_times=self.response_times.encode().decode(),
            lateness=self.lateness.encode().decode(),
        )

    def add(self, other: TallySnapshot) -> None:
        """Add what another process has counted."""
        self.counts.update(other.counts)
        self.weight_offered += other.weight_offered
        self.weight_earned += other.weight_earned
        for second, counts in other.by_second.items():
            self._counts_in(float(second)).update(counts)
        for name, encoded in other.setup_times.items():
            self._setup_times_of(name).decode_and_add(encoded)
        self.response_times.decode_and_add(other.response_times)
        self.lateness.decode_and_add(other.lateness)

    # ---- what it says ----

    def lateness_ms(self) -> float:
        """Return how late the tool was, 99th percentile, in milliseconds."""
        return float(self.lateness.get_value_at_percentile(LATENESS_PERCENTILE)) / 1000

    def void_reason(self) -> str:
        """Return why the run proves nothing; "" if it does."""
        if not self.counts[TallyCount.OFFERED]:
            return "no call was placed"
        if (lateness_ms := self.lateness_ms()) > MAX_LATENESS_MS:
            return f"the tool itself was late: 1 % of its calls by over {lateness_ms:.0f} ms"
        return ""

    def figures(self, seconds: float) -> dict[str, Any]:
        """Return the figures of a run in which calls came for so long, by the names they are kept under."""
        counts = self.counts
        offered = max(1, counts[TallyCount.OFFERED])
        failed = counts[CallOutcome.FAILED] + counts[CallOutcome.UNANSWERED]
        return {
            "asked_a_second": counts[TallyCount.OFFERED] / seconds,
            "in_time_a_second": counts[TallyCount.IN_TIME] / seconds,
            "in_time": counts[TallyCount.IN_TIME] / offered,
            "late": counts[TallyCount.LATE] / offered,
            "refused": counts[CallOutcome.REJECTED] / offered,
            "failed": failed / offered,
            "worth": self.weight_earned / self.weight_offered if self.weight_offered else 0.0,
            "copies": counts[TallyCount.RETRANSMISSIONS] / offered,
            "redials": counts[TallyCount.RETRIES] / offered,
            "tool_late_ms": self.lateness_ms(),
            **self._time_figures(),
            **self._class_figures(),
        }

    def _time_figures(self) -> dict[str, float]:
        setup_times = new_histogram()
        for each in self.setup_times.values():
            setup_times.add(each)
        named = (("stood", setup_times), ("answered", self.response_times))
        return {
            f"{name}_p{percentile:g}_ms": _percentile_ms(histogram, percentile)
            for name, histogram in named
            for percentile in REPORTED_PERCENTILES
        }

    def _class_figures(self) -> dict[str, float]:
        prefix = TallyCount.OFFERED.of_class("")
        offered = {name[len(prefix) :]: n for name, n in self.counts.items() if name.startswith(prefix)}
        return {
            f"in_time {name}": self.counts[TallyCount.IN_TIME.of_class(name)] / max(1, count)
            for name, count in offered.items()
        }
