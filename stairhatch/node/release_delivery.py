"""Delivery of releases to the platform's callers; each release is repeated until a caller acknowledges it.

A release belongs to a call, not to a connection. It is sent on the call's own connection while that is open,
else on the connection that a caller most likely reads. A release that is not acknowledged is sent on another
connection; if no caller acknowledges it, it is kept for the next caller that connects. Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from stairhatch.node.call_manager import CallManager

RELEASE_KEPT_S = 30.0  # a release waits this long for a caller to connect
ACKNOWLEDGEMENT_TIMEOUT_S = 0.3  # an unacknowledged release is sent on another connection after this time
EXPIRY_MARGIN_S = 0.01  # the expiry timer of a release fires this long after RELEASE_KEPT_S
MAX_SENDS = 4  # sends of one release before it is kept for the next caller that connects
MAX_PENDING = 8192  # limit on unacknowledged releases; above it the oldest is dropped
MAX_REQUESTS_RANKED = 8  # more requests on a connection don't make it likelier that its caller reads


class ReleaseChannel(Protocol):
    """Interface of a connection that releases can be sent on."""

    number: int  # identifies the connection in the log
    closing: bool
    is_caller: bool  # used by a caller, not for health checks only
    requests: int  # complete requests received on the connection
    has_acknowledged: bool  # a release was acknowledged on the connection

    def send_release(self, call_id: str, cause: int) -> None:
        """Send a release of a call by a Q.850 cause."""


@dataclass(slots=True, eq=False, repr=False)
class UnacknowledgedRelease:
    """State of a release that its caller has not acknowledged yet."""

    cause: int
    since: float
    tried: list[ReleaseChannel] = field(default_factory=list)


class ReleaseDelivery:
    """Sender of releases to the platform's callers; repeats each until it is acknowledged or expires."""

    def __init__(self, call_manager: CallManager, channels: Collection[ReleaseChannel]) -> None:
        """Send on `channels`, the open connections, whose owner keeps them ordered by last activity."""
        self.pending: dict[str, UnacknowledgedRelease] = {}  # by the call's id, the oldest first
        self._call_manager, self._channels = call_manager, channels

    def is_only_listener(self, channel: ReleaseChannel) -> bool:
        """Whether the channel is a caller's and no other open one is as likely to be read by its caller."""
        others = (c for c in self._channels if c is not channel and c.is_caller and not c.closing)
        return channel.is_caller and not any(c.has_acknowledged >= channel.has_acknowledged for c in others)

    def deliver_waiting(self, channel: ReleaseChannel) -> None:
        """Send the releases that wait for a connection to a caller that has connected."""
        for call_id, release in list(self.pending.items()):
            if not release.tried:
                self._send(call_id, release, channel)

    def deliver(self, call_id: str, cause: int, preferred: ReleaseChannel | None = None) -> None:
        """Send a release of a call by a Q.850 cause, on the preferred connection if that is open."""
        if len(self.pending) >= MAX_PENDING:
            self._drop(next(iter(self.pending)))
        release = self.pending[call_id] = UnacknowledgedRelease(cause, self._call_manager.clock())
        self._send(call_id, release, preferred)

    def acknowledged(self, call_id: str) -> bool:
        """Stop repeating the release of a call that a caller has acknowledged, or has released itself.

        Returns whether an unacknowledged release of the call existed.
        """
        release = self.pending.pop(call_id, None)
        if release is not None and self._call_manager.context.tracing:
            after_s = round(self._call_manager.clock() - release.since, 3)
            self._call_manager.log("release_acknowledged", call=call_id, after_s=after_s)
        return release is not None

    def awaits_acknowledgement(self, channel: ReleaseChannel, call_ids: set[str]) -> bool:
        """Whether one of these calls has an unacknowledged release that was last sent on this connection."""
        return any(self._last_sent_on(channel, call_id) is not None for call_id in call_ids)

    def resend(self, channel: ReleaseChannel, call_ids: set[str]) -> None:
        """Resend those of these calls' unacknowledged releases that were last sent on an ended connection."""
        for call_id in call_ids:
            release = self._last_sent_on(channel, call_id)
            if release is not None:
                self._send(call_id, release)

    def is_settled(self) -> bool:
        """Whether each release that was sent has been acknowledged."""
        return not any(release.tried for release in self.pending.values())

    # ---- sending and repeating one release ----

    def _last_sent_on(self, channel: ReleaseChannel, call_id: str) -> UnacknowledgedRelease | None:
        release = self.pending.get(call_id)
        if release is not None and release.tried and release.tried[-1] is channel:
            return release
        return None

    def _drop(self, call_id: str) -> None:
        self.pending.pop(call_id, None)
        self._call_manager.counters.add("releases_unacknowledged")

    def _send(
        self, call_id: str, release: UnacknowledgedRelease, preferred: ReleaseChannel | None = None
    ) -> None:
        """Send a release, and schedule its repetition on another connection until it is acknowledged.

        A caller may keep a connection open and not read releases on it; the last active connection may belong
        to a client that sends one request and does not read afterwards.
        """
        call_manager = self._call_manager
        now = call_manager.clock()
        if call_manager.readiness.drain_since is not None:
            release.since = now  # does not expire during a drain: kept for the next caller
        if now - release.since > RELEASE_KEPT_S:
            self._drop(call_id)
            return
        if len(release.tried) >= MAX_SENDS:  # no connected caller reads: kept for the next connection
            release.tried.clear()
            expires_at = release.since + RELEASE_KEPT_S + EXPIRY_MARGIN_S
            call_manager.timers.schedule(
                expires_at, partial(self._retry_unless_acknowledged, call_id, release, 0)
            )
            return
        is_usable = preferred is not None and preferred in self._channels and not preferred.closing
        channel = preferred if is_usable else self._likeliest_listener(release)
        if channel is not None:
            release.tried.append(channel)
            channel.send_release(call_id, release.cause)
            attempts = len(release.tried)
            if call_manager.context.tracing:
                call_manager.log(
                    "release_sent", call=call_id, caller_connection=channel.number, attempt=attempts
                )
            call_manager.timers.schedule(
                now + ACKNOWLEDGEMENT_TIMEOUT_S,
                partial(self._retry_unless_acknowledged, call_id, release, attempts),
            )
        else:
            release.tried.clear()  # no open connection: kept for the next one
            call_manager.timers.schedule(
                now + RELEASE_KEPT_S, partial(self._retry_unless_acknowledged, call_id, release, 0)
            )

    def _retry_unless_acknowledged(self, call_id: str, release: UnacknowledgedRelease, attempts: int) -> None:
        """Send a release again unless it was acknowledged or was not sent exactly `attempts` times."""
        if self.pending.get(call_id) is release and len(release.tried) == attempts:
            self._send(call_id, release)

    def _likeliest_listener(self, release: UnacknowledgedRelease) -> ReleaseChannel | None:
        """Return the open connection that a caller most likely reads and that was not tried for this release.

        Connections that have acknowledged a release come first, then those with more requests, then those
        active more recently. If all were tried, returns the open one tried last; None if none is open.
        """
        best_rank, found = (False, -1), None
        for channel in self._channels:  # of equal ranks the last active one is chosen
            rank = (channel.has_acknowledged, min(channel.requests, MAX_REQUESTS_RANKED))
            is_usable = channel.is_caller and not channel.closing
            if is_usable and channel not in release.tried and rank >= best_rank:
                best_rank, found = rank, channel
        tried = (c for c in reversed(release.tried) if c in self._channels and not c.closing)
        return found or next(tried, None)
