"""How short the processor is: owns the level, its two thresholds and the share of new calls that is shed.
Fed with what the loop measures, it never measures by itself, and never looks at a request.

The measure is the delay of the loop: how much later than asked a timer rang, which is what every datagram
and every connection waits before it is read. It rises as soon as work comes faster than it is done, whatever
the work is, and needs no estimate of what a call costs (RFC 6357, 5.1 names queueing delay as the most
direct signal). Hysteresis as everywhere here: a level is raised above `onset_s` and lowered at
`abatement_s`; between them it stays. While raised, the share that is shed moves by steps toward what holds
the delay at `target_s`: up quickly, down slowly.
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
    up: float = 0.1  # of the share, for a span above the target
    down: float = 0.02  # and for one below it
    most_shed: float = 0.95  # some are always served, so that it is known when there is room
    stale_s: float = 2.0  # with no look for so long nothing is known, and nothing is shed


@dataclass(eq=False, slots=True)
class Budget:
    """The level, from looks at the loop."""

    policy: BudgetPolicy = field(default_factory=BudgetPolicy)
    level: Level = Level.FREE
    share: float = 0.0
    delay_s: float = 0.0
    raised_at: float = 0.0
    changes: int = 0
    _looked_at: float = -1e9
    _stepped_at: float = -1e9
    _worst_s: float = 0.0

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
        self._stepped_at, delay_s, self._worst_s = now, self._worst_s, 0.0
        self.delay_s += (delay_s - self.delay_s) * (0.5 if delay_s > self.delay_s else 0.25)
        before = self.level
        if self.delay_s >= policy.full_s:
            self.level = Level.FULL
        elif self.level is Level.FULL:
            if self.delay_s < policy.onset_s:
                self.level = Level.PRESSED
        elif self.level is Level.FREE:
            if self.delay_s > policy.onset_s:
                self.level, self.raised_at = Level.PRESSED, now
        elif self.delay_s <= policy.abatement_s and self.share <= policy.down:
            self.level, self.share = Level.FREE, 0.0
        if self.level is not Level.FREE:
            step = policy.up if self.delay_s > policy.target_s else -policy.down
            self.share = min(policy.most_shed, max(0.0, self.share + step))
        self.changes += before is not self.level
        return self.level

    def shed_share(self, now: float) -> float:
        """The share of new calls to shed now: all at FULL, none once nothing was measured for long."""
        if self.level is Level.FREE or now - self._looked_at > self.policy.stale_s:
            return 0.0
        return 1.0 if self.level is Level.FULL else self.share
