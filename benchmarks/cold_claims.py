"""Compares slow start with leased and with configured instance indices when a softswitch is replaced.

Several softswitches send set-ups to a cold roster server while one of them is stopped, replaced and resumed.
The fullest overload window at the server is compared with the number of set-ups that would overload it. With
configured indices, the replacement has the index of the softswitch that it replaces.

    .venv/bin/python benchmarks/cold_claims.py [RUNS]

Prints one line per run.
"""

from __future__ import annotations

import random
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import uvloop

sys.path.insert(0, str(Path(__file__).parents[1]))

from stairhatch.emulators.coordinator_emulator import endpoint_line
from stairhatch.emulators.observations import ObservationKind
from stairhatch.emulators.processor import Processor, ProcessorProfile, ProcessorState
from stairhatch.fault_injection.member_process import MemberProcess
from stairhatch.fault_injection.process_run import FaultInjectionRun
from stairhatch.fault_injection.schedule import FaultSchedule, MemberNames

NAMES = ("s0", "s1", "s2", "s3")
STOPPED, REPLACEMENT = "s1", "s3"
STOPPED_AT_S, COLD_AT_S, RESUMED_AT_S, ENDS_AT_S = 10.0, 17.0, 19.0, 30.0
LEASE_DURATION_S = 3.0
CALLS_PER_S = 25.0  # to each softswitch
PROFILE = ProcessorProfile(setup_s=0.0095, warm_up_s=11.0, overload_window_s=1.0)
EARLY_S = 5.0  # set-ups before this time after the cold start are counted as early
DEFAULT_RUNS = 3


class ColdServerRun(FaultInjectionRun):
    """A fault injection run in which one roster server is removed and the other one starts cold."""

    def __init__(self, seed: int, *, leased: bool) -> None:
        """Create a run; `leased` selects leased instance indices, otherwise they are configured."""
        schedule = FaultSchedule(ENDS_AT_S, NAMES, NAMES[:3], lease_duration_s=LEASE_DURATION_S)
        super().__init__(schedule, seed, calls=CALLS_PER_S)
        self.leased = leased
        self.setup_times: list[float] = []  # of set-ups at the cold server, on the monotonic clock
        self._has_stopped = False
        self._has_started_cold = False

    def _config_text(self, member: MemberProcess, epoch: int, voters: MemberNames) -> str:
        text = super()._config_text(member, epoch, voters)
        index = NAMES.index(STOPPED if member.name == REPLACEMENT else member.name)
        text = text.replace("balancers = 3\n", f"balancers = 3\nme = {index}\n")
        text = text.replace("warm_after_s = 4.0", f"warm_after_s = {PROFILE.warm_up_s}")
        return text if self.leased else text.replace("list = true", "list = true\nnumbers = false")

    async def _open(self) -> None:
        await super()._open()
        for index, server in enumerate(self.servers):
            server.processor = Processor(PROFILE, random.Random(self.seed * 31 + index))
        observe = self.servers[1].observer

        def observe_setups(kind: ObservationKind, number: str) -> None:
            if kind is ObservationKind.SETUP_RECEIVED:
                self.setup_times.append(time.monotonic())
            observe(kind, number)

        self.servers[1].observer = observe_setups

    def on_progress(self, elapsed_s: float) -> None:
        """Stop one softswitch at STOPPED_AT_S, and start the server cold at COLD_AT_S."""
        if not self._has_stopped and elapsed_s >= STOPPED_AT_S:
            self._has_stopped = True
            self.members[STOPPED].stop(RESUMED_AT_S - STOPPED_AT_S)
        elif not self._has_started_cold and elapsed_s >= COLD_AT_S:
            self._has_started_cold = True
            self._start_cold()

    def _start_cold(self) -> None:
        removed, cold = self.servers
        assert cold.processor is not None
        started_at = time.time()
        cold.abort_connections()
        cold.processor.start_cold(time.monotonic())
        lines = [
            endpoint_line("r0", removed.address, 0, "terminated"),
            endpoint_line("r1", cold.address, 1, "terminated"),
            endpoint_line("r1b", cold.address, 1, "in_service", int(1000 * started_at)),
        ]
        self.coordinator.publish(lines)
        removed.abort_connections()
        self.setup_times.clear()


@dataclass(frozen=True, slots=True, kw_only=True)
class Window:
    """The set-ups in one overload window of the cold server."""

    load: float = 0.0  # set-ups as a fraction of the number that overloads the server
    setups: int = 0
    ended_s: float = 0.0  # seconds after the cold start


def fullest_window(processor: Processor, setup_times: list[float]) -> Window:
    """Return the overload window with the highest load during the warm-up.

    The server's capacity grows as it warms up, so that the same number of set-ups is a lower load later on.
    """
    first, fullest = 0, Window()
    started_at = processor.started_cold_at or 0.0
    for index, at in enumerate(setup_times):
        while setup_times[first] <= at - PROFILE.overload_window_s:
            first += 1
        setups = index + 1 - first
        load = setups / (PROFILE.overload_multiple * processor.capacity(at) * PROFILE.overload_window_s)
        if at - started_at < PROFILE.warm_up_s and load > fullest.load:
            fullest = Window(load=load, setups=setups, ended_s=at - started_at)
    return fullest


async def measure(seed: int, *, leased: bool) -> None:
    """Carry out one run, and print its fullest window and its early set-ups."""
    run = ColdServerRun(seed, leased=leased)
    await run.run(run.on_progress)
    processor = run.servers[1].processor
    assert processor is not None
    window = fullest_window(processor, run.setup_times)
    early = sum(at - (processor.started_cold_at or 0.0) < EARLY_S for at in run.setup_times)
    kind = "leased    " if leased else "configured"
    print(
        f"{kind} seed {seed}: fullest window {100 * window.load:.0f} %"
        f" of the overload limit ({window.setups} set-ups, {window.ended_s:.1f} s after its start);"
        f" {early} in the first {EARLY_S:.0f} s"
        f"{', SERVER CRASHED' if processor.state is ProcessorState.CRASHED else ''}",
        flush=True,
    )


def main() -> None:
    """Carry out the number of runs given on the command line, with leased and with configured indices."""
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_RUNS
    for seed in range(runs):
        for leased in (False, True):
            uvloop.run(measure(seed, leased=leased))


if __name__ == "__main__":
    main()
