"""A real softswitch in a process of its own on loopback, with emulated roster servers and a coordinator."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

from benchmarks.platform_settings import complete_settings
from benchmarks.scaling.counting_emulators import Coordinator, RosterServers, ServerCounts
from benchmarks.scaling.emulator_processes import ChangeEndpoint, emulator_processes
from benchmarks.scaling.errors import UnavailableFigureError
from benchmarks.scaling.measurement import wait_until
from benchmarks.scaling.slope_files import ROOT
from benchmarks.scaling.workload import settings_json
from stairhatch.emulators.coordinator_emulator import endpoint_line
from stairhatch.emulators.ports import Address, free_port

HOST = "127.0.0.1"
MAX_SERVERS_A_PROCESS = 475
SERVING_TIMEOUT_S = 20.0  # until it serves, or has taken a change in
SHOWN_LOG_CHARACTERS = 300
PROGRAM = ("-m", "stairhatch")


@dataclass(frozen=True, slots=True)
class ProcessorTime:
    """Processor seconds of the process so far."""

    main_thread_s: float
    other_threads_s: float

    @property
    def total_s(self) -> float:
        """Of all threads."""
        return self.main_thread_s + self.other_threads_s

    def since(self, earlier: ProcessorTime) -> ProcessorTime:
        """Return what has come since."""
        return ProcessorTime(
            self.main_thread_s - earlier.main_thread_s, self.other_threads_s - earlier.other_threads_s
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class RestFigures:
    """What it uses a second with no calls."""

    core_percent: float
    server_bytes: float
    server_messages: float
    list_bytes: float
    list_messages: float


class SoftswitchProcess:
    """The softswitch and its surroundings, started when entered and ended with the block."""

    def __init__(self, listed: int, program: Sequence[str] = PROGRAM) -> None:
        self._listed = listed
        self._program = program
        self._resources = ExitStack()
        self.started_s: float | None = None  # until it served; None: it did not in time

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
            min(MAX_SERVERS_A_PROCESS, self._listed - first)
            for first in range(0, self._listed, MAX_SERVERS_A_PROCESS)
        ]
        self._servers = self._resources.enter_context(
            emulator_processes([RosterServers(count) for count in counts])
        )
        self.server_addresses: list[Address] = [
            address for process in self._servers for address in process.first_answer
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
        with suppress(UnavailableFigureError):  # too busy to serve: what it holds is measured all the same
            serving_at = wait_until(lambda: self.last_logged("serving"), "serving", SERVING_TIMEOUT_S)
            self.started_s = serving_at - started_at

    def _write_config(self, directory: Path) -> Path:
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.address[1]}",
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": f"{HOST}:{self._coordinator.first_answer[1]}",
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

    def last_logged(self, event: str, field: str = "") -> float:
        """Return when it logged an event last, with a field if one is named; 0 if it has not."""
        text = self._log_path.read_text()
        if self._process.poll() is not None:
            raise UnavailableFigureError(f"it has ended: {text[-SHOWN_LOG_CHARACTERS:]}")
        for line in reversed(text.splitlines()):
            words = line.split(" ")
            if len(words) > 1 and words[1] == event and (not field or field in words):
                return float(words[0])
        return 0.0

    def seconds_until_change_in_force(self, number: int) -> float:
        """Publish a server as leaving, counted from the last one, and wait until that is in force."""
        changed = {**self._records[-1 - number], "lifecycle": "terminating"}
        field = f"server={changed['instanceId']}"
        published_at: float = self._coordinator.ask(ChangeEndpoint(changed))
        return wait_until(
            lambda: max(0.0, self.last_logged("server_listed", field) - published_at),
            "a change",
            SERVING_TIMEOUT_S,
        )

    def server_counts(self) -> ServerCounts:
        """Return what all roster servers have counted so far."""
        total = ServerCounts()
        for process in self._servers:
            counts = process.status()
            total.messages_in += counts.messages_in
            total.messages_out += counts.messages_out
            total.bytes += counts.bytes
            total.connections += counts.connections
        return total

    def figures_at_rest(self, seconds: float) -> RestFigures:
        """Return what it uses a second, measured for so long without calls."""
        processor, servers = self.processor_time(), self.server_counts()
        coordinator, began = self._coordinator.status(), time.monotonic()
        time.sleep(seconds)
        passed = time.monotonic() - began
        servers_after, coordinator_after = self.server_counts(), self._coordinator.status()
        used = self.processor_time().since(processor)
        messages = (servers_after.messages_in + servers_after.messages_out) - (
            servers.messages_in + servers.messages_out
        )
        return RestFigures(
            core_percent=100 * used.total_s / passed,
            server_bytes=(servers_after.bytes - servers.bytes) / passed,
            server_messages=messages / passed,
            list_bytes=(coordinator_after.bytes - coordinator.bytes) / passed,
            list_messages=2 * (coordinator_after.polls - coordinator.polls) / passed,
        )

    def processor_time(self) -> ProcessorTime:
        """Return the processor time so far."""
        process_id = str(self._process.pid)
        main_s = others_s = 0.0
        for task in Path(f"/proc/{process_id}/task").iterdir():
            seconds = int((task / "schedstat").read_text().split()[0]) / 1e9
            if task.name == process_id:
                main_s += seconds
            else:
                others_s += seconds
        return ProcessorTime(main_s, others_s)

    def waits(self) -> int:
        """Return how often the main thread has waited for something so far."""
        return self._status_field("voluntary_ctxt_switches:")

    def memory_mb(self) -> float:
        """Return its resident memory."""
        return self._status_field("VmRSS:") / 1024

    def descriptors(self) -> int:
        """Return how many descriptors are open."""
        return len(list(Path(f"/proc/{self._process.pid}/fd").iterdir()))

    def _status_field(self, name: str) -> int:
        text = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(text.partition(name)[2].split()[0])
