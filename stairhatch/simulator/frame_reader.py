"""A cursor over the body of one of the simulator's frames, and the error for a malformed one."""

from __future__ import annotations

import struct
from typing import Any


class CodecError(ValueError):
    """A frame that does not follow the wire's description."""


class FrameReader:
    """A cursor over one frame's body; errors name the byte from which it cannot be read."""

    def __init__(self, data: bytes) -> None:
        """Begin at the body's first byte."""
        self.data = data
        self.position = 0

    def unpack(self, form: struct.Struct, what: str) -> tuple[Any, ...]:
        """Unpack one fixed group of fields. CodecError, which names `what`, where the frame is too short."""
        end = self.position + form.size
        if end > len(self.data):
            left = len(self.data) - self.position
            raise CodecError(f"{what}: needs {form.size} bytes at byte {self.position}, {left} left")
        values = form.unpack_from(self.data, self.position)
        self.position = end
        return values

    def read_bytes(self, size: int, what: str) -> bytes:
        """Cut out counted content. CodecError, which names `what`, where the count overruns the frame."""
        end = self.position + size
        if end > len(self.data):
            left = len(self.data) - self.position
            raise CodecError(
                f"{what}: count of {size} at byte {self.position} overruns the frame, {left} left"
            )
        content = self.data[self.position : end]
        self.position = end
        return content
