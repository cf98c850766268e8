"""Every decision of the controller. Its settings, events, actions and records stand beside this module.

The ordinary path is the hysteretic control of Roughan and Pearce: a flag per server, raised above an onset
and lowered at an abatement threshold; while it is up, a random share of new set-ups is refused at once.
Read from `Controller.handle` downwards. "Departure" marks what the paper's control does not have.
"""

from __future__ import annotations

import bisect
import heapq
import math
import random
from collections.abc import Iterator

from stairhatch.overload.actions import Action, FailCall, LogMessage, RejectCall, SendSetup, SetTimer
from stairhatch.overload.endpoint import Endpoint
from stairhatch.overload.events import (
    AttemptEnded,
    AttemptOutcome,
    Availability,
    CallAbandoned,
    CallEstablished,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    Event,
    LoadReport,
    LoadReported,
    TimerExpired,
)
from stairhatch.overload.pending_call import DestinationBackoff, PendingCall
from stairhatch.overload.settings import CallClass, Settings

# Thresholds are parts of the wait scale: the time after which a waiting set-up is sent again or its aim lost.
ONSET_PART = 0.35
ABATEMENT_PART = 0.2
SHARE = 0.5  # refused while flagged, of the least important class (the paper's percentage throttling)
MOST_SHARE = 0.95  # no kind of call is shut out altogether
AGEING_S = 3.0  # a flag with no fresh evidence for this long clears
# Departure, self-clocking: how far one answered set-up may move the window of unanswered ones.
WINDOW_STEP = 0.5
FIRST_FLEET_WINDOW = 10.0  # of all nodes together at one server, before anything is known of it
LEAST_FLEET_WINDOW = 1.0
MOST_WINDOW = 64.0  # of one node
PART_SLACK = 2.0  # a node's window is first this multiple of its part: nodes have unequal callers
MOST_CUT = 0.25  # a slow sign leaves at least this much of a window below 1
GROWTH_SPAN_S = 3.0  # a window below 1 may double in this time
LINES_KEPT = 1.0  # free lines kept from calls of no worth, in roots of a server's lines
BURST = 2.0  # set-ups a node may save up at a server while its window is below 1
ERRORS_IN_A_ROW = 2  # to calls that then stood elsewhere: a lone one may be chance, more are the server's
ERRORS_OF_CALL = 2  # what two attempts answer with an error is the call's own fault
MEMORY_S = 30.0  # how slowly fades what warm servers bore
FIRST_BLOCK_S = 0.5  # pause after a server could not be reached or was full, doubling up to LONGEST_BLOCK_S
LONGEST_BLOCK_S = 4.0
LONGEST_GAP_S = 16.0  # between trial calls of one node to a number that stays busy
COLD_PART = 0.8  # of what a cold server should be able to do, what the nodes send together
BUDGET_PART = 2 / 3  # of what would push a cold server over, the most that the nodes send together
STRIDE = 7  # between the nodes that have turns at one server and at the next
TURN_PART = 0.25  # of fall_s: an unused turn at a cold server lapses after this
BEFORE_REPEAT = 0.9  # of retransmit_s: a set-up to a cold server is given up after this
PATIENCE_STEP, PATIENCE_SLACK = 0.01, 0.1  # how fast the usual patience is followed, what counts as unusual
OVERTAKE_S = 0.1  # beyond the quickest set-up, so that mere jitter is no overtaking
WAKE_S = 0.02  # held calls are looked at this often
ANSWER_MARGIN_S = 0.05  # a final answer is given this long before the caller's time is up
WAKE = 1  # the label of the only timer


class Controller:
    """The decisions of one access node."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.endpoints: dict[int, Endpoint] = {}
        self.calls: dict[int, PendingCall] = {}
        self.waiting: dict[int, PendingCall] = {}
        self.ranks: dict[float, list[tuple[float, int]]] = {}  # the waiting calls by worth, oldest first
        self.holds: list[tuple[float, int]] = []  # a heap of when each is given up; some are over
        self.borne, self.borne_at = 0.0, 0.0  # the share of its lines that a warm server used lately
        self.jams: dict[int, DestinationBackoff] = {}
        self.patience: dict[str, float] = {}  # class -> the time its callers mostly give a try
        self.timer_set = False
        self.served_at = -1.0  # when the waiting calls were last looked through
        self.notes: list[str] = []  # lines for the people on call, few and plain
        self.lengths = 0
        self.lasted_s, self.lasted = 0.0, 0  # calls of this node that ended by themselves
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Take other settings in one step, with all that is derived from them. What was learnt stays."""
        was = {kind.name: kind.deadline_s for kind in self.settings.classes}
        old, kinds = self.patience, [k for k in settings.classes if k.name in was and k.name in self.patience]
        self.patience = {k.name: old[k.name] * k.deadline_s / was[k.name] for k in kinds}
        self.settings, self.safety = settings, settings.safety
        # Floors and first values are the whole fleet's; each node takes its part of them.
        self.first_window = FIRST_FLEET_WINDOW / settings.instance_count
        self.least_window = LEAST_FLEET_WINDOW / settings.instance_count
        aims = [kind.latency_objective_s for kind in settings.classes]
        self.scale_s = min(
            aims + ([settings.retransmit_interval_s] if settings.retransmit_interval_s > 0 else []),
            default=1.0,
        )
        self.most = max((k.priority_weight for k in settings.classes), default=1.0) or 1.0
        self.least = min((k.priority_weight for k in settings.classes if k.priority_weight > 0), default=1.0)
        lengths = [kind.mean_duration_s for kind in settings.classes]
        if not self.lengths:
            self.length_s = sum(lengths) / len(lengths) if lengths else 0.0  # of a call, as they come

    def handle(self, now: float, event: Event) -> Iterator[Action]:
        """Take one event; yield what is to be done."""
        match event:
            case EndpointsUpdated():
                self.servers_listed(now, event)
            case CallOffered():
                yield from self.call_offered(now, event)
            case CallEstablished():
                self.setup_stood(now, event)
            case AttemptEnded():
                yield from self.setup_ended(now, event)
            case CallAbandoned():
                self.forget(event.call_id)
            case LoadReported():
                self.load_told(now, event)
            case TimerExpired():
                self.timer_set = False
        newest = None  # a call that has come, or has come back
        if isinstance(event, CallOffered | AttemptEnded):
            newest = self.waiting.get(event.call_id)
        yield from self.serve_waiting(now, newest)
        while self.notes:
            yield LogMessage(self.notes.pop(0))
        if self.waiting and not self.timer_set:
            self.timer_set = True
            yield SetTimer(max(WAKE_S, self.settings.event_period_s), WAKE)

    # ---- the server list ----

    def servers_listed(self, now: float, event: EndpointsUpdated) -> None:
        """Rule 3: what drains or is gone gets nothing from this moment on."""
        if event.complete:
            listed = {line.server_id for line in event.endpoints}
            for server in self.endpoints.values():
                if server.id not in listed:
                    server.availability = Availability.GONE
        for line in event.endpoints:
            known = self.endpoints.get(line.server_id)
            if known is None:
                known = Endpoint(
                    line.server_id,
                    line.number,
                    concurrency_limit=self.first_window,
                    tokens=BURST,
                    next_ejection_s=FIRST_BLOCK_S,
                )
                self.endpoints[line.server_id] = known
            self.note_start(now, known, line)
            known.number, known.availability, known.listed_at = line.number, line.availability, now
        for server in list(self.endpoints.values()):
            gone = server.availability is Availability.GONE and not server.pending_setups
            if gone and now - server.listed_at > MEMORY_S:  # until then it may return, and its size is known
                del self.endpoints[server.id]

    def note_start(self, now: float, server: Endpoint, line: EndpointRecord) -> None:
        """A server that started lately is cold; what was learned of it before no longer holds."""
        age = now - line.started_at
        if (
            line.started_at <= 0
            or age >= self.safety.warm_up_s
            or line.availability is not Availability.READY
        ):
            return
        if server.started_at is not None and abs(server.started_at - line.started_at) < 1e-6:
            return
        self.notes.append(f"server {server.id} started {age:.0f} s ago: paced while cold")
        server.started_at = line.started_at
        server.flagged, server.ejected, server.unreachable = False, False, False
        server.ejected_until, server.next_ejection_s = 0.0, FIRST_BLOCK_S
        self.start_turns(now, server)

    # ---- calls ----

    def call_offered(self, now: float, event: CallOffered) -> Iterator[Action]:
        """The ordinary path: pick a server; while it is flagged, refuse a share at random; else send."""
        kind = event.call_class
        if kind is None:
            yield FailCall(event.call_id)
            return
        self.lengths += 1
        self.length_s += (kind.mean_duration_s - self.length_s) / min(self.lengths, 1000)
        margin = max(ANSWER_MARGIN_S, 2 * self.settings.event_period_s)
        by = now + event.caller_timeout_s - margin
        redial = event.is_caller_retry or self.looks_redialled(kind, event.caller_timeout_s)
        worth = kind.priority_weight * (kind.late_weight if redial else 1.0)
        hold = min(by, now + kind.latency_objective_s - self.onset)  # while its aim can be met
        cap = self.settings.max_attempts
        call = PendingCall(
            event.call_id,
            kind,
            event.preferred_number,
            now,
            by,
            worth,
            event.in_transit,
            event.called_number,
            hold,
            cap,
        )
        self.calls[call.id] = call
        if self.number_jammed(now, call):
            yield from self.refuse(now, call)
            return
        server = self.pick(now, call, self.with_room(now))
        if server is None:
            server = self.first_choice(call)
        flagged = server is not None and self.is_flagged(now, server)
        if server is not None and flagged and self.rng.random() < self.share(call, server):
            yield from self.refuse(now, call)
            return
        self.wait(call)

    def looks_redialled(self, kind: CallClass, grace_s: float) -> bool:
        """Departure: a caller whose patience is not the usual one of its class is on a later try.

        Callers' last tries last as long as their time does, their first ones a fixed part of it. Where each
        caller has its own patience this could take some first tries for later ones.
        """
        usual = self.patience.get(kind.name, grace_s)
        step = PATIENCE_STEP * usual
        self.patience[kind.name] = usual + max(-step, min(step, grace_s - usual))
        return abs(grace_s - usual) > PATIENCE_SLACK * usual

    def number_jammed(self, now: float, call: PendingCall) -> bool:
        """Extension: after 'busy' a number gets one trial call an interval, which doubles each time."""
        jam = self.jams.get(call.called_number)
        if jam is None:
            return False
        if now < jam.next_trial_at:
            return True
        jam.next_trial_at = now + jam.interval_s * (0.5 + self.rng.random())
        return False

    def note_number(self, now: float, called: int, busy: bool) -> None:
        """Widen the gap of a busy number, narrow and at last forget that of one that answers."""
        if not called:
            return
        jam = self.jams.get(called)
        if busy:
            if jam is None:
                self.jams = {n: j for n, j in self.jams.items() if now <= j.next_trial_at + LONGEST_GAP_S}
                jam = self.jams[called] = DestinationBackoff()
                self.notes.append(f"number {called} busy: trial calls only")
            jam.interval_s = min(LONGEST_GAP_S, max(FIRST_BLOCK_S, 2 * jam.interval_s))
            jam.next_trial_at = now + jam.interval_s * (0.5 + self.rng.random())
        elif jam is not None:
            jam.interval_s /= 2
            jam.next_trial_at = min(jam.next_trial_at, now + jam.interval_s)
            if jam.interval_s < FIRST_BLOCK_S:
                del self.jams[called]

    def serve_waiting(self, now: float, newest: PendingCall | None) -> Iterator[Action]:
        """Send what may go, the most important first; answer what can no longer be served in time."""
        seen, self.served_at = now == self.served_at, now
        if not self.waiting or (seen and newest is None):
            return  # thousands may wait: look them through once an instant
        roomy = self.with_room(now)
        # A new call is always looked at: one that a stalled node finds late may have no time left at all.
        if seen and newest is not None:
            yield from self.serve_rank(now, [(newest.offered_at, newest.id)], roomy)
        else:
            for worth in sorted(self.ranks, reverse=True):
                if not any(worth >= floor for _, floor in roomy):
                    break
                yield from self.serve_rank(now, self.ranks[worth].copy(), roomy)
        while self.holds and self.holds[0][0] <= now:
            late = self.waiting.get(heapq.heappop(self.holds)[1])
            if late is None or now < late.queue_until:
                continue
            if now < late.not_before < late.answer_by:
                heapq.heappush(self.holds, (late.not_before, late.id))
            else:
                yield from self.refuse(now, late)

    def serve_rank(
        self, now: float, rank: list[tuple[float, int]], roomy: list[tuple[Endpoint, float]]
    ) -> Iterator[Action]:
        """Send calls of one worth, the oldest first, while there is room for them."""
        for _, call_id in rank:
            if not roomy:
                return
            call = self.waiting[call_id]
            if now >= call.answer_by or now < call.not_before < call.answer_by:
                continue
            server = self.pick(now, call, roomy)
            if server is not None:
                yield self.send(now, call, server)
                index = next(i for i, (s, _) in enumerate(roomy) if s is server)
                roomy[index : index + 1] = self.open_to(now, server)

    def wait(self, call: PendingCall) -> None:
        """Hold a call for room."""
        self.waiting[call.id] = call
        bisect.insort(self.ranks.setdefault(call.weight, []), (call.offered_at, call.id))
        heapq.heappush(self.holds, (call.queue_until, call.id))

    def wait_no_more(self, call_id: int) -> None:
        """The call is sent or over."""
        call = self.waiting.pop(call_id, None)
        if call is not None:
            rank = self.ranks[call.weight]
            del rank[bisect.bisect_left(rank, (call.offered_at, call_id))]
            if not rank:
                del self.ranks[call.weight]

    def send(self, now: float, call: PendingCall, server: Endpoint) -> Action:
        """Rule 2: the call leaves the waiting ones, so it has one attempt out at a time."""
        self.wait_no_more(call.id)
        call.attempts += 1
        server.pending_setups[call.id] = now
        server.tokens -= 1
        server.slot_open_until = now  # spent
        return SendSetup(call.id, server.id, self.time_out(now, call, server))

    def time_out(self, now: float, call: PendingCall, server: Endpoint) -> float:
        """Departure: where set-ups were lost lately and answers are quick, give up in time for another try.

        Guards against answers that never come, which cost a call its aim. It could harm by sending twice what
        was merely slow, so it acts at unflagged servers only.
        """
        if self.is_warming_up(now, server):
            return BEFORE_REPEAT * self.settings.retransmit_interval_s  # rule 4: no repeats, see `cold_rate`
        left = (
            call.offered_at
            + call.call_class.latency_objective_s
            - now
            - self.safety.retry_pause_s
            - self.onset
        )
        lossy = now - server.loss_seen_at < MEMORY_S and not self.is_flagged(now, server)
        return left if lossy and left > self.onset else 0.0

    def refuse(self, now: float, call: PendingCall) -> Iterator[Action]:
        """The final answer to a call that will not be set up; one that may have run must not be 'refused'."""
        self.forget(call.id)
        if call.may_have_run and not call.call_class.idempotent:
            yield FailCall(call.id)
        else:
            yield RejectCall(call.id, self.come_back(now, call))

    def come_back(self, now: float, call: PendingCall) -> float:
        """When a refused caller may dial again: once the least pressed server it may use should have abated.

        Departure: the paper's refused calls vanish, ours redial, and at once where nothing is said. The time
        is spread, so that those refused together do not return together. It could harm by keeping a caller
        away from a server that recovers sooner.
        """
        if not self.settings.may_send_retry_after:
            return 0.0
        waits = [
            self.pressure(now, server) for server in self.endpoints.values() if self.may_use(call, server)
        ]
        about = max(self.scale_s, min(waits, default=self.settings.max_retry_after_s))
        return min(self.settings.max_retry_after_s, about * (0.5 + self.rng.random()))

    def forget(self, call_id: int) -> None:
        """Nothing more is done for this call."""
        self.calls.pop(call_id, None)
        self.wait_no_more(call_id)

    # ---- the pick ----

    def pick(self, now: float, call: PendingCall, roomy: list[tuple[Endpoint, float]]) -> Endpoint | None:
        """First choice while clear; else an unflagged one of two drawn; else fewer own unanswered set-ups."""
        open_ones = [s for s, floor in roomy if call.weight >= floor and self.may_use(call, s)]
        if call.error_servers:  # another one tells whose fault it is
            open_ones = [s for s in open_ones if s.id not in call.error_servers] or open_ones
        if not open_ones:
            return None
        for server in open_ones:
            if server.number == call.preferred_number and not self.is_flagged(now, server):
                return server
        drawn = self.rng.sample(open_ones, min(2, len(open_ones)))
        for server in drawn:
            if not self.is_flagged(now, server):
                return server
        return min(drawn, key=lambda s: len(s.pending_setups))

    def least_worth(self, now: float, server: Endpoint) -> float:
        """Departure: the last free lines of a server are kept for the calls that are worth most.

        Guards against days on which lines run short, not processors: calls of little worth took each line as
        it got free, and those worth three times as much found none (snapshot f920180d). What is kept is a
        spread of the count of free lines, which changes while a report is under way. It could harm by
        leaving these lines idle while calls of less worth are refused.
        """
        if (
            server.total_lines <= 0
            or server.lines_in_use is None
            or now - server.lines_reported_at > AGEING_S
        ):
            return 0.0
        free = server.total_lines - server.lines_in_use - len(server.pending_setups)
        return self.most * (1 - free / (LINES_KEPT * math.sqrt(server.total_lines)))

    def first_choice(self, call: PendingCall) -> Endpoint | None:
        """The server that the call names, if it is known."""
        for server in self.endpoints.values():
            if server.number == call.preferred_number and server.availability is Availability.READY:
                return server
        return None

    def may_use(self, call: PendingCall, server: Endpoint) -> bool:
        """Whether the list, the class and the call's way allow this server at all."""
        if server.availability is not Availability.READY or server.number == self.settings.own_server_number:
            return False
        if call.in_transit:
            return server.number == call.preferred_number
        return call.call_class.allowed_servers is None or server.number in call.call_class.allowed_servers

    def with_room(self, now: float) -> list[tuple[Endpoint, float]]:
        """The servers that can be sent something at this moment, each with the least worth it is open to."""
        return [pair for server in self.endpoints.values() for pair in self.open_to(now, server)]

    def open_to(self, now: float, server: Endpoint) -> list[tuple[Endpoint, float]]:
        """The server with the least worth that it is open to, if it can be sent something."""
        return [(server, self.least_worth(now, server))] if self.has_room(now, server) else []

    def has_room(self, now: float, server: Endpoint) -> bool:
        """Departures: blocked, cold and flagged servers get only what they can take."""
        cold = self.is_warming_up(now, server)
        if now < server.ejected_until or not (self.has_turn if cold else self.has_credit)(now, server):
            return False
        if not server.has_free_line and now - server.lines_reported_at < AGEING_S:
            return False
        if server.ejected or cold:
            return not server.pending_setups
        if server.oldest_pending_s(now) > self.scale_s:
            return False
        return len(server.pending_setups) < max(1.0, server.concurrency_limit)

    def has_credit(self, now: float, server: Endpoint) -> bool:
        """Below one set-up at a time a node saves up for each, at the pace of its window."""
        if server.concurrency_limit >= 1:
            server.tokens, server.tokens_at = BURST, now
            return True
        pace = server.concurrency_limit / max(self.pressure(now, server), self.onset)
        server.tokens = min(BURST, server.tokens + pace * (now - server.tokens_at))
        server.tokens_at = now
        return server.tokens >= 1

    # ---- the flag ----

    @property
    def onset(self) -> float:
        """A wait above this raises the flag."""
        return ONSET_PART * self.scale_s

    @property
    def abatement(self) -> float:
        """A wait at or below this lowers it."""
        return ABATEMENT_PART * self.scale_s

    def pressure(self, now: float, server: Endpoint) -> float:
        """One figure for the wait: the fresher of report and own set-ups, and the oldest unanswered one."""
        known = (
            server.measured_delay_s if server.measured_at >= server.reported_at else server.reported_delay_s
        )
        if now - max(server.measured_at, server.reported_at) > AGEING_S:
            known = 0.0
        if server.ejected:
            return max(known, self.scale_s)
        quickest = min(server.fastest_setup_s, self.onset)
        return max(known, server.oldest_pending_s(now) - quickest)

    def is_flagged(self, now: float, server: Endpoint) -> bool:
        """The hysteresis."""
        pressure = self.pressure(now, server)
        if server.flagged and pressure <= self.abatement and server.throttle_fraction <= 0:
            server.flagged = False
        elif not server.flagged and (pressure > self.onset or server.throttle_fraction > 0):
            server.flagged = True
        return server.flagged

    def share(self, call: PendingCall, server: Endpoint) -> float:
        """The share of new set-ups refused while flagged; the more a call can still earn, the smaller."""
        if server.throttle_fraction > 0:
            return min(1.0, server.throttle_fraction)
        return min(MOST_SHARE, SHARE * self.least / max(call.weight, 1e-9))

    # ---- evidence ----

    def setup_stood(self, now: float, event: CallEstablished) -> None:
        """The call stands. How long that took is the freshest sign of the server's wait."""
        call = self.calls.get(event.call_id)
        if call is not None:
            self.note_number(now, call.called_number, busy=False)
            self.blame(now, call, event.server_id)
        self.forget(event.call_id)
        server = self.endpoints.get(event.server_id)
        if server is None:
            return
        count = len(server.pending_setups)
        sent = server.pending_setups.pop(event.call_id, now - event.elapsed_s)
        server.attributed_errors = 0
        server.fastest_setup_s = min(server.fastest_setup_s, event.elapsed_s)
        self.drop_overtaken(now, server, sent)
        server.measured_delay_s, server.measured_at = event.elapsed_s - server.fastest_setup_s, now
        if server.ejected:
            self.notes.append(f"server {server.id} answers again")
            server.ejected, server.next_ejection_s = False, FIRST_BLOCK_S
            server.concurrency_limit = min(1.0, server.concurrency_limit)
            if server.unreachable:  # it has been away, so it is cold
                server.unreachable, server.started_at = False, now
        self.count_stood(now, server)
        self.move_window(now, server, count)

    def blame(self, now: float, call: PendingCall, stood_at: int) -> None:
        """Extension: an error counts against a server once the same call was established at another.

        A set-up that no server can use is thus held against none (snapshot 61cf2221).
        """
        for server_id in call.error_servers:
            server = self.endpoints.get(server_id)
            if server is not None and server_id != stood_at:
                server.attributed_errors += 1
                if server.attributed_errors >= ERRORS_IN_A_ROW:
                    self.block(now, server, AttemptOutcome.ERROR)

    def drop_overtaken(self, now: float, server: Endpoint, sent: float) -> None:
        """Extension: a set-up overtaken by one sent clearly later, or by a report, counts as lost."""
        for call_id, other in list(server.pending_setups.items()):
            if other + min(server.fastest_setup_s, self.onset) + OVERTAKE_S >= sent:
                break
            del server.pending_setups[call_id]
            server.loss_seen_at = now

    def move_window(self, now: float, server: Endpoint, count: int) -> None:
        """Departure, self-clocking: steer the own unanswered set-ups so that the wait stays at the onset."""
        if server.concurrency_limit < 1:
            self.steer(now, server, server.measured_delay_s)
            return
        step = WINDOW_STEP * (1 - server.measured_delay_s / self.onset)
        step = max(-WINDOW_STEP, min(WINDOW_STEP, step))
        if step > 0 and count + 1 < server.concurrency_limit:
            return
        server.limit_reduced = server.limit_reduced or step < 0
        server.concurrency_limit = max(self.least_window, min(MOST_WINDOW, server.concurrency_limit + step))

    def steer(self, now: float, server: Endpoint, wait: float) -> None:
        """Below one set-up at a time every sign of the wait steers, in proportion to it and to the time.

        Guards against a slowed server that many nodes hear of seldom: by own answers alone its queue was full
        for ten seconds before each had cut its part (bangkok-later big-2). One cut a wait: its effect is seen
        no earlier. It could harm by cutting for a single odd report; the window then grows back in seconds.
        """
        if server.concurrency_limit >= 1:
            return
        if wait > self.onset:
            if now - server.limit_cut_at > min(wait, self.scale_s):
                server.concurrency_limit = max(
                    self.least_window, server.concurrency_limit * max(MOST_CUT, self.onset / wait)
                )
                server.limit_cut_at, server.limit_reduced = now, True
                server.tokens = min(server.tokens, self.rng.random())  # what was saved up is a flood by now
        elif server.tokens < 1:
            grown = min(1.0, (now - server.limit_adapted_at) / GROWTH_SPAN_S) * (1 - wait / self.onset)
            server.concurrency_limit *= 1 + grown
        server.limit_adapted_at = now

    def fair_window(self, server: Endpoint) -> float:
        """A node's part of what a server bears, by its lines in use, if each set-up waited for the onset."""
        if server.lines_in_use is None or self.length_s <= 0:
            return 0.0
        return PART_SLACK * self.onset * server.lines_in_use / self.length_s / self.settings.instance_count

    def count_stood(self, now: float, server: Endpoint) -> None:
        """Keep the rate of own set-ups that stood, averaged over half a minute: one node's are few."""
        gone = min(1.0, (now - server.established_at) / MEMORY_S)
        server.established_rate = server.established_rate * (1 - gone) + 1 / MEMORY_S
        server.established_at = now

    def setup_ended(self, now: float, event: AttemptEnded) -> Iterator[Action]:
        """An attempt is over: learn from it, then go on with the call if the caller still waits."""
        server = self.endpoints.get(event.server_id)
        was_setup = server is not None and server.pending_setups.pop(event.call_id, None) is not None
        if server is not None:
            self.learn_end(now, server, event, was_setup)
        if event.outcome is AttemptOutcome.COMPLETED:
            self.lasted += 1
            self.lasted_s += (event.elapsed_s - self.lasted_s) / min(self.lasted, 100)
        call = self.calls.get(event.call_id)
        if call is None or event.answered:
            self.forget(event.call_id)
            return
        if event.outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED):
            call.not_before = now + self.safety.retry_pause_s  # rule 5
        if event.outcome not in (
            AttemptOutcome.REJECTED,
            AttemptOutcome.UNREACHABLE,
            AttemptOutcome.NOT_SENT,
        ):
            call.may_have_run = True
        if event.destination_busy:
            self.note_number(now, call.called_number, busy=True)
        elif event.outcome is AttemptOutcome.ERROR:
            call.error_servers += (event.server_id,)
        unrepeatable = call.may_have_run and not call.call_class.idempotent
        over = event.destination_busy or unrepeatable or call.attempts >= call.max_attempts
        over = over or len(call.error_servers) >= ERRORS_OF_CALL
        if over or max(now, call.not_before) >= call.answer_by:
            self.forget(call.id)
            yield FailCall(call.id)
        else:
            if not event.no_free_line:
                call.queue_until = call.answer_by  # a further attempt is held while the caller waits
            self.wait(call)

    def learn_end(self, now: float, server: Endpoint, event: AttemptEnded, was_setup: bool) -> None:
        """What an ending tells of the server."""
        self.note_report(now, server, event.report)
        if event.no_free_line:  # its lines have run out, not its processor: the next report tells of room
            server.has_free_line, server.lines_reported_at = False, now
        elif event.outcome in (AttemptOutcome.UNREACHABLE, AttemptOutcome.REJECTED):
            self.block(now, server, event.outcome, event.retry_after_s or 0.0)
        elif event.outcome is AttemptOutcome.TIMED_OUT and was_setup and event.elapsed_s < self.scale_s:
            if self.is_warming_up(now, server):
                server.measured_delay_s, server.measured_at = event.elapsed_s, now
            else:
                server.loss_seen_at = now  # given up early, as lost
        elif event.outcome is AttemptOutcome.TIMED_OUT and was_setup:
            server.measured_delay_s, server.measured_at = max(event.elapsed_s, self.scale_s), now
            if server.concurrency_limit >= 1:
                server.concurrency_limit = max(self.least_window, server.concurrency_limit / 2)
            self.steer(now, server, server.measured_delay_s)

    def block(self, now: float, server: Endpoint, ending: AttemptOutcome, told_wait_s: float = 0.0) -> None:
        """Departure: a server that turns set-ups away, fails them in a row or can't be reached gets one at a
        time, after pauses.

        Guards against a server that answers 'full' or 'error' at once and so looks the quickest and least
        loaded of all, against storms of further attempts, and against a dead server. It could harm by
        leaving a server alone for up to LONGEST_BLOCK_S after it could serve again.
        """
        if not server.ejected:
            self.notes.append(f"server {server.id} paused: {ending.value}")
        if ending is AttemptOutcome.UNREACHABLE and not server.unreachable:
            server.unreachable = True
            self.start_turns(now, server)
        server.ejected = True
        if now < server.ejected_until:
            return
        self.steer(now, server, max(self.scale_s, told_wait_s))
        pause = server.next_ejection_s * (0.5 + self.rng.random())
        server.ejected_until = now + max(pause, told_wait_s)
        server.next_ejection_s = min(LONGEST_BLOCK_S, 2 * server.next_ejection_s)

    def load_told(self, now: float, event: LoadReported) -> None:
        """Figures that came unasked or by a probe."""
        server = self.endpoints.get(event.server_id)
        if server is not None:
            self.note_report(now, server, event.report)

    def note_report(self, now: float, server: Endpoint, report: LoadReport) -> None:
        """Turn whatever the report holds into one wait.

        Where fewer lines are free than there are nodes, each takes one with that chance, so that a pool whose
        lines have run out is not stormed by all nodes for each line that gets free.
        """
        if report.free_lines is not None and report.total_lines is not None:
            server.lines_in_use, server.total_lines = (
                report.total_lines - report.free_lines,
                report.total_lines,
            )
            self.warm_use(now)  # keeps its memory fresh
            if not server.limit_reduced:
                server.concurrency_limit = max(server.concurrency_limit, self.fair_window(server))
            server.has_free_line = self.rng.random() * self.settings.instance_count < report.free_lines
            server.lines_reported_at = now
        server.admissible_rate = (
            report.admissible_rate if report.admissible_rate is not None else server.admissible_rate
        )
        if report.throttle_fraction is not None:
            server.throttle_fraction = report.throttle_fraction
        wait = self.reported_wait(report)
        if wait is not None:
            server.reported_delay_s, server.reported_at = wait, now
            self.drop_overtaken(now, server, now - wait - self.scale_s)
            self.steer(now, server, wait)

    def reported_wait(self, report: LoadReport) -> float | None:
        """Wait as told; else queue over rate; else, from utilisation, the onset at 9 tenths busy."""
        if report.processor_wait_s is not None:
            return report.processor_wait_s
        if report.queue_length is not None and report.admissible_rate is not None:
            return (
                report.queue_length / report.admissible_rate if report.admissible_rate > 0 else self.scale_s
            )
        if report.utilization is not None:
            return self.onset * min(9.0, report.utilization / max(1 - report.utilization, 0.01) / 9)
        return None

    # ---- cold servers (rule 4) ----

    def is_warming_up(self, now: float, server: Endpoint) -> bool:
        """Whether the server started so lately that it may not be warm, or may start again at any moment."""
        return server.unreachable or (
            server.started_at is not None and now - server.started_at < self.safety.warm_up_s
        )

    def start_turns(self, now: float, server: Endpoint) -> None:
        """The first turn comes at random within a gap, so that the nodes' turns lie spread."""
        server.slot_progress, server.slot_progress_at, server.slot_open_until = self.rng.random(), now, now
        server.admissible_rate, server.lines_in_use = 0.0, None  # another process's
        server.tokens = self.rng.random()  # for when it will be warm

    def has_turn(self, now: float, server: Endpoint) -> bool:
        """A node's turns at a cold server come at even gaps; one that is not used soon lapses.

        Guards against what nodes have saved up: when all other servers went, each of 270 nodes spent one
        set-up at once (issue 11). It could harm by leaving a turn unused while another node's calls wait.
        """
        pace = self.slow_start_slots(now, server) / self.turn_span
        server.slot_progress += pace * (now - server.slot_progress_at)
        server.slot_progress_at = server.tokens_at = now
        if server.slot_progress >= 1:
            server.slot_progress %= 1
            server.slot_open_until = (
                now - server.slot_progress / pace + TURN_PART * self.safety.overload_window_s
            )
        return now < server.slot_open_until

    @property
    def turn_span(self) -> float:
        """Turns that open in one such span may be used within one `fall_s`, and no others."""
        return max((1 + TURN_PART) * self.safety.overload_window_s, 1e-9)

    def slow_start_slots(self, now: float, server: Endpoint) -> float:
        """This node's turns in a span: the fleet's, dealt out whole by the nodes' own numbers.

        Departure: each server has its own few nodes that may use it while it is cold, the others wait. With
        an n-th of a turn for each of n nodes the count went by chance, and twice its spread had to stay free:
        14 new servers of 24 got 2.5 set-ups a second each, idle, while six in ten calls were refused
        (join+mass). Dealt out whole no window holds more than was dealt. It could harm by giving turns to a
        node without calls. A node that does not know its number has no part in what is left over.
        """
        settings, fleet = self.settings, self.cold_rate(now, server) * self.turn_span
        if not server.total_lines:  # each node guesses its size by itself: the count goes by chance
            return fleet / settings.instance_count
        whole, rest = divmod(int(fleet), settings.instance_count) if fleet >= 1 else (0, 1)
        rank = (settings.instance_index - server.number * STRIDE) % settings.instance_count
        return min(1.0, fleet) * (whole + (settings.instance_index >= 0 and rank < rest))

    def cold_rate(self, now: float, server: Endpoint) -> float:
        """Set-ups a second, from all nodes: a part of what it can do by now, within the budget.

        Best is what it says itself that it can take; until it does, the guess that it gains evenly, which may
        only lower the rate: it may gain late. What stands there was borne, so nodes that know nothing else
        keep that up. Rule 4: no window of `fall_s` holds more than BUDGET_PART of fall_multiple x what it can
        do x fall_s, even where all send whenever they may. Derivation, and the third kept: `docs/cold.md`.
        """
        safety, most = self.safety, BUDGET_PART * self.safety.overload_multiple / (1 + TURN_PART)
        if server.admissible_rate > 0:
            return min(COLD_PART, most) * server.admissible_rate
        age = now - server.started_at if server.started_at is not None else 0.0
        warmth = max(0.0, min(1.0, age / max(safety.warm_up_s, 1e-9)))
        able = safety.initial_capacity_fraction + (1 - safety.initial_capacity_fraction) * warmth
        borne = (server.lines_in_use or 0.0) / max(self.length_s, self.lasted_s, 1e-9)
        guess = min(COLD_PART * able, most * safety.initial_capacity_fraction) * self.warm_rate(now, server)
        return max(min(COLD_PART, most) * borne, guess)

    def warm_rate(self, now: float, server: Endpoint) -> float:
        """Set-ups a second, from all nodes, that it should bear once warm: by its lines, or the own.

        Servers differ in size: what the best one bears pushed a small one over (amman-later big-2). One of
        unknown size counts as the smallest; where no lines are told, as the least own rate times the nodes,
        whose errors cancel in the sum. Calls last longer at a second choice, so the longer of what was told
        and what was seen counts. With nothing known all nodes together send less than one in `fall_s`.
        """
        sizes = [other.total_lines for other in self.endpoints.values() if other.total_lines > 0]
        if sizes and self.length_s > 0 and self.warm_use(now) > 0:
            size = server.total_lines or min(sizes)
            return self.warm_use(now) * size / max(self.length_s, self.lasted_s)
        own = [
            other.established_rate * math.exp((other.established_at - now) / MEMORY_S)
            for other in self.endpoints.values()
            if other is not server and other.established_rate > 0 and not self.is_warming_up(now, other)
        ]
        unknown = LEAST_FLEET_WINDOW / (
            self.safety.initial_capacity_fraction * max(self.safety.overload_window_s, 1e-9)
        )
        return self.settings.instance_count * min(own) if own else unknown

    def warm_use(self, now: float) -> float:
        """The share of all their lines that warm servers use, or used lately, fading.

        Else, after an outage of all or of the one big server, the first to return would idle through its
        warm-up (incidents i687ce9, i9eafb5).
        """
        told = [s for s in self.warm_ones(now) if s.lines_in_use is not None and s.total_lines > 0]
        used = sum(server.lines_in_use or 0.0 for server in told)
        use = used / sum(server.total_lines for server in told) if told else 0.0
        faded = self.borne * math.exp((self.borne_at - now) / MEMORY_S)
        if use > faded:
            self.borne, self.borne_at = use, now
        return max(use, faded)

    def warm_ones(self, now: float) -> list[Endpoint]:
        """The servers that are neither cold nor down."""
        up = (s for s in self.endpoints.values() if s.availability is Availability.READY and not s.ejected)
        return [server for server in up if not self.is_warming_up(now, server)]
