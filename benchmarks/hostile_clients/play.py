"""One play: a softswitch process with limits, roster servers, hostile clients and ordinary callers.

Each of them has processes of its own. The play samples the resident memory of the softswitch.
"""

from __future__ import annotations

import multiprocessing
import threading
import time
from dataclasses import dataclass

from benchmarks.hostile_clients.behaviours import run_clients
from benchmarks.hostile_clients.ordinary_callers import Answers, OrdinaryCaller
from benchmarks.scaling.errors import UnavailableFigureError
from benchmarks.scaling.softswitch_process import ProgramLimits, SoftswitchProcess
from stairhatch.emulators.ports import Address

ROSTER_SERVERS = 3
SAMPLE_INTERVAL_S = 0.02
LEAD_S = 1.0  # of ordinary calls before the hostile clients connect
REPLY_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class Play:
    """The parameters of one play."""

    behaviour: str
    clients: int
    limits: ProgramLimits
    seconds: float
    server_lines: int = 40


@dataclass(slots=True)
class Outcome:
    """What was seen in one play; memory in MiB."""

    rest_mb: float
    peak_mb: float
    last_mb: float
    survived: bool
    answers: Answers

    def summary(self) -> str:
        """Return the outcome as one line of text."""
        fate = "" if self.survived else " ENDED"
        memory = f"rest {self.rest_mb:.0f} peak {self.peak_mb:.0f} last {self.last_mb:.0f} MB{fate}"
        return f"{memory}; {self.answers.summary()}"


class _MemorySampler(threading.Thread):
    """Samples the resident memory of the softswitch until `stop` is called or the process ends."""

    def __init__(self, softswitch: SoftswitchProcess) -> None:
        super().__init__(daemon=True)
        self._softswitch = softswitch
        self._stopped = threading.Event()
        self.peak_mb = self.last_mb = softswitch.memory_mb()
        self.survived = True

    def run(self) -> None:
        while not self._stopped.wait(SAMPLE_INTERVAL_S):
            try:
                self.last_mb = self._softswitch.memory_mb()
            except (OSError, IndexError, ValueError):
                self.survived = False
                return
            self.peak_mb = max(self.peak_mb, self.last_mb)

    def stop(self) -> None:
        self._stopped.set()
        self.join()


def _call_ordinarily(address: Address, seconds: float, results: multiprocessing.Queue[Answers]) -> None:
    caller = OrdinaryCaller(address)
    caller.place_calls(seconds)
    results.put(caller.answers)


def run_play(play: Play) -> Outcome:
    """Run one play. Raises UnavailableFigureError if the softswitch or the callers do not start."""
    context = multiprocessing.get_context("spawn")
    with SoftswitchProcess(
        ROSTER_SERVERS, limits=play.limits, servers_per_process=1, server_lines=play.server_lines
    ) as softswitch:
        if softswitch.startup_s is None:
            raise UnavailableFigureError("the softswitch does not serve")
        rest_mb = softswitch.memory_mb()
        sampler = _MemorySampler(softswitch)
        sampler.start()
        results: multiprocessing.Queue[Answers] = context.Queue()
        ordinary = context.Process(
            target=_call_ordinarily, args=(softswitch.address, LEAD_S + play.seconds, results), daemon=True
        )
        ordinary.start()
        time.sleep(LEAD_S)
        hostile = context.Process(
            target=run_clients,
            args=(play.behaviour, softswitch.address, play.clients, play.seconds),
            daemon=True,
        )
        hostile.start()
        try:
            answers = results.get(timeout=play.seconds + REPLY_TIMEOUT_S)
        finally:
            hostile.kill()
            ordinary.kill()
            hostile.join()
            ordinary.join()
        sampler.stop()
        return Outcome(rest_mb, sampler.peak_mb, sampler.last_mb, sampler.survived, answers)
