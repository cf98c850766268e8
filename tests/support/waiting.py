"""Waits for conditions, in place of fixed times, in threads and in an event loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

WAIT_LIMIT_S = 20.0  # far longer than any condition takes, so that only a failure reaches it
THREAD_POLL_S = 0.005
LOOP_POLL_S = 0.001


def wait_until(
    condition: Callable[[], Any], what: str = "the awaited condition", limit_s: float = WAIT_LIMIT_S
) -> Any:
    """Wait until a condition is true and return its value.

    Raises AssertionError, naming `what`, if the condition is still false after `limit_s`.
    """
    deadline = time.monotonic() + limit_s
    while not (value := condition()):
        assert time.monotonic() < deadline, f"timed out waiting for {what}"
        time.sleep(THREAD_POLL_S)
    return value


async def wait_in_loop(condition: Callable[[], Any], what: str = "the awaited condition") -> None:
    """Wait in the running event loop until a condition is true.

    Raises AssertionError, naming `what`, if the condition is still false after `WAIT_LIMIT_S`.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + WAIT_LIMIT_S
    while not condition():
        assert loop.time() < deadline, f"timed out waiting for {what}"
        await asyncio.sleep(LOOP_POLL_S)
