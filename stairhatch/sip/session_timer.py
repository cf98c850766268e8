"""Session timers (RFC 4028): what is agreed, and when a session is refreshed or released.

Decisions and state alone: the clock is passed in. Times are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from stairhatch.node import sip_message as sip
from stairhatch.sip import grammar
from stairhatch.sip.rejection import RequestRejection

MIN_SESSION_EXPIRES_S = 90  # no session timer may be shorter (RFC 4028, section 4)
MAX_SESSION_EXPIRES_S = 86_400  # a longer one says nothing
RELEASE_MARGIN_S = 32.0  # a session is released so long before its end ...
RELEASE_MARGIN_DIVISOR = 3.0  # ... or a third of the interval, whichever is less (section 10)
SESSION_INTERVAL_TOO_SMALL = 422


class Refresher(Enum):
    """Who keeps a session alive, by its role in the request in which that was agreed."""

    CALLER = "uac"
    LOCAL = "uas"
    NONE = ""


@dataclass(frozen=True, slots=True)
class SessionTimerPolicy:
    """What the configuration says of session timers."""

    interval_s: int = 1800  # proposed where a caller knows timers and names none; 0: none is proposed
    min_interval_s: int = MIN_SESSION_EXPIRES_S


@dataclass(frozen=True, slots=True)
class SessionTimer:
    """A session's interval and who refreshes it."""

    interval_s: int
    refresher: Refresher
    required: bool = False  # the caller knows timers, so that the response says `Require: timer`

    @property
    def release_after_s(self) -> float:
        """When a session that nobody refreshed is released, from its last refresh.

        A little before its end (RFC 4028, section 10), so that both sides agree that it is over.
        """
        return self.interval_s - min(RELEASE_MARGIN_S, self.interval_s / RELEASE_MARGIN_DIVISOR)

    @property
    def refresh_after_s(self) -> float:
        """When we refresh, if that is ours to do: half the interval (RFC 4028, 7.2)."""
        return self.interval_s / 2

    def headers(self) -> sip.Headers:
        """For the response that agrees to it."""
        expires = [("session-expires", f"{self.interval_s};refresher={self.refresher.value}")]
        return [*expires, ("require", "timer")] if self.required else expires


def supports_timer(message: sip.SipMessage) -> bool:
    """Whether a message says that its sender knows session timers."""
    return any(
        option.lower() == "timer" for name in ("supported", "require") for option in message.get_all(name)
    )


def negotiate(message: sip.SipMessage, policy: SessionTimerPolicy) -> SessionTimer | RequestRejection | None:
    """Agree on a session timer with an INVITE or UPDATE (RFC 4028, section 9). None: the session has none."""
    supported = supports_timer(message)
    try:
        min_se_s = max(MIN_SESSION_EXPIRES_S, grammar.parse_delta_seconds(message.get("min-se", "0")).seconds)
        asked = message.get("session-expires")
        interval_s, parameters = grammar.parse_delta_seconds(asked) if asked else (0, {})
    except grammar.GrammarError as error:
        return RequestRejection(400, f"Session-Expires or Min-SE: {error}")
    refresher = parameters.get("refresher", "").lower()
    if refresher not in ("", "uac", "uas"):
        return RequestRejection(400, "Session-Expires: refresher")
    if not asked:
        proposed_s = max(min_se_s, policy.min_interval_s, policy.interval_s)
        proposes = supported and policy.interval_s
        return SessionTimer(proposed_s, Refresher.CALLER, required=True) if proposes else None
    if interval_s < policy.min_interval_s and supported:
        min_se = (("min-se", str(policy.min_interval_s)),)
        return RequestRejection(SESSION_INTERVAL_TOO_SMALL, "session interval", min_se)
    raised_s = min_se_s if min_se_s > MIN_SESSION_EXPIRES_S else interval_s
    agreed_s = min(max(raised_s, interval_s, policy.min_interval_s), MAX_SESSION_EXPIRES_S)
    chosen = Refresher(refresher or "uac") if supported else Refresher.LOCAL
    return SessionTimer(agreed_s, chosen, required=supported)


def timer_of_refresh_response(message: sip.SipMessage) -> SessionTimer | None:
    """What the 2xx to a refresh of ours says. None: the session has no timer any more (7.2)."""
    try:
        interval_s, parameters = grammar.parse_delta_seconds(message.get("session-expires"))
    except grammar.GrammarError:
        return None
    is_local = parameters.get("refresher", "uac").lower() != "uas"  # the caller is the server of this one
    return SessionTimer(max(interval_s, 1), Refresher.LOCAL if is_local else Refresher.CALLER)


class SessionTimerAction(Enum):
    """What a session timer asks for."""

    NONE = "none"
    REFRESH = "refresh"
    RELEASE = "release"


@dataclass(eq=False, slots=True)
class SessionExpiration:
    """When a session is refreshed or released next; `generation` counts the agreements."""

    timer: SessionTimer | None = None
    release_at: float = 0.0
    refresh_at: float = 0.0
    generation: int = 0

    def restart(self, timer: SessionTimer | None, now: float) -> None:
        """An agreement, or a refresh."""
        self.generation += 1
        self.timer = timer
        if timer is not None:
            self.release_at = now + timer.release_after_s
            self.refresh_at = now + timer.refresh_after_s

    def postpone_refresh(self, until: float) -> None:
        """A refresh of ours was rejected for now."""
        self.refresh_at = until

    def next_check_at(self) -> float | None:
        """When to ask `due_action` next; None: never."""
        if self.timer is None:
            return None
        refreshes = self.timer.refresher is Refresher.LOCAL and self.refresh_at < self.release_at
        return min(self.refresh_at, self.release_at) if refreshes else self.release_at

    def due_action(self, now: float) -> SessionTimerAction:
        """What is to be done now. A refresh is returned once."""
        if self.timer is None:
            return SessionTimerAction.NONE
        if now >= self.release_at:
            return SessionTimerAction.RELEASE
        if self.timer.refresher is Refresher.LOCAL and now >= self.refresh_at:
            self.refresh_at = self.release_at
            return SessionTimerAction.REFRESH
        return SessionTimerAction.NONE
