"""How late a process notes what comes: owns the longest stall of its loop. On a loaded machine times in a
record lie so far from the truth, and no rule may be called broken for that.
"""

from __future__ import annotations

import asyncio
import time

LOOK_S = 0.01


class EventLoopStall:
    """The longest time for which a loop did not come round."""

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def watch(self) -> None:
        """Look until cancelled."""
        while True:
            due = time.monotonic() + LOOK_S
            await asyncio.sleep(LOOK_S)
            self.longest_s = max(self.longest_s, time.monotonic() - due)
