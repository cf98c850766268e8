"""Platform settings whose classes, cells and values occur in no deployment, to detect built-in ones."""

from __future__ import annotations

from typing import Any

UNUSUAL_CELLS = (31, 47)
UNUSUAL_SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "period_s": 0.005,
    "classes": [
        {
            "name": "ebb", "aim_s": 3.1, "hard_limit_s": 17.0, "importance": 7.0, "late_worth": 0.45,
            "effect": "read_like",
        },
        {
            "name": "flood", "aim_s": 0.7, "hard_limit_s": 5.3, "importance": 0.3, "late_worth": 0.0,
            "effect": "read_like",
        },
    ],
    "family_info": {
        "allowed_pools": [[31, 47], [31]], "call_length_s": [10.0, 10.0], "clear_wait_s": 0.37,
        "retransmit_s": 0.0, "self_no": -1,
    },
    "load_report": {"names": ["depth", "can_take"]},
    "permissions": {
        "send_cap": 3, "may_probe": False, "peers": False, "cancel": True, "retry_after": True,
        "max_retry_after_s": 1.1, "connect_timeout_s": 11.0,
    },
    "safety": {
        "answer_slack_s": 0.03, "drain_grace_s": 0.6, "cold_from": 0.55, "warm_after_s": 15.0,
        "fall_multiple": 4.0, "fall_s": 1.0,
    },
}  # fmt: skip
