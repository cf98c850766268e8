"""Figures of a scale run. Their encoded names are the keys of `result.json` and `run.json`.

Bytes, messages and set-ups are counts over the whole run unless a field or class states another unit.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct, field

from stairhatch.scale_test.call_result import SimulatedCallResult
from stairhatch.scale_test.processor_meter import ProcessorPart
from stairhatch.scale_test.schema import ComparedFigure, PlannedEventKind

ComparedFigures = dict[ComparedFigure, float]


class CallFigures(Struct, frozen=True, kw_only=True):
    """Counts of calls by result and depth, and the set-up times of established calls."""

    requested: int = field(name="asked")
    established: int = field(name="stood")
    rejected: int = field(name="refused")
    failed: int
    unreachable: int = field(name="unreached")
    lost: int
    interrupted: int = field(name="cut")  # established calls that a fault ended
    requested_by_depth: dict[int, int] = field(name="depths")
    established_by_depth: dict[int, int] = field(name="stood_at_depth")
    max_depth: int = field(name="deepest")
    setup_p50_ms: float = field(name="to_stand_p50_ms")
    setup_p99_ms: float = field(name="to_stand_p99_ms")


class ServerFigures(Struct, frozen=True, kw_only=True):
    """Counts for all roster servers: rejected set-ups, and servers that crashed from overload while cold."""

    rejected_setups: int = field(name="turned_away")
    overloaded: int = field(name="fallen")


class ControlTraffic(Struct, frozen=True, kw_only=True):
    """Control traffic: bytes and messages per second and softswitch."""

    list_bytes: float
    lease_bytes: float = field(name="claim_bytes")
    lease_messages: float = field(name="claim_messages")
    connection_bytes: float = field(name="stream_bytes")


class ListChangeFigures(Struct, frozen=True, kw_only=True):
    """Changes of the endpoint list, and the times from each change until it was in force at a softswitch."""

    notified: int = field(name="told")
    not_received: int = field(name="not_heard")  # summed over changes and running softswitches
    # softswitches whose list differs from their coordinator's
    diverged_lists: int = field(name="lists_apart")
    # lines that arrived after a newer version of the same line
    superseded: int = field(name="older_left_out")
    in_force_p50_ms: float
    in_force_p99_ms: float
    in_force_max_ms: float = field(name="in_force_longest_ms")


class ColdStartWindow(Struct, frozen=True, kw_only=True):
    """The fullest overload window of one cold start, in set-ups."""

    server: int
    start: int  # number of the cold start of the server, from 1
    setups: int = field(name="set_ups")  # all that arrived while the server was cold
    fullest: int
    limit: float = field(name="most")
    overload_limit: float = field(name="falls_above")
    overloaded: bool = field(name="fell")


class SimulationFigures(Struct, frozen=True, kw_only=True):
    """All figures of a simulated run that are determined by the plan and its seed."""

    calls: CallFigures
    unanswered: int
    compared: ComparedFigures
    servers: ServerFigures
    control_traffic: ControlTraffic = field(name="a_second_and_softswitch")
    changes: ListChangeFigures
    windows: list[ColdStartWindow]
    activations: dict[PlannedEventKind, int] = field(name="bites")
    faults: list[str]
    counters: dict[str, int]  # sums over all softswitches
    results_by_second: dict[int, dict[SimulatedCallResult, int]] = field(name="by_second")


class RealRunFigures(Struct, frozen=True, kw_only=True):
    """The figures of a run with real softswitch processes."""

    compared: ComparedFigures
    not_received: int = field(name="not_heard")
    unanswered: int
    calls: CallFigures
    longest_stall_s: float = field(name="stalled_s")  # longest stall of the event loop that drives the run


class FigureComparison(Struct, frozen=True, kw_only=True):
    """One figure of the simulated and of the real run, the ratio of the two, and the bounds of the ratio."""

    simulated: float = field(name="hollow")
    real: float
    ratio: float
    minimum: float = field(name="least")
    maximum: float = field(name="most")

    def is_in_bounds(self) -> bool:
        """Return whether the ratio lies within its bounds, both inclusive."""
        return self.minimum <= self.ratio <= self.maximum


class MachineUsage(Struct, frozen=True, kw_only=True):
    """Resources of this machine that a simulated run used; they differ between runs of the same seed."""

    elapsed_s: float = field(name="seconds")
    processor_s: float
    processor_s_by_part: dict[ProcessorPart, float] = field(name="parts_s")
    virtual_s: float
    memory_mb: int
    steps: int  # events that the virtual clock has processed, including cancelled ones
    control_percent: float  # percent of a core per softswitch, for endpoint list and leases
    predicted_memory_mb: int = field(name="needed_mb", default=0)
    softswitch_kb: float = 0.0
    connection_kb: float = field(name="link_kb", default=0.0)


def to_json_object(figures: Struct | dict[Any, Any]) -> Any:
    """Return figures as objects that JSON can encode, with their encoded names as keys."""
    return msgspec.to_builtins(figures, str_keys=True)
