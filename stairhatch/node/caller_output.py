"""Output of one caller's connection: what waits to be written, and whether the caller still reads.

Responses are queued as bytes. Releases are queued by call and rendered only as the driver fetches them, one
chunk at a time: after a restart thousands may wait for one caller, who reads them at the pace of its
connection. Output that waits is no sign of a caller that does not read, since the driver may not have run
since it was queued. A caller counts as not reading in two cases: its socket takes nothing while more than
`MAX_UNSENT_BYTES` of responses wait, or more than that waits in all and the driver has fetched nothing for
`STALL_CHECKS` checks. The module uses no socket; times are in seconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from stairhatch.node.context import NodeContext
from stairhatch.node.timer_wheel import TimerWheel

MAX_UNSENT_BYTES = 128 * 1024
RELEASE_CHUNK_BYTES = 16 * 1024  # releases are rendered until one fetch holds this much
RELEASE_BYTES = 224  # size of a rendered release, rounded
STALL_CHECK_INTERVAL_S = 0.5
STALL_CHECKS = 2  # after a stall of the process a check may run before the driver, so one proves nothing


class UnreadReason(StrEnum):
    """The reason why a caller counts as not reading; the log has the values."""

    RESPONSES = "responses unread"
    NO_PROGRESS = "nothing written"


class QueuedRelease(NamedTuple):
    """A release that waits to be rendered; `cause` is a Q.850 cause."""

    call_id: str
    cause: int


class CallerOutput:
    """Output queue of one caller's connection."""

    def __init__(
        self,
        context: NodeContext,
        timers: TimerWheel,
        render_release: Callable[[str, int], bytes],
        on_unread: Callable[[UnreadReason], None],
    ) -> None:
        """Start empty. `render_release` returns no bytes for a release that is no longer needed.

        `on_unread` is called once the caller counts as not reading.
        """
        self._context, self._timers = context, timers
        self._render_release, self._on_unread = render_release, on_unread
        self._responses: list[bytes] = []
        self._response_bytes = 0
        self._releases: deque[QueuedRelease] = deque()
        self._waiting_calls: set[str] = set()  # the calls of `_releases`
        self._fetches = 0
        self._fetches_at_check = 0
        self._checks_without_fetch = 0
        self._is_check_scheduled = False

    def __bool__(self) -> bool:
        """Whether anything waits to be written."""
        return bool(self._responses or self._releases)

    def unsent_bytes(self) -> int:
        """Return the size of all that waits; releases are estimated."""
        return self._response_bytes + len(self._releases) * RELEASE_BYTES

    def append_response(self, data: bytes, is_blocked: bool) -> None:
        """Queue a response; `is_blocked`: the socket has not taken all that was fetched before."""
        self._responses.append(data)
        self._response_bytes += len(data)
        if is_blocked and self._response_bytes > MAX_UNSENT_BYTES:
            self._on_unread(UnreadReason.RESPONSES)
        else:
            self._watch_progress()

    def append_release(self, call_id: str, cause: int, is_blocked: bool) -> None:
        """Queue a release, which is rendered when it is fetched; one that waits for the socket is enough."""
        if is_blocked and call_id in self._waiting_calls:
            return
        self._waiting_calls.add(call_id)
        self._releases.append(QueuedRelease(call_id, cause))
        self._watch_progress()

    def fetch(self) -> bytes:
        """Remove and return the bytes to write next: all responses, then at most one chunk of releases."""
        self._fetches += 1
        responses = b"".join(self._responses)
        self._responses.clear()
        self._response_bytes = 0
        return responses + self._next_releases() if self._releases else responses

    def _next_releases(self) -> bytes:
        chunk = bytearray()
        while self._releases and len(chunk) < RELEASE_CHUNK_BYTES:
            release = self._releases.popleft()
            self._waiting_calls.discard(release.call_id)
            chunk += self._render_release(release.call_id, release.cause)
        return bytes(chunk)

    def clear(self) -> None:
        """Discard all output of a connection that has ended."""
        self._responses.clear()
        self._response_bytes = 0
        self._releases.clear()
        self._waiting_calls.clear()

    # ---- whether the caller reads ----

    def _watch_progress(self) -> None:
        if self._is_check_scheduled or self.unsent_bytes() <= MAX_UNSENT_BYTES:
            return
        self._checks_without_fetch = 0
        self._fetches_at_check = self._fetches
        self._schedule_check()

    def _schedule_check(self) -> None:
        self._is_check_scheduled = True
        self._timers.schedule(self._context.clock() + STALL_CHECK_INTERVAL_S, self._check_progress)

    def _check_progress(self) -> None:
        """Report a caller that does not read, or check again while too much waits."""
        self._is_check_scheduled = False
        if self.unsent_bytes() <= MAX_UNSENT_BYTES:
            return
        has_progressed = self._fetches != self._fetches_at_check
        self._checks_without_fetch = 0 if has_progressed else self._checks_without_fetch + 1
        self._fetches_at_check = self._fetches
        if self._checks_without_fetch >= STALL_CHECKS:
            self._on_unread(UnreadReason.NO_PROGRESS)
        else:
            self._schedule_check()
