"""The sets in scope: lookup by number, server or call, and the entry and removal of sets."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Mapping
from itertools import count

from stairhatch.overload.controller import PENDING_TIMER_ID, Controller
from stairhatch.overload.endpoint import Endpoint
from stairhatch.overload.settings import CallClass, Settings
from stairhatch.scope.listed_endpoints import ListedEndpoints
from stairhatch.scope.scoped_set import ScopedSet
from stairhatch.scope.server_sets import ServerNumbers, ServerSet
from stairhatch.scope.set_index import SetIndex


class SetsInScope:
    """The sets in scope, by the numbers of their servers. All controllers share one random source."""

    def __init__(self, settings: Settings, rng: random.Random, index: SetIndex) -> None:
        """Start without a set in scope and without a listed endpoint."""
        self.settings = settings
        self.index = index
        self.listed = ListedEndpoints()
        self.by_numbers: dict[ServerNumbers, ScopedSet] = {}
        self.has_removable_sets = False  # whether any set in scope may leave once it is idle
        self._rng = rng
        self._timer_ids = count(PENDING_TIMER_ID)

    def at_number(self, number: int) -> ScopedSet | None:
        """Return the set in scope to which servers with this number belong; None if there is none."""
        if None in self.by_numbers:
            return self.by_numbers[None]
        numbers = self.index.set_of_number.get(number)
        return self.by_numbers.get(numbers) if numbers is not None else None

    def of_server(self, server_id: int) -> ScopedSet | None:
        """Return the set in scope that a server belongs to; None if there is none or it is not listed."""
        record = self.listed.by_id.get(server_id)
        return self.at_number(record.number) if record is not None else None

    def only_set(self) -> ScopedSet | None:
        """Return the set in scope if the settings define only one and no other is in scope, else None.

        The only set gets the events that belong to no set, as a single controller does.
        """
        if len(self.index.sets) != 1 or len(self.by_numbers) != 1:
            return None
        return next(iter(self.by_numbers.values()))

    def enter(self, server_set: ServerSet) -> ScopedSet:
        """Bring a set into scope and return it; its controller gets the endpoint list but no other state."""
        controller = Controller(server_set.settings_for(self.settings), self._rng)
        scoped_set = ScopedSet(next(self._timer_ids), server_set, controller)
        scoped_set.unsent_records = self.listed.records_of(server_set.numbers)
        self.by_numbers[server_set.numbers] = scoped_set
        self.has_removable_sets = self.has_removable_sets or not server_set.always_in_scope
        return scoped_set

    def leave(self, scoped_set: ScopedSet) -> None:
        """Remove a set from the scope and discard all that was learned of its servers."""
        numbers = scoped_set.server_set.numbers
        del self.by_numbers[numbers]
        self.index.remove_stray_numbers(numbers)

    def update_has_removable_sets(self) -> None:
        """Recompute whether any set in scope may leave it."""
        self.has_removable_sets = any(
            not each.server_set.always_in_scope for each in self.by_numbers.values()
        )

    def server_set_for(self, call_class: CallClass, preferred_number: int, in_transit: bool) -> ServerSet:
        """Return the set that serves a call, in scope or not.

        The servers of a class from before a reload may belong to several sets now. The set with the most of
        them serves the call, so that exactly one set answers each call.
        """
        if None in self.index.sets:
            return self.index.sets[None]
        own = self.index.set_of_class(call_class)
        if own is not None and not in_transit:
            return own
        numbers = list(self._candidate_numbers(call_class, preferred_number, in_transit))
        weights: dict[frozenset[int], int] = {}
        for number in numbers:
            if number in self.index.set_of_number:
                candidate = self.index.set_of_number[number]
                weights[candidate] = weights.get(candidate, 0) + 1 + self.listed.count_at(number)
        if not weights:
            return self._server_set_of(frozenset(numbers), call_class)
        return self._server_set_of(max(weights, key=lambda each: weights[each]), call_class)

    def _candidate_numbers(
        self, call_class: CallClass, preferred_number: int, in_transit: bool
    ) -> Iterable[int]:
        """Return the numbers of the servers that a call may be sent to."""
        allowed = call_class.allowed_servers
        if in_transit or (allowed is None and preferred_number in self.index.set_of_number):
            return (preferred_number,)
        return self.index.set_of_number if allowed is None else allowed

    def _server_set_of(self, numbers: frozenset[int], call_class: CallClass) -> ServerSet:
        """Return the set with exactly these numbers: of the settings, else in scope, else a new stray set."""
        if numbers in self.index.sets:
            return self.index.sets[numbers]
        if numbers in self.by_numbers:
            return self.by_numbers[numbers].server_set
        return self.index.stray_set(numbers, call_class)


class EndpointsInScope(Mapping[int, Endpoint]):
    """Read-only mapping of server ids in scope to the endpoints that the sets' controllers hold."""

    def __init__(self, sets: SetsInScope) -> None:
        """Create a view of `sets`, which follows later changes of the scope."""
        self._sets = sets

    def __getitem__(self, server_id: int) -> Endpoint:
        """Return the endpoint of a server; KeyError if the server is not in scope."""
        scoped_set = self._sets.of_server(server_id)
        if scoped_set is None:
            raise KeyError(server_id)
        return scoped_set.controller.endpoints[server_id]

    def __iter__(self) -> Iterator[int]:
        """Iterate over the server ids, one set after the other."""
        in_scope = self._sets.by_numbers.values()
        return (server_id for each in in_scope for server_id in each.controller.endpoints)

    def __len__(self) -> int:
        """Return the number of endpoints in scope."""
        return sum(len(each.controller.endpoints) for each in self._sets.by_numbers.values())
