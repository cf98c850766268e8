"""The simulator's binary frames: events in, actions out. Bytes to typed records and back, without I/O.

A frame is a header and a counted sequence of records; a record is a one-byte code, fixed fields and at most
one counted tail. Everything is little-endian and unpadded. Each record class here gives the wire's own name
of the event or action that it stands for. A malformed frame raises `CodecError`, which says what is wrong and
where. Times are seconds.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import astuple, dataclass, fields
from typing import Any, ClassVar, Self

BATCH_HEADER = struct.Struct("<IIdI")  # number, bytes that follow, clock, count of records
REPLY_HEADER = struct.Struct("<III")  # number, bytes that follow, count of records
INVENTORY_ENTRY = struct.Struct("<IHBBfdB")
RECORD_CODE = struct.Struct("<B")
COUNT_U8 = struct.Struct("<B")
COUNT_U16 = struct.Struct("<H")
COUNT_U32 = struct.Struct("<I")
FLOAT_BYTES = 4  # one value of a load report, an f32

ReadBytes = Callable[[int], bytes]  # up to so many bytes; b"" at the end of input


class CodecError(ValueError):
    """A frame that does not follow the wire's description."""


class FrameReader:
    """A cursor over one frame's body; errors name the byte where the records stop making sense."""

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


@dataclass(slots=True)
class WireRecord:
    """A record: a code, fixed fields and perhaps one counted tail.

    Subclasses list their fields in the wire's order, the tail last.
    """

    CODE: ClassVar[int]
    FIXED: ClassVar[struct.Struct]  # the fixed fields
    TAIL_COUNT: ClassVar[struct.Struct | None] = None  # of the tail's items; None: no tail
    TAIL_ITEM_BYTES: ClassVar[int] = 1

    @classmethod
    def read(cls, reader: FrameReader) -> Self:
        """Read the fields that follow the code. CodecError where the frame ends inside them."""
        build: Callable[..., Self] = cls
        values = reader.unpack(cls.FIXED, cls.__name__)
        if cls.TAIL_COUNT is None:
            return build(*values)
        (count,) = reader.unpack(cls.TAIL_COUNT, cls.__name__)
        tail = reader.read_bytes(count * cls.TAIL_ITEM_BYTES, cls.__name__)
        return build(*values, cls.decode_tail(tail))

    @classmethod
    def decode_tail(cls, tail: bytes) -> Any:
        """The value of the counted bytes; most records keep the bytes."""
        return tail

    @classmethod
    def encode_tail(cls, value: Any) -> bytes:
        """The reverse of `decode_tail`."""
        return bytes(value)

    def encode(self) -> bytes:
        """The record's bytes, code first."""
        values = [getattr(self, each.name) for each in fields(self)]
        code = RECORD_CODE.pack(self.CODE)
        if self.TAIL_COUNT is None:
            return code + self.FIXED.pack(*values)
        tail = self.encode_tail(values.pop())
        count = self.TAIL_COUNT.pack(len(tail) // self.TAIL_ITEM_BYTES)
        return code + self.FIXED.pack(*values) + count + tail


@dataclass(slots=True)
class InstanceRecord(WireRecord):
    """A record that concerns one instance, which its first field names."""

    instance_id: int


@dataclass(slots=True)
class LoadReportTailRecord(InstanceRecord):
    """A record that ends in a load report: the values of the settings' `load_report.names`, in order."""

    TAIL_COUNT: ClassVar[struct.Struct | None] = COUNT_U8
    TAIL_ITEM_BYTES: ClassVar[int] = FLOAT_BYTES

    @classmethod
    def decode_tail(cls, tail: bytes) -> tuple[float, ...]:
        """The values of the report."""
        return struct.unpack(f"<{len(tail) // FLOAT_BYTES}f", tail)

    @classmethod
    def encode_tail(cls, value: tuple[float, ...]) -> bytes:
        """The bytes of the report's values."""
        return struct.pack(f"<{len(value)}f", *value)


# ---- events ----


@dataclass(slots=True)
class InstanceStartedRecord(InstanceRecord):
    """Event `enlist`: an instance starts, with its settings as JSON and the seed of its random numbers."""

    seed: int
    settings_json: bytes
    CODE: ClassVar[int] = 16
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IQ")
    TAIL_COUNT: ClassVar[struct.Struct | None] = COUNT_U32


@dataclass(slots=True)
class InstanceStoppedRecord(InstanceRecord):
    """Event `shutdown`: an instance ended; all that it held is void."""

    CODE: ClassVar[int] = 25
    FIXED: ClassVar[struct.Struct] = struct.Struct("<I")


@dataclass(slots=True)
class EndpointsUpdatedRecord(InstanceRecord):
    """Event `roster_change`: the server list changed; `extent` says how much of it the inventory holds."""

    extent: int
    version: int
    inventory_id: int
    CODE: ClassVar[int] = 17
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IBQI")


@dataclass(slots=True)
class CallOfferedRecord(InstanceRecord):
    """Event `ask`: a call is offered to this instance."""

    call_id: int
    class_index: int
    flags: int
    destination: float
    advised_route: float
    expected_work_s: float
    tenant_index: int
    caller_timeout_s: float
    circuits: float
    called_number: int
    CODE: ClassVar[int] = 18
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IQHHffdIdfQ")


@dataclass(slots=True)
class CallEstablishedRecord(InstanceRecord):
    """Event `accepted`: the call is established at a server."""

    call_id: int
    attempt_index: int
    server_id: int
    elapsed_s: float
    CODE: ClassVar[int] = 19
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IQHId")


@dataclass(slots=True)
class AttemptEndedRecord(LoadReportTailRecord):
    """Event `outcome`: how an attempt ended. `answered` is set once the caller has had a final answer."""

    call_id: int
    elapsed_s: float
    cause: int
    answered: int
    server_id: int
    outcome: int
    attempt_index: int
    load_report: tuple[float, ...]
    CODE: ClassVar[int] = 20
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IQdIBIBH")


@dataclass(slots=True)
class CallAbandonedRecord(InstanceRecord):
    """Event `abandoned`: the caller left; no answer is owed any more."""

    call_id: int
    CODE: ClassVar[int] = 21
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IQ")


@dataclass(slots=True)
class TimerExpiredRecord(InstanceRecord):
    """Event `ring`: a timer that the instance set is due."""

    timer_id: int
    CODE: ClassVar[int] = 22
    FIXED: ClassVar[struct.Struct] = struct.Struct("<II")


@dataclass(slots=True)
class LoadReportedRecord(LoadReportTailRecord):
    """Event `probe_result`: the answer to a health check, or, with a time of 0, an unsolicited report."""

    outcome: int
    elapsed_s: float
    server_id: int
    load_report: tuple[float, ...]
    CODE: ClassVar[int] = 23
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IBdI")


@dataclass(slots=True)
class PeerMessageRecord(InstanceRecord):
    """Event `inbox`: a message from another instance."""

    peer_id: int
    body: bytes
    CODE: ClassVar[int] = 24
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IH")
    TAIL_COUNT: ClassVar[struct.Struct | None] = COUNT_U16


@dataclass(slots=True)
class InventoryEntry:
    """One server of an inventory."""

    server_id: int
    number: int
    availability: int
    zone_index: int
    weight: float
    started_at: float
    hardware_index: int


@dataclass(slots=True)
class InventoryRecord(WireRecord):
    """Event `inventory`: a numbered server list, shared by all instances of the process."""

    inventory_id: int
    entries: tuple[InventoryEntry, ...]
    CODE: ClassVar[int] = 26
    FIXED: ClassVar[struct.Struct] = struct.Struct("<I")
    TAIL_COUNT: ClassVar[struct.Struct | None] = COUNT_U32
    TAIL_ITEM_BYTES: ClassVar[int] = INVENTORY_ENTRY.size

    @classmethod
    def decode_tail(cls, tail: bytes) -> tuple[InventoryEntry, ...]:
        """The entries."""
        return tuple(InventoryEntry(*values) for values in INVENTORY_ENTRY.iter_unpack(tail))

    @classmethod
    def encode_tail(cls, value: tuple[InventoryEntry, ...]) -> bytes:
        """The bytes of the entries."""
        return b"".join(INVENTORY_ENTRY.pack(*astuple(entry)) for entry in value)


# ---- actions ----


@dataclass(slots=True)
class SendSetupRecord(InstanceRecord):
    """Action `assign`: send a set-up to a server. `timeout_s` 0: until the caller gives up."""

    call_id: int
    server_id: int
    timeout_s: float
    CODE: ClassVar[int] = 17
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IQId")


@dataclass(slots=True)
class SetTimerRecord(InstanceRecord):
    """Action `after`: ask for a timer."""

    delay_s: float
    timer_id: int
    CODE: ClassVar[int] = 20
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IdI")


@dataclass(slots=True)
class LogMessageRecord(InstanceRecord):
    """Action `log`: a line for the simulator's report, as UTF-8."""

    text: bytes
    CODE: ClassVar[int] = 21
    FIXED: ClassVar[struct.Struct] = struct.Struct("<I")
    TAIL_COUNT: ClassVar[struct.Struct | None] = COUNT_U16


@dataclass(slots=True)
class FailCallRecord(InstanceRecord):
    """Action `give_up`: the final answer is that the call failed."""

    call_id: int
    CODE: ClassVar[int] = 23
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IQ")


@dataclass(slots=True)
class RejectCallRecord(InstanceRecord):
    """Action `overload_reply`: the final answer is a rejection. `retry_after_s` 0: no advice."""

    call_id: int
    retry_after_s: float
    CODE: ClassVar[int] = 24
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IQd")


@dataclass(slots=True)
class ControllerFailedRecord(InstanceRecord):
    """Action `panic`: the decisions raised an exception, whose text this is, as UTF-8."""

    text: bytes
    CODE: ClassVar[int] = 27
    FIXED: ClassVar[struct.Struct] = struct.Struct("<I")
    TAIL_COUNT: ClassVar[struct.Struct | None] = COUNT_U16


# Events and actions number their codes apart: one code may stand in both tables.
EVENT_RECORDS: dict[int, type[WireRecord]] = {
    record.CODE: record
    for record in (
        InstanceStartedRecord,
        InstanceStoppedRecord,
        EndpointsUpdatedRecord,
        CallOfferedRecord,
        CallEstablishedRecord,
        AttemptEndedRecord,
        CallAbandonedRecord,
        TimerExpiredRecord,
        LoadReportedRecord,
        PeerMessageRecord,
        InventoryRecord,
    )
}
ACTION_RECORDS: dict[int, type[WireRecord]] = {
    record.CODE: record
    for record in (
        SendSetupRecord,
        SetTimerRecord,
        LogMessageRecord,
        FailCallRecord,
        RejectCallRecord,
        ControllerFailedRecord,
    )
}


@dataclass(slots=True)
class EventBatch:
    """One frame of events, all at the time `clock`."""

    number: int
    clock: float
    records: list[WireRecord]


@dataclass(slots=True)
class ActionReply:
    """One frame of actions: the reply to the batch of the same number."""

    number: int
    records: list[WireRecord]


def read_batch(read: ReadBytes) -> EventBatch | None:
    """Read one batch; None at a clean end of input. CodecError where it is malformed or cut off."""
    header = _read_exactly(read, BATCH_HEADER.size, "batch header", may_end=True)
    if not header:
        return None
    number, size, clock, count = BATCH_HEADER.unpack(header)
    body = _read_exactly(read, size, f"body of batch {number}")
    return EventBatch(number, clock, _decode_frame(number, body, count, EVENT_RECORDS))


def read_reply(read: ReadBytes) -> ActionReply | None:
    """Read one reply, as the simulator does. None and CodecError as with `read_batch`."""
    header = _read_exactly(read, REPLY_HEADER.size, "reply header", may_end=True)
    if not header:
        return None
    number, size, count = REPLY_HEADER.unpack(header)
    body = _read_exactly(read, size, f"body of reply {number}")
    return ActionReply(number, _decode_frame(number, body, count, ACTION_RECORDS))


def encode_batch(batch: EventBatch) -> bytes:
    """The bytes of a batch."""
    body = b"".join([record.encode() for record in batch.records])
    return BATCH_HEADER.pack(batch.number, len(body), batch.clock, len(batch.records)) + body


def encode_reply(reply: ActionReply) -> bytes:
    """The bytes of a reply."""
    body = b"".join([record.encode() for record in reply.records])
    return REPLY_HEADER.pack(reply.number, len(body), len(reply.records)) + body


def _decode_frame(
    number: int, body: bytes, count: int, record_types: dict[int, type[WireRecord]]
) -> list[WireRecord]:
    """The records of one frame; an error names the frame."""
    try:
        return _decode_records(body, count, record_types)
    except CodecError as error:
        raise CodecError(f"frame {number}: {error}") from error


def _decode_records(body: bytes, count: int, record_types: dict[int, type[WireRecord]]) -> list[WireRecord]:
    """Decode exactly `count` records that fill exactly `body`."""
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
    """Read `size` bytes; b"" at a clean end where that is allowed. CodecError where the input ends inside."""
    pieces: list[bytes] = []
    missing = size
    while missing:
        piece = read(missing)
        if not piece:
            if may_end and missing == size:
                return b""
            raise CodecError(f"input ended inside the {what}: {size - missing} of {size} bytes came")
        pieces.append(piece)
        missing -= len(piece)
    return b"".join(pieces)
