"""The session timer of one dialog at work (RFC 4028): refreshes by either side, and the release."""

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

RETRY_S = 5.0  # a refresh that the caller can't take now is tried again


class RefreshedSession(DialogUsage, Protocol):
    """The dialog whose session is kept alive."""

    ident: str
    descriptions: SessionDescriptions

    def terminate(self) -> None:
        """End the session on both sides."""


class SessionRefresh:
    """What was agreed for a session, and when it is refreshed or released."""

    __slots__ = ("_context", "_expiration", "_requests", "_session", "allowed_methods", "timer")

    def __init__(
        self,
        context: SipContext,
        requests: ClientRequests,
        session: RefreshedSession,
        timer: SessionTimer | None,
    ) -> None:
        """`timer` is what the INVITE agreed on."""
        self.timer = timer
        self.allowed_methods = ""  # what the caller allows, as its Allow says
        self._context = context
        self._requests = requests
        self._session: RefreshedSession | None = session  # until it is over
        self._expiration = SessionExpiration()

    def start(self) -> None:
        """The session is established: its timer runs."""
        self._expiration.restart(self.timer, self._context.now())
        self._schedule_check()

    def refreshed(self, timer: SessionTimer | None) -> None:
        """The session is refreshed, with this timer from now on."""
        self.timer = timer
        self.start()

    def stop(self) -> None:
        """The session is over.

        It is let go of, so that no reference cycle is left for the collector.
        """
        self._expiration.restart(None, 0.0)
        self._session = None

    def refresh_answered(self, status: int, message: sip.SipMessage | None) -> None:
        """What came of our refresh (RFC 4028, 7.4 and section 10); None: nobody answered."""
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
        """How long to wait after a refresh was rejected; the next one is changed by the reason."""
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
        return RETRY_S

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
        """Refresh the session, or release it, if that is due."""
        if generation != self._expiration.generation or self._session is None:
            return
        match self._expiration.due_action(self._context.now()):
            case SessionTimerAction.REFRESH:
                self._send_refresh(self._session)
            case SessionTimerAction.RELEASE:
                self._context.counters.add("sessions_expired")
                self._context.core.log("session_expired", call=self._session.ident)
                self._session.terminate()
                return
            case SessionTimerAction.NONE:
                pass
        self._schedule_check()

    def _send_refresh(self, session: RefreshedSession) -> None:
        """Refresh the session from our side: by UPDATE where the caller takes it, else by a re-INVITE."""
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
