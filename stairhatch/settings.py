"""Reads what a softswitch is told at its start: owns the one parser of the settings and the table that names
the figures of a load report. The simulator's adapter and the program on sockets both read through here. It
must never decide anything, hold state or know where the text came from.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from typing import Any

from stairhatch import interface as say

# Name on the wire -> field of a Report, factor.
REPORT_FIELDS = {
    "free": ("free", 1.0),
    "size": ("size", 1.0),
    "mean_ms": ("wait_s", 0.001),
    "depth": ("queue", 1.0),
    "concurrent": ("working", 1.0),
    "load_share": ("busy", 1.0),
    "can_take": ("rate", 1.0),
    "hold_back": ("hold_back", 1.0),
}


class SettingsError(ValueError):
    """Settings that can't be used, with the reason in one line."""


def parse_settings(boot_info: bytes | str) -> tuple[say.Settings, tuple[str, ...]]:
    """Turn the start-up text into settings and the names of the report's values. Unknown keys are ignored."""
    try:
        raw = json.loads(boot_info)
    except (ValueError, UnicodeDecodeError) as error:
        raise SettingsError(f"boot_info is no JSON: {error}") from None
    return settings_from(raw)


def settings_from(raw: Any) -> tuple[say.Settings, tuple[str, ...]]:
    """The same from the decoded object."""
    if not isinstance(raw, dict):
        raise SettingsError("boot_info is no JSON object")
    try:
        return _settings(raw), tuple(raw.get("load_report", {}).get("names", ()))
    except (KeyError, TypeError, AttributeError, IndexError) as error:
        raise SettingsError(f"boot_info: bad or missing part: {error}") from None
    except ValueError as error:
        raise SettingsError(f"boot_info: {error}") from None


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


def report_from(values: Iterable[tuple[str, float]]) -> say.Report:
    """Name a report's values; -1, unknown names and what is no number count as missing."""
    found: dict[str, float] = {}
    for name, value in values:
        field = REPORT_FIELDS.get(name)
        if field is not None and math.isfinite(value) and value >= 0:
            found[field[0]] = value * field[1]
    return say.Report(**found)


def _given(raw: dict[str, Any], **names: str) -> dict[str, Any]:
    """Those of the named keys that the text holds, under our names."""
    return {ours: raw[theirs] for ours, theirs in names.items() if theirs in raw}


def _settings(raw: dict[str, Any]) -> say.Settings:
    """Pick our settings out of the decoded text."""
    family = raw.get("family_info", {})
    permissions = raw.get("permissions", {})
    safety = _given(
        raw.get("safety", {}),
        answer_slack_s="answer_slack_s",
        drain_grace_s="drain_grace_s",
        cold_from="cold_from",
        warm_after_s="warm_after_s",
        fall_multiple="fall_multiple",
        fall_s="fall_s",
    )
    return say.Settings(
        classes=tuple(_call_class(line, i, family) for i, line in enumerate(raw["classes"])),
        safety=say.Safety(**safety, **_given(family, clear_wait_s="clear_wait_s")),
        number=_own_number(raw),
        **_given(raw, balancers="balancers", period_s="period_s"),
        **_given(family, retransmit_s="retransmit_s", own_number="self_no"),
        **_given(
            permissions,
            attempts="send_cap",
            may_probe="may_probe",
            may_tell_peers="peers",
            may_cancel="cancel",
            may_advise_return="retry_after",
            longest_return_s="max_retry_after_s",
            connect_timeout_s="connect_timeout_s",
        ),
    )


def _own_number(raw: dict[str, Any]) -> int:
    """Which of the nodes this one is; -1 where that is not told among several, or is no such number."""
    fleet = raw.get("balancers", 1)
    number = raw.get("me", 0 if fleet == 1 else -1)
    good = isinstance(number, int) and isinstance(fleet, int) and 0 <= number < fleet
    return number if good else -1


def _call_class(line: dict[str, Any], index: int, family: dict[str, Any]) -> say.CallClass:
    """One class of the settings, with what `family_info` adds to it by position."""
    pools = family.get("allowed_pools")
    lengths = family.get("call_length_s")
    extra: dict[str, Any] = {}
    if pools is not None:
        extra["pools"] = tuple(pools[index])  # IndexError where a class has none
    if lengths is not None:
        extra["length_s"] = lengths[index]
    return say.CallClass(
        name=line.get("name", str(index)),
        repeatable=line.get("effect", "read_like") == "read_like",
        **_given(line, importance="importance", aim_s="aim_s", deadline_s="hard_limit_s"),
        **_given(line, late_worth="late_worth"),
        **extra,
    )
