"""Session timers (RFC 4028): their negotiation, and the times at which a session is refreshed or released.

This module does no I/O: the clock is passed in. All times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from stairhatch.node import sip_message as sip
from stairhatch.sip import grammar
from stairhatch.sip.rejection import RequestRejection

MIN_SESSION_EXPIRES_S = 90  # the minimum session interval (RFC 4028, section 4)
MAX_SESSION_EXPIRES_S = 86_400  # longer intervals are useless and are reduced to this
# A session is released 32 s or a third of its interval before its expiration, whichever is less (RFC 4028,
# section 10).
RELEASE_MARGIN_S = 32.0
RELEASE_MARGIN_DIVISOR = 3.0
SESSION_INTERVAL_TOO_SMALL = 422


class Refresher(Enum):
    """The side that refreshes a session; the value is its role in the caller's request (refresher=)."""

    CALLER = "uac"
    LOCAL = "uas"
    NONE = ""


@dataclass(frozen=True, slots=True)
class SessionTimerPolicy:
    """The configured session interval and its minimum."""

    interval_s: int = 1800  # used if a caller supports timers without Session-Expires; 0 for no timer
    min_interval_s: int = MIN_SESSION_EXPIRES_S


@dataclass(frozen=True, slots=True)
class SessionTimer:
    """A negotiated session timer: the session interval and the side that refreshes the session."""

    interval_s: int
    refresher: Refresher
    required: bool = False  # true if the caller supports timers, so that the response has `Require: timer`

    @property
    def release_after_s(self) -> float:
        """The time from the last refresh to the release of the session.

        The release precedes the expiration (RFC 4028, section 10), so that both sides agree that the session
        has ended.
        """
        return self.interval_s - min(RELEASE_MARGIN_S, self.interval_s / RELEASE_MARGIN_DIVISOR)

    @property
    def refresh_after_s(self) -> float:
        """The time from the last refresh to the one that we send: half the interval (RFC 4028, 7.2)."""
        return self.interval_s / 2

    def headers(self) -> sip.Headers:
        """Return the headers of the 2xx response that accepts this timer."""
        expires = [("session-expires", f"{self.interval_s};refresher={self.refresher.value}")]
        return [*expires, ("require", "timer")] if self.required else expires


def supports_timer(message: sip.SipMessage) -> bool:
    """Whether the sender of a message supports session timers (option tag timer)."""
    return any(
        option.lower() == "timer" for name in ("supported", "require") for option in message.get_all(name)
    )


def negotiate(message: sip.SipMessage, policy: SessionTimerPolicy) -> SessionTimer | RequestRejection | None:
    """Negotiate the session timer of an INVITE or UPDATE (RFC 4028, section 9).

    Returns None if the session has no timer. If the caller supports timers, returns a 400 rejection for a
    malformed Session-Expires, and a 422 rejection for an interval below the configured minimum. Else a
    malformed Session-Expires is ignored (RFC 3261, 8.2.2), and the interval is raised to the minimum.
    """
    supported = supports_timer(message)
    min_se_s = _min_session_expires_s(message)
    try:
        requested = _requested_interval(message)
    except grammar.GrammarError as error:
        if supported:
            return RequestRejection(400, f"Session-Expires: {error}")
        requested = None
    if requested is None:
        proposed_s = max(min_se_s, policy.min_interval_s, policy.interval_s)
        proposes_timer = supported and policy.interval_s
        return SessionTimer(proposed_s, Refresher.CALLER, required=True) if proposes_timer else None
    interval_s, refresher = requested
    if interval_s < policy.min_interval_s and supported:
        min_se_headers = (("min-se", str(policy.min_interval_s)),)
        return RequestRejection(
            SESSION_INTERVAL_TOO_SMALL, "session interval is below the configured minimum", min_se_headers
        )
    raised_s = min_se_s if min_se_s > MIN_SESSION_EXPIRES_S else interval_s
    agreed_s = min(max(raised_s, interval_s, policy.min_interval_s), MAX_SESSION_EXPIRES_S)
    agreed_refresher = refresher if supported else Refresher.LOCAL
    return SessionTimer(agreed_s, agreed_refresher, required=supported)


class _RequestedInterval(NamedTuple):
    """The content of a Session-Expires header."""

    seconds: int
    refresher: Refresher


def _requested_interval(message: sip.SipMessage) -> _RequestedInterval | None:
    """Return the interval that a request asks for, or None. Raises GrammarError for a malformed header."""
    requested = message.get("session-expires")
    if not requested:
        return None
    seconds, parameters = grammar.parse_delta_seconds(requested)
    refresher = parameters.get("refresher", "").lower() or Refresher.CALLER.value
    if refresher not in (Refresher.CALLER.value, Refresher.LOCAL.value):
        raise grammar.GrammarError("unknown refresher")
    return _RequestedInterval(seconds, Refresher(refresher))


def _min_session_expires_s(message: sip.SipMessage) -> int:
    """Return the shortest interval that a request allows; a malformed Min-SE is ignored."""
    try:
        allowed_s = grammar.parse_delta_seconds(message.get("min-se", "0")).seconds
    except grammar.GrammarError:
        allowed_s = 0
    return max(MIN_SESSION_EXPIRES_S, allowed_s)


def timer_of_refresh_response(message: sip.SipMessage) -> SessionTimer | None:
    """Return the timer that the 2xx to our refresh has set (RFC 4028, 7.2).

    Returns None if the session has no timer any more.
    """
    try:
        interval_s, parameters = grammar.parse_delta_seconds(message.get("session-expires"))
    except grammar.GrammarError:
        return None
    is_local = parameters.get("refresher", "uac").lower() != "uas"  # the caller is the UAS of our refresh
    return SessionTimer(max(interval_s, 1), Refresher.LOCAL if is_local else Refresher.CALLER)


class SessionTimerAction(Enum):
    """The action that is due for a session."""

    NONE = "none"
    REFRESH = "refresh"
    RELEASE = "release"


@dataclass(eq=False, slots=True)
class SessionExpiration:
    """The times of the next refresh and of the release of a session."""

    timer: SessionTimer | None = None  # None if the session does not expire
    release_at: float = 0.0
    refresh_at: float = 0.0
    generation: int = 0  # incremented by each restart, to recognize checks scheduled before it

    def restart(self, timer: SessionTimer | None, now: float) -> None:
        """Restart the times after a negotiation or a refresh; None stops the timer."""
        self.generation += 1
        self.timer = timer
        if timer is not None:
            self.release_at = now + timer.release_after_s
            self.refresh_at = now + timer.refresh_after_s

    def postpone_refresh(self, until: float) -> None:
        """Set the time of the next refresh after our refresh was rejected."""
        self.refresh_at = until

    def next_check_at(self) -> float | None:
        """Return the time at which to call `due_action` next, or None if the session does not expire."""
        if self.timer is None:
            return None
        refreshes = self.timer.refresher is Refresher.LOCAL and self.refresh_at < self.release_at
        return min(self.refresh_at, self.release_at) if refreshes else self.release_at

    def due_action(self, now: float) -> SessionTimerAction:
        """Return the action that is due at `now`.

        After REFRESH has been returned, it is not returned again until `restart` or `postpone_refresh`.
        """
        if self.timer is None:
            return SessionTimerAction.NONE
        if now >= self.release_at:
            return SessionTimerAction.RELEASE
        if self.timer.refresher is Refresher.LOCAL and now >= self.refresh_at:
            self.refresh_at = self.release_at
            return SessionTimerAction.REFRESH
        return SessionTimerAction.NONE
