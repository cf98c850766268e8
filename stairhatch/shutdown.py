"""Graceful shutdown: from SIGTERM, SIGINT or `quit` to the moment at which nothing is owed to anybody.

In order: drain (as `drain-on` does), serve what still comes for a moment, answer the calls that are being set
up, wait for the established dialogs of the SIP frontend, close the callers' connections. The platform follows
SIGTERM with SIGKILL, so calls that wait too long are answered before that (`drain_deadline_reached` in the
log).
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from stairhatch.components import Components
from stairhatch.config.model import Config
from stairhatch.node.readiness import REJECT_AFTER_S

if TYPE_CHECKING:
    from stairhatch.sip.frontend import SipFrontend

MIN_STAY_S = 1.0  # after SIGTERM connections come for 0.4 s, requests on them for 0.2 s more
SIGKILL_DELAY_S = 0.7  # the platform's SIGKILL comes so long after the longest deadline, or after `drain_s`
STAY_MARGIN_S = 0.35  # before the SIGKILL: from then on the process may end
ANSWER_MARGIN_S = 0.3  # whoever still waits is answered so long before it
LEAVE_MARGIN_S = 0.15  # and nothing is waited for after that
FLUSH_TIMEOUT_S = 2.0  # for a peer to read its answer, or to acknowledge a release
CLOSE_TIMEOUT_S = 0.8  # for callers that have just connected to ask, and for all connections to end
FINAL_CHECK_S = 0.05  # before the end: what was handed to the sockets last is written
HANDOVER_S = 2.0  # so long into an upgrade a caller that never pauses is sent to the new process
POLL_S = 0.01
DIALOG_POLL_S = 0.02
PROGRESS_PERIOD_S = 5.0  # how often a restart names the dialogs that it waits for
PROGRESS_DIALOGS = 5  # so many of them are named


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """When a shutdown does what, in seconds after its start.

    Where deadlines are short the SIGKILL comes early: 1.1 s after SIGTERM for a deadline of 0.4 s.
    """

    stay_s: float  # so long connections are accepted and served
    reject_after_s: float  # then set-ups on connections that never pause are rejected
    answer_by_s: float  # calls that still wait are answered then
    leave_by_s: float  # the process ends by then, whatever is owed

    @classmethod
    def for_platform(cls, longest_deadline_s: float, drain_s: float, replaced: bool) -> ShutdownSchedule:
        """Return the schedule before a SIGKILL; `replaced`: another process takes over the socket."""
        kill_s = min(longest_deadline_s, drain_s) + SIGKILL_DELAY_S
        return cls(
            stay_s=0.0 if replaced else min(MIN_STAY_S, kill_s - STAY_MARGIN_S),
            reject_after_s=min(HANDOVER_S if replaced else REJECT_AFTER_S, kill_s - SIGKILL_DELAY_S),
            answer_by_s=kill_s - ANSWER_MARGIN_S,
            leave_by_s=kill_s - LEAVE_MARGIN_S,
        )


UNLIMITED = ShutdownSchedule(MIN_STAY_S, REJECT_AFTER_S, math.inf, math.inf)  # nobody kills the appliance


class GracefulShutdown:
    """Brings one softswitch to its end. `print_text` writes to the operator's terminal."""

    def __init__(self, parts: Components, config: Config, print_text: Callable[[str], None]) -> None:
        """`config` is the configuration in force at the end."""
        self._parts = parts
        self._print_text = print_text
        self._replaced = config.inherited is not None  # another process takes over the socket
        self._drain_s = config.drain_s

    async def run(self, skip_dialogs: asyncio.Event) -> None:
        """Drain for good and return when nothing is owed, or what is owed cannot be delivered.

        Dialogs that are established are waited for until the configured time is up or `skip_dialogs` is set.
        """
        parts = self._parts
        loop = parts.network.loop
        started = loop.time()
        schedule = self._schedule()
        parts.log("stopping", unanswered=parts.core.calls.unanswered)
        readiness = parts.core.readiness
        readiness.shutting_down = True
        if self._replaced:
            self._leave_newcomers()
            readiness.reject_after_s = schedule.reject_after_s
        else:
            readiness.reject_after_s = min(readiness.reject_after_s, schedule.reject_after_s)
        readiness.drain(True)
        await asyncio.sleep(schedule.stay_s)
        await self._answer_callers(started + schedule.answer_by_s, started + schedule.leave_by_s)
        if parts.sip_frontend is not None:
            await self._finish_dialogs(parts.sip_frontend, skip_dialogs)
        if self._replaced:
            await self._close_connections(started + schedule.answer_by_s)
        elif parts.platform_frontend is not None:
            self._refuse_newcomers()
            await self._close_connections(min(loop.time() + CLOSE_TIMEOUT_S, started + schedule.leave_by_s))

    def _leave_newcomers(self) -> None:
        """Leave those who connect from now on to the next process."""
        core = self._parts.core
        core.readiness.listening = False
        for listener in self._parts.caller_listeners:
            listener.close()

    def _refuse_newcomers(self) -> None:
        """Nothing is owed: who has connected is still answered, who comes from now on is refused.

        The end of the process would reset a connection that came a moment before it, with its request.
        """
        for listener in self._parts.caller_listeners:
            listener.close_after_accepting()

    def _schedule(self) -> ShutdownSchedule:
        if self._parts.platform_frontend is None:
            return UNLIMITED
        longest_s = max((each.deadline_s for each in self._parts.core.settings.classes), default=0.0)
        return ShutdownSchedule.for_platform(longest_s, self._drain_s, self._replaced)

    async def _answer_callers(self, deadline: float, leave_by: float) -> None:
        """Wait until each call has its answer and it is written; answer what is left at the deadline.

        A peer that does not read is waited for until `leave_by` at the longest.
        """
        core = self._parts.core
        loop = self._parts.network.loop
        answered_at = math.inf
        while not await self._is_quiet():
            now = loop.time()
            if core.calls.unanswered and now >= deadline:
                self._parts.log("drain_deadline_reached", unanswered=core.calls.unanswered)
                core.answer_pending()
            answered_at = math.inf if core.calls.unanswered else min(answered_at, now)
            if now > min(answered_at + FLUSH_TIMEOUT_S, leave_by):
                self._parts.log("flush_timeout", why="a peer does not read what it is owed")
                return
            await asyncio.sleep(POLL_S)

    def _is_settled(self) -> bool:
        frontends = (self._parts.platform_frontend, self._parts.sip_frontend)
        return self._parts.core.is_settled() and all(
            each.is_flushed() for each in frontends if each is not None
        )

    async def _is_quiet(self) -> bool:
        """Return whether nothing is owed, now and a moment later, and nothing lies unread.

        The second look is for a request that comes in that moment: the end of the process would reset its
        connection with no answer.
        """
        if not self._is_settled() or self._parts.network.has_unread():
            return False
        await asyncio.sleep(FINAL_CHECK_S)
        return self._is_settled() and not self._parts.network.has_unread()

    async def _finish_dialogs(self, front: SipFrontend, skip: asyncio.Event) -> None:
        """Wait for the established dialogs, then end on both sides what is left.

        The next process would know no such dialog, and its call server would never hear of the caller's BYE.
        """
        loop = self._parts.network.loop
        deadline = loop.time() + front.config.restart_wait_s
        report_at = 0.0
        while front.dialogs and loop.time() < deadline and not skip.is_set():
            if loop.time() >= report_at:
                report_at = loop.time() + PROGRESS_PERIOD_S
                self._report_dialogs(front, deadline - loop.time())
            await asyncio.sleep(DIALOG_POLL_S)
        if front.end_dialogs():
            deadline = loop.time() + FLUSH_TIMEOUT_S
            while loop.time() < deadline and not self._is_sip_settled(front):
                await asyncio.sleep(POLL_S)

    def _is_sip_settled(self, front: SipFrontend) -> bool:
        return front.is_flushed() and self._parts.core.is_settled()

    def _report_dialogs(self, front: SipFrontend, left_s: float) -> None:
        """Say in the log and on the terminal which calls the end waits for."""
        count = len(front.dialogs)
        calls = [
            f"{each.ident}@{each.flow.peer[0]}" for each in list(front.dialogs.values())[:PROGRESS_DIALOGS]
        ]
        self._parts.log("waiting_for_dialogs", dialogs=count, for_s=f"{left_s:.0f}", calls=",".join(calls))
        self._print_text(f"waiting for {count} calls, {left_s:.0f} s at most: {' '.join(calls)}\n")

    async def _close_connections(self, deadline: float) -> None:
        """Ask the callers' connections to end and wait until they have."""
        network = self._parts.network
        self._parts.core.complete_shutdown()
        while not network.has_no_callers() and network.loop.time() < deadline:
            await asyncio.sleep(POLL_S)
