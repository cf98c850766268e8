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

from stairhatch.fault_injection.history import Line

ROOT = Path(__file__).resolve().parents[2]
ENDED_S = 10.0


@dataclass
class Member:
    """One softswitch."""

    name: str
    folder: Path  # its own; the state lies in `state` below it
    sip: tuple[str, int]
    listen: tuple[str, int]
    door: tuple[str, int]
    rate: float = 1.0
    offset: float = 0.0
    process: subprocess.Popen[bytes] | None = None
    orders: int = -1
    starts: int = 0
    stopped_until: float = 0.0
    copies: list[tuple[float, Path]] = field(default_factory=list)
    lines: list[Line] = field(default_factory=list)  # of the lab's own hand
    away: list[tuple[float, float]] = field(default_factory=list)  # when it was killed or stopped, until when

    @property
    def state(self) -> Path:
        """Its folder of promises."""
        return self.folder / "state"

    @property
    def file(self) -> Path:
        """Its configuration."""
        return self.folder / "stairhatch.toml"

    def note(self, what: str) -> None:
        """A line of what was done to it."""
        self.lines.append(Line(time.monotonic(), self.name, what, self.starts))

    def start(self) -> None:
        """Start it, unless it runs."""
        if self.process is not None:
            return
        self.starts += 1
        ours, theirs = os.pipe()[::-1]
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "stairhatch.fault_injection.child", str(self.file), repr(self.rate),
                 repr(self.offset), str(theirs)],
                cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log, pass_fds=(theirs,),
                env={**os.environ, "RELAY_CONSOLE": ""},
            )  # fmt: skip
        os.close(theirs)
        self.orders = ours
        self.note("started")
        if self.away and self.away[-1][1] == float("inf"):
            self.away[-1] = self.away[-1][0], time.monotonic()

    def order(self, **told: Any) -> None:
        """An order for the lab's own start of the program."""
        with contextlib.suppress(OSError):
            os.write(self.orders, json.dumps(told).encode() + b"\n")

    def signal(self, number: int) -> None:
        """A signal to it, if it runs."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    def stop(self, lasts: float) -> bool:
        """SIGSTOP; whoever drives it calls `go_on` later."""
        if self.process is None:
            return False
        self.note("stopped")
        self.away.append((time.monotonic(), time.monotonic() + lasts))
        self.signal(signal.SIGSTOP)
        self.stopped_until = max(self.stopped_until, time.monotonic() + lasts)
        return True

    def go_on(self) -> None:
        """SIGCONT, once its time is up."""
        if self.stopped_until and time.monotonic() >= self.stopped_until:
            self.stopped_until = 0.0
            self.signal(signal.SIGCONT)
            self.note("let go on")

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
        self.away.append((time.monotonic(), float("inf")))
        self.process.kill()
        self.process.wait()
        with contextlib.suppress(OSError):
            os.close(self.orders)
        self.process, self.orders, self.stopped_until = None, -1, 0.0
        self.note("killed")
        return True

    def end(self) -> int:
        """SIGTERM, and SIGKILL if it does not end by itself; its exit code."""
        if self.process is None:
            return 0
        self.stopped_until = 0.0
        self.signal(signal.SIGCONT)
        self.process.terminate()
        try:
            code = self.process.wait(ENDED_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL
        with contextlib.suppress(OSError):
            os.close(self.orders)
        self.process = None
        return code

    def copy(self) -> None:
        """A backup of its folder, as somebody's script would take it."""
        if (self.state / "claims.db").exists():
            to = self.folder / f"copy-{len(self.copies)}"
            with contextlib.suppress(OSError, shutil.Error):
                shutil.copytree(self.state, to)
                self.copies.append((time.monotonic(), to))

    def lose(self) -> None:
        """Its folder is gone. It does not run."""
        shutil.rmtree(self.state, ignore_errors=True)
        self.note("folder")

    def flip(self, chance: random.Random) -> None:
        """One bit of what its folder holds has turned. It does not run."""
        files = [path for path in (self.state / "claims.db", self.state / "claims.db-wal") if path.exists()]
        held = [(path, at) for path in files for at in range(0, path.stat().st_size, 64)]
        if held:
            path, at = chance.choice(held)
            data = bytearray(path.read_bytes())
            data[at + chance.randrange(min(64, len(data) - at))] ^= 1 << chance.randrange(8)
            path.write_bytes(data)
        self.note("folder")

    def put_back(self, before: float) -> bool:
        """An older copy of its folder, taken before that time, is put in its place. It does not run."""
        old = [path for at, path in self.copies if at <= before]
        if not old:
            return False
        shutil.rmtree(self.state, ignore_errors=True)
        shutil.copytree(old[-1], self.state)
        self.note("folder")
        return True

    def history(self) -> list[Line]:
        """What it wrote down, in the lab's time, with what was done to it."""
        found, start = list(self.lines), 0
        path = self.folder / "history.jsonl"
        for text in path.read_bytes().split(b"\n") if path.exists() else ():
            try:
                told = json.loads(text)
            except ValueError:
                continue  # cut off by a kill
            start += told["what"] == "started"
            until = told.get("until", 0.0)
            if until:
                until = told["at"] + (until - told["clock"]) / self.rate
            # Where a process is stopped between its check and this line, the check counts: what it did in its
            # term may come late, and for that there are fences.
            at = told["at"] + (told.get("checked", told["clock"]) - told["clock"]) / self.rate
            found.append(
                Line(at, self.name, told["what"], start, told.get("claim", ""),
                     told.get("ticket", 0), until, why=told.get("why", ""))
            )  # fmt: skip
        return sorted(found, key=lambda each: each.at)
