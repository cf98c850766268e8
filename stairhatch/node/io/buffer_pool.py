"""Receive buffers of one size, kept for use by the next reader."""

from __future__ import annotations

BUFFER_BYTES = 16 * 1024
MAX_FREE_BUFFERS = 64


class BufferPool:
    """Buffers of `BUFFER_BYTES`. Any number may be in use; at most `max_free` are kept unused."""

    def __init__(self, max_free: int = MAX_FREE_BUFFERS) -> None:
        """Start without buffers: each is made when it is first needed."""
        self.free: list[bytearray] = []
        self.max_free = max_free

    def acquire(self) -> bytearray:
        """A buffer of undefined content; the caller gives it back by `release`."""
        return self.free.pop() if self.free else bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        """Take back a buffer that nobody reads any more."""
        if len(self.free) < self.max_free:
            self.free.append(buffer)
