"""Work on the event loop besides the connections: background tasks, timers and the load monitor."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from stairhatch.node.call_manager import CallManager

LOOP_DELAY_PERIOD_S = 0.05

DelayObserver = Callable[[float], None]  # a delay in seconds


class BackgroundTasks:
    """Set of tasks that run until they return or the loop is closed.

    An `asyncio.TaskGroup` is unsuitable for two reasons. A group cancels all its tasks when one fails, while
    a fault in one connection's task must leave all other tasks running. A group also waits for its tasks to
    end, while the tasks that redial connections run as long as the process.
    """

    def __init__(self, call_manager: CallManager, loop: asyncio.AbstractEventLoop) -> None:
        """Run tasks on `loop`, and report their faults to the counters and the log of the call manager."""
        self.running: set[asyncio.Task[None]] = set()  # strong references: the loop keeps only weak ones
        self._call_manager = call_manager
        self._loop = loop

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task and return it.

        An exception that ends the task is counted (`task_faults`) and logged (event `fault`).
        """
        task = self._loop.create_task(work)
        self.running.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self.running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._call_manager.counters.add("task_faults")
            self._call_manager.log("fault", why=f"{type(error).__name__}: {error}")


class TimerDriver:
    """Runs the timers of the call manager on the event loop.

    `arm` has to be called whenever the due time of the earliest timer has changed.
    """

    def __init__(self, call_manager: CallManager, loop: asyncio.AbstractEventLoop) -> None:
        """Bind the timers of `call_manager` to `loop`; none runs before the first call of `arm`."""
        self._call_manager = call_manager
        self._loop = loop
        self._handle: asyncio.TimerHandle | None = None

    def arm(self) -> None:
        """Schedule one call for the due time of the earliest timer; it replaces the call scheduled before."""
        due = self._call_manager.timers.next_due()
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        if due is not None:
            self._handle = self._loop.call_later(max(0.0, due - self._call_manager.clock()), self._run_due)

    def _run_due(self) -> None:
        self._handle = None
        try:
            self._call_manager.timers.run_due()
        finally:
            self.arm()


class LoadMonitor:
    """Reports delays of the event loop and of datagrams to an observer.

    The observer is the admission control of the SIP frontend; without that control there is none.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Begin without an observer; nothing is reported until one is set."""
        self.observer: DelayObserver | None = None
        self._loop = loop

    async def report_loop_delay(self, observer: DelayObserver) -> None:
        """Sleep 50 ms repeatedly, and report to `observer` by how many seconds each sleep was too long."""
        while True:
            due = self._loop.time() + LOOP_DELAY_PERIOD_S
            await asyncio.sleep(LOOP_DELAY_PERIOD_S)
            observer(max(0.0, self._loop.time() - due))
