"""What the locks and the journal of PySyncObj, a Raft library, promise where the claims of a fleet are tried
hardest: a holder that is stopped for longer than its term, and all processes killed in a moment. Three
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
from pathlib import Path
from typing import Any

TERM_S = 1.5
STOPPED_S = 5.0
LOCK = "work"


def child(name: str, places: list[str], folder: Path) -> None:
    """One process: looks at its lock as fast as it can, and obeys a word a line."""
    synced = 0
    real = os.fsync

    def counted(fd: int) -> None:
        nonlocal synced
        synced += 1
        real(fd)

    os.fsync = counted  # type: ignore[assignment]
    from pysyncobj import SyncObj, SyncObjConf  # type: ignore[import-not-found]
    from pysyncobj.batteries import ReplCounter, ReplLockManager  # type: ignore[import-not-found]

    lock, counter = ReplLockManager(autoUnlockTime=TERM_S), ReplCounter()
    conf = SyncObjConf(journalFile=str(folder / f"{name}.journal"), fullDumpFile=str(folder / f"{name}.dump"))
    mine = places[int(name)]
    node = SyncObj(mine, [each for each in places if each != mine], consumers=[lock, counter], conf=conf)
    os.set_blocking(0, False)
    held = None
    with (folder / f"{name}.said").open("a") as said:

        def say(what: str, value: Any) -> None:
            said.write(json.dumps([time.monotonic(), what, value]) + "\n")
            said.flush()

        while True:
            now = bool(lock.isAcquired(LOCK))
            if now != held:
                held = now
                say("held", now)
            order = b""
            with contextlib.suppress(BlockingIOError):
                order = os.read(0, 64).strip()
            try:
                if order == b"acquire":
                    say("answer", repr(lock.tryAcquire(LOCK, sync=True, timeout=5)))
                if order == b"count":
                    before, began = synced, time.monotonic()
                    for _ in range(50):
                        counter.inc(sync=True, timeout=5)
                    say("counted", [counter.get(), synced - before, time.monotonic() - began])
                if order == b"get":
                    say("kept", [counter.get(), bool(node.isReady())])
            except Exception as error:  # noqa: BLE001 - whatever the library raises is a result
                say("fault", repr(error))
            time.sleep(0.002)


def said(folder: Path, name: str) -> list[list[Any]]:
    """What one has said."""
    path = folder / f"{name}.said"
    return [json.loads(text) for text in path.read_text().splitlines()] if path.exists() else []


class Three:
    """The processes."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
        self.places = [f"127.0.0.1:{each.getsockname()[1]}" for each in socks]
        for each in socks:
            each.close()
        self.all: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        """All of them."""
        self.all = [
            subprocess.Popen([sys.executable, __file__, str(n), str(self.folder), *self.places],
                             stdin=subprocess.PIPE)
            for n in range(3)
        ]  # fmt: skip

    def tell(self, name: int, order: str, what: str) -> Any:
        """An order, and what comes of it."""
        before = len([each for each in said(self.folder, str(name)) if each[1] in (what, "fault")])
        stdin = self.all[name].stdin
        assert stdin is not None
        stdin.write(order.encode() + b"\n")
        stdin.flush()
        end = time.monotonic() + 20
        while time.monotonic() < end:
            found = [each for each in said(self.folder, str(name)) if each[1] in (what, "fault")]
            if len(found) > before:
                return found[-1]
            time.sleep(0.01)
        return None

    def kill(self) -> None:
        """SIGKILL to all."""
        for each in self.all:
            each.kill()
            each.wait()


def main() -> None:
    """All of it."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        three = Three(folder)
        three.start()
        try:
            time.sleep(4)
            print("what the first gets for an acquired lock:", three.tell(0, "acquire", "answer"))
            three.all[0].send_signal(signal.SIGSTOP)
            time.sleep(TERM_S * 2)
            print("what the second gets while the first is stopped:", three.tell(1, "acquire", "answer"))
            time.sleep(STOPPED_S - 2 * TERM_S)
            let_go = time.monotonic()
            three.all[0].send_signal(signal.SIGCONT)
            time.sleep(2)
            first = [each for each in said(folder, "0") if each[1] == "held"]
            seen = [(round(at - let_go, 4), value) for at, _, value in first]
            print("the first, seconds from when it was let go on:", seen)
            print("50 increments: value, fsyncs, seconds:", three.tell(1, "count", "counted"))
            three.kill()
            three.start()
            time.sleep(5)
            print("after SIGKILL of all: value, ready:", three.tell(1, "get", "kept"))
        finally:
            three.kill()


if __name__ == "__main__":
    if len(sys.argv) > 2:
        child(sys.argv[1], sys.argv[3:], Path(sys.argv[2]))
    else:
        main()
