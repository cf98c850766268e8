"""The context of the SIP frontend: the services of the process that all its parts use."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from stairhatch.node.call_manager import CallManager
from stairhatch.node.counters import Counters
from stairhatch.node.timer_wheel import TimerWheel
from stairhatch.sip.config import SipConfig


@dataclass(eq=False, slots=True)
class SipContext:
    """The context that the parts of one frontend share."""

    call_manager: CallManager
    config: SipConfig  # replaced by a reload
    new_token: Callable[[], str]  # returns a unique, unpredictable token for a tag or branch
    draw_fraction: Callable[[], float]  # returns a random number from 0 to 1

    @property
    def counters(self) -> Counters:
        """The process's counters."""
        return self.call_manager.counters

    @property
    def timers(self) -> TimerWheel:
        """The process's timers."""
        return self.call_manager.timers

    def now(self) -> float:
        """Return the Unix time in seconds, from a clock that is never stepped."""
        return self.call_manager.clock()
