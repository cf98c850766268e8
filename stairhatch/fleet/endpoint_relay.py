"""The list of roster servers, followed by one owner for all: owns who asks the coordinator, what is handed on
and what of it is taken. It must never let an older list go over a newer one, and never leave a softswitch
that hears nothing without asking for itself.

The owner of the claim `list` follows the coordinator and hands the whole list with its number and its ticket
to the voters; every other softswitch asks one voter after the other what is newer than its own. So an owner
needs to be heard by one voter only, and who hears it not at all finds it at the next voter. What is handed on
is the whole list, packed, in parts: it may be lost, doubled and disordered without harm.
"""

from __future__ import annotations

import json
import math
import zlib
from dataclasses import dataclass, field
from typing import Any

from stairhatch.fleet.messages import EndpointUpdate

PART_BYTES = 1000
MAX_PARTS = 256
MAX_LIST_BYTES = 4 * 1024 * 1024


@dataclass(slots=True)
class EndpointList:
    """The list as one softswitch has it: the number of the last event, and a line for each server."""

    index: int = 0
    instances: dict[str, Any] = field(default_factory=dict)

    def apply(self, answer: Any) -> None:
        """Take in an answer of the coordinator's, or what was handed on, that has been found good."""
        for event in answer["updates"]:
            told, index = event.get("endpoints"), int(event["index"])
            if told is not None and index > self.index:
                if told.get("reset"):
                    self.instances.clear()
                for line in told["instances"]:
                    self.instances[str(line["instanceId"])] = line
            self.index = max(self.index, index)
        self.index = max(self.index, int(answer["index"]))
        gone = [name for name, line in self.instances.items() if line.get("lifecycle") == "terminated"]
        for name in gone[:-64]:  # the last that went stay in it, so that all hear of them
            del self.instances[name]

    def to_answer(self) -> dict[str, Any]:
        """The whole of it as the coordinator would tell it."""
        told = {"reset": True, "instances": list(self.instances.values())}
        return {"index": self.index, "updates": [{"index": self.index, "endpoints": told}]}


def to_updates(listed: EndpointList, holder: str, ticket: int) -> list[EndpointUpdate]:
    """The list in messages."""
    data = zlib.compress(json.dumps(listed.to_answer()).encode(), 6)
    pieces = [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]
    return [
        EndpointUpdate(holder, ticket, listed.index, number, len(pieces), piece)
        for number, piece in enumerate(pieces)
    ]


class EndpointListAssembler:
    """Collects the parts of one list after the other; one that is newer puts the older out."""

    def __init__(self) -> None:
        self._version: tuple[int, int] = (0, 0)
        self._parts: dict[int, bytes] = {}

    def add(self, news: EndpointUpdate) -> Any:
        """The whole answer once all parts are there; None before that, and for what is no list."""
        key = (news.fencing_token, news.index)
        if key < self._version or news.part_count > MAX_PARTS or news.part_index >= news.part_count:
            return None
        if key > self._version:
            self._version, self._parts = key, {}
        self._parts[news.part_index] = news.data
        if len(self._parts) < news.part_count:
            return None
        data, self._parts = b"".join(self._parts[n] for n in sorted(self._parts)), {}
        try:
            unpacker = zlib.decompressobj()
            text = unpacker.decompress(data, MAX_LIST_BYTES)
            return json.loads(text) if unpacker.eof else None
        except (zlib.error, ValueError):
            return None


@dataclass(frozen=True, slots=True)
class RelayTimings:
    """When a softswitch asks for news, in seconds."""

    poll_interval_s: float = 0.4  # of a voter
    holder_silence_s: float = 0.6  # the owner was heard itself so lately: no voter is asked
    fallback_after_s: float = 2.0  # nothing heard for so long: it asks the coordinator itself


class EndpointListFollower:
    """Whether this softswitch asks the coordinator, and which voter it asks for news."""

    def __init__(self, voters: list[str], pace: RelayTimings, now: float) -> None:
        self.voters, self.timings = voters, pace
        self.heard_at = now
        self.polled_at = now - pace.poll_interval_s
        self._position = 0
        self._unanswered = 0

    def handle_update(self, now: float) -> None:
        """Something of the list's owner has come, be it that nothing is new."""
        self.heard_at, self._unanswered = now, 0

    def polls_coordinator(self, now: float, owner: bool, known: bool) -> bool:
        """Whether it follows the coordinator now: the owner does, and who knows no list or hears nothing."""
        return owner or not known or now - self.heard_at > self.timings.fallback_after_s

    def voter_to_poll(self, now: float, owner: bool, owner_heard: float = -math.inf) -> str:
        """The voter to be asked now; "" for none. Who hears the owner itself, as voters do, need not ask."""
        if (
            owner
            or now - self.polled_at < self.timings.poll_interval_s
            or now - owner_heard < self.timings.holder_silence_s
        ):
            return ""
        self.polled_at = now
        if self._unanswered:  # the last one said nothing: the next may
            self._position += 1
        self._unanswered += 1
        return self.voters[self._position % len(self.voters)]
