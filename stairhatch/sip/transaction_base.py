"""Timers, states and the process context of server and client transactions (RFC 3261, section 17)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from stairhatch.node.counters import Counters
from stairhatch.node.timer_wheel import TimerWheel

T1 = 0.5  # seconds: an estimate of the round-trip time (RFC 3261, 17.1.1.1)
T2 = 4.0  # seconds: the longest interval between retransmissions
T4 = 5.0  # seconds: the longest time that a message remains in the network
TIMEOUT_S = 64 * T1  # timers B, F, H, J, L and M (RFC 3261, 17; RFC 6026, 7)


class TransactionState(Enum):
    """The state of a transaction: client or server, INVITE or non-INVITE."""

    CALLING = "calling"
    TRYING = "trying"
    PROCEEDING = "proceeding"
    ACCEPTED = "accepted"  # RFC 6026, 7: an INVITE was answered 2xx
    COMPLETED = "completed"
    CONFIRMED = "confirmed"
    TERMINATED = "terminated"


class TransactionContext(Protocol):
    """The clock, counters and timers that transactions use; the call manager implements it."""

    clock: Callable[[], float]  # seconds
    counters: Counters
    timers: TimerWheel


@dataclass(frozen=True, slots=True)
class RetransmissionInterval:
    """The interval before a retransmission.

    `elapsed_s` is the time from the first transmission to the end of the interval.
    """

    gap_s: float = T1
    elapsed_s: float = T1

    def timed_out(self) -> bool:
        """Whether at the end of the interval 64 T1 have passed since the first transmission."""
        return self.elapsed_s >= TIMEOUT_S

    def doubled(self, max_gap_s: float = T2) -> RetransmissionInterval:
        """Return the next interval: twice as long, at most `max_gap_s`, and ending at 64 T1 at the latest."""
        gap_s = min(2 * self.gap_s, max_gap_s, TIMEOUT_S - self.elapsed_s)
        return RetransmissionInterval(gap_s, self.elapsed_s + gap_s)


FIRST_INTERVAL = RetransmissionInterval()
