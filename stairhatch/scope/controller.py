"""Overload control by sets of servers: a controller for each set in scope, behind the interface of one.

Takes each event to the set that it concerns. It never decides on a call itself and opens no connection. A set
comes into scope with its first call and knows nothing of its servers then, as after a restart; it leaves once
it has had no call for `idle_s`. Times are seconds.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator, Mapping
from dataclasses import replace

from stairhatch.overload.actions import Action, FailCall, RejectCall, SetTimer
from stairhatch.overload.controller import PENDING_TIMER_ID
from stairhatch.overload.endpoint import Endpoint
from stairhatch.overload.events import (
    AttemptEnded,
    CallAbandoned,
    CallEstablished,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    Event,
    LoadReported,
    TimerExpired,
)
from stairhatch.overload.settings import Settings
from stairhatch.scope.config import ScopeConfig
from stairhatch.scope.handover import hand_over_call, inherit
from stairhatch.scope.scoped_set import ScopedSet
from stairhatch.scope.server_sets import ServerNumbers, ServerSet
from stairhatch.scope.set_index import SetIndex
from stairhatch.scope.sets_in_scope import EndpointsInScope, SetsInScope
from stairhatch.scope.timer_owners import TimerOwners

IDLE_TIMER_ID = 0  # of the timer for sets that may leave; those of the sets begin at PENDING_TIMER_ID
IDLE_CHECKS = 4  # in `idle_s`

ScopeChanged = Callable[[ServerNumbers, tuple[str, ...], bool], None]  # numbers, classes, whether it entered


def ignore_change(numbers: ServerNumbers, classes: tuple[str, ...], entered: bool) -> None:
    """Take the place of a callback where nobody is to be notified of sets that enter or leave."""


class ScopedController:
    """The overload control for the services that callers ask for; used in place of a `Controller`."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        config: ScopeConfig,
        on_scope_changed: ScopeChanged = ignore_change,
    ) -> None:
        """Begin with the sets that are always in scope; `on_scope_changed` is not called for them."""
        self.config = config
        self.on_scope_changed = on_scope_changed
        self.sets = SetsInScope(settings, rng, SetIndex(settings, config.services))
        self.endpoints: Mapping[int, Endpoint] = EndpointsInScope(self.sets)
        self.timers = TimerOwners()
        self.owners: dict[int, ScopedSet] = {}  # call -> the set that owes its answer
        self._class_used_at: dict[str, float] = {}  # class -> when its last call came
        self._idle_timer_set = False
        self._now = 0.0  # of the last event
        for server_set in self.sets.index.sets.values():
            if server_set.always_in_scope:
                self.sets.enter(server_set)

    @property
    def settings(self) -> Settings:
        """The settings in use."""
        return self.sets.settings

    def in_scope(self, number: int) -> bool:
        """Whether the servers of a number are connected to and known to a controller."""
        return self.sets.at_number(number) is not None

    def is_warming_up(self, now: float, endpoint: Endpoint) -> bool:
        """Whether an endpoint in scope may not be warm."""
        scoped_set = self.sets.at_number(endpoint.number)
        return scoped_set is not None and scoped_set.controller.is_warming_up(now, endpoint)

    def slow_start_slots(self, now: float, endpoint: Endpoint) -> float:
        """This softswitch's slots in a span at an endpoint that is warming up."""
        scoped_set = self.sets.at_number(endpoint.number)
        return scoped_set.controller.slow_start_slots(now, endpoint) if scoped_set is not None else 0.0

    # ---- events ----

    def handle(self, now: float, event: Event) -> Iterator[Action]:
        """Take one event to the set that it concerns; yield what is to be done."""
        self._now = now
        match event:
            case EndpointsUpdated():
                yield from self._update_endpoints(now, event)
            case CallOffered():
                yield from self._offer_call(now, event)
            case CallEstablished() | AttemptEnded():
                yield from self._attempt_event(now, event)
            case CallAbandoned():
                yield from self._dispatch(now, self.owners.get(event.call_id), event)
            case LoadReported():
                yield from self._dispatch(now, self.sets.of_server(event.server_id), event)
            case TimerExpired(timer_id) if timer_id == IDLE_TIMER_ID:
                self._idle_timer_set = False
                self._remove_idle_sets(now)
            case TimerExpired():
                for scoped_set in self.timers.expire(event.timer_id):
                    yield from self._dispatch(now, scoped_set, TimerExpired(PENDING_TIMER_ID))
            case _:
                yield from self._dispatch(now, None, event)
        if self.sets.some_may_leave and not self._idle_timer_set:
            self._idle_timer_set = True
            yield SetTimer(self.config.idle_s / IDLE_CHECKS, IDLE_TIMER_ID)

    def _dispatch(self, now: float, scoped_set: ScopedSet | None, event: Event) -> Iterator[Action]:
        """Have one set take an event; the only set takes what concerns none."""
        scoped_set = scoped_set or self.sets.only_set()
        if scoped_set is None:
            return
        for action in scoped_set.handle(now, event):
            match action:
                case SetTimer(delay_s, _):
                    yield SetTimer(delay_s, self.timers.start(scoped_set))
                case RejectCall(call_id) | FailCall(call_id):
                    self.owners.pop(call_id, None)
                    yield action
                case _:
                    yield action
        if not isinstance(event, CallOffered | CallEstablished | AttemptEnded | CallAbandoned):
            return
        owes_answer = event.call_id in scoped_set.controller.calls
        if not owes_answer and self.owners.get(event.call_id) is scoped_set:
            del self.owners[event.call_id]

    def _offer_call(self, now: float, event: CallOffered) -> Iterator[Action]:
        """Route a call to the set of its class, which it brings into scope; one without a class is failed."""
        call_class = event.call_class
        if call_class is None:
            if self.sets.only_set() is None:
                yield FailCall(event.call_id)
            yield from self._dispatch(now, None, event)
            return
        server_set = self.sets.server_set_for(call_class, event.preferred_number, event.in_transit)
        scoped_set = self.sets.by_numbers.get(server_set.numbers)
        if scoped_set is None:
            scoped_set = self.sets.enter(server_set)
            self.on_scope_changed(server_set.numbers, scoped_set.class_names, True)
        scoped_set.last_used_at = now
        self._class_used_at[call_class.name] = now
        self.owners[event.call_id] = scoped_set
        yield from self._dispatch(now, scoped_set, event)

    def _attempt_event(self, now: float, event: CallEstablished | AttemptEnded) -> Iterator[Action]:
        """Route what became of an attempt to the set of the call.

        Where its server is in another set by now, that one learns from it, as from the end of a call that has
        its answer.
        """
        owner = self.owners.get(event.call_id)
        home = self.sets.of_server(event.server_id)
        if owner is not None and home is not None and owner is not home:
            learnt = replace(event, answered=True) if isinstance(event, AttemptEnded) else event
            yield from self._dispatch(now, home, learnt)
        yield from self._dispatch(now, owner or home, event)

    def _remove_idle_sets(self, now: float) -> None:
        """Let go of sets that have not been used for long. Established calls are the call manager's alone."""
        self.owners = {call: each for call, each in self.owners.items() if call in each.controller.calls}
        for scoped_set in list(self.sets.by_numbers.values()):
            is_idle = now - scoped_set.last_used_at >= self.config.idle_s
            if is_idle and not scoped_set.server_set.always_in_scope and not scoped_set.has_open_call(now):
                self.owners = {call: each for call, each in self.owners.items() if each is not scoped_set}
                self.sets.leave(scoped_set)
                self._tell_change(scoped_set, entered=False)
        self.sets.update_some_may_leave()

    def _tell_change(self, scoped_set: ScopedSet, *, entered: bool) -> None:
        self.on_scope_changed(scoped_set.server_set.numbers, scoped_set.class_names, entered)

    # ---- the endpoint list ----

    def _update_endpoints(self, now: float, event: EndpointsUpdated) -> Iterator[Action]:
        """Keep the complete list, and give each set in scope the records of its own servers."""
        if event.complete:
            self.sets.listed.keep_only({record.server_id for record in event.endpoints})
        updates: dict[ServerNumbers, list[EndpointRecord]] = {}
        for record in event.endpoints:
            self._record_endpoint(record)
            scoped_set = self.sets.at_number(record.number)
            if scoped_set is not None:
                updates.setdefault(scoped_set.server_set.numbers, []).append(record)
        only_set = self.sets.only_set()
        for numbers, scoped_set in list(self.sets.by_numbers.items()):
            if event.complete or numbers in updates or scoped_set is only_set:
                update = EndpointsUpdated(tuple(updates.get(numbers, ())), event.complete)
                if event.complete:
                    scoped_set.unsent_records = ()
                yield from self._dispatch(now, scoped_set, update)
        self._forget_gone()

    def _record_endpoint(self, record: EndpointRecord) -> None:
        """Apply one record. A server whose number changes moves to its new set with what was learnt of it."""
        old = self.sets.listed.by_id.get(record.server_id)
        if old is not None and old.number != record.number:
            before = self.sets.at_number(old.number)
            after = self.sets.at_number(record.number)
            if before is not after and before is not None:
                endpoint = before.controller.endpoints.pop(record.server_id, None)
                if endpoint is not None and after is not None:
                    after.controller.endpoints[record.server_id] = endpoint
        self.sets.listed.put(record)

    def _forget_gone(self) -> None:
        """Forget endpoints that have gone, once their set has forgotten them."""
        for server_id in list(self.sets.listed.gone):
            home = self.sets.of_server(server_id)
            if home is None or server_id not in home.controller.endpoints:
                self.sets.listed.remove(server_id)

    # ---- other settings ----

    def update_settings(self, settings: Settings, config: ScopeConfig | None = None) -> None:
        """Take other settings.

        Sets whose numbers stay go on as they are; those that merge or split hand on their servers, their
        open calls and what was learnt. An open call goes on in one set.
        """
        self.config = config or self.config
        before = self.sets.by_numbers
        self.sets.settings = settings
        self.sets.index.rebuild(settings, self.config.services)
        self.sets.by_numbers = {}
        parting = self._keep_sets(before, settings)
        self._hand_over_calls(parting)
        self._enter_heirs(parting)
        self.timers.hand_over(parting, self.sets.by_numbers.values())
        self.owners = {call: each for call, each in self.owners.items() if each not in parting}
        self.sets.update_some_may_leave()
        kept = set(before.values())
        for scoped_set in [each for each in self.sets.by_numbers.values() if each not in kept]:
            self._tell_change(scoped_set, entered=True)
        for scoped_set in parting:
            self._tell_change(scoped_set, entered=False)

    def _keep_sets(self, before: Mapping[ServerNumbers, ScopedSet], settings: Settings) -> list[ScopedSet]:
        """Let sets whose numbers stay go on; returns those that merge or split."""
        index = self.sets.index
        parting: list[ScopedSet] = []
        for numbers, scoped_set in before.items():
            if numbers in index.sets:
                scoped_set.server_set = index.sets[numbers]
            elif numbers is None or None in index.sets or index.has_any(numbers):
                parting.append(scoped_set)
                # The usual timeouts of all classes are kept, whatever set a class goes to.
                scoped_set.controller.update_settings(settings)
                continue
            else:  # its classes are gone, or in other sets: it ends when its calls have
                scoped_set.server_set = replace(
                    scoped_set.server_set,
                    instance_count=settings.instance_count,
                    instance_index=settings.instance_index,
                )
                index.add_stray_numbers(numbers)
            scoped_set.controller.update_settings(scoped_set.server_set.settings_for(settings))
            self.sets.by_numbers[numbers] = scoped_set
        return parting

    def _hand_over_calls(self, parting: list[ScopedSet]) -> None:
        """Find each open call of the sets that part its new set."""
        for old in parting:
            for call in list(old.controller.calls.values()):
                server_set = self.sets.server_set_for(call.call_class, call.preferred_number, call.in_transit)
                heir = self.sets.by_numbers.get(server_set.numbers) or self._enter_heir(server_set, parting)
                hand_over_call(call, old, heir)
                self.owners[call.id] = heir

    def _enter_heirs(self, parting: list[ScopedSet]) -> None:
        """Bring into scope what is always there, and heirs whose classes were used lately."""
        for server_set in self.sets.index.sets.values():
            used_at = max(self._class_used_at.get(each.name, -math.inf) for each in server_set.classes)
            lately = self._now - used_at < self.config.idle_s
            is_heir = any(server_set.shares_servers_with(old.server_set) for old in parting)
            returns = lately and (is_heir or server_set.numbers is None)
            wanted = server_set.always_in_scope or returns
            if wanted and server_set.numbers not in self.sets.by_numbers:
                self._enter_heir(server_set, parting)

    def _enter_heir(self, server_set: ServerSet, parting: list[ScopedSet]) -> ScopedSet:
        """A set made of others comes into scope, with what they had learnt of its servers."""
        heir = self.sets.enter(server_set)
        inherit(heir, parting)
        return heir
