"""One softswitch of a lab as a process: owns its folder, its start, its signals and what is read off its
history. It must never touch a process that it has not started.
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
from typing import Any

from stairhatch.fault_injection.history import HistoryRecord

ROOT = Path(__file__).resolve().parents[2]
ENDED_S = 10.0


@dataclass
class MemberProcess:
    """One softswitch."""

    name: str
    folder: Path  # its own; the state lies in `state` below it
    sip: tuple[str, int]
    listen: tuple[str, int]
    admin_endpoint: tuple[str, int]
    clock_rate: float = 1.0
    clock_offset_s: float = 0.0
    process: subprocess.Popen[bytes] | None = None
    command_pipe: int = -1
    start_count: int = 0
    stopped_until: float = 0.0
    backups: list[tuple[float, Path]] = field(default_factory=list)
    records: list[HistoryRecord] = field(default_factory=list)  # of the lab's own hand
    outages: list[tuple[float, float]] = field(
        default_factory=list
    )  # when it was killed or stopped, until when

    @property
    def data_directory(self) -> Path:
        """Its folder of promises."""
        return self.folder / "state"

    @property
    def config_file(self) -> Path:
        """Its configuration."""
        return self.folder / "stairhatch.toml"

    def record(self, what: str) -> None:
        """A line of what was done to it."""
        self.records.append(HistoryRecord(time.monotonic(), self.name, what, self.start_count))

    def start(self) -> None:
        """Start it, unless it runs."""
        if self.process is not None:
            return
        self.start_count += 1
        ours, theirs = os.pipe()[::-1]
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "stairhatch.fault_injection.member_main",
                    str(self.config_file),
                    repr(self.clock_rate),
                    repr(self.clock_offset_s),
                    str(theirs),
                ],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=(theirs,),
                env={**os.environ, "RELAY_CONSOLE": ""},
            )
        os.close(theirs)
        self.command_pipe = ours
        self.record("started")
        if self.outages and self.outages[-1][1] == float("inf"):
            self.outages[-1] = self.outages[-1][0], time.monotonic()

    def send_command(self, **told: Any) -> None:
        """An order for the lab's own start of the program."""
        with contextlib.suppress(OSError):
            os.write(self.command_pipe, json.dumps(told).encode() + b"\n")

    def send_signal(self, number: int) -> None:
        """A signal to it, if it runs."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def stop(self, lasts: float) -> bool:
        """SIGSTOP; whoever drives it calls `go_on` later."""
        if self.process is None:
            return False
        self.record("stopped")
        self.outages.append((time.monotonic(), time.monotonic() + lasts))
        self.send_signal(signal.SIGSTOP)
        self.stopped_until = max(self.stopped_until, time.monotonic() + lasts)
        return True

    def resume_if_due(self) -> None:
        """SIGCONT, once its time is up."""
        if self.stopped_until and time.monotonic() >= self.stopped_until:
            self.stopped_until = 0.0
            self.send_signal(signal.SIGCONT)
            self.record("let go on")

    def is_stopped(self) -> bool:
        """Whether the kernel holds it stopped."""
        if self.process is None:
            return False
        with contextlib.suppress(OSError, IndexError):
            text = Path(f"/proc/{self.process.pid}/stat").read_text()
            return text.rpartition(")")[2].split()[0] == "T"
        return False

    def kill(self) -> bool:
        """SIGKILL, and wait for its end."""
        if self.process is None:
            return False
        self.outages.append((time.monotonic(), float("inf")))
        self.process.kill()
        self.process.wait()
        with contextlib.suppress(OSError):
            os.close(self.command_pipe)
        self.process, self.command_pipe, self.stopped_until = None, -1, 0.0
        self.record("killed")
        return True

    def terminate(self) -> int:
        """SIGTERM, and SIGKILL if it does not end by itself; its exit code."""
        if self.process is None:
            return 0
        self.stopped_until = 0.0
        self.send_signal(signal.SIGCONT)
        self.process.terminate()
        try:
            code = self.process.wait(ENDED_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL
        with contextlib.suppress(OSError):
            os.close(self.command_pipe)
        self.process = None
        return code

    def back_up(self) -> None:
        """A backup of its folder, as somebody's script would take it."""
        if (self.data_directory / "claims.db").exists():
            to = self.folder / f"copy-{len(self.backups)}"
            with contextlib.suppress(OSError, shutil.Error):
                shutil.copytree(self.data_directory, to)
                self.backups.append((time.monotonic(), to))

    def delete_data_directory(self) -> None:
        """Its folder is gone. It does not run."""
        shutil.rmtree(self.data_directory, ignore_errors=True)
        self.record("folder")

    def flip_bit(self, chance: random.Random) -> None:
        """One bit of what its folder holds has turned. It does not run."""
        files = [
            path
            for path in (self.data_directory / "claims.db", self.data_directory / "claims.db-wal")
            if path.exists()
        ]
        held = [(path, at) for path in files for at in range(0, path.stat().st_size, 64)]
        if held:
            path, at = chance.choice(held)
            data = bytearray(path.read_bytes())
            data[at + chance.randrange(min(64, len(data) - at))] ^= 1 << chance.randrange(8)
            path.write_bytes(data)
        self.record("folder")

    def restore_backup(self, before: float) -> bool:
        """An older copy of its folder, taken before that time, is put in its place. It does not run."""
        old = [path for at, path in self.backups if at <= before]
        if not old:
            return False
        shutil.rmtree(self.data_directory, ignore_errors=True)
        shutil.copytree(old[-1], self.data_directory)
        self.record("folder")
        return True

    def history(self) -> list[HistoryRecord]:
        """What it wrote down, in the lab's time, with what was done to it."""
        found, start = list(self.records), 0
        path = self.folder / "history.jsonl"
        for text in path.read_bytes().split(b"\n") if path.exists() else ():
            try:
                told = json.loads(text)
            except ValueError:
                continue  # cut off by a kill
            start += told["what"] == "started"
            until = told.get("until", 0.0)
            if until:
                until = told["at"] + (until - told["clock"]) / self.clock_rate
            # Where a process is stopped between its check and this line, the check counts: what it did in its
            # term may come late, and for that there are fences.
            at = told["at"] + (told.get("checked", told["clock"]) - told["clock"]) / self.clock_rate
            found.append(
                HistoryRecord(
                    at,
                    self.name,
                    told["what"],
                    start,
                    told.get("claim", ""),
                    told.get("ticket", 0),
                    until,
                    reason=told.get("why", ""),
                )
            )
        return sorted(found, key=lambda each: each.at_s)
