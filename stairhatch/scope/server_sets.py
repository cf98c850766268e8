"""Sets of classes that share servers: owns how classes fall into them and what the operators tell of each. It
must never know a call, a server's state or who decides.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from stairhatch.overload.settings import CallClass, Settings

Numbers = frozenset[int] | None  # of servers; None: of all


@dataclass(frozen=True, slots=True)
class Service:
    """What the operators tell of some classes: `[[scope.services]]` of the appliance's file."""

    classes: tuple[str, ...]
    softswitches: int | None = None  # how many ever have calls of these classes; None: the whole fleet
    me: int = -1  # which of those this one is; -1: it does not know
    keep: bool = False  # in scope from the start to the end


@dataclass(frozen=True, slots=True)
class ScopeConfig:
    """`[scope]` of the appliance's file."""

    idle_s: float = 600.0  # a set without a call for so long leaves
    services: tuple[Service, ...] = ()


@dataclass(frozen=True, slots=True)
class ServerSet:
    """Classes of which none shares a server with one outside, and the numbers of their servers."""

    numbers: Numbers
    classes: tuple[CallClass, ...]
    softswitches: int
    me: int
    keep: bool = False

    def tuned(self, settings: Settings) -> Settings:
        """The settings for the decisions on this set."""
        return replace(
            settings, classes=self.classes, instance_count=self.softswitches, instance_index=self.me
        )


def groups(classes: Iterable[CallClass]) -> list[tuple[Numbers, list[CallClass]]]:
    """The connected components of classes by the numbers they may use, in the order of their first class. One
    class that may use any server makes one group of all.
    """
    kinds = list(classes)
    if any(kind.allowed_servers is None for kind in kinds):
        return [(None, kinds)]
    above: dict[int, int] = {}

    def root(number: int) -> int:
        while above[number] != number:
            above[number] = number = above[above[number]]
        return number

    for kind in kinds:
        for number in kind.allowed_servers or ():
            above.setdefault(number, number)
            above[root(number)] = root((kind.allowed_servers or ())[0])
    found: dict[int | None, tuple[set[int], list[CallClass]]] = {}
    for kind in kinds:
        numbers, members = found.setdefault(
            root(kind.allowed_servers[0]) if kind.allowed_servers else None, (set(), [])
        )
        numbers.update(kind.allowed_servers or ())
        members.append(kind)
    return [(frozenset(numbers), members) for numbers, members in found.values()]


def disagreement(settings: Settings, services: Iterable[Service]) -> str:
    """Two classes that share servers and are told of different softswitches; "" if there are none.
    The figure divides what all may send together, so it is never guessed from one of them.
    """
    told = {name: (each.softswitches, each.me) for each in services for name in each.classes}
    for _, members in groups(settings.classes):
        first = members[0].name
        for kind in members[1:]:
            if told.get(kind.name, (None, -1)) != told.get(first, (None, -1)):
                return f"{first} and {kind.name} share servers: tell the same softswitches and me for both"
    return ""


def server_sets(settings: Settings, services: Iterable[Service]) -> tuple[ServerSet, ...]:
    """All sets. Where the classes of one differ in what is told of them, it counts as the whole fleet's."""
    by_class = {name: each for each in services for name in each.classes}
    sets = []
    for numbers, members in groups(settings.classes):
        told = [by_class.get(kind.name, Service(())) for kind in members]
        share, me = settings.instance_count, settings.instance_index
        figures = {(each.softswitches, each.me) for each in told}
        figure, index = figures.pop() if len(figures) == 1 else (None, -1)
        if figure is not None and figure < settings.instance_count:
            share, me = figure, index if index < figure else -1
        sets.append(ServerSet(numbers, tuple(members), share, me, any(each.keep for each in told)))
    return tuple(sets)
