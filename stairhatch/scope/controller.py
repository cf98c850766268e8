"""Overload control by sets of servers: one controller for each set in scope, with a single interface.

The scoped controller routes each event to its set. It makes no decision on a call itself and opens no
connection. A set enters the scope with its first call and has no state of its servers then, as after a
restart; it leaves the scope after `idle_s` without a new call. Times are seconds.
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
from stairhatch.scope.handover import hand_over_call, transfer_learned_state
from stairhatch.scope.scoped_set import ScopedSet
from stairhatch.scope.server_sets import ServerNumbers, ServerSet
from stairhatch.scope.set_index import SetIndex
from stairhatch.scope.sets_in_scope import EndpointsInScope, SetsInScope
from stairhatch.scope.timer_owners import TimerOwners

IDLE_TIMER_ID = 0  # of the check for idle sets; the ids of the sets' timers begin at PENDING_TIMER_ID
IDLE_CHECKS_PER_IDLE_TIME = 4  # checks for idle sets within `idle_s`

# Called with the server numbers and class names of a set, and whether it entered the scope.
ScopeChanged = Callable[[ServerNumbers, tuple[str, ...], bool], None]


def ignore_change(numbers: ServerNumbers, classes: tuple[str, ...], entered: bool) -> None:
    """Do nothing: the default callback for sets that enter or leave the scope."""


class ScopedController:
    """Overload controller with a `Controller` for each set in scope and the interface of a single one."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        config: ScopeConfig,
        on_scope_changed: ScopeChanged = ignore_change,
    ) -> None:
        """Bring the sets that are always in scope into it, without a call of `on_scope_changed`."""
        self.config = config
        self.on_scope_changed = on_scope_changed
        self.sets = SetsInScope(settings, rng, SetIndex(settings, config.services))
        self.endpoints: Mapping[int, Endpoint] = EndpointsInScope(self.sets)
        self.timers = TimerOwners()
        self.owners: dict[int, ScopedSet] = {}  # call id -> the set that has to answer the call
        self._class_used_at: dict[str, float] = {}  # class name -> time of its last call
        self._idle_timer_set = False
        self._now = 0.0  # time of the last event
        for server_set in self.sets.index.sets.values():
            if server_set.always_in_scope:
                self.sets.enter(server_set)

    @property
    def settings(self) -> Settings:
        """The settings that are in effect."""
        return self.sets.settings

    def in_scope(self, number: int) -> bool:
        """Return whether servers with this number are in scope: connected, and handled by a controller."""
        return self.sets.at_number(number) is not None

    def is_warming_up(self, now: float, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may still be warming up; False if it is not in scope."""
        scoped_set = self.sets.at_number(endpoint.number)
        return scoped_set is not None and scoped_set.controller.is_warming_up(now, endpoint)

    def slow_start_slots(self, now: float, endpoint: Endpoint) -> float:
        """Return this softswitch's slow-start slots at an endpoint that warms up; 0.0 if out of scope."""
        scoped_set = self.sets.at_number(endpoint.number)
        return scoped_set.controller.slow_start_slots(now, endpoint) if scoped_set is not None else 0.0

    # ---- routing of events to sets ----

    def handle(self, now: float, event: Event) -> Iterator[Action]:
        """Route one event to its set; yield the resulting actions."""
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
        if self.sets.has_removable_sets and not self._idle_timer_set:
            self._idle_timer_set = True
            yield SetTimer(self.config.idle_s / IDLE_CHECKS_PER_IDLE_TIME, IDLE_TIMER_ID)

    def _dispatch(self, now: float, scoped_set: ScopedSet | None, event: Event) -> Iterator[Action]:
        """Pass an event to a set, or to the only set if none is given; yield the resulting actions."""
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
        is_open = event.call_id in scoped_set.controller.calls
        if not is_open and self.owners.get(event.call_id) is scoped_set:
            del self.owners[event.call_id]

    def _offer_call(self, now: float, event: CallOffered) -> Iterator[Action]:
        """Route a call to the set of its class and bring this set into scope; fail a call without a class."""
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
        """Route the progress or end of an attempt to the set that has to answer its call.

        If the server belongs to another set by now, that set also gets the event and updates the server's
        state. An attempt's end is marked as answered for it, so that the call gets no second answer.
        """
        owner = self.owners.get(event.call_id)
        current_set = self.sets.of_server(event.server_id)
        if owner is not None and current_set is not None and owner is not current_set:
            answered_event = replace(event, answered=True) if isinstance(event, AttemptEnded) else event
            yield from self._dispatch(now, current_set, answered_event)
        yield from self._dispatch(now, owner or current_set, event)

    def _remove_idle_sets(self, now: float) -> None:
        """Remove idle sets. Established calls keep no set in scope: the call manager alone handles them."""
        self.owners = {call: each for call, each in self.owners.items() if call in each.controller.calls}
        for scoped_set in list(self.sets.by_numbers.values()):
            is_idle = now - scoped_set.last_used_at >= self.config.idle_s
            if is_idle and not scoped_set.server_set.always_in_scope and not scoped_set.has_open_call(now):
                self.owners = {call: each for call, each in self.owners.items() if each is not scoped_set}
                self.sets.leave(scoped_set)
                self._notify_scope_changed(scoped_set, entered=False)
        self.sets.update_has_removable_sets()

    def _notify_scope_changed(self, scoped_set: ScopedSet, *, entered: bool) -> None:
        self.on_scope_changed(scoped_set.server_set.numbers, scoped_set.class_names, entered)

    # ---- updates of the endpoint list ----

    def _update_endpoints(self, now: float, event: EndpointsUpdated) -> Iterator[Action]:
        """Update the complete list and pass each set in scope the records of its own servers."""
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
        self._remove_gone_endpoints()

    def _record_endpoint(self, record: EndpointRecord) -> None:
        """Apply one record. A server whose number changes moves to its new set with its learned state."""
        old = self.sets.listed.by_id.get(record.server_id)
        if old is not None and old.number != record.number:
            before = self.sets.at_number(old.number)
            after = self.sets.at_number(record.number)
            if before is not after and before is not None:
                endpoint = before.controller.endpoints.pop(record.server_id, None)
                if endpoint is not None and after is not None:
                    after.controller.endpoints[record.server_id] = endpoint
        self.sets.listed.put(record)

    def _remove_gone_endpoints(self) -> None:
        """Remove gone endpoints from the list once their set has dropped them."""
        for server_id in list(self.sets.listed.gone):
            current_set = self.sets.of_server(server_id)
            if current_set is None or server_id not in current_set.controller.endpoints:
                self.sets.listed.remove(server_id)

    # ---- changes of the settings ----

    def update_settings(self, settings: Settings, config: ScopeConfig | None = None) -> None:
        """Apply new settings, and a new scope configuration if one is given.

        Sets with unchanged numbers are kept. Sets that merge or split are replaced: their servers, their open
        calls and what they have learned go to their successors. An open call goes to exactly one set.
        """
        self.config = config or self.config
        before = self.sets.by_numbers
        self.sets.settings = settings
        self.sets.index.rebuild(settings, self.config.services)
        self.sets.by_numbers = {}
        replaced_sets = self._keep_sets(before, settings)
        self._hand_over_calls(replaced_sets)
        self._enter_successors(replaced_sets)
        self.timers.hand_over(replaced_sets, self.sets.by_numbers.values())
        self.owners = {call: each for call, each in self.owners.items() if each not in replaced_sets}
        self.sets.update_has_removable_sets()
        kept_sets = set(before.values())
        for scoped_set in [each for each in self.sets.by_numbers.values() if each not in kept_sets]:
            self._notify_scope_changed(scoped_set, entered=True)
        for scoped_set in replaced_sets:
            self._notify_scope_changed(scoped_set, entered=False)

    def _keep_sets(self, before: Mapping[ServerNumbers, ScopedSet], settings: Settings) -> list[ScopedSet]:
        """Keep the sets with unchanged numbers; return the sets that merge or split."""
        index = self.sets.index
        replaced_sets: list[ScopedSet] = []
        for numbers, scoped_set in before.items():
            if numbers in index.sets:
                scoped_set.server_set = index.sets[numbers]
            elif numbers is None or None in index.sets or index.has_any(numbers):
                replaced_sets.append(scoped_set)
                # The usual caller timeouts of every class are kept, whichever set the class moves to.
                scoped_set.controller.update_settings(settings)
                continue
            else:  # its classes are gone or in other sets: it stays until its calls have ended
                scoped_set.server_set = replace(
                    scoped_set.server_set,
                    instance_count=settings.instance_count,
                    instance_index=settings.instance_index,
                )
                index.add_stray_numbers(numbers)
            scoped_set.controller.update_settings(scoped_set.server_set.settings_for(settings))
            self.sets.by_numbers[numbers] = scoped_set
        return replaced_sets

    def _hand_over_calls(self, replaced_sets: list[ScopedSet]) -> None:
        """Transfer each open call of the replaced sets to the set that serves it now."""
        for old in replaced_sets:
            for call in list(old.controller.calls.values()):
                server_set = self.sets.server_set_for(call.call_class, call.preferred_number, call.in_transit)
                successor = self.sets.by_numbers.get(server_set.numbers) or self._enter_successor(
                    server_set, replaced_sets
                )
                hand_over_call(call, old, successor)
                self.owners[call.id] = successor

    def _enter_successors(self, replaced_sets: list[ScopedSet]) -> None:
        """Bring the sets that are always in scope into it, and the successors with recently used classes."""
        for server_set in self.sets.index.sets.values():
            used_at = max(self._class_used_at.get(each.name, -math.inf) for each in server_set.classes)
            recently_used = self._now - used_at < self.config.idle_s
            is_successor = any(server_set.shares_servers_with(old.server_set) for old in replaced_sets)
            returns = recently_used and (is_successor or server_set.numbers is None)
            should_enter = server_set.always_in_scope or returns
            if should_enter and server_set.numbers not in self.sets.by_numbers:
                self._enter_successor(server_set, replaced_sets)

    def _enter_successor(self, server_set: ServerSet, replaced_sets: list[ScopedSet]) -> ScopedSet:
        """Bring a successor into scope with what the replaced sets have learned; return it."""
        successor = self.sets.enter(server_set)
        transfer_learned_state(successor, replaced_sets)
        return successor
