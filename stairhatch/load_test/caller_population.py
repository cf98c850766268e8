"""The callers of one process: owns their ports and connections, places each call when it is due, and carries
out what `habit` says after its answer. It must never decide when a call comes, nor judge what became of it.
"""

from __future__ import annotations

import asyncio
import random
import time
from functools import partial
from typing import Any

from stairhatch.emulators.caller_emulator import CallerEmulator, CallResult, PlacedCall
from stairhatch.load_test.caller_behaviour import Throttle, Try, redial_after
from stairhatch.load_test.event_loop_stall import EventLoopStall
from stairhatch.load_test.load_plan import DueCall, LoadPlan, Office, Transport, calls, offices
from stairhatch.load_test.load_tally import LoadTally
from stairhatch.node import sip_message as sip
from stairhatch.sip import grammar

Place = tuple[str, int]
VANISH_S = 0.02  # a caller that vanishes does so this soon after its set-up
LAST_S = 3.0  # after the last call's time: ends of calls and their copies
ENDS = {CallResult.REJECTED: "refused", CallResult.FAILED: "failed", CallResult.UNANSWERED: "unheard"}


class Desk:
    """The offices of one worker."""

    def __init__(
        self, plan: LoadPlan, seed: int, places: dict[Transport, Place], worker: int = 0, workers: int = 1
    ) -> None:
        self.plan, self.seed, self.places = plan, seed, places
        self.worker, self.workers = worker, workers
        self.loop = asyncio.get_running_loop()
        self.tally = LoadTally()
        self.record: list[tuple[float, str, str, int, str]] = []  # time, what, number called, status, text
        self.mine = [each for each in offices(plan) if each.index % workers == worker]
        self.callers: dict[int, CallerEmulator] = {}
        self.throttles = {each.index: Throttle(each) for each in self.mine}
        self.chances = {each.index: random.Random(seed * 7919 + each.index) for each in self.mine}
        self.begun, self.stall = 0.0, EventLoopStall()

    async def open(self) -> None:
        """Open every port and connection."""
        for office in self.mine:
            make = CallerEmulator.over_tcp if office.transport is Transport.TCP else CallerEmulator.over_udp
            place = self.places[office.transport]
            caller = await make(place, f"o{self.seed}x{office.index}", self.seed + office.index)
            if office.oc:
                caller.via_parameters = ';oc;oc-algo="loss,rate"'
                caller.on_final_response = partial(self._heard, office)
            caller.observer = self._seen
            self.callers[office.index] = caller

    async def run(self, begin: float) -> None:
        """Place every call of these offices; `begin` is in the machine's monotonic seconds."""
        self.begun = begin
        watching = self.loop.create_task(self.stall.watch())
        cuts = [self.loop.create_task(self._cut(at)) for at in self.plan.cuts]
        for due in calls(self.plan, self.seed, self.worker, self.workers):
            while (left := begin + due.at - time.monotonic()) > 0:
                await asyncio.sleep(left)
            self._first(due)
        longest = max(kind.limit_s + kind.hold_s for kind in self.plan.kind)
        await asyncio.sleep(max(0.0, begin + self.plan.seconds - time.monotonic()))
        until = time.monotonic() + longest + LAST_S
        while time.monotonic() < until and any(caller.calls for caller in self.callers.values()):
            await asyncio.sleep(0.05)
        for task in (*cuts, watching):
            task.cancel()
        for caller in self.callers.values():
            self.tally.counts["copies"] += caller.counters.retransmissions
            caller.close()

    def told(self) -> dict[str, Any]:
        """What the process writes out at its end."""
        return {"tally": self.tally.told(), "record": self.record, "stalled_s": self.stall.longest_s}

    async def _cut(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self.begun + at - time.monotonic()))
        tcp = [office.index for office in self.mine if office.transport is Transport.TCP]
        place = self.places.get(Transport.TCP)
        if place is not None:
            await asyncio.gather(*(self.callers[index].reconnect(place) for index in tcp))

    # ---- one call ----

    def _first(self, due: DueCall) -> None:
        now = time.monotonic()
        begun = self.begun + due.at
        self.tally.asked(due.kind, due.at, now - begun)
        if not self.throttles[due.office].may_send(now, self.chances[due.office]):
            self.tally.ended(due.kind, due.at, "held", None)
            return
        self._place(Try(due, begun))

    def _place(self, this: Try) -> None:
        """One try. The number called is its name on both sides."""
        due, office = this.due, self.callers[this.due.office]
        number = f"{due.kind.number}{due.serial:07d}{this.tries}"
        call = office.place(number, due.hold_s, this.begun, partial(self._ended, this))
        if due.vanishes:
            self.loop.call_later(VANISH_S, self._leaves, this, call, True)
        elif due.cancels:
            self.loop.call_later(self.plan.habits.cancel_s, self._leaves, this, call, False)
        self.loop.call_later(min(due.kind.try_s, max(0.0, this.left(time.monotonic()))), office.cancel, call)

    def _leaves(self, this: Try, call: PlacedCall, vanishes: bool) -> None:
        """Its caller wants it no more."""
        if this.over or call.result is not None:
            return
        this.over = True
        self.tally.ended(this.due.kind, this.due.at, "left", None)
        caller = self.callers[this.due.office]
        if vanishes:
            caller.vanish(call)
        else:
            caller.cancel(call)

    def _ended(self, this: Try, call: PlacedCall, end: CallResult, took_s: float, status: int) -> None:
        """A try has its answer, or never will."""
        if this.over:
            return
        now, due = time.monotonic(), this.due
        if end is CallResult.ESTABLISHED:
            this.over = True
            self.tally.ended(due.kind, due.at, "stood", now - this.begun)
            return
        mine = next(office for office in self.mine if office.index == due.office)
        chance = self.chances[due.office]
        wait = redial_after(this, now, call.retry_after_s, mine, self.plan.habits, chance)
        if wait is None:
            this.over = True
            self.tally.ended(
                due.kind, due.at, ENDS[end], None if end is CallResult.UNANSWERED else now - this.begun
            )
            return
        this.tries += 1
        self.loop.call_later(wait, self._redial, this)

    def _redial(self, this: Try) -> None:
        if not self.throttles[this.due.office].may_send(time.monotonic(), self.chances[this.due.office]):
            this.over = True
            self.tally.ended(this.due.kind, this.due.at, "held", None)
            return
        self.tally.again()
        self._place(this)

    # ---- what is heard ----

    def _heard(self, office: Office, message: sip.SipMessage) -> None:
        """Overload control in an answer's topmost Via."""
        told = grammar.parse_via(sip.split_list(message.get("via"))[0]).parameters

        def figure(name: str) -> float | None:
            try:
                return float(told[name])
            except (KeyError, ValueError):
                return None

        algorithm = told.get("oc-algo", "loss").strip('"')
        throttle = self.throttles[office.index]
        now = time.monotonic()
        throttle.told(now, figure("oc"), algorithm, figure("oc-validity"), figure("oc-seq"))

    def _seen(self, what: str, call: PlacedCall, status: int, text: str) -> None:
        self.record.append((time.monotonic(), what, call.number, status, f"{hash(text):x}" if text else ""))
