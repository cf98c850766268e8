"""Graceful shutdown after SIGTERM, SIGINT or `quit`, until all answers and releases are delivered.

The steps are: drain (as the command `drain-on` does), keep serving new requests for a moment, answer the
pending calls, wait for the established dialogs of the SIP frontend, and close the connections of callers. The
platform sends SIGKILL some time after SIGTERM; calls that are still pending shortly before that are answered
with an error (log event `drain_deadline_reached`).
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

MIN_SERVING_S = 1.0  # after SIGTERM, connections arrive for 0.4 s and requests on them for 0.2 s more
SIGKILL_DELAY_S = 0.7  # from the longest deadline, or `drain_s` if shorter, to the platform's SIGKILL
SERVING_MARGIN_S = 0.35  # the process stops waiting for new requests this long before the SIGKILL
ANSWER_MARGIN_S = 0.3  # pending calls are answered this long before the SIGKILL
EXIT_MARGIN_S = 0.15  # the process stops waiting for anything this long before the SIGKILL
FLUSH_TIMEOUT_S = 2.0  # time for a peer to read its answer or to acknowledge a release
CLOSE_TIMEOUT_S = 0.8  # time for new callers to send their request, and for all connections to end
FINAL_CHECK_S = 0.05  # between the last two checks: bytes given to the sockets last are written meanwhile
HANDOVER_S = 2.0  # in an upgrade, new set-ups are rejected after this time and go to the new process
POLL_S = 0.01
DIALOG_POLL_S = 0.02
PROGRESS_PERIOD_S = 5.0  # interval of the reports on the remaining dialogs
PROGRESS_DIALOGS = 5  # number of dialogs that a report names


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The times of the steps of a shutdown, in seconds after its start.

    The SIGKILL follows early if the deadlines are short: 1.1 s after SIGTERM for a deadline of 0.4 s.
    """

    serve_for_s: float  # minimum time for which new requests are served
    reject_after_s: float  # then new set-ups are rejected, also on connections that never pause
    answer_by_s: float  # then calls that are still pending are answered
    exit_by_s: float  # then the process ends, even with undelivered answers

    @classmethod
    def for_platform(cls, longest_deadline_s: float, drain_s: float, replaced: bool) -> ShutdownSchedule:
        """Return the schedule that ends before the SIGKILL of the platform.

        `longest_deadline_s` is the longest deadline of a call class; `replaced` is true if another process
        takes over the listening socket.
        """
        kill_s = min(longest_deadline_s, drain_s) + SIGKILL_DELAY_S
        return cls(
            serve_for_s=0.0 if replaced else min(MIN_SERVING_S, kill_s - SERVING_MARGIN_S),
            reject_after_s=min(HANDOVER_S if replaced else REJECT_AFTER_S, kill_s - SIGKILL_DELAY_S),
            answer_by_s=kill_s - ANSWER_MARGIN_S,
            exit_by_s=kill_s - EXIT_MARGIN_S,
        )


NO_DEADLINES = ShutdownSchedule(MIN_SERVING_S, REJECT_AFTER_S, math.inf, math.inf)  # no SIGKILL (appliance)


class GracefulShutdown:
    """Carries out the graceful shutdown of one softswitch."""

    def __init__(self, parts: Components, config: Config, print_text: Callable[[str], None]) -> None:
        """Prepare a shutdown under `config`, the configuration in effect.

        `print_text` writes to the operator's terminal.
        """
        self._parts = parts
        self._print_text = print_text
        self._replaced = config.inherited is not None  # another process takes over the listening socket
        self._drain_s = config.drain_s

    async def run(self, skip_dialogs: asyncio.Event) -> None:
        """Drain permanently, and return when all answers and releases are delivered or cannot be delivered.

        Established dialogs may end by themselves until the configured time is over or `skip_dialogs` is set.
        """
        parts = self._parts
        loop = parts.network.loop
        started = loop.time()
        schedule = self._schedule()
        parts.log("stopping", unanswered=parts.call_manager.calls.unanswered)
        readiness = parts.call_manager.readiness
        readiness.shutting_down = True
        if self._replaced:
            self._close_listeners()
            readiness.reject_after_s = schedule.reject_after_s
        else:
            readiness.reject_after_s = min(readiness.reject_after_s, schedule.reject_after_s)
        readiness.drain(True)
        await asyncio.sleep(schedule.serve_for_s)
        await self._answer_callers(started + schedule.answer_by_s, started + schedule.exit_by_s)
        if parts.sip_frontend is not None:
            await self._finish_dialogs(parts.sip_frontend, skip_dialogs)
        if self._replaced:
            await self._close_connections(started + schedule.answer_by_s)
        elif parts.platform_frontend is not None:
            self._accept_pending_and_close_listeners()
            await self._close_connections(min(loop.time() + CLOSE_TIMEOUT_S, started + schedule.exit_by_s))

    def _close_listeners(self) -> None:
        """Close the listeners, so that the next process accepts all further connections."""
        call_manager = self._parts.call_manager
        call_manager.readiness.listening = False
        for listener in self._parts.caller_listeners:
            listener.close()

    def _accept_pending_and_close_listeners(self) -> None:
        """Accept the pending connections, then close the listeners, so that later connects are refused.

        Without this, the end of the process would reset a connection that was made just before it, together
        with its request.
        """
        for listener in self._parts.caller_listeners:
            listener.close_after_accepting()

    def _schedule(self) -> ShutdownSchedule:
        if self._parts.platform_frontend is None:
            return NO_DEADLINES
        longest_s = max((each.deadline_s for each in self._parts.call_manager.settings.classes), default=0.0)
        return ShutdownSchedule.for_platform(longest_s, self._drain_s, self._replaced)

    async def _answer_callers(self, deadline: float, exit_by: float) -> None:
        """Wait until all calls are answered and the answers written; at `deadline` answer pending calls.

        The wait for a peer that does not read ends 2 s after the last call was answered, or at `exit_by` if
        that is earlier, and is logged (event `flush_timeout`). Both parameters are event loop times.
        """
        call_manager = self._parts.call_manager
        loop = self._parts.network.loop
        answered_at = math.inf
        while not await self._is_settled_and_read():
            now = loop.time()
            if call_manager.calls.unanswered and now >= deadline:
                self._parts.log("drain_deadline_reached", unanswered=call_manager.calls.unanswered)
                call_manager.answer_pending()
            answered_at = math.inf if call_manager.calls.unanswered else min(answered_at, now)
            if now > min(answered_at + FLUSH_TIMEOUT_S, exit_by):
                self._parts.log("flush_timeout", why="a peer does not read its pending answers or releases")
                return
            await asyncio.sleep(POLL_S)

    def _is_settled(self) -> bool:
        frontends = (self._parts.platform_frontend, self._parts.sip_frontend)
        return self._parts.call_manager.is_settled() and all(
            each.is_flushed() for each in frontends if each is not None
        )

    async def _is_settled_and_read(self) -> bool:
        """Return whether all is delivered and no bytes are unread, now and 0.05 s later.

        The second check finds a request that arrives in between: without it, the end of the process would
        reset the connection of that request without an answer.
        """
        if not self._is_settled() or self._parts.network.has_unread():
            return False
        await asyncio.sleep(FINAL_CHECK_S)
        return self._is_settled() and not self._parts.network.has_unread()

    async def _finish_dialogs(self, frontend: SipFrontend, skip_dialogs: asyncio.Event) -> None:
        """Wait until the established dialogs have ended, then end the remaining ones on both sides.

        The next process does not know these dialogs, so that the call server would never learn of a BYE that
        the caller sends later.
        """
        loop = self._parts.network.loop
        deadline = loop.time() + frontend.config.restart_wait_s
        report_at = 0.0
        while frontend.dialogs and loop.time() < deadline and not skip_dialogs.is_set():
            if loop.time() >= report_at:
                report_at = loop.time() + PROGRESS_PERIOD_S
                self._report_dialogs(frontend, deadline - loop.time())
            await asyncio.sleep(DIALOG_POLL_S)
        if frontend.end_dialogs():
            deadline = loop.time() + FLUSH_TIMEOUT_S
            while loop.time() < deadline and not self._is_sip_settled(frontend):
                await asyncio.sleep(POLL_S)

    def _is_sip_settled(self, frontend: SipFrontend) -> bool:
        return frontend.is_flushed() and self._parts.call_manager.is_settled()

    def _report_dialogs(self, frontend: SipFrontend, left_s: float) -> None:
        """Report in the log and on the terminal which dialogs the shutdown waits for.

        `left_s` is the remaining time in seconds.
        """
        count = len(frontend.dialogs)
        calls = [
            f"{each.ident}@{each.flow.peer[0]}" for each in list(frontend.dialogs.values())[:PROGRESS_DIALOGS]
        ]
        self._parts.log("waiting_for_dialogs", dialogs=count, for_s=f"{left_s:.0f}", calls=",".join(calls))
        self._print_text(f"waiting for {count} calls, {left_s:.0f} s at most: {' '.join(calls)}\n")

    async def _close_connections(self, deadline: float) -> None:
        """Let the callers' connections close; wait for this until `deadline`, an event loop time."""
        network = self._parts.network
        self._parts.call_manager.complete_shutdown()
        while not network.has_no_callers() and network.loop.time() < deadline:
            await asyncio.sleep(POLL_S)
