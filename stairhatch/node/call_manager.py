"""The calls of one softswitch, from their offer to their final answer and their end.

`CallManager` is what frontends, server connections and the admin endpoint hold; the parts that it composes
are reached by name. It feeds the overload control and turns its actions into effects, and it keeps the rules
that bind whatever the decisions say: one final answer a call, and an answer before the caller's time is up.
Those on attempts are in `node/attempts.py`, those on drains in `node/readiness.py`. It knows no wire and no
event loop (the clock is passed in), and never decides where a call goes or whether it is rejected.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from functools import partial

from stairhatch.node.attempts import AttemptManager
from stairhatch.node.call_classes import CallClasses
from stairhatch.node.calls import (
    Call,
    CallerSession,
    CallRegistry,
    CallRequest,
    CallState,
    ReleaseCause,
    ServerRecord,
)
from stairhatch.node.context import Logger, NodeContext, OverloadControl
from stairhatch.node.counters import Counters
from stairhatch.node.event_dispatcher import EventDispatcher
from stairhatch.node.final_answers import ANSWER_EARLY_S, FinalAnswers
from stairhatch.node.protocol import do_nothing
from stairhatch.node.readiness import Readiness
from stairhatch.node.server_registry import ServerRegistry
from stairhatch.node.server_responses import LossReason, ServerResponses
from stairhatch.node.timer_wheel import TimerWheel
from stairhatch.overload.actions import Action, FailCall, LogMessage, RejectCall, SendSetup, SetTimer
from stairhatch.overload.controller import Controller
from stairhatch.overload.events import (
    NO_LOAD,
    AttemptOutcome,
    Availability,
    CallAbandoned,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    TimerExpired,
)
from stairhatch.overload.settings import Settings

BACKSTOP_S = 0.01  # what the decisions have left unanswered so long after its deadline is failed


class CallManager:
    """All calls of one softswitch, and the parts that serve them."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        clock: Callable[[], float],
        log: Logger,
        counters: Counters,
        tracing: bool = False,
        decisions: OverloadControl | None = None,
    ) -> None:
        """Compose the parts. Without `decisions` a `Controller` is made, which draws from `rng`."""
        self.clock = clock
        self.log = log
        self.counters = counters
        self.controller: OverloadControl = decisions or Controller(settings, rng)
        self.read_callers: Callable[[], None] = do_nothing  # take in what they have sent so far; the driver's
        self.admin_commands: dict[str, Callable[..., str]] = {}  # more of them, by their first word
        self.last_health_answer = ""  # what the command `check` was answered last
        self.context = NodeContext(settings, clock, log, counters, tracing)
        self.timers = TimerWheel(self.context)
        self.classes = CallClasses(settings.classes, clock)
        self.calls = CallRegistry(clock)
        self.servers = ServerRegistry()
        self.readiness = Readiness(self.context, self.calls, self.servers)
        self.dispatcher = EventDispatcher(self.context, self.calls, self.controller, self._execute)
        self.answers = FinalAnswers(self.context, self.calls)
        self.attempts = AttemptManager(
            context=self.context,
            calls=self.calls,
            servers=self.servers,
            timers=self.timers,
            dispatcher=self.dispatcher,
            answers=self.answers,
        )
        self.responses = self._make_responses()

    def _make_responses(self) -> ServerResponses:
        return ServerResponses(
            context=self.context,
            calls=self.calls,
            servers=self.servers,
            dispatcher=self.dispatcher,
            answers=self.answers,
            attempts=self.attempts,
        )

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.context.settings

    def update_settings(self, settings: Settings) -> None:
        """Use other settings from now on. Open calls keep their class and their cap on attempts."""
        self.classes.replace(settings.classes)
        self.context.settings = settings
        self.controller.update_settings(settings)

    def update_servers(self, records: Iterable[ServerRecord], complete: bool) -> None:
        """Apply records of the endpoint list; `complete` says that they name every server there is.

        Calls at a server that is gone, or was restarted, are terminated.
        """
        listed = []
        for change in self.servers.update(records, complete):
            server = change.server
            record = server.record
            if change.lost_before:
                reason = LossReason.RESTARTED if change.has_restarted else LossReason.LISTED_GONE
                self.responses.terminate_established_at(server, change.lost_before, reason)
            if change.is_listed:
                listed.append(
                    EndpointRecord(server.id, record.number, record.availability, record.started_at)
                )
            self.servers.pool.record_changed(server)
            if change.is_listed:
                state = record.availability.value
                self.log("server_listed", server=record.instance, state=state, number=record.number)
        self.dispatcher.dispatch(EndpointsUpdated(tuple(listed), complete))

    # ---- what callers do ----

    def offer_call(self, request: CallRequest, session: CallerSession) -> Call | None:
        """Register a call, for which one final answer is owed; return None where its id is in use."""
        if request.ident in self.calls.by_ident:
            return None
        now = self.clock()
        deadline = now + request.caller_timeout_s - ANSWER_EARLY_S
        call = self.calls.add(request, session, deadline, self.context.settings.max_attempts)
        self.counters.add("calls_offered")
        self.counters.add(f"calls_offered_{request.call_class.name}")
        if self.context.tracing:
            caller_timeout_ms = int(request.caller_timeout_s * 1000)
            name = request.call_class.name
            self.log("call_offered", call=request.ident, call_class=name, caller_timeout_ms=caller_timeout_ms)
        self.timers.schedule(deadline + BACKSTOP_S, partial(self._fail_unanswered, call.number))
        self.dispatcher.dispatch(
            CallOffered(
                call_id=call.number,
                call_class=request.call_class,
                preferred_number=request.preferred_number,
                caller_timeout_s=request.caller_timeout_s,
                is_caller_retry=request.is_caller_retry,
                called_number=request.called_number,
            )
        )
        return call

    def abandon(self, call: Call) -> None:
        """The caller gave the set-up up; no answer is owed any more.

        A call that is established by now is released.
        """
        if call.state is CallState.ESTABLISHED:
            self.release(call, ReleaseCause.NORMAL_CLEARING)
        if call.state is not CallState.OFFERED:
            return
        self.counters.add("calls_abandoned")
        if self.context.tracing:
            self.log("call_abandoned", call=call.request.ident)
        self.calls.remove(call)
        attempt = call.attempt
        self.dispatcher.dispatch(CallAbandoned(call.number))
        if attempt is not None and not attempt.ended:
            self.attempts.give_up(attempt, AttemptOutcome.CANCELLED)

    def caller_disconnected(self, call: Call) -> None:
        """The caller's connection has ended, and an answer would have to be brought to it by another.

        A pending call is answered now and not forwarded, for nobody waits for it; a set-up that is out may be
        established, and is the last.
        """
        if call.state is not CallState.OFFERED or call.caller_disconnected:
            return
        call.caller_disconnected = True
        self.counters.add("callers_disconnected")
        if call.attempt is None or not call.attempt.written:
            self._answer_undecided(call)

    def release(self, call: Call, cause: int) -> None:
        """The caller ends a call that is established."""
        if call.state is CallState.ESTABLISHED and call.attempt is not None:
            attempt = call.attempt
            self.counters.add("calls_released_by_caller")
            if self.context.tracing:
                self.log("call_released", call=call.request.ident, side="caller", cause=int(cause))
            self.servers.pool.send_release(attempt.server, call.request.ident, cause)
            self.calls.remove(call)
            self.attempts.end(attempt, AttemptOutcome.CANCELLED, NO_LOAD)

    def release_unknown(self, ident: str, cause: int) -> None:
        """A caller ends a call from before a restart: only the roster servers know which of them holds it."""
        if self.calls.was_terminated(ident):
            return  # it has ended here: the two releases crossed
        self.calls.remember_terminated(ident)
        self.counters.add("releases_of_unknown_calls")
        for server in self.servers.by_id.values():
            if server.record.availability is not Availability.GONE:
                self.servers.pool.send_release(server, ident, cause)

    # ---- the end of the process ----

    def answer_pending(self) -> None:
        """Answer all callers that still wait, since the process is about to end; they may retry elsewhere."""
        for call in self.calls.offered():
            if call.state is CallState.OFFERED:  # still, after the answers before it
                self._answer_undecided(call)

    def is_settled(self) -> bool:
        """Whether every call has its answer, and every release to a server has been written."""
        return not self.calls.unanswered and self.servers.pool.is_flushed()

    def complete_shutdown(self) -> None:
        """All is answered: the next process gets the releases of established calls, and takes new calls."""
        self.readiness.complete_shutdown()
        self.servers.pool.shut_down()

    # ---- answers ----

    def _answer(self, call: Call, action: RejectCall | FailCall) -> None:
        """The final answer. An attempt that is out is given up."""
        attempt = call.attempt
        self.answers.give(call, action)
        if attempt is not None and not attempt.ended:
            self.attempts.give_up(attempt, AttemptOutcome.CANCELLED)

    def _answer_undecided(self, call: Call) -> None:
        """Give the final answer without asking the controller, and report to it that the call is over."""
        self._answer(call, (RejectCall if call.is_retry_safe() else FailCall)(call.number))
        self.dispatcher.dispatch(CallAbandoned(call.number))

    def _fail_unanswered(self, number: int) -> None:
        """Fail a call that is still unanswered when its time is up.

        It is named by its number: a timer that held the call kept it, its caller and its description until
        the longest wait was over, long after its end.
        """
        call = self.calls.by_number.get(number)
        if call is not None and call.state is CallState.OFFERED:
            self.log("rule_violated", call=call.request.ident, why="the decisions left it unanswered")
            self._answer(call, FailCall(call.number))
            self.dispatcher.dispatch(CallAbandoned(call.number))

    # ---- what the decisions ask for ----

    def _execute(self, action: Action) -> None:
        match action:
            case SendSetup():
                self.attempts.start(action)
            case RejectCall() | FailCall():
                call = self.calls.by_number.get(action.call_id)
                if call is not None and call.state is CallState.OFFERED:
                    self._answer(call, action)
            case SetTimer(delay_s, label):
                expired = partial(self.dispatcher.dispatch, TimerExpired(label))
                self.timers.schedule(self.clock() + delay_s, expired)
            case LogMessage(text):
                self.log("decision_note", text=text)
