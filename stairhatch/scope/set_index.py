"""Which set a class or a server's number belongs to, as the settings have it.

Besides the sets of the settings it knows stray numbers: those of servers that no class may use any more, or
that only a call in transit names. They make sets of their own until these leave the scope.
"""

from __future__ import annotations

from collections.abc import Iterable

from stairhatch.overload.settings import CallClass, Settings
from stairhatch.scope.config import ServiceConfig
from stairhatch.scope.server_sets import ServerNumbers, ServerSet, server_sets


class SetIndex:
    """The sets of the settings, by class and by number."""

    def __init__(self, settings: Settings, services: Iterable[ServiceConfig]) -> None:
        """Index the sets of the settings."""
        self.rebuild(settings, services)

    def rebuild(self, settings: Settings, services: Iterable[ServiceConfig]) -> None:
        """Take other settings; stray numbers are forgotten."""
        made = server_sets(settings, services)
        self._settings = settings
        self.sets: dict[ServerNumbers, ServerSet] = {each.numbers: each for each in made}
        self.set_of_number: dict[int, frozenset[int]] = {
            number: each.numbers for each in made if each.numbers is not None for number in each.numbers
        }
        self._by_class = {kind.name: (kind.allowed_servers, each) for each in made for kind in each.classes}

    def set_of_class(self, call_class: CallClass) -> ServerSet | None:
        """The set of a class; None where the settings have no class of that name and those servers."""
        allowed_servers, server_set = self._by_class.get(call_class.name, (None, None))
        return server_set if allowed_servers == call_class.allowed_servers else None

    def has_any(self, numbers: frozenset[int]) -> bool:
        """Whether one of the numbers belongs to a set."""
        return any(number in self.set_of_number for number in numbers)

    def add_stray_numbers(self, numbers: frozenset[int]) -> None:
        """Have numbers that belong to no set of the settings make one."""
        self.set_of_number.update(dict.fromkeys(numbers, numbers))

    def remove_stray_numbers(self, numbers: ServerNumbers) -> None:
        """Forget a set's numbers, unless it is one of the settings."""
        if numbers not in self.sets:
            self.set_of_number = {n: each for n, each in self.set_of_number.items() if each != numbers}

    def stray_set(self, numbers: frozenset[int], call_class: CallClass) -> ServerSet:
        """A set of stray numbers, for a class as it was or a call in transit."""
        self.add_stray_numbers(numbers)
        settings = self._settings
        return ServerSet(numbers, (call_class,), settings.instance_count, settings.instance_index)
