"""Runs one trial: starts its processes and emulators, injects its faults, and checks the rules at the end.

All processes and sockets of a trial are closed when it ends, also after an error. A trial that cannot be run
raises TrialError, so that it never counts as one that kept every rule.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from stairhatch.load_test.event_loop_stall import EventLoopStall
from stairhatch.soak.caller import Callers
from stairhatch.soak.errors import TrialError
from stairhatch.soak.injector import TrialInjector
from stairhatch.soak.record import Record
from stairhatch.soak.roster_server import TrialContext
from stairhatch.soak.rules import RuleChecker
from stairhatch.soak.schedule import SETTLE_S, Schedule
from stairhatch.soak.softswitch import Softswitch
from stairhatch.soak.violation import Violation
from stairhatch.soak.world import World

PROCESS_CHECK_INTERVAL_S = 0.25  # the interval between two checks of the processes
INJECTION_INTERVAL_S = 0.01  # the interval between two checks for faults that are due


@dataclass
class TrialResult:
    """Result of a trial: its record, the violations, and how often each rule could have been broken."""

    schedule: Schedule
    record: Record
    violations: list[Violation]
    cases: Counter[str] = field(default_factory=Counter)

    def ineffective_faults(self) -> list[str]:
        """Return the sorted names of the kinds of faults that were scheduled and never took effect."""
        scheduled = {type(each.action).__name__ for each in self.schedule.actions}
        return sorted(scheduled - set(self.record.activations))


class Trial:
    """Trial that can be run once; `folder` gets the configurations and logs of its processes."""

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        """Create the trial's record and emulated environment; no socket is opened and no process started."""
        self.schedule = schedule
        self.folder = folder
        self.record = Record()
        self.softswitches: list[Softswitch] = []
        self._rng = random.Random(f"play {schedule.seed}")
        self._tasks: set[asyncio.Task[Any]] = set()
        self._failures: list[BaseException] = []
        deployment = schedule.deployment
        self.world = World(TrialContext(deployment, self.record, self._rng, self._process_name))

    def _process_name(self, index: int) -> str:
        return self.softswitches[index].process_name

    async def run(self) -> TrialResult:
        """Run the trial to its end and return its result.

        Raises TrialError if a process does not start, if a port cannot be bound, or if the harness itself
        fails.
        """
        stall = EventLoopStall()
        try:
            await self._open()
            self.spawn(stall.watch())
            self.spawn(self._watch_processes())
            await self._run_schedule()
            await asyncio.gather(*(self._terminate(each) for each in self.softswitches))
        except OSError as error:
            raise TrialError(f"seed {self.schedule.seed}: {error}") from error
        finally:
            self._close()
        if self._failures:
            raise TrialError(f"seed {self.schedule.seed}: {self._failures[0]!r}") from self._failures[0]
        self.record.stalled_s = stall.longest_s
        checker = RuleChecker(self.schedule.deployment, self.record)
        violations = checker.check()
        return TrialResult(self.schedule, self.record, violations, Counter(checker.cases))

    async def _open(self) -> None:
        deployment = self.schedule.deployment
        await self.world.open()
        for index in range(deployment.softswitches):
            coordinator = self.world.coordinators[index].address
            folder = self.folder / f"n{index}"
            self.softswitches.append(Softswitch(index, deployment, self.record, folder, coordinator))
        self.callers = Callers(
            deployment, self.record, self._rng, self._process_name, lambda n: self.softswitches[n].address
        )
        starts = [each.start(partial(self.world.known_events, each.index)) for each in self.softswitches]
        await asyncio.gather(*starts)

    async def _run_schedule(self) -> None:
        self.record.started_at = started_at = time.monotonic()
        injector = TrialInjector(self)
        upcoming = list(self.schedule.actions)
        for softswitch in self.softswitches:
            self.spawn(self._place_calls(softswitch, started_at + self.schedule.duration_s))
        while (elapsed_s := time.monotonic() - started_at) < self.schedule.duration_s:
            while upcoming and upcoming[0].at_s <= elapsed_s:
                injector.inject(upcoming.pop(0).action)
            await asyncio.sleep(INJECTION_INTERVAL_S)
        await asyncio.sleep(SETTLE_S)

    async def _place_calls(self, softswitch: Softswitch, end_at: float) -> None:
        """Place calls to a softswitch at random (Poisson) times until a time of the monotonic clock.

        New connections are opened only while the softswitch takes them, as the platform's frontend does it.
        """
        while time.monotonic() < end_at:
            await asyncio.sleep(self._rng.expovariate(self.schedule.deployment.calls_per_s))
            self.callers.place(softswitch.index, may_connect=softswitch.takes_connections)

    async def _watch_processes(self) -> None:
        while True:
            for softswitch in self.softswitches:
                softswitch.check_limits()
                process = softswitch.process
                crashed = process is not None and process.poll() is not None and not softswitch.is_ending
                if crashed and softswitch.exit_code is None:
                    softswitch.note_end()
            await asyncio.sleep(PROCESS_CHECK_INTERVAL_S)

    async def _terminate(self, softswitch: Softswitch) -> None:
        if softswitch.process is not None and softswitch.process.poll() is None and not softswitch.is_ending:
            await softswitch.terminate(self.schedule.deployment.kill_after_s)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a task; if the task fails, the trial raises TrialError at its end."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._failures.append(error)

    def _close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        with contextlib.suppress(AttributeError):
            self.callers.close()
        for softswitch in self.softswitches:
            softswitch.end()
        self.world.close()
