"""The session timer of a dialog (RFC 4028): its refreshes by either side, and the release at expiration."""

from __future__ import annotations

from functools import partial
from typing import Protocol

from stairhatch.node import sip_message as sip
from stairhatch.sip import grammar, session_descriptions
from stairhatch.sip.client_requests import ClientRequests, DialogUsage
from stairhatch.sip.context import SipContext
from stairhatch.sip.responder import ALLOW, SUPPORTED
from stairhatch.sip.session_descriptions import SessionDescriptions
from stairhatch.sip.session_timer import (
    MAX_SESSION_EXPIRES_S,
    MIN_SESSION_EXPIRES_S,
    SessionExpiration,
    SessionTimer,
    SessionTimerAction,
    timer_of_refresh_response,
)

REFRESH_RETRY_S = 5.0  # delay before a rejected refresh is sent again


class RefreshedSession(DialogUsage, Protocol):
    """The dialog usage whose session is refreshed."""

    ident: str
    descriptions: SessionDescriptions

    def terminate(self) -> None:
        """End the session on both sides."""


class SessionRefresh:
    """The session timer of one session: sends our refreshes, and releases the session when it expires."""

    __slots__ = ("_context", "_expiration", "_requests", "_session", "allowed_methods", "timer")

    def __init__(
        self,
        context: SipContext,
        requests: ClientRequests,
        session: RefreshedSession,
        timer: SessionTimer | None,
    ) -> None:
        """Create a stopped session timer; `timer` was negotiated by the INVITE, None if there is none."""
        self.timer = timer
        self.allowed_methods = ""  # the caller's Allow header
        self._context = context
        self._requests = requests
        self._session: RefreshedSession | None = session  # None after the end of the session
        self._expiration = SessionExpiration()

    def start(self) -> None:
        """Start or restart the timer when the session is established or refreshed."""
        self._expiration.restart(self.timer, self._context.now())
        self._schedule_check()

    def refreshed(self, timer: SessionTimer | None) -> None:
        """Restart after a refresh by either side, with the timer that it has negotiated."""
        self.timer = timer
        self.start()

    def stop(self) -> None:
        """Stop the timer at the end of the session.

        The reference to the session is dropped, so that no reference cycle is left to the garbage collector.
        """
        self._expiration.restart(None, 0.0)
        self._session = None

    def refresh_answered(self, status: int, message: sip.SipMessage | None) -> None:
        """Process the final response of our refresh (RFC 4028, 7.4 and section 10).

        The session is ended after 408, 481 or no response (`message` is None). After any other rejection the
        refresh is sent again later.
        """
        if self._session is None:
            return
        if 200 <= status < 300 and message is not None:
            self._session.established_dialog.refresh_target(message)
            self.refreshed(timer_of_refresh_response(message))
            return
        self._context.counters.add("refreshes_failed")
        if status in (408, 481) or message is None:
            self._session.terminate()
            return
        self._expiration.postpone_refresh(self._context.now() + self._retry_after_s(status, message))
        self._schedule_check()

    def _retry_after_s(self, status: int, message: sip.SipMessage) -> float:
        """Return the delay in seconds until the refresh after a rejected one.

        After 422 the interval of the next refresh is raised; after 405 it is sent by re-INVITE.
        """
        if status == 491:
            return session_descriptions.glare_retry_s(
                owns_call_id=False, fraction=self._context.draw_fraction()
            )
        if status == 422 and self.timer is not None:
            self._raise_interval(self.timer, message)
            return 0.0
        if status == 405 and "UPDATE" in self.allowed_methods.upper():
            self.allowed_methods = "INVITE"
            return 0.0
        return REFRESH_RETRY_S

    def _raise_interval(self, timer: SessionTimer, message: sip.SipMessage) -> None:
        try:
            min_se_s = grammar.parse_delta_seconds(message.get("min-se")).seconds
        except grammar.GrammarError:
            min_se_s = 0
        interval_s = min(max(timer.interval_s, min_se_s), MAX_SESSION_EXPIRES_S)
        self.timer = SessionTimer(interval_s, timer.refresher, timer.required)

    def _schedule_check(self) -> None:
        due = self._expiration.next_check_at()
        if due is not None:
            self._context.timers.schedule(due, partial(self._check, self._expiration.generation))

    def _check(self, generation: int) -> None:
        """Refresh or release the session if that is due, and schedule the next check."""
        if generation != self._expiration.generation or self._session is None:
            return
        match self._expiration.due_action(self._context.now()):
            case SessionTimerAction.REFRESH:
                self._send_refresh(self._session)
            case SessionTimerAction.RELEASE:
                self._context.counters.add("sessions_expired")
                self._context.call_manager.log("session_expired", call=self._session.ident)
                self._session.terminate()
                return
            case SessionTimerAction.NONE:
                pass
        self._schedule_check()

    def _send_refresh(self, session: RefreshedSession) -> None:
        """Send a refresh: by UPDATE if the caller allows that method, else by re-INVITE."""
        timer = self.timer
        if timer is None:
            return
        min_se_s = max(self._context.config.timers.min_interval_s, MIN_SESSION_EXPIRES_S)
        extra = [
            ("session-expires", f"{timer.interval_s};refresher=uac"),
            ("min-se", str(min_se_s)),
            SUPPORTED,
        ]
        allowed = [each.strip().upper() for each in self.allowed_methods.split(",")]
        if "UPDATE" in allowed:
            self._requests.send(session, "UPDATE", extra)
        elif not self._requests.is_open(session, "INVITE"):
            self._requests.send(session, "INVITE", [*extra, ALLOW], session.descriptions.local)
