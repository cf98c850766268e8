"""The endpoint list of the roster servers, which one member follows for all and hands on.

The holder of the lease `list` follows the coordinator and hands the whole list with its index and its fencing
token to the voters; every other member asks one voter after the other what is newer than its own list. So a
holder needs to be heard by one voter only, and who does not hear it at all finds the list at the next voter.
What is handed on is the whole list, compressed, in parts: it may be lost, doubled and disordered without
harm. An older list never replaces a newer one, and a member that hears nothing polls the coordinator itself.
"""

from __future__ import annotations

import json
import math
import zlib
from dataclasses import dataclass, field
from typing import Any

from stairhatch.fleet.messages import EndpointUpdate

PART_BYTES = 1000  # of the compressed list in one datagram
MAX_PARTS = 256
COMPRESSION_LEVEL = 6
MAX_TERMINATED = 64  # that stay in the list, so that all members get them
MAX_LIST_BYTES = 4 * 1024 * 1024


@dataclass(slots=True)
class EndpointList:
    """The list as one member has it: the index of the last event, and a record for each server."""

    index: int = 0
    instances: dict[str, Any] = field(default_factory=dict)

    def apply(self, answer: Any) -> None:
        """Take in an answer of the coordinator's, or what was handed on, that has been found valid."""
        for event in answer["updates"]:
            endpoints = event.get("endpoints")
            index = int(event["index"])
            if endpoints is not None and index > self.index:
                if endpoints.get("reset"):
                    self.instances.clear()
                for record in endpoints["instances"]:
                    self.instances[str(record["instanceId"])] = record
            self.index = max(self.index, index)
        self.index = max(self.index, int(answer["index"]))
        terminated = [
            name for name, record in self.instances.items() if record.get("lifecycle") == "terminated"
        ]
        for name in terminated[:-MAX_TERMINATED]:
            del self.instances[name]

    def to_answer(self) -> dict[str, Any]:
        """The complete list in the form of a coordinator's answer."""
        endpoints = {"reset": True, "instances": list(self.instances.values())}
        return {"index": self.index, "updates": [{"index": self.index, "endpoints": endpoints}]}


def to_updates(endpoints: EndpointList, holder: str, token: int) -> list[EndpointUpdate]:
    """The list in messages, by whom it is handed on and under which fencing token."""
    data = zlib.compress(json.dumps(endpoints.to_answer()).encode(), COMPRESSION_LEVEL)
    pieces = [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]
    return [
        EndpointUpdate(holder, token, endpoints.index, part_index, len(pieces), piece)
        for part_index, piece in enumerate(pieces)
    ]


class EndpointListAssembler:
    """Collects the parts of one list after the other; a newer list replaces the parts of an older one."""

    def __init__(self) -> None:
        """No part has come."""
        self._version: tuple[int, int] = (0, 0)  # the fencing token and the index
        self._parts: dict[int, bytes] = {}

    def add(self, update: EndpointUpdate) -> Any:
        """The complete answer once all parts are there; None before that, and for what is no list."""
        version = (update.fencing_token, update.index)
        if version < self._version or update.part_count > MAX_PARTS or update.part_index >= update.part_count:
            return None
        if version > self._version:
            self._version = version
            self._parts = {}
        self._parts[update.part_index] = update.data
        if len(self._parts) < update.part_count:
            return None
        data = b"".join(self._parts[part_index] for part_index in sorted(self._parts))
        self._parts = {}
        try:
            decompressor = zlib.decompressobj()
            text = decompressor.decompress(data, MAX_LIST_BYTES)
            return json.loads(text) if decompressor.eof else None
        except (zlib.error, ValueError):
            return None


@dataclass(frozen=True, slots=True)
class RelayTimings:
    """When a member asks for updates, in seconds."""

    poll_interval_s: float = 0.4  # of a voter
    holder_silence_s: float = 0.6  # a message of the holder is so recent: no voter is polled
    fallback_after_s: float = 2.0  # no message for so long: it polls the coordinator itself


class EndpointListFollower:
    """Whether this member polls the coordinator, and which voter it asks for updates."""

    def __init__(self, voters: list[str], timings: RelayTimings, now: float) -> None:
        """The voters are asked in this order."""
        self.voters = voters
        self.timings = timings
        self.heard_at = now
        self.polled_at = now - timings.poll_interval_s
        self._position = 0
        self._unanswered = 0

    def handle_update(self, now: float) -> None:
        """Something of the list's holder has come, be it that nothing is new."""
        self.heard_at = now
        self._unanswered = 0

    def polls_coordinator(self, now: float, is_holder: bool, knows_list: bool) -> bool:
        """Whether it follows the coordinator now: the holder does, and who knows no list or hears nothing."""
        return is_holder or not knows_list or now - self.heard_at > self.timings.fallback_after_s

    def voter_to_poll(self, now: float, is_holder: bool, holder_heard_at: float = -math.inf) -> str | None:
        """The voter to be asked now, if any. Who hears the holder itself, as voters do, need not ask."""
        polled_lately = now - self.polled_at < self.timings.poll_interval_s
        hears_holder = now - holder_heard_at < self.timings.holder_silence_s
        if is_holder or polled_lately or hears_holder:
            return None
        self.polled_at = now
        if self._unanswered:  # the last one did not answer: try the next
            self._position += 1
        self._unanswered += 1
        return self.voters[self._position % len(self.voters)]
