"""Runs the program as a process on loopback, with emulated roster servers and an emulated coordinator."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from contextlib import ExitStack, suppress
from dataclasses import asdict, dataclass
from pathlib import Path
from types import TracebackType

from benchmarks.platform_settings import complete_settings
from benchmarks.scaling.counting_emulators import Coordinator, RosterServers, ServerCounts
from benchmarks.scaling.emulator_processes import ChangeEndpointRequest, emulator_processes
from benchmarks.scaling.errors import UnavailableFigureError
from benchmarks.scaling.measurement import wait_until
from benchmarks.scaling.slope_files import ROOT
from benchmarks.scaling.workload import SERVER_LINES, settings_json
from stairhatch.emulators.coordinator_emulator import endpoint_line
from stairhatch.emulators.ports import Address, free_port

HOST = "127.0.0.1"
MAX_SERVERS_A_PROCESS = 475
SERVING_TIMEOUT_S = 20.0  # for the event `serving` after a start, and for a list change to be in force
SHOWN_LOG_CHARACTERS = 300
PROGRAM = ("-m", "stairhatch")


@dataclass(frozen=True, slots=True)
class ProcessorTime:
    """Processor seconds of the process, for its main thread and for all other threads."""

    main_thread_s: float
    other_threads_s: float

    @property
    def total_s(self) -> float:
        """Processor seconds of all threads."""
        return self.main_thread_s + self.other_threads_s

    def since(self, earlier: ProcessorTime) -> ProcessorTime:
        """Return the processor time used since an earlier reading."""
        return ProcessorTime(
            self.main_thread_s - earlier.main_thread_s, self.other_threads_s - earlier.other_threads_s
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class RestFigures:
    """The softswitch's use of resources per second without calls."""

    core_percent: float  # processor time, in per cent of a core
    server_bytes: float
    server_messages: float
    list_bytes: float
    list_messages: float


@dataclass(frozen=True, slots=True)
class ProgramLimits:
    """The platform's limits of the process; the fields are keys of its configuration."""

    memory_mb: int = 192
    sockets: int = 1024


DEFAULT_LIMITS = ProgramLimits()


class SoftswitchProcess:
    """A softswitch process with its emulators; a context manager that starts and ends them."""

    def __init__(
        self,
        listed: int,
        program: Sequence[str] = PROGRAM,
        limits: ProgramLimits = DEFAULT_LIMITS,
        servers_per_process: int = MAX_SERVERS_A_PROCESS,
        server_lines: int = SERVER_LINES,
    ) -> None:
        self._listed = listed
        self._program = program
        self._limits = limits
        self._servers_per_process = servers_per_process
        self._server_lines = server_lines
        self._resources = ExitStack()
        # Seconds from the start to the event `serving`; None: no such event within SERVING_TIMEOUT_S.
        self.startup_s: float | None = None

    def __enter__(self) -> SoftswitchProcess:
        try:
            self._start()
        except BaseException:
            self._resources.close()
            raise
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._resources.close()

    def _start(self) -> None:
        counts = [
            min(self._servers_per_process, self._listed - first)
            for first in range(0, self._listed, self._servers_per_process)
        ]
        self._servers = self._resources.enter_context(
            emulator_processes([RosterServers(count, self._server_lines) for count in counts])
        )
        self.server_addresses: list[Address] = [
            address for process in self._servers for address in process.start_message
        ]
        self._records = [
            endpoint_line(f"r{index}", address, index) for index, address in enumerate(self.server_addresses)
        ]
        (self._coordinator,) = self._resources.enter_context(emulator_processes([Coordinator(self._records)]))
        self.address: Address = (HOST, free_port())
        directory = Path(self._resources.enter_context(tempfile.TemporaryDirectory()))
        self._log_path = directory / "log"
        self.spans_path = directory / "spans"
        started_at = time.time()
        self._process = self._run_program(self._write_config(directory))
        self._resources.callback(self._end_program)
        with suppress(UnavailableFigureError):  # an overloaded program can still be measured
            serving_at = wait_until(
                lambda: self.last_logged_at("serving"), "the softswitch to serve", SERVING_TIMEOUT_S
            )
            self.startup_s = serving_at - started_at

    def _write_config(self, directory: Path) -> Path:
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.address[1]}",
            "seed": "1",
            "limits": {"cores": 1.0, **asdict(self._limits)},
            "coordinator": f"{HOST}:{self._coordinator.start_message[1]}",
            "known": {"index": 0, "updates": []},
            "settings": complete_settings(settings_json(self._listed)),
        }
        path = directory / "config.json"
        path.write_text(json.dumps(config))
        return path

    def _run_program(self, config: Path) -> subprocess.Popen[bytes]:
        environment = {key: value for key, value in os.environ.items() if not key.startswith("STAIRHATCH_")}
        environment |= {"RELAY_CONFIG": str(config), "SPANS": str(self.spans_path)}
        with self._log_path.open("wb") as log:
            return subprocess.Popen(
                [sys.executable, *self._program],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _end_program(self) -> None:
        self._process.kill()
        self._process.wait()

    def last_logged_at(self, event: str, field: str = "") -> float:
        """Return the Unix time of the last log line with an event, and with a `name=value` field if given.

        Returns 0 if there is none. Raises UnavailableFigureError if the process has ended.
        """
        text = self._log_path.read_text()
        if self._process.poll() is not None:
            raise UnavailableFigureError(f"the softswitch process has ended: {text[-SHOWN_LOG_CHARACTERS:]}")
        for line in reversed(text.splitlines()):
            words = line.split(" ")
            if len(words) > 1 and words[1] == event and (not field or field in words):
                return float(words[0])
        return 0.0

    def seconds_until_change_in_force(self, number: int) -> float:
        """Publish a server as terminating, and wait until the softswitch logs the change.

        `number` counts servers from the end of the list. Returns the delay in seconds; raises
        UnavailableFigureError after SERVING_TIMEOUT_S.
        """
        changed = {**self._records[-1 - number], "lifecycle": "terminating"}
        field = f"server={changed['instanceId']}"
        published_at: float = self._coordinator.request(ChangeEndpointRequest(changed))
        return wait_until(
            lambda: max(0.0, self.last_logged_at("server_listed", field) - published_at),
            "the endpoint list change to be in force",
            SERVING_TIMEOUT_S,
        )

    def server_counts(self) -> ServerCounts:
        """Return the sum of the counts of all roster servers so far."""
        total = ServerCounts()
        for process in self._servers:
            counts = process.status()
            total.messages_in += counts.messages_in
            total.messages_out += counts.messages_out
            total.bytes += counts.bytes
            total.connections += counts.connections
        return total

    def figures_at_rest(self, seconds: float) -> RestFigures:
        """Return the softswitch's use of resources without calls, measured for `seconds` seconds."""
        processor, servers = self.processor_time(), self.server_counts()
        coordinator, began = self._coordinator.status(), time.monotonic()
        time.sleep(seconds)
        elapsed_s = time.monotonic() - began
        servers_after, coordinator_after = self.server_counts(), self._coordinator.status()
        used = self.processor_time().since(processor)
        messages = (servers_after.messages_in + servers_after.messages_out) - (
            servers.messages_in + servers.messages_out
        )
        return RestFigures(
            core_percent=100 * used.total_s / elapsed_s,
            server_bytes=(servers_after.bytes - servers.bytes) / elapsed_s,
            server_messages=messages / elapsed_s,
            list_bytes=(coordinator_after.bytes - coordinator.bytes) / elapsed_s,
            list_messages=2 * (coordinator_after.polls - coordinator.polls) / elapsed_s,
        )

    def processor_time(self) -> ProcessorTime:
        """Return the processor time of the process so far, from the schedstat of its threads (proc(5))."""
        process_id = str(self._process.pid)
        main_s = others_s = 0.0
        for task in Path(f"/proc/{process_id}/task").iterdir():
            seconds = int((task / "schedstat").read_text().split()[0]) / 1e9
            if task.name == process_id:
                main_s += seconds
            else:
                others_s += seconds
        return ProcessorTime(main_s, others_s)

    def voluntary_switches(self) -> int:
        """Return the number of voluntary context switches of the main thread so far."""
        return self._status_field("voluntary_ctxt_switches:")

    def memory_mb(self) -> float:
        """Return the resident memory of the process in MiB."""
        return self._status_field("VmRSS:") / 1024

    def descriptors(self) -> int:
        """Return the number of open file descriptors of the process."""
        return len(list(Path(f"/proc/{self._process.pid}/fd").iterdir()))

    def _status_field(self, name: str) -> int:
        text = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(text.partition(name)[2].split()[0])
