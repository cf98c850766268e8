"""How call classes form sets by the servers that they share.

A set is a connected component: no class of one may use a server of another. Nothing here knows a call or the
state of a server.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from stairhatch.overload.settings import UNKNOWN_INSTANCE, CallClass, Settings
from stairhatch.scope.config import ServiceConfig

ServerNumbers = frozenset[int] | None  # None: the numbers of all servers


class ConflictingServicesError(ValueError):
    """Classes that share servers are configured with different softswitches."""


@dataclass(frozen=True, slots=True)
class ServerSet:
    """Classes none of which shares a server with a class outside, and the numbers of their servers."""

    numbers: ServerNumbers
    classes: tuple[CallClass, ...]
    instance_count: int  # of softswitches that share the servers
    instance_index: int
    always_in_scope: bool = False

    def settings_for(self, settings: Settings) -> Settings:
        """The settings for the decisions on this set."""
        return replace(
            settings,
            classes=self.classes,
            instance_count=self.instance_count,
            instance_index=self.instance_index,
        )

    def has_number(self, number: int) -> bool:
        """Whether the servers of a number are of this set."""
        return self.numbers is None or number in self.numbers

    def shares_servers_with(self, other: ServerSet) -> bool:
        """Whether some server may be of both."""
        if self.numbers is None or other.numbers is None:
            return True
        return not self.numbers.isdisjoint(other.numbers)


class _DisjointNumbers:
    """A union-find over the numbers of servers."""

    def __init__(self) -> None:
        self.parents: dict[int, int] = {}

    def root(self, number: int) -> int:
        """The representative of all numbers that were joined with this one."""
        parents = self.parents
        while parents[number] != number:
            parents[number] = number = parents[parents[number]]
        return number

    def join(self, numbers: Sequence[int]) -> None:
        """Join these numbers, and all that were joined with any of them."""
        for number in numbers:
            self.parents.setdefault(number, number)
            self.parents[self.root(number)] = self.root(numbers[0])


def group_classes(classes: Iterable[CallClass]) -> list[tuple[ServerNumbers, list[CallClass]]]:
    """The connected components of classes by the numbers they may use, in the order of their first class.

    One class that may use any server makes one group of all.
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
    """ConflictingServicesError where two classes share servers and name different softswitches.

    The figure divides what all may send together, so it is never guessed from one of them.
    """
    told = {name: (each.instance_count, each.instance_index) for each in services for name in each.classes}
    whole_fleet = (None, UNKNOWN_INSTANCE)
    for _, members in group_classes(settings.classes):
        first = members[0].name
        for each in members[1:]:
            if told.get(each.name, whole_fleet) != told.get(first, whole_fleet):
                raise ConflictingServicesError(
                    f"{first} and {each.name} share servers: tell the same softswitches and me for both"
                )


def server_sets(settings: Settings, services: Iterable[ServiceConfig]) -> tuple[ServerSet, ...]:
    """All sets. One whose classes name different softswitches counts as the whole fleet's."""
    service_of = {name: each for each in services for name in each.classes}
    sets = []
    for numbers, members in group_classes(settings.classes):
        told = [service_of.get(each.name, ServiceConfig(())) for each in members]
        count, index = _instances(settings, told)
        always = any(each.always_in_scope for each in told)
        sets.append(ServerSet(numbers, tuple(members), count, index, always))
    return tuple(sets)


def _instances(settings: Settings, told: Iterable[ServiceConfig]) -> tuple[int, int]:
    """How many softswitches share the servers of a set, and which of them this one is."""
    figures = {(each.instance_count, each.instance_index) for each in told}
    count, index = figures.pop() if len(figures) == 1 else (None, UNKNOWN_INSTANCE)
    if count is None or count >= settings.instance_count:
        return settings.instance_count, settings.instance_index
    return count, index if index < count else UNKNOWN_INSTANCE
