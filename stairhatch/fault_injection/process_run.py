"""One run on real processes: softswitches of this program, emulated servers, callers and the links between.

`FaultInjectionRun` starts and ends all of them in order, whatever happens; `fault_injector` carries out the
faults in between, and `run_report` checks the rules over what was observed.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from stairhatch.emulators.coordinator_emulator import CoordinatorEmulator, endpoint_line
from stairhatch.emulators.ports import free_port
from stairhatch.emulators.processor import Processor, ProcessorProfile, ProcessorState
from stairhatch.emulators.server_emulator import ServerEmulator
from stairhatch.fault_injection.callers import Callers
from stairhatch.fault_injection.errors import RunError
from stairhatch.fault_injection.fault_injector import MAX_PAUSE_S, FaultInjector
from stairhatch.fault_injection.folder_cleanup import FOLDER_PREFIX
from stairhatch.fault_injection.member_config import (
    CONFIG_TEMPLATE,
    CONFIG_TEMPLATE_WITHOUT_FLEET,
    ConfigRenderer,
    loopback_host,
)
from stairhatch.fault_injection.member_process import ROOT, MemberProcess
from stairhatch.fault_injection.network_links import NetworkLinks
from stairhatch.fault_injection.run_report import RunObservations, RunReport
from stairhatch.fault_injection.run_tasks import RunTasks
from stairhatch.fault_injection.schedule import FaultSchedule, MemberNames
from stairhatch.load_test.event_loop_stall import EventLoopStall

READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.02
ENDPOINT_CHANGE_LEASES = 0.25  # lease durations between two changes that the holder has to relay
CALLS_PER_S = 3.0  # to each softswitch
ROSTER_SERVERS = 2
ROSTER_LINES = 200
ROSTER_SERVER_PROFILE = ProcessorProfile(setup_s=0.005, warm_up_s=4.0, overload_window_s=1.0)
MAX_CLOCK_OFFSET_S = 1e5
CALL_SLACK_S = 0.05  # of the rules of calls, beside the time for which this process did not run


class FaultInjectionRun:
    """One run of a schedule.

    Its processes and its folder go with it, whatever happens to it. `keep` is a folder to which everything
    that the processes wrote is copied at the end.
    """

    def __init__(
        self,
        schedule: FaultSchedule,
        seed: int,
        keep: Path | None = None,
        calls: float = CALLS_PER_S,
        fleet: bool = True,
    ) -> None:
        """`fleet` off leaves `[fleet]` out of each file, to measure what leases cost."""
        self.schedule = schedule
        self.seed = seed
        self.keep = keep
        self.calls_per_s = calls
        self.config_template = CONFIG_TEMPLATE if fleet else CONFIG_TEMPLATE_WITHOUT_FLEET
        self.rng = random.Random(f"lab {seed}")
        self.folder = Path(tempfile.mkdtemp(prefix=FOLDER_PREFIX))
        self.cleanup = subprocess.Popen(
            [sys.executable, "-m", "stairhatch.fault_injection.folder_cleanup", str(self.folder)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
        )
        self.members: dict[str, MemberProcess] = {}
        self.servers: list[ServerEmulator] = []
        self.coordinator = CoordinatorEmulator()
        self.tasks = RunTasks()
        self.started_at = 0.0
        self.stall = EventLoopStall()
        self.used_ports: set[int] = set()

    async def run(self, on_progress: Callable[[float], None] = lambda _elapsed_s: None) -> RunReport:
        """Carry out the run; `on_progress` is called with the seconds that have passed.

        Raises RunError where it cannot be carried out.
        """
        self.links = NetworkLinks(self.seed)
        self.config = ConfigRenderer(
            template=self.config_template, schedule=self.schedule, address_for=self.links.address_for
        )
        try:
            await self._open()
            try:
                return await self._carry_out(on_progress)
            finally:
                self.injector.close()
                self.callers.close()
        finally:
            self._close()

    async def _carry_out(self, on_progress: Callable[[float], None]) -> RunReport:
        watching = asyncio.create_task(self.stall.watch())
        self.started_at = time.monotonic()
        self.tasks.spawn(self._change_endpoints())
        self.tasks.spawn(self.injector.back_up_regularly())
        await self.callers.open()
        await self.injector.run(self.started_at, on_progress)
        self.callers.close()
        watching.cancel()
        return self._observations().report()

    async def _open(self) -> None:
        await self._open_servers()
        self._create_members()
        self.injector = FaultInjector(self.schedule, self.members, self.links, self.rng, self._write_config)
        await self.links.open({name: each.listen for name, each in self.members.items()})
        for name, member in self.members.items():
            address = await self.links.open_connection_link(name, self.coordinator.address)
            self.config.coordinator_links[name] = address
            self._write_config(member, 1, self.schedule.voters)
        self.callers = Callers(self.seed, list(self.members.values()), self.servers, self.calls_per_s)
        for member in self.members.values():
            member.start()
        await self._wait_until_serving()

    async def _open_servers(self) -> None:
        for index in range(ROSTER_SERVERS):
            processor = Processor(ROSTER_SERVER_PROFILE, random.Random(self.seed * 31 + index))
            self.servers.append(await ServerEmulator(lines=ROSTER_LINES, processor=processor).listen())
        await self.coordinator.listen()
        self.coordinator.publish(
            [endpoint_line(f"r{index}", server.address, index) for index, server in enumerate(self.servers)]
        )

    def _create_members(self) -> None:
        host = loopback_host()
        for name in self.schedule.members:
            folder = self.folder / name
            folder.mkdir()
            sip, listen, admin_endpoint = ((host, self._unused_port(host)) for _ in range(3))
            clock_rate = self.schedule.clock_rates.get(name, 1.0)
            clock_offset_s = self.rng.uniform(0, MAX_CLOCK_OFFSET_S)
            self.members[name] = MemberProcess(
                name, folder, sip, listen, admin_endpoint, clock_rate, clock_offset_s
            )

    def _unused_port(self, host: str) -> int:
        """A port that was not given out before: the system takes it for free again at once."""
        while (port := free_port(host)) in self.used_ports:
            pass
        self.used_ports.add(port)
        return port

    def _config_text(self, member: MemberProcess, epoch: int, voters: MemberNames) -> str:
        return self.config.render(member, epoch, voters)

    def _write_config(self, member: MemberProcess, epoch: int, voters: MemberNames) -> None:
        member.config_file.write_text(self._config_text(member, epoch, voters))

    async def _wait_until_serving(self) -> None:
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while not all(_is_serving(member) for member in self.members.values()):
            if time.monotonic() > give_up_at:
                raise RunError("it does not serve")
            await asyncio.sleep(READY_POLL_S)

    async def _change_endpoints(self) -> None:
        """Change the endpoint list now and then, by a server that nobody calls."""
        serial = 0
        while True:
            await asyncio.sleep(self.schedule.lease_duration_s * ENDPOINT_CHANGE_LEASES)
            serial += 1
            state = "terminated" if serial % 2 else "terminating"
            self.coordinator.publish([endpoint_line("ghost", ("127.0.0.1", 9), 9, state)])

    def _observations(self) -> RunObservations:
        records = sorted(self.injector.records(), key=lambda each: each.at_s)
        ended_at = self.started_at + self.injector.duration_s
        quiet_since = ended_at - self.schedule.fault_free_s / 2
        call_violations = self.callers.find_violations(CALL_SLACK_S + self.stall.longest_s)
        return RunObservations(
            schedule=self.schedule,
            ended_at=ended_at,
            records=records,
            activations=self.injector.activations,
            link_activations=self.links.conditions.activations,
            calls={end.value: count for end, count in self.callers.end_counts.items()},
            call_violations=[each.line() for each in call_violations],
            lacks_calls_at_end=bool(
                self.calls_per_s and not self.callers.count_established_since(quiet_since)
            ),
            overloaded_servers=sum(
                server.processor is not None and server.processor.state is ProcessorState.CRASHED
                for server in self.servers
            ),
            datagrams_forwarded=self.links.datagrams_forwarded,
            stalled_s=self.stall.longest_s,
        )

    def _close(self) -> None:
        for member in self.members.values():
            member.kill()
        self.tasks.cancel()
        self.links.close()
        self.coordinator.close()
        for server in self.servers:
            server.stop_listening()
            server.abort_connections()
        if self.keep is not None:
            with contextlib.suppress(shutil.Error):
                shutil.copytree(self.folder, self.keep, dirs_exist_ok=True)
        assert self.cleanup.stdin is not None
        self.cleanup.stdin.close()
        self.cleanup.wait()


def _is_serving(member: MemberProcess) -> bool:
    """Whether a softswitch has logged that it serves. Raises RunError where it has ended."""
    assert member.process is not None
    log = (member.folder / "log").read_text(errors="replace")
    if member.process.poll() is not None:
        raise RunError(f"{member.name} ended at its start: {' '.join(log.splitlines()[-1:])}")
    return " serving " in log


async def run_schedule(
    schedule: FaultSchedule,
    seed: int,
    keep: Path | None = None,
    on_progress: Callable[[float], None] = lambda _elapsed_s: None,
) -> RunReport:
    """Carry out one run, and leave nothing behind but `keep`.

    Raises RunError where it cannot be carried out.
    """
    run = FaultInjectionRun(schedule, seed, keep)
    timeout_s = 2 * READY_TIMEOUT_S + schedule.duration_s + MAX_PAUSE_S
    try:
        return await asyncio.wait_for(run.run(on_progress), timeout_s)
    except TimeoutError as error:
        raise RunError(f"not ended after {timeout_s:.0f} s") from error
