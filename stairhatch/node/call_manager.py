"""Call handling of one softswitch, from the offer of a call to its final answer and its termination.

Frontends, server connections and the admin endpoint hold a reference to `CallManager` and reach its
components by attribute. `CallManager` passes events to the overload control and executes the actions that the
overload control returns. It enforces two rules regardless of those actions: each call gets exactly one final
answer, and gets it before the caller timeout. `node/attempts.py` enforces the rules on attempts and
`node/readiness.py` the rules on drains. The module depends on no wire format and no event loop (the clock is
passed in), and never decides which server a call goes to or whether it is rejected.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Hashable, Iterable
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
from stairhatch.node.unknown_releases import UnknownRelease, UnknownReleaseForwarder
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

BACKSTOP_DELAY_S = 0.01  # after its deadline, a call that the overload control has not answered is failed


class CallManager:
    """Owner of all calls of one softswitch and of the components that handle them."""

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
        """Create the components. The default for `decisions` is a `Controller` that draws from `rng`."""
        self.clock = clock
        self.log = log
        self.counters = counters
        self.controller: OverloadControl = decisions or Controller(settings, rng)
        self.read_callers: Callable[[], None] = do_nothing  # set by the driver: reads all data received
        self.admin_commands: dict[str, Callable[..., str]] = {}  # additional admin commands, by first word
        self.last_health_answer = ""  # the latest reply to the admin command `check`
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
        self.unknown_releases = UnknownReleaseForwarder(self.context, self.timers, self._forward_unknown)

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
        """Settings in force; `update_settings` replaces them."""
        return self.context.settings

    def update_settings(self, settings: Settings) -> None:
        """Replace the settings in force. Open calls keep their call class and their maximum of attempts."""
        self.classes.replace(settings.classes)
        self.context.settings = settings
        self.controller.update_settings(settings)

    def update_servers(self, records: Iterable[ServerRecord], complete: bool) -> None:
        """Apply records of the endpoint list and pass the changes to the server pool and overload control.

        If `complete` is True, `records` name every existing server. Established calls at a server that is
        gone or has restarted are terminated.
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

    # ---- requests of callers ----

    def offer_call(self, request: CallRequest, session: CallerSession) -> Call | None:
        """Register a call and offer it to the overload control; the session gets exactly one final answer.

        Returns the call, or None if an open call has the same id; the session is not called then.
        """
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
        self.timers.schedule(deadline + BACKSTOP_DELAY_S, partial(self._fail_unanswered, call.number))
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
        """End a call whose caller has cancelled the set-up; the caller gets no further answer.

        A call that has been established in the meantime is released.
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
        """Record that the caller's connection has ended; an answer would need another connection.

        A call without a written set-up is answered now and not forwarded, because no caller waits for it. A
        set-up that has been written may still be established; the call gets no further attempt.
        """
        if call.state is not CallState.OFFERED or call.caller_disconnected:
            return
        call.caller_disconnected = True
        self.counters.add("callers_disconnected")
        if call.attempt is None or not call.attempt.written:
            self._answer_without_decision(call)

    def release(self, call: Call, cause: int) -> None:
        """Release an established call at its server by a Q.850 cause, on behalf of the caller.

        A call in any other state is left unchanged.
        """
        if call.state is CallState.ESTABLISHED and call.attempt is not None:
            attempt = call.attempt
            self.counters.add("calls_released_by_caller")
            if self.context.tracing:
                self.log("call_released", call=call.request.ident, side="caller", cause=int(cause))
            self.servers.pool.send_release(attempt.server, call.request.ident, cause)
            self.calls.remove(call)
            self.attempts.end(attempt, AttemptOutcome.CANCELLED, NO_LOAD)

    def release_unknown(self, ident: str, cause: int, source: Hashable = None) -> None:
        """Send a caller's release of an unregistered call to every roster server that is not gone.

        The call was set up before a restart of this process, which has no record of its server. A call that
        has terminated here recently is ignored. `source` stands for the connection that brought it.
        """
        if self.calls.was_terminated(ident):
            return  # the call has terminated here: the releases of both sides crossed
        self.calls.remember_unknown(ident)
        self.counters.add("releases_of_unknown_calls")
        self.unknown_releases.add(source, UnknownRelease(ident, cause))

    def _forward_unknown(self, release: UnknownRelease) -> None:
        for server in self.servers.by_id.values():
            if server.record.availability is not Availability.GONE:
                self.servers.pool.send_release(server, release.call_id, release.cause)

    # ---- shutdown of the process ----

    def answer_pending(self) -> None:
        """Answer every unanswered call before the process ends, so that callers can retry elsewhere."""
        for call in self.calls.offered():
            if call.state is CallState.OFFERED:  # an earlier answer may have ended it
                self._answer_without_decision(call)

    def is_settled(self) -> bool:
        """Whether every call has its answer, and every release to a server has been written."""
        is_forwarded = self.unknown_releases.is_empty() and self.servers.pool.is_flushed()
        return is_forwarded and not self.calls.unanswered

    def complete_shutdown(self) -> None:
        """Reject new set-ups and shut the server pool down, once all calls have been answered.

        The next process receives the releases of established calls and accepts new calls.
        """
        self.readiness.complete_shutdown()
        self.servers.pool.shut_down()

    # ---- final answers ----

    def _answer(self, call: Call, action: RejectCall | FailCall) -> None:
        """Give the final answer that an action requests, and cancel the call's attempt in progress."""
        attempt = call.attempt
        self.answers.give(call, action)
        if attempt is not None and not attempt.ended:
            self.attempts.give_up(attempt, AttemptOutcome.CANCELLED)

    def _answer_without_decision(self, call: Call) -> None:
        """Answer a call without a decision of the overload control, and report the call as abandoned to it.

        The call is rejected if a caller retry is safe, else failed.
        """
        self._answer(call, (RejectCall if call.is_retry_safe() else FailCall)(call.number))
        self.dispatcher.dispatch(CallAbandoned(call.number))

    def _fail_unanswered(self, number: int) -> None:
        """Fail a call that is still unanswered after its deadline.

        The timer refers to the call by number: a timer that referenced the call object kept the call, its
        caller session and its session description in memory until the deadline, long after the call's end.
        """
        call = self.calls.by_number.get(number)
        if call is not None and call.state is CallState.OFFERED:
            self.log(
                "rule_violated", call=call.request.ident, why="overload control left the call unanswered"
            )
            self._answer(call, FailCall(call.number))
            self.dispatcher.dispatch(CallAbandoned(call.number))

    # ---- actions of the overload control ----

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
