"""What a member writes down of its leases: the log's lines, the counters of events, and the history file.

The history is for whoever checks a run from outside; its words are those of `LeaseEventKind` and stay as they
are.
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
REJECTION_LOG_INTERVAL_S = 1.0  # a rejected fencing token is logged so often at the most
FILE_MODE = 0o644


class HistoryFile:
    """What this process did, one JSON object a line; nothing where no path is given."""

    def __init__(self, path: Path | None, clock: Callable[[], float]) -> None:
        """OSError: the file can't be opened. `clock` is the one that leases go by."""
        self._clock = clock
        self._descriptor: int | None = None
        if path is not None:
            self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, FILE_MODE)

    def write(self, what: str, **fields: object) -> None:
        """A line. A file that takes none is written no further."""
        if self._descriptor is None:
            return
        line = {"at": time.monotonic(), "clock": self._clock(), "pid": os.getpid(), "what": what, **fields}
        try:
            os.write(self._descriptor, json.dumps(line).encode() + b"\n")
        except OSError:
            self._descriptor = None


class EventRecorder:
    """Writes down the events of one member."""

    def __init__(
        self,
        log: Callable[..., None],
        counters: Counters,
        history: HistoryFile,
        clock: Callable[[], float],
    ) -> None:
        """`log` takes an event's name and its fields."""
        self.history = history
        self._log = log
        self._counters = counters
        self._clock = clock
        self._rejection_logged_at = float("-inf")

    def record(self, event: LeaseEvent) -> None:
        """Put an event into the history, the counters and, where it is one for operators, the log."""
        self.history.write(
            event.kind.value,
            claim=event.lease,
            ticket=event.fencing_token,
            until=event.expires_at,
            why=event.reason,
        )
        self._counters.add(f"fleet_{event.kind.name.lower()}")
        if event.kind in LOGGED_EVENTS or self._is_rejection_due(event):
            self._log(
                "fleet",
                what=event.kind.name.lower(),
                lease=event.lease or "-",
                fencing_token=event.fencing_token,
                reason=event.reason or "-",
            )

    def _is_rejection_due(self, event: LeaseEvent) -> bool:
        if event.kind is not LeaseEventKind.TOKEN_REJECTED:
            return False
        if self._clock() - self._rejection_logged_at <= REJECTION_LOG_INTERVAL_S:
            return False
        self._rejection_logged_at = self._clock()
        return True
