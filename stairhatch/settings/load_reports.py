"""Conversion of a load report from the value names that the settings and the servers use."""

from __future__ import annotations

import math
from collections.abc import Iterable

from stairhatch.overload.events import LoadReport

# Name of a value -> field of LoadReport, and the factor that converts the value to the field's unit.
LOAD_REPORT_FIELDS = {
    "free": ("free_lines", 1.0),
    "size": ("total_lines", 1.0),
    "mean_ms": ("processor_wait_s", 0.001),
    "depth": ("queue_length", 1.0),
    "concurrent": ("in_service", 1.0),
    "load_share": ("utilization", 1.0),
    "can_take": ("admissible_rate", 1.0),
    "hold_back": ("throttle_fraction", 1.0),
}


def load_report_from_values(values: Iterable[tuple[str, float]]) -> LoadReport:
    """Return the load report with these named values.

    Unknown names are ignored. Negative values, such as -1, and non-finite values count as missing.
    """
    field_values: dict[str, float] = {}
    for name, value in values:
        field = LOAD_REPORT_FIELDS.get(name)
        if field is not None and math.isfinite(value) and value >= 0:
            field_name, factor = field
            field_values[field_name] = value * factor
    return LoadReport(**field_values)
