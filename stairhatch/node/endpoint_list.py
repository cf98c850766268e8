"""Parsing of the coordinator's answers: the endpoint list of roster servers, and the events that change it.

An answer is a JSON object: `index` is that of the last event, and `updates` are the events, each with an
`index` and `endpoints` (`reset` marks the complete list, `instances` has a line for each server). A
configuration lists its known servers in the same form. The module does not assess servers and skips no event.
"""

from __future__ import annotations

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


class ReadableAnswer(NamedTuple):
    """A repaired answer, in which every line can be parsed."""

    answer: dict[str, Any]
    skipped: str  # the replaced or dropped lines and the reasons, for the log; empty if none


def parse_answer(answer: Any, after: int) -> WatchAnswer:
    """Return the events of an answer that come after an index.

    The first event of all (`after` is 0) is taken as the complete list, marked as `reset` or not. Raises
    ServiceDiscoveryError if the answer is invalid.
    """
    try:
        last_index = int(answer["index"])
        events: list[WatchEvent] = []
        for event in answer["updates"]:
            index = int(event["index"])
            endpoints = event.get("endpoints")
            if index > after and endpoints is not None:
                records = [_record_of(line) for line in endpoints["instances"]]
                events.append(WatchEvent(records, _is_complete(endpoints, after)))
            after = max(after, index)
    except PARSE_FAULTS as error:
        raise _invalid_event(error) from error
    return WatchAnswer(max(last_index, after), events)


def apply_answer(call_manager: CallManager, answer: Any, after: int) -> int:
    """Apply the events after an index to the call manager; return the index of the last event.

    Raises ServiceDiscoveryError if the answer is invalid; no event is applied then.
    """
    parsed = parse_answer(answer, after)
    for event in parsed.events:
        call_manager.update_servers(event.endpoints, event.is_complete)
    return parsed.last_index


def skip_unreadable(call_manager: CallManager, answer: Any, after: int) -> ReadableAnswer:
    """Return an answer with its unreadable lines replaced.

    An unreadable line is replaced by one that marks its server as draining: the server gets no new calls, and
    its established calls continue. If the line notified a drain, set-ups to the server would break the rules;
    if it notified that the server is ready, the other servers carry its load for a while. Of the line's
    content only a `terminated` lifecycle is accepted. In a complete list an unreadable line without an
    instance id may belong to any server that the list does not contain, so all of these are marked as
    draining. Raises ServiceDiscoveryError if the answer is invalid in other ways.
    """
    repairer = _AnswerRepairer(after, _known_lines(call_manager))
    try:
        updates = [repairer.repair_event(event) for event in answer["updates"]]
    except PARSE_FAULTS as error:
        raise _invalid_event(error) from error
    return ReadableAnswer({**answer, "updates": updates}, "; ".join(repairer.reasons[:MAX_REASONS]))


def _invalid_event(error: Exception) -> ServiceDiscoveryError:
    return ServiceDiscoveryError(f"directory event: {type(error).__name__}: {error}")


def is_marked_complete(endpoints: dict[str, Any]) -> bool:
    """Return whether an event is marked as the complete list; a text such as "false" is no mark."""
    return endpoints.get("reset") in (True, "true")


def _is_complete(endpoints: dict[str, Any], after: int) -> bool:
    return is_marked_complete(endpoints) or after == 0


def _record_of(line: dict[str, Any]) -> ServerRecord:
    return ServerRecord(
        instance=str(line["instanceId"]),
        address=parse_address(str(line["hostPort"])),
        number=int(line["cell"]),
        availability=AVAILABILITY[line["lifecycle"]],
        started_at=float(line.get("startedAtMs") or 0) / MS_PER_S,
    )


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

    def __init__(self, after: int, known: dict[str, dict[str, Any]]) -> None:
        """Repair the events after an index; `known` has the lines of the servers that are not gone."""
        self.after = after
        self.known = known
        self.reasons: list[str] = []  # why lines could not be read

    def repair_event(self, event: dict[str, Any]) -> dict[str, Any]:
        """Return an event with its unreadable lines replaced; an event that is not new is unchanged."""
        index = int(event["index"])
        endpoints = event.get("endpoints")
        if index <= self.after or endpoints is None:
            return event
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
            reason = f"{name or 'a line'}: {type(fault).__name__}: {fault}"
            self.reasons.append(reason[:MAX_REASON_CHARACTERS])
        return readable, unreadable


def _fault_of(line: Any) -> Exception | None:
    """Return why a line cannot be read, or None if it can."""
    try:
        _record_of(line)
    except PARSE_FAULTS as error:
        return error
    return None


def _instance_id_of(line: Any) -> str:
    """Return the instance id of an unreadable line, or an empty text if it has none."""
    name = line.get("instanceId") if isinstance(line, dict) else None
    return name if isinstance(name, str) else ""
