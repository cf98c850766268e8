"""One decision for each request that is no retransmission: admit it, or shed it with a Retry-After.

The order in which requests give way while the processor is overloaded: what belongs to dialogs is always
admitted, then calls by their class's priority weight. Nobody is shed while there is capacity. It is given
names and numbers, never a message. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from stairhatch.admission.feedback import CallerFeedback, FeedbackAlgorithm, FeedbackPolicy, OverloadFeedback
from stairhatch.admission.overload_detector import OverloadDetector, OverloadDetectorPolicy, OverloadLevel
from stairhatch.admission.rate_limits import RateLimitPolicy, SourceRateLimiter

WEIGHT_MIX_DECAY = 0.995  # of the mix, for each call: a few hundred calls determine it
MAX_RETRY_AFTER_S = 60.0
ROUND_UP = 0.999  # Retry-After is in whole seconds (RFC 3261, 20.33)


class AdmissionOutcome(Enum):
    """What becomes of a request; the values of the two that shed it are counters."""

    ADMITTED = "serve"
    SHED_SOURCE = "shed_source"  # its source sends more than its rate limit
    SHED_LOAD = "shed_load"  # the processor is overloaded


class RequestKind(Enum):
    """What a request is to the softswitch."""

    IN_DIALOG = "within"  # of an established dialog or transaction: ACK, BYE, CANCEL, PRACK, a refresh
    NEW_CALL = "call"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class AdmissionPolicy:
    """The limits and thresholds of admission control."""

    overload: OverloadDetectorPolicy = field(default_factory=OverloadDetectorPolicy)
    rate_limit: RateLimitPolicy = field(default_factory=RateLimitPolicy)
    feedback: FeedbackPolicy = field(default_factory=FeedbackPolicy)
    retry_after_range_s: tuple[int, int] = (1, 4)  # Retry-After is spread: callers don't return at once


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """What becomes of a request, and after how long a shed one may come back."""

    outcome: AdmissionOutcome
    retry_after_s: int = 0


ADMITTED = AdmissionDecision(AdmissionOutcome.ADMITTED)


def shed_fractions_by_weight(weight_mix: Mapping[float, float], shed_fraction: float) -> dict[float, float]:
    """For each weight the fraction of its calls to shed, least weight first, `shed_fraction` of all in sum.

    `weight_mix` has the fraction of all calls that each weight has; their sum counts as all.
    """
    total = sum(weight_mix.values())
    to_shed = shed_fraction * total
    fractions = {}
    for weight in sorted(weight_mix):
        part = weight_mix[weight]
        fractions[weight] = min(1.0, to_shed / part) if part > 0 else float(to_shed > 0)
        to_shed = max(0.0, to_shed - part)
    return fractions


@dataclass(eq=False, slots=True)
class AdmissionControl:
    """The overload detector, the rate limits and the feedback as one."""

    draw_fraction: Callable[[], float]  # draws a number from 0 to 1 at random
    policy: AdmissionPolicy = field(default_factory=AdmissionPolicy)
    overload: OverloadDetector = field(init=False)
    rate_limiter: SourceRateLimiter = field(init=False)
    feedback: OverloadFeedback = field(init=False)
    weight_mix: dict[float, float] = field(default_factory=dict)  # weight -> its fraction of recent calls
    _fractions: dict[float, float] = field(default_factory=dict)  # weight -> what of it is shed
    _fractions_for: float = -1.0  # the shed fraction that these were computed for

    def __post_init__(self) -> None:
        """Build the parts from the policy."""
        self.overload = OverloadDetector(self.policy.overload)
        self.rate_limiter = SourceRateLimiter(self.policy.rate_limit)
        self.feedback = OverloadFeedback(self.policy.feedback)

    def admit(self, kind: RequestKind, source: str, weight: float, now: float) -> AdmissionDecision:
        """Decide on a request of a source; `weight` is the priority weight of a new call's class."""
        match kind:
            case RequestKind.IN_DIALOG:
                return ADMITTED
            case RequestKind.NEW_CALL:
                return self._admit_call(source, weight, now)
            case RequestKind.OTHER:
                saturated = self.overload.current_shed_fraction(now) >= 1.0
                return self._shed(AdmissionOutcome.SHED_LOAD) if saturated else ADMITTED

    def shed_fraction_for(self, weight: float, shed_fraction: float) -> float:
        """The fraction to shed of calls of a weight while so much of all calls is shed."""
        if shed_fraction != self._fractions_for or weight not in self._fractions:
            self._fractions = shed_fractions_by_weight(self.weight_mix, shed_fraction)
            self._fractions_for = shed_fraction
        return self._fractions[weight]

    def track_feedback_caller(self, source: str, algorithm: FeedbackAlgorithm, now: float) -> CallerFeedback:
        """A new request of a caller that knows overload control."""
        shed_fraction = self.overload.current_shed_fraction(now)
        return self.feedback.count_request(source, algorithm, shed_fraction, now)

    def _admit_call(self, source: str, weight: float, now: float) -> AdmissionDecision:
        """A new call: first what its source may send, then its weight."""
        shed_fraction = self.overload.current_shed_fraction(now)
        self._count_weight(weight)
        raised = self.overload.level is not OverloadLevel.NORMAL
        limited = raised or self.feedback.is_non_compliant(source)
        wait_s = self.rate_limiter.take(source, now, limited)
        if wait_s > 0.0:
            return self._shed(AdmissionOutcome.SHED_SOURCE, wait_s)
        served = shed_fraction <= 0.0 or (
            self.draw_fraction() >= self.shed_fraction_for(weight, shed_fraction)
        )
        self.overload.count_call(served)
        return ADMITTED if served else self._shed(AdmissionOutcome.SHED_LOAD)

    def _count_weight(self, weight: float) -> None:
        """Take a call into the mix of weights."""
        for each in self.weight_mix:
            self.weight_mix[each] *= WEIGHT_MIX_DECAY
        self.weight_mix[weight] = self.weight_mix.get(weight, 0.0) + (1.0 - WEIGHT_MIX_DECAY)

    def _shed(self, outcome: AdmissionOutcome, wait_s: float = 0.0) -> AdmissionDecision:
        """Shed a request; it may come back after `wait_s` at the earliest, spread at random."""
        shortest, longest = self.policy.retry_after_range_s
        least_s = min(MAX_RETRY_AFTER_S, max(wait_s, shortest))
        spread_s = self.draw_fraction() * (longest - shortest)
        return AdmissionDecision(outcome, int(least_s + spread_s + ROUND_UP))
