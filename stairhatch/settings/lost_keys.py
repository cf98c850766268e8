"""Comparison of a new configuration with the one in force: the keys that the new one lacks.

A text without a documented key was truncated or mistyped, and the parser would use the default for that key,
so a reload rejects it. A key that the documentation calls optional or does not name may come and go.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from stairhatch.settings.errors import LostKeyError, MissingKeyError
from stairhatch.settings.shapes import ListShape, ObjectShape, Shape
from stairhatch.settings.validation import key_path

TOP_LEVEL_PATH = "the top-level object"  # path in the error if the new configuration is not an object
MAX_COMPARED_DEPTH = 16  # of nested values; deeper ones, which no documented key is, are not compared


class LostKey(NamedTuple):
    """A key that a new configuration lacks, or an object or a list that it no longer has at that path."""

    path: str
    is_required: bool  # the documentation names the key and does not call it optional
    is_in_force: bool = True


def check_no_key_lost(in_force: Any, new: Any, shape: ObjectShape) -> list[str]:
    """Return the paths of the keys in force that the new decoded configuration leaves out.

    Raises LostKeyError for the first one that the documentation requires. Raises MissingKeyError if an entry
    of a list that was empty lacks a required key.
    """
    left_out: list[str] = []
    for lost in _lost_keys(in_force, new, shape, LostKey("", is_required=True), 0):
        if not lost.is_required:
            left_out.append(lost.path)
        elif lost.is_in_force:
            raise LostKeyError(lost.path or TOP_LEVEL_PATH)
        else:
            raise MissingKeyError(lost.path)
    return left_out


def _lost_keys(in_force: Any, new: Any, shape: Shape | None, whole: LostKey, depth: int) -> Iterator[LostKey]:
    """Yield the keys that `new` lacks; `whole` is the path of the value, yielded if its type has changed."""
    if depth > MAX_COMPARED_DEPTH:
        return
    if isinstance(in_force, dict):
        documented = shape if isinstance(shape, ObjectShape) else None
        yield from _lost_from_object(in_force, new, documented, whole, depth)
    elif isinstance(in_force, list):
        item_shape = shape.item if isinstance(shape, ListShape) else None
        if isinstance(item_shape, ObjectShape):
            yield from _lost_from_list(in_force, new, item_shape, whole, depth)
        elif in_force and all(_name_of(each) is not None for each in in_force):
            yield from _lost_from_list(in_force, new, None, whole, depth)


def _lost_from_object(
    in_force: dict[str, Any], new: Any, shape: ObjectShape | None, whole: LostKey, depth: int
) -> Iterator[LostKey]:
    """Yield the keys of an object that `new` lacks, or the object itself if `new` is no object."""
    if not isinstance(new, dict):
        yield whole if shape is not None else whole._replace(is_required=False)
        return
    for key, value in in_force.items():
        is_required = shape is not None and shape.is_documented_as_required(key, new)
        lost = LostKey(key_path(whole.path, key), is_required, whole.is_in_force)
        if key not in new:
            yield lost
        else:
            inner = shape.shape_of(key) if shape is not None else None
            yield from _lost_keys(value, new[key], inner, lost, depth + 1)


def _lost_from_list(
    in_force: list[Any], new: Any, shape: ObjectShape | None, whole: LostKey, depth: int
) -> Iterator[LostKey]:
    """Yield the keys that the objects of a list lack; the order and the number of objects may change.

    Each new object must have the keys that all objects in force have, and an object whose name is in force
    must also have the keys of that object. Where no object is in force, the documentation is the reference.
    """
    objects = [each for each in in_force if isinstance(each, dict)]
    if not isinstance(new, list) or (in_force and not new):
        yield whole if shape is not None else whole._replace(is_required=False)
        return
    expected = _common_keys(objects) if objects else _required_keys(shape)
    by_name = {_name_of(each): each for each in objects if _name_of(each) is not None}
    for index, each in enumerate(new):
        named = by_name.get(_name_of(each), {})
        item = LostKey(f"{whole.path}[{index}]", whole.is_required, is_in_force=bool(objects))
        yield from _lost_from_object({**expected, **named}, each, shape, item, depth + 1)


def _common_keys(objects: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the keys that all the objects have, without their values."""
    return dict.fromkeys(key for key in objects[0] if all(key in each for each in objects))


def _required_keys(shape: ObjectShape | None) -> dict[str, Any]:
    """Return the keys that the documentation requires of an object, without values."""
    if shape is None:
        return {}
    keys = [*shape.keys, *shape.unused]
    return dict.fromkeys(key for key in keys if shape.is_documented_as_required(key, {}))


def _name_of(value: Any) -> str | None:
    """Return the name of a named object, None for any other value."""
    name = value.get("name") if isinstance(value, dict) else None
    return name if isinstance(name, str) else None
