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
    lines: dict[str, Any] = field(default_factory=dict)

    def tell(self, answer: Any) -> None:
        """Take in an answer of the coordinator's, or what was handed on, that has been found good."""
        for event in answer["updates"]:
            told, index = event.get("endpoints"), int(event["index"])
            if told is not None and index > self.index:
                if told.get("reset"):
                    self.lines.clear()
                for line in told["instances"]:
                    self.lines[str(line["instanceId"])] = line
            self.index = max(self.index, index)
        self.index = max(self.index, int(answer["index"]))
        gone = [name for name, line in self.lines.items() if line.get("lifecycle") == "terminated"]
        for name in gone[:-64]:  # the last that went stay in it, so that all hear of them
            del self.lines[name]

    def answer(self) -> dict[str, Any]:
        """The whole of it as the coordinator would tell it."""
        told = {"reset": True, "instances": list(self.lines.values())}
        return {"index": self.index, "updates": [{"index": self.index, "endpoints": told}]}


def to_updates(listed: EndpointList, holder: str, ticket: int) -> list[EndpointUpdate]:
    """The list in messages."""
    data = zlib.compress(json.dumps(listed.answer()).encode(), 6)
    pieces = [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]
    return [
        EndpointUpdate(holder, ticket, listed.index, number, len(pieces), piece)
        for number, piece in enumerate(pieces)
    ]


class EndpointListAssembler:
    """Collects the parts of one list after the other; one that is newer puts the older out."""

    def __init__(self) -> None:
        self._key: tuple[int, int] = (0, 0)
        self._found: dict[int, bytes] = {}

    def add(self, news: EndpointUpdate) -> Any:
        """The whole answer once all parts are there; None before that, and for what is no list."""
        key = (news.ticket, news.after)
        if key < self._key or news.parts > MAX_PARTS or news.part >= news.parts:
            return None
        if key > self._key:
            self._key, self._found = key, {}
        self._found[news.part] = news.data
        if len(self._found) < news.parts:
            return None
        data, self._found = b"".join(self._found[n] for n in sorted(self._found)), {}
        try:
            unpacker = zlib.decompressobj()
            text = unpacker.decompress(data, MAX_LIST_BYTES)
            return json.loads(text) if unpacker.eof else None
        except (zlib.error, ValueError):
            return None


@dataclass(frozen=True, slots=True)
class RelayTimings:
    """When a softswitch asks for news, in seconds."""

    tune_s: float = 0.4  # of a voter
    beat_s: float = 0.6  # the owner was heard itself so lately: no voter is asked
    quiet_s: float = 2.0  # nothing heard for so long: it asks the coordinator itself


class EndpointListFollower:
    """Whether this softswitch asks the coordinator, and which voter it asks for news."""

    def __init__(self, voters: list[str], pace: RelayTimings, now: float) -> None:
        self.voters, self.pace = voters, pace
        self.heard = now
        self.tuned = now - pace.tune_s
        self._at = 0
        self._silent = 0

    def news(self, now: float) -> None:
        """Something of the list's owner has come, be it that nothing is new."""
        self.heard, self._silent = now, 0

    def asks(self, now: float, owner: bool, known: bool) -> bool:
        """Whether it follows the coordinator now: the owner does, and who knows no list or hears nothing."""
        return owner or not known or now - self.heard > self.pace.quiet_s

    def tune(self, now: float, owner: bool, owner_heard: float = -math.inf) -> str:
        """The voter to be asked now; "" for none. Who hears the owner itself, as voters do, need not ask."""
        if owner or now - self.tuned < self.pace.tune_s or now - owner_heard < self.pace.beat_s:
            return ""
        self.tuned = now
        if self._silent:  # the last one said nothing: the next may
            self._at += 1
        self._silent += 1
        return self.voters[self._at % len(self.voters)]
