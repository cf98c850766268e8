"""The controller: takes events, answers with actions, and carries each call to its one final answer.

Its settings, events, actions and records stand beside this module, as do its parts (`controller_parts`). The
ordinary path is Roughan and Pearce's (`congestion`); "Extension" marks what their control does not have.
"""

import random
from collections.abc import Iterable, Iterator

from stairhatch.overload import events
from stairhatch.overload.actions import Action, FailCall, LogMessage, RejectCall, SendSetup, SetTimer
from stairhatch.overload.controller_parts import ControllerParts
from stairhatch.overload.endpoint import Endpoint
from stairhatch.overload.events import AttemptOutcome, Event
from stairhatch.overload.load_balancing import Available
from stairhatch.overload.pending_queue import PendingCall, PendingQueue
from stairhatch.overload.settings import CallClass, Settings
from stairhatch.overload.thresholds import MEMORY_S, Thresholds

MAX_ERRORS_OF_CALL = 2  # what two attempts answer with an error is the call's own fault
BEFORE_RETRANSMIT = 0.9  # of its interval: a set-up to a warming endpoint is given up after this
PENDING_INTERVAL_S = 0.02  # pending calls are looked at this often
ANSWER_MARGIN_S = 0.05  # a final answer is given this long before the caller's timeout
PENDING_TIMER_ID = 1  # of the only timer


class Controller:
    """The decisions of one access node."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Know no endpoint and no call yet. Every random draw comes from `rng`."""
        self.rng = rng
        self.thresholds = Thresholds(settings)
        self.parts = ControllerParts(self.thresholds, rng)
        self.endpoints = self.parts.endpoints
        self.calls: dict[int, PendingCall] = {}  # those that are owed an answer
        self.pending = PendingQueue()  # those of them that wait for an available endpoint
        self.timer_set = False
        self._served_at = -1.0  # when the pending calls were last looked through
        self.update_settings(settings)

    @property
    def settings(self) -> Settings:
        """The settings in use."""
        return self.thresholds.settings

    def update_settings(self, settings: Settings) -> None:
        """Take other settings in one step, with all that is derived from them. What was learnt stays."""
        self.parts.caller_retries.update_settings(self.settings, settings)
        self.thresholds.update(settings)
        if not self.parts.durations.expected.count:
            self.parts.durations.expected.mean = settings.mean_duration_s

    def is_warming_up(self, now: float, endpoint: Endpoint) -> bool:
        """Whether an endpoint may not be warm."""
        return self.parts.slow_start.is_warming_up(now, endpoint)

    def slow_start_slots(self, now: float, endpoint: Endpoint) -> float:
        """This node's slots in a span at an endpoint that is warming up."""
        return self.parts.slow_start.slots_per_span(now, endpoint)

    def handle(self, now: float, event: Event) -> Iterator[Action]:
        """Take one event; yield what is to be done."""
        yield from self._dispatch(now, event)
        newest = None  # a call that has come, or has come back
        if isinstance(event, events.CallOffered | events.AttemptEnded):
            newest = self.pending.calls.get(event.call_id)
        yield from self._serve_pending(now, newest)
        while self.parts.messages:
            yield LogMessage(self.parts.messages.pop(0))
        if self.pending and not self.timer_set:
            self.timer_set = True
            yield SetTimer(max(PENDING_INTERVAL_S, self.settings.event_period_s), PENDING_TIMER_ID)

    def _dispatch(self, now: float, event: Event) -> Iterator[Action]:
        match event:
            case events.EndpointsUpdated():
                self.parts.registry.update(now, event)
            case events.CallOffered():
                yield from self._offered(now, event)
            case events.CallEstablished():
                self._established(now, event)
            case events.AttemptEnded():
                yield from self._attempt_ended(now, event)
            case events.CallAbandoned():
                self.forget(event.call_id)
            case events.LoadReported():
                if (endpoint := self.endpoints.get(event.server_id)) is not None:
                    self.parts.evidence.report(now, endpoint, event.report)
            case events.TimerExpired():
                self.timer_set = False

    def forget(self, call_id: int) -> None:
        """Nothing more is done for this call."""
        self.calls.pop(call_id, None)
        self.pending.remove(call_id)

    def _offered(self, now: float, event: events.CallOffered) -> Iterator[Action]:
        """The ordinary path: choose an endpoint; while it is flagged, reject a fraction; else send."""
        if event.call_class is None:
            yield FailCall(event.call_id)
            return
        self.parts.durations.expected.add(event.call_class.mean_duration_s)
        call = self._pending_call(now, event, event.call_class)
        self.calls[call.id] = call
        if self.parts.backoffs.is_backing_off(now, call.called_number):
            yield from self._reject(now, call)
            return
        balancer = self.parts.load_balancer
        endpoint = balancer.choose(now, call, balancer.available(now)) or balancer.first_choice(call)
        if endpoint is not None and self._is_throttled(now, call, endpoint):
            yield from self._reject(now, call)
            return
        self.pending.add(call)

    def _is_throttled(self, now: float, call: PendingCall, endpoint: Endpoint) -> bool:
        if not self.parts.congestion.is_flagged(now, endpoint):
            return False
        return self.rng.random() < self.parts.congestion.throttle_fraction(call, endpoint)

    def _pending_call(self, now: float, event: events.CallOffered, call_class: CallClass) -> PendingCall:
        answer_by = now + event.caller_timeout_s - max(ANSWER_MARGIN_S, 2 * self.settings.event_period_s)
        queue_until = min(answer_by, now + call_class.latency_objective_s - self.thresholds.onset_s)
        call = PendingCall.offered(event, now, answer_by, queue_until, self.settings.max_attempts)
        retries = self.parts.caller_retries
        if event.is_caller_retry or retries.is_retry(call_class, event.caller_timeout_s):
            call.weight *= call_class.late_weight
        return call

    def _established(self, now: float, event: events.CallEstablished) -> None:
        if (call := self.calls.get(event.call_id)) is not None:
            self.parts.backoffs.record_established(now, call.called_number)
            self.parts.outliers.attribute_errors(now, call, event.server_id)
        self.forget(event.call_id)
        if (endpoint := self.endpoints.get(event.server_id)) is not None:
            self.parts.evidence.established(now, endpoint, event)

    def _attempt_ended(self, now: float, event: events.AttemptEnded) -> Iterator[Action]:
        """Learn from the end of an attempt, then go on with the call if its caller still waits."""
        if (endpoint := self.endpoints.get(event.server_id)) is not None:
            self.parts.evidence.ended(now, endpoint, event)
        if event.outcome is AttemptOutcome.COMPLETED:
            self.parts.durations.observed.add(event.elapsed_s)
        call = self.calls.get(event.call_id)
        if call is None or event.answered:
            self.forget(event.call_id)
            return
        self._record_outcome(now, call, event)
        if event.destination_busy or not self._may_retry(now, call):
            self.forget(call.id)
            yield FailCall(call.id)
            return
        if not event.no_free_line:
            call.queue_until = call.answer_by  # a further attempt is pending while the caller waits
        self.pending.add(call)

    def _record_outcome(self, now: float, call: PendingCall, event: events.AttemptEnded) -> None:
        if event.outcome.is_unclear:
            call.not_before = now + self.settings.safety.retry_pause_s  # rule 5
        if not event.outcome.never_ran:
            call.may_have_run = True
        if event.destination_busy:
            self.parts.backoffs.record_busy(now, call.called_number)
        elif event.outcome is AttemptOutcome.ERROR:
            call.error_servers += (event.server_id,)

    def _may_retry(self, now: float, call: PendingCall) -> bool:
        exhausted = call.attempts >= call.max_attempts or len(call.error_servers) >= MAX_ERRORS_OF_CALL
        if exhausted or (call.may_have_run and not call.call_class.idempotent):
            return False
        return max(now, call.not_before) < call.answer_by

    def _reject(self, now: float, call: PendingCall) -> Iterator[Action]:
        """The final answer to a call that is not set up; one that may have run must not be 'rejected'."""
        self.forget(call.id)
        if call.may_have_run and not call.call_class.idempotent:
            yield FailCall(call.id)
        else:
            yield RejectCall(call.id, self._retry_after(now, call))

    def _retry_after(self, now: float, call: PendingCall) -> float:
        """Extension: when a caller may retry: about when the least congested endpoint should have abated."""
        if not self.settings.may_send_retry_after:
            return 0.0
        longest_s = self.settings.max_retry_after_s
        eligible = (e for e in self.endpoints.values() if self.parts.load_balancer.is_eligible(call, e))
        least_s = min((self.parts.congestion.queueing_delay(now, e) for e in eligible), default=longest_s)
        about_s = max(self.thresholds.objective_s, least_s)
        return min(longest_s, about_s * (0.5 + self.rng.random()))

    def _serve_pending(self, now: float, newest: PendingCall | None) -> Iterator[Action]:
        """Send what may go, the greatest weight first; reject what can no longer be served in time."""
        seen, self._served_at = now == self._served_at, now
        if not self.pending or (seen and newest is None):
            return  # thousands may be pending: look them through once an instant
        available = self.parts.load_balancer.available(now)
        # A new call is always looked at: one that a stalled node finds late may have no time left at all.
        if seen and newest is not None:
            yield from self._serve(now, (newest,), available)
        else:
            for weight in self.pending.weights():
                if not any(weight >= least for _, least in available):
                    break
                yield from self._serve(now, self.pending.calls_of(weight), available)
        while (late := self.pending.pop_due(now)) is not None:
            if now < late.not_before < late.answer_by:
                self.pending.postpone(late, late.not_before)
            else:
                yield from self._reject(now, late)

    def _serve(self, now: float, calls: Iterable[PendingCall], available: Available) -> Iterator[Action]:
        """Send calls in their order, while there are available endpoints."""
        for call in calls:
            if not available:
                return
            if now >= call.answer_by or now < call.not_before < call.answer_by:
                continue
            endpoint = self.parts.load_balancer.choose(now, call, available)
            if endpoint is not None:
                yield self._send(now, call, endpoint)
                self.parts.load_balancer.refresh(now, available, endpoint)

    def _send(self, now: float, call: PendingCall, endpoint: Endpoint) -> Action:
        """Rule 2: the call leaves the pending ones, so it has one attempt out at a time."""
        self.pending.remove(call.id)
        call.attempts += 1
        endpoint.pending_setups[call.id] = now
        endpoint.tokens -= 1
        endpoint.slot_open_until = now  # spent
        return SendSetup(call.id, endpoint.id, self._attempt_timeout(now, call, endpoint))

    def _attempt_timeout(self, now: float, call: PendingCall, endpoint: Endpoint) -> float:
        """Extension: where set-ups were lost lately, give up in time for another attempt; 0: never."""
        settings, onset_s = self.settings, self.thresholds.onset_s
        if self.parts.slow_start.is_warming_up(now, endpoint):
            return BEFORE_RETRANSMIT * settings.retransmit_interval_s  # rule 4: no repeats
        objective_at = call.offered_at + call.call_class.latency_objective_s
        left_s = objective_at - now - settings.safety.retry_pause_s - onset_s
        lossy = now - endpoint.loss_seen_at < MEMORY_S and not self.parts.congestion.is_flagged(now, endpoint)
        return left_s if lossy and left_s > onset_s else 0.0
