"""What each key of the settings may hold: the shapes of values, the schema made of them, and the validation.

The schema has the keys of the operators' pages; a key that it does not have is not looked at. Times are
seconds. What is read anew in a reload must also have every key that is in force (`check_no_key_lost`): a text
without was cut short or mistyped, and the parser would take the default for the key that is missing.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from stairhatch.settings.errors import InvalidValueError, LostKeyError, MissingKeyError

MAX_SECONDS = 1e6  # of any time: a longer one was mistyped, and would overflow a timer
MAX_COUNT = 10**7
WHOLE_TEXT = "all of it"  # the path where the text as a whole is no object


class NumberShape(NamedTuple):
    """A number within bounds. JSON's true is none, and neither are NaN and Infinity."""

    minimum: float = 0.0
    maximum: float = MAX_SECONDS
    exclusive_minimum: bool = False  # the minimum itself is refused
    integer: bool = False

    def check(self, value: Any, path: str) -> None:
        """InvalidValueError for a value that is no such number."""
        if isinstance(value, bool) or not isinstance(value, int if self.integer else int | float):
            raise InvalidValueError(path, f"must be a {'whole ' if self.integer else ''}number", value)
        within = self.minimum <= value <= self.maximum
        if not within or (self.exclusive_minimum and value == self.minimum):
            least = f"{'above' if self.exclusive_minimum else 'at least'} {self.minimum:g}"
            raise InvalidValueError(path, f"must be {least} and at most {self.maximum:g}", value)


class BooleanShape:
    """Either true or false. A word would count as true, "no" as well."""

    def check(self, value: Any, path: str) -> None:
        """InvalidValueError for anything else."""
        if not isinstance(value, bool):
            raise InvalidValueError(path, "must be true or false", value)


class TextShape:
    """Text that is not empty."""

    def check(self, value: Any, path: str) -> None:
        """InvalidValueError for a value that is no text, or empty."""
        if not isinstance(value, str) or not value:
            raise InvalidValueError(path, "must be text", value)


class ListShape(NamedTuple):
    """A list of values of one shape."""

    item: Shape


class ObjectShape(NamedTuple):
    """An object with these keys. Other keys are allowed and ignored."""

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
        "effect": TextShape(),  # one that is not known counts as not idempotent
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
            optional=frozenset(("allowed_pools",)),  # given with the layout `pools` only
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
    """Check a decoded value against its shape; `path` begins each key's path in a message.

    InvalidValueError for the first key that holds what it may not, then MissingKeyError for the first that is
    missing, where the value has to be complete.
    """
    _check_values(value, shape, path)
    if complete:
        _check_complete(value, shape, path)


def key_path(path: str, key: str) -> str:
    """The path of a key below another's."""
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
    """MissingKeyError for the first key that is missing."""
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
