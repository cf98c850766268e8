"""One softswitch of a run as a process: its folder, its start and end, its signals, and its history.

It never touches a process that it has not started.
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
STATE_FILES = ("claims.db", "claims.db-wal")  # in the data directory
FLIP_BLOCK_BYTES = 64  # a bit is flipped in one block of this size
FOREVER = float("inf")
NO_PIPE = -1


class _LoggedEvent(Struct):
    """One line of the history that the program writes itself (`stairhatch.fleet.runtime`)."""

    at: float  # the machine's monotonic time
    clock: float  # the same moment by the clock that leases go by
    what: str
    claim: str = ""
    ticket: int = 0
    until: float = 0.0  # by the clock that leases go by
    why: str = ""
    checked: float | None = None  # by the clock that leases go by: when the lease was checked


@dataclass
class MemberProcess:
    """One softswitch. `data_directory`, `config_file` and its logs lie in its `folder`."""

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
    stopped_until: float = 0.0  # monotonic time; 0.0 while it is not stopped
    backups: list[tuple[float, Path]] = field(default_factory=list)  # when each was taken
    records: list[HistoryRecord] = field(default_factory=list)  # of what was done to it
    outages: list[tuple[float, float]] = field(default_factory=list)  # since and until when it was down

    @property
    def data_directory(self) -> Path:
        """Where it keeps its votes and fencing tokens."""
        return self.folder / "state"

    @property
    def config_file(self) -> Path:
        """Its configuration."""
        return self.folder / "stairhatch.toml"

    def record(self, event: ProcessEvent) -> None:
        """Record what was done to it."""
        self.records.append(HistoryRecord(time.monotonic(), self.name, event, self.start_count))

    def start(self) -> None:
        """Start it, unless it runs."""
        if self.process is not None:
            return
        self.start_count += 1
        read_end, write_end = os.pipe()
        module = "stairhatch.fault_injection.member_main"
        clock = [repr(self.clock_rate), repr(self.clock_offset_s)]
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module, str(self.config_file), *clock, str(read_end)],
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
        """Send a command to `member_main`; one that does not run misses it."""
        with contextlib.suppress(OSError):
            os.write(self.command_pipe, json.dumps(command).encode() + b"\n")

    def send_signal(self, number: int) -> None:
        """Send a signal to it, if it runs."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def stop(self, duration_s: float) -> bool:
        """Stop it by SIGSTOP, if it runs; `resume_if_due` lets it go on. Whether it ran."""
        if self.process is None:
            return False
        self.record(ProcessEvent.STOPPED)
        now = time.monotonic()
        self.outages.append((now, now + duration_s))
        self.send_signal(signal.SIGSTOP)
        self.stopped_until = max(self.stopped_until, time.monotonic() + duration_s)
        return True

    def resume_if_due(self) -> None:
        """Let it go on by SIGCONT, once the time of its stop is over."""
        if self.stopped_until and time.monotonic() >= self.stopped_until:
            self.stopped_until = 0.0
            self.send_signal(signal.SIGCONT)
            self.record(ProcessEvent.RESUMED)

    def is_stopped(self) -> bool:
        """Whether the kernel holds it stopped (proc(5))."""
        if self.process is None:
            return False
        with contextlib.suppress(OSError, IndexError):
            status = Path(f"/proc/{self.process.pid}/stat").read_text()
            return status.rpartition(")")[2].split()[0] == "T"
        return False

    def kill(self) -> bool:
        """Kill it by SIGKILL and wait for its end, if it runs. Whether it ran."""
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
        """Copy its data directory, as somebody's script would."""
        if (self.data_directory / STATE_FILES[0]).exists():
            backup = self.folder / f"copy-{len(self.backups)}"
            with contextlib.suppress(OSError, shutil.Error):
                shutil.copytree(self.data_directory, backup)
                self.backups.append((time.monotonic(), backup))

    def delete_data_directory(self) -> None:
        """Delete its data directory. It does not run."""
        shutil.rmtree(self.data_directory, ignore_errors=True)
        self.record(ProcessEvent.DATA_DIRECTORY_CHANGED)

    def flip_bit(self, rng: random.Random) -> None:
        """Flip one bit of what its data directory holds. It does not run."""
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
        """Put the last backup from before that time in place. It does not run. Whether there was one."""
        backups = [path for taken_at, path in self.backups if taken_at <= taken_before]
        if not backups:
            return False
        shutil.rmtree(self.data_directory, ignore_errors=True)
        shutil.copytree(backups[-1], self.data_directory)
        self.record(ProcessEvent.DATA_DIRECTORY_CHANGED)
        return True

    def history(self) -> list[HistoryRecord]:
        """What it wrote down, in the run's time, with what was done to it, by the times."""
        path = self.folder / "history.jsonl"
        records = list(self.records)
        start_number = 0
        for line in path.read_bytes().split(b"\n") if path.exists() else ():
            try:
                logged = msgspec.convert(json.loads(line), _LoggedEvent)
            except json.JSONDecodeError:
                continue  # cut off by a kill
            start_number += logged.what == ProcessEvent.STARTED
            records.append(self._to_record(logged, start_number))
        return sorted(records, key=lambda each: each.at_s)

    def _to_record(self, logged: _LoggedEvent, start_number: int) -> HistoryRecord:
        # Where a process is stopped between its check and this line, the check counts: what it did while it
        # held the lease may come late, and for that there are fencing tokens.
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

    def _true_time(self, logged: _LoggedEvent, clock: float) -> float:
        """The run's time at which this member's clock shows that."""
        return logged.at + (clock - logged.clock) / self.clock_rate
