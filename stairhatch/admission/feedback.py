"""Feedback to callers that support SIP overload control: RFC 7339 (loss) and RFC 7415 (rate).

Holds each such caller's rate, the values of the Via parameters with their sequence and validity, and which
callers don't comply with their feedback. It is given the fraction that is shed and the time, and never
sees a message. Times are seconds, rates are new requests a second.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

MAX_TRACKED_CALLERS = 4096
COUNT_WINDOW_S = 1.0
RATE_SMOOTHING = 0.5  # weight of a window in a caller's rate
SEQUENCE_STEP = 0.001  # `oc-seq` has three decimals


class FeedbackAlgorithm(Enum):
    """What an `oc` value means; the values are the tokens of `oc-algo`."""

    LOSS = "loss"  # per cent of its requests that a caller is not to send
    RATE = "rate"  # requests a second that it may send


@dataclass(frozen=True, slots=True)
class FeedbackPolicy:
    """The parameters of the feedback, and when a caller counts as non-compliant."""

    validity_s: float = 1.0  # how long a value is valid; sent again in every answer
    min_rate: float = 1.0  # no caller is asked to stop altogether (RFC 7415, 3.4)
    violation_s: float = 5.0  # a caller that sends too much for so long is non-compliant
    tolerance: float = 1.5  # times what it may send
    compliance_s: float = 30.0  # after so long without excess it is compliant again


def algorithm_for(oc_algo: str) -> FeedbackAlgorithm | None:
    """The algorithm for a caller's `oc-algo`, loss where it knows both (RFC 7339, 5.2); None for others."""
    names = [name.strip().lower() for name in oc_algo.strip('"').split(",")]
    if not oc_algo or "loss" in names:
        return FeedbackAlgorithm.LOSS
    return FeedbackAlgorithm.RATE if "rate" in names else None


@dataclass(eq=False, slots=True)
class CallerFeedback:
    """A caller that knows overload control, and how it complies."""

    algorithm: FeedbackAlgorithm
    throttled_since: float  # since when it is asked to send less; 0: it is not
    window_started_at: float
    count: int = 0  # requests in the window
    rate: float = 0.0  # smoothed
    unthrottled_rate: float = 0.0  # the same before it was asked to send less
    excess_since: float = 0.0
    is_non_compliant: bool = False
    last_excess_at: float = 0.0


@dataclass(eq=False, slots=True)
class OverloadFeedback:
    """All callers that know overload control."""

    policy: FeedbackPolicy = field(default_factory=FeedbackPolicy)
    callers: OrderedDict[str, CallerFeedback] = field(default_factory=OrderedDict)
    non_compliant_count: int = 0  # how often a caller was found to be so
    _last_sequence: float = 0.0

    def count_request(
        self, source: str, algorithm: FeedbackAlgorithm, shed_fraction: float, now: float
    ) -> CallerFeedback:
        """A new request of such a caller came while so much was shed."""
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
        """Whether a caller was found not to comply with the feedback."""
        caller = self.callers.get(source)
        return caller is not None and caller.is_non_compliant

    def oc_value(self, caller: CallerFeedback, shed_fraction: float) -> int:
        """The `oc` value for a caller now."""
        if caller.algorithm is FeedbackAlgorithm.LOSS:
            return min(100, max(0, round(100 * shed_fraction)))
        rate = max(caller.unthrottled_rate, caller.rate, self.policy.min_rate) * (1.0 - shed_fraction)
        return max(1, int(rate * self.policy.tolerance if shed_fraction <= 0.0 else rate))

    def via_parameters(self, caller: CallerFeedback, shed_fraction: float, now: float) -> str:
        """The Via parameters of an answer (RFC 7339, 4 and 5).

        The sequence never goes back, also where the clock does.
        """
        self._last_sequence = max(now, self._last_sequence + SEQUENCE_STEP)
        validity_ms = int(1000 * self.policy.validity_s) if shed_fraction > 0.0 else 0
        return (
            f';oc={self.oc_value(caller, shed_fraction)};oc-algo="{caller.algorithm.value}"'
            f";oc-validity={validity_ms};oc-seq={self._last_sequence:.3f}"
        )

    def _end_window(self, caller: CallerFeedback, shed_fraction: float, now: float) -> None:
        """Hold what was sent in the window against what might have been."""
        rate = caller.count / (now - caller.window_started_at)
        first = caller.rate == 0.0
        caller.rate = rate if first else (1 - RATE_SMOOTHING) * caller.rate + RATE_SMOOTHING * rate
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
        """Check whether the caller sends more than the feedback allows, and since when."""
        policy = self.policy
        allowed = max(policy.min_rate, caller.unthrottled_rate * (1.0 - shed_fraction)) * policy.tolerance
        was_told = caller.throttled_since and now - caller.throttled_since > policy.validity_s
        if was_told and rate > allowed:
            caller.excess_since = caller.excess_since or now
            if now - caller.excess_since >= policy.violation_s and not caller.is_non_compliant:
                caller.is_non_compliant = True
                self.non_compliant_count += 1
            caller.last_excess_at = now
            return
        caller.excess_since = 0.0
        if caller.is_non_compliant and now - caller.last_excess_at >= policy.compliance_s:
            caller.is_non_compliant = False
