"""Grouping of call classes into sets by the servers that they share.

A set is a connected component: no class of one set may use a server of another. The module uses the settings
alone, neither calls nor the state of servers.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from stairhatch.overload.settings import UNKNOWN_INSTANCE, CallClass, Settings
from stairhatch.scope.config import ServiceConfig

ServerNumbers = frozenset[int] | None  # None: all servers, whatever their number


class ConflictingServicesError(ValueError):
    """The configuration names different softswitches for call classes that share servers."""


@dataclass(frozen=True, slots=True)
class ServerSet:
    """A group of call classes that shares no server with other classes, and the numbers of its servers."""

    numbers: ServerNumbers
    classes: tuple[CallClass, ...]
    instance_count: int  # softswitches that share the servers
    instance_index: int  # of this softswitch among them
    always_in_scope: bool = False

    def settings_for(self, settings: Settings) -> Settings:
        """Return `settings` with the call classes, instance count and instance index of this set."""
        return replace(
            settings,
            classes=self.classes,
            instance_count=self.instance_count,
            instance_index=self.instance_index,
        )

    def has_number(self, number: int) -> bool:
        """Return whether the servers with this number belong to this set."""
        return self.numbers is None or number in self.numbers

    def shares_servers_with(self, other: ServerSet) -> bool:
        """Return whether a server may belong to both sets."""
        if self.numbers is None or other.numbers is None:
            return True
        return not self.numbers.isdisjoint(other.numbers)


class _DisjointNumbers:
    """Union-find structure over server numbers."""

    def __init__(self) -> None:
        self.parents: dict[int, int] = {}

    def root(self, number: int) -> int:
        """Return the representative of the numbers joined with this one; KeyError if it was never joined."""
        parents = self.parents
        while parents[number] != number:
            parents[number] = number = parents[parents[number]]
        return number

    def join(self, numbers: Sequence[int]) -> None:
        """Join these numbers with each other and with all numbers that any of them is joined with."""
        for number in numbers:
            self.parents.setdefault(number, number)
            self.parents[self.root(number)] = self.root(numbers[0])


def group_classes(classes: Iterable[CallClass]) -> list[tuple[ServerNumbers, list[CallClass]]]:
    """Return the connected components of classes that share server numbers, with all numbers of each.

    They are in the order of their first class. If any class may use any server, all classes form one group.
    """
    all_classes = list(classes)
    if any(each.allowed_servers is None for each in all_classes):
        return [(None, all_classes)]
    joined = _DisjointNumbers()
    for each in all_classes:
        joined.join(each.allowed_servers or ())
    groups: dict[int | None, tuple[set[int], list[CallClass]]] = {}
    for each in all_classes:
        allowed = each.allowed_servers or ()
        numbers, members = groups.setdefault(joined.root(allowed[0]) if allowed else None, (set(), []))
        numbers.update(allowed)
        members.append(each)
    return [(frozenset(numbers), members) for numbers, members in groups.values()]


def check_services(settings: Settings, services: Iterable[ServiceConfig]) -> None:
    """Raise ConflictingServicesError if classes that share servers are configured for different softswitches.

    The instance count divides what all softswitches together may send to a warming server, so it is never
    guessed from one of the classes.
    """
    instances_of = {
        name: (each.instance_count, each.instance_index) for each in services for name in each.classes
    }
    whole_fleet = (None, UNKNOWN_INSTANCE)
    for _, members in group_classes(settings.classes):
        first = members[0].name
        for each in members[1:]:
            if instances_of.get(each.name, whole_fleet) != instances_of.get(first, whole_fleet):
                raise ConflictingServicesError(
                    f"{first} and {each.name} share servers; their keys softswitches and me must be equal"
                )


def server_sets(settings: Settings, services: Iterable[ServiceConfig]) -> tuple[ServerSet, ...]:
    """Return all sets. A set whose classes name different softswitches counts as used by the whole fleet."""
    service_of = {name: each for each in services for name in each.classes}
    sets = []
    for numbers, members in group_classes(settings.classes):
        configured = [service_of.get(each.name, ServiceConfig(())) for each in members]
        count, index = _instances(settings, configured)
        always = any(each.always_in_scope for each in configured)
        sets.append(ServerSet(numbers, tuple(members), count, index, always))
    return tuple(sets)


def _instances(settings: Settings, configured: Iterable[ServiceConfig]) -> tuple[int, int]:
    """Return how many softswitches share the servers of a set, and the index of this one among them.

    The values are the whole fleet's if the services disagree, or their count is missing or not below the
    fleet's. The index is UNKNOWN_INSTANCE if it is not below the count.
    """
    configured_pairs = {(each.instance_count, each.instance_index) for each in configured}
    count, index = configured_pairs.pop() if len(configured_pairs) == 1 else (None, UNKNOWN_INSTANCE)
    if count is None or count >= settings.instance_count:
        return settings.instance_count, settings.instance_index
    return count, index if index < count else UNKNOWN_INSTANCE
