"""Refuses a reload whose text lacks a key that is in force.

Such a text was cut short or mistyped: for the key that is missing the parser would take its default.
"""

from __future__ import annotations

from typing import Any

from stairhatch.settings.errors import LostKeyError
from stairhatch.settings.schema import key_path

WHOLE_TEXT = "all of it"  # the path where the text as a whole is no object


def check_no_key_lost(in_force: Any, new: Any, path: str = "") -> None:
    """LostKeyError for the first key of the decoded text in force that a new one lacks.

    Of a list of named objects each must have what all had so far, and a known one what it had itself.
    """
    if isinstance(in_force, dict):
        if not isinstance(new, dict):
            raise LostKeyError(path or WHOLE_TEXT)
        for key, value in in_force.items():
            if key not in new:
                raise LostKeyError(key_path(path, str(key)))
            check_no_key_lost(value, new[key], key_path(path, str(key)))
    elif isinstance(in_force, list) and in_force and all(_is_named(each) for each in in_force):
        _check_named_objects(in_force, new, path)


def _is_named(value: Any) -> bool:
    """Whether a value is an object with a name."""
    return isinstance(value, dict) and "name" in value


def _check_named_objects(in_force: list[dict[str, Any]], new: Any, path: str) -> None:
    """The rule for a list of named objects, which may come in another order and number."""
    if not isinstance(new, list) or not new:
        raise LostKeyError(path)
    shared = dict.fromkeys(key for key in in_force[0] if all(key in each for each in in_force))
    by_name = {each["name"]: each for each in in_force}
    for index, each in enumerate(new):
        name = each.get("name") if isinstance(each, dict) else None
        check_no_key_lost({**shared, **by_name.get(name, {})}, each, f"{path}[{index}]")
