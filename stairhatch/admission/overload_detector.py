"""Overload detector: the overload level of the processor, and the fraction of new calls to shed.

The input is delay: how late a timer fired, and how long a datagram waited in its socket. The delay rises as
soon as work arrives faster than it is done, whatever the work is. Its use needs no estimate of the cost of a
call (RFC 6357, 5.1 names queueing delay as the most direct signal). The level has hysteresis: a delay above
`onset_s` raises it, a delay of at most `abatement_s` lowers it, and between the two it does not change.

While the level is raised, the detector limits the rate of admitted calls. The limit starts at the served rate
at onset, decreases in proportion to the delay's excess over the target and increases slowly below the target.
A shed fraction that is adapted in steps instead oscillated between shedding nothing and nearly all, because
the same fraction of twice the load is twice the work.

The owner of the event loop reports the delays. Times are seconds, rates are calls per second.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

LONG_AGO_S = -1e9  # a time before any reading of the clock
MIN_STEP_FRACTION = 0.9  # of `step_s`, after which a delay ends a step: delays arrive about one step apart
MAX_STEP_S = 1.0  # limits the time over which the calls of a step are averaged
DELAY_RISE_WEIGHT = 0.5  # weight of a new delay above the smoothed delay
DELAY_FALL_WEIGHT = 0.25  # weight of a new delay at or below the smoothed delay
NEGLIGIBLE_FRACTION = 0.02  # the level may fall to NORMAL only if less than this is shed
RATE_HEADROOM = 1.5  # times the served rate: bounds the limit while few calls arrive


class OverloadLevel(IntEnum):
    """Overload level of the processor."""

    NORMAL = 0
    OVERLOADED = 1  # a fraction of new calls is shed, those of the least weight first
    SATURATED = 2  # all new calls are shed; requests within dialogs are served


@dataclass(frozen=True, slots=True)
class OverloadDetectorPolicy:
    """The thresholds of the event loop's delay, in seconds, and the parameters of the rate adaptation."""

    onset_s: float = 0.05
    abatement_s: float = 0.01
    target_s: float = 0.02
    saturation_s: float = 0.4  # a caller has retransmitted by the time of the answer (T1 is 0.5 s)
    step_s: float = 0.05  # interval between adaptations of the rate
    max_decrease: float = 0.02  # of the rate, in a step whose delay exceeds the target by `onset_s` or more
    increase: float = 0.02  # of the rate, in a step at or below the target
    min_rate: float = 5.0  # always admitted, so that free capacity is detected
    smoothing: float = 0.2  # weight of a new step in the smoothed rates
    max_shed_fraction: float = 0.98
    stale_s: float = 2.0  # without an observed delay for this long, nothing is shed


@dataclass(eq=False, slots=True)
class OverloadDetector:
    """Detector of the overload level, and of the rate of new calls to admit, from observed delays."""

    policy: OverloadDetectorPolicy = field(default_factory=OverloadDetectorPolicy)
    level: OverloadLevel = OverloadLevel.NORMAL
    shed_fraction: float = 0.0  # fraction of new calls to shed while OVERLOADED
    rate_limit: float = 0.0  # calls per second to admit while the level is raised
    offered_rate: float = 0.0  # smoothed, in calls per second
    served_rate: float = 0.0  # smoothed, in calls per second
    delay_s: float = 0.0  # smoothed maximum delay of the steps
    raised_at: float = 0.0
    level_changes: int = 0
    _observed_at: float = LONG_AGO_S
    _stepped_at: float = LONG_AGO_S
    _max_delay_s: float = 0.0  # maximum delay in the current step
    _offered: int = 0  # calls in the current step
    _served: int = 0  # admitted calls in the current step

    def count_call(self, served: bool) -> None:
        """Count a new call that was admitted (`served`) or shed."""
        self._offered += 1
        self._served += served

    def observe_delay(self, now: float, delay_s: float) -> OverloadLevel:
        """Record a delay of the event loop or of a waiting datagram, in seconds; return the resulting level.

        The longest delay of each step enters the smoothed delay, which determines the level.
        """
        if now - self._observed_at > self.policy.stale_s:
            self.delay_s = delay_s
            self._max_delay_s = 0.0
        self._observed_at = now
        self._max_delay_s = max(self._max_delay_s, delay_s)
        if now - self._stepped_at >= MIN_STEP_FRACTION * self.policy.step_s:
            self._end_step(now)
        return self.level

    def current_shed_fraction(self, now: float) -> float:
        """Return the fraction of new calls to shed: 1.0 at SATURATED, 0.0 at NORMAL or with stale delays."""
        if self.level is OverloadLevel.NORMAL or now - self._observed_at > self.policy.stale_s:
            return 0.0
        return 1.0 if self.level is OverloadLevel.SATURATED else self.shed_fraction

    def _end_step(self, now: float) -> None:
        """End the step: update the smoothed delay and rates, then adapt the level and the limit."""
        elapsed_s = min(MAX_STEP_S, now - self._stepped_at)
        weight = DELAY_RISE_WEIGHT if self._max_delay_s > self.delay_s else DELAY_FALL_WEIGHT
        smoothing = self.policy.smoothing
        self.delay_s += (self._max_delay_s - self.delay_s) * weight
        self.offered_rate += (self._offered / elapsed_s - self.offered_rate) * smoothing
        self.served_rate += (self._served / elapsed_s - self.served_rate) * smoothing
        self._stepped_at = now
        self._max_delay_s = 0.0
        self._offered = 0
        self._served = 0
        self._adapt(now)

    def _adapt(self, now: float) -> None:
        """Update the level; while it is raised, adapt the rate limit too."""
        previous_level = self.level
        self.level = self._next_level()
        self.level_changes += previous_level is not self.level
        if self.level is OverloadLevel.NORMAL:
            self.shed_fraction = 0.0
            return
        if previous_level is OverloadLevel.NORMAL:
            self.raised_at = now
            self.rate_limit = self.served_rate
        self._adapt_rate()

    def _next_level(self) -> OverloadLevel:
        """Return the level after a step, from the smoothed delay."""
        policy, level = self.policy, self.level
        if self.delay_s >= policy.saturation_s:
            return OverloadLevel.SATURATED
        match level:
            case OverloadLevel.SATURATED if self.delay_s < policy.onset_s:
                return OverloadLevel.OVERLOADED
            case OverloadLevel.NORMAL if self.delay_s > policy.onset_s:
                return OverloadLevel.OVERLOADED
            case OverloadLevel.OVERLOADED if self.delay_s <= policy.abatement_s:
                return OverloadLevel.NORMAL if self.shed_fraction < NEGLIGIBLE_FRACTION else level
        return level

    def _adapt_rate(self) -> None:
        """Decrease the rate limit by the delay's excess, or increase it; then set the shed fraction."""
        policy = self.policy
        excess = (self.delay_s - policy.target_s) / policy.onset_s
        factor = 1.0 + policy.increase if excess <= 0 else 1.0 - policy.max_decrease * min(1.0, excess)
        ceiling = RATE_HEADROOM * self.served_rate + policy.min_rate
        self.rate_limit = max(policy.min_rate, min(self.rate_limit * factor, ceiling))
        required_fraction = 1.0 - self.rate_limit / self.offered_rate if self.offered_rate > 0 else 0.0
        self.shed_fraction = min(policy.max_shed_fraction, max(0.0, required_fraction))
