"""Runs the comparison scenario with real processes: a few softswitches and emulators on loopback.

Calls and list changes are identical to those of the simulated run, and every figure is counted at the same
place in both runs, because a figure counted differently would not be comparable.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import subprocess
import sys
import time
from collections import Counter, defaultdict
from collections.abc import Callable

from stairhatch.emulators.caller_emulator import CallerEmulator, CallResult, PlacedCall
from stairhatch.emulators.coordinator_emulator import CoordinatorEmulator, endpoint_line
from stairhatch.emulators.observations import ObservationKind
from stairhatch.emulators.ports import free_port
from stairhatch.emulators.server_emulator import ServerEmulator
from stairhatch.fault_injection.member_config import loopback_host
from stairhatch.fault_injection.member_process import ROOT, MemberProcess
from stairhatch.fault_injection.process_run import READY_TIMEOUT_S
from stairhatch.fault_injection.run_folder import create_run_folder
from stairhatch.load_test.event_loop_stall import EventLoopStall
from stairhatch.scale_test.call_generator import CallGenerator, GeneratedCall
from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.errors import ProcessStartError
from stairhatch.scale_test.figures import RealRunFigures
from stairhatch.scale_test.list_changes import FIRST_CHANGED_WEIGHT
from stairhatch.scale_test.member_log import MemberLog
from stairhatch.scale_test.real_config import config_text
from stairhatch.scale_test.roster_processor import create_processor
from stairhatch.scale_test.schema import PlannedEvent, PlannedEventKind, ScalePlan
from stairhatch.scale_test.simulation import ANSWER_MARGIN_S
from stairhatch.scale_test.topology import instance_name, softswitch_name
from stairhatch.scale_test.usage_totals import UsageTotals, compared_figures

POLL_INTERVAL_S = 0.05
PORTS_PER_SOFTSWITCH = 3  # SIP, fleet, admin endpoint

RESULTS = {
    CallResult.ESTABLISHED: SimulatedCallResult.ESTABLISHED,
    CallResult.REJECTED: SimulatedCallResult.REJECTED,
    CallResult.FAILED: SimulatedCallResult.FAILED,
    CallResult.UNANSWERED: SimulatedCallResult.FAILED,
}


async def _poll_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Return whether `condition` became true within the timeout.

    Polling is necessary because log files and call counts provide no event to await.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True


class RealRun:
    """One run of real processes; an instance runs once and then closes itself."""

    def __init__(self, plan: ScalePlan, settle_s: float) -> None:
        """Create the folder of the run and start its cleanup process; no softswitch is started yet.

        The cleanup process removes the folder even if this process is killed.
        """
        self.plan = plan
        self.settle_s = settle_s
        self.folder = create_run_folder()
        self._folder_cleanup = subprocess.Popen(
            [sys.executable, "-m", "stairhatch.fault_injection.folder_cleanup", str(self.folder)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
        )
        self._calls = CallGenerator(plan, self._place_call)
        self._members: list[MemberProcess] = []
        self._logs: list[MemberLog] = []
        self._servers: list[ServerEmulator] = []
        self._callers: list[CallerEmulator] = []
        self._coordinator = CoordinatorEmulator()
        self._stall = EventLoopStall()
        # Unix times of list changes, by instance
        self._changed_at: defaultdict[str, list[float]] = defaultdict(list)
        self._begins_at = 0.0  # the monotonic time at which the calls begin
        # `_close` cancels the tasks, and asyncio.run awaits them: awaiting them in `_close` would run the
        # event loop, in which the closed callers would hang up. A task group would end the run at the first
        # exception; here an exception in a task is raised after the calls have ended.
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> RealRunFigures:
        """Run the plan and return its figures.

        Raises ProcessStartError if a process fails to start, or doesn't log its counters in time.
        """
        try:
            await self._start()
            await asyncio.sleep(self.settle_s)
            totals_at_begin = await self._usage_totals()
            self._begins_at = time.monotonic()
            began_at_unix = time.time()
            self._create_tasks()
            await asyncio.sleep(self.plan.duration_s)
            totals_at_end = await self._usage_totals()
            timeout_s = self.plan.calls.hard_limit_s + ANSWER_MARGIN_S
            await _poll_until(lambda: not self._calls.open_calls, timeout_s)
            self._raise_task_faults()
            return self._figures(totals_at_begin, totals_at_end, began_at_unix)
        finally:
            self._close()

    async def _start(self) -> None:
        for index in range(self.plan.server_count):
            await self._start_server(index)
        await self._coordinator.listen()
        self._coordinator.publish([self._endpoint_line(index) for index in range(self.plan.server_count)])
        self._start_members()
        if not await _poll_until(self._all_serving, READY_TIMEOUT_S):
            raise ProcessStartError("real: a softswitch was not serving in time")
        for member in self._members:
            caller = await CallerEmulator.over_udp(member.sip, f"c{member.name}", self.plan.seed)
            self._callers.append(caller)

    async def _start_server(self, index: int) -> None:
        server = ServerEmulator(
            lines=self.plan.server.call_capacity,
            processor=create_processor(self.plan, index),
            load_report_interval_s=self.plan.server.load_report_interval_s,
        )

        def observe(kind: ObservationKind, called_number: str) -> None:
            """Record the server that established a call."""
            if kind is ObservationKind.ESTABLISHED:
                self._calls.record_server(called_number, index)

        server.observer = observe
        self._servers.append(await server.listen())

    def _start_members(self) -> None:
        host = loopback_host()
        ports: set[int] = set()
        while len(ports) < PORTS_PER_SOFTSWITCH * self.plan.softswitch_count:
            ports.add(free_port(host))
        for index in range(self.plan.softswitch_count):
            name = softswitch_name(index)
            folder = self.folder / name
            folder.mkdir()
            sip, listen, admin_endpoint = ((host, ports.pop()) for _ in range(PORTS_PER_SOFTSWITCH))
            self._members.append(MemberProcess(name, folder, sip, listen, admin_endpoint))
            self._logs.append(MemberLog(folder / "log"))
        for index, member in enumerate(self._members):
            text = config_text(self.plan, self._members, index, self._coordinator.address)
            member.config_file.write_text(text)
            member.start()

    def _all_serving(self) -> bool:
        """Return whether all softswitches serve and have leased their instance index, if indexes are leased.

        Raises ProcessStartError if a process has exited.
        """
        fleet = self.plan.fleet
        leases_index = fleet is not None and fleet.lease_instance_index
        for member, log in zip(self._members, self._logs, strict=True):
            assert member.process is not None
            if member.process.poll() is not None:
                raise ProcessStartError(f"real: {member.name} exited during its start: {log.last_line()}")
            if not log.is_serving(leases_index):
                return False
        return True

    def _endpoint_line(self, index: int) -> dict[str, object]:
        return endpoint_line(instance_name(index), self._servers[index].address, index)

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._begins_at

    def _create_tasks(self) -> None:
        self._tasks += [
            asyncio.create_task(self._stall.watch()),
            asyncio.create_task(self._request_calls()),
            *(asyncio.create_task(self._change_list(event)) for event in self.plan.events),
        ]

    def _raise_task_faults(self) -> None:
        for task in self._tasks:
            if task.done():
                task.result()

    async def _request_calls(self) -> None:
        for call in self._calls.calls_from_outside():
            await asyncio.sleep(max(0.0, call.at_s - self._elapsed_s()))
            self._calls.request(call)

    def _place_call(self, call: GeneratedCall) -> None:
        def record_final_answer(
            _placed: PlacedCall, result: CallResult, _took_s: float, _status: int
        ) -> None:
            """Record the final answer of the call with its time."""
            self._calls.record_result(call, RESULTS[result], self._elapsed_s())

        now = asyncio.get_running_loop().time()
        self._callers[call.softswitch].place(call.called_number, call.hold_s, now, record_final_answer)

    async def _change_list(self, event: PlannedEvent) -> None:
        """Publish the list changes of an event at their times; the scenario has no other kind of event."""
        assert event.kind is PlannedEventKind.LIST_CHANGE
        for order in range(event.count):
            due_s = event.at_s + event.duration_s * order / event.count
            await asyncio.sleep(max(0.0, due_s - self._elapsed_s()))
            index = order % len(self._servers)
            self._changed_at[instance_name(index)].append(time.time())
            self._coordinator.publish(
                [{**self._endpoint_line(index), "weight": FIRST_CHANGED_WEIGHT + order}]
            )

    async def _usage_totals(self) -> UsageTotals:
        """Return the usage up to now, from the emulators and the softswitches' counters.

        A softswitch logs its counters on SIGUSR1. Raises ProcessStartError if one doesn't in time.
        """
        reports_before = [log.counter_reports() for log in self._logs]
        for member in self._members:
            member.send_signal(signal.SIGUSR1)
        counters: Counter[str] = Counter()
        for member, log, before in zip(self._members, self._logs, reports_before, strict=True):

            def has_reported(log: MemberLog = log, before: int = before) -> bool:
                """Return whether the softswitch has logged its counters since the signal."""
                return log.counter_reports() > before

            if not await _poll_until(has_reported, READY_TIMEOUT_S):
                raise ProcessStartError(f"real: {member.name} did not log its counters in time")
            counters.update(log.last_counters())
        return UsageTotals(
            setups=sum(server.setup_count for server in self._servers),
            list_messages=self._coordinator.poll_count,
            list_bytes=self._coordinator.poll_bytes + self._coordinator.answer_bytes,
            lease_messages=counters["fleet_sent"],
            lease_bytes=counters["fleet_sent_bytes"],
        )

    def _in_force_ms(self, since: float) -> list[float]:
        """Return the milliseconds from each list change until each softswitch logged that it applied it.

        `since` is a Unix time; earlier log lines are ignored.
        """
        in_force_ms = []
        for log in self._logs:
            received: Counter[str] = Counter()
            for listed in log.listed_servers(since):
                changed_at = self._changed_at[listed.instance]
                if received[listed.instance] < len(changed_at):
                    in_force_ms.append(1000 * (listed.at - changed_at[received[listed.instance]]))
                    received[listed.instance] += 1
        return in_force_ms

    def _figures(self, at_begin: UsageTotals, at_end: UsageTotals, since: float) -> RealRunFigures:
        in_force_ms = self._in_force_ms(since)
        setups = sum(server.setup_count for server in self._servers) - at_begin.setups
        change_count = sum(map(len, self._changed_at.values()))
        return RealRunFigures(
            compared=compared_figures(self._calls.tally, at_end - at_begin, setups, in_force_ms),
            not_received=len(self._members) * change_count - len(in_force_ms),
            unanswered=len(self._calls.open_calls),
            calls=self._calls.tally.figures(),
            longest_stall_s=round(self._stall.longest_s, 3),
        )

    def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for caller in self._callers:
            caller.close()
        for member in self._members:
            member.kill()
        self._coordinator.close()
        for server in self._servers:
            server.stop_listening()
            server.abort_connections()
        self._remove_folder()

    def _remove_folder(self) -> None:
        """Make the cleanup process remove the folder, by closing its standard input, and await its exit."""
        assert self._folder_cleanup.stdin is not None
        with contextlib.suppress(OSError):
            self._folder_cleanup.stdin.close()
        self._folder_cleanup.wait()
