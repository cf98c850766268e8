"""What server and client transactions share (RFC 3261, section 17): timers, states, surroundings."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from stairhatch.node.counters import Counters
from stairhatch.node.timer_wheel import TimerWheel

T1 = 0.5  # seconds: an estimate of the round trip (17.1.1.1)
T2 = 4.0  # seconds: the longest interval between retransmissions
T4 = 5.0  # seconds: how long a message may stay in the network
TIMEOUT_S = 64 * T1  # timers B, F, H, J, L and M


class TransactionState(Enum):
    """The state of a transaction of any of the four kinds."""

    CALLING = "calling"
    TRYING = "trying"
    PROCEEDING = "proceeding"
    ACCEPTED = "accepted"  # RFC 6026
    COMPLETED = "completed"
    CONFIRMED = "confirmed"
    TERMINATED = "terminated"


class TransactionContext(Protocol):
    """What transactions need from their process; the call manager is one."""

    clock: Callable[[], float]
    counters: Counters
    timers: TimerWheel


@dataclass(frozen=True, slots=True)
class RetransmissionInterval:
    """The interval before a retransmission, and how long ago the message went first when it is over."""

    gap_s: float = T1
    elapsed_s: float = T1

    def timed_out(self) -> bool:
        """Whether 64 T1 have passed when the interval is over."""
        return self.elapsed_s >= TIMEOUT_S

    def doubled(self, max_gap_s: float = T2) -> RetransmissionInterval:
        """The interval that follows: twice as long up to a limit, and never beyond 64 T1 in all."""
        gap_s = min(2 * self.gap_s, max_gap_s, TIMEOUT_S - self.elapsed_s)
        return RetransmissionInterval(gap_s, self.elapsed_s + gap_s)


FIRST_INTERVAL = RetransmissionInterval()
