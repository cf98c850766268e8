"""What every part of the SIP frontend needs from its process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from stairhatch.node.call_manager import CallManager
from stairhatch.node.counters import Counters
from stairhatch.node.timer_wheel import TimerWheel
from stairhatch.sip.config import SipConfig


@dataclass(eq=False, slots=True)
class SipContext:
    """One for a frontend, shared by its parts. A reload replaces `config`."""

    core: CallManager
    config: SipConfig
    new_token: Callable[[], str]  # for tags and branches: unique, and not to be guessed
    draw_fraction: Callable[[], float]  # draws a number from 0 to 1 at random

    @property
    def counters(self) -> Counters:
        """The process's counters."""
        return self.core.counters

    @property
    def timers(self) -> TimerWheel:
        """The process's timers."""
        return self.core.timers

    def now(self) -> float:
        """Unix time in seconds, which never steps."""
        return self.core.clock()
