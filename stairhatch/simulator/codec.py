"""Codec of the simulator's binary frames: batches of events and replies with actions. It does no I/O itself.

A frame consists of a header and a counted sequence of `records`. A malformed frame raises `CodecError` with
the fault and its position.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass

from stairhatch.simulator.frame_reader import CodecError, FrameReader
from stairhatch.simulator.records import ACTION_RECORDS, EVENT_RECORDS, RECORD_CODE, WireRecord

BATCH_HEADER = struct.Struct("<IIdI")  # frame number, body size in bytes, clock, record count
REPLY_HEADER = struct.Struct("<III")  # frame number, body size in bytes, record count

ReadBytes = Callable[[int], bytes]  # returns up to the given number of bytes, b"" at the end of input


@dataclass(slots=True)
class EventBatch:
    """A frame of events that all happen at the time `clock`, in seconds."""

    number: int
    clock: float
    records: list[WireRecord]


@dataclass(slots=True)
class ActionReply:
    """A frame of actions: the reply to the batch with the same number."""

    number: int
    records: list[WireRecord]


def read_batch(read: ReadBytes) -> EventBatch | None:
    """Read one batch; None if the input ends before it. Raises CodecError if it is malformed or truncated."""
    header = _read_exactly(read, BATCH_HEADER.size, "batch header", may_end=True)
    if not header:
        return None
    number, size, clock, count = BATCH_HEADER.unpack(header)
    body = _read_exactly(read, size, f"body of batch {number}")
    return EventBatch(number, clock, _decode_frame(number, body, count, EVENT_RECORDS))


def read_reply(read: ReadBytes) -> ActionReply | None:
    """Read one reply, as the simulator does; None and CodecError as in `read_batch`."""
    header = _read_exactly(read, REPLY_HEADER.size, "reply header", may_end=True)
    if not header:
        return None
    number, size, count = REPLY_HEADER.unpack(header)
    body = _read_exactly(read, size, f"body of reply {number}")
    return ActionReply(number, _decode_frame(number, body, count, ACTION_RECORDS))


def encode_batch(batch: EventBatch) -> bytes:
    """Return the frame of a batch: header and records."""
    body = b"".join([record.encode() for record in batch.records])
    return BATCH_HEADER.pack(batch.number, len(body), batch.clock, len(batch.records)) + body


def encode_reply(reply: ActionReply) -> bytes:
    """Return the frame of a reply: header and records."""
    body = b"".join([record.encode() for record in reply.records])
    return REPLY_HEADER.pack(reply.number, len(body), len(reply.records)) + body


def _decode_frame(
    number: int, body: bytes, count: int, record_types: dict[int, type[WireRecord]]
) -> list[WireRecord]:
    """Return the records of a frame. Raises CodecError with the frame's number if the body is malformed."""
    try:
        return _decode_records(body, count, record_types)
    except CodecError as error:
        raise CodecError(f"frame {number}: {error}") from error


def _decode_records(body: bytes, count: int, record_types: dict[int, type[WireRecord]]) -> list[WireRecord]:
    """Return `count` records that fill the body exactly; CodecError if they do not."""
    reader = FrameReader(body)
    records = []
    for index in range(count):
        start = reader.position
        (code,) = reader.unpack(RECORD_CODE, f"record {index}")
        record_type = record_types.get(code)
        if record_type is None:
            raise CodecError(f"record {index}: unknown code {code} at byte {start}")
        records.append(record_type.read(reader))
    if reader.position != len(body):
        raise CodecError(f"{len(body) - reader.position} bytes left over after record {count - 1}")
    return records


def _read_exactly(read: ReadBytes, size: int, what: str, may_end: bool = False) -> bytes:
    """Read `size` bytes; CodecError if the input ends early. With `may_end`, return b"" if none is left."""
    pieces: list[bytes] = []
    missing = size
    while missing:
        piece = read(missing)
        if not piece:
            if may_end and missing == size:
                return b""
            raise CodecError(f"input ended inside the {what}: received {size - missing} of {size} bytes")
        pieces.append(piece)
        missing -= len(piece)
    return b"".join(pieces)
