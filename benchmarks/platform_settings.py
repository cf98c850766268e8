"""Completes partial settings to the form that the platform's configuration file must have.

The program rejects a file with a missing key. A benchmark specifies only the settings that it is about; the
other keys get the defaults that apply where incomplete settings are allowed.
"""

from __future__ import annotations

from typing import Any

from stairhatch.overload.settings import CallClass, SafetyLimits, Settings

DEFAULT_CLASS = CallClass("any")
DEFAULT_SAFETY = SafetyLimits()
DEFAULT_SETTINGS = Settings((DEFAULT_CLASS,))


def complete_settings(settings: dict[str, Any]) -> dict[str, Any]:
    """Return settings in which all missing keys have their default values."""
    classes = settings["classes"]
    return {
        "balancers": DEFAULT_SETTINGS.instance_count,
        "me": DEFAULT_SETTINGS.instance_index,
        "period_s": DEFAULT_SETTINGS.event_period_s,
        **settings,
        "classes": [
            {"late_worth": DEFAULT_CLASS.late_weight, "effect": "read_like", **call_class}
            for call_class in classes
        ],
        "family_info": {
            "call_length_s": [DEFAULT_CLASS.mean_duration_s] * len(classes),
            "clear_wait_s": DEFAULT_SAFETY.retry_pause_s,
            "retransmit_s": DEFAULT_SETTINGS.retransmit_interval_s,
            "self_no": DEFAULT_SETTINGS.own_server_number,
            **settings["family_info"],
        },
        "permissions": {
            "send_cap": DEFAULT_SETTINGS.max_attempts,
            "may_probe": DEFAULT_SETTINGS.may_probe,
            "peers": DEFAULT_SETTINGS.may_message_peers,
            "cancel": DEFAULT_SETTINGS.may_cancel,
            "retry_after": DEFAULT_SETTINGS.may_send_retry_after,
            "max_retry_after_s": DEFAULT_SETTINGS.max_retry_after_s,
            "connect_timeout_s": DEFAULT_SETTINGS.connect_timeout_s,
            **settings["permissions"],
        },
        "safety": {
            "answer_slack_s": DEFAULT_SAFETY.answer_slack_s,
            "drain_grace_s": DEFAULT_SAFETY.drain_grace_s,
            "cold_from": DEFAULT_SAFETY.initial_capacity_fraction,
            "warm_after_s": DEFAULT_SAFETY.warm_up_s,
            "fall_multiple": DEFAULT_SAFETY.overload_multiple,
            "fall_s": DEFAULT_SAFETY.overload_window_s,
            **settings["safety"],
        },
    }
