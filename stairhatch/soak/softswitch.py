"""Runs the processes of one softswitch of a trial: starts and signals them as the platform does."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from stairhatch.emulators.ports import Address
from stairhatch.soak.deployment import Deployment
from stairhatch.soak.errors import TrialError
from stairhatch.soak.optional_keys import with_optional_keys
from stairhatch.soak.port import reserve_port
from stairhatch.soak.record import Kind, Record

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0
POLL_S = 0.02
ADMIN_TIMEOUT_S = 1.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MB = 1024 * 1024
PROCESSOR_WAIT_FIELD = 1  # of /proc/PID/schedstat: the time spent waiting for a processor, in nanoseconds
FAULT_EVENTS = ("fault", "rule_violated")  # log events that report a fault of the program
TRACEBACK = "Traceback"
REJECTED_RELOAD = " reload result=rejected "  # a trial's configurations are all sound
PR_SET_PDEATHSIG = 1  # option of prctl(2)


def _die_with_parent() -> None:
    """Make the kernel kill this process when its parent ends, in whatever way the parent ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Softswitch:
    """Softswitch of a trial: its successive processes, which share one name, address and configuration."""

    def __init__(
        self, index: int, deployment: Deployment, record: Record, folder: Path, coordinator: Address
    ) -> None:
        """Reserve the ports of the softswitch and create `folder`, which gets its configuration and logs.

        No process is started. Raises OSError if a port cannot be bound or the folder cannot be created.
        """
        self.index = index
        self.name = f"n{index}"
        self.deployment = deployment
        self.record = record
        self.folder = folder
        self.coordinator = coordinator
        self.known_events: dict[str, Any] = {}
        self.settings = deployment.settings(index)
        self.reloads = 0
        self._reserved_ports = [reserve_port() for _ in range(2)]  # keeps the ports between two processes
        self.address: Address = self._reserved_ports[0].getsockname()
        self.admin: Address = self._reserved_ports[1].getsockname()
        self.start_count = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.is_serving = False  # the process is ready and neither drained nor being ended
        self.takes_connections = False  # callers still open connections to it
        self.is_ending = False  # SIGTERM or SIGKILL was sent to the process
        self.exit_code: int | None = None  # of the process that has ended; None while it runs
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def process_name(self) -> str:
        """The name of the current process in the record, as `n0#2`."""
        return f"{self.name}#{self.start_count}"

    @property
    def log_path(self) -> Path:
        """The path of the current process' log."""
        return self.folder / f"log-{self.start_count}.txt"

    # ---- starting and ending processes ----

    async def start(self, known_events: Callable[[], dict[str, Any]]) -> None:
        """Start a process and wait until it serves.

        `known_events` returns the `known` object of the process' configuration.

        Raises TrialError if the process ends, or READY_TIMEOUT_S passes, before it serves.
        """
        self.known_events = known_events()
        self._launch()
        if await self._wait_until_serving():
            self.record.note(Kind.PROCESS_READY, softswitch=self.process_name)
            self.is_serving = self.takes_connections = True
            return
        raise TrialError(f"{self.process_name} does not serve: {self.log_path.read_text()[-300:]}")

    def _launch(self) -> None:
        self.start_count += 1
        self.is_ending = False
        self.exit_code = None
        self.write_config()
        environment = {**os.environ, "RELAY_CONFIG": str(self.config_path), "TMPDIR": str(self.folder)}
        environment["STAIRHATCH_TRACE"] = "1"
        for name in ("RELAY_NAME", "RELAY_LISTEN", "RELAY_CONSOLE", "RELAY_INHERITED_FD"):
            environment.pop(name, None)
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "stairhatch"],
                cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                preexec_fn=_die_with_parent,
            )  # fmt: skip
        self.record.note(Kind.PROCESS_STARTED, softswitch=self.process_name)

    async def _wait_until_serving(self) -> bool:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while self.process is not None and self.process.poll() is None and time.monotonic() < deadline:
            if (await self.command("check")).startswith("ok"):
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def restart(self, known_events: Callable[[], dict[str, Any]], kill_after_s: float) -> None:
        """Restart as planned: SIGTERM, SIGKILL if the process runs `kill_after_s` later, and a new process.

        Raises TrialError if the new process does not serve.
        """
        await self.terminate(kill_after_s)
        await self.start(known_events)

    async def terminate(self, kill_after_s: float) -> None:
        """End the process with SIGTERM, and with SIGKILL if it still runs `kill_after_s` seconds later.

        Callers open no connections to it from 0.3 s after SIGTERM on.
        """
        process = self.process
        assert process is not None
        self.is_serving = False
        self.is_ending = True
        self.record.note(Kind.TERMINATE_SENT, softswitch=self.process_name)
        process.send_signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(0.3, self._stop_connections, process)
        deadline = time.monotonic() + kill_after_s
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(POLL_S / 4)
        if process.poll() is None:
            self.kill()
        self.note_end()

    def _stop_connections(self, process: subprocess.Popen[bytes]) -> None:
        if self.process is process:
            self.takes_connections = False

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        assert self.process is not None
        self.is_serving = self.takes_connections = False
        self.is_ending = True
        self.record.note(Kind.KILL_SENT, softswitch=self.process_name)
        self.process.kill()
        self.process.wait()

    async def restart_after_kill(self, known_events: Callable[[], dict[str, Any]]) -> None:
        """Kill the process without SIGTERM and start a new one.

        Raises TrialError if the new process does not serve.
        """
        self.kill()
        assert self.process is not None
        self.note_end()
        await self.start(known_events)

    def note_end(self) -> None:
        """Wait for the end of the process and record its exit code and the faults in its log."""
        assert self.process is not None
        self.is_serving = self.takes_connections = False
        self.exit_code = self.process.wait()
        self.record.note(Kind.PROCESS_ENDED, softswitch=self.process_name, status=self.exit_code)
        self.note_faults()

    def note_faults(self) -> None:
        """Record each line of the process' log that reports a fault, a traceback or a rejected reload."""
        for line in self.log_path.read_text(errors="replace").splitlines():
            words = line.split(" ", 2)
            is_fault = len(words) > 1 and words[1] in FAULT_EVENTS
            if is_fault or line.startswith(TRACEBACK) or REJECTED_RELOAD in line:
                self.record.note(Kind.LOG_LINE, softswitch=self.process_name, detail=line)

    # ---- configuring and observing the running process ----

    @property
    def config_path(self) -> Path:
        """The path of the configuration file."""
        return self.folder / "config.json"

    def write_config(self) -> None:
        """Replace the configuration file atomically with the present settings."""
        text = json.dumps(
            {
                "name": self.name, "listen": f"{self.address[0]}:{self.address[1]}",
                "console": f"{self.admin[0]}:{self.admin[1]}", "seed": f"{self.index}{self.start_count}",
                "limits": {
                    "cores": 1.0, "memory_mb": self.deployment.memory_mb, "sockets": self.deployment.sockets,
                },
                "coordinator": f"{self.coordinator[0]}:{self.coordinator[1]}",
                "known": self.known_events, "settings": with_optional_keys(self.settings, self.reloads),
            }
        )  # fmt: skip
        new = self.config_path.with_suffix(".new")
        new.write_text(text)
        new.replace(self.config_path)

    def reload(self) -> None:
        """Replace the configuration file and send SIGHUP; without a running process, do nothing."""
        if self.process is not None and self.process.poll() is None:
            self.reloads += 1
            self.write_config()
            self.process.send_signal(signal.SIGHUP)

    async def command(self, line: str) -> str:
        """Send a command to the admin endpoint and return the answer; "" if none comes in ADMIN_TIMEOUT_S."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ADMIN_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.admin)
                writer.write(line.encode() + b"\n")
                answer = await reader.readline()
                writer.close()
                return answer.decode().strip()
        return ""

    def check_limits(self) -> None:
        """Record if the process has more open descriptors or resident memory than its limits allow.

        The time that the process has waited for a processor is updated in the record as well.
        """
        if self.process is None or self.process.poll() is not None:
            return
        folder = Path(f"/proc/{self.process.pid}")
        with contextlib.suppress(OSError, IndexError, ValueError):
            descriptors = len(os.listdir(folder / "fd"))
            if descriptors > self.deployment.sockets:
                self._note_limit(f"{descriptors} descriptors of {self.deployment.sockets}")
            self._note_processor_wait(folder)
            resident_mb = int((folder / "statm").read_text().split()[1]) * PAGE_BYTES / MB
            if resident_mb > self.deployment.memory_mb:
                self._note_limit(f"{resident_mb:.0f} MB of {self.deployment.memory_mb}")

    def _note_processor_wait(self, folder: Path) -> None:
        """Update the record with the time for which the process was runnable without running (schedstat)."""
        waited_ns = int((folder / "schedstat").read_text().split()[PROCESSOR_WAIT_FIELD])
        self.record.starved_s = max(self.record.starved_s, waited_ns / 1e9)

    def _note_limit(self, what: str) -> None:
        self.record.note(Kind.LIMIT_EXCEEDED, softswitch=self.process_name, detail=what)

    def end(self) -> None:
        """Kill the process if it still runs, and release the reserved ports."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        for sock in self._reserved_ports:
            sock.close()
