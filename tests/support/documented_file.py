"""A configuration file of the platform in which every documented key is present."""

from __future__ import annotations

import copy
from typing import Any

OPTIONAL_KEYS = {
    ("settings", "classes", 0, "aim_stretch"),
    ("settings", "classes", 1, "aim_stretch"),
    ("settings", "parties"),
    ("settings", "prices", "fleet"),
}
# Present with one value of another key: the path and the value of that key which make it optional.
CONDITIONAL_KEYS = {
    ("settings", "family_info", "allowed_pools"): (("settings", "family_info", "layout"), "mesh"),
    ("peers",): (("settings", "permissions", "peers"), False),
    ("peers_all",): (("settings", "permissions", "peers"), False),
    ("peer_listen",): (("settings", "permissions", "peers"), False),
}


def documented_class(name: str, **more: Any) -> dict[str, Any]:
    """Return a call class with every documented key."""
    return {
        "name": name, "aim_s": 0.8, "aim_stretch": 0.25, "hard_limit_s": 7.0, "importance": 2.0,
        "late_worth": 0.3, "effect": "idempotency_key", "dedup_scope": "zone", "memory_span_s": 3.0,
        "stream": True, **more,
    }  # fmt: skip


SETTINGS: dict[str, Any] = {
    "az": 1, "balancers": 3, "me": 1, "period_s": 0.005, "discovery": "push", "kind_of_service": "lines",
    "kinds": ["small"], "over_share_worth": 0.2, "tier": 0, "tiers": ["lines"], "value_by": "work",
    "weight_source": "nominal", "zones": ["north", "south"],
    "classes": [documented_class("lookup"), documented_class("store")],
    "client_habits": {"marks_retry": False},
    "family_info": {
        "allowed_pools": [[0, 1], [0, 1]], "call_length_s": [4.0, 5.0], "class_width": [1, 1],
        "clear_wait_s": 0.4, "hints_route": False, "layout": "pools", "peer_load": "inline",
        "retransmit_s": 0.6, "self_no": -1, "tells_wait": False,
    },
    "goal": {"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.2},
    "load_report": {"how": "inline", "names": ["free", "size"]},
    "parties": [{"name": "south-council", "quota_per_s": 8.0, "fraction": 0.5}],
    "permissions": {
        "cancel": True, "connect_timeout_s": 0.5, "cpu_us_per_request": 0.0, "cpu_us_per_s": 200000,
        "idle_close_s": 300.0, "max_retry_after_s": 3.0, "may_probe": False, "open_cap": 5000,
        "parallel_tries": False, "peers": True, "retry_after": True, "send_cap": 4, "streams_per_conn": 64,
    },
    "prices": {
        "connection": 0.0, "cross_zone": 0.1, "discovery": 0.0, "fleet": 0.2, "handshake": 0.0,
        "late_fail": 0.02, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.03,
    },
    "safety": {
        "answer_slack_s": 0.02, "cold_from": 0.3, "drain_grace_s": 0.9, "fall_multiple": 2.0, "fall_s": 1.0,
        "must_ask_in_s": 8.0, "warm_after_s": 12.0,
    },
}  # fmt: skip
FILE: dict[str, Any] = {
    "name": "n0", "listen": "127.0.0.1:5060", "console": "127.0.0.1:5070", "seed": "5e",
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "coordinator": "127.0.0.1:8500",
    "known": {"index": 0, "updates": []}, "settings": SETTINGS,
    "peers": ["127.0.0.1:5080"], "peers_all": "127.0.0.1:5081", "peer_listen": "127.0.0.1:5082",
}  # fmt: skip


def documented_file() -> dict[str, Any]:
    """Return a copy of the file, which the caller may change."""
    return copy.deepcopy(FILE)


def documented_paths(raw: Any = FILE, at: tuple[str | int, ...] = ()) -> list[tuple[str | int, ...]]:
    """Return the paths of all keys of the file, also of those in its lists of objects."""
    if isinstance(raw, list):
        return [path for index, each in enumerate(raw) for path in documented_paths(each, (*at, index))]
    if not isinstance(raw, dict):
        return []
    paths = [(*at, key) for key in raw]
    return paths + [path for key in raw for path in documented_paths(raw[key], (*at, key))]
