"""Relay of the roster servers' endpoint list, which one member fetches for the whole fleet; free of I/O.

The holder of the lease `list` polls the coordinator and sends the whole list, with its index and the fencing
token, to the voters. Every other member polls the voters for a list that is newer than its own, and changes
to the next voter if one does not answer. It is therefore enough that the holder reaches one voter, and that a
member reaches one such voter. A list is sent whole, compressed and in parts, so that lost, duplicated or
reordered messages do no harm. An older list never replaces a newer one, and a member that receives no updates
polls the coordinator itself.
"""

from __future__ import annotations

import json
import math
import zlib
from dataclasses import dataclass, field
from typing import Any

from stairhatch.fleet.messages import EndpointUpdate
from stairhatch.node.endpoint_list import is_marked_complete

PART_BYTES = 1000  # maximum size of a part, which travels in one datagram
MAX_PARTS = 256
COMPRESSION_LEVEL = 6
MAX_TERMINATED = 64  # terminated servers that remain listed, so that all members learn of the termination
MAX_LIST_BYTES = 4 * 1024 * 1024


@dataclass(slots=True)
class EndpointList:
    """The endpoint list of one member: the index of the last event, and the record of each server."""

    index: int = 0
    instances: dict[str, Any] = field(default_factory=dict)

    def apply(self, answer: Any) -> None:
        """Apply the events of a valid answer, received from the coordinator or relayed by a member.

        Events that are not newer than `index` are ignored. Of the terminated servers, the last
        `MAX_TERMINATED` are kept.
        """
        for event in answer["updates"]:
            endpoints = event.get("endpoints")
            index = int(event["index"])
            if endpoints is not None and index > self.index:
                if is_marked_complete(endpoints):
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
        """Return the complete list in the form of a coordinator's answer."""
        endpoints = {"reset": True, "instances": list(self.instances.values())}
        return {"index": self.index, "updates": [{"index": self.index, "endpoints": endpoints}]}


def to_updates(endpoints: EndpointList, holder: str, token: int) -> list[EndpointUpdate]:
    """Return the messages that carry the list, sent by `holder` under a fencing token."""
    data = zlib.compress(json.dumps(endpoints.to_answer()).encode(), COMPRESSION_LEVEL)
    parts = [data[offset : offset + PART_BYTES] for offset in range(0, len(data), PART_BYTES)]
    return [
        EndpointUpdate(holder, token, endpoints.index, part_index, len(parts), part)
        for part_index, part in enumerate(parts)
    ]


class EndpointListAssembler:
    """Reassembly buffer for the parts of one list; a part of a newer list discards those of an older one."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._version: tuple[int, int] = (0, 0)  # fencing token and index of the newest list
        self._parts: dict[int, bytes] = {}

    def add(self, update: EndpointUpdate) -> Any:
        """Add a part; return the list, as a coordinator's answer, once all of its parts have been added.

        Return None before that, and for a list that is outdated, too large or not valid compressed JSON.
        """
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
    """Intervals of a member's polls for updates, in seconds."""

    poll_interval_s: float = 0.4  # between two polls of voters, and between two heartbeats of the holder
    holder_silence_s: float = 0.6  # voters are polled only if the holder has been silent for this long
    fallback_after_s: float = 2.0  # the coordinator is polled after this long without any update


class EndpointListFollower:
    """Schedule by which one member polls the coordinator and the voters for updates."""

    def __init__(self, voters: list[str], timings: RelayTimings, now: float) -> None:
        """`voters` are polled in this order; the current time counts as the time of the last update."""
        self.voters = voters
        self.timings = timings
        self.last_update_at = now
        self.last_poll_at = now - timings.poll_interval_s
        self._voter_position = 0
        self._unanswered_polls = 0

    def handle_update(self, now: float) -> None:
        """Record an update, which may also be a heartbeat without a list."""
        self.last_update_at = now
        self._unanswered_polls = 0

    def polls_coordinator(self, now: float, is_holder: bool, has_list: bool) -> bool:
        """Return whether the member should poll the coordinator.

        It does so as the holder, without a list, and after `fallback_after_s` without an update.
        """
        return is_holder or not has_list or now - self.last_update_at > self.timings.fallback_after_s

    def voter_to_poll(
        self, now: float, is_holder: bool, last_holder_update_at: float = -math.inf
    ) -> str | None:
        """Return the voter to poll now; None if no poll is due.

        A member that receives updates from the holder itself, as voters do, polls no voter.
        """
        has_polled_recently = now - self.last_poll_at < self.timings.poll_interval_s
        is_updated_by_holder = now - last_holder_update_at < self.timings.holder_silence_s
        if is_holder or has_polled_recently or is_updated_by_holder:
            return None
        self.last_poll_at = now
        if self._unanswered_polls:  # the last voter did not answer: try the next one
            self._voter_position += 1
        self._unanswered_polls += 1
        return self.voters[self._voter_position % len(self.voters)]
