"""Schema of the settings: the shapes of values, the schema built from them, and the validation.

The schema has the keys that are documented for operators; other keys are ignored. Times are seconds. It also
names the documented keys that the program does not use, since a reload rejects a text that lacks one of them
(`stairhatch.settings.lost_keys`).
"""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from stairhatch.settings.errors import InvalidValueError, MissingKeyError

MAX_SECONDS = 1e6  # of any time: a longer time is a typing error, and would overflow a timer
MAX_COUNT = 10**7
POOLS_LAYOUT = "pools"  # the layout in which each class has its servers


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


CALL_CLASS_SCHEMA = ObjectShape(
    {
        "name": TextShape(),
        "importance": NumberShape(),
        "aim_s": NumberShape(exclusive_minimum=True),
        "hard_limit_s": NumberShape(exclusive_minimum=True),
        "late_worth": NumberShape(maximum=1),
        "effect": TextShape(),  # an unknown effect counts as not idempotent
    },
    optional=frozenset(("aim_stretch",)),
    unused=unused_keys("aim_stretch", "dedup_scope", "memory_span_s", "stream"),
)
PARTY_SCHEMA = ObjectShape({}, unused=unused_keys("name", "quota_per_s", "fraction"))
PRICES_SCHEMA = ObjectShape(
    {},
    optional=frozenset(("fleet",)),
    unused=unused_keys(
        "connection",
        "cross_zone",
        "discovery",
        "fleet",
        "handshake",
        "late_fail",
        "moves",
        "origin",
        "peer",
        "probe",
        "waste",
    ),
)
PERMISSION_SHAPES: dict[str, Shape] = {
    "send_cap": NumberShape(1, MAX_COUNT, integer=True),
    "may_probe": BooleanShape(),
    "peers": BooleanShape(),
    "cancel": BooleanShape(),
    "retry_after": BooleanShape(),
    "max_retry_after_s": NumberShape(),
    "connect_timeout_s": NumberShape(exclusive_minimum=True),
}
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
            unused=unused_keys("class_width", "hints_route", "layout", "peer_load", "tells_wait"),
            conditions={"allowed_pools": Condition(("layout",), POOLS_LAYOUT)},
        ),
        "load_report": ObjectShape({"names": ListShape(TextShape())}, unused=unused_keys("how")),
        "permissions": ObjectShape(
            PERMISSION_SHAPES,
            unused=unused_keys(
                "cpu_us_per_request",
                "cpu_us_per_s",
                "idle_close_s",
                "open_cap",
                "parallel_tries",
                "streams_per_conn",
            ),
        ),
        "safety": ObjectShape(
            {
                "answer_slack_s": NumberShape(),
                "drain_grace_s": NumberShape(),
                "cold_from": NumberShape(maximum=1, exclusive_minimum=True),
                "warm_after_s": NumberShape(),
                "fall_multiple": NumberShape(exclusive_minimum=True),
                "fall_s": NumberShape(),
            },
            unused=unused_keys("must_ask_in_s"),
        ),
    },
    optional=frozenset(("parties",)),  # a site may have no tenants
    unused={
        **unused_keys(
            "az",
            "discovery",
            "kind_of_service",
            "kinds",
            "over_share_worth",
            "tier",
            "tiers",
            "value_by",
            "weight_source",
            "zones",
        ),
        "client_habits": ObjectShape({}, unused=unused_keys("marks_retry")),
        "goal": ObjectShape({}, unused=unused_keys("whole", "worst_class", "worst_tenant", "worst_window")),
        "parties": ListShape(PARTY_SCHEMA),
        "prices": PRICES_SCHEMA,
    },
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
        case ObjectShape(keys, defaulted=defaulted):
            for key, inner in keys.items():
                if key in value:
                    _check_complete(value[key], inner, key_path(path, key))
                elif key not in defaulted and shape.is_documented_as_required(key, value):
                    raise MissingKeyError(key_path(path, key))
        case ListShape(item):
            for index, each in enumerate(value):
                _check_complete(each, item, f"{path}[{index}]")
