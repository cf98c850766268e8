"""Feedback to callers that support SIP overload control: RFC 7339 (loss) and RFC 7415 (rate).

The module holds the rate of each such caller, the values of the Via parameters with their sequence and
validity, and the callers that do not comply with their feedback. Its inputs are the shed fraction and the
time, never a message. Times are seconds, rates are new requests per second.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

MAX_TRACKED_CALLERS = 4096
COUNT_WINDOW_S = 1.0
RATE_SMOOTHING = 0.5  # weight of a new window in the smoothed rate of a caller
SEQUENCE_STEP = 0.001  # the last digit of `oc-seq`, which has three decimals


class FeedbackAlgorithm(Enum):
    """Meaning of an `oc` value; the enum's values are the tokens of `oc-algo`."""

    LOSS = "loss"  # percentage of its requests that a caller must not send
    RATE = "rate"  # requests per second that a caller may send


@dataclass(frozen=True, slots=True)
class FeedbackPolicy:
    """Parameters of the feedback and of the check for non-compliant callers."""

    validity_s: float = 1.0  # validity of an `oc` value; every response carries a new one
    min_rate: float = 1.0  # no caller is throttled to zero (RFC 7415, 3.4)
    violation_s: float = 5.0  # a caller that exceeds its rate for this long is non-compliant
    tolerance: float = 1.5  # multiple of the allowed rate that is not yet an excess
    compliance_s: float = 30.0  # a caller without an excess for this long is compliant again


def algorithm_for(oc_algo: str) -> FeedbackAlgorithm | None:
    """Return the algorithm for a caller's `oc-algo`; None if it names neither loss nor rate.

    The algorithm is loss if the caller names both or has an empty `oc-algo` (RFC 7339, 5.2).
    """
    names = [name.strip().lower() for name in oc_algo.strip('"').split(",")]
    if not oc_algo or "loss" in names:
        return FeedbackAlgorithm.LOSS
    return FeedbackAlgorithm.RATE if "rate" in names else None


@dataclass(eq=False, slots=True)
class CallerFeedback:
    """State of a caller that supports overload control: its rates and its compliance."""

    algorithm: FeedbackAlgorithm
    throttled_since: float  # time at which throttling by the feedback began; 0: not throttled
    window_started_at: float
    count: int = 0  # requests in the current window
    rate: float = 0.0  # smoothed, in requests per second
    unthrottled_rate: float = 0.0  # smoothed rate before the caller was throttled
    excess_since: float = 0.0
    is_non_compliant: bool = False
    last_excess_at: float = 0.0


@dataclass(eq=False, slots=True)
class OverloadFeedback:
    """Feedback for all callers that support overload control, the least recently active first."""

    policy: FeedbackPolicy = field(default_factory=FeedbackPolicy)
    callers: OrderedDict[str, CallerFeedback] = field(default_factory=OrderedDict)
    non_compliant_count: int = 0  # how often a caller became non-compliant
    _last_sequence: float = 0.0

    def count_request(
        self, source: str, algorithm: FeedbackAlgorithm, shed_fraction: float, now: float
    ) -> CallerFeedback:
        """Count a caller's new request, at the present shed fraction; return the caller's state."""
        caller = self.callers.get(source)
        if caller is None:
            caller = self.callers[source] = CallerFeedback(algorithm, 0.0, now)
            while len(self.callers) > MAX_TRACKED_CALLERS:
                self.callers.popitem(last=False)
        else:
            self.callers.move_to_end(source)
        caller.algorithm = algorithm
        if now - caller.window_started_at >= COUNT_WINDOW_S:
            self._end_window(caller, shed_fraction, now)
        caller.count += 1
        return caller

    def is_non_compliant(self, source: str) -> bool:
        """Return whether a caller does not comply with its feedback; False for an unknown caller."""
        caller = self.callers.get(source)
        return caller is not None and caller.is_non_compliant

    def oc_value(self, caller: CallerFeedback, shed_fraction: float) -> int:
        """Return the `oc` value for a caller: 0 to 100 per cent for loss, at least 1 per second for rate."""
        if caller.algorithm is FeedbackAlgorithm.LOSS:
            return min(100, max(0, round(100 * shed_fraction)))
        rate = max(caller.unthrottled_rate, caller.rate, self.policy.min_rate) * (1.0 - shed_fraction)
        return max(1, int(rate * self.policy.tolerance if shed_fraction <= 0.0 else rate))

    def via_parameters(self, caller: CallerFeedback, shed_fraction: float, now: float) -> str:
        """Return the Via parameters of a response (RFC 7339, 4 and 5).

        The sequence always increases, even if the clock steps back.
        """
        self._last_sequence = max(now, self._last_sequence + SEQUENCE_STEP)
        validity_ms = int(1000 * self.policy.validity_s) if shed_fraction > 0.0 else 0
        return (
            f';oc={self.oc_value(caller, shed_fraction)};oc-algo="{caller.algorithm.value}"'
            f";oc-validity={validity_ms};oc-seq={self._last_sequence:.3f}"
        )

    def _end_window(self, caller: CallerFeedback, shed_fraction: float, now: float) -> None:
        """End the caller's window: update its rates and check its compliance."""
        rate = caller.count / (now - caller.window_started_at)
        is_first_window = caller.rate == 0.0
        caller.rate = rate if is_first_window else (1 - RATE_SMOOTHING) * caller.rate + RATE_SMOOTHING * rate
        caller.window_started_at = now
        caller.count = 0
        if shed_fraction <= 0.0:
            caller.unthrottled_rate = caller.rate
            caller.throttled_since = 0.0
            caller.excess_since = 0.0
        elif caller.throttled_since == 0.0:
            caller.throttled_since = now
            caller.unthrottled_rate = max(caller.unthrottled_rate, caller.rate)
        self._check_compliance(caller, rate, shed_fraction, now)

    def _check_compliance(
        self, caller: CallerFeedback, rate: float, shed_fraction: float, now: float
    ) -> None:
        """Update the caller's compliance from its rate in the last window and the rate that is allowed."""
        policy = self.policy
        allowed = max(policy.min_rate, caller.unthrottled_rate * (1.0 - shed_fraction)) * policy.tolerance
        was_notified = caller.throttled_since and now - caller.throttled_since > policy.validity_s
        if was_notified and rate > allowed:
            caller.excess_since = caller.excess_since or now
            if now - caller.excess_since >= policy.violation_s and not caller.is_non_compliant:
                caller.is_non_compliant = True
                self.non_compliant_count += 1
            caller.last_excess_at = now
            return
        caller.excess_since = 0.0
        if caller.is_non_compliant and now - caller.last_excess_at >= policy.compliance_s:
            caller.is_non_compliant = False
