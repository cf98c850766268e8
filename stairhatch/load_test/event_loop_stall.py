"""How late a process notes what happens: the longest stall of its event loop.

On a loaded machine the times of a record lie so far from the truth, and no rule is broken by that alone.
"""

from __future__ import annotations

import asyncio
import time

CHECK_INTERVAL_S = 0.01


class EventLoopStall:
    """The longest time for which an event loop did not come round."""

    def __init__(self) -> None:
        """Begin with no stall."""
        self.longest_s = 0.0

    async def watch(self) -> None:
        """Measure until cancelled."""
        while True:
            due_at = time.monotonic() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.longest_s = max(self.longest_s, time.monotonic() - due_at)
