"""A cold roster server shared by three softswitches, one of which is paused, replaced and let go on: the
fullest window of set-ups at that server with numbers that are typed and with numbers that are claimed,
counted at the server, against what would push it over. Typed, the replacement has the number of the one that
it replaces.

    .venv/bin/python benchmarks/cold_claims.py [TURNS]

Prints a line a run; nothing here is a test.
"""

from __future__ import annotations

import random
import sys
import time
from pathlib import Path

import uvloop

sys.path.insert(0, str(Path(__file__).parents[1]))

from stairhatch.emulators.coordinator_emulator import endpoint_line
from stairhatch.emulators.processor import Processor, ProcessorProfile, ProcessorState
from stairhatch.fault_injection.member_process import MemberProcess
from stairhatch.fault_injection.process_run import FaultInjectionRun
from stairhatch.fault_injection.schedule import FaultSchedule

NAMES = ("s0", "s1", "s2", "s3")  # s3 replaces s1
PAUSED_AT, COLD_AT, ON_AT, ENDS_AT = 10.0, 17.0, 19.0, 30.0
CALLS = 25.0  # a second at each
NATURE = ProcessorProfile(setup_s=0.0095, warm_up_s=11.0, overload_window_s=1.0)


class Shared(FaultInjectionRun):
    """Typed numbers or claimed ones, and one server that starts cold when the other goes."""

    def __init__(self, claimed: bool, seed: int) -> None:
        schedule = FaultSchedule(ENDS_AT, NAMES, NAMES[:3], lease_duration_s=3.0)
        super().__init__(schedule, seed, calls=CALLS)
        self.claimed, self.steps = claimed, [PAUSED_AT, COLD_AT, ENDS_AT + 60]
        self.took: list[float] = []

    def _config_text(self, member: MemberProcess, epoch: int, voters: tuple[str, ...]) -> str:
        text = super()._config_text(member, epoch, voters)
        me = NAMES.index(member.name) if member.name != "s3" else 1
        text = text.replace("balancers = 3\n", f"balancers = 3\nme = {me}\n").replace(
            "warm_after_s = 4.0", f"warm_after_s = {NATURE.warm_up_s}"
        )
        return text if self.claimed else text.replace("list = true", "list = true\nnumbers = false")

    async def _open(self) -> None:
        await super()._open()
        for index, server in enumerate(self.servers):
            server.processor = Processor(NATURE, random.Random(self.seed * 31 + index))
        told = self.servers[1].observer

        def seen(what: str, number: str) -> None:
            if what == "set-up":
                self.took.append(time.monotonic())
            told(what, number)

        self.servers[1].observer = seen

    def step(self, passed: float) -> None:
        """What happens at its time."""
        if passed < self.steps[0]:
            return
        if self.steps.pop(0) == PAUSED_AT:
            self.members["s1"].stop(ON_AT - PAUSED_AT)
            return
        gone, cold = self.servers
        assert cold.processor is not None
        now = time.time()
        cold.abort_connections()
        cold.processor.start_cold(time.monotonic())
        self.coordinator.publish([
            endpoint_line("r0", gone.address, 0, "terminated"),
            endpoint_line("r1", cold.address, 1, "terminated"),
            endpoint_line("r1b", cold.address, 1, "in_service", int(1000 * now)),
        ])  # fmt: skip
        gone.abort_connections()
        self.took.clear()


def fullest(processor: Processor, times: list[float]) -> tuple[float, int, float]:
    """The window that came nearest to pushing it over: as a share, its set-ups, and when it ended. What a
    server can do grows as it warms, so the same count means less later on.
    """
    first, most, born = 0, (0.0, 0, 0.0), processor.started_cold_at or 0.0
    for index, at in enumerate(times):
        while times[first] <= at - NATURE.overload_window_s:
            first += 1
        count = index + 1 - first
        share = count / (NATURE.overload_multiple * processor.capacity(at) * NATURE.overload_window_s)
        if at - born < NATURE.warm_up_s:
            most = max(most, (share, count, at - born))
    return most


async def run(claimed: bool, seed: int) -> None:
    """One run."""
    lab = Shared(claimed, seed)
    await lab.run(lab.step)
    processor = lab.servers[1].processor
    assert processor is not None
    share, count, age = fullest(processor, lab.took)
    early = sum(at - (processor.started_cold_at or 0.0) < 5.0 for at in lab.took)
    print(
        f"{'claimed' if claimed else 'typed  '} seed {seed}: fullest window {100 * share:.0f} in 100 of what"
        f" pushes it over ({count} set-ups, {age:.1f} s after its start); {early} in the first 5 s"
        f"{', PUSHED OVER' if processor.state is ProcessorState.CRASHED else ''}",
        flush=True,
    )


if __name__ == "__main__":
    for turn in range(int(sys.argv[1]) if len(sys.argv) > 1 else 3):
        for each in (False, True):
            uvloop.run(run(each, turn))
