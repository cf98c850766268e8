"""The controller of one node: receives events, returns actions and gives each call exactly one final answer.

The settings, events, actions and records are in this package, with the parts of the controller. The basic
control is Roughan and Pearce's (`congestion`); "Extension" marks what their control does not include.
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

MAX_ERRORS_PER_CALL = 2  # after errors in two attempts the fault is assumed to be the call's own
WARM_UP_TIMEOUT_FRACTION = 0.9  # of the retransmission interval: timeout of set-ups to warming endpoints
PENDING_INTERVAL_S = 0.02  # interval at which pending calls are scanned
ANSWER_MARGIN_S = 0.05  # the final answer is due this long before the caller's timeout
PENDING_TIMER_ID = 1  # the id of the controller's only timer


class Controller:
    """The controller that makes the decisions of one access node."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Create a controller without endpoints and calls. All random numbers come from `rng`."""
        self.rng = rng
        self.thresholds = Thresholds(settings)
        self.parts = ControllerParts(self.thresholds, rng)
        self.endpoints = self.parts.endpoints
        self.calls: dict[int, PendingCall] = {}  # calls without a final answer, by id
        self.pending = PendingQueue()  # the calls in `calls` that wait for an available endpoint
        self.timer_set = False
        self._scanned_at = -1.0  # when the pending calls were last scanned
        self.update_settings(settings)

    @property
    def settings(self) -> Settings:
        """The settings in use."""
        return self.thresholds.settings

    def update_settings(self, settings: Settings) -> None:
        """Replace the settings and the derived thresholds in one step. Learned averages are kept."""
        self.parts.caller_retries.update_settings(self.settings, settings)
        self.thresholds.update(settings)
        if not self.parts.durations.expected.count:
            self.parts.durations.expected.mean = settings.mean_duration_s

    def is_warming_up(self, now: float, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may still be warming up."""
        return self.parts.slow_start.is_warming_up(now, endpoint)

    def slow_start_slots(self, now: float, endpoint: Endpoint) -> float:
        """Return this node's slots per span at an endpoint that is warming up."""
        return self.parts.slow_start.slots_per_span(now, endpoint)

    def handle(self, now: float, event: Event) -> Iterator[Action]:
        """Process one event and yield the resulting actions; the caller must exhaust the iterator."""
        yield from self._dispatch(now, event)
        newest = None  # the call that this event added to the pending calls, if any
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
                yield from self._handle_offered(now, event)
            case events.CallEstablished():
                self._handle_established(now, event)
            case events.AttemptEnded():
                yield from self._handle_attempt_ended(now, event)
            case events.CallAbandoned():
                self.forget(event.call_id)
            case events.LoadReported():
                if (endpoint := self.endpoints.get(event.server_id)) is not None:
                    self.parts.load_evaluation.apply_report(now, endpoint, event.report)
            case events.TimerExpired():
                self.timer_set = False

    def forget(self, call_id: int) -> None:
        """Remove a call from all records, so that no further action concerns it."""
        self.calls.pop(call_id, None)
        self.pending.remove(call_id)

    def _handle_offered(self, now: float, event: events.CallOffered) -> Iterator[Action]:
        """Queue a call; fail one of unknown class, reject one that is throttled or to a busy number."""
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

    def _handle_established(self, now: float, event: events.CallEstablished) -> None:
        if (call := self.calls.get(event.call_id)) is not None:
            self.parts.backoffs.record_established(now, call.called_number)
            self.parts.outliers.attribute_errors(now, call, event.server_id)
        self.forget(event.call_id)
        if (endpoint := self.endpoints.get(event.server_id)) is not None:
            self.parts.load_evaluation.record_setup(now, endpoint, event)

    def _handle_attempt_ended(self, now: float, event: events.AttemptEnded) -> Iterator[Action]:
        """Record the end of an attempt; fail the call or queue it again if its caller still waits."""
        if (endpoint := self.endpoints.get(event.server_id)) is not None:
            self.parts.load_evaluation.record_attempt_end(now, endpoint, event)
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
            call.queue_until = call.answer_by  # a call that was sent once may wait as long as its caller
        self.pending.add(call)

    def _record_outcome(self, now: float, call: PendingCall, event: events.AttemptEnded) -> None:
        if event.outcome.is_unclear or event.withdrawn:
            call.not_before = now + self.settings.safety.retry_pause_s  # rule 5: retry pause
        if not event.outcome.never_ran or event.withdrawn:
            call.may_have_run = True
        if event.destination_busy:
            self.parts.backoffs.record_busy(now, call.called_number)
        elif event.outcome is AttemptOutcome.ERROR:
            call.error_servers += (event.server_id,)

    def _may_retry(self, now: float, call: PendingCall) -> bool:
        exhausted = call.attempts >= call.max_attempts or len(call.error_servers) >= MAX_ERRORS_PER_CALL
        if exhausted or (call.may_have_run and not call.call_class.idempotent):
            return False
        return max(now, call.not_before) < call.answer_by

    def _reject(self, now: float, call: PendingCall) -> Iterator[Action]:
        """Answer a call that is not set up: rejected, or failed if it may have run and isn't idempotent."""
        self.forget(call.id)
        if call.may_have_run and not call.call_class.idempotent:
            yield FailCall(call.id)
        else:
            yield RejectCall(call.id, self._retry_after(now, call))

    def _retry_after(self, now: float, call: PendingCall) -> float:
        """Extension: return the Retry-After, about when the least congested endpoint should have abated."""
        if not self.settings.may_send_retry_after:
            return 0.0
        max_s = self.settings.max_retry_after_s
        eligible = (e for e in self.endpoints.values() if self.parts.load_balancer.is_eligible(call, e))
        least_s = min((self.parts.congestion.queueing_delay(now, e) for e in eligible), default=max_s)
        mean_s = max(self.thresholds.objective_s, least_s)
        return min(max_s, mean_s * (0.5 + self.rng.random()))

    def _serve_pending(self, now: float, newest: PendingCall | None) -> Iterator[Action]:
        """Send pending calls while endpoints are available, greatest weight first; reject overdue calls."""
        scanned, self._scanned_at = now == self._scanned_at, now
        if not self.pending or (scanned and newest is None):
            return  # thousands of calls may be pending, so they are scanned once per instant
        available = self.parts.load_balancer.available(now)
        # The newest call is always tried: after a stall of the node it may have no time left to wait.
        if scanned and newest is not None:
            yield from self._serve(now, (newest,), available)
        else:
            for weight in self.pending.weights():
                if not any(weight >= min_weight for _, min_weight in available):
                    break
                yield from self._serve(now, self.pending.calls_of_weight(weight), available)
        while (due := self.pending.pop_due(now)) is not None:
            if now < due.not_before < due.answer_by:
                self.pending.postpone(due, due.not_before)
            else:
                yield from self._reject(now, due)

    def _serve(self, now: float, calls: Iterable[PendingCall], available: Available) -> Iterator[Action]:
        """Send the given calls in order while endpoints are available."""
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
        """Send a call; it leaves the queue, so only one of its attempts is in progress at a time (rule 2)."""
        self.pending.remove(call.id)
        call.attempts += 1
        endpoint.pending_setups[call.id] = now
        endpoint.tokens -= 1
        endpoint.slot_open_until = now  # the set-up uses the open slot
        return SendSetup(call.id, endpoint.id, self._attempt_timeout(now, call, endpoint))

    def _attempt_timeout(self, now: float, call: PendingCall, endpoint: Endpoint) -> float:
        """Extension: return a timeout that leaves time for a retry after recent losses; 0: no timeout."""
        settings, onset_s = self.settings, self.thresholds.onset_s
        if self.parts.slow_start.is_warming_up(now, endpoint):
            return WARM_UP_TIMEOUT_FRACTION * settings.retransmit_interval_s  # rule 4: no retransmissions
        objective_at = call.offered_at + call.call_class.latency_objective_s
        left_s = objective_at - now - settings.safety.retry_pause_s - onset_s
        lossy = now - endpoint.loss_seen_at < MEMORY_S and not self.parts.congestion.is_flagged(now, endpoint)
        return left_s if lossy and left_s > onset_s else 0.0
