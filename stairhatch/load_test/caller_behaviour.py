"""Behaviour of callers after a response: retries, and throttling by overload control.

The module holds decisions and state only and takes the time as an argument; it places no call.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from stairhatch.load_test.arrivals import CallSource, ScheduledCall
from stairhatch.load_test.load_plan import CallerBehaviour

RETRY_AFTER_JITTER = 0.1  # obeying callers add up to this fraction of Retry-After
DEFAULT_VALIDITY_S = 0.5  # of a response without oc-validity (RFC 7339, 4.3)
MAX_TOKENS = 2.0  # token bucket size of a source under rate control
RATE_ALGORITHM = "rate"  # RFC 7415; any other algorithm is treated as "loss" (RFC 7339)


@dataclass(slots=True)
class CallInProgress:
    """State of a call over all attempts of its caller."""

    scheduled: ScheduledCall
    due_at: float  # due time of the first attempt
    attempt_count: int = 1
    is_over: bool = False  # the call is established, or its caller gave up

    def time_left_s(self, now: float) -> float:
        """Return for how many more seconds the caller retries; negative after its time limit."""
        return self.due_at + self.scheduled.load_class.time_limit_s - now


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryPolicy:
    """Retry policy of the callers of one source."""

    source: CallSource
    behaviour: CallerBehaviour
    rng: random.Random

    def delay_s(self, call: CallInProgress, now: float, retry_after_s: float | None) -> float | None:
        """Return the seconds until a rejected caller retries; None if it gives the call up.

        `retry_after_s` is the response's Retry-After, or None. A caller that does not obey Retry-After waits
        as if there were none. A caller gives up after `max_retries`, or if the retry would come after its
        time limit.
        """
        if call.is_over or call.attempt_count > self.behaviour.max_retries:
            return None
        mean_s = self.behaviour.mean_retry_delay_s
        delay_s = self.rng.expovariate(1 / mean_s) if mean_s > 0 else 0.0
        if retry_after_s is not None and self.source.obeys_retry_after:
            delay_s = retry_after_s + self.rng.random() * RETRY_AFTER_JITTER * retry_after_s
        return delay_s if delay_s < call.time_left_s(now) else None


@dataclass(frozen=True, slots=True, kw_only=True)
class OverloadParameters:
    """Overload control parameters of a response's topmost Via (RFC 7339, 4); None for a missing parameter."""

    value: float | None  # oc: percentage of calls to drop (loss), or calls a second to send (rate)
    algorithm: str  # oc-algo
    validity_s: float | None  # oc-validity, in seconds
    sequence: float | None  # oc-seq


@dataclass(slots=True)
class OverloadThrottle:
    """Throttle of a source by overload control (RFC 7339, 5; RFC 7415, 3). Times are in seconds."""

    source: CallSource
    withheld_count: int = 0  # new calls that were not sent
    _loss_fraction: float = 0.0  # fraction of new calls that are not sent, under loss control
    _rate: float | None = None  # calls a second that may be sent; None: loss control
    _valid_until: float = 0.0
    _sequence: float = -1.0  # oc-seq of the parameters in force
    _tokens: float = 1.0
    _refilled_at: float = 0.0

    def parameters_received(self, now: float, parameters: OverloadParameters) -> None:
        """Apply the overload control parameters of a response.

        Parameters are ignored if the source does not support overload control or if their oc-seq is not above
        the last one (RFC 7339, 5.5). A validity of 0 ends the control (RFC 7339, 4.3).
        """
        value, sequence = parameters.value, parameters.sequence
        if not self.source.offers_overload_control or value is None:
            return
        if sequence is not None:
            if sequence <= self._sequence:
                return
            self._sequence = sequence
        validity_s = DEFAULT_VALIDITY_S if parameters.validity_s is None else parameters.validity_s
        self._valid_until = now + validity_s
        if parameters.algorithm == RATE_ALGORITHM:
            self._limit_rate(now, max(0.0, value))
        else:
            self._loss_fraction = min(1.0, max(0.0, value / 100))
            self._rate = None

    def _limit_rate(self, now: float, rate: float) -> None:
        if self._rate is None:
            self._tokens = 1.0
            self._refilled_at = now
        self._loss_fraction = 0.0
        self._rate = rate

    def may_send(self, now: float, rng: random.Random) -> bool:
        """Return whether a new call may be sent now; always true if the source ignores overload control."""
        if self.source.ignores_overload_control or now >= self._valid_until:
            return True
        if self._rate is not None:
            if self._take_token(now, self._rate):
                return True
        elif rng.random() >= self._loss_fraction:
            return True
        self.withheld_count += 1
        return False

    def _take_token(self, now: float, rate: float) -> bool:
        self._tokens = min(MAX_TOKENS, self._tokens + rate * (now - self._refilled_at))
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
