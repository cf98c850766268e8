"""The history of a run: one record for each event of a cluster member, and the file format of the records.

A record contains an observable event and its time, not a member's view of other members. All times are
seconds on one reference clock, common to all processes of a run. A history file has one JSON object per line,
with the encoded field names of `HistoryRecord`.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path

import msgspec
from msgspec import Struct, field


class ProcessEvent(StrEnum):
    """Events of a process. The events of leases are `LeaseEventKind` of `stairhatch.fleet.effects`."""

    STARTED = "started"
    KILLED = "killed"
    STOPPED = "stopped"  # by SIGSTOP
    RESUMED = "let go on"  # by SIGCONT
    ACTED = "acted"  # did work under a lease, after checking it
    DATA_DIRECTORY_CHANGED = "folder"  # deleted, damaged or replaced by an older copy


class HistoryRecord(Struct, frozen=True, omit_defaults=True):
    """One event of one cluster member."""

    at_s: float = field(name="at")
    member: str = field(name="who")
    event: str = field(name="what")  # value of a `ProcessEvent` or a `LeaseEventKind`
    start_number: int = field(name="start", default=0)  # 1 for the first start of the member's process
    lease: str = field(name="claim", default="")
    fencing_token: int = field(name="ticket", default=0)
    until_s: float = field(name="until", default=0.0)  # expiry of the lease unless it ends earlier
    reason: str = field(name="why", default="")


def write_history(path: Path, records: Iterable[HistoryRecord]) -> None:
    """Write the records to a file, one JSON object per line."""
    encoder = msgspec.json.Encoder()
    path.write_bytes(b"".join(encoder.encode(record) + b"\n" for record in records))


def read_history(path: Path) -> list[HistoryRecord]:
    """Return the records of a file, except for lines that a kill has truncated."""
    decoder = msgspec.json.Decoder(HistoryRecord)
    records = []
    for line in path.read_bytes().split(b"\n"):
        try:
            records.append(decoder.decode(line))
        except msgspec.DecodeError:
            continue
    return records
