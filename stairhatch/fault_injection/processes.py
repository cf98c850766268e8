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

from stairhatch.fault_injection import rules
from stairhatch.fault_injection.callers import Callers
from stairhatch.fault_injection.history import Line
from stairhatch.fault_injection.member import ROOT, Member
from stairhatch.fault_injection.reaper import PREFIX
from stairhatch.fault_injection.rules import Broken
from stairhatch.fault_injection.schedule import FOLDERS, HOLDER, Event, Fault, Schedule, cuts
from stairhatch.fault_injection.ways import Ways
from stairhatch.fault_injection.world import LIST
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


class LabError(Exception):
    """A run that could not be carried out, with the reason in one line."""


@dataclass
class Report:
    """What came of a run."""

    broken: list[Broken]
    calls_broken: list[str]
    bites: Counter[str]
    lines: list[Line]
    fallen: int  # roster servers pushed over while cold
    holders: int
    calls: dict[str, int] = field(default_factory=dict)
    carried: int = 0
    stalled_s: float = 0.0

    @property
    def good(self) -> bool:
        """Whether no rule was broken."""
        return not (self.broken or self.calls_broken or self.fallen)


def at(place: tuple[str, int]) -> str:
    """An address as files have it."""
    return f"{place[0]}:{place[1]}"


def own_host() -> str:
    """A loopback address for the softswitches of this process's lab. Nobody else binds there, so a port that
    one held is still free when it is started again: on 127.0.0.1 any connection may have taken it.
    """
    number = os.getpid() % (126 * 254 * 254)
    return f"127.{1 + number // (254 * 254)}.{1 + number // 254 % 254}.{1 + number % 254}"


class Lab:
    """One run."""

    def __init__(
        self,
        schedule: Schedule,
        seed: int,
        keep: Path | None = None,
        calls: float = CALLS,
        fleet: bool = True,
    ) -> None:
        """`fleet` off leaves `[fleet]` out of each file, for what it costs."""
        self.schedule, self.seed, self.keep, self.calls = schedule, seed, keep, calls
        self.file = FILE if fleet else FILE.partition("[fleet]")[0]
        self.chance = random.Random(f"lab {seed}")
        self.folder = Path(tempfile.mkdtemp(prefix=PREFIX))
        self.reaper = subprocess.Popen(
            [sys.executable, "-m", "stairhatch.fault_injection.reaper", str(self.folder)], cwd=ROOT,
            stdin=subprocess.PIPE,
        )  # fmt: skip
        self.members: dict[str, Member] = {}
        self.servers: list[StandIn] = []
        self.coordinator = Coordinator()
        self.bites: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()
        self.began = 0.0
        self.stall = Stall()
        self.slow_disks = 0
        self.ports: set[int] = set()
        self.through: dict[str, str] = {}  # the way of each to the coordinator
        self.epoch = 1  # of the list of voters that was told last, and that each file has
        self.told = dict.fromkeys(schedule.members, 1)
        self.waiting: list[Event] = []  # for somebody to hold the list

    async def run(self, progress: Callable[[float], None] = lambda passed: None) -> Report:
        """All of it. LabError where it can't be carried out."""
        self.ways = Ways(self.seed)
        try:
            await self._open()
            watching = asyncio.create_task(self.stall.watch())
            self.began = time.monotonic()
            self.spawn(self._news())
            self.spawn(self._backups())
            await self.callers.open()
            await self._faults(progress)
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
        host = own_host()
        for name in schedule.members:
            folder = self.folder / name
            folder.mkdir()
            sip, listen, door = ((host, self._port(host)) for _ in range(3))
            rate, offset = schedule.rates.get(name, 1.0), self.chance.uniform(0, 1e5)
            self.members[name] = Member(name, folder, sip, listen, door, rate, offset)
        await self.ways.open({name: each.listen for name, each in self.members.items()})
        for name, member in self.members.items():
            through = await self.ways.tcp(name, self.coordinator.place)
            self.through[name] = at(through)
            member.file.write_text(self._text(member, 1, schedule.voters))
        self.callers = Callers(self.seed, list(self.members.values()), self.servers, self.calls)
        for member in self.members.values():
            member.start()
        await self._until(lambda: all(self._serves(m) for m in self.members.values()), "it does not serve")

    def _text(self, member: Member, epoch: int, listed: tuple[str, ...]) -> str:
        """Its file."""
        schedule = self.schedule
        voters = ", ".join(f'{each} = "{at(self.ways.reach(member.name, each))}"' for each in listed)
        return self.file.format(
            name=member.name, door=at(member.door), coordinator=self.through[member.name], sip=at(member.sip),
            balancers=len(schedule.members) - 1, listen=at(member.listen), term_s=schedule.term_s,
            drift=schedule.drift, voters=voters, epoch=epoch, fall_s=min(1.0, schedule.term_s / 3),
        )  # fmt: skip

    def _port(self, host: str) -> int:
        """One that is not told twice: it is free again as soon as it has been asked for."""
        while (port := free_port(host)) in self.ports:
            pass
        self.ports.add(port)
        return port

    def _serves(self, member: Member) -> bool:
        assert member.process is not None
        log = (member.folder / "log").read_text(errors="replace")
        if member.process.poll() is not None:
            raise LabError(f"{member.name} ended at its start: {' '.join(log.splitlines()[-1:])}")
        return " serving " in log

    async def _until(self, done: Callable[[], bool], why: str) -> None:
        end = time.monotonic() + READY_S
        while not done():
            if time.monotonic() > end:
                raise LabError(why)
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
        self.ways.close()
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

    async def _news(self) -> None:
        """The list changes now and then: a server that nobody calls comes and goes."""
        serial = 0
        while True:
            await asyncio.sleep(self.schedule.term_s * NEWS_PART)
            serial += 1
            state = "terminated" if serial % 2 else "terminating"
            self.coordinator.tell([line("ghost", ("127.0.0.1", 9), 9, state)])

    async def _backups(self) -> None:
        while True:
            await asyncio.sleep(COPY_S)
            for member in self.members.values():
                member.copy()

    def passed(self) -> float:
        """Seconds of the run."""
        return time.monotonic() - self.began

    async def _faults(self, progress: Callable[[float], None]) -> None:
        events = sorted(self.schedule.events, key=lambda each: each.at)
        while (passed := self.passed()) < self.schedule.seconds:
            due, self.waiting = self.waiting, []
            while events and events[0].at <= passed:
                due.append(events.pop(0))
            for event in due:
                self._strike(event)
            for event in [each for each in self.ways.faults if each.at + each.lasts <= passed]:
                self.ways.faults.remove(event)
            for member in self.members.values():
                member.go_on()
            progress(passed)
            await asyncio.sleep(LOOK_S)

    def holder(self) -> Member | None:
        """Whoever holds the list now, by the histories."""
        now = time.monotonic()
        held = rules.stretches(self._lines())
        last = next((each for each in reversed(held) if each.claim == LIST and each.until > now), None)
        return self.members[last.who] if last is not None else None

    def _strike(self, event: Event) -> None:
        if event.who == HOLDER or event.fault in (Fault.HAND, Fault.AT_WORK):
            holder = self.holder()
            if holder is None:  # nobody holds it just now: wait for who does
                if self.passed() < event.at + WAIT_TERMS * self.schedule.term_s:
                    self.waiting.append(event)
                return
            event = replace(event, who=holder.name)
        member = self.members.get(event.who)
        match event.fault:
            case Fault.STOP if member is not None:
                self.bites["stop"] += member.stop(event.lasts)
            case Fault.KILL | Fault.LOSE | Fault.OLD | Fault.FLIP if member is not None:
                self.spawn(self._again(event, member))
            case Fault.KILL_ALL:
                for each in self.members.values():
                    self.bites["kill all"] += each.kill()
                for each in self.members.values():
                    self.spawn(self._start(each, self.chance.uniform(0, event.lasts)))
            case Fault.DISK_FULL if member is not None:
                self.spawn(self._disk(event, member, "full"))
            case Fault.READ_ONLY if member is not None:
                self.spawn(self._disk(event, member, "read-only"))
            case Fault.DISK_SLOW if member is not None:
                self.spawn(self._disk(event, member, event.amount))
            case Fault.STEP if member is not None and member.process is not None:
                self.bites["step"] += 1
                member.order(step=event.amount)
            case Fault.AT_WORK if member is not None:
                self.spawn(self._at_work(event, member))
            case Fault.VOTERS:
                self.epoch += 1
                holder = self.holder() if HOLDER in event.stays else None
                stays = {*event.stays, *([holder.name] if holder is not None else [])}
                for each in [each for name, each in self.members.items() if name not in stays]:
                    self.spawn(self._changed(each, self.epoch, event))
            case Fault.HAND if member is not None:
                self.spawn(self._hand(event, member))
            case _:
                if any(cuts(event, a, b) for a in self.members for b in self.members) or event.amount:
                    self.ways.faults.append(event)

    async def _start(self, member: Member, after: float) -> None:
        await asyncio.sleep(after)
        member.start()

    async def _again(self, event: Event, member: Member) -> None:
        self.bites[event.fault.value] += member.kill() or event.fault in FOLDERS
        old = event.fault is Fault.OLD and member.put_back(time.monotonic() - max(COPY_S, event.amount))
        if event.fault is Fault.FLIP:
            member.flip(self.chance)
        elif event.fault in FOLDERS and not old:
            member.lose()
        await self._start(member, event.lasts)

    async def _changed(self, member: Member, epoch: int, event: Event) -> None:
        """Its file has the next list of voters some time after the others', and it is started again."""
        await asyncio.sleep(self.chance.uniform(0, event.lasts))
        if epoch < self.told[member.name]:
            return  # a later one was quicker
        self.told[member.name] = epoch
        member.file.write_text(self._text(member, epoch, event.names))
        self.bites["voters"] += 1
        if member.process is not None:
            member.kill()
            await self._start(member, self.chance.uniform(0.05, 0.3) * self.schedule.term_s)

    async def _disk(self, event: Event, member: Member, disk: str | float) -> None:
        member.order(disk=disk)
        self.slow_disks += isinstance(disk, float)
        await asyncio.sleep(event.lasts)
        member.order(disk="well")

    async def _hand(self, event: Event, member: Member) -> None:
        """The door's order; a holder that is stopped or dead does not answer, and who lost it says no."""
        answer = b""
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(*member.door)
            writer.write(f"hand-over {LIST} {event.other}\n".encode())
            answer = await asyncio.wait_for(reader.read(), 1.0)
            writer.close()
        if answer.startswith(b"ok"):
            self.bites["hand over"] += 1
        elif self.passed() < event.at + WAIT_TERMS * self.schedule.term_s:
            self.waiting.append(event)

    async def _at_work(self, event: Event, member: Member) -> None:
        """The holder stops itself at its next piece of work, and goes on after that time."""
        member.order(stop=True)
        until = time.monotonic() + 2 * self.schedule.term_s
        while time.monotonic() < until and not member.stopped_until:
            if member.is_stopped():
                self.bites["stopped at work"] += 1
                member.stop(event.lasts)
            await asyncio.sleep(LOOK_S)
        member.order(stop=False)

    # ---- what came of it ----

    def _lines(self) -> list[Line]:
        return [each for member in self.members.values() for each in member.history()]

    def _report(self) -> Report:
        lines = sorted(self._lines(), key=lambda each: each.at)
        schedule = self.schedule
        broken = rules.check(lines, within_drift=schedule.within_drift)
        last = self.began + schedule.seconds
        if not schedule.rests and schedule.heals:
            broken += rules.unheld(lines, [LIST], last - schedule.quiet_s / 2, last)
        quiet = last - schedule.quiet_s / 2
        if schedule.rests:
            held = [each for each in rules.stretches(lines) if each.since < last and each.until > quiet]
            broken += [Broken("rests", each.since, f"{each.who} holds {each.claim}") for each in held]
        owners = {(each.who, each.start) for each in rules.stretches(lines) if each.claim == LIST}
        full = sum("No space left" in each.why for each in lines)
        self.bites["disk full"] += full
        self.bites["disk read-only"] += sum("Read-only" in each.why for each in lines)
        self.bites["went on"] += sum(each.what == What.WENT_ON.value for each in lines)
        self.bites["disk slow"] += self.slow_disks
        self.bites.update(self.ways.bites)
        never = [name for name in schedule.must_bite if not self.bites[name]]
        broken += [Broken("void", last, f"{name} never bit") for name in never]
        if len(owners) < schedule.owners:
            broken.append(Broken("void", last, f"{len(owners)} owners, and not {schedule.owners}"))
        if self.calls and not self.callers.stood_since(quiet):
            broken.append(Broken("calls", last, "none stood at the end"))
        calls = self.callers.broken(0.05 + self.stall.longest_s)
        fallen = sum(s.processor is not None and s.processor.state is State.FALLEN for s in self.servers)
        ends = {end.value: count for end, count in self.callers.ends.items()}
        return Report(
            broken, [each.line() for each in calls], self.bites, lines, fallen,
            len(rules.stretches(lines)), ends, self.ways.carried, self.stall.longest_s,
        )  # fmt: skip


async def run_lab(
    schedule: Schedule, seed: int, keep: Path | None = None, progress: Callable[[float], None] | None = None
) -> Report:
    """One run, and nothing left behind but `keep`."""
    lab = Lab(schedule, seed, keep)
    most = 2 * READY_S + schedule.seconds
    try:
        return await asyncio.wait_for(lab.run(progress or (lambda passed: None)), most)
    except TimeoutError:
        raise LabError(f"not ended after {most:.0f} s") from None
