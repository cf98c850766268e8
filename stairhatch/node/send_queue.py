"""The queue of lines to one roster server, with the set-ups that are written and unanswered.

A set-up is rendered only when it can be written, so that a set-up whose caller has left or whose deadline has
passed is not sent. Lines that the socket does not take return to the queue. Written releases are kept for a
while, to be written again if their connection proves dead.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Attempt, RosterServer
from stairhatch.node.connection_liveness import ConnectionLiveness
from stairhatch.node.server_messages import render_setup

MAX_QUEUED_SETUPS = 512  # per connection; set-ups beyond this are not sent
MAX_QUEUED_RELEASES = 8192
MAX_RETAINED_RELEASES = 512  # the most recently written releases
MAX_RELEASE_WRITES = 3  # limit for a release whose connections break one after the other
RELEASE_RETENTION_S = 10.0  # releases written this recently are repeated if their connection proves dead
MAX_ARRIVAL_SKEW_S = 0.2  # between messages that a server sends on two connections at the same time
MAX_SEND_BYTES = 64 * 1024  # returned by one call of `data_to_send`, plus at most one line
CALLERS_READ_VALID_S = 0.05  # after it, callers are read again before rendered set-ups are written
MAX_CALLER_READS = 3


@dataclass(slots=True, eq=False, repr=False)
class PendingRelease:
    """The release of a call or the cancellation of a set-up: its line, and how often it was written."""

    call_id: str
    line: bytes
    writes: int = 0


QueuedItem = Attempt | PendingRelease | bytes  # bytes: a rendered line that is sent unconditionally


class SendQueue:
    """The queue of lines that one connection writes to its roster server."""

    def __init__(self, call_manager: CallManager, liveness: ConnectionLiveness) -> None:
        """Create an empty queue; `liveness` is updated when a set-up is written."""
        self.pending_setups: dict[str, Attempt] = {}  # written and unanswered, by call id
        self._call_manager, self._liveness = call_manager, liveness
        self._items: deque[QueuedItem] = deque()
        self._written_releases: deque[tuple[float, PendingRelease]] = deque(maxlen=MAX_RETAINED_RELEASES)
        self._callers_read_at = math.inf  # when callers were last read for rendered set-ups; inf: none
        self._unsent: list[tuple[QueuedItem, int]] = []  # items rendered last, with their lengths in bytes

    def __len__(self) -> int:
        """Return the number of queued items."""
        return len(self._items)

    @property
    def has_room_for_release(self) -> bool:
        """Whether the queue has room for one more release."""
        return len(self._items) < MAX_QUEUED_RELEASES

    def append_setup(self, attempt: Attempt) -> bool:
        """Add a set-up at the end of the queue; return False if the queue is full."""
        if self._is_full_of_setups():
            return False
        self._items.append(attempt)
        return True

    def _is_full_of_setups(self) -> bool:
        if len(self._items) < MAX_QUEUED_SETUPS:
            return False
        return sum(isinstance(item, Attempt) for item in self._items) >= MAX_QUEUED_SETUPS

    def append(self, item: QueuedItem) -> None:
        """Add an item at the end of the queue, whatever its length."""
        self._items.append(item)

    def prepend(self, releases: list[PendingRelease]) -> None:
        """Add releases at the front of the queue, in the given order."""
        self._items.extendleft(reversed(releases))

    def extend(self, items: Iterable[QueuedItem]) -> None:
        """Add items at the end of the queue, in the given order."""
        self._items.extend(items)

    def clear(self) -> None:
        """Drop all queued items; pending set-ups and written releases stay."""
        self._items.clear()

    def discard_written_releases(self) -> None:
        """Drop the kept releases, so that none is written again."""
        self._written_releases.clear()

    def take_all(self) -> list[QueuedItem]:
        """Remove and return all queued items, in order."""
        items = list(self._items)
        self._items.clear()
        return items

    def take_setups(self) -> list[Attempt]:
        """Remove and return the queued set-ups, in order."""
        setups = [item for item in self._items if isinstance(item, Attempt)]
        self._items = deque(item for item in self._items if not isinstance(item, Attempt))
        return setups

    def take_pending(self) -> list[Attempt]:
        """Remove and return the set-ups that are written and unanswered."""
        pending = list(self.pending_setups.values())
        self.pending_setups.clear()
        return pending

    def take_unconfirmed_releases(self, server: RosterServer) -> list[PendingRelease]:
        """Remove the kept releases; return those that may not have reached the server and may be repeated.

        A release is not repeated behind a later set-up of its call, which it would end at the server.
        """
        now = self._call_manager.clock()
        since = max(self._liveness.last_received_at - MAX_ARRIVAL_SKEW_S, now - RELEASE_RETENTION_S)
        found = [
            release
            for written_at, release in self._written_releases
            if written_at >= since
            and release.writes < MAX_RELEASE_WRITES
            and not self._call_manager.calls.has_written_setup_at(release.call_id, server)
        ]
        self._written_releases.clear()
        return found

    def data_to_send(self) -> bytes:
        """Return the bytes to be written now.

        If this process was stopped after it read the callers' data, the callers are read and the lines
        rendered once more, up to `MAX_CALLER_READS` times.
        """
        clock, data = self._call_manager.clock, self._render()
        for _ in range(MAX_CALLER_READS):
            if clock() - self._callers_read_at < CALLERS_READ_VALID_S:
                break
            self.reclaim_unsent(data)
            data = self._render()
        return data

    def reclaim_unsent(self, rest: bytes) -> bytes:
        """Queue the items again that the socket did not take at all; `rest` is the unwritten part.

        A set-up is then not sent if its caller leaves or its deadline passes before the socket takes more.
        Returns the part of `rest` that must still be written: the rest of a partly written line.
        """
        size = len(rest)
        while self._unsent and self._unsent[-1][1] <= size:
            item, length = self._unsent.pop()
            size -= length
            if isinstance(item, Attempt):
                self.pending_setups.pop(item.call.request.ident, None)
                self._call_manager.attempts.retract_transmission(item)
            elif isinstance(item, PendingRelease):
                item.writes -= 1
                self._written_releases.pop()
            self._items.appendleft(item)
        return rest[:size]

    def _render(self) -> bytes:
        """Return the rendered lines of queued items, about `MAX_SEND_BYTES` at most.

        Data that callers have sent is read before the first set-up is rendered: a caller may have left while
        this process was stopped or while the set-up was queued.
        """
        call_manager, lines, size = self._call_manager, [], 0
        self._unsent.clear()
        self._callers_read_at = math.inf
        while self._items and size < MAX_SEND_BYTES:
            item = self._items.popleft()
            if isinstance(item, Attempt):
                if self._callers_read_at == math.inf:
                    call_manager.read_callers()
                    self._callers_read_at = call_manager.clock()
                line = self._render_setup(item)
                if line is None:
                    continue
            elif isinstance(item, PendingRelease):
                item.writes += 1
                self._written_releases.append((call_manager.clock(), item))
                call_manager.attempts.release_written(item.call_id)
                line = item.line
            else:
                line = item
            lines.append(line)
            self._unsent.append((item, len(line)))
            size += len(line)
        return b"".join(lines)

    def _render_setup(self, attempt: Attempt) -> bytes | None:
        """Return the line of a set-up and mark it as pending, or None if it must not be sent any more."""
        call_manager, liveness = self._call_manager, self._liveness
        if not call_manager.attempts.claim_transmission(attempt):
            return None
        request = attempt.call.request
        if liveness.response_due_since <= liveness.last_activity_at:
            liveness.response_due_since = call_manager.clock()
        self.pending_setups[request.ident] = attempt
        attempt.connection_id = liveness.connection_id
        return render_setup(
            request.ident,
            request.call_class.name,
            request.called_uri,
            request.description,
            attempt.remaining_ms,
        )
