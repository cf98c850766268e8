"""Settings as the platform's configuration file must have them: with every key.

The program refuses a file that lacks one. A benchmark names what it is about; the other keys get the values
that a missing key has where the settings need not be complete.
"""

from __future__ import annotations

from typing import Any

from stairhatch.overload.settings import CallClass, SafetyLimits, Settings

CLASS = CallClass("any")
SAFETY = SafetyLimits()
SETTINGS = Settings((CLASS,))


def complete_settings(settings: dict[str, Any]) -> dict[str, Any]:
    """Return settings with the keys that they lack."""
    classes = settings["classes"]
    return {
        "balancers": SETTINGS.instance_count,
        "me": SETTINGS.instance_index,
        "period_s": SETTINGS.event_period_s,
        **settings,
        "classes": [
            {"late_worth": CLASS.late_weight, "effect": "read_like", **call_class} for call_class in classes
        ],
        "family_info": {
            "call_length_s": [CLASS.mean_duration_s] * len(classes),
            "clear_wait_s": SAFETY.retry_pause_s,
            "retransmit_s": SETTINGS.retransmit_interval_s,
            "self_no": SETTINGS.own_server_number,
            **settings["family_info"],
        },
        "permissions": {
            "send_cap": SETTINGS.max_attempts,
            "may_probe": SETTINGS.may_probe,
            "peers": SETTINGS.may_message_peers,
            "cancel": SETTINGS.may_cancel,
            "retry_after": SETTINGS.may_send_retry_after,
            "max_retry_after_s": SETTINGS.max_retry_after_s,
            "connect_timeout_s": SETTINGS.connect_timeout_s,
            **settings["permissions"],
        },
        "safety": {
            "answer_slack_s": SAFETY.answer_slack_s,
            "drain_grace_s": SAFETY.drain_grace_s,
            "cold_from": SAFETY.initial_capacity_fraction,
            "warm_after_s": SAFETY.warm_up_s,
            "fall_multiple": SAFETY.overload_multiple,
            "fall_s": SAFETY.overload_window_s,
            **settings["safety"],
        },
    }
