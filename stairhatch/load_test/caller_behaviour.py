"""What callers do after an answer: owns redials and the throttle of those that know overload control.
Decisions and state alone, the clock passed in; it must never place a call by itself.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from stairhatch.load_test.load_plan import DueCall, Habits, Office


@dataclass(slots=True)
class Try:
    """One call of a caller, over all its tries."""

    due: DueCall
    begun: float  # when the first try was due
    tries: int = 1
    over: bool = False  # it stands, or has been given up

    def left(self, now: float) -> float:
        """How long the caller goes on trying."""
        return self.begun + self.due.kind.limit_s - now


def redial_after(
    this: Try, now: float, return_s: float | None, office: Office, habits: Habits, chance: random.Random
) -> float | None:
    """How long a refused caller waits before it dials again; None: it has given the call up.

    `return_s` is what the answer told (Retry-After); who does not obey waits as if nothing had been said.
    """
    if this.over or this.tries > habits.redials:
        return None
    wait = chance.expovariate(1 / habits.redial_s) if habits.redial_s > 0 else 0.0
    if return_s is not None and office.obeys:
        wait = return_s + chance.random() * 0.1 * return_s
    return wait if wait < this.left(now) else None


@dataclass(slots=True)
class Throttle:
    """What a caller that knows overload control holds back (RFC 7339, 5; RFC 7415, 3)."""

    office: Office
    loss: float = 0.0  # share of new calls that are not sent
    rate: float | None = None  # or calls a second that may be sent
    until: float = 0.0  # what was told holds so long
    sequence: float = -1.0
    credit: float = 1.0
    credit_at: float = 0.0
    held: int = field(default=0)

    def told(
        self, now: float, oc: float | None, algorithm: str, validity_ms: float | None, sequence: float | None
    ) -> None:
        """The parameters of an answer's topmost Via. One that is older than the last counts for nothing
        (RFC 7339, 5.5), a validity of 0 ends the control (4.3).
        """
        if not self.office.oc or oc is None or (sequence is not None and sequence <= self.sequence):
            return
        self.sequence = self.sequence if sequence is None else sequence
        valid_s = 0.5 if validity_ms is None else validity_ms / 1000  # 500 ms where none is told
        self.until = now + valid_s
        if algorithm == "rate":
            if self.rate is None:
                self.credit, self.credit_at = 1.0, now
            self.loss, self.rate = 0.0, max(0.0, oc)
        else:
            self.loss, self.rate = min(1.0, max(0.0, oc / 100)), None

    def may_send(self, now: float, chance: random.Random) -> bool:
        """Whether a new call goes out now. Who lies sends on."""
        if self.office.oc_lies or now >= self.until:
            return True
        if self.rate is not None:
            self.credit = min(2.0, self.credit + self.rate * (now - self.credit_at))
            self.credit_at = now
            if self.credit >= 1.0:
                self.credit -= 1.0
                return True
        elif chance.random() >= self.loss:
            return True
        self.held += 1
        return False
