"""Delivery of releases to the platform's callers: each is sent again until a caller has acknowledged it.

A release belongs to a call and to no connection. It goes on the call's own connection while that is open,
else on the one most likely to be read; unacknowledged it goes on another, and where nobody reads it is kept
for whoever connects next. Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from stairhatch.node.call_manager import CallManager

RELEASE_KEPT_S = 30.0  # how long a release waits for a caller to connect
ACKNOWLEDGED_WITHIN_S = 0.3  # one that is not acknowledged within this time goes on another connection
EXPIRY_MARGIN_S = 0.01  # a release is looked at so much later than its end
MAX_ATTEMPTS = 4
MAX_PENDING = 8192  # releases that are not acknowledged yet
MAX_REQUESTS_RANKED = 8  # a connection that has brought more requests is no likelier to be read


class ReleaseChannel(Protocol):
    """A connection that releases can be sent on."""

    closing: bool
    is_caller: bool  # a caller's, and no health check's
    requests: int
    has_acknowledged: bool  # a release was acknowledged on it

    def send_release(self, call_id: str, cause: int) -> None:
        """Send a release."""


@dataclass(slots=True, eq=False, repr=False)
class UnacknowledgedRelease:
    """A release that its caller has not acknowledged yet."""

    cause: int
    since: float
    tried: list[ReleaseChannel] = field(default_factory=list)


class ReleaseDelivery:
    """Sends releases to the platform's callers until each is acknowledged, or too old."""

    def __init__(self, core: CallManager, channels: Collection[ReleaseChannel]) -> None:
        """Send on `channels`, which others keep: the open ones, of which the last that spoke comes last."""
        self.pending: dict[str, UnacknowledgedRelease] = {}  # by the call's id, the oldest first
        self._core, self._channels = core, channels

    def is_only_listener(self, channel: ReleaseChannel) -> bool:
        """Whether no other connection is as likely to be read."""
        others = (c for c in self._channels if c is not channel and c.is_caller and not c.closing)
        return channel.is_caller and not any(c.has_acknowledged >= channel.has_acknowledged for c in others)

    def deliver_waiting(self, channel: ReleaseChannel) -> None:
        """A caller has connected: releases that found no connection at all go to it."""
        for call_id, release in list(self.pending.items()):
            if not release.tried:
                self._send(call_id, release, channel)

    def deliver(self, call_id: str, cause: int, preferred: ReleaseChannel | None = None) -> None:
        """Send a release: on the preferred connection while that is open."""
        if len(self.pending) >= MAX_PENDING:
            self._drop(next(iter(self.pending)))
        release = self.pending[call_id] = UnacknowledgedRelease(cause, self._core.clock())
        self._send(call_id, release, preferred)

    def acknowledged(self, call_id: str) -> bool:
        """A caller has acknowledged a release, or released the call itself. False: none was under way."""
        return self.pending.pop(call_id, None) is not None

    def awaits_acknowledgement(self, channel: ReleaseChannel, call_ids: set[str]) -> bool:
        """Whether one of these releases was sent last on this connection and is unacknowledged."""
        return any(self._last_sent_on(channel, call_id) is not None for call_id in call_ids)

    def resend(self, channel: ReleaseChannel, call_ids: set[str]) -> None:
        """A connection has ended: those of these releases that were sent last on it go on another."""
        for call_id in call_ids:
            release = self._last_sent_on(channel, call_id)
            if release is not None:
                self._send(call_id, release)

    def is_settled(self) -> bool:
        """Whether each release that was sent has been acknowledged."""
        return not any(release.tried for release in self.pending.values())

    # ---- inside ----

    def _last_sent_on(self, channel: ReleaseChannel, call_id: str) -> UnacknowledgedRelease | None:
        release = self.pending.get(call_id)
        if release is not None and release.tried and release.tried[-1] is channel:
            return release
        return None

    def _drop(self, call_id: str) -> None:
        self.pending.pop(call_id, None)
        self._core.counters.add("releases_unacknowledged")

    def _send(
        self, call_id: str, release: UnacknowledgedRelease, preferred: ReleaseChannel | None = None
    ) -> None:
        """Send a release, and again on another connection until it is acknowledged.

        A caller may hold a connection and read no release on it: what spoke last may be one that asks once.
        """
        core = self._core
        now = core.clock()
        if core.readiness.drain_since is not None:
            release.since = now  # kept for the next caller, however long the drain
        if now - release.since > RELEASE_KEPT_S:
            self._drop(call_id)
            return
        if len(release.tried) >= MAX_ATTEMPTS:  # nobody here reads: kept for whoever connects next
            release.tried.clear()
            expires_at = release.since + RELEASE_KEPT_S + EXPIRY_MARGIN_S
            core.timers.schedule(expires_at, partial(self._check, call_id, release, 0))
            return
        is_usable = preferred is not None and preferred in self._channels and not preferred.closing
        channel = preferred if is_usable else self._likeliest_listener(release)
        if channel is not None:
            release.tried.append(channel)
            channel.send_release(call_id, release.cause)
            attempts = len(release.tried)
            core.timers.schedule(
                now + ACKNOWLEDGED_WITHIN_S, partial(self._check, call_id, release, attempts)
            )
        else:
            release.tried.clear()  # the next connection gets it
            core.timers.schedule(now + RELEASE_KEPT_S, partial(self._check, call_id, release, 0))

    def _check(self, call_id: str, release: UnacknowledgedRelease, attempts: int) -> None:
        """Send it again unless it was acknowledged, or sent, meanwhile."""
        if self.pending.get(call_id) is release and len(release.tried) == attempts:
            self._send(call_id, release)

    def _likeliest_listener(self, release: UnacknowledgedRelease) -> ReleaseChannel | None:
        """The connection most likely to be read.

        That is one that has acknowledged a release, or brought most requests, and lately. Where all were
        tried it is the one tried last.
        """
        best, found = (False, -1), None
        for channel in self._channels:  # of equals the one that spoke last
            value = (channel.has_acknowledged, min(channel.requests, MAX_REQUESTS_RANKED))
            fit = channel.is_caller and not channel.closing
            if fit and channel not in release.tried and value >= best:
                best, found = value, channel
        tried = (c for c in reversed(release.tried) if c in self._channels and not c.closing)
        return found or next(tried, None)
