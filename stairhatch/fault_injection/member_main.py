"""One softswitch of a run: the real program, with faults of its clock, its disk and its work.

Started as `python -m stairhatch.fault_injection.member_main FILE RATE OFFSET PIPE`: the configuration, how
fast its clock runs, how far it is off in seconds, and the descriptor of a pipe. Commands come on the pipe as
lines of JSON with any of these keys: `disk` ("well", "full", "read-only", or the seconds that a sync takes
longer), `stop` (true: stop between the check and the write of the next piece of shared work) and `step`
(seconds to step the wall clock by). No decision is changed, unless STAIRHATCH_LAB_PLANTED names a mutation.
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
    """The faults of this process, put in place of its clock, its disk and its work.

    Commands arrive on a thread of their own; each sets one field that the program reads.
    """

    def __init__(self, clock_rate: float, clock_offset_s: float) -> None:
        """No fault but that of the clock, until a command comes."""
        self.clock_rate = clock_rate
        self.clock_offset_s = clock_offset_s
        self.disk: str | float = "well"
        self.stop_at_next_work = False
        self.started_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.machine_time = time.time
        self.wall_clock_step_s = 0.0

    def clock(self) -> float:
        """The clock that leases go by."""
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        return self.clock_offset_s + self.started_at + (now - self.started_at) * self.clock_rate

    def wall_clock(self) -> float:
        """Unix time, as the wall clock shows it after its steps."""
        return self.machine_time() + self.wall_clock_step_s

    def before_commit(self) -> None:
        """Fail or delay a write to the voter's store. Raises OSError as a full or read-only disk does."""
        match self.disk:
            case "full":
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            case "read-only":
                raise OSError(errno.EROFS, os.strerror(errno.EROFS))
            case float(delay_s):
                time.sleep(delay_s)

    def stop_once(self) -> None:
        """Stop this process where a command has asked for it."""
        if self.stop_at_next_work:
            self.stop_at_next_work = False
            os.kill(os.getpid(), signal.SIGSTOP)

    def execute_commands(self, pipe: int) -> None:
        """Execute commands until the pipe ends: whoever sent them is gone, and this process goes too."""
        for line in os.fdopen(pipe, "rb"):
            command = json.loads(line)
            self.disk = command.get("disk", self.disk)
            self.stop_at_next_work = command.get("stop", self.stop_at_next_work)
            self.wall_clock_step_s += command.get("step", 0.0)
        os.kill(os.getpid(), signal.SIGKILL)


def die_with_parent() -> None:
    """Have the kernel kill this process when its parent ends, also while it is stopped."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


def main() -> int:
    """Serve with the faults in place; the exit code of the program."""
    path, clock_rate, clock_offset_s, pipe = sys.argv[1:5]
    die_with_parent()
    faults = LocalFaults(float(clock_rate), float(clock_offset_s))
    runtime.clock = faults.clock
    runtime.between_check_and_write = faults.stop_once
    VoterStore.before_commit = staticmethod(faults.before_commit)
    time.time = faults.wall_clock
    threading.Thread(target=faults.execute_commands, args=(int(pipe),), daemon=True).start()
    with mutation_applied(os.environ.get("STAIRHATCH_LAB_PLANTED", "")):
        return serve(lambda: read_appliance(path, dict(os.environ)))


if __name__ == "__main__":
    sys.exit(main())
