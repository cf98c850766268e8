"""Parser of the settings: converts JSON, or a decoded object, to `stairhatch.overload.settings`.

The simulator's adapter and the softswitch both parse their settings with this module. Only this module
translates the keys that are documented for operators to the controller's terms.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from stairhatch.overload.settings import UNKNOWN_INSTANCE, CallClass, SafetyLimits, Settings
from stairhatch.settings.errors import MissingKeyError, SettingsError
from stairhatch.settings.schema import SETTINGS_SCHEMA
from stairhatch.settings.validation import validate

JSON_PATH = "boot_info"  # name of the settings on the wire; each key's path starts with it
IDEMPOTENT_EFFECT = "read_like"


class ParsedSettings(NamedTuple):
    """Parsed settings, and the names of a load report's values in the order in which they are sent."""

    settings: Settings
    load_report_names: tuple[str, ...]


def parse_settings_json(text: bytes | str) -> ParsedSettings:
    """Parse the simulator's settings. Unknown keys are ignored.

    All known keys are required, but `allowed_pools` only with the layout `pools`.
    Raises SettingsError if the text is not JSON, or if a key is missing or cannot be used.
    """
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"{JSON_PATH} is not JSON: {error}") from error
    return settings_from_object(raw, JSON_PATH, complete=True)


def settings_from_object(raw: Any, path: str = "settings", *, complete: bool = False) -> ParsedSettings:
    """Parse decoded settings; each key's path in an error message starts with `path`.

    Without `complete`, a missing key takes the default of its field; the operators' documentation lists these
    defaults. Raises SettingsError if a key cannot be used, or with `complete` if one is missing.
    """
    validate(raw, SETTINGS_SCHEMA, path, complete=complete)
    _check_consistency(raw, path)
    try:
        settings = _settings(raw)
    except ValueError as error:
        raise SettingsError(f"{path}: {error}") from error
    return ParsedSettings(settings, tuple(raw.get("load_report", {}).get("names", ())))


def _check_consistency(raw: dict[str, Any], path: str) -> None:
    """Check rules across keys: a list entry for each class, and `me` below `balancers`.

    Raises SettingsError if a rule is violated or `classes` is missing.
    """
    balancers = raw.get("balancers", 1)
    if raw.get("me", 0) >= balancers:
        raise SettingsError(f"{path}.me: must be below balancers, {balancers}, not {raw['me']}")
    if "classes" not in raw:
        raise MissingKeyError(f"{path}.classes")
    family = raw.get("family_info", {})
    classes = len(raw["classes"])
    for name in ("allowed_pools", "call_length_s"):
        if name in family and len(family[name]) != classes:  # entries are matched by position
            raise SettingsError(
                f"{path}.family_info.{name}: must have an entry for each of {classes} classes"
            )


def _present(raw: dict[str, Any], **keys: str) -> dict[str, Any]:
    """Return the values of the keys that are present, by field name; arguments are `field="key"`."""
    return {field: raw[key] for field, key in keys.items() if key in raw}


def _settings(raw: dict[str, Any]) -> Settings:
    """Return the settings from the decoded object. Raises ValueError if they contradict each other."""
    family = raw.get("family_info", {})
    permissions = raw.get("permissions", {})
    return Settings(
        classes=tuple(_call_class(entry, index, family) for index, entry in enumerate(raw["classes"])),
        safety=_safety_limits(raw.get("safety", {}), family),
        instance_index=_instance_index(raw),
        **_present(raw, instance_count="balancers", event_period_s="period_s"),
        **_present(family, retransmit_interval_s="retransmit_s", own_server_number="self_no"),
        **_present(
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


def _safety_limits(safety: dict[str, Any], family: dict[str, Any]) -> SafetyLimits:
    """Return the safety limits. The retry pause is a key of `family_info`, the others are in `safety`."""
    return SafetyLimits(
        **_present(
            safety,
            answer_slack_s="answer_slack_s",
            drain_grace_s="drain_grace_s",
            initial_capacity_fraction="cold_from",
            warm_up_s="warm_after_s",
            overload_multiple="fall_multiple",
            overload_window_s="fall_s",
        ),
        **_present(family, retry_pause_s="clear_wait_s"),
    )


def _instance_index(raw: dict[str, Any]) -> int:
    """Return the instance index; if it is missing, 0 for a single instance, else UNKNOWN_INSTANCE."""
    is_only_one = raw.get("balancers", 1) == 1
    index: int = raw.get("me", 0 if is_only_one else UNKNOWN_INSTANCE)
    return index


def _call_class(entry: dict[str, Any], index: int, family: dict[str, Any]) -> CallClass:
    """Return one call class, with its values in the lists of `family_info`, which are by position."""
    by_position: dict[str, Any] = {}
    if "allowed_pools" in family:
        by_position["allowed_servers"] = tuple(family["allowed_pools"][index])
    if "call_length_s" in family:
        by_position["mean_duration_s"] = family["call_length_s"][index]
    return CallClass(
        name=entry.get("name", str(index)),
        idempotent=entry.get("effect", IDEMPOTENT_EFFECT) == IDEMPOTENT_EFFECT,
        **_present(
            entry,
            priority_weight="importance",
            latency_objective_s="aim_s",
            deadline_s="hard_limit_s",
            late_weight="late_worth",
        ),
        **by_position,
    )
