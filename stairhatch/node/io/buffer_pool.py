"""Buffers of one size, used again."""

from __future__ import annotations

BUFFER_BYTES = 16 * 1024


class Pool:
    """Buffers of one size, used again."""

    def __init__(self, most: int = 64) -> None:
        self.free: list[bytearray] = []
        self.most = most

    def take(self) -> bytearray:
        return self.free.pop() if self.free else bytearray(BUFFER_BYTES)

    def give(self, buffer: bytearray) -> None:
        if len(self.free) < self.most:
            self.free.append(buffer)
