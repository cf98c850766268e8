"""One run of a load: the processes that make it up, and what came of it.

Against an address it brings callers alone. By itself it also brings roster servers and the softswitch of a
tree, and then the rules of calls are checked over what both sides observed. It never talks to another
machine.
"""

from __future__ import annotations

import contextlib
import ipaddress
import tempfile
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from stairhatch.emulators.ports import Address
from stairhatch.load_test.arrivals import call_sources
from stairhatch.load_test.call_rules import (
    CLOCK_SLACK_S,
    CallObservation,
    CallRuleChecker,
    CallRuleViolation,
)
from stairhatch.load_test.datagram_conditions import DatagramConditions
from stairhatch.load_test.errors import LoadRunError
from stairhatch.load_test.load_plan import LoadPlan, Transport
from stairhatch.load_test.load_tally import CallOutcome, LoadTally
from stairhatch.load_test.revisions import ROOT
from stairhatch.load_test.server_plan import ServerPlan
from stairhatch.load_test.softswitch_config import render_config
from stairhatch.load_test.softswitch_process import ProcessUsage, SoftswitchProcess
from stairhatch.load_test.worker_messages import (
    CallersJob,
    CallersReady,
    CallersResult,
    RelayJob,
    RelayReady,
    ServersJob,
    ServersReady,
    ServersResult,
    ServerSummary,
)
from stairhatch.load_test.worker_process import WorkerProcess

LEAD_S = 0.3  # from when all are ready until the load begins
PROGRESS_INTERVAL_S = 0.1
END_MESSAGE = "end"
LOOPBACK = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class OperatorSignal:
    """A signal to the softswitch during the load."""

    at_s: float  # after the beginning
    signal: int


@dataclass(frozen=True, slots=True)
class LoadSetup:
    """What a run is made of. Without `addresses` the softswitch is started from `tree`.

    `conditions` are those between callers and softswitch.
    """

    plan: LoadPlan
    seed: int = 1
    workers: int = 2
    addresses: dict[Transport, Address] = field(default_factory=dict)
    servers: ServerPlan = field(default_factory=ServerPlan)
    conditions: DatagramConditions = field(default_factory=DatagramConditions)
    tree: Path = ROOT
    sip_lines: str = ""  # more lines of [sip]
    signals: tuple[OperatorSignal, ...] = ()


@dataclass(slots=True, kw_only=True)
class LoadRunResult:
    """What came of a run."""

    tally: LoadTally
    seconds: float
    violations: list[CallRuleViolation] = field(default_factory=list)
    servers: list[ServerSummary] = field(default_factory=list)
    usage: ProcessUsage | None = None  # None: the softswitch was not ours
    is_checked: bool = False  # both sides were observed, so that the rules could be checked

    def void_reason(self) -> str:
        """Return why it proves nothing; "" if it does."""
        return self.tally.void_reason()

    def figures(self) -> dict[str, Any]:
        """Return all figures of the run, by the names they are kept under."""
        figures = self.tally.figures(self.seconds)
        if self.usage is not None:
            established = max(1, self.tally.counts[CallOutcome.ESTABLISHED])
            figures |= self.usage.figures()
            figures["cpu_ms_a_call"] = 1000 * self.usage.cpu_s / established
        return {**figures, "broken": len(self.violations), "void": self.void_reason()}


def check_loopback(address: Address) -> None:
    """Check that an address is this machine's loopback. Raises LoadRunError for any other."""
    try:
        is_loopback = ipaddress.ip_address(address[0]).is_loopback
    except ValueError:
        is_loopback = False
    if not is_loopback:
        raise LoadRunError(
            f"{address[0]} is not an address of this machine's loopback: no load goes elsewhere"
        )


def run_load(setup: LoadSetup, on_progress: Callable[[float], None] = lambda _: None) -> LoadRunResult:
    """Carry one load out; `on_progress` is called with the seconds that have passed. Raises LoadRunError."""
    for address in setup.addresses.values():
        check_loopback(address)
    with contextlib.ExitStack() as processes, tempfile.TemporaryDirectory() as folder:
        run = _LoadRun(setup, processes, Path(folder))
        run.start()
        begin_at = run.begin()
        run.signal_softswitch(begin_at, on_progress)
        return run.collect()


class _LoadRun:
    """The processes of one run, in the order in which they are started."""

    def __init__(self, setup: LoadSetup, processes: contextlib.ExitStack, folder: Path) -> None:
        self.setup = setup
        self.processes = processes  # ends them
        self.folder = folder
        self.addresses = dict(setup.addresses)  # that callers call
        self.servers: WorkerProcess | None = None
        self.softswitch: SoftswitchProcess | None = None
        self.callers: list[WorkerProcess] = []

    # ---- starting ----

    def start(self) -> None:
        """Start every process, and wait until all are ready."""
        if not self.addresses:
            self._start_servers_and_softswitch()
        if not self.setup.conditions.is_perfect and Transport.UDP in self.addresses:
            self._start_relay()
        self._check_addresses()
        self._start_callers()

    def _start_worker(self, job: CallersJob | ServersJob | RelayJob) -> WorkerProcess:
        return self.processes.enter_context(WorkerProcess(job))

    def _start_servers_and_softswitch(self) -> None:
        setup = self.setup
        self.servers = self._start_worker(ServersJob(setup.servers, setup.seed))
        ports = self.servers.receive(ServersReady).ports
        self.softswitch = self.processes.enter_context(
            SoftswitchProcess(
                setup.tree,
                self.folder,
                lambda address: render_config(setup.plan, setup.sip_lines, address, ports),
            )
        )
        self.addresses = dict.fromkeys(Transport, self.softswitch.address)

    def _start_relay(self) -> None:
        setup = self.setup
        relay = self._start_worker(RelayJob(setup.conditions, self.addresses[Transport.UDP], setup.seed))
        self.addresses[Transport.UDP] = (LOOPBACK, relay.receive(RelayReady).port)

    def _check_addresses(self) -> None:
        used = {source.transport for source in call_sources(self.setup.plan)}
        if missing := used - set(self.addresses):
            names = ", ".join(sorted(each.value for each in missing))
            raise LoadRunError(f"the load has offices over {names}, and no address is given for that")

    def _start_callers(self) -> None:
        setup = self.setup
        for worker in range(setup.workers):
            job = CallersJob(setup.plan, setup.seed, worker, setup.workers, self.addresses)
            self.callers.append(self._start_worker(job))
        for each in self.callers:
            each.receive(CallersReady)

    # ---- running ----

    def begin(self) -> float:
        """Tell all when the load begins, and return that in monotonic seconds."""
        begin_at = time.monotonic() + LEAD_S
        for each in [*self.callers, *([self.servers] if self.servers else [])]:
            each.send(begin_at)
        return begin_at

    def signal_softswitch(self, begin_at: float, on_progress: Callable[[float], None]) -> None:
        """Send the softswitch each signal at its time, until no more calls come."""
        seconds = self.setup.plan.seconds
        signals = sorted(self.setup.signals, key=lambda each: each.at_s)
        while (elapsed_s := time.monotonic() - begin_at) < seconds:
            while signals and signals[0].at_s <= elapsed_s:
                due = signals.pop(0)
                if self.softswitch is not None:
                    self.softswitch.send_signal(due.signal)
            on_progress(max(0.0, elapsed_s))
            time.sleep(min(PROGRESS_INTERVAL_S, max(0.0, seconds - elapsed_s)))

    # ---- what came of it ----

    def collect(self) -> LoadRunResult:
        """Wait until all calls are over, and return what came of them."""
        by_callers = [each.receive(CallersResult) for each in self.callers]
        tally = LoadTally()
        for each in by_callers:
            tally.add(each.tally)
        result = LoadRunResult(tally=tally, seconds=self.setup.plan.seconds)
        if self.softswitch is not None:
            result.usage = self.softswitch.usage()
        if self.servers is not None:
            self.servers.send(END_MESSAGE)
            by_servers = self.servers.receive(ServersResult)
            result.servers = by_servers.servers
            result.violations = self._check_rules(by_callers, by_servers)
            result.is_checked = True
        return result

    def _check_rules(
        self, by_callers: list[CallersResult], by_servers: ServersResult
    ) -> list[CallRuleViolation]:
        stalled_s = max(by_servers.stalled_s, *(each.stalled_s for each in by_callers))
        checker = CallRuleChecker(
            ends_at=time.monotonic(),
            slack_s=CLOCK_SLACK_S + stalled_s,
            answer_limit_s=self.setup.plan.longest_time_limit_s,
        )
        return checker.check(list(_observations(by_callers, by_servers)))


def _observations(
    by_callers: Iterable[CallersResult], by_servers: ServersResult
) -> Iterator[CallObservation]:
    for result in by_callers:
        for seen in result.record:
            yield CallObservation(
                seen.at, seen.kind, seen.number, status=seen.status, told_apart_by=seen.told_apart_by
            )
    for record in by_servers.record:
        yield CallObservation(record.at, record.kind, record.number, server=record.server)
