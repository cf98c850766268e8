"""The attempts of calls at roster servers, from the decision to make one until its outcome is reported.

It keeps the rules that hold whatever the controller asks for: one attempt out at a time, the cap on attempts,
the pause after an unclear outcome, and no set-up written after its caller left, its time ended or a drain.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from stairhatch.node.calls import Attempt, CallRegistry, CallState, ReleaseCause, RosterServer
from stairhatch.node.context import NodeContext
from stairhatch.node.event_dispatcher import EventDispatcher
from stairhatch.node.final_answers import FinalAnswers
from stairhatch.node.server_registry import ServerRegistry
from stairhatch.node.timer_wheel import TimerWheel
from stairhatch.overload.actions import SendSetup
from stairhatch.overload.events import NO_LOAD, AttemptEnded, AttemptOutcome, Availability, LoadReport

PAUSE_MARGIN_S = 0.02  # added to the pause after an unclear outcome: the two roads differ in length
UNCLEAR = (
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.RESET,
    AttemptOutcome.CANCELLED,
)  # it may still be at work


@dataclass(eq=False, repr=False, kw_only=True)
class AttemptManager:
    """Starts attempts, decides whether they may still be written, and ends each with one outcome."""

    context: NodeContext
    calls: CallRegistry
    servers: ServerRegistry
    timers: TimerWheel
    dispatcher: EventDispatcher
    answers: FinalAnswers
    check_instance_index: Callable[[], None] | None = None  # brings the leased instance index up to date

    def start(self, action: SendSetup) -> None:
        """The decisions ask for an attempt. What the rules forbid ends here and never leaves."""
        now = self.context.clock()
        call = self.calls.by_number.get(action.call_id)
        server = self.servers.by_id.get(action.server_id)
        if call is None or call.state is not CallState.OFFERED or call.attempt is not None:
            self._log_violation(why="an attempt was asked for a call that is over or has one out")
            return
        if server is None:
            self._log_violation(call=call.request.ident, why="unknown server")
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
        if now < call.pause_until:
            self.timers.schedule(call.pause_until, lambda: self._send(attempt))
        else:
            self._send(attempt)

    def claim_transmission(self, attempt: Attempt) -> bool:
        """Return whether a set-up that is about to be written may be sent.

        If so, it counts as written and `remaining_ms` is set. A set-up that has waited for its connection may
        have been overtaken by its caller, its time-out or the endpoint list.
        """
        if attempt.ended or attempt.written:
            return False
        now = self.context.clock()
        if attempt.server.record.availability is not Availability.READY or attempt.deadline <= now:
            self.end(attempt, AttemptOutcome.NOT_SENT, NO_LOAD)
            return False
        if self.check_instance_index is not None and not self._holds_slot(
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
        """Nothing of a set-up was sent and it is queued again: `claim_transmission` will be called again."""
        attempt.written = False
        self.context.counters.add("attempts_sent", -1)
        self.context.counters.add("attempts_retracted")
        if self.context.tracing:
            self.context.log("attempt_retracted", call=attempt.call.request.ident, attempt=attempt.number)

    def transmission_failed(self, attempt: Attempt, reached: bool) -> None:
        """The set-up never left: there was no connection, or (`reached`) no capacity on it."""
        if not attempt.ended and not attempt.written:
            self.end(attempt, AttemptOutcome.NOT_SENT if reached else AttemptOutcome.UNREACHABLE, NO_LOAD)

    def connection_lost(self, attempt: Attempt) -> None:
        """The connection broke under a set-up that had been written on it."""
        if not attempt.ended and attempt.call.state is CallState.OFFERED:
            self.end(attempt, AttemptOutcome.RESET, NO_LOAD)

    def give_up(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Stop waiting for an attempt. One that was never written is never sent."""
        if attempt.written:
            ident = attempt.call.request.ident
            self.servers.pool.send_release(attempt.server, ident, ReleaseCause.NORMAL_CLEARING)
        elif outcome is AttemptOutcome.TIMED_OUT:
            outcome = AttemptOutcome.UNREACHABLE
        self.end(attempt, outcome, NO_LOAD)

    def end(self, attempt: Attempt, outcome: AttemptOutcome, report: LoadReport, note: str = "") -> None:
        """End an attempt with its one outcome and report that to the controller. `note` is the server's."""
        now = self.context.clock()
        call = attempt.call
        attempt.ended = True
        call.attempt = None
        if outcome in UNCLEAR and attempt.written:
            call.pause_until = now + self.context.settings.safety.retry_pause_s + PAUSE_MARGIN_S
        self.context.counters.add("outcome_" + outcome.value.replace(" ", "_"))
        if self.context.tracing:
            self.context.log(
                "attempt_ended",
                call=call.request.ident,
                attempt=attempt.number,
                outcome=outcome.value,
                written=attempt.written,
                note=note,
            )
        if call.caller_disconnected and call.state is CallState.OFFERED:
            self.answers.give_undecided(call)
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
            )
        )

    def _is_permitted(self, attempt: Attempt) -> bool:
        """Whether an attempt keeps the rules of its call and its server, now or after the pause."""
        call, server = attempt.call, attempt.server
        allowed = call.request.call_class.allowed_servers
        return (
            (allowed is None or server.record.number in allowed)
            and server.record.availability is Availability.READY
            and call.attempts <= call.max_attempts
            and attempt.deadline > max(attempt.started_at, call.pause_until)
        )

    def _send(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self.servers.pool.send_setup(attempt)

    def _time_out(self, call_number: int, attempt_number: int) -> None:
        call = self.calls.by_number.get(call_number)
        attempt = call.attempt if call is not None and call.state is CallState.OFFERED else None
        if attempt is not None and attempt.number == attempt_number and not attempt.ended:
            self.give_up(attempt, AttemptOutcome.TIMED_OUT)

    def _holds_slot(self, server: RosterServer, check_instance_index: Callable[[], None]) -> bool:
        """Whether this softswitch still has a slow-start slot at a server, if its index is leased.

        A process may have been stopped between its decision and its write, and another may have its index
        by now: both would use the same slots.
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
