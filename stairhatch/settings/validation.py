"""Validation of decoded values against their shapes (`stairhatch.settings.shapes`)."""

from __future__ import annotations

from typing import Any

from stairhatch.settings.errors import InvalidValueError, MissingKeyError
from stairhatch.settings.shapes import BooleanShape, ListShape, NumberShape, ObjectShape, Shape, TextShape


def key_path(path: str, key: str) -> str:
    """Return the path of a key of the object at `path`; the key alone if `path` is empty."""
    return f"{path}.{key}" if path else key


def validate(value: Any, shape: Shape, path: str, *, complete: bool) -> None:
    """Check a decoded value against its shape; each key's path in an error message starts with `path`.

    Raises InvalidValueError for the first key whose value is not allowed; with `complete`, then raises
    MissingKeyError for the first required key that is missing.
    """
    _check_values(value, shape, path)
    if complete:
        _check_complete(value, shape, path)


def _check_values(value: Any, shape: Shape, path: str) -> None:
    """Raise InvalidValueError for the first key whose value is not allowed."""
    match shape:
        case ObjectShape(keys):
            if not isinstance(value, dict):
                raise InvalidValueError(path, "must be an object", value)
            for key, inner in keys.items():
                if key in value:
                    _check_values(value[key], inner, key_path(path, key))
        case ListShape(item):
            if not isinstance(value, list):
                raise InvalidValueError(path, "must be a list", value)
            for index, each in enumerate(value):
                _check_values(each, item, f"{path}[{index}]")
        case NumberShape() | BooleanShape() | TextShape():
            shape.check(value, path)


def _check_complete(value: Any, shape: Shape, path: str) -> None:
    """Raise MissingKeyError for the first required key that is missing."""
    match shape:
        case ObjectShape(keys, defaulted=defaulted):
            for key, inner in keys.items():
                if key in value:
                    _check_complete(value[key], inner, key_path(path, key))
                elif key not in defaulted and shape.is_documented_as_required(key, value):
                    raise MissingKeyError(key_path(path, key))
        case ListShape(item):
            for index, each in enumerate(value):
                _check_complete(each, item, f"{path}[{index}]")
