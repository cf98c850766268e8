"""The process of one softswitch of a run: its folder, start and end, signals, and history.

Signals are only sent to the process that the object itself has started.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from msgspec import Struct

from stairhatch.fault_injection.history import HistoryRecord, ProcessEvent

ROOT = Path(__file__).resolve().parents[2]
STATE_FILES = ("claims.db", "claims.db-wal")  # of the voter's store, in the data directory
FLIP_BLOCK_BYTES = 64  # block size for drawing the position of a flipped bit
FOREVER = float("inf")
NO_PIPE = -1


class _LoggedEvent(Struct):
    """One line of the history file that the program writes (`stairhatch.fleet.runtime`)."""

    at: float  # monotonic time of the machine, in seconds
    clock: float  # the same moment on the lease clock
    what: str
    claim: str = ""
    ticket: int = 0
    until: float = 0.0  # end of the lease, on the lease clock
    why: str = ""
    checked: float | None = None  # when the lease was checked, on the lease clock


@dataclass
class MemberProcess:
    """One softswitch of a run; `folder` contains its data directory, configuration file and logs."""

    name: str
    folder: Path
    sip: tuple[str, int]
    listen: tuple[str, int]
    admin_endpoint: tuple[str, int]
    clock_rate: float = 1.0
    clock_offset_s: float = 0.0
    process: subprocess.Popen[bytes] | None = None
    command_pipe: int = NO_PIPE
    start_count: int = 0
    stopped_until: float = 0.0  # monotonic time; 0.0 while the process is not stopped
    backups: list[tuple[float, Path]] = field(default_factory=list)  # (monotonic time, folder)
    records: list[HistoryRecord] = field(default_factory=list)  # process events of this run
    outages: list[tuple[float, float]] = field(default_factory=list)  # (begin, end), monotonic time

    @property
    def data_directory(self) -> Path:
        """Directory in which the softswitch stores its votes and fencing tokens."""
        return self.folder / "state"

    @property
    def config_file(self) -> Path:
        """Path of the softswitch's configuration file."""
        return self.folder / "stairhatch.toml"

    def record(self, event: ProcessEvent) -> None:
        """Append a process event, at the current time, to the member's history."""
        self.records.append(HistoryRecord(time.monotonic(), self.name, event, self.start_count))

    def start(self) -> None:
        """Start the process unless it is already running, and end the current outage."""
        if self.process is not None:
            return
        self.start_count += 1
        read_end, write_end = os.pipe()
        module = "stairhatch.fault_injection.member_main"
        clock_arguments = [repr(self.clock_rate), repr(self.clock_offset_s)]
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module, str(self.config_file), *clock_arguments, str(read_end)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=(read_end,),
                env={**os.environ, "RELAY_CONSOLE": ""},
            )
        os.close(read_end)
        self.command_pipe = write_end
        self.record(ProcessEvent.STARTED)
        if self.outages and self.outages[-1][1] == FOREVER:
            self.outages[-1] = self.outages[-1][0], time.monotonic()

    def send_command(self, **command: str | float | bool) -> None:
        """Send a command to the member's `member_main`. It is lost if the process is not running."""
        with contextlib.suppress(OSError):
            os.write(self.command_pipe, json.dumps(command).encode() + b"\n")

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal_number)

    def stop(self, duration_s: float) -> bool:
        """Stop a running process by SIGSTOP until `resume_if_due`. Return False if it was not running."""
        if self.process is None:
            return False
        self.record(ProcessEvent.STOPPED)
        now = time.monotonic()
        self.outages.append((now, now + duration_s))
        self.send_signal(signal.SIGSTOP)
        self.stopped_until = max(self.stopped_until, time.monotonic() + duration_s)
        return True

    def resume_if_due(self) -> None:
        """Resume a stopped process by SIGCONT when the duration of its stop has passed."""
        if self.stopped_until and time.monotonic() >= self.stopped_until:
            self.stopped_until = 0.0
            self.send_signal(signal.SIGCONT)
            self.record(ProcessEvent.RESUMED)

    def is_stopped(self) -> bool:
        """Whether the kernel reports the process as stopped (state T in proc(5))."""
        if self.process is None:
            return False
        with contextlib.suppress(OSError, IndexError):
            status = Path(f"/proc/{self.process.pid}/stat").read_text()
            return status.rpartition(")")[2].split()[0] == "T"
        return False

    def kill(self) -> bool:
        """Kill a running process by SIGKILL and wait for its end. Return False if it was not running."""
        if self.process is None:
            return False
        self.outages.append((time.monotonic(), FOREVER))
        self.process.kill()
        self.process.wait()
        with contextlib.suppress(OSError):
            os.close(self.command_pipe)
        self.process = None
        self.command_pipe = NO_PIPE
        self.stopped_until = 0.0
        self.record(ProcessEvent.KILLED)
        return True

    def back_up(self) -> None:
        """Copy the data directory, without synchronizing with the process, as a backup script would."""
        if (self.data_directory / STATE_FILES[0]).exists():
            backup = self.folder / f"copy-{len(self.backups)}"
            with contextlib.suppress(OSError, shutil.Error):
                shutil.copytree(self.data_directory, backup)
                self.backups.append((time.monotonic(), backup))

    def delete_data_directory(self) -> None:
        """Delete the data directory. The process must not be running."""
        shutil.rmtree(self.data_directory, ignore_errors=True)
        self.record(ProcessEvent.DATA_DIRECTORY_CHANGED)

    def flip_bit(self, rng: random.Random) -> None:
        """Flip one bit of the store's files, if there are any. The process must not be running."""
        paths = [self.data_directory / name for name in STATE_FILES]
        blocks = [
            (path, start)
            for path in paths
            if path.exists()
            for start in range(0, path.stat().st_size, FLIP_BLOCK_BYTES)
        ]
        if blocks:
            path, start = rng.choice(blocks)
            data = bytearray(path.read_bytes())
            data[start + rng.randrange(min(FLIP_BLOCK_BYTES, len(data) - start))] ^= 1 << rng.randrange(8)
            path.write_bytes(data)
        self.record(ProcessEvent.DATA_DIRECTORY_CHANGED)

    def restore_backup(self, taken_before: float) -> bool:
        """Replace the data directory by the latest backup taken at or before a monotonic time.

        The process must not be running. Return False if there is no such backup.
        """
        backups = [path for taken_at, path in self.backups if taken_at <= taken_before]
        if not backups:
            return False
        shutil.rmtree(self.data_directory, ignore_errors=True)
        shutil.copytree(backups[-1], self.data_directory)
        self.record(ProcessEvent.DATA_DIRECTORY_CHANGED)
        return True

    def history(self) -> list[HistoryRecord]:
        """Return the process events and the program's own events, in the run's time and sorted by it."""
        path = self.folder / "history.jsonl"
        records = list(self.records)
        start_number = 0
        for line in path.read_bytes().split(b"\n") if path.exists() else ():
            try:
                logged = msgspec.convert(json.loads(line), _LoggedEvent)
            except json.JSONDecodeError:
                continue  # line truncated by a kill
            start_number += logged.what == ProcessEvent.STARTED
            records.append(self._to_record(logged, start_number))
        return sorted(records, key=lambda each: each.at_s)

    def _to_record(self, logged: _LoggedEvent, start_number: int) -> HistoryRecord:
        # If a process is stopped between its lease check and this log line, the time of the check counts.
        # Work that was checked while the lease was held may be done late; fencing tokens guard against that.
        checked = logged.clock if logged.checked is None else logged.checked
        return HistoryRecord(
            self._true_time(logged, checked),
            self.name,
            logged.what,
            start_number,
            logged.claim,
            logged.ticket,
            self._true_time(logged, logged.until) if logged.until else 0.0,
            reason=logged.why,
        )

    def _true_time(self, logged: _LoggedEvent, clock_time: float) -> float:
        """Convert a time on the member's lease clock to the run's time, using a logged pair of both."""
        return logged.at + (clock_time - logged.clock) / self.clock_rate
