"""Reads what a softswitch is told at its start: owns the one parser of the settings, what each key may hold,
and the table that names the figures of a load report. The simulator's adapter and the program on sockets both
read through here. It must never decide anything, hold state or know where the text came from.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from stairhatch.overload.events import LoadReport
from stairhatch.overload.settings import CallClass, SafetyLimits, Settings

MOST_S = 1e6  # of any time: what is longer was mistyped, and would overflow a timer
MOST_COUNT = 10**7

# Name on the wire -> field of a Report, factor.
REPORT_FIELDS = {
    "free": ("free_lines", 1.0),
    "size": ("total_lines", 1.0),
    "mean_ms": ("processor_wait_s", 0.001),
    "depth": ("queue_length", 1.0),
    "concurrent": ("in_service", 1.0),
    "load_share": ("utilization", 1.0),
    "can_take": ("admissible_rate", 1.0),
    "hold_back": ("throttle_fraction", 1.0),
}


class SettingsError(ValueError):
    """Settings that can't be used: the key's path, and why."""


@dataclass(frozen=True, slots=True)
class Number:
    """A number within bounds. JSON's true is none, and neither are NaN and Infinity."""

    least: float = 0.0
    most: float = MOST_S
    above: bool = False  # the least itself is refused
    whole: bool = False

    def wrong(self, value: Any) -> str:
        """What is wrong with a value; "" if nothing is."""
        if isinstance(value, bool) or not isinstance(value, int if self.whole else int | float):
            return "must be a whole number" if self.whole else "must be a number"
        if self.least <= value <= self.most and not (self.above and value == self.least):
            return ""
        return f"must be {'above' if self.above else 'at least'} {self.least:g} and at most {self.most:g}"


@dataclass(frozen=True, slots=True)
class Flag:
    """true or false. A word would count as true, "no" as well."""

    def wrong(self, value: Any) -> str:
        """As with numbers."""
        return "" if isinstance(value, bool) else "must be true or false"


@dataclass(frozen=True, slots=True)
class Text:
    """Text that is not empty."""

    def wrong(self, value: Any) -> str:
        """As with numbers."""
        return "" if isinstance(value, str) and value else "must be text"


@dataclass(frozen=True, slots=True)
class Each:
    """A list of things of one shape."""

    shape: Shape


@dataclass(frozen=True, slots=True)
class Table:
    """An object with these keys. Others may stand in it, and are not looked at."""

    keys: dict[str, Shape]
    optional: frozenset[str] = frozenset()


Shape = Number | Flag | Text | Each | Table

# What the operators' pages promise of each key that is read here.
CLASS = Table(
    {
        "name": Text(),
        "importance": Number(),
        "aim_s": Number(above=True),
        "hard_limit_s": Number(above=True),
        "late_worth": Number(most=1),
        "effect": Text(),  # one that is not known is never sent again
    }
)
SETTINGS = Table(
    {
        "balancers": Number(1, MOST_COUNT, whole=True),
        "me": Number(0, MOST_COUNT, whole=True),
        "period_s": Number(),
        "classes": Each(CLASS),
        "family_info": Table(
            {
                "allowed_pools": Each(Each(Number(whole=True))),
                "call_length_s": Each(Number(above=True)),
                "clear_wait_s": Number(),
                "retransmit_s": Number(),
                "self_no": Number(-1, whole=True),
            },
            optional=frozenset(("allowed_pools",)),  # told with pools alone
        ),
        "load_report": Table({"names": Each(Text())}),
        "permissions": Table(
            {
                "send_cap": Number(1, MOST_COUNT, whole=True),
                "may_probe": Flag(),
                "peers": Flag(),
                "cancel": Flag(),
                "retry_after": Flag(),
                "max_retry_after_s": Number(),
                "connect_timeout_s": Number(above=True),
            }
        ),
        "safety": Table(
            {
                "answer_slack_s": Number(),
                "drain_grace_s": Number(),
                "cold_from": Number(most=1, above=True),
                "warm_after_s": Number(),
                "fall_multiple": Number(above=True),
                "fall_s": Number(),
            }
        ),
    }
)


def check(raw: Any, shape: Shape, at: str, complete: bool) -> None:
    """SettingsError that names the first key which holds what it may not, or, where the text has to be
    complete, is missing.
    """
    for complaint in _wrong(raw, shape, at):
        raise SettingsError(complaint)
    for key in _missing(raw, shape, at) if complete else ():
        raise SettingsError(f"{key}: is missing")


def _wrong(raw: Any, shape: Shape, at: str) -> Iterator[str]:
    match shape:
        case Table(keys) if isinstance(raw, dict):
            for key in keys:
                if key in raw:
                    yield from _wrong(raw[key], keys[key], f"{at}.{key}" if at else key)
        case Each(inner) if isinstance(raw, list):
            for index, item in enumerate(raw):
                yield from _wrong(item, inner, f"{at}[{index}]")
        case Table():
            yield f"{at}: must be an object, not {_shown(raw)}"
        case Each():
            yield f"{at}: must be a list, not {_shown(raw)}"
        case Number() | Flag() | Text():
            if why := shape.wrong(raw):
                yield f"{at}: {why}, not {_shown(raw)}"


def _missing(raw: Any, shape: Shape, at: str) -> Iterator[str]:
    match shape:
        case Table(keys, optional):
            for key, inner in keys.items():
                here = f"{at}.{key}" if at else key
                if key in raw:
                    yield from _missing(raw[key], inner, here)
                elif key not in optional:
                    yield here
        case Each(inner):
            for index, item in enumerate(raw):
                yield from _missing(item, inner, f"{at}[{index}]")


def _shown(value: Any) -> str:
    """A value as JSON has it, cut short."""
    text = json.dumps(value, default=str)
    return text if len(text) <= 40 else text[:37] + "..."


def parse_settings(boot_info: bytes | str) -> tuple[Settings, tuple[str, ...]]:
    """Turn the simulator's text into settings and the names of the report's values. Unknown keys are ignored,
    and none that is read may be missing.
    """
    try:
        raw = json.loads(boot_info)
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"boot_info is no JSON: {error}") from None
    return settings_from(raw, "boot_info", complete=True)


def settings_from(raw: Any, at: str = "settings", complete: bool = False) -> tuple[Settings, tuple[str, ...]]:
    """The same from the decoded object. Where it need not be complete, as in an operator's file whose page
    tells what holds otherwise, a missing key takes the interface's default. `at` begins each key's path.
    """
    check(raw, SETTINGS, at, complete)
    try:
        _check_numbers(raw, at, complete)
        return _settings(raw), tuple(raw.get("load_report", {}).get("names", ()))
    except SettingsError:
        raise
    except KeyError as error:
        raise SettingsError(f"{at}.{error.args[0]}: is missing") from None
    except ValueError as error:
        raise SettingsError(f"{at}: {error}") from None


def lost_key(old: Any, new: Any, at: str = "") -> str:
    """The first key of what is in force that a new text lacks; "" if it lacks none.

    Guards against a text cut short or mistyped: for a key that is missing the parser would take its default.
    Of a list of named things each must have what all had so far, and a known one what it had itself.
    """
    if isinstance(old, dict):
        if not isinstance(new, dict):
            return at or "all of it"
        for name, value in old.items():
            here = f"{at}.{name}" if at else str(name)
            if name not in new:
                return here
            if lost := lost_key(value, new[name], here):
                return lost
    elif isinstance(old, list) and old and all(isinstance(line, dict) and "name" in line for line in old):
        if not isinstance(new, list) or not new:
            return at
        shared = {name: None for name in old[0] if all(name in line for line in old)}
        named = {line["name"]: line for line in old}
        for index, line in enumerate(new):
            own = line.get("name") if isinstance(line, dict) else None
            if lost := lost_key({**shared, **named.get(own, {})}, line, f"{at}[{index}]"):
                return lost
    return ""


def report_from(values: Iterable[tuple[str, float]]) -> LoadReport:
    """Name a report's values; -1, unknown names and what is no number count as missing."""
    found: dict[str, float] = {}
    for name, value in values:
        field = REPORT_FIELDS.get(name)
        if field is not None and math.isfinite(value) and value >= 0:
            found[field[0]] = value * field[1]
    return LoadReport(**found)


def _check_numbers(raw: dict[str, Any], at: str, complete: bool) -> None:
    """What no key can tell alone: each class has its line in the lists, and `me` is one of the nodes."""
    family, balancers = raw.get("family_info", {}), raw.get("balancers", 1)
    if raw.get("me", 0) >= balancers:
        raise SettingsError(f"{at}.me: must be below balancers, {balancers}, not {raw['me']}")
    for name in ("allowed_pools", "call_length_s"):
        lines, classes = len(family.get(name, raw["classes"])), len(raw["classes"])
        if lines != classes:  # which line is whose can't be told
            raise SettingsError(f"{at}.family_info.{name}: must have a line for each of {classes} classes")
    if complete and "allowed_pools" not in family and family.get("layout", "pools") == "pools":
        raise SettingsError(f"{at}.family_info.allowed_pools: is missing")


def _given(raw: dict[str, Any], **names: str) -> dict[str, Any]:
    """Those of the named keys that the text holds, under our names."""
    return {ours: raw[theirs] for ours, theirs in names.items() if theirs in raw}


def _settings(raw: dict[str, Any]) -> Settings:
    """Pick our settings out of the decoded text."""
    family = raw.get("family_info", {})
    permissions = raw.get("permissions", {})
    safety = _given(
        raw.get("safety", {}),
        answer_slack_s="answer_slack_s",
        drain_grace_s="drain_grace_s",
        initial_capacity_fraction="cold_from",
        warm_up_s="warm_after_s",
        overload_multiple="fall_multiple",
        overload_window_s="fall_s",
    )
    return Settings(
        classes=tuple(_call_class(line, i, family) for i, line in enumerate(raw["classes"])),
        safety=SafetyLimits(**safety, **_given(family, retry_pause_s="clear_wait_s")),
        instance_index=_own_number(raw),
        **_given(raw, instance_count="balancers", event_period_s="period_s"),
        **_given(family, retransmit_interval_s="retransmit_s", own_server_number="self_no"),
        **_given(
            permissions,
            max_attempts="send_cap",
            may_probe="may_probe",
            may_message_peers="peers",
            may_cancel="cancel",
            may_send_retry_after="retry_after",
            max_retry_after_s="max_retry_after_s",
            connect_timeout_s="connect_timeout_s",
        ),
    )


def _own_number(raw: dict[str, Any]) -> int:
    """Which of the nodes this one is; -1 where that is not told among several."""
    number: int = raw.get("me", 0 if raw.get("balancers", 1) == 1 else -1)
    return number


def _call_class(line: dict[str, Any], index: int, family: dict[str, Any]) -> CallClass:
    """One class of the settings, with what `family_info` adds to it by position."""
    pools = family.get("allowed_pools")
    lengths = family.get("call_length_s")
    extra: dict[str, Any] = {}
    if pools is not None:
        extra["allowed_servers"] = tuple(pools[index])
    if lengths is not None:
        extra["mean_duration_s"] = lengths[index]
    return CallClass(
        name=line.get("name", str(index)),
        idempotent=line.get("effect", "read_like") == "read_like",
        **_given(line, priority_weight="importance", latency_objective_s="aim_s", deadline_s="hard_limit_s"),
        **_given(line, late_weight="late_worth"),
        **extra,
    )
