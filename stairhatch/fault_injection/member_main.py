"""Process of one softswitch of a run: the real program with faults of its clock, disk and writes.

Usage: `python -m stairhatch.fault_injection.member_main FILE RATE OFFSET PIPE`. The arguments are the
configuration file, the rate and the offset (seconds) of the process's clock, and the descriptor of a pipe.
The pipe carries commands, each a JSON object on one line, with any of these keys: `disk` ("well", "full",
"read-only", or the extra seconds of each sync), `stop` (true: stop the process once, between the lease check
and the write of shared work) and `step` (seconds by which the wall clock is stepped). The program's decisions
are unchanged, unless the environment variable STAIRHATCH_LAB_PLANTED names a mutation.
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

from stairhatch.config.appliance.reader import read_appliance
from stairhatch.fault_injection.mutations import mutation_applied
from stairhatch.fleet import runtime
from stairhatch.fleet.store import VoterStore
from stairhatch.main import serve

PR_SET_PDEATHSIG = 1  # prctl(2)


class LocalFaults:
    """Faults of this process: replacements for its clocks, its disk writes and the hook before a write.

    A separate thread executes the commands and sets fields that the program's threads read.
    """

    def __init__(self, clock_rate: float, clock_offset_s: float) -> None:
        """Only the clock's rate and offset (seconds) are in effect until a command sets another fault."""
        self.clock_rate = clock_rate
        self.clock_offset_s = clock_offset_s
        self.disk: str | float = "well"
        self.stop_requested = False
        self.started_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.system_wall_clock = time.time
        self.wall_clock_step_s = 0.0

    def clock(self) -> float:
        """The clock that the leases use, in seconds, with its rate and offset applied."""
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        return self.clock_offset_s + self.started_at + (now - self.started_at) * self.clock_rate

    def wall_clock(self) -> float:
        """Unix time in seconds, including the steps of the wall clock."""
        return self.system_wall_clock() + self.wall_clock_step_s

    def before_commit(self) -> None:
        """Delay or fail a write to the voter's store. Raises OSError (ENOSPC or EROFS) for a failing disk."""
        match self.disk:
            case "full":
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            case "read-only":
                raise OSError(errno.EROFS, os.strerror(errno.EROFS))
            case float(delay_s):
                time.sleep(delay_s)

    def stop_if_requested(self) -> None:
        """Stop this process by SIGSTOP if a command has requested it; each request stops it once."""
        if self.stop_requested:
            self.stop_requested = False
            os.kill(os.getpid(), signal.SIGSTOP)

    def execute_commands(self, pipe: int) -> None:
        """Execute commands until the pipe is closed, then kill this process, since its parent has ended."""
        for line in os.fdopen(pipe, "rb"):
            command = json.loads(line)
            self.disk = command.get("disk", self.disk)
            self.stop_requested = command.get("stop", self.stop_requested)
            self.wall_clock_step_s += command.get("step", 0.0)
        os.kill(os.getpid(), signal.SIGKILL)


def kill_when_parent_ends() -> None:
    """Request that the kernel kill this process when its parent ends, even while it is stopped."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


def main() -> int:
    """Serve with the faults installed, and return the program's exit code."""
    path, clock_rate, clock_offset_s, pipe = sys.argv[1:5]
    kill_when_parent_ends()
    faults = LocalFaults(float(clock_rate), float(clock_offset_s))
    runtime.clock = faults.clock
    runtime.between_check_and_write = faults.stop_if_requested
    VoterStore.before_commit = staticmethod(faults.before_commit)
    time.time = faults.wall_clock
    threading.Thread(target=faults.execute_commands, args=(int(pipe),), daemon=True).start()
    with mutation_applied(os.environ.get("STAIRHATCH_LAB_PLANTED", "")):
        return serve(lambda: read_appliance(path, dict(os.environ)))


if __name__ == "__main__":
    sys.exit(main())
