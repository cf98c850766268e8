"""Admission decision for each request that is not a retransmission: admit it, or shed it with a Retry-After.

While the processor is overloaded, requests within dialogs are always admitted, and new calls are shed by the
priority weight of their class, the least weight first. Nothing is shed while there is capacity. The module's
arguments are names and numbers, never messages. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from stairhatch.admission.feedback import CallerFeedback, FeedbackAlgorithm, FeedbackPolicy, OverloadFeedback
from stairhatch.admission.overload_detector import OverloadDetector, OverloadDetectorPolicy, OverloadLevel
from stairhatch.admission.rate_limits import RateLimitPolicy, SourceRateLimiter

WEIGHT_MIX_DECAY = 0.995  # of the mix per call, so that a few hundred calls determine the mix
MAX_RETRY_AFTER_S = 60.0
ROUND_UP_S = 0.999  # added before truncation: Retry-After is in whole seconds (RFC 3261, 20.33)


class AdmissionOutcome(Enum):
    """Outcome of a request; the values of SHED_SOURCE and SHED_LOAD are names of counters."""

    ADMITTED = "serve"
    SHED_SOURCE = "shed_source"  # the source sends more than its rate limit
    SHED_LOAD = "shed_load"  # the processor is overloaded


class RequestKind(Enum):
    """Kind of a request, as far as admission depends on it."""

    IN_DIALOG = "within"  # in an established dialog or transaction: ACK, BYE, CANCEL, PRACK, session refresh
    NEW_CALL = "call"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class AdmissionPolicy:
    """The limits and thresholds of admission control."""

    overload: OverloadDetectorPolicy = field(default_factory=OverloadDetectorPolicy)
    rate_limit: RateLimitPolicy = field(default_factory=RateLimitPolicy)
    feedback: FeedbackPolicy = field(default_factory=FeedbackPolicy)
    retry_after_range_s: tuple[int, int] = (1, 4)  # random, so that shed callers don't all retry at once


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Outcome of a request, and the Retry-After of a shed one in whole seconds."""

    outcome: AdmissionOutcome
    retry_after_s: int = 0


ADMITTED = AdmissionDecision(AdmissionOutcome.ADMITTED)


def shed_fractions_by_weight(weight_mix: Mapping[float, float], shed_fraction: float) -> dict[float, float]:
    """Return each weight's fraction of calls to shed, so that `shed_fraction` of all calls are shed.

    Calls of the least weight are shed first. `weight_mix` maps each weight to its fraction of the calls; the
    sum of these fractions counts as all calls, so it need not be 1.
    """
    total = sum(weight_mix.values())
    to_shed = shed_fraction * total
    fractions = {}
    for weight in sorted(weight_mix):
        mix_fraction = weight_mix[weight]
        fractions[weight] = min(1.0, to_shed / mix_fraction) if mix_fraction > 0 else float(to_shed > 0)
        to_shed = max(0.0, to_shed - mix_fraction)
    return fractions


@dataclass(eq=False, slots=True)
class AdmissionControl:
    """Admission decisions from the overload detector, the rate limits and the caller feedback."""

    draw_fraction: Callable[[], float]  # returns a random number from 0 to 1
    policy: AdmissionPolicy = field(default_factory=AdmissionPolicy)
    overload: OverloadDetector = field(init=False)
    rate_limiter: SourceRateLimiter = field(init=False)
    feedback: OverloadFeedback = field(init=False)
    weight_mix: dict[float, float] = field(default_factory=dict)  # weight -> its fraction of recent calls
    _fractions: dict[float, float] = field(default_factory=dict)  # weight -> fraction of its calls to shed
    _fractions_for: float = -1.0  # total shed fraction from which `_fractions` was computed

    def __post_init__(self) -> None:
        """Create the detector, the rate limiter and the feedback from the policy."""
        self.overload = OverloadDetector(self.policy.overload)
        self.rate_limiter = SourceRateLimiter(self.policy.rate_limit)
        self.feedback = OverloadFeedback(self.policy.feedback)

    def admit(self, kind: RequestKind, source: str, weight: float, now: float) -> AdmissionDecision:
        """Return the decision on a request; `weight` is the priority weight of a new call's class."""
        match kind:
            case RequestKind.IN_DIALOG:
                return ADMITTED
            case RequestKind.NEW_CALL:
                return self._admit_call(source, weight, now)
            case RequestKind.OTHER:
                saturated = self.overload.current_shed_fraction(now) >= 1.0
                return self._shed(AdmissionOutcome.SHED_LOAD) if saturated else ADMITTED

    def shed_fraction_for(self, weight: float, shed_fraction: float) -> float:
        """Return the fraction to shed of calls of a weight while `shed_fraction` of all calls is shed.

        Raises KeyError for a weight of which no call was counted yet.
        """
        if shed_fraction != self._fractions_for or weight not in self._fractions:
            self._fractions = shed_fractions_by_weight(self.weight_mix, shed_fraction)
            self._fractions_for = shed_fraction
        return self._fractions[weight]

    def track_feedback_caller(self, source: str, algorithm: FeedbackAlgorithm, now: float) -> CallerFeedback:
        """Count a request of a caller that supports overload control; return the caller's feedback state."""
        shed_fraction = self.overload.current_shed_fraction(now)
        return self.feedback.count_request(source, algorithm, shed_fraction, now)

    def _admit_call(self, source: str, weight: float, now: float) -> AdmissionDecision:
        """Return the decision on a new call: first by the source's rate limit, then by the call's weight."""
        shed_fraction = self.overload.current_shed_fraction(now)
        self._count_weight(weight)
        is_overloaded = self.overload.level is not OverloadLevel.NORMAL
        limited = is_overloaded or self.feedback.is_non_compliant(source)
        wait_s = self.rate_limiter.take(source, now, limited)
        if wait_s > 0.0:
            return self._shed(AdmissionOutcome.SHED_SOURCE, wait_s)
        admitted = shed_fraction <= 0.0 or (
            self.draw_fraction() >= self.shed_fraction_for(weight, shed_fraction)
        )
        self.overload.count_call(admitted)
        return ADMITTED if admitted else self._shed(AdmissionOutcome.SHED_LOAD)

    def _count_weight(self, weight: float) -> None:
        """Add a call to the mix of weights."""
        for each in self.weight_mix:
            self.weight_mix[each] *= WEIGHT_MIX_DECAY
        self.weight_mix[weight] = self.weight_mix.get(weight, 0.0) + (1.0 - WEIGHT_MIX_DECAY)

    def _shed(self, outcome: AdmissionOutcome, wait_s: float = 0.0) -> AdmissionDecision:
        """Return a decision to shed; its Retry-After is `wait_s` or more, capped and spread at random."""
        shortest, longest = self.policy.retry_after_range_s
        least_s = min(MAX_RETRY_AFTER_S, max(wait_s, shortest))
        spread_s = self.draw_fraction() * (longest - shortest)
        return AdmissionDecision(outcome, int(least_s + spread_s + ROUND_UP_S))
