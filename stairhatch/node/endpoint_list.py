"""Parsing of the coordinator's answers: the endpoint list of roster servers, and the events that change it.

An answer is a JSON object: `index` is that of the last event, and `updates` are the events, each with an
`index` and `endpoints` (`reset` marks the complete list, `instances` has a line for each server). A
configuration lists its known servers in the same form. The module does not assess servers and skips no event.
A part of an answer that cannot be used costs no more than that part, and is logged.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any, NamedTuple

from stairhatch.node.address import format_address, parse_address
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


class ReadableAnswer(NamedTuple):
    """A repaired answer, in which every line can be parsed."""

    answer: dict[str, Any]
    skipped: str  # the replaced or dropped lines and the reasons, for the log; empty if none


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
        for event in answer.get("updates") or ():
            index = int(event["index"])
            endpoints = event.get("endpoints")
            if index > after and endpoints is not None:
                records = [_record_of(line, unused_parts) for line in endpoints["instances"]]
                events.append(WatchEvent(records, _is_complete(endpoints, after)))
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

    A known server keeps its start. A new one counts as just started, so that it is not overloaded while cold.
    """
    if record.started_at != UNKNOWN_START:
        return record
    server = call_manager.servers.by_instance.get(record.instance)
    started_at = server.record.started_at if server is not None else call_manager.clock()
    return record._replace(started_at=started_at)


def skip_unreadable(call_manager: CallManager, answer: Any, after: int) -> ReadableAnswer:
    """Return an answer with its unreadable lines replaced.

    An unreadable line is replaced by one that marks its server as draining: the server gets no new calls, and
    its established calls continue. If the line notified a drain, set-ups to the server would break the rules;
    if it notified that the server is ready, the other servers carry its load for a while. Of the line's
    content only a `terminated` lifecycle is accepted. In a complete list an unreadable line without an
    instance id may belong to any server that the list does not contain, so all of these are marked as
    draining. An event without readable lines is left out: the list of before remains in force. An index that
    cannot be read is that of the next event. Raises ServiceDiscoveryError if the answer has no events at all.
    """
    updates = answer.get("updates") if isinstance(answer, dict) else None
    if not isinstance(updates, list):
        raise ServiceDiscoveryError("the answer has no list of events")
    index = _index_of(answer.get("index"))
    repairer = _AnswerRepairer(after, index, _known_lines(call_manager))
    repaired = [repairer.repair_event(event) for event in updates]
    if index is None:
        repairer.reasons.append(f"index {answer.get('index')!r}")
        index = repairer.after
    return ReadableAnswer(
        {**answer, "index": index, "updates": [event for event in repaired if event is not None]},
        joined_reasons(repairer.reasons),
    )


def _invalid_event(error: Exception) -> ServiceDiscoveryError:
    return ServiceDiscoveryError(f"directory event: {type(error).__name__}: {error}")


def is_marked_complete(endpoints: dict[str, Any]) -> bool:
    """Return whether an event is marked as the complete list; a text such as "false" is no mark."""
    return endpoints.get("reset") in (True, "true")


def _is_complete(endpoints: dict[str, Any], after: int) -> bool:
    return is_marked_complete(endpoints) or after == 0


def _index_of(value: Any) -> int | None:
    """Return an event index, or None if it cannot be read."""
    try:
        return int(value)
    except PARSE_FAULTS:
        return None


def _record_of(line: dict[str, Any], unused_parts: list[str]) -> ServerRecord:
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


def _line_of(record: ServerRecord) -> dict[str, Any]:
    """Return a server's line in the coordinator's form, with `in_service` whatever its availability."""
    return {
        "instanceId": record.instance,
        "hostPort": format_address(record.address),
        "cell": record.number,
        "lifecycle": IN_SERVICE,
        "startedAtMs": round(record.started_at * MS_PER_S),
    }


def _known_lines(call_manager: CallManager) -> dict[str, dict[str, Any]]:
    """Return the lines of the known servers that are not gone, by instance id."""
    return {
        name: _line_of(server.record)
        for name, server in call_manager.servers.by_instance.items()
        if server.record.availability is not Availability.GONE
    }


class _AnswerRepairer:
    """The repairer of one answer: replaces unreadable lines, and applies each event to `known`."""

    def __init__(self, after: int, last_index: int | None, known: dict[str, dict[str, Any]]) -> None:
        """Repair the events after an index; `known` has the lines of the servers that are not gone.

        `last_index` is the index of the answer, None if it cannot be read.
        """
        self.after = after
        self.last_index = last_index
        self.known = known
        self.reasons: list[str] = []  # why lines could not be read

    def repair_event(self, event: Any) -> dict[str, Any] | None:
        """Return an event with its unreadable lines replaced; an event that is not new is unchanged.

        Returns None for an event that is no object or whose lines are no list.
        """
        if not isinstance(event, dict):
            self.reasons.append(f"event is {type(event).__name__}")
            return None
        index = _index_of(event.get("index"))
        if index is None:
            self.reasons.append(f"event index {event.get('index')!r}")
            index = self.after + 1
            if self.last_index is not None:
                index = min(index, self.last_index)
            event = {**event, "index": index}
        endpoints = event.get("endpoints")
        if index <= self.after or endpoints is None:
            return event
        if not isinstance(endpoints, dict) or not isinstance(endpoints.get("instances"), list):
            self.reasons.append(f"event {index} has no list of instances")
            self.after = index
            return {"index": index}
        readable, unreadable = self._split_by_readability(endpoints["instances"])
        is_complete = _is_complete(endpoints, self.after)
        if is_complete and "" in unreadable:
            unreadable = {**dict.fromkeys(self.known, TERMINATING), **unreadable}
        kept = {
            name: {**self.known[name], "lifecycle": lifecycle}
            for name, lifecycle in unreadable.items()
            if name in self.known and name not in readable
        }
        self.known = {**({} if is_complete else self.known), **readable, **kept}
        self.after = index
        return {**event, "endpoints": {**endpoints, "instances": [*readable.values(), *kept.values()]}}

    def _split_by_readability(self, lines: Iterable[Any]) -> tuple[dict[str, Any], dict[str, str]]:
        """Return the readable lines, and the lifecycles assumed for the unreadable ones, by instance id."""
        readable: dict[str, Any] = {}
        unreadable: dict[str, str] = {}
        for line in lines:
            fault = _fault_of(line)
            if fault is None:
                readable[str(line["instanceId"])] = line
                continue
            name = _instance_id_of(line)
            is_terminated = bool(name) and line.get("lifecycle") == TERMINATED
            unreadable[name] = TERMINATED if is_terminated else TERMINATING
            self.reasons.append(f"{name or 'a line'}: {type(fault).__name__}: {fault}")
        return readable, unreadable


def _fault_of(line: Any) -> Exception | None:
    """Return why a line cannot be read, or None if it can."""
    try:
        _record_of(line, [])
    except PARSE_FAULTS as error:
        return error
    return None


def _instance_id_of(line: Any) -> str:
    """Return the instance id of an unreadable line, or an empty text if it has none."""
    name = line.get("instanceId") if isinstance(line, dict) else None
    return name if isinstance(name, str) else ""
