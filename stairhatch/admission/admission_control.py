"""One verdict for each request that is no copy: owns the order in which requests give way when the program
itself runs short. What belongs to dialogs goes first, then calls by their worth; nobody is shed while there
is room. It is given names and numbers, never a message, and must never decide for the roster servers' sake.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from stairhatch.admission.feedback import Algorithm, Feedback, FeedbackPolicy, Told
from stairhatch.admission.overload_detector import Budget, BudgetPolicy, Level
from stairhatch.admission.rate_limits import BucketPolicy, Buckets


class Verdict(Enum):
    """What becomes of a request."""

    SERVE = "serve"
    SHED_SOURCE = "shed_source"  # its source sends more than its share
    SHED_LOAD = "shed_load"  # the processor is short


class Kind(Enum):
    """What a request is to us."""

    WITHIN = "within"  # of a dialog or transaction that stands: ACK, BYE, CANCEL, PRACK, refresh
    CALL = "call"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class GatePolicy:
    """All figures of admission."""

    budget: BudgetPolicy = field(default_factory=BudgetPolicy)
    buckets: BucketPolicy = field(default_factory=BucketPolicy)
    feedback: FeedbackPolicy = field(default_factory=FeedbackPolicy)
    return_s: tuple[int, int] = (1, 4)  # Retry-After is spread over these, so that they don't return at once


def shed_by_worth(mix: Mapping[float, float], share: float) -> dict[float, float]:
    """For each worth the share of its calls to shed, so that `share` of all goes and the least worth first.

    `mix` tells what share of all calls has each worth; what it sums up to counts as the whole.
    """
    whole = sum(mix.values())
    left = share * whole
    found = {}
    for worth in sorted(mix):
        part = mix[worth]
        found[worth] = min(1.0, left / part) if part > 0 else float(left > 0)
        left = max(0.0, left - part)
    return found


@dataclass(frozen=True, slots=True)
class Judged:
    """A verdict and when to return."""

    verdict: Verdict
    return_s: int = 0


SERVED = Judged(Verdict.SERVE)
MIX_KEPT = 0.995  # of the mix for each call; a few hundred calls tell it


@dataclass(eq=False, slots=True)
class Gate:
    """Budget, buckets and feedback as one."""

    part: Callable[[], float]  # draws a part of one at random
    policy: GatePolicy = field(default_factory=GatePolicy)
    budget: Budget = field(init=False)
    buckets: Buckets = field(init=False)
    feedback: Feedback = field(init=False)
    mix: dict[float, float] = field(default_factory=dict)
    _shed: dict[float, float] = field(default_factory=dict)
    _shed_for: float = -1.0

    def __post_init__(self) -> None:
        self.budget = Budget(self.policy.budget)
        self.buckets = Buckets(self.policy.buckets)
        self.feedback = Feedback(self.policy.feedback)

    def judge(self, kind: Kind, source: str, worth: float, now: float) -> Judged:
        """The verdict for a request of a source; `worth` counts for calls."""
        budget = self.budget
        if kind is Kind.WITHIN:
            return SERVED
        share = budget.shed_share(now)
        if kind is Kind.OTHER:
            return Judged(Verdict.SHED_LOAD, self._return(0.0)) if share >= 1.0 else SERVED
        for each in self.mix:
            self.mix[each] *= MIX_KEPT
        self.mix[worth] = self.mix.get(worth, 0.0) + (1.0 - MIX_KEPT)
        pressed = budget.level is not Level.FREE or self.feedback.ignores(source)
        if (wait := self.buckets.take(source, now, pressed)) > 0.0:
            return Judged(Verdict.SHED_SOURCE, self._return(wait))
        served = share <= 0.0 or self.part() >= self.shed_share_of(worth, share)
        budget.came(served)
        return SERVED if served else Judged(Verdict.SHED_LOAD, self._return(0.0))

    def shed_share_of(self, worth: float, share: float) -> float:
        """The share to shed of calls of a worth while so much of all is shed."""
        if share != self._shed_for or worth not in self._shed:
            self._shed, self._shed_for = shed_by_worth(self.mix, share), share
        return self._shed[worth]

    def _return(self, least_s: float) -> int:
        low, high = self.policy.return_s
        return int(min(60.0, max(least_s, low)) + self.part() * (high - low) + 0.999)

    def told(self, source: str, algorithm: Algorithm, now: float) -> Told:
        """A new request of a caller that knows overload control."""
        return self.feedback.came(source, algorithm, self.budget.shed_share(now), now)
