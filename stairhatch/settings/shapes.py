"""Shapes of decoded values: the values that a key may have, and the documented keys of an object."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from stairhatch.settings.errors import InvalidValueError

MAX_SECONDS = 1e6  # of any time: a longer time is a typing error, and would overflow a timer
MAX_COUNT = 10**7


class NumberShape(NamedTuple):
    """Shape of a number within bounds. JSON's true and false, NaN and Infinity are rejected."""

    minimum: float = 0.0
    maximum: float = MAX_SECONDS
    exclusive_minimum: bool = False  # the minimum itself is not allowed
    integer: bool = False

    def check(self, value: Any, path: str) -> None:
        """Raise InvalidValueError if the value is not a number of this shape."""
        if isinstance(value, bool) or not isinstance(value, int if self.integer else int | float):
            raise InvalidValueError(path, f"must be a {'whole ' if self.integer else ''}number", value)
        in_range = self.minimum <= value <= self.maximum
        if not in_range or (self.exclusive_minimum and value == self.minimum):
            lower_bound = f"{'above' if self.exclusive_minimum else 'at least'} {self.minimum:g}"
            raise InvalidValueError(path, f"must be {lower_bound} and at most {self.maximum:g}", value)


class BooleanShape:
    """Shape of true or false. Text is rejected, because Python takes any, even "no", for true."""

    def check(self, value: Any, path: str) -> None:
        """Raise InvalidValueError if the value is neither true nor false."""
        if not isinstance(value, bool):
            raise InvalidValueError(path, "must be true or false", value)


class TextShape:
    """Shape of text that is not empty."""

    def check(self, value: Any, path: str) -> None:
        """Raise InvalidValueError if the value is not text or is empty."""
        if not isinstance(value, str) or not value:
            raise InvalidValueError(path, "must be text", value)


class ListShape(NamedTuple):
    """Shape of a list whose values all have one shape."""

    item: Shape


class AnyShape:
    """Shape of a value that the program does not use: any value is allowed."""


class Condition(NamedTuple):
    """The value of another key with which a key is present; `path` begins at the object that has the key."""

    path: tuple[str, ...]
    value: Any

    def is_met(self, container: dict[str, Any]) -> bool:
        """Return whether the other key has the value or is missing, since the value is its default."""
        found: Any = container
        for key in self.path:
            if not isinstance(found, dict) or key not in found:
                return True
            found = found[key]
        return bool(found == self.value)


class ObjectShape(NamedTuple):
    """Shape of an object with these documented keys. Other keys are allowed and ignored."""

    keys: dict[str, Shape]
    optional: frozenset[str] = frozenset()  # the documentation allows that they are absent
    defaulted: frozenset[str] = frozenset()  # documented as present, but a start does not need them
    unused: Mapping[str, Shape] = MappingProxyType({})  # documented keys that the program does not check
    conditions: Mapping[str, Condition] = MappingProxyType({})  # keys that are present on a condition

    def shape_of(self, key: str) -> Shape | None:
        """Return the shape of a documented key, None for another key."""
        return self.keys.get(key) or self.unused.get(key)

    def is_documented_as_required(self, key: str, container: dict[str, Any]) -> bool:
        """Return whether `container`, an object of this shape, has the key by the documentation."""
        if self.shape_of(key) is None or key in self.optional:
            return False
        condition = self.conditions.get(key)
        return condition is None or condition.is_met(container)


Shape = NumberShape | BooleanShape | TextShape | ListShape | ObjectShape | AnyShape


def unused_keys(*names: str) -> dict[str, Shape]:
    """Return shapes for documented keys whose values the program does not use."""
    return dict.fromkeys(names, AnyShape())
