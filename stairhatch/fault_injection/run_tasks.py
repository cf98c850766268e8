"""Coroutines that run beside a run until it ends."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class RunTasks:
    """Tasks that are cancelled together, kept so that the event loop does not lose them."""

    def __init__(self) -> None:
        """None yet."""
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a coroutine as a task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel all tasks that still run."""
        for task in list(self._tasks):
            task.cancel()
