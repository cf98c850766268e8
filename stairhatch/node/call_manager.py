"""The core of the softswitch: owns calls, attempts, their outcomes and every timer. It feeds the Controller,
turns its actions into effects, and keeps the rules that bind whatever the decisions say: one final answer a
call, one attempt out at a time, the pause after an unclear end, drains, the cap on attempts, and an answer
before the caller's time is up. It must never know a wire, a socket or an event loop (the clock is passed in),
and must never decide where a call goes or whether it is refused.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from functools import partial
from itertools import count

from stairhatch.node.calls import (
    Attempt,
    Call,
    CallerSession,
    CallRequest,
    CallState,
    RosterServer,
    ServerRecord,
)
from stairhatch.node.counters import Counters
from stairhatch.node.ports import Logger, OverloadControl, ServerPool
from stairhatch.node.protocol import do_nothing
from stairhatch.overload.actions import Action, FailCall, LogMessage, RejectCall, SendSetup, SetTimer
from stairhatch.overload.controller import Controller
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
from stairhatch.overload.settings import CallClass, Settings

ANSWER_EARLY_S = 0.03  # attempts and calls end this long before the caller stops waiting
BACKSTOP_S = 0.01  # what the decisions have left unanswered so long after that is failed
PAUSE_MARGIN_S = 0.02  # added to the pause after an unclear end: the two roads differ in length
OLD_CLASS_S = 2.0  # callers name a class that is no more for 1.2 s
GRID_HZ = 256  # of the timers
TRY_S = 1.5  # so long a start waits for links once the list is known; some come up a second late
TURN_AWAY_S = 0.7  # so long into a drain new set-ups are refused, so that each connection empties
HOLD_S = 3.6  # so long a drain keeps a connection for the releases of calls that stand, and no longer
AWAY_S = 0.1  # what they are told to stay away for: another softswitch takes them
REMEMBERED_S, REMEMBERED = 40.0, 20_000  # ids of calls that are over: a late message for one is no news
ENDED, CUT, FULL, MOOT = 16, 41, 34, 102  # causes of a release
ERRORS = (17, 47)


class CallManager:
    """All calls of one softswitch."""

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
        self.tracing = tracing  # whether each call leaves lines in the log
        self.settings, self.clock, self.log, self.counters = settings, clock, log, counters
        self.classes = {kind.name: kind for kind in settings.classes}
        self.before: dict[str, tuple[CallClass, float]] = {}  # classes as they were, and until when
        self.controller: OverloadControl = decisions or Controller(settings, rng)
        self.in_scope: Callable[[int], bool] | None = None  # whether a number is linked to; None: all are
        self.servers: dict[int, RosterServer] = {}
        self.by_instance: dict[str, RosterServer] = {}
        self.calls: dict[int, Call] = {}
        self.by_ident: dict[str, Call] = {}
        self.unanswered = 0
        self.side: ServerPool
        self.orphan: list[Callable[[str, int], None]] = []  # where releases of unknown calls go
        self.wake: Callable[[], None] = do_nothing  # the earliest timer has changed
        self.listening = False  # the fronts take calls
        self.list_known = False  # the directory has been heard
        self.drain_since: float | None = None
        self.ending = False  # the drain is for good
        self.check_said = ""  # what `check` was answered last
        self.leaving = False  # and all that was taken is answered
        self.turn_away_s = TURN_AWAY_S
        self.on_drain: Callable[[], None] = do_nothing  # the driver ends what is idle
        self.hear_callers: Callable[[], None] = do_nothing  # read what they have sent so far
        self.before_cold: Callable[[], None] | None = None  # look whether the own number still holds
        self.orders: dict[str, Callable[..., str]] = {}  # more of the operators' orders, by their first word
        self._able = False
        self._trying_since = math.inf  # when links were first awaited, the list being known
        self._over: OrderedDict[str, float] = OrderedDict()  # id -> when it ended, the longest ago first
        self._timers: dict[float, list[Callable[[], None]]] = {}  # by their time, on a grid
        self._due: list[float] = []  # a heap of these times
        self._order = count(1)
        self._server_ids = count(1)
        self._events: deque[Event] = deque()
        self._telling = False
        self._instant = 0.0

    # ---- timers ----

    def next_due(self) -> float | None:
        """When `tick` should be called next."""
        return self._due[0] if self._due else None

    def tick(self) -> None:
        """Carry out what is due. A fault in one is logged and takes no other with it: hundreds of answers and
        pauses may be due in the same 4 ms.
        """
        now = self.clock()
        while self._due and self._due[0] <= now:
            for act in self._timers.pop(heapq.heappop(self._due)):
                try:
                    act()
                except Exception as error:  # noqa: BLE001 - others' answers are due with it
                    self.counters.add("timer_faults")
                    self.log("fault", why=f"{type(error).__name__}: {error}", timer=repr(act)[:80])

    def instant(self) -> float:
        """The decisions' time: one instant a period, as in the simulator.

        They look through all calls that they hold once an instant; with a new instant for each event that
        took more than half of a core where a thousand calls were held (snapshot 1e8dc2f4).
        """
        now = self.clock()
        if now - self._instant >= self.settings.event_period_s:
            self._instant = now
        return self._instant

    def at(self, due: float, act: Callable[[], None]) -> None:
        """Have `act` called by `tick` at that time, or up to 4 ms later.

        Times lie on a grid: with one of its own for each call the loop was woken, and its timer set,
        thousands of times a second, which took a tenth of a full core (snapshot 81b776db).
        """
        due = math.ceil(due * GRID_HZ) / GRID_HZ
        if due in self._timers:
            self._timers[due].append(act)
            return
        self._timers[due] = [act]
        heapq.heappush(self._due, due)
        if self._due[0] == due:
            self.wake()

    # ---- the settings ----

    def retune(self, settings: Settings) -> None:
        """Other settings hold from now on. Calls that are open keep their class and their cap on attempts."""
        until = self.clock() + OLD_CLASS_S
        self.before = {name: kept for name, kept in self.before.items() if kept[1] > self.clock()}
        self.before.update((name, (kind, until)) for name, kind in self.classes.items())
        self.settings = settings
        self.classes = {kind.name: kind for kind in settings.classes}
        self.controller.retune(settings)

    def class_named(self, name: str) -> CallClass | None:
        """The class of that name. One that has gone lives on for callers who have not heard of it yet."""
        kind = self.classes.get(name)
        if kind is None and name in self.before and self.before[name][1] > self.clock():
            kind = self.before[name][0]
        return kind

    def longest_wait(self, kind: CallClass) -> float:
        """The limit of a class, or the one it had lately if that was longer."""
        old, until = self.before.get(kind.name, (kind, 0.0))
        return max(kind.deadline_s, old.deadline_s if until > self.clock() else 0.0)

    # ---- whether calls are taken ----

    def why_not(self) -> str:
        """Why this process can't serve new callers now; "" if it can.

        Once every listed server has been tried it is able for good: a server that dies is for the decisions,
        and a `no` for its sake would take away callers that others can serve.
        """
        if self.drain_since is not None:
            return "draining"
        return self.awaits() or ("" if self.listening else "not listening")

    def awaits(self) -> str:
        """What has to come before calls can be set up; "" once they can.

        Guards also against a start that is held up by links: by one server that is listed and never answers
        its dial, for as long as the settings allow a connection, or by each that is listed meanwhile.
        """
        if self._able:
            return ""
        ready = [s for s in self.servers.values() if s.record.availability is Availability.READY]
        untried = [
            server.record.instance for server in ready if not server.dial_attempted and self.links_to(server)
        ]
        if not self.list_known:
            return "the list of roster servers is not known yet"
        if not ready:
            return "no roster server is listed as ready"
        now = self.clock()
        self._trying_since = min(self._trying_since, now)
        if untried and now - self._trying_since < TRY_S:
            return f"not tried yet: {' '.join(untried)[:80]}"
        self._able = True
        return ""

    def links_to(self, server: RosterServer) -> bool:
        """Whether a link to a server is wanted: it is in scope."""
        return self.in_scope is None or self.in_scope(server.record.number)

    def drain(self, on: bool) -> None:
        """Begin to send callers away, or take them again. What was taken is served either way."""
        if on is (self.drain_since is not None):
            return
        self.drain_since = self.clock() if on else None
        self.counters.add("drains" if on else "drains_undone")
        self.log("drain", state="on" if on else "off", unanswered=self.unanswered)
        if on:
            self.on_drain()

    def turns_away(self) -> bool:
        """Whether new set-ups are refused. A caller that never pauses would keep its connection for good."""
        return self.drain_since is not None and self.clock() - self.drain_since >= self.turn_away_s

    def holds(self) -> bool:
        """Whether a drain keeps a way to tell callers of the end of their calls.

        A process that ends keeps it until it leaves: the next one is told of the calls that live on.
        """
        if self.drain_since is None or self.clock() - self.drain_since >= HOLD_S:
            return False
        return not self.leaving if self.ending else bool(self.calls)

    def settled(self) -> bool:
        """Whether every call has its answer, and the servers what they have to hear of it."""
        return not self.unanswered and self.side.is_flushed()

    def leave(self) -> None:
        """All is answered: the process that follows is told of calls that stand, and takes who still asks."""
        self.leaving, self.turn_away_s = True, 0.0
        self.side.shut_down()

    # ---- the directory ----

    def list_servers(self, lines: Iterable[ServerRecord], complete: bool) -> None:
        """News of the directory. What is gone cuts the calls that stood there."""
        told = []
        named = set()
        for line in lines:
            named.add(line.instance)
            server = self.by_instance.get(line.instance)
            if server is None and line.availability is Availability.GONE:
                continue  # it has been forgotten
            if server is None:
                server = RosterServer(next(self._server_ids), line)
                self.servers[server.id] = self.by_instance[line.instance] = server
            restarted = line.started_at > server.record.started_at
            server.record = line
            if line.availability is Availability.GONE or restarted:
                self.cut_standing(server, before=line.started_at if restarted else self.clock() + 1)
            told.append(self._line(server))
            self.side.record_changed(server)
            self.log("listed", server=line.instance, state=line.availability.value, cell=line.number)
        if complete:
            for server in self.servers.values():
                if (
                    server.record.instance not in named
                    and server.record.availability is not Availability.GONE
                ):
                    old = server.record
                    gone = ServerRecord(
                        old.instance, old.address, old.number, Availability.GONE, old.started_at
                    )
                    server.record = gone
                    self.cut_standing(server, before=self.clock() + 1)
                    self.side.record_changed(server)
        self._tell(EndpointsUpdated(tuple(told), complete))

    def forget_server(self, server: RosterServer) -> None:
        """A server that is gone, and to which no link is left, has nothing to be known of any more."""
        if server.record.availability is Availability.GONE:
            self.servers.pop(server.id, None)
            if self.by_instance.get(server.record.instance) is server:
                del self.by_instance[server.record.instance]

    @staticmethod
    def _line(server: RosterServer) -> EndpointRecord:
        line = server.record
        return EndpointRecord(server.id, line.number, line.availability, line.started_at)

    def stands(self, ident: str) -> bool:
        """Whether a call of that id stands."""
        call = self.by_ident.get(ident)
        return call is not None and call.state is CallState.ESTABLISHED

    def stands_at(self, server: RosterServer) -> bool:
        """Whether a call stands at a server."""
        return any(
            call.state is CallState.ESTABLISHED and call.attempt is not None and call.attempt.server is server
            for call in self.calls.values()
        )

    def cut_standing(self, server: RosterServer, before: float) -> None:
        """Its process has gone, and with it the calls that stood there before that time."""
        cut = [
            call
            for call in self.calls.values()
            if call.state is CallState.ESTABLISHED
            and call.attempt is not None
            and call.attempt.server is server
            and call.established_at < before
        ]
        for call in cut:
            self._call_ended(call, CUT, LoadReport())

    # ---- callers ----

    def offer(self, offer: CallRequest, caller: CallerSession) -> Call | None:
        """A call is taken: one final answer is owed. None for an id that is in use, which is not taken."""
        if offer.ident in self.by_ident:
            return None
        now = self.clock()
        due = now + offer.caller_timeout_s - ANSWER_EARLY_S
        call = Call(next(self._order), offer, caller, due, self.settings.max_attempts)
        self.calls[call.number] = self.by_ident[offer.ident] = call
        self.unanswered += 1
        self.counters.add("calls_taken")
        self.counters.add(f"calls_taken_{offer.call_class.name}")
        if self.tracing:
            patience_ms = int(offer.caller_timeout_s * 1000)
            self.log("taken", call=offer.ident, kind=offer.call_class.name, patience_ms=patience_ms)
        self.at(call.deadline + BACKSTOP_S, partial(self._backstop, call.number))
        self._tell(
            CallOffered(
                call_id=call.number,
                call_class=offer.call_class,
                preferred_number=offer.preferred_number,
                caller_timeout_s=offer.caller_timeout_s,
                is_caller_retry=offer.is_caller_retry,
                called_number=offer.called_number,
            )
        )
        return call

    def caller_left(self, call: Call) -> None:
        """The caller gave the set-up up; no answer is owed any more."""
        if call.state is CallState.ESTABLISHED:
            self.caller_released(call, ENDED)
        if call.state is not CallState.OFFERED:
            return
        self.counters.add("calls_given_up")
        if self.tracing:
            self.log("left", call=call.offer.ident)
        self._close(call)
        attempt = call.attempt
        self._tell(CallAbandoned(call.number))
        if attempt is not None and not attempt.ended:
            self._give_up(attempt, AttemptOutcome.CANCELLED)

    def caller_away(self, call: Call) -> None:
        """The caller's connection has ended, and an answer would have to be brought to it by another. What
        waits is answered now and is not sent on; a set-up that is out may stand, and is the last.

        Guards against calls that are set up for a caller who has left while the call waited.
        """
        if call.state is not CallState.OFFERED or call.caller_gone:
            return
        call.caller_gone = True
        self.counters.add("callers_away")
        if call.attempt is None or not call.attempt.written:
            self._answer_now(call)
            self._tell(CallAbandoned(call.number))

    def caller_released(self, call: Call, cause: int) -> None:
        """The caller ends a call that stands."""
        if call.state is CallState.ESTABLISHED and call.attempt is not None:
            attempt = call.attempt
            self.counters.add("calls_released_by_caller")
            if self.tracing:
                self.log("release", call=call.offer.ident, side="caller", cause=cause)
            self.side.send_release(attempt.server, call.offer.ident, cause)
            self._close(call)
            self._attempt_ended(attempt, AttemptOutcome.CANCELLED, LoadReport())

    def release_unknown(self, ident: str, cause: int) -> None:
        """A caller ends a call from before a restart: only the roster servers know which of them holds it."""
        if ident in self._over:
            return  # it has ended here: the two releases crossed
        self._remember(ident)
        self.counters.add("releases_of_unknown_calls")
        for server in self.servers.values():
            if server.record.availability is not Availability.GONE:
                self.side.send_release(server, ident, cause)

    def answer_all(self) -> None:
        """The process is about to be ended: who still waits is told so, and may try elsewhere."""
        for call in [call for call in self.calls.values() if call.state is CallState.OFFERED]:
            if call.state is CallState.OFFERED:
                self._answer_now(call)
                self._tell(CallAbandoned(call.number))

    def harmless(self, call: Call) -> bool:
        """Whether its caller may be told that trying again does no harm."""
        return call.attempts == 0 or call.offer.call_class.idempotent

    def _answer_now(self, call: Call) -> None:
        """The final answer without the decisions: another try is the caller's."""
        self._final(call, (RejectCall if self.harmless(call) else FailCall)(call.number))

    def _backstop(self, number: int) -> None:
        """By the call's number: a timer that held the call kept it, its caller and its description until the
        longest wait was over, long after its end.
        """
        call = self.calls.get(number)
        if call is not None and call.state is CallState.OFFERED:
            self.log("guard", call=call.offer.ident, why="the decisions left it unanswered")
            self._final(call, FailCall(call.number))
            self._tell(CallAbandoned(call.number))

    # ---- roster servers ----

    def may_write(self, attempt: Attempt) -> int | None:
        """Asked when a set-up is really written: the time left in milliseconds, or None if it must not go.

        A set-up that has waited for its connection may have been overtaken by its caller, its time-out or
        the directory.
        """
        if attempt.ended or attempt.written:
            return None
        now = self.clock()
        if attempt.server.record.availability is not Availability.READY or attempt.deadline <= now:
            self._attempt_ended(attempt, AttemptOutcome.NOT_SENT, LoadReport())
            return None
        if self.before_cold is not None and not self._turn_holds(attempt.server, self.before_cold):
            self.counters.add("turns_lost")
            self._attempt_ended(attempt, AttemptOutcome.NOT_SENT, LoadReport())
            return None
        attempt.written, attempt.written_at = True, now
        self.counters.add("attempts_sent")
        if self.tracing:
            self.log(
                "attempt",
                call=attempt.call.offer.ident,
                n=attempt.number,
                server=attempt.server.record.instance,
            )
        return max(1, int((attempt.deadline - now) * 1000))

    def not_sent(self, attempt: Attempt) -> None:
        """It was to be written and has been taken back, none of it sent: `may_write` is asked again."""
        attempt.written = False
        self.counters.add("attempts_sent", -1)
        self.counters.add("attempts_taken_back")
        if self.tracing:
            self.log("taken_back", call=attempt.call.offer.ident, n=attempt.number)

    def _turn_holds(self, server: RosterServer, look: Callable[[], None]) -> bool:
        """Whether this softswitch still has a turn at a cold server, where its number is one that is claimed.

        Guards against a process that was stopped between its decision and its write, whose number another
        has by now: both would use the same turns.
        """
        seen, now = self.controller.servers.get(server.id), self.clock()
        if seen is None or not self.controller.is_cold(now, seen):
            return True
        look()
        return self.controller.turns_in_span(now, seen) > 0

    def not_written(self, attempt: Attempt, reached: bool) -> None:
        """The set-up never left: there was no connection, or no room on it."""
        if not attempt.ended and not attempt.written:
            self._attempt_ended(
                attempt, AttemptOutcome.NOT_SENT if reached else AttemptOutcome.UNREACHABLE, LoadReport()
            )

    def connection_lost(self, attempt: Attempt) -> None:
        """The connection broke under a set-up that had been written on it."""
        if not attempt.ended and attempt.call.state is CallState.OFFERED:
            self._attempt_ended(attempt, AttemptOutcome.RESET, LoadReport())

    def pending(self, server: RosterServer, ident: str) -> None:
        """A roster server is at work on a set-up."""
        call = self.by_ident.get(ident)
        attempt = call.attempt if call is not None and call.state is CallState.OFFERED else None
        if call is None or attempt is None or not call.offer.reports_progress:
            return
        if attempt.server is server and attempt.written:
            call.caller_session.progressing()

    def answered(self, server: RosterServer, ident: str, description: str) -> None:
        """A roster server says that the call stands."""
        call = self.by_ident.get(ident)
        attempt = call.attempt if call is not None else None
        if call is None and ident not in self._over:
            self.counters.add("answers_of_unknown_calls")  # none of ours: nothing to release
            return
        if call is None or attempt is None or attempt.server is not server or not attempt.written:
            self.counters.add("late_answers")
            if self.tracing:
                self.log("late", call=ident, server=server.record.instance)
            self.side.send_release(server, ident, ENDED)
            return
        if call.state is not CallState.OFFERED:
            return
        now = self.clock()
        call.state, call.established_at = CallState.ESTABLISHED, now
        self.unanswered -= 1
        self.counters.add("answers_stood")
        if self.tracing:
            self.log("answer", call=ident, result="stood", n=attempt.number)
        call.caller_session.established(description.encode("utf-8", "surrogateescape"))
        self._tell(CallEstablished(call.number, server.id, now - attempt.started_at))

    def finished(self, server: RosterServer, ident: str, cause: int, note: str, report: LoadReport) -> None:
        """A roster server refuses a set-up or releases a call."""
        call = self.by_ident.get(ident)
        attempt = call.attempt if call is not None else None
        if call is None or attempt is None or attempt.server is not server or not attempt.written:
            self.load_told(server, report)
            if call is None and ident not in self._over:
                self.counters.add("releases_of_unknown_calls")
                if self.tracing:
                    self.log("release", call=ident, side="server", cause=cause, known=False)
                self._remember(ident)
                for tell in self.orphan:
                    tell(ident, cause)
            return
        if call.state is CallState.ESTABLISHED:
            self._call_ended(call, cause, report)
            return
        if cause == ENDED:
            self._ended_unheard(call, attempt, report)
            return
        ending = AttemptOutcome.ERROR
        if cause == FULL:
            ending = AttemptOutcome.REJECTED
        elif cause == MOOT:
            ending = AttemptOutcome.NOT_SENT
        elif cause not in ERRORS:
            ending = AttemptOutcome.RESET
        self._attempt_ended(attempt, ending, report, note)

    def load_told(self, server: RosterServer, report: LoadReport) -> None:
        """A roster server's figures, unasked."""
        if report != LoadReport():
            self._tell(LoadReported(server.id, report))

    # ---- inside ----

    def _ended_unheard(self, call: Call, attempt: Attempt, report: LoadReport) -> None:
        """The call stood and has come to its end, but the answer has not been heard.

        Guards against a call that is set up a second time though it has run its course: its end was owed to
        the caller, who got another call instead (rate+silent+leave, where answers come late).
        """
        self.counters.add("calls_ended_unheard")
        if self.tracing:
            self.log("release", call=call.offer.ident, side="server", cause=ENDED)
        call.attempt = None
        self._final(call, FailCall(call.number))
        self._attempt_ended(attempt, AttemptOutcome.RESET, report)

    def _call_ended(self, call: Call, cause: int, report: LoadReport) -> None:
        """A standing call is over by the roster server's doing: its caller is released."""
        attempt = call.attempt
        assert attempt is not None
        self.counters.add("calls_ended" if cause == ENDED else "calls_cut")
        if self.tracing:
            self.log("release", call=call.offer.ident, side="server", cause=cause)
        self._close(call)
        call.caller_session.released(cause)
        self._attempt_ended(
            attempt, AttemptOutcome.COMPLETED if cause == ENDED else AttemptOutcome.RESET, report
        )

    def _close(self, call: Call) -> None:
        """The call is over; late messages for it are no news."""
        if call.state is CallState.OFFERED:
            self.unanswered -= 1
        call.state = CallState.TERMINATED
        del self.calls[call.number], self.by_ident[call.offer.ident]
        self._remember(call.offer.ident)

    def was_over(self, ident: str) -> bool:
        """Whether a call of that id has ended lately."""
        return ident in self._over

    def _remember(self, ident: str) -> None:
        now = self.clock()
        self._over[ident] = now
        self._over.move_to_end(ident)
        while len(self._over) > REMEMBERED or next(iter(self._over.values())) < now - REMEMBERED_S:
            self._over.popitem(last=False)

    def _final(self, call: Call, action: RejectCall | FailCall) -> None:
        """The final answer, once."""
        attempt = call.attempt
        self._close(call)
        if isinstance(action, RejectCall):
            self.counters.add("answers_refused")
            if self.tracing:
                return_ms = int(action.retry_after_s * 1000)
                self.log("answer", call=call.offer.ident, result="refused", return_ms=return_ms)
            call.caller_session.rejected(action.retry_after_s)
        else:
            self.counters.add("answers_failed")
            if self.tracing:
                self.log("answer", call=call.offer.ident, result="failed")
            call.caller_session.failed(timed_out=self.clock() >= call.deadline - ANSWER_EARLY_S)
        if attempt is not None and not attempt.ended:
            self._give_up(attempt, AttemptOutcome.CANCELLED)

    def _set_up(self, action: SendSetup) -> None:
        """The decisions ask for an attempt. What the rules forbid is answered here and never leaves."""
        now = self.clock()
        call, server = self.calls.get(action.call_id), self.servers.get(action.server_id)
        if call is None or call.state is not CallState.OFFERED or call.attempt is not None:
            self.log("guard", why="an attempt was asked for a call that is over or has one out")
            self.counters.add("guards")
            return
        if server is None:
            self.log("guard", call=call.offer.ident, why="unknown server")
            self.counters.add("guards")
            self._events.append(
                AttemptEnded(call.number, action.server_id, AttemptOutcome.NOT_SENT, False, LoadReport())
            )
            return
        call.attempts += 1
        due = call.deadline
        if action.timeout_s != 0:
            due = min(due, now + max(0.0, action.timeout_s))
        attempt = call.attempt = Attempt(call, server, call.attempts, now, due)
        pools = call.offer.call_class.allowed_servers
        barred = pools is not None and server.record.number not in pools
        ready = server.record.availability is Availability.READY
        if barred or not ready or call.attempts > call.max_attempts or due <= max(now, call.pause_until):
            self._attempt_ended(attempt, AttemptOutcome.NOT_SENT, LoadReport())
            return
        self.at(due, partial(self._timed_out, call.number, attempt.number))
        if now < call.pause_until:
            self.at(call.pause_until, lambda: self._start(attempt))
        else:
            self._start(attempt)

    def _start(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self.side.send_setup(attempt)

    def _timed_out(self, number: int, attempt_number: int) -> None:
        call = self.calls.get(number)
        attempt = call.attempt if call is not None and call.state is CallState.OFFERED else None
        if attempt is not None and attempt.number == attempt_number and not attempt.ended:
            self._give_up(attempt, AttemptOutcome.TIMED_OUT)

    def _give_up(self, attempt: Attempt, ending: AttemptOutcome) -> None:
        """Stop waiting for an attempt. One that was never written is never sent."""
        if attempt.written:
            self.side.send_release(attempt.server, attempt.call.offer.ident, ENDED)
        elif ending is AttemptOutcome.TIMED_OUT:
            ending = AttemptOutcome.UNREACHABLE
        self._attempt_ended(attempt, ending, LoadReport())

    def _attempt_ended(
        self, attempt: Attempt, ending: AttemptOutcome, report: LoadReport, note: str = ""
    ) -> None:
        """Each attempt has one outcome, told to the decisions."""
        now = self.clock()
        call = attempt.call
        attempt.ended = True
        call.attempt = None
        if (
            ending in (AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED)
            and attempt.written
        ):
            call.pause_until = now + self.settings.safety.retry_pause_s + PAUSE_MARGIN_S
        self.counters.add("outcome_" + ending.value.replace(" ", "_"))
        if self.tracing:
            self.log(
                "outcome",
                call=call.offer.ident,
                n=attempt.number,
                ending=ending.value,
                written=attempt.written,
                note=note,
            )
        if call.caller_gone and call.state is CallState.OFFERED:
            self._answer_now(call)
        self._tell(
            AttemptEnded(
                call_id=call.number,
                server_id=attempt.server.id,
                outcome=ending,
                answered=call.state is not CallState.OFFERED,
                report=report,
                elapsed_s=now - attempt.started_at,
                destination_busy=ending is AttemptOutcome.ERROR and note == "lines_busy",
                no_free_line=ending in (AttemptOutcome.REJECTED, AttemptOutcome.NOT_SENT)
                and note == "no_circuit",
            )
        )

    def _tell(self, event: Event) -> None:
        """Give the decisions an event; what their actions lead to is told after, in order."""
        self._events.append(event)
        if self._telling:
            return
        self._telling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._telling = False

    def _handle(self, event: Event) -> None:
        """One event. Should the decisions fail, that is logged and the call is still answered."""
        actions: list[Action] = []
        try:
            for action in self.controller.handle(self.instant(), event):
                actions.append(action)  # one by one: what came before a failure counts
        except Exception as error:  # noqa: BLE001 - a caller must not wait for a fault of ours
            self.counters.add("decision_faults")
            self.log("fault", why=f"{type(error).__name__}: {error}", event=type(event).__name__)
            call = self.calls.get(getattr(event, "call_id", 0))
            if call is not None and call.state is CallState.OFFERED and call.attempt is None:
                sent = any(isinstance(a, SendSetup) and a.call_id == call.number for a in actions)
                if not sent:
                    actions.append(FailCall(call.number))
        for action in actions:
            self._act(action)

    def _act(self, action: Action) -> None:
        match action:
            case SendSetup():
                self._set_up(action)
            case RejectCall() | FailCall():
                call = self.calls.get(action.call_id)
                if call is not None and call.state is CallState.OFFERED:
                    self._final(call, action)
            case SetTimer(delay_s, label):
                self.at(self.clock() + delay_s, lambda: self._tell(TimerExpired(label)))
            case LogMessage(text):
                self.log("note", text=text)
