"""The Hypothesis settings of property tests: a bounded number of examples, the same in each run."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

BOUNDED = settings(
    derandomize=True, max_examples=150, deadline=None, database=None,
    suppress_health_check=[HealthCheck.too_slow],
)  # fmt: skip
