"""What happened in a run, from outside: owns the form of one line, in true time that all processes of a run
share, and how it is kept. It must never hold what a process believes at the end, only what it did and when.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec
from msgspec import Struct, field


class HistoryRecord(Struct, frozen=True, omit_defaults=True):
    """One thing that happened. Times in seconds of the run's own clock."""

    at_s: float = field(name="at")
    member: str = field(name="who")
    event: str = field(name="what")  # of `effects.What`, or: started, killed, stopped, let go on, acted
    start_number: int = field(name="start", default=0)  # which start of this process
    lease: str = field(name="claim", default="")
    fencing_token: int = field(name="ticket", default=0)
    until_s: float = field(name="until", default=0.0)  # held until then unless something comes first
    reason: str = field(name="why", default="")


def write_history(path: Path, lines: Iterable[HistoryRecord]) -> None:
    """Keep them, one JSON object a line."""
    encoder = msgspec.json.Encoder()
    path.write_bytes(b"".join(encoder.encode(line) + b"\n" for line in lines))


def read_history(path: Path) -> list[HistoryRecord]:
    """Take them from a file; a last line that was cut off by a kill is left out."""
    decoder, found = msgspec.json.Decoder(HistoryRecord), []
    for text in path.read_bytes().split(b"\n"):
        try:
            found.append(decoder.decode(text))
        except msgspec.DecodeError:
            continue
    return found
