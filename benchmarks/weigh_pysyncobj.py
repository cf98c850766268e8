"""Tests locks and journal of PySyncObj, a Raft library, under the faults that are hardest for leases.

The faults are a holder that is stopped for longer than its lease, and a simultaneous kill of all processes.
The cluster has three processes, and its lock expires after 1.5 s. The results are measured, not taken from
the library's documentation, and none is asserted.

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
START_S, RESTART_S = 4.0, 5.0  # wait until all processes are ready
LOCK = "work"
MEMBERS = 3
INCREMENTS = 50
CALL_TIMEOUT_S = 5  # of calls of the library
REPLY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.01
LOCK_CHECK_INTERVAL_S = 0.002  # between two checks of the lock's state by a process


class Command(StrEnum):
    """A command to a member process, sent as one line to its standard input."""

    ACQUIRE = "acquire"
    COUNT = "count"
    GET = "get"


class RecordKind(StrEnum):
    """The kind of a record that a member process writes to its file."""

    HELD = "held"  # whether the library reports the lock as held by this process
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
    """One record of a member process: a line of its file."""

    at_s: float  # seconds of the monotonic clock
    kind: str
    value: Any


def records_path(directory: Path, name: str) -> Path:
    """Return the path of the file to which a process writes its records."""
    return directory / f"{name}.said"


def read_records(directory: Path, name: str) -> list[Record]:
    """Return all records of a process so far, in order; none if its file doesn't exist."""
    path = records_path(directory, name)
    return [Record(*json.loads(line)) for line in path.read_text().splitlines()] if path.exists() else []


class SyncCounter:
    """A replacement of os.fsync that counts its calls in this process."""

    def __init__(self) -> None:
        self.count = 0
        self._fsync = os.fsync
        os.fsync = self._counted  # type: ignore[assignment]

    def _counted(self, descriptor: int) -> None:
        self.count += 1
        self._fsync(descriptor)


class LockMember:
    """A member process, which polls the state of the lock and carries out commands."""

    def __init__(self, name: str, addresses: list[str], directory: Path) -> None:
        self._syncs = SyncCounter()  # must replace os.fsync before the library imports it
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
        """Record each change of the lock's state, and carry out commands, until the process is killed."""
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
            except Exception as error:  # noqa: BLE001 - any error of the library is a result
                self._write(RecordKind.FAULT, repr(error))
            time.sleep(LOCK_CHECK_INTERVAL_S)

    def _carry_out(self, command: str) -> None:
        match command:
            case Command.ACQUIRE:
                acquired = self._lock.tryAcquire(LOCK, sync=True, timeout=CALL_TIMEOUT_S)
                self._write(RecordKind.ACQUIRED, repr(acquired))
            case Command.COUNT:
                syncs, started_at = self._syncs.count, time.monotonic()
                for _ in range(INCREMENTS):
                    self._counter.inc(sync=True, timeout=CALL_TIMEOUT_S)
                took_s = time.monotonic() - started_at
                self._write(RecordKind.COUNTED, [self._counter.get(), self._syncs.count - syncs, took_s])
            case Command.GET:
                self._write(RecordKind.VALUE, [self._counter.get(), bool(self._node.isReady())])

    def _write(self, kind: RecordKind, value: Any) -> None:
        with self._path.open("a") as records:
            records.write(json.dumps([time.monotonic(), kind, value]) + "\n")


class LockCluster:
    """The cluster of the three member processes."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._addresses = free_addresses(MEMBERS)
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        """Start all member processes."""
        self._processes = [
            subprocess.Popen(
                [sys.executable, __file__, str(number), str(self._directory), *self._addresses],
                stdin=subprocess.PIPE,
            )
            for number in range(MEMBERS)
        ]

    def send_command(self, number: int, command: Command) -> Record | None:
        """Send a command to a process. Returns the reply or fault record, None after REPLY_TIMEOUT_S."""
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
        """Send a signal to a process, such as SIGSTOP or SIGCONT."""
        self._processes[number].send_signal(signal_number)

    def kill(self) -> None:
        """Kill all member processes and wait for their ends."""
        for process in self._processes:
            process.kill()
            process.wait()

    def _replies(self, number: int, command: Command) -> list[Record]:
        kinds = (REPLIES[command], RecordKind.FAULT)
        return [each for each in read_records(self._directory, str(number)) if each.kind in kinds]


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with free ports, as host:port."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    return addresses


def measure(cluster: LockCluster, directory: Path) -> None:
    """Stop a holder for longer than its lease, then kill all processes, and print the library's replies."""
    time.sleep(START_S)
    print("reply to the first process that acquires the lock:", cluster.send_command(0, Command.ACQUIRE))
    cluster.send_signal(0, signal.SIGSTOP)
    time.sleep(LEASE_DURATION_S * 2)
    print("reply to the second process while the first is stopped:", cluster.send_command(1, Command.ACQUIRE))
    time.sleep(STOPPED_S - 2 * LEASE_DURATION_S)
    continued_at = time.monotonic()
    cluster.send_signal(0, signal.SIGCONT)
    time.sleep(2)
    lock_states = [each for each in read_records(directory, "0") if each.kind == RecordKind.HELD]
    shown = [(round(each.at_s - continued_at, 4), each.value) for each in lock_states]
    print("lock states of the first process, with seconds since it was continued:", shown)
    print(f"{INCREMENTS} increments: value, fsyncs, seconds:", cluster.send_command(1, Command.COUNT))
    cluster.kill()
    cluster.start()
    time.sleep(RESTART_S)
    print("after SIGKILL of all processes: counter value, ready:", cluster.send_command(1, Command.GET))


def main() -> None:
    """Start the cluster, run the measurement, and kill the cluster."""
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
