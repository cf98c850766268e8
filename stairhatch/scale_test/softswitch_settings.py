"""Builds the settings of the softswitches of a plan, in the form of the settings file."""

from __future__ import annotations

from typing import Any

from stairhatch.overload.settings import Settings
from stairhatch.scale_test.schema import CallPlan, RosterServerPlan, ScalePlan
from stairhatch.scale_test.topology import Topology
from stairhatch.settings.parser import settings_from_object

LATE_WEIGHT = 0.25
RETRY_PAUSE_S = 0.5
RETRANSMIT_S = 0.8
MAX_RETRY_AFTER_S = 1.0
ANSWER_SLACK_S = 0.02
DRAIN_GRACE_S = 1.0


def call_class_name(service: int) -> str:
    """Return the name of the call class that belongs to a service."""
    return f"s{service}"


def settings_object(plan: ScalePlan) -> dict[str, Any]:
    """Return the settings as a decoded settings file, with one call class per service."""
    topology = Topology(plan)
    return {
        "balancers": plan.softswitch_count,
        "classes": [_call_class(plan.calls, service) for service in range(plan.service_count)],
        "family_info": {
            "clear_wait_s": RETRY_PAUSE_S,
            "retransmit_s": RETRANSMIT_S,
            "call_length_s": [plan.calls.mean_hold_s] * plan.service_count,
            "allowed_pools": [topology.servers_of(service) for service in range(plan.service_count)],
        },
        "permissions": {
            "send_cap": plan.max_attempts,
            "cancel": True,
            "max_retry_after_s": MAX_RETRY_AFTER_S,
        },
        "load_report": {"names": ["free", "size", "mean_ms", "can_take"]},
        "safety": _safety(plan.server),
    }


def _call_class(calls: CallPlan, service: int) -> dict[str, Any]:
    return {
        "name": call_class_name(service),
        "aim_s": calls.latency_objective_s,
        "hard_limit_s": calls.hard_limit_s,
        "importance": 1.0,
        "late_worth": LATE_WEIGHT,
    }


def _safety(server: RosterServerPlan) -> dict[str, Any]:
    return {
        "answer_slack_s": ANSWER_SLACK_S,
        "drain_grace_s": DRAIN_GRACE_S,
        "cold_from": server.cold_capacity,
        "warm_after_s": server.warm_up_s,
        "fall_multiple": server.overload_multiple,
        "fall_s": server.overload_window_s,
    }


def parsed_settings(plan: ScalePlan) -> Settings:
    """Return the settings of a plan, parsed and checked by the softswitch's settings parser."""
    return settings_from_object(settings_object(plan)).settings
