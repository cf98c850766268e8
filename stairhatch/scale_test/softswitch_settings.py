"""The settings that a plan gives to each softswitch."""

from __future__ import annotations

from typing import Any

from stairhatch.scale_test.schema import ScalePlan
from stairhatch.scale_test.topology import Places
from stairhatch.settings.parser import settings_from_object


def settings_for(plan: ScalePlan) -> dict[str, Any]:
    """What each softswitch is told, in the form of its file. A class a service, with the numbers of its
    servers.
    """
    calls, server = plan.calls, plan.server
    places = Places(plan)
    return {
        "balancers": plan.softswitches,
        "classes": [
            {"name": f"s{n}", "aim_s": calls.aim_s, "hard_limit_s": calls.limit_s, "importance": 1.0,
             "late_worth": 0.25}
            for n in range(plan.services)
        ],
        "family_info": {
            "clear_wait_s": 0.5, "retransmit_s": 0.8, "call_length_s": [calls.hold_s] * plan.services,
            "allowed_pools": [places.of_service(n) for n in range(plan.services)],
        },
        "permissions": {"send_cap": plan.attempts, "cancel": True, "max_retry_after_s": 1.0},
        "load_report": {"names": ["free", "size", "mean_ms", "can_take"]},
        "safety": {
            "answer_slack_s": 0.02, "drain_grace_s": 1.0, "cold_from": server.cold_from,
            "warm_after_s": server.warm_after_s, "fall_multiple": server.fall_multiple,
            "fall_s": server.fall_s,
        },
    }  # fmt: skip


def read_settings(plan: ScalePlan) -> Any:
    """The same as the program reads it."""
    return settings_from_object(settings_for(plan)).settings
