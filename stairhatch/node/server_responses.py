"""Handling of roster servers' responses: progress, established calls, rejections, releases, load reports.

Late and duplicate responses, and responses from the wrong server, are detected here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from stairhatch.node.attempts import AttemptManager
from stairhatch.node.calls import (
    NO_CONNECTION,
    Attempt,
    Call,
    CallRegistry,
    CallState,
    ReleaseCause,
    RosterServer,
    are_same_process,
)
from stairhatch.node.context import NodeContext
from stairhatch.node.event_dispatcher import EventDispatcher
from stairhatch.node.final_answers import FinalAnswers
from stairhatch.node.response_matching import ResponseOrigin, match_response
from stairhatch.node.server_registry import ServerRegistry
from stairhatch.overload.actions import FailCall
from stairhatch.overload.events import (
    NO_LOAD,
    AttemptOutcome,
    Availability,
    CallEstablished,
    LoadReport,
    LoadReported,
)


class LossReason(StrEnum):
    """The reason why an established call counts as lost with its server; the log has the values."""

    LISTED_GONE = "listed gone"
    RESTARTED = "listed as restarted"
    CONNECTION_REFUSED = "connection refused"
    SILENT = "nothing heard of the server"
    REPLACED = "perhaps another process at its address"


OUTCOMES: dict[int, AttemptOutcome] = {  # of an attempt, by its rejection's cause; RESET for other causes
    ReleaseCause.NO_CIRCUIT_AVAILABLE: AttemptOutcome.REJECTED,
    ReleaseCause.RECOVERY_ON_TIMER_EXPIRY: AttemptOutcome.NOT_SENT,
    ReleaseCause.USER_BUSY: AttemptOutcome.ERROR,
    ReleaseCause.RESOURCE_UNAVAILABLE: AttemptOutcome.ERROR,
}


class CallRelease(NamedTuple):
    """A server's rejection of a set-up or release of a call, by any Q.850 cause; `note` is its text."""

    cause: int
    note: str = ""
    report: LoadReport = NO_LOAD


@dataclass(eq=False, repr=False, kw_only=True)
class ServerResponses:
    """The handler of roster servers' responses. A `cause` is any Q.850 cause, in `ReleaseCause` or not."""

    context: NodeContext
    calls: CallRegistry
    servers: ServerRegistry
    dispatcher: EventDispatcher
    answers: FinalAnswers
    attempts: AttemptManager
    unknown_release_listeners: list[Callable[[str, int], None]] = field(default_factory=list)

    def setup_progressing(self, server: RosterServer, ident: str) -> None:
        """Report progress of a pending set-up to the caller, if the caller requested progress reports."""
        call = self.calls.by_ident.get(ident)
        attempt = call.attempt if call is not None and call.state is CallState.OFFERED else None
        if call is None or attempt is None or not call.request.reports_progress:
            return
        if attempt.server is server and attempt.written:
            call.caller_session.progressing()

    def call_established(
        self, server: RosterServer, ident: str, description: str, connection_id: int = NO_CONNECTION
    ) -> None:
        """Establish a call that a roster server has accepted.

        A call that is no longer pending at this server, or whose server is gone, is released there instead.
        The answer to an attempt that was given up is dropped while a later attempt is in progress at the same
        server on another connection: the release of the earlier attempt was sent before the later set-up.
        """
        context = self.context
        call = self.calls.by_ident.get(ident)
        origin = self._match(call, server, connection_id)
        attempt = call.attempt if call is not None else None
        if call is None and not self.calls.was_terminated(ident):
            context.counters.add("answers_of_unknown_calls")  # not set up here: nothing to release
            return
        if call is None or attempt is None or attempt.server is not server or not attempt.written:
            context.counters.add("late_answers")
            if context.tracing:
                context.log("late_answer", call=ident, server=server.record.instance)
            self.servers.pool.send_release(server, ident, ReleaseCause.NORMAL_CLEARING)
            return
        if call.state is not CallState.OFFERED or origin is ResponseOrigin.EARLIER:
            return
        if server.record.availability is Availability.GONE:
            context.counters.add("answers_of_gone_servers")
            self.servers.pool.send_release(server, ident, ReleaseCause.NORMAL_CLEARING)
            self.attempts.end(attempt, AttemptOutcome.RESET, NO_LOAD)  # its release would not be reported
            return
        now = context.clock()
        self.calls.establish(call, now)
        context.counters.add("calls_established")
        if context.tracing:
            context.log("call_answered", call=ident, result="established", attempt=attempt.number)
        call.caller_session.established(description.encode("utf-8", "surrogateescape"))
        self.dispatcher.dispatch(CallEstablished(call.number, server.id, now - attempt.started_at))

    def call_released(
        self,
        server: RosterServer,
        ident: str,
        release: CallRelease,
        connection_id: int = NO_CONNECTION,
    ) -> None:
        """Handle a server's rejection of a set-up or its release of a call.

        The message may arrive on the connection of another instance id that is listed at the same address:
        both ids denote one process.
        """
        cause, note, report = release
        call = self.calls.by_ident.get(ident)
        attempt = call.attempt if call is not None else None
        origin = self._match(call, server, connection_id)
        if call is None or attempt is None or not _is_written_at(attempt, server):
            self.load_reported(server, report)
            if call is None:
                self._unknown_released(ident, cause)
            return
        is_established = call.state is CallState.ESTABLISHED
        if origin is ResponseOrigin.EARLIER and (not is_established or cause in OUTCOMES):
            self.load_reported(server, report)
        elif is_established:
            self._terminate(call, attempt, cause, report)
        elif cause == ReleaseCause.NORMAL_CLEARING:
            self._terminate_unanswered(call, attempt, report, origin)
        else:
            outcome = OUTCOMES.get(cause, AttemptOutcome.RESET)
            if origin is ResponseOrigin.AMBIGUOUS:
                self.attempts.withdraw(attempt, outcome, report, note)
            else:
                self.attempts.end(attempt, outcome, report, note)

    def _match(self, call: Call | None, server: RosterServer, connection_id: int) -> ResponseOrigin:
        """Match a response to an attempt of its call; count and log one that may be an earlier attempt's."""
        if call is None or not call.unanswered_setups:
            return ResponseOrigin.CURRENT
        origin = match_response(call, server, connection_id)
        if origin is not ResponseOrigin.CURRENT:
            self.context.counters.add(f"responses_{origin.value}")
            if self.context.tracing:
                instance = server.record.instance
                self.context.log(
                    "late_response", call=call.request.ident, server=instance, origin=origin.value
                )
        return origin

    def load_reported(self, server: RosterServer, report: LoadReport) -> None:
        """Dispatch a roster server's load report, unless it is empty."""
        if report != NO_LOAD:
            self.dispatcher.dispatch(LoadReported(server.id, report))

    def terminate_established_at(self, server: RosterServer, before: float, reason: LossReason) -> list[str]:
        """End the calls that were established at a server before a time, since its process has ended.

        `before` is a time of the node's clock in seconds. Returns the ids of the ended calls.
        """
        context = self.context
        lost = self.calls.established_at(server, before)
        for call in lost:
            attempt = call.attempt
            assert attempt is not None
            context.log(
                "call_lost",
                call=call.request.ident,
                server=server.record.instance,
                why=reason.value,
                established_s=round(context.clock() - call.established_at, 2),
            )
            self._terminate(call, attempt, ReleaseCause.TEMPORARY_FAILURE, NO_LOAD)
        return [call.request.ident for call in lost]

    def _unknown_released(self, ident: str, cause: int) -> None:
        """Pass the release of a call unknown here to the listeners, unless the call ended here recently."""
        if self.calls.was_terminated(ident):
            return
        self.context.counters.add("releases_of_unknown_calls")
        if self.context.tracing:
            self.context.log("call_released", call=ident, side="server", cause=cause, known=False)
        self.calls.remember_unknown(ident)
        for listener in self.unknown_release_listeners:
            listener(ident, cause)

    def _terminate_unanswered(
        self, call: Call, attempt: Attempt, report: LoadReport, origin: ResponseOrigin
    ) -> None:
        """Fail a call that was established and has ended at the server before its answer was received.

        The call is not set up a second time, since it has already taken place; the caller gets a final
        response (found in the trial rate+silent+leave, in which answers arrive late).
        """
        self.context.counters.add("calls_ended_unanswered")
        if self.context.tracing:
            cause = int(ReleaseCause.NORMAL_CLEARING)
            self.context.log("call_released", call=call.request.ident, side="server", cause=cause)
        call.attempt = None
        self.answers.give(call, FailCall(call.number))
        if origin is ResponseOrigin.AMBIGUOUS:
            self.attempts.withdraw(attempt, AttemptOutcome.RESET, report)
        else:
            self.attempts.end(attempt, AttemptOutcome.RESET, report)

    def _terminate(self, call: Call, attempt: Attempt, cause: int, report: LoadReport) -> None:
        """Release an established call at its caller after the roster server has ended it."""
        is_normal = cause == ReleaseCause.NORMAL_CLEARING
        self.context.counters.add("calls_completed" if is_normal else "calls_lost")
        if self.context.tracing:
            self.context.log("call_released", call=call.request.ident, side="server", cause=int(cause))
        self.calls.remove(call)
        call.caller_session.released(cause)
        outcome = AttemptOutcome.COMPLETED if is_normal else AttemptOutcome.RESET
        self.attempts.end(attempt, outcome, report)


def _is_written_at(attempt: Attempt, server: RosterServer) -> bool:
    return attempt.written and are_same_process(attempt.server, server)
