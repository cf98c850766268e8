"""Schema of the settings: the keys that are documented for operators, and the shapes of their values.

Other keys are ignored. Times are seconds. The schema also names the documented keys that the program does not
use, since a reload rejects a text that lacks one of them (`stairhatch.settings.lost_keys`).
"""

from __future__ import annotations

from stairhatch.settings.shapes import (
    MAX_COUNT,
    BooleanShape,
    Condition,
    ListShape,
    NumberShape,
    ObjectShape,
    Shape,
    TextShape,
    unused_keys,
)

POOLS_LAYOUT = "pools"  # the layout in which each class has its servers

CALL_CLASS_SCHEMA = ObjectShape(
    {
        "name": TextShape(),
        "importance": NumberShape(),
        "aim_s": NumberShape(exclusive_minimum=True),
        "hard_limit_s": NumberShape(exclusive_minimum=True),
        "late_worth": NumberShape(maximum=1),
        "effect": TextShape(),  # an unknown effect counts as not idempotent
    },
    optional=frozenset(("aim_stretch",)),
    unused=unused_keys("aim_stretch", "dedup_scope", "memory_span_s", "stream"),
)
PARTY_SCHEMA = ObjectShape({}, unused=unused_keys("name", "quota_per_s", "fraction"))
PRICES_SCHEMA = ObjectShape(
    {},
    optional=frozenset(("fleet",)),
    unused=unused_keys(
        "connection",
        "cross_zone",
        "discovery",
        "fleet",
        "handshake",
        "late_fail",
        "moves",
        "origin",
        "peer",
        "probe",
        "waste",
    ),
)
PERMISSION_SHAPES: dict[str, Shape] = {
    "send_cap": NumberShape(1, MAX_COUNT, integer=True),
    "may_probe": BooleanShape(),
    "peers": BooleanShape(),
    "cancel": BooleanShape(),
    "retry_after": BooleanShape(),
    "max_retry_after_s": NumberShape(),
    "connect_timeout_s": NumberShape(exclusive_minimum=True),
}
SETTINGS_SCHEMA = ObjectShape(
    {
        "balancers": NumberShape(1, MAX_COUNT, integer=True),
        "me": NumberShape(0, MAX_COUNT, integer=True),
        "period_s": NumberShape(),
        "classes": ListShape(CALL_CLASS_SCHEMA),
        "family_info": ObjectShape(
            {
                "allowed_pools": ListShape(ListShape(NumberShape(integer=True))),
                "call_length_s": ListShape(NumberShape(exclusive_minimum=True)),
                "clear_wait_s": NumberShape(),
                "retransmit_s": NumberShape(),
                "self_no": NumberShape(-1, integer=True),
            },
            unused=unused_keys("class_width", "hints_route", "layout", "peer_load", "tells_wait"),
            conditions={"allowed_pools": Condition(("layout",), POOLS_LAYOUT)},
        ),
        "load_report": ObjectShape({"names": ListShape(TextShape())}, unused=unused_keys("how")),
        "permissions": ObjectShape(
            PERMISSION_SHAPES,
            unused=unused_keys(
                "cpu_us_per_request",
                "cpu_us_per_s",
                "idle_close_s",
                "open_cap",
                "parallel_tries",
                "streams_per_conn",
            ),
        ),
        "safety": ObjectShape(
            {
                "answer_slack_s": NumberShape(),
                "drain_grace_s": NumberShape(),
                "cold_from": NumberShape(maximum=1, exclusive_minimum=True),
                "warm_after_s": NumberShape(),
                "fall_multiple": NumberShape(exclusive_minimum=True),
                "fall_s": NumberShape(),
            },
            unused=unused_keys("must_ask_in_s"),
        ),
    },
    optional=frozenset(("parties",)),  # a site may have no tenants
    unused={
        **unused_keys(
            "az",
            "discovery",
            "kind_of_service",
            "kinds",
            "over_share_worth",
            "tier",
            "tiers",
            "value_by",
            "weight_source",
            "zones",
        ),
        "client_habits": ObjectShape({}, unused=unused_keys("marks_retry")),
        "goal": ObjectShape({}, unused=unused_keys("whole", "worst_class", "worst_tenant", "worst_window")),
        "parties": ListShape(PARTY_SCHEMA),
        "prices": PRICES_SCHEMA,
    },
)
