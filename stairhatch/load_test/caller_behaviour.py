"""What a caller does after a response: whether and when it retries, and what it holds back.

Decisions and state alone, the clock passed in; no call is placed here.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from stairhatch.load_test.arrivals import CallSource, ScheduledCall
from stairhatch.load_test.load_plan import CallerBehaviour

RETRY_AFTER_JITTER = 0.1  # callers that obey come back within this fraction after the time named
DEFAULT_VALIDITY_S = 0.5  # where a response names none (RFC 7339, 4.3)
MAX_TOKENS = 2.0  # of a caller that is limited to a rate
RATE_ALGORITHM = "rate"  # RFC 7415; any other is taken for "loss" (RFC 7339)


@dataclass(slots=True)
class CallInProgress:
    """One call of a caller, over all its attempts."""

    scheduled: ScheduledCall
    due_at: float  # when the first attempt was due
    attempt_count: int = 1
    is_over: bool = False  # it is established, or has been given up

    def time_left_s(self, now: float) -> float:
        """Return how long the caller goes on trying."""
        return self.due_at + self.scheduled.load_class.time_limit_s - now


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryPolicy:
    """Whether and when a source's callers retry."""

    source: CallSource
    behaviour: CallerBehaviour
    rng: random.Random

    def delay_s(self, call: CallInProgress, now: float, retry_after_s: float | None) -> float | None:
        """Return how long a rejected caller waits before it retries; None: it has given the call up.

        `retry_after_s` is what the response named (Retry-After). Who does not obey waits as without.
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
    """Overload control in a response's topmost Via (RFC 7339, 4); None where a parameter is missing."""

    value: float | None  # oc: percent not to send, or calls a second to send
    algorithm: str  # oc-algo
    validity_s: float | None  # oc-validity
    sequence: float | None  # oc-seq


@dataclass(slots=True)
class OverloadThrottle:
    """What a source that knows overload control holds back (RFC 7339, 5; RFC 7415, 3)."""

    source: CallSource
    withheld_count: int = 0
    _loss_fraction: float = 0.0  # of new calls that are not sent
    _rate: float | None = None  # or calls a second that may be sent
    _valid_until: float = 0.0
    _sequence: float = -1.0
    _tokens: float = 1.0
    _refilled_at: float = 0.0

    def parameters_received(self, now: float, parameters: OverloadParameters) -> None:
        """Obey the parameters of a response.

        Those that are older than the last count for nothing (RFC 7339, 5.5), a validity of 0 ends the control
        (RFC 7339, 4.3).
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
        """Return whether a new call goes out now. A source that ignores overload control sends on."""
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
