"""Time that processes wait for a processor; timing checks exclude it, so that a busy machine fails none."""

from __future__ import annotations

import contextlib
import os
import time
from pathlib import Path

WAIT_FIELD = 1  # index in schedstat of the wait in nanoseconds; the field before it is the time run


def processor_wait_s(pid: int) -> float:
    """Return the seconds that the threads of a process have waited, ready to run, for a processor in total.

    The source is /proc/PID/task/*/schedstat (Linux); the result is 0.0 if the kernel does not provide it.
    """
    waited_ns = 0
    for statistics in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        with contextlib.suppress(OSError):  # the thread has ended since the listing
            waited_ns += int(statistics.read_text().split()[WAIT_FIELD])
    return waited_ns / 1e9


class Stopwatch:
    """A stopwatch whose time excludes the waits of given processes and this one for a processor.

    On a machine with idle processors these waits are almost zero, and the stopwatch follows the clock.
    """

    def __init__(self, *pids: int) -> None:
        self.started_at = time.monotonic()
        self.waited_before_s = {pid: processor_wait_s(pid) for pid in (os.getpid(), *pids)}
        self.last_waited_s = dict(self.waited_before_s)

    def waited_s(self) -> float:
        """Return the seconds waited for a processor since the start, summed over the processes.

        The waits of a process that has ended are counted up to the last call of this method before its end.
        """
        total_s = 0.0
        for pid, before_s in self.waited_before_s.items():
            now_s = max(self.last_waited_s[pid], processor_wait_s(pid))
            self.last_waited_s[pid] = now_s
            total_s += now_s - before_s
        return total_s

    def elapsed_s(self) -> float:
        """Return the seconds since the start, less the waits for a processor."""
        elapsed_s = time.monotonic() - self.started_at
        return elapsed_s - self.waited_s()
