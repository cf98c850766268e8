"""Cursor over the body of a simulator frame, and the error for a malformed frame."""

from __future__ import annotations

import struct
from typing import Any


class CodecError(ValueError):
    """A frame violates the description of the wire format."""


class FrameReader:
    """Cursor over the body of a frame; its errors give the byte at which the body cannot be read."""

    def __init__(self, data: bytes) -> None:
        """Place the cursor at the first byte of `data`, the body."""
        self.data = data
        self.position = 0

    def unpack(self, form: struct.Struct, what: str) -> tuple[Any, ...]:
        """Return the fields of `form` at the cursor; CodecError, naming `what`, if the frame is too short."""
        end = self.position + form.size
        if end > len(self.data):
            left = len(self.data) - self.position
            raise CodecError(
                f"{what}: needs {form.size} bytes at byte {self.position}, the frame has {left} left"
            )
        values = form.unpack_from(self.data, self.position)
        self.position = end
        return values

    def read_bytes(self, size: int, what: str) -> bytes:
        """Return the next `size` bytes. Raises CodecError, naming `what`, if the frame has fewer."""
        end = self.position + size
        if end > len(self.data):
            left = len(self.data) - self.position
            raise CodecError(
                f"{what}: count of {size} bytes at byte {self.position} overruns the frame with {left} left"
            )
        content = self.data[self.position : end]
        self.position = end
        return content
