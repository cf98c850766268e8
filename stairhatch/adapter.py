"""`python -m stairhatch.adapter`: hosts one controller for each instance and speaks the wire on stdin/stdout.

It only translates. What is not told by the wire keeps the interface's default.
"""

from __future__ import annotations

import math
import random
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

from stairhatch import wire
from stairhatch.overload.actions import Action, FailCall, LogMessage, RejectCall, SendSetup, SetTimer
from stairhatch.overload.controller import Controller
from stairhatch.overload.events import (
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
from stairhatch.overload.settings import Settings
from stairhatch.settings import SettingsError, parse_settings, report_from

REDIALLED, IN_TRANSIT = 2, 8  # bits of an offered call
NO_LINE, PROCESSOR_FULL, NUMBER_BUSY = 1, 3, 4  # causes of an outcome
WAIT_UNIT = 16  # a wait in ms rides above the cause

STANDINGS = {0: Availability.READY, 1: Availability.GONE, 2: Availability.DRAINING}
ENDINGS = {
    10: AttemptOutcome.COMPLETED,
    20: AttemptOutcome.ERROR,
    30: AttemptOutcome.REJECTED,
    40: AttemptOutcome.TIMED_OUT,
    50: AttemptOutcome.UNREACHABLE,
    60: AttemptOutcome.RESET,
    70: AttemptOutcome.CANCELLED,
    80: AttemptOutcome.NOT_SENT,
}


class Instance:
    """One controller and what is needed to translate for it."""

    def __init__(self, who: int, settings: Settings, names: tuple[str, ...], seed: int) -> None:
        self.who = who
        self.names = names
        self.controller = Controller(settings, random.Random(seed))

    def report(self, values: tuple[float, ...]) -> LoadReport:
        """Name the report's values; -1 and what is no number count as missing."""
        return report_from(zip(self.names, values, strict=False))

    def action(self, action: Action) -> Any:
        """The wire's record for one action."""
        match action:
            case SendSetup(call, server, timeout_s):
                return wire.Assign(self.who, call, server, timeout_s)
            case RejectCall(call, return_s):
                return wire.OverloadReply(self.who, call, return_s)
            case FailCall(call):
                return wire.GiveUp(self.who, call)
            case SetTimer(delay_s, label):
                return wire.After(self.who, delay_s, label)
            case LogMessage(text):
                return wire.Log(self.who, text.encode()[:65535])


class Adapter:
    """All instances of one process, and the numbered server lists that they share on the wire."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.inventories: dict[int, tuple[wire.Entry, ...]] = {}

    def answer(self, batch: wire.Batch) -> wire.Reply:
        """Carry a batch to its instances; their actions, in order, are the reply."""
        reply = wire.Reply(batch.number, [])
        for record in batch.records:
            if isinstance(record, wire.Inventory):
                self.inventories[record.ref] = record.records
            elif isinstance(record, wire.Enlist):
                settings, names = parse_settings(record.boot_info)
                self.instances[record.who] = Instance(record.who, settings, names, record.entropy)
            elif isinstance(record, wire.Shutdown):
                self.instances.pop(record.who, None)
            else:
                reply.records.extend(self._act(batch.clock, record))
        return reply

    def _act(self, now: float, record: Any) -> list[Any]:
        """One event for one instance; an exception in the decisions becomes a `panic` with its text."""
        instance = self.instances.get(record.who)
        if instance is None:
            raise wire.WireError(f"{type(record).__name__} for instance {record.who}, which was not enlisted")
        event = self._event(instance, record)
        if event is None:
            return []
        try:
            return [instance.action(action) for action in instance.controller.handle(now, event)]
        except Exception as error:  # noqa: BLE001 - the wire has a record for just this
            text = f"{type(error).__name__}: {error}"
            return [wire.Panic(instance.who, text.encode()[:65535])]

    def _event(self, instance: Instance, record: Any) -> Event | None:
        """The interface's event for a wire record; None for a failed list call, which brings no news."""
        match record:
            case wire.RosterChange():
                return self._listed(record)
            case wire.Ask():
                classes = instance.controller.settings.classes
                return CallOffered(
                    call_id=record.txn,
                    call_class=classes[record.type] if record.type < len(classes) else None,
                    preferred_number=int(record.destination) if math.isfinite(record.destination) else -1,
                    caller_timeout_s=record.grace_s,
                    is_caller_retry=bool(record.bits & REDIALLED),
                    in_transit=bool(record.bits & IN_TRANSIT),
                    called_number=record.resource,
                )
            case wire.Accepted():
                return CallEstablished(record.txn, record.server, record.time_taken_s)
            case wire.Outcome():
                return self._ended(instance, record)
            case wire.Abandoned():
                return CallAbandoned(record.txn)
            case wire.Ring():
                return TimerExpired(record.label)
            case wire.ProbeResult():
                reached = record.reason == 10
                report = instance.report(record.pressure) if reached else LoadReport()
                return LoadReported(record.server, report, reached, solicited=record.time_taken_s > 0)
            case wire.Inbox():
                return PeerMessageReceived(record.neighbour, record.body)
        raise wire.WireError(f"no meaning for {type(record).__name__}")

    def _listed(self, record: wire.RosterChange) -> EndpointsUpdated | None:
        """A change of the server list, looked up in the inventory that it points at."""
        if record.scope == 3:
            return None
        if record.scope > 3:
            raise wire.WireError(f"RosterChange: unknown scope {record.scope}")
        if record.ref not in self.inventories:
            raise wire.WireError(f"RosterChange: no inventory {record.ref}")
        lines = []
        for entry in self.inventories[record.ref]:
            if entry.availability not in STANDINGS:
                raise wire.WireError(f"Inventory: unknown availability {entry.availability}")
            since = entry.up_since_s if math.isfinite(entry.up_since_s) else 0.0
            lines.append(EndpointRecord(entry.server, entry.number, STANDINGS[entry.availability], since))
        return EndpointsUpdated(tuple(lines), complete=record.scope != 0)

    def _ended(self, instance: Instance, record: wire.Outcome) -> AttemptEnded:
        """An attempt's end, with the cause taken apart."""
        if record.reason not in ENDINGS:
            raise wire.WireError(f"Outcome: unknown reason {record.reason}")
        ending = ENDINGS[record.reason]
        low, wait_ms = record.cause % WAIT_UNIT, record.cause // WAIT_UNIT
        told = (
            wait_ms / 1000
            if ending is AttemptOutcome.REJECTED and low == PROCESSOR_FULL and wait_ms
            else None
        )
        return AttemptEnded(
            call_id=record.txn,
            server_id=record.server,
            outcome=ending,
            answered=bool(record.done_flag),
            report=instance.report(record.pressure),
            elapsed_s=record.time_taken_s,
            retry_after_s=told,
            destination_busy=ending is AttemptOutcome.ERROR and low == NUMBER_BUSY,
            no_free_line=ending in (AttemptOutcome.REJECTED, AttemptOutcome.NOT_SENT) and low == NO_LINE,
        )


def serve(read: Callable[[int], bytes], out: BinaryIO) -> None:
    """Answer batch after batch until the input ends."""
    adapter = Adapter()
    while (batch := wire.read_batch(read)) is not None:
        out.write(wire.reply_bytes(adapter.answer(batch)))
        out.flush()


def main() -> int:
    """Run on standard input and output; 0 at a clean end, 2 with one plain line on malformed input."""
    try:
        serve(sys.stdin.buffer.read, sys.stdout.buffer)
    except (wire.WireError, SettingsError) as error:
        print(f"stairhatch.adapter: malformed input: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
