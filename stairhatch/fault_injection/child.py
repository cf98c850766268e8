"""One softswitch of a lab: the real program, started with a clock that runs fast, slow or apart, and a disk
that can be made to fail. Orders come as lines of JSON on a pipe: `disk` (well, full, read-only, or seconds
that a sync takes), `stop` (between the check and the write of the next piece of
shared work) and `step` (of the wall
clock). It must never change a decision: what it puts in place is the clock, the disk and that one stop.
"""

from __future__ import annotations

import ctypes
import errno
import json
import os
import signal
import sys
import threading
import time

from stairhatch.config.appliance import read_appliance
from stairhatch.fault_injection.planted import planted
from stairhatch.fleet import service
from stairhatch.fleet.store import Store
from stairhatch.start import serve


class Faults:
    """What is put in place of the machine's own."""

    def __init__(self, rate: float, offset: float) -> None:
        self.rate, self.offset = rate, offset
        self.disk: str | float = "well"
        self.stop = False
        self.begun = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.wall, self.step = time.time, 0.0

    def clock(self) -> float:
        """The clock that claims go by."""
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        return self.offset + self.begun + (now - self.begun) * self.rate

    def before_commit(self) -> None:
        """The disk."""
        disk = self.disk
        if disk == "full":
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if disk == "read-only":
            raise OSError(errno.EROFS, os.strerror(errno.EROFS))
        if isinstance(disk, float):
            time.sleep(disk)

    def between(self) -> None:
        """Stop here, once."""
        if self.stop:
            self.stop = False
            os.kill(os.getpid(), signal.SIGSTOP)

    def obey(self, orders: int) -> None:
        """Orders, until there are no more: then whoever gave them is gone, and so is this process."""
        for text in os.fdopen(orders, "rb"):
            order = json.loads(text)
            self.disk = order.get("disk", self.disk)
            self.stop = order.get("stop", self.stop)
            self.step += order.get("step", 0.0)
        os.kill(os.getpid(), signal.SIGKILL)


PR_SET_PDEATHSIG = 1  # prctl(2)


def die_with_parent() -> None:
    """Whatever becomes of the lab, and stopped or not, this process goes with it."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


def main() -> int:
    """`FILE RATE OFFSET PIPE`."""
    path, rate, offset, orders = sys.argv[1], float(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4])
    die_with_parent()
    faults = Faults(rate, offset)
    service.clock = faults.clock
    service.between_check_and_write = faults.between
    Store.before_commit = staticmethod(faults.before_commit)
    time.time = lambda: faults.wall() + faults.step
    threading.Thread(target=faults.obey, args=(orders,), daemon=True).start()
    with planted(os.environ.get("STAIRHATCH_LAB_PLANTED", "")):
        return serve(lambda: read_appliance(path, dict(os.environ)))


if __name__ == "__main__":
    sys.exit(main())
