"""How what it costs grows with its sizes: processor time, memory, descriptors, messages, bytes, delay,
each by one size with all else held. Figures come from runs with the machine to itself.

    .venv/bin/python benchmarks/scale.py --servers 24,100,400,1900 --json  # the decisions, by servers
    .venv/bin/python benchmarks/scale.py program --sizes 24,100,400,1900 --repeat 3 --keep

Without a name it measures `decisions`: processor time a call by servers listed. `--keep` writes each slope
with its points, fit, commit and command to docs/capacity/, and adds to what the same commit measured by the
same command; it does nothing in a tree that is not committed. `--list` shows what can be measured.
"""

from __future__ import annotations

import argparse
import asyncio
import heapq
import itertools
import json
import multiprocessing
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, replace
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import uvloop

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from benchmarks import capacity
from stairhatch.components import steady_unix_clock
from stairhatch.emulators.coordinator_emulator import CoordinatorEmulator, endpoint_line
from stairhatch.emulators.ports import free_port
from stairhatch.emulators.server_emulator import ServerEmulator, ServerEmulatorConnection
from stairhatch.fault_injection.schedule import ENDPOINT_LIST_LEASE, FaultSchedule
from stairhatch.fault_injection.virtual_cluster import VirtualCluster
from stairhatch.fleet.messages import FleetCodec
from stairhatch.node import sip_message as sip
from stairhatch.node import sip_parser
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import ServerRecord
from stairhatch.node.counters import Counters
from stairhatch.node.io.network import Network
from stairhatch.node.server_pool import ServerConnectionPool
from stairhatch.node.service_discovery import ServiceDiscoveryClient
from stairhatch.overload.actions import SendSetup, SetTimer
from stairhatch.overload.controller import Controller
from stairhatch.overload.events import (
    AttemptEnded,
    AttemptOutcome,
    Availability,
    CallAbandoned,
    CallEstablished,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    Event,
    LoadReport,
    LoadReported,
    TimerExpired,
)
from stairhatch.overload.settings import Settings
from stairhatch.settings.parser import settings_from_object

ROOT = Path(__file__).resolve().parents[1]
Decisions = Callable[[Settings, random.Random], Any]
# What decides, by the name that `--decisions` takes: anything with the Controller's `handle`.
DECISIONS: dict[str, Decisions] = {"plain": Controller}

SERVICE = 10  # servers of the service that is called
RATE = 137.0  # calls a second
STATE_S = 0.4  # between two states that a roster server tells
TOOK_S = 0.01  # of a set-up, in the decisions alone
HELD_S = 1.0  # that a call stands
REST_S, CALLS_S, SETTLE_S = 4.0, 4.0, 1.5
LINES = 1000  # of a stand-in server: they never run short
MOST_SERVERS = 475  # in one stand-in process
WORKERS = 4
SETTLED_TERMS = 2  # of claims, from when nearly all are held until a fleet is at rest
PATIENCE_S, SERVES_S = 60.0, 20.0
LATE_S = 1.0  # that the last answers of a run may take
MOST_UNSERVED = 0.01  # of the calls: with more, the others' figures are not those of this rate
BLOCKS, BLOCK_S = 7, 1.0  # in turn, through the softswitch and directly


def raw_settings(listed: int, service: int = SERVICE) -> dict[str, Any]:
    """Settings with a class for each service; `service` servers each, numbered in order."""
    services = [list(range(first, min(first + service, listed))) for first in range(0, listed, service)]
    names = [f"service-{index}" for index in range(len(services))]
    return {
        "balancers": 1,
        "classes": [{"name": name, "aim_s": 1.5, "hard_limit_s": 9.0, "importance": 1.0} for name in names],
        "family_info": {"allowed_pools": services, "clear_wait_s": 0.5, "retransmit_s": 0.8},
        "load_report": {"names": ["free", "size", "mean_ms", "can_take"]},
        "permissions": {"send_cap": 6, "cancel": True, "retry_after": True, "max_retry_after_s": 2.0},
        "safety": {"answer_slack_s": 0.02, "drain_grace_s": 1.0},
    }


# What the decisions cost, alone, on a clock set by hand.


class Alone:
    """The decisions of one softswitch, with servers that answer at once and tell their state now and then."""

    def __init__(self, make: Decisions, listed: int, service: int = SERVICE) -> None:
        self.settings = settings_from_object(raw_settings(listed, service)).settings
        self.chance = random.Random(1)
        self.decisions = make(self.settings, random.Random(2))
        self.lines = tuple(EndpointRecord(index + 1, index) for index in range(listed))
        self.now, self.instant, self.serial = 1000.0, 0.0, itertools.count(1)
        self.used: Counter[str] = Counter()  # processor seconds, by what they were for
        self.times: Counter[str] = Counter()
        self.answers = True
        self.order = itertools.count()
        self.due: list[tuple[float, int, str, Event]] = []
        self.tell("whole", EndpointsUpdated(self.lines, complete=True))

    def tell(self, what: str, event: Event) -> None:
        """One event, and what comes of it."""
        if self.now - self.instant >= self.settings.event_period_s:  # as `Core.instant` has it
            self.instant = self.now
        begun = time.process_time()
        actions = list(self.decisions.handle(self.instant, event))
        self.used[what] += time.process_time() - begun
        self.times[what] += 1
        for action in actions:
            if isinstance(action, SendSetup) and self.answers:
                stood = CallEstablished(action.call_id, action.server_id, TOOK_S)
                ended = AttemptEnded(
                    action.call_id, action.server_id, AttemptOutcome.COMPLETED, True, LoadReport()
                )
                self.later(TOOK_S, "call", stood)
                self.later(HELD_S, "call", ended)
            elif isinstance(action, SetTimer):
                self.later(action.delay_s, "call", TimerExpired(action.timer_id))

    def later(self, after: float, what: str, event: Event) -> None:
        """Tell it when its time has come."""
        heapq.heappush(self.due, (self.now + after, next(self.order), what, event))

    def offer(self, service: int = 0, grace_s: float = 3.0) -> None:
        """A caller asks for one of the service's servers."""
        kind = self.settings.classes[service]
        self.times["offered"] += 1
        choice = self.chance.choice(kind.allowed_servers or (0,))
        self.tell("call", CallOffered(next(self.serial), kind, choice, grace_s))

    def run(self, seconds: float, rate: float, service: int = 0) -> float:
        """Calls for so long; returns the processor milliseconds of one."""
        for index, each in enumerate(self.lines):
            for turn in range(int((seconds + STATE_S) / STATE_S)):
                at = STATE_S * (turn + index / len(self.lines))
                load = LoadReport(
                    free_lines=LINES, total_lines=LINES, processor_wait_s=0.001, admissible_rate=500.0
                )
                self.later(at, "state", LoadReported(each.server_id, load))
        begun, many = self.now, int(seconds * rate)
        self.used["call"], self.times["offered"] = 0.0, 0
        for number in range(many):
            self.until(begun + number / rate)
            self.offer(service)
        self.until(begun + seconds)
        return 1000 * self.used["call"] / self.times["offered"]

    def until(self, when: float) -> None:
        """Let time pass."""
        while self.due and self.due[0][0] <= when:
            at, _, what, event = heapq.heappop(self.due)
            self.now = max(self.now, at)
            self.tell(what, event)
        self.now = when


def decisions(size: int, told: argparse.Namespace) -> dict[str, float]:
    """By servers listed."""
    alone = Alone(DECISIONS[told.decisions], size)
    call = alone.run(3.0, RATE)
    found = {"decisions_call_by_servers": call, "decisions_whole_by_servers": 1000 * alone.used["whole"]}
    state = alone.used["state"] / alone.times["state"]
    found["decisions_state_by_servers"] = 1e6 * state
    found["decisions_rest_by_servers"] = 100 * state * size / STATE_S
    for turn in range(50):
        standing = Availability.DRAINING if turn % 2 == 0 else Availability.READY
        one = (replace(alone.lines[turn % size], availability=standing),)
        alone.now += 0.1
        alone.tell("change", EndpointsUpdated(one, complete=False))
    found["decisions_change_by_servers"] = 1000 * alone.used["change"] / 50
    return found


def by_service(size: int, told: argparse.Namespace) -> dict[str, float]:
    """By servers of the call's service, 1,900 listed."""
    alone = Alone(DECISIONS[told.decisions], max(1900, size), size)
    return {"decisions_call_by_service": alone.run(1.5, RATE)}


def by_rate(size: int, told: argparse.Namespace) -> dict[str, float]:
    """By calls a second, 24 listed."""
    return {"decisions_call_by_rate": Alone(DECISIONS[told.decisions], 24).run(3.0, size)}


def by_waiting(size: int, told: argparse.Namespace) -> dict[str, float]:
    """By calls that wait for a service whose servers are full, while another of 10 services is called."""
    alone = Alone(DECISIONS[told.decisions], 100)
    alone.answers = False
    for _ in range(40 * SERVICE):  # their windows are full, and are not moved by an answer
        alone.offer(1, grace_s=600.0)
    waiting = alone.decisions.pending
    while len(waiting) < size:
        alone.offer(1, grace_s=600.0)
    while len(waiting) > size:
        alone.tell("left", CallAbandoned(next(iter(waiting))))
    for call in waiting.calls.values():  # they are held through the run
        call.queue_until = call.answer_by
    waiting.deadlines.clear()
    alone.answers = True
    found = alone.run(0.4, RATE)
    if len(waiting) != size:
        raise NotHadError(f"{len(waiting)} calls waited at the end, not {size}")
    return {"decisions_call_by_waiting": found}


# Stand-ins in processes of their own, told what to do by a pipe.


class CountedLink(ServerEmulatorConnection):
    """A link whose bytes and messages are counted."""

    server: Roster

    def send(self, message: dict[str, Any]) -> None:
        """Write a line."""
        self.server.counts["out"] += 1
        self.server.counts["bytes"] += len(json.dumps(message)) + 1
        super().send(message)

    def data_received(self, data: bytes) -> None:
        """Lines of the softswitch."""
        self.server.counts["in"] += data.count(b"\n")
        self.server.counts["bytes"] += len(data)
        super().data_received(data)


class Roster(ServerEmulator):
    """A stand-in roster server that counts."""

    def __init__(self, counts: Counter[str]) -> None:
        super().__init__(lines=LINES)
        self.counts = counts

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> Roster:
        """Begin to serve."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: CountedLink(self), host, port, backlog=2048)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self


class Directories(CoordinatorEmulator):
    """A stand-in coordinator that counts."""

    def __init__(self) -> None:
        super().__init__()
        self.counts: Counter[str] = Counter()

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> Directories:
        """Begin to serve."""
        self._server = await asyncio.start_server(self._serve_connection, host, port, backlog=2048)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    async def _answer_poll(self, line: bytes, writer: asyncio.StreamWriter) -> None:
        counts, write = self.counts, writer.write

        def counted(data: bytes) -> None:
            counts["bytes"] += len(data)
            write(data)

        counts["questions"] += 1
        counts["bytes"] += len(line) + len(f"Host: {self.address[0]}:{self.address[1]}\r\n\r\n")
        writer.write = counted  # type: ignore[method-assign]
        try:
            await super()._answer_poll(line, writer)
        finally:
            writer.write = write  # type: ignore[method-assign]


class Helper:
    """A process of stand-ins: it answers each word on its pipe."""

    def __init__(self, work: Callable[..., Any], *told: Any) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, other = context.Pipe()
        self.process = context.Process(target=helper, args=(other, work, told), daemon=True)
        self.process.start()
        other.close()
        self.first = self.hear()

    def hear(self) -> Any:
        """Its next answer."""
        if not self.pipe.poll(PATIENCE_S):
            raise NotHadError("a stand-in does not answer")
        return self.pipe.recv()

    def ask(self, *words: Any) -> Any:
        """Its answer to a word."""
        self.pipe.send(words)
        return self.hear()

    def end(self) -> None:
        """End it."""
        self.process.kill()
        self.process.join()


def helper(pipe: Connection, work: Callable[..., Any], told: tuple[Any, ...]) -> None:
    """The helper's process: `work` gives its first answer and what answers a word."""

    async def run() -> None:
        first, answer = await work(*told)
        pipe.send(first)
        loop, gone = asyncio.get_running_loop(), asyncio.Event()

        def ready() -> None:
            try:
                pipe.send(answer(*pipe.recv()))
            except EOFError:
                gone.set()

        loop.add_reader(pipe.fileno(), ready)
        await gone.wait()

    uvloop.run(run())


async def rosters(count: int) -> tuple[Any, Callable[..., Any]]:
    """Roster servers: their ports, then what was counted."""
    counts: Counter[str] = Counter()
    servers = [await Roster(counts).listen() for _ in range(count)]

    def answer(what: str) -> Any:
        return {**counts, "links": sum(len(each.connections) for each in servers)}

    return [each.address for each in servers], answer


async def directories(lines: list[dict[str, Any]]) -> tuple[Any, Callable[..., Any]]:
    """A coordinator: its place, then what was counted, or when a change was told."""
    coordinator = await Directories().listen()
    coordinator.publish(lines, reset=True)

    def answer(what: str, *told: Any) -> Any:
        if what == "tell":
            at = time.time()
            coordinator.publish(list(told))
            return at
        return dict(coordinator.counts)

    return coordinator.address, answer


class Beside:
    """A side that does nothing: no links are opened."""

    def record_changed(self, server: object) -> None:
        """The directory names a server."""


def bare_core() -> CallManager:
    """A core without fronts."""
    return CallManager(
        settings_from_object(raw_settings(24)).settings,
        random.Random(1),
        steady_unix_clock(),
        lambda *a, **k: None,
        Counters(),
    )


async def followers(count: int, place: tuple[str, int]) -> tuple[Any, Callable[..., Any]]:
    """Softswitches that follow the coordinator and have no links: when the last took a change in."""
    heard: dict[int, tuple[int, float]] = {}
    for index in range(count):
        core = bare_core()
        core.servers.pool = Beside()  # type: ignore[assignment]
        network = Network(core)
        directory = ServiceDiscoveryClient(core, place, 0)
        inner = core.update_servers

        def listed(lines: Any, complete: bool, index: int = index, inner: Any = inner) -> None:
            inner(lines, complete)
            heard[index] = heard.get(index, (0, 0.0))[0] + 1, time.time()

        core.update_servers = listed  # type: ignore[method-assign]
        network.spawn(network.poll_service_discovery(directory))

    def answer(what: str) -> Any:
        return min((events for events, _ in heard.values()), default=0) if len(heard) == count else 0, max(
            (at for _, at in heard.values()), default=0.0
        )

    return None, answer


async def senders(count: int, place: tuple[str, int]) -> tuple[Any, Callable[..., Any]]:
    """Softswitches with a link to one roster server."""
    cores = []
    for _ in range(count):
        core = bare_core()
        ServerConnectionPool(core, Network(core).dial)
        core.update_servers([ServerRecord("one", (place[0], place[1]), 0, Availability.READY)], complete=True)
        cores.append(core)

    def answer(what: str) -> Any:
        return sum(core.servers.by_id[1].connected for core in cores)

    return None, answer


class NotHadError(RuntimeError):
    """A figure that can't be had at this size, with why."""


def until(
    condition: Callable[[], Any], what: str, within_s: float = PATIENCE_S, every_s: float = 0.02
) -> Any:
    """Wait for a condition."""
    end = time.monotonic() + within_s
    while not (found := condition()):
        if time.monotonic() > end:
            raise NotHadError(f"never came within {within_s:.0f} s: {what}")
        time.sleep(every_s)
    return found


# The program itself, as a process on loopback.


class Program:
    """A real softswitch, with stand-in servers and a coordinator."""

    def __init__(self, listed: int, inside: bool = False) -> None:
        self.helpers: list[Helper] = []
        self.process: subprocess.Popen[bytes] | None = None
        self.folder = tempfile.TemporaryDirectory()
        try:
            self._start(listed, inside)
        except BaseException:
            self.end()
            raise

    def _start(self, listed: int, inside: bool) -> None:
        counts = [min(MOST_SERVERS, listed - first) for first in range(0, listed, MOST_SERVERS)]
        self.rosters = [Helper(rosters, count) for count in counts]
        self.helpers += self.rosters
        self.places = [tuple(place) for each in self.rosters for place in each.first]
        self.lines = [endpoint_line(f"r{index}", place, index) for index, place in enumerate(self.places)]
        self.directory = Helper(directories, self.lines)
        self.helpers.append(self.directory)
        self.place, host = ("127.0.0.1", free_port()), "127.0.0.1"
        config = {
            "name": "n0", "listen": f"{host}:{self.place[1]}", "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": f"{host}:{self.directory.first[1]}", "known": {"index": 0, "updates": []},
            "settings": raw_settings(listed),
        }  # fmt: skip
        folder = Path(self.folder.name)
        (folder / "config.json").write_text(json.dumps(config))
        self.log, self.spans = folder / "log", folder / "spans"
        environ = {key: value for key, value in os.environ.items() if not key.startswith("STAIRHATCH_")}
        environ |= {"RELAY_CONFIG": str(folder / "config.json"), "SPANS": str(self.spans)}
        words = [str(ROOT / "benchmarks" / "scale.py"), "--inside"] if inside else ["-m", "stairhatch"]
        began = time.time()
        with self.log.open("wb") as file:
            self.process = subprocess.Popen(
                [sys.executable, *words],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=file,
            )
        self.started_s: float | None = None
        with suppress(NotHadError):  # too busy to serve: what it holds is measured all the same
            self.started_s = until(lambda: self.when("serving"), "serving", SERVES_S) - began

    def when(self, event: str, word: str = "") -> float:
        """When it logged an event last; 0 if it has not."""
        if self.process is not None and self.process.poll() is not None:
            raise NotHadError(f"it has ended: {self.log.read_text()[-300:]}")
        for text in reversed(self.log.read_text().splitlines()):
            words = text.split(" ")
            if len(words) > 1 and words[1] == event and (not word or word in words):
                return float(words[0])
        return 0.0

    def counted(self) -> Counter[str]:
        """What the stand-ins counted so far."""
        found: Counter[str] = Counter()
        for each in self.rosters:
            found.update(each.ask("counts"))
        told = self.directory.ask("counts")
        found["list bytes"], found["questions"] = told.get("bytes", 0), told.get("questions", 0)
        return found

    def used(self) -> tuple[float, float]:
        """Processor seconds so far: of the main thread, and of the others."""
        assert self.process is not None
        pid, main, others = self.process.pid, 0.0, 0.0
        for task in Path(f"/proc/{pid}/task").iterdir():
            seconds = int((task / "schedstat").read_text().split()[0]) / 1e9
            main, others = (main + seconds, others) if task.name == str(pid) else (main, others + seconds)
        return main, others

    def switches(self) -> int:
        """How often the main thread has waited for something, so far."""
        assert self.process is not None
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(text.partition("voluntary_ctxt_switches:")[2].split()[0])

    def memory_mb(self) -> float:
        """What it holds."""
        assert self.process is not None
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(text.partition("VmRSS:")[2].split()[0]) / 1024

    def descriptors(self) -> int:
        """How many are open."""
        assert self.process is not None
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def rest(self, seconds: float) -> dict[str, float]:
        """What it uses a second with no calls: processor, bytes, messages."""
        used, counts, begun = sum(self.used()), self.counted(), time.monotonic()
        time.sleep(seconds)
        passed = time.monotonic() - begun
        more = self.counted()
        more.subtract(counts)
        return {
            "core": 100 * (sum(self.used()) - used) / passed, "bytes": more["bytes"] / passed,
            "messages": (more["in"] + more["out"]) / passed, "list bytes": more["list bytes"] / passed,
            "list messages": 2 * more["questions"] / passed,
        }  # fmt: skip

    def end(self) -> None:
        """End all of it."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        for each in self.helpers:
            each.end()
        self.folder.cleanup()


@contextmanager
def program(listed: int, inside: bool = False) -> Iterator[Program]:
    """A softswitch for as long as it is measured."""
    found = Program(listed, inside)
    try:
        yield found
    finally:
        found.end()


class Via(asyncio.Protocol):
    """A caller's connection to the softswitch."""

    def __init__(self, hold_s: float) -> None:
        self.hold_s, self.parser = hold_s, sip_parser.StreamParser()
        self.sent: dict[str, float] = {}
        self.took: list[float] = []
        self.other = 0  # answers that are no 200
        self.loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self.transport: Any = transport

    def place(self, serial: int, server: int) -> None:
        """Ask for a call with a server of first choice."""
        ident = f"{serial:016x}"
        headers = [
            ("via", "SIP/2.0/TCP bench"), ("call-id", ident), ("cseq", "1 INVITE"),
            ("call-kind", "service-0"), ("answer-within", "3000"),
            ("routing-data", f"dest:{server};width:1;via:-1"),
        ]  # fmt: skip
        data = sip.request("INVITE", f"sip:{ident}@net", headers, b"v=0")
        self.sent[ident] = time.perf_counter()
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Answers."""
        now = time.perf_counter()
        self.parser.feed(data)
        while (message := self.parser.next_message()) is not None:
            ident = message.get("call-id")
            if message.cseq()[1] == "INVITE" and ident in self.sent and message.status >= 200:
                self.took.append(now - self.sent.pop(ident))
                self.other += message.status != 200
                if self.hold_s:
                    self.loop.call_later(self.hold_s, self.release, ident)

    def release(self, ident: str) -> None:
        """End a call that stands. Once the run is over its servers are ended, and nobody is left to tell."""
        if self.transport.is_closing():
            return
        headers = [("via", "SIP/2.0/TCP bench"), ("call-id", ident), ("cseq", "2 BYE")]
        self.transport.write(sip.request("BYE", "sip:x@net", headers))


class Direct(asyncio.Protocol):
    """A caller's connection to a roster server."""

    def __init__(self, took: list[float]) -> None:
        self.data, self.took = b"", took
        self.sent: dict[str, float] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self.transport: Any = transport

    def place(self, serial: int) -> None:
        """Set a call up."""
        ident = f"{serial:016x}"
        opts = {"class": "service-0", "key": ident, "left": "3000"}
        data = json.dumps({"verb": "START", "tag": ident, "opts": opts, "blob": "v=0"}).encode() + b"\n"
        self.sent[ident] = time.perf_counter()
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Answers, and states among them."""
        now = time.perf_counter()
        *lines, self.data = (self.data + data).split(b"\n")
        for each in lines:
            told = json.loads(each)
            if told["verb"] == "STARTED":
                self.took.append(now - self.sent.pop(told["tag"]))
                release = {"verb": "FINISH", "tag": told["tag"], "opts": {}, "rc": 16}
                self.transport.write(json.dumps(release).encode() + b"\n")


async def paced(seconds: float, rate: float, chance: random.Random, act: Callable[[], None]) -> int:
    """Do something at times of a Poisson process; returns how often."""
    begun, at, count = time.monotonic(), chance.expovariate(rate), 0
    while at < seconds:
        if (left := begun + at - time.monotonic()) > 0:
            await asyncio.sleep(left)
        act()
        count, at = count + 1, at + chance.expovariate(rate)
    await asyncio.sleep(max(0.0, begun + seconds - time.monotonic()))
    return count


async def calls(where: Program, seconds: float, rate: float, hold_s: float = HELD_S) -> dict[str, Any]:
    """Calls for so long, after a while in which as many come and go; what the program used meanwhile."""
    loop, chance, serial = asyncio.get_running_loop(), random.Random(3), itertools.count(1)
    _, via = await loop.create_connection(lambda: Via(hold_s), *where.place)

    def one() -> None:
        via.place(next(serial), chance.randrange(SERVICE))

    await paced((hold_s or 0.0) + 0.3, rate, chance, one)
    used, switches, begun = where.used(), where.switches(), time.monotonic()
    spans = where.spans.read_text() if where.spans.exists() else ""
    count = await paced(seconds, rate, chance, one)
    after, passed = where.used(), time.monotonic() - begun
    found = {
        "count": count, "passed": passed, "main": after[0] - used[0], "others": after[1] - used[1],
        "switches": where.switches() - switches, "before": spans,
    }  # fmt: skip
    late = time.monotonic() + LATE_S
    while via.sent and time.monotonic() < late:
        await asyncio.sleep(0.01)
    via.transport.close()
    unserved = via.other + len(via.sent)
    if unserved > MOST_UNSERVED * (count + rate):
        raise NotHadError(f"{via.other} calls did not stand and {len(via.sent)} were not answered of {count}")
    return found


def of_program(size: int, told: argparse.Namespace) -> dict[str, float]:
    """By servers listed."""
    with program(size) as where:
        time.sleep(SETTLE_S)
        links = sum(each.ask("counts")["links"] for each in where.rosters)
        found = {
            "program_memory_by_servers": where.memory_mb(), "program_links_by_servers": float(links),
            "program_descriptors_by_servers": float(where.descriptors()),
        }  # fmt: skip
        if where.started_s is None:
            told.missing.append(f"{size}: did not serve within {SERVES_S:.0f} s")
        else:
            found["program_start_by_servers"] = where.started_s
        rest = where.rest(REST_S)
        found |= {
            "program_rest_by_servers": rest["core"], "program_bytes_by_servers": rest["bytes"],
            "program_messages_by_servers": rest["messages"],
            "program_list_bytes_by_servers": rest["list bytes"],
            "program_list_messages_by_servers": rest["list messages"],
        }  # fmt: skip
        try:
            during = uvloop.run(calls(where, CALLS_S, RATE))
            used = during["main"] + during["others"] - during["passed"] * rest["core"] / 100
            found["program_call_by_servers"] = 1000 * used / during["count"]
        except NotHadError as error:
            told.missing.append(f"{size}: {error}")
        time.sleep(HELD_S)
        try:
            found["program_change_by_servers"] = statistics.median(
                one_change(where, turn) for turn in range(5)
            )
        except NotHadError as error:
            told.missing.append(f"{size}: {error}")
    return found


def one_change(where: Program, turn: int) -> float:
    """Seconds from a change told by the coordinator until the softswitch has taken it in."""
    one = {**where.lines[-1 - turn], "lifecycle": "terminating"}
    at, words = where.directory.ask("tell", one), f"server={one['instanceId']}"
    return float(until(lambda: max(0.0, where.when("server_listed", words) - at), "a change", SERVES_S))


def program_by_rate(size: int, told: argparse.Namespace) -> dict[str, float]:
    """By calls a second, 24 listed."""
    with program(24) as where:
        time.sleep(SETTLE_S)
        rest = where.rest(2.0)["core"]
        during = uvloop.run(calls(where, CALLS_S, size))
        used = during["main"] + during["others"] - during["passed"] * rest / 100
        return {"program_call_by_rate": 1000 * used / during["count"]}


def program_by_calls(size: int, told: argparse.Namespace) -> dict[str, float]:
    """By calls that stand, 24 listed."""

    async def fill(where: Program) -> None:
        loop, chance = asyncio.get_running_loop(), random.Random(3)
        _, via = await loop.create_connection(lambda: Via(0.0), *where.place)
        for serial in range(1, size + 1):
            via.place(serial, chance.randrange(SERVICE))
            await asyncio.sleep(0.002)
        while via.sent:
            await asyncio.sleep(0.01)
        if via.other:
            raise NotHadError(f"{via.other} calls did not stand")
        via.transport.close()

    with program(24) as where:
        uvloop.run(fill(where))
        time.sleep(SETTLE_S)
        return {"program_memory_by_calls": where.memory_mb()}


def quantile(values: list[float], share: float) -> float:
    """By the nearest rank."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


async def in_turn(where: Program) -> tuple[list[float], list[float]]:
    """The same callers through the softswitch and directly, in turn; seconds from sent to answered."""
    loop, serial, chance = asyncio.get_running_loop(), itertools.count(1), random.Random(5)
    _, via = await loop.create_connection(lambda: Via(HELD_S), *where.place)
    direct: list[float] = []
    links = []
    for place in where.places[:SERVICE]:
        _, link = await loop.create_connection(lambda: Direct(direct), *place)
        links.append(link)

    def through() -> None:
        via.place(next(serial), chance.randrange(SERVICE))

    def straight() -> None:
        links[chance.randrange(SERVICE)].place(next(serial))

    for turn in range(2 * BLOCKS + 2):
        if turn == 2:  # the first of each warm up
            via.took.clear()
            direct.clear()
        await paced(BLOCK_S, RATE, chance, straight if turn % 2 else through)
        await asyncio.sleep(0.1)
    if via.other or via.sent or any(link.sent for link in links):
        raise NotHadError("not all calls stood or were answered")
    for each in (via, *links):
        each.transport.close()
    return via.took, direct


def added(size: int, told: argparse.Namespace) -> dict[str, float]:
    """By servers listed."""
    with program(size) as where:
        time.sleep(SETTLE_S)
        via, direct = uvloop.run(in_turn(where))
    found = {}
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        through, straight = (1000 * quantile(each, share) for each in (via, direct))
        found |= {f"added_{name}_by_servers": through - straight, f"direct_{name}_by_servers": straight}
    return found


def breakdown(size: int, told: argparse.Namespace) -> dict[str, float]:
    """By servers listed: where the time of a call goes, from timers within the program."""
    with program(size, inside=True) as where:
        time.sleep(SETTLE_S)
        during = uvloop.run(calls(where, CALLS_S, RATE))
        spans = until(lambda: where.spans.read_text() if where.spans.exists() else "", "the spans")
    count = during["count"]
    before = json.loads(during["before"]) if during["before"] else {}
    every = {name: json.loads(spans).get(name, 0.0) - before.get(name, 0.0) for name in SPANS}
    # The spans are written each quarter of a second, and calls come before and after the window.
    share = during["passed"] / (json.loads(spans)["at"] - before.get("at", 0.0)) if before else 1.0
    found = {f"call_{name}_by_servers": 1000 * share * spent / count for name, spent in every.items()}
    rest = 1000 * during["main"] / count - sum(found.values())
    found["call_loop_by_servers"] = rest
    found["call_log_thread_by_servers"] = 1000 * during["others"] / count
    found["call_waits_by_servers"] = during["switches"] / count
    return found


SPANS = ("parse", "decide", "core", "ask", "answer", "states")


def run_inside() -> int:
    """The program with timers in it. Each span is exclusive of those within it; written out now and then."""
    from stairhatch import __main__ as entry
    from stairhatch.node.attempts import AttemptManager
    from stairhatch.node.platform_frontend import PlatformConnection
    from stairhatch.node.server_connection import ServerConnection
    from stairhatch.node.server_responses import ServerResponses
    from stairhatch.node.timer_wheel import TimerWheel

    spent: Counter[str] = Counter()
    inner: list[float] = []

    def timed(owner: Any, method: str, name: str, whole: bool = False) -> None:
        was = getattr(owner, method)

        def act(*words: Any, **named: Any) -> Any:
            begun = time.perf_counter()
            inner.append(0.0)
            try:
                return list(was(*words, **named)) if whole else was(*words, **named)
            finally:
                took = time.perf_counter() - begun
                spent[name] += took - inner.pop()
                if inner:
                    inner[-1] += took

        setattr(owner, method, act)

    timed(PlatformConnection, "receive_data", "parse")
    timed(Controller, "handle", "decide", whole=True)
    timed(CallManager, "offer_call", "core")
    timed(CallManager, "release", "core")
    timed(ServerResponses, "call_established", "core")
    timed(ServerResponses, "call_released", "core")
    timed(TimerWheel, "run_due", "core")
    timed(AttemptManager, "claim_transmission", "core")
    timed(ServerConnection, "data_to_send", "ask")
    timed(PlatformConnection, "data_to_send", "answer")
    timed(ServerConnection, "receive_data", "states")
    path = Path(os.environ["SPANS"])
    began = CallManager.__init__

    def begin(self: CallManager, *words: Any, **named: Any) -> None:
        began(self, *words, **named)

        def tell() -> None:
            other = path.with_suffix(".new")
            other.write_text(json.dumps({**spent, "at": time.monotonic()}))
            other.replace(path)
            self.timers.schedule(self.clock() + 0.25, tell)

        self.timers.schedule(self.clock() + 0.25, tell)

    CallManager.__init__ = begin  # type: ignore[method-assign]
    sys.argv[1:] = []
    return entry.main()


# The fleet: who follows the coordinator, who links to one server, who asks the voters.


def of_followers(size: int, told: argparse.Namespace) -> dict[str, float]:
    """By softswitches that follow one coordinator."""
    lines = [endpoint_line(f"r{index}", ("127.0.0.1", 9), index) for index in range(24)]
    helpers = [Helper(directories, lines)]
    try:
        place = tuple(helpers[0].first)
        counts = [size // WORKERS + (index < size % WORKERS) for index in range(WORKERS)]
        helpers += [Helper(followers, count, place) for count in counts if count]
        until(lambda: all(each.ask("heard")[0] >= 1 for each in helpers[1:]), "the list at all")
        time.sleep(SETTLE_S)
        before, begun = helpers[0].ask("counts"), time.monotonic()
        time.sleep(REST_S)
        after, passed = helpers[0].ask("counts"), time.monotonic() - begun
        late = []
        for turn in range(5):
            at = helpers[0].ask("tell", {**lines[turn], "lifecycle": "terminating"})
            wanted = turn + 2
            until(
                lambda w=wanted: all(each.ask("heard")[0] >= w for each in helpers[1:]),
                "a change at all",
                every_s=0.1,
            )
            late.append(max(each.ask("heard")[1] for each in helpers[1:]) - at)
            time.sleep(0.2)
    finally:
        for each in helpers:
            each.end()
    return {
        "change_last_by_members": statistics.median(late),
        "coordinator_questions_by_members": (after["questions"] - before["questions"]) / passed,
        "coordinator_bytes_by_members": (after["bytes"] - before["bytes"]) / passed,
    }


def of_senders(size: int, told: argparse.Namespace) -> dict[str, float]:
    """By softswitches with a link to one roster server."""
    helpers = [Helper(rosters, 1)]
    try:
        place = tuple(helpers[0].first[0])
        counts = [size // WORKERS + (index < size % WORKERS) for index in range(WORKERS)]
        helpers += [Helper(senders, count, place) for count in counts if count]
        until(lambda: sum(each.ask("up") for each in helpers[1:]) == size, "all links", every_s=0.1)
        time.sleep(SETTLE_S)
        before, begun = helpers[0].ask("counts"), time.monotonic()
        time.sleep(REST_S)
        after, passed = helpers[0].ask("counts"), time.monotonic() - begun
    finally:
        for each in helpers:
            each.end()
    return {
        "server_connections_by_senders": float(after["links"]),
        "server_messages_by_senders": (after["out"] - before["out"]) / passed,
        "server_bytes_by_senders": (after["bytes"] - before["bytes"]) / passed,
    }


def of_voter(size: int, told: argparse.Namespace) -> dict[str, float]:
    """By members of claims with three voters, on the virtual clock, once nearly all numbers are held."""
    names = tuple(f"s{index}" for index in range(size))
    voters, codec = names[:3], FleetCodec("fleet", b"0123456789abcdef")
    world = VirtualCluster(FaultSchedule(1e9, names, voters), 1)
    counts: Counter[str] = Counter()
    window: list[float] = []
    held_at: list[float] = []

    class Done(Exception):  # noqa: N818 - it ends a run that has what it wants
        """The window is over."""

    for box in world.members.values():
        box.work = lambda: None  # type: ignore[method-assign]
    for name in voters:
        box = world.members[name]
        take, look = box.receive, box.tick
        deep = [False]

        def timed(act: Callable[..., None], deep: list[bool]) -> Callable[..., None]:
            def run(*words: Any) -> None:
                begun, outer = time.process_time(), not deep[0]
                deep[0] = True
                act(*words)
                if outer:
                    deep[0] = False
                    counts["used"] += time.process_time() - begun  # type: ignore[assignment]

            return run

        box.receive = timed(take, deep)  # type: ignore[method-assign]
        box.tick = timed(look, deep)  # type: ignore[method-assign]
    send = world.shared.network.send

    def counted(sender: str, receiver: str, message: Any) -> None:
        if window:
            size_of = len(codec.encode(message))
            for name in {sender, receiver}:
                role = "voter" if name in voters else "member"
                counts[f"{role} messages"] += 1
                counts[f"{role} bytes"] += size_of
        send(sender, receiver, message)

    world.shared.network.send = counted  # type: ignore[method-assign]

    def look_whether() -> None:
        held = world.holders_by_lease()
        if ENDPOINT_LIST_LEASE in held and len(held) >= 0.99 * size:
            held_at.append(world.shared.queue.now)
            world.shared.queue.schedule_at(
                world.shared.queue.now + SETTLED_TERMS * world.shared.schedule.lease_duration_s, begin
            )
        else:
            world.shared.queue.schedule_at(world.shared.queue.now + 0.25, look_whether)

    def begin() -> None:
        window.append(world.shared.queue.now)
        counts["used"] = 0
        world.shared.queue.schedule_at(world.shared.queue.now + told.seconds, done)

    def done() -> None:
        raise Done

    world.shared.queue.schedule_at(0.5, look_whether)
    with suppress(Done):
        world.run()
    passed, others = world.shared.queue.now - window[0], max(1, size - 3)
    return {
        "voter_messages_by_members": counts["voter messages"] / 3 / passed,
        "voter_bytes_by_members": counts["voter bytes"] / 3 / passed,
        "voter_processor_by_members": 100 * counts["used"] / 3 / passed,
        "member_messages_by_members": counts["member messages"] / others / passed,
        "member_bytes_by_members": counts["member bytes"] / others / passed,
        "numbers_held_by_members": held_at[0],
    }


@dataclass(frozen=True, slots=True)
class Family:
    """What one run gives: several slopes by one size."""

    measure: Callable[[int, argparse.Namespace], dict[str, float]]
    by: str
    sizes: tuple[int, ...]
    held: str
    series: dict[str, tuple[str, str]]  # slope -> title and unit


EVERY, MORE = (24, 100, 400, 1900), (24, 50, 100, 200, 400, 1900)
ONE = f"one service of {SERVICE} servers called, {RATE:.0f} calls a second"
FAMILIES = {
    "decisions": Family(decisions, "servers listed", MORE, f"Controller alone, virtual clock, {ONE}", {
        "decisions_call_by_servers": ("processor of the decisions a call", "ms"),
        "decisions_change_by_servers": ("processor of the decisions for one changed line of the list", "ms"),
        "decisions_whole_by_servers": ("processor of the decisions for the whole list at the start", "ms"),
        "decisions_state_by_servers": ("processor of the decisions for one state of a server", "us"),
        "decisions_rest_by_servers": (
            f"processor of the decisions at rest, each server telling its state every {STATE_S} s",
            "% of a core",
        ),
    }),
    "decisions-service": Family(
        by_service, "servers of the call's service", (10, 24, 100, 400, 1900),
        f"Controller alone, virtual clock, 1,900 listed, {RATE:.0f} calls a second",
        {"decisions_call_by_service": ("processor of the decisions a call", "ms")},
    ),
    "decisions-rate": Family(
        by_rate, "calls a second", (34, 137, 400, 1000),
        f"Controller alone, virtual clock, 24 listed, {SERVICE} called",
        {"decisions_call_by_rate": ("processor of the decisions a call", "ms")},
    ),
    "decisions-waiting": Family(
        by_waiting, "waiting calls", EVERY,
        "Controller alone, virtual clock, 100 listed; calls wait for one full service,"
        f" {RATE:.0f} calls a second come for another",
        {"decisions_call_by_waiting": ("processor of the decisions a call", "ms")},
    ),
    "program": Family(of_program, "servers listed", MORE, f"a process on loopback, {ONE}", {
        "program_call_by_servers": ("processor of the program a call, its rest taken off", "ms"),
        "program_rest_by_servers": ("processor of the program at rest", "% of a core"),
        "program_memory_by_servers": ("resident memory at rest", "MB"),
        "program_descriptors_by_servers": ("descriptors at rest", "descriptors"),
        "program_links_by_servers": ("links to roster servers", "links"),
        "program_bytes_by_servers": ("bytes of the links to roster servers at rest, both ways", "B/s"),
        "program_messages_by_servers": ("messages on the links to roster servers at rest, both ways", "/s"),
        "program_list_bytes_by_servers": ("bytes to and from the coordinator at rest", "B/s"),
        "program_list_messages_by_servers": ("messages to and from the coordinator at rest", "/s"),
        "program_start_by_servers": ("from the start until it serves, the list from the coordinator", "s"),
        "program_change_by_servers": ("from a change told to its being in force, median of five", "s"),
    }),
    "program-rate": Family(
        program_by_rate, "calls a second", (34, 68, 137, 274),
        f"a process on loopback, 24 listed, {SERVICE} called",
        {"program_call_by_rate": ("processor of the program a call, its rest taken off", "ms")},
    ),
    "program-calls": Family(
        program_by_calls, "standing calls", (24, 100, 400, 1370, 1900), "a process on loopback, 24 listed",
        {"program_memory_by_calls": ("resident memory", "MB")},
    ),
    "added": Family(added, "servers listed", MORE, f"a process on loopback, Poisson, {ONE}, in turn", {
        "added_p50_by_servers": ("median through the softswitch less median directly", "ms"),
        "added_p99_by_servers": ("p99 through the softswitch less p99 directly", "ms"),
        "direct_p50_by_servers": ("median directly", "ms"),
        "direct_p99_by_servers": ("p99 directly", "ms"),
    }),
    "breakdown": Family(
        breakdown, "servers listed", MORE, f"a process on loopback with timers in it, {ONE}, states told", {
            "call_parse_by_servers": ("the caller's messages read and parsed, a call", "ms"),
            "call_decide_by_servers": ("the decisions, states of servers among them, a call", "ms"),
            "call_core_by_servers": ("the core's books and timers, a call", "ms"),
            "call_ask_by_servers": ("lines to roster servers written, a call", "ms"),
            "call_answer_by_servers": ("answers to callers handed out, a call", "ms"),
            "call_states_by_servers": ("lines of roster servers parsed, states among them, a call", "ms"),
            "call_loop_by_servers": ("the rest of the main thread: loop, tasks, system calls, a call", "ms"),
            "call_log_thread_by_servers": ("all other threads, the log's among them, a call", "ms"),
            "call_waits_by_servers": ("waits of the main thread, a call", "waits"),
        },
    ),
    "followers": Family(
        of_followers, "softswitches", EVERY,
        f"one stand-in coordinator, directories in {WORKERS} processes, 24 listed", {
            "change_last_by_members": ("from a change told to its being in force at the last of all", "s"),
            "coordinator_questions_by_members": ("questions at the coordinator at rest", "/s"),
            "coordinator_bytes_by_members": ("bytes at the coordinator at rest, both ways", "B/s"),
        },
    ),
    "senders": Family(
        of_senders, "softswitches", EVERY,
        f"one stand-in roster server, links in {WORKERS} processes, at rest", {
            "server_connections_by_senders": ("connections at a roster server", "connections"),
            "server_messages_by_senders": ("states that a roster server tells", "/s"),
            "server_bytes_by_senders": ("bytes of its states", "B/s"),
        },
    ),
    "voter": Family(
        of_voter, "softswitches", (24, 100, 400, 800), "virtual clock, three voters, term 3 s, at rest", {
            "voter_messages_by_members": ("messages of a voter, in and out", "/s"),
            "voter_bytes_by_members": ("bytes of a voter, in and out, without UDP's", "B/s"),
            "voter_processor_by_members": ("processor of a voter's decisions", "% of a core"),
            "member_messages_by_members": ("messages of a softswitch that does not vote, in and out", "/s"),
            "member_bytes_by_members": ("bytes of a softswitch that does not vote, in and out", "B/s"),
            "numbers_held_by_members": ("until 99 in 100 claims are held after a start of all", "s"),
        },
    ),
}  # fmt: skip


def git(*words: str) -> str:
    """What git says of this tree."""
    told = ["git", "-C", str(ROOT), *words]
    return subprocess.run(told, check=True, capture_output=True, text=True).stdout.strip()


def commit() -> str:
    """The last commit that changed what is measured; "" where there is more than was committed."""
    parts = ("stairhatch", "benchmarks/scale.py")
    return "" if git("status", "--porcelain", "--", *parts) else git("log", "-1", "--format=%h", "--", *parts)


def keep(slope: capacity.Slope) -> None:
    """Write a slope, or add its repeats to what the same commit measured by the same command."""
    path = capacity.KEPT / f"{slope.name}.json"
    if path.exists():
        old = capacity.read(path)
        if (old.commit, old.command, old.held) == (slope.commit, slope.command, slope.held):
            values = {point.size: point.values for point in old.points}
            for point in slope.points:
                values[point.size] = (*values.get(point.size, ()), *point.values)
            points = tuple(capacity.Point(size, each) for size, each in sorted(values.items()))
            both = dict.fromkeys(each for each in (*old.missing, *slope.missing))
            slope = replace(slope, points=points, missing=tuple(both))
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(capacity.written(slope), indent=1) + "\n")


def main() -> int:
    """Measure, print, and keep where asked."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("family", nargs="?", default="decisions", choices=sorted(FAMILIES))
    parser.add_argument("--sizes", "--servers", dest="sizes", help="such as 24,100,400,1900")
    parser.add_argument("--repeat", type=int, default=1)
    parser.add_argument("--decisions", default="plain", choices=sorted(DECISIONS), help="what decides, alone")
    parser.add_argument("--seconds", type=float, default=6.0, help="of the voter's window, virtual")
    parser.add_argument("--json", action="store_true", help="every slope as one JSON object a line")
    parser.add_argument("--keep", action="store_true", help="under docs/capacity/")
    parser.add_argument("--list", action="store_true", help="what can be measured")
    parser.add_argument("--inside", action="store_true", help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.inside:
        return run_inside()
    if told.list:
        for name, family in FAMILIES.items():
            print(f"{name}, by {family.by}: {', '.join(family.series)}")
        return 0
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # what was started is ended
    family, at = FAMILIES[told.family], commit()
    sizes = tuple(int(text) for text in told.sizes.split(",")) if told.sizes else family.sizes
    if told.keep and not at:
        print("scale: what is measured is not committed: nothing would be kept", file=sys.stderr)
        return 2
    told.missing = []
    values: dict[str, dict[int, list[float]]] = {name: {} for name in family.series}
    for turn in range(told.repeat):
        for size in sizes:
            try:
                measured = family.measure(size, told)
            except NotHadError as error:
                measured = {}
                told.missing.append(f"{size}: {error}")
            for name, value in measured.items():
                values[name].setdefault(size, []).append(value)
                print(f"{name} {size}: {value:.4g}", file=sys.stderr, flush=True)
        print(f"repeat {turn + 1} of {told.repeat}", file=sys.stderr, flush=True)
    for why in told.missing:
        print(f"not had: {why}", file=sys.stderr)
    command = " ".join(["benchmarks/scale.py", *(word for word in sys.argv[1:] if word != "--json")])
    date = time.strftime("%Y-%m-%d", time.gmtime())
    for name, (title, unit) in family.series.items():
        had = sorted(values[name].items())
        points = tuple(capacity.Point(float(size), tuple(each)) for size, each in had)
        short = {str(size) for size in sizes if len(values[name].get(size, ())) < told.repeat}
        missing = tuple(why for why in told.missing if why.partition(":")[0] in short)
        slope = capacity.Slope(
            name, title, family.by, unit, points, at, command, date, family.held, missing
        )  # fmt: skip
        if len(points) < 2:
            print(f"{name}: {[list(point.values) for point in points]}, too few sizes for a line")
            continue
        if told.keep:
            keep(slope)
        if told.json:
            print(json.dumps(capacity.written(slope)))
            continue
        found = capacity.fit(points)
        medians = ", ".join(f"{int(point.size)}: {point.median:.4g}" for point in points)
        bends = f", bends at {found.bend:g}" if found.bend is not None else ""
        print(
            f"{name} ({title}, {unit}): {medians}; {found.base:.3g} + {1000 * found.step:.3g} by 1,000,"
            f" residual {found.residual:.3g}{bends}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
