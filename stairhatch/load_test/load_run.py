"""One run of a load: its processes and its result.

With the address of a running softswitch, the run starts callers only. Without one, it also starts roster
servers and a softswitch, and checks the call rules over the observations of callers and servers. A run never
sends to another machine.
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

LEAD_S = 0.3  # from the readiness of all processes until the beginning of the load
PROGRESS_INTERVAL_S = 0.1
END_MESSAGE = "end"
LOOPBACK = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class OperatorSignal:
    """A signal that is sent to the softswitch during the load."""

    at_s: float  # after the beginning of the load
    signal: int  # its number


@dataclass(frozen=True, slots=True)
class LoadSetup:
    """Parameters of a run.

    Without `addresses` the run starts a softswitch from `tree`, and the roster servers. `conditions` apply to
    datagrams between callers and softswitch.
    """

    plan: LoadPlan
    seed: int = 1
    workers: int = 2  # processes of callers
    addresses: dict[Transport, Address] = field(default_factory=dict)
    servers: ServerPlan = field(default_factory=ServerPlan)
    conditions: DatagramConditions = field(default_factory=DatagramConditions)
    tree: Path = ROOT
    sip_lines: str = ""  # additional lines of [sip] in the softswitch's configuration
    signals: tuple[OperatorSignal, ...] = ()


@dataclass(slots=True, kw_only=True)
class LoadRunResult:
    """Result of a run."""

    tally: LoadTally
    seconds: float  # length of the load, without the calls' hold times
    violations: list[CallRuleViolation] = field(default_factory=list)
    servers: list[ServerSummary] = field(default_factory=list)
    usage: ProcessUsage | None = None  # None: the run did not start the softswitch
    is_checked: bool = False  # the run started the servers, too, and checked the call rules

    def void_reason(self) -> str:
        """Return the reason why the measurements are invalid; "" for a valid run."""
        return self.tally.void_reason()

    def figures(self) -> dict[str, Any]:
        """Return all figures of the run by the keys of the result file."""
        figures = self.tally.figures(self.seconds)
        if self.usage is not None:
            established = max(1, self.tally.counts[CallOutcome.ESTABLISHED])
            figures |= self.usage.figures()
            figures["cpu_ms_a_call"] = 1000 * self.usage.cpu_s / established
        return {**figures, "broken": len(self.violations), "void": self.void_reason()}


def check_loopback(address: Address) -> None:
    """Check that an address is a loopback address. Raises LoadRunError for any other, or a host name."""
    try:
        is_loopback = ipaddress.ip_address(address[0]).is_loopback
    except ValueError:
        is_loopback = False
    if not is_loopback:
        raise LoadRunError(f"{address[0]} is not a loopback address: a load is not sent to another machine")


def run_load(setup: LoadSetup, on_progress: Callable[[float], None] = lambda _: None) -> LoadRunResult:
    """Execute one run and return its result. Raises LoadRunError if the run cannot start or finish.

    `on_progress` is called repeatedly with the seconds since the beginning of the load.
    """
    for address in setup.addresses.values():
        check_loopback(address)
    with contextlib.ExitStack() as processes, tempfile.TemporaryDirectory() as folder:
        run = _LoadRun(setup, processes, Path(folder))
        run.start()
        begin_at = run.begin()
        run.signal_softswitch(begin_at, on_progress)
        return run.collect()


class _LoadRun:
    """The processes of one run: roster servers, softswitch, relay and callers, started in this order."""

    def __init__(self, setup: LoadSetup, processes: contextlib.ExitStack, folder: Path) -> None:
        self.setup = setup
        self.processes = processes  # ends the processes at its exit
        self.folder = folder
        self.addresses = dict(setup.addresses)  # of the softswitch or the relay, as used by callers
        self.servers: WorkerProcess | None = None
        self.softswitch: SoftswitchProcess | None = None
        self.callers: list[WorkerProcess] = []

    # ---- start of the processes ----

    def start(self) -> None:
        """Start every process and wait until all are ready. Raises LoadRunError if one fails."""
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
            raise LoadRunError(f"the load has offices over {names}, but no address is given")

    def _start_callers(self) -> None:
        setup = self.setup
        for worker in range(setup.workers):
            job = CallersJob(setup.plan, setup.seed, worker, setup.workers, self.addresses)
            self.callers.append(self._start_worker(job))
        for each in self.callers:
            each.receive(CallersReady)

    # ---- the load ----

    def begin(self) -> float:
        """Send the beginning of the load, in monotonic seconds, to all workers, and return it."""
        begin_at = time.monotonic() + LEAD_S
        for each in [*self.callers, *([self.servers] if self.servers else [])]:
            each.send(begin_at)
        return begin_at

    def signal_softswitch(self, begin_at: float, on_progress: Callable[[float], None]) -> None:
        """Send each signal to the softswitch at its time; return at the end of the load."""
        seconds = self.setup.plan.seconds
        signals = sorted(self.setup.signals, key=lambda each: each.at_s)
        while (elapsed_s := time.monotonic() - begin_at) < seconds:
            while signals and signals[0].at_s <= elapsed_s:
                due_signal = signals.pop(0)
                if self.softswitch is not None:
                    self.softswitch.send_signal(due_signal.signal)
            on_progress(max(0.0, elapsed_s))
            time.sleep(min(PROGRESS_INTERVAL_S, max(0.0, seconds - elapsed_s)))

    # ---- the result ----

    def collect(self) -> LoadRunResult:
        """Wait until all calls are over and return the result. Raises LoadRunError if a process failed."""
        caller_results = [each.receive(CallersResult) for each in self.callers]
        tally = LoadTally()
        for each in caller_results:
            tally.add(each.tally)
        result = LoadRunResult(tally=tally, seconds=self.setup.plan.seconds)
        if self.softswitch is not None:
            result.usage = self.softswitch.usage()
        if self.servers is not None:
            self.servers.send(END_MESSAGE)
            servers_result = self.servers.receive(ServersResult)
            result.servers = servers_result.servers
            result.violations = self._check_rules(caller_results, servers_result)
            result.is_checked = True
        return result

    def _check_rules(
        self, caller_results: list[CallersResult], servers_result: ServersResult
    ) -> list[CallRuleViolation]:
        stalled_s = max(servers_result.stalled_s, *(each.stalled_s for each in caller_results))
        checker = CallRuleChecker(
            ends_at=time.monotonic(),
            slack_s=CLOCK_SLACK_S + stalled_s,
            answer_limit_s=self.setup.plan.longest_time_limit_s,
        )
        return checker.check(list(_observations(caller_results, servers_result)))


def _observations(
    caller_results: Iterable[CallersResult], servers_result: ServersResult
) -> Iterator[CallObservation]:
    for result in caller_results:
        for observation in result.record:
            yield CallObservation(
                observation.at,
                observation.kind,
                observation.number,
                status=observation.status,
                told_apart_by=observation.told_apart_by,
            )
    for server_observation in servers_result.record:
        yield CallObservation(
            server_observation.at,
            server_observation.kind,
            server_observation.number,
            server=server_observation.server,
        )
