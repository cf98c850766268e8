"""Limits on the memory that callers' messages may take in one process, over all connections.

The limits are fractions of the memory that the platform allows. The module uses no socket.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import Protocol

BYTES_PER_MB = 1024 * 1024
RECEIVE_FRACTION = 1 / 32  # of the memory, for incomplete messages
PENDING_FRACTION = 1 / 16  # of the memory, for set-ups without a final answer
TERMINATED_IDS_PER_MB = 128
PENDING_SETUP_BYTES = 2048  # of the state of one pending set-up, without its description and its headers


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """The limits of one process."""

    receive_bytes: float = math.inf
    pending_bytes: float = math.inf

    @classmethod
    def for_memory(cls, memory_mb: float) -> MemoryLimits:
        """Return the limits of a process that may use so much memory."""
        total = memory_mb * BYTES_PER_MB
        return cls(total * RECEIVE_FRACTION, total * PENDING_FRACTION)


NO_MEMORY_LIMITS = MemoryLimits()


class PartialMessageHolder(Protocol):
    """A connection that holds an incomplete message."""

    def drop_partial_message(self) -> None:
        """Give up the incomplete message and close the connection."""


class ReceiveBudget:
    """The bytes of incomplete messages on all connections.

    Above the limit the message that has been incomplete for longest is given up: callers that write at once,
    or in quick pieces, are spared.
    """

    def __init__(self, limit_bytes: float) -> None:
        """Start with no incomplete message."""
        self.total_bytes = 0
        self._limit_bytes = limit_bytes
        self._held: OrderedDict[PartialMessageHolder, int] = OrderedDict()  # bytes; the oldest message first

    def update(self, holder: PartialMessageHolder, held_bytes: int, is_new_message: bool = False) -> None:
        """Note how many bytes a connection holds, and give up the oldest messages above the limit.

        `is_new_message` says that the connection has completed a message since the last update, so that what
        it holds now is younger: a busy connection holds the beginning of some message nearly always.
        """
        self.total_bytes += held_bytes - self._held.get(holder, 0)
        if is_new_message:
            self._held.pop(holder, None)
        if held_bytes:
            self._held[holder] = held_bytes
        else:
            self._held.pop(holder, None)
        while self.total_bytes > self._limit_bytes and self._held:
            oldest, dropped_bytes = self._held.popitem(last=False)
            self.total_bytes -= dropped_bytes
            oldest.drop_partial_message()


class PendingBudget:
    """The memory of set-ups without a final answer on all connections.

    A connection may take as much as it leaves free (a dynamic threshold): one that floods leaves half of the
    limit to others, and two leave a third.
    """

    def __init__(self, limit_bytes: float) -> None:
        """Start with no pending set-up."""
        self.total_bytes = 0
        self._limit_bytes = limit_bytes

    def has_room(self, held_bytes: int, added_bytes: int) -> bool:
        """Return whether a connection that holds `held_bytes` may take a further set-up."""
        free_bytes = self._limit_bytes - self.total_bytes - added_bytes
        return held_bytes + added_bytes <= free_bytes
