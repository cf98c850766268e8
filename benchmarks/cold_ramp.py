"""How near all softswitches together come to pushing a cold roster server over, and how much they make of it:
the fullest window of `fall_s`, counted as set-ups reach the server, against N + 2 root N + 2, and its set-ups
in the first 12 s. `docs/cold.md` has the derivation and the results.

    .venv/bin/python benchmarks/cold_ramp.py model [SEEDS]           # the real decisions on a virtual clock
    .venv/bin/python benchmarks/cold_ramp.py processes FILE SEED...  # 20 (even seeds) or 30 real processes

The second plays two seeds at a time, 65 s each, and adds them to FILE (JSON). Prints a line a case; nothing
here is a test. `tests/test_cold_ramp.py` asserts the bound on the same model.
"""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import heapq
import itertools
import json
import math
import multiprocessing
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum
from functools import partial
from pathlib import Path
from typing import Any

import uvloop

sys.path.insert(0, str(Path(__file__).parents[1]))

from stairhatch.emulators.coordinator_emulator import CoordinatorEmulator, endpoint_line
from stairhatch.emulators.ports import free_port
from stairhatch.emulators.processor import (
    COST_PER_CALL,
    Processor,
    ProcessorLoad,
    ProcessorProfile,
    ProcessorState,
)
from stairhatch.emulators.scripted_replies import ReplyVerb, ScriptedReply, release
from stairhatch.emulators.server_emulator import ServerEmulator
from stairhatch.fault_injection.member_config import loopback_host
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.address import format_address
from stairhatch.overload.actions import SendSetup, SetTimer
from stairhatch.overload.controller import Controller
from stairhatch.overload.events import (
    AttemptEnded,
    AttemptOutcome,
    Availability,
    CallEstablished,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    Event,
    LoadReport,
    LoadReported,
    TimerExpired,
)
from stairhatch.overload.settings import CallClass, SafetyLimits, Settings

EARLY_S = 12.0
STATE_S = 0.4  # how often a server tells its state
NOISE = 0.15  # reports are wrong by up to this share
WAY_S = (0.003, 0.02)  # one way to a server
FALLBACK_S = 3.0  # an attempt without a time-out of its own
COLD = 100  # the cold server; the warm ones are 0, 1, ...


class Story(Enum):
    """What happens while the server is cold."""

    CALM = "calm"
    RESTARTED = "half killed and started again"
    LATE = "lists 3 s late"
    ALONE = "all other servers gone"
    BOTH = "half restarted, all others gone"
    UNNUMBERED = "one in three without a number, all others gone"
    RENUMBERED = "numbers dealt anew to a fleet half as large again, all others gone"
    LINKS_LATE = "all links come up together, all others gone"
    LOPSIDED = "one process takes two thirds of the calls, all others gone"


@dataclass(frozen=True, slots=True)
class Site:
    """What the settings say, and what the servers are like. Times in seconds, rates in calls a second."""

    safety: SafetyLimits = field(
        default_factory=lambda: SafetyLimits(
            initial_capacity_fraction=0.29,
            warm_up_s=14.0,
            overload_multiple=2.5,
            overload_window_s=1.5,
            drain_grace_s=1.0,
        )
    )
    retransmit_s: float = 0.8
    connect_timeout_s: float = 0.5
    length_s: float = 9.0
    capacity: float = 40.0  # of each warm server
    load: float = 0.8  # of their capacity that the warm servers carried before
    servers: int = 5  # with the cold one
    tells_lines: bool = True
    tells_rate: bool = True  # what it can take from all, as releases tell it
    overtold: float = 1.0  # its lines, over what its processor would be due by the others' lines
    even: bool = True  # it gains evenly; else it stays at `cold_from` until `warm_after_s`

    def warmth(self, age: float) -> float:
        """Its share of its capacity."""
        part = min(1.0, max(0.0, age / max(self.safety.warm_up_s, 1e-9)))
        if not self.even and part < 1:
            part = 0.0
        return self.safety.initial_capacity_fraction + (1 - self.safety.initial_capacity_fraction) * part

    def budget(self, age: float = 0.0) -> float:
        """N: what the settings allow the server then, in any `fall_s`."""
        return (
            self.safety.overload_multiple * self.warmth(age) * self.capacity * self.safety.overload_window_s
        )

    def bound(self, age: float = 0.0) -> float:
        """Beyond N only this much is put down to chance."""
        budget = self.budget(age)
        return budget + 2 * math.sqrt(budget) + 2


@dataclass(slots=True)
class Result:
    """What the checker counted at the server."""

    times: list[float]  # seconds after its start
    site: Site
    bites: int  # what the story did to processes or links

    def fullest(self) -> tuple[float, int, float]:
        """The window of `fall_s` that came nearest to the bound of its first moment: its set-ups as a part of
        the bound, their count, and when it began.
        """
        first, most, times = 0, (0.0, 0, 0.0), sorted(self.times)
        for last, now in enumerate(times):
            if now >= self.site.safety.warm_up_s:
                break
            while times[first] <= now - self.site.safety.overload_window_s:
                first += 1
            count, begun = last + 1 - first, max(0.0, now - self.site.safety.overload_window_s)
            most = max(most, (count / self.site.bound(begun), count, begun))
        return most

    def early(self) -> int:
        """Its set-ups in the first 12 s."""
        return bisect.bisect_left(sorted(self.times), EARLY_S)

    def bearable(self) -> float:
        """What it could have borne in the first 12 s."""
        site = self.site
        steps = [EARLY_S * (n + 0.5) / 1000 for n in range(1000)]
        return EARLY_S * site.capacity * statistics.fmean(site.warmth(at) for at in steps)


@dataclass(slots=True)
class Process:
    """One softswitch's decisions, and what it has out."""

    number: int
    core: Controller | None
    share: float  # of all calls
    told_at: float = 0.0  # so late it hears of changes
    out: dict[int, int] = field(default_factory=dict)  # call -> server
    links_at: float = 0.0  # set-ups to the cold server wait for its link until then


class Ramp:
    """One cold start on a virtual clock that begins at `start`."""

    def __init__(self, site: Site, story: Story, processes: int, seed: int) -> None:
        self.site, self.story, self.count = site, story, processes
        self.chance = random.Random(f"{story.value} {processes} {seed}")
        self.now = self.start = 10000.0 + self.chance.random()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.serial, self.ids = itertools.count(), itertools.count(1)
        self.times: list[float] = []
        self.bites = 0
        self.free_at = 0.0
        self.open = 0  # calls that stand at the cold server
        self.others: set[int] = set(range(1, site.servers))
        unknown = story is Story.UNNUMBERED
        weights = [self.chance.uniform(0.5, 1.5) for _ in range(processes)]
        if story is Story.LOPSIDED:
            weights[0] = 2 * sum(weights[1:])
        kind = CallClass("read", 1.0, 1.5, 9.0, mean_duration_s=site.length_s, late_weight=0.25)
        save = replace(kind, name="save", priority_weight=3.0, late_weight=0.1)
        self.settings = Settings(
            (kind, save), site.safety, processes, 0, site.retransmit_s, 6,
            connect_timeout_s=site.connect_timeout_s, max_retry_after_s=2.0,
        )  # fmt: skip
        self.fleet = [
            Process(-1 if unknown and n % 3 == 0 else n, None, weight / sum(weights))
            for n, weight in enumerate(weights)
        ]
        for process in self.fleet:
            self.begin(process)
        self.learn()

    def at(self, when: float, what: Callable[[], None]) -> None:
        """Do something then."""
        heapq.heappush(self.queue, (when, next(self.serial), what))

    def begin(self, process: Process) -> None:
        """A process starts with nothing but its settings and the list."""
        rng = random.Random(self.chance.random())
        process.core = Controller(replace(self.settings, instance_index=process.number), rng)
        process.out.clear()
        cold = self.now > self.start
        lines = [EndpointRecord(n, n) for n in sorted(self.others)]
        lines += [EndpointRecord(COLD, 0, started_at=self.start)] if cold else []
        self.tell(process, EndpointsUpdated(tuple(lines), True))
        for server in self.others:
            self.tell(process, LoadReported(server, self.report(server, unasked=True)))

    def report(self, server: int, unasked: bool = False) -> LoadReport:
        """What a server tells: unasked its lines alone, in a release also its processor's figures, a little
        wrong. The warm ones are as busy as ever.
        """
        site, wrong = self.site, self.chance.uniform(1 - NOISE, 1 + NOISE)
        size, pace, wait = site.capacity * site.length_s, site.capacity, 0.01
        used = site.load * size
        if server == COLD:
            used, pace, size = self.open, self.pace(), site.overtold * size
            wait = max(0.0, self.free_at - self.now)
        free = max(0.0, size - used)
        told = LoadReport(
            processor_wait_s=wait * wrong, admissible_rate=pace * wrong if site.tells_rate else None
        )
        told = LoadReport() if unasked else told
        return replace(told, free_lines=free, total_lines=size) if site.tells_lines else told

    def pace(self) -> float:
        """Calls a second that the cold server can bear now."""
        return self.site.capacity * self.site.warmth(self.now - self.start)

    def learn(self) -> None:
        """Forty seconds of set-ups that stood at the warm servers, by each process's share."""
        site = self.site
        for process in self.fleet:
            rate = site.capacity * site.load * process.share
            stood = []
            for server in self.others:
                when = self.start - 40.0
                while (when := when + self.chance.expovariate(rate)) < self.start:
                    stood.append((when, server))
            assert process.core is not None
            for when, server in sorted(stood):
                took = self.chance.uniform(0.01, 0.04)
                list(process.core.handle(when, CallEstablished(next(self.ids), server, took)))
            for server in self.others:
                took, report = self.chance.expovariate(1 / site.length_s), self.report(server)
                over = AttemptEnded(
                    next(self.ids), server, AttemptOutcome.COMPLETED, True, report, elapsed_s=took
                )
                list(process.core.handle(self.start - 1.0, over))

    def tell(self, process: Process, event: Event) -> None:
        """One event at a process, and what comes of it."""
        if process.core is None:
            return
        core = process.core
        for act in core.handle(self.now, event):
            match act:
                case SendSetup():
                    self.send(process, core, act)
                case SetTimer():
                    wake = partial(self.on, process, core, TimerExpired(act.timer_id))
                    self.at(self.now + max(0.04, act.delay_s), wake)

    def on(self, process: Process, core: Controller, event: Event) -> None:
        """An event meant for a process that may have been replaced since."""
        if process.core is core:
            self.tell(process, event)

    def send(self, process: Process, core: Controller, act: SendSetup) -> None:
        """A set-up: it is written once the link is up, and given up after its time-out."""
        process.out[act.call_id] = act.server_id
        sent, written = self.now, max(self.now, process.links_at if act.server_id == COLD else 0.0)
        over = sent + (act.timeout_s or FALLBACK_S)
        if written < over:
            there = written + self.chance.uniform(*WAY_S)
            self.at(there, partial(self.arrive, process, core, act, sent))
        self.at(over, partial(self.give_up, process, core, act, sent))

    def arrive(self, process: Process, core: Controller, act: SendSetup, sent: float) -> None:
        """A set-up reaches its server."""
        if act.server_id != COLD:
            done = self.now + 0.01
        else:
            self.times.append(self.now - self.start)
            done = self.free_at = max(self.free_at, self.now) + 1 / self.pace()
        back = done + self.chance.uniform(*WAY_S)
        self.at(back, partial(self.answer, process, core, act, sent))

    def answer(self, process: Process, core: Controller, act: SendSetup, sent: float) -> None:
        """It stands, unless it was given up meanwhile."""
        if process.core is not core or process.out.pop(act.call_id, None) is None:
            return
        self.tell(process, CallEstablished(act.call_id, act.server_id, self.now - sent))
        length = self.chance.expovariate(1 / self.site.length_s)
        self.open += act.server_id == COLD
        self.at(self.now + length, partial(self.over, process, core, act, length))

    def over(self, process: Process, core: Controller, act: SendSetup, length: float) -> None:
        """A call has lasted its time."""
        self.open -= act.server_id == COLD
        done = AttemptEnded(
            act.call_id,
            act.server_id,
            AttemptOutcome.COMPLETED,
            True,
            self.report(act.server_id),
            elapsed_s=length,
        )
        self.on(process, core, done)

    def give_up(self, process: Process, core: Controller, act: SendSetup, sent: float) -> None:
        """Its time is over."""
        if process.core is core and process.out.pop(act.call_id, None) is not None:
            end, none = AttemptOutcome.TIMED_OUT, LoadReport()
            over = AttemptEnded(act.call_id, act.server_id, end, False, none, elapsed_s=self.now - sent)
            self.tell(process, over)

    def states(self, process: Process) -> None:
        """The cold server's state on one link, now and then again."""
        if process.core is not None and self.now >= process.links_at:
            self.tell(process, LoadReported(COLD, self.report(COLD, unasked=True)))
        self.at(self.now + STATE_S, partial(self.states, process))

    def hear(self, process: Process) -> None:
        """A process is told that the server has started; the link's first state follows."""
        line = EndpointRecord(COLD, 0, started_at=self.start)
        self.tell(process, EndpointsUpdated((line,), False))
        self.states(process)

    def offer(self, process: Process) -> None:
        """A call comes, and the next is drawn."""
        site = self.site
        total = site.capacity * site.load * site.servers
        self.at(self.now + self.chance.expovariate(total * process.share), partial(self.offer, process))
        kind = self.settings.classes[self.chance.random() < 0.25]
        choice = self.chance.randrange(site.servers)
        self.tell(process, CallOffered(next(self.ids), kind, choice, self.chance.choice((3.0, 9.0))))

    def kill(self, process: Process, down_s: float) -> None:
        """SIGKILL, and another process in its place."""
        self.bites += 1
        process.core = None
        process.out.clear()
        self.at(self.now + down_s, partial(self.begin, process))

    def lose_others(self, process: Process) -> None:
        """A process is told that every other server is gone."""
        gone = (EndpointRecord(n, n, Availability.GONE) for n in range(1, self.site.servers))
        self.tell(process, EndpointsUpdated(tuple(gone), False))

    def renumber(self, process: Process, number: int, count: int) -> None:
        """Other settings, live."""
        self.bites += 1
        assert process.core is not None
        process.number = number
        self.settings = replace(self.settings, instance_count=count)
        process.core.update_settings(replace(self.settings, instance_index=number))

    def run(self) -> Result:
        """All of it, until it is warm."""
        story, chance, start = self.story, self.chance, self.start
        for process in self.fleet:
            late = 0.02 * chance.random()
            if story is Story.LATE and chance.random() < 0.5:
                late += 3.0
                self.bites += 1
            if story is Story.LINKS_LATE:
                process.links_at = start + 2.5
                self.bites += 1
            self.at(start + late, partial(self.hear, process))
            self.offer(process)
        moment = start + chance.uniform(1.0, 0.5 * self.site.safety.warm_up_s)
        if story in (Story.RESTARTED, Story.BOTH):
            for process in chance.sample(self.fleet, self.count // 2):
                self.at(moment + 0.1 * chance.random(), partial(self.kill, process, chance.uniform(0.3, 0.8)))
        if story not in (Story.CALM, Story.RESTARTED, Story.LATE):
            lost = start + 0.3 if story is Story.LINKS_LATE else max(start + 0.5, moment - chance.random())
            self.at(lost, self.others.clear)
            for process in self.fleet:
                self.at(lost + 0.02 * chance.random(), partial(self.lose_others, process))
        if story is Story.RENUMBERED:
            more = self.count + self.count // 2
            numbers = chance.sample(range(more), self.count)
            for process, number in zip(self.fleet, numbers, strict=True):
                self.at(moment + chance.random(), partial(self.renumber, process, number, more))
        until = start + self.site.safety.warm_up_s
        while self.queue and self.queue[0][0] < until:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        return Result(self.times, self.site, self.bites)


def told(case: tuple[bool, Story, int]) -> str:
    """A line on one story."""
    lines, story, seeds = case
    site = Site(tells_lines=lines)
    found = [Ramp(site, story, (20, 30)[seed % 2], seed).run() for seed in range(seeds)]
    full, early = max(r.fullest() for r in found), [r.early() for r in found]
    return (
        f"{'lines   ' if lines else 'no lines'} {story.value:66}"
        f" fullest window {full[0]:.2f} of the bound ({full[1]} set-ups, from {full[2]:.1f} s);"
        f" first {EARLY_S:.0f} s {min(early):3} to {max(early):3},"
        f" mean {statistics.fmean(early):3.0f} of {found[0].bearable():.0f}"
    )


def model(seeds: int) -> None:
    """A line a story, with and without lines."""
    cases = [(lines, story, seeds) for lines in (True, False) for story in Story]
    with multiprocessing.Pool(2) as pool:
        for line in pool.imap(told, cases):
            print(line, flush=True)


ROOT = Path(__file__).parents[1]
HOLD_S = 4.0  # of a call, by the roster server's clock
STAGE_S = 13.0  # of each story on real processes, one after the other
LATE_S = 3.0
STAGES = (Story.CALM, Story.RESTARTED, Story.LATE, Story.ALONE)
REAL = Site(length_s=HOLD_S, servers=4)


class Roster(ServerEmulator):
    """A roster server that counts set-ups as they come, ends calls, and tells its processor's figures in
    releases alone, as the platform's do.
    """

    def __init__(self, seed: int) -> None:
        self.chance, self.times, self.in_release = random.Random(seed), [], False
        nature = ProcessorProfile(
            setup_s=1 / (REAL.capacity * COST_PER_CALL),
            initial_capacity_fraction=REAL.safety.initial_capacity_fraction,
            warm_up_s=REAL.safety.warm_up_s, overload_multiple=REAL.safety.overload_multiple,
            overload_window_s=REAL.safety.overload_window_s, load_report_error=NOISE,
        )  # fmt: skip
        super().__init__(lines=int(REAL.capacity * HOLD_S), processor=Processor(nature, self.chance))
        self.observer = self.count

    def count(self, what: str, number: str) -> None:
        """For the checker."""
        if what == "set-up":
            self.times.append(asyncio.get_running_loop().time())

    def processor_load(self) -> ProcessorLoad:
        """Figures below 0 count as missing."""
        return super().processor_load() if self.in_release else ProcessorLoad(-1.0, -1.0)

    def _reply(self, tag: str, reply: ScriptedReply) -> None:
        self.in_release = True
        super()._reply(tag, reply)
        self.in_release = False
        if reply.verb is ReplyVerb.STARTED:
            hold_s = self.chance.expovariate(1 / HOLD_S)
            asyncio.get_running_loop().call_later(hold_s, self._reply, tag, release(0.0))


class Callers:
    """All callers of one softswitch, on one connection that comes again when it is lost."""

    def __init__(self, name: str, rate: float, seed: int) -> None:
        self.name, self.rate, self.chance = name, rate, random.Random(seed)
        self.asked = self.served = 0

    async def run(self, place: tuple[str, int]) -> None:
        """Until cancelled."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*place)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            asking = asyncio.create_task(self.ask(writer))
            with contextlib.suppress(OSError):
                await self.answer(reader, writer)
            asking.cancel()
            writer.close()

    async def ask(self, writer: asyncio.StreamWriter) -> None:
        """Calls at random moments."""
        while True:
            await asyncio.sleep(self.chance.expovariate(self.rate))
            self.asked += 1
            dest = self.chance.randrange(REAL.servers)
            headers = [
                ("via", "SIP/2.0/TCP peer"), ("call-id", f"{self.chance.getrandbits(64):016x}"),
                ("cseq", "1 INVITE"), ("call-kind", "read-roster"), ("answer-within", "3000"),
                ("routing-data", f"dest:{dest};width:1;via:-1"),
            ]  # fmt: skip
            with contextlib.suppress(OSError):
                writer.write(sip.request("INVITE", "sip:7f3a9c21e0b4d655@net", headers, b"d"))

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take what comes, and answer each release."""
        parser = sip_parser.StreamParser()
        while data := await reader.read(65536):
            parser.feed(data)
            while (message := parser.next_message()) is not None:
                self.served += message.status == 200
                if message.method == "BYE":
                    writer.write(sip.response(200, sip.echoed(message)))


class Run:
    """Real processes, one cold server after another."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed, self.folder, self.count = seed, folder, (20, 30)[seed % 2]
        self.chance, self.host = random.Random(seed), loopback_host()
        self.coordinators = (
            CoordinatorEmulator(),
            CoordinatorEmulator(),
        )  # of the prompt and of the late half
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.ports = {n: (self.host, free_port(self.host)) for n in range(self.count)}
        self.servers: dict[str, Roster] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.settings = {
            "balancers": self.count,
            "classes": [
                {"name": "read-roster", "aim_s": 1.5, "hard_limit_s": 9.0, "importance": 1, "late_worth": 0.2}
            ],
            "family_info": {"allowed_pools": [[0, 1, 2, 3]], "clear_wait_s": 0.5,
                            "retransmit_s": REAL.retransmit_s, "call_length_s": [HOLD_S]},
            "load_report": {"names": ["free", "size", "mean_ms", "can_take"]},
            "permissions": {"send_cap": 6, "cancel": True, "retry_after": True, "max_retry_after_s": 2.0,
                            "connect_timeout_s": REAL.connect_timeout_s},
            "safety": {"answer_slack_s": 0.02, "drain_grace_s": 1.0,
                       "cold_from": REAL.safety.initial_capacity_fraction,
                       "warm_after_s": REAL.safety.warm_up_s, "fall_multiple": REAL.safety.overload_multiple,
                       "fall_s": REAL.safety.overload_window_s},
        }  # fmt: skip

    def start(self, number: int) -> None:
        """Start a process, or the next one under its number."""
        coordinator = self.coordinators[number % 2]
        config = {
            "name": f"n{number}", "listen": format_address(self.ports[number]),
            "console": f"{self.host}:{free_port(self.host)}", "seed": str(self.chance.getrandbits(60)),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": format_address(coordinator.address),
            "known": {"index": len(coordinator.events), "updates": list(coordinator.events)},
            "settings": {**self.settings, "me": number},
        }  # fmt: skip
        path = self.folder / f"n{number}.json"
        path.write_text(json.dumps(config))
        with (self.folder / f"n{number}.log").open("ab") as log:
            self.processes[number] = subprocess.Popen(
                [sys.executable, "-m", "stairhatch"], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log, env={**os.environ, "RELAY_CONFIG": str(path), "TMPDIR": str(self.folder)},
            )  # fmt: skip

    async def server(self, name: str) -> Roster:
        """A roster server that listens."""
        server = self.servers[name] = Roster(self.chance.getrandbits(60))
        await server.listen(self.host)
        return server

    def tell(self, lines: list[dict[str, Any]], late_s: float = 0.0) -> None:
        """Both coordinators, the second so much later."""
        self.coordinators[0].publish(lines)
        asyncio.get_running_loop().call_later(late_s, self.coordinators[1].tell, lines)

    def live(self) -> bool:
        """Whether every process says that it is ready and none has ended."""
        logs = [(self.folder / f"n{n}.log").read_text() for n in self.processes]
        return all(" ready " in text for text in logs)

    async def play(self) -> list[dict[str, Any]]:
        """Every story; what the checker counted."""
        try:
            for coordinator in self.coordinators:
                await coordinator.listen(self.host)
            lines = [
                endpoint_line(f"r{n}", (await self.server(f"r{n}")).address, n) for n in range(REAL.servers)
            ]
            self.tell(lines)
            await asyncio.sleep(0.05)
            for number in range(self.count):
                self.start(number)
            while not self.live():
                await asyncio.sleep(0.1)
            rate = REAL.capacity * REAL.load * REAL.servers / self.count
            for number, place in self.ports.items():
                callers = Callers(f"n{number}", rate, self.chance.getrandbits(60))
                self.tasks.append(asyncio.create_task(callers.run(place)))
            await asyncio.sleep(2.5 * HOLD_S)
            return [await self.stage(story, index) for index, story in enumerate(STAGES)]
        finally:
            for task in self.tasks:
                task.cancel()
            for process in self.processes.values():
                process.kill()
                process.wait()
            for server in self.servers.values():
                await server.close()
            for coordinator in self.coordinators:
                coordinator.close()

    async def stage(self, story: Story, index: int) -> dict[str, Any]:
        """The server of number 0 is replaced by a cold one."""
        old, name = ("r0" if index == 0 else f"c{index - 1}"), f"c{index}"
        cold, gone = await self.server(name), self.servers[old]
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert cold.processor is not None
        cold.processor.start_cold(began)
        told = [endpoint_line(old, gone.address, 0, "terminated"),
                endpoint_line(name, cold.address, 0, "in_service", int(1000 * time.time()))]  # fmt: skip
        self.tell(told, LATE_S if story is Story.LATE else 0.0)
        await gone.close()
        await asyncio.sleep(self.chance.uniform(2.0, 4.0))
        killed = 0
        if story is Story.RESTARTED:
            for number in self.chance.sample(range(self.count), self.count // 2):
                self.processes[number].kill()
                self.processes[number].wait()
                self.start(number)
                killed += 1
        if story is Story.ALONE:
            self.tell(
                [
                    endpoint_line(f"r{n}", self.servers[f"r{n}"].address, n, "terminated")
                    for n in range(1, REAL.servers)
                ]
            )
            for number in range(1, REAL.servers):
                await self.servers[f"r{number}"].close()
        await asyncio.sleep(began + STAGE_S - loop.time())
        result = Result([at - began for at in cold.times], REAL, killed)
        share, count, begun = result.fullest()
        return {
            "seed": self.seed, "processes": self.count, "story": story.value, "killed": killed,
            "fullest": count, "begun_s": round(begun, 2), "budget": round(REAL.budget(begun), 1),
            "bound": round(REAL.bound(begun), 1), "share": round(share, 3), "early": result.early(),
            "bearable": round(result.bearable()), "fell": cold.processor.state is ProcessorState.CRASHED,
        }  # fmt: skip


def played(seed: int) -> list[dict[str, Any]]:
    """A run, in a process of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return uvloop.run(Run(seed, Path(folder)).play())


def processes(path: Path, seeds: list[int]) -> None:
    """Real processes, a run a seed; the file keeps all runs."""
    kept = json.loads(path.read_text()) if path.exists() else []
    with multiprocessing.Pool(2) as pool:
        for found in pool.imap(played, seeds, chunksize=1):
            kept += found
            for each in found:
                print(json.dumps(each), flush=True)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("[\n" + ",\n".join(json.dumps(each) for each in kept) + "\n]\n")


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["model", *more]:
            model(int(more[0]) if more else 10)
        case ["processes", name, *seeds] if seeds:
            processes(Path(name), [int(seed) for seed in seeds])
        case _:
            sys.exit(__doc__)
