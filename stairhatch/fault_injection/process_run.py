"""One run on real processes: softswitches of this program, emulated servers, callers, and their links.

`FaultInjectionRun` starts all of them, and ends them even if the run fails. `fault_injector` injects the
faults during the run, and `run_report` checks the rules over the run's observations.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
import subprocess
import sys
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
from stairhatch.fault_injection.member_config import (
    CONFIG_TEMPLATE,
    CONFIG_TEMPLATE_WITHOUT_FLEET,
    ConfigRenderer,
    loopback_host,
)
from stairhatch.fault_injection.member_process import ROOT, MemberProcess
from stairhatch.fault_injection.network_links import NetworkLinks
from stairhatch.fault_injection.run_folder import create_run_folder
from stairhatch.fault_injection.run_report import RunObservations, RunReport
from stairhatch.fault_injection.run_tasks import RunTasks
from stairhatch.fault_injection.schedule import FaultSchedule, MemberNames
from stairhatch.load_test.event_loop_stall import EventLoopStall

READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.02
ENDPOINT_CHANGE_LEASES = 0.25  # lease durations between two list changes, which the holder must relay
CALLS_PER_S = 3.0  # to each softswitch
ROSTER_SERVERS = 2
ROSTER_LINES = 200
ROSTER_SERVER_PROFILE = ProcessorProfile(setup_s=0.005, warm_up_s=4.0, overload_window_s=1.0)
MAX_CLOCK_OFFSET_S = 1e5
CALL_SLACK_S = 0.05  # slack of the call rules, added to the longest event loop stall


class FaultInjectionRun:
    """Runner of one schedule on real processes.

    The processes end and the temporary folder is removed with the run, even if this process is killed. `keep`
    is a folder to which all files of the processes are copied at the end of the run; None keeps none.
    """

    def __init__(
        self,
        schedule: FaultSchedule,
        seed: int,
        keep: Path | None = None,
        calls: float = CALLS_PER_S,
        fleet: bool = True,
    ) -> None:
        """Create the run's temporary folder; no softswitch is started yet.

        `calls` is the rate of calls to each softswitch, per second. `fleet=False` omits `[fleet]` from each
        configuration file, to measure the cost of leases.
        """
        self.schedule = schedule
        self.seed = seed
        self.keep = keep
        self.calls_per_s = calls
        self.config_template = CONFIG_TEMPLATE if fleet else CONFIG_TEMPLATE_WITHOUT_FLEET
        self.rng = random.Random(f"lab {seed}")
        self.folder = create_run_folder()
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
        """Carry out the run and return its report.

        `on_progress` is called at each poll with the elapsed seconds. Raises RunError if a softswitch exits
        during start-up or does not serve in time.
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
        stall_watch = asyncio.create_task(self.stall.watch())
        self.started_at = time.monotonic()
        self.tasks.spawn(self._change_endpoints())
        self.tasks.spawn(self.injector.back_up_periodically())
        await self.callers.open()
        await self.injector.run(self.started_at, on_progress)
        self.callers.close()
        stall_watch.cancel()
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
        """Return a free port that no softswitch of this run has been given yet.

        The system may offer a port again at once, because nothing is bound to it yet.
        """
        while (port := free_port(host)) in self.used_ports:
            pass
        self.used_ports.add(port)
        return port

    def _config_text(self, member: MemberProcess, epoch: int, voters: MemberNames) -> str:
        return self.config.render(member, epoch, voters)

    def _write_config(self, member: MemberProcess, epoch: int, voters: MemberNames) -> None:
        member.config_file.write_text(self._config_text(member, epoch, voters))

    async def _wait_until_serving(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all(_is_serving(member) for member in self.members.values()):
            if time.monotonic() > deadline:
                raise RunError("not all softswitches serve before the start-up timeout")
            await asyncio.sleep(READY_POLL_S)

    async def _change_endpoints(self) -> None:
        """Change the endpoint list periodically, by the state of a server that receives no calls."""
        change_count = 0
        while True:
            await asyncio.sleep(self.schedule.lease_duration_s * ENDPOINT_CHANGE_LEASES)
            change_count += 1
            state = "terminated" if change_count % 2 else "terminating"
            self.coordinator.publish([endpoint_line("ghost", ("127.0.0.1", 9), 9, state)])

    def _observations(self) -> RunObservations:
        records = sorted(self.injector.records(), key=lambda each: each.at_s)
        ended_at = self.started_at + self.injector.duration_s
        recovered_since = ended_at - self.schedule.fault_free_s / 2
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
                self.calls_per_s and not self.callers.count_established_since(recovered_since)
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
    """Whether a softswitch has logged that it serves. Raises RunError if its process has exited."""
    assert member.process is not None
    log = (member.folder / "log").read_text(errors="replace")
    if member.process.poll() is not None:
        raise RunError(f"{member.name} exited during start-up: {' '.join(log.splitlines()[-1:])}")
    return " serving " in log


async def run_schedule(
    schedule: FaultSchedule,
    seed: int,
    keep: Path | None = None,
    on_progress: Callable[[float], None] = lambda _elapsed_s: None,
) -> RunReport:
    """Carry out one run and return its report; only the files in `keep` remain afterwards.

    `on_progress` is called at each poll with the elapsed seconds. Raises RunError if the run cannot be
    carried out or does not end in time.
    """
    run = FaultInjectionRun(schedule, seed, keep)
    timeout_s = 2 * READY_TIMEOUT_S + schedule.duration_s + MAX_PAUSE_S
    try:
        return await asyncio.wait_for(run.run(on_progress), timeout_s)
    except TimeoutError as error:
        raise RunError(f"run did not end within {timeout_s:.0f} s") from error
