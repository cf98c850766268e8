"""The call classes in force, and the former ones for as long as callers may still name them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from stairhatch.overload.settings import CallClass

FORMER_CLASS_S = 2.0  # how long a former class is known: callers name one that is no more for 1.2 s


class _FormerClass(NamedTuple):
    """A class as it was before a reload."""

    call_class: CallClass
    known_until: float


class CallClasses:
    """The call classes by name.

    A class that a reload took away or changed is remembered for `FORMER_CLASS_S`: its callers have not heard
    of it yet.
    """

    def __init__(self, classes: Iterable[CallClass], clock: Callable[[], float]) -> None:
        """Put these classes in force."""
        self._clock = clock
        self._by_name = {call_class.name: call_class for call_class in classes}
        self._former: dict[str, _FormerClass] = {}

    def replace(self, classes: Iterable[CallClass]) -> None:
        """Put other classes in force."""
        now = self._clock()
        until = now + FORMER_CLASS_S
        self._former = {name: former for name, former in self._former.items() if former.known_until > now}
        self._former.update((name, _FormerClass(each, until)) for name, each in self._by_name.items())
        self._by_name = {call_class.name: call_class for call_class in classes}

    def named(self, name: str) -> CallClass | None:
        """The class of that name, in force or former; None where there is none."""
        found = self._by_name.get(name)
        if found is None and name in self._former and self._former[name].known_until > self._clock():
            found = self._former[name].call_class
        return found

    def longest_deadline_s(self, call_class: CallClass) -> float:
        """The deadline of a class, or the one it had before a reload if that was longer."""
        former = self._former.get(call_class.name)
        if former is None or former.known_until <= self._clock():
            return max(call_class.deadline_s, 0.0)
        return max(call_class.deadline_s, former.call_class.deadline_s)
