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
from dataclasses import replace
from typing import Any

from stairhatch.fleet import instance_index, restart_slots
from stairhatch.fleet.config import FleetConfig
from stairhatch.fleet.effects import (
    Effect,
    LeaseEvent,
    LeaseEventKind,
    MemberId,
    PeerAddress,
    PersistFencingToken,
    PersistVotes,
    SendMessage,
)
from stairhatch.fleet.endpoint_relay import (
    EndpointList,
    EndpointListAssembler,
    EndpointListFollower,
    RelayTimings,
    to_updates,
)
from stairhatch.fleet.instance_index import InstanceIndexLease
from stairhatch.fleet.lease import LeaseState
from stairhatch.fleet.lease_pool import LeasePool
from stairhatch.fleet.member import ClusterMember
from stairhatch.fleet.messages import EndpointUpdate, FleetCodec, FleetMessage, Subscribe
from stairhatch.fleet.restart_slots import RestartSlotLease
from stairhatch.fleet.store import StoreError, VoterStore
from stairhatch.node.call_manager import CallManager
from stairhatch.node.io.network import Network
from stairhatch.node.protocol import do_nothing
from stairhatch.node.service_discovery import ServiceDiscoveryClient
from stairhatch.overload.settings import Settings

ENDPOINT_LIST_LEASE = "list"
MAX_TICK_S, MIN_TICK_S = 0.25, 0.001  # between two looks at what is due
SETTLE_WINDOWS = 1.25  # the span in which a turn at a cold server opens and lapses, in `fall_s`
LOGGED_EVENTS = (
    LeaseEventKind.HELD,
    LeaseEventKind.LOST,
    LeaseEventKind.RELEASED,
    LeaseEventKind.STEPPED_DOWN,
    LeaseEventKind.VOTING,
    LeaseEventKind.NOT_VOTING,
    LeaseEventKind.VOTER_SET_ADVANCED,
)
GAUGE_INTERVAL_S = 1.0
MAX_LEASE_NAME_BYTES = 48  # bytes of a claim's
REJECTION_LOG_INTERVAL_S = 1.0  # late news that is refused is logged so often at the most


def clock() -> float:
    """Seconds of a clock that only moves on, also while the machine is suspended (clock_gettime(2))."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def between_check_and_write() -> None:
    """Stands at the one place where a stop does most harm, for a lab to stop the process there."""


class HistoryFile:
    """What this process did, one JSON object a line, for whoever checks a run from outside."""

    def __init__(self, config: FleetConfig) -> None:
        self.file = (
            os.open(config.history_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
            if config.history_path
            else -1
        )

    def __call__(self, what: str, **fields: object) -> None:
        if self.file < 0:
            return
        line = {"at": time.monotonic(), "clock": clock(), "pid": os.getpid(), "what": what, **fields}
        try:
            os.write(self.file, json.dumps(line).encode() + b"\n")
        except OSError:
            self.file = -1


class FleetRuntime:
    """One softswitch's part in shared work."""

    def __init__(self, core: CallManager, network: Network, config: FleetConfig, settings: Settings) -> None:
        """StoreError where the folder can't be used, OSError where the address can't."""
        self.core, self.network, self.config = core, network, config
        self.log, self.counters = core.log, core.counters
        self.output: deque[tuple[bytes, PeerAddress]] = deque()
        self.notify_writable: Callable[[], None] = do_nothing  # set by the driver
        self.codec = FleetCodec(config.fleet_name, config.secret)
        self.history = HistoryFile(config)
        self.random_source = random.Random(secrets.randbits(64))
        now = clock()
        self.store = (
            VoterStore(config.data_directory, self._on_loop) if config.data_directory is not None else None
        )
        found = self.store.stored if self.store is not None else None
        if found is not None and found.quarantined:
            self.log("fleet", what="folder put aside", why=found.quarantined)
        self.member = ClusterMember(
            MemberId(config.member_name, secrets.randbits(62)),
            config.voters,
            config.timings,
            self.random_source,
            now,
            found.voter_state if found is not None and config.is_voter else None,
            found.fencing_tokens if found else {},
            config.epoch,
        )
        self.settings = settings  # as the file has them
        self.instance_index_lease = self._numbers(settings)
        slots = restart_slots.lease_names(config.restart_slots)
        pick = (
            LeasePool(slots, self.member.lease, self.random_source.randrange(len(slots))) if slots else None
        )
        self.restart_slot = RestartSlotLease(pick)
        self.directory: ServiceDiscoveryClient | None = None
        self.endpoint_list, self.assembler = EndpointList(), EndpointListAssembler()
        self.follower = EndpointListFollower(list(config.voters), RelayTimings(), now)
        self._owner_heard = self._beaten = -math.inf
        self._asking = False
        self._handed = 0  # the number of the list that was handed on last
        self._timer: asyncio.TimerHandle | None = None
        self._refusal_at = self._gauged = -math.inf
        self._ended = False
        network.open_datagram_port(config.listen, self)
        core.admin_commands.update(
            {
                "claims": lambda: "ok " + json.dumps(self.lease_report()),
                "restart-ask": lambda: self._order(self.restart_slot.request),
                "restart-give": self._give,
                "hand-over": self._hand_over,
                "watch": self._watch,
            }
        )
        self.history("started", name=config.member_name, voter=config.is_voter)

    def _numbers(self, settings: Settings) -> InstanceIndexLease | None:
        if not self.config.lease_instance_index or settings.instance_count < 2:
            return None
        names = instance_index.lease_names(settings.instance_count)
        first = (
            settings.instance_index
            if settings.instance_index >= 0
            else self.random_source.randrange(len(names))
        )
        return InstanceIndexLease(
            LeasePool(names, self.member.lease, first), SETTLE_WINDOWS * settings.safety.overload_window_s
        )

    # ---- life ----

    def start(self) -> None:
        """Start to ask."""
        now = clock()
        if self.instance_index_lease is not None:
            self.core.attempts.check_instance_index = self._look
            self.core.update_settings(self.settings_in_use(self.settings))
            self.instance_index_lease.pool.request(now)
        if self.config.relay_endpoint_list and self.directory is not None:
            self.member.lease(ENDPOINT_LIST_LEASE).request(now)
        self._tick()

    def stop(self) -> None:
        """The program ends: what is held is given back, but for a slot, which lasts over the restart."""
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        now = clock()
        for claim in self.member.leases.values():
            if not claim.name.startswith("restart/"):
                self.carry_out(claim.release(now))
        if self.store is not None:
            self.store.close()

    def settings_in_use(self, settings: Settings) -> Settings:
        """A file's settings with the number that is held in place of the one that is typed."""
        if settings.instance_count != self.settings.instance_count:
            now = clock()
            if self.instance_index_lease is not None:
                self.carry_out(self.instance_index_lease.pool.release(now))
            self.instance_index_lease = self._numbers(settings)
            if self.instance_index_lease is not None:
                self.instance_index_lease.pool.request(now)
        self.settings = settings
        if self.instance_index_lease is None:
            return settings
        return replace(settings, instance_index=self.instance_index_lease.in_use)

    def _on_loop(self, act: Callable[[], None]) -> object:
        return self.network.loop.call_soon_threadsafe(act)

    # ---- the wire ----

    def receive(self, data: bytes, peer: PeerAddress) -> None:
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

    def _take(self, now: float, peer: PeerAddress, message: FleetMessage) -> None:
        match message:
            case EndpointUpdate():
                self._news(now, peer, message)
            case Subscribe():
                self._tuned_in(peer, message)
            case _:
                self.carry_out(self.member.handle(now, peer, message))

    def _fault(self, error: Exception) -> None:
        self.counters.add("fleet_faults")
        self.log("fault", why=f"{type(error).__name__}: {error}", component="Fleet")

    def send(self, to: PeerAddress, message: FleetMessage) -> None:
        """A message on its way."""
        data = self.codec.encode(message)
        self.counters.add("fleet_sent")
        self.counters.add("fleet_sent_bytes", len(data))
        self.output.append((data, to))
        self.notify_writable()

    def carry_out(self, effects: list[Effect]) -> None:
        """Do what the decisions ask, in their order."""
        for effect in effects:
            match effect:
                case SendMessage():
                    self.send(effect.destination, effect.message)
                case PersistVotes():
                    self._write(effect)
                case PersistFencingToken() if self.store is not None:
                    self.store.persist(effect, self._fence_kept)
                case LeaseEvent():
                    self._note(effect)

    def _write(self, write: PersistVotes) -> None:
        if self.store is None:
            return
        self.counters.add("fleet_syncs")

        def done(fault: str) -> None:
            if not self._ended:
                self.carry_out(self.member.write_completed(clock(), write.write_id, fault))
                self._tick()

        self.store.persist(write, done)

    def _fence_kept(self, fault: str) -> None:
        if fault:
            self.counters.add("fleet_fences_not_kept")

    def _note(self, note: LeaseEvent) -> None:
        self.history(
            note.kind.value,
            claim=note.lease,
            ticket=note.fencing_token,
            until=note.expires_at,
            why=note.reason,
        )
        name = f"fleet_{note.kind.name.lower()}"
        self.counters.add(name)
        if note.kind in LOGGED_EVENTS:
            self.log(
                "fleet",
                what=note.kind.value,
                claim=note.lease or "-",
                ticket=note.fencing_token,
                why=note.reason or "-",
            )
        elif (
            note.kind is LeaseEventKind.TOKEN_REJECTED
            and clock() - self._refusal_at > REJECTION_LOG_INTERVAL_S
        ):
            self._refusal_at = clock()
            self.log("fleet", what="refused", claim=note.lease, ticket=note.fencing_token, why=note.reason)

    # ---- what is due ----

    def _tick(self) -> None:
        """Carry out what is due, and come again whatever comes of it. Called after each message too."""
        if self._ended:
            return
        now = clock()
        due = now + MAX_TICK_S
        try:
            due = self._due(now)
        except Exception as error:  # noqa: BLE001 - without this look no claim would be renewed any more
            self._fault(error)
        if self._timer is not None:
            self._timer.cancel()
        wait = min(MAX_TICK_S, max(MIN_TICK_S, due - now))
        self._timer = self.network.loop.call_later(wait, self._tick)

    def _due(self, now: float) -> float:
        self.carry_out(self.member.tick(now))
        if self.instance_index_lease is not None:
            self.carry_out(self.instance_index_lease.tick(now))
        self.carry_out(self.restart_slot.tick(now))
        self._look()
        self._list(now)
        if now - self._gauged >= GAUGE_INTERVAL_S:
            self._gauged = now
            self._gauges(now)
        return min(
            self.member.next_due_at(),
            self.instance_index_lease.next_due_at(now) if self.instance_index_lease is not None else math.inf,
        )

    def _look(self) -> None:
        """Go by the number that may be used at this moment. Asked before each set-up at a cold server is
        written too: since the last look the process may have been stopped.
        """
        if self.instance_index_lease is None:
            return
        was = self.instance_index_lease.in_use
        number = self.instance_index_lease.update(clock())
        if number is not None:
            self.history("number", claim=f"number/{number if number >= 0 else was}", number=number)
            self.log("fleet", what="number", number=number if number >= 0 else "none")
            self.core.update_settings(self.settings_in_use(self.settings))

    # ---- the list ----

    def may_poll_coordinator(self) -> bool:
        """Whether the coordinator is to be asked by this softswitch now."""
        now = clock()
        return self.follower.polls_coordinator(
            now, self.member.may_act(now, ENDPOINT_LIST_LEASE), self.endpoint_list.index > 0
        )

    def coordinator_answered(self, answer: Any) -> None:
        """The coordinator has answered this softswitch."""
        self.endpoint_list.apply(answer)
        self._hand_on()

    def _list(self, now: float) -> None:
        if self.directory is None or not self.config.relay_endpoint_list:
            return
        owner = self.member.may_act(clock(), ENDPOINT_LIST_LEASE)
        if owner and now - self._beaten >= self.follower.timings.poll_interval_s:
            self._beaten = now
            claim = self.member.leases[ENDPOINT_LIST_LEASE]
            self._to_voters(
                [
                    EndpointUpdate(
                        self.config.member_name, claim.fencing_token, self.endpoint_list.index, 0, 1, b""
                    )
                ]
            )
        to = self.follower.voter_to_poll(now, owner, self._owner_heard)
        if to and to != self.config.member_name:
            self.send(self.config.voters[to], Subscribe(self.endpoint_list.index))
        asks = self.may_poll_coordinator()
        if asks and not self._asking:
            self.directory.reconnect_now()
        self._asking = asks

    def _to_voters(self, news: list[EndpointUpdate]) -> None:
        for name, place in self.config.voters.items():
            if name != self.config.member_name:
                for each in news:
                    self.send(place, each)

    def _hand_on(self) -> None:
        """The owner tells the voters, once a number, with its ticket; the check stands right before."""
        checked = clock()
        if not self.member.may_act(checked, ENDPOINT_LIST_LEASE) or self.endpoint_list.index == self._handed:
            return
        self._handed = self.endpoint_list.index
        claim = self.member.leases[ENDPOINT_LIST_LEASE]
        news = to_updates(self.endpoint_list, self.config.member_name, claim.fencing_token)
        self.history("acted", claim=ENDPOINT_LIST_LEASE, ticket=claim.fencing_token, checked=checked)
        between_check_and_write()
        self._to_voters(news)

    def _tuned_in(self, peer: PeerAddress, tune: Subscribe) -> None:
        """Somebody asks for news: of the list that the owner handed on, under the owner's ticket."""
        ticket = self.member.fencing_tokens.highest.get(ENDPOINT_LIST_LEASE, 0)
        holder = ""
        now = clock()
        if self.member.may_act(now, ENDPOINT_LIST_LEASE):
            ticket, holder = self.member.leases[ENDPOINT_LIST_LEASE].fencing_token, self.config.member_name
        elif not ticket or now - self._owner_heard > self.follower.timings.fallback_after_s:
            return  # the owner is not heard here either; what another voter says is not passed on again
        if tune.after_index >= self.endpoint_list.index:
            self.send(peer, EndpointUpdate(holder or "-", ticket, self.endpoint_list.index, 0, 1, b""))
            return
        for each in to_updates(self.endpoint_list, holder or "-", ticket):
            self.send(peer, each)

    def _news(self, now: float, peer: PeerAddress, news: EndpointUpdate) -> None:
        """The list as its owner has it, or the word that nothing is new."""
        if self.directory is None:
            return
        check = self.member.fencing_tokens.check(ENDPOINT_LIST_LEASE, news.fencing_token, peer)
        self.carry_out(check.effects)
        if not check.is_accepted:
            return
        self.follower.handle_update(now)
        if news.holder != "-":
            self._owner_heard = now
        if not news.data:
            if news.index > self.endpoint_list.index:  # what it handed on was lost
                self.send(peer, Subscribe(self.endpoint_list.index))
            return
        if not news.part_index:  # let through by the fence, whatever comes of it
            self.history(
                LeaseEventKind.TOKEN_ACCEPTED.value,
                claim=ENDPOINT_LIST_LEASE,
                ticket=news.fencing_token,
                index=news.index,
            )
        answer = self.assembler.add(news)
        if answer is None or news.index <= self.endpoint_list.index:
            return
        self.counters.add("fleet_lists_taken")
        self.endpoint_list.apply(answer)
        self.directory.accept_relayed(self.endpoint_list.to_answer())

    # ---- operators ----

    def _order(self, ask: Callable[[float], str]) -> str:
        answer = ask(clock())
        self.network.loop.call_soon(self._tick)
        return answer

    def _give(self) -> str:
        release = self.restart_slot.release(clock())
        self.carry_out(release.effects)
        return release.answer

    def _hand_over(self, name: str, successor: str = "") -> str:
        """Give a claim back, for a successor that is named or for whoever comes first."""
        now, claim = clock(), self.member.leases.get(name)
        if claim is None or not claim.may_act(now):
            return f"fail {name} is not held here"
        self.carry_out(claim.release(now, successor))
        claim.request(now, self.config.timings.duration_s)
        self.network.loop.call_soon(self._tick)
        return f"ok {name} given back" + (f", {successor} goes first for a moment" if successor else "")

    def _watch(self, name: str) -> str:
        """Who holds a claim, by the voters' answers; the first answer comes before any of theirs has."""
        now = clock()
        watch = self.member.observe(now, name) if 0 < len(name.encode()) <= MAX_LEASE_NAME_BYTES else None
        if watch is None:
            return "fail no claim can have that name, or too many are watched"
        self.network.loop.call_soon(self._tick)
        seen = watch.observed(now)
        answer = {
            "holder": seen.holder,
            "ticket": seen.fencing_token,
            "left_s": round(seen.remaining_s, 3),
            "voters": seen.answered_voters,
        }
        return "ok " + json.dumps(answer)

    def _gauges(self, now: float) -> None:
        """Among the counters: what is held and for how long, and whether this softswitch votes."""
        counts, voter = self.counters.counts, self.member.voter
        counts["fleet_claims_held"] = sum(each.may_act(now) for each in self.member.leases.values())
        if voter is not None:
            counts["fleet_votes_now"], counts["fleet_list_of_voters"] = (
                int(voter.is_voting),
                voter.voter_set.epoch,
            )
        for name, claim in self.member.leases.items():
            left = max(0.0, claim.expires_at - now) if claim.state is LeaseState.HELD else 0.0
            gauge = f"fleet_left_ms_{name}"
            if left or gauge in counts:
                counts[gauge], counts[f"fleet_ticket_{name}"] = int(1000 * left), claim.fencing_token

    def lease_report(self) -> dict[str, Any]:
        """What `stairhatch claims` shows."""
        now, mate, voter = clock(), self.member, self.member.voter
        claims = [
            {
                "claim": name,
                "stage": claim.state.value,
                "ticket": claim.fencing_token if claim.state is LeaseState.HELD else 0,
                "left_s": round(max(0.0, claim.expires_at - now), 3)
                if claim.state is LeaseState.HELD
                else 0.0,
                "holder": claim.known_holder,
                "why": claim.reason,
            }
            for name, claim in mate.leases.items()
            if claim.state is not LeaseState.IDLE
        ]
        told: dict[str, Any] = {
            "fleet": self.config.fleet_name,
            "name": self.config.member_name,
            "voters": list(self.config.voters),
            "claims": claims,
            "fences": mate.fencing_tokens.highest,
            "refused": mate.fencing_tokens.rejected_count,
            "vote": None,
        }
        if self.instance_index_lease is not None:
            told["number"] = self.instance_index_lease.in_use
        if voter is not None:
            promised = [
                {
                    "claim": p.lease,
                    "ticket": p.fencing_token,
                    "holder": p.holder,
                    "left_s": round(max(0.0, voter.votes.expires_at.get(p.lease, 0.0) - now), 3),
                }
                for p in voter.votes.by_lease.values()
            ]
            told["vote"] = {
                "votes": voter.is_voting,
                "why": "" if voter.is_voting else voter.reason or voter.state.value,
                "promises": promised,
                "epoch": voter.voter_set.epoch,
                "list": list(voter.voter_set.voters),
                "wishes": voter.configured_voters if voter.proposed_digest else [],
                "agreed": bool(voter.voter_set.agreed_digest),
            }
        return told


__all__ = ["FleetRuntime", "StoreError", "clock"]
