"""Codec for the frames between the bench (or a node) and the adapter. Pure: bytes in, records out, and back.

Everything is little-endian and unpadded. A malformed frame raises `WireError`, which says what and where.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import astuple, dataclass, fields
from typing import Any, ClassVar

BATCH_HEADER = struct.Struct("<IIdI")
REPLY_HEADER = struct.Struct("<III")
SERVER_LINE = struct.Struct("<IHBBfdB")


class WireError(ValueError):
    """A frame that does not follow the wire's description."""


class Reader:
    """Walks over one frame's records and names the byte where they stop making sense."""

    def __init__(self, data: bytes, start: int = 0) -> None:
        self.data = data
        self.at = start

    def take(self, form: struct.Struct, what: str) -> tuple[Any, ...]:
        """Unpack one fixed group of fields."""
        end = self.at + form.size
        if end > len(self.data):
            left = len(self.data) - self.at
            raise WireError(f"{what}: needs {form.size} bytes at byte {self.at}, {left} left")
        values = form.unpack_from(self.data, self.at)
        self.at = end
        return values

    def blob(self, size: int, what: str) -> bytes:
        """Cut out counted content."""
        end = self.at + size
        if end > len(self.data):
            left = len(self.data) - self.at
            raise WireError(f"{what}: count of {size} at byte {self.at} overruns the frame, {left} left")
        piece = self.data[self.at : end]
        self.at = end
        return piece


class _Record:
    """A record: a code, a fixed head and perhaps one counted tail. Subclasses list their fields in order."""

    CODE: ClassVar[int]
    HEAD: ClassVar[struct.Struct]
    TAIL: ClassVar[str] = ""  # "" none, else the format of the count
    ITEM: ClassVar[int] = 1  # bytes of one counted item

    @classmethod
    def read(cls, reader: Reader) -> Any:
        """Read the fields that follow the code."""
        values: list[Any] = list(reader.take(cls.HEAD, cls.__name__))
        if cls.TAIL:
            (count,) = reader.take(struct.Struct("<" + cls.TAIL), cls.__name__)
            values.append(cls.unpack_tail(reader.blob(count * cls.ITEM, cls.__name__)))
        return cls(*values)

    @classmethod
    def unpack_tail(cls, body: bytes) -> Any:
        """Turn the counted bytes into a value; most records keep the bytes."""
        return body

    @classmethod
    def pack_tail(cls, value: Any) -> bytes:
        """The reverse of `unpack_tail`."""
        return bytes(value)

    def write(self) -> bytes:
        """The record's bytes, code first."""
        values = [getattr(self, item.name) for item in fields(self)]  # type: ignore[arg-type]
        if not self.TAIL:
            return bytes([self.CODE]) + self.HEAD.pack(*values)
        body = self.pack_tail(values.pop())
        count = struct.pack("<" + self.TAIL, len(body) // self.ITEM)
        return bytes([self.CODE]) + self.HEAD.pack(*values) + count + body


class _Pressure(_Record):
    """Records that end in a load report of f32 values."""

    TAIL: ClassVar[str] = "B"
    ITEM: ClassVar[int] = 4

    @classmethod
    def unpack_tail(cls, body: bytes) -> tuple[float, ...]:
        return struct.unpack(f"<{len(body) // 4}f", body)

    @classmethod
    def pack_tail(cls, value: tuple[float, ...]) -> bytes:
        return struct.pack(f"<{len(value)}f", *value)


# ---- events ----


@dataclass(slots=True)
class Enlist(_Record):
    who: int
    entropy: int
    boot_info: bytes
    CODE: ClassVar[int] = 16
    HEAD: ClassVar[struct.Struct] = struct.Struct("<IQ")
    TAIL: ClassVar[str] = "I"


@dataclass(slots=True)
class RosterChange(_Record):
    who: int
    scope: int
    stamp: int
    ref: int
    CODE: ClassVar[int] = 17
    HEAD: ClassVar[struct.Struct] = struct.Struct("<IBQI")


@dataclass(slots=True)
class Ask(_Record):
    who: int
    txn: int
    type: int
    bits: int
    destination: float
    advised_route: float
    expected_s: float
    customer: int
    grace_s: float
    width: float
    resource: int
    CODE: ClassVar[int] = 18
    HEAD: ClassVar[struct.Struct] = struct.Struct("<IQHHffdIdfQ")


@dataclass(slots=True)
class Accepted(_Record):
    who: int
    txn: int
    n: int
    server: int
    time_taken_s: float
    CODE: ClassVar[int] = 19
    HEAD: ClassVar[struct.Struct] = struct.Struct("<IQHId")


@dataclass(slots=True)
class Outcome(_Pressure):
    who: int
    txn: int
    time_taken_s: float
    cause: int
    done_flag: int
    server: int
    reason: int
    n: int
    pressure: tuple[float, ...]
    CODE: ClassVar[int] = 20
    HEAD: ClassVar[struct.Struct] = struct.Struct("<IQdIBIBH")


@dataclass(slots=True)
class Abandoned(_Record):
    who: int
    txn: int
    CODE: ClassVar[int] = 21
    HEAD: ClassVar[struct.Struct] = struct.Struct("<IQ")


@dataclass(slots=True)
class Ring(_Record):
    who: int
    label: int
    CODE: ClassVar[int] = 22
    HEAD: ClassVar[struct.Struct] = struct.Struct("<II")


@dataclass(slots=True)
class ProbeResult(_Pressure):
    who: int
    reason: int
    time_taken_s: float
    server: int
    pressure: tuple[float, ...]
    CODE: ClassVar[int] = 23
    HEAD: ClassVar[struct.Struct] = struct.Struct("<IBdI")


@dataclass(slots=True)
class Inbox(_Record):
    who: int
    neighbour: int
    body: bytes
    CODE: ClassVar[int] = 24
    HEAD: ClassVar[struct.Struct] = struct.Struct("<IH")
    TAIL: ClassVar[str] = "H"


@dataclass(slots=True)
class Shutdown(_Record):
    who: int
    CODE: ClassVar[int] = 25
    HEAD: ClassVar[struct.Struct] = struct.Struct("<I")


@dataclass(slots=True)
class Entry:
    """One server in an inventory."""

    server: int
    number: int
    availability: int
    region_part: int
    size: float
    up_since_s: float
    shape: int


@dataclass(slots=True)
class Inventory(_Record):
    ref: int
    records: tuple[Entry, ...]
    CODE: ClassVar[int] = 26
    HEAD: ClassVar[struct.Struct] = struct.Struct("<I")
    TAIL: ClassVar[str] = "I"
    ITEM: ClassVar[int] = SERVER_LINE.size

    @classmethod
    def unpack_tail(cls, body: bytes) -> tuple[Entry, ...]:
        return tuple(Entry(*fields) for fields in SERVER_LINE.iter_unpack(body))

    @classmethod
    def pack_tail(cls, value: tuple[Entry, ...]) -> bytes:
        return b"".join(SERVER_LINE.pack(*astuple(entry)) for entry in value)


# ---- actions ----


@dataclass(slots=True)
class Assign(_Record):
    who: int
    txn: int
    server: int
    timeout_s: float
    CODE: ClassVar[int] = 17
    HEAD: ClassVar[struct.Struct] = struct.Struct("<IQId")


@dataclass(slots=True)
class After(_Record):
    who: int
    offset_s: float
    label: int
    CODE: ClassVar[int] = 20
    HEAD: ClassVar[struct.Struct] = struct.Struct("<IdI")


@dataclass(slots=True)
class Log(_Record):
    who: int
    text: bytes
    CODE: ClassVar[int] = 21
    HEAD: ClassVar[struct.Struct] = struct.Struct("<I")
    TAIL: ClassVar[str] = "H"


@dataclass(slots=True)
class GiveUp(_Record):
    who: int
    txn: int
    CODE: ClassVar[int] = 23
    HEAD: ClassVar[struct.Struct] = struct.Struct("<IQ")


@dataclass(slots=True)
class OverloadReply(_Record):
    who: int
    txn: int
    come_back_s: float
    CODE: ClassVar[int] = 24
    HEAD: ClassVar[struct.Struct] = struct.Struct("<IQd")


@dataclass(slots=True)
class Panic(_Record):
    who: int
    text: bytes
    CODE: ClassVar[int] = 27
    HEAD: ClassVar[struct.Struct] = struct.Struct("<I")
    TAIL: ClassVar[str] = "H"


EVENTS: tuple[type[_Record], ...] = (
    Enlist, RosterChange, Ask, Accepted, Outcome, Abandoned, Ring, ProbeResult, Inbox, Shutdown, Inventory,
)  # fmt: skip
ACTIONS: tuple[type[_Record], ...] = (Assign, After, Log, GiveUp, OverloadReply, Panic)
_EVENT_BY_CODE = {record.CODE: record for record in EVENTS}
_ACTION_BY_CODE = {record.CODE: record for record in ACTIONS}


@dataclass(slots=True)
class Batch:
    """One frame of events."""

    number: int
    clock: float
    records: list[Any]


@dataclass(slots=True)
class Reply:
    """One frame of actions."""

    number: int
    records: list[Any]


def _records(body: bytes, count: int, by_code: dict[int, type[_Record]]) -> list[Any]:
    """Read exactly `count` records that fill exactly `body`."""
    reader = Reader(body)
    found = []
    for index in range(count):
        start = reader.at
        (code,) = reader.take(struct.Struct("<B"), f"record {index}")
        record = by_code.get(code)
        if record is None:
            raise WireError(f"record {index}: unknown code {code} at byte {start}")
        found.append(record.read(reader))
    if reader.at != len(body):
        raise WireError(f"{len(body) - reader.at} bytes left over after record {count - 1}")
    return found


def _frame_records(number: int, body: bytes, count: int, by_code: dict[int, type[_Record]]) -> list[Any]:
    """The records of one frame; an error names the frame."""
    try:
        return _records(body, count, by_code)
    except WireError as error:
        raise WireError(f"frame {number}: {error}") from None


def read_batch(read: Callable[[int], bytes]) -> Batch | None:
    """Read one batch by `read(n)`; None at a clean end of input."""
    head = _exactly(read, BATCH_HEADER.size, "batch header", may_end=True)
    if not head:
        return None
    number, size, clock, count = BATCH_HEADER.unpack(head)
    body = _exactly(read, size, f"body of batch {number}")
    return Batch(number, clock, _frame_records(number, body, count, _EVENT_BY_CODE))


def read_reply(read: Callable[[int], bytes]) -> Reply | None:
    """Read one reply, as the other side of the wire would."""
    head = _exactly(read, REPLY_HEADER.size, "reply header", may_end=True)
    if not head:
        return None
    number, size, count = REPLY_HEADER.unpack(head)
    body = _exactly(read, size, f"body of reply {number}")
    return Reply(number, _frame_records(number, body, count, _ACTION_BY_CODE))


def _exactly(read: Callable[[int], bytes], size: int, what: str, may_end: bool = False) -> bytes:
    """Read `size` bytes, or say that the input ended inside a frame."""
    pieces: list[bytes] = []
    missing = size
    while missing:
        piece = read(missing)
        if not piece:
            if may_end and missing == size:
                return b""
            raise WireError(f"input ended inside the {what}: {size - missing} of {size} bytes came")
        pieces.append(piece)
        missing -= len(piece)
    return b"".join(pieces)


def batch_bytes(batch: Batch) -> bytes:
    """The bytes of a batch."""
    body = b"".join(record.write() for record in batch.records)
    return BATCH_HEADER.pack(batch.number, len(body), batch.clock, len(batch.records)) + body


def reply_bytes(reply: Reply) -> bytes:
    """The bytes of a reply."""
    body = b"".join(record.write() for record in reply.records)
    return REPLY_HEADER.pack(reply.number, len(body), len(reply.records)) + body
