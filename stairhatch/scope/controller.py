"""The decisions kept apart by sets of servers: a Controller for each set that callers ask for, behind the
face of one. Owns which sets are in scope, whose call and whose server is whose, and what passes on when the
classes are told anew. It must never decide on a call itself, change the policy, open a link or read a clock.

A set comes into scope with its first call and knows nothing of its servers then, as after a restart. It
leaves once it has had no call for `idle_s`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator, Mapping
from dataclasses import replace
from itertools import count

from stairhatch.overload.actions import Action, FailCall, RejectCall, SetTimer
from stairhatch.overload.controller import PENDING_TIMER_ID, Controller
from stairhatch.overload.endpoint import Endpoint
from stairhatch.overload.events import (
    AttemptEnded,
    Availability,
    CallAbandoned,
    CallEstablished,
    CallOffered,
    EndpointRecord,
    EndpointsUpdated,
    Event,
    LoadReported,
    TimerExpired,
)
from stairhatch.overload.settings import CallClass, Settings
from stairhatch.scope.server_sets import Numbers, ScopeConfig, ServerSet, server_sets

LOOK = 0  # the label of the timer for what may leave; those of the sets begin at PENDING_TIMER_ID
LOOKS = 4  # in `idle_s`
OVER_S = 1.0  # a call is over so long after it had to be answered, whatever the decisions still hold

Changed = Callable[[Numbers, tuple[str, ...], bool], None]


def unheard(numbers: Numbers, classes: tuple[str, ...], came: bool) -> None:
    """Stands where nobody has asked to hear of sets that come and go."""


class Scope:
    """A set in scope, and the decisions on it."""

    def __init__(self, label: int, servers: ServerSet, controller: Controller) -> None:
        self.label, self.servers, self.controller = label, servers, controller
        self.used_at = -math.inf
        self.untold: tuple[EndpointRecord, ...] = ()  # lines that its decisions hear with the next event

    @property
    def names(self) -> tuple[str, ...]:
        """Of its classes."""
        return tuple(kind.name for kind in self.servers.classes)

    def open_at(self, now: float) -> bool:
        """Whether a call is still to be answered."""
        return any(call.answer_by + OVER_S > now for call in self.controller.calls.values())


class Seen(Mapping[int, Endpoint]):
    """All servers in scope, as the decisions see them."""

    def __init__(self, scoped: ScopedController) -> None:
        self.scoped = scoped

    def __getitem__(self, server: int) -> Endpoint:
        scope = self.scoped.home(server)
        if scope is None:
            raise KeyError(server)
        return scope.controller.endpoints[server]

    def __iter__(self) -> Iterator[int]:
        return (server for scope in self.scoped.live.values() for server in scope.controller.endpoints)

    def __len__(self) -> int:
        return sum(len(scope.controller.endpoints) for scope in self.scoped.live.values())


class ScopedController:
    """The decisions of one softswitch on what its callers ask for. Stands where a Controller stands."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        config: ScopeConfig,
        changed: Changed = unheard,
    ) -> None:
        self.settings, self.rng, self.config, self.changed = settings, rng, config, changed
        self.lines: dict[int, EndpointRecord] = {}  # the whole list
        self.numbered: dict[int, dict[int, None]] = {}  # number -> the servers of that number
        self.gone: set[int] = set()  # in the list, until their set has forgotten them
        self.live: dict[Numbers, Scope] = {}
        self.owner: dict[int, Scope] = {}  # of each call that is not answered
        self.used: dict[str, float] = {}  # class -> when its last call came
        self.timers: dict[int, tuple[Scope, ...]] = {}  # label -> whom it wakes
        self.labels = count(PENDING_TIMER_ID)
        self.look_set, self.may_leave = False, False
        self.now = 0.0  # of the last event
        self.endpoints: Mapping[int, Endpoint] = Seen(self)
        self.sets: dict[Numbers, ServerSet] = {}
        self.place: dict[int, Numbers] = {}  # number -> the set it is in
        self.by_class: dict[str, tuple[tuple[int, ...] | None, Numbers]] = {}
        self._arrange()
        for each in self.sets.values():
            if each.keep:
                self._begin(each)

    # ---- the sets ----

    def _arrange(self) -> None:
        """Put the classes of the settings into sets."""
        made = server_sets(self.settings, self.config.services)
        self.sets = {each.numbers: each for each in made}
        self.place = {number: each.numbers for each in made for number in each.numbers or ()}
        self.by_class = {
            kind.name: (kind.allowed_servers, each.numbers) for each in made for kind in each.classes
        }

    def scope_at(self, number: int) -> Scope | None:
        """The set in scope that holds the servers of a number."""
        if None in self.live:
            return self.live[None]
        numbers = self.place.get(number)
        return self.live.get(numbers) if numbers is not None else None

    def in_scope(self, number: int) -> bool:
        """Whether the servers of a number are linked and told of."""
        return self.scope_at(number) is not None

    def home(self, server: int) -> Scope | None:
        """The set in scope that holds a server."""
        line = self.lines.get(server)
        return self.scope_at(line.number) if line is not None else None

    def lone(self) -> Scope | None:
        """Where there is one set only, it hears all that concerns none, as a Controller does."""
        return next(iter(self.live.values())) if len(self.sets) == len(self.live) == 1 else None

    def _listed_in(self, numbers: Numbers) -> tuple[EndpointRecord, ...]:
        found = list(self.lines)
        if numbers is not None:
            found = sorted(server for number in numbers for server in self.numbered.get(number, ()))
        return tuple(self.lines[server] for server in found if server not in self.gone)

    def _stray(self, numbers: frozenset[int], kind: CallClass | None) -> ServerSet:
        """A set of servers that are in none: for a class as it was, or a call on its way through."""
        settings = self.settings
        self.place.update(dict.fromkeys(numbers, numbers))
        classes = (kind,) if kind is not None else settings.classes
        return ServerSet(numbers, classes, settings.instance_count, settings.instance_index)

    def _set_for(self, kind: CallClass, choice: int, in_transit: bool) -> ServerSet:
        """The set that serves a call. A class as it was before a reload may reach into several sets now: the
        one with most of its servers serves the call, so that each call has one set to answer for it.
        """
        pools, numbers = self.by_class.get(kind.name, ((), frozenset()))
        known = kind.name in self.by_class and pools == kind.allowed_servers
        if None in self.sets or (known and not in_transit):
            return self.sets[None if None in self.sets else numbers]
        named = in_transit or (kind.allowed_servers is None and choice in self.place)
        asked = [choice] if named else self.place if kind.allowed_servers is None else kind.allowed_servers
        weight: dict[Numbers, int] = {}
        for number in asked:
            if number in self.place:
                at = self.place[number]
                weight[at] = weight.get(at, 0) + 1 + len(self.numbered.get(number, ()))
        if not weight:
            return self._set_at(frozenset(asked), kind)
        return self._set_at(max(weight, key=lambda at: weight[at]), kind)

    def _set_at(self, numbers: Numbers, kind: CallClass | None) -> ServerSet:
        if numbers in self.sets:
            return self.sets[numbers]
        if numbers in self.live:
            return self.live[numbers].servers
        return self._stray(numbers or frozenset(), kind)

    def _begin(self, servers: ServerSet) -> Scope:
        """A set comes into scope; nothing is known of its servers but the list."""
        controller = Controller(servers.tuned(self.settings), self.rng)
        scope = self.live[servers.numbers] = Scope(next(self.labels), servers, controller)
        scope.untold = self._listed_in(servers.numbers)
        self.may_leave = self.may_leave or not servers.keep
        return scope

    def _leave(self, scope: Scope) -> None:
        numbers = scope.servers.numbers
        del self.live[numbers]
        if numbers not in self.sets:
            self.place = {number: at for number, at in self.place.items() if at != numbers}
        self.changed(numbers, scope.names, False)

    def _look(self, now: float) -> None:
        """Let go of what has not been used for long. Calls that stand are the core's alone."""
        self.owner = {call: at for call, at in self.owner.items() if call in at.controller.calls}
        for scope in list(self.live.values()):
            unused = now - scope.used_at >= self.config.idle_s
            if unused and not scope.servers.keep and not scope.open_at(now):
                self.owner = {call: at for call, at in self.owner.items() if at is not scope}
                self._leave(scope)
        self.may_leave = any(not scope.servers.keep for scope in self.live.values())

    # ---- events ----

    def handle(self, now: float, event: Event) -> Iterator[Action]:
        """Take one event to the set that it concerns; yield what is to be done."""
        self.now = now
        match event:
            case EndpointsUpdated():
                yield from self._list(now, event)
            case CallOffered():
                yield from self._offer(now, event)
            case CallEstablished() | AttemptEnded():
                yield from self._attempt(now, event)
            case CallAbandoned():
                yield from self._tell(now, self.owner.get(event.call_id) or self.lone(), event)
            case LoadReported():
                yield from self._tell(now, self.home(event.server_id) or self.lone(), event)
            case TimerExpired(label) if label == LOOK:
                self.look_set = False
                self._look(now)
            case TimerExpired():
                for scope in self.timers.pop(event.timer_id, ()):
                    yield from self._tell(now, scope, TimerExpired(PENDING_TIMER_ID))
            case _:
                yield from self._tell(now, self.lone(), event)
        if self.may_leave and not self.look_set:
            self.look_set = True
            yield SetTimer(self.config.idle_s / LOOKS, LOOK)

    def _tell(self, now: float, scope: Scope | None, event: Event) -> Iterator[Action]:
        """Have one set's decisions take an event."""
        if scope is None:
            return
        if scope.untold:
            lines, scope.untold = scope.untold, ()
            scope.controller.parts.registry.update(now, EndpointsUpdated(lines, complete=False))
        for action in scope.controller.handle(now, event):
            match action:
                case SetTimer(delay_s, _):
                    self.timers[scope.label] = (scope,)
                    yield SetTimer(delay_s, scope.label)
                case RejectCall(call) | FailCall(call):
                    self.owner.pop(call, None)
                    yield action
                case _:
                    yield action
        if not isinstance(event, CallOffered | CallEstablished | AttemptEnded | CallAbandoned):
            return
        if self.owner.get(event.call_id) is scope and event.call_id not in scope.controller.calls:
            del self.owner[event.call_id]

    def _offer(self, now: float, event: CallOffered) -> Iterator[Action]:
        kind = event.call_class
        if kind is None:
            if self.lone() is None:
                yield FailCall(event.call_id)
            yield from self._tell(now, self.lone(), event)
            return
        servers = self._set_for(kind, event.preferred_number, event.in_transit)
        scope = self.live.get(servers.numbers)
        if scope is None:
            scope = self._begin(servers)
            self.changed(servers.numbers, scope.names, True)
        scope.used_at = self.used[kind.name] = now
        self.owner[event.call_id] = scope
        yield from self._tell(now, scope, event)

    def _attempt(self, now: float, event: CallEstablished | AttemptEnded) -> Iterator[Action]:
        """An attempt's end goes to the set of the call. Where its server is in another by now, that one
        learns from it, as from the end of a call that has its answer.
        """
        owner, home = self.owner.get(event.call_id), self.home(event.server_id)
        if owner is not None and home is not None and owner is not home:
            learnt = replace(event, answered=True) if isinstance(event, AttemptEnded) else event
            yield from self._tell(now, home, learnt)
        yield from self._tell(now, owner or home or self.lone(), event)

    # ---- the list ----

    def _list(self, now: float, event: EndpointsUpdated) -> Iterator[Action]:
        """Keep the whole list, and tell each set in scope what is news of its own servers."""
        if event.complete:
            named = {line.server_id for line in event.endpoints}
            for server, line in self.lines.items():
                if server not in named:
                    self.lines[server] = replace(line, availability=Availability.GONE)
                    self.gone.add(server)
        told: dict[Numbers, list[EndpointRecord]] = {}
        for line in event.endpoints:
            self._note(line)
            scope = self.scope_at(line.number)
            if scope is not None:
                told.setdefault(scope.servers.numbers, []).append(line)
        only = self.lone()
        for numbers, scope in list(self.live.items()):
            if event.complete or numbers in told or scope is only:
                news = EndpointsUpdated(tuple(told.get(numbers, ())), event.complete)
                scope.untold = () if event.complete else scope.untold
                yield from self._tell(now, scope, news)
        for server in list(self.gone):
            home = self.home(server)
            if home is None or server not in home.controller.endpoints:
                self.gone.discard(server)
                self.numbered[self.lines.pop(server).number].pop(server, None)

    def _note(self, line: EndpointRecord) -> None:
        """One line of the list. A server whose number changes takes what was learnt of it to its new set."""
        old = self.lines.get(line.server_id)
        if old is not None and old.number != line.number:
            before, after = self.scope_at(old.number), self.scope_at(line.number)
            if before is not after and before is not None:
                known = before.controller.endpoints.pop(line.server_id, None)
                if known is not None and after is not None:
                    after.controller.endpoints[line.server_id] = known
            self.numbered[old.number].pop(line.server_id, None)
        self.lines[line.server_id] = line
        self.numbered.setdefault(line.number, {})[line.server_id] = None
        if line.availability is Availability.GONE:
            self.gone.add(line.server_id)
        else:
            self.gone.discard(line.server_id)

    # ---- other settings ----

    def update_settings(self, settings: Settings, config: ScopeConfig | None = None) -> None:
        """Take other settings. Sets whose numbers stay go on as they are; those that merge or fall apart hand
        on their servers, their open calls and what was learnt. An open call goes on in one set.
        """
        self.settings, self.config = settings, config or self.config
        was = self.live
        self._arrange()
        self.live = {}
        parting: list[Scope] = []
        for numbers, scope in was.items():
            if numbers in self.sets:
                scope.servers = self.sets[numbers]
            elif numbers is None or None in self.sets or any(number in self.place for number in numbers):
                parting.append(scope)
                scope.controller.update_settings(
                    settings
                )  # the patience of all classes, whatever set they are in
                continue
            else:  # its classes have gone, or gone elsewhere: it ends by itself
                scope.servers = replace(
                    scope.servers, softswitches=settings.instance_count, me=settings.instance_index
                )
                self.place.update(dict.fromkeys(numbers, numbers))
            scope.controller.update_settings(scope.servers.tuned(settings))
            self.live[numbers] = scope
        taken = self._hand_on(parting)
        for servers in self.sets.values():
            used_at = max(self.used.get(kind.name, -math.inf) for kind in servers.classes)
            lately = self.now - used_at < self.config.idle_s
            if servers.numbers not in self.live and (servers.keep or (lately and servers.numbers in taken)):
                self._build(servers, parting)
        self._hand_on_timers(parting)
        self.owner = {call: at for call, at in self.owner.items() if at not in parting}
        self.may_leave = any(not scope.servers.keep for scope in self.live.values())
        before = set(was.values())
        for scope in [each for each in self.live.values() if each not in before]:
            self.changed(scope.servers.numbers, scope.names, True)
        for scope in parting:
            self.changed(scope.servers.numbers, scope.names, False)

    def _hand_on(self, parting: list[Scope]) -> set[Numbers]:
        """Find each open call of sets that are no more its new one; returns the sets that replace them."""
        for old in parting:
            for call in list(old.controller.calls.values()):
                servers = self._set_for(call.call_class, call.preferred_number, call.in_transit)
                new = self.live.get(servers.numbers) or self._build(servers, parting)
                new.controller.calls[call.id] = call
                if call.id in old.controller.pending:
                    new.controller.pending.add(call)
                self.owner[call.id] = new
        held = {number for old in parting for number in old.servers.numbers or ()}
        everything = any(old.servers.numbers is None for old in parting)
        return {
            numbers for numbers in self.sets if numbers is None or everything or not held.isdisjoint(numbers)
        }

    def _build(self, servers: ServerSet, parting: list[Scope]) -> Scope:
        """A set made of others, with what they had learnt of its servers."""
        scope = self._begin(servers)
        new = scope.controller
        mine = [
            old for old in parting
            if servers.numbers is None or old.servers.numbers is None
            or not old.servers.numbers.isdisjoint(servers.numbers)
        ]  # fmt: skip
        for old in parting:  # a class may come from a set that shares no server with this one
            names = {kind.name for kind in servers.classes}
            known_timeouts = old.controller.parts.caller_retries.usual_timeout_s.items()
            new.parts.caller_retries.usual_timeout_s.update((n, s) for n, s in known_timeouts if n in names)
        for old in mine:
            scope.used_at = max(scope.used_at, old.used_at)
            for server, known in old.controller.endpoints.items():
                if servers.numbers is None or known.number in servers.numbers:
                    new.endpoints[server] = known
            for called, backoff in old.controller.parts.backoffs.by_number.items():
                new.parts.backoffs.by_number[called] = replace(backoff)
        scope.untold = tuple(line for line in scope.untold if line.server_id not in new.endpoints)
        if mine:
            self._average(new, [old.controller for old in mine])
        return scope

    @staticmethod
    def _average(new: Controller, olds: list[Controller]) -> None:
        """What was learnt of calls. Of the use of lines the least counts: it bounds cold servers."""
        peaks = [old.parts.slow_start.peak_utilization for old in olds]
        new.parts.slow_start.peak_utilization = replace(min(peaks, key=lambda peak: peak.value))
        new.parts.durations.expected.merge(old.parts.durations.expected for old in olds)
        new.parts.durations.observed.merge(old.parts.durations.observed for old in olds)

    def _hand_on_timers(self, parting: list[Scope]) -> None:
        """A timer that is out wakes those who took its set's calls."""
        woken: set[int] = set()
        for label, scopes in list(self.timers.items()):
            if not any(scope in parting for scope in scopes):
                continue
            heirs = [s for s in self.live.values() if s.controller.pending and s.label not in woken]
            heirs = [s for s in heirs if not s.controller.timer_set]
            self.timers[label] = tuple(heirs)
            for heir in heirs:
                heir.controller.timer_set = True
                woken.add(heir.label)

    # ---- what the core asks ----

    def is_warming_up(self, now: float, server: Endpoint) -> bool:
        """Whether a server in scope may not be warm."""
        scope = self.scope_at(server.number)
        return scope is not None and scope.controller.is_warming_up(now, server)

    def slow_start_slots(self, now: float, server: Endpoint) -> float:
        """This softswitch's turns at a cold server in a span."""
        scope = self.scope_at(server.number)
        return scope.controller.slow_start_slots(now, server) if scope is not None else 0.0
