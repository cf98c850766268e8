"""Checks the platform's rules on the record of a trial. Free of I/O.

The rules are those of the platform's pages; the docstring of each check states its rule. Times are seconds.
`slack_s` extends each limit by the tolerance of the pages (50 ms) and the harness' longest stall.
"""

from __future__ import annotations

import math
from collections import defaultdict

from stairhatch.soak.deployment import FALL_MULTIPLE, FALL_S, WARM_AFTER_S, Deployment, DrawnClass
from stairhatch.soak.process_times import ProcessTimes
from stairhatch.soak.record import Kind, Observation, Record
from stairhatch.soak.server_attempt import CLEAR_ENDS, UNCLEAR_ENDS, ServerAttempt
from stairhatch.soak.violation import Rule, Violation

SLACK_S = 0.05
LATE_ANSWER_TOLERANCE_S = 0.5  # a response this long after the caller timeout breaks no rule
RELEASE_LIMIT_S = 1.0  # from the server's release to the caller's
UNSENT_RELEASE_LIMIT_S = 8.0  # from a call's end to the caller's release, if the server could send none
CROSSED, CROSSING_WINDOW_S = "crossed", 0.05
ABANDON_READ_LIMIT_S = 0.1  # a softswitch reads what callers have sent within this time
NOTIFICATION_LIMIT_S = 7.0  # an event counts as delivered this long after the coordinator holds it
NOTIFICATION_LIMIT_AFTER_FAILURE_S = 6.0  # an event counts as delivered this long after a failure's end
READY_LIMIT_S = 10.0  # from the start of a process until it serves
DRAIN_REFUSAL_LIMIT_S = 1.0  # from the start of a drain until set-ups must be refused
SMALL_SETUP_COUNT = 30  # the overload bound of a cold server is wider below this count of set-ups
OUT_OF_SERVICE_LIFECYCLES = ("terminating", "terminated")  # servers that may get no set-ups
IN_SERVICE_LIFECYCLES = ("in_service",)
SERVED_STATUS = 200
HARMLESS_STATUSES = (480, 503)  # refusals that promise that a retry does no harm
REPEATABLE_EFFECT = "read_like"
NON_REPEATABLE_EFFECT = "non_idempotent"


SERVER_OBSERVATION_KINDS = CLEAR_ENDS | UNCLEAR_ENDS | {Kind.SETUP_RECEIVED, Kind.ESTABLISHED, Kind.CALL_OVER}


class RuleChecker:
    """Checker of all rules on the record of one trial."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        """Group the observations by call, and those without a call by softswitch process."""
        self.deployment = deployment
        self.slack_s = SLACK_S + record.stalled_s
        self.violations: list[Violation] = []
        self.cases: dict[Rule, int] = defaultdict(int)  # how often each rule could have been broken
        self.by_call: dict[str, list[Observation]] = defaultdict(list)
        self.processes: dict[str, ProcessTimes] = defaultdict(ProcessTimes)
        self.ends_at = record.observations[-1].at if record.observations else 0.0
        self._observations = record.observations
        for seen in record.observations:
            if seen.call:
                self.by_call[seen.call].append(seen)
            else:
                self.processes[seen.softswitch].observe(seen)

    def check(self) -> list[Violation]:
        """Check all rules; return the violations in order of time and count the cases of each rule."""
        notified = self._notified_at(OUT_OF_SERVICE_LIFECYCLES)
        for call, observations in self.by_call.items():
            sent = _first(observations, Kind.SETUP_SENT)
            if sent is None:
                continue
            self._check_answer(call, sent, observations)
            self._check_served(call, observations)
            self._check_released(call, observations)
            self._check_attempts(call, sent, observations)
            self._check_draining_servers(call, observations, notified)
            self._check_refused_in_drain(call, sent, observations)
        self._check_cold_servers()
        self._check_processes()
        self.violations.sort(key=lambda each: each.at)
        return self.violations

    def _add_violation(self, rule: Rule, at: float, call: str, description: str) -> None:
        self.violations.append(Violation(rule, at, call, description))

    # ---- rules on final responses and releases to callers ----

    def _check_answer(self, call: str, sent: Observation, observations: list[Observation]) -> None:
        """Check that a set-up gets exactly one final response, and in time.

        A second final response breaks the rule, and so does a connection that ends before a complete one. A
        response up to LATE_ANSWER_TOLERANCE_S after the caller timeout has no value but breaks no rule. No
        response is required if the caller abandoned the set-up, or if its connection or its softswitch
        process ended in a way that excuses the set-up (`_crossed_close`, `was_killed_unannounced`).
        """
        self.cases[Rule.ANSWER] += 1
        answers = [each for each in observations if each.kind is Kind.FINAL_ANSWER]
        for other in answers[1:]:
            self._add_violation(Rule.ANSWER, other.at, call, f"{other.status} after {answers[0].status}")
        if _first(observations, Kind.CALLER_LEFT) is not None:
            return
        process = self.processes[sent.softswitch]
        if not answers:
            if process.was_killed_unannounced:
                return
            ended = _first(observations, Kind.CONNECTION_ENDED)
            if ended is not None:
                if not self._crossed_close(ended):
                    self._add_violation(
                        Rule.ANSWER, ended.at, call, "connection ended without a final response"
                    )
            elif self.ends_at > sent.at + _caller_timeout_s(sent) + LATE_ANSWER_TOLERANCE_S + self.slack_s:
                self._add_violation(Rule.ANSWER, sent.at, call, "no final response")
        elif answers[0].at > sent.at + _caller_timeout_s(sent) + LATE_ANSWER_TOLERANCE_S + self.slack_s:
            late_s = answers[0].at - sent.at - _caller_timeout_s(sent)
            self._add_violation(Rule.ANSWER, answers[0].at, call, f"{late_s:.2f} s after the caller timeout")

    def _crossed_close(self, ended: Observation) -> bool:
        """Return whether a set-up crossed the close of its connection.

        A set-up that was sent at most 50 ms before the softswitch closed its connection crossed the close.
        The caller sends it again, once, on a new connection. A stalled harness notices the close late by up
        to the stall, so the stall extends the 50 ms.
        """
        late_s = self.slack_s - SLACK_S
        return ended.detail == CROSSED or (late_s > 0 and float(ended.detail) <= CROSSING_WINDOW_S + late_s)

    def _check_served(self, call: str, observations: list[Observation]) -> None:
        """Check that a 200 response has the session description with which a server established the call.

        The server must have established the call before the response.
        """
        for answer in observations:
            if answer.kind is not Kind.FINAL_ANSWER or answer.status != SERVED_STATUS:
                continue
            self.cases[Rule.SERVED] += 1
            establishments = [
                each.detail for each in observations if each.kind is Kind.ESTABLISHED and each.at <= answer.at
            ]
            if answer.detail not in establishments:
                self._add_violation(Rule.SERVED, answer.at, call, f"no server sent {answer.detail[:40]!r}")

    def _check_released(self, call: str, observations: list[Observation]) -> None:
        """Check that an established call that has ended is released towards its caller in time.

        The limit is RELEASE_LIMIT_S (1 s) after the server sent its release. If it could send none, the limit
        is UNSENT_RELEASE_LIMIT_S (8 s) after the call's end, which also bounds the former limit. Both times
        count from the 200 response if that is later. A call is not checked if its softswitch process ended
        before the limit.
        """
        answer = next(
            (e for e in observations if e.kind is Kind.FINAL_ANSWER and e.status == SERVED_STATUS), None
        )
        if answer is None:
            return
        establishments = [e for e in observations if e.kind is Kind.ESTABLISHED and e.detail == answer.detail]
        establishments = [e for e in establishments if e.at <= answer.at]
        if not establishments:
            return
        # An earlier attempt may have ended at the same server, so only what follows the establishment counts.
        at_server = [
            e for e in observations if e.server == establishments[-1].server and e.at >= establishments[-1].at
        ]
        end = _first(at_server, Kind.CALL_OVER)
        if end is None:
            return
        self.cases[Rule.RELEASED] += 1
        sent = _first(at_server, Kind.RELEASE_SENT)
        release_due_from = max(end.at, answer.at)
        limit = release_due_from + UNSENT_RELEASE_LIMIT_S
        if sent is not None:
            limit = min(limit, max(sent.at, release_due_from) + RELEASE_LIMIT_S)
        limit += self.slack_s
        released = next(
            (e for e in observations if e.kind in (Kind.CALLER_RELEASED, Kind.CALLER_HUNG_UP)), None
        )
        released_at = released.at if released is not None else math.inf
        if released_at <= limit or limit > self.ends_at:
            return
        if self.processes[answer.softswitch].ended_at < limit:
            return  # the softswitch process that held the call ended before the limit
        delay = f"released {released_at - end.at:.2f} s later" if released is not None else "not released"
        self._add_violation(Rule.RELEASED, limit, call, f"{end.detail} at {end.server}, caller {delay}")

    def _check_refused_in_drain(self, call: str, sent: Observation, observations: list[Observation]) -> None:
        """Check that no set-up sent over DRAIN_REFUSAL_LIMIT_S (1 s) after the start of a drain is served."""
        answer = _first(observations, Kind.FINAL_ANSWER)
        for start, end in self.processes[sent.softswitch].drains:
            if start + DRAIN_REFUSAL_LIMIT_S + self.slack_s < sent.at < end - self.slack_s:
                self.cases[Rule.REFUSED_IN_DRAIN] += 1
                if answer is not None and answer.status == SERVED_STATUS:
                    self._add_violation(
                        Rule.REFUSED_IN_DRAIN,
                        sent.at,
                        call,
                        f"{sent.at - start:.2f} s into a drain, but served",
                    )

    # ---- rules on attempts at roster servers ----

    def _check_attempts(self, call: str, sent: Observation, observations: list[Observation]) -> None:
        """Check the attempts of a call, as the servers observed them.

        Checked are: at most one open attempt at a time, the pause after an unclear end, the allowed servers,
        the cap on attempts, duplicate effects, and attempts after the caller has abandoned the set-up.
        """
        call_class = self.deployment.call_class(sent.detail.split(" ")[0])
        abandoned = _first(observations, Kind.CALLER_LEFT)
        answer = _first(observations, Kind.FINAL_ANSWER)
        attempt: ServerAttempt | None = None
        count = 0
        may_have_run = False
        for seen in observations:
            if seen.kind is Kind.SETUP_RECEIVED:
                count += 1
                self._check_retry(call, attempt, seen)
                self._check_pool(call, call_class, seen)
                if may_have_run and call_class.effect == NON_REPEATABLE_EFFECT:
                    self._add_violation(
                        Rule.DUPLICATE, seen.at, call, "sent again though an attempt may have run"
                    )
                if abandoned is not None and seen.at > abandoned.at + ABANDON_READ_LIMIT_S + self.slack_s:
                    self._add_violation(
                        Rule.ABANDONED,
                        seen.at,
                        call,
                        f"{seen.at - abandoned.at:.2f} s after its caller abandoned it",
                    )
                attempt = ServerAttempt(seen.server)
                self.cases[Rule.ABANDONED] += abandoned is not None
            elif (
                attempt is not None
                and seen.server == attempt.server
                and seen.kind in SERVER_OBSERVATION_KINDS
            ):
                attempt.observe(seen)
                may_have_run = may_have_run or seen.kind is not Kind.REJECTED
        if count > self.deployment.max_attempts:
            self._add_violation(Rule.ATTEMPTS, observations[-1].at, call, f"{count} attempts")
        is_refused = answer is not None and answer.status in HARMLESS_STATUSES
        if is_refused and may_have_run and call_class.effect == NON_REPEATABLE_EFFECT and abandoned is None:
            self._add_violation(
                Rule.DUPLICATE, sent.at, call, "rejected as safe to retry though it may have run"
            )

    def _check_pool(self, call: str, call_class: DrawnClass, setup: Observation) -> None:
        """Check that the server is one of those to which calls of the class may be sent."""
        self.cases[Rule.POOL] += 1
        if int(setup.server.split("-")[1]) not in call_class.pools:
            self._add_violation(
                Rule.POOL, setup.at, call, f"{call_class.name} is not allowed at {setup.server}"
            )

    def _check_retry(self, call: str, last: ServerAttempt | None, setup: Observation) -> None:
        """Check that the last attempt has ended, and the retry pause if that end was unclear."""
        if last is None:
            return
        self.cases[Rule.ONE_ATTEMPT] += 1
        if last.ended_at is None:
            self._add_violation(
                Rule.ONE_ATTEMPT, setup.at, call, f"at {setup.server} while one is open at {last.server}"
            )
        elif last.is_unclear:
            self.cases[Rule.PAUSE] += 1
            gap_s = setup.at - last.ended_at
            if gap_s < self.deployment.retry_pause_s - self.slack_s:
                self._add_violation(
                    Rule.PAUSE, setup.at, call, f"{gap_s:.3f} s after an attempt that may have run"
                )

    # ---- rules on draining and cold servers, from the endpoint list ----

    def _notified_at(self, lifecycles: tuple[str, ...]) -> dict[tuple[str, str], float]:
        """Return when each softswitch counts as notified that a server has one of the lifecycles.

        The keys are names of softswitches with instance ids of servers; the values are the earliest times.

        A softswitch is notified of an event when the coordinator's answer with the event has been written. At
        the latest it counts as notified NOTIFICATION_LIMIT_S (7 s) after the coordinator holds the event. If
        the coordinator fails in that time, it counts as notified NOTIFICATION_LIMIT_AFTER_FAILURE_S (6 s)
        after the end of the failure, if that is later.
        """
        outages: dict[str, list[tuple[float, float]]] = defaultdict(list)
        notified: dict[tuple[str, str], float] = {}
        for seen in self._observations:
            if seen.kind is Kind.DISCOVERY_FAILED:
                outages[seen.softswitch].append((seen.at, math.inf))
            elif seen.kind is Kind.DISCOVERY_RETURNED and outages[seen.softswitch]:
                outages[seen.softswitch][-1] = (outages[seen.softswitch][-1][0], seen.at)
        for seen in self._observations:
            if seen.kind not in (Kind.LIST_CHANGED, Kind.LIST_NOTIFIED) or seen.detail not in lifecycles:
                continue
            key = (seen.softswitch, seen.server)
            at = seen.at
            if seen.kind is Kind.LIST_CHANGED:
                at += NOTIFICATION_LIMIT_S
                for start, end in outages[seen.softswitch]:
                    if start <= at and end >= seen.at:
                        at = max(at, end + NOTIFICATION_LIMIT_AFTER_FAILURE_S)
            notified[key] = min(notified.get(key, math.inf), at)
        return notified

    def _check_draining_servers(
        self, call: str, observations: list[Observation], notified: dict[tuple[str, str], float]
    ) -> None:
        """Check that no set-up is sent to a server that drains or is gone.

        A set-up may reach the server up to `drain_grace_s` after its softswitch counts as notified.
        """
        for seen in observations:
            if seen.kind is not Kind.SETUP_RECEIVED:
                continue
            notified_at = notified.get((_softswitch_name(seen), seen.server), math.inf)
            if notified_at < math.inf:
                self.cases[Rule.DRAINING_SERVER] += 1
            if seen.at > notified_at + self.deployment.drain_grace_s + self.slack_s:
                self._add_violation(
                    Rule.DRAINING_SERVER,
                    seen.at,
                    call,
                    f"{seen.server}: notified {seen.at - notified_at:.2f} s ago",
                )

    def _check_cold_servers(self) -> None:
        """Check that softswitches notified of a server's start do not overload it while it is cold.

        N is FALL_MULTIPLE times the number of set-ups for which the server now has capacity in FALL_S. It is
        overloaded by more than N + 2 sqrt(N) + 2 set-ups in that time (N below 30: N + 3 sqrt(N) + 3). The
        rule is broken at the first overload in which over two thirds of the set-ups come from softswitches
        that count as notified of the start.
        """
        notified_at = self._notified_at(IN_SERVICE_LIFECYCLES)
        started = {each.server: each.at for each in self._observations if each.kind is Kind.STARTED_COLD}
        setups: dict[str, list[Observation]] = defaultdict(list)
        for seen in self._observations:
            if (
                seen.kind is Kind.SETUP_RECEIVED
                and seen.at < started.get(seen.server, math.inf) + WARM_AFTER_S
            ):
                setups[seen.server].append(seen)
        for server, received in setups.items():
            if server not in started:
                continue
            self.cases[Rule.COLD_SERVER] += 1
            cold_setups = [each for each in received if each.at >= started[server]]
            for index, last in enumerate(cold_setups):
                window = [each for each in cold_setups[: index + 1] if each.at > last.at - FALL_S]
                age_s = last.at - started[server]
                count = FALL_MULTIPLE * self.deployment.present_capacity_per_s(age_s) * FALL_S
                if len(window) <= _overload_bound(count):
                    continue
                from_notified = [
                    e for e in window if notified_at.get((_softswitch_name(e), server), math.inf) <= e.at
                ]
                if 3 * len(from_notified) > 2 * len(window):
                    text = f"{len(window)} set-ups, above the bound of {_overload_bound(count):.0f}"
                    self._add_violation(Rule.COLD_SERVER, last.at, server, text)
                    break

    # ---- rules on softswitch processes ----

    def _check_processes(self) -> None:
        """Check that no process crashed, logged a fault, exceeded a limit, started slowly or needed SIGKILL.

        A process must be ready within READY_LIMIT_S, and after SIGTERM it must end before the SIGKILL.
        """
        for name, times in self.processes.items():
            if times.started_at == -math.inf:
                continue
            self.cases[Rule.PROCESS] += 1
            if times.ready_at - times.started_at > READY_LIMIT_S + self.slack_s:
                self._add_violation(Rule.PROCESS, times.started_at, name, "not ready within 10 s")
            if times.terminated_at < times.killed_at < math.inf:
                self._add_violation(Rule.PROCESS, times.killed_at, name, "did not end before the SIGKILL")
        for seen in self._observations:
            times = self.processes[seen.softswitch]
            is_crash = seen.kind is Kind.PROCESS_ENDED and times.killed_at == math.inf
            if is_crash and (seen.status != 0 or times.terminated_at == math.inf):
                self._add_violation(Rule.PROCESS, seen.at, seen.softswitch, f"ended with {seen.status}")
            if seen.kind in (Kind.LIMIT_EXCEEDED, Kind.LOG_LINE):
                self._add_violation(Rule.PROCESS, seen.at, seen.softswitch, seen.detail)


def _overload_bound(count: float) -> float:
    """Return how many set-ups a cold server withstands if the settings allow `count` on average."""
    factor = 3 if count < SMALL_SETUP_COUNT else 2
    return count + factor * math.sqrt(count) + factor


def _softswitch_name(seen: Observation) -> str:
    """Return the name of the softswitch to which the observed process belongs, `n0` for `n0#1`."""
    return seen.softswitch.partition("#")[0]


def _first(observations: list[Observation], kind: Kind) -> Observation | None:
    return next((each for each in observations if each.kind is kind), None)


def _caller_timeout_s(sent: Observation) -> float:
    """Return the caller timeout of a set-up, the last word of its observation's detail."""
    return float(sent.detail.rpartition(" ")[2])
