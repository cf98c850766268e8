"""Program `python -m stairhatch.simulator.adapter`: runs the controllers of the simulator's instances.

The program reads batches of events from standard input and writes the reply to each to standard output. It
translates the records of the wire into the controller's events, and the controller's actions into records. A
field of an event that the wire does not carry keeps its default.
"""

from __future__ import annotations

import math
import random
import sys
from typing import BinaryIO

from stairhatch.overload.actions import Action, FailCall, LogMessage, RejectCall, SendSetup, SetTimer
from stairhatch.overload.controller import Controller
from stairhatch.overload.events import (
    NO_LOAD,
    AttemptEnded,
    AttemptOutcome,
    Availability,
    CallAbandoned,
    CallEstablished,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    Event,
    LoadReport,
    LoadReported,
    PeerMessageReceived,
    TimerExpired,
)
from stairhatch.settings.errors import SettingsError
from stairhatch.settings.load_reports import load_report_from_values
from stairhatch.settings.parser import ParsedSettings, parse_settings_json
from stairhatch.simulator.codec import ActionReply, EventBatch, ReadBytes, encode_reply, read_batch
from stairhatch.simulator.frame_reader import CodecError
from stairhatch.simulator.records import (
    AttemptEndedRecord,
    CallAbandonedRecord,
    CallEstablishedRecord,
    CallOfferedRecord,
    ControllerFailedRecord,
    EndpointsUpdatedRecord,
    FailCallRecord,
    InstanceRecord,
    InstanceStartedRecord,
    InstanceStoppedRecord,
    InventoryEntry,
    InventoryRecord,
    LoadReportedRecord,
    LogMessageRecord,
    PeerMessageRecord,
    RejectCallRecord,
    SendSetupRecord,
    SetTimerRecord,
    TimerExpiredRecord,
    WireRecord,
)

MAX_TEXT_BYTES = 65_535  # of a log line or an error text, whose size is a u16
NO_SUCH_NUMBER = -1  # the preferred number if the destination is not finite

# Bits of an offered call's flags.
FLAG_CALLER_RETRY = 2
FLAG_IN_TRANSIT = 8

# Causes of an attempt's end; the wire adds a wait in milliseconds times CAUSE_WAIT_UNIT to the cause.
CAUSE_NO_FREE_LINE = 1
CAUSE_PROCESSOR_FULL = 3
CAUSE_NUMBER_BUSY = 4
CAUSE_WAIT_UNIT = 16

# Extents: the part of the server list that an update contains.
EXTENT_DELTA = 0  # only the changed entries
EXTENT_CACHED = 2  # the complete list, possibly outdated; extent 1 is the current complete list
EXTENT_FAILED = 3  # no entries: the list could not be fetched

AVAILABILITIES = {0: Availability.READY, 1: Availability.GONE, 2: Availability.DRAINING}
OUTCOME_OK = 10
OUTCOMES = {
    OUTCOME_OK: AttemptOutcome.COMPLETED,
    20: AttemptOutcome.ERROR,
    30: AttemptOutcome.REJECTED,
    40: AttemptOutcome.TIMED_OUT,
    50: AttemptOutcome.UNREACHABLE,
    60: AttemptOutcome.RESET,
    70: AttemptOutcome.CANCELLED,
    80: AttemptOutcome.NOT_SENT,
}

EXIT_OK = 0
EXIT_OUTPUT_CLOSED = 1
EXIT_MALFORMED_INPUT = 2


class SimulatedInstance:
    """A simulated softswitch: its controller, and the translation of actions and load reports."""

    def __init__(self, instance_id: int, parsed: ParsedSettings, seed: int) -> None:
        """Create the controller from the settings; `seed` initializes its random numbers."""
        self.instance_id = instance_id
        self.load_report_names = parsed.load_report_names
        self.controller = Controller(parsed.settings, random.Random(seed))

    def load_report(self, values: tuple[float, ...]) -> LoadReport:
        """Return the load report for values in the order of the settings; -1 and NaN count as missing."""
        return load_report_from_values(zip(self.load_report_names, values, strict=False))

    def record_for(self, action: Action) -> WireRecord:
        """Return the wire record for an action."""
        match action:
            case SendSetup(call_id, server_id, timeout_s):
                return SendSetupRecord(self.instance_id, call_id, server_id, timeout_s)
            case RejectCall(call_id, retry_after_s):
                return RejectCallRecord(self.instance_id, call_id, retry_after_s)
            case FailCall(call_id):
                return FailCallRecord(self.instance_id, call_id)
            case SetTimer(delay_s, timer_id):
                return SetTimerRecord(self.instance_id, delay_s, timer_id)
            case LogMessage(text):
                return LogMessageRecord(self.instance_id, text.encode()[:MAX_TEXT_BYTES])


class SimulatorAdapter:
    """Adapter between the wire and all instances of the process, which share inventories of servers."""

    def __init__(self) -> None:
        """Start without instances and inventories."""
        self.instances: dict[int, SimulatedInstance] = {}
        self.inventories: dict[int, tuple[InventoryEntry, ...]] = {}

    def answer(self, batch: EventBatch) -> ActionReply:
        """Pass the events of a batch to their instances; return the reply with the actions in order.

        Raises CodecError for an unexpected record or an unknown value in a record, and SettingsError for
        unusable settings.
        """
        reply = ActionReply(batch.number, [])
        for record in batch.records:
            match record:
                case InventoryRecord():
                    self.inventories[record.inventory_id] = record.entries
                case InstanceStartedRecord():
                    self._start_instance(record)
                case InstanceStoppedRecord():
                    self.instances.pop(record.instance_id, None)
                case _:
                    reply.records.extend(self._handle(batch.clock, record))
        return reply

    def _start_instance(self, record: InstanceStartedRecord) -> None:
        """Create the instance, with a new controller; it replaces an instance with the same id."""
        parsed = parse_settings_json(record.settings_json)
        self.instances[record.instance_id] = SimulatedInstance(record.instance_id, parsed, record.seed)

    def _handle(self, now: float, record: WireRecord) -> list[WireRecord]:
        """Pass one event to its instance; return the records of its actions.

        An exception in the controller becomes one ControllerFailedRecord with its text.
        """
        if not isinstance(record, InstanceRecord):
            raise CodecError(f"record is not an event for an instance: {type(record).__name__}")
        instance = self.instances.get(record.instance_id)
        if instance is None:
            raise CodecError(
                f"{type(record).__name__} for instance {record.instance_id}, which was not started"
            )
        event = self._event(instance, record)
        if event is None:
            return []
        try:
            return [instance.record_for(action) for action in instance.controller.handle(now, event)]
        except Exception as error:  # noqa: BLE001 - the wire has a record for any exception
            text = f"{type(error).__name__}: {error}"
            return [ControllerFailedRecord(instance.instance_id, text.encode()[:MAX_TEXT_BYTES])]

    def _event(self, instance: SimulatedInstance, record: InstanceRecord) -> Event | None:
        """Return the controller's event for a record; None if the record reports that no list was fetched."""
        event: Event | None
        match record:
            case CallOfferedRecord():
                event = _call_offered(instance, record)
            case CallEstablishedRecord():
                event = CallEstablished(record.call_id, record.server_id, record.elapsed_s)
            case AttemptEndedRecord():
                event = _attempt_ended(instance, record)
            case CallAbandonedRecord():
                event = CallAbandoned(record.call_id)
            case TimerExpiredRecord():
                event = TimerExpired(record.timer_id)
            case LoadReportedRecord():
                event = _load_reported(instance, record)
            case EndpointsUpdatedRecord():
                event = self._endpoints_updated(record)
            case PeerMessageRecord():
                event = PeerMessageReceived(record.peer_id, record.body)
            case _:
                raise CodecError(f"record is not an event for an instance: {type(record).__name__}")
        return event

    def _endpoints_updated(self, record: EndpointsUpdatedRecord) -> EndpointsUpdated | None:
        """Return the update of the server list from the inventory that it refers to.

        Returns None if the list could not be fetched; raises CodecError for an unknown extent or inventory.
        """
        if record.extent == EXTENT_FAILED:
            return None
        if record.extent > EXTENT_FAILED:
            raise CodecError(f"{type(record).__name__}: unknown extent {record.extent}")
        if record.inventory_id not in self.inventories:
            raise CodecError(f"{type(record).__name__}: unknown inventory {record.inventory_id}")
        entries = self.inventories[record.inventory_id]
        endpoints = tuple(_endpoint_record(entry) for entry in entries)
        return EndpointsUpdated(endpoints, complete=record.extent != EXTENT_DELTA)


def _endpoint_record(entry: InventoryEntry) -> EndpointRecord:
    """Return the endpoint record of an inventory entry. Raises CodecError for an unknown availability."""
    if entry.availability not in AVAILABILITIES:
        raise CodecError(f"{type(entry).__name__}: unknown availability {entry.availability}")
    started_at = entry.started_at if math.isfinite(entry.started_at) else 0.0
    return EndpointRecord(entry.server_id, entry.number, AVAILABILITIES[entry.availability], started_at)


def _call_offered(instance: SimulatedInstance, record: CallOfferedRecord) -> CallOffered:
    """Return an offered call with its class from the settings, or with None as class if it is unknown."""
    classes = instance.controller.settings.classes
    return CallOffered(
        call_id=record.call_id,
        call_class=classes[record.class_index] if record.class_index < len(classes) else None,
        preferred_number=int(record.destination) if math.isfinite(record.destination) else NO_SUCH_NUMBER,
        caller_timeout_s=record.caller_timeout_s,
        is_caller_retry=bool(record.flags & FLAG_CALLER_RETRY),
        in_transit=bool(record.flags & FLAG_IN_TRANSIT),
        called_number=record.called_number,
    )


def _attempt_ended(instance: SimulatedInstance, record: AttemptEndedRecord) -> AttemptEnded:
    """Return the end of an attempt with its cause decoded. Raises CodecError for an unknown outcome."""
    if record.outcome not in OUTCOMES:
        raise CodecError(f"{type(record).__name__}: unknown outcome {record.outcome}")
    outcome = OUTCOMES[record.outcome]
    wait_ms, cause = divmod(record.cause, CAUSE_WAIT_UNIT)
    has_retry_after = outcome is AttemptOutcome.REJECTED and cause == CAUSE_PROCESSOR_FULL and wait_ms > 0
    was_not_processed = outcome in (AttemptOutcome.REJECTED, AttemptOutcome.NOT_SENT)
    return AttemptEnded(
        call_id=record.call_id,
        server_id=record.server_id,
        outcome=outcome,
        answered=bool(record.answered),
        report=instance.load_report(record.load_report),
        elapsed_s=record.elapsed_s,
        retry_after_s=wait_ms / 1000 if has_retry_after else None,
        destination_busy=outcome is AttemptOutcome.ERROR and cause == CAUSE_NUMBER_BUSY,
        no_free_line=was_not_processed and cause == CAUSE_NO_FREE_LINE,
    )


def _load_reported(instance: SimulatedInstance, record: LoadReportedRecord) -> LoadReported:
    """Return the result of a health check, or an unsolicited load report."""
    is_reachable = record.outcome == OUTCOME_OK
    report = instance.load_report(record.load_report) if is_reachable else NO_LOAD
    return LoadReported(record.server_id, report, is_reachable, solicited=record.elapsed_s > 0)


def serve(read: ReadBytes, out: BinaryIO) -> None:
    """Answer each batch until the input ends. Raises CodecError or SettingsError for malformed input."""
    adapter = SimulatorAdapter()
    while (batch := read_batch(read)) is not None:
        out.write(encode_reply(adapter.answer(batch)))
        out.flush()


def main() -> int:
    """Run on standard input and output; return the exit code. Malformed input prints a one-line error."""
    try:
        serve(sys.stdin.buffer.read, sys.stdout.buffer)
    except (CodecError, SettingsError) as error:
        print(f"stairhatch.simulator.adapter: malformed input: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    except (BrokenPipeError, KeyboardInterrupt):
        return EXIT_OUTPUT_CLOSED
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
