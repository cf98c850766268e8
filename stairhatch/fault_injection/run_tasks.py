"""Background tasks of a run, which are cancelled together at its end."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class RunTasks:
    """Set of tasks that are cancelled together.

    The set holds references to the tasks, because the event loop itself keeps only weak ones.
    """

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task until it returns or `cancel` is called."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel all tasks that have not finished."""
        for task in list(self._tasks):
            task.cancel()
