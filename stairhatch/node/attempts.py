"""Attempts of calls at roster servers, from the decision to start one until its outcome is reported.

`AttemptManager` enforces these rules whatever actions the overload control returns: a call has one attempt in
progress at a time and a maximum of attempts, no attempt is sent during the retry pause after an unclear
outcome, and no set-up is written after its caller has abandoned it, its deadline has passed or its server
has started to drain.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from stairhatch.node.calls import (
    Attempt,
    Call,
    CallRegistry,
    CallState,
    ReleaseCause,
    RosterServer,
    UnansweredSetup,
)
from stairhatch.node.context import NodeContext
from stairhatch.node.event_dispatcher import EventDispatcher
from stairhatch.node.final_answers import FinalAnswers
from stairhatch.node.server_registry import ServerRegistry
from stairhatch.node.timer_wheel import TimerWheel
from stairhatch.overload.actions import SendSetup
from stairhatch.overload.events import NO_LOAD, AttemptEnded, AttemptOutcome, Availability, LoadReport

PAUSE_MARGIN_S = 0.02  # added to the retry pause: the two set-ups may take network paths of different latency
UNCLEAR_OUTCOMES = (
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.RESET,
    AttemptOutcome.CANCELLED,
)  # after these the server may still be processing the set-up


@dataclass(eq=False, repr=False, kw_only=True)
class AttemptManager:
    """Manager of all attempts: starts them, permits or forbids writing them, ends each with one outcome."""

    context: NodeContext
    calls: CallRegistry
    servers: ServerRegistry
    timers: TimerWheel
    dispatcher: EventDispatcher
    answers: FinalAnswers
    check_instance_index: Callable[[], None] | None = (
        None  # refreshes the leased instance index; None: no lease
    )

    def start(self, action: SendSetup) -> None:
        """Start the attempt that the overload control requests.

        An attempt that violates a rule is not sent. Its outcome is NOT_SENT, except if the call has ended or
        already has an attempt in progress: the violation is only logged then.
        """
        now = self.context.clock()
        call = self.calls.by_number.get(action.call_id)
        server = self.servers.by_id.get(action.server_id)
        if call is None or call.state is not CallState.OFFERED or call.attempt is not None:
            self._log_violation(
                why="attempt requested for a call that has ended or has an attempt in progress"
            )
            return
        if server is None:
            self._log_violation(call=call.request.ident, why="attempt requested at an unknown server")
            outcome = AttemptOutcome.NOT_SENT
            self.dispatcher.dispatch(AttemptEnded(call.number, action.server_id, outcome, False, NO_LOAD))
            return
        call.attempts += 1
        deadline = call.deadline
        if action.timeout_s != 0:
            deadline = min(deadline, now + max(0.0, action.timeout_s))
        attempt = call.attempt = Attempt(call, server, call.attempts, now, deadline)
        if not self._is_permitted(attempt):
            self.end(attempt, AttemptOutcome.NOT_SENT, NO_LOAD)
            return
        self.timers.schedule(deadline, partial(self._time_out, call.number, attempt.number))
        self._send_after_pause(attempt)

    def claim_transmission(self, attempt: Attempt) -> bool:
        """Return whether a set-up that is about to be written may be sent.

        If True, the attempt is marked as written and its `remaining_ms` is set. If False, the attempt has
        ended or was written before: while the set-up waited for a connection, its caller may have abandoned
        it, its deadline may have passed, its server may have become unavailable, or this softswitch may have
        lost its slow-start slots at the server.
        """
        if attempt.ended or attempt.written:
            return False
        now = self.context.clock()
        if attempt.server.record.availability is not Availability.READY or attempt.deadline <= now:
            self.end(attempt, AttemptOutcome.NOT_SENT, NO_LOAD)
            return False
        if self.check_instance_index is not None and not self._has_slow_start_slot(
            attempt.server, self.check_instance_index
        ):
            self.context.counters.add("slow_start_slots_lost")
            self.end(attempt, AttemptOutcome.NOT_SENT, NO_LOAD)
            return False
        attempt.written = True
        attempt.written_at = now
        attempt.remaining_ms = max(1, int((attempt.deadline - now) * 1000))
        self.context.counters.add("attempts_sent")
        if self.context.tracing:
            self.context.log(
                "attempt_sent",
                call=attempt.call.request.ident,
                attempt=attempt.number,
                server=attempt.server.record.instance,
            )
        return True

    def retract_transmission(self, attempt: Attempt) -> None:
        """Undo `claim_transmission` for a set-up that was queued again before any byte of it was sent.

        The server pool calls `claim_transmission` again before the next write.
        """
        attempt.written = False
        self.context.counters.add("attempts_sent", -1)
        self.context.counters.add("attempts_retracted")
        if self.context.tracing:
            self.context.log("attempt_retracted", call=attempt.call.request.ident, attempt=attempt.number)

    def transmission_failed(self, attempt: Attempt, reached: bool) -> None:
        """End an attempt whose set-up could not be written.

        The outcome is NOT_SENT if `reached` (a connection existed but had no capacity), else UNREACHABLE.
        """
        if not attempt.ended and not attempt.written:
            self.end(attempt, AttemptOutcome.NOT_SENT if reached else AttemptOutcome.UNREACHABLE, NO_LOAD)

    def connection_lost(self, attempt: Attempt, known_to_server: bool = True) -> None:
        """End an attempt with RESET because the connection that its set-up was written on has ended.

        The end of the connection gives the set-up up at the server. If the server does not learn of it, the
        set-up is released on another connection.
        """
        if attempt.ended or attempt.call.state is not CallState.OFFERED:
            return
        if known_to_server:
            self.end(attempt, AttemptOutcome.RESET, NO_LOAD)
        else:
            self.give_up(attempt, AttemptOutcome.RESET)

    def give_up(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """End an attempt that has no answer yet; a set-up that has been written is released at the server.

        A set-up that has not been written is never sent; its outcome is UNREACHABLE instead of TIMED_OUT.
        """
        if attempt.written:
            self._release_at_server(attempt)
        elif outcome is AttemptOutcome.TIMED_OUT:
            outcome = AttemptOutcome.UNREACHABLE
        self.end(attempt, outcome, NO_LOAD)

    def withdraw(self, attempt: Attempt, outcome: AttemptOutcome, report: LoadReport, note: str = "") -> None:
        """End an attempt with a rejection that may belong to an earlier attempt at the same server.

        This one may still be in progress there, so it is released, and the retry pause precedes the next.
        """
        self._release_at_server(attempt)
        self.end(attempt, outcome, report, note, withdrawn=True)

    def _release_at_server(self, attempt: Attempt) -> None:
        """Release a written attempt at its server, which may answer it all the same."""
        ident = attempt.call.request.ident
        attempt.call.is_release_queued = True
        if not self.servers.pool.send_release(attempt.server, ident, ReleaseCause.NORMAL_CLEARING):
            attempt.call.is_release_queued = False
        attempt.call.unanswered_setups.append(UnansweredSetup(attempt.server, attempt.connection_id))

    def release_written(self, call_id: str) -> None:
        """Begin the retry pause of a call whose attempt is released: the server learns of it only now."""
        call = self.calls.by_ident.get(call_id)
        if call is None or call.state is not CallState.OFFERED:
            return
        call.is_release_queued = False
        self._begin_pause(call)
        if self.context.tracing:
            self.context.log("setup_release_written", call=call_id)

    def _begin_pause(self, call: Call) -> None:
        call.pause_until = self.context.clock() + self.context.settings.safety.retry_pause_s + PAUSE_MARGIN_S

    def end(
        self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        report: LoadReport,
        note: str = "",
        withdrawn: bool = False,
    ) -> None:
        """End an attempt and report its outcome to the overload control.

        `note` is the server's text. `withdrawn` says that the attempt was released at its server although the
        server has reported a clear outcome.
        """
        now = self.context.clock()
        call = attempt.call
        attempt.ended = True
        call.attempt = None
        if withdrawn or (outcome in UNCLEAR_OUTCOMES and attempt.written):
            self._begin_pause(call)
        self._record_end(attempt, outcome, note, withdrawn)
        if call.caller_disconnected and call.state is CallState.OFFERED:
            self.answers.give_without_decision(call)
        self.dispatcher.dispatch(
            AttemptEnded(
                call_id=call.number,
                server_id=attempt.server.id,
                outcome=outcome,
                answered=call.state is not CallState.OFFERED,
                report=report,
                elapsed_s=now - attempt.started_at,
                destination_busy=outcome is AttemptOutcome.ERROR and note == "lines_busy",
                no_free_line=outcome in (AttemptOutcome.REJECTED, AttemptOutcome.NOT_SENT)
                and note == "no_circuit",
                withdrawn=withdrawn,
            )
        )

    def _record_end(self, attempt: Attempt, outcome: AttemptOutcome, note: str, withdrawn: bool) -> None:
        """Count the outcome of an attempt, and log it if steps are logged."""
        self.context.counters.add("outcome_" + outcome.value.replace(" ", "_"))
        if self.context.tracing:
            self.context.log(
                "attempt_ended",
                call=attempt.call.request.ident,
                attempt=attempt.number,
                outcome=outcome.value,
                written=attempt.written,
                note=note,
                withdrawn=withdrawn,
            )

    def _is_permitted(self, attempt: Attempt) -> bool:
        """Whether the rules of the call and the server permit the attempt, now or after the retry pause."""
        call, server = attempt.call, attempt.server
        allowed = call.request.call_class.allowed_servers
        return (
            (allowed is None or server.record.number in allowed)
            and server.record.availability is Availability.READY
            and call.attempts <= call.max_attempts
            and attempt.deadline > max(attempt.started_at, call.pause_until)
        )

    def _send_after_pause(self, attempt: Attempt) -> None:
        """Send a set-up once the retry pause of its call is over.

        A release that is not written by then is granted one more pause: this process may have been stopped,
        and would write both at once. A connection that takes nothing delays the set-up no further.
        """
        call = attempt.call
        if attempt.ended:
            return
        if call.is_release_queued and self.context.clock() >= call.pause_until:
            call.is_release_queued = False
            self._begin_pause(call)
        if self.context.clock() < call.pause_until:
            self.timers.schedule(call.pause_until, partial(self._send_after_pause, attempt))
        else:
            self.servers.pool.send_setup(attempt)

    def _time_out(self, call_number: int, attempt_number: int) -> None:
        call = self.calls.by_number.get(call_number)
        attempt = call.attempt if call is not None and call.state is CallState.OFFERED else None
        if attempt is not None and attempt.number == attempt_number and not attempt.ended:
            self.give_up(attempt, AttemptOutcome.TIMED_OUT)

    def _has_slow_start_slot(self, server: RosterServer, check_instance_index: Callable[[], None]) -> bool:
        """Whether this softswitch has a slow-start slot at a server; True if the server is not warming up.

        The process may have been suspended between the decision and the write, and another softswitch may
        have leased its instance index since; both would then use the same slots.
        """
        controller = self.dispatcher.controller
        endpoint = controller.endpoints.get(server.id)
        now = self.context.clock()
        if endpoint is None or not controller.is_warming_up(now, endpoint):
            return True
        check_instance_index()
        return controller.slow_start_slots(now, endpoint) > 0

    def _log_violation(self, **fields: str) -> None:
        self.context.log("rule_violated", **fields)
        self.context.counters.add("rule_violations")
