"""The workload of all scaling measurements: called servers, call rate, durations and settings."""

from __future__ import annotations

from typing import Any

SERVICE_SERVERS = 10  # servers of the called service
CALL_RATE = 137.0  # calls per second
CALL_DURATION_S = 1.0
STATE_INTERVAL_S = 0.4  # between two load reports of a roster server
SERVER_LINES = 1000  # lines of an emulated roster server; enough for all calls of a run

# Phases of a run, in seconds.
SETTLE_S = 1.5  # from the start to the first measurement at rest
REST_S = 4.0  # duration of a measurement at rest
CALLS_S = 4.0  # duration of a measurement with calls


def settings_json(listed: int, service_servers: int = SERVICE_SERVERS) -> dict[str, Any]:
    """Return the settings object for `listed` servers.

    Each service has one call class and `service_servers` consecutive server numbers; the last service may
    have fewer.
    """
    services = [
        list(range(first, min(first + service_servers, listed)))
        for first in range(0, listed, service_servers)
    ]
    return {
        "balancers": 1,
        "classes": [
            {"name": service_name(index), "aim_s": 1.5, "hard_limit_s": 9.0, "importance": 1.0}
            for index in range(len(services))
        ],
        "family_info": {"allowed_pools": services, "clear_wait_s": 0.5, "retransmit_s": 0.8},
        "load_report": {"names": ["free", "size", "mean_ms", "can_take"]},
        "permissions": {"send_cap": 6, "cancel": True, "retry_after": True, "max_retry_after_s": 2.0},
        "safety": {"answer_slack_s": 0.02, "drain_grace_s": 1.0},
    }


def service_name(index: int) -> str:
    """Return the name of the call class of a service."""
    return f"service-{index}"
