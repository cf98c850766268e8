"""Schema of the settings: the shapes of values, the schema built from them, and the validation.

The schema has the keys that are documented for operators; other keys are ignored. Times are seconds. A
configuration that a reload reads must also have every key that is in force (`check_no_key_lost`): a text
without such a key was truncated or mistyped, and the parser would use the default for the missing key.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from stairhatch.settings.errors import InvalidValueError, LostKeyError, MissingKeyError

MAX_SECONDS = 1e6  # of any time: a longer time is a typing error, and would overflow a timer
MAX_COUNT = 10**7
TOP_LEVEL_PATH = "the top-level object"  # path in the error if the new configuration is not an object


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


class ObjectShape(NamedTuple):
    """Shape of an object with these keys. Other keys are allowed and ignored."""

    keys: dict[str, Shape]
    optional: frozenset[str] = frozenset()


Shape = NumberShape | BooleanShape | TextShape | ListShape | ObjectShape

CALL_CLASS_SCHEMA = ObjectShape(
    {
        "name": TextShape(),
        "importance": NumberShape(),
        "aim_s": NumberShape(exclusive_minimum=True),
        "hard_limit_s": NumberShape(exclusive_minimum=True),
        "late_worth": NumberShape(maximum=1),
        "effect": TextShape(),  # an unknown effect counts as not idempotent
    }
)
SETTINGS_SCHEMA = ObjectShape(
    {
        "balancers": NumberShape(1, MAX_COUNT, integer=True),
        "me": NumberShape(0, MAX_COUNT, integer=True),
        "period_s": NumberShape(),
        "classes": ListShape(CALL_CLASS_SCHEMA),
        "family_info": ObjectShape(
            {
                "allowed_pools": ListShape(ListShape(NumberShape(integer=True))),
                "call_length_s": ListShape(NumberShape(exclusive_minimum=True)),
                "clear_wait_s": NumberShape(),
                "retransmit_s": NumberShape(),
                "self_no": NumberShape(-1, integer=True),
            },
            optional=frozenset(("allowed_pools",)),  # present only with the layout `pools`
        ),
        "load_report": ObjectShape({"names": ListShape(TextShape())}),
        "permissions": ObjectShape(
            {
                "send_cap": NumberShape(1, MAX_COUNT, integer=True),
                "may_probe": BooleanShape(),
                "peers": BooleanShape(),
                "cancel": BooleanShape(),
                "retry_after": BooleanShape(),
                "max_retry_after_s": NumberShape(),
                "connect_timeout_s": NumberShape(exclusive_minimum=True),
            }
        ),
        "safety": ObjectShape(
            {
                "answer_slack_s": NumberShape(),
                "drain_grace_s": NumberShape(),
                "cold_from": NumberShape(maximum=1, exclusive_minimum=True),
                "warm_after_s": NumberShape(),
                "fall_multiple": NumberShape(exclusive_minimum=True),
                "fall_s": NumberShape(),
            }
        ),
    }
)


def validate(value: Any, shape: Shape, path: str, *, complete: bool) -> None:
    """Check a decoded value against its shape; each key's path in an error message starts with `path`.

    Raises InvalidValueError for the first key whose value is not allowed; with `complete`, then raises
    MissingKeyError for the first required key that is missing.
    """
    _check_values(value, shape, path)
    if complete:
        _check_complete(value, shape, path)


def key_path(path: str, key: str) -> str:
    """Return the path of a key of the object at `path`; the key alone if `path` is empty."""
    return f"{path}.{key}" if path else key


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
        case ObjectShape(keys, optional):
            for key, inner in keys.items():
                if key in value:
                    _check_complete(value[key], inner, key_path(path, key))
                elif key not in optional:
                    raise MissingKeyError(key_path(path, key))
        case ListShape(item):
            for index, each in enumerate(value):
                _check_complete(each, item, f"{path}[{index}]")


def check_no_key_lost(in_force: Any, new: Any, path: str = "") -> None:
    """Raise LostKeyError for the first key of the decoded configuration in force that the new one lacks.

    In a list of named objects, each new object must have the keys that all objects in force have, and an
    object whose name is in force must also have the keys of that object.
    """
    if isinstance(in_force, dict):
        if not isinstance(new, dict):
            raise LostKeyError(path or TOP_LEVEL_PATH)
        for key, value in in_force.items():
            if key not in new:
                raise LostKeyError(key_path(path, str(key)))
            check_no_key_lost(value, new[key], key_path(path, str(key)))
    elif isinstance(in_force, list) and in_force and all(_is_named(each) for each in in_force):
        _check_named_objects(in_force, new, path)


def _is_named(value: Any) -> bool:
    """Return whether a value is an object with the key `name`."""
    return isinstance(value, dict) and "name" in value


def _check_named_objects(in_force: list[dict[str, Any]], new: Any, path: str) -> None:
    """Raise LostKeyError if a list of named objects lacks keys; order and number of objects may change."""
    if not isinstance(new, list) or not new:
        raise LostKeyError(path)
    common_keys = dict.fromkeys(key for key in in_force[0] if all(key in each for each in in_force))
    by_name = {each["name"]: each for each in in_force}
    for index, each in enumerate(new):
        name = each.get("name") if isinstance(each, dict) else None
        check_no_key_lost({**common_keys, **by_name.get(name, {})}, each, f"{path}[{index}]")
