"""The possible results of a call of a scale run."""

from __future__ import annotations

from enum import Enum


class SimulatedCallResult(Enum):
    """The result of a call. The values are keys of the kept results."""

    ESTABLISHED = "stood"
    REJECTED = "refused"
    FAILED = "failed"
    UNREACHABLE = "unreached"  # its softswitch was not running
    LOST = "lost"  # its softswitch ended during the set-up
