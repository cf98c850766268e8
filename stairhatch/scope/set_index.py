"""Index of the sets that the settings define, by call class and by server number.

The index also holds stray numbers: numbers of servers that no class may use any more, or to which only a call
in transit is addressed. Stray numbers form sets of their own until these sets leave the scope.
"""

from __future__ import annotations

from collections.abc import Iterable

from stairhatch.overload.settings import CallClass, Settings
from stairhatch.scope.config import ServiceConfig
from stairhatch.scope.server_sets import ServerNumbers, ServerSet, server_sets


class SetIndex:
    """Index of the sets of the settings by call class and by server number, with the stray numbers."""

    def __init__(self, settings: Settings, services: Iterable[ServiceConfig]) -> None:
        """Index the sets of the settings."""
        self.rebuild(settings, services)

    def rebuild(self, settings: Settings, services: Iterable[ServiceConfig]) -> None:
        """Index the sets of new settings and drop all stray numbers."""
        new_sets = server_sets(settings, services)
        self._settings = settings
        self.sets: dict[ServerNumbers, ServerSet] = {each.numbers: each for each in new_sets}
        self.set_of_number: dict[int, frozenset[int]] = {
            number: each.numbers for each in new_sets if each.numbers is not None for number in each.numbers
        }
        self._by_class = {
            call_class.name: (call_class.allowed_servers, each)
            for each in new_sets
            for call_class in each.classes
        }

    def set_of_class(self, call_class: CallClass) -> ServerSet | None:
        """Return the set of a class; None if the settings have no class with this name and these servers."""
        allowed_servers, server_set = self._by_class.get(call_class.name, (None, None))
        return server_set if allowed_servers == call_class.allowed_servers else None

    def has_any(self, numbers: frozenset[int]) -> bool:
        """Return whether any of the numbers belongs to a set."""
        return any(number in self.set_of_number for number in numbers)

    def add_stray_numbers(self, numbers: frozenset[int]) -> None:
        """Make one set of numbers that belong to no set of the settings."""
        self.set_of_number.update(dict.fromkeys(numbers, numbers))

    def remove_stray_numbers(self, numbers: ServerNumbers) -> None:
        """Drop the numbers of a set, unless it is a set of the settings."""
        if numbers not in self.sets:
            self.set_of_number = {n: each for n, each in self.set_of_number.items() if each != numbers}

    def stray_set(self, numbers: frozenset[int], call_class: CallClass) -> ServerSet:
        """Add stray numbers; return their set, for a class from before a reload or for a call in transit."""
        self.add_stray_numbers(numbers)
        settings = self._settings
        return ServerSet(numbers, (call_class,), settings.instance_count, settings.instance_index)
