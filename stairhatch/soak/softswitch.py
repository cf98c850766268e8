"""One softswitch of a trial as a process: started as the platform starts it, and sent its signals."""

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
from stairhatch.soak.port import reserve_port
from stairhatch.soak.record import Kind, Record

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0
POLL_S = 0.02
ADMIN_TIMEOUT_S = 1.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MB = 1024 * 1024
WAIT_FIELD = 1  # of schedstat, in nanoseconds
FAULT_EVENTS = ("fault", "rule_violated")
TRACEBACK = "Traceback"
PR_SET_PDEATHSIG = 1  # of prctl(2)


def _end_with_parent() -> None:
    """Have the system kill this process when the one that started it ends, however that happens."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Softswitch:
    """A softswitch's processes, one after the other, under one name and address."""

    def __init__(
        self, index: int, deployment: Deployment, record: Record, folder: Path, coordinator: Address
    ) -> None:
        """Start nothing yet; `folder` gets its configuration and its log."""
        self.index = index
        self.name = f"n{index}"
        self.deployment = deployment
        self.record = record
        self.folder = folder
        self.coordinator = coordinator
        self.known: dict[str, Any] = {}
        self.settings = deployment.settings(index)
        self._reserved = [reserve_port() for _ in range(2)]  # so that nobody else gets them between starts
        self.address: Address = self._reserved[0].getsockname()
        self.admin: Address = self._reserved[1].getsockname()
        self.starts = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.is_serving = False  # the front sends new connections here
        self.takes_connections = False  # new connections still come
        self.is_ending = False  # SIGTERM was sent
        self.exit_code: int | None = None
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def process_name(self) -> str:
        """What its current process is called in the record."""
        return f"{self.name}#{self.starts}"

    @property
    def log_path(self) -> Path:
        """The log of its current process."""
        return self.folder / f"log-{self.starts}.txt"

    # ---- its life ----

    async def start(self, known: Callable[[], dict[str, Any]]) -> None:
        """Start a process, which knows the events of the list by then, and wait until it serves.

        Raises TrialError where it ends before.
        """
        self.known = known()
        self._launch()
        if await self._wait_until_serving():
            self.record.note(Kind.PROCESS_READY, softswitch=self.process_name)
            self.is_serving = self.takes_connections = True
            return
        raise TrialError(f"{self.process_name} does not serve: {self.log_path.read_text()[-300:]}")

    def _launch(self) -> None:
        self.starts += 1
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
                preexec_fn=_end_with_parent,
            )  # fmt: skip
        self.record.note(Kind.PROCESS_STARTED, softswitch=self.process_name)

    async def _wait_until_serving(self) -> bool:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while self.process is not None and self.process.poll() is None and time.monotonic() < deadline:
            if (await self.command("check")).startswith("ok"):
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def restart(self, known: Callable[[], dict[str, Any]], kill_after_s: float) -> None:
        """A planned restart: SIGTERM, SIGKILL `kill_after_s` later, and a new process."""
        await self.terminate(kill_after_s)
        await self.start(known)

    async def terminate(self, kill_after_s: float) -> None:
        """Send SIGTERM, and SIGKILL if it still runs `kill_after_s` later."""
        process = self.process
        assert process is not None
        self.is_serving = False
        self.is_ending = True
        self.record.note(Kind.TERMINATE_SENT, softswitch=self.process_name)
        process.send_signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(0.3, self._close_door, process)
        deadline = time.monotonic() + kill_after_s
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(POLL_S / 4)
        if process.poll() is None:
            self.kill()
        self.note_end()

    def _close_door(self, process: subprocess.Popen[bytes]) -> None:
        if self.process is process:
            self.takes_connections = False

    def kill(self) -> None:
        """Send SIGKILL."""
        assert self.process is not None
        self.is_serving = self.takes_connections = False
        self.is_ending = True
        self.record.note(Kind.KILL_SENT, softswitch=self.process_name)
        self.process.kill()
        self.process.wait()

    async def restart_after_kill(self, known: Callable[[], dict[str, Any]]) -> None:
        """Kill it without a warning, and start it again."""
        self.kill()
        assert self.process is not None
        self.note_end()
        await self.start(known)

    def note_end(self) -> None:
        """Record that its process has ended."""
        assert self.process is not None
        self.is_serving = self.takes_connections = False
        self.exit_code = self.process.wait()
        self.record.note(Kind.PROCESS_ENDED, softswitch=self.process_name, status=self.exit_code)
        self.note_faults()

    def note_faults(self) -> None:
        """Record what its log says of faults of the program itself."""
        for line in self.log_path.read_text(errors="replace").splitlines():
            words = line.split(" ", 2)
            if (len(words) > 1 and words[1] in FAULT_EVENTS) or line.startswith(TRACEBACK):
                self.record.note(Kind.LOG_LINE, softswitch=self.process_name, detail=line)

    # ---- while it runs ----

    @property
    def config_path(self) -> Path:
        """Its configuration."""
        return self.folder / "config.json"

    def write_config(self) -> None:
        """Replace its configuration."""
        text = json.dumps(
            {
                "name": self.name, "listen": f"{self.address[0]}:{self.address[1]}",
                "console": f"{self.admin[0]}:{self.admin[1]}", "seed": f"{self.index}{self.starts}",
                "limits": {
                    "cores": 1.0, "memory_mb": self.deployment.memory_mb, "sockets": self.deployment.sockets,
                },
                "coordinator": f"{self.coordinator[0]}:{self.coordinator[1]}",
                "known": self.known, "settings": self.settings,
            }
        )  # fmt: skip
        new = self.config_path.with_suffix(".new")
        new.write_text(text)
        new.replace(self.config_path)

    def reload(self) -> None:
        """Replace its configuration and send SIGHUP."""
        if self.process is not None and self.process.poll() is None:
            self.write_config()
            self.process.send_signal(signal.SIGHUP)

    async def command(self, line: str) -> str:
        """Return what the admin endpoint answers; "" where it does not."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ADMIN_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.admin)
                writer.write(line.encode() + b"\n")
                answer = await reader.readline()
                writer.close()
                return answer.decode().strip()
        return ""

    def check_limits(self) -> None:
        """Record where it holds more descriptors or memory than it may."""
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
        """Note for how long its process was ready to run and did not, by the kernel's count."""
        waited_ns = int((folder / "schedstat").read_text().split()[WAIT_FIELD])
        self.record.starved_s = max(self.record.starved_s, waited_ns / 1e9)

    def _note_limit(self, what: str) -> None:
        self.record.note(Kind.LIMIT_EXCEEDED, softswitch=self.process_name, detail=what)

    def end(self) -> None:
        """End whatever still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        for sock in self._reserved:
            sock.close()
