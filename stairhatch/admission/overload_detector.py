"""How overloaded the processor is: the level with its two thresholds, and the fraction of new calls to shed.

The measure is delay: how much later than asked a timer rang, and how long a datagram lay in its socket. It
rises as soon as work comes faster than it is done, whatever the work is, and needs no estimate of what a call
costs (RFC 6357, 5.1 names queueing delay as the most direct signal). The level has hysteresis: it is raised
above `onset_s` and lowered at `abatement_s`; between them it stays.

While the level is raised a rate of calls is held, not a fraction: it begins at what was served when the delay
rose, falls in proportion to the delay's excess and rises slowly below the target. A fraction that moved by
steps swung between shedding nothing and nearly all, since the same fraction of twice the load is twice the
work.

Delays are fed in by the event loop's owner. Times are seconds, rates are calls a second.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

LONG_AGO = -1e9
EARLY_STEP = 0.9  # delays come about a step apart; one so much of a step after the last begins a new one
MAX_STEP_S = 1.0  # the longest time that the calls of one step are spread over
DELAY_RISE_WEIGHT = 0.5  # of a new delay that is above the smoothed one
DELAY_FALL_WEIGHT = 0.25  # of one that is not
NEGLIGIBLE_FRACTION = 0.02  # the level may fall to NORMAL once less than this is shed
RATE_HEADROOM = 1.5  # of the served rate: the limit does not run away while few calls come


class OverloadLevel(IntEnum):
    """How overloaded the processor is."""

    NORMAL = 0
    OVERLOADED = 1  # a fraction of new calls is shed, those of the least weight first
    SATURATED = 2  # all new calls are shed; requests within dialogs are served


@dataclass(frozen=True, slots=True)
class OverloadDetectorPolicy:
    """The thresholds, in seconds of the loop's delay, and how the rate is adapted."""

    onset_s: float = 0.05
    abatement_s: float = 0.01
    target_s: float = 0.02
    saturation_s: float = 0.4  # a caller has sent again by then (T1 is 0.5 s)
    step_s: float = 0.05  # the rate is adapted once in this time
    max_decrease: float = 0.02  # of the rate, in a step whose delay exceeds the target by `onset_s` or more
    increase: float = 0.02  # of the rate, in a step below the target
    min_rate: float = 5.0  # always admitted, so that it is known when there is capacity
    smoothing: float = 0.2  # weight of a step in the rates
    max_shed_fraction: float = 0.98
    stale_s: float = 2.0  # with no delay observed for so long nothing is known, and nothing is shed


@dataclass(eq=False, slots=True)
class OverloadDetector:
    """The overload level, and the rate of new calls that is admitted, from the delays that it is fed."""

    policy: OverloadDetectorPolicy = field(default_factory=OverloadDetectorPolicy)
    level: OverloadLevel = OverloadLevel.NORMAL
    shed_fraction: float = 0.0  # while OVERLOADED
    rate_limit: float = 0.0  # calls a second that are admitted while the level is raised
    offered_rate: float = 0.0  # smoothed
    served_rate: float = 0.0  # smoothed
    delay_s: float = 0.0  # smoothed
    raised_at: float = 0.0
    level_changes: int = 0
    _observed_at: float = LONG_AGO
    _stepped_at: float = LONG_AGO
    _max_delay_s: float = 0.0  # in the step that runs
    _offered: int = 0  # calls in the step that runs
    _served: int = 0

    def count_call(self, served: bool) -> None:
        """A new call came, and was served or not."""
        self._offered += 1
        self._served += served

    def observe_delay(self, now: float, delay_s: float) -> OverloadLevel:
        """Take the event loop's delay, or how long a datagram waited, in seconds; return the level after it.

        The longest delay of each step is taken in, smoothed, and moves the level.
        """
        if now - self._observed_at > self.policy.stale_s:
            self.delay_s = delay_s
            self._max_delay_s = 0.0
        self._observed_at = now
        self._max_delay_s = max(self._max_delay_s, delay_s)
        if now - self._stepped_at >= EARLY_STEP * self.policy.step_s:
            self._end_step(now)
        return self.level

    def current_shed_fraction(self, now: float) -> float:
        """The fraction of new calls to shed now: all at SATURATED, none once the delay is stale."""
        if self.level is OverloadLevel.NORMAL or now - self._observed_at > self.policy.stale_s:
            return 0.0
        return 1.0 if self.level is OverloadLevel.SATURATED else self.shed_fraction

    def _end_step(self, now: float) -> None:
        """Smooth what the step brought, and adapt."""
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
        """Move the level, and the rate while it is raised."""
        before = self.level
        self.level = self._next_level()
        self.level_changes += before is not self.level
        if self.level is OverloadLevel.NORMAL:
            self.shed_fraction = 0.0
            return
        if before is OverloadLevel.NORMAL:
            self.raised_at = now
            self.rate_limit = self.served_rate
        self._adapt_rate()

    def _next_level(self) -> OverloadLevel:
        """The level after a step, by the smoothed delay."""
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
        """Lower the rate by the delay's excess over the target, or raise it; then what is to be shed."""
        policy = self.policy
        excess = (self.delay_s - policy.target_s) / policy.onset_s
        factor = 1.0 + policy.increase if excess <= 0 else 1.0 - policy.max_decrease * min(1.0, excess)
        ceiling = RATE_HEADROOM * self.served_rate + policy.min_rate
        self.rate_limit = max(policy.min_rate, min(self.rate_limit * factor, ceiling))
        wanted = 1.0 - self.rate_limit / self.offered_rate if self.offered_rate > 0 else 0.0
        self.shed_fraction = min(policy.max_shed_fraction, max(0.0, wanted))
