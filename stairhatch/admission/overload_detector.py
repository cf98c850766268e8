"""How short the processor is: owns the level, its two thresholds, the rate of new calls that it can bear and
the share that is shed. Fed with what the loop measures, it never measures by itself, and never looks at a
request.

The measure is delay: how much later than asked a timer rang, and how long a datagram lay in its socket. It
rises as soon as work comes faster than it is done, whatever the work is, and needs no estimate of what a
call costs (RFC 6357, 5.1 names queueing delay as the most direct signal). Hysteresis as everywhere here: a
level is raised above `onset_s` and lowered at `abatement_s`; between them it stays.

While raised, a rate is held and not a share: it begins at what was served when the delay rose, falls in
proportion to the delay's excess and rises slowly below the target. A share that moved by steps was tried
first and swung between shedding nothing and nearly all, since the same share of twice the load is twice the
work.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Level(IntEnum):
    """How short the processor is."""

    FREE = 0
    PRESSED = 1  # a share of new calls is shed, the least worth first
    FULL = 2  # all new calls are shed; what belongs to dialogs goes on


@dataclass(frozen=True, slots=True)
class BudgetPolicy:
    """Thresholds, in seconds of the loop's delay."""

    onset_s: float = 0.05
    abatement_s: float = 0.01
    target_s: float = 0.02
    full_s: float = 0.4  # a caller has sent again by then (T1 is 0.5 s)
    span_s: float = 0.05  # of one step
    cut: float = 0.02  # of the rate at most, in a span whose delay is over the target by `onset_s` or more
    rise: float = 0.02  # of the rate, in a span below the target
    least_rate: float = 5.0  # calls a second that are always tried, so that it is known when there is room
    smooth: float = 0.2  # weight of a span in the rates
    most_shed: float = 0.98
    stale_s: float = 2.0  # with no look for so long nothing is known, and nothing is shed


@dataclass(eq=False, slots=True)
class Budget:
    """The level, from looks at the loop."""

    policy: BudgetPolicy = field(default_factory=BudgetPolicy)
    level: Level = Level.FREE
    share: float = 0.0
    limit: float = 0.0  # calls a second that are served, while the level is raised
    offered_rate: float = 0.0
    served_rate: float = 0.0
    delay_s: float = 0.0
    raised_at: float = 0.0
    changes: int = 0
    _looked_at: float = -1e9
    _stepped_at: float = -1e9
    _worst_s: float = 0.0
    _offered: int = 0
    _served: int = 0

    def came(self, served: bool) -> None:
        """A new call came, and was served or not."""
        self._offered += 1
        self._served += served

    def look(self, now: float, delay_s: float) -> Level:
        """The loop was late by so much, or a datagram has waited so long. The worst of each span is taken in,
        smoothed, and moves the level. Returns the level.
        """
        policy = self.policy
        if now - self._looked_at > policy.stale_s:
            self.delay_s, self._worst_s = delay_s, 0.0
        self._looked_at = now
        self._worst_s = max(self._worst_s, delay_s)
        if now - self._stepped_at < 0.9 * policy.span_s:  # looks come about a span apart
            return self.level
        passed = min(1.0, now - self._stepped_at)
        self._stepped_at, delay_s, self._worst_s = now, self._worst_s, 0.0
        self.delay_s += (delay_s - self.delay_s) * (0.5 if delay_s > self.delay_s else 0.25)
        self.offered_rate += (self._offered / passed - self.offered_rate) * policy.smooth
        self.served_rate += (self._served / passed - self.served_rate) * policy.smooth
        self._offered = self._served = 0
        self._move(now)
        return self.level

    def _move(self, now: float) -> None:
        policy, before = self.policy, self.level
        if self.delay_s >= policy.full_s:
            self.level = Level.FULL
        elif self.level is Level.FULL:
            self.level = Level.PRESSED if self.delay_s < policy.onset_s else Level.FULL
        elif self.level is Level.FREE:
            self.level = Level.PRESSED if self.delay_s > policy.onset_s else Level.FREE
        elif self.delay_s <= policy.abatement_s and self.share < 0.02:
            self.level = Level.FREE
        self.changes += before is not self.level
        if self.level is Level.FREE:
            self.share = 0.0
            return
        if before is Level.FREE:
            self.raised_at, self.limit = now, self.served_rate
        excess = (self.delay_s - policy.target_s) / policy.onset_s
        factor = 1.0 + policy.rise if excess <= 0 else 1.0 - policy.cut * min(1.0, excess)
        most = 1.5 * self.served_rate + policy.least_rate  # it does not run away while few come
        self.limit = max(policy.least_rate, min(self.limit * factor, most))
        wanted = 1.0 - self.limit / self.offered_rate if self.offered_rate > 0 else 0.0
        self.share = min(policy.most_shed, max(0.0, wanted))

    def shed_share(self, now: float) -> float:
        """The share of new calls to shed now: all at FULL, none once nothing was measured for long."""
        if self.level is Level.FREE or now - self._looked_at > self.policy.stale_s:
            return 0.0
        return 1.0 if self.level is Level.FULL else self.share
