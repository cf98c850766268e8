"""Time that processes wait for a processor, so that a busy machine changes no verdict on timing."""

from __future__ import annotations

import contextlib
import os
import time
from pathlib import Path

WAIT_FIELD = 1  # of schedstat, in nanoseconds; the first is the time that the thread ran


def processor_wait_s(pid: int) -> float:
    """Seconds for which threads of a process have been ready to run and waited for a processor, together.

    By the kernel's count (Linux, /proc/PID/task/*/schedstat); 0.0 where it keeps none.
    """
    waited_ns = 0
    for statistics in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        with contextlib.suppress(OSError):  # a thread that has ended meanwhile
            waited_ns += int(statistics.read_text().split()[WAIT_FIELD])
    return waited_ns / 1e9


class Stopwatch:
    """Time that passes, less what the given processes and this one wait for a processor meanwhile.

    On a machine with processors to spare that is next to nothing, and the time is that of the clock.
    """

    def __init__(self, *pids: int) -> None:
        self.started_at = time.monotonic()
        self.waited_before_s = {pid: processor_wait_s(pid) for pid in (os.getpid(), *pids)}
        self.waited_until_now_s = dict(self.waited_before_s)

    def waited_s(self) -> float:
        """Seconds waited for a processor so far; of a process that has ended, until the last call of this."""
        total_s = 0.0
        for pid, before_s in self.waited_before_s.items():
            now_s = max(self.waited_until_now_s[pid], processor_wait_s(pid))
            self.waited_until_now_s[pid] = now_s
            total_s += now_s - before_s
        return total_s

    def elapsed_s(self) -> float:
        """Seconds so far, without those waited."""
        elapsed_s = time.monotonic() - self.started_at
        return elapsed_s - self.waited_s()
