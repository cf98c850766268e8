"""A load plan with two call classes."""

from __future__ import annotations

from typing import Any

from stairhatch.load_test.load_plan import LoadPlan, parse_load_plan

CLASSES = [
    {"name": "read-roster", "share": 0.75, "number": "1000", "hold_s": 0.5},
    {"name": "save-roster", "share": 0.25, "number": "7000", "hold_s": 0.5, "worth": 3.0, "late_worth": 0.1},
]


def two_class_plan(**keys: Any) -> LoadPlan:
    """Return a load plan of 20 s at 50 calls a second from 6 sources; `keys` replace the plan's keys."""
    defaults = {"phase": [{"seconds": 20.0, "rate": 50.0}], "kind": CLASSES, "offices": 6}
    return parse_load_plan(defaults | keys)
