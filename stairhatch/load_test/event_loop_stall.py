"""Measurement of the longest stall of a process's event loop.

The stall bounds the error of the times that the process records. Checkers of rules allow for it, since on a
loaded machine late recording alone would look like a violation.
"""

from __future__ import annotations

import asyncio
import time

CHECK_INTERVAL_S = 0.01


class EventLoopStall:
    """Monitor of an event loop, which keeps the longest time by which a timer fired late."""

    def __init__(self) -> None:
        """Create a monitor with no measured stall."""
        self.longest_s = 0.0

    async def watch(self) -> None:
        """Measure every CHECK_INTERVAL_S, until the task is cancelled."""
        while True:
            due_at = time.monotonic() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.longest_s = max(self.longest_s, time.monotonic() - due_at)
