"""One run of a lab: real processes of this program, stand-ins around them, a relay on every way, and the
faults of a schedule. Owns the order in which all that begins and ends; whatever happens to it, its processes
and its folder go with it. It must never judge: `rules` does, from the histories.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shutil
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from msgspec.structs import replace

from stairhatch.fault_injection import lease_rules
from stairhatch.fault_injection.callers import Callers
from stairhatch.fault_injection.folder_cleanup import FOLDER_PREFIX
from stairhatch.fault_injection.history import HistoryRecord
from stairhatch.fault_injection.lease_rules import RuleViolation
from stairhatch.fault_injection.member_process import ROOT, MemberProcess
from stairhatch.fault_injection.network_links import NetworkLinks
from stairhatch.fault_injection.schedule import (
    DATA_DIRECTORY_FAULTS,
    HOLDER,
    FaultKind,
    FaultSchedule,
    ScheduledFault,
    blocks_traffic,
)
from stairhatch.fault_injection.virtual_cluster import ENDPOINT_LIST_LEASE
from stairhatch.fleet.effects import What
from stairhatch.load.clock import Stall
from stairhatch.standin.coordinator import Coordinator, line
from stairhatch.standin.ports import free_port
from stairhatch.standin.processor import Nature, Processor, State
from stairhatch.standin.roster import StandIn

READY_S = 30.0
LOOK_S = 0.005
NEWS_PART = (
    0.25  # of a term: so often the coordinator has something new, and its follower something to hand on
)
COPY_S = 0.5
WAIT_TERMS = 2.0  # so long a fault that wants a holder waits for one
CALLS = 3.0  # a second at each softswitch
FILE = """name = "{name}"
console = "{door}"
coordinator = "{coordinator}"

[sip]
udp = "{sip}"
contact = "{sip}"
default_class = "read"
restart_wait_s = 1.0

[settings]
balancers = {balancers}

[[settings.classes]]
name = "read"
aim_s = 1.0
hard_limit_s = 3.0
importance = 1.0
late_worth = 0.25

[settings.family_info]
clear_wait_s = 0.5
retransmit_s = 0.8
call_length_s = [1.0]

[settings.permissions]
send_cap = 6
cancel = true
max_retry_after_s = 1.0

[settings.load_report]
names = ["free", "size", "mean_ms", "can_take"]

[settings.safety]
answer_slack_s = 0.02
drain_grace_s = 1.0
cold_from = 0.3
warm_after_s = 4.0
fall_multiple = 2.5
fall_s = {fall_s}

[fleet]
name = "lab"
listen = "{listen}"
folder = "state"
history = "history.jsonl"
term_s = {term_s}
drift = {drift}
list = true
restarts = 1
epoch = {epoch}
voters = {{ {voters} }}
"""


class RunError(Exception):
    """A run that could not be carried out, with the reason in one line."""


@dataclass
class RunReport:
    """What came of a run."""

    violations: list[RuleViolation]
    call_violations: list[str]
    activations: Counter[str]
    records: list[HistoryRecord]
    overloaded_servers: int  # roster servers pushed over while cold
    holds: int
    calls: dict[str, int] = field(default_factory=dict)
    datagrams_forwarded: int = 0
    stalled_s: float = 0.0

    @property
    def good(self) -> bool:
        """Whether no rule was broken."""
        return not (self.violations or self.call_violations or self.overloaded_servers)


def format_address(place: tuple[str, int]) -> str:
    """An address as files have it."""
    return f"{place[0]}:{place[1]}"


def loopback_host() -> str:
    """A loopback address for the softswitches of this process's lab. Nobody else binds there, so a port that
    one held is still free when it is started again: on 127.0.0.1 any connection may have taken it.
    """
    number = os.getpid() % (126 * 254 * 254)
    return f"127.{1 + number // (254 * 254)}.{1 + number // 254 % 254}.{1 + number % 254}"


class FaultInjectionRun:
    """One run."""

    def __init__(
        self,
        schedule: FaultSchedule,
        seed: int,
        keep: Path | None = None,
        calls: float = CALLS,
        fleet: bool = True,
    ) -> None:
        """`fleet` off leaves `[fleet]` out of each file, for what it costs."""
        self.schedule, self.seed, self.keep, self.calls = schedule, seed, keep, calls
        self.file = FILE if fleet else FILE.partition("[fleet]")[0]
        self.rng = random.Random(f"lab {seed}")
        self.folder = Path(tempfile.mkdtemp(prefix=FOLDER_PREFIX))
        self.reaper = subprocess.Popen(
            [sys.executable, "-m", "stairhatch.fault_injection.folder_cleanup", str(self.folder)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
        )
        self.members: dict[str, MemberProcess] = {}
        self.servers: list[StandIn] = []
        self.coordinator = Coordinator()
        self.activations: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()
        self.started_at = 0.0
        self.stall = Stall()
        self.slow_disks = 0
        self.ports: set[int] = set()
        self.coordinator_links: dict[str, str] = {}  # the way of each to the coordinator
        self.epoch = 1  # of the list of voters that was told last, and that each file has
        self.voter_set_epochs = dict.fromkeys(schedule.members, 1)
        self.waiting_faults: list[ScheduledFault] = []  # for somebody to hold the list

    async def run(self, progress: Callable[[float], None] = lambda passed: None) -> RunReport:
        """All of it. LabError where it can't be carried out."""
        self.links = NetworkLinks(self.seed)
        try:
            await self._open()
            watching = asyncio.create_task(self.stall.watch())
            self.started_at = time.monotonic()
            self.spawn(self._change_endpoints())
            self.spawn(self._back_up_regularly())
            await self.callers.open()
            await self._inject_faults(progress)
            self.callers.close()
            watching.cancel()
            return self._report()
        finally:
            self._close()

    # ---- begin and end ----

    async def _open(self) -> None:
        schedule = self.schedule
        nature = Nature(set_up_s=0.005, warm_after_s=4.0, fall_s=1.0)
        for index in range(2):
            processor = Processor(nature, random.Random(self.seed * 31 + index))
            self.servers.append(await StandIn(lines=200, processor=processor).listen())
        await self.coordinator.listen()
        self.coordinator.tell([line(f"r{n}", s.place, n) for n, s in enumerate(self.servers)])
        host = loopback_host()
        for name in schedule.members:
            folder = self.folder / name
            folder.mkdir()
            sip, listen, door = ((host, self._free_port(host)) for _ in range(3))
            rate, offset = schedule.clock_rates.get(name, 1.0), self.rng.uniform(0, 1e5)
            self.members[name] = MemberProcess(name, folder, sip, listen, door, rate, offset)
        await self.links.open({name: each.listen for name, each in self.members.items()})
        for name, member in self.members.items():
            through = await self.links.open_connection_link(name, self.coordinator.place)
            self.coordinator_links[name] = format_address(through)
            member.config_file.write_text(self._config_text(member, 1, schedule.voters))
        self.callers = Callers(self.seed, list(self.members.values()), self.servers, self.calls)
        for member in self.members.values():
            member.start()
        await self._until(
            lambda: all(self._is_serving(m) for m in self.members.values()), "it does not serve"
        )

    def _config_text(self, member: MemberProcess, epoch: int, listed: tuple[str, ...]) -> str:
        """Its file."""
        schedule = self.schedule
        voters = ", ".join(
            f'{each} = "{format_address(self.links.address_for(member.name, each))}"' for each in listed
        )
        return self.file.format(
            name=member.name,
            door=format_address(member.admin_endpoint),
            coordinator=self.coordinator_links[member.name],
            sip=format_address(member.sip),
            balancers=len(schedule.members) - 1,
            listen=format_address(member.listen),
            term_s=schedule.lease_duration_s,
            drift=schedule.drift_bound,
            voters=voters,
            epoch=epoch,
            fall_s=min(1.0, schedule.lease_duration_s / 3),
        )

    def _free_port(self, host: str) -> int:
        """One that is not told twice: it is free again as soon as it has been asked for."""
        while (port := free_port(host)) in self.ports:
            pass
        self.ports.add(port)
        return port

    def _is_serving(self, member: MemberProcess) -> bool:
        assert member.process is not None
        log = (member.folder / "log").read_text(errors="replace")
        if member.process.poll() is not None:
            raise RunError(f"{member.name} ended at its start: {' '.join(log.splitlines()[-1:])}")
        return " serving " in log

    async def _until(self, done: Callable[[], bool], why: str) -> None:
        end = time.monotonic() + READY_S
        while not done():
            if time.monotonic() > end:
                raise RunError(why)
            await asyncio.sleep(0.02)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Something beside the rest."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _close(self) -> None:
        for member in self.members.values():
            member.kill()
        for task in list(self.tasks):
            task.cancel()
        if hasattr(self, "callers"):
            self.callers.close()
        self.links.close()
        self.coordinator.close()
        for server in self.servers:
            if server._server is not None:
                server._server.close()
            server.cut()
        if self.keep is not None:
            with contextlib.suppress(shutil.Error):
                shutil.copytree(self.folder, self.keep, dirs_exist_ok=True)
        assert self.reaper.stdin is not None
        self.reaper.stdin.close()
        self.reaper.wait()

    # ---- what goes on ----

    async def _change_endpoints(self) -> None:
        """The list changes now and then: a server that nobody calls comes and goes."""
        serial = 0
        while True:
            await asyncio.sleep(self.schedule.lease_duration_s * NEWS_PART)
            serial += 1
            state = "terminated" if serial % 2 else "terminating"
            self.coordinator.tell([line("ghost", ("127.0.0.1", 9), 9, state)])

    async def _back_up_regularly(self) -> None:
        while True:
            await asyncio.sleep(COPY_S)
            for member in self.members.values():
                member.back_up()

    def elapsed_s(self) -> float:
        """Seconds of the run."""
        return time.monotonic() - self.started_at

    async def _inject_faults(self, progress: Callable[[float], None]) -> None:
        events = sorted(self.schedule.faults, key=lambda each: each.at_s)
        while (passed := self.elapsed_s()) < self.schedule.duration_s:
            due, self.waiting_faults = self.waiting_faults, []
            while events and events[0].at_s <= passed:
                due.append(events.pop(0))
            for event in due:
                self._inject(event)
            for event in [each for each in self.links.active_faults if each.at_s + each.duration_s <= passed]:
                self.links.active_faults.remove(event)
            for member in self.members.values():
                member.resume_if_due()
            progress(passed)
            await asyncio.sleep(LOOK_S)

    def holder(self) -> MemberProcess | None:
        """Whoever holds the list now, by the histories."""
        now = time.monotonic()
        held = lease_rules.hold_intervals(self._records())
        last = next(
            (each for each in reversed(held) if each.lease == ENDPOINT_LIST_LEASE and each.until_s > now),
            None,
        )
        return self.members[last.member] if last is not None else None

    def _inject(self, event: ScheduledFault) -> None:
        if event.member == HOLDER or event.kind in (FaultKind.HAND_OVER, FaultKind.STOP_BEFORE_WRITE):
            holder = self.holder()
            if holder is None:  # nobody holds it just now: wait for who does
                if self.elapsed_s() < event.at_s + WAIT_TERMS * self.schedule.lease_duration_s:
                    self.waiting_faults.append(event)
                return
            event = replace(event, member=holder.name)
        member = self.members.get(event.member)
        match event.kind:
            case FaultKind.STOP if member is not None:
                self.activations["stop"] += member.stop(event.duration_s)
            case (
                FaultKind.KILL
                | FaultKind.LOSE_DATA_DIRECTORY
                | FaultKind.RESTORE_OLD_DATA_DIRECTORY
                | FaultKind.FLIP_BIT
            ) if member is not None:
                self.spawn(self._restart(event, member))
            case FaultKind.KILL_ALL:
                for each in self.members.values():
                    self.activations["kill all"] += each.kill()
                for each in self.members.values():
                    self.spawn(self._start_later(each, self.rng.uniform(0, event.duration_s)))
            case FaultKind.DISK_FULL if member is not None:
                self.spawn(self._fail_disk(event, member, "full"))
            case FaultKind.DISK_READ_ONLY if member is not None:
                self.spawn(self._fail_disk(event, member, "read-only"))
            case FaultKind.DISK_SLOW if member is not None:
                self.spawn(self._fail_disk(event, member, event.amount))
            case FaultKind.STEP_WALL_CLOCK if member is not None and member.process is not None:
                self.activations["step"] += 1
                member.send_command(step=event.amount)
            case FaultKind.STOP_BEFORE_WRITE if member is not None:
                self.spawn(self._stop_before_write(event, member))
            case FaultKind.CHANGE_VOTERS:
                self.epoch += 1
                holder = self.holder() if HOLDER in event.unchanged_members else None
                stays = {*event.unchanged_members, *([holder.name] if holder is not None else [])}
                for each in [each for name, each in self.members.items() if name not in stays]:
                    self.spawn(self._change_voters(each, self.epoch, event))
            case FaultKind.HAND_OVER if member is not None:
                self.spawn(self._hand_over(event, member))
            case _:
                if (
                    any(blocks_traffic(event, a, b) for a in self.members for b in self.members)
                    or event.amount
                ):
                    self.links.active_faults.append(event)

    async def _start_later(self, member: MemberProcess, after: float) -> None:
        await asyncio.sleep(after)
        member.start()

    async def _restart(self, event: ScheduledFault, member: MemberProcess) -> None:
        self.activations[event.kind.value] += member.kill() or event.kind in DATA_DIRECTORY_FAULTS
        old = event.kind is FaultKind.RESTORE_OLD_DATA_DIRECTORY and member.restore_backup(
            time.monotonic() - max(COPY_S, event.amount)
        )
        if event.kind is FaultKind.FLIP_BIT:
            member.flip_bit(self.rng)
        elif event.kind in DATA_DIRECTORY_FAULTS and not old:
            member.delete_data_directory()
        await self._start_later(member, event.duration_s)

    async def _change_voters(self, member: MemberProcess, epoch: int, event: ScheduledFault) -> None:
        """Its file has the next list of voters some time after the others', and it is started again."""
        await asyncio.sleep(self.rng.uniform(0, event.duration_s))
        if epoch < self.voter_set_epochs[member.name]:
            return  # a later one was quicker
        self.voter_set_epochs[member.name] = epoch
        member.config_file.write_text(self._config_text(member, epoch, event.members))
        self.activations["voters"] += 1
        if member.process is not None:
            member.kill()
            await self._start_later(member, self.rng.uniform(0.05, 0.3) * self.schedule.lease_duration_s)

    async def _fail_disk(self, event: ScheduledFault, member: MemberProcess, disk: str | float) -> None:
        member.send_command(disk=disk)
        self.slow_disks += isinstance(disk, float)
        await asyncio.sleep(event.duration_s)
        member.send_command(disk="well")

    async def _hand_over(self, event: ScheduledFault, member: MemberProcess) -> None:
        """The door's order; a holder that is stopped or dead does not answer, and who lost it says no."""
        answer = b""
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(*member.admin_endpoint)
            writer.write(f"hand-over {ENDPOINT_LIST_LEASE} {event.peer}\n".encode())
            answer = await asyncio.wait_for(reader.read(), 1.0)
            writer.close()
        if answer.startswith(b"ok"):
            self.activations["hand over"] += 1
        elif self.elapsed_s() < event.at_s + WAIT_TERMS * self.schedule.lease_duration_s:
            self.waiting_faults.append(event)

    async def _stop_before_write(self, event: ScheduledFault, member: MemberProcess) -> None:
        """The holder stops itself at its next piece of work, and goes on after that time."""
        member.send_command(stop=True)
        until = time.monotonic() + 2 * self.schedule.lease_duration_s
        while time.monotonic() < until and not member.stopped_until:
            if member.is_stopped():
                self.activations["stopped at work"] += 1
                member.stop(event.duration_s)
            await asyncio.sleep(LOOK_S)
        member.send_command(stop=False)

    # ---- what came of it ----

    def _records(self) -> list[HistoryRecord]:
        return [each for member in self.members.values() for each in member.history()]

    def _report(self) -> RunReport:
        lines = sorted(self._records(), key=lambda each: each.at_s)
        schedule = self.schedule
        broken = lease_rules.find_violations(lines, within_drift_bound=schedule.within_drift_bound)
        last = self.started_at + schedule.duration_s
        if not schedule.expects_no_holder and schedule.expects_recovery:
            broken += lease_rules.find_unheld(
                lines, [ENDPOINT_LIST_LEASE], last - schedule.fault_free_s / 2, last
            )
        quiet = last - schedule.fault_free_s / 2
        if schedule.expects_no_holder:
            held = [
                each
                for each in lease_rules.hold_intervals(lines)
                if each.since_s < last and each.until_s > quiet
            ]
            broken += [
                RuleViolation("rests", each.since_s, f"{each.member} holds {each.lease}") for each in held
            ]
        owners = {
            (each.member, each.start_number)
            for each in lease_rules.hold_intervals(lines)
            if each.lease == ENDPOINT_LIST_LEASE
        }
        full = sum("No space left" in each.reason for each in lines)
        self.activations["disk full"] += full
        self.activations["disk read-only"] += sum("Read-only" in each.reason for each in lines)
        self.activations["went on"] += sum(each.event == What.WENT_ON.value for each in lines)
        self.activations["disk slow"] += self.slow_disks
        self.activations.update(self.links.activations)
        never = [name for name in schedule.required_activations if not self.activations[name]]
        broken += [RuleViolation("void", last, f"{name} never bit") for name in never]
        if len(owners) < schedule.min_holders:
            broken.append(
                RuleViolation("void", last, f"{len(owners)} owners, and not {schedule.min_holders}")
            )
        if self.calls and not self.callers.count_established_since(quiet):
            broken.append(RuleViolation("calls", last, "none stood at the end"))
        calls = self.callers.find_violations(0.05 + self.stall.longest_s)
        fallen = sum(s.processor is not None and s.processor.state is State.FALLEN for s in self.servers)
        ends = {end.value: count for end, count in self.callers.end_counts.items()}
        return RunReport(
            broken,
            [each.line() for each in calls],
            self.activations,
            lines,
            fallen,
            len(lease_rules.hold_intervals(lines)),
            ends,
            self.links.datagrams_forwarded,
            self.stall.longest_s,
        )


async def run_schedule(
    schedule: FaultSchedule,
    seed: int,
    keep: Path | None = None,
    progress: Callable[[float], None] | None = None,
) -> RunReport:
    """One run, and nothing left behind but `keep`."""
    lab = FaultInjectionRun(schedule, seed, keep)
    most = 2 * READY_S + schedule.duration_s
    try:
        return await asyncio.wait_for(lab.run(progress or (lambda passed: None)), most)
    except TimeoutError:
        raise RunError(f"not ended after {most:.0f} s") from None
