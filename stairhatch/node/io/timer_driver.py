"""The call manager's timers on the event loop: one loop timer, for the earliest that is due."""

from __future__ import annotations

import asyncio

from stairhatch.node.call_manager import CallManager


class TimerDriver:
    """Runs the call manager's timers when they are due; `arm` is called when the earliest has changed."""

    def __init__(self, core: CallManager, loop: asyncio.AbstractEventLoop) -> None:
        """Arm nothing before `arm` is called."""
        self._core = core
        self._loop = loop
        self._handle: asyncio.TimerHandle | None = None

    def arm(self) -> None:
        """Have the loop call when the earliest timer is due."""
        due = self._core.timers.next_due()
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        if due is not None:
            self._handle = self._loop.call_later(max(0.0, due - self._core.clock()), self._run_due)

    def _run_due(self) -> None:
        self._handle = None
        try:
            self._core.timers.run_due()
        finally:
            self.arm()
