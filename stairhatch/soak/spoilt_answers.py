"""Spoils the answers of an emulated roster server on their way to the softswitch."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any, Protocol

from stairhatch.emulators.server_emulator import Message

PIECE_BYTES, PIECE_PAUSE_S = 7, 0.002
LATE_ANSWER_RANGE_S = (0.2, 0.6)  # the range of the delay of a late answer
DUPLICATE_WITHIN_S = 0.05  # a duplicate follows its answer within this time
TAG_BITS = 64


class SpoiltLink(Protocol):
    """Protocol of a connection on which a spoilt answer is sent."""

    def write(self, data: bytes) -> None:
        """Write raw bytes, which need not be a complete line."""

    def reset(self) -> None:
        """End the connection with a TCP reset."""


def encode_line(message: Message) -> bytes:
    """Return the line of JSON that carries a message on the connection."""
    return json.dumps(message).encode() + b"\n"


def spoil(kind: str, link: SpoiltLink, answer: Message, call_later: Callable[..., Any]) -> None:
    """Send an answer spoilt in one of the ways in `SPOILT_KINDS` of schedule.py.

    `call_later(delay_s, callback, *arguments)` schedules a callback after a delay in seconds.
    """
    line = encode_line(answer)
    match kind:
        case "noise":
            link.write(b"\x00\xfe noise " + line)
        case "twice":
            link.write(line)
            call_later(random.uniform(0.0, DUPLICATE_WITHIN_S), link.write, line)
        case "late":
            call_later(random.uniform(*LATE_ANSWER_RANGE_S), link.write, line)
        case "pieces":
            for start in range(0, len(line), PIECE_BYTES):
                call_later(PIECE_PAUSE_S * start / PIECE_BYTES, link.write, line[start : start + PIECE_BYTES])
        case "cut off":
            link.write(line[: len(line) // 2])
            call_later(0.001, link.reset)
        case _:
            link.write(encode_line({**answer, "tag": f"{random.getrandbits(TAG_BITS):016x}"}))
            link.write(line)
