"""What the locks and the journal of PySyncObj, a Raft library, promise where leases are tried hardest.

That is a holder that is stopped for longer than its lease, and all processes killed in a moment. Three
processes, a lock that is released by itself after 1.5 s. Measured, not read off its pages; nothing is a test.

    python3 -m venv weigh && weigh/bin/pip install -r requirements-weigh.txt
    weigh/bin/python benchmarks/weigh_pysyncobj.py
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

LEASE_DURATION_S = 1.5
STOPPED_S = 5.0
START_S, RESTART_S = 4.0, 5.0  # until all are ready
LOCK = "work"
MEMBERS = 3
INCREMENTS = 50
CALL_TIMEOUT_S = 5  # of the library's
REPLY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.01
LOOK_INTERVAL_S = 0.002  # how often a process looks at its lock


class Command(StrEnum):
    """A command to a process, a line each."""

    ACQUIRE = "acquire"
    COUNT = "count"
    GET = "get"


class RecordKind(StrEnum):
    """What a process writes down."""

    HELD = "held"  # whether it believes that it holds the lock
    ACQUIRED = "answer"
    COUNTED = "counted"
    VALUE = "kept"
    FAULT = "fault"


REPLIES = {
    Command.ACQUIRE: RecordKind.ACQUIRED,
    Command.COUNT: RecordKind.COUNTED,
    Command.GET: RecordKind.VALUE,
}


@dataclass(frozen=True, slots=True)
class Record:
    """A line of a process's file."""

    at_s: float  # by the monotonic clock
    kind: str
    value: Any


def records_path(directory: Path, name: str) -> Path:
    """Return the file that a process writes its records to."""
    return directory / f"{name}.said"


def read_records(directory: Path, name: str) -> list[Record]:
    """Return what a process has written down."""
    path = records_path(directory, name)
    return [Record(*json.loads(line)) for line in path.read_text().splitlines()] if path.exists() else []


class SyncCounter:
    """Counts the calls of os.fsync in this process."""

    def __init__(self) -> None:
        self.count = 0
        self._fsync = os.fsync
        os.fsync = self._counted  # type: ignore[assignment]

    def _counted(self, descriptor: int) -> None:
        self.count += 1
        self._fsync(descriptor)


class LockMember:
    """One process: looks at its lock as fast as it can, and carries out commands."""

    def __init__(self, name: str, addresses: list[str], directory: Path) -> None:
        self._syncs = SyncCounter()  # before the library takes os.fsync
        from pysyncobj import SyncObj, SyncObjConf  # type: ignore[import-not-found]
        from pysyncobj.batteries import ReplCounter, ReplLockManager  # type: ignore[import-not-found]

        self._lock = ReplLockManager(autoUnlockTime=LEASE_DURATION_S)
        self._counter = ReplCounter()
        config = SyncObjConf(
            journalFile=str(directory / f"{name}.journal"), fullDumpFile=str(directory / f"{name}.dump")
        )
        own = addresses[int(name)]
        others = [address for address in addresses if address != own]
        self._node = SyncObj(own, others, consumers=[self._lock, self._counter], conf=config)
        self._path = records_path(directory, name)

    def run(self) -> None:
        """Run until killed."""
        os.set_blocking(sys.stdin.fileno(), False)
        was_held = None
        while True:
            is_held = bool(self._lock.isAcquired(LOCK))
            if is_held != was_held:
                was_held = is_held
                self._write(RecordKind.HELD, is_held)
            command = b""
            with contextlib.suppress(BlockingIOError):
                command = os.read(sys.stdin.fileno(), 64).strip()
            try:
                self._carry_out(command.decode())
            except Exception as error:  # noqa: BLE001 - whatever the library raises is a result
                self._write(RecordKind.FAULT, repr(error))
            time.sleep(LOOK_INTERVAL_S)

    def _carry_out(self, command: str) -> None:
        match command:
            case Command.ACQUIRE:
                acquired = self._lock.tryAcquire(LOCK, sync=True, timeout=CALL_TIMEOUT_S)
                self._write(RecordKind.ACQUIRED, repr(acquired))
            case Command.COUNT:
                syncs, began = self._syncs.count, time.monotonic()
                for _ in range(INCREMENTS):
                    self._counter.inc(sync=True, timeout=CALL_TIMEOUT_S)
                took_s = time.monotonic() - began
                self._write(RecordKind.COUNTED, [self._counter.get(), self._syncs.count - syncs, took_s])
            case Command.GET:
                self._write(RecordKind.VALUE, [self._counter.get(), bool(self._node.isReady())])

    def _write(self, kind: RecordKind, value: Any) -> None:
        with self._path.open("a") as records:
            records.write(json.dumps([time.monotonic(), kind, value]) + "\n")


class LockCluster:
    """The three processes."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._addresses = free_addresses(MEMBERS)
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        """Start all of them."""
        self._processes = [
            subprocess.Popen(
                [sys.executable, __file__, str(number), str(self._directory), *self._addresses],
                stdin=subprocess.PIPE,
            )
            for number in range(MEMBERS)
        ]

    def tell(self, number: int, command: Command) -> Record | None:
        """Give a process a command. Returns its reply or fault, None if none comes in time."""
        replies_before = len(self._replies(number, command))
        stdin = self._processes[number].stdin
        assert stdin is not None
        stdin.write(command.encode() + b"\n")
        stdin.flush()
        end = time.monotonic() + REPLY_TIMEOUT_S
        while time.monotonic() < end:
            replies = self._replies(number, command)
            if len(replies) > replies_before:
                return replies[-1]
            time.sleep(POLL_INTERVAL_S)
        return None

    def send_signal(self, number: int, signal_number: signal.Signals) -> None:
        """Stop a process, or let it go on."""
        self._processes[number].send_signal(signal_number)

    def kill(self) -> None:
        """Kill all of them."""
        for process in self._processes:
            process.kill()
            process.wait()

    def _replies(self, number: int, command: Command) -> list[Record]:
        kinds = (REPLIES[command], RecordKind.FAULT)
        return [each for each in read_records(self._directory, str(number)) if each.kind in kinds]


def free_addresses(count: int) -> list[str]:
    """Return addresses of this machine whose ports are free, as host:port."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    return addresses


def measure(cluster: LockCluster, directory: Path) -> None:
    """Stop a holder for longer than its lease, kill all, and print what the library says."""
    time.sleep(START_S)
    print("what the first gets for an acquired lock:", cluster.tell(0, Command.ACQUIRE))
    cluster.send_signal(0, signal.SIGSTOP)
    time.sleep(LEASE_DURATION_S * 2)
    print("what the second gets while the first is stopped:", cluster.tell(1, Command.ACQUIRE))
    time.sleep(STOPPED_S - 2 * LEASE_DURATION_S)
    continued_at = time.monotonic()
    cluster.send_signal(0, signal.SIGCONT)
    time.sleep(2)
    beliefs = [each for each in read_records(directory, "0") if each.kind == RecordKind.HELD]
    shown = [(round(each.at_s - continued_at, 4), each.value) for each in beliefs]
    print("the first, seconds from when it was let go on:", shown)
    print(f"{INCREMENTS} increments: value, fsyncs, seconds:", cluster.tell(1, Command.COUNT))
    cluster.kill()
    cluster.start()
    time.sleep(RESTART_S)
    print("after SIGKILL of all: value, ready:", cluster.tell(1, Command.GET))


def main() -> None:
    """Run the three processes and measure them."""
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        cluster = LockCluster(directory)
        cluster.start()
        try:
            measure(cluster, directory)
        finally:
            cluster.kill()


if __name__ == "__main__":
    if len(sys.argv) > 2:
        LockMember(sys.argv[1], sys.argv[3:], Path(sys.argv[2])).run()
    else:
        main()
