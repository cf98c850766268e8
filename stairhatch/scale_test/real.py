"""The same scenario by real processes: owns a few softswitches of this program on loopback, their stand-ins
and callers, and what is counted of them. What is offered, told and counted is the hollow run's; it must never
count anything that the hollow run counts another way.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path
from typing import Any

from stairhatch.emulators import caller_emulator as callers
from stairhatch.emulators.caller_emulator import CallerEmulator, PlacedCall
from stairhatch.emulators.coordinator_emulator import CoordinatorEmulator, endpoint_line
from stairhatch.emulators.observations import ObservationKind
from stairhatch.emulators.ports import free_port
from stairhatch.emulators.processor import Processor
from stairhatch.emulators.server_emulator import ServerEmulator, ServerObserver
from stairhatch.fault_injection.folder_cleanup import FOLDER_PREFIX
from stairhatch.fault_injection.member_config import loopback_host
from stairhatch.fault_injection.member_process import ROOT, MemberProcess
from stairhatch.fault_injection.process_run import READY_TIMEOUT_S
from stairhatch.load_test.event_loop_stall import EventLoopStall
from stairhatch.scale_test.plan import (
    NUMBERS,
    Happens,
    PlannedEventKind,
    ScaleError,
    ScalePlan,
    SimulatedCallResult,
    Traffic,
    Wanted,
    quantile,
    settings_for,
)
from stairhatch.scale_test.world import AFTER_S, nature_of

LOOK_S = 0.05
HEAD = """\
name = "{name}"
coordinator = "{coordinator}"

[sip]
udp = "{sip}"
contact = "{sip}"
default_class = "s0"
restart_wait_s = 1.0
"""
ENDS = {
    callers.CallResult.ESTABLISHED: SimulatedCallResult.STOOD,
    callers.CallResult.REJECTED: SimulatedCallResult.REFUSED,
    callers.CallResult.FAILED: SimulatedCallResult.FAILED,
    callers.CallResult.UNANSWERED: SimulatedCallResult.FAILED,
}


def toml_of(value: Any) -> str:
    """A value as TOML has it: JSON's lists, texts and numbers are the same, tables stand on one line."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{name} = {toml_of(each)}" for name, each in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(map(toml_of, value)) + "]"
    return json.dumps(value)


def at(place: tuple[str, int]) -> str:
    """An address as files have it."""
    return f"{place[0]}:{place[1]}"


class Processes:
    """One run."""

    def __init__(self, plan: ScalePlan, settle_s: float) -> None:
        self.plan, self.settle_s = plan, settle_s
        self.folder = Path(tempfile.mkdtemp(prefix=FOLDER_PREFIX))
        self.reaper = subprocess.Popen(
            [sys.executable, "-m", "stairhatch.fault_injection.folder_cleanup", str(self.folder)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
        )
        self.traffic = Traffic(plan)
        self.traffic.place = self._place
        self.members: list[MemberProcess] = []
        self.servers: list[ServerEmulator] = []
        self.callers: list[CallerEmulator] = []
        self.coordinator = CoordinatorEmulator()
        self.stall = EventLoopStall()
        self.told: dict[str, list[float]] = defaultdict(list)  # when lines were told anew, in Unix time
        self.begin = 0.0
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self, look: Callable[[float], None] = lambda passed: None) -> dict[str, Any]:
        """All of it: what was counted."""
        try:
            await self._open()
            await asyncio.sleep(self.settle_s)
            before = await self._counted()
            self.begin = time.monotonic()
            begun_unix = time.time()
            self.tasks += [asyncio.create_task(each) for each in (self.stall.watch(), self._calls())]
            self.tasks += [asyncio.create_task(self._happen(event)) for event in self.plan.event]
            while self._passed() < self.plan.seconds:
                await asyncio.sleep(LOOK_S)
                look(self._passed())
            counted = await self._counted()
            last = time.monotonic() + self.plan.calls.limit_s + AFTER_S
            while self.traffic.open and time.monotonic() < last:
                await asyncio.sleep(LOOK_S)
            for task in self.tasks[1:]:  # a fault in one of them is the run's
                if task.done():
                    task.result()
            return self._figures(before, counted, begun_unix)
        finally:
            self._close()

    async def _open(self) -> None:
        plan, host = self.plan, loopback_host()
        for index in range(plan.servers):
            processor = Processor(nature_of(plan), random.Random(plan.seed * 31 + index))
            server = ServerEmulator(
                lines=plan.server.lines, processor=processor, load_report_interval_s=plan.server.state_s
            )
            server.observer = self._observer(index)
            self.servers.append(await server.listen())
        await self.coordinator.listen()
        self.coordinator.publish([self._line(n) for n in range(plan.servers)])
        ports: set[int] = set()
        while len(ports) < 3 * plan.softswitches:
            ports.add(free_port(host))
        for index in range(plan.softswitches):
            folder = self.folder / f"s{index}"
            folder.mkdir()
            sip, listen, door = ((host, ports.pop()) for _ in range(3))
            self.members.append(MemberProcess(f"s{index}", folder, sip, listen, door))
        for member in self.members:
            member.config_file.write_text(self._file(member))
            member.start()
        await self._until(lambda: all(map(self._ready, self.members)), "a softswitch does not serve")
        for member in self.members:
            self.callers.append(await CallerEmulator.over_udp(member.sip, f"c{member.name}", plan.seed))

    def _line(self, index: int) -> dict[str, Any]:
        return endpoint_line(f"r{index}", self.servers[index].address, index)

    def _file(self, member: MemberProcess) -> str:
        plan, index = self.plan, int(member.name[1:])
        text = HEAD.format(name=member.name, coordinator=at(self.coordinator.address), sip=at(member.sip))
        for service in range(plan.services):
            text += f'[[sip.numbers]]\nprefix = "{NUMBERS + service}"\nclass = "s{service}"\n'
        numbered = plan.fleet is not None and plan.fleet.numbers
        settings = settings_for(plan) | ({} if numbered else {"me": index})
        text += "[settings]\n" + "".join(f"{name} = {toml_of(value)}\n" for name, value in settings.items())
        if plan.fleet is not None:
            told = plan.fleet
            voters = {each.name: at(each.listen) for each in self.members[: told.voters]}
            fleet = {
                "name": "scale", "listen": at(member.listen), "folder": "state", "term_s": told.term_s,
                "drift": told.drift, "numbers": told.numbers, "list": told.list, "voters": voters,
            }  # fmt: skip
            text += "[fleet]\n" + "".join(f"{name} = {toml_of(value)}\n" for name, value in fleet.items())
        return text

    def _log(self, member: MemberProcess) -> list[str]:
        return (member.folder / "log").read_text(errors="replace").splitlines()

    def _ready(self, member: MemberProcess) -> bool:
        """Whether it serves, by a number of its own where numbers are claimed."""
        assert member.process is not None
        lines = self._log(member)
        if member.process.poll() is not None:
            raise ScaleError(f"real: {member.name} ended at its start: {' '.join(lines[-1:])}")
        numbered = self.plan.fleet is None or not self.plan.fleet.numbers
        numbered = numbered or any(" fleet what=instance_index " in each for each in lines)
        return numbered and any(" serving " in each for each in lines)

    async def _until(self, done: Callable[[], bool], why: str) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        while not done():
            if time.monotonic() > end:
                raise ScaleError(f"real: {why}")
            await asyncio.sleep(LOOK_S)

    def _passed(self) -> float:
        return time.monotonic() - self.begin

    def _observer(self, index: int) -> ServerObserver:
        def observe(kind: ObservationKind, number: str) -> None:
            if kind is ObservationKind.ESTABLISHED:
                self.traffic.stood_at(number, index)

        return observe

    def _place(self, wanted: Wanted) -> None:
        def told(call: PlacedCall, end: callers.CallResult, took_s: float, status: int) -> None:
            self.traffic.ended(wanted, ENDS[end], self._passed())

        now = asyncio.get_running_loop().time()
        self.callers[wanted.softswitch].place(wanted.number, wanted.hold_s, now, told)

    async def _calls(self) -> None:
        for wanted in self.traffic.from_outside():
            await asyncio.sleep(max(0.0, wanted.at - self._passed()))
            self.traffic.ask(wanted)

    async def _happen(self, event: Happens) -> None:
        """The scenario has changes of the list only."""
        assert event.what is PlannedEventKind.CHANGE
        for order in range(event.count):
            due = event.at + event.lasts * order / event.count
            await asyncio.sleep(max(0.0, due - self._passed()))
            index = order % len(self.servers)
            self.told[f"r{index}"].append(time.time())
            self.coordinator.publish([{**self._line(index), "weight": 2 + order}])

    async def _counted(self) -> dict[str, float]:
        """What grows. The counters come with a line in each log."""
        known = [sum(" counters " in each for each in self._log(member)) for member in self.members]
        for member in self.members:
            member.send_signal(signal.SIGUSR1)
        counters: dict[str, int] = defaultdict(int)
        for member, lines in zip(self.members, known, strict=True):

            def told(member: MemberProcess = member, lines: int = lines) -> bool:
                return sum(" counters " in each for each in self._log(member)) > lines

            await self._until(told, f"{member.name} tells no counters")
            words = next(each for each in reversed(self._log(member)) if " counters " in each).split()[2:]
            for name, _, value in (word.partition("=") for word in words):
                counters[name] += int(value)
        return {
            "set_ups": sum(each.setup_count for each in self.servers),
            "list_messages": self.coordinator.poll_count,
            "list_bytes": self.coordinator.poll_bytes + self.coordinator.answer_bytes,
            "claim_messages": counters["fleet_sent"], "claim_bytes": counters["fleet_sent_bytes"],
        }  # fmt: skip

    def _in_force(self, since: float) -> list[float]:
        """Milliseconds from each change until each softswitch said that it had taken it in."""
        found = []
        for member in self.members:
            taken: dict[str, int] = defaultdict(int)
            for text in self._log(member):
                words = text.split()
                if len(words) > 2 and words[1] == "server_listed" and float(words[0]) >= since:
                    name = words[2].partition("=")[2]
                    if taken[name] < len(self.told[name]):
                        found.append(1000 * (float(words[0]) - self.told[name][taken[name]]))
                        taken[name] += 1
        return sorted(found)

    def _figures(self, before: dict[str, float], counted: dict[str, float], since: float) -> dict[str, Any]:
        ends, force = self.traffic.tally.ends, self._in_force(since)
        grown = {name: counted[name] - before[name] for name in counted}
        grown["set_ups"] = sum(each.setup_count for each in self.servers) - before["set_ups"]
        compared = {
            "stood": ends[SimulatedCallResult.STOOD.value],
            "refused": ends[SimulatedCallResult.REFUSED.value],
            "failed": ends[SimulatedCallResult.FAILED.value],
            **grown,
            "in_force_ms": quantile(force, 0.5),
        }
        missed = len(self.members) * sum(map(len, self.told.values())) - len(force)
        return {
            "compared": compared, "not_heard": missed, "unanswered": len(self.traffic.open),
            "calls": self.traffic.tally.figures(), "stalled_s": round(self.stall.longest_s, 3),
        }  # fmt: skip

    def _close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for caller in self.callers:
            caller.close()
        for member in self.members:
            member.kill()
        self.coordinator.close()
        for server in self.servers:
            server.stop_listening()
            server.abort_connections()
        assert self.reaper.stdin is not None
        with contextlib.suppress(OSError):
            self.reaper.stdin.close()
        self.reaper.wait()
