"""The tally of a load: counts and times of calls, and the lateness of the load generator.

The times of a call are measured from its due time, not from its sending time. The tallies of several
processes can be added up. The module does no I/O.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from hdrh.histogram import HdrHistogram

from stairhatch.load_test.load_plan import LoadClass
from stairhatch.load_test.tally_snapshot import TallySnapshot

LEAST_US, MOST_US = 1, 120_000_000  # range of the histograms
SIGNIFICANT_DIGITS = 2
LATENESS_PERCENTILE = 99.0
MAX_LATENESS_MS = 50.0  # a run is void if 1 % of its calls were sent later than this
REPORTED_PERCENTILES = (50.0, 90.0, 99.0, 99.9)

Histogram = Any  # hdrhistogram has no type annotations


class CallOutcome(StrEnum):
    """Outcome of a call for its caller, over all attempts."""

    ESTABLISHED = "stood"
    REJECTED = "refused"
    FAILED = "failed"
    UNANSWERED = "unheard"
    ABANDONED = "left"  # by a caller that vanished or cancelled
    WITHHELD = "held"  # not sent because of overload control


class TallyCount(StrEnum):
    """Further counts of a tally, beside those by outcome."""

    OFFERED = "asked"  # calls whose first attempt was sent or withheld
    RETRIES = "redials"  # attempts after the first one of a call
    RETRANSMISSIONS = "copies"  # of INVITEs
    IN_TIME = "in time"  # established within the latency objective
    LATE = "late"  # established after the latency objective

    def of_class(self, name: str) -> str:
        """Return the key of this count for one class of calls."""
        return f"{self} {name}"


def new_histogram() -> Histogram:
    """Return an empty histogram of microseconds with two significant digits."""
    return HdrHistogram(LEAST_US, MOST_US, SIGNIFICANT_DIGITS)


def _record(histogram: Histogram, seconds: float) -> None:
    histogram.record_value(max(LEAST_US, min(MOST_US, round(seconds * 1e6))))


def _percentile_ms(histogram: Histogram, percentile: float) -> float:
    if not histogram.get_total_count():
        return 0.0
    return float(histogram.get_value_at_percentile(percentile)) / 1000


@dataclass(slots=True)
class LoadTally:
    """Tally of one process in a run, or the sum of several tallies."""

    counts: Counter[str] = field(default_factory=Counter)  # by outcome, TallyCount and class
    by_second: dict[int, Counter[str]] = field(default_factory=dict)  # by the second of a call's due time
    weight_offered: float = 0.0  # sum of the weights of all calls
    weight_earned: float = 0.0  # the same for established calls, reduced if late
    setup_times: dict[str, Histogram] = field(default_factory=dict)  # by class, until established
    response_times: Histogram = field(default_factory=new_histogram)  # until the final response
    lateness: Histogram = field(default_factory=new_histogram)  # of sending, by the load generator

    # ---- counts of calls ----

    def call_offered(self, load_class: LoadClass, due_s: float, late_s: float) -> None:
        """Count a call whose first attempt was due at `due_s` of the load and sent `late_s` later."""
        self.counts[TallyCount.OFFERED] += 1
        self.counts[TallyCount.OFFERED.of_class(load_class.name)] += 1
        self.weight_offered += load_class.weight
        self._counts_in(due_s)[TallyCount.OFFERED] += 1
        _record(self.lateness, late_s)

    def call_retried(self) -> None:
        """Count an attempt after the first one of a call."""
        self.counts[TallyCount.RETRIES] += 1

    def call_ended(
        self, load_class: LoadClass, due_s: float, outcome: CallOutcome, elapsed_s: float | None
    ) -> None:
        """Count the outcome of a call.

        `elapsed_s` is the time from the due time of the first attempt to the outcome; None if there was no
        final response.
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

    # ---- sums of tallies ----

    def snapshot(self) -> TallySnapshot:
        """Return the tally in a form that can be sent to another process."""
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
        """Add the tally of another process to this one."""
        self.counts.update(other.counts)
        self.weight_offered += other.weight_offered
        self.weight_earned += other.weight_earned
        for second, counts in other.by_second.items():
            self._counts_in(float(second)).update(counts)
        for name, encoded in other.setup_times.items():
            self._setup_times_of(name).decode_and_add(encoded)
        self.response_times.decode_and_add(other.response_times)
        self.lateness.decode_and_add(other.lateness)

    # ---- figures ----

    def lateness_ms(self) -> float:
        """Return the 99th percentile of the load generator's lateness, in milliseconds."""
        return float(self.lateness.get_value_at_percentile(LATENESS_PERCENTILE)) / 1000

    def void_reason(self) -> str:
        """Return the reason why the measurements are invalid; "" for a valid run."""
        if not self.counts[TallyCount.OFFERED]:
            return "no call was placed"
        if (lateness_ms := self.lateness_ms()) > MAX_LATENESS_MS:
            return f"the load generator was late: it sent 1 % of the calls over {lateness_ms:.0f} ms late"
        return ""

    def figures(self, seconds: float) -> dict[str, Any]:
        """Return the figures of a load that lasted `seconds`, by the keys of the result file."""
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
