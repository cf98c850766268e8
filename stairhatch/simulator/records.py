"""Records of the simulator's wire format: its events and actions, with their codes and field layouts.

A record consists of a one-byte code, fixed fields and at most one counted tail, little-endian and unpadded.
The docstring of each class gives the name that the wire description has for the event or action. Times are
seconds.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import astuple, dataclass, fields
from typing import Any, ClassVar, Self

from stairhatch.simulator.frame_reader import FrameReader

INVENTORY_ENTRY = struct.Struct("<IHBBfdB")
RECORD_CODE = struct.Struct("<B")
COUNT_U8 = struct.Struct("<B")
COUNT_U16 = struct.Struct("<H")
COUNT_U32 = struct.Struct("<I")
FLOAT_BYTES = 4  # size of a load report value, an f32


@dataclass(slots=True)
class WireRecord:
    """Base class of all records: a code, fixed fields and an optional counted tail.

    Subclasses declare their fields in the order of the wire, the tail last.
    """

    CODE: ClassVar[int]
    FIXED: ClassVar[struct.Struct]  # layout of the fixed fields
    TAIL_COUNT: ClassVar[struct.Struct | None] = None  # layout of the tail's item count; None: no tail
    TAIL_ITEM_BYTES: ClassVar[int] = 1

    @classmethod
    def read(cls, reader: FrameReader) -> Self:
        """Return the record from the fields after its code. CodecError if the frame ends within them."""
        build: Callable[..., Self] = cls
        values = reader.unpack(cls.FIXED, cls.__name__)
        if cls.TAIL_COUNT is None:
            return build(*values)
        (count,) = reader.unpack(cls.TAIL_COUNT, cls.__name__)
        tail = reader.read_bytes(count * cls.TAIL_ITEM_BYTES, cls.__name__)
        return build(*values, cls.decode_tail(tail))

    @classmethod
    def decode_tail(cls, tail: bytes) -> Any:
        """Return the tail field's value from the tail's bytes; this base method returns the bytes."""
        return tail

    @classmethod
    def encode_tail(cls, value: Any) -> bytes:
        """Return the tail's bytes from the tail field's value."""
        return bytes(value)

    def encode(self) -> bytes:
        """Return the bytes of the record, starting with its code."""
        values = [getattr(self, each.name) for each in fields(self)]
        code = RECORD_CODE.pack(self.CODE)
        if self.TAIL_COUNT is None:
            return code + self.FIXED.pack(*values)
        tail = self.encode_tail(values.pop())
        count = self.TAIL_COUNT.pack(len(tail) // self.TAIL_ITEM_BYTES)
        return code + self.FIXED.pack(*values) + count + tail


@dataclass(slots=True)
class InstanceRecord(WireRecord):
    """Base class of records for one instance, whose id is the first field."""

    instance_id: int


@dataclass(slots=True)
class LoadReportTailRecord(InstanceRecord):
    """Base class of records with a load report as tail.

    The report has the values of the settings' `load_report.names`, in this order.
    """

    TAIL_COUNT: ClassVar[struct.Struct | None] = COUNT_U8
    TAIL_ITEM_BYTES: ClassVar[int] = FLOAT_BYTES

    @classmethod
    def decode_tail(cls, tail: bytes) -> tuple[float, ...]:
        """Return the values of the report from their bytes."""
        return struct.unpack(f"<{len(tail) // FLOAT_BYTES}f", tail)

    @classmethod
    def encode_tail(cls, value: tuple[float, ...]) -> bytes:
        """Return the bytes of the report's values."""
        return struct.pack(f"<{len(value)}f", *value)


# ---- event records, from the simulator ----


@dataclass(slots=True)
class InstanceStartedRecord(InstanceRecord):
    """Event `enlist`: an instance starts; the record has its settings as JSON and its random seed."""

    seed: int
    settings_json: bytes
    CODE: ClassVar[int] = 16
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IQ")
    TAIL_COUNT: ClassVar[struct.Struct | None] = COUNT_U32


@dataclass(slots=True)
class InstanceStoppedRecord(InstanceRecord):
    """Event `shutdown`: an instance stopped and lost its state."""

    CODE: ClassVar[int] = 25
    FIXED: ClassVar[struct.Struct] = struct.Struct("<I")


@dataclass(slots=True)
class EndpointsUpdatedRecord(InstanceRecord):
    """Event `roster_change`: the server list changed; `extent` is the part of it in the inventory."""

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
    """Event `outcome`: an attempt ended. `answered` is 1 if the caller has received a final answer."""

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
    """Event `abandoned`: the caller gave up, so the call no longer needs an answer."""

    call_id: int
    CODE: ClassVar[int] = 21
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IQ")


@dataclass(slots=True)
class TimerExpiredRecord(InstanceRecord):
    """Event `ring`: a timer of the instance expired."""

    timer_id: int
    CODE: ClassVar[int] = 22
    FIXED: ClassVar[struct.Struct] = struct.Struct("<II")


@dataclass(slots=True)
class LoadReportedRecord(LoadReportTailRecord):
    """Event `probe_result`: result of a health check, or an unsolicited report if `elapsed_s` is 0."""

    outcome: int
    elapsed_s: float
    server_id: int
    load_report: tuple[float, ...]
    CODE: ClassVar[int] = 23
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IBdI")


@dataclass(slots=True)
class PeerMessageRecord(InstanceRecord):
    """Event `inbox`: a message from another instance arrived."""

    peer_id: int
    body: bytes
    CODE: ClassVar[int] = 24
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IH")
    TAIL_COUNT: ClassVar[struct.Struct | None] = COUNT_U16


@dataclass(slots=True)
class InventoryEntry:
    """Entry of an inventory for one server."""

    server_id: int
    number: int
    availability: int
    zone_index: int
    weight: float
    started_at: float
    hardware_index: int


@dataclass(slots=True)
class InventoryRecord(WireRecord):
    """Event `inventory`: a server list with an id, shared by all instances of the process."""

    inventory_id: int
    entries: tuple[InventoryEntry, ...]
    CODE: ClassVar[int] = 26
    FIXED: ClassVar[struct.Struct] = struct.Struct("<I")
    TAIL_COUNT: ClassVar[struct.Struct | None] = COUNT_U32
    TAIL_ITEM_BYTES: ClassVar[int] = INVENTORY_ENTRY.size

    @classmethod
    def decode_tail(cls, tail: bytes) -> tuple[InventoryEntry, ...]:
        """Return the entries from their bytes."""
        return tuple(InventoryEntry(*values) for values in INVENTORY_ENTRY.iter_unpack(tail))

    @classmethod
    def encode_tail(cls, value: tuple[InventoryEntry, ...]) -> bytes:
        """Return the bytes of the entries."""
        return b"".join(INVENTORY_ENTRY.pack(*astuple(entry)) for entry in value)


# ---- action records, to the simulator ----


@dataclass(slots=True)
class SendSetupRecord(InstanceRecord):
    """Action `assign`: send a set-up to a server; with `timeout_s` 0 it lasts until the caller gives up."""

    call_id: int
    server_id: int
    timeout_s: float
    CODE: ClassVar[int] = 17
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IQId")


@dataclass(slots=True)
class SetTimerRecord(InstanceRecord):
    """Action `after`: start a timer."""

    delay_s: float
    timer_id: int
    CODE: ClassVar[int] = 20
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IdI")


@dataclass(slots=True)
class LogMessageRecord(InstanceRecord):
    """Action `log`: add a line of UTF-8 text to the simulator's report."""

    text: bytes
    CODE: ClassVar[int] = 21
    FIXED: ClassVar[struct.Struct] = struct.Struct("<I")
    TAIL_COUNT: ClassVar[struct.Struct | None] = COUNT_U16


@dataclass(slots=True)
class FailCallRecord(InstanceRecord):
    """Action `give_up`: answer the call as failed."""

    call_id: int
    CODE: ClassVar[int] = 23
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IQ")


@dataclass(slots=True)
class RejectCallRecord(InstanceRecord):
    """Action `overload_reply`: reject the call; `retry_after_s` 0 gives no time for a retry."""

    call_id: int
    retry_after_s: float
    CODE: ClassVar[int] = 24
    FIXED: ClassVar[struct.Struct] = struct.Struct("<IQd")


@dataclass(slots=True)
class ControllerFailedRecord(InstanceRecord):
    """Action `panic`: the controller raised an exception; `text` describes it as UTF-8."""

    text: bytes
    CODE: ClassVar[int] = 27
    FIXED: ClassVar[struct.Struct] = struct.Struct("<I")
    TAIL_COUNT: ClassVar[struct.Struct | None] = COUNT_U16


# Events and actions are numbered independently, so both tables may contain the same code.
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
