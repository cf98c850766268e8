"""One run of a load: owns the processes that make it up and what is said of it at the end. Against an
address it brings callers alone; by itself it also brings roster servers and the appliance of a tree, and
then the rules are read off both sides. It must never talk to another machine.
"""

from __future__ import annotations

import contextlib
import ipaddress
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from stairhatch.emulators.observations import ObservationKind
from stairhatch.emulators.ports import free_port
from stairhatch.load_test.call_rules import (
    SLACK_S,
    CallObservation,
    CallRuleChecker,
    CallRuleViolation,
)
from stairhatch.load_test.datagram_conditions import DatagramConditions
from stairhatch.load_test.load_plan import LoadPlan, Transport, offices
from stairhatch.load_test.load_tally import LoadTally
from stairhatch.load_test.roster_servers import RosterPlan

ROOT = Path(__file__).resolve().parents[2]
START_S, LEAD_S = 30.0, 0.3
FILE = """\
name = "load"
[sip]
udp = "{at}"
tcp = "{at}"
contact = "{at}"
default_class = "{first}"
restart_wait_s = 0
dialogs = 60000
connections = 4096
{sip}
{numbers}
{servers}
[settings]
balancers = 1
{classes}
[settings.family_info]
clear_wait_s = 0.5
retransmit_s = 0.8
[settings.permissions]
send_cap = 6
cancel = true
retry_after = true
max_retry_after_s = 4.0
[settings.load_report]
names = ["free", "size", "mean_ms", "can_take"]
[settings.safety]
answer_slack_s = 0.02
drain_grace_s = 1.0
cold_from = 0.3
warm_after_s = 14.0
fall_multiple = 2.5
fall_s = 1.5
"""


class LoadError(Exception):
    """A load that can't be run, in one line."""


@dataclass(frozen=True, slots=True)
class OperatorCommand:
    """Something done to the program while the load is on."""

    at: float
    signal: int


@dataclass(frozen=True)
class Setup:
    """What a run is made of. Without `places` the program is started from `tree`."""

    plan: LoadPlan
    seed: int = 1
    workers: int = 2
    places: dict[Transport, tuple[str, int]] = field(default_factory=dict)
    rosters: RosterPlan = field(default_factory=RosterPlan)
    weather: DatagramConditions = field(default_factory=DatagramConditions)
    tree: Path = ROOT
    sip: str = ""  # more lines of [sip]
    orders: tuple[OperatorCommand, ...] = ()


@dataclass(slots=True)
class Report:
    """What came of a run."""

    tally: LoadTally
    seconds: float
    broken: list[CallRuleViolation]
    servers: list[dict[str, Any]]
    program: dict[str, Any]  # processor time, memory, counters; empty where it was not ours
    checked: bool  # whether both sides were seen, so that the rules could be read off

    def void(self) -> str:
        """Why it proves nothing."""
        return self.tally.void()

    def figures(self) -> dict[str, Any]:
        """All figures of the run."""
        found = self.tally.figures(self.seconds) | self.program
        if self.program:
            stood = max(1, self.tally.counts["stood"])
            found["cpu_ms_a_call"] = 1000 * self.program["cpu_s"] / stood
        return {**found, "broken": len(self.broken), "void": self.void()}


def on_this_machine(place: tuple[str, int]) -> tuple[str, int]:
    """The place, if it is a loopback address; LoadError for any other."""
    try:
        if ipaddress.ip_address(place[0]).is_loopback:
            return place
    except ValueError:
        pass
    raise LoadError(f"{place[0]} is not an address of this machine's loopback: no load goes elsewhere")


class Child:
    """A process of the load that speaks in lines of JSON."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "stairhatch.load_test.worker"], cwd=ROOT, stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )  # fmt: skip
        self.say(told)

    def say(self, value: Any) -> None:
        """A line to it."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(value).encode() + b"\n")
        self.process.stdin.flush()

    def hear(self) -> Any:
        """The next line from it."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise LoadError(f"a process of the load ended early, with {self.process.wait()}")
        return json.loads(line)

    def end(self) -> None:
        """It ends with its input."""
        assert self.process.stdin is not None and self.process.stdout is not None
        with contextlib.suppress(OSError):
            self.process.stdin.close()
        try:
            self.process.wait(5.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()


class Program:
    """The appliance of a tree, as a process."""

    def __init__(self, setup: Setup, ports: list[int], folder: Path) -> None:
        self.place = ("127.0.0.1", free_port())
        self.log, path = folder / "log", folder / "load.toml"
        path.write_text(configuration(setup, self.place, ports))
        with self.log.open("wb") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "stairhatch", "--sip", str(path)], cwd=setup.tree,
                stdin=subprocess.DEVNULL, stdout=out, stderr=out,
            )  # fmt: skip
        self._until(lambda: " serving " in self.log.read_text(errors="replace"), "it does not serve")
        self.before = self.cpu_s()

    def _until(self, done: Callable[[], bool], why: str) -> None:
        end = time.monotonic() + START_S
        while not done():
            if self.process.poll() is not None or time.monotonic() > end:
                last = self.log.read_text(errors="replace").splitlines()[-1:]
                raise LoadError(f"the program: {why}: {' '.join(last)}")
            time.sleep(0.02)

    def cpu_s(self) -> float:
        """Processor time used so far."""
        words = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")

    def told(self) -> dict[str, Any]:
        """What it has used, and its counters."""
        if self.process.poll() is not None:
            return {"cpu_s": 0.0, "memory_mb": 0.0, "ended": self.process.returncode}
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        memory_mb = int(text.split("VmHWM:")[1].split()[0]) / 1024
        used = {"cpu_s": self.cpu_s() - self.before, "memory_mb": memory_mb}
        known = len(self.lines("counters"))
        self.process.send_signal(signal.SIGUSR1)
        self._until(lambda: len(self.lines("counters")) > known, "no counters")
        pairs = (word.partition("=") for word in self.lines("counters")[-1].split()[2:])
        return {**used, "counters": {name: int(value) for name, _, value in pairs}}

    def lines(self, event: str) -> list[str]:
        """The log's lines of an event."""
        return [each for each in self.log.read_text(errors="replace").splitlines() if f" {event} " in each]

    def end(self) -> None:
        """End it at once: its calls are over."""
        self.process.kill()
        self.process.wait()


def configuration(setup: Setup, place: tuple[str, int], ports: list[int]) -> str:
    """The file of the program under load, from the load's own classes."""
    classes, numbers = [], []
    for kind in setup.plan.kind:
        classes.append(
            f'[[settings.classes]]\nname = "{kind.name}"\naim_s = {kind.aim_s}\n'
            f"hard_limit_s = {kind.limit_s}\nimportance = {kind.worth}\nlate_worth = {kind.late_worth}"
        )
        numbers.append(f'[[sip.numbers]]\nprefix = "{kind.number}"\nclass = "{kind.name}"')
    servers = [
        f'[[servers]]\nname = "r{index}"\naddress = "127.0.0.1:{port}"\nnumber = {index}'
        for index, port in enumerate(ports)
    ]
    return FILE.format(
        at=f"{place[0]}:{place[1]}", first=setup.plan.kind[0].name, sip=setup.sip, numbers="\n".join(numbers),
        servers="\n".join(servers), classes="\n".join(classes),
    )  # fmt: skip


def run(setup: Setup, progress: Callable[[float], None] = lambda passed: None) -> Report:
    """Carry one load out; LoadError where that can't be done."""
    for place in setup.places.values():
        on_this_machine(place)
    with contextlib.ExitStack() as stack, tempfile.TemporaryDirectory() as folder:
        rosters = program = None
        places = dict(setup.places)
        if not places:
            rosters = Child(
                {"role": "rosters", "plan": msgspec.to_builtins(setup.rosters), "seed": setup.seed}
            )
            stack.callback(rosters.end)
            program = Program(setup, rosters.hear()["ports"], Path(folder))
            stack.callback(program.end)
            places = {Transport.UDP: program.place, Transport.TCP: program.place}
        if not setup.weather.clear and Transport.UDP in places:
            weather = msgspec.to_builtins(setup.weather)
            relay = Child(
                {"role": "relay", "weather": weather, "target": places[Transport.UDP], "seed": setup.seed}
            )
            stack.callback(relay.end)
            places[Transport.UDP] = ("127.0.0.1", relay.hear()["port"])
        if missing := {each.transport for each in offices(setup.plan)} - set(places):
            names = ", ".join(sorted(each.value for each in missing))
            raise LoadError(f"the load has offices over {names}, and no address is given for that")
        desks = []
        for worker in range(setup.workers):
            told = {
                "role": "offices", "plan": msgspec.to_builtins(setup.plan), "seed": setup.seed,
                "worker": worker, "workers": setup.workers,
                "places": {name.value: place for name, place in places.items()},
            }  # fmt: skip
            desks.append(Child(told))
            stack.callback(desks[-1].end)
        for desk in desks:
            desk.hear()
        begin = time.monotonic() + LEAD_S
        for child in [*desks, *([rosters] if rosters else [])]:
            child.say(begin)
        _wait(setup, begin, program, progress)
        return _report(setup, [desk.hear() for desk in desks], rosters, program)


def _wait(setup: Setup, begin: float, program: Program | None, progress: Callable[[float], None]) -> None:
    """While the calls come: what is ordered is done to the program at its time."""
    orders = sorted(setup.orders, key=lambda each: each.at)
    while (passed := time.monotonic() - begin) < setup.plan.seconds:
        while orders and orders[0].at <= passed:
            order = orders.pop(0)
            if program is not None:
                program.process.send_signal(order.signal)
        progress(max(0.0, passed))
        time.sleep(min(0.1, max(0.0, setup.plan.seconds - passed)))


def _report(
    setup: Setup, found: list[dict[str, Any]], rosters: Child | None, program: Program | None
) -> Report:
    tally = LoadTally()
    for each in found:
        tally.add(each["tally"])
    used = program.told() if program is not None else {}
    servers: list[dict[str, Any]] = []
    broken: list[CallRuleViolation] = []
    if rosters is not None:
        rosters.say("end")
        told = rosters.hear()
        servers = told["servers"]
        events = list(_seen([line for each in found for line in each["record"]], told["record"]))
        longest = max(kind.limit_s for kind in setup.plan.kind)
        stalled_s = max(each["stalled_s"] for each in [*found, told])
        broken = CallRuleChecker(time.monotonic(), SLACK_S + stalled_s, longest).check(events)
    return Report(tally, setup.plan.seconds, broken, servers, used, rosters is not None)


def _seen(callers: list[Any], servers: list[Any]) -> Iterator[CallObservation]:
    for at, what, call, status, text in callers:
        yield CallObservation(at, ObservationKind(what), call, value=status, text=text)
    for at, what, call, server in servers:
        yield CallObservation(at, ObservationKind(what), call, server=server)
