"""The history of a run, as seen from outside: one record an event, and the file that keeps them.

A record says what a process did and when, never what it believes. All times are seconds on one true clock
that the processes of a run share. Files hold a JSON object a line, under the encoded field names given here.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path

import msgspec
from msgspec import Struct, field


class ProcessEvent(StrEnum):
    """What a history records beside the events of leases (`stairhatch.fleet.effects`)."""

    STARTED = "started"
    KILLED = "killed"
    STOPPED = "stopped"  # by SIGSTOP
    RESUMED = "let go on"
    ACTED = "acted"  # under a lease that it had just checked
    DATA_DIRECTORY_CHANGED = "folder"  # deleted, damaged or replaced by an older copy


class HistoryRecord(Struct, frozen=True, omit_defaults=True):
    """One event of one cluster member."""

    at_s: float = field(name="at")
    member: str = field(name="who")
    event: str = field(name="what")  # a `ProcessEvent` or an event of a lease
    start_number: int = field(name="start", default=0)  # counts the starts of this member's process
    lease: str = field(name="claim", default="")
    fencing_token: int = field(name="ticket", default=0)
    until_s: float = field(name="until", default=0.0)  # the lease is held until then unless it ends before
    reason: str = field(name="why", default="")


def write_history(path: Path, records: Iterable[HistoryRecord]) -> None:
    """Write the records, one JSON object a line."""
    encoder = msgspec.json.Encoder()
    path.write_bytes(b"".join(encoder.encode(record) + b"\n" for record in records))


def read_history(path: Path) -> list[HistoryRecord]:
    """Read the records of a file, without the lines that a kill has cut off."""
    decoder = msgspec.json.Decoder(HistoryRecord)
    records = []
    for line in path.read_bytes().split(b"\n"):
        try:
            records.append(decoder.decode(line))
        except msgspec.DecodeError:
            continue
    return records
