"""The platform's settings and configuration with which the tests start the program."""

from __future__ import annotations

from typing import Any

from .scripted_coordinator import ScriptedCoordinator

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "period_s": 0.005,
    "classes": [
        {
            "name": "read-roster", "aim_s": 1.5, "hard_limit_s": 9.0, "importance": 1.0, "late_worth": 0.25,
            "effect": "read_like",
        },
        {
            "name": "save-roster", "aim_s": 1.5, "hard_limit_s": 9.0, "importance": 3.0, "late_worth": 0.1,
            "effect": "read_like",
        },
    ],
    "family_info": {
        "allowed_pools": [[0, 1], [0, 1]], "call_length_s": [10.0, 10.0], "clear_wait_s": 0.5,
        "retransmit_s": 0.8, "self_no": -1,
    },
    "load_report": {"names": ["free", "size", "mean_ms", "can_take"]},
    "permissions": {
        "send_cap": 6, "may_probe": False, "peers": False, "cancel": True, "retry_after": True,
        "max_retry_after_s": 2.0, "connect_timeout_s": 0.5,
    },
    "safety": {
        "answer_slack_s": 0.02, "drain_grace_s": 1.0, "cold_from": 0.25, "warm_after_s": 15.0,
        "fall_multiple": 2.0, "fall_s": 1.0,
    },
}  # fmt: skip


def platform_config(
    coordinator: ScriptedCoordinator,
    port: int,
    admin_port: int,
    settings: dict[str, Any] | None = None,
    sockets: int = 1024,
) -> dict[str, Any]:
    """Return the decoded configuration file that the platform passes to the program at its start."""
    return {
        "name": "n0", "listen": f"127.0.0.1:{port}", "console": f"127.0.0.1:{admin_port}", "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "coordinator": f"127.0.0.1:{coordinator.port}", "known": coordinator.known_events(),
        "settings": settings or SETTINGS,
    }  # fmt: skip
