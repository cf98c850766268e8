"""What runs on the event loop beside the connections: background tasks, timers, the monitor of delays."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from stairhatch.node.call_manager import CallManager

LOOP_DELAY_PERIOD_S = 0.05

DelayObserver = Callable[[float], None]  # a delay in seconds


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


class LoadMonitor:
    """Reports delays to an observer, if there is one (the admission control of the SIP frontend)."""

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
