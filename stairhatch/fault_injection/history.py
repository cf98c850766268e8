"""What happened in a run, from outside: owns the form of one line, in true time that all processes of a run
share, and how it is kept. It must never hold what a process believes at the end, only what it did and when.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec
from msgspec import Struct


class Line(Struct, frozen=True, omit_defaults=True):
    """One thing that happened. Times in seconds of the run's own clock."""

    at: float
    who: str
    what: str  # of `effects.What`, or: started, killed, stopped, let go on, acted
    start: int = 0  # which start of this process
    claim: str = ""
    ticket: int = 0
    until: float = 0.0  # held until then unless something comes first
    holder: str = ""
    why: str = ""


def write(path: Path, lines: Iterable[Line]) -> None:
    """Keep them, one JSON object a line."""
    encoder = msgspec.json.Encoder()
    path.write_bytes(b"".join(encoder.encode(line) + b"\n" for line in lines))


def read(path: Path) -> list[Line]:
    """Take them from a file; a last line that was cut off by a kill is left out."""
    decoder, found = msgspec.json.Decoder(Line), []
    for text in path.read_bytes().split(b"\n"):
        try:
            found.append(decoder.decode(text))
        except msgspec.DecodeError:
            continue
    return found
