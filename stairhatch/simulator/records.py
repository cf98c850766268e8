"""The records of the simulator's wire: its events and actions, each with its code and its fields' layout.

A record is a one-byte code, fixed fields and at most one counted tail, little-endian and unpadded. Each class
gives the wire's own name of its event or action. Times are seconds.
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
FLOAT_BYTES = 4  # one value of a load report, an f32


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
    """Event `shutdown`: an instance ended; its state is lost."""

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


# Events and actions are numbered separately: one code may be in both tables.
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
