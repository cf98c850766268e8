"""Parsing of the coordinator's answers: the endpoint list of roster servers, and the events that change it.

An answer is a JSON object: `index` is that of the last event, and `updates` are the events, each with an
`index` and `endpoints` (`reset` marks the complete list, `instances` has a line for each server). A
configuration lists its known servers in the same form. The module does not assess servers and skips no event.
A part of an answer that cannot be used costs no more than that part, and is logged.
"""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from stairhatch.node.address import parse_address
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import ServerRecord
from stairhatch.overload.events import Availability

IN_SERVICE = "in_service"
TERMINATING = "terminating"
TERMINATED = "terminated"
AVAILABILITY = {
    IN_SERVICE: Availability.READY,
    TERMINATING: Availability.DRAINING,
    TERMINATED: Availability.GONE,
}
MS_PER_S = 1000
PARSE_FAULTS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)
MAX_REASON_CHARACTERS = 80
MAX_REASONS = 4  # logged for one answer
UNKNOWN_START = -1.0  # `started_at` of a record whose start cannot be read


class ServiceDiscoveryError(ValueError):
    """Raised for an answer that is not a valid answer of a coordinator."""


class WatchEvent(NamedTuple):
    """A change of the endpoint list: the records of one event."""

    endpoints: list[ServerRecord]
    is_complete: bool  # it is the complete list: servers that it does not contain are gone


class WatchAnswer(NamedTuple):
    """The new events of an answer, with the index of the last one."""

    last_index: int
    events: list[WatchEvent]
    unused_parts: list[str]  # values of lines that cannot be used although the lines can


def parse_answer(answer: Any, after: int) -> WatchAnswer:
    """Return the events of an answer that come after an index.

    The first event of all (`after` is 0) is taken as the complete list, marked as `reset` or not. A server in
    an unknown state counts as draining, and a start that cannot be read is UNKNOWN_START. Raises
    ServiceDiscoveryError if the answer is invalid.
    """
    unused_parts: list[str] = []
    try:
        last_index = int(answer["index"])
        events: list[WatchEvent] = []
        for event in answer["updates"]:
            index = int(event["index"])
            endpoints = event.get("endpoints")
            if index > after and endpoints is not None:
                records = [record_of(line, unused_parts) for line in endpoints["instances"]]
                events.append(WatchEvent(records, is_complete(endpoints, after)))
            after = max(after, index)
    except PARSE_FAULTS as error:
        raise _invalid_event(error) from error
    return WatchAnswer(max(last_index, after), events, unused_parts)


def apply_answer(call_manager: CallManager, answer: Any, after: int) -> int:
    """Apply the events after an index to the call manager; return the index of the last event.

    Raises ServiceDiscoveryError if the answer is invalid; no event is applied then.
    """
    parsed = parse_answer(answer, after)
    for event in parsed.events:
        records = [_with_known_start(call_manager, record) for record in event.endpoints]
        call_manager.update_servers(records, event.is_complete)
    if parsed.unused_parts:
        call_manager.counters.add("discovery_parts_unused")
        call_manager.log("service_discovery", why=f"parts not used: {joined_reasons(parsed.unused_parts)}")
    return parsed.last_index


def joined_reasons(reasons: list[str]) -> str:
    """Return the first reasons as one text for the log."""
    return "; ".join(reason[:MAX_REASON_CHARACTERS] for reason in reasons[:MAX_REASONS])


def _with_known_start(call_manager: CallManager, record: ServerRecord) -> ServerRecord:
    """Return the record with a start in place of UNKNOWN_START.

    A known server keeps its start. A new one counts as just started, so that it is not overloaded while cold;
    its start is a whole number of milliseconds, as in a line, so that a line made of the record is not later.
    """
    if record.started_at != UNKNOWN_START:
        return record
    server = call_manager.servers.by_instance.get(record.instance)
    if server is not None:
        return record._replace(started_at=server.record.started_at)
    return record._replace(started_at=math.floor(call_manager.clock() * MS_PER_S) / MS_PER_S)


def _invalid_event(error: Exception) -> ServiceDiscoveryError:
    return ServiceDiscoveryError(f"directory event: {type(error).__name__}: {error}")


def is_marked_complete(endpoints: dict[str, Any]) -> bool:
    """Return whether an event is marked as the complete list; a text such as "false" is no mark."""
    return endpoints.get("reset") in (True, "true")


def is_complete(endpoints: dict[str, Any], after: int) -> bool:
    """Return whether an event is the complete list: it is marked so, or it is the first event of all."""
    return is_marked_complete(endpoints) or after == 0


def record_of(line: dict[str, Any], unused_parts: list[str]) -> ServerRecord:
    """Return the record of a line, and append what cannot be used of it to `unused_parts`."""
    instance = str(line["instanceId"])
    availability = AVAILABILITY.get(line["lifecycle"])
    if availability is None:
        availability = Availability.DRAINING
        unused_parts.append(f"{instance}: unknown lifecycle {_state_text(line['lifecycle'])!r}")
    started_at = _started_at(line)
    if started_at == UNKNOWN_START:
        unused_parts.append(f"{instance}: startedAtMs {line['startedAtMs']!r}")
    return ServerRecord(
        instance=instance,
        address=parse_address(str(line["hostPort"])),
        number=int(line["cell"]),
        availability=availability,
        started_at=started_at,
    )


def _state_text(lifecycle: Any) -> str:
    """Return an unknown lifecycle. Raises TypeError if it is no text."""
    if not isinstance(lifecycle, str):
        raise TypeError(f"lifecycle is {type(lifecycle).__name__}")
    return lifecycle


def _started_at(line: dict[str, Any]) -> float:
    """Return the Unix time at which a server started; 0, for long ago, if the line lacks it."""
    started_at_ms = line.get("startedAtMs")
    try:
        started_at = 0.0 if started_at_ms is None else float(started_at_ms) / MS_PER_S
    except PARSE_FAULTS:
        return UNKNOWN_START
    return started_at if math.isfinite(started_at) else UNKNOWN_START
