"""The values of a load report by the names that the settings and the servers use for them."""

from __future__ import annotations

import math
from collections.abc import Iterable

from stairhatch.overload.events import LoadReport

# Name of a value -> field of LoadReport, and the factor to the field's unit.
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
    """The report that these named values make; -1, unknown names and what is no number count as missing."""
    found: dict[str, float] = {}
    for name, value in values:
        field = LOAD_REPORT_FIELDS.get(name)
        if field is not None and math.isfinite(value) and value >= 0:
            field_name, factor = field
            found[field_name] = value * factor
    return LoadReport(**found)
