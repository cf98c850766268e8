"""Recording of a member's lease events in the log, the counters and the history file.

External checkers of a run read the history. Its words are the values of `LeaseEventKind` and must not change.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable
from pathlib import Path

from stairhatch.fleet.effects import LeaseEvent, LeaseEventKind
from stairhatch.node.counters import Counters

LOGGED_EVENTS = (
    LeaseEventKind.HELD,
    LeaseEventKind.LOST,
    LeaseEventKind.RELEASED,
    LeaseEventKind.STEPPED_DOWN,
    LeaseEventKind.VOTING,
    LeaseEventKind.NOT_VOTING,
    LeaseEventKind.VOTER_SET_ADVANCED,
)
SLOW_WRITE = "slow write"  # word of the history for a vote that was on disk late
REJECTION_LOG_INTERVAL_S = 1.0  # minimum time between two log lines about rejected fencing tokens
SLOW_WRITE_LOG_INTERVAL_S = 1.0  # minimum time between two log lines about slow writes
FILE_MODE = 0o644


class HistoryFile:
    """History file with one JSON object per line for each event; without a path, nothing is written."""

    def __init__(self, path: Path | None, clock: Callable[[], float]) -> None:
        """Open the file for appending; `clock` is the clock of the leases.

        Raise OSError if the file cannot be opened.
        """
        self._clock = clock
        self._descriptor: int | None = None
        if path is not None:
            self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, FILE_MODE)

    def write(self, what: str, **fields: object) -> None:
        """Append a line for the event `what`. After a failed write, nothing more is written to the file."""
        if self._descriptor is None:
            return
        line = {"at": time.monotonic(), "clock": self._clock(), "pid": os.getpid(), "what": what, **fields}
        try:
            os.write(self._descriptor, json.dumps(line).encode() + b"\n")
        except OSError:
            self._descriptor = None


class EventRecorder:
    """Recorder of one member's events in the history, the counters and the log."""

    def __init__(
        self,
        log: Callable[..., None],
        counters: Counters,
        history: HistoryFile,
        clock: Callable[[], float],
    ) -> None:
        """`log` takes the name of an event and its fields; `clock` limits the rate of some log lines."""
        self.history = history
        self._log = log
        self._counters = counters
        self._clock = clock
        self._rejection_logged_at = float("-inf")
        self._slow_write_logged_at = float("-inf")

    def record(self, event: LeaseEvent) -> None:
        """Record an event in the history and the counters, and in the log if it concerns operators.

        `LOGGED_EVENTS` are logged, and rejected fencing tokens once per `REJECTION_LOG_INTERVAL_S`.
        """
        self.history.write(
            event.kind.value,
            claim=event.lease,
            ticket=event.fencing_token,
            until=event.expires_at,
            why=event.reason,
        )
        self._counters.add(f"fleet_{event.kind.name.lower()}")
        if event.kind in LOGGED_EVENTS or self._is_rejection_to_log(event):
            self._log(
                "fleet",
                what=event.kind.name.lower(),
                lease=event.lease or "-",
                fencing_token=event.fencing_token,
                reason=event.reason or "-",
            )

    def record_slow_write(self, duration_s: float) -> None:
        """Record that a vote was on disk only `duration_s` after its request, later than a round lasts.

        The log has at most one line per `SLOW_WRITE_LOG_INTERVAL_S`.
        """
        self.history.write(SLOW_WRITE, seconds=duration_s)
        self._counters.add("fleet_slow_writes")
        if self._clock() - self._slow_write_logged_at > SLOW_WRITE_LOG_INTERVAL_S:
            self._slow_write_logged_at = self._clock()
            self._log("fleet", what="slow_write", seconds=f"{duration_s:.3f}")

    def _is_rejection_to_log(self, event: LeaseEvent) -> bool:
        if event.kind is not LeaseEventKind.TOKEN_REJECTED:
            return False
        if self._clock() - self._rejection_logged_at <= REJECTION_LOG_INTERVAL_S:
            return False
        self._rejection_logged_at = self._clock()
        return True
