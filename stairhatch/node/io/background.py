"""The background tasks of a softswitch: one owner keeps them referenced and logs the fault that ended one."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from stairhatch.node.call_manager import CallManager


class BackgroundTasks:
    """Tasks that run until they end by themselves or the loop is closed.

    This is no `asyncio.TaskGroup`: a group cancels all its tasks when one fails, while a fault in one
    connection's task must leave all others running; and a group is awaited until its tasks have ended, while
    those that keep connections up have no end before that of the process.
    """

    def __init__(self, core: CallManager, loop: asyncio.AbstractEventLoop) -> None:
        """Run tasks on `loop`; faults go to the call manager's counters and log."""
        self.running: set[asyncio.Task[None]] = set()  # the loop itself holds weak references only
        self._core = core
        self._loop = loop

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a task and keep hold of it; a fault in it is counted and logged, not lost."""
        task = self._loop.create_task(work)
        self.running.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self.running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._core.counters.add("task_faults")
            self._core.log("fault", why=f"{type(error).__name__}: {error}")
