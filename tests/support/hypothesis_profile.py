"""How property tests draw their examples: the same ones each time, and not too many."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

BOUNDED = settings(
    derandomize=True, max_examples=150, deadline=None, database=None,
    suppress_health_check=[HealthCheck.too_slow],
)  # fmt: skip
