"""Repair of a coordinator's answer that stays unreadable: what cannot be read of it is replaced or left out.

`stairhatch.node.endpoint_list` parses the repaired answer.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from stairhatch.node.address import format_address
from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import ServerRecord
from stairhatch.node.endpoint_list import (
    IN_SERVICE,
    MS_PER_S,
    PARSE_FAULTS,
    TERMINATED,
    TERMINATING,
    ServiceDiscoveryError,
    is_complete,
    joined_reasons,
    record_of,
)
from stairhatch.overload.events import Availability


class ReadableAnswer(NamedTuple):
    """A repaired answer, in which every line can be parsed."""

    answer: dict[str, Any]
    skipped: str  # the replaced or dropped lines and the reasons, for the log; empty if none


def skip_unreadable(call_manager: CallManager, answer: Any, after: int) -> ReadableAnswer:
    """Return an answer with its unreadable lines replaced.

    An unreadable line is replaced by one that marks its server as draining: the server gets no new calls, and
    its established calls continue. If the line notified a drain, set-ups to the server would break the rules;
    if it notified that the server is ready, the other servers carry its load for a while. Of the line's
    content only a `terminated` lifecycle is accepted. In a complete list an unreadable line without an
    instance id may belong to any server that the list does not contain, so all of these are marked as
    draining. An event without readable lines is left out: the list of before remains in force. An index that
    cannot be read is that of the next event. Raises ServiceDiscoveryError if the answer has no list of
    events, or neither an index nor an event that can be read: it may be no answer of a coordinator.
    """
    updates = answer.get("updates") if isinstance(answer, dict) else None
    if not isinstance(updates, list):
        raise ServiceDiscoveryError("the answer has no list of events")
    index = _index_of(answer.get("index"))
    repairer = _AnswerRepairer(after, index, _known_lines(call_manager))
    readable = [event for event in map(repairer.repair_event, updates) if event is not None]
    if index is None:
        if not readable:
            raise ServiceDiscoveryError("the answer has neither an index nor a readable event")
        repairer.reasons.append(f"index {answer.get('index')!r}")
        index = repairer.after
    return ReadableAnswer(
        {**answer, "index": index, "updates": readable},
        joined_reasons(repairer.reasons),
    )


def _index_of(value: Any) -> int | None:
    """Return an event index, or None if it cannot be read."""
    try:
        return int(value)
    except PARSE_FAULTS:
        return None


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
        is_whole_list = is_complete(endpoints, self.after)
        if is_whole_list and "" in unreadable:
            unreadable = {**dict.fromkeys(self.known, TERMINATING), **unreadable}
        kept = {
            name: {**self.known[name], "lifecycle": lifecycle}
            for name, lifecycle in unreadable.items()
            if name in self.known and name not in readable
        }
        self.known = {**({} if is_whole_list else self.known), **readable, **kept}
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
        record_of(line, [])
    except PARSE_FAULTS as error:
        return error
    return None


def _instance_id_of(line: Any) -> str:
    """Return the instance id of an unreadable line, or an empty text if it has none."""
    name = line.get("instanceId") if isinstance(line, dict) else None
    return name if isinstance(name, str) else ""
