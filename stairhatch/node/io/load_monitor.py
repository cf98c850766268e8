"""How late the process comes to its work: the event loop's delay, and how long datagrams lay unread."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

LOOP_DELAY_PERIOD_S = 0.05

DelayObserver = Callable[[float], None]  # a delay in seconds


class LoadMonitor:
    """Reports delays to an observer, if there is one (the admission control of the SIP front)."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Report nothing until an observer is set."""
        self.observer: DelayObserver | None = None
        self._loop = loop

    async def report_loop_delay(self, observer: DelayObserver) -> None:
        """Report every 50 ms how much later than asked for the loop came to this task."""
        while True:
            due = self._loop.time() + LOOP_DELAY_PERIOD_S
            await asyncio.sleep(LOOP_DELAY_PERIOD_S)
            observer(max(0.0, self._loop.time() - due))
