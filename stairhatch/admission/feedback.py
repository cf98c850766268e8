"""What callers that know overload control are told: owns the figures of RFC 7339 (loss) and RFC 7415 (rate),
their sequence and validity, and the notice of callers that are told and don't obey. Decisions and state
alone: it is given the share that is shed and the time, and must never see a message.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

MOST_TOLD = 4096  # callers whose obedience is followed


class Algorithm(Enum):
    """What a figure means."""

    LOSS = "loss"  # per cent of its requests that a caller is not to send
    RATE = "rate"  # requests a second that it may send


@dataclass(frozen=True, slots=True)
class FeedbackPolicy:
    """How callers are told."""

    validity_s: float = 1.0  # a figure holds so long; told anew in every answer
    least_rate: float = 1.0  # nobody is told to stop altogether (RFC 7415, 3.4)
    patience_s: float = 5.0  # a caller told for so long that still sends too much ignores it
    slack: float = 1.5  # times what it may send
    forgiven_s: float = 30.0  # after so long without excess it is believed again


def algorithm_for(asked: str) -> Algorithm | None:
    """The algorithm for a caller's `oc-algo`, loss where it knows both (RFC 7339, 5.2); None for others."""
    names = [name.strip().lower() for name in asked.strip('"').split(",")]
    if not asked or "loss" in names:
        return Algorithm.LOSS
    return Algorithm.RATE if "rate" in names else None


@dataclass(eq=False, slots=True)
class Told:
    """A caller that knows overload control, and how it takes it."""

    algorithm: Algorithm
    since: float  # how long it has been told to hold back; 0: it is not
    window: float  # begin of the second that is counted
    count: int = 0
    rate: float = 0.0  # of its new requests a second, smoothed
    usual: float = 0.0  # the same before it was told to hold back
    excess_since: float = 0.0
    ignores: bool = False
    ignored_at: float = 0.0


@dataclass(eq=False, slots=True)
class Feedback:
    """All callers that know overload control."""

    policy: FeedbackPolicy = field(default_factory=FeedbackPolicy)
    callers: OrderedDict[str, Told] = field(default_factory=OrderedDict)
    ignoring: int = 0  # how often one was found to ignore it
    _last: float = 0.0

    def came(self, source: str, algorithm: Algorithm, share: float, now: float) -> Told:
        """A new request of such a caller came while so much was to be held back."""
        told = self.callers.get(source)
        if told is None:
            told = self.callers[source] = Told(algorithm, 0.0, now)
            while len(self.callers) > MOST_TOLD:
                self.callers.popitem(last=False)
        else:
            self.callers.move_to_end(source)
        told.algorithm = algorithm
        if now - told.window >= 1.0:
            self._count_window(told, share, now)
        told.count += 1
        return told

    def _count_window(self, told: Told, share: float, now: float) -> None:
        """A second is over: what was sent in it against what might have been."""
        policy, passed = self.policy, now - told.window
        rate = told.count / passed
        told.rate = rate if told.rate == 0.0 else 0.5 * told.rate + 0.5 * rate
        told.window, told.count = now, 0
        if share <= 0.0:
            told.usual, told.since, told.excess_since = told.rate, 0.0, 0.0
        elif told.since == 0.0:
            told.since, told.usual = now, max(told.usual, told.rate)
        allowed = max(policy.least_rate, told.usual * (1.0 - share)) * policy.slack
        if told.since and now - told.since > policy.validity_s and rate > allowed:
            told.excess_since = told.excess_since or now
            if now - told.excess_since >= policy.patience_s and not told.ignores:
                told.ignores = True
                self.ignoring += 1
            told.ignored_at = now
        else:
            told.excess_since = 0.0
            if told.ignores and now - told.ignored_at >= policy.forgiven_s:
                told.ignores = False

    def figure(self, told: Told, share: float) -> int:
        """The `oc` value for a caller now."""
        if told.algorithm is Algorithm.LOSS:
            return min(100, max(0, round(100 * share)))
        usual = max(told.usual, told.rate, self.policy.least_rate)
        return max(
            1, int(usual * (1.0 - share) * self.policy.slack if share <= 0.0 else usual * (1.0 - share))
        )

    def parameters(self, told: Told, share: float, now: float) -> str:
        """The Via parameters of an answer (RFC 7339, 4 and 5). The sequence never goes back, also where the
        clock does.
        """
        self._last = max(now, self._last + 0.001)
        validity = int(1000 * self.policy.validity_s) if share > 0.0 else 0
        return (
            f';oc={self.figure(told, share)};oc-algo="{told.algorithm.value}"'
            f";oc-validity={validity};oc-seq={self._last:.3f}"
        )

    def ignores(self, source: str) -> bool:
        """Whether a caller was found to ignore what it is told."""
        told = self.callers.get(source)
        return told is not None and told.ignores
