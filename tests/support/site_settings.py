"""Settings of both deployments, and made-up settings in which no value is a default of the program."""

from __future__ import annotations

from typing import Any

import pytest

PLAIN_CLASS = (1.0, 0.1, "read_like")  # priority weight, late weight and effect


def settings_of_site(classes, family, names, permissions, safety, **more) -> dict[str, Any]:
    """Return the settings of a site.

    Each class is a tuple of name, latency objective, deadline, priority weight, late weight and effect.
    """
    class_keys = ("name", "aim_s", "hard_limit_s", "importance", "late_worth", "effect")
    permission_keys = ("send_cap", "may_probe", "peers", "cancel", "retry_after", "max_retry_after_s")
    safety_keys = ("answer_slack_s", "drain_grace_s", "cold_from", "warm_after_s", "fall_multiple", "fall_s")
    family_keys = ("allowed_pools", "call_length_s", "clear_wait_s", "retransmit_s", "self_no")
    return {
        "balancers": 6, "me": 2, "period_s": 0.005, "discovery": "push", "zones": ["a"],
        "classes": [dict(zip(class_keys, values, strict=True)) | {"stream": True} for values in classes],
        "family_info": {"layout": "pools", **dict(zip(family_keys, family, strict=True))},
        "load_report": {"how": "inline", "names": names},
        "permissions": {"connect_timeout_s": 0.5, **dict(zip(permission_keys, permissions, strict=True))},
        "safety": {"must_ask_in_s": 10.0, **dict(zip(safety_keys, safety, strict=True))},
        **more,
    }  # fmt: skip


ROSTER = settings_of_site(
    [("read-roster", 1.5, 9.0, 1.0, 0.25, "read_like"), ("save-roster", 1.5, 9.0, 3.0, 0.1, "read_like")],
    ([[0, 1], [0, 1]], [9.0, 7.2], 0.5, 0.8, -1),
    ["free", "size", "mean_ms", "can_take"],
    (6, False, False, True, True, 2.0), (0.02, 1.0, 0.29, 14.0, 2.5, 1.5), parties=[],
)  # fmt: skip
TENDERS = settings_of_site(
    [
        ("notice-lookup", 2.0, 9.0, *PLAIN_CLASS), ("document-fetch", 2.0, 9.0, 2.0, 0.25, "read_like"),
        ("watchlist-save", 1.5, 9.0, *PLAIN_CLASS),
    ],
    ([[0, 1, 2]] * 3, [8.4, 12.6, 5.9], 0.3, 0.5, -1),
    ["free", "size", "depth", "can_take"],
    (4, True, True, True, False, 2.0), (0.02, 0.5, 0.28, 14.0, 2.5, 1.0),
    over_share_worth=0.2, parties=[{"name": "region-nord", "quota_per_s": 17.0, "fraction": 0.44}],
)  # fmt: skip
MADE_UP = settings_of_site(
    [("heron", 2.2, 13.0, 4.0, 0.35, "non_idempotent")],
    ([[5, 8]], [33.0], 0.7, 1.3, 4),
    ["load_share", "unheard_of"],
    (5, True, True, True, False, 7.0), (0.04, 0.8, 0.6, 21.0, 3.0, 2.5), balancers=9, period_s=0.01,
)  # fmt: skip
MADE_UP["permissions"]["connect_timeout_s"] = 0.9
EVERY_SITE = pytest.mark.parametrize(
    "raw_settings", [ROSTER, TENDERS, MADE_UP], ids=["roster", "tenders", "made-up"]
)
