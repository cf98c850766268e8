"""The coordinator's answers: the endpoint list of the call servers, and watch events that change it.

An answer is JSON: `index` of the last event, and `updates`, each with an `index` and `endpoints` (`reset` for
the complete list, `instances` with a line for each server). The same form lists the servers a configuration
knows. Nothing here judges a server, and no event is skipped.
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
MAX_REASONS = 4  # that are logged of one answer


class ServiceDiscoveryError(ValueError):
    """An answer that is not a coordinator's."""


class WatchEvent(NamedTuple):
    """One change of the endpoint list."""

    endpoints: list[ServerRecord]
    is_complete: bool  # the complete list: a server that it does not name is gone


class WatchAnswer(NamedTuple):
    """What is new in an answer."""

    last_index: int
    events: list[WatchEvent]


class ReadableAnswer(NamedTuple):
    """An answer in which each line can be read."""

    answer: dict[str, Any]
    skipped: str  # which lines were left out and why, for the log; empty if none was


def parse_answer(answer: Any, after: int) -> WatchAnswer:
    """Return the events of an answer that come after an index. Raises ServiceDiscoveryError if it is odd.

    The first event of all (`after` is 0) brings the whole list, whether it says so or not.
    """
    try:
        last_index = int(answer["index"])
        events: list[WatchEvent] = []
        for event in answer["updates"]:
            index = int(event["index"])
            endpoints = event.get("endpoints")
            if index > after and endpoints is not None:
                records = [_record(line) for line in endpoints["instances"]]
                events.append(WatchEvent(records, _is_complete(endpoints, after)))
            after = max(after, index)
    except PARSE_FAULTS as error:
        raise _odd_event(error) from error
    return WatchAnswer(max(last_index, after), events)


def apply_answer(core: CallManager, answer: Any, after: int) -> int:
    """Give the core the events after an index; return the last index.

    Raises ServiceDiscoveryError if the answer is odd, and changes nothing then.
    """
    parsed = parse_answer(answer, after)
    for event in parsed.events:
        core.update_servers(event.endpoints, event.is_complete)
    return parsed.last_index


def skip_unreadable(core: CallManager, answer: Any, after: int) -> ReadableAnswer:
    """Return an answer without the lines that cannot be read.

    Such a line is replaced by one that says that its server is draining: it gets nothing new, and its
    calls go on. Set-ups to a server whose drain was notified in that line would break the rules, and
    where it notified that the server is ready, the others bear its load meanwhile. Only that a server is
    terminated is believed. In a complete list a line without a name may be that of any server not named.
    Raises ServiceDiscoveryError if the answer is odd beyond that.
    """
    repair = _AnswerRepair(after, _known_lines(core))
    try:
        updates = [repair.event(event) for event in answer["updates"]]
    except PARSE_FAULTS as error:
        raise _odd_event(error) from error
    return ReadableAnswer({**answer, "updates": updates}, "; ".join(repair.reasons[:MAX_REASONS]))


def _odd_event(error: Exception) -> ServiceDiscoveryError:
    return ServiceDiscoveryError(f"directory event: {type(error).__name__}: {error}")


def _is_complete(endpoints: dict[str, Any], after: int) -> bool:
    return bool(endpoints.get("reset")) or after == 0


def _record(line: dict[str, Any]) -> ServerRecord:
    return ServerRecord(
        instance=str(line["instanceId"]),
        address=parse_address(str(line["hostPort"])),
        number=int(line["cell"]),
        availability=AVAILABILITY[line["lifecycle"]],
        started_at=float(line.get("startedAtMs") or 0) / MS_PER_S,
    )


def _line(record: ServerRecord) -> dict[str, Any]:
    """Return a server's line as the coordinator has it."""
    return {
        "instanceId": record.instance,
        "hostPort": format_address(record.address),
        "cell": record.number,
        "lifecycle": IN_SERVICE,
        "startedAtMs": round(record.started_at * MS_PER_S),
    }


def _known_lines(core: CallManager) -> dict[str, dict[str, Any]]:
    """Return the lines of the servers that are not gone, by instance id."""
    return {
        name: _line(server.record)
        for name, server in core.servers.by_instance.items()
        if server.record.availability is not Availability.GONE
    }


class _AnswerRepair:
    """Replaces unreadable lines of one answer, event by event; `known` follows what the events change."""

    def __init__(self, after: int, known: dict[str, dict[str, Any]]) -> None:
        """Repair the events after an index; `known` has the lines of the servers that are not gone."""
        self.after = after
        self.known = known
        self.reasons: list[str] = []  # why lines were left out

    def event(self, event: dict[str, Any]) -> dict[str, Any]:
        """Return an event in which each line can be read; one that is not new as it is."""
        index = int(event["index"])
        endpoints = event.get("endpoints")
        if index <= self.after or endpoints is None:
            return event
        readable, unreadable = self._sorted(endpoints["instances"])
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

    def _sorted(self, lines: Iterable[Any]) -> tuple[dict[str, Any], dict[str, str]]:
        """Return the readable lines by instance id, and what is believed of the others: their lifecycle."""
        readable: dict[str, Any] = {}
        unreadable: dict[str, str] = {}
        for line in lines:
            fault = _fault_of(line)
            if fault is None:
                readable[str(line["instanceId"])] = line
                continue
            name = _name_of(line)
            is_terminated = bool(name) and line.get("lifecycle") == TERMINATED
            unreadable[name] = TERMINATED if is_terminated else TERMINATING
            reason = f"{name or 'a line'}: {type(fault).__name__}: {fault}"
            self.reasons.append(reason[:MAX_REASON_CHARACTERS])
        return readable, unreadable


def _fault_of(line: Any) -> Exception | None:
    """Return why a line cannot be read, or None if it can."""
    try:
        _record(line)
    except PARSE_FAULTS as error:
        return error
    return None


def _name_of(line: Any) -> str:
    """Return the instance id of an unreadable line, empty where it has none."""
    name = line.get("instanceId") if isinstance(line, dict) else None
    return name if isinstance(name, str) else ""
