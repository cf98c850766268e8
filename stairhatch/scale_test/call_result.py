"""The possible results of a call of a scale run."""

from __future__ import annotations

from enum import Enum


class SimulatedCallResult(Enum):
    """The result of a call; the values are keys in the result files."""

    ESTABLISHED = "stood"
    REJECTED = "refused"
    FAILED = "failed"
    UNREACHABLE = "unreached"  # the call's softswitch was down, not ready or shutting down
    LOST = "lost"  # the call's softswitch ended during the set-up
