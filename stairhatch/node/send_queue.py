"""What waits to be written to a roster server, and what has been written and is pending there.

A set-up becomes bytes only when it is about to be written: one whose caller has left meanwhile, or whose time
is up, is not sent. What the socket does not take comes back here. Releases that were written are kept for a
while, to be written once more should their connection prove dead.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from stairhatch.node.call_manager import CallManager
from stairhatch.node.calls import Attempt
from stairhatch.node.connection_liveness import ConnectionLiveness
from stairhatch.node.server_messages import render_setup

MAX_QUEUED_SETUPS = 512  # that one connection holds back; what comes beyond is not sent
MAX_QUEUED_RELEASES = 8192
MAX_RELEASES_KEPT = 512  # of those written last
MAX_RELEASE_WRITES = 3  # a release is written so often at most, should each connection break under it
RELEASES_KEPT_S = 10.0  # releases written on a connection that turns out dead are written again on the next
SIMULTANEOUS_S = 0.2  # what comes on two connections for the same cause may lie so far apart
MAX_SEND_BYTES = 64 * 1024  # handed out at a time
CALLERS_READ_S = 0.05  # reading what callers have sent counts no longer for what is about to be written
MAX_CALLER_READS = 3


@dataclass(slots=True, eq=False, repr=False)
class PendingRelease:
    """A release, or the giving up of a set-up, as it is written."""

    line: bytes
    writes: int = 0


QueuedItem = Attempt | PendingRelease | bytes  # bytes: a rendered line that is sent whatever happens


class SendQueue:
    """The lines to be written to one roster server, on the active connection."""

    def __init__(self, core: CallManager, liveness: ConnectionLiveness) -> None:
        """Begin with an empty queue; `liveness` is updated when a set-up is written."""
        self.pending_setups: dict[str, Attempt] = {}  # written, not yet answered; by the call's id
        self._core, self._liveness = core, liveness
        self._items: deque[QueuedItem] = deque()
        self._written_releases: deque[tuple[float, PendingRelease]] = deque(maxlen=MAX_RELEASES_KEPT)
        self._callers_read_at = math.inf  # last, for the set-ups that are handed out; inf: there is none
        self._unsent: list[tuple[QueuedItem, int]] = []  # handed out last, with their lengths

    def __len__(self) -> int:
        """How many items wait."""
        return len(self._items)

    @property
    def has_room_for_release(self) -> bool:
        """Whether one more release is queued here."""
        return len(self._items) < MAX_QUEUED_RELEASES

    def append_setup(self, attempt: Attempt) -> bool:
        """Add a set-up that is written last. False: there is no room."""
        if len(self._items) >= MAX_QUEUED_SETUPS:
            return False
        self._items.append(attempt)
        return True

    def append(self, item: QueuedItem) -> None:
        """Add what is written last."""
        self._items.append(item)

    def prepend(self, releases: list[PendingRelease]) -> None:
        """Add what is written first, in this order."""
        self._items.extendleft(reversed(releases))

    def extend(self, items: Iterable[QueuedItem]) -> None:
        """Add what is written last, in this order."""
        self._items.extend(items)

    def clear(self) -> None:
        """Drop what waits."""
        self._items.clear()

    def forget_written(self) -> None:
        """Nothing that was written is written again."""
        self._written_releases.clear()

    def take_all(self) -> list[QueuedItem]:
        """Everything that waits, in order, which then waits here no more."""
        items = list(self._items)
        self._items.clear()
        return items

    def take_setups(self) -> list[Attempt]:
        """The set-ups that wait, which then wait here no more."""
        setups = [item for item in self._items if isinstance(item, Attempt)]
        self._items = deque(item for item in self._items if not isinstance(item, Attempt))
        return setups

    def take_pending(self) -> list[Attempt]:
        """The set-ups that were written and are unanswered, which are pending here no more."""
        pending = list(self.pending_setups.values())
        self.pending_setups.clear()
        return pending

    def take_unconfirmed_releases(self) -> list[PendingRelease]:
        """Releases that were written, perhaps to nobody."""
        now = self._core.clock()
        since = max(self._liveness.last_received_at - SIMULTANEOUS_S, now - RELEASES_KEPT_S)
        found = [
            release
            for written_at, release in self._written_releases
            if written_at >= since and release.writes < MAX_RELEASE_WRITES
        ]
        self._written_releases.clear()
        return found

    def data_to_send(self) -> bytes:
        """What is to be written now. Where this process was stopped meanwhile, callers are read once more."""
        clock, data = self._core.clock, self._render()
        for _ in range(MAX_CALLER_READS):
            if clock() - self._callers_read_at < CALLERS_READ_S:
                break
            self.reclaim_unsent(data)
            data = self._render()
        return data

    def reclaim_unsent(self, rest: bytes) -> bytes:
        """The peer is slow: set-ups and releases wait here again, but for the line that was begun.

        So none is sent whose caller left, or whose time was up, while it lay before the socket. Returns the
        part of `rest` that has to be written.
        """
        size = len(rest)
        while self._unsent and self._unsent[-1][1] <= size:
            item, length = self._unsent.pop()
            size -= length
            if isinstance(item, Attempt):
                self.pending_setups.pop(item.call.request.ident, None)
                self._core.attempts.retract_transmission(item)
            elif isinstance(item, PendingRelease):
                item.writes -= 1
                self._written_releases.pop()
            self._items.appendleft(item)
        return rest[:size]

    def _render(self) -> bytes:
        """What callers have sent until now is read before the first set-up.

        Some of them may have left while this process was stopped, or while the set-up waited here.
        """
        core, lines, size = self._core, [], 0
        self._unsent.clear()
        self._callers_read_at = math.inf
        while self._items and size < MAX_SEND_BYTES:
            item = self._items.popleft()
            if isinstance(item, Attempt):
                if self._callers_read_at == math.inf:
                    core.read_callers()
                    self._callers_read_at = core.clock()
                line = self._render_setup(item)
                if line is None:
                    continue
            elif isinstance(item, PendingRelease):
                item.writes += 1
                self._written_releases.append((core.clock(), item))
                line = item.line
            else:
                line = item
            lines.append(line)
            self._unsent.append((item, len(line)))
            size += len(line)
        return b"".join(lines)

    def _render_setup(self, attempt: Attempt) -> bytes | None:
        """A set-up that is about to be written; None: it must not be sent any more."""
        core, liveness = self._core, self._liveness
        if not core.attempts.claim_transmission(attempt):
            return None
        request = attempt.call.request
        if liveness.response_due_since <= liveness.last_activity_at:
            liveness.response_due_since = core.clock()
        self.pending_setups[request.ident] = attempt
        return render_setup(
            request.ident,
            request.call_class.name,
            request.called_uri,
            request.description,
            attempt.remaining_ms,
        )
