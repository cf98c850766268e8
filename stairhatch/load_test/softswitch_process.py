"""The softswitch under load, a process that is started from a source tree for one run."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

from stairhatch.emulators.ports import Address, free_port
from stairhatch.load_test.errors import LoadRunError

READY_TIMEOUT_S = 30.0
CHECK_INTERVAL_S = 0.02
LOOPBACK = "127.0.0.1"
USER_TIME_FIELD, SYSTEM_TIME_FIELD = 11, 12  # indexes in /proc/PID/stat, counted after the name (proc(5))


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Resource usage and counters of the softswitch in a run."""

    cpu_s: float = 0.0  # processor time since the softswitch began to serve
    memory_mb: float = 0.0  # peak resident memory, in MiB
    counters: dict[str, int] = field(default_factory=dict)  # of its log event "counters"
    exit_code: int | None = None  # None: the process was still running

    def figures(self) -> dict[str, Any]:
        """Return the usage by the keys of the result file; without counters if the process has ended."""
        used = {"cpu_s": self.cpu_s, "memory_mb": self.memory_mb}
        if self.exit_code is not None:
            return {**used, "ended": self.exit_code}
        return {**used, "counters": self.counters}


class SoftswitchProcess:
    """Appliance process of a source tree; as a context manager it kills the process at the end."""

    def __init__(self, tree: Path, folder: Path, render_config: Callable[[Address], str]) -> None:
        """Start the process and wait until it serves.

        Raises LoadRunError if the process exits or does not serve within READY_TIMEOUT_S.

        `render_config` returns the configuration for an address. Configuration and log are written to
        `folder`.
        """
        self.address = (LOOPBACK, free_port())
        self._log_file = folder / "log"
        config_file = folder / "load.toml"
        config_file.write_text(render_config(self.address))
        with self._log_file.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "stairhatch", "--sip", str(config_file)],
                cwd=tree,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        try:
            self._wait_until(lambda: " serving " in self._log_text(), "it did not start to serve")
        except LoadRunError:
            self.end()
            raise
        self._cpu_s_at_start = self._cpu_s()

    def __enter__(self) -> SoftswitchProcess:
        return self

    def __exit__(
        self, _type: type[BaseException] | None, _error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        self.end()

    def send_signal(self, number: int) -> None:
        """Send a signal to the process, by its number."""
        self.process.send_signal(number)

    def usage(self) -> ProcessUsage:
        """Return the usage so far, or the exit code. Raises LoadRunError if no counters are logged."""
        if self.process.poll() is not None:
            return ProcessUsage(exit_code=self.process.returncode)
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        memory_mb = int(status.split("VmHWM:")[1].split()[0]) / 1024
        cpu_s = self._cpu_s() - self._cpu_s_at_start
        return ProcessUsage(cpu_s, memory_mb, self._request_counters())

    def end(self) -> None:
        """Kill the process, which ends its calls, and wait for its end."""
        self.process.kill()
        self.process.wait()

    def _request_counters(self) -> dict[str, int]:
        previous_count = len(self._log_lines("counters"))
        self.process.send_signal(signal.SIGUSR1)
        self._wait_until(lambda: len(self._log_lines("counters")) > previous_count, "it logged no counters")
        pairs = (word.partition("=") for word in self._log_lines("counters")[-1].split()[2:])
        return {name: int(value) for name, _, value in pairs}

    def _wait_until(self, is_done: Callable[[], bool], failure: str) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not is_done():
            if self.process.poll() is not None or time.monotonic() > deadline:
                last_line = " ".join(self._log_text().splitlines()[-1:])
                raise LoadRunError(f"the softswitch process: {failure}: {last_line}")
            time.sleep(CHECK_INTERVAL_S)

    def _cpu_s(self) -> float:
        """Return the user and system time of the process so far, in seconds."""
        words = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(words[USER_TIME_FIELD]) + int(words[SYSTEM_TIME_FIELD])
        return ticks / os.sysconf("SC_CLK_TCK")

    def _log_text(self) -> str:
        return self._log_file.read_text(errors="replace")

    def _log_lines(self, event: str) -> list[str]:
        return [line for line in self._log_text().splitlines() if f" {event} " in line]
