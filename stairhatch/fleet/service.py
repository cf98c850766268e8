"""The fleet's part of one softswitch at work: owns the wiring of the decisions to the socket, the folder, the
clock, the core and the operators' door. It must never decide who owns what, nor hold up the loop or a call: a
fault in here is logged and ends nothing else.
"""

from __future__ import annotations

import asyncio
import json
import math
import os
import random
import secrets
import time
from collections import deque
from collections.abc import Callable
from dataclasses import asdict, replace
from typing import Any

from stairhatch.fleet import numbers, restarts
from stairhatch.fleet.claims import Stage
from stairhatch.fleet.config import FleetConfig
from stairhatch.fleet.effects import Effect, Fence, Note, Place, Send, What, Write
from stairhatch.fleet.listing import Follow, Listed, Pace, Parts, pack
from stairhatch.fleet.mate import Mate, Who
from stairhatch.fleet.messages import Codec, Message, News, Tune
from stairhatch.fleet.numbers import Numbers
from stairhatch.fleet.pick import Pick
from stairhatch.fleet.restarts import Restarts
from stairhatch.fleet.store import Store, StoreError
from stairhatch.node.call_manager import CallManager
from stairhatch.node.directory import Directory
from stairhatch.node.io.network import Network
from stairhatch.node.protocol import do_nothing
from stairhatch.overload.settings import Settings

LIST = "list"
LONGEST_S, SHORTEST_S = 0.25, 0.001  # between two looks at what is due
SPAN_PART = 1.25  # the span in which a turn at a cold server opens and lapses, in `fall_s`
LOGGED = (
    What.HELD, What.LOST, What.GIVEN_BACK, What.STOOD_DOWN, What.VOTES, What.SILENT, What.WENT_ON,
)  # fmt: skip
GAUGES_S = 1.0
MOST_NAME = 48  # bytes of a claim's
REFUSALS_S = 1.0  # late news that is refused is logged so often at the most


def clock() -> float:
    """Seconds of a clock that only moves on, also while the machine is suspended (clock_gettime(2))."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def between_check_and_write() -> None:
    """Stands at the one place where a stop does most harm, for a lab to stop the process there."""


class History:
    """What this process did, one JSON object a line, for whoever checks a run from outside."""

    def __init__(self, config: FleetConfig) -> None:
        self.file = (
            os.open(config.history, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644) if config.history else -1
        )

    def __call__(self, what: str, **fields: object) -> None:
        if self.file < 0:
            return
        line = {"at": time.monotonic(), "clock": clock(), "pid": os.getpid(), "what": what, **fields}
        try:
            os.write(self.file, json.dumps(line).encode() + b"\n")
        except OSError:
            self.file = -1


class Fleet:
    """One softswitch's part in shared work."""

    def __init__(self, core: CallManager, network: Network, config: FleetConfig, settings: Settings) -> None:
        """StoreError where the folder can't be used, OSError where the address can't."""
        self.core, self.network, self.config = core, network, config
        self.log, self.counters = core.log, core.counters
        self.output: deque[tuple[bytes, Place]] = deque()
        self.wake: Callable[[], None] = do_nothing  # set by the driver: there is something to send
        self.codec = Codec(config.fleet, config.secret)
        self.history = History(config)
        self.chance = random.Random(secrets.randbits(64))
        now = clock()
        self.store = Store(config.folder, self._on_loop) if config.folder is not None else None
        found = self.store.found if self.store is not None else None
        if found is not None and found.put_aside:
            self.log("fleet", what="folder put aside", why=found.put_aside)
        self.mate = Mate(
            Who(config.name, secrets.randbits(62)), config.voters, config.terms, self.chance, now,
            found.kept if found is not None and config.votes else None, found.fences if found else {},
            config.epoch,
        )  # fmt: skip
        self.settings = settings  # as the file has them
        self.numbers = self._numbers(settings)
        slots = restarts.names(config.restarts)
        pick = Pick(slots, self.mate.claim, self.chance.randrange(len(slots))) if slots else None
        self.restarts = Restarts(pick)
        self.directory: Directory | None = None
        self.listed, self.parts = Listed(), Parts()
        self.follow = Follow(list(config.voters), Pace(), now)
        self._owner_heard = self._beaten = -math.inf
        self._asking = False
        self._handed = 0  # the number of the list that was handed on last
        self._timer: asyncio.TimerHandle | None = None
        self._refusal_at = self._gauged = -math.inf
        self._ended = False
        network.datagrams(config.listen, self)
        core.orders.update({
            "claims": lambda: "ok " + json.dumps(self.told()),
            "restart-ask": lambda: self._order(self.restarts.ask),
            "restart-give": self._give,
            "hand-over": self._hand_over,
            "watch": self._watch,
        })  # fmt: skip
        self.history("started", name=config.name, voter=config.votes)

    def _numbers(self, settings: Settings) -> Numbers | None:
        if not self.config.numbers or settings.instance_count < 2:
            return None
        names = numbers.names(settings.instance_count)
        first = settings.instance_index if settings.instance_index >= 0 else self.chance.randrange(len(names))
        return Numbers(Pick(names, self.mate.claim, first), SPAN_PART * settings.safety.overload_window_s)

    # ---- life ----

    def begin(self) -> None:
        """Start to ask."""
        now = clock()
        if self.numbers is not None:
            self.core.before_cold = self._look
            self.core.retune(self.tuned(self.settings))
            self.numbers.pick.want(now)
        if self.config.list and self.directory is not None:
            self.mate.claim(LIST).want(now)
        self._tick()

    def end(self) -> None:
        """The program ends: what is held is given back, but for a slot, which lasts over the restart."""
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        now = clock()
        for claim in self.mate.claims.values():
            if not claim.name.startswith("restart/"):
                self.carry(claim.give_back(now))
        if self.store is not None:
            self.store.close()

    def tuned(self, settings: Settings) -> Settings:
        """A file's settings with the number that is held in place of the one that is typed."""
        if settings.instance_count != self.settings.instance_count:
            now = clock()
            if self.numbers is not None:
                self.carry(self.numbers.pick.give_back(now))
            self.numbers = self._numbers(settings)
            if self.numbers is not None:
                self.numbers.pick.want(now)
        self.settings = settings
        if self.numbers is None:
            return settings
        return replace(settings, instance_index=self.numbers.in_use)

    def _on_loop(self, act: Callable[[], None]) -> object:
        return self.network.loop.call_soon_threadsafe(act)

    # ---- the wire ----

    def receive(self, data: bytes, peer: Place) -> None:
        """A datagram."""
        message = self.codec.decode(data)
        if message is None:
            self.counters.add("fleet_strangers")
            return
        self.counters.add("fleet_heard")
        try:
            self._take(clock(), peer, message)
        except Exception as error:  # noqa: BLE001 - a message that upsets the decisions ends nothing else
            self._fault(error)
        self._tick()

    def _take(self, now: float, peer: Place, message: Message) -> None:
        match message:
            case News():
                self._news(now, peer, message)
            case Tune():
                self._tuned_in(peer, message)
            case _:
                self.carry(self.mate.handle(now, peer, message))

    def _fault(self, error: Exception) -> None:
        self.counters.add("fleet_faults")
        self.log("fault", why=f"{type(error).__name__}: {error}", machine="Fleet")

    def send(self, to: Place, message: Message) -> None:
        """A message on its way."""
        data = self.codec.encode(message)
        self.counters.add("fleet_sent")
        self.counters.add("fleet_sent_bytes", len(data))
        self.output.append((data, to))
        self.wake()

    def carry(self, effects: list[Effect]) -> None:
        """Do what the decisions ask, in their order."""
        for effect in effects:
            match effect:
                case Send():
                    self.send(effect.to, effect.message)
                case Write():
                    self._write(effect)
                case Fence() if self.store is not None:
                    self.store.keep(effect, self._fence_kept)
                case Note():
                    self._note(effect)

    def _write(self, write: Write) -> None:
        if self.store is None:
            return
        self.counters.add("fleet_syncs")

        def done(fault: str) -> None:
            if not self._ended:
                self.carry(self.mate.written(clock(), write.number, fault))
                self._tick()

        self.store.keep(write, done)

    def _fence_kept(self, fault: str) -> None:
        if fault:
            self.counters.add("fleet_fences_not_kept")

    def _note(self, note: Note) -> None:
        self.history(
            note.what.value, claim=note.claim, ticket=note.ticket, until=note.until, why=note.why,
        )  # fmt: skip
        name = f"fleet_{note.what.name.lower()}"
        self.counters.add(name)
        if note.what in LOGGED:
            self.log(
                "fleet",
                what=note.what.value,
                claim=note.claim or "-",
                ticket=note.ticket,
                why=note.why or "-",
            )
        elif note.what is What.REFUSED and clock() - self._refusal_at > REFUSALS_S:
            self._refusal_at = clock()
            self.log("fleet", what="refused", claim=note.claim, ticket=note.ticket, why=note.why)

    # ---- what is due ----

    def _tick(self) -> None:
        """Carry out what is due, and come again whatever comes of it. Called after each message too."""
        if self._ended:
            return
        now = clock()
        due = now + LONGEST_S
        try:
            due = self._due(now)
        except Exception as error:  # noqa: BLE001 - without this look no claim would be renewed any more
            self._fault(error)
        if self._timer is not None:
            self._timer.cancel()
        wait = min(LONGEST_S, max(SHORTEST_S, due - now))
        self._timer = self.network.loop.call_later(wait, self._tick)

    def _due(self, now: float) -> float:
        self.carry(self.mate.tick(now))
        if self.numbers is not None:
            self.carry(self.numbers.tick(now))
        self.carry(self.restarts.tick(now))
        self._look()
        self._list(now)
        if now - self._gauged >= GAUGES_S:
            self._gauged = now
            self._gauges(now)
        return min(self.mate.due(), self.numbers.due(now) if self.numbers is not None else math.inf)

    def _look(self) -> None:
        """Go by the number that may be used at this moment. Asked before each set-up at a cold server is
        written too: since the last look the process may have been stopped.
        """
        if self.numbers is None:
            return
        was = self.numbers.in_use
        number = self.numbers.look(clock())
        if number is not None:
            self.history("number", claim=f"number/{number if number >= 0 else was}", number=number)
            self.log("fleet", what="number", number=number if number >= 0 else "none")
            self.core.retune(self.tuned(self.settings))

    # ---- the list ----

    def may_ask(self) -> bool:
        """Whether the coordinator is to be asked by this softswitch now."""
        now = clock()
        return self.follow.asks(now, self.mate.may_act(now, LIST), self.listed.index > 0)

    def heard(self, answer: Any) -> None:
        """The coordinator has answered this softswitch."""
        self.listed.tell(answer)
        self._hand_on()

    def _list(self, now: float) -> None:
        if self.directory is None or not self.config.list:
            return
        owner = self.mate.may_act(clock(), LIST)
        if owner and now - self._beaten >= self.follow.pace.tune_s:
            self._beaten = now
            claim = self.mate.claims[LIST]
            self._to_voters([News(self.config.name, claim.ticket, self.listed.index, 0, 1, b"")])
        to = self.follow.tune(now, owner, self._owner_heard)
        if to and to != self.config.name:
            self.send(self.config.voters[to], Tune(self.listed.index))
        asks = self.may_ask()
        if asks and not self._asking:
            self.directory.hurry()
        self._asking = asks

    def _to_voters(self, news: list[News]) -> None:
        for name, place in self.config.voters.items():
            if name != self.config.name:
                for each in news:
                    self.send(place, each)

    def _hand_on(self) -> None:
        """The owner tells the voters, once a number, with its ticket; the check stands right before."""
        checked = clock()
        if not self.mate.may_act(checked, LIST) or self.listed.index == self._handed:
            return
        self._handed = self.listed.index
        claim = self.mate.claims[LIST]
        news = pack(self.listed, self.config.name, claim.ticket)
        self.history("acted", claim=LIST, ticket=claim.ticket, checked=checked)
        between_check_and_write()
        self._to_voters(news)

    def _tuned_in(self, peer: Place, tune: Tune) -> None:
        """Somebody asks for news: of the list that the owner handed on, under the owner's ticket."""
        ticket = self.mate.fences.seen.get(LIST, 0)
        holder = ""
        now = clock()
        if self.mate.may_act(now, LIST):
            ticket, holder = self.mate.claims[LIST].ticket, self.config.name
        elif not ticket or now - self._owner_heard > self.follow.pace.quiet_s:
            return  # the owner is not heard here either; what another voter says is not passed on again
        if tune.after >= self.listed.index:
            self.send(peer, News(holder or "-", ticket, self.listed.index, 0, 1, b""))
            return
        for each in pack(self.listed, holder or "-", ticket):
            self.send(peer, each)

    def _news(self, now: float, peer: Place, news: News) -> None:
        """The list as its owner has it, or the word that nothing is new."""
        if self.directory is None:
            return
        good, out = self.mate.fences.take(LIST, news.ticket, peer)
        self.carry(out)
        if not good:
            return
        self.follow.news(now)
        if news.holder != "-":
            self._owner_heard = now
        if not news.data:
            if news.after > self.listed.index:  # what it handed on was lost
                self.send(peer, Tune(self.listed.index))
            return
        if not news.part:  # let through by the fence, whatever comes of it
            self.history(What.TOOK.value, claim=LIST, ticket=news.ticket, index=news.after)
        answer = self.parts.add(news)
        if answer is None or news.after <= self.listed.index:
            return
        self.counters.add("fleet_lists_taken")
        self.listed.tell(answer)
        self.directory.handed(self.listed.answer())

    # ---- operators ----

    def _order(self, ask: Callable[[float], str]) -> str:
        answer = ask(clock())
        self.network.loop.call_soon(self._tick)
        return answer

    def _give(self) -> str:
        answer, out = self.restarts.give(clock())
        self.carry(out)
        return answer

    def _hand_over(self, name: str, successor: str = "") -> str:
        """Give a claim back, for a successor that is named or for whoever comes first."""
        now, claim = clock(), self.mate.claims.get(name)
        if claim is None or not claim.may_act(now):
            return f"fail {name} is not held here"
        self.carry(claim.give_back(now, successor))
        claim.want(now, self.config.terms.term_s)
        self.network.loop.call_soon(self._tick)
        return f"ok {name} given back" + (f", {successor} goes first for a moment" if successor else "")

    def _watch(self, name: str) -> str:
        """Who holds a claim, by the voters' answers; the first answer comes before any of theirs has."""
        now = clock()
        watch = self.mate.watch(now, name) if 0 < len(name.encode()) <= MOST_NAME else None
        if watch is None:
            return "fail no claim can have that name, or too many are watched"
        self.network.loop.call_soon(self._tick)
        seen = watch.seen(now)
        return "ok " + json.dumps({**asdict(seen), "left_s": round(seen.left_s, 3)})

    def _gauges(self, now: float) -> None:
        """Among the counters: what is held and for how long, and whether this softswitch votes."""
        counts, voter = self.counters.counts, self.mate.voter
        counts["fleet_claims_held"] = sum(each.may_act(now) for each in self.mate.claims.values())
        if voter is not None:
            counts["fleet_votes_now"], counts["fleet_list_of_voters"] = int(voter.votes), voter.roll.epoch
        for name, claim in self.mate.claims.items():
            left = max(0.0, claim.until - now) if claim.stage is Stage.HELD else 0.0
            gauge = f"fleet_left_ms_{name}"
            if left or gauge in counts:
                counts[gauge], counts[f"fleet_ticket_{name}"] = int(1000 * left), claim.ticket

    def told(self) -> dict[str, Any]:
        """What `stairhatch claims` shows."""
        now, mate, voter = clock(), self.mate, self.mate.voter
        claims = [
            {
                "claim": name, "stage": claim.stage.value, "ticket": claim.ticket if claim.stage is Stage.HELD
                else 0, "left_s": round(max(0.0, claim.until - now), 3) if claim.stage is Stage.HELD else 0.0,
                "holder": claim.holder, "why": claim.why,
            }
            for name, claim in mate.claims.items() if claim.stage is not Stage.RESTING
        ]  # fmt: skip
        told: dict[str, Any] = {
            "fleet": self.config.fleet, "name": self.config.name, "voters": list(self.config.voters),
            "claims": claims, "fences": mate.fences.seen, "refused": mate.fences.refused, "vote": None,
        }  # fmt: skip
        if self.numbers is not None:
            told["number"] = self.numbers.in_use
        if voter is not None:
            promised = [
                {"claim": p.claim, "ticket": p.ticket, "holder": p.holder,
                 "left_s": round(max(0.0, voter.until.get(p.claim, 0.0) - now), 3)}
                for p in voter.promises.values()
            ]  # fmt: skip
            told["vote"] = {
                "votes": voter.votes, "why": "" if voter.votes else voter.why or voter.standing.value,
                "promises": promised, "epoch": voter.roll.epoch, "list": list(voter.roll.voters),
                "wishes": voter.listed if voter.wish else [], "agreed": bool(voter.roll.agreed),
            }  # fmt: skip
        return told


__all__ = ["Fleet", "StoreError", "clock"]
