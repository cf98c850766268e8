"""Call classes in force, and former classes for as long as callers may still use them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from stairhatch.overload.settings import CallClass

FORMER_CLASS_S = 2.0  # a former class is kept this long: callers use it for up to 1.2 s after a reload


class _FormerClass(NamedTuple):
    """A call class as it was before a reload, and the clock time until which it is accepted."""

    call_class: CallClass
    known_until: float


class CallClasses:
    """Registry of the call classes by name.

    A class that a reload removed or changed is kept for `FORMER_CLASS_S`, because callers learn of the reload
    later than this process.
    """

    def __init__(self, classes: Iterable[CallClass], clock: Callable[[], float]) -> None:
        """Start with these classes in force; `clock` returns the time in seconds."""
        self._clock = clock
        self._by_name = {call_class.name: call_class for call_class in classes}
        self._former: dict[str, _FormerClass] = {}

    def replace(self, classes: Iterable[CallClass]) -> None:
        """Replace the classes in force and keep the previous ones as former classes."""
        now = self._clock()
        until = now + FORMER_CLASS_S
        self._former = {name: former for name, former in self._former.items() if former.known_until > now}
        self._former.update((name, _FormerClass(each, until)) for name, each in self._by_name.items())
        self._by_name = {call_class.name: call_class for call_class in classes}

    def named(self, name: str) -> CallClass | None:
        """Return the class in force with this name, else the former one; None if neither exists."""
        found = self._by_name.get(name)
        if found is None and name in self._former and self._former[name].known_until > self._clock():
            found = self._former[name].call_class
        return found

    def longest_deadline_s(self, call_class: CallClass) -> float:
        """Return the deadline of a class in seconds, or the longer one from before a recent reload."""
        former = self._former.get(call_class.name)
        if former is None or former.known_until <= self._clock():
            return max(call_class.deadline_s, 0.0)
        return max(call_class.deadline_s, former.call_class.deadline_s)
