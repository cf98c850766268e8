"""Good answers of an emulated roster server that do not arrive as they should."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any, Protocol

from stairhatch.emulators.server_emulator import Message

PIECE_BYTES, PIECE_PAUSE_S = 7, 0.002
LATE_S = (0.2, 0.6)
SECOND_WITHIN_S = 0.05
TAG_BITS = 64


class SpoiltLink(Protocol):
    """The connection that an answer goes on."""

    def write(self, data: bytes) -> None:
        """Write bytes that may be no complete line."""

    def reset(self) -> None:
        """Reset the connection."""


def encode_line(message: Message) -> bytes:
    """Return a message as it is written."""
    return json.dumps(message).encode() + b"\n"


def spoil(kind: str, link: SpoiltLink, answer: Message, later: Callable[..., Any]) -> None:
    """Write an answer spoilt in a way (`SPOILT_KINDS`); `later` calls back after so many seconds."""
    line = encode_line(answer)
    match kind:
        case "noise":
            link.write(b"\x00\xfe noise " + line)
        case "twice":
            link.write(line)
            later(random.uniform(0.0, SECOND_WITHIN_S), link.write, line)
        case "late":
            later(random.uniform(*LATE_S), link.write, line)
        case "pieces":
            for start in range(0, len(line), PIECE_BYTES):
                later(PIECE_PAUSE_S * start / PIECE_BYTES, link.write, line[start : start + PIECE_BYTES])
        case "cut off":
            link.write(line[: len(line) // 2])
            later(0.001, link.reset)
        case _:
            link.write(encode_line({**answer, "tag": f"{random.getrandbits(TAG_BITS):016x}"}))
            link.write(line)
