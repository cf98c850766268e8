"""The callers of one worker process, which place calls at their due times and retry by `caller_behaviour`.

The module owns the callers' ports and connections. `arrivals` decides when calls come, and `call_rules`
checks what was observed of them.
"""

from __future__ import annotations

import asyncio
import random
import time
from functools import partial

from stairhatch.emulators.caller_emulator import CallerEmulator, CallResult, PlacedCall
from stairhatch.emulators.observations import ObservationKind
from stairhatch.load_test.arrivals import CallSource, ScheduledCall, call_sources, scheduled_calls
from stairhatch.load_test.caller_behaviour import (
    CallInProgress,
    OverloadParameters,
    OverloadThrottle,
    RetryPolicy,
)
from stairhatch.load_test.event_loop_stall import EventLoopStall
from stairhatch.load_test.load_plan import CallerBehaviour, Transport
from stairhatch.load_test.load_tally import CallOutcome, LoadTally, TallyCount
from stairhatch.load_test.worker_messages import CallerRecord, CallersJob, CallersResult
from stairhatch.node import sip_message as sip
from stairhatch.sip import grammar

VANISH_DELAY_S = 0.02  # from a caller's INVITE until it vanishes, if it is to vanish
SETTLE_S = 3.0  # waited after the last call's time for releases and their retransmissions
DRAINED_CHECK_INTERVAL_S = 0.05
SEED_FACTOR = 7919  # keeps the seeds of sources apart between runs
OUTCOMES = {
    CallResult.REJECTED: CallOutcome.REJECTED,
    CallResult.FAILED: CallOutcome.FAILED,
    CallResult.UNANSWERED: CallOutcome.UNANSWERED,
}


async def sleep_until(at: float) -> None:
    """Sleep until a time of the monotonic clock, in seconds, and no less, since timers may fire early."""
    while (left_s := at - time.monotonic()) > 0:  # noqa: ASYNC110  # there is no event to wait for
        await asyncio.sleep(left_s)


class _SourceCallers:
    """Caller emulator of one source, with its random generator, retry policy and overload throttle."""

    def __init__(
        self, source: CallSource, caller: CallerEmulator, behaviour: CallerBehaviour, seed: int
    ) -> None:
        self.source = source
        self.caller = caller
        self.rng = random.Random(seed * SEED_FACTOR + source.index)
        self.retry_policy = RetryPolicy(source=source, behaviour=behaviour, rng=self.rng)
        self.throttle = OverloadThrottle(source)
        if source.offers_overload_control:
            caller.via_parameters = ';oc;oc-algo="loss,rate"'
            caller.on_final_response = self._final_response_received

    def may_send(self) -> bool:
        """Return whether overload control allows a new call now."""
        return self.throttle.may_send(time.monotonic(), self.rng)

    def _final_response_received(self, message: sip.SipMessage) -> None:
        self.throttle.parameters_received(time.monotonic(), parse_overload_parameters(message))


class CallerPopulation:
    """The call sources of one worker, and their calls."""

    def __init__(self, job: CallersJob) -> None:
        """Create the population of a job, without any open port or connection."""
        self.job = job
        self.plan = job.plan
        self.loop = asyncio.get_running_loop()
        self.tally = LoadTally()
        self.record: list[CallerRecord] = []
        self.stall = EventLoopStall()
        self.begin_at = 0.0
        self._sources: dict[int, _SourceCallers] = {}  # by index

    async def open(self) -> None:
        """Open the port or connection of each source of this worker. Raises OSError if one fails."""
        for source in call_sources(self.plan):
            if source.index % self.job.workers == self.job.worker:
                self._sources[source.index] = await self._open_source(source)

    async def _open_source(self, source: CallSource) -> _SourceCallers:
        is_tcp = source.transport is Transport.TCP
        open_caller = CallerEmulator.over_tcp if is_tcp else CallerEmulator.over_udp
        address, seed = self.job.addresses[source.transport], self.job.seed
        caller = await open_caller(address, f"o{seed}x{source.index}", seed + source.index)
        caller.observer = self._observe
        return _SourceCallers(source, caller, self.plan.behaviour, seed)

    def _observe(self, kind: ObservationKind, call: PlacedCall, status: int, text: str) -> None:
        told_apart_by = f"{hash(text):x}" if text else ""
        self.record.append(CallerRecord(time.monotonic(), kind, call.number, status, told_apart_by))

    def result(self) -> CallersResult:
        """Return the tally and the observations of the calls, and the longest event loop stall."""
        return CallersResult(self.tally.snapshot(), self.record, self.stall.longest_s)

    # ---- the run ----

    async def run(self, begin_at: float) -> None:
        """Place every call of these sources, wait until all calls are over, and close the sources.

        `begin_at` is the beginning of the load in seconds of the machine's monotonic clock.
        """
        self.begin_at = begin_at
        async with asyncio.TaskGroup() as tasks:
            timed_tasks = [tasks.create_task(self.stall.watch())]
            timed_tasks += [tasks.create_task(self._reconnect_at(each)) for each in self.plan.reconnects_at_s]
            await self._place_all()
            await self._wait_until_over()
            for task in timed_tasks:
                task.cancel()
        for each in self._sources.values():
            self.tally.counts[TallyCount.RETRANSMISSIONS] += each.caller.counters.retransmissions
            each.caller.close()

    async def _place_all(self) -> None:
        job = self.job
        for scheduled in scheduled_calls(job.plan, job.seed, job.worker, job.workers):
            await sleep_until(self.begin_at + scheduled.at_s)
            self._call_due(scheduled)

    async def _wait_until_over(self) -> None:
        longest_call_s = max(each.time_limit_s + each.hold_s for each in self.plan.classes)
        await sleep_until(self.begin_at + self.plan.seconds)
        deadline = time.monotonic() + longest_call_s + SETTLE_S
        # Polling is needed, since no caller signals the end of its last call.
        while time.monotonic() < deadline and self._has_open_calls():  # noqa: ASYNC110
            await asyncio.sleep(DRAINED_CHECK_INTERVAL_S)

    def _has_open_calls(self) -> bool:
        return any(each.caller.calls for each in self._sources.values())

    async def _reconnect_at(self, at_s: float) -> None:
        await sleep_until(self.begin_at + at_s)
        address = self.job.addresses.get(Transport.TCP)
        if address is None:
            return
        tcp_sources = [each for each in self._sources.values() if each.source.transport is Transport.TCP]
        await asyncio.gather(*(each.caller.reconnect(address) for each in tcp_sources))

    # ---- attempts of a call ----

    def _call_due(self, scheduled: ScheduledCall) -> None:
        due_at = self.begin_at + scheduled.at_s
        self.tally.call_offered(scheduled.load_class, scheduled.at_s, time.monotonic() - due_at)
        call = CallInProgress(scheduled, due_at)
        if self._sources[call.scheduled.source].may_send():
            self._place(call)
        else:
            self._end(call, CallOutcome.WITHHELD, None)

    def _place(self, call: CallInProgress) -> None:
        """Place one attempt of a call; its unique called number identifies it on both sides."""
        scheduled = call.scheduled
        caller, load_class = self._sources[scheduled.source].caller, scheduled.load_class
        number = f"{load_class.number}{scheduled.serial:07d}{call.attempt_count}"
        attempt = caller.place(number, scheduled.hold_s, call.due_at, partial(self._attempt_ended, call))
        if scheduled.vanishes:
            self.loop.call_later(VANISH_DELAY_S, self._abandon, call, attempt)
        elif scheduled.cancels:
            self.loop.call_later(self.plan.behaviour.cancel_s, self._abandon, call, attempt)
        time_left_s = max(0.0, call.time_left_s(time.monotonic()))
        self.loop.call_later(min(load_class.attempt_timeout_s, time_left_s), caller.cancel, attempt)

    def _abandon(self, call: CallInProgress, attempt: PlacedCall) -> None:
        """Make the caller vanish or cancel, as drawn for the call, if the attempt has no result yet."""
        if call.is_over or attempt.result is not None:
            return
        self._end(call, CallOutcome.ABANDONED, None)
        caller = self._sources[call.scheduled.source].caller
        if call.scheduled.vanishes:
            caller.vanish(attempt)
        else:
            caller.cancel(attempt)

    def _attempt_ended(
        self, call: CallInProgress, attempt: PlacedCall, result: CallResult, _elapsed_s: float, _status: int
    ) -> None:
        """End the call by the result of an attempt, or schedule its next attempt."""
        if call.is_over:
            return
        now = time.monotonic()
        if result is CallResult.ESTABLISHED:
            self._end(call, CallOutcome.ESTABLISHED, now - call.due_at)
            return
        retry_policy = self._sources[call.scheduled.source].retry_policy
        delay_s = retry_policy.delay_s(call, now, attempt.retry_after_s)
        if delay_s is None:
            elapsed_s = None if result is CallResult.UNANSWERED else now - call.due_at
            self._end(call, OUTCOMES[result], elapsed_s)
            return
        call.attempt_count += 1
        self.loop.call_later(delay_s, self._retry, call)

    def _retry(self, call: CallInProgress) -> None:
        if self._sources[call.scheduled.source].may_send():
            self.tally.call_retried()
            self._place(call)
        else:
            self._end(call, CallOutcome.WITHHELD, None)

    def _end(self, call: CallInProgress, outcome: CallOutcome, elapsed_s: float | None) -> None:
        call.is_over = True
        scheduled = call.scheduled
        self.tally.call_ended(scheduled.load_class, scheduled.at_s, outcome, elapsed_s)


def parse_overload_parameters(message: sip.SipMessage) -> OverloadParameters:
    """Return the overload control parameters of a response's topmost Via (RFC 7339, 4)."""
    parameters = grammar.parse_via(sip.split_list(message.get("via"))[0]).parameters

    def number(name: str) -> float | None:
        try:
            return float(parameters[name])
        except (KeyError, ValueError):
            return None

    validity_ms = number("oc-validity")
    return OverloadParameters(
        value=number("oc"),
        algorithm=parameters.get("oc-algo", "loss").strip('"'),
        validity_s=None if validity_ms is None else validity_ms / 1000,
        sequence=number("oc-seq"),
    )
